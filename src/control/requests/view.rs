//! What a node knows when a step of a request is taken, and what it learns from that
//! step. The server builds a view for each step; the steps access the leader's state
//! and the cache of final states only through it.
//!
//! Must never adopt a record into the cluster state that was read in another term.

use super::{Found, final_status, provenance::Source};
use crate::{
    control::{
        dependency_evidence::{DependencyEvidence, DependencyVerdict},
        final_states::FinalStates,
        leader::Leader,
    },
    protocol::{cloud::MachineType, settings::Settings, users::JobStatus},
    state::Millis,
};

/// What a node knows when a step is taken.
pub struct NodeView<'a> {
    /// The leader's state, whether or not this node may still act.
    pub leader: Option<&'a mut Leader>,
    /// Whether this node leads and its authority holds right now.
    pub may_act: bool,
    /// Final states that this node has learned while it was not the leader.
    pub final_states: &'a mut FinalStates,
    /// The settings file, including limits.
    pub settings: &'a Settings,
    /// Available machine types; empty until the cloud has listed them.
    pub types: &'a [MachineType],
    /// Whether every controller is known to run this version.
    pub upgraded: bool,
    /// Monotonic time.
    pub now: Millis,
    /// Wall-clock time.
    pub wall_ms: u64,
    /// The term in which this node started the read whose result is processed now. Set
    /// by the request in progress.
    pub read_term: Option<u64>,
}

impl NodeView<'_> {
    /// Returns the leader's state if this node may act.
    pub(super) fn acting_leader(&mut self) -> Option<&mut Leader> {
        let has_authority = self.may_act;
        self.leader.as_deref_mut().filter(|_| has_authority)
    }

    /// Returns the term in which this node may act.
    pub(super) fn acting_term(&self) -> Option<u64> {
        let leader = self.leader.as_deref().filter(|_| self.may_act);
        leader.map(|l| l.term)
    }

    /// Returns the leader's state if it is of `term`, for work that was started under
    /// the authority of that term.
    pub(super) fn of_term(&mut self, term: u64) -> Option<&mut Leader> {
        self.leader.as_deref_mut().filter(|l| l.term == term)
    }

    /// Returns the job's final status if this node has learned it. A final status never
    /// changes.
    pub(super) fn known_final_status(&self, id: &str) -> Option<JobStatus> {
        let leader = self.leader.as_deref().and_then(|l| l.answerable_status(id));
        leader
            .filter(|s| s.state.is_final())
            .or_else(|| self.final_states.get(id))
    }

    /// Whether a job that depends on others may be reported as unfinished, based on
    /// what this node has read.
    pub fn dependency_verdict(&self, evidence: &DependencyEvidence, id: &str) -> DependencyVerdict {
        let final_state = |id: &str| Some(self.known_final_status(id)?.state);
        evidence.verdict(id, final_state, self.now)
    }

    /// Returns the cache of final states in use: the leader's, or else that of this
    /// node.
    fn final_state_cache(&mut self) -> &mut FinalStates {
        match self.leader.as_deref_mut() {
            Some(leader_state) => &mut leader_state.final_states,
            None => self.final_states,
        }
    }

    /// Caches a status that was read now, if it is final.
    pub fn remember(&mut self, status: &JobStatus) {
        match self.leader.as_deref_mut() {
            Some(leader) => leader.remember_final_state(status, self.now),
            None => self.final_states.learn(status, self.now),
        }
    }

    /// Returns how much longer this final state must be held. A state in the leader's
    /// answer has already been held by the leader.
    pub(super) fn hold_time(&mut self, status: &JobStatus, source: Source) -> Millis {
        let now = self.now;
        if source == Source::Leader {
            self.final_state_cache().insert(status, now);
        }
        self.remember(status);
        self.final_state_cache().hold_time(status, now)
    }

    /// Processes what was read of a job, and returns the status according to that. The
    /// cluster state adopts only records read in its own term. Guards against adopting
    /// a job that ended under another leader while a slow read was in progress.
    pub(super) fn learn(&mut self, id: &str, found: Found) -> Option<JobStatus> {
        let status = match found {
            Found::Live(record, version) => {
                let status = record.status();
                let (now, began_in_term) = (self.now, self.read_term);
                let acting_leader = self
                    .acting_leader()
                    .filter(|l| Some(l.term) == began_in_term);
                if let Some(l) = acting_leader.filter(|l| l.loaded()) {
                    l.accepted(*record, version, now);
                }
                status
            }
            Found::Final(record, _) => final_status(id, &record),
            Found::NoRecord => return None,
        };
        self.remember(&status);
        Some(status)
    }
}
