//! A machine, and what is or may be on it.

use crate::{
    protocol::workers::Why,
    state::{Ms, fault_attribution::MachineFile, resources::Resources},
};
use std::net::SocketAddr;

/// For so long the answer to a direct order is waited for. It is not sent later
/// than that: the connection is made or given up within it.
pub const ORDER: Ms = 2_000;

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
    Ended(Why),
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
    pub stop: Option<f64>,
    /// The halt was given at least once.
    pub told: bool,
    /// Token of a direct launch that had no answer: it may be carried out
    /// until the machine has seen a higher one. 0: none.
    pub doubt: u64,
    /// The report whose response carried the launch.
    pub sent_seq: u64,
    pub since: Ms,
    /// It was reported running more than once, or completed: it was counted
    /// in favour of its job and its machine.
    pub ran: bool,
    /// The change of the picture that put it here. Standbys must have
    /// confirmed that before it is started.
    pub change: u64,
}

impl Assignment {
    pub fn live(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Roster {
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
    pub session: u64,
    pub seq: u64,
    /// Reports of earlier sessions are no news.
    pub min_session: u64,
    pub seen_token: u64,
    pub fence: u64,
    /// Reports arrive, but answers don't seem to: until one shows this token,
    /// nothing new is placed here. 0: no doubt.
    pub proof: u64,
    /// A report that is older by its count may be of a machine that started
    /// anew: one that shows this token is, and nothing runs there. 0: none.
    pub reborn_at: u64,
    /// It has started anew in this term: reports that have not seen this token
    /// are from before, whatever they count.
    pub least_token: u64,
    /// The latest report in this term, whether it was news or not: session,
    /// count.
    pub latest: (u64, u64),
    /// The last report that was older than that, and when it came.
    pub older: ((u64, u64), Ms),
    /// Reports in a row that show no token of this term, although those before
    /// them were answered.
    pub unproven: u32,
    /// Heard in this term, and not lapsed since.
    pub up: bool,
    /// Stood in the roster when this term began and has neither been heard
    /// nor lapsed: anything may run on it.
    pub unknown: bool,
    /// When a report was last answered with 200.
    pub answered: Ms,
    /// When the direct command with a start was sent that is on its way.
    pub starting: Option<Ms>,
    /// When the last one can have reached it at the latest.
    pub may_have_begun: Ms,
    pub heard: Ms,
    pub roster: Roster,
    pub version: u64,
    pub writing: bool,
    pub releasing: bool,
    pub release_marked: bool,
    /// The record says, or may come to say, that nothing runs here: nothing is
    /// started before one without that is surely written.
    pub noted_empty: bool,
    pub release_sent: bool,
    /// Steady-clock time at which it is to be taken away.
    pub notice: Option<Ms>,
    pub since: Ms,
    pub idle_since: Ms,
    pub listed: Ms,
    pub file: MachineFile,
    /// The record lacks the verdict on it.
    pub verdict_new: bool,
    /// A direct order is on its way.
    pub ordering: bool,
    pub order_retry: Ms,
    pub images: Vec<u32>,
    /// The record lacks some of them.
    pub images_new: bool,
    /// When a task other than a service's was last on it.
    pub batch_until: Ms,
    /// Services move here: batches keep off until then.
    pub no_batch_until: Ms,
    /// Up, but its reports are overdue, and since when.
    pub suspect: bool,
    pub suspect_since: Ms,
    /// Its services are being moved off, then it is returned.
    pub draining: bool,
    /// Room is being made on it for this job, until then.
    pub held_for: Option<(u32, Ms)>,
}

impl Machine {
    pub fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }
    pub fn live_tasks(&self) -> usize {
        self.tasks.iter().filter(|t| t.live()).count()
    }
    /// Room on it is held for this job.
    pub fn is_held_for(&self, job: u32, now: Ms) -> bool {
        self.held_for
            .is_some_and(|(of, until)| of == job && now < until)
    }
    /// No room on it is held for another job.
    pub fn open_to(&self, job: u32, now: Ms) -> bool {
        self.held_for
            .is_none_or(|(of, until)| of == job || now >= until)
    }
    /// Known to hold nothing: its lease has lapsed, and it was not heard since.
    pub fn lapsed(&self) -> bool {
        !self.up && !self.unknown && self.roster == Roster::Present
    }
    /// Since when its lease may run. A process of it that has just begun counts
    /// from its own beginning, which may be as late as the moment at which it
    /// took a direct order; what was started by that runs until then.
    pub fn leased_since(&self) -> Ms {
        let on_its_way = self.starting.map_or(0, |sent| sent + ORDER);
        self.answered.max(self.may_have_begun).max(on_its_way)
    }
    /// It reports, but was not seen to receive anything for a while.
    pub fn is_deaf(&self) -> bool {
        self.seen_token < self.proof
    }
    /// Heard, and to be written down before anything is started on it.
    pub fn awaits_record(&self) -> bool {
        self.up && !self.releasing && (self.roster == Roster::Absent || self.noted_empty)
    }
    /// May new tasks be placed here?
    pub fn usable(&self) -> bool {
        !self.suspect && self.lasting()
    }
    /// The same if its reports were not overdue.
    pub fn lasting(&self) -> bool {
        self.up
            && !self.releasing
            && !self.noted_empty
            && !self.file.set_aside
            && !self.draining
            && !self.is_deaf()
            && self.notice.is_none()
            && self.roster == Roster::Present
    }
}
