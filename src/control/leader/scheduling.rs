//! Scheduling state that outlives a single event: the fleet as ranked by placement, recent
//! job arrivals, and an interrupted scheduling cycle.
//!
//! Owned by `Leader`; read and changed by the scheduling modules (queue, scheduling cycle,
//! fleet view, headroom, quotas). It holds no cluster state, and none of it is stored.

use super::{headroom::JobClass, scheduling_cycle::SchedulingCycle};
use crate::{
    control::placement::{Policy, fleet::Fleet},
    state::{
        Millis,
        cluster::{JobHandle, MachineHandle},
        resources::Resources,
    },
};
use std::collections::{BTreeSet, VecDeque};

/// In-memory scheduling state of one leader term.
pub(super) struct Scheduling {
    pub(super) policy: Policy,
    /// Resource needs of submitted jobs, with the number of jobs of each, most frequent
    /// first. The first ones are the placement policy's shapes if none are configured.
    pub(super) seen_shapes: Vec<(Resources, u64)>,
    /// Allocation reused for the job order of the next cycle.
    pub(super) job_order_buffer: Vec<JobHandle>,
    /// Recent job arrivals: arrival time, index into `classes`, number of tasks.
    pub(super) arrivals: VecDeque<(Millis, usize, u32)>,
    /// Distinct job classes seen in this term, for headroom.
    pub(super) classes: Vec<JobClass>,
    /// Earliest time at which machines are considered for draining again.
    pub(super) next_drain_at: Millis,
    /// Time at which a scheduling cycle runs even if nothing has changed.
    pub(super) next_cycle_at: Millis,
    /// Number of attempts created in this term. The low bits of an attempt number hold this
    /// count.
    pub(super) attempt_count: u64,
    /// Resources that each team's unconfirmed tasks may use, by team index; see
    /// `count_unconfirmed_usage`. Empty once all tasks that may be running are known.
    pub(super) unconfirmed_usage: Vec<Resources>,
    /// Machines on which tasks may be placed, and their rankings.
    pub(super) fleet: Fleet,
    /// The scheduling cycle that used up its steps and resumes at the next tick.
    pub(super) interrupted_cycle: Option<SchedulingCycle>,
    /// Whether a scheduling cycle is running or interrupted.
    pub(super) in_cycle: bool,
    /// Machines on which capacity became free since the current cycle began.
    pub(super) machines_with_new_capacity: BTreeSet<MachineHandle>,
    /// Number of steps left before the current cycle is interrupted.
    pub(super) steps_left: u32,
}

impl Scheduling {
    pub(super) fn new(policy: Policy) -> Self {
        Scheduling {
            fleet: Fleet::new(policy.clone()),
            interrupted_cycle: None,
            in_cycle: false,
            machines_with_new_capacity: BTreeSet::new(),
            steps_left: 0,
            policy,
            seen_shapes: Vec::new(),
            job_order_buffer: Vec::new(),
            arrivals: VecDeque::new(),
            classes: Vec::new(),
            next_drain_at: 0,
            next_cycle_at: 0,
            attempt_count: 0,
            unconfirmed_usage: Vec::new(),
        }
    }
}
