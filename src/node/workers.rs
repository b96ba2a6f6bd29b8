//! Reports of workers: answered by the leader, and relayed to it for workers
//! that can't reach it themselves.

use super::{Node, users::FORWARD};
use crate::{
    bookkeeping::Ms,
    protocol::{
        peers::{Reply, Request},
        workers::Report,
    },
    transport::server::HttpResponse,
};
use std::rc::Rc;

/// A worker that was sent to the leader and is back within this time could
/// not reach it.
const BOUNCED: Ms = 12_000;
/// For how long its reports are then relayed before it is sent there again.
const RELAY: Ms = 30_000;
const MAX_BOUNCES: usize = 2000;

/// What a node that doesn't lead remembers of a worker.
#[derive(Clone, Copy, Default)]
pub(super) struct Bounce {
    sent_away: Ms,
    relay_until: Ms,
}

impl Node {
    pub(super) async fn beat(self: &Rc<Self>, body: Option<Vec<u8>>) -> HttpResponse {
        let Some(body) = body else {
            return HttpResponse::error(400, "body is incomplete or over 64 KiB");
        };
        let report: Report = match serde_json::from_slice(&body) {
            Ok(r) => r,
            Err(e) => return HttpResponse::error(400, &e.to_string()),
        };
        if let Some(answer) = self.beat_here(&report) {
            return answer;
        }
        let seen = self.election.borrow().seen.clone();
        let leader = seen.and_then(|(name, _)| {
            let peer = self.settings.peers.iter().find(|p| p.name == name)?;
            Some((name, peer.addr))
        });
        let Some((name, addr)) = leader else {
            return HttpResponse::json(421, &serde_json::json!({}));
        };
        if !self.relays(&report.machine) {
            return HttpResponse::json(421, &serde_json::json!({ "foreman": name }));
        }
        // The leader's network to the workers may be cut while ours is not.
        let request = Request::Forward {
            method: "POST".into(),
            path: super::BEAT.into(),
            body,
        };
        match self.peers.call(addr, &request, FORWARD).await {
            Ok(Reply::Forwarded {
                status: 200, body, ..
            }) => HttpResponse {
                status: 200,
                retry_after_s: None,
                body,
            },
            _ => HttpResponse::json(421, &serde_json::json!({})),
        }
    }

    /// `None`: this node doesn't lead.
    pub(super) fn beat_here(&self, report: &Report) -> Option<HttpResponse> {
        let reply = self.acting(|l, now| l.on_beat(report, now))??;
        self.last_beat.set(self.now());
        Some(HttpResponse::json(200, &reply))
    }

    /// The leader asks for the reports of these machines.
    pub(super) fn relay_for(&self, machines: &[String], for_ms: Ms) {
        let until = self.now() + for_ms.min(RELAY);
        let mut bounces = self.bounces.borrow_mut();
        for m in machines.iter().take(MAX_BOUNCES / 2) {
            let b = bounces.entry(m.clone()).or_default();
            b.relay_until = b.relay_until.max(until);
        }
    }

    /// Whether this worker's reports are to be relayed; notes that it is sent
    /// to the leader if not.
    fn relays(&self, machine: &str) -> bool {
        let now = self.now();
        let mut bounces = self.bounces.borrow_mut();
        if bounces.len() >= MAX_BOUNCES {
            bounces.clear();
        }
        let b = bounces.entry(machine.to_owned()).or_default();
        if now < b.relay_until {
            return true;
        }
        let back = b.sent_away > 0 && now < b.sent_away + BOUNCED && now > b.sent_away + 1500;
        if back && b.relay_until < b.sent_away {
            b.relay_until = now + RELAY;
            return true;
        }
        b.sent_away = now;
        false
    }
}
