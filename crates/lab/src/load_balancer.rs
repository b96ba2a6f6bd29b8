//! Simulated load balancer for users: forwards requests to a ready controller, and
//! stores the job descriptions that users submit in the object store for the workers.
//! Also probes the readiness of the controllers.

use crate::installation::Testbed;
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::users::{JobSpec, JobState, JobStatus};
use pathwinch_transport::{
    client::CallError,
    server::{self, HttpRequest, HttpResponse},
};
use serde_json::json;
use std::{rc::Rc, time::Duration};

/// How long the load balancer waits for the answer of a controller.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a user request: forwards it to a ready controller, or returns the summary
/// for `GET /lab`.
pub async fn handle_user_request(testbed: Rc<Testbed>, request: HttpRequest) -> HttpResponse {
    if (request.method, request.path.as_str()) == (Method::Get, "/lab") {
        return summary(&testbed);
    }
    let Some(body) = request.body else {
        return HttpResponse::error(400, "request body is incomplete or over 64 KiB");
    };
    if request.path == "/v1/jobs"
        && let Ok(spec) = JobSpec::parse(&body)
    {
        testbed.object_store.borrow_mut().upload(&spec);
    }
    let body = (request.method == Method::Post).then_some(body);
    for _ in 0..3 {
        let Some(to) = testbed.ready_controller() else {
            return HttpResponse::later("no controller is ready");
        };
        let call = testbed.http.call(
            to,
            request.method,
            &request.path,
            body.clone(),
            USER_TIMEOUT,
        );
        match call.await {
            Ok(a) => {
                record_cancellation(&testbed, &a.body);
                return HttpResponse {
                    status: a.status,
                    retry_after_s: a.retry_after_s,
                    content: server::JSON,
                    body: a.body,
                };
            }
            // The request was not sent, so another controller may get it. Any other
            // error leaves unknown whether the request was executed.
            Err(CallError::NotSent(_)) => {}
            Err(e) => return HttpResponse::error(504, &e.to_string()),
        }
    }
    HttpResponse::later("no connection to a ready controller in 3 attempts")
}

fn record_cancellation(testbed: &Testbed, body: &[u8]) {
    if let Ok(status) = serde_json::from_slice::<JobStatus>(body)
        && status.state == JobState::Cancelled
    {
        testbed
            .object_store
            .borrow_mut()
            .record_cancellation(&status.id, testbed.now());
    }
}

/// Returns the counters of the simulated services.
fn summary(testbed: &Testbed) -> HttpResponse {
    let (now, cloud, object_store) = (
        testbed.now(),
        testbed.cloud.borrow(),
        testbed.object_store.borrow(),
    );
    let state = testbed.state.borrow();
    HttpResponse::json(
        200,
        &json!({
            "seconds": now as f64 / 1000.0,
            "machines": cloud.machine_count(),
            "spent": cloud.spent(now),
            "tasks_finished": object_store.finished_count(),
            "tasks_on_machines": object_store.tasks_on_machines(),
            "jobs_at_markets": object_store.offloaded_counts().0,
            "jobs_lent_ever": object_store.offloaded_counts().1,
            "rules_broken": object_store.violations(),
            "state_keys": state.keys(),
            "state_revision": state.revision(),
        }),
    )
}

/// Probes the readiness of each controller periodically. Never returns.
pub async fn probe(testbed: Rc<Testbed>) {
    loop {
        for index in 0..testbed.controllers.len() {
            let to = testbed.controllers[index].listen;
            let call = testbed
                .http
                .call(to, Method::Get, "/ready", None, PROBE_TIMEOUT);
            let is_ready = call.await.is_ok_and(|a| a.status == 200);
            testbed.ready.borrow_mut()[index] = is_ready;
        }
        Timer::after(PROBE_INTERVAL).await;
    }
}
