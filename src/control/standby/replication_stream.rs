//! What one peer is told, and how far it has confirmed that.

use super::{CONFIRM, LONGEST_REST, Picture, REST};
use crate::{
    protocol::{
        peers::{Follow, MAX_FRAME, MachineHolds},
        status::StandbyStatus,
    },
    state::Ms,
};
use std::collections::BTreeSet;

/// Bytes of machines in a part, estimated from above; the rest of a frame is
/// left for what one machine may exceed that by.
const PART_BYTES: usize = MAX_FRAME / 2;
/// Told that nothing has changed, a standby that began anew shows itself.
const KEEP_ALIVE: Ms = 1_000;
/// Between two questions whether a peer knows of standbys at all.
const PROBE: Ms = 2_000;
/// After a part that had no answer.
const RETRY: Ms = 200;

/// Why a standby is struck.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Strike {
    Silent,
    BeganAnew,
    Late,
}

impl Strike {
    fn text(self) -> &'static str {
        match self {
            Strike::Silent => "does not answer",
            Strike::BeganAnew => "began anew",
            Strike::Late => "confirms too late",
        }
    }
}

/// All that changed up to some moment, told in one or more parts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Round {
    upto: u64,
    left: BTreeSet<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Feed {
    pub(super) name: String,
    /// In another zone than the leader.
    pub(super) far: bool,
    /// It was seen to know of the record.
    pub(super) knows: bool,
    incarnation: Option<u64>,
    fed: bool,
    stream: u64,
    part: u64,
    round: Option<Round>,
    /// Changed since the round began.
    dirty: BTreeSet<String>,
    /// Its copy holds all changes up to this one.
    acked: Option<u64>,
    /// The part that is on its way, by stream and number.
    in_flight: Option<(u64, u64)>,
    sent_at: Ms,
    retry_at: Ms,
    owes_since: Option<Ms>,
    warm_since: Option<Ms>,
    rest_until: Ms,
    strikes: u32,
    /// Why it was last struck.
    why: Option<Strike>,
}

impl Feed {
    pub(super) fn new(name: String, far: bool) -> Self {
        Feed {
            name,
            far,
            knows: false,
            incarnation: None,
            fed: false,
            stream: 0,
            part: 0,
            round: None,
            dirty: BTreeSet::new(),
            acked: None,
            in_flight: None,
            sent_at: 0,
            retry_at: 0,
            owes_since: None,
            warm_since: None,
            rest_until: 0,
            strikes: 0,
            why: None,
        }
    }

    pub(super) fn is_fed(&self) -> bool {
        self.fed
    }

    pub(super) fn rests(&self, now: Ms) -> bool {
        now < self.rest_until
    }

    pub(super) fn confirmed_by(&self, incarnation: u64) -> u64 {
        match self.incarnation == Some(incarnation) {
            true => self.acked.unwrap_or(0),
            false => 0,
        }
    }

    /// It knows all that was started so far.
    pub(super) fn is_warm(&self, sent: u64) -> bool {
        self.fed && self.acked.is_some_and(|acked| acked >= sent)
    }

    /// If it is named, then in this incarnation.
    pub(super) fn lasts(&self, named: Option<u64>) -> bool {
        named.is_none() || named == self.incarnation
    }

    pub(super) fn identity(&self) -> Option<(String, u64)> {
        Some((self.name.clone(), self.incarnation?))
    }

    /// Why the peer, named in that incarnation, is to be struck, if it is.
    pub(super) fn fails(&self, named: u64, answers: bool, now: Ms) -> Option<Strike> {
        if !answers {
            return Some(Strike::Silent);
        }
        if self.incarnation.is_some_and(|i| i != named) {
            return Some(Strike::BeganAnew);
        }
        let late = self.owes_since.is_some_and(|at| now >= at + CONFIRM);
        late.then_some(Strike::Late)
    }

    /// It is to be struck, and left alone for a while.
    pub(super) fn rest(&mut self, why: Strike, now: Ms) {
        if self.rests(now) {
            return;
        }
        log::info!("standby {} is struck: it {}", self.name, why.text());
        // One that began anew is as good as any other.
        let pause = match why {
            Strike::BeganAnew => 0,
            Strike::Silent | Strike::Late => (REST << self.strikes.min(4)).min(LONGEST_REST),
        };
        self.strikes += 1;
        self.rest_until = now + pause;
        self.why = Some(why);
        self.owes_since = None;
        self.warm_since = None;
    }

