//! The cloud: machine types, the list, rentals and releases.

use super::{Node, signals::InFlight};
use crate::{
    control::leader::CloudOp,
    protocol::cloud::{MachineList, MachineNames, MachineType, MachineTypes},
    transport::client::CallError,
};
use async_io::Timer;
use http_types::Method;
use std::{rc::Rc, time::Duration};

const LIMIT: Duration = Duration::from_secs(4);
const NOT_SENT: &str = "not sent: authority has ended";

/// Keeps machine types and prices current.
pub async fn types(node: Rc<Node>) {
    loop {
        let known = !node.machine_types.borrow().is_empty();
        match node.fetch_types().await {
            Ok(types) => {
                let mut own = node.machine_types.borrow_mut();
                for t in types {
                    match own.iter_mut().find(|o| o.name == t.name) {
                        Some(o) => *o = t,
                        None => own.push(t),
                    }
                }
                // Prices in force; the list of types is fixed for a term.
                if let Some(l) = node.leader.borrow_mut().as_mut() {
                    for t in l.cluster.types.iter_mut() {
                        if let Some(o) = own.iter().find(|o| o.name == t.name) {
                            t.price = o.price;
                            t.spot_price = o.spot_price;
                        }
                    }
                }
            }
            Err(e) => log::info!("machine types: {e}"),
        }
        let pause = if known { 30 } else { 1 };
        Timer::after(Duration::from_secs(pause)).await;
    }
}

impl Node {
    /// `term`: only as long as this node leads that term.
    async fn cloud(
        &self,
        term: Option<u64>,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), String> {
        let still = || term.is_none() || self.election.borrow().authority(self.now()) == term;
        loop {
            if !still() {
                return Err(NOT_SENT.into());
            }
            let now = self.now();
            if self.budgets.take_cloud_request(now) {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        self.metrics.borrow().cloud_requests.inc();
        let addr = self.settings.services.cloud;
        self.http
            .call_if(addr, method, path, body, LIMIT, still)
            .await
            .map(|a| (a.status, a.body))
            .map_err(|e| match e {
                CallError::NotSent(_) if !still() => NOT_SENT.into(),
                e => e.to_string(),
            })
    }

    async fn fetch_types(&self) -> Result<Vec<MachineType>, String> {
        match self
            .cloud(None, Method::Get, "/machine_types", None)
            .await?
        {
            (200, body) => serde_json::from_slice::<MachineTypes>(&body)
                .map(|t| t.types)
                .map_err(|e| e.to_string()),
            (s, _) => Err(format!("status {s}")),
        }
    }

    pub(super) async fn list_machines(self: Rc<Self>, term: u64, _in_flight: InFlight) {
        let mut from = String::new();
        let asked = self.now();
        loop {
            let path = format!("/hosts?from={from}&most=500");
            let page: MachineList = match self.cloud(Some(term), Method::Get, &path, None).await {
                Ok((200, body)) => match serde_json::from_slice(&body) {
                    Ok(page) => page,
                    Err(e) => {
                        log::info!("machine list: {e}");
                        break;
                    }
                },
                Ok((s, _)) => {
                    log::debug!("machine list: status {s}");
                    break;
                }
                Err(e) => {
                    log::debug!("machine list: {e}");
                    break;
                }
            };
            self.of_term(term, |l, now| l.machines_listed(&page.machines, now));
            match page.machines.last() {
                Some(last) if page.more => from = last.id.clone(),
                _ => {
                    self.of_term(term, |l, now| l.full_list_received(asked, now));
                    break;
                }
            }
        }
    }

    pub(super) async fn cloud_op(self: Rc<Self>, term: u64, op: CloudOp) {
        match op {
            CloudOp::MachineRequest(rent) => {
                let body = serde_json::to_vec(&rent).unwrap_or_default();
                let names = match self
                    .cloud(Some(term), Method::Post, "/hosts", Some(body))
                    .await
                {
                    Ok((200, body)) => serde_json::from_slice::<MachineNames>(&body)
                        .ok()
                        .map(|n| n.machines),
                    Ok((s, _)) => {
                        log::debug!("rental {}: status {s}", rent.request_id);
                        None
                    }
                    Err(e) => {
                        log::info!("rental {}: {e}", rent.request_id);
                        if e == NOT_SENT {
                            self.of_term(term, |l, _| l.scale_out_not_sent());
                            return;
                        }
                        None
                    }
                };
                self.of_term(term, |l, now| {
                    l.scale_out_answered(&rent, names.as_deref(), now)
                });
            }
            CloudOp::Release(names) => {
                let request = MachineNames {
                    machines: names.clone(),
                };
                let body = serde_json::to_vec(&request).unwrap_or_default();
                let path = "/hosts/release";
                let answer = self.cloud(Some(term), Method::Post, path, Some(body)).await;
                let ok = matches!(answer, Ok((200, _)));
                self.of_term(term, |l, now| l.released(&names, ok, now));
            }
        }
    }
}
