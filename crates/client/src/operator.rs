//! Queries that an operator sends to one controller, at the address where the
//! controller listens for other controllers (`back` in the settings).

use pathwinch_protocol::{
    peers::{Reply, Request},
    status::Explanation,
};
use pathwinch_transport::frames::PeerClient;
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;

/// Timeout of one query, including the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_NO_SUCH_JOB: u8 = 4;

/// Error of a query, with a one-line message for the operator.
#[derive(Debug, PartialEq, Error)]
pub enum Failure {
    /// An argument on the command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The controller can't be reached, or can't answer the query at present.
    #[error("{0}")]
    Unreachable(String),
    /// The job does not exist.
    #[error("{0}")]
    NoSuchJob(String),
}

impl Failure {
    /// Returns the exit code of a command that fails with this error.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Usage(_) => EXIT_USAGE,
            Failure::Unreachable(_) => EXIT_UNREACHABLE,
            Failure::NoSuchJob(_) => EXIT_NO_SUCH_JOB,
        }
    }

    /// Returns the message for the operator, the same as `Display` prints.
    pub fn text(&self) -> &str {
        match self {
            Failure::Usage(text) | Failure::Unreachable(text) | Failure::NoSuchJob(text) => text,
        }
    }
}

/// Returns the cluster state as known to the controller at `address`,
/// formatted as text or JSON.
pub fn status(address: &str, as_json: bool) -> Result<String, Failure> {
    match request(address, &Request::Status)? {
        Reply::Status(status) if as_json => Ok(json(&status)),
        Reply::Status(status) => Ok(status.text()),
        _ => Err(unexpected_reply()),
    }
}

/// Returns why a job is in its current state, formatted as text or JSON.
pub fn explain(address: &str, job: &str, as_json: bool) -> Result<String, Failure> {
    let explain = Request::Explain {
        id: job.to_owned(),
        forwarded: false,
    };
    let Reply::Explained(explanation) = request(address, &explain)? else {
        return Err(unexpected_reply());
    };
    match &explanation {
        Explanation::NoSuchJob => Err(Failure::NoSuchJob(format!("job {job:?} does not exist"))),
        Explanation::Unknown(reason) => Err(Failure::Unreachable(reason.clone())),
        _ if as_json => Ok(json(&explanation)),
        Explanation::Job(job) => Ok(job.text()),
        Explanation::Over { state, done } => Ok(format!("{job}: {state}, {done} tasks done\n")),
    }
}

fn request(address: &str, request: &Request) -> Result<Reply, Failure> {
    let addr: SocketAddr = address.parse().map_err(|_| {
        Failure::Usage(format!(
            "--at: {address:?} is not an address like 10.0.0.1:8081"
        ))
    })?;
    let client = PeerClient::default();
    async_io::block_on(client.call(addr, request, REQUEST_TIMEOUT)).map_err(|e| {
        Failure::Unreachable(format!(
            "no controller answers at {addr} (its `back` address): {e}"
        ))
    })
}

fn unexpected_reply() -> Failure {
    Failure::Unreachable("the controller sent an unexpected reply".into())
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
