//! Who leads, and until when. The leader's key stands in the state service
//! under a lease; authority ends a margin before the lease can. While the state
//! service fails all nodes alike, their promises prolong it, as far as the
//! leader can know of every withdrawal that a user was told of.

use super::safety_bounds::{Bounds, at_least, at_most};
use crate::state::Ms;

/// Life of the lease behind the leader's key.
pub const LEASE_LIFE_MS: Ms = 4000;
/// How long it holds what was last read or told of who leads.
const HEARSAY_MS: Ms = 2_000;
/// How long a node that is placed poorly leaves the lead to others.
const HESITATE_MS: Ms = 500;
/// The same for one that gives up the lead for its place.
const STAND_BACK_MS: Ms = 1500;
const STAND_BACK_EVERY_MS: Ms = 120_000;
/// How long it waits for a standby to be warm first.
const AWAIT_WARM_MS: Ms = 5_000;
/// How long a promise not to seek leadership holds.
pub const PROMISE_MS: Ms = 1300;

/// How long the answer to a renewal is waited for: where the state service is
/// slow, others are asked meanwhile, and it counts from when it was sent.
pub const RENEWAL_TIMEOUT_MS: Ms = 2_500;
/// How long a step of seeking the lead may take.
pub const SEEK_STEP_MS: Ms = 1_200;
/// How long a node that is asked for a promise waits for the state service.
pub const PROMISE_CHECK_MS: Ms = 400;

/// How another node answered, asked by a leader that can't reach the state
/// service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promised {
    /// It seeks nothing for a while. `begun`: its process, which has led no
    /// later term, had begun by then, as it says itself.
    Yes { begun: Option<Ms> },
    /// It can't seek anything before `until`, as the state service holds.
    Barred { until: Ms },
    /// Its own requests succeed.
    StateAnswers,
    /// No promise, or no answer.
    No,
}

/// What promises came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extended {
    Yes,
    /// A promise is missing, or they came when authority had ended.
    No,
    /// Another node is served: if a renewal that begins now fails, this one is
    /// refused alone.
    Alone,
    /// It may have missed withdrawals for as long as it may.
    WithdrawalsUnknown,
}

#[derive(Debug)]
pub struct Election {
    pub me: String,
    pub incarnation: u64,
    bounds: Bounds,
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
    /// Up to then no later term had begun, so that this leader knows of every
    /// withdrawal: only leaders write any, under the guard of their key.
    knows: Ms,
    /// When another node said, since the last renewal, that it is served.
    others_served: Option<Ms>,
    right: Right,
}

/// By what a leader may act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Right {
    /// The state service renewed its lease.
    Renewal,
    /// All other nodes promised to seek nothing.
    Promises,
}

impl Right {
    pub fn text(self) -> &'static str {
        match self {
            Right::Renewal => "renewal",
            Right::Promises => "promises",
        }
    }
}

impl Lead {
    /// By what this leader may act, and until when.
    pub fn authority(&self) -> (Right, Ms) {
        (self.right, self.until)
    }

    /// Up to when it surely knows of every withdrawal.
    pub fn knows(&self) -> Ms {
        self.knows
    }
}

