//! Leader election and the leader's authority, as a state machine without I/O.
//!
//! The leader's key is stored in the key-value store under a lease. A leader may act
//! until shortly before that lease can expire. While the store is unavailable to all
//! controllers, promises of the other controllers not to campaign extend the leader's
//! authority, but no longer than [`SafetyBounds::max_staleness`] after the last moment
//! at which the leader certainly knew of every cancellation.
//!
//! Owns: the term of this process, its lease and authority, the promise that it granted
//! to another leader, and the leader that it last observed. Called by
//! `server::leadership` (campaigns, lease renewals, promises), by `server` to find the
//! current leader, and by the simulation in `tests/`.
//!
//! Must never: grant a promise while this process leads or one of its own attempts to
//! become leader may still succeed; extend an authority that has ended, except by a
//! renewal of the lease; campaign before the expiry of a promise that an earlier
//! process of this node may have granted.

use super::safety_bounds::{SafetyBounds, max_local_duration, min_local_duration};
use crate::state::Millis;

/// Time to live of the lease under the leader's key.
pub const LEASE_TTL_MS: Millis = 4000;
/// How long an observed leader, or a leader hint received from a peer, is used.
const LEADER_HINT_TTL_MS: Millis = 2_000;
/// How long a node in an unfavourable failover position delays its candidacy, so that
/// another node can take the vacant leadership.
const CANDIDACY_DELAY_MS: Millis = 500;
/// How long a leader does not campaign after it yielded because of its failover
/// position.
const YIELD_PAUSE_MS: Millis = 1500;
/// Minimum time between two such yields of one process.
const YIELD_INTERVAL_MS: Millis = 120_000;
/// How long a leader in an unfavourable failover position waits for a warm standby
/// before it yields without one.
const WARM_STANDBY_WAIT_MS: Millis = 5_000;
/// Duration of a promise not to campaign.
pub const PROMISE_MS: Millis = 1300;

/// How long the leader waits for the response to a lease renewal. Peers are asked for
/// promises in the meantime, and a late success extends the lease from the time at
/// which the renewal was sent.
pub const RENEWAL_TIMEOUT_MS: Millis = 2_500;
/// Timeout of one step of a campaign.
pub const CAMPAIGN_STEP_TIMEOUT_MS: Millis = 1_200;
/// How long a node that is asked for a promise waits for the key-value store.
pub const PROMISE_CHECK_TIMEOUT_MS: Millis = 400;

/// A peer's answer to a leader that asks for a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseResponse {
    /// The peer does not campaign for [`PROMISE_MS`]. `started_by`: by the peer's own
    /// statement, its process had started by this time and has led no later term.
    Granted { started_by: Option<Millis> },
    /// An exclusion in the key-value store prevents the election of the peer before
    /// `until`.
    Excluded { until: Millis },
    /// The peer's own requests to the key-value store succeed.
    StoreReachable,
    /// The peer refused the promise or did not answer.
    Refused,
}

/// Result of one round of promise requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseOutcome {
    /// Every peer promised or is excluded, and the leader may continue to act.
    Extended,
    /// A promise is missing, or the promises arrived after the authority had ended.
    NotExtended,
    /// A peer reaches the key-value store: if a renewal that starts from now on fails,
    /// the store is unavailable to this node alone.
    StoreReachableByPeer,
    /// The authority has ended, because this leader may have missed cancellations for
    /// longer than the staleness bound.
    CancellationsUnknown,
}

/// The election state of this process.
#[derive(Debug)]
pub struct Election {
    /// Name of this node in the leader's key.
    pub node_name: String,
    /// Random number that distinguishes this process from earlier processes of this
    /// node.
    pub incarnation: u64,
    bounds: SafetyBounds,
    process_started: Millis,
    /// The term that this process leads, with its lease.
    leadership: Option<Leadership>,
    /// Leader and term as last read from the leader's key.
    pub observed_leader: Option<(String, u64)>,
    observed_at: Millis,
    /// When the key was last known to hold a leader.
    last_led_at: Millis,
    /// Leader and term as last reported by a peer.
    leader_hint: Option<(String, u64)>,
    leader_hint_at: Millis,
    promised_until: Millis,
    /// Lease of an attempt to become leader whose outcome is unknown. The attempt may
    /// still succeed until that lease has certainly ended.
    pub indeterminate_lease: Option<u64>,
    /// A term whose leader announced that it has stopped.
    resigned_term: Option<u64>,
    highest_term: u64,
    abstain_until: Millis,
    /// When this node first found that it may campaign; [`CANDIDACY_DELAY_MS`] counts
    /// from then.
    vacant_since: Option<Millis>,
    /// When this process last yielded because of its failover position.
    last_yield: Option<Millis>,
    /// When this leader's failover position became unfavourable.
    unfavourable_since: Option<Millis>,
}

