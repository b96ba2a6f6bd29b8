//! What a node knows as a step is taken, and what it learns by one.

use super::*;

/// What a node knows as a step is taken.
pub struct NodeView<'a> {
    /// The leader's state, whether or not this node may still act.
    pub leader: Option<&'a mut Leader>,
    /// This node leads, and may act right now.
    pub may_act: bool,
    /// Final states that it has learned while it did not lead.
    pub final_states: &'a mut FinalStates,
    pub settings: &'a Settings,
    pub types: &'a [MachineType],
    /// Every controller is known to run this version.
    pub upgraded: bool,
    pub now: Millis,
    pub wall_ms: u64,
    /// The term in which this node began the read of which the result is taken
    /// in now; the request under way sets it.
    pub read_term: Option<u64>,
}

impl NodeView<'_> {
    pub(super) fn acting(&mut self) -> Option<&mut Leader> {
        let acts = self.may_act;
        self.leader.as_deref_mut().filter(|_| acts)
    }

    pub(super) fn acting_term(&self) -> Option<u64> {
        let leader = self.leader.as_deref().filter(|_| self.may_act);
        leader.map(|l| l.term)
    }

    /// For what was begun with authority in that term.
    pub(super) fn of_term(&mut self, term: u64) -> Option<&mut Leader> {
        self.leader.as_deref_mut().filter(|l| l.term == term)
    }

    /// How the job ended, as far as this node has learned. It never changes.
    pub(super) fn end_of(&self, id: &str) -> Option<JobStatus> {
        let led = self.leader.as_deref().and_then(|l| l.answerable_status(id));
        led.filter(|s| s.state.is_final())
            .or_else(|| self.final_states.get(id))
    }

    /// All ends that this node remembers.
    fn ends(&mut self) -> &mut FinalStates {
        match self.leader.as_deref_mut() {
            Some(l) => &mut l.final_states,
            None => self.final_states,
        }
    }

    /// It was learned now, by a read.
    fn remember(&mut self, status: &JobStatus) {
        let now = self.now;
        self.ends().learn(status, now);
    }

    /// For how long this end is held back yet. What the leader says has been.
    pub(super) fn held_for(&mut self, status: &JobStatus, source: Source) -> Millis {
        let now = self.now;
        if source == Source::Leader {
            self.ends().insert(status, now);
        }
        self.ends().hold_time(status, now)
    }

    /// Takes in what was read of a job, and says how it stands by that. Into
    /// the cluster state goes only what was read in its own term. Guards against a
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
