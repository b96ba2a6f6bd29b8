//! The state of one machine and the tasks that run, or may run, on it.
//!
//! Owns what heartbeats, cloud listings and records say about the machine, and the
//! rules for when it may be used. The list of tasks is changed only through
//! `assignments.rs`, which keeps the counts consistent. A machine must never be treated
//! as empty before its lease has expired.

use super::{DirectStart, JobHandle, StopRequest};
use crate::{
    protocol::{
        cloud::{ListedMachine, MachineType},
        workers::{ExitReason, Heartbeat},
    },
    state::{Millis, fault_attribution::MachineFailures, resources::Resources},
};
use std::{fmt, net::SocketAddr};

/// Timeout of a direct command to a machine, in milliseconds. The command is never sent
/// later than that: the connection is established or abandoned within this time.
pub const DIRECT_COMMAND_TIMEOUT_MS: Millis = 2_000;

/// Epoch of a machine's fencing token when a leader first knows the machine. Epoch 0 is left to
/// the responses that a leader gives before it has read the records.
const FIRST_TOKEN_EPOCH: u64 = 1;

/// Progress of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The task is assigned; no start command has been sent yet.
    New,
    /// A start command was sent; its outcome is unknown.
    Sent,
    /// The machine is fetching the container image.
    Fetching,
    /// The task waits for the other tasks of its gang.
    Waiting,
    /// The task is running.
    Running,
    /// The task is writing a checkpoint before it stops.
    Saving,
    /// The task ended for this reason and has not been reaped yet.
    Ended(ExitReason),
}

impl Phase {
    /// Whether the task takes, or may take, resources.
    pub fn is_live(self) -> bool {
        !matches!(self, Phase::Ended(_))
    }
}

impl fmt::Display for Phase {
    /// Writes the phase as shown by `explain`. Operators' tools read these names, so
    /// they must not change.
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

/// A task that runs, or may run, on a machine, or that ended there and has not been
/// reaped.
#[derive(Debug)]
pub struct Assignment {
    /// Name of the task on the wire: job id and task number.
    pub name: String,
    /// The task's job; `None` if the job has ended or is unknown.
    pub job: Option<JobHandle>,
    /// Task number within the job.
    pub task: u32,
    /// Attempt number of this start of the task.
    pub attempt: u64,
    /// Index of the team whose quota the task counts against; `usize::MAX` if there is
    /// none.
    pub team: usize,
    /// Resources that the task takes on the machine.
    pub need: Resources,
    /// Progress of the task.
    pub phase: Phase,
    /// The stop that is requested of the task.
    pub stop: StopRequest,
    /// Direct start commands of this attempt that the machine may still carry out.
    pub direct_start: DirectStart,
    /// Whether the machine's last status did not list the attempt, which was listed before,
    /// while a direct start of it could still arrive.
    pub missing: bool,
    /// Sequence number of the heartbeat whose response carried the start command.
    pub sent_with_heartbeat: u64,
    /// Time at which the assignment was added to the list.
    pub since: Millis,
    /// Whether the task was reported running more than once, or completed: fault
    /// attribution has counted this in favour of its job and its machine.
    pub seen_running: bool,
    /// Number of the cluster state change that added the assignment. Standbys must have
    /// confirmed this change before the task is started.
    pub change_number: u64,
}

impl Assignment {
    /// Whether the task takes, or may take, resources.
    pub fn is_live(&self) -> bool {
        self.phase.is_live()
    }
}

/// Whether the machine registry has a record of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registration {
    /// The registry has no record of the machine.
    Absent,
    /// The registry has a record of the machine.
    Present,
}

