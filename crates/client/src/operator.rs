//! What operators ask from the command line, of any controller's `back`.

use pathwinch_protocol::{
    peers::{Reply, Request},
    status::Explanation,
};
use pathwinch_transport::frames::PeerClient;
use std::{net::SocketAddr, time::Duration};

const LIMIT: Duration = Duration::from_secs(3);

/// Why there is no answer, in one line; the exit code goes with it.
#[derive(Debug, PartialEq)]
pub enum Failure {
    /// 2: the command line is wrong.
    Usage(String),
    /// 3: the controller can't be reached, or knows nothing now.
    Unreachable(String),
    /// 4: there is no such job.
    NoSuchJob(String),
}

impl Failure {
    pub fn code(&self) -> u8 {
        match self {
            Failure::Usage(_) => 2,
            Failure::Unreachable(_) => 3,
            Failure::NoSuchJob(_) => 4,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Failure::Usage(t) | Failure::Unreachable(t) | Failure::NoSuchJob(t) => t,
        }
    }
}

fn ask(at: &str, request: &Request) -> Result<Reply, Failure> {
    let addr: SocketAddr = at.parse().map_err(|_| {
        Failure::Usage(format!("--at: {at:?} is not an address like 10.0.0.1:8081"))
    })?;
    async_io::block_on(PeerClient::default().call(addr, request, LIMIT)).map_err(|e| {
        Failure::Unreachable(format!("no controller answers at {addr} (its `back`): {e}"))
    })
}

fn unexpected() -> Failure {
    Failure::Unreachable("the controller gave an answer of another kind".into())
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

pub fn status(at: &str, as_json: bool) -> Result<String, Failure> {
    match ask(at, &Request::Status)? {
        Reply::Status(s) if as_json => Ok(json(&s)),
        Reply::Status(s) => Ok(s.text()),
        _ => Err(unexpected()),
    }
}

pub fn explain(at: &str, job: &str, as_json: bool) -> Result<String, Failure> {
    let request = Request::Explain {
        id: job.to_owned(),
        forwarded: false,
    };
    let Reply::Explained(answer) = ask(at, &request)? else {
        return Err(unexpected());
    };
    match &answer {
        Explanation::NoSuchJob => Err(Failure::NoSuchJob(format!("no job {job:?}"))),
        Explanation::Unknown(why) => Err(Failure::Unreachable(why.clone())),
        _ if as_json => Ok(json(&answer)),
        Explanation::Job(job) => Ok(job.text()),
        Explanation::Over { state, done } => Ok(format!("{job}: {state}, {done} tasks done\n")),
    }
}
