//! What every lab has: stand-ins on loopback with real controllers beside
//! them, and workers on what the controllers rent.

use crate::{
    children::Program,
    controllers, hosts,
    installation::{Testbed, loopback},
    load_balancer, services,
    site::Site,
};
use anyhow::{Context, Result};
use pathwinch_protocol::settings::Services;
use pathwinch_transport::{
    priority_executor::PriorityExecutor,
    server::{self, HttpRequest, HttpResponse, Limits},
};
use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    rc::Rc,
};

/// Connections that each stand-in takes.
const CONNECTIONS: usize = 1024;
/// The path whose connections the stand-ins serve first.
const FIRST_PATH: &str = "/leases";

/// Stand-ins that listen but don't serve yet.
pub struct Base {
    pub testbed: Rc<Testbed>,
    pub users: SocketAddr,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    state_listener: TcpListener,
    cloud_listener: TcpListener,
    users_listener: TcpListener,
}

impl Base {
    /// Writes the controllers' settings to `dir`, which is made if need be.
    pub fn new(site: Site, dir: &Path) -> Result<Self> {
        std::fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
        let (state_listener, state) = loopback()?;
        let (cloud_listener, cloud) = loopback()?;
        let (users_listener, users) = loopback()?;
        let services = Services { cloud, state };
        let list = controllers::configure(&site, &services, dir)?;
        let executor = Rc::new(PriorityExecutor::default());
        Ok(Base {
            testbed: Rc::new(Testbed::new(site, executor, list)),
            users,
            state,
            cloud,
            state_listener,
            cloud_listener,
            users_listener,
        })
    }

    /// How the controllers are started.
    pub fn programs(&self, program: &Path) -> Vec<Program> {
        let of = |c: &crate::installation::Controller| Program {
            name: c.name.clone(),
            path: program.to_owned(),
            arguments: vec!["serve".into(), "--config".into(), c.settings.clone().into()],
        };
        self.testbed.controllers.iter().map(of).collect()
    }

    /// Serves all paths, hosts the workers and probes the controllers from now
    /// on.
    pub fn serve(self) {
        let testbed = self.testbed;
        serve_on(&testbed, self.state_listener, services::state);
        serve_on(&testbed, self.cloud_listener, services::cloud);
        serve_on(&testbed, self.users_listener, load_balancer::front);
        testbed
            .executor
            .spawn_high(hosts::run(testbed.clone()))
            .detach();
        testbed
            .executor
            .spawn_high(load_balancer::probe(testbed.clone()))
            .detach();
    }
}

fn serve_on<F, Fut>(testbed: &Rc<Testbed>, listener: TcpListener, handler: F)
where
    F: Fn(Rc<Testbed>, HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let limits = Limits {
        connections: CONNECTIONS,
        others: CONNECTIONS,
        first: FIRST_PATH,
    };
    let shared = testbed.clone();
    let handle = move |request| handler(shared.clone(), request);
    let serve = server::serve_on(testbed.executor.clone(), listener, limits, handle);
    testbed.executor.spawn_high(serve).detach();
}
