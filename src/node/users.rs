//! Submissions, polls and withdrawals: here when leading, else by the leader.

use super::{
    Node,
    store::{Found, TxnResult},
};
use crate::{
    bookkeeping::{
        pieces::Pieces,
        records::{self, FinalRecord, JobRecord, LEADER},
    },
    coordination::{
        admission,
        leader::{Leader, acceptance_with_notice},
    },
    protocol::{
        peers::{Reply, Request},
        users::{JobSpec, JobStatus, Kind, valid_ref},
    },
    transport::server::{HttpResponse, JSON},
};
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// For a submission or a withdrawal to be answered by the leader.
const FORWARD: Duration = Duration::from_millis(800);

/// Pauses before each look at an acceptance that had no answer.
const SETTLE: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(16),
];

pub(super) fn final_status(id: &str, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id: id.to_owned(),
        state: record.state,
        done: record.done,
        running: 0,
    }
}

pub(super) fn ok(status: &JobStatus) -> HttpResponse {
    HttpResponse::json(200, status)
}

/// The id that a submission names, if it is of the right form.
fn ref_of(parsed: &Result<JobSpec, String>, body: &[u8]) -> Option<String> {
    match parsed {
        Ok(spec) => Some(spec.id.clone()),
        Err(_) => serde_json::from_slice::<serde_json::Value>(body)
            .ok()
            .and_then(|v| v.get("ref")?.as_str().map(str::to_owned))
            .filter(|id| valid_ref(id)),
    }
}

const NOT_UPGRADED: &str = "waits_on: not every controller runs a version that knows it yet";

pub(super) const WITHHELD: &str = "its withdrawal, with a job that it needs, is being recorded";

/// Whether a submission names jobs that it waits for.
fn names_needs(body: &[u8]) -> bool {
    let field: &[u8] = b"\"waits_on\"";
    body.windows(field.len()).any(|w| w == field)
        && JobSpec::parse(body).is_ok_and(|spec| !spec.needs.is_empty())
}

/// The job's id in a path, and whether it is to be withdrawn.
fn target(path: &str) -> Option<(&str, bool)> {
    let rest = path.strip_prefix("/v1/jobs/")?;
    match rest.strip_suffix("/abort") {
        Some(id) => Some((id, true)),
        None => Some((rest, false)),
    }
}

