//! Client of pathwinch: what users and operators ask, with the rules of when
//! to ask again (`retry`).

pub mod operator;
pub mod retry;

use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::users::{JobSpec, JobState, JobStatus, is_valid_job_id};
use pathwinch_transport::client::{Answer, CallError, Client as Http};
use retry::{Attempt, Ladder, Next, Rules, Turns};
use std::{
    cell::RefCell,
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Connections kept open between requests.
const KEPT: usize = 64;
/// How long a poll waits for its answer.
const POLL: Duration = Duration::from_secs(2);

/// Why there is no answer that counts.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// Refused for good: 400 or 422, with the reason given.
    Refused { status: u16, why: String },
    /// There is no such job.
    NoSuchJob,
    /// Given up after repeated attempts; nothing was done.
    GivenUp { last: String },
    /// Given up, and an attempt may have taken effect or may still do so:
    /// the same request can be made again, under the same id.
    Unknown { last: String },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused { status, why } => write!(f, "refused ({status}): {why}"),
            Failure::NoSuchJob => write!(f, "no such job"),
            Failure::GivenUp { last } => write!(f, "given up, nothing was done: {last}"),
            Failure::Unknown { last } => {
                write!(f, "given up, but it may have been done: {last}")
            }
        }
    }
}

impl std::error::Error for Failure {}

pub struct Client {
    nodes: Vec<SocketAddr>,
    rules: Rules,
    http: Http,
    turns: RefCell<Turns>,
    start: Instant,
}

fn error_in(body: &[u8]) -> String {
    serde_json::from_slice::<serde_json::Value>(body)
        .ok()
        .and_then(|v| v.get("error")?.as_str().map(str::to_owned))
        .unwrap_or_else(|| "no reason given".into())
}

impl Client {
    /// `nodes`: addresses at which controllers, or a balancer before them,
    /// listen for users. There must be at least one.
    pub fn new(nodes: Vec<SocketAddr>, rules: Rules) -> Self {
        let first = fastrand::usize(..nodes.len().max(1));
        Client {
            turns: RefCell::new(Turns::new(nodes.len(), first)),
            nodes,
            rules,
            http: Http::new(KEPT),
            start: Instant::now(),
        }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    async fn attempt(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> (Attempt, Result<Answer, String>) {
        let node = self.turns.borrow_mut().choose(self.now());
        let Some(addr) = self.nodes.get(node).copied() else {
            return (Attempt::NotSent, Err("no address is known".into()));
        };
        let (attempt, answer) = match self.http.call(addr, method, path, body, limit).await {
            Ok(answer) => {
                let attempt = Attempt::Answered {
                    status: answer.status,
                    retry_after_s: answer.retry_after_s,
                };
                (attempt, Ok(answer))
            }
            Err(e @ CallError::NotSent(_)) => (Attempt::NotSent, Err(format!("{addr}: {e}"))),
            Err(e) => (Attempt::NoAnswer, Err(format!("{addr}: {e}"))),
        };
        self.turns.borrow_mut().ended(node, &attempt, self.now());
        (attempt, answer)
    }

    /// Makes a request until it is answered for good or given up.
    async fn request(&self, path: &str, body: Option<Vec<u8>>) -> Result<Answer, Failure> {
        let mut ladder = Ladder::new(self.rules.clone(), self.now());
        loop {
            let limit = Duration::from_millis(ladder.patience(self.now()));
            let (attempt, answer) = self.attempt(Method::Post, path, body.clone(), limit).await;
            let next = ladder.ended(&attempt, self.now(), fastrand::f64());
            let last = match (&next, answer) {
                (Next::Done, Ok(answer)) => return Ok(answer),
                (Next::Refused, Ok(a)) if a.status == 404 => return Err(Failure::NoSuchJob),
                (Next::Refused, Ok(a)) => {
                    return Err(Failure::Refused {
                        status: a.status,
                        why: error_in(&a.body),
                    });
                }
                (_, Ok(a)) => format!("status {}: {}", a.status, error_in(&a.body)),
                (_, Err(e)) => e,
            };
            match next {
                Next::Again { at } => {
                    let pause = at.saturating_sub(self.now());
                    Timer::after(Duration::from_millis(pause)).await;
                }
                Next::GivenUp { unknown: true } => return Err(Failure::Unknown { last }),
                _ => return Err(Failure::GivenUp { last }),
            }
        }
    }

    fn status_in(answer: &Answer) -> Result<JobStatus, Failure> {
        // Acceptances carry no counts.
        #[derive(serde::Deserialize)]
        struct Told {
            #[serde(rename = "ref")]
            id: String,
            #[serde(rename = "stage")]
            state: JobState,
            #[serde(default)]
            done: u32,
            #[serde(default)]
            running: u32,
        }
        serde_json::from_slice::<Told>(&answer.body)
            .map(|t| JobStatus {
                id: t.id,
                state: t.state,
                done: t.done,
                running: t.running,
            })
            .map_err(|e| Failure::Unknown {
                last: format!("an answer that can't be read: {e}"),
            })
    }

    /// Submits a job; one that is known already is answered with its state.
    pub async fn submit(&self, spec: &JobSpec) -> Result<JobStatus, Failure> {
        let body = serde_json::to_vec(spec).map_err(|e| Failure::Refused {
            status: 400,
            why: e.to_string(),
        })?;
        Self::status_in(&self.request("/v1/jobs", Some(body)).await?)
    }

    /// Withdraws a job. The state returned is final: cancelled, or done if it
    /// was done before.
    pub async fn withdraw(&self, id: &str) -> Result<JobStatus, Failure> {
        if !is_valid_job_id(id) {
            return Err(Failure::NoSuchJob);
        }
        let path = format!("/v1/jobs/{id}/abort");
        Self::status_in(&self.request(&path, None).await?)
    }

    /// Asks once. `GivenUp`: to be asked again later.
    pub async fn poll(&self, id: &str) -> Result<JobStatus, Failure> {
        if !is_valid_job_id(id) {
            return Err(Failure::NoSuchJob);
        }
        let path = format!("/v1/jobs/{id}");
        match self.attempt(Method::Get, &path, None, POLL).await.1 {
            Ok(a) if a.status == 200 => Self::status_in(&a),
            Ok(a) if a.status == 404 => Err(Failure::NoSuchJob),
            Ok(a) => Err(Failure::GivenUp {
                last: format!("status {}: {}", a.status, error_in(&a.body)),
            }),
            Err(last) => Err(Failure::GivenUp { last }),
        }
    }

    /// Polls until the job is over, telling each state that is new.
    pub async fn wait(
        &self,
        id: &str,
        every: Duration,
        mut told: impl FnMut(&JobStatus),
    ) -> Result<JobStatus, Failure> {
        let mut last: Option<JobStatus> = None;
        loop {
            match self.poll(id).await {
                Ok(status) => {
                    if last.as_ref() != Some(&status) {
                        told(&status);
                    }
                    if status.state.is_final() {
                        return Ok(status);
                    }
                    last = Some(status);
                }
                Err(Failure::GivenUp { .. }) => {}
                Err(e) => return Err(e),
            }
            Timer::after(every).await;
        }
    }
}
