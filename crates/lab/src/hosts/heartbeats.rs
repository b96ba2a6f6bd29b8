//! The heartbeat of one simulated worker: sends it to a controller, and follows the answer.

use super::Hosted;
use crate::{Millis, installation::Testbed};
use http_types::Method;
use pathwinch_protocol::workers::HeartbeatResponse;
use pathwinch_transport::client::{Answer, CallError};
use std::time::Duration;

/// How long a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the next heartbeat after one that failed.
const RETRY_DELAY_MS: Millis = 1_000;
/// Delay before the next heartbeat after a redirect to another controller.
const REDIRECT_DELAY_MS: Millis = 100;

/// Sends one heartbeat and handles its answer. Returns the minimum delay before the
/// next one.
pub(super) async fn send_heartbeat(testbed: &Testbed, hosted: &Hosted) -> Millis {
    let sent = testbed.now();
    let heartbeat = hosted.worker.borrow_mut().report();
    let incarnation = heartbeat.incarnation;
    let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
    {
        let mut traffic = testbed.traffic.borrow_mut();
        traffic.reports += 1;
        traffic.sent(body.len());
    }
    let target = hosted.target.get() % testbed.controllers.len();
    let to = testbed.controllers[target].listen;
    let call = hosted.client.call(
        to,
        Method::Post,
        "/agent/beat",
        Some(body),
        HEARTBEAT_TIMEOUT,
    );
    let answer = call.await;
    if let Ok(a) = &answer {
        testbed.traffic.borrow_mut().received(a.body.len());
    }
    match answer {
        Ok(a) if a.status == 200 => {
            accept_answer(testbed, hosted, sent, incarnation, &a);
            0
        }
        Ok(a) if a.status == 421 => redirect(testbed, hosted, target, &a),
        Ok(_) | Err(CallError::NotSent(_) | CallError::NoAnswer(_) | CallError::TooLong) => {
            testbed.traffic.borrow_mut().unanswered += 1;
            hosted.target.set(target + 1);
            RETRY_DELAY_MS
        }
    }
}

fn accept_answer(
    testbed: &Testbed,
    hosted: &Hosted,
    sent: Millis,
    incarnation: u64,
    answer: &Answer,
) {
    let Ok(reply) = serde_json::from_slice::<HeartbeatResponse>(&answer.body) else {
        return;
    };
    let now = testbed.now();
    let mut worker = hosted.worker.borrow_mut();
    let mut object_store = testbed.object_store.borrow_mut();
    let valid = worker.on_heartbeat_answer(
        sent,
        incarnation,
        reply.fencing_token,
        reply.commands,
        &mut object_store,
        now,
    );
    let mut traffic = testbed.traffic.borrow_mut();
    match valid {
        true => {
            traffic.answered += 1;
            crate::traffic::record(&mut traffic.answer_times, now - sent);
        }
        false => traffic.unanswered += 1,
    }
}

/// Switches to the controller that a redirect names, or to the next one if it names
/// none. Returns the delay before the next heartbeat.
fn redirect(testbed: &Testbed, hosted: &Hosted, target: usize, answer: &Answer) -> Millis {
    let redirect_target = serde_json::from_slice::<serde_json::Value>(&answer.body)
        .ok()
        .and_then(|v| v.get("foreman")?.as_str().map(str::to_owned))
        .and_then(|name| testbed.controllers.iter().position(|c| c.name == name))
        .filter(|index| *index != target);
    hosted.target.set(redirect_target.unwrap_or(target + 1));
    redirect_target.map_or(RETRY_DELAY_MS, |_| REDIRECT_DELAY_MS)
}