/// Identity and properties of a machine that has no handle yet.
#[derive(Debug, Clone, Copy)]
pub struct NewMachine<'a> {
    /// Name that the cloud gave the machine.
    pub name: &'a str,
    /// Address on which the machine's agent listens; text that is no address means that
    /// it is not known yet.
    pub addr: &'a str,
    /// Name of the machine type.
    pub type_name: &'a str,
    /// Name of the zone.
    pub zone: &'a str,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
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
    /// Name that the cloud gave the machine.
    pub name: String,
    /// Address on which the machine's agent listens, once known.
    pub addr: Option<SocketAddr>,
    /// Index of the machine type.
    pub type_index: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Resources taken by live tasks.
    pub used: Resources,
    /// Tasks that run, or may run, on the machine, or that ended there and have not
    /// been reaped.
    pub tasks: Vec<Assignment>,
    /// Incarnation of the machine's agent, as of the last accepted heartbeat.
    pub incarnation: u64,
    /// Sequence number of the last accepted heartbeat.
    pub heartbeat_seq: u64,
    /// Lowest accepted incarnation: heartbeats of earlier incarnations are stale.
    pub min_incarnation: u64,
    /// Highest fencing token that the machine's heartbeats have acknowledged.
    pub acknowledged_token: u64,
    /// The low bits of the machine's fencing token: [`FIRST_TOKEN_EPOCH`], and one more for each
    /// raise within the term.
    pub token_epoch: u64,
    /// Fencing token that the machine has to acknowledge before new tasks are placed on
    /// it; 0 if there is none. Set when a one-way partition is suspected, because
    /// heartbeats arrive but responses seem to be lost.
    pub required_token: u64,
    /// Fencing token that tells a restarted agent from a delayed heartbeat; 0 if there
    /// is none. A heartbeat with an old sequence number that acknowledges this token
    /// comes from a restarted agent, which runs nothing but the tasks that the
    /// heartbeat lists.
    pub restart_token: u64,
    /// Lowest fencing token accepted after the agent restarted in this term: heartbeats
    /// that have not seen this token were sent before the restart, whatever their
    /// sequence number.
    pub min_token: u64,
    /// Incarnation and sequence number of the latest heartbeat in this term, whether or
    /// not it was stale.
    pub latest_heartbeat: (u64, u64),
    /// The last heartbeat that was older than `latest_heartbeat` or had not seen a
    /// required token, and the time at which it was received.
    pub last_stale_heartbeat: ((u64, u64), Millis),
    /// Number of consecutive heartbeats that acknowledge no token of this term,
    /// although the heartbeats before them were answered.
    pub unacknowledged_heartbeats: u32,
    /// Whether a heartbeat was received in this term and the machine's lease has not
    /// expired since.
    pub up: bool,
    /// Whether the machine was in the machine registry when this term began, and since
    /// then no heartbeat was received and its lease has not expired: any task may run
    /// on it.
    pub contents_unknown: bool,
    /// Time at which a heartbeat was last answered with status 200.
    pub last_answered: Millis,
    /// Time at which the direct start command that is in flight was sent.
    pub start_sent_at: Option<Millis>,
    /// Latest time at which the last direct start command can have reached the machine.
    pub latest_possible_direct_start: Millis,
    /// Time at which the last heartbeat was received.
    pub last_heartbeat: Millis,
    /// Whether the machine registry has a record of this machine.
    pub registration: Registration,
    /// Version of the machine's record; 0 if there is none.
    pub record_version: u64,
    /// Whether a write of the machine's record is in flight or indeterminate.
    pub write_in_flight: bool,
    /// Whether the release of the machine has been decided.
    pub releasing: bool,
    /// Whether the record says that the machine is being released.
    pub release_recorded: bool,
    /// Whether the record says, or an indeterminate write may make it say, that nothing
    /// runs on the machine. Nothing is started on the machine before a record without
    /// that mark is known to be written.
    pub may_be_recorded_empty: bool,
    /// Whether the cloud was asked to release the machine.
    pub release_requested: bool,
    /// Monotonic clock time at which the cloud will reclaim the machine.
    pub reclaim_at: Option<Millis>,
    /// Time at which the machine was first known, its lease expired, its registered
    /// contents were found to be gone, or its release was decided, whichever was last.
    pub state_since: Millis,
    /// Time since which nothing has run on the machine.
    pub idle_since: Millis,
    /// Time at which the cloud's listing last included the machine.
    pub last_listed: Millis,
    /// Task failures that are attributed to the machine.
    pub failures: MachineFailures,
    /// Whether the machine is quarantined but its record does not say so yet.
    pub quarantine_unrecorded: bool,
    /// Whether a direct command is in flight.
    pub command_in_flight: bool,
    /// Time before which no direct command is sent.
    pub command_retry_at: Millis,
    /// Images that the machine is estimated to cache, least recently used first.
    pub images: Vec<u32>,
    /// Whether the record lacks some of `images`.
    pub images_unrecorded: bool,
    /// Time at which a task of a job other than a service was last on the machine.
    pub last_batch_activity: Millis,
    /// Time until which no batch task is placed on the machine, because services are
    /// being moved to it.
    pub no_batch_tasks_until: Millis,
    /// Whether the machine is up but its heartbeats are overdue.
    pub overdue: bool,
    /// Time since which the heartbeats are overdue.
    pub overdue_since: Millis,
    /// Whether the services on the machine are being moved off, after which it is
    /// released.
    pub draining: bool,
    /// Job for which the machine is reserved while other tasks on it are preempted, and
    /// the time at which the reservation ends.
    pub reserved_for: Option<(JobHandle, Millis)>,
}