/// A term that this process leads, and its authority in that term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// Revision of the leader's key, used as the fencing token of every write.
    pub term: u64,
    /// Lease under the leader's key.
    pub lease: u64,
    valid_until: Millis,
    /// No later term had begun by this time, so this leader knows of every cancellation
    /// up to then: only leaders record cancellations, on condition of their own key.
    cancellations_known_until: Millis,
    /// When a peer first reported, since the last renewal, that it reaches the
    /// key-value store.
    peer_reached_store_at: Option<Millis>,
    basis: AuthorityBasis,
}

/// The basis of a leader's authority, and when the authority ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// What last extended the authority.
    pub basis: AuthorityBasis,
    /// The leader may act before this time.
    pub valid_until: Millis,
}

/// What a leader's authority is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AuthorityBasis {
    /// The key-value store renewed the leader's lease.
    LeaseRenewal,
    /// All other controllers promised not to campaign, or are excluded.
    PeerPromises,
}

impl AuthorityBasis {
    /// Returns the label value for metrics and log lines. Dashboards depend on this
    /// text.
    pub fn text(self) -> &'static str {
        match self {
            AuthorityBasis::LeaseRenewal => "renewal",
            AuthorityBasis::PeerPromises => "promises",
        }
    }
}

impl Leadership {
    /// Returns the authority of this term, which may have ended.
    pub fn authority(&self) -> Authority {
        Authority {
            basis: self.basis,
            valid_until: self.valid_until,
        }
    }

    /// Time up to which the leader certainly knows of every cancellation.
    pub fn cancellations_known_until(&self) -> Millis {
        self.cancellations_known_until
    }

    /// Applies a complete round of promises that were requested at `sent`.
    fn apply_promises(&mut self, promises: &PromiseRound, sent: Millis, max_staleness: Millis) {
        if promises.no_later_term {
            self.cancellations_known_until = self.cancellations_known_until.max(sent);
        }
        let promised_until = (sent + min_local_duration(PROMISE_MS))
            .min(promises.exclusions_until)
            .min(self.cancellations_known_until + max_staleness);
        if promised_until > self.valid_until {
            self.valid_until = promised_until;
            self.basis = AuthorityBasis::PeerPromises;
        }
    }
}

/// The combined answers of all peers to one round of promise requests.
struct PromiseRound {
    /// Whether every peer has promised or is excluded.
    complete: bool,
    /// Whether every peer's process states that it led no later term and that it has
    /// run since before `cancellations_known_until` of this leader.
    no_later_term: bool,
    /// Earliest end of an exclusion that is counted in this round.
    exclusions_until: Millis,
}

impl PromiseRound {
    /// Combines the answers; `None` if a peer reaches the key-value store.
    fn collect(
        responses: impl IntoIterator<Item = PromiseResponse>,
        cancellations_known_until: Millis,
    ) -> Option<Self> {
        let mut round = PromiseRound {
            complete: true,
            no_later_term: true,
            exclusions_until: Millis::MAX,
        };
        for response in responses {
            match response {
                PromiseResponse::Granted { started_by } => {
                    round.no_later_term &=
                        started_by.is_some_and(|started| started < cancellations_known_until);
                }
                PromiseResponse::Excluded { until } => {
                    round.no_later_term = false;
                    round.exclusions_until = round.exclusions_until.min(until);
                }
                PromiseResponse::StoreReachable => return None,
                PromiseResponse::Refused => round.complete = false,
            }
        }
        Some(round)
    }
}

impl Election {
    /// Creates the state of a process that starts at `now`. An earlier process of this
    /// node may have granted promises before.
    pub fn new(node_name: &str, incarnation: u64, bounds: SafetyBounds, now: Millis) -> Self {
        Election {
            node_name: node_name.to_owned(),
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

    /// Returns the term that this process leads, whether or not its authority still
    /// holds.
    pub fn leadership(&self) -> Option<Leadership> {
        self.leadership
    }

    /// Returns the term in which this process may act at `now`.
    pub fn authority(&self, now: Millis) -> Option<u64> {
        self.leadership
            .filter(|leadership| now < leadership.valid_until)
            .map(|leadership| leadership.term)
    }

    /// Records the leader's key as read from the key-value store.
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

    /// Time since a leader was last observed, at most since this process started.
    pub fn leaderless_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_led_at)
    }

