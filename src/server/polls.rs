//! Polls that are answered by the leader or from the records, in rounds.
//!
//! Owns: the two queues of waiting polls, and the loop that asks the leader
//! (`server::poll_records` asks the records). Called by the steps of users' requests
//! (`server::client_api`) and, for polls that other nodes forward, by `server::peers`.
//!
//! Must never: answer a poll from a read that began before the poll arrived.

use super::{Node, signals::WakeSignal};
use crate::{
    control::{
        polls::PollBatch,
        requests::{Reading, polled},
    },
    protocol::{
        peers::{Reply, Request},
        users::JobStatus,
    },
};
use async_channel::Sender;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// How long the leader may take to answer a round of polls.
const LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Most jobs in a round.
const MAX_ROUND_JOBS: usize = 500;
/// What a poll read, or why it could not be answered.
pub(super) type Answer = Result<Reading, String>;

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

/// The jobs of a round, with the polls of each.
pub(super) type Round = Vec<(String, Vec<Sender<Answer>>)>;

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
    pub(super) async fn wait_for_answer(&self, id: &str) -> Answer {
        let (waiter, receiver) = async_channel::bounded(1);
        self.add(id, waiter);
        let answer = receiver.recv().await;
        answer.unwrap_or_else(|_| Err("too many polls at once".into()))
    }

    /// The polls of this job got no answer.
    pub(super) fn mark_shed(&self, id: &str) {
        self.batch.borrow_mut().mark_shed(id);
    }

    /// The polls of this job were answered.
    pub(super) fn mark_answered(&self, id: &str) {
        self.batch.borrow_mut().mark_answered(id);
    }

    /// Waits until there are polls.
    pub(super) async fn wait_for_polls(&self) {
        while self.batch.borrow().is_empty() {
            self.wake.wait().await;
        }
    }

    pub(super) fn take_round(&self) -> Round {
        self.batch.borrow_mut().take_round(MAX_ROUND_JOBS)
    }
}

/// Answers all polls of a job.
pub(super) fn send_answer(waiters: Vec<Sender<Answer>>, answer: &Answer) {
    for waiter in waiters {
        // The user may have gone meanwhile.
        let _ = waiter.try_send(answer.clone());
    }
}

/// Answers the polls that wait for the leader, a round at a time.
pub async fn run_leader_polls(node: Rc<Node>) {
    loop {
        node.polls.leader.wait_for_polls().await;
        let round = node.polls.leader.take_round();
        let (mut statuses, began) = (Vec::new(), node.now());
        if let Some(leader) = node.answering_leader() {
            let ids = round.iter().map(|(id, _)| id.clone()).collect();
            match node
                .call_peer(leader, &Request::Polls { ids }, LEADER_POLL_TIMEOUT)
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

impl Node {
    /// Answers polls that another node forwards.
    pub(super) fn answer_polls(&self, ids: &[String]) -> Reply {
        let ids = &ids[..ids.len().min(MAX_ROUND_JOBS)];
        match self.with_view(|view| polled(view, ids)) {
            Some(answers) => Reply::Polled(answers),
            None => Reply::NotLeader,
        }
    }
}
