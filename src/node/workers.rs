//! Reports of workers: answered by the leader, and relayed to it for workers
//! that can't reach it themselves.

use super::{Node, users::FORWARD};
use crate::{
    protocol::{
        peers::{Reply, Request},
        workers::Report,
    },
    transport::server::{HttpResponse, JSON},
};
use std::rc::Rc;

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
        let Some((addr, name)) = self.leader_addr() else {
            return HttpResponse::json(421, &serde_json::json!({}));
        };
        let now = self.now();
        if !self.relays.borrow_mut().relays(&report.machine, now) {
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
                content: JSON,
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
}
