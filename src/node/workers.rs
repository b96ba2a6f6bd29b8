//! Reports of workers: answered by the leader, and relayed to it for workers
//! that can't reach it themselves.

use super::Node;
use crate::{
    coordination::reach::Foreman,
    protocol::{
        peers::{Reply, Request},
        workers::Report,
    },
    transport::server::{HttpResponse, JSON},
};
use std::{rc::Rc, time::Duration};

const RELAY: Duration = Duration::from_millis(800);

/// Sends a worker to another node; without a name it tries the next one.
fn elsewhere(name: Option<&str>) -> HttpResponse {
    match name {
        Some(name) => HttpResponse::json(421, &serde_json::json!({ "foreman": name })),
        None => HttpResponse::json(421, &serde_json::json!({})),
    }
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
        let now = self.now();
        let foreman = self.reach.borrow_mut().foreman(self.leader_peer(), now);
        let name = |peer: usize| Some(self.settings.peers[peer].name.as_str());
        let leader = match foreman {
            Foreman::Leads(leader) => leader,
            Foreman::Answers(other) => return elsewhere(name(other)),
            Foreman::Next => return elsewhere(None),
        };
        if !self.relays.borrow_mut().relays(&report.machine, now) {
            return elsewhere(name(leader));
        }
        // The leader's network to the workers may be cut while ours is not.
        let request = Request::Forward {
            method: "POST".into(),
            path: super::BEAT.into(),
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
            _ => elsewhere(None),
        }
    }

    /// `None`: this node doesn't lead.
    pub(super) fn beat_here(&self, report: &Report) -> Option<HttpResponse> {
        let reply = self.acting(|l, now| l.on_beat(report, now))??;
        self.last_beat.set(self.now());
        Some(HttpResponse::json(200, &reply))
    }
}
