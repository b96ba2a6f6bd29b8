//! HTTP interfaces of the simulated state service and cloud.

use crate::{Millis, cloud::CloudError, installation::Testbed, state::Answer};
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::cloud::{MachineNames, MachineRequest, MachineTypes};
use pathwinch_transport::server::{HttpRequest, HttpResponse};
use serde_json::json;
use std::{collections::HashMap, rc::Rc, time::Duration};

/// Interval at which a watch checks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that a watch may wait.
const MAX_WATCH_MS: u64 = 60_000;

fn answer(response: Answer) -> HttpResponse {
    HttpResponse::json(response.status, &response.body)
}

fn query(request: &HttpRequest) -> HashMap<String, String> {
    let text = request.query.as_deref().unwrap_or_default();
    url::form_urlencoded::parse(text.as_bytes())
        .into_owned()
        .collect()
}

/// Handles a request to the state service.
pub async fn state(testbed: Rc<Testbed>, request: HttpRequest) -> HttpResponse {
    let now = testbed.now();
    if let Some(refusal) = testbed.state.borrow_mut().admit(now) {
        return answer(refusal);
    }
    let Some(body) = &request.body else {
        return HttpResponse::error(400, "request body is incomplete or over 64 KiB");
    };
    let path = request.path.as_str();
    let parameters = query(&request);
    let text = |name: &str| parameters.get(name).map(String::as_str).unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().ok();
    let lease = path.strip_prefix("/leases/");
    match (request.method, path) {
        (Method::Get, "/kv") => {
            let limit = number("most").unwrap_or(1000) as usize;
            let state = testbed.state.borrow();
            answer(state.list(text("under"), text("from"), limit))
        }
        (Method::Get, "/watch") => {
            let Some(from) = number("from") else {
                return HttpResponse::error(400, "from: missing or not a number");
            };
            let wait = number("wait_ms").unwrap_or(0).min(MAX_WATCH_MS);
            watch(&testbed, text("under"), from, now + wait).await
        }
        (Method::Post, "/txn") => answer(testbed.state.borrow_mut().txn(body, now)),
        (Method::Post, "/leases") => answer(testbed.state.borrow_mut().grant(body, now)),
        (Method::Get, _) if path.starts_with("/kv/") => {
            answer(testbed.state.borrow().get(&path["/kv/".len()..]))
        }
        (Method::Post | Method::Delete, _) => {
            let is_renewal = request.method == Method::Post;
            let id = lease
                .map(|l| l.strip_suffix("/touch").filter(|_| is_renewal).unwrap_or(l))
                .and_then(|l| l.parse().ok());
            match id {
                Some(id) if is_renewal => answer(testbed.state.borrow_mut().renew_lease(id, now)),
                Some(id) => answer(testbed.state.borrow_mut().revoke_lease(id)),
                None => HttpResponse::error(404, "no such path"),
            }
        }
        _ => HttpResponse::error(404, "no such path"),
    }
}

async fn watch(testbed: &Rc<Testbed>, under: &str, from: u64, until: Millis) -> HttpResponse {
    loop {
        let now = testbed.now();
        testbed.state.borrow_mut().expire_leases(now);
        if let Some(changed) = testbed.state.borrow().changes_since(under, from) {
            return answer(changed);
        }
        if now >= until {
            return answer(testbed.state.borrow().watch_answer(Vec::new()));
        }
        Timer::after(WATCH_INTERVAL).await;
    }
}

/// Handles a request to the cloud.
pub async fn cloud(testbed: Rc<Testbed>, request: HttpRequest) -> HttpResponse {
    let now = testbed.now();
    if !testbed.cloud.borrow_mut().admit(now) {
        return HttpResponse::error(429, "too many requests");
    }
    let body = request.body.as_deref().unwrap_or_default();
    let mut cloud = testbed.cloud.borrow_mut();
    let error_response = |r: CloudError| match r {
        CloudError::NoCapacity => HttpResponse::error(503, "no capacity"),
        CloudError::Malformed(why) => HttpResponse::error(400, why),
    };
    match (request.method, request.path.as_str()) {
        (Method::Get, "/machine_types") => {
            let types = cloud.types().to_vec();
            HttpResponse::json(200, &MachineTypes { types })
        }
        (Method::Get, "/hosts") => {
            let parameters = query(&request);
            let from = parameters
                .get("from")
                .map(String::as_str)
                .unwrap_or_default();
            let limit = parameters.get("most").and_then(|m| m.parse().ok());
            HttpResponse::json(200, &cloud.list(from, limit.unwrap_or(500), now))
        }
        (Method::Post, "/hosts") => match serde_json::from_slice::<MachineRequest>(body) {
            Ok(machine_request) => match cloud.rent(&machine_request, now) {
                Ok(machines) => HttpResponse::json(200, &MachineNames { machines }),
                Err(r) => error_response(r),
            },
            Err(e) => HttpResponse::error(400, &e.to_string()),
        },
        (Method::Post, "/hosts/release") => match serde_json::from_slice(body) {
            Ok(names) => match cloud.release(&names, now) {
                Ok(_) => HttpResponse::json(200, &json!({})),
                Err(r) => error_response(r),
            },
            Err(e) => HttpResponse::error(400, &e.to_string()),
        },
        _ => HttpResponse::error(404, "no such path"),
    }
}
