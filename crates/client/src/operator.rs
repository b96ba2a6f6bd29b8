//! What operators ask one controller, at the address where it listens for
//! other controllers (`back` in the settings).

use pathwinch_protocol::{
    peers::{Reply, Request},
    status::Explanation,
};
use pathwinch_transport::frames::PeerClient;
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_NO_SUCH_JOB: u8 = 4;

/// Why there is no answer, in one line.
#[derive(Debug, PartialEq, Error)]
pub enum Failure {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// The controller can't be reached, or can't answer now.
    #[error("{0}")]
    Unreachable(String),
    /// There is no such job.
    #[error("{0}")]
    NoSuchJob(String),
}

impl Failure {
    /// The exit code of a command that failed this way.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Usage(_) => EXIT_USAGE,
            Failure::Unreachable(_) => EXIT_UNREACHABLE,
            Failure::NoSuchJob(_) => EXIT_NO_SUCH_JOB,
        }
    }

    /// The line for the operator, as by `Display`.
    pub fn text(&self) -> &str {
        match self {
            Failure::Usage(text) | Failure::Unreachable(text) | Failure::NoSuchJob(text) => text,
        }
    }
}

/// The state of the cluster as the controller at `at` knows it, as text or as
/// JSON.
pub fn status(at: &str, as_json: bool) -> Result<String, Failure> {
    match request(at, &Request::Status)? {
        Reply::Status(status) if as_json => Ok(json(&status)),
        Reply::Status(status) => Ok(status.text()),
        _ => Err(unexpected_reply()),
    }
}

/// Why a job is in its state, as text or as JSON.
pub fn explain(at: &str, job: &str, as_json: bool) -> Result<String, Failure> {
    let explain = Request::Explain {
        id: job.to_owned(),
        forwarded: false,
    };
    let Reply::Explained(explanation) = request(at, &explain)? else {
        return Err(unexpected_reply());
    };
    match &explanation {
        Explanation::NoSuchJob => Err(Failure::NoSuchJob(format!("no job {job:?}"))),
        Explanation::Unknown(why) => Err(Failure::Unreachable(why.clone())),
        _ if as_json => Ok(json(&explanation)),
        Explanation::Job(job) => Ok(job.text()),
        Explanation::Over { state, done } => Ok(format!("{job}: {state}, {done} tasks done\n")),
    }
}

fn request(at: &str, request: &Request) -> Result<Reply, Failure> {
    let addr: SocketAddr = at.parse().map_err(|_| {
        Failure::Usage(format!("--at: {at:?} is not an address like 10.0.0.1:8081"))
    })?;
    let client = PeerClient::default();
    async_io::block_on(client.call(addr, request, REQUEST_TIMEOUT)).map_err(|e| {
        Failure::Unreachable(format!("no controller answers at {addr} (its `back`): {e}"))
    })
}

fn unexpected_reply() -> Failure {
    Failure::Unreachable("the controller gave an answer of another kind".into())
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
