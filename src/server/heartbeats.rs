//! Heartbeats of workers: the leader answers them; other nodes relay them to the leader
//! for workers that can't reach it.
//!
//! This module owns the time at which this node last answered a heartbeat, and the set
//! of workers whose heartbeats it relays. It is called by the HTTP dispatch and, for
//! relayed heartbeats, by `server::peers`.
//!
//! Invariants: a heartbeat is answered only with authority. A worker is never
//! redirected to an unresponsive node.

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

/// Timeout of a heartbeat that is relayed to the leader.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// State of the heartbeats that arrive at this node.
#[derive(Default)]
pub(super) struct Heartbeats {
    /// When this node last answered a heartbeat as leader.
    pub(super) last_answered: Cell<Millis>,
    /// Workers whose heartbeats are relayed to the leader.
    pub(super) relays: RefCell<HeartbeatRelays>,
}

impl Node {
    /// Answers a heartbeat, relays it to the leader, or redirects the worker to another
    /// node.
    pub(super) async fn handle_heartbeat(self: &Rc<Self>, body: Option<Vec<u8>>) -> HttpResponse {
        let Some(body) = body else {
            return HttpResponse::error(400, "request body is incomplete or larger than 64 KiB");
        };
        let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return HttpResponse::error(400, &e.to_string()),
        };
        if let Some(answer) = self.answer_heartbeat(&heartbeat) {
            return answer;
        }
        let now = self.now();
        let has_leadership = self.election.borrow().leadership().is_some();
        let target = match has_leadership {
            // This node leads but can't answer now, for instance because its authority
            // has lapsed. The worker returns to this node soonest if it chooses the
            // next controller itself.
            true => RedirectTarget::Any,
            false => self
                .failure_detector
                .borrow_mut()
                .redirect_target(self.leader_peer(), now),
        };
        log::debug!(
            "heartbeat of worker {} is not answered here: target {target:?}",
            heartbeat.machine
        );
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
        // The leader may be unreachable from this worker only, so the heartbeat is
        // relayed.
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
            // The worker is redirected to a healthy node rather than left to try the
            // next controller, which may be unresponsive.
            _ => {
                let other = self
                    .failure_detector
                    .borrow_mut()
                    .redirect_target(None, self.now());
                self.redirect_worker(other)
            }
        }
    }

    /// Returns the response that redirects a worker to another node.
    fn redirect_worker(&self, target: RedirectTarget) -> HttpResponse {
        match target {
            RedirectTarget::Leader(peer) | RedirectTarget::Healthy(peer) => {
                let name = &self.settings.peers[peer].name;
                HttpResponse::json(421, &serde_json::json!({ "foreman": name }))
            }
            RedirectTarget::Any => HttpResponse::json(421, &serde_json::json!({})),
        }
    }

    /// Answers a heartbeat as leader. Returns `None` if this node has no authority or
    /// the leader's state yields no answer.
    pub(super) fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> Option<HttpResponse> {
        let reply = self.with_authority(|leader, now| leader.on_heartbeat(heartbeat, now))??;
        self.heartbeats.last_answered.set(self.now());
        Some(HttpResponse::json(200, &reply))
    }
}
