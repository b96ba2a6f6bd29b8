//! The steps of a submission. A job is accepted once its record is written, by the
//! leader or, if no leader can be reached, by the node that received the request.
//! Submission is idempotent: a known job is answered with its status, whatever the body
//! says. Called by `request`.
//!
//! Must never answer 201 before the record is written, and never refuse a job before it
//! was looked up.

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

const NOT_UPGRADED: &str = "waits_on: not every controller runs a version that supports it yet";
const BUSY: &str = "too many concurrent submissions";
const UNRECORDED: &str = "the job could not be recorded";

/// Returns the job id in a malformed submission, if the id itself is well formed.
pub(super) fn well_formed_job_id(body: &[u8]) -> Option<String> {
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
    /// The lookup of the job; if the job is not known, this is the answer.
    JobLookup(Answer),
    /// The state of a known job that depends on others.
    DependentJobState,
    /// The lookup of the dependencies.
    Dependencies,
    /// The writes of the chunks of a long spec in this term, with the remaining writes.
    SpecChunks(u64, SpecChunks, std::vec::IntoIter<Txn>),
    /// The write of the record, by the leader of this term or, with `None`, by a node
    /// without a leader.
    Record(Option<u64>, Box<JobRecord>),
    /// Nothing more: the outcome of the write in this term is unknown.
    Indeterminate(u64),
}

/// A submission in progress.
#[derive(Debug)]
pub(super) struct Submit {
    parsed: Result<JobSpec, String>,
    /// Whether this node led when the request began.
    led_at_start: bool,
    stage: Stage,
}

impl Submit {
    pub(super) fn new(parsed: Result<JobSpec, String>) -> Submit {
        Submit {
            parsed,
            led_at_start: false,
            stage: Stage::Start,
        }
    }

    /// Returns the term in which the write of the acceptance got no response, if so.
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
            (_, Event::Arrived) => self.begin(id, forwarded, view),
            (_, Event::VersionsChecked(true)) if self.led_at_start => {
                self.check_dependencies(id, view)
            }
            (_, Event::VersionsChecked(true)) => self.forward(),
            (_, Event::VersionsChecked(false)) => Next::Answer(Answer::later(NOT_UPGRADED)),
            (Stage::Forwarded, Event::Forwarded(Some(answer))) => Next::Answer(answer),
            (Stage::Forwarded, Event::Forwarded(None)) => self.submit_without_leader(id, view),
            (_, Event::OverBudget) => Next::Answer(Answer::later(BUSY)),
            (_, Event::LookupResults(_)) if self.led_at_start && !view.may_act => {
                Next::Answer(Answer::later(LEADERSHIP_CHANGING))
            }
            (Stage::JobLookup(answer_if_unknown), Event::LookupResults(results)) => {
                self.job_looked_up(id, answer_if_unknown, results, view)
            }
            (Stage::DependentJobState, Event::Read(read)) => {
                Next::Answer(match read.map(|reading| reading.status) {
                    Ok(Some(status)) => Answer::known(status),
                    Ok(None) => Answer::later(LEADERSHIP_CHANGING),
                    Err(e) => Answer::Later(e),
                })
            }
            (Stage::Dependencies, Event::LookupResults(results)) => {
                self.dependencies_looked_up(id, results, view)
            }
            (Stage::SpecChunks(term, chunks, remaining), Event::Wrote(TxnResult::Applied(_))) => {
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
        self.led_at_start = view.may_act && view.leader.is_some();
        let (led_at_start, upgraded) = (self.led_at_start, view.upgraded);
        match view.acting_leader().map(|leader| leader.loaded()) {
            Some(false) => return Next::Answer(Answer::later(RECORDS_LOADING)),
            None if forwarded => return Next::NotLeading,
            _ => {}
        }
        let has_dependencies = self
            .parsed
            .as_ref()
            .is_ok_and(|s| !s.dependencies.is_empty());
        match (led_at_start, has_dependencies && !upgraded) {
            (true, _) => self.submit_as_leader(id, view),
            // A leader of an older version would accept the job and start it at once,
            // ignoring its dependencies.
            (false, true) => Next::CheckVersions,
            (false, false) => self.forward(),
        }
    }

