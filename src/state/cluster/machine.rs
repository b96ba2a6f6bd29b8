//! A machine, and the tasks that are or may be on it.
//!
//! Owns the state of one machine as heartbeats, cloud listings and records
//! show it, and the rules for when it may be used. Its list of tasks is changed
//! through `assignments.rs`, which keeps the counts. Must never take a machine
//! for empty before its lease has expired.

use super::JobHandle;
use crate::{
    protocol::{
        cloud::{ListedMachine, MachineType},
        workers::{ExitReason, Heartbeat},
    },
    state::{Millis, fault_attribution::MachineFailures, resources::Resources},
};
use std::{fmt, net::SocketAddr};

/// How long the answer to a direct command is waited for. The command is not
/// sent later than that: the connection is made or given up within it.
pub const DIRECT_COMMAND_TIMEOUT_MS: Millis = 2_000;

/// How far a task on a machine has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Assigned, no command sent yet.
    New,
    /// A start was sent; its outcome is unknown.
    Sent,
    /// The machine fetches its image.
    Fetching,
    /// Waits for its gang.
    Waiting,
    /// It runs.
    Running,
    /// It writes a checkpoint before it stops.
    Saving,
    /// It is over, for this reason, and not yet reaped.
    Ended(ExitReason),
}

impl Phase {
    /// Whether the task is, or may be, taking resources.
    pub fn is_live(self) -> bool {
        !matches!(self, Phase::Ended(_))
    }
}

impl fmt::Display for Phase {
    /// The name in `explain`, which operators' tools read.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Phase::New => f.write_str("new"),
            Phase::Sent => f.write_str("sent"),
            Phase::Fetching => f.write_str("fetching"),
            Phase::Waiting => f.write_str("waiting"),
            Phase::Running => f.write_str("running"),
            Phase::Saving => f.write_str("saving"),
            Phase::Ended(reason) => write!(f, "ended({reason})"),
        }
    }
}

/// A task that is, or may be, on a machine, or that ended there and has not
/// been reaped.
#[derive(Debug)]
pub struct Assignment {
    /// The task's name on the wire: job id and task number.
    pub name: String,
    /// Its job; `None`: that is over or unknown.
    pub job: Option<JobHandle>,
    /// Its number within the job.
    pub task: u32,
    /// Which start of the task this is.
    pub attempt: u64,
    /// Index of the team whose quota it counts against; `usize::MAX`: none.
    pub team: usize,
    /// What it takes of the machine.
    pub need: Resources,
    /// How far it has come.
    pub phase: Phase,
    /// Grace in seconds of the stop that is wanted.
    pub stop_grace_s: Option<f64>,
    /// The stop was sent at least once.
    pub stop_sent: bool,
    /// Fencing token of a direct start that had no answer: it may be carried
    /// out until the machine has seen a higher one. 0: none.
    pub indeterminate_token: u64,
    /// Sequence number of the heartbeat whose response carried the start.
    pub sent_with_heartbeat: u64,
    /// When it entered the list.
    pub since: Millis,
    /// It was reported running more than once, or completed: fault attribution
    /// has counted it in favour of its job and its machine.
    pub seen_running: bool,
    /// The change of the cluster state that put it here. Standbys must have
    /// confirmed that before it is started.
    pub change_number: u64,
}

impl Assignment {
    /// Whether the task is, or may be, taking resources.
    pub fn is_live(&self) -> bool {
        self.phase.is_live()
    }
}

/// Whether the machine registry has a record of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registration {
    /// It has none.
    Absent,
    /// It has one.
    Present,
}

/// A machine by what names it, before it has an index.
#[derive(Debug, Clone, Copy)]
pub struct NewMachine<'a> {
    /// The cloud's name of it.
    pub name: &'a str,
    /// Where its agent listens; not an address: not known yet.
    pub addr: &'a str,
    /// Its machine type.
    pub type_name: &'a str,
    /// The zone it is in.
    pub zone: &'a str,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
}

impl<'a> From<&'a Heartbeat> for NewMachine<'a> {
    fn from(heartbeat: &'a Heartbeat) -> Self {
        NewMachine {
            name: &heartbeat.machine,
            addr: &heartbeat.addr,
            type_name: &heartbeat.type_name,
            zone: &heartbeat.zone,
            spot: heartbeat.spot,
        }
    }
}

