//! Who leads, and until when. The leader's key stands in the state service
//! under a lease; authority ends a margin before the lease can.

use crate::bookkeeping::Ms;

/// Life of the lease behind the leader's key.
pub const LIFE: Ms = 4000;
/// Taken off every span of authority: timers fire late, clocks drift.
const MARGIN: Ms = 150;
/// How long it holds what was last read or told of who leads.
const HEARSAY: Ms = 2_000;
/// How long a node that is placed poorly leaves the lead to others.
const HESITATE: Ms = 500;
/// The same for one that gives up the lead for its place.
const STAND_BACK: Ms = 1500;
const ONCE_IN: Ms = 120_000;
/// How long it waits for a standby to be warm first.
const AWAIT_WARM: Ms = 5_000;
/// How long a promise not to seek leadership holds.
pub const PROMISE: Ms = 1300;

/// A span shortened for a steady clock that may run fast or slow by 0.05%.
fn safe(span: Ms) -> Ms {
    span - span / 1000 - MARGIN
}

#[derive(Debug)]
pub struct Election {
    pub me: String,
    pub incarnation: u64,
    started: Ms,
    /// The term this process leads, with the state service's lease.
    lead: Option<Lead>,
    /// Leader and term as last read, and when that was.
    pub seen: Option<(String, u64)>,
    seen_at: Ms,
    /// When a leader was last read there.
    led_at: Ms,
    /// The same as another node last said.
    told: Option<(String, u64)>,
    told_at: Ms,
    promised_until: Ms,
    /// An attempt to become leader had no answer: the lease under which it
    /// was made. Until that is surely over, it may still succeed.
    pub doubt: Option<u64>,
    /// A term whose leader said that it has stopped.
    replaceable: Option<u64>,
    highest: u64,
    abstain_until: Ms,
    /// Since when the lead could be sought; a node that is placed poorly
    /// gives the others some time.
    open_since: Option<Ms>,
    /// When it last gave up the lead for its place alone.
    stood_back: Option<Ms>,
    /// Since when it leads in a poor place.
    poor_since: Option<Ms>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lead {
    pub term: u64,
    pub lease: u64,
    until: Ms,
}

impl Election {
    pub fn new(me: &str, incarnation: u64, now: Ms) -> Self {
        Election {
            me: me.to_owned(),
            incarnation,
            started: now,
            lead: None,
            seen: None,
            seen_at: 0,
            led_at: now,
            told: None,
            told_at: 0,
            promised_until: 0,
            doubt: None,
            replaceable: None,
            highest: 0,
            abstain_until: 0,
            open_since: None,
            stood_back: None,
            poor_since: None,
        }
    }

    pub fn lead(&self) -> Option<Lead> {
        self.lead
    }

    /// The term in which this process may act right now.
    pub fn authority(&self, now: Ms) -> Option<u64> {
        self.lead.filter(|l| now < l.until).map(|l| l.term)
    }

    /// The key was read from the state service.
    pub fn saw(&mut self, leader: Option<(String, u64)>, now: Ms) {
        self.seen_at = now;
        if let Some((_, term)) = &leader {
            self.led_at = now;
            self.highest = self.highest.max(*term);
            if self.replaceable != Some(*term) {
                self.open_since = None;
            }
        }
        self.seen = leader;
    }

    /// Since when nobody was seen to lead; at most since this process began.
    pub fn leaderless_for(&self, now: Ms) -> Ms {
        now.saturating_sub(self.led_at)
    }

    /// Another node says who leads.
    pub fn heard(&mut self, leader: Option<(String, u64)>, now: Ms) {
        let newer = |a: &(String, u64), b: &Option<(String, u64)>| {
            b.as_ref().is_none_or(|(_, term)| a.1 >= *term)
        };
        let stale = now > self.told_at + HEARSAY;
        if let Some(leader) = leader.filter(|l| stale || newer(l, &self.told)) {
            self.told = Some(leader);
            self.told_at = now;
        }
    }

    /// Who leads, to send others there: as the state service says, or, while
    /// that can't be asked, as the other nodes do. Guards against a node that
    /// is cut off from the state service and sends workers to any other,
    /// though that may be a leader which can't hear them.
    pub fn leader(&self, now: Ms) -> Option<(&str, u64)> {
        let read = now <= self.seen_at + HEARSAY;
        let told = self.told.as_ref();
        let told = told.filter(|_| !read && now <= self.told_at + HEARSAY);
        let latest = self.seen.iter().chain(told).max_by_key(|(_, term)| *term);
        latest.map(|(name, term)| (name.as_str(), *term))
    }

