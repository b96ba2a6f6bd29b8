//! The common part of every testbed: simulated services on loopback, the settings
//! files and start commands of real controllers, and simulated workers on the
//! machines that the controllers rent. `up` and `scale` build on it.

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

/// Maximum number of open connections to each simulated service.
const MAX_CONNECTIONS: usize = 1024;
/// Connections that request this path are served with high priority.
const HIGH_PRIORITY_PATH: &str = "/leases";

/// A testbed whose simulated services are bound to their ports but do not serve
/// requests yet.
pub struct PreparedTestbed {
    pub testbed: Rc<Testbed>,
    pub users: SocketAddr,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    state_listener: TcpListener,
    cloud_listener: TcpListener,
    users_listener: TcpListener,
}

impl PreparedTestbed {
    /// Binds the ports and writes the settings of the controllers to `dir`, which is
    /// created if it does not exist.
    pub fn new(site: Site, dir: &Path) -> Result<Self> {
        std::fs::create_dir_all(dir)
            .with_context(|| format!("cannot create directory {}", dir.display()))?;
        let (state_listener, state) = loopback()?;
        let (cloud_listener, cloud) = loopback()?;
        let (users_listener, users) = loopback()?;
        let services = Services { cloud, state };
        let configured = controllers::configure(&site, &services, dir)?;
        let executor = Rc::new(PriorityExecutor::default());
        Ok(PreparedTestbed {
            testbed: Rc::new(Testbed::new(site, executor, configured)),
            users,
            state,
            cloud,
            state_listener,
            cloud_listener,
            users_listener,
        })
    }

    /// Returns the commands that start the controllers with `program`.
    pub fn programs(&self, program: &Path) -> Vec<Program> {
        let to_program = |c: &crate::installation::Controller| Program {
            name: c.name.clone(),
            path: program.to_owned(),
            arguments: vec!["serve".into(), "--config".into(), c.settings.clone().into()],
        };
        self.testbed.controllers.iter().map(to_program).collect()
    }

    /// Starts the background tasks that serve all HTTP paths, run the workers and
    /// probe the controllers.
    pub fn serve(self) {
        let testbed = self.testbed;
        serve_on(&testbed, self.state_listener, services::state);
        serve_on(&testbed, self.cloud_listener, services::cloud);
        serve_on(
            &testbed,
            self.users_listener,
            load_balancer::handle_user_request,
        );
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
        connections: MAX_CONNECTIONS,
        others: MAX_CONNECTIONS,
        first: HIGH_PRIORITY_PATH,
    };
    let shared_testbed = testbed.clone();
    let handle = move |request| handler(shared_testbed.clone(), request);
    let serve = server::serve_on(testbed.executor.clone(), listener, limits, handle);
    testbed.executor.spawn_high(serve).detach();
}
