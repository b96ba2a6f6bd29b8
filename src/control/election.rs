//! Leader election: who leads, and until when. The leader's key stands in the state service
//! under a lease; authority ends a margin before the lease can. While the state
//! service fails all nodes alike, their promises prolong it, as far as the
//! leader can know of every cancellation that a user was told of.

use super::safety_bounds::{SafetyBounds, at_least, at_most};
use crate::state::Millis;

/// Life of the lease behind the leader's key.
pub const LEASE_TTL_MS: Millis = 4000;
/// How long it holds what was last read or told of who leads.
const LEADER_HINT_TTL_MS: Millis = 2_000;
/// How long a node that is placed poorly leaves leadership to others.
const CANDIDACY_DELAY_MS: Millis = 500;
/// The same for one that gives up leadership for its place.
const YIELD_PAUSE_MS: Millis = 1500;
const YIELD_INTERVAL_MS: Millis = 120_000;
/// How long it waits for a standby to be warm first.
const WARM_STANDBY_WAIT_MS: Millis = 5_000;
/// How long a promise not to seek leadership holds.
pub const PROMISE_MS: Millis = 1300;

/// How long the answer to a renewal is waited for: where the state service is
/// slow, others are asked meanwhile, and it counts from when it was sent.
pub const RENEWAL_TIMEOUT_MS: Millis = 2_500;
/// How long a step of campaigning may take.
pub const CAMPAIGN_STEP_TIMEOUT_MS: Millis = 1_200;
/// How long a node that is asked for a promise waits for the state service.
pub const PROMISE_CHECK_TIMEOUT_MS: Millis = 400;

/// How another node answered, asked by a leader that can't reach the state
/// service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseResponse {
    /// It seeks nothing for a while. `begun`: its process, which has led no
    /// later term, had begun by then, as it says itself.
    Granted { started_by: Option<Millis> },
    /// It can't seek anything before `until`, as the state service holds.
    Excluded { until: Millis },
    /// Its own requests succeed.
    StoreReachable,
    /// No promise, or no answer.
    Refused,
}

/// What promises came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseOutcome {
    Extended,
    /// A promise is missing, or they came when authority had ended.
    NotExtended,
    /// Another node is served: if a renewal that begins now fails, this one is
    /// refused alone.
    RefusedAlone,
    /// It may have missed cancellations for as long as it may.
    CancellationsUnknown,
}

#[derive(Debug)]
pub struct Election {
    pub me: String,
    pub incarnation: u64,
    bounds: SafetyBounds,
    process_started: Millis,
    /// The term this process leads, with the state service's lease.
    leadership: Option<Leadership>,
    /// Leader and term as last read, and when that was.
    pub observed_leader: Option<(String, u64)>,
    observed_at: Millis,
    /// When a leader was last read there.
    last_led_at: Millis,
    /// The same as another node last said.
    leader_hint: Option<(String, u64)>,
    leader_hint_at: Millis,
    promised_until: Millis,
    /// An attempt to become leader had no answer: the lease under which it
    /// was made. Until that is surely over, it may still succeed.
    pub indeterminate_lease: Option<u64>,
    /// A term whose leader said that it has stopped.
    resigned_term: Option<u64>,
    highest_term: u64,
    abstain_until: Millis,
    /// Since when the lead could be sought; a node that is placed poorly
    /// gives the others some time.
    vacant_since: Option<Millis>,
    /// When it last gave up leadership for its place alone.
    last_yield: Option<Millis>,
    /// Since when it leads in a poor place.
    unfavourable_since: Option<Millis>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    pub term: u64,
    pub lease: u64,
    valid_until: Millis,
    /// Up to then no later term had begun, so that this leader knows of every
    /// cancellation: only leaders write any, under the guard of their key.
    cancellations_known_until: Millis,
    /// When another node said, since the last renewal, that it is served.
    peer_served_at: Option<Millis>,
    basis: AuthorityBasis,
}

