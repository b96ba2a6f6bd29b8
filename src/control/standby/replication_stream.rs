//! The replication stream to one peer, and how far the peer has acknowledged it.
//!
//! Owned by `Standbys`, one for each peer. It must never count a change as acknowledged
//! before the whole round that holds it is, in the same incarnation.

use super::{CONFIRM_TIMEOUT_MS, DEMOTION_PAUSE_MS, MAX_DEMOTION_PAUSE_MS, ReplicatedState};
use crate::{
    protocol::{
        peers::{MAX_FRAME, MachineTasks, ReplicationPart},
        status::StandbyStatus,
    },
    state::Millis,
};
use std::collections::BTreeSet;

/// Bytes of machines in a part, estimated from above; the rest of a frame is
/// left for what one machine may exceed that by.
const PART_BYTES: usize = MAX_FRAME / 2;
/// Interval of empty parts when nothing has changed: they show whether a standby was
/// restarted.
const KEEP_ALIVE_MS: Millis = 1_000;
/// Between two probes whether a peer knows of standbys at all.
const PROBE_INTERVAL_MS: Millis = 2_000;
/// After a part that had no answer.
const RETRY_DELAY_MS: Millis = 200;

/// Why a standby is demoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Demotion {
    Silent,
    BeganAnew,
    Late,
}

impl Demotion {
    fn text(self) -> &'static str {
        match self {
            Demotion::Silent => "does not answer",
            Demotion::BeganAnew => "began anew",
            Demotion::Late => "confirms too late",
        }
    }
}

/// All that changed up to some moment, sent in one or more parts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Round {
    up_to_change: u64,
    remaining: BTreeSet<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ReplicationStream {
    pub(super) name: String,
    /// In another zone than the leader.
    pub(super) in_other_zone: bool,
    /// It was seen to know of the record.
    pub(super) supports_standbys: bool,
    incarnation: Option<u64>,
    active: bool,
    stream: u64,
    part: u64,
    round: Option<Round>,
    /// Changed since the round began.
    changed_machines: BTreeSet<String>,
    /// Its replica holds all changes up to this one.
    acknowledged: Option<u64>,
    /// The part in flight, by stream and number.
    in_flight: Option<(u64, u64)>,
    sent_at: Millis,
    retry_at: Millis,
    unacknowledged_since: Option<Millis>,
    warm_since: Option<Millis>,
    demoted_until: Millis,
    demotions: u32,
    /// Why it was last demoted.
    last_demotion: Option<Demotion>,
}