    /// A stream from the beginning. What its copy holds it goes on to hold
    /// until the new one is whole.
    pub(super) fn begin(&mut self, picture: &impl Picture) {
        self.fed = true;
        self.stream += 1;
        self.part = 0;
        self.dirty.clear();
        self.round = Some(Round {
            upto: picture.changes(),
            left: picture.held_machines(),
        });
    }

    pub(super) fn stop(&mut self) {
        self.fed = false;
        self.round = None;
        self.dirty.clear();
        self.acked = None;
        self.owes_since = None;
        self.warm_since = None;
    }

    pub(super) fn changed(&mut self, touched: &BTreeSet<String>) {
        self.dirty.extend(touched.iter().cloned());
    }

    pub(super) fn next(
        &mut self,
        term: u64,
        named: bool,
        probes: bool,
        picture: &impl Picture,
        now: Ms,
    ) -> Option<Follow> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        if !self.fed {
            let due = probes && !self.knows && now >= self.sent_at + PROBE;
            return due.then(|| self.probe(term, now));
        }
        if self.round.is_none() {
            let silent = now >= self.sent_at + KEEP_ALIVE;
            if self.dirty.is_empty() && !silent {
                return None;
            }
            self.round = Some(Round {
                upto: picture.changes(),
                left: std::mem::take(&mut self.dirty),
            });
        }
        let round = self.round.as_mut()?;
        let mut machines = Vec::new();
        let mut bytes = 0;
        while bytes < PART_BYTES
            && let Some(name) = round.left.pop_first()
        {
            let held = picture.held_on(&name);
            bytes += size(&held);
            machines.push(held);
        }
        let whole = round.left.is_empty();
        self.in_flight = Some((self.stream, self.part));
        self.sent_at = now;
        self.owes_since.get_or_insert(now);
        Some(Follow {
            term,
            stream: self.stream,
            part: self.part,
            whole,
            named,
            machines,
        })
    }

    /// An empty beginning, only to see whether it is understood.
    fn probe(&mut self, term: u64, now: Ms) -> Follow {
        self.stream += 1;
        self.in_flight = Some((self.stream, 0));
        self.sent_at = now;
        Follow {
            term,
            stream: self.stream,
            part: 0,
            whole: false,
            named: false,
            machines: Vec::new(),
        }
    }

    pub(super) fn answered(
        &mut self,
        answer: Option<(u64, bool)>,
        picture: &impl Picture,
        now: Ms,
    ) {
        self.knows |= answer.is_some();
        // One of a stream that was given up says nothing of the present one.
        if self.in_flight.take() != Some((self.stream, self.part)) || !self.fed {
            return;
        }
        let first = self.part == 0;
        let (same, taken) = match answer {
            None => (true, false),
            Some((incarnation, taken)) => {
                let same = self.incarnation == Some(incarnation);
                if !same {
                    // What it confirmed is gone with the process before.
                    self.acked = None;
                    self.warm_since = None;
                    self.incarnation = Some(incarnation);
                }
                (same || first, taken)
            }
        };
        if !same || !taken {
            if answer.is_none() {
                self.retry_at = now + RETRY;
            }
            self.begin(picture);
            return;
        }
        self.part += 1;
        if let Some(round) = self.round.take_if(|r| r.left.is_empty()) {
            self.acked = Some(round.upto);
            self.warm_since.get_or_insert(now);
            self.owes_since = (!self.dirty.is_empty()).then_some(now);
            if self.strikes > 0 && self.warm_since.is_some_and(|at| now > at + LONGEST_REST) {
                self.strikes = 0;
            }
        }
    }

    pub(super) fn status(&self, named: bool, now: Ms) -> StandbyStatus {
        let s = |at: Ms| now.saturating_sub(at) as f64 / 1000.0;
        StandbyStatus {
            node: self.name.clone(),
            warm: named && self.acked.is_some(),
            since_s: self.warm_since.map(s),
            owes_s: self.owes_since.map_or(0.0, s),
            why_not: match (named, self.acked) {
                (true, Some(_)) => None,
                _ if self.rests(now) => self.why.map(|why| why.text().to_owned()),
                (_, None) => Some("is being told what runs".into()),
                (false, Some(_)) => Some("is not recorded yet".into()),
            },
        }
    }
}

/// What it takes in a frame at most.
fn size(m: &MachineHolds) -> usize {
    let jobs = m.jobs.iter();
    let jobs: usize = jobs
        .map(|(id, tasks)| id.len() + 8 + 26 * tasks.len())
        .sum();
    m.machine.len() + 16 + jobs
}