    fn forward(&mut self) -> Next {
        self.stage = Stage::Forwarded;
        Next::Forward
    }

    /// Returns the reason to refuse a submission whose job is not known, if any.
    fn refusal(&self, view: &NodeView) -> Option<Answer> {
        match &self.parsed {
            Err(error) => Some(Answer::Refused(400, error.clone())),
            Ok(spec) => admission::reject_reason(view.settings, view.types, spec)
                .map(|reason| Answer::Refused(422, reason)),
        }
    }

    /// Answers with the job's state if the job is known, whatever the repeated body or
    /// the settings now say, and with `answer_if_unknown` if not.
    fn answer_unless_known(
        &mut self,
        id: &str,
        answer_if_unknown: Answer,
        view: &mut NodeView,
    ) -> Next {
        if self.led_at_start {
            let Some(leader) = view.acting_leader() else {
                return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
            };
            if let Some(answer) = answer_if_known_to_leader(leader, id) {
                return Next::Answer(answer);
            }
        }
        if id.is_empty() {
            return Next::Answer(answer_if_unknown);
        }
        self.stage = Stage::JobLookup(answer_if_unknown);
        Next::LookUp(vec![id.to_owned()])
    }

    /// Answers with the result of the lookup. The state of a job that depends on others
    /// is read together with its dependencies, as one of them may be cancelled.
    fn job_looked_up(
        &mut self,
        id: &str,
        answer_if_unknown: Answer,
        results: LookupResults,
        view: &mut NodeView,
    ) -> Next {
        let dependent = matches!(
            results.get(id),
            Some(Ok(Found::Live(record, _))) if !record.spec.dependencies.is_empty()
        );
        match looked_up_status(id, results, view) {
            Ok(Some(status)) if dependent && !status.state.is_final() => {
                self.stage = Stage::DependentJobState;
                Next::ReadState
            }
            Ok(Some(status)) => Next::Answer(Answer::known(status)),
            Ok(None) => Next::Answer(answer_if_unknown),
            Err(answer) => Next::Answer(answer),
        }
    }

    fn submit_as_leader(&mut self, id: &str, view: &mut NodeView) -> Next {
        if let Some(answer) = view
            .acting_leader()
            .and_then(|l| answer_if_known_to_leader(l, id))
        {
            return Next::Answer(answer);
        }
        if self.parsed.is_ok() && view.types.is_empty() {
            return Next::Answer(Answer::later("machine types are not known yet"));
        }
        if let Some(refusal) = self.refusal(view) {
            return self.answer_unless_known(id, refusal, view);
        }
        let has_dependencies = self
            .parsed
            .as_ref()
            .is_ok_and(|s| !s.dependencies.is_empty());
        match has_dependencies && !view.upgraded {
            true => Next::CheckVersions,
            false => self.check_dependencies(id, view),
        }
    }

    /// Checks, as the leader, whether all dependencies are known.
    fn check_dependencies(&mut self, id: &str, view: &mut NodeView) -> Next {
        let (Ok(spec), Some(leader)) = (&self.parsed, view.acting_leader()) else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        if spec.dependencies.is_empty() {
            return self.accept(view);
        }
        match leader.unknown_dependencies(spec) {
            Err(service) => self.answer_unless_known(id, refuse_service(&service), view),
            Ok(unknown) if unknown.is_empty() => self.accept(view),
            Ok(unknown) => {
                self.stage = Stage::Dependencies;
                Next::LookUp(unknown)
            }
        }
    }

