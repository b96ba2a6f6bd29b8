//! A request under way: it dispatches events to the steps of its kind, and owns
//! the checks that every answer passes before it leaves the node: a final state
//! learned meanwhile overrides an older reading, a reading that is too old is
//! read again, and a final state is held until older answers have been given.
//! Called by the server's loop for users' requests.
//!
//! Must never return an answer that has not passed `finish`.

use super::{Answer, Event, Next, NodeView, cancel, poll, provenance::Provenance, settle, submit};
use crate::{
    control::safety_bounds::MAX_READING_AGE_MS,
    protocol::users::{JobSpec, is_valid_job_id},
    state::Millis,
};

/// See `Request::forward_limit`.
const FORWARD_TIMEOUT_MS: Millis = 800;
const FORWARD_CANCELLATION_TIMEOUT_MS: Millis = 2_000;

#[derive(Debug)]
enum Work {
    Poll,
    Submit(Box<submit::Submit>),
    Cancel(cancel::Cancel),
    Settle(settle::Settle),
}

/// A request under way.
#[derive(Debug)]
pub struct Request {
    /// The job that it names, if that is of the right form.
    id: Option<String>,
    /// Forwarded by another node.
    forwarded: bool,
    work: Work,
    /// When something was last requested elsewhere, and the term in which this
    /// node led then.
    requested_at: Millis,
    requested_in_term: Option<u64>,
    /// What the last answer rests on.
    provenance: Provenance,
    check: Check,
    /// Readings that were too old as they came.
    stale_reads: u32,
}

/// What an answer waits for before it is given.
#[derive(Debug, Default)]
enum Check {
    #[default]
    None,
    /// A final state, held until older answers have been given.
    Held(Answer),
    /// Its reading was too old: it is read again.
    Reread(Answer),
}

/// How many readings of one request may be too old.
pub(super) const MAX_STALE_READS: u32 = 3;
const READ_TIMED_OUT: &str = "its state could not be read in time";

impl Request {
    fn of(id: &str, forwarded: bool, work: Work) -> Request {
        let id = Some(id.to_owned()).filter(|id| is_valid_job_id(id));
        Request {
            id,
            forwarded,
            work,
            requested_at: 0,
            requested_in_term: None,
            provenance: Provenance::default(),
            check: Check::None,
            stale_reads: 0,
        }
    }

    /// A poll of a job.
    pub fn poll(id: &str) -> Request {
        Self::of(id, false, Work::Poll)
    }

    /// A submission, by its body as it came.
    pub fn submit(body: &[u8], forwarded: bool) -> Request {
        let parsed = JobSpec::parse(body);
        let id = match &parsed {
            Ok(spec) => spec.id.clone(),
            Err(_) => submit::named_job(body).unwrap_or_default(),
        };
        let work = Work::Submit(Box::new(submit::Submit::new(parsed)));
        Self::of(&id, forwarded, work)
    }

    /// A cancellation of a job.
    pub fn cancel(id: &str, forwarded: bool) -> Request {
        Self::of(id, forwarded, Work::Cancel(Default::default()))
    }

    /// What remains to be done once this is answered.
    pub fn unfinished_work(&self) -> Option<Request> {
        let (term, id) = match &self.work {
            Work::Submit(s) => (s.indeterminate_term()?, self.id.as_deref()?),
            _ => return None,
        };
        let work = Work::Settle(settle::Settle::new(term));
        Some(Self::of(id, false, work))
    }

    /// The job that it names, if that is of the right form.
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// What the last answer rests on.
    pub fn provenance(&self) -> Provenance {
        self.provenance
    }

    /// How long to wait for the leader's answer where the request is forwarded. A
    /// cancellation waits for its record there, and is then held.
    pub fn forward_limit(&self) -> Millis {
        match self.work {
            Work::Cancel(_) => FORWARD_CANCELLATION_TIMEOUT_MS,
            _ => FORWARD_TIMEOUT_MS,
        }
    }

    /// Whether it waits only as a final state is held.
    pub fn is_held(&self) -> bool {
        matches!(self.check, Check::Held(_))
    }

