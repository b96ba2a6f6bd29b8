//! Polls that are answered from the records, in rounds.
//!
//! Owns: the reads of a round of polls, and how they become answers. Called by the
//! process for as long as it runs; the polls come through `server::polls`, and what
//! their jobs depend on is read by `server::dependency_reads`.
//!
//! Must never: answer a poll from a read that began before the poll arrived, or call
//! a job unfinished without knowing of the jobs that it depends on.

use super::{
    Node,
    dependency_reads::{ListedJob, ListedRecords},
    polls::{Answer, Round, send_answer},
    store::{StoreError, UnreadName},
};
use crate::{
    control::requests::{Found, Reading, final_status},
    protocol::users::JobStatus,
    state::{
        Millis,
        records::{FINALS, JOBS, job_key},
        request_budget::RequestPriority,
    },
};
use async_channel::Sender;
use async_io::Timer;
use std::{
    collections::{BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

/// Up to this many jobs are looked up one by one; for more, all live ones are
/// listed.
const MAX_SINGLE_LOOKUPS: usize = 4;
/// Lookups are preferred to a list of more than this many live jobs for each.
const LIST_COST_DIVISOR: usize = 16;
/// Requests that a lookup may take.
const LOOKUP_REQUESTS: usize = 2;
/// How often, and at what interval, a round waits for the request budget.
const BUDGET_CHECKS: u32 = 10;
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a poll can't be answered from the records.
#[derive(Debug, Clone, thiserror::Error)]
enum RecordsError {
    #[error("records can't be read: {0}")]
    Unread(#[from] StoreError),
    /// The job's own record is not enough.
    #[error("{0}")]
    Withheld(&'static str),
}

/// Answers the polls that wait for the records, a round at a time.
pub async fn run_record_polls(node: Rc<Node>) {
    // Live jobs in the last list.
    let mut listed_jobs = 0;
    loop {
        node.polls.records.wait_for_polls().await;
        // While requests are scarce more polls arrive, which share one list.
        let budget = node.wait_for_read_budget().await;
        let (round, began) = (node.polls.records.take_round(), node.now());
        // A list costs by the number of live jobs, lookups by the number of polls.
        let lookups_are_cheaper =
            round.len() * LIST_COST_DIVISOR < listed_jobs && LOOKUP_REQUESTS * round.len() < budget;
        if round.len() <= MAX_SINGLE_LOOKUPS || lookups_are_cheaper {
            for (id, waiters) in round {
                let answer = look_up(&node, &id).await;
                node.answer_from_records(&id, waiters, answer);
            }
            continue;
        }
        match node.read_round(&round, began).await {
            Ok(mut records) => {
                listed_jobs = records.listed_jobs;
                for (id, waiters) in round {
                    let answer = node.confirm(records.take_reading(&id, began));
                    node.answer_from_records(&id, waiters, answer);
                }
            }
            Err(e) => {
                for (id, waiters) in round {
                    node.answer_from_records(&id, waiters, Err(e.clone().into()));
                }
            }
        }
    }
}

/// What was read of the jobs of a round.
struct RoundRecords {
    /// How many live jobs were listed.
    listed_jobs: usize,
    /// Status and version of each record, by the job's id. One that is missing has no
    /// record.
    found: HashMap<String, Result<(JobStatus, u64), StoreError>>,
    /// Unfinished jobs that may be cancelled with a job that they depend on.
    dependent: HashSet<String>,
}

/// A job's status by its record. `dependent`: it may have to be withheld.
struct RecordReading {
    reading: Reading,
    dependent: bool,
}

impl RoundRecords {
    /// The reading of a job of the round.
    fn take_reading(&mut self, id: &str, began: Millis) -> Result<RecordReading, RecordsError> {
        let reading = match self.found.remove(id).transpose()? {
            Some((status, version)) => reading(began, status, version),
            None => Reading::nothing(began),
        };
        let dependent = self.dependent.contains(id);
        Ok(RecordReading { reading, dependent })
    }
}

fn reading(began: Millis, status: JobStatus, version: u64) -> Reading {
    Reading {
        started_at: began,
        status: Some(status),
        version: Some(version),
    }
}

/// Looks up one job by itself, and the jobs that it depends on.
async fn look_up(node: &Node, id: &str) -> Result<Reading, RecordsError> {
    let began = node.now();
    let (record, version) = match node.lookup(id, RequestPriority::Poll).await? {
        Found::Live(record, version) => (record, version),
        Found::Final(record, version) => {
            return Ok(reading(began, final_status(id, &record), version));
        }
        Found::Nothing => return Ok(Reading::nothing(began)),
    };
    let job = ListedJob::of(*record);
    let reading = reading(began, job.status.clone(), version);
    let dependent = !job.status.state.is_final() && !job.dependencies.is_empty();
    if dependent {
        node.learn_job(job, began);
        node.read_dependencies(id).await;
    }
    node.confirm(Ok(RecordReading { reading, dependent }))
}

impl Node {
    /// Reads the records of a round: all live ones, and the final ones of the jobs
    /// that are not live, be they of the round or on the way to what its jobs depend
    /// on.
    async fn read_round(&self, round: &Round, began: Millis) -> Result<RoundRecords, StoreError> {
        let listed = self.list(JOBS, RequestPriority::Poll).await?;
        let listed: ListedRecords = listed
            .into_iter()
            .map(|item| (item.key, (item.value, item.version)))
            .collect();
        let mut records = RoundRecords {
            listed_jobs: listed.len(),
            found: HashMap::new(),
            dependent: HashSet::new(),
        };
        let mut names: BTreeSet<String> = BTreeSet::new();
        for (id, _) in round {
            match listed.get(&job_key(id)) {
                Some((value, version)) => {
                    let job = self.decode_listed(id, value).await;
                    self.take_listed(&mut records, id, job, *version, began);
                }
                None => {
                    names.insert(id.clone());
                }
            }
        }
        let dependent: Vec<&str> = records.dependent.iter().map(String::as_str).collect();
        names.extend(
            self.follow_listed_dependencies(&dependent, &listed, began)
                .await,
        );
        self.read_finals(&mut records, names).await;
        Ok(records)
    }

    fn take_listed(
        &self,
        records: &mut RoundRecords,
        id: &str,
        job: Result<ListedJob, StoreError>,
        version: u64,
        began: Millis,
    ) {
        let found = job.map(|job| {
            let status = job.status.clone();
            if !job.dependencies.is_empty() {
                records.dependent.insert(id.to_owned());
                self.learn_job(job, began);
            }
            (status, version)
        });
        records.found.insert(id.to_owned(), found);
    }

    /// Reads the final records of jobs that are not live.
    async fn read_finals(&self, records: &mut RoundRecords, names: BTreeSet<String>) {
        let wanted = names.iter().map(String::as_str).collect();
        let read = self.read_some(FINALS, wanted, RequestPriority::Poll).await;
        for item in read.items.into_iter().filter(|item| item.version > 0) {
            let id = &item.key[FINALS.len()..];
            let found = serde_json::from_value(item.value)
                .map(|record| (final_status(id, &record), item.version))
                .map_err(StoreError::from);
            if let Ok((status, _)) = &found {
                self.with_view(|view| view.remember(status));
            }
            records.found.insert(id.to_owned(), found);
        }
        for UnreadName { name, error } in read.unread {
            records.found.insert(name, Err(error));
        }
    }

    /// The reading of a job, unless it may be cancelled with a job that it depends on:
    /// then its own record is not enough.
    fn confirm(&self, read: Result<RecordReading, RecordsError>) -> Result<Reading, RecordsError> {
        let RecordReading { reading, dependent } = read?;
        let Some(status) = reading.status.as_ref().filter(|_| dependent) else {
            return Ok(reading);
        };
        match self.dependency_verdict(&status.id).refusal() {
            Some(why) => Err(RecordsError::Withheld(why)),
            None => Ok(reading),
        }
    }

    fn answer_from_records(
        &self,
        id: &str,
        waiters: Vec<Sender<Answer>>,
        answer: Result<Reading, RecordsError>,
    ) {
        match &answer {
            Ok(_) => self.polls.records.mark_answered(id),
            Err(_) => self.polls.records.mark_shed(id),
        }
        let answer = answer.map_err(|e| e.to_string());
        send_answer(waiters, &answer);
    }

    /// Waits, though no longer than users do, until some requests may be made.
    /// Returns how many.
    async fn wait_for_read_budget(&self) -> usize {
        let level = || self.budgets.request_level(self.now()) as usize;
        for _ in 0..BUDGET_CHECKS {
            if level() >= LOOKUP_REQUESTS * MAX_SINGLE_LOOKUPS {
                break;
            }
            Timer::after(BUDGET_CHECK_INTERVAL).await;
        }
        level()
    }
}
