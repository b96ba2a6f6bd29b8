//! HTTP client for users: submits, polls and cancels jobs at any controller.
//!
//! [`Client`] sends each attempt to the node that the node selector chooses and
//! retries as the [`RetryPolicy`] says.

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

/// Number of idle HTTP connections that a client keeps open.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Timeout of a single poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the HTTP interface for users.
pub struct Client {
    nodes: Vec<SocketAddr>,
    retry_policy: RetryPolicy,
    http: HttpClient,
    selector: RefCell<NodeSelector>,
    created_at: Instant,
}

impl Client {
    /// Creates a client for `nodes`, the addresses at which controllers, or a
    /// load balancer in front of them, listen for users. At least one address
    /// is required. The first node is chosen at random.
    pub fn new(nodes: Vec<SocketAddr>, retry_policy: RetryPolicy) -> Self {
        let first = fastrand::usize(..nodes.len().max(1));
        Client {
            selector: RefCell::new(NodeSelector::new(nodes.len(), first)),
            nodes,
            retry_policy,
            http: HttpClient::new(MAX_IDLE_CONNECTIONS),
            created_at: Instant::now(),
        }
    }

    /// Submits a job. The call is idempotent: for a job that was submitted
    /// before, it returns the job's current state.
    pub async fn submit(&self, spec: &JobSpec) -> Result<JobStatus, Failure> {
        let body = serde_json::to_vec(spec).map_err(|e| Failure::Refused {
            status: 400,
            reason: e.to_string(),
        })?;
        job_status(&self.request("/v1/jobs", Some(body)).await?)
    }

    /// Cancels a job. The returned state is final: cancelled, or done if the
    /// job was completed before the cancellation.
    pub async fn cancel(&self, id: &str) -> Result<JobStatus, Failure> {
        if !is_valid_job_id(id) {
            return Err(Failure::NoSuchJob);
        }
        let path = format!("/v1/jobs/{id}/abort");
        job_status(&self.request(&path, None).await?)
    }

    /// Queries the state of a job once, without retries. After
    /// [`Failure::GivenUp`] the caller may poll again later.
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

    /// Polls every `interval` until the state of a job is final. Calls
    /// `on_change` with each status that differs from the previous one.
    /// Attempts that end with [`Failure::GivenUp`] are repeated without limit.
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
        self.created_at.elapsed().as_millis() as Millis
    }

    /// Sends a POST request and retries it until it has a final response or the
    /// retry schedule gives up.
    async fn request(&self, path: &str, body: Option<Vec<u8>>) -> Result<Answer, Failure> {
        let mut schedule = RetrySchedule::new(self.retry_policy.clone(), self.now());
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

    /// Sends a request once, to the node that the selector chooses. The error
    /// text is for display only; retry decisions are based on the [`Attempt`].
    async fn attempt(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> (Attempt, Result<Answer, String>) {
        let node = self.selector.borrow_mut().choose(self.now());
        let Some(addr) = self.nodes.get(node).copied() else {
            return (
                Attempt::NotSent,
                Err("no controller address is configured".into()),
            );
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

/// Converts a response that rejects the request permanently.
fn refusal(answer: &Answer) -> Failure {
    match answer.status {
        404 => Failure::NoSuchJob,
        status => Failure::Refused {
            status,
            reason: error_text(&answer.body),
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
        .unwrap_or_else(|| "the response gives no reason".into())
}

fn job_status(answer: &Answer) -> Result<JobStatus, Failure> {
    /// Job status in a response body. The counts are optional because the
    /// response to a submission has none.
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
            last: format!("response body is not a job status: {e}"),
        })
}
