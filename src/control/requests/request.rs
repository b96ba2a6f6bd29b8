//! A request under way: its steps, and the checks that every answer passes.

use super::*;

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
    /// Passed on by another node.
    forwarded: bool,
    work: Work,
    /// When something was last asked for elsewhere, and the term in which this
    /// node led then.
    requested_at: Millis,
    requested_in_term: Option<u64>,
    /// What the last answer rests on.
    provenance: Provenance,
    check: Check,
    /// Readings that were too old as they came.
    stale_reads: u32,
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
pub(super) const MAX_STALE_READS: u32 = 3;
const SLOW: &str = "its state could not be read in time";

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

    pub fn poll(id: &str) -> Request {
        Self::of(id, false, Work::Poll)
    }

    pub fn submit(body: &[u8], forwarded: bool) -> Request {
        let parsed = JobSpec::parse(body);
        let id = match &parsed {
            Ok(spec) => spec.id.clone(),
            Err(_) => submit::named(body).unwrap_or_default(),
        };
        let work = Work::Submit(Box::new(submit::Submit::new(parsed)));
        Self::of(&id, forwarded, work)
    }

    pub fn cancel(id: &str, forwarded: bool) -> Request {
        Self::of(id, forwarded, Work::Cancel(Default::default()))
    }

    /// What remains to be done once this is answered.
    pub fn unfinished_work(&self) -> Option<Request> {
        let (term, id) = match &self.work {
            Work::Submit(s) => (s.unsettled()?, self.id.as_deref()?),
            _ => return None,
        };
        let work = Work::Settle(settle::Settle::new(term));
        Some(Self::of(id, false, work))
    }

    /// The job that it names, if that is of the right form.
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// What the answer rests on that was given last.
    pub fn provenance(&self) -> Provenance {
        self.provenance
    }

    /// For how long the leader's answer to it is waited for, where it is passed
    /// on. A cancellation's record is waited for, and then held back.
    pub fn forward_limit(&self) -> Millis {
        match self.work {
            Work::Cancel(_) => FORWARD_CANCELLATION_TIMEOUT_MS,
            _ => FORWARD_TIMEOUT_MS,
        }
    }

    /// Whether it waits only as an end is held back.
    pub fn is_held(&self) -> bool {
        matches!(self.check, Check::Held(_))
    }

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
            Work::Cancel(w) => w.step(&id, self.forwarded, event, view),
            Work::Settle(s) => s.step(&id, event, view),
        }
    }

    /// Gives an answer that is not too old, and an end not too soon: by the
    /// time at which an end is told first, every node has given the older
    /// answers that it may have read. Guards against one of those that is
    /// given by another node after the end.
    fn finish(&mut self, answer: Answer, view: &mut NodeView) -> Next {
        let answer = self.check_latest(answer, view);
        match &answer {
            Answer::Later(_) => Next::Answer(answer),
            Answer::State(_, status) if status.state.is_final() => {
                match view.held_for(status, self.provenance.source) {
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

    /// Its reading took too long: read it once more, a few times at most.
    fn read_again(&mut self, answer: Answer, view: &mut NodeView) -> Next {
        let id = self.id.as_deref().unwrap_or_default();
        let led = view.acting().filter(|l| l.loaded());
        if let Some(status) = led.and_then(|l| l.answerable_status(id)) {
            self.provenance = Provenance::picture(view.now);
            let answer = answer.with(status);
            return self.finish(answer, view);
        }
        self.stale_reads += 1;
        if self.stale_reads > MAX_STALE_READS {
            return Next::Answer(Answer::later(SLOW));
        }
        self.check = Check::Reread(answer);
        Next::ReadState
    }

    /// As late as can be. Guards against an answer that was read, or relayed,
    /// before the job ended, and is given after this node has told that end.
    fn check_latest(&mut self, answer: Answer, view: &mut NodeView) -> Answer {
        let Some(id) = self.id.as_deref() else {
            return answer;
        };
        let told = match &answer {
            Answer::Later(_) => None,
            Answer::State(_, s) if s.state.is_final() => None,
            Answer::State(..) => view.end_of(id),
            // It may have been accepted while the records were read.
            Answer::Refused(..) => {
                let led = view.acting().and_then(|l| l.answerable_status(id));
                led.or_else(|| view.end_of(id))
            }
        };
        if told.is_some() {
            self.provenance = Provenance::memory(view.now);
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
