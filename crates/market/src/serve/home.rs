//! The broker's side of the controllers: whoever leads is asked over `back`.

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

const LIMIT: Duration = Duration::from_secs(3);

pub struct Home {
    nodes: Vec<SocketAddr>,
    /// Who led when last asked.
    leader: Cell<usize>,
    peers: PeerClient,
}

impl Home {
    pub fn new(settings: &Settings) -> Self {
        let others = settings.peers.iter().map(|p| p.addr);
        Home {
            nodes: std::iter::once(settings.peer_listen)
                .chain(others)
                .collect(),
            leader: Cell::new(0),
            peers: PeerClient::default(),
        }
    }

    /// Asks whoever leads. `None`: nobody who leads answered; a request that
    /// changes something may have been carried out.
    pub async fn ask(&self, request: &Request) -> Option<Reply> {
        let first = self.leader.get();
        for n in 0..self.nodes.len() {
            let node = (first + n) % self.nodes.len();
            match self.peers.call(self.nodes[node], request, LIMIT).await {
                Ok(Reply::NotLeader) | Err(_) => {}
                Ok(reply) => {
                    self.leader.set(node);
                    return Some(reply);
                }
            }
        }
        None
    }
}

pub fn waiting(l: OffloadCandidate) -> WaitingJob {
    let s = l.spec;
    WaitingJob {
        job: s.id,
        class: s.class,
        team: s.team,
        kind: match s.kind {
            users::Kind::Array => Kind::Array,
            users::Kind::Gang => Kind::Gang,
            users::Kind::Service => Kind::Service,
        },
        tasks: s.tasks,
        done: Ranges(l.done),
        slot: Slot {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
        },
        image: s.image,
        image_gb: s.image_gb,
        estimate_s: s.estimate_s,
        waited_ms: l.waited_ms,
        left_ms: l.left_ms,
        here_ms: l.here_ms,
        rent: l.rent,
        // Only what could be offloaded is told of.
        placed: 0,
        kept: l.kept,
    }
}