    fn dependencies_looked_up(
        &mut self,
        id: &str,
        mut results: LookupResults,
        view: &mut NodeView,
    ) -> Next {
        let Ok(spec) = &self.parsed else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        let pending: Vec<String> = match (self.led_at_start, view.acting_leader()) {
            (true, Some(leader)) => leader.unknown_dependencies(spec).unwrap_or_default(),
            _ => spec.dependencies.clone(),
        };
        for dependency in pending {
            let refusal = match results.remove(&dependency) {
                Some(Ok(Found::Live(r, _))) if r.spec.kind == Kind::Service => {
                    refuse_service(&dependency)
                }
                Some(Ok(Found::NoRecord)) | None => {
                    Answer::Refused(422, format!("waits_on: {dependency} was never accepted"))
                }
                Some(Err(e)) => return Next::Answer(Answer::records_unreadable(&e)),
                Some(Ok(known)) => {
                    view.learn(&dependency, known);
                    continue;
                }
            };
            return self.answer_unless_known(id, refusal, view);
        }
        match self.led_at_start {
            // The leader may have learned in the meantime that a dependency is a
            // service.
            true => match view
                .acting_leader()
                .map(|leader| leader.unknown_dependencies(spec))
            {
                Some(Err(service)) => self.answer_unless_known(id, refuse_service(&service), view),
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
            let reason =
                "a job spec of this size is accepted only after all controllers are upgraded";
            return Next::Answer(Answer::later(reason));
        }
        let upgraded = view.upgraded;
        let Some(leader) = view.acting_leader() else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        leader.set_all_controllers_upgraded(upgraded);
        let term = leader.term;
        match leader.spec_chunk_writes(spec) {
            Ok(None) => self.record(term, None, false, view),
            Ok(Some((chunks, txns))) => {
                self.write_chunk(term, chunks, txns.into_iter(), false, view)
            }
            Err(_) => Next::Answer(Answer::later("the job spec could not be split into chunks")),
        }
    }

    /// Writes the next chunk of a long spec or, after the last one, the record that
    /// names the chunks. Only the first write is refused at once if the write budget is
    /// exhausted.
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
        // The leader of another term may already be deleting the chunks as
        // unreferenced.
        let (Some(leader), Ok(spec)) = (
            view.acting_leader().filter(|leader| leader.term == term),
            &self.parsed,
        ) else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        let (txn, record) = leader.acceptance(spec, chunks, wall);
        self.stage = Stage::Record(Some(term), Box::new(record));
        Next::Write(txn, may_wait)
    }

    /// Writes the record from this node, as there is no leader.
    fn submit_without_leader(&mut self, id: &str, view: &mut NodeView) -> Next {
        if self.parsed.is_ok() && view.types.is_empty() {
            return Next::Answer(Answer::later("machine types are not known yet"));
        }
        if let Some(refusal) = self.refusal(view) {
            return self.answer_unless_known(id, refusal, view);
        }
        match &self.parsed {
            Ok(spec) if !spec.dependencies.is_empty() => {
                self.stage = Stage::Dependencies;
                Next::LookUp(spec.dependencies.clone())
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
            true => state.strictest().value_kb,
            false => state.value_kb,
        };
        if !records::fits(records::inline_record_size(spec), limit_kb) {
            let reason = "a job spec of this size is accepted only by a leader";
            return Next::Answer(Answer::later(reason));
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
            (TxnResult::Applied(version), _) => {
                // The job is recorded whether or not this node still leads, and the
                // next leader will read the record.
                let (status, now) = (record.status(), view.now);
                if let Some(leader) = term.and_then(|t| view.of_term(t)) {
                    leader.accepted(*record, version, now);
                }
                Next::Answer(Answer::State(201, status))
            }
            (TxnResult::Conflict(failed), _) if !failed.iter().any(|k| k == LEADER) => {
                self.answer_unless_known(id, Answer::later("concurrent update; try again"), view)
            }
            (TxnResult::Unknown, Some(term)) => {
                self.stage = Stage::Indeterminate(term);
                Next::Answer(Answer::later(UNRECORDED))
            }
            _ => Next::Answer(Answer::later(UNRECORDED)),
        }
    }
}

/// Returns the answer to the submission of a job that the leader knows.
fn answer_if_known_to_leader(leader: &Leader, id: &str) -> Option<Answer> {
    let known = leader.answerable_status(id).map(Answer::known);
    known.or_else(|| withheld_answer(leader, id))
}

fn refuse_service(id: &str) -> Answer {
    Answer::Refused(422, format!("waits_on: {id} is a service"))
}