impl<'a> From<&'a ListedMachine> for NewMachine<'a> {
    fn from(listed: &'a ListedMachine) -> Self {
        NewMachine {
            name: &listed.id,
            addr: &listed.addr,
            type_name: &listed.type_name,
            zone: &listed.zone,
            spot: listed.spot,
        }
    }
}

/// A machine of the cluster, as this leader knows it.
#[derive(Debug)]
pub struct Machine {
    /// The cloud's name of it.
    pub name: String,
    /// Where its agent listens, once known.
    pub addr: Option<SocketAddr>,
    /// Index of its machine type.
    pub type_ix: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// All it offers.
    pub capacity: Resources,
    /// What live tasks take of that.
    pub used: Resources,
    /// Tasks that are, or may be, on it, or ended there and were not reaped.
    pub tasks: Vec<Assignment>,
    /// Incarnation of its agent, by the last accepted heartbeat.
    pub incarnation: u64,
    /// Sequence number of the last accepted heartbeat.
    pub heartbeat_seq: u64,
    /// Heartbeats of earlier incarnations are stale.
    pub min_incarnation: u64,
    /// The highest fencing token that it has shown.
    pub acknowledged_token: u64,
    /// How often its fencing token was raised within the term: the low bits of
    /// the token.
    pub token_epoch: u64,
    /// A one-way partition is suspected, as heartbeats arrive but responses
    /// don't seem to: until a heartbeat shows this token, nothing new is placed
    /// here. 0: not suspected.
    pub required_token: u64,
    /// A heartbeat that is older by its sequence number may be of a restarted
    /// agent: one that shows this token is, and nothing runs there. 0: none.
    pub restart_token: u64,
    /// Its agent has restarted in this term: heartbeats that have not seen this
    /// token are from before, whatever their sequence number.
    pub min_token: u64,
    /// The latest heartbeat in this term, stale or not: incarnation and
    /// sequence number.
    pub latest_heartbeat: (u64, u64),
    /// The last heartbeat that was older than that, and when it came.
    pub last_stale_heartbeat: ((u64, u64), Millis),
    /// Heartbeats in a row that show no token of this term, although those
    /// before them were answered.
    pub unacknowledged_heartbeats: u32,
    /// A heartbeat was received in this term, and its lease has not expired
    /// since.
    pub up: bool,
    /// It was in the machine registry when this term began, and since then no
    /// heartbeat was received and its lease has not expired: anything may run
    /// on it.
    pub contents_unknown: bool,
    /// When a heartbeat was last answered with 200.
    pub last_answered: Millis,
    /// When the direct command with a start that is in flight was sent.
    pub start_sent_at: Option<Millis>,
    /// When the last one can have reached it at the latest.
    pub latest_possible_start: Millis,
    /// When the last heartbeat was received.
    pub last_heartbeat: Millis,
    /// Whether the machine registry has a record of it.
    pub registration: Registration,
    /// Version of that record; 0: there is none.
    pub record_version: u64,
    /// A write of that record is in flight or indeterminate.
    pub write_in_flight: bool,
    /// Its release has been decided.
    pub releasing: bool,
    /// The record says so.
    pub release_recorded: bool,
    /// The record says, or may come to say, that nothing runs here: nothing is
    /// started before one without that is surely written.
    pub recorded_empty: bool,
    /// The cloud was asked to release it.
    pub release_requested: bool,
    /// Steady-clock time at which it is to be taken away.
    pub reclaim_at: Option<Millis>,
    /// When it was first known, its lease expired, its registered contents were
    /// found gone, or its release was decided, whichever was last.
    pub state_since: Millis,
    /// Since when nothing runs on it.
    pub idle_since: Millis,
    /// When the cloud's listing last had it.
    pub last_listed: Millis,
    /// Failures of tasks that are attributed to it.
    pub failures: MachineFailures,
    /// The record lacks its quarantine.
    pub quarantine_unrecorded: bool,
    /// A direct command is in flight.
    pub command_in_flight: bool,
    /// No direct command is sent before.
    pub command_retry_at: Millis,
    /// Images it is thought to cache, least recently used first.
    pub images: Vec<u32>,
    /// The record lacks some of them.
    pub images_unrecorded: bool,
    /// When a task other than a service's was last on it.
    pub last_batch_activity: Millis,
    /// Services move here: no batch task is placed on it until then.
    pub closed_to_batches_until: Millis,
    /// Up, but its heartbeats are overdue.
    pub overdue: bool,
    /// Since when they are.
    pub overdue_since: Millis,
    /// Its services are being moved off, then it is released.
    pub draining: bool,
    /// Reserved for this job until then, while others are preempted on it.
    pub reserved_for: Option<(JobHandle, Millis)>,
}

