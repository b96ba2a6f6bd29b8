//! The replication stream to one peer, and the change up to which the peer has
//! acknowledged it.
//!
//! Owned by `Standbys`, which has one stream for each peer. A change must never count
//! as acknowledged before the whole round that contains it is acknowledged by the same
//! incarnation.

use super::{ACK_TIMEOUT_MS, DEMOTION_PAUSE_MS, MAX_DEMOTION_PAUSE_MS, ReplicatedState};
use crate::{
    protocol::{
        peers::{MAX_FRAME, MachineTasks, ReplicationPart},
        status::StandbyStatus,
    },
    state::Millis,
};
use std::collections::BTreeSet;

/// Target size of the machines in a part, in bytes, estimated from above. The rest of a
/// frame is left for the last machine, which may exceed this size.
const PART_BYTES: usize = MAX_FRAME / 2;
/// Interval of empty parts while nothing changes. Their answers show whether a standby
/// was restarted.
const KEEP_ALIVE_INTERVAL_MS: Millis = 1_000;
/// Interval between two probes whether a peer supports replication to standbys.
const PROBE_INTERVAL_MS: Millis = 2_000;
/// Delay after a part that was not answered.
const RETRY_DELAY_MS: Millis = 200;

/// Why a standby is demoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Demotion {
    Unresponsive,
    Restarted,
    AckTimeout,
}

impl Demotion {
    fn text(self) -> &'static str {
        match self {
            Demotion::Unresponsive => "does not answer",
            Demotion::Restarted => "began anew",
            Demotion::AckTimeout => "confirms too late",
        }
    }
}

/// All changes up to some moment, sent in one or more parts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Round {
    up_to_change: u64,
    remaining: BTreeSet<String>,
}

/// The replication stream to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ReplicationStream {
    pub(super) name: String,
    /// Whether the peer is in another zone than the leader.
    pub(super) in_other_zone: bool,
    /// Whether the peer has shown that it supports standbys.
    pub(super) supports_standbys: bool,
    incarnation: Option<u64>,
    active: bool,
    stream: u64,
    part: u64,
    round: Option<Round>,
    /// Machines that changed since the round began.
    changed_machines: BTreeSet<String>,
    /// The peer's replica holds all changes up to this one.
    acknowledged: Option<u64>,
    /// The part in flight, by stream and number.
    in_flight: Option<(u64, u64)>,
    sent_at: Millis,
    retry_at: Millis,
    unacknowledged_since: Option<Millis>,
    warm_since: Option<Millis>,
    demoted_until: Millis,
    demotions: u32,
    /// Why the peer was last demoted.
    last_demotion: Option<Demotion>,
}

impl ReplicationStream {
    pub(super) fn new(name: String, other_zone: bool) -> Self {
        ReplicationStream {
            name,
            in_other_zone: other_zone,
            supports_standbys: false,
            incarnation: None,
            active: false,
            stream: 0,
            part: 0,
            round: None,
            changed_machines: BTreeSet::new(),
            acknowledged: None,
            in_flight: None,
            sent_at: 0,
            retry_at: 0,
            unacknowledged_since: None,
            warm_since: None,
            demoted_until: 0,
            demotions: 0,
            last_demotion: None,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.active
    }

    pub(super) fn is_demoted(&self, now: Millis) -> bool {
        now < self.demoted_until
    }

    /// Returns the latest change that this incarnation of the peer has acknowledged; 0
    /// if none.
    pub(super) fn acknowledged_by(&self, incarnation: u64) -> u64 {
        match self.incarnation == Some(incarnation) {
            true => self.acknowledged.unwrap_or(0),
            false => 0,
        }
    }

    /// Whether the peer knows all tasks started so far; `sent` is the latest change
    /// whose start command was sent.
    pub(super) fn is_warm(&self, sent: u64) -> bool {
        self.active && self.acknowledged.is_some_and(|acked| acked >= sent)
    }

    /// Whether the peer is either not named, or named in its current incarnation.
    pub(super) fn is_same_incarnation(&self, named: Option<u64>) -> bool {
        named.is_none() || named == self.incarnation
    }

    /// Returns the name and incarnation of the peer, as entered in the standby record.
    pub(super) fn identity(&self) -> Option<(String, u64)> {
        Some((self.name.clone(), self.incarnation?))
    }

    /// Returns why the peer, named in this incarnation, is to be demoted, if it is.
    pub(super) fn demotion_due(&self, named: u64, answers: bool, now: Millis) -> Option<Demotion> {
        if !answers {
            return Some(Demotion::Unresponsive);
        }
        if self.incarnation.is_some_and(|i| i != named) {
            return Some(Demotion::Restarted);
        }
        let late = self
            .unacknowledged_since
            .is_some_and(|at| now >= at + ACK_TIMEOUT_MS);
        late.then_some(Demotion::AckTimeout)
    }

    /// Demotes the peer, which is not selected again until a pause has passed.
    pub(super) fn demote(&mut self, reason: Demotion, now: Millis) {
        if self.is_demoted(now) {
            return;
        }
        log::info!("standby {} is demoted: it {}", self.name, reason.text());
        // A restarted peer is as suitable as any other, so no pause is needed.
        let pause = match reason {
            Demotion::Restarted => 0,
            Demotion::Unresponsive | Demotion::AckTimeout => {
                (DEMOTION_PAUSE_MS << self.demotions.min(4)).min(MAX_DEMOTION_PAUSE_MS)
            }
        };
        self.demotions += 1;
        self.demoted_until = now + pause;
        self.last_demotion = Some(reason);
        self.unacknowledged_since = None;
        self.warm_since = None;
    }

    /// Restarts the stream with a round of all occupied machines. The peer's replica
    /// stays valid until the new one is complete.
    pub(super) fn restart(&mut self, state: &impl ReplicatedState) {
        self.active = true;
        self.stream += 1;
        self.part = 0;
        self.changed_machines.clear();
        self.round = Some(Round {
            up_to_change: state.change_count(),
            remaining: state.occupied_machines(),
        });
    }

    /// Stops the stream and discards what the peer has acknowledged.
    pub(super) fn stop(&mut self) {
        self.active = false;
        self.round = None;
        self.changed_machines.clear();
        self.acknowledged = None;
        self.unacknowledged_since = None;
        self.warm_since = None;
    }

    /// Adds machines to those that the next round sends.
    pub(super) fn machines_changed(&mut self, machines: &BTreeSet<String>) {
        self.changed_machines.extend(machines.iter().cloned());
    }

    /// Returns the next part to send, if one is due.
    pub(super) fn next(
        &mut self,
        term: u64,
        named: bool,
        should_probe: bool,
        state: &impl ReplicatedState,
        now: Millis,
    ) -> Option<ReplicationPart> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        if !self.active {
            let due =
                should_probe && !self.supports_standbys && now >= self.sent_at + PROBE_INTERVAL_MS;
            return due.then(|| self.probe(term, now));
        }
        if self.round.is_none() {
            let keep_alive_due = now >= self.sent_at + KEEP_ALIVE_INTERVAL_MS;
            if self.changed_machines.is_empty() && !keep_alive_due {
                return None;
            }
            self.round = Some(Round {
                up_to_change: state.change_count(),
                remaining: std::mem::take(&mut self.changed_machines),
            });
        }
        let round = self.round.as_mut()?;
        let mut machines = Vec::new();
        let mut bytes = 0;
        while bytes < PART_BYTES
            && let Some(name) = round.remaining.pop_first()
        {
            let machine_tasks = state.tasks_on(&name);
            bytes += encoded_size_bound(&machine_tasks);
            machines.push(machine_tasks);
        }
        let is_last_part = round.remaining.is_empty();
        self.in_flight = Some((self.stream, self.part));
        self.sent_at = now;
        self.unacknowledged_since.get_or_insert(now);
        Some(ReplicationPart {
            term,
            stream: self.stream,
            part: self.part,
            complete: is_last_part,
            counted: named,
            machines,
        })
    }

