//! Requests of users, made over HTTP to any of the controllers.

use crate::{
    Failure,
    node_selection::NodeSelector,
    retry::{Attempt, Decision, Millis, RetryPolicy, RetrySchedule},
};
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::users::{JobSpec, JobState, JobStatus, is_valid_job_id};
use pathwinch_transport::client::{Answer, CallError, Client as HttpClient};
use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{Duration, Instant},
};

const MAX_IDLE_CONNECTIONS: usize = 64;
/// How long a poll waits for its answer.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the users' protocol.
pub struct Client {
    nodes: Vec<SocketAddr>,
    rules: RetryPolicy,
    http: HttpClient,
    selector: RefCell<NodeSelector>,
    start: Instant,
}

impl Client {
    /// `nodes`: addresses at which controllers, or a load balancer before
    /// them, listen for users. There must be at least one.
    pub fn new(nodes: Vec<SocketAddr>, rules: RetryPolicy) -> Self {
        let first = fastrand::usize(..nodes.len().max(1));
        Client {
            selector: RefCell::new(NodeSelector::new(nodes.len(), first)),
            nodes,
            rules,
            http: HttpClient::new(MAX_IDLE_CONNECTIONS),
            start: Instant::now(),
        }
    }

    /// Submits a job; one that is known already is answered with its state.
    pub async fn submit(&self, spec: &JobSpec) -> Result<JobStatus, Failure> {
        let body = serde_json::to_vec(spec).map_err(|e| Failure::Refused {
            status: 400,
            why: e.to_string(),
        })?;
        job_status(&self.request("/v1/jobs", Some(body)).await?)
    }

    /// Cancels a job. The state returned is final: cancelled, or done if the
    /// job was done before.
    pub async fn cancel(&self, id: &str) -> Result<JobStatus, Failure> {
        if !is_valid_job_id(id) {
            return Err(Failure::NoSuchJob);
        }
        let path = format!("/v1/jobs/{id}/abort");
        job_status(&self.request(&path, None).await?)
    }

    /// Asks once for the state of a job. After [`Failure::GivenUp`], it can be
    /// asked again later.
    pub async fn poll(&self, id: &str) -> Result<JobStatus, Failure> {
        if !is_valid_job_id(id) {
            return Err(Failure::NoSuchJob);
        }
        let path = format!("/v1/jobs/{id}");
        let (_, answer) = self.attempt(Method::Get, &path, None, POLL_TIMEOUT).await;
        match answer {
            Ok(answer) if answer.status == 200 => job_status(&answer),
            Ok(answer) if answer.status == 404 => Err(Failure::NoSuchJob),
            Ok(answer) => Err(Failure::GivenUp {
                last: describe(&answer),
            }),
            Err(last) => Err(Failure::GivenUp { last }),
        }
    }

    /// Polls until the state of a job is final; `on_change` is given each
    /// status that differs from the one before.
    pub async fn wait(
        &self,
        id: &str,
        interval: Duration,
        mut on_change: impl FnMut(&JobStatus),
    ) -> Result<JobStatus, Failure> {
        let mut last: Option<JobStatus> = None;
        loop {
            match self.poll(id).await {
                Ok(status) => {
                    if last.as_ref() != Some(&status) {
                        on_change(&status);
                    }
                    if status.state.is_final() {
                        return Ok(status);
                    }
                    last = Some(status);
                }
                Err(Failure::GivenUp { .. }) => {}
                Err(e) => return Err(e),
            }
            Timer::after(interval).await;
        }
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Repeats a request until it is answered for good or given up.
    async fn request(&self, path: &str, body: Option<Vec<u8>>) -> Result<Answer, Failure> {
        let mut schedule = RetrySchedule::new(self.rules.clone(), self.now());
        loop {
            let timeout = Duration::from_millis(schedule.timeout(self.now()));
            let (attempt, answer) = self
                .attempt(Method::Post, path, body.clone(), timeout)
                .await;
            let decision = schedule.decide(&attempt, self.now(), fastrand::f64());
            let last = match (&decision, answer) {
                (Decision::Done, Ok(answer)) => return Ok(answer),
                (Decision::Refused, Ok(answer)) => return Err(refusal(&answer)),
                (_, Ok(answer)) => describe(&answer),
                (_, Err(e)) => e,
            };
            match decision {
                Decision::Retry { at } => {
                    let pause = at.saturating_sub(self.now());
                    Timer::after(Duration::from_millis(pause)).await;
                }
                Decision::GiveUp {
                    outcome_unknown: true,
                } => return Err(Failure::Unknown { last }),
                _ => return Err(Failure::GivenUp { last }),
            }
        }
    }

    /// Makes a request once, at the node whose turn it is. The error is text
    /// for people; the [`Attempt`] is what decisions are made from.
    async fn attempt(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> (Attempt, Result<Answer, String>) {
        let node = self.selector.borrow_mut().choose(self.now());
        let Some(addr) = self.nodes.get(node).copied() else {
            return (Attempt::NotSent, Err("no address is known".into()));
        };
        let result = self.http.call(addr, method, path, body, timeout).await;
        let attempt = Attempt::from(&result);
        self.selector
            .borrow_mut()
            .record(node, &attempt, self.now());
        (attempt, result.map_err(|e| format!("{addr}: {e}")))
    }
}

impl From<&Result<Answer, CallError>> for Attempt {
    fn from(result: &Result<Answer, CallError>) -> Self {
        match result {
            Ok(answer) => Attempt::Answered {
                status: answer.status,
                retry_after_s: answer.retry_after_s,
            },
            Err(CallError::NotSent(_)) => Attempt::NotSent,
            Err(CallError::NoAnswer(_) | CallError::TooLong) => Attempt::NoAnswer,
        }
    }
}

fn refusal(answer: &Answer) -> Failure {
    match answer.status {
        404 => Failure::NoSuchJob,
        status => Failure::Refused {
            status,
            why: error_text(&answer.body),
        },
    }
}

fn describe(answer: &Answer) -> String {
    format!("status {}: {}", answer.status, error_text(&answer.body))
}

fn error_text(body: &[u8]) -> String {
    serde_json::from_slice::<serde_json::Value>(body)
        .ok()
        .and_then(|v| v.get("error")?.as_str().map(str::to_owned))
        .unwrap_or_else(|| "no reason given".into())
}

fn job_status(answer: &Answer) -> Result<JobStatus, Failure> {
    /// A status whose counts may be missing, as after a submission.
    #[derive(serde::Deserialize)]
    struct StatusBody {
        #[serde(rename = "ref")]
        id: String,
        #[serde(rename = "stage")]
        state: JobState,
        #[serde(default)]
        done: u32,
        #[serde(default)]
        running: u32,
    }
    serde_json::from_slice::<StatusBody>(&answer.body)
        .map(|body| JobStatus {
            id: body.id,
            state: body.state,
            done: body.done,
            running: body.running,
        })
        .map_err(|e| Failure::Unknown {
            last: format!("an answer that can't be read: {e}"),
        })
}
