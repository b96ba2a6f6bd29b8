//! Polls that are answered by the leader or from the records, in rounds.
//!
//! Owns: the two queues of waiting polls and the loops that answer them. Called by
//! the steps of users' requests (`server::client_api`) and, for polls that other
//! nodes forward, by `server::peers`.
//!
//! Must never: answer a poll from a read that began before the poll arrived, or call
//! a job unfinished without knowing of the jobs that it depends on.

use super::{
    Node,
    dependency_reads::{ListedJob, ListedRecords},
    signals::WakeSignal,
    store::{StoreError, UnreadName},
};
use crate::{
    control::{
        polls::PollBatch,
        requests::{Found, Reading, final_status, polled},
    },
    protocol::{
        peers::{Reply, Request},
        users::JobStatus,
    },
    state::{
        Millis,
        records::{FINALS, JOBS, job_key},
        request_budget::RequestPriority,
    },
};
use async_channel::Sender;
use async_io::Timer;
use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

/// How long the leader may take to answer a round of polls.
const LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Most jobs in a round.
const MAX_ROUND_JOBS: usize = 500;
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

/// What a poll read, or why it could not be answered.
pub(super) type Answer = Result<Reading, String>;

/// Why a poll can't be answered from the records.
#[derive(Debug, Clone, thiserror::Error)]
enum RecordsError {
    #[error("records can't be read: {0}")]
    Unread(#[from] StoreError),
    /// The job's own record is not enough.
    #[error("{0}")]
    Withheld(&'static str),
}

/// Polls that wait for the same source of answers.
pub(super) struct PollQueue {
    batch: RefCell<PollBatch<Sender<Answer>>>,
    wake: WakeSignal,
}

/// Polls of users, by where they are answered.
pub(super) struct Polls {
    /// Those that wait for the leader.
    pub(super) leader: PollQueue,
    /// Those that wait for the records in the key-value store.
    pub(super) records: PollQueue,
}

impl Polls {
    /// For a process that serves at most this many users at once.
    pub(super) fn new(max_users: usize) -> Self {
        Polls {
            leader: PollQueue::new(max_users),
            records: PollQueue::new(2 * max_users),
        }
    }
}

type Round = Vec<(String, Vec<Sender<Answer>>)>;

impl PollQueue {
    pub(super) fn new(max_waiters: usize) -> Self {
        PollQueue {
            batch: RefCell::new(PollBatch::new(max_waiters)),
            wake: WakeSignal::default(),
        }
    }

    /// Where too many wait already, the waiter is dropped, which closes its channel.
    fn add(&self, id: &str, waiter: Sender<Answer>) {
        self.batch.borrow_mut().add(id, waiter);
        self.wake.notify();
    }

    /// Waits for the answer to a poll of the job.
    pub(super) async fn ask(&self, id: &str) -> Answer {
        let (waiter, receiver) = async_channel::bounded(1);
        self.add(id, waiter);
        let answer = receiver.recv().await;
        answer.unwrap_or_else(|_| Err("too many polls at once".into()))
    }

    /// The polls of this job got no answer.
    fn mark_shed(&self, id: &str) {
        self.batch.borrow_mut().mark_shed(id);
    }

    /// The polls of this job were answered.
    fn mark_answered(&self, id: &str) {
        self.batch.borrow_mut().mark_answered(id);
    }

    /// Waits until there are polls.
    async fn wait_for_polls(&self) {
        while self.batch.borrow().is_empty() {
            self.wake.wait().await;
        }
    }

    fn take_round(&self) -> Round {
        self.batch.borrow_mut().take_round(MAX_ROUND_JOBS)
    }
}

fn send_answer(waiters: Vec<Sender<Answer>>, answer: &Answer) {
    for waiter in waiters {
        // The user may have gone meanwhile.
        let _ = waiter.try_send(answer.clone());
    }
}

/// Answers the polls that wait for the leader, a round at a time.
pub async fn ask_leader(node: Rc<Node>) {
    loop {
        node.polls.leader.wait_for_polls().await;
        let round = node.polls.leader.take_round();
        let (mut statuses, began) = (Vec::new(), node.now());
        if let Some(leader) = node.answering_leader() {
            let ids = round.iter().map(|(id, _)| id.clone()).collect();
            match node
                .ask(leader, &Request::Polls { ids }, LEADER_POLL_TIMEOUT)
                .await
            {
                Ok(Reply::Polled(answers)) => statuses = answers,
                Ok(_) => {}
                Err(e) => log::debug!("asking the leader: {e}"),
            }
        }
        statuses.resize(round.len(), None);
        for ((id, waiters), status) in round.into_iter().zip(statuses) {
            let status = status.map(|(state, done, running)| JobStatus {
                id,
                state,
                done,
                running,
            });
            let reading = Reading {
                started_at: began,
                status,
                version: None,
            };
            send_answer(waiters, &Ok(reading));
        }
    }
}

/// Answers the polls that wait for the records, a round at a time.
pub async fn ask_records(node: Rc<Node>) {
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
    /// Answers polls that another node forwards.
    pub(super) fn answer_polls(&self, ids: &[String]) -> Reply {
        let ids = &ids[..ids.len().min(MAX_ROUND_JOBS)];
        match self.view(|view| polled(view, ids)) {
            Some(answers) => Reply::Polled(answers),
            None => Reply::NotLeader,
        }
    }

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
                self.view(|view| view.remember(status));
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
