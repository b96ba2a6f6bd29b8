//! A user request in progress. Dispatches events to the steps of its kind, and owns the
//! checks that every answer passes before it leaves the node: a final state learned in
//! the meantime overrides an older read, a read that is too old is repeated, and a
//! final state is held until older answers have been sent. Called by the server's loop
//! for users' requests.
//!
//! Must never return an answer that has not passed `finish`.

use super::{Answer, Event, Next, NodeView, cancel, poll, provenance::Provenance, settle, submit};
use crate::{
    control::safety_bounds::MAX_READ_AGE_MS,
    protocol::users::{JobSpec, is_valid_job_id},
    state::Millis,
};

/// Timeout of a forwarded poll or submission; see `Request::forward_limit`.
const FORWARD_TIMEOUT_MS: Millis = 800;
/// Timeout of a forwarded cancellation; see `Request::forward_limit`.
const FORWARD_CANCELLATION_TIMEOUT_MS: Millis = 2_000;

#[derive(Debug)]
enum Kind {
    Poll,
    Submit(Box<submit::Submit>),
    Cancel(cancel::Cancel),
    Settle(settle::Settle),
}

/// A user request in progress.
#[derive(Debug)]
pub struct Request {
    /// The job that the request names, if its id is well formed.
    id: Option<String>,
    /// Whether another node forwarded the request to this node.
    forwarded: bool,
    kind: Kind,
    /// When this request last asked for a read, a write or a remote answer, and the
    /// term in which this node led at that time.
    requested_at: Millis,
    requested_in_term: Option<u64>,
    /// What the latest answer is based on.
    provenance: Provenance,
    pending_answer: PendingAnswer,
    /// Number of reads that were already too old when their result arrived.
    stale_reads: u32,
}

/// What an answer waits for before it is sent.
#[derive(Debug, Default)]
enum PendingAnswer {
    #[default]
    None,
    /// A final state, held until older answers have been sent.
    Held(Answer),
    /// An answer based on a read that was too old; the read is being repeated.
    Reread(Answer),
}

/// Maximum number of repeated reads of one request.
pub(super) const MAX_STALE_READS: u32 = 3;
const READ_TIMED_OUT: &str = "the job's state could not be read in time";

impl Request {
    fn of(id: &str, forwarded: bool, kind: Kind) -> Request {
        let id = Some(id.to_owned()).filter(|id| is_valid_job_id(id));
        Request {
            id,
            forwarded,
            kind,
            requested_at: 0,
            requested_in_term: None,
            provenance: Provenance::default(),
            pending_answer: PendingAnswer::None,
            stale_reads: 0,
        }
    }

    /// Creates a poll of a job.
    pub fn poll(id: &str) -> Request {
        Self::of(id, false, Kind::Poll)
    }

    /// Creates a submission from its request body.
    pub fn submit(body: &[u8], forwarded: bool) -> Request {
        let parsed = JobSpec::parse(body);
        let id = match &parsed {
            Ok(spec) => spec.id.clone(),
            Err(_) => submit::well_formed_job_id(body).unwrap_or_default(),
        };
        let kind = Kind::Submit(Box::new(submit::Submit::new(parsed)));
        Self::of(&id, forwarded, kind)
    }

    /// Creates a cancellation of a job.
    pub fn cancel(id: &str, forwarded: bool) -> Request {
        Self::of(id, forwarded, Kind::Cancel(Default::default()))
    }

    /// Returns the work that remains after the answer has been sent, if any.
    pub fn unfinished_work(&self) -> Option<Request> {
        let (term, id) = match &self.kind {
            Kind::Submit(submission) => (submission.indeterminate_term()?, self.id.as_deref()?),
            _ => return None,
        };
        let kind = Kind::Settle(settle::Settle::new(term));
        Some(Self::of(id, false, kind))
    }

    /// Returns the job that the request names, if its id is well formed.
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// Returns what the latest answer is based on.
    pub fn provenance(&self) -> Provenance {
        self.provenance
    }

    /// How long to wait for the leader's answer to the forwarded request. The answer to
    /// a cancellation takes longer: the leader first waits until the cancellation is
    /// recorded, and then holds the final state.
    pub fn forward_limit(&self) -> Millis {
        match self.kind {
            Kind::Cancel(_) => FORWARD_CANCELLATION_TIMEOUT_MS,
            _ => FORWARD_TIMEOUT_MS,
        }
    }