    /// Records the leader reported by a peer. A hint that has not expired is replaced
    /// only by one of the same or a later term.
    pub fn receive_leader_hint(&mut self, leader: Option<(String, u64)>, now: Millis) {
        let Some(leader) = leader else {
            return;
        };
        let expired = now > self.leader_hint_at + LEADER_HINT_TTL_MS;
        let supersedes = self
            .leader_hint
            .as_ref()
            .is_none_or(|(_, known_term)| leader.1 >= *known_term);
        if expired || supersedes {
            self.leader_hint = Some(leader);
            self.leader_hint_at = now;
        }
    }

    /// Returns the leader to which others are redirected: the one read from the
    /// key-value store or, while the store cannot be read, the one reported by peers if
    /// its term is later. Without the hints, a node that is cut off from the store
    /// would redirect workers to an old leader, which they may be unable to reach.
    pub fn leader(&self, now: Millis) -> Option<(&str, u64)> {
        let observed_lately = now <= self.observed_at + LEADER_HINT_TTL_MS;
        let hint_is_used = !observed_lately && now <= self.leader_hint_at + LEADER_HINT_TTL_MS;
        let hint = self.leader_hint.as_ref().filter(|_| hint_is_used);
        self.observed_leader
            .iter()
            .chain(hint)
            .max_by_key(|(_, term)| *term)
            .map(|(name, term)| (name.as_str(), *term))
    }

    /// Returns the version of the leader's key that this node may try to replace now,
    /// if it may campaign; 0 means that the key must not exist.
    pub fn may_campaign(&self, now: Millis) -> Option<u64> {
        // An earlier process of this node may have granted a promise just before
        // this one started.
        let restart_pause_until = self.process_started + max_local_duration(PROMISE_MS);
        if self.leadership.is_some()
            || self.indeterminate_lease.is_some()
            || now < self.promised_until
            || now < self.abstain_until
            || now < restart_pause_until
        {
            return None;
        }
        match &self.observed_leader {
            None => Some(0),
            Some((_, term)) if self.resigned_term == Some(*term) => Some(*term),
            Some(_) => None,
        }
    }

    /// Whether a node that may campaign first leaves the vacant leadership to others.
    pub fn delays_candidacy(&mut self, now: Millis, unfavourable: impl Fn() -> bool) -> bool {
        let vacant_since = *self.vacant_since.get_or_insert(now);
        now < vacant_since + CANDIDACY_DELAY_MS && unfavourable()
    }

    /// Whether a leader in an unfavourable failover position yields now. A leader
    /// yields rarely, because leadership must not alternate where no other node takes
    /// it over. It prefers to wait for a warm standby, because a cold successor would
    /// first have to receive a heartbeat from every machine.
    pub fn yields_leadership(
        &mut self,
        unfavourable: bool,
        warm_standby: bool,
        now: Millis,
    ) -> bool {
        if !unfavourable {
            self.unfavourable_since = None;
            return false;
        }
        let unfavourable_since = *self.unfavourable_since.get_or_insert(now);
        if !warm_standby && now < unfavourable_since + WARM_STANDBY_WAIT_MS {
            return false;
        }
        if self
            .last_yield
            .is_some_and(|yielded_at| now < yielded_at + YIELD_INTERVAL_MS)
        {
            return false;
        }
        self.last_yield = Some(now);
        self.abstain_until = now + YIELD_PAUSE_MS;
        true
    }

    /// Records that this process holds the leader's key, under a lease requested at
    /// `lease_requested`.
    pub fn record_election(&mut self, term: u64, lease: u64, lease_requested: Millis) {
        self.highest_term = self.highest_term.max(term);
        self.observed_leader = Some((self.node_name.clone(), term));
        self.indeterminate_lease = None;
        self.leadership = Some(Leadership {
            term,
            lease,
            valid_until: lease_requested + min_local_duration(LEASE_TTL_MS),
            cancellations_known_until: lease_requested,
            peer_reached_store_at: None,
            basis: AuthorityBasis::LeaseRenewal,
        });
    }

