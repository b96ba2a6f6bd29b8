//! What users are told: polls, submissions and withdrawals, in steps that do
//! no input or output. A step is taken with what the node knows at that moment;
//! what it asks for (the leader's word, a look at the records, a write) may
//! take any time and comes back as the next event.
//!
//! What may be said of a job is a register that moves one way: unknown,
//! accepted, and then done or withdrawn. An answer is made from what was read
//! after its request came in, or from memory where that can't be older than
//! any answer given. As it leaves it is looked at once more: an end that this
//! node has learned meanwhile goes before it.

mod basis;
mod poll;
mod settle;
mod submit;
#[cfg(test)]
mod tests;
mod withdraw;

pub use basis::{Basis, Reading, Source};
pub use poll::polled;

use super::{
    bounds::{FRESH, hold},
    leader::Leader,
    polls::Finals,
};
use crate::{
    bookkeeping::{
        Ms,
        records::{FinalRecord, JobRecord},
    },
    protocol::{
        cloud::MachineType,
        settings::Settings,
        state::Txn,
        users::{JobSpec, JobState, JobStatus, valid_ref},
    },
};
use std::collections::HashMap;

/// See `Request::forward_limit`.
const FORWARD: Ms = 800;
const FORWARD_WITHDRAWAL: Ms = 2_000;

const LOST: &str = "leadership is changing";
const NO_LEADER: &str = "no leader can be reached";
const UNREAD: &str = "a new leader is reading the records";
const WITHHELD: &str = "its withdrawal, with a job that it needs, is being recorded";
const NO_SUCH: &str = "no such job";

/// What stands in the store about a job.
#[derive(Debug)]
pub enum Found {
    Live(Box<JobRecord>, u64),
    Final(FinalRecord, u64),
    Nothing,
}

/// By job; one that is missing was never accepted.
pub type Looked = HashMap<String, Result<Found, String>>;

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TxnResult {
    Done(u64),
    /// Keys whose versions differ.
    Conflict(Vec<String>),
    /// Not executed: refused, or not sent.
    Refused,
    /// Not executed, and would not be if it came again: over a limit that has
    /// fallen, or malformed.
    Rejected,
    /// May have been executed, or may be yet.
    Unknown,
}

pub fn final_status(id: &str, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id: id.to_owned(),
        state: record.state,
        done: record.done,
        running: 0,
    }
}

/// What a node knows as a step is taken.
pub struct Here<'a> {
    /// The leader's state, whether or not this node may still act.
    pub leader: Option<&'a mut Leader>,
    /// This node leads, and may act right now.
    pub acts: bool,
    /// Final states that it has learned while it did not lead.
    pub finals: &'a mut Finals,
    pub settings: &'a Settings,
    pub types: &'a [MachineType],
    /// Every controller is known to run this version.
    pub upgraded: bool,
    pub now: Ms,
    pub wall_ms: u64,
    /// The term in which this node began the read of which the result is taken
    /// in now; the request under way sets it.
    pub read_in: Option<u64>,
}

