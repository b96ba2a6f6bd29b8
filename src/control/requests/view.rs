//! What a node knows as a step is taken, and what it learns by one. The server
//! builds a view for each step; the steps reach the leader's state and the memory
//! of final states only through it.
//!
//! Must never adopt a record into the cluster state that was read in another
//! term.

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

/// What a node knows as a step is taken.
pub struct NodeView<'a> {
    /// The leader's state, whether or not this node may still act.
    pub leader: Option<&'a mut Leader>,
    /// This node leads, and its authority holds right now.
    pub may_act: bool,
    /// Final states that it has learned while it did not lead.
    pub final_states: &'a mut FinalStates,
    /// The settings file, limits included.
    pub settings: &'a Settings,
    /// Machine types on offer; empty until the cloud has listed them.
    pub types: &'a [MachineType],
    /// Every controller is known to run this version.
    pub upgraded: bool,
    /// Monotonic time.
    pub now: Millis,
    /// Wall-clock time.
    pub wall_ms: u64,
    /// The term in which this node began the read of which the result is taken
    /// in now; the request under way sets it.
    pub read_term: Option<u64>,
}

impl NodeView<'_> {
    /// The leader's state, if this node may act.
    pub(super) fn acting(&mut self) -> Option<&mut Leader> {
        let acts = self.may_act;
        self.leader.as_deref_mut().filter(|_| acts)
    }

    /// The term in which this node may act.
    pub(super) fn acting_term(&self) -> Option<u64> {
        let leader = self.leader.as_deref().filter(|_| self.may_act);
        leader.map(|l| l.term)
    }

    /// The leader's state of that term, for what was begun with its authority.
    pub(super) fn of_term(&mut self, term: u64) -> Option<&mut Leader> {
        self.leader.as_deref_mut().filter(|l| l.term == term)
    }

    /// The job's final status, as far as this node has learned it. It never
    /// changes.
    pub(super) fn known_final_status(&self, id: &str) -> Option<JobStatus> {
        let leader = self.leader.as_deref().and_then(|l| l.answerable_status(id));
        leader
            .filter(|s| s.state.is_final())
            .or_else(|| self.final_states.get(id))
    }

    /// Whether a job that depends on others may be called unfinished, by what this
    /// node has read.
    pub fn dependency_verdict(&self, evidence: &DependencyEvidence, id: &str) -> DependencyVerdict {
        let final_state = |id: &str| Some(self.known_final_status(id)?.state);
        evidence.verdict(id, final_state, self.now)
    }

    /// The final states that this node remembers.
    fn remembered(&mut self) -> &mut FinalStates {
        match self.leader.as_deref_mut() {
            Some(l) => &mut l.final_states,
            None => self.final_states,
        }
    }

    /// Remembers a status that was read now, if it is final.
    pub fn remember(&mut self, status: &JobStatus) {
        let now = self.now;
        self.remembered().learn(status, now);
    }

    /// How much longer this final state is held. What the leader answers has been
    /// held there.
    pub(super) fn hold_time(&mut self, status: &JobStatus, source: Source) -> Millis {
        let now = self.now;
        if source == Source::Leader {
            self.remembered().insert(status, now);
        }
        self.remembered().hold_time(status, now)
    }

    /// Takes in what was read of a job, and returns its status by that. The
    /// cluster state adopts only what was read in its own term. Guards against a
    /// job that ended under another leader while a slow read was under way.
    pub(super) fn learn(&mut self, id: &str, found: Found) -> Option<JobStatus> {
        let status = match found {
            Found::Live(record, version) => {
                let status = record.status();
                let (now, read_in) = (self.now, self.read_term);
                let acting = self.acting().filter(|l| Some(l.term) == read_in);
                if let Some(l) = acting.filter(|l| l.loaded()) {
                    l.accepted(*record, version, now);
                }
                status
            }
            Found::Final(record, _) => final_status(id, &record),
            Found::Nothing => return None,
        };
        self.remember(&status);
        Some(status)
    }
}
