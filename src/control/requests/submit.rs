//! Submissions: accepted once the job's record is written, by the leader or,
//! where none can be reached, by whichever node was asked.

use super::*;
use crate::{
    control::{admission, leader::acceptance_with_feed_entry},
    protocol::users::Kind,
    state::{
        records::{self, LEADER},
        spec_chunks::SpecChunks,
    },
};

const NOT_UPGRADED: &str = "waits_on: not every controller runs a version that knows it yet";
const BUSY: &str = "too many submissions at once";
const UNRECORDED: &str = "the job could not be recorded";

/// The id that a malformed submission names, if it is of the right form.
pub(super) fn named(body: &[u8]) -> Option<String> {
    let v = serde_json::from_slice::<serde_json::Value>(body).ok()?;
    let id = v.get("ref")?.as_str()?;
    is_valid_job_id(id).then(|| id.to_owned())
}

/// What is waited for.
#[derive(Debug)]
enum At {
    /// Nothing yet, or the versions of the controllers.
    Start,
    Forwarded,
    /// Whether the job is known; else this is the answer.
    Known(Answer),
    /// How the jobs stand that it names.
    Needs,
    /// Pieces of a long description are being written in this term.
    SpecChunks(u64, SpecChunks, std::vec::IntoIter<Txn>),
    /// The record is being written, by the leader of this term or alone.
    Record(Option<u64>, Box<JobRecord>),
    /// The write had no answer.
    Unsettled(u64),
}

#[derive(Debug)]
pub(super) struct Submit {
    parsed: Result<JobSpec, String>,
    /// This node leads, or did as it began.
    led: bool,
    at: At,
}

impl Submit {
    pub(super) fn new(parsed: Result<JobSpec, String>) -> Submit {
        Submit {
            parsed,
            led: false,
            at: At::Start,
        }
    }

    /// The term in which the acceptance had no answer.
    pub(super) fn unsettled(&self) -> Option<u64> {
        match self.at {
            At::Unsettled(term) => Some(term),
            _ => None,
        }
    }

    pub(super) fn step(
        &mut self,
        id: &str,
        forwarded: bool,
        event: Event,
        view: &mut NodeView,
    ) -> Next {
        match (std::mem::replace(&mut self.at, At::Start), event) {
            (_, Event::Begin) => self.begin(id, forwarded, view),
            (_, Event::Versions(true)) if self.led => self.needs(id, view),
            (_, Event::Versions(true)) => self.forward(),
            (_, Event::Versions(false)) => Next::Answer(Answer::later(NOT_UPGRADED)),
            (At::Forwarded, Event::Forwarded(Some(answer))) => Next::Answer(answer),
            (At::Forwarded, Event::Forwarded(None)) => self.alone(id, view),
            (_, Event::OverBudget) => Next::Answer(Answer::later(BUSY)),
            (_, Event::LookupResults(_)) if self.led && !view.may_act => {
                Next::Answer(Answer::later(LOST))
            }
            (At::Known(otherwise), Event::LookupResults(found)) => {
                Next::Answer(match looked(id, found, view) {
                    Ok(Some(status)) => Answer::known(status),
                    Ok(None) => otherwise,
                    Err(answer) => answer,
                })
            }
            (At::Needs, Event::LookupResults(found)) => self.needs_found(id, found, view),
            (At::SpecChunks(term, pieces, left), Event::Wrote(TxnResult::Done(_))) => {
                self.piece(term, pieces, left, true, view)
            }
            (At::Record(term, record), Event::Wrote(result)) => {
                self.wrote(id, term, record, result, view)
            }
            (_, Event::Wrote(_)) => Next::Answer(Answer::later(UNRECORDED)),
            (_, other) => out_of_place(&other),
        }
    }

    fn begin(&mut self, id: &str, forwarded: bool, view: &mut NodeView) -> Next {
        if let Some(status) = view.end_of(id) {
            return Next::Answer(Answer::known(status));
        }
        self.led = view.may_act && view.leader.is_some();
        let (led, upgraded) = (self.led, view.upgraded);
        match view.acting().map(|l| l.loaded()) {
            Some(false) => return Next::Answer(Answer::later(UNREAD)),
            None if forwarded => return Next::NotLeading,
            _ => {}
        }
        let needs = self
            .parsed
            .as_ref()
            .is_ok_and(|s| !s.dependencies.is_empty());
        match (led, needs && !upgraded) {
            (true, _) => self.led_by(id, view),
            // An older leader would take the job and start it at once.
            (false, true) => Next::Versions,
            (false, false) => self.forward(),
        }
    }

