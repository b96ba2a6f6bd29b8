//! What the parts of a lab share: the stand-ins, where the controllers listen,
//! and the clock that all of them are told.

use crate::{
    Millis, cloud::Cloud, millis, object_store::ObjectStore, site::Site, state::StateService,
    traffic::Traffic,
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

/// Connections that the stand-ins keep open to controllers between requests.
const KEPT_CONNECTIONS: usize = 256;

/// A controller's name, addresses and settings file.
#[derive(Debug, Clone)]
pub struct Controller {
    pub name: String,
    pub listen: SocketAddr,
    pub back: SocketAddr,
    pub settings: PathBuf,
}

/// Everything of a lab that its parts share.
pub struct Testbed {
    pub site: Site,
    pub executor: Rc<PriorityExecutor>,
    pub http: Client,
    pub state: RefCell<StateService>,
    pub cloud: RefCell<Cloud>,
    pub object_store: RefCell<ObjectStore>,
    pub controllers: Vec<Controller>,
    /// Messages and bytes of workers, as the workers count them.
    pub traffic: RefCell<Traffic>,
    /// Which of the controllers said last that they can take requests.
    pub ready: RefCell<Vec<bool>>,
    next_controller: Cell<usize>,
    start: Instant,
}

impl Testbed {
    /// A lab of these controllers, with nothing rented and nothing stored.
    pub fn new(site: Site, executor: Rc<PriorityExecutor>, controllers: Vec<Controller>) -> Self {
        let workers = &site.cluster.workers;
        Testbed {
            executor,
            http: Client::new(KEPT_CONNECTIONS),
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
            next_controller: Cell::new(0),
            start: Instant::now(),
            site,
        }
    }

    /// Milliseconds since the lab began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// The users' address of a controller that is ready, each in its turn.
    pub fn ready_controller(&self) -> Option<SocketAddr> {
        let ready = self.ready.borrow();
        let count = ready.len();
        let first = self.next_controller.get();
        self.next_controller.set(first.wrapping_add(1));
        let index = (0..count)
            .map(|step| (first.wrapping_add(step)) % count)
            .find(|index| ready[*index])?;
        Some(self.controllers[index].listen)
    }
}

/// A listener on a port of loopback that the system chose.
pub fn loopback() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").context("no port on loopback")?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}