impl Election {
    pub fn new(me: &str, incarnation: u64, bounds: Bounds, now: Ms) -> Self {
        Election {
            me: me.to_owned(),
            incarnation,
            bounds,
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
        let stale = now > self.told_at + HEARSAY_MS;
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
        let read = now <= self.seen_at + HEARSAY_MS;
        let told = self.told.as_ref();
        let told = told.filter(|_| !read && now <= self.told_at + HEARSAY_MS);
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
            || now < self.started + at_most(PROMISE_MS)
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
        now < since + HESITATE_MS && poor_place()
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
        if !warm && now < since + AWAIT_WARM_MS {
            return false;
        }
        if self
            .stood_back
            .is_some_and(|at| now < at + STAND_BACK_EVERY_MS)
        {
            return false;
        }
        self.stood_back = Some(now);
        self.abstain_until = now + STAND_BACK_MS;
        true
    }

    pub fn won(&mut self, term: u64, lease: u64, lease_asked: Ms) {
        self.highest = self.highest.max(term);
        self.seen = Some((self.me.clone(), term));
        self.doubt = None;
        self.lead = Some(Lead {
            term,
            lease,
            until: lease_asked + at_least(LEASE_LIFE_MS),
            knows: lease_asked,
            others_served: None,
            right: Right::Renewal,
        });
    }

    /// A renewal of this lease, sent at `sent`, succeeded. The key stands under
    /// it until the lease ends: it is replaced only once this process has said
    /// that it stopped. So a renewal shows as much as a read of the key.
    pub fn renewed(&mut self, lease: u64, sent: Ms) {
        if let Some(l) = self.lead.as_mut().filter(|l| l.lease == lease) {
            self.led_at = self.led_at.max(sent);
            l.until = l.until.max(sent + at_least(LEASE_LIFE_MS));
            l.knows = l.knows.max(sent);
            l.others_served = None;
            l.right = Right::Renewal;
        }
    }

    /// Whether a failed renewal, begun then, shows that this node is refused
    /// alone. Guards against taking the end of an outage for that, which came
    /// after the renewal and before the others looked.
    pub fn is_refused_alone(&self, begun: Ms) -> bool {
        let served = self.lead.and_then(|l| l.others_served);
        served.is_some_and(|at| begun >= at)
    }

    /// What all other nodes answered, asked at `sent` for a promise.
    ///
    /// Promises prolong an authority that is unbroken: one that has ended may
    /// have passed to another, which ended in turn and forgot. Nor do they show
    /// by themselves that nobody has led since; that takes the word of each
    /// node's process that it has run since then, and has led no later term.
    pub fn extend(
        &mut self,
        sent: Ms,
        answers: impl IntoIterator<Item = Promised>,
        now: Ms,
    ) -> Extended {
        let blind = self.bounds.blind();
        let Some(l) = &mut self.lead else {
            return Extended::No;
        };
        let (mut all, mut evident, mut most) = (true, true, Ms::MAX);
        for answer in answers {
            match answer {
                Promised::Yes { begun } => evident &= begun.is_some_and(|at| at < l.knows),
                Promised::Barred { until } => {
                    evident = false;
                    most = most.min(until);
                }
                Promised::StateAnswers => {
                    l.others_served.get_or_insert(now);
                    return Extended::Alone;
                }
                Promised::No => all = false,
            }
        }
        if now < l.until && all {
            if evident {
                l.knows = l.knows.max(sent);
            }
            let promised = (sent + at_least(PROMISE_MS)).min(most);
            let promised = promised.min(l.knows + blind);
            if promised > l.until {
                l.until = promised;
                l.right = Right::Promises;
            }
        }
        let acts = now < l.until;
        if acts && all {
            Extended::Yes
        } else if !acts && now >= l.knows + blind {
            Extended::WithdrawalsUnknown
        } else {
            Extended::No
        }
    }

    /// When a process began that has run for so long by its own clock, as it
    /// said at `heard` or before: not later than this.
    pub fn begun(running: Ms, heard: Ms) -> Ms {
        heard.saturating_sub(at_least(running))
    }

    /// How long this process has run.
    pub fn running(&self, now: Ms) -> Ms {
        now.saturating_sub(self.started)
    }

    /// Seeks nothing until then, so that others may.
    pub fn abstain(&mut self, until: Ms) {
        self.abstain_until = until;
    }

    /// Stops acting under that term. Returns the lease to give back. Guards
    /// against a cause of an earlier term that comes to light in a later one.
    pub fn resign(&mut self, term: u64) -> Option<Lead> {
        let lead = self.lead.take_if(|l| l.term == term)?;
        self.seen = None;
        Some(lead)
    }

    /// A leader asks for a promise. `state_fails`: this node's own fresh
    /// request to the state service just failed.
    pub fn grant(&mut self, now: Ms, term: u64, for_ms: Ms, state_fails: bool) -> bool {
        if !state_fails || term < self.highest || self.lead.is_some() || self.doubt.is_some() {
            return false;
        }
        if for_ms > PROMISE_MS {
            return false;
        }
        self.highest = term;
        self.promised_until = self.promised_until.max(now + at_most(for_ms));
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

    fn bounds(cancel_s: f64) -> Bounds {
        Bounds::of(&crate::protocol::settings::Workers {
            report_s: 1.0,
            lease_s: 10.0,
            gang_wait_s: 1.0,
            gang_peer_s: 1.0,
            cancel_s,
        })
    }

    fn new(me: &str) -> Election {
        Election::new(me, 1, bounds(35.0), 0)
    }

    const OLD: Promised = Promised::Yes { begun: Some(0) };
    const YOUNG: Promised = Promised::Yes { begun: None };

    /// Asks each 200 ms from the last renewal on; until when it acts.
    fn acts_until(e: &mut Election, from: Ms, answers: impl Fn(Ms) -> [Promised; 2]) -> Ms {
        let mut now = from;
        while now < from + 120_000 {
            if e.authority(now).is_none() {
                return now;
            }
            e.extend(now, answers(now), now + 10);
            now += 200;
        }
        now
    }

    fn led(cancel_s: f64) -> Election {
        let mut e = Election::new("a", 1, bounds(cancel_s), 0);
        e.won(5, 1, 9_000);
        e.renewed(1, 10_000);
        e
    }

    /// Guards against a leader that goes on while another, which none of those
    /// who promise remembers, has told users of withdrawals.
    #[test]
    fn without_evidence_of_all_promises_end_at_the_horizon_and_with_it_they_do_not() {
        let blind = bounds(35.0).blind();
        let until = |answer| acts_until(&mut led(35.0), 10_000, |_| [OLD, answer]);
        assert!(until(OLD) >= 130_000);
        for short in [
            YOUNG,
            // It began right after the last renewal.
            Promised::Yes {
                begun: Some(10_000),
            },
            Promised::Barred { until: Ms::MAX },
        ] {
            let end = until(short);
            assert!((10_000 + blind..10_200 + blind).contains(&end), "{end}");
        }
        // Evidence counts from when it was asked for.
        let late = |now| [OLD, if now < 50_000 { OLD } else { YOUNG }];
        let end = acts_until(&mut led(35.0), 10_000, late);
        assert!((49_000 + blind..50_200 + blind).contains(&end), "{end}");
        // Where the settings leave no time, none is given beyond the lease.
        let end = acts_until(&mut led(14.0), 10_000, |_| [OLD, YOUNG]);
        assert!(end <= 10_000 + LEASE_LIFE_MS, "{end}");
        let mut e = led(35.0);
        acts_until(&mut e, 10_000, |_| [OLD, YOUNG]);
        assert_eq!(
            e.extend(31_000, [OLD, OLD], 31_001),
            Extended::WithdrawalsUnknown
        );
        assert_eq!(e.authority(31_001), None);
    }

    /// Guards against the revival of a leader that was replaced.
    #[test]
    fn promises_never_bring_back_an_authority_that_has_ended() {
        let mut e = led(35.0);
        assert_eq!(e.extend(13_000, [OLD, Promised::No], 13_010), Extended::No);
        assert_eq!(e.authority(13_900), None);
        assert_eq!(e.extend(13_900, [OLD, OLD], 13_910), Extended::No);
        assert_eq!(e.authority(13_920), None);
        // That its lease stands does.
        e.renewed(1, 14_000);
        assert_eq!(e.authority(14_001), Some(5));
        // Not that of an earlier lease, answered late.
        let mut e = led(35.0);
        e.resign(5);
        e.won(9, 2, 12_000);
        e.renewed(1, 15_000);
        assert_eq!(e.authority(16_000), None);
    }

    /// Guards against taking a node that promised nothing for one that did,
    /// as its own requests succeed.
    #[test]
    fn a_node_that_reaches_the_state_service_promises_nothing() {
        let mut e = led(35.0);
        let answers = [OLD, Promised::StateAnswers];
        assert_eq!(e.extend(13_500, answers, 13_510), Extended::Alone);
        // The renewal of that round may have come before the end of an outage.
        assert!(!e.is_refused_alone(13_500) && e.is_refused_alone(13_510));
        let mut over = led(35.0);
        over.extend(13_500, answers, 13_510);
        over.renewed(1, 13_520);
        assert!(!over.is_refused_alone(13_600));
        assert_eq!(e.authority(13_900), None);
    }

    /// Guards against a process that is back within a moment and stands for
    /// the one before it.
    #[test]
    fn a_process_says_how_long_it_has_run_and_a_late_answer_makes_it_younger() {
        let e = Election::new("b", 2, bounds(35.0), 60_000);
        assert_eq!(e.running(61_000), 1_000);
        let begun = Election::begun(1_000, 11_000);
        assert!((10_000..10_300).contains(&begun), "{begun}");
        assert!(Election::begun(1_000, 13_000) > 12_000);
        assert_eq!(Election::begun(99_000, 1_000), 0, "before this process");
    }

    #[test]
    fn while_the_state_service_cant_be_asked_the_others_tell_who_leads() {
        let mut e = new("n0");
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

    /// Guards against a leader that stops for what befell it in an earlier term.
    #[test]
    fn only_the_term_that_is_led_can_be_given_up() {
        let mut e = led(35.0);
        e.resign(5);
        e.won(9, 2, 12_000);
        assert_eq!(e.resign(5), None);
        assert_eq!(e.authority(12_100), Some(9));
        assert!(e.resign(9).is_some());
        assert_eq!(e.authority(12_100), None);
    }

    /// Guards against counting a node's own term as time without a leader, as
    /// it reads the key of none then.
    #[test]
    fn while_it_leads_itself_somebody_leads() {
        let mut e = new("a");
        e.won(5, 1, 1_000);
        e.renewed(1, 9_000);
        e.resign(5);
        assert_eq!(e.leaderless_for(10_000), 1_000);
    }
}