    fn forward(&mut self) -> Next {
        self.at = At::Forwarded;
        Next::Forward
    }

    /// Status and reason with which a submission that isn't known is refused.
    fn refusal(&self, view: &NodeView) -> Option<Answer> {
        match &self.parsed {
            Err(e) => Some(Answer::Refused(400, e.clone())),
            Ok(spec) => admission::reject_reason(view.settings, view.types, spec)
                .map(|why| Answer::Refused(422, why)),
        }
    }

    /// A known job is answered with its state, whatever the repeated body or
    /// the settings now say.
    fn unless_known(&mut self, id: &str, otherwise: Answer, view: &mut NodeView) -> Next {
        if self.led {
            let Some(l) = view.acting() else {
                return Next::Answer(Answer::later(LOST));
            };
            if let Some(status) = l.answerable_status(id) {
                return Next::Answer(Answer::known(status));
            }
            if l.is_cancelled_with_dependency(id) {
                return Next::Answer(Answer::later(WITHHELD));
            }
        }
        if id.is_empty() {
            return Next::Answer(otherwise);
        }
        self.at = At::Known(otherwise);
        Next::Look(vec![id.to_owned()])
    }

    fn led_by(&mut self, id: &str, view: &mut NodeView) -> Next {
        if let Some(status) = view.acting().and_then(|l| l.answerable_status(id)) {
            return Next::Answer(Answer::known(status));
        }
        if self.parsed.is_ok() && view.types.is_empty() {
            return Next::Answer(Answer::later("machine types are not known yet"));
        }
        if let Some(refusal) = self.refusal(view) {
            return self.unless_known(id, refusal, view);
        }
        let needs = self
            .parsed
            .as_ref()
            .is_ok_and(|s| !s.dependencies.is_empty());
        match needs && !view.upgraded {
            true => Next::Versions,
            false => self.needs(id, view),
        }
    }

    /// Where this node leads: are the jobs known that it names?
    fn needs(&mut self, id: &str, view: &mut NodeView) -> Next {
        let (Ok(spec), Some(l)) = (&self.parsed, view.acting()) else {
            return Next::Answer(Answer::later(LOST));
        };
        if spec.dependencies.is_empty() {
            return self.accept(view);
        }
        match l.unknown_dependencies(spec) {
            Err(service) => self.unless_known(id, is_service(&service), view),
            Ok(unknown) if unknown.is_empty() => self.accept(view),
            Ok(unknown) => {
                self.at = At::Needs;
                Next::Look(unknown)
            }
        }
    }

    fn needs_found(&mut self, id: &str, mut found: LookupResults, view: &mut NodeView) -> Next {
        let Ok(spec) = &self.parsed else {
            return Next::Answer(Answer::later(LOST));
        };
        let asked: Vec<String> = match (self.led, view.acting()) {
            (true, Some(l)) => l.unknown_dependencies(spec).unwrap_or_default(),
            _ => spec.dependencies.clone(),
        };
        for need in asked {
            let refusal = match found.remove(&need) {
                Some(Ok(Found::Live(r, _))) if r.spec.kind == Kind::Service => is_service(&need),
                Some(Ok(Found::Nothing)) | None => {
                    Answer::Refused(422, format!("waits_on: {need} was never accepted"))
                }
                Some(Err(e)) => return Next::Answer(Answer::unread(&e)),
                Some(Ok(known)) => {
                    view.learn(&need, known);
                    continue;
                }
            };
            return self.unless_known(id, refusal, view);
        }
        match self.led {
            // Among what it has learned meanwhile there may be services.
            true => match view.acting().map(|l| l.unknown_dependencies(spec)) {
                Some(Err(service)) => self.unless_known(id, is_service(&service), view),
                Some(Ok(_)) => self.accept(view),
                None => Next::Answer(Answer::later(LOST)),
            },
            false => self.accept_alone(view),
        }
    }