    /// With which version of the leader's key may this node try to replace
    /// it? 0: it must not exist.
    pub fn may_seek(&self, now: Ms) -> Option<u64> {
        // A process that has just started may have forgotten a promise.
        if self.lead.is_some()
            || self.doubt.is_some()
            || now < self.promised_until
            || now < self.abstain_until
            || now < self.started + PROMISE + MARGIN
        {
            return None;
        }
        match &self.seen {
            None => Some(0),
            Some((_, term)) if self.replaceable == Some(*term) => Some(*term),
            Some(_) => None,
        }
    }

    /// Whether a node that may seek the lead leaves it to others first.
    pub fn hesitates(&mut self, now: Ms, poor_place: impl Fn() -> bool) -> bool {
        let since = *self.open_since.get_or_insert(now);
        now < since + HESITATE && poor_place()
    }

    /// A leader that is placed poorly lets another try, once in a while: if
    /// none does, leadership must not go to and fro for it. It waits a little
    /// for one that is `warm`, as any other would have to hear all machines.
    pub fn stands_back(&mut self, poor: bool, warm: bool, now: Ms) -> bool {
        if !poor {
            self.poor_since = None;
            return false;
        }
        let since = *self.poor_since.get_or_insert(now);
        if !warm && now < since + AWAIT_WARM {
            return false;
        }
        if self.stood_back.is_some_and(|at| now < at + ONCE_IN) {
            return false;
        }
        self.stood_back = Some(now);
        self.abstain_until = now + STAND_BACK;
        true
    }

    pub fn won(&mut self, term: u64, lease: u64, lease_asked: Ms) {
        self.highest = self.highest.max(term);
        self.seen = Some((self.me.clone(), term));
        self.doubt = None;
        self.lead = Some(Lead {
            term,
            lease,
            until: lease_asked + safe(LIFE),
        });
    }

    /// A renewal sent at `sent` succeeded.
    pub fn renewed(&mut self, sent: Ms) {
        self.led_at = self.led_at.max(sent);
        if let Some(l) = &mut self.lead {
            l.until = l.until.max(sent + safe(LIFE));
        }
    }

    /// All other nodes promised, when asked at `sent`, to seek nothing, or
    /// can't before `most`.
    pub fn promised_by_all(&mut self, sent: Ms, most: Ms) {
        if let Some(l) = &mut self.lead {
            l.until = l.until.max((sent + safe(PROMISE)).min(most));
        }
    }

    /// Seeks nothing until then, so that others may.
    pub fn abstain(&mut self, until: Ms) {
        self.abstain_until = until;
    }

    /// Stops acting. Returns the lease to give back.
    pub fn resign(&mut self) -> Option<Lead> {
        self.seen = None;
        self.lead.take()
    }

    /// A leader asks for a promise. `state_fails`: this node's own fresh
    /// request to the state service just failed.
    pub fn grant(&mut self, now: Ms, term: u64, for_ms: Ms, state_fails: bool) -> bool {
        if !state_fails || term < self.highest || self.lead.is_some() || self.doubt.is_some() {
            return false;
        }
        if for_ms > PROMISE {
            return false;
        }
        self.highest = term;
        self.promised_until = self
            .promised_until
            .max(now + for_ms + for_ms / 1000 + MARGIN);
        true
    }

    pub fn resigned(&mut self, term: u64) {
        self.replaceable = Some(term);
        // Whoever said so asked for nothing further of a promise to it.
        if term >= self.highest {
            self.promised_until = 0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn while_the_state_service_cant_be_asked_the_others_tell_who_leads() {
        let mut e = Election::new("n0", 1, 0);
        let of = |name: &str, term| Some((name.to_owned(), term));
        e.saw(of("n1", 5), 100);
        e.heard(of("n2", 9), 200);
        assert_eq!(e.leader(1000), Some(("n1", 5)), "it was read just now");
        e.heard(of("n2", 9), 3000);
        assert_eq!(e.leader(3000), Some(("n2", 9)));
        // A node that lags does not take that back, nor does one that knows
        // nothing.
        e.heard(of("n1", 5), 3100);
        e.heard(None, 3100);
        assert_eq!(e.leader(3100), Some(("n2", 9)));
        assert_eq!(e.may_seek(9000), None, "hearsay entitles to nothing");
        e.saw(None, 4000);
        assert_eq!(e.leader(4000), None);
    }

    /// Guards against counting a node's own term as time without a leader, as
    /// it reads the key of none then.
    #[test]
    fn while_it_leads_itself_somebody_leads() {
        let mut e = Election::new("a", 1, 0);
        e.won(5, 1, 1_000);
        e.renewed(9_000);
        e.resign();
        assert_eq!(e.leaderless_for(10_000), 1_000);
    }
}