/// By what a leader may act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AuthorityBasis {
    /// The state service renewed its lease.
    LeaseRenewal,
    /// All other nodes promised to seek nothing.
    PeerPromises,
}

impl AuthorityBasis {
    pub fn text(self) -> &'static str {
        match self {
            AuthorityBasis::LeaseRenewal => "renewal",
            AuthorityBasis::PeerPromises => "promises",
        }
    }
}

impl Leadership {
    /// By what this leader may act, and until when.
    pub fn authority(&self) -> (AuthorityBasis, Millis) {
        (self.basis, self.valid_until)
    }

    /// Up to when it surely knows of every cancellation.
    pub fn cancellations_known_until(&self) -> Millis {
        self.cancellations_known_until
    }
}

impl Election {
    pub fn new(me: &str, incarnation: u64, bounds: SafetyBounds, now: Millis) -> Self {
        Election {
            me: me.to_owned(),
            incarnation,
            bounds,
            process_started: now,
            leadership: None,
            observed_leader: None,
            observed_at: 0,
            last_led_at: now,
            leader_hint: None,
            leader_hint_at: 0,
            promised_until: 0,
            indeterminate_lease: None,
            resigned_term: None,
            highest_term: 0,
            abstain_until: 0,
            vacant_since: None,
            last_yield: None,
            unfavourable_since: None,
        }
    }

    pub fn leadership(&self) -> Option<Leadership> {
        self.leadership
    }

    /// The term in which this process may act right now.
    pub fn authority(&self, now: Millis) -> Option<u64> {
        self.leadership
            .filter(|l| now < l.valid_until)
            .map(|l| l.term)
    }

    /// The key was read from the state service.
    pub fn observe_leader(&mut self, leader: Option<(String, u64)>, now: Millis) {
        self.observed_at = now;
        if let Some((_, term)) = &leader {
            self.last_led_at = now;
            self.highest_term = self.highest_term.max(*term);
            if self.resigned_term != Some(*term) {
                self.vacant_since = None;
            }
        }
        self.observed_leader = leader;
    }