    fn accept(&mut self, view: &mut NodeView) -> Next {
        let Ok(spec) = &self.parsed else {
            return Next::Answer(Answer::later(LOST));
        };
        let most = view.settings.cluster.state.value_kb;
        if !view.upgraded && !records::fits(records::inline_record_size(spec), most) {
            let why = "so long a description waits until all controllers are upgraded";
            return Next::Answer(Answer::later(why));
        }
        let upgraded = view.upgraded;
        let Some(l) = view.acting() else {
            return Next::Answer(Answer::later(LOST));
        };
        l.upgraded(upgraded);
        let term = l.term;
        match l.pieces_first(spec) {
            Ok(None) => self.record(term, None, false, view),
            Ok(Some((pieces, txns))) => self.piece(term, pieces, txns.into_iter(), false, view),
            Err(_) => Next::Answer(Answer::later("it can't be kept")),
        }
    }

    /// The next piece of a long description, or else the record that names
    /// them. Only what comes first is refused at once for lack of budget.
    fn piece(
        &mut self,
        term: u64,
        pieces: SpecChunks,
        mut left: std::vec::IntoIter<Txn>,
        waits: bool,
        view: &mut NodeView,
    ) -> Next {
        match left.next() {
            Some(txn) => {
                self.at = At::SpecChunks(term, pieces, left);
                Next::Write(txn, waits)
            }
            None => self.record(term, Some(pieces), true, view),
        }
    }

    fn record(
        &mut self,
        term: u64,
        pieces: Option<SpecChunks>,
        waits: bool,
        view: &mut NodeView,
    ) -> Next {
        let wall = view.wall_ms;
        // Of another term the pieces may just be cleared away as left over.
        let (Some(l), Ok(spec)) = (view.acting().filter(|l| l.term == term), &self.parsed) else {
            return Next::Answer(Answer::later(LOST));
        };
        let (txn, record) = l.acceptance(spec, pieces, wall);
        self.at = At::Record(Some(term), Box::new(record));
        Next::Write(txn, waits)
    }

    /// Without a leader: its record is what counts.
    fn alone(&mut self, id: &str, view: &mut NodeView) -> Next {
        if self.parsed.is_ok() && view.types.is_empty() {
            return Next::Answer(Answer::later("machine types are not known yet"));
        }
        if let Some(refusal) = self.refusal(view) {
            return self.unless_known(id, refusal, view);
        }
        match &self.parsed {
            Ok(spec) if !spec.dependencies.is_empty() => {
                self.at = At::Needs;
                Next::Look(spec.dependencies.clone())
            }
            _ => self.accept_alone(view),
        }
    }

    fn accept_alone(&mut self, view: &mut NodeView) -> Next {
        let Ok(spec) = &self.parsed else {
            return Next::Answer(Answer::later(NO_LEADER));
        };
        let state = &view.settings.cluster.state;
        let most = match view.upgraded {
            true => state.always().value_kb,
            false => state.value_kb,
        };
        if !records::fits(records::inline_record_size(spec), most) {
            let why = "so long a description needs a leader";
            return Next::Answer(Answer::later(why));
        }
        let record = JobRecord::new(spec.clone(), view.wall_ms);
        let txn = acceptance_with_feed_entry(&record);
        self.at = At::Record(None, Box::new(record));
        Next::Write(txn, false)
    }

    fn wrote(
        &mut self,
        id: &str,
        term: Option<u64>,
        record: Box<JobRecord>,
        result: TxnResult,
        view: &mut NodeView,
    ) -> Next {
        match (result, term) {
            (TxnResult::Done(version), _) => {
                // Whether or not this node still leads, it is recorded, and
                // whoever leads next reads it.
                let (status, now) = (record.status(), view.now);
                if let Some(l) = term.and_then(|t| view.of_term(t)) {
                    l.accepted(*record, version, now);
                }
                Next::Answer(Answer::State(201, status))
            }
            (TxnResult::Conflict(failed), _) if !failed.iter().any(|k| k == LEADER) => {
                self.unless_known(id, Answer::later("try again"), view)
            }
            (TxnResult::Unknown, Some(term)) => {
                self.at = At::Unsettled(term);
                Next::Answer(Answer::later(UNRECORDED))
            }
            _ => Next::Answer(Answer::later(UNRECORDED)),
        }
    }
}

fn is_service(id: &str) -> Answer {
    Answer::Refused(422, format!("waits_on: {id} is a service"))
}
