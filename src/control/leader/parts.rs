//! What the leader keeps beside its picture, by what each part is for.

use super::{headroom::Class, scheduling_cycle::Pass, status, zone_health::ZoneLife, *};

/// Placement: the order of service, and when it is looked at again.
pub(super) struct Planning {
    pub(super) policy: Policy,
    pub(super) shapes: Vec<(Resources, u64)>,
    pub(super) order: Vec<u32>,
    /// Recent arrivals: time, index into `classes`, tasks.
    pub(super) arrivals: VecDeque<(Ms, usize, u32)>,
    pub(super) classes: Vec<Class>,
    pub(super) drain_at: Ms,
    pub(super) place_at: Ms,
    /// Attempts given out in this term.
    pub(super) attempts: u64,
    /// By team, see `count_unseen`; empty once all that may run is known.
    pub(super) unseen: Vec<Resources>,
    /// Machines that tasks may be placed on.
    pub(super) fleet: Fleet,
    /// A pass that stopped for its bound, and goes on where it stopped.
    pub(super) pass: Option<Pass>,
    /// A pass is under way, or was interrupted.
    pub(super) in_pass: bool,
    /// Machines that have gained room since it began.
    pub(super) gained: BTreeSet<u32>,
    /// Steps that the pass may make before it stops.
    pub(super) steps_left: u32,
}

impl Planning {
    pub(super) fn new(policy: Policy) -> Self {
        Planning {
            fleet: Fleet::new(policy.clone()),
            pass: None,
            in_pass: false,
            gained: BTreeSet::new(),
            steps_left: 0,
            policy,
            shapes: Vec::new(),
            order: Vec::new(),
            arrivals: VecDeque::new(),
            classes: Vec::new(),
            drain_at: 0,
            place_at: 0,
            attempts: 0,
            unseen: Vec::new(),
        }
    }
}

/// Machines as the cloud gives and lists them.
pub(super) struct Renting {
    pub(super) at: Ms,
    pub(super) list_at: Ms,
    pub(super) refused: HashMap<(usize, usize, bool), Ms>,
    /// Requests without an answer.
    pub(super) open: u32,
    /// Names given out in this term.
    pub(super) requests: u64,
    /// Machines released or dropped; late reports of them mean nothing.
    pub(super) released: HashMap<String, Ms>,
    pub(super) zone_life: Vec<ZoneLife>,
    /// Most machines were overdue at once: nothing is rented in their place.
    pub(super) deaf_until: Ms,
}

impl Renting {
    pub(super) fn new(zone_life: Vec<ZoneLife>) -> Self {
        Renting {
            at: 0,
            list_at: 0,
            refused: HashMap::new(),
            open: 0,
            requests: 0,
            released: HashMap::new(),
            zone_life,
            deaf_until: 0,
        }
    }
}

/// What is to be written that the picture does not show by itself.
#[derive(Default)]
pub(super) struct Desk {
    pub(super) orphans: Vec<String>,
    /// Keys to be deleted if they still have this version.
    pub(super) drops: Vec<(String, u64)>,
    /// Jobs whose mark as lent is to be set or lifted.
    pub(super) moving: Vec<u32>,
    /// The last transaction set marks: other changes go first now.
    pub(super) marked_last: bool,
}

/// What happened, for operators and for verdicts.
#[derive(Default)]
pub(super) struct Events {
    pub(super) tally: Tally,
    pub(super) failed: VecDeque<status::Failed>,
    /// Jobs of which a task failed and none has run.
    pub(super) suspects: Vec<u32>,
}