    /// Since when nobody was seen to lead; at most since this process began.
    pub fn leaderless_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_led_at)
    }

    /// Another node says who leads.
    pub fn receive_leader_hint(&mut self, leader: Option<(String, u64)>, now: Millis) {
        let newer = |a: &(String, u64), b: &Option<(String, u64)>| {
            b.as_ref().is_none_or(|(_, term)| a.1 >= *term)
        };
        let stale = now > self.leader_hint_at + LEADER_HINT_TTL_MS;
        if let Some(leader) = leader.filter(|l| stale || newer(l, &self.leader_hint)) {
            self.leader_hint = Some(leader);
            self.leader_hint_at = now;
        }
    }

    /// Who leads, to send others there: as the state service says, or, while
    /// that can't be asked, as the other nodes do. Guards against a node that
    /// is cut off from the state service and sends workers to any other,
    /// though that may be a leader which can't hear them.
    pub fn leader(&self, now: Millis) -> Option<(&str, u64)> {
        let read = now <= self.observed_at + LEADER_HINT_TTL_MS;
        let told = self.leader_hint.as_ref();
        let told = told.filter(|_| !read && now <= self.leader_hint_at + LEADER_HINT_TTL_MS);
        let latest = self
            .observed_leader
            .iter()
            .chain(told)
            .max_by_key(|(_, term)| *term);
        latest.map(|(name, term)| (name.as_str(), *term))
    }

    /// With which version of the leader's key may this node try to replace
    /// it? 0: it must not exist.
    pub fn may_campaign(&self, now: Millis) -> Option<u64> {
        // A process that has just started may have forgotten a promise.
        if self.leadership.is_some()
            || self.indeterminate_lease.is_some()
            || now < self.promised_until
            || now < self.abstain_until
            || now < self.process_started + at_most(PROMISE_MS)
        {
            return None;
        }
        match &self.observed_leader {
            None => Some(0),
            Some((_, term)) if self.resigned_term == Some(*term) => Some(*term),
            Some(_) => None,
        }
    }

    /// Whether a node that may campaign leaves it to others first.
    pub fn delays_candidacy(&mut self, now: Millis, poor_place: impl Fn() -> bool) -> bool {
        let since = *self.vacant_since.get_or_insert(now);
        now < since + CANDIDACY_DELAY_MS && poor_place()
    }

    /// A leader that is placed poorly lets another try, once in a while: if
    /// none does, leadership must not go to and fro for it. It waits a little
    /// for one that is `warm`, as any other would have to hear all machines.
    pub fn yields_leadership(&mut self, poor: bool, warm: bool, now: Millis) -> bool {
        if !poor {
            self.unfavourable_since = None;
            return false;
        }
        let since = *self.unfavourable_since.get_or_insert(now);
        if !warm && now < since + WARM_STANDBY_WAIT_MS {
            return false;
        }
        if self
            .last_yield
            .is_some_and(|at| now < at + YIELD_INTERVAL_MS)
        {
            return false;
        }
        self.last_yield = Some(now);
        self.abstain_until = now + YIELD_PAUSE_MS;
        true
    }

    pub fn elected(&mut self, term: u64, lease: u64, lease_asked: Millis) {
        self.highest_term = self.highest_term.max(term);
        self.observed_leader = Some((self.me.clone(), term));
        self.indeterminate_lease = None;
        self.leadership = Some(Leadership {
            term,
            lease,
            valid_until: lease_asked + at_least(LEASE_TTL_MS),
            cancellations_known_until: lease_asked,
            peer_served_at: None,
            basis: AuthorityBasis::LeaseRenewal,
        });
    }

    /// A renewal of this lease, sent at `sent`, succeeded. The key stands under
    /// it until the lease ends: it is replaced only once this process has said
    /// that it stopped. So a renewal shows as much as a read of the key.
    pub fn renewed(&mut self, lease: u64, sent: Millis) {
        if let Some(l) = self.leadership.as_mut().filter(|l| l.lease == lease) {
            self.last_led_at = self.last_led_at.max(sent);
            l.valid_until = l.valid_until.max(sent + at_least(LEASE_TTL_MS));
            l.cancellations_known_until = l.cancellations_known_until.max(sent);
            l.peer_served_at = None;
            l.basis = AuthorityBasis::LeaseRenewal;
        }
    }

    /// Whether a failed renewal, begun then, shows that this node is refused
    /// alone. Guards against taking the end of an outage for that, which came
    /// after the renewal and before the others looked.
    pub fn is_refused_alone(&self, begun: Millis) -> bool {
        let served = self.leadership.and_then(|l| l.peer_served_at);
        served.is_some_and(|at| begun >= at)
    }

    /// What all other nodes answered, asked at `sent` for a promise.
    ///
    /// Promises prolong an authority that is unbroken: one that has ended may
    /// have passed to another, which ended in turn and forgot. Nor do they show
    /// by themselves that nobody has led since; that takes the word of each
    /// node's process that it has run since then, and has led no later term.
    pub fn extend_by_promises(
        &mut self,
        sent: Millis,
        answers: impl IntoIterator<Item = PromiseResponse>,
        now: Millis,
    ) -> PromiseOutcome {
        let blind = self.bounds.max_staleness();
        let Some(l) = &mut self.leadership else {
            return PromiseOutcome::NotExtended;
        };
        let (mut all, mut evident, mut most) = (true, true, Millis::MAX);
        for answer in answers {
            match answer {
                PromiseResponse::Granted { started_by } => {
                    evident &= started_by.is_some_and(|at| at < l.cancellations_known_until)
                }
                PromiseResponse::Excluded { until } => {
                    evident = false;
                    most = most.min(until);
                }
                PromiseResponse::StoreReachable => {
                    l.peer_served_at.get_or_insert(now);
                    return PromiseOutcome::RefusedAlone;
                }
                PromiseResponse::Refused => all = false,
            }
        }
        if now < l.valid_until && all {
            if evident {
                l.cancellations_known_until = l.cancellations_known_until.max(sent);
            }
            let promised = (sent + at_least(PROMISE_MS)).min(most);
            let promised = promised.min(l.cancellations_known_until + blind);
            if promised > l.valid_until {
                l.valid_until = promised;
                l.basis = AuthorityBasis::PeerPromises;
            }
        }
        let acts = now < l.valid_until;
        if acts && all {
            PromiseOutcome::Extended
        } else if !acts && now >= l.cancellations_known_until + blind {
            PromiseOutcome::CancellationsUnknown
        } else {
            PromiseOutcome::NotExtended
        }
    }

    /// When a process began that has run for so long by its own clock, as it
    /// said at `heard` or before: not later than this.
    pub fn process_started_by(running: Millis, heard: Millis) -> Millis {
        heard.saturating_sub(at_least(running))
    }

    /// How long this process has run.
    pub fn process_uptime(&self, now: Millis) -> Millis {
        now.saturating_sub(self.process_started)
    }

    /// Seeks nothing until then, so that others may.
    pub fn abstain(&mut self, until: Millis) {
        self.abstain_until = until;
    }

    /// Stops acting under that term. Returns the lease to give back. Guards
    /// against a cause of an earlier term that comes to light in a later one.
    pub fn resign(&mut self, term: u64) -> Option<Leadership> {
        let lead = self.leadership.take_if(|l| l.term == term)?;
        self.observed_leader = None;
        Some(lead)
    }

    /// A leader asks for a promise. `state_fails`: this node's own fresh
    /// request to the state service just failed.
    pub fn grant_promise(
        &mut self,
        now: Millis,
        term: u64,
        for_ms: Millis,
        state_fails: bool,
    ) -> bool {
        if !state_fails
            || term < self.highest_term
            || self.leadership.is_some()
            || self.indeterminate_lease.is_some()
        {
            return false;
        }
        if for_ms > PROMISE_MS {
            return false;
        }
        self.highest_term = term;
        self.promised_until = self.promised_until.max(now + at_most(for_ms));
        true
    }

    pub fn peer_resigned(&mut self, term: u64) {
        self.resigned_term = Some(term);
        // Whoever said so asked for nothing further of a promise to it.
        if term >= self.highest_term {
            self.promised_until = 0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bounds(cancel_s: f64) -> SafetyBounds {
        SafetyBounds::of(&crate::protocol::settings::Workers {
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

    const OLD: PromiseResponse = PromiseResponse::Granted {
        started_by: Some(0),
    };
    const YOUNG: PromiseResponse = PromiseResponse::Granted { started_by: None };

    /// Asks each 200 ms from the last renewal on; until when it acts.
    fn acts_until(
        e: &mut Election,
        from: Millis,
        answers: impl Fn(Millis) -> [PromiseResponse; 2],
    ) -> Millis {
        let mut now = from;
        while now < from + 120_000 {
            if e.authority(now).is_none() {
                return now;
            }
            e.extend_by_promises(now, answers(now), now + 10);
            now += 200;
        }
        now
    }

    fn led(cancel_s: f64) -> Election {
        let mut e = Election::new("a", 1, bounds(cancel_s), 0);
        e.elected(5, 1, 9_000);
        e.renewed(1, 10_000);
        e
    }

    /// Guards against a leader that goes on while another, which none of those
    /// who promise remembers, has told users of cancellations.
    #[test]
    fn without_evidence_of_all_promises_end_at_the_horizon_and_with_it_they_do_not() {
        let blind = bounds(35.0).max_staleness();
        let until = |answer| acts_until(&mut led(35.0), 10_000, |_| [OLD, answer]);
        assert!(until(OLD) >= 130_000);
        for short in [
            YOUNG,
            // It began right after the last renewal.
            PromiseResponse::Granted {
                started_by: Some(10_000),
            },
            PromiseResponse::Excluded { until: Millis::MAX },
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
        assert!(end <= 10_000 + LEASE_TTL_MS, "{end}");
        let mut e = led(35.0);
        acts_until(&mut e, 10_000, |_| [OLD, YOUNG]);
        assert_eq!(
            e.extend_by_promises(31_000, [OLD, OLD], 31_001),
            PromiseOutcome::CancellationsUnknown
        );
        assert_eq!(e.authority(31_001), None);
    }

    /// Guards against the revival of a leader that was replaced.
    #[test]
    fn promises_never_bring_back_an_authority_that_has_ended() {
        let mut e = led(35.0);
        assert_eq!(
            e.extend_by_promises(13_000, [OLD, PromiseResponse::Refused], 13_010),
            PromiseOutcome::NotExtended
        );
        assert_eq!(e.authority(13_900), None);
        assert_eq!(
            e.extend_by_promises(13_900, [OLD, OLD], 13_910),
            PromiseOutcome::NotExtended
        );
        assert_eq!(e.authority(13_920), None);
        // That its lease stands does.
        e.renewed(1, 14_000);
        assert_eq!(e.authority(14_001), Some(5));
        // Not that of an earlier lease, answered late.
        let mut e = led(35.0);
        e.resign(5);
        e.elected(9, 2, 12_000);
        e.renewed(1, 15_000);
        assert_eq!(e.authority(16_000), None);
    }

    /// Guards against taking a node that promised nothing for one that did,
    /// as its own requests succeed.
    #[test]
    fn a_node_that_reaches_the_state_service_promises_nothing() {
        let mut e = led(35.0);
        let answers = [OLD, PromiseResponse::StoreReachable];
        assert_eq!(
            e.extend_by_promises(13_500, answers, 13_510),
            PromiseOutcome::RefusedAlone
        );
        // The renewal of that round may have come before the end of an outage.
        assert!(!e.is_refused_alone(13_500) && e.is_refused_alone(13_510));
        let mut over = led(35.0);
        over.extend_by_promises(13_500, answers, 13_510);
        over.renewed(1, 13_520);
        assert!(!over.is_refused_alone(13_600));
        assert_eq!(e.authority(13_900), None);
    }

    /// Guards against a process that is back within a moment and stands for
    /// the one before it.
    #[test]
    fn a_process_says_how_long_it_has_run_and_a_late_answer_makes_it_younger() {
        let e = Election::new("b", 2, bounds(35.0), 60_000);
        assert_eq!(e.process_uptime(61_000), 1_000);
        let begun = Election::process_started_by(1_000, 11_000);
        assert!((10_000..10_300).contains(&begun), "{begun}");
        assert!(Election::process_started_by(1_000, 13_000) > 12_000);
        assert_eq!(
            Election::process_started_by(99_000, 1_000),
            0,
            "before this process"
        );
    }

    #[test]
    fn while_the_state_service_cant_be_asked_the_others_tell_who_leads() {
        let mut e = new("n0");
        let of = |name: &str, term| Some((name.to_owned(), term));
        e.observe_leader(of("n1", 5), 100);
        e.receive_leader_hint(of("n2", 9), 200);
        assert_eq!(e.leader(1000), Some(("n1", 5)), "it was read just now");
        e.receive_leader_hint(of("n2", 9), 3000);
        assert_eq!(e.leader(3000), Some(("n2", 9)));
        // A node that lags does not take that back, nor does one that knows
        // nothing.
        e.receive_leader_hint(of("n1", 5), 3100);
        e.receive_leader_hint(None, 3100);
        assert_eq!(e.leader(3100), Some(("n2", 9)));
        assert_eq!(e.may_campaign(9000), None, "hearsay entitles to nothing");
        e.observe_leader(None, 4000);
        assert_eq!(e.leader(4000), None);
    }

    /// Guards against a leader that stops for what befell it in an earlier term.
    #[test]
    fn only_the_term_that_is_led_can_be_given_up() {
        let mut e = led(35.0);
        e.resign(5);
        e.elected(9, 2, 12_000);
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
        e.elected(5, 1, 1_000);
        e.renewed(1, 9_000);
        e.resign(5);
        assert_eq!(e.leaderless_for(10_000), 1_000);
    }
}