    /// Takes an event; returns what is to be done next.
    pub fn step(&mut self, event: Event, view: &mut NodeView) -> Next {
        self.provenance = Provenance::of(&event, self.requested_at, view.may_act, view.now);
        view.read_term = self.requested_in_term;
        let next = match std::mem::take(&mut self.check) {
            Check::None => self.advance(event, view),
            Check::Held(answer) => Next::Answer(answer),
            Check::Reread(answer) => Next::Answer(reread(answer, event)),
        };
        let next = match next {
            Next::Answer(answer) => self.finish(answer, view),
            next => next,
        };
        if !matches!(next, Next::Answer(_)) {
            self.requested_at = view.now;
            self.requested_in_term = view.acting_term();
        }
        next
    }

    fn advance(&mut self, event: Event, view: &mut NodeView) -> Next {
        let id = self.id.clone().unwrap_or_default();
        match &mut self.work {
            Work::Poll => poll::step(&id, event, view),
            Work::Submit(s) => s.step(&id, self.forwarded, event, view),
            Work::Cancel(c) => c.step(&id, self.forwarded, event, view),
            Work::Settle(s) => s.step(&id, event, view),
        }
    }

    /// Gives an answer that is not too old, and a final state not too soon: when
    /// a final state is answered for the first time, every node has given the
    /// older answers that it may have read. Guards against one of those being
    /// given by another node after the final state.
    fn finish(&mut self, answer: Answer, view: &mut NodeView) -> Next {
        let answer = self.check_latest(answer, view);
        match &answer {
            Answer::Later(_) => Next::Answer(answer),
            Answer::State(_, status) if status.state.is_final() => {
                match view.hold_time(status, self.provenance.source) {
                    0 => Next::Answer(answer),
                    left => {
                        self.check = Check::Held(answer);
                        Next::Wait(left)
                    }
                }
            }
            _ if self.id.is_none() || self.provenance.age(view.now) <= MAX_READING_AGE_MS => {
                Next::Answer(answer)
            }
            _ => self.read_again(answer, view),
        }
    }

    /// The reading is too old: reads once more, a few times at most.
    fn read_again(&mut self, answer: Answer, view: &mut NodeView) -> Next {
        let id = self.id.as_deref().unwrap_or_default();
        let leader = view.acting().filter(|l| l.loaded());
        if let Some(status) = leader.and_then(|l| l.answerable_status(id)) {
            self.provenance = Provenance::cluster_state(view.now);
            let answer = answer.with(status);
            return self.finish(answer, view);
        }
        self.stale_reads += 1;
        if self.stale_reads > MAX_STALE_READS {
            return Next::Answer(Answer::later(READ_TIMED_OUT));
        }
        self.check = Check::Reread(answer);
        Next::ReadState
    }

    /// The last check, as late as possible. Guards against an answer that was
    /// read, or relayed, before the job ended, and is given after this node has
    /// answered with the final state.
    fn check_latest(&mut self, answer: Answer, view: &mut NodeView) -> Answer {
        let Some(id) = self.id.as_deref() else {
            return answer;
        };
        let newer = match &answer {
            Answer::Later(_) => None,
            Answer::State(_, s) if s.state.is_final() => None,
            Answer::State(..) => view.known_final_status(id),
            // It may have been accepted while the records were read.
            Answer::Refused(..) => {
                let leader = view.acting().and_then(|l| l.answerable_status(id));
                leader.or_else(|| view.known_final_status(id))
            }
        };
        if newer.is_some() {
            self.provenance = Provenance::memory(view.now);
        }
        newer.map_or(answer, Answer::known)
    }
}

/// The same answer, by the new reading.
fn reread(answer: Answer, event: Event) -> Answer {
    match (event, answer) {
        (Event::Read(Ok(reading)), answer) => match (reading.status, answer) {
            (Some(status), answer) => answer.with(status),
            // A job that was known can't be unknown: the reading is at fault.
            (None, Answer::State(..)) => Answer::later(READ_TIMED_OUT),
            (None, refused) => refused,
        },
        (Event::Read(Err(e)), _) => Answer::Later(e),
        _ => Answer::later(READ_TIMED_OUT),
    }
}