    /// Records that a renewal of this lease, sent at `sent`, succeeded. The leader's
    /// key is kept until the lease ends; it is replaced earlier only after this process
    /// has announced that it stopped. A renewal therefore proves as much as a read of
    /// the key.
    pub fn record_renewal(&mut self, lease: u64, sent: Millis) {
        let Some(leadership) = self.leadership.as_mut().filter(|held| held.lease == lease) else {
            return;
        };
        self.last_led_at = self.last_led_at.max(sent);
        leadership.valid_until = leadership
            .valid_until
            .max(sent + min_local_duration(LEASE_TTL_MS));
        leadership.cancellations_known_until = leadership.cancellations_known_until.max(sent);
        leadership.peer_reached_store_at = None;
        leadership.basis = AuthorityBasis::LeaseRenewal;
    }

    /// Whether a failed renewal that began at `renewal_sent` shows that the store is
    /// unavailable to this node alone. A renewal that began before a peer reported
    /// success does not show it, as the outage may have ended in between.
    pub fn store_fails_this_node_only(&self, renewal_sent: Millis) -> bool {
        self.leadership
            .and_then(|leadership| leadership.peer_reached_store_at)
            .is_some_and(|reached_store_at| renewal_sent >= reached_store_at)
    }

    /// Applies the answers of all peers to a request for promises, sent at `sent`.
    ///
    /// Promises extend only an authority that has not ended: after its end, another
    /// node may have led, whose authority may also have ended and which may have
    /// restarted since. Promises alone do not prove that no other node has led in the
    /// meantime; for that, each peer's process must state that it has run since then
    /// and has led no later term.
    pub fn extend_by_promises(
        &mut self,
        sent: Millis,
        responses: impl IntoIterator<Item = PromiseResponse>,
        now: Millis,
    ) -> PromiseOutcome {
        let max_staleness = self.bounds.max_staleness();
        let Some(leadership) = &mut self.leadership else {
            return PromiseOutcome::NotExtended;
        };
        let Some(promises) = PromiseRound::collect(responses, leadership.cancellations_known_until)
        else {
            leadership.peer_reached_store_at.get_or_insert(now);
            return PromiseOutcome::StoreReachableByPeer;
        };
        if now < leadership.valid_until && promises.complete {
            leadership.apply_promises(&promises, sent, max_staleness);
        }
        let may_act = now < leadership.valid_until;
        if may_act && promises.complete {
            PromiseOutcome::Extended
        } else if !may_act && now >= leadership.cancellations_known_until + max_staleness {
            PromiseOutcome::CancellationsUnknown
        } else {
            PromiseOutcome::NotExtended
        }
    }

    /// Returns the latest time, by this node's clock, at which a process can have
    /// started if it reported an `uptime` by its own clock in an answer received at
    /// `received` or earlier.
    pub fn process_started_by(uptime: Millis, received: Millis) -> Millis {
        received.saturating_sub(min_local_duration(uptime))
    }

    /// Time since this process started.
    pub fn process_uptime(&self, now: Millis) -> Millis {
        now.saturating_sub(self.process_started)
    }

    /// Prevents campaigns of this node before `until`, so that other nodes can be
    /// elected.
    pub fn abstain(&mut self, until: Millis) {
        self.abstain_until = until;
    }

    /// Stops acting in `term` and returns the leadership whose lease is to be released.
    /// Has no effect, and returns `None`, if this process does not lead `term`: the
    /// reason to resign may belong to an earlier term.
    pub fn resign(&mut self, term: u64) -> Option<Leadership> {
        let resigned = self.leadership.take_if(|held| held.term == term)?;
        self.observed_leader = None;
        Some(resigned)
    }

    /// Answers a leader's request for a promise; returns whether the promise is
    /// granted. `store_unreachable`: a request of this node to the key-value store,
    /// made to answer this question, has failed.
    pub fn grant_promise(
        &mut self,
        now: Millis,
        term: u64,
        duration: Millis,
        store_unreachable: bool,
    ) -> bool {
        if !store_unreachable
            || term < self.highest_term
            || self.leadership.is_some()
            || self.indeterminate_lease.is_some()
            || duration > PROMISE_MS
        {
            return false;
        }
        self.highest_term = term;
        self.promised_until = self.promised_until.max(now + max_local_duration(duration));
        true
    }

    /// Records the announcement of the leader of `term` that it has stopped, so that
    /// its key may be replaced.
    pub fn record_peer_resignation(&mut self, term: u64) {
        self.resigned_term = Some(term);
        // A promise to that leader, or to an earlier one, is no longer needed.
        if term >= self.highest_term {
            self.promised_until = 0;
        }
    }
}

#[cfg(test)]
mod tests;
