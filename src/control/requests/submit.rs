//! The steps of a submission: accepted once the job's record is written, by the
//! leader or, where none can be reached, by the node that got the request.
//! Idempotent: a job that is known is answered with its status, whatever the body
//! says now. Called by `request`.
//!
//! Must never answer 201 before the record is written, and never refuse a job
//! before it was looked up.

use super::{
    Answer, Event, Found, LEADERSHIP_CHANGING, LookupResults, NO_LEADER, Next, NodeView,
    RECORDS_LOADING, TxnResult, looked_up_status, unexpected_event, withheld_answer,
};
use crate::{
    control::{
        admission,
        leader::{Leader, acceptance_with_feed_entry},
    },
    protocol::{
        state::Txn,
        users::{JobSpec, Kind, is_valid_job_id},
    },
    state::{
        records::{self, JobRecord, LEADER},
        spec_chunks::SpecChunks,
    },
};

const NOT_UPGRADED: &str = "waits_on: not every controller runs a version that knows it yet";
const BUSY: &str = "too many submissions at once";
const UNRECORDED: &str = "the job could not be recorded";

/// The job id in a malformed submission, if the id itself is well formed.
pub(super) fn named_job(body: &[u8]) -> Option<String> {
    let v = serde_json::from_slice::<serde_json::Value>(body).ok()?;
    let id = v.get("ref")?.as_str()?;
    is_valid_job_id(id).then(|| id.to_owned())
}

/// What the submission waits for.
#[derive(Debug)]
enum Stage {
    /// Nothing yet, or the versions of the controllers.
    Start,
    Forwarded,
    /// Whether the job is known; if not, this is the answer.
    Known(Answer),
    /// The state of a known job that depends on others.
    KnownDependent,
    /// The status of the dependencies.
    Dependencies,
    /// Chunks of a long spec are being written in this term; those left.
    SpecChunks(u64, SpecChunks, std::vec::IntoIter<Txn>),
    /// The record is being written, by the leader of this term or alone.
    Record(Option<u64>, Box<JobRecord>),
    /// The outcome of the write in this term is unknown.
    Indeterminate(u64),
}

/// A submission under way.
#[derive(Debug)]
pub(super) struct Submit {
    parsed: Result<JobSpec, String>,
    /// This node led when the request began.
    leads: bool,
    stage: Stage,
}

impl Submit {
    pub(super) fn new(parsed: Result<JobSpec, String>) -> Submit {
        Submit {
            parsed,
            leads: false,
            stage: Stage::Start,
        }
    }

    /// The term in which the acceptance had no answer.
    pub(super) fn indeterminate_term(&self) -> Option<u64> {
        match self.stage {
            Stage::Indeterminate(term) => Some(term),
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
        match (std::mem::replace(&mut self.stage, Stage::Start), event) {
            (_, Event::Begin) => self.begin(id, forwarded, view),
            (_, Event::Versions(true)) if self.leads => self.check_dependencies(id, view),
            (_, Event::Versions(true)) => self.forward(),
            (_, Event::Versions(false)) => Next::Answer(Answer::later(NOT_UPGRADED)),
            (Stage::Forwarded, Event::Forwarded(Some(answer))) => Next::Answer(answer),
            (Stage::Forwarded, Event::Forwarded(None)) => self.submit_without_leader(id, view),
            (_, Event::OverBudget) => Next::Answer(Answer::later(BUSY)),
            (_, Event::LookupResults(_)) if self.leads && !view.may_act => {
                Next::Answer(Answer::later(LEADERSHIP_CHANGING))
            }
            (Stage::Known(otherwise), Event::LookupResults(results)) => {
                self.looked_up(id, otherwise, results, view)
            }
            (Stage::KnownDependent, Event::Read(read)) => {
                Next::Answer(match read.map(|reading| reading.status) {
                    Ok(Some(status)) => Answer::known(status),
                    Ok(None) => Answer::later(LEADERSHIP_CHANGING),
                    Err(e) => Answer::Later(e),
                })
            }
            (Stage::Dependencies, Event::LookupResults(results)) => {
                self.dependencies_found(id, results, view)
            }
            (Stage::SpecChunks(term, chunks, remaining), Event::Wrote(TxnResult::Done(_))) => {
                self.write_chunk(term, chunks, remaining, true, view)
            }
            (Stage::Record(term, record), Event::Wrote(result)) => {
                self.record_written(id, term, record, result, view)
            }
            (_, Event::Wrote(_)) => Next::Answer(Answer::later(UNRECORDED)),
            (_, other) => unexpected_event(&other),
        }
    }

    fn begin(&mut self, id: &str, forwarded: bool, view: &mut NodeView) -> Next {
        if let Some(status) = view.known_final_status(id) {
            return Next::Answer(Answer::known(status));
        }
        self.leads = view.may_act && view.leader.is_some();
        let (leads, upgraded) = (self.leads, view.upgraded);
        match view.acting().map(|leader| leader.loaded()) {
            Some(false) => return Next::Answer(Answer::later(RECORDS_LOADING)),
            None if forwarded => return Next::NotLeading,
            _ => {}
        }
        let has_dependencies = self
            .parsed
            .as_ref()
            .is_ok_and(|s| !s.dependencies.is_empty());
        match (leads, has_dependencies && !upgraded) {
            (true, _) => self.submit_as_leader(id, view),
            // An older leader would take the job and start it at once.
            (false, true) => Next::Versions,
            (false, false) => self.forward(),
        }
    }

    fn forward(&mut self) -> Next {
        self.stage = Stage::Forwarded;
        Next::Forward
    }

    /// The refusal of a submission whose job isn't known.
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
        if self.leads {
            let Some(leader) = view.acting() else {
                return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
            };
            if let Some(answer) = known_to_leader(leader, id) {
                return Next::Answer(answer);
            }
        }
        if id.is_empty() {
            return Next::Answer(otherwise);
        }
        self.stage = Stage::Known(otherwise);
        Next::Look(vec![id.to_owned()])
    }

