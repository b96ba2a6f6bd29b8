//! A machine, and what is or may be on it.

use crate::{
    protocol::workers::ExitReason,
    state::{Millis, fault_attribution::MachineFailures, resources::Resources},
};
use std::{fmt, net::SocketAddr};

/// For so long the answer to a direct command is waited for. It is not sent later
/// than that: the connection is made or given up within it.
pub const DIRECT_COMMAND_TIMEOUT_MS: Millis = 2_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Decided, no command given yet.
    New,
    /// A launch was given; whether it was carried out is open.
    Sent,
    Fetching,
    /// Waits for its gang.
    Waiting,
    Running,
    Saving,
    Ended(ExitReason),
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
    pub name: String,
    /// `NONE` once its job is over.
    pub job: u32,
    pub task: u32,
    pub attempt: u64,
    pub team: usize,
    pub need: Resources,
    pub phase: Phase,
    /// Grace in seconds of the halt that is wanted.
    pub stop_grace_s: Option<f64>,
    /// The halt was given at least once.
    pub stop_sent: bool,
    /// Token of a direct launch that had no answer: it may be carried out
    /// until the machine has seen a higher one. 0: none.
    pub indeterminate_token: u64,
    /// The report whose response carried the launch.
    pub sent_with_heartbeat: u64,
    pub since: Millis,
    /// It was reported running more than once, or completed: it was counted
    /// in favour of its job and its machine.
    pub seen_running: bool,
    /// The change of the cluster state that put it here. Standbys must have
    /// confirmed that before it is started.
    pub change_number: u64,
}

impl Assignment {
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registration {
    Absent,
    Present,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: Option<SocketAddr>,
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub capacity: Resources,
    pub used: Resources,
    pub tasks: Vec<Assignment>,
    pub incarnation: u64,
    pub heartbeat_seq: u64,
    /// Reports of earlier sessions are no news.
    pub min_incarnation: u64,
    pub acknowledged_token: u64,
    pub token_epoch: u64,
    /// Reports arrive, but answers don't seem to: until one shows this token,
    /// nothing new is placed here. 0: no doubt.
    pub required_token: u64,
    /// A report that is older by its count may be of a machine that started
    /// anew: one that shows this token is, and nothing runs there. 0: none.
    pub restart_token: u64,
    /// It has started anew in this term: reports that have not seen this token
    /// are from before, whatever they count.
    pub min_token: u64,
    /// The latest report in this term, whether it was news or not: session,
    /// count.
    pub latest_heartbeat: (u64, u64),
    /// The last report that was older than that, and when it came.
    pub last_stale_heartbeat: ((u64, u64), Millis),
    /// Reports in a row that show no token of this term, although those before
    /// them were answered.
    pub unacknowledged_heartbeats: u32,
    /// Heard in this term, and not expired since.
    pub up: bool,
    /// Stood in the machine registry when this term began and has neither been heard
    /// nor expired: anything may run on it.
    pub contents_unknown: bool,
    /// When a report was last answered with 200.
    pub last_answered: Millis,
    /// When the direct command with a start was sent that is on its way.
    pub start_sent_at: Option<Millis>,
    /// When the last one can have reached it at the latest.
    pub latest_possible_start: Millis,
    pub last_heartbeat: Millis,
    pub registration: Registration,
    pub record_version: u64,
    pub write_in_flight: bool,
    pub releasing: bool,
    pub release_recorded: bool,
    /// The record says, or may come to say, that nothing runs here: nothing is
    /// started before one without that is surely written.
    pub recorded_empty: bool,
    pub release_requested: bool,
    /// Steady-clock time at which it is to be taken away.
    pub reclaim_at: Option<Millis>,
    pub state_since: Millis,
    pub idle_since: Millis,
    pub last_listed: Millis,
    pub failures: MachineFailures,
    /// The record lacks the verdict on it.
    pub quarantine_unrecorded: bool,
    /// A direct command is on its way.
    pub command_in_flight: bool,
    pub command_retry_at: Millis,
    pub images: Vec<u32>,
    /// The record lacks some of them.
    pub images_unrecorded: bool,
    /// When a task other than a service's was last on it.
    pub last_batch_activity: Millis,
    /// Services move here: batches keep off until then.
    pub closed_to_batches_until: Millis,
    /// Up, but its reports are overdue, and since when.
    pub overdue: bool,
    pub overdue_since: Millis,
    /// Its services are being moved off, then it is returned.
    pub draining: bool,
    /// Room is being made on it for this job, until then.
    pub reserved_for: Option<(u32, Millis)>,
}

impl Machine {
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }
    pub fn live_tasks(&self) -> usize {
        self.tasks.iter().filter(|t| t.is_live()).count()
    }
    /// Room on it is held for this job.
    pub fn is_reserved_for(&self, job: u32, now: Millis) -> bool {
        self.reserved_for
            .is_some_and(|(of, until)| of == job && now < until)
    }
    /// No room on it is held for another job.
    pub fn available_to(&self, job: u32, now: Millis) -> bool {
        self.reserved_for
            .is_none_or(|(of, until)| of == job || now >= until)
    }
    /// Known to hold nothing: its lease has expired, and it was not heard since.
    pub fn lease_expired(&self) -> bool {
        !self.up && !self.contents_unknown && self.registration == Registration::Present
    }
    /// Since when its lease may run. A process of it that has just begun counts
    /// from its own beginning, which may be as late as the moment at which it
    /// took a direct command; what was started by that runs until then.
    pub fn lease_start(&self) -> Millis {
        let on_its_way = self
            .start_sent_at
            .map_or(0, |sent| sent + DIRECT_COMMAND_TIMEOUT_MS);
        self.last_answered
            .max(self.latest_possible_start)
            .max(on_its_way)
    }
    /// It reports, but was not seen to receive anything for a while.
    pub fn misses_responses(&self) -> bool {
        self.acknowledged_token < self.required_token
    }
    /// Heard, and to be written down before anything is started on it.
    pub fn awaits_record(&self) -> bool {
        self.up
            && !self.releasing
            && (self.registration == Registration::Absent || self.recorded_empty)
    }
    /// May new tasks be placed here?
    pub fn schedulable(&self) -> bool {
        !self.overdue && self.schedulable_once_heard()
    }
    /// The same if its reports were not overdue.
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
