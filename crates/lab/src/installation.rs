//! The state that all parts of a testbed share: the simulated services, the addresses
//! of the controllers, and the clock from which every part takes the time.

use crate::{
    Millis, cloud::Cloud, millis, object_store::ObjectStore, site::Site, state::StateService,
    traffic::Traffic, worker_faults::FaultInjector,
};
use anyhow::{Context, Result};
use pathwinch_transport::{client::Client, priority_executor::PriorityExecutor};
use std::{
    cell::{Cell, RefCell},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    rc::Rc,
    time::Instant,
};

/// Maximum number of idle connections to controllers that the testbed's HTTP client
/// keeps open.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// A controller's name, addresses and settings file.
#[derive(Debug, Clone)]
pub struct Controller {
    pub name: String,
    /// Address for users and workers.
    pub listen: SocketAddr,
    /// Address for the other controllers.
    pub peer_listen: SocketAddr,
    pub settings: PathBuf,
}

/// The shared state of a testbed.
pub struct Testbed {
    pub site: Site,
    pub executor: Rc<PriorityExecutor>,
    pub http: Client,
    pub state: RefCell<StateService>,
    pub cloud: RefCell<Cloud>,
    pub object_store: RefCell<ObjectStore>,
    pub controllers: Vec<Controller>,
    /// Messages and bytes exchanged by the workers, counted on their side.
    pub traffic: RefCell<Traffic>,
    /// Faults of the workers.
    pub faults: FaultInjector,
    /// Whether each controller reported itself ready in its last probe.
    pub ready: RefCell<Vec<bool>>,
    next_controller: Cell<usize>,
    start: Instant,
}

impl Testbed {
    /// Creates a testbed for these controllers, with no machine rented and an empty state
    /// service.
    pub fn new(site: Site, executor: Rc<PriorityExecutor>, controllers: Vec<Controller>) -> Self {
        let workers = &site.cluster.workers;
        Testbed {
            executor,
            http: Client::new(MAX_IDLE_CONNECTIONS),
            state: RefCell::new(StateService::new(site.cluster.state.clone())),
            cloud: RefCell::new(Cloud::new(&site)),
            object_store: RefCell::new(ObjectStore::new(
                site.seed,
                site.failing,
                millis(workers.gang_peer_s),
                millis(workers.cancel_s),
            )),
            ready: RefCell::new(vec![false; controllers.len()]),
            controllers,
            traffic: RefCell::default(),
            faults: FaultInjector::new(site.worker_faults.clone(), site.seed, workers.cancel_s),
            next_controller: Cell::new(0),
            start: Instant::now(),
            site,
        }
    }

    /// Milliseconds since the testbed was created.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Returns the user-facing address of a ready controller, in round-robin order;
    /// `None` if none is ready.
    pub fn ready_controller(&self) -> Option<SocketAddr> {
        let ready = self.ready.borrow();
        let count = ready.len();
        let first = self.next_controller.get();
        self.next_controller.set(first.wrapping_add(1));
        let index = (0..count)
            .map(|offset| (first.wrapping_add(offset)) % count)
            .find(|index| ready[*index])?;
        Some(self.controllers[index].listen)
    }
}

/// Binds a listener to a loopback port that the operating system chooses.
pub fn loopback() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").context("cannot bind a port on 127.0.0.1")?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}
