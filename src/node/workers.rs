//! Reports of workers.

use super::Node;
use crate::{protocol::workers::Report, transport::server::HttpResponse};
use std::rc::Rc;

impl Node {
    pub(super) fn beat(self: &Rc<Self>, body: Option<Vec<u8>>) -> HttpResponse {
        let Some(body) = body else {
            return HttpResponse::error(400, "body is incomplete or over 64 KiB");
        };
        let report: Report = match serde_json::from_slice(&body) {
            Ok(r) => r,
            Err(e) => return HttpResponse::error(400, &e.to_string()),
        };
        if let Some(Some(reply)) = self.acting(|l, now| l.on_beat(&report, now)) {
            return HttpResponse::json(200, &reply);
        }
        let seen = self.election.borrow().seen.clone();
        match seen {
            Some((name, _)) if name != self.settings.name => {
                HttpResponse::json(421, &serde_json::json!({ "foreman": name }))
            }
            _ => HttpResponse::json(421, &serde_json::json!({})),
        }
    }
}
