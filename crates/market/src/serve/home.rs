//! Client of the home cluster's controllers: sends requests to the leader over
//! the peer protocol.

use crate::{
    lending::{Kind, WaitingJob},
    ranges::Ranges,
    wire::Slot,
};
use pathwinch_protocol::{
    market::OffloadCandidate,
    peers::{Reply, Request},
    settings::Settings,
    users,
};
use pathwinch_transport::frames::PeerClient;
use std::{cell::Cell, net::SocketAddr, time::Duration};

/// Time-out of one request to one controller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The controllers of the home cluster.
pub struct Home {
    controllers: Vec<SocketAddr>,
    /// Index of the controller that last answered as the leader.
    leader: Cell<usize>,
    peers: PeerClient,
}

impl Home {
    pub fn new(settings: &Settings) -> Self {
        let others = settings.peers.iter().map(|p| p.addr);
        Home {
            controllers: std::iter::once(settings.peer_listen)
                .chain(others)
                .collect(),
            leader: Cell::new(0),
            peers: PeerClient::default(),
        }
    }

    /// Sends a request to the leader, trying each controller in turn. `None`: no
    /// leader answered; a request that changes state may have been executed.
    pub async fn ask(&self, request: &Request) -> Option<Reply> {
        let first = self.leader.get();
        for offset in 0..self.controllers.len() {
            let index = (first + offset) % self.controllers.len();
            match self
                .peers
                .call(self.controllers[index], request, REQUEST_TIMEOUT)
                .await
            {
                Ok(Reply::NotLeader) | Err(_) => {}
                Ok(reply) => {
                    self.leader.set(index);
                    return Some(reply);
                }
            }
        }
        None
    }
}

/// Converts the leader's description of a job that could be offloaded.
pub fn waiting_job(candidate: OffloadCandidate) -> WaitingJob {
    let spec = candidate.spec;
    WaitingJob {
        job: spec.id,
        class: spec.class,
        team: spec.team,
        kind: match spec.kind {
            users::Kind::Array => Kind::Array,
            users::Kind::Gang => Kind::Gang,
            users::Kind::Service => Kind::Service,
        },
        tasks: spec.tasks,
        done: Ranges(candidate.done),
        slot: Slot {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        },
        image: spec.image,
        image_gb: spec.image_gb,
        estimate_s: spec.estimate_s,
        waited_ms: candidate.waited_ms,
        left_ms: candidate.left_ms,
        here_ms: candidate.here_ms,
        rent: candidate.rent,
        // The leader reports only jobs that have no task on a machine.
        placed: 0,
        kept: candidate.kept,
    }
}