impl ReplicationStream {
    pub(super) fn new(name: String, far: bool) -> Self {
        ReplicationStream {
            name,
            in_other_zone: far,
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

    pub(super) fn acknowledged_by(&self, incarnation: u64) -> u64 {
        match self.incarnation == Some(incarnation) {
            true => self.acknowledged.unwrap_or(0),
            false => 0,
        }
    }

    /// It knows all that was started so far.
    pub(super) fn is_warm(&self, sent: u64) -> bool {
        self.active && self.acknowledged.is_some_and(|acked| acked >= sent)
    }

    /// If it is named, then in this incarnation.
    pub(super) fn is_same_incarnation(&self, named: Option<u64>) -> bool {
        named.is_none() || named == self.incarnation
    }

    pub(super) fn identity(&self) -> Option<(String, u64)> {
        Some((self.name.clone(), self.incarnation?))
    }

    /// Why the peer, named in that incarnation, is to be demoted, if it is.
    pub(super) fn demotion_due(&self, named: u64, answers: bool, now: Millis) -> Option<Demotion> {
        if !answers {
            return Some(Demotion::Silent);
        }
        if self.incarnation.is_some_and(|i| i != named) {
            return Some(Demotion::BeganAnew);
        }
        let late = self
            .unacknowledged_since
            .is_some_and(|at| now >= at + CONFIRM_TIMEOUT_MS);
        late.then_some(Demotion::Late)
    }

    /// Demotes it, and leaves it alone for a while.
    pub(super) fn demote(&mut self, why: Demotion, now: Millis) {
        if self.is_demoted(now) {
            return;
        }
        log::info!("standby {} is demoted: it {}", self.name, why.text());
        // A restarted one is as good as any other.
        let pause = match why {
            Demotion::BeganAnew => 0,
            Demotion::Silent | Demotion::Late => {
                (DEMOTION_PAUSE_MS << self.demotions.min(4)).min(MAX_DEMOTION_PAUSE_MS)
            }
        };
        self.demotions += 1;
        self.demoted_until = now + pause;
        self.last_demotion = Some(why);
        self.unacknowledged_since = None;
        self.warm_since = None;
    }

    /// Restarts the stream. What the replica holds stays valid until the new one is
    /// complete.
    pub(super) fn restart(&mut self, state: &impl ReplicatedState) {
        self.active = true;
        self.stream += 1;
        self.part = 0;
        self.changed_machines.clear();
        self.round = Some(Round {
            up_to_change: state.changes(),
            remaining: state.occupied_machines(),
        });
    }

    pub(super) fn stop(&mut self) {
        self.active = false;
        self.round = None;
        self.changed_machines.clear();
        self.acknowledged = None;
        self.unacknowledged_since = None;
        self.warm_since = None;
    }

    pub(super) fn machines_changed(&mut self, touched: &BTreeSet<String>) {
        self.changed_machines.extend(touched.iter().cloned());
    }

    pub(super) fn next(
        &mut self,
        term: u64,
        named: bool,
        probes: bool,
        state: &impl ReplicatedState,
        now: Millis,
    ) -> Option<ReplicationPart> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        if !self.active {
            let due = probes && !self.supports_standbys && now >= self.sent_at + PROBE_INTERVAL_MS;
            return due.then(|| self.probe(term, now));
        }
        if self.round.is_none() {
            let silent = now >= self.sent_at + KEEP_ALIVE_MS;
            if self.changed_machines.is_empty() && !silent {
                return None;
            }
            self.round = Some(Round {
                up_to_change: state.changes(),
                remaining: std::mem::take(&mut self.changed_machines),
            });
        }
        let round = self.round.as_mut()?;
        let mut machines = Vec::new();
        let mut bytes = 0;
        while bytes < PART_BYTES
            && let Some(name) = round.remaining.pop_first()
        {
            let held = state.tasks_on(&name);
            bytes += size(&held);
            machines.push(held);
        }
        let whole = round.remaining.is_empty();
        self.in_flight = Some((self.stream, self.part));
        self.sent_at = now;
        self.unacknowledged_since.get_or_insert(now);
        Some(ReplicationPart {
            term,
            stream: self.stream,
            part: self.part,
            complete: whole,
            counted: named,
            machines,
        })
    }

    /// An empty beginning, only to see whether it is understood.
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

    pub(super) fn answered(
        &mut self,
        answer: Option<(u64, bool)>,
        state: &impl ReplicatedState,
        now: Millis,
    ) {
        self.supports_standbys |= answer.is_some();
        // One of a stream that was given up says nothing of the present one.
        if self.in_flight.take() != Some((self.stream, self.part)) || !self.active {
            return;
        }
        let first = self.part == 0;
        let (same, taken) = match answer {
            None => (true, false),
            Some((incarnation, taken)) => {
                let same = self.incarnation == Some(incarnation);
                if !same {
                    // What it confirmed is gone with the process before.
                    self.acknowledged = None;
                    self.warm_since = None;
                    self.incarnation = Some(incarnation);
                }
                (same || first, taken)
            }
        };
        if !same || !taken {
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
        let s = |at: Millis| now.saturating_sub(at) as f64 / 1000.0;
        StandbyStatus {
            node: self.name.clone(),
            warm: named && self.acknowledged.is_some(),
            since_s: self.warm_since.map(s),
            owes_s: self.unacknowledged_since.map_or(0.0, s),
            why_not: match (named, self.acknowledged) {
                (true, Some(_)) => None,
                _ if self.is_demoted(now) => self.last_demotion.map(|why| why.text().to_owned()),
                (_, None) => Some("is being told what runs".into()),
                (false, Some(_)) => Some("is not recorded yet".into()),
            },
        }
    }
}

/// What it takes in a frame at most.
fn size(m: &MachineTasks) -> usize {
    let jobs = m.jobs.iter();
    let jobs: usize = jobs
        .map(|(id, tasks)| id.len() + 8 + 26 * tasks.len())
        .sum();
    m.machine.len() + 16 + jobs
}
