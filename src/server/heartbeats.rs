//! Heartbeats of workers: answered by the leader, and relayed to it for workers
//! that can't reach it themselves.
//!
//! Owns: when this node last answered a heartbeat, and which workers it relays.
//! Called by the HTTP dispatch and, for relayed heartbeats, by `server::peers`.
//!
//! Must never: answer a heartbeat without authority, or redirect a worker to an
//! unresponsive node.

use super::Node;
use crate::{
    control::{failure_detector::RedirectTarget, heartbeat_relay::HeartbeatRelays},
    protocol::{
        peers::{Reply, Request},
        workers::Heartbeat,
    },
    state::Millis,
    transport::server::{HttpResponse, JSON},
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

/// How long the leader may take to answer a relayed heartbeat.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Heartbeats of workers at this node.
#[derive(Default)]
pub(super) struct Heartbeats {
    /// When this node last answered one as leader.
    pub(super) last_answered: Cell<Millis>,
    /// Workers whose heartbeats are relayed to the leader.
    pub(super) relays: RefCell<HeartbeatRelays>,
}

impl Node {
    /// Answers a heartbeat, relays it, or redirects the worker.
    pub(super) async fn handle_heartbeat(self: &Rc<Self>, body: Option<Vec<u8>>) -> HttpResponse {
        let Some(body) = body else {
            return HttpResponse::error(400, "body is incomplete or over 64 KiB");
        };
        let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return HttpResponse::error(400, &e.to_string()),
        };
        if let Some(answer) = self.answer_heartbeat(&heartbeat) {
            return answer;
        }
        let now = self.now();
        let leads = self.election.borrow().leadership().is_some();
        let target = match leads {
            // Its authority has ended for the moment: workers return soonest if they
            // choose the next controller themselves.
            true => RedirectTarget::Any,
            false => self
                .failure_detector
                .borrow_mut()
                .redirect_target(self.leader_peer(), now),
        };
        log::debug!("heartbeat of {}: {target:?}", heartbeat.machine);
        let RedirectTarget::Leader(leader) = target else {
            return self.redirect_worker(target);
        };
        if !self
            .heartbeats
            .relays
            .borrow_mut()
            .should_relay(&heartbeat.machine, now)
        {
            return self.redirect_worker(target);
        }
        // The leader may be unreachable for this worker alone.
        let request = Request::Forward {
            method: "POST".into(),
            path: super::HEARTBEAT_PATH.into(),
            body,
        };
        match self.call_peer(leader, &request, RELAY_TIMEOUT).await {
            Ok(Reply::Forwarded {
                status: 200, body, ..
            }) => HttpResponse {
                status: 200,
                retry_after_s: None,
                content: JSON,
                body,
            },
            // Not to whichever controller it tries next, which may be unresponsive.
            _ => {
                let other = self
                    .failure_detector
                    .borrow_mut()
                    .redirect_target(None, self.now());
                self.redirect_worker(other)
            }
        }
    }

    /// Redirects a worker to another node.
    fn redirect_worker(&self, target: RedirectTarget) -> HttpResponse {
        match target {
            RedirectTarget::Leader(peer) | RedirectTarget::Healthy(peer) => {
                let name = &self.settings.peers[peer].name;
                HttpResponse::json(421, &serde_json::json!({ "foreman": name }))
            }
            RedirectTarget::Any => HttpResponse::json(421, &serde_json::json!({})),
        }
    }

    /// Answers a heartbeat as leader. `None`: this node may not act.
    pub(super) fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> Option<HttpResponse> {
        let reply = self.with_authority(|leader, now| leader.on_heartbeat(heartbeat, now))??;
        self.heartbeats.last_answered.set(self.now());
        Some(HttpResponse::json(200, &reply))
    }
}
