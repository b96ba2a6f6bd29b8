//! Polls that are answered from the records in the key-value store, in rounds.
//!
//! This module owns the reads of a round of polls, and the translation of these reads
//! into answers. Its loop is started once by the process. The polls are queued by
//! `server::polls`; `server::dependency_reads` reads the dependencies of their jobs.
//!
//! Invariants: a poll is never answered from a read that began before the poll arrived.
//! A job is reported as unfinished only if the state of the jobs that it depends on is
//! known.

use super::{
    Node,
    dependency_reads::{ListedJob, ListedRecords},
    polls::{PollResult, PollRound, send_answer},
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

/// Maximum number of jobs in a round for which each job is always looked up
/// individually. For larger rounds, all live jobs may be listed instead.
const MAX_SINGLE_LOOKUPS: usize = 4;
/// Individual lookups are preferred to a list if the list has more than this many live
/// jobs per polled job.
const LIST_COST_DIVISOR: usize = 16;
/// Maximum number of requests to the store that one lookup takes.
const LOOKUP_REQUESTS: usize = 2;
/// Number of times, and interval at which, a round checks the request budget before it
/// begins.
const BUDGET_CHECKS: u32 = 10;
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a poll can't be answered from the records.
#[derive(Debug, Clone, thiserror::Error)]
enum RecordsError {
    #[error("failed to read the job records: {0}")]
    Unread(#[from] StoreError),
    /// The job's record can't be used alone, as the job may be cancelled with a
    /// dependency.
    #[error("{0}")]
    Withheld(&'static str),
}

/// Answers the polls that wait for the records, one round after another, for as long as
/// the process runs.
pub async fn run_record_polls(node: Rc<Node>) {
    // Number of live jobs in the last list.
    let mut listed_jobs = 0;
    loop {
        node.polls.records.wait_for_polls().await;
        // Polls that arrive during the wait for the budget join the round and share its
        // list.
        let budget = node.wait_for_read_budget().await;
        let (round, began) = (node.polls.records.take_round(), node.now());
        // The cost of a list depends on the number of live jobs, the cost of lookups on
        // the number of polled jobs.
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
                    let answer = node.check_withheld(records.take_reading(&id, began));
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

/// Results of the reads for one round of polls.
struct RoundRecords {
    /// Number of live jobs in the list.
    listed_jobs: usize,
    /// Status and version of each record that was read, or the error of its read, by
    /// job id. A job that is missing here has no record.
    found: HashMap<String, Result<(JobStatus, u64), StoreError>>,
    /// Ids of unfinished jobs that may be cancelled with a job that they depend on.
    dependent: HashSet<String>,
}

/// The status of a job according to its record. `dependent`: the job may be cancelled
/// with a dependency, so that its status may have to be withheld.
struct RecordReading {
    reading: Reading,
    dependent: bool,
}

impl RoundRecords {
    /// Removes and returns the reading of a job of the round. `began`: when the reads
    /// began.
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

/// Looks up one job individually, and the jobs that it depends on.
async fn look_up(node: &Node, id: &str) -> Result<Reading, RecordsError> {
    let began = node.now();
    let (record, version) = match node.lookup(id, RequestPriority::Poll).await? {
        Found::Live(record, version) => (record, version),
        Found::Final(record, version) => {
            return Ok(reading(began, final_status(id, &record), version));
        }
        Found::NoRecord => return Ok(Reading::nothing(began)),
    };
    let job = ListedJob::of(*record);
    let reading = reading(began, job.status.clone(), version);
    let dependent = !job.status.state.is_final() && !job.dependencies.is_empty();
    if dependent {
        node.learn_job(job, began);
        node.read_dependencies(id).await;
    }
    node.check_withheld(Ok(RecordReading { reading, dependent }))
}

impl Node {
    /// Reads the records for a round: lists all live records, then reads the final
    /// records of jobs that are not live. These are polled jobs as well as direct and
    /// transitive dependencies of polled jobs.
    async fn read_round(
        &self,
        round: &PollRound,
        began: Millis,
    ) -> Result<RoundRecords, StoreError> {
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
                    self.add_listed_job(&mut records, id, job, *version, began);
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

    fn add_listed_job(
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

    /// Returns the reading of a job, or an error if the status must be withheld because
    /// of the job's dependencies.
    fn check_withheld(
        &self,
        read: Result<RecordReading, RecordsError>,
    ) -> Result<Reading, RecordsError> {
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
        waiters: Vec<Sender<PollResult>>,
        answer: Result<Reading, RecordsError>,
    ) {
        match &answer {
            Ok(_) => self.polls.records.mark_answered(id),
            Err(_) => self.polls.records.mark_shed(id),
        }
        let answer = answer.map_err(|e| e.to_string());
        send_answer(waiters, &answer);
    }

    /// Waits until the budget allows [`MAX_SINGLE_LOOKUPS`] lookups, for at most
    /// [`BUDGET_CHECKS`] checks, which takes no longer than a user waits. Returns the
    /// number of requests that may be sent now.
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