    /// Returns an empty first part, sent only to find out whether the peer supports
    /// standbys.
    fn probe(&mut self, term: u64, now: Millis) -> ReplicationPart {
        self.stream += 1;
        self.in_flight = Some((self.stream, 0));
        self.sent_at = now;
        ReplicationPart {
            term,
            stream: self.stream,
            part: 0,
            complete: false,
            counted: false,
            machines: Vec::new(),
        }
    }

    /// Applies the peer's answer to the part in flight: its incarnation, and whether it
    /// applied the part; `None` if there was no answer.
    pub(super) fn answered(
        &mut self,
        answer: Option<(u64, bool)>,
        state: &impl ReplicatedState,
        now: Millis,
    ) {
        self.supports_standbys |= answer.is_some();
        // The answer to a part of an abandoned stream says nothing about the current
        // one.
        if self.in_flight.take() != Some((self.stream, self.part)) || !self.active {
            return;
        }
        let first = self.part == 0;
        let (same_incarnation, applied) = match answer {
            None => (true, false),
            Some((incarnation, applied)) => {
                let same_incarnation = self.incarnation == Some(incarnation);
                if !same_incarnation {
                    // The acknowledged replica was lost with the previous process.
                    self.acknowledged = None;
                    self.warm_since = None;
                    self.incarnation = Some(incarnation);
                }
                (same_incarnation || first, applied)
            }
        };
        if !same_incarnation || !applied {
            if answer.is_none() {
                self.retry_at = now + RETRY_DELAY_MS;
            }
            self.restart(state);
            return;
        }
        self.part += 1;
        if let Some(round) = self.round.take_if(|r| r.remaining.is_empty()) {
            self.acknowledged = Some(round.up_to_change);
            self.warm_since.get_or_insert(now);
            self.unacknowledged_since = (!self.changed_machines.is_empty()).then_some(now);
            if self.demotions > 0
                && self
                    .warm_since
                    .is_some_and(|at| now > at + MAX_DEMOTION_PAUSE_MS)
            {
                self.demotions = 0;
            }
        }
    }

    pub(super) fn status(&self, named: bool, now: Millis) -> StandbyStatus {
        let seconds_since = |at: Millis| now.saturating_sub(at) as f64 / 1000.0;
        StandbyStatus {
            node: self.name.clone(),
            warm: named && self.acknowledged.is_some(),
            since_s: self.warm_since.map(seconds_since),
            owes_s: self.unacknowledged_since.map_or(0.0, seconds_since),
            why_not: match (named, self.acknowledged) {
                (true, Some(_)) => None,
                _ if self.is_demoted(now) => self.last_demotion.map(|why| why.text().to_owned()),
                (_, None) => Some("is being told what runs".into()),
                (false, Some(_)) => Some("is not recorded yet".into()),
            },
        }
    }
}

/// Upper bound of the size in a frame, in bytes.
fn encoded_size_bound(machine_tasks: &MachineTasks) -> usize {
    let jobs = machine_tasks.jobs.iter();
    let jobs: usize = jobs
        .map(|(id, tasks)| id.len() + 8 + 26 * tasks.len())
        .sum();
    machine_tasks.machine.len() + 16 + jobs
}
