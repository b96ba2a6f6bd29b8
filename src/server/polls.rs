//! Polls that go to the leader or to the records, many at a time.

use super::{
    Node,
    signals::WakeSignal,
    store::{NamedRead, UnreadName},
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
    state::Millis,
    state::records::{FINALS, JOBS, StoredJob, job_key},
};
use async_channel::Sender;
use async_io::Timer;
use serde_json::Value;
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

const FORWARD: Duration = Duration::from_millis(500);
/// Jobs asked about in one frame, and in one look at the records.
const MOST: usize = 500;
/// Up to so many jobs are read one by one; of more, all live ones are listed.
const FEW: usize = 4;

/// What a poll comes to.
pub(super) type Answer = Result<Reading, String>;

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
    pub(super) fn new(most: usize) -> Self {
        PollQueue {
            batch: RefCell::new(PollBatch::new(most)),
            wake: WakeSignal::default(),
        }
    }

    /// Where too many wait already, `who` is dropped and so learns of it.
    fn add(&self, id: &str, who: Sender<Answer>) {
        self.batch.borrow_mut().add(id, who);
        self.wake.notify();
    }

    pub(super) async fn ask(&self, id: &str) -> Answer {
        let (tx, rx) = async_channel::bounded(1);
        self.add(id, tx);
        let answer = rx.recv().await;
        answer.unwrap_or_else(|_| Err("too many polls at once".into()))
    }

    /// No answer could be given about it.
    fn owe(&self, id: &str) {
        self.batch.borrow_mut().mark_shed(id);
    }

    fn paid(&self, id: &str) {
        self.batch.borrow_mut().mark_answered(id);
    }

    /// Waits until something is asked.
    async fn asked(&self) {
        while self.batch.borrow().is_empty() {
            self.wake.wait().await;
        }
    }

    fn round(&self) -> Round {
        self.batch.borrow_mut().take_round(MOST)
    }
}

fn tell(who: Vec<Sender<Answer>>, answer: &Answer) {
    for w in who {
        let _ = w.try_send(answer.clone());
    }
}

/// Asks the leader, for all who wait at once.
pub async fn ask_leader(node: Rc<Node>) {
    loop {
        node.polls.leader.asked().await;
        let round = node.polls.leader.round();
        let (mut known, began) = (Vec::new(), node.now());
        if let Some(leader) = node.answering_leader() {
            let ids = round.iter().map(|(id, _)| id.clone()).collect();
            match node.ask(leader, &Request::Polls { ids }, FORWARD).await {
                Ok(Reply::Polled(answers)) => known = answers,
                Ok(_) => {}
                Err(e) => log::debug!("asking the leader: {e}"),
            }
        }
        known.resize(round.len(), None);
        for ((id, who), known) in round.into_iter().zip(known) {
            let told = known.map(|(state, done, running)| JobStatus {
                id,
                state,
                done,
                running,
            });
            let reading = Reading {
                started_at: began,
                status: told,
                version: None,
            };
            tell(who, &Ok(reading));
        }
    }
}

/// Reads the records, for all who wait at once.
pub async fn ask_records(node: Rc<Node>) {
    let mut listed = 0;
    loop {
        node.polls.records.asked().await;
        // While requests are scarce more polls gather, for whom one list does.
        let room = node.room_to_read().await;
        let (round, began) = (node.polls.records.round(), node.now());
        let mut live = HashMap::new();
        // A list costs by the number of live jobs, a look-up by the request.
        let dear = round.len() * 16 < listed && 2 * round.len() < room;
        let list = round.len() > FEW && !dear;
        if list {
            match node.list(JOBS).await {
                Ok(items) => {
                    listed = items.len();
                    for i in items {
                        live.insert(i.key, (i.value, i.version));
                    }
                }
                Err(e) => {
                    let why = Err(format!("records can't be read: {e}"));
                    for (id, who) in round {
                        node.polls.records.owe(&id);
                        tell(who, &why);
                    }
                    continue;
                }
            }
        }
        let mut final_states = HashMap::new();
        if list {
            let over = round.iter().map(|(id, _)| id.as_str());
            let over = over.filter(|id| !live.contains_key(&job_key(id)));
            let NamedRead { items, unread } = node.read_some(FINALS, over.collect()).await;
            for i in items {
                let id = i.key[FINALS.len()..].to_owned();
                final_states.insert(id, Ok((i.value, i.version)));
            }
            for UnreadName { name, error } in unread {
                final_states.insert(name, Err(error.to_string()));
            }
        }
        for (id, who) in round {
            let found = match (live.remove(&job_key(&id)), final_states.remove(&id)) {
                (Some((value, version)), _) => serde_json::from_value::<StoredJob>(value)
                    .map(|r| reading(began, r.status(&id), version))
                    .map_err(|e| e.to_string()),
                // A key that was read one by one and is not there.
                (None, Some(Ok((Value::Null, _)))) => Ok(Reading::nothing(began)),
                (None, Some(Ok((value, version)))) => serde_json::from_value(value)
                    .map(|r| reading(began, final_status(&id, &r), version))
                    .map_err(|e| e.to_string()),
                (None, Some(Err(e))) => Err(e),
                (None, None) if list => Ok(Reading::nothing(began)),
                (None, None) => look_up(&node, &id).await,
            };
            match &found {
                Ok(_) => node.polls.records.paid(&id),
                Err(_) => node.polls.records.owe(&id),
            }
            let found = found.map_err(|e| format!("records can't be read: {e}"));
            tell(who, &found);
        }
    }
}

fn reading(began: Millis, status: JobStatus, version: u64) -> Reading {
    Reading {
        started_at: began,
        status: Some(status),
        version: Some(version),
    }
}

/// One job by itself.
async fn look_up(node: &Node, id: &str) -> Answer {
    let began = node.now();
    let found = node.lookup(id).await.map_err(|e| e.to_string())?;
    Ok(match found {
        Found::Live(record, version) => reading(began, record.status(), version),
        Found::Final(record, version) => reading(began, final_status(id, &record), version),
        Found::Nothing => Reading::nothing(began),
    })
}

impl Node {
    /// Polls at other nodes.
    pub(super) fn answer_polls(&self, ids: &[String]) -> Reply {
        let ids = &ids[..ids.len().min(MOST)];
        match self.view(|view| polled(view, ids)) {
            Some(answers) => Reply::Polled(answers),
            None => Reply::NotLeader,
        }
    }

    /// Waits, though no longer than users do, until some requests may be made.
    async fn room_to_read(&self) -> usize {
        let room = || self.budgets.request_level(self.now()) as usize;
        for _ in 0..10 {
            if room() >= 2 * FEW {
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        room()
    }
}