    /// Whether the request waits only because a final state is held.
    pub fn is_held(&self) -> bool {
        matches!(self.pending_answer, PendingAnswer::Held(_))
    }

    /// Applies an event and returns the action to perform next.
    pub fn step(&mut self, event: Event, view: &mut NodeView) -> Next {
        self.provenance = Provenance::of(&event, self.requested_at, view.may_act, view.now);
        view.read_term = self.requested_in_term;
        let next = match std::mem::take(&mut self.pending_answer) {
            PendingAnswer::None => self.advance(event, view),
            PendingAnswer::Held(answer) => Next::Answer(answer),
            PendingAnswer::Reread(answer) => Next::Answer(reread(answer, event)),
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
        match &mut self.kind {
            Kind::Poll => poll::step(&id, event, view),
            Kind::Submit(submission) => submission.step(&id, self.forwarded, event, view),
            Kind::Cancel(cancellation) => cancellation.step(&id, self.forwarded, event, view),
            Kind::Settle(follow_up) => follow_up.step(&id, event, view),
        }
    }

    /// Sends an answer only if it is recent enough, and a final state only once it is
    /// safe: before a final state is sent for the first time, every node has sent the
    /// older answers that it may have read. Guards against another node sending one of
    /// those after the final state.
    fn finish(&mut self, answer: Answer, view: &mut NodeView) -> Next {
        let answer = self.replace_if_outdated(answer, view);
        match &answer {
            Answer::Later(_) => Next::Answer(answer),
            Answer::State(_, status) if status.state.is_final() => {
                match view.hold_time(status, self.provenance.source) {
                    0 => Next::Answer(answer),
                    remaining => {
                        self.pending_answer = PendingAnswer::Held(answer);
                        Next::Wait(remaining)
                    }
                }
            }
            _ if self.id.is_none() || self.provenance.age(view.now) <= MAX_READ_AGE_MS => {
                Next::Answer(answer)
            }
            _ => self.read_again(answer, view),
        }
    }

    /// Repeats a read that was too old, up to `MAX_STALE_READS` times.
    fn read_again(&mut self, answer: Answer, view: &mut NodeView) -> Next {
        let id = self.id.as_deref().unwrap_or_default();
        let leader = view.acting_leader().filter(|l| l.loaded());
        if let Some(status) = leader.and_then(|l| l.answerable_status(id)) {
            self.provenance = Provenance::cluster_state(view.now);
            let answer = answer.with_status(status);
            return self.finish(answer, view);
        }
        self.stale_reads += 1;
        if self.stale_reads > MAX_STALE_READS {
            return Next::Answer(Answer::later(READ_TIMED_OUT));
        }
        self.pending_answer = PendingAnswer::Reread(answer);
        Next::ReadState
    }

    /// Replaces an outdated answer, as late as possible. Guards against an answer that
    /// was read or relayed before the job ended and is sent after this node has
    /// answered with the final state.
    fn replace_if_outdated(&mut self, answer: Answer, view: &mut NodeView) -> Answer {
        let Some(id) = self.id.as_deref() else {
            return answer;
        };
        let newer = match &answer {
            Answer::Later(_) => None,
            Answer::State(_, s) if s.state.is_final() => None,
            Answer::State(..) => view.known_final_status(id),
            // The job may have been accepted while the records were read.
            Answer::Refused(..) => {
                let leader = view.acting_leader().and_then(|l| l.answerable_status(id));
                leader.or_else(|| view.known_final_status(id))
            }
        };
        if newer.is_some() {
            self.provenance = Provenance::memory(view.now);
        }
        newer.map_or(answer, Answer::known)
    }
}

/// Returns the answer, updated with the result of the repeated read.
fn reread(answer: Answer, event: Event) -> Answer {
    match (event, answer) {
        (Event::Read(Ok(reading)), answer) => match (reading.status, answer) {
            (Some(status), answer) => answer.with_status(status),
            // A job that was known cannot become unknown, so the read is at fault.
            (None, Answer::State(..)) => Answer::later(READ_TIMED_OUT),
            (None, refused) => refused,
        },
        (Event::Read(Err(e)), _) => Answer::Later(e),
        _ => Answer::later(READ_TIMED_OUT),
    }
}
