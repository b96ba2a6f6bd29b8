//! What scheduling keeps between events: the fleet as placement ranks it, recent
//! arrivals, and an interrupted scheduling cycle.
//!
//! Owned by `Leader`; read and changed by the modules of scheduling (queue, scheduling
//! cycle, fleet view, headroom, quotas). It holds no cluster state, and none of it is
//! stored.

use super::{headroom::Class, scheduling_cycle::SchedulingCycle};
use crate::{
    control::placement::{Policy, fleet::Fleet},
    state::{
        Millis,
        cluster::{JobHandle, MachineHandle},
        resources::Resources,
    },
};
use std::collections::{BTreeSet, VecDeque};

/// State of scheduling between events.
pub(super) struct Scheduling {
    pub(super) policy: Policy,
    pub(super) seen_shapes: Vec<(Resources, u64)>,
    pub(super) queue_buffer: Vec<JobHandle>,
    /// Recent arrivals: time, index into `classes`, tasks.
    pub(super) arrivals: VecDeque<(Millis, usize, u32)>,
    pub(super) classes: Vec<Class>,
    pub(super) next_drain_at: Millis,
    pub(super) next_cycle_at: Millis,
    /// Attempts given out in this term.
    pub(super) attempt_count: u64,
    /// By team, see `count_unconfirmed_usage`; empty once all that may run is known.
    pub(super) unconfirmed_usage: Vec<Resources>,
    /// Machines that tasks may be placed on.
    pub(super) fleet: Fleet,
    /// A cycle that has made its steps, and resumes where it stopped.
    pub(super) interrupted_cycle: Option<SchedulingCycle>,
    /// A cycle is under way, or was interrupted.
    pub(super) in_cycle: bool,
    /// Machines with capacity that became free since it began.
    pub(super) machines_with_gain: BTreeSet<MachineHandle>,
    /// Steps that the cycle may make before it is interrupted.
    pub(super) steps_left: u32,
}

impl Scheduling {
    pub(super) fn new(policy: Policy) -> Self {
        Scheduling {
            fleet: Fleet::new(policy.clone()),
            interrupted_cycle: None,
            in_cycle: false,
            machines_with_gain: BTreeSet::new(),
            steps_left: 0,
            policy,
            seen_shapes: Vec::new(),
            queue_buffer: Vec::new(),
            arrivals: VecDeque::new(),
            classes: Vec::new(),
            next_drain_at: 0,
            next_cycle_at: 0,
            attempt_count: 0,
            unconfirmed_usage: Vec::new(),
        }
    }
}