impl Machine {
    /// One that nothing is known of but what names it.
    pub(super) fn new(
        new: NewMachine<'_>,
        type_ix: usize,
        machine_type: &MachineType,
        zone: usize,
        now: Millis,
    ) -> Self {
        Machine {
            name: new.name.to_owned(),
            addr: new.addr.parse().ok(),
            type_ix,
            zone,
            spot: new.spot,
            capacity: Resources::offer(
                machine_type.cpus,
                machine_type.gpus,
                machine_type.memory_gb,
            ),
            used: Resources::default(),
            tasks: Vec::new(),
            incarnation: 0,
            heartbeat_seq: 0,
            min_incarnation: 0,
            acknowledged_token: 0,
            token_epoch: 0,
            required_token: 0,
            restart_token: 0,
            min_token: 0,
            latest_heartbeat: (0, 0),
            last_stale_heartbeat: ((0, 0), 0),
            unacknowledged_heartbeats: 0,
            up: false,
            contents_unknown: false,
            last_answered: 0,
            start_sent_at: None,
            latest_possible_start: 0,
            last_heartbeat: 0,
            registration: Registration::Absent,
            record_version: 0,
            write_in_flight: false,
            releasing: false,
            release_recorded: false,
            recorded_empty: false,
            release_requested: false,
            reclaim_at: None,
            state_since: now,
            idle_since: now,
            last_listed: now,
            failures: MachineFailures::default(),
            quarantine_unrecorded: false,
            command_in_flight: false,
            command_retry_at: 0,
            images: Vec::new(),
            images_unrecorded: false,
            last_batch_activity: now,
            closed_to_batches_until: 0,
            overdue: false,
            overdue_since: 0,
            draining: false,
            reserved_for: None,
        }
    }

    /// What is left of its capacity.
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// How many live tasks are on it.
    pub fn live_tasks(&self) -> usize {
        self.tasks.iter().filter(|t| t.is_live()).count()
    }

    /// It is reserved for this job.
    pub fn is_reserved_for(&self, job: JobHandle, now: Millis) -> bool {
        self.reserved_for
            .is_some_and(|(of, until)| of == job && now < until)
    }

    /// It is not reserved for another job.
    pub fn available_to(&self, job: JobHandle, now: Millis) -> bool {
        self.reserved_for
            .is_none_or(|(of, until)| of == job || now >= until)
    }

    /// Nothing can run there: its lease has expired, and no heartbeat was
    /// received since.
    pub fn lease_expired(&self) -> bool {
        !self.up && !self.contents_unknown && self.registration == Registration::Present
    }

    /// Since when its lease may run. An agent that has just started counts from
    /// its own start, which may be as late as the moment at which it took a
    /// direct command; what that command started runs until the lease ends.
    pub fn lease_start(&self) -> Millis {
        let in_flight = self
            .start_sent_at
            .map_or(0, |sent| sent + DIRECT_COMMAND_TIMEOUT_MS);
        self.last_answered
            .max(self.latest_possible_start)
            .max(in_flight)
    }

    /// Heartbeats arrive, but it has not acknowledged responses for a while.
    pub fn misses_responses(&self) -> bool {
        self.acknowledged_token < self.required_token
    }

    /// Up, and its record must be written before anything is started on it.
    pub fn awaits_record(&self) -> bool {
        self.up
            && !self.releasing
            && (self.registration == Registration::Absent || self.recorded_empty)
    }

    /// Whether new tasks may be placed here.
    pub fn schedulable(&self) -> bool {
        !self.overdue && self.schedulable_once_heard()
    }

    /// The same if its heartbeats were not overdue.
    pub fn schedulable_once_heard(&self) -> bool {
        self.up
            && !self.releasing
            && !self.recorded_empty
            && !self.failures.quarantined
            && !self.draining
            && !self.misses_responses()
            && self.reclaim_at.is_none()
            && self.registration == Registration::Present
    }
}
