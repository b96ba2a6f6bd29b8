//! Serves simulated markets on loopback over mutual TLS, with keys issued for each run,
//! and writes the INI file of the brokers that use them.

use crate::{
    installation::Testbed,
    market::{JobEvent, SimulatedMarket},
};
use anyhow::{Context, Result};
use async_io::Timer;
use http_types::Method;
use pathwinch_market::{
    schema::{self, MessageReader},
    serve::MARKET_PATH,
    wire::{MAX_BODY_BYTES, Request},
};
use pathwinch_tls::{
    authority::Authority,
    http,
    keys::{self, KeyFiles, system_time},
    reload::ReloadableKeys,
};
use pathwinch_transport::server::{HttpRequest, HttpResponse};
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Names of the markets, also used in their certificates.
const NAMES: [&str; 5] = ["north", "south", "west", "east", "harbour"];
/// Maximum number of simulated markets.
pub const MAX_MARKETS: usize = NAMES.len();
/// Interval in milliseconds at which a market is advanced.
const STEP_MS: u64 = 100;
/// Maximum number of connections to a market.
const MAX_CONNECTIONS: usize = 64;

/// A market that is bound to its port but does not serve requests yet.
pub struct Market {
    pub name: &'static str,
    pub addr: SocketAddr,
    listener: TcpListener,
    keys: ReloadableKeys,
}

/// The markets, and the files that the brokers need.
pub struct PreparedMarkets {
    pub markets: Vec<Market>,
    /// INI file of the brokers.
    pub options: PathBuf,
    /// Directory with the keys of the brokers.
    pub home_keys: PathBuf,
}

/// Creates an authority, issues keys to the home and to `count` markets, binds the
/// markets to ports, and writes the brokers' INI file. Replaces the directory `keys`
/// in `dir`.
pub fn prepare(
    dir: &Path,
    count: usize,
    classes: &str,
    teams: &[String],
) -> Result<PreparedMarkets> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs());
    let dir = dir.join("keys");
    if dir.exists() {
        std::fs::remove_dir_all(&dir).with_context(|| dir.display().to_string())?;
    }
    let authority = Authority::create(&dir.join("authority"), "lab", 90, now)?;
    let install = |name: &str| -> Result<PathBuf> {
        let key_dir = dir.join(name);
        let issued = authority.issue(name, 60, now)?;
        keys::install(
            &key_dir,
            &issued,
            &authority.certificate()?,
            &authority.revocation_list()?,
        )?;
        Ok(key_dir)
    };
    let home_keys = install("home")?;
    let mut markets = Vec::new();
    let mut options_text = format!(
        "[lend]\nclasses = {classes}\nafter_s = 5\n\n[award]\ntenancy_s = 30\nevery_s = 1\n\n[budget]\n"
    );
    for team in teams {
        options_text.push_str(&format!("{team} = 1000\n"));
    }
    options_text.push_str("\n[market]\n");
    for name in NAMES.into_iter().take(count) {
        let listener =
            TcpListener::bind("127.0.0.1:0").context("cannot bind a port on 127.0.0.1")?;
        let addr = listener.local_addr()?;
        options_text.push_str(&format!("{name} = {addr}\n"));
        let key_texts = KeyFiles::read(&install(name)?)?;
        markets.push(Market {
            name,
            addr,
            listener,
            keys: ReloadableKeys::new(key_texts, system_time())?,
        });
    }
    let options = dir.join("market.ini");
    std::fs::write(&options, options_text).with_context(|| options.display().to_string())?;
    Ok(PreparedMarkets {
        markets,
        options,
        home_keys,
    })
}

/// Records jobs that started or ended at a market in the object store, which checks
/// that no job runs in two places.
fn record_changes(testbed: &Testbed, market: &str, changes: Vec<JobEvent>) {
    let mut object_store = testbed.object_store.borrow_mut();
    for change in changes {
        match change {
            JobEvent::Start(job) => object_store.job_offloaded(&job, market),
            JobEvent::End(job) => object_store.job_returned(&job, market),
        }
    }
}

/// Serves and advances one market. Never returns, unless the request schema is not
/// valid.
pub async fn run(testbed: Rc<Testbed>, market: Market, number: u64) {
    let price = 10_000 + 2_000 * number;
    let sim = SimulatedMarket::new(market.name, price, 64, testbed.site.seed + number);
    let sim = Rc::new(RefCell::new(sim));
    let Ok(reader) = MessageReader::new(&schema::request()) else {
        return;
    };
    let reader = Rc::new(reader);
    let (handler_testbed, handler_sim, name) = (testbed.clone(), sim.clone(), market.name);
    let handler = move |peer: String, request: HttpRequest| {
        let (testbed, sim, reader) = (handler_testbed.clone(), handler_sim.clone(), reader.clone());
        async move {
            if (request.method, request.path.as_str()) != (Method::Post, MARKET_PATH) {
                return HttpResponse::error(404, "no such path");
            }
            let body = request.body.unwrap_or_default();
            let request: Request = match reader.read(&body) {
                Ok(request) => request,
                Err(why) => return HttpResponse::error(400, &why.0),
            };
            if request.home != peer {
                return HttpResponse::error(
                    403,
                    "home: differs from the name in the client certificate",
                );
            }
            let (reply, changes) = sim.borrow_mut().handle(&request, testbed.now());
            record_changes(&testbed, name, changes);
            HttpResponse::json(200, &reply)
        }
    };
    let serve = http::serve(
        testbed.executor.clone(),
        market.listener,
        Rc::new(RefCell::new(market.keys)),
        MAX_CONNECTIONS,
        MAX_BODY_BYTES,
        handler,
    );
    testbed.executor.spawn_high(serve).detach();
    loop {
        let changes = sim.borrow_mut().step(testbed.now(), STEP_MS);
        record_changes(&testbed, name, changes);
        Timer::after(Duration::from_millis(STEP_MS)).await;
    }
}
