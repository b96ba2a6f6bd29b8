//! What the leader keeps beside its cluster state, by what each part is for.

use super::{
    headroom::Class, scheduling_cycle::SchedulingCycle, status, zone_health::ZoneHealth, *,
};

/// Placement: the order of service, and when it is looked at again.
pub(super) struct Scheduling {
    pub(super) policy: Policy,
    pub(super) seen_shapes: Vec<(Resources, u64)>,
    pub(super) queue_buffer: Vec<u32>,
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
    /// A pass that stopped for its bound, and goes on where it stopped.
    pub(super) interrupted_cycle: Option<SchedulingCycle>,
    /// A pass is under way, or was interrupted.
    pub(super) in_cycle: bool,
    /// Machines that have gained room since it began.
    pub(super) machines_with_gain: BTreeSet<u32>,
    /// Steps that the pass may make before it stops.
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

/// Machines as the cloud gives and lists them.
pub(super) struct Scaling {
    pub(super) next_look_at: Millis,
    pub(super) next_list_at: Millis,
    pub(super) refused_until: HashMap<(usize, usize, bool), Millis>,
    /// Requests without an answer.
    pub(super) requests_in_flight: u32,
    /// Names given out in this term.
    pub(super) request_count: u64,
    /// Machines released or dropped; late reports of them mean nothing.
    pub(super) released: HashMap<String, Millis>,
    pub(super) zone_health: Vec<ZoneHealth>,
    /// Most machines were overdue at once: nothing is rented in their place.
    pub(super) no_scale_out_until: Millis,
}

impl Scaling {
    pub(super) fn new(zone_life: Vec<ZoneHealth>) -> Self {
        Scaling {
            next_look_at: 0,
            next_list_at: 0,
            refused_until: HashMap::new(),
            requests_in_flight: 0,
            request_count: 0,
            released: HashMap::new(),
            zone_health: zone_life,
            no_scale_out_until: 0,
        }
    }
}

/// What is to be written that the cluster state does not show by itself.
#[derive(Default)]
pub(super) struct WriteQueue {
    pub(super) unconditional_deletes: Vec<String>,
    /// Keys to be deleted if they still have this version.
    pub(super) conditional_deletes: Vec<(String, u64)>,
    /// Jobs whose mark as offloaded is to be set or lifted.
    pub(super) offload_changes: Vec<u32>,
    /// The last transaction set marks: other changes go first now.
    pub(super) offloads_went_last: bool,
}

/// What happened, for operators and for verdicts.
#[derive(Default)]
pub(super) struct Events {
    pub(super) tally: Tally,
    pub(super) recent_failures: VecDeque<status::Failed>,
    /// Jobs of which a task failed and none has run.
    pub(super) suspects: Vec<u32>,
}
