//! Client of the cloud API: machine types and prices, the list of machines, machine
//! requests and releases.
//!
//! This module owns the paths, bodies and status codes of calls to the cloud. The
//! process starts the loop that refreshes the machine types; the control loop starts
//! all other calls.
//!
//! Invariant: machines are requested and released only with authority.

use super::{Node, signals::InFlight};
use crate::{
    control::leader::CloudOp,
    protocol::cloud::{MachineList, MachineNames, MachineRequest, MachineType, MachineTypes},
    transport::client::CallError,
};
use async_io::Timer;
use http_types::Method;
use std::{fmt, rc::Rc, time::Duration};

/// Timeout of a call to the cloud.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of machines in one page of the machine list.
const LIST_PAGE_MACHINES: usize = 500;
/// Pause before the request budget of the cloud is checked again.
const BUDGET_PAUSE: Duration = Duration::from_millis(100);
/// Interval between two reads of the machine types once some are known, and before
/// that.
const TYPES_INTERVAL: Duration = Duration::from_secs(30);
const FIRST_TYPES_INTERVAL: Duration = Duration::from_secs(1);

/// Error of a call to the cloud.
#[derive(Debug, Clone, PartialEq)]
enum CloudError {
    /// Authority ended before the call was sent.
    AuthorityEnded,
    /// The call failed.
    Call(CallError),
    /// The cloud answered with this HTTP status.
    Status(u16),
    /// The answer could not be decoded.
    Decode(String),
}

