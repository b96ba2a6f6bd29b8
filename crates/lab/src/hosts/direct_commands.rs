//! Direct commands to one simulated worker: serves its address, and lets copies of commands that
//! it has carried out arrive again, as the site's faults ask for it.

use super::Hosted;
use crate::installation::Testbed;
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::workers::DirectCommands;
use pathwinch_transport::server::{HttpRequest, HttpResponse};
use std::{collections::VecDeque, rc::Rc, time::Duration};

/// Maximum number of commands of one worker that are kept for an agent that restarts.
const MAX_SENT_COMMANDS: usize = 8;

/// The latest direct commands that a worker has carried out, the oldest first.
#[derive(Default)]
pub(super) struct SentCommands(VecDeque<DirectCommands>);

impl SentCommands {
    fn add(&mut self, commands: &DirectCommands) {
        self.0.push_back(commands.clone());
        if self.0.len() > MAX_SENT_COMMANDS {
            self.0.pop_front();
        }
    }
}

pub(super) async fn serve_direct(
    testbed: Rc<Testbed>,
    hosted: Rc<Hosted>,
    request: HttpRequest,
) -> HttpResponse {
    let now = testbed.now();
    let answer = match (request.method, request.path.as_str()) {
        (Method::Get, "/inspect") => HttpResponse::json(200, &hosted.worker.borrow_mut().report()),
        (Method::Post, "/do") => {
            let body = request.body.unwrap_or_default();
            testbed.traffic.borrow_mut().direct_orders += 1;
            testbed.traffic.borrow_mut().received(body.len());
            let Ok(commands) = serde_json::from_slice::<DirectCommands>(&body) else {
                return HttpResponse::error(400, "malformed");
            };
            let mut object_store = testbed.object_store.borrow_mut();
            let (status, heartbeat) = hosted.worker.borrow_mut().on_direct_commands(
                commands.clone(),
                &mut object_store,
                now,
            );
            if status == 200 {
                hosted.sent_commands.borrow_mut().add(&commands);
                send_copies(&testbed, &hosted, &commands);
            }
            HttpResponse::json(status, &heartbeat)
        }
        _ => HttpResponse::error(404, "no such path"),
    };
    testbed.traffic.borrow_mut().sent(answer.body.len());
    answer
}

/// Lets copies of a direct command, which the worker has carried out, arrive later.
fn send_copies(testbed: &Rc<Testbed>, hosted: &Rc<Hosted>, commands: &DirectCommands) {
    for delay in testbed.faults.draw_copy_delays() {
        send_copy(testbed, hosted, commands, delay);
    }
}

/// Lets copies of the worker's latest direct commands arrive about when its restarted agent sends
/// its first heartbeat, if the site's faults ask for it.
pub(super) fn resend_to_restarted_agent(testbed: &Rc<Testbed>, hosted: &Rc<Hosted>) {
    for commands in &hosted.sent_commands.borrow().0 {
        for delay in testbed.faults.draw_copy_delays_after_restart() {
            send_copy(testbed, hosted, commands, delay);
        }
    }
}

/// Lets a copy of a direct command arrive after the delay. Nobody waits for its answer.
fn send_copy(
    testbed: &Rc<Testbed>,
    hosted: &Rc<Hosted>,
    commands: &DirectCommands,
    delay: Duration,
) {
    let (testbed, hosted, commands) = (testbed.clone(), hosted.clone(), commands.clone());
    let executor = testbed.executor.clone();
    let arrival = async move {
        Timer::after(delay).await;
        deliver_copy(&testbed, &hosted, commands);
    };
    executor.spawn_high(arrival).detach();
}

fn deliver_copy(testbed: &Testbed, hosted: &Hosted, commands: DirectCommands) {
    let mut worker = hosted.worker.borrow_mut();
    // No controller can fence an agent before it has answered one of its heartbeats.
    let is_kept_back = !worker.was_answered() && !testbed.faults.reach_unanswered_agents();
    if is_kept_back || testbed.cloud.borrow().machine(&worker.id).is_none() {
        return;
    }
    let copies = &testbed.faults.copies;
    copies.set(copies.get() + 1);
    let now = testbed.now();
    worker.on_direct_commands(commands, &mut testbed.object_store.borrow_mut(), now);
}