    /// Answers with what was found. The state of a job that depends on others is
    /// read with those: they may be cancelled.
    fn looked_up(
        &mut self,
        id: &str,
        otherwise: Answer,
        results: LookupResults,
        view: &mut NodeView,
    ) -> Next {
        let dependent = matches!(
            results.get(id),
            Some(Ok(Found::Live(record, _))) if !record.spec.dependencies.is_empty()
        );
        match looked_up_status(id, results, view) {
            Ok(Some(status)) if dependent && !status.state.is_final() => {
                self.stage = Stage::KnownDependent;
                Next::ReadState
            }
            Ok(Some(status)) => Next::Answer(Answer::known(status)),
            Ok(None) => Next::Answer(otherwise),
            Err(answer) => Next::Answer(answer),
        }
    }

    fn submit_as_leader(&mut self, id: &str, view: &mut NodeView) -> Next {
        if let Some(answer) = view.acting().and_then(|l| known_to_leader(l, id)) {
            return Next::Answer(answer);
        }
        if self.parsed.is_ok() && view.types.is_empty() {
            return Next::Answer(Answer::later("machine types are not known yet"));
        }
        if let Some(refusal) = self.refusal(view) {
            return self.unless_known(id, refusal, view);
        }
        let has_dependencies = self
            .parsed
            .as_ref()
            .is_ok_and(|s| !s.dependencies.is_empty());
        match has_dependencies && !view.upgraded {
            true => Next::Versions,
            false => self.check_dependencies(id, view),
        }
    }

    /// At the leader: are all dependencies known?
    fn check_dependencies(&mut self, id: &str, view: &mut NodeView) -> Next {
        let (Ok(spec), Some(leader)) = (&self.parsed, view.acting()) else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        if spec.dependencies.is_empty() {
            return self.accept(view);
        }
        match leader.unknown_dependencies(spec) {
            Err(service) => self.unless_known(id, is_service(&service), view),
            Ok(unknown) if unknown.is_empty() => self.accept(view),
            Ok(unknown) => {
                self.stage = Stage::Dependencies;
                Next::Look(unknown)
            }
        }
    }

    fn dependencies_found(
        &mut self,
        id: &str,
        mut results: LookupResults,
        view: &mut NodeView,
    ) -> Next {
        let Ok(spec) = &self.parsed else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        let pending: Vec<String> = match (self.leads, view.acting()) {
            (true, Some(leader)) => leader.unknown_dependencies(spec).unwrap_or_default(),
            _ => spec.dependencies.clone(),
        };
        for dependency in pending {
            let refusal = match results.remove(&dependency) {
                Some(Ok(Found::Live(r, _))) if r.spec.kind == Kind::Service => {
                    is_service(&dependency)
                }
                Some(Ok(Found::Nothing)) | None => {
                    Answer::Refused(422, format!("waits_on: {dependency} was never accepted"))
                }
                Some(Err(e)) => return Next::Answer(Answer::unread(&e)),
                Some(Ok(known)) => {
                    view.learn(&dependency, known);
                    continue;
                }
            };
            return self.unless_known(id, refusal, view);
        }
        match self.leads {
            // What the leader has learned meanwhile may include services.
            true => match view
                .acting()
                .map(|leader| leader.unknown_dependencies(spec))
            {
                Some(Err(service)) => self.unless_known(id, is_service(&service), view),
                Some(Ok(_)) => self.accept(view),
                None => Next::Answer(Answer::later(LEADERSHIP_CHANGING)),
            },
            false => self.accept_without_leader(view),
        }
    }

