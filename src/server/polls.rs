//! Polls that are answered in rounds, by the leader or from the records.
//!
//! This module owns the two queues of waiting polls, and the loop that sends rounds of
//! polls to the leader (`server::poll_records` answers polls from the records). It is
//! called by the handlers of users' requests (`server::client_api`) and, for polls that
//! other nodes forward, by `server::peers`.
//!
//! Invariant: a poll is never answered from a read that began before the poll arrived.

use super::{Node, signals::WakeSignal};
use crate::{
    control::{
        polls::PollBatch,
        requests::{Reading, answer_peer_polls},
    },
    protocol::{
        peers::{Reply, Request},
        users::JobStatus,
    },
};
use async_channel::Sender;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Timeout of a round of polls that is sent to the leader.
const LEADER_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of jobs in a round.
const MAX_ROUND_JOBS: usize = 500;
/// Result of a poll: the reading, or the reason why the poll could not be answered.
pub(super) type PollResult = Result<Reading, String>;

/// Queue of polls that wait for the same source of answers.
pub(super) struct PollQueue {
    batch: RefCell<PollBatch<Sender<PollResult>>>,
    wake: WakeSignal,
}

/// The queues of users' polls, by the source that answers them.
pub(super) struct Polls {
    /// Polls that wait for an answer of the leader.
    pub(super) leader: PollQueue,
    /// Polls that wait for a read of the records in the key-value store.
    pub(super) records: PollQueue,
}

impl Polls {
    /// Creates the queues for a process that serves at most `max_users` users at once.
    pub(super) fn new(max_users: usize) -> Self {
        Polls {
            leader: PollQueue::new(max_users),
            records: PollQueue::new(2 * max_users),
        }
    }
}

/// The jobs of a round, with the waiting polls of each job.
pub(super) type PollRound = Vec<(String, Vec<Sender<PollResult>>)>;

impl PollQueue {
    pub(super) fn new(max_waiters: usize) -> Self {
        PollQueue {
            batch: RefCell::new(PollBatch::new(max_waiters)),
            wake: WakeSignal::default(),
        }
    }

    /// Adds a poll to the queue. If the queue is full the waiter is dropped, which
    /// closes its channel.
    fn add(&self, id: &str, waiter: Sender<PollResult>) {
        self.batch.borrow_mut().add(id, waiter);
        self.wake.notify();
    }

    /// Adds a poll of the job to the queue and waits for the answer.
    pub(super) async fn wait_for_answer(&self, id: &str) -> PollResult {
        let (waiter, receiver) = async_channel::bounded(1);
        self.add(id, waiter);
        let answer = receiver.recv().await;
        answer.unwrap_or_else(|_| Err("too many polls are waiting".into()))
    }

    /// Records that the polls of this job got no answer, so that the job goes first in
    /// a later round.
    pub(super) fn mark_shed(&self, id: &str) {
        self.batch.borrow_mut().mark_shed(id);
    }

    /// Records that the polls of this job were answered.
    pub(super) fn mark_answered(&self, id: &str) {
        self.batch.borrow_mut().mark_answered(id);
    }

    /// Waits until at least one poll is queued.
    pub(super) async fn wait_for_polls(&self) {
        while self.batch.borrow().is_empty() {
            self.wake.wait().await;
        }
    }

    pub(super) fn take_round(&self) -> PollRound {
        self.batch.borrow_mut().take_round(MAX_ROUND_JOBS)
    }
}

/// Sends the answer to all polls of a job.
pub(super) fn send_answer(waiters: Vec<Sender<PollResult>>, answer: &PollResult) {
    for waiter in waiters {
        // The send fails if the user's request has ended in the meantime.
        let _ = waiter.try_send(answer.clone());
    }
}

/// Answers the polls that wait for the leader, one round after another, for as long as
/// the process runs.
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
                Err(e) => log::debug!("polls: the leader did not answer: {e}"),
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
    /// Answers polls that another node forwarded.
    pub(super) fn answer_polls(&self, ids: &[String]) -> Reply {
        let ids = &ids[..ids.len().min(MAX_ROUND_JOBS)];
        match self.with_view(|view| answer_peer_polls(view, ids)) {
            Some(answers) => Reply::Polled(answers),
            None => Reply::NotLeader,
        }
    }
}