impl Node {
    pub(super) async fn user(
        self: &Rc<Self>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> HttpResponse {
        if let ("GET", Some((id, false))) = (method, target(path)) {
            return self.poll(id).await;
        }
        if let Some(answer) = self.user_here(method, path, &body).await {
            return answer;
        }
        // An older leader would take the job and start it at once.
        if target(path).is_none() && names_needs(&body) && !self.upgraded().await {
            return HttpResponse::later(NOT_UPGRADED);
        }
        if let Some(leader) = self.answering_leader() {
            let request = Request::Forward {
                method: method.to_owned(),
                path: path.to_owned(),
                body: body.clone(),
            };
            match self.ask(leader, &request, FORWARD).await {
                Ok(Reply::Forwarded {
                    status,
                    retry_after_s,
                    body,
                }) => {
                    return HttpResponse {
                        status,
                        retry_after_s,
                        content: JSON,
                        body,
                    };
                }
                Ok(_) => {}
                Err(e) => log::debug!("forwarding: {e}"),
            }
        }
        // No leader in reach.
        if target(path).is_none() {
            return self.accept_alone(&body).await;
        }
        HttpResponse::later("no leader can be reached")
    }

    /// Accepts a job without a leader: its record is what counts.
    async fn accept_alone(&self, body: &[u8]) -> HttpResponse {
        let parsed = JobSpec::parse(body);
        if parsed.is_ok() && self.types.borrow().is_empty() {
            return HttpResponse::later("machine types are not known yet");
        }
        if let Some((status, why)) = self.refusal(&parsed) {
            let Some(id) = ref_of(&parsed, body) else {
                return HttpResponse::error(status, &why);
            };
            return match self.lookup(&id).await {
                Ok(Found::Live(record, _)) => ok(&record.status()),
                Ok(Found::Final(record)) => ok(&final_status(&id, &record)),
                Ok(Found::Nothing) => HttpResponse::error(status, &why),
                Err(e) => HttpResponse::later(&format!("records can't be read: {e}")),
            };
        }
        let Ok(spec) = parsed else {
            return HttpResponse::error(400, "malformed");
        };
        if !spec.needs.is_empty() {
            match self.needs_alone(&spec).await {
                Ok(None) => {}
                Ok(Some(why)) => {
                    return match self.lookup(&spec.id).await {
                        Ok(Found::Live(record, _)) => ok(&record.status()),
                        Ok(Found::Final(record)) => ok(&final_status(&spec.id, &record)),
                        Ok(Found::Nothing) => HttpResponse::error(422, &why),
                        Err(e) => HttpResponse::later(&format!("records can't be read: {e}")),
                    };
                }
                Err(e) => return HttpResponse::later(&format!("records can't be read: {e}")),
            }
        }
        let now = self.now();
        if !self.writes.borrow_mut().take(now, 2.0, 0.0) || !self.may_request(1.0) {
            return HttpResponse::later("too many submissions at once");
        }
        let state = &self.settings.cluster.state;
        let most = match self.upgrade.is_complete() {
            true => state.always().value_kb,
            false => state.value_kb,
        };
        if !records::fits(records::whole_size(&spec), most) {
            return HttpResponse::later("so long a description needs a leader");
        }
        let record = JobRecord::new(spec, self.wall_ms());
        let txn = acceptance_with_notice(&record);
        match self.txn(&txn, Duration::from_millis(2000)).await {
            TxnResult::Done(_) => HttpResponse::json(201, &record.status()),
            TxnResult::Conflict(_) => match self.lookup(&record.spec.id).await {
                Ok(Found::Live(record, _)) => ok(&record.status()),
                Ok(Found::Final(f)) => ok(&final_status(&record.spec.id, &f)),
                _ => HttpResponse::later("no leader can be reached"),
            },
            _ => HttpResponse::later("the job could not be recorded"),
        }
    }

    /// What is wrong with the jobs that a submission names, by the records.
    async fn needs_alone(&self, spec: &JobSpec) -> Result<Option<String>, String> {
        let found = self.lookup_all(&spec.needs).await;
        for id in &spec.needs {
            match found.get(id) {
                Some(Ok(Found::Live(r, _))) if r.spec.kind == Kind::Service => {
                    return Ok(Some(format!("waits_on: {id} is a service")));
                }
                Some(Ok(Found::Live(..) | Found::Final(_))) => {}
                Some(Err(e)) => return Err(e.clone()),
                Some(Ok(Found::Nothing)) | None => {
                    return Ok(Some(format!("waits_on: {id} was never accepted")));
                }
            }
        }
        Ok(None)
    }

    /// The same where this node leads. `Err`: it can't be said now.
    async fn needs_led(&self, spec: &JobSpec) -> Result<Option<String>, HttpResponse> {
        let lost = || HttpResponse::later("leadership is changing");
        let unknown = self.acting(|l, _| l.needs_unknown(spec)).ok_or_else(lost)?;
        let unknown = match unknown {
            Ok(unknown) => unknown,
            Err(id) => return Ok(Some(format!("waits_on: {id} is a service"))),
        };
        if unknown.is_empty() {
            return Ok(None);
        }
        let mut found = self.lookup_all(&unknown).await;
        for id in unknown {
            match found.remove(&id) {
                Some(Ok(Found::Live(record, version))) => {
                    let learn = |l: &mut Leader, now| l.accepted(*record, version, now);
                    self.acting(learn).ok_or_else(lost)?;
                }
                Some(Ok(Found::Final(record))) => {
                    self.acting(|l, _| l.remember_final(&final_status(&id, &record)));
                }
                Some(Err(e)) => {
                    return Err(HttpResponse::later(&format!("records can't be read: {e}")));
                }
                Some(Ok(Found::Nothing)) | None => {
                    return Ok(Some(format!("waits_on: {id} was never accepted")));
                }
            }
        }
        // Among what was learned just now there may be services.
        match self.acting(|l, _| l.needs_unknown(spec)).ok_or_else(lost)? {
            Ok(_) => Ok(None),
            Err(id) => Ok(Some(format!("waits_on: {id} is a service"))),
        }
    }

    /// `None`: this node doesn't lead.
    pub(super) async fn user_here(
        self: &Rc<Self>,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<HttpResponse> {
        if !self.acting(|l, _| l.loaded())? {
            return Some(HttpResponse::later("a new leader is reading the records"));
        }
        match (method, target(path)) {
            ("POST", None) => Some(self.submit(body).await),
            ("POST", Some((id, true))) => Some(self.abort(id).await),
            _ => Some(HttpResponse::error(404, "no such path")),
        }
    }

    /// The job's state as the leader may tell it, reading the records for one
    /// that it doesn't know. `Err` is the answer to give instead.
    async fn known(&self, id: &str) -> Result<Option<JobStatus>, HttpResponse> {
        let lost = || HttpResponse::later("leadership is changing");
        if let Some(status) = self.acting(|l, _| l.told(id)).ok_or_else(lost)? {
            return Ok(Some(status));
        }
        if !valid_ref(id) {
            return Ok(None);
        }
        if self.acting(|l, _| l.is_withheld(id)) == Some(true) {
            return Err(HttpResponse::later(WITHHELD));
        }
        match self.lookup(id).await {
            Ok(Found::Live(record, version)) => {
                let status = record.status();
                let learn = |l: &mut Leader, now| l.accepted(*record, version, now);
                self.acting(learn).ok_or_else(lost)?;
                Ok(Some(status))
            }
            Ok(Found::Final(record)) => {
                let status = final_status(id, &record);
                self.acting(|l, _| l.remember_final(&status));
                Ok(Some(status))
            }
            // It may have been accepted while the records were read.
            Ok(Found::Nothing) => self.acting(|l, _| l.told(id)).ok_or_else(lost),
            Err(e) => Err(HttpResponse::later(&format!("records can't be read: {e}"))),
        }
    }

    /// Status and reason with which a submission that isn't known is refused.
    fn refusal(&self, parsed: &Result<JobSpec, String>) -> Option<(u16, String)> {
        match parsed {
            Err(e) => Some((400, e.clone())),
            Ok(spec) => admission::never_runs(&self.settings, &self.types.borrow(), spec)
                .map(|why| (422, why)),
        }
    }

    async fn submit(self: &Rc<Self>, body: &[u8]) -> HttpResponse {
        let parsed = JobSpec::parse(body);
        // A known job is answered with its state, whatever the repeated body
        // or the settings now say.
        if let Some((status, why)) = self.refusal(&parsed) {
            let id = ref_of(&parsed, body);
            let known = match &id {
                Some(id) => self.known(id).await,
                None => Ok(None),
            };
            return match known {
                Ok(Some(status)) => ok(&status),
                Ok(None) => HttpResponse::error(status, &why),
                Err(answer) => answer,
            };
        }
        let Ok(spec) = parsed else {
            return HttpResponse::error(400, "malformed");
        };
        if let Some(Some(status)) = self.acting(|l, _| l.told(&spec.id)) {
            return ok(&status);
        }
        if !spec.needs.is_empty() {
            if !self.upgraded().await {
                return HttpResponse::later(NOT_UPGRADED);
            }
            match self.needs_led(&spec).await {
                Ok(None) => {}
                Ok(Some(why)) => {
                    return match self.known(&spec.id).await {
                        Ok(Some(status)) => ok(&status),
                        Ok(None) => HttpResponse::error(422, &why),
                        Err(answer) => answer,
                    };
                }
                Err(answer) => return answer,
            }
        }
        self.accept(spec).await
    }

    async fn accept(self: &Rc<Self>, spec: JobSpec) -> HttpResponse {
        let now = self.now();
        if !self.writes.borrow_mut().take(now, 1.0, 0.0) || !self.may_request(1.0) {
            return HttpResponse::later("too many submissions at once");
        }
        let pieces = match self.write_pieces(&spec).await {
            Ok(pieces) => pieces,
            Err(why) => return HttpResponse::later(why),
        };
        let wall = self.wall_ms();
        // Of another term the pieces may just be cleared away as left over.
        let (of, pieces) = pieces.unzip();
        let begun = self.acting(|l, _| (l.term, l.acceptance(&spec, pieces, wall)));
        let Some((term, (txn, record))) = begun.filter(|(t, _)| of.is_none_or(|of| of == *t))
        else {
            return HttpResponse::later("leadership is changing");
        };
        match self.txn(&txn, Duration::from_millis(2000)).await {
            TxnResult::Done(version) => {
                // Whether or not this node still leads, it is recorded, and
                // whoever leads next reads it.
                let status = record.status();
                self.of_term(term, |l, now| l.accepted(record, version, now));
                HttpResponse::json(201, &status)
            }
            TxnResult::Conflict(failed) if !failed.iter().any(|k| k == LEADER) => {
                match self.known(&spec.id).await {
                    Ok(Some(status)) => ok(&status),
                    Ok(None) => HttpResponse::later("try again"),
                    Err(answer) => answer,
                }
            }
            TxnResult::Unknown => {
                let settle = self.clone().settle_acceptance(term, spec.id.clone());
                self.lanes.spawn(settle).detach();
                HttpResponse::later("the job could not be recorded")
            }
            _ => HttpResponse::later("the job could not be recorded"),
        }
    }

    /// An acceptance of this term had no answer, and may be carried out yet.
    /// Guards against a job that stands in the records, and is called queued
    /// from there, while the leader does not know of it.
    async fn settle_acceptance(self: Rc<Self>, term: u64, id: String) {
        for wait in SETTLE {
            Timer::after(wait).await;
            let known = self.of_term(term, |l, _| l.status(&id).is_some());
            if known != Some(false) {
                return;
            }
            if let Ok(Found::Live(record, version)) = self.lookup(&id).await {
                log::info!("job {id} was accepted late");
                self.of_term(term, |l, now| l.accepted(*record, version, now));
                return;
            }
        }
    }

    /// Writes what the record of a job with a long description is to name.
    /// In which term, and what to name.
    async fn write_pieces(&self, spec: &JobSpec) -> Result<Option<(u64, Pieces)>, &'static str> {
        let lost = "leadership is changing";
        let complete = self.upgrade.is_complete();
        let state = &self.settings.cluster.state;
        if !complete && !records::fits(records::whole_size(spec), state.value_kb) {
            return Err("so long a description waits until all controllers are upgraded");
        }
        let first = self.acting(|l, _| {
            l.upgraded(complete);
            (l.term, l.pieces_first(spec))
        });
        let (term, first) = first.ok_or(lost)?;
        let Some((pieces, txns)) = first.map_err(|_| "it can't be kept")? else {
            return Ok(None);
        };
        for txn in txns {
            // One after the other, as fast as the budget has it, but no longer
            // than users wait.
            let mut tries = 0;
            let n = txn.writes.len() as f64;
            while !self.writes.borrow_mut().take(self.now(), n, 0.0) || !self.may_request(1.0) {
                tries += 1;
                if tries > 20 {
                    return Err("too many submissions at once");
                }
                Timer::after(Duration::from_millis(50)).await;
            }
            match self.txn(&txn, Duration::from_millis(1500)).await {
                TxnResult::Done(_) => {}
                _ => return Err("the job could not be recorded"),
            }
        }
        Ok(Some((term, pieces)))
    }

    async fn abort(&self, id: &str) -> HttpResponse {
        let began = self.now();
        loop {
            if self.acting(|l, _| l.is_closing(id)) != Some(true) {
                let status = match self.known(id).await {
                    Ok(Some(status)) => status,
                    Ok(None) => return HttpResponse::error(404, "no such job"),
                    Err(answer) => return answer,
                };
                if status.state.is_final() {
                    return ok(&status);
                }
            }
            if self.acting(|l, _| l.cancel(id)).is_none() || self.now() > began + 1500 {
                return HttpResponse::later("the withdrawal could not be recorded yet");
            }
            // It is on its way to the record; this is as long as that takes.
            Timer::after(Duration::from_millis(15)).await;
        }
    }
}
