//! Stand-in markets on loopback, over mutual TLS with keys made for the
//! occasion, and the INI file of a broker that knows them.

use crate::{
    installation::Testbed,
    market::{Did, MarketSim},
};
use anyhow::{Context, Result};
use async_io::Timer;
use http_types::Method;
use pathwinch_market::{
    schema::{self, Reader},
    serve::PATH,
    wire::{MAX_BODY, Request},
};
use pathwinch_tls::{
    authority::Authority,
    http,
    keys::{self, Texts, system_time},
    reload::Followed,
};
use pathwinch_transport::server::{HttpRequest, HttpResponse};
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const NAMES: [&str; 5] = ["north", "south", "west", "east", "harbour"];
pub const MOST: usize = NAMES.len();
const STEP: u64 = 100;
const CONNECTIONS: usize = 64;

pub struct Market {
    pub name: &'static str,
    pub addr: SocketAddr,
    listener: TcpListener,
    keys: Followed,
}

/// Keys for a home and so many markets, and the broker's files.
pub struct Made {
    pub markets: Vec<Market>,
    pub options: PathBuf,
    pub home_keys: PathBuf,
}

pub fn make(dir: &Path, count: usize, classes: &str, teams: &[String]) -> Result<Made> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs());
    let dir = dir.join("keys");
    if dir.exists() {
        std::fs::remove_dir_all(&dir).with_context(|| dir.display().to_string())?;
    }
    let authority = Authority::make(&dir.join("authority"), "lab", 90, now)?;
    let install = |name: &str| -> Result<PathBuf> {
        let to = dir.join(name);
        let issued = authority.issue(name, 60, now)?;
        keys::install(
            &to,
            &issued,
            &authority.certificate()?,
            &authority.revoked()?,
        )?;
        Ok(to)
    };
    let home_keys = install("home")?;
    let mut markets = Vec::new();
    let mut ini = format!(
        "[lend]\nclasses = {classes}\nafter_s = 5\n\n[award]\ntenancy_s = 30\nevery_s = 1\n\n[budget]\n"
    );
    for team in teams {
        ini.push_str(&format!("{team} = 1000\n"));
    }
    ini.push_str("\n[market]\n");
    for name in NAMES.into_iter().take(count) {
        let listener = TcpListener::bind("127.0.0.1:0").context("no port on loopback")?;
        let addr = listener.local_addr()?;
        ini.push_str(&format!("{name} = {addr}\n"));
        let texts = Texts::read(&install(name)?)?;
        markets.push(Market {
            name,
            addr,
            listener,
            keys: Followed::new(texts, system_time())?,
        });
    }
    let options = dir.join("market.ini");
    std::fs::write(&options, ini).with_context(|| options.display().to_string())?;
    Ok(Made {
        markets,
        options,
        home_keys,
    })
}

fn did(testbed: &Testbed, market: &str, list: Vec<Did>) {
    let mut object_store = testbed.object_store.borrow_mut();
    for d in list {
        match d {
            Did::Start(job) => object_store.job_offloaded(&job, market),
            Did::End(job) => object_store.job_returned(&job, market),
        }
    }
}

/// Runs one market until the lab ends.
pub async fn run(testbed: Rc<Testbed>, market: Market, number: u64) {
    let price = 10_000 + 2_000 * number;
    let sim = MarketSim::new(market.name, price, 64, testbed.site.seed + number);
    let sim = Rc::new(RefCell::new(sim));
    let Ok(reader) = Reader::new(&schema::request()) else {
        return;
    };
    let reader = Rc::new(reader);
    let (l, s, name) = (testbed.clone(), sim.clone(), market.name);
    let answer = move |peer: String, request: HttpRequest| {
        let (testbed, sim, reader) = (l.clone(), s.clone(), reader.clone());
        async move {
            if (request.method, request.path.as_str()) != (Method::Post, PATH) {
                return HttpResponse::error(404, "no such path");
            }
            let body = request.body.unwrap_or_default();
            let request: Request = match reader.read(&body) {
                Ok(request) => request,
                Err(why) => return HttpResponse::error(400, &why.0),
            };
            if request.home != peer {
                return HttpResponse::error(403, "home: not the name in the certificate");
            }
            let (reply, list) = sim.borrow_mut().handle(&request, testbed.now());
            did(&testbed, name, list);
            HttpResponse::json(200, &reply)
        }
    };
    let serve = http::serve(
        testbed.executor.clone(),
        market.listener,
        Rc::new(RefCell::new(market.keys)),
        CONNECTIONS,
        MAX_BODY,
        answer,
    );
    testbed.executor.spawn_high(serve).detach();
    loop {
        let list = sim.borrow_mut().step(testbed.now(), STEP);
        did(&testbed, name, list);
        Timer::after(Duration::from_millis(STEP)).await;
    }
}
