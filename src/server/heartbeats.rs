//! Reports of workers: answered by the leader, and relayed to it for workers
//! that can't reach it themselves.

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

const RELAY: Duration = Duration::from_millis(800);

/// Heartbeats of workers at this node.
#[derive(Default)]
pub(super) struct Heartbeats {
    /// When this node last answered one as leader.
    pub(super) last_answered: Cell<Millis>,
    /// Workers whose heartbeats are relayed to the leader.
    pub(super) relays: RefCell<HeartbeatRelays>,
}

impl Node {
    pub(super) async fn handle_heartbeat(self: &Rc<Self>, body: Option<Vec<u8>>) -> HttpResponse {
        let Some(body) = body else {
            return HttpResponse::error(400, "body is incomplete or over 64 KiB");
        };
        let report: Heartbeat = match serde_json::from_slice(&body) {
            Ok(r) => r,
            Err(e) => return HttpResponse::error(400, &e.to_string()),
        };
        if let Some(answer) = self.answer_heartbeat(&report) {
            return answer;
        }
        let now = self.now();
        let leads = self.election.borrow().leadership().is_some();
        let target = match leads {
            // It may not act just now: they are back soonest by themselves.
            true => RedirectTarget::Any,
            false => self
                .failure_detector
                .borrow_mut()
                .redirect_target(self.leader_peer(), now),
        };
        log::debug!("heartbeat of {}: {target:?}", report.machine);
        let RedirectTarget::Leader(leader) = target else {
            return self.redirect(target);
        };
        if !self
            .heartbeats
            .relays
            .borrow_mut()
            .should_relay(&report.machine, now)
        {
            return self.redirect(target);
        }
        // The leader's network to the workers may be cut while ours is not.
        let request = Request::Forward {
            method: "POST".into(),
            path: super::HEARTBEAT_PATH.into(),
            body,
        };
        match self.ask(leader, &request, RELAY).await {
            Ok(Reply::Forwarded {
                status: 200, body, ..
            }) => HttpResponse {
                status: 200,
                retry_after_s: None,
                content: JSON,
                body,
            },
            // Not to whichever it tries next: that may be a unresponsive node.
            _ => {
                let other = self
                    .failure_detector
                    .borrow_mut()
                    .redirect_target(None, self.now());
                self.redirect(other)
            }
        }
    }

    /// Sends a worker to another node.
    fn redirect(&self, to: RedirectTarget) -> HttpResponse {
        match to {
            RedirectTarget::Leader(p) | RedirectTarget::Healthy(p) => {
                let name = &self.settings.peers[p].name;
                HttpResponse::json(421, &serde_json::json!({ "foreman": name }))
            }
            RedirectTarget::Any => HttpResponse::json(421, &serde_json::json!({})),
        }
    }

    /// `None`: this node doesn't lead.
    pub(super) fn answer_heartbeat(&self, report: &Heartbeat) -> Option<HttpResponse> {
        let reply = self.acting(|l, now| l.on_heartbeat(report, now))??;
        self.heartbeats.last_answered.set(self.now());
        Some(HttpResponse::json(200, &reply))
    }
}