impl Here<'_> {
    fn acting(&mut self) -> Option<&mut Leader> {
        let acts = self.acts;
        self.leader.as_deref_mut().filter(|_| acts)
    }

    fn acting_term(&self) -> Option<u64> {
        let leader = self.leader.as_deref().filter(|_| self.acts);
        leader.map(|l| l.term)
    }

    /// For what was begun with authority in that term.
    fn of_term(&mut self, term: u64) -> Option<&mut Leader> {
        self.leader.as_deref_mut().filter(|l| l.term == term)
    }

    /// How the job ended, as far as this node has learned. It never changes.
    fn end_of(&self, id: &str) -> Option<JobStatus> {
        let led = self.leader.as_deref().and_then(|l| l.told(id));
        led.filter(|s| s.state.is_final())
            .or_else(|| self.finals.get(id))
    }

    /// All ends that this node remembers.
    fn ends(&mut self) -> &mut Finals {
        match self.leader.as_deref_mut() {
            Some(l) => &mut l.finals,
            None => self.finals,
        }
    }

    /// It was learned now, by a read.
    fn remember(&mut self, status: &JobStatus) {
        let tell_at = self.now + hold();
        self.ends().remember(status, tell_at);
    }

    /// For how long this end is held back yet. What the leader says has been.
    fn held_for(&mut self, status: &JobStatus, source: Source) -> Ms {
        let now = self.now;
        match source {
            Source::Leader => self.ends().remember(status, now),
            _ => self.remember(status),
        }
        let tell_at = self.ends().tell_at(&status.id);
        tell_at.unwrap_or(now).saturating_sub(now)
    }

    /// Takes in what was read of a job, and says how it stands by that. Into
    /// the picture goes only what was read in its own term. Guards against a
    /// job that ended under another leader while a slow read was under way.
    fn learn(&mut self, id: &str, found: Found) -> Option<JobStatus> {
        let status = match found {
            Found::Live(record, version) => {
                let status = record.status();
                let (now, read_in) = (self.now, self.read_in);
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

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// With 200, or 201 for a job that was not known before.
    State(u16, JobStatus),
    Refused(u16, String),
    /// 503: not now.
    Later(String),
}

impl Answer {
    fn known(status: JobStatus) -> Answer {
        Answer::State(200, status)
    }

    /// With this state in place of an older reading: a job that was accepted
    /// now stays one, and one that is known is not refused.
    fn with(self, status: JobStatus) -> Answer {
        match self {
            Answer::State(code, _) => Answer::State(code, status),
            _ => Answer::known(status),
        }
    }

    fn later(why: &str) -> Answer {
        Answer::Later(why.to_owned())
    }

    fn unread(e: &str) -> Answer {
        Answer::Later(format!("records can't be read: {e}"))
    }

    /// Another node's answer, as it was passed on.
    pub fn relayed(status: u16, body: &[u8]) -> Answer {
        let text = || {
            let v = serde_json::from_slice::<serde_json::Value>(body).ok();
            let error = v.and_then(|v| Some(v.get("error")?.as_str()?.to_owned()));
            error.unwrap_or_default()
        };
        match status {
            200 | 201 => match serde_json::from_slice(body) {
                Ok(job) => Answer::State(status, job),
                Err(_) => Answer::later("the leader's answer can't be read"),
            },
            400..=499 if status != 429 => Answer::Refused(status, text()),
            _ => Answer::Later(text()),
        }
    }
}

/// What a request waits for.
#[derive(Debug)]
pub enum Event {
    Begin,
    /// The leader's word on a polled job.
    Told(Reading),
    /// The polled job's state by the records.
    Read(Result<Reading, String>),
    /// The leader's answer. `None`: there is none.
    Forwarded(Option<Answer>),
    /// Whether every controller runs this version.
    Versions(bool),
    Looked(Looked),
    Wrote(TxnResult),
    /// The write was not begun: over the budget.
    OverBudget,
    Waited,
}

/// What is to be done next for a request.
#[derive(Debug)]
pub enum Next {
    Answer(Answer),
    /// It was passed on to this node, which does not lead.
    NotLeading,
    /// Nothing is left to be done, and nobody waits.
    Over,
    /// Ask the leader how the job stands.
    AskLeader,
    /// Read, with others, how it stands.
    ReadState,
    /// Pass the request on to the leader.
    Forward,
    /// Look whether every controller runs this version.
    Versions,
    /// Look these jobs up in the records.
    Look(Vec<String>),
    /// Whether it may wait for the budget of changes.
    Write(Txn, bool),
    Wait(Ms),
}

#[derive(Debug)]
enum What {
    Poll,
    Submit(Box<submit::Submit>),
    Withdraw(withdraw::Withdraw),
    Settle(settle::Settle),
}

/// A request under way.
#[derive(Debug)]
pub struct Request {
    /// The job that it names, if that is of the right form.
    id: Option<String>,
    /// Passed on by another node.
    forwarded: bool,
    what: What,
    /// When something was last asked for elsewhere, and the term in which this
    /// node led then.
    asked: Ms,
    asked_in: Option<u64>,
    /// What the last answer rests on.
    basis: Basis,
    check: Check,
    /// Readings that were too old as they came.
    stale: u32,
}

/// What is seen to before an answer is given.
#[derive(Debug, Default)]
enum Check {
    #[default]
    None,
    /// Its end is held back until older answers have been given.
    Held(Answer),
    /// Its reading was too old: it is read again.
    Reread(Answer),
}

/// So many readings may be too old.
const MOST_STALE: u32 = 3;
const SLOW: &str = "its state could not be read in time";

impl Request {
    fn of(id: &str, forwarded: bool, what: What) -> Request {
        let id = Some(id.to_owned()).filter(|id| valid_ref(id));
        Request {
            id,
            forwarded,
            what,
            asked: 0,
            asked_in: None,
            basis: Basis::default(),
            check: Check::None,
            stale: 0,
        }
    }

    pub fn poll(id: &str) -> Request {
        Self::of(id, false, What::Poll)
    }

    pub fn submit(body: &[u8], forwarded: bool) -> Request {
        let parsed = JobSpec::parse(body);
        let id = match &parsed {
            Ok(spec) => spec.id.clone(),
            Err(_) => submit::named(body).unwrap_or_default(),
        };
        let what = What::Submit(Box::new(submit::Submit::new(parsed)));
        Self::of(&id, forwarded, what)
    }

    pub fn withdraw(id: &str, forwarded: bool) -> Request {
        Self::of(id, forwarded, What::Withdraw(Default::default()))
    }

    /// What remains to be done once this is answered.
    pub fn left(&self) -> Option<Request> {
        let (term, id) = match &self.what {
            What::Submit(s) => (s.unsettled()?, self.id.as_deref()?),
            _ => return None,
        };
        let what = What::Settle(settle::Settle::new(term));
        Some(Self::of(id, false, what))
    }

    /// The job that it names, if that is of the right form.
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// What the answer rests on that was given last.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// For how long the leader's answer to it is waited for, where it is passed
    /// on. A withdrawal's record is waited for, and then held back.
    pub fn forward_limit(&self) -> Ms {
        match self.what {
            What::Withdraw(_) => FORWARD_WITHDRAWAL,
            _ => FORWARD,
        }
    }

    /// Whether it waits only as an end is held back.
    pub fn is_held(&self) -> bool {
        matches!(self.check, Check::Held(_))
    }

    pub fn step(&mut self, event: Event, here: &mut Here) -> Next {
        self.basis = Basis::of(&event, self.asked, here.acts, here.now);
        here.read_in = self.asked_in;
        let next = match std::mem::take(&mut self.check) {
            Check::None => self.go_on(event, here),
            Check::Held(answer) => Next::Answer(answer),
            Check::Reread(answer) => Next::Answer(reread(answer, event)),
        };
        let next = match next {
            Next::Answer(answer) => self.give(answer, here),
            next => next,
        };
        if !matches!(next, Next::Answer(_)) {
            self.asked = here.now;
            self.asked_in = here.acting_term();
        }
        next
    }

    fn go_on(&mut self, event: Event, here: &mut Here) -> Next {
        let id = self.id.clone().unwrap_or_default();
        match &mut self.what {
            What::Poll => poll::step(&id, event, here),
            What::Submit(s) => s.step(&id, self.forwarded, event, here),
            What::Withdraw(w) => w.step(&id, self.forwarded, event, here),
            What::Settle(s) => s.step(&id, event, here),
        }
    }

    /// Gives an answer that is not too old, and an end not too soon: by the
    /// time at which an end is told first, every node has given the older
    /// answers that it may have read. Guards against one of those that is
    /// given by another node after the end.
    fn give(&mut self, answer: Answer, here: &mut Here) -> Next {
        let answer = self.last_look(answer, here);
        match &answer {
            Answer::Later(_) => Next::Answer(answer),
            Answer::State(_, status) if status.state.is_final() => {
                match here.held_for(status, self.basis.source) {
                    0 => Next::Answer(answer),
                    left => {
                        self.check = Check::Held(answer);
                        Next::Wait(left)
                    }
                }
            }
            _ if self.id.is_none() || self.basis.age(here.now) <= FRESH => Next::Answer(answer),
            _ => self.too_old(answer, here),
        }
    }

    /// Its reading took too long: read it once more, a few times at most.
    fn too_old(&mut self, answer: Answer, here: &mut Here) -> Next {
        let id = self.id.as_deref().unwrap_or_default();
        let led = here.acting().filter(|l| l.loaded());
        if let Some(status) = led.and_then(|l| l.told(id)) {
            self.basis = Basis::picture(here.now);
            let answer = answer.with(status);
            return self.give(answer, here);
        }
        self.stale += 1;
        if self.stale > MOST_STALE {
            return Next::Answer(Answer::later(SLOW));
        }
        self.check = Check::Reread(answer);
        Next::ReadState
    }

    /// As late as can be. Guards against an answer that was read, or relayed,
    /// before the job ended, and is given after this node has told that end.
    fn last_look(&mut self, answer: Answer, here: &mut Here) -> Answer {
        let Some(id) = self.id.as_deref() else {
            return answer;
        };
        let told = match &answer {
            Answer::Later(_) => None,
            Answer::State(_, s) if s.state.is_final() => None,
            Answer::State(..) => here.end_of(id),
            // It may have been accepted while the records were read.
            Answer::Refused(..) => {
                let led = here.acting().and_then(|l| l.told(id));
                led.or_else(|| here.end_of(id))
            }
        };
        if told.is_some() {
            self.basis = Basis::memory(here.now);
        }
        told.map_or(answer, Answer::known)
    }
}

/// The same answer, by what was read again.
fn reread(answer: Answer, event: Event) -> Answer {
    match (event, answer) {
        (Event::Read(Ok(reading)), answer) => match (reading.status, answer) {
            (Some(status), answer) => answer.with(status),
            // A job that was known can't be unknown: what says so is amiss.
            (None, Answer::State(..)) => Answer::later(SLOW),
            (None, refused) => refused,
        },
        (Event::Read(Err(e)), _) => Answer::Later(e),
        _ => Answer::later(SLOW),
    }
}

/// One look at how the job stands, by the one job that was looked up.
fn looked(id: &str, mut looked: Looked, here: &mut Here) -> Result<Option<JobStatus>, Answer> {
    match looked.remove(id) {
        Some(Ok(found)) => Ok(here.learn(id, found)),
        Some(Err(e)) => Err(Answer::unread(&e)),
        None => Ok(None),
    }
}

/// An event that does not fit the step: no answer is made of it.
fn out_of_place(event: &Event) -> Next {
    log::error!("a request got an answer to what it did not ask: {event:?}");
    Next::Answer(Answer::later("try again"))
}