impl fmt::Display for CloudError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloudError::AuthorityEnded => f.write_str("not sent: authority has ended"),
            CloudError::Call(e) => e.fmt(f),
            CloudError::Status(status) => write!(f, "the cloud answered with HTTP status {status}"),
            CloudError::Decode(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for CloudError {}

impl From<serde_json::Error> for CloudError {
    fn from(error: serde_json::Error) -> Self {
        CloudError::Decode(error.to_string())
    }
}

/// An HTTP response of the cloud.
struct CloudAnswer {
    status: u16,
    body: Vec<u8>,
}

impl CloudAnswer {
    /// Returns the body if the status is 200.
    fn success(self) -> Result<Vec<u8>, CloudError> {
        match self.status {
            200 => Ok(self.body),
            status => Err(CloudError::Status(status)),
        }
    }
}

/// Refreshes machine types and prices periodically, for as long as the process runs.
pub async fn refresh_machine_types(node: Rc<Node>) {
    loop {
        let known = !node.machine_types.borrow().is_empty();
        match node.fetch_types().await {
            Ok(types) => node.update_types(types),
            Err(e) => log::info!("failed to read the machine types from the cloud: {e}"),
        }
        let interval = if known {
            TYPES_INTERVAL
        } else {
            FIRST_TYPES_INTERVAL
        };
        Timer::after(interval).await;
    }
}

impl Node {
    fn update_types(&self, fetched: Vec<MachineType>) {
        let mut known = self.machine_types.borrow_mut();
        for machine_type in fetched {
            match known.iter_mut().find(|t| t.name == machine_type.name) {
                Some(existing) => *existing = machine_type,
                None => known.push(machine_type),
            }
        }
        // The leader updates only the prices: its list of machine types is fixed for
        // the term.
        if let Some(leader) = self.leader.borrow_mut().as_mut() {
            for leader_type in leader.cluster.types.iter_mut() {
                if let Some(current) = known.iter().find(|t| t.name == leader_type.name) {
                    leader_type.price = current.price;
                    leader_type.spot_price = current.spot_price;
                }
            }
        }
    }

    /// Sends one request to the cloud as soon as the request budget allows it. With
    /// `term`, the request is sent only while this node has authority in that term.
    async fn call_cloud(
        &self,
        term: Option<u64>,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<CloudAnswer, CloudError> {
        let may_act = || term.is_none() || self.election.borrow().authority(self.now()) == term;
        loop {
            if !may_act() {
                return Err(CloudError::AuthorityEnded);
            }
            if self.budgets.take_cloud_request(self.now()) {
                break;
            }
            Timer::after(BUDGET_PAUSE).await;
        }
        self.metrics.borrow().cloud_requests.inc();
        let addr = self.settings.services.cloud;
        let result = self
            .http
            .call_if(addr, method, path, body, CALL_TIMEOUT, may_act)
            .await;
        match result {
            Ok(answer) => Ok(CloudAnswer {
                status: answer.status,
                body: answer.body,
            }),
            Err(CallError::NotSent(_)) if !may_act() => Err(CloudError::AuthorityEnded),
            Err(e) => Err(CloudError::Call(e)),
        }
    }

    async fn fetch_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let answer = self
            .call_cloud(None, Method::Get, "/machine_types", None)
            .await?;
        let types: MachineTypes = serde_json::from_slice(&answer.success()?)?;
        Ok(types.types)
    }

    /// Reads the list of machines page by page, and reports each page to the leader of
    /// `term`.
    pub(super) async fn list_machines(self: Rc<Self>, term: u64, _in_flight: InFlight) {
        let began = self.now();
        let mut from = String::new();
        loop {
            let page = match self.list_page(term, &from).await {
                Ok(page) => page,
                Err(e @ CloudError::Decode(_)) => {
                    log::info!("failed to decode the machine list of the cloud: {e}");
                    return;
                }
                Err(e) => {
                    log::debug!("failed to read the machine list from the cloud: {e}");
                    return;
                }
            };
            self.in_term(term, |leader, now| {
                leader.machines_listed(&page.machines, now);
            });
            match page.machines.last() {
                Some(last) if page.more => from = last.id.clone(),
                _ => {
                    self.in_term(term, |leader, now| leader.full_list_received(began, now));
                    return;
                }
            }
        }
    }

    async fn list_page(&self, term: u64, from: &str) -> Result<MachineList, CloudError> {
        let path = format!("/hosts?from={from}&most={LIST_PAGE_MACHINES}");
        let answer = self
            .call_cloud(Some(term), Method::Get, &path, None)
            .await?;
        Ok(serde_json::from_slice(&answer.success()?)?)
    }

    /// Requests or releases machines, and reports the result to the leader of `term`.
    pub(super) async fn run_cloud_op(self: Rc<Self>, term: u64, op: CloudOp) {
        match op {
            CloudOp::MachineRequest(request) => self.request_machines(term, request).await,
            CloudOp::Release(names) => self.release_machines(term, names).await,
        }
    }

    async fn request_machines(&self, term: u64, request: MachineRequest) {
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let result = self
            .call_cloud(Some(term), Method::Post, "/hosts", Some(body))
            .await;
        let names = match result.and_then(CloudAnswer::success) {
            Ok(body) => serde_json::from_slice::<MachineNames>(&body)
                .ok()
                .map(|names| names.machines),
            Err(e @ CloudError::Status(_)) => {
                log::debug!("machine request {} failed: {e}", request.request_id);
                None
            }
            Err(e) => {
                log::info!("machine request {} failed: {e}", request.request_id);
                if e == CloudError::AuthorityEnded {
                    self.in_term(term, |leader, _| leader.scale_out_not_sent());
                    return;
                }
                None
            }
        };
        self.in_term(term, |leader, now| {
            leader.on_scale_out_response(&request, names.as_deref(), now)
        });
    }

    async fn release_machines(&self, term: u64, names: Vec<String>) {
        let request = MachineNames {
            machines: names.clone(),
        };
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let path = "/hosts/release";
        let result = self
            .call_cloud(Some(term), Method::Post, path, Some(body))
            .await;
        let is_released = result.and_then(CloudAnswer::success).is_ok();
        self.in_term(term, |leader, now| {
            leader.on_release_response(&names, is_released, now)
        });
    }
}