impl Machine {
    /// Returns a machine of which only its identity and properties are known.
    pub(super) fn new(
        new: NewMachine<'_>,
        type_index: usize,
        machine_type: &MachineType,
        zone: usize,
        now: Millis,
    ) -> Self {
        Machine {
            name: new.name.to_owned(),
            addr: new.addr.parse().ok(),
            type_index,
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
            token_epoch: FIRST_TOKEN_EPOCH,
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
            latest_possible_direct_start: 0,
            last_heartbeat: 0,
            registration: Registration::Absent,
            record_version: 0,
            write_in_flight: false,
            releasing: false,
            release_recorded: false,
            may_be_recorded_empty: false,
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
            no_batch_tasks_until: 0,
            overdue: false,
            overdue_since: 0,
            draining: false,
            reserved_for: None,
        }
    }

    /// Returns the free part of the capacity.
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// Number of live tasks on the machine.
    pub fn live_tasks(&self) -> usize {
        self.tasks.iter().filter(|t| t.is_live()).count()
    }

    /// Whether the machine is reserved for this job.
    pub fn is_reserved_for(&self, job: JobHandle, now: Millis) -> bool {
        self.reserved_for
            .is_some_and(|(of, until)| of == job && now < until)
    }

    /// Whether the machine is not reserved for another job.
    pub fn available_to(&self, job: JobHandle, now: Millis) -> bool {
        self.reserved_for
            .is_none_or(|(of, until)| of == job || now >= until)
    }

    /// Whether the machine's lease has expired and no heartbeat was received since:
    /// nothing can run on it.
    pub fn lease_expired(&self) -> bool {
        !self.up && !self.contents_unknown && self.registration == Registration::Present
    }

    /// Returns the latest time at which the machine's lease may have started. An agent
    /// that has just started counts its lease from its own start, which may be as late
    /// as the moment at which it received a direct command; tasks that the command
    /// started run until that lease ends.
    pub fn lease_start(&self) -> Millis {
        let in_flight = self
            .start_sent_at
            .map_or(0, |sent| sent + DIRECT_COMMAND_TIMEOUT_MS);
        self.last_answered
            .max(self.latest_possible_direct_start)
            .max(in_flight)
    }

    /// Whether the machine sends heartbeats but has not acknowledged the required
    /// fencing token, so responses may not reach it.
    pub fn awaits_token_acknowledgement(&self) -> bool {
        self.acknowledged_token < self.required_token
    }

    /// Whether the machine is up but its record must be written before anything is
    /// started on it.
    pub fn awaits_record(&self) -> bool {
        self.up
            && !self.releasing
            && (self.registration == Registration::Absent || self.may_be_recorded_empty)
    }

    /// Whether new tasks may be placed on the machine.
    pub fn schedulable(&self) -> bool {
        !self.overdue && self.schedulable_if_not_overdue()
    }

    /// Whether new tasks could be placed on the machine if its heartbeats were not
    /// overdue.
    pub fn schedulable_if_not_overdue(&self) -> bool {
        self.up
            && !self.releasing
            && !self.may_be_recorded_empty
            && !self.failures.quarantined
            && !self.draining
            && !self.awaits_token_acknowledgement()
            && self.reclaim_at.is_none()
            && self.registration == Registration::Present
    }
}