    fn accept(&mut self, view: &mut NodeView) -> Next {
        let Ok(spec) = &self.parsed else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        let limit_kb = view.settings.cluster.state.value_kb;
        if !view.upgraded && !records::fits(records::inline_record_size(spec), limit_kb) {
            let why = "so long a description waits until all controllers are upgraded";
            return Next::Answer(Answer::later(why));
        }
        let upgraded = view.upgraded;
        let Some(leader) = view.acting() else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        leader.upgraded(upgraded);
        let term = leader.term;
        match leader.pieces_first(spec) {
            Ok(None) => self.record(term, None, false, view),
            Ok(Some((chunks, txns))) => {
                self.write_chunk(term, chunks, txns.into_iter(), false, view)
            }
            Err(_) => Next::Answer(Answer::later("it can't be kept")),
        }
    }

    /// Writes the next chunk of a long spec, or else the record that names them.
    /// Only the first write is refused at once for lack of budget.
    fn write_chunk(
        &mut self,
        term: u64,
        chunks: SpecChunks,
        mut remaining: std::vec::IntoIter<Txn>,
        may_wait: bool,
        view: &mut NodeView,
    ) -> Next {
        match remaining.next() {
            Some(txn) => {
                self.stage = Stage::SpecChunks(term, chunks, remaining);
                Next::Write(txn, may_wait)
            }
            None => self.record(term, Some(chunks), true, view),
        }
    }

    fn record(
        &mut self,
        term: u64,
        chunks: Option<SpecChunks>,
        may_wait: bool,
        view: &mut NodeView,
    ) -> Next {
        let wall = view.wall_ms;
        // The leader of another term may be clearing the chunks as unreferenced.
        let (Some(leader), Ok(spec)) = (
            view.acting().filter(|leader| leader.term == term),
            &self.parsed,
        ) else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        let (txn, record) = leader.acceptance(spec, chunks, wall);
        self.stage = Stage::Record(Some(term), Box::new(record));
        Next::Write(txn, may_wait)
    }

    /// Without a leader this node writes the record itself.
    fn submit_without_leader(&mut self, id: &str, view: &mut NodeView) -> Next {
        if self.parsed.is_ok() && view.types.is_empty() {
            return Next::Answer(Answer::later("machine types are not known yet"));
        }
        if let Some(refusal) = self.refusal(view) {
            return self.unless_known(id, refusal, view);
        }
        match &self.parsed {
            Ok(spec) if !spec.dependencies.is_empty() => {
                self.stage = Stage::Dependencies;
                Next::Look(spec.dependencies.clone())
            }
            _ => self.accept_without_leader(view),
        }
    }

    fn accept_without_leader(&mut self, view: &mut NodeView) -> Next {
        let Ok(spec) = &self.parsed else {
            return Next::Answer(Answer::later(NO_LEADER));
        };
        let state = &view.settings.cluster.state;
        let limit_kb = match view.upgraded {
            true => state.always().value_kb,
            false => state.value_kb,
        };
        if !records::fits(records::inline_record_size(spec), limit_kb) {
            let why = "so long a description needs a leader";
            return Next::Answer(Answer::later(why));
        }
        let record = JobRecord::new(spec.clone(), view.wall_ms);
        let txn = acceptance_with_feed_entry(&record);
        self.stage = Stage::Record(None, Box::new(record));
        Next::Write(txn, false)
    }

    fn record_written(
        &mut self,
        id: &str,
        term: Option<u64>,
        record: Box<JobRecord>,
        result: TxnResult,
        view: &mut NodeView,
    ) -> Next {
        match (result, term) {
            (TxnResult::Done(version), _) => {
                // Whether or not this node still leads, it is recorded, and the
                // next leader reads it.
                let (status, now) = (record.status(), view.now);
                if let Some(leader) = term.and_then(|t| view.of_term(t)) {
                    leader.accepted(*record, version, now);
                }
                Next::Answer(Answer::State(201, status))
            }
            (TxnResult::Conflict(failed), _) if !failed.iter().any(|k| k == LEADER) => {
                self.unless_known(id, Answer::later("try again"), view)
            }
            (TxnResult::Unknown, Some(term)) => {
                self.stage = Stage::Indeterminate(term);
                Next::Answer(Answer::later(UNRECORDED))
            }
            _ => Next::Answer(Answer::later(UNRECORDED)),
        }
    }
}

/// The answer to the submission of a job that the leader knows.
fn known_to_leader(leader: &Leader, id: &str) -> Option<Answer> {
    let known = leader.answerable_status(id).map(Answer::known);
    known.or_else(|| withheld_answer(leader, id))
}

fn is_service(id: &str) -> Answer {
    Answer::Refused(422, format!("waits_on: {id} is a service"))
}
