//! `pathwinch-lab up`: runs a whole testbed on loopback, optionally with simulated
//! markets and a rolling upgrade, until it is told to stop.

use crate::{
    base::PreparedTestbed,
    children::{Children, Program, RollingUpgrade},
    installation::Testbed,
    markets,
    site::Site,
};
use anyhow::Result;
use async_io::Timer;
use futures_lite::future;
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

/// Classes of jobs that may be offloaded to the markets.
const OFFLOADED_CLASSES: &str = "slice";
/// Number of brokers; only one of them is active at a time.
const BROKERS: usize = 2;
/// Interval at which the readiness of the controllers is checked.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Addresses of a testbed. The field names are those of `up --json`.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Addresses {
    /// Address at which users submit and poll jobs.
    pub users: SocketAddr,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    /// Name, `listen` address and `back` address of each controller.
    pub controllers: Vec<(String, SocketAddr, SocketAddr)>,
    /// Name and address of each simulated market.
    pub markets: Vec<(String, SocketAddr)>,
    /// Directory with the settings and logs of the controllers.
    pub dir: PathBuf,
}

/// Runs a testbed until `shutdown` completes. Calls `on_ready` once a controller is ready.
pub fn run(
    site: Site,
    program: PathBuf,
    dir: PathBuf,
    markets: usize,
    upgrade: Option<RollingUpgrade>,
    on_ready: impl FnOnce(&Addresses),
    shutdown: impl Future<Output = ()>,
) -> Result<()> {
    let base = PreparedTestbed::new(site, &dir)?;
    let testbed = base.testbed.clone();
    let mut programs = base.programs(&program);
    let prepared = match markets {
        0 => None,
        count => Some(prepare_markets(
            &testbed,
            &program,
            &dir,
            count,
            &mut programs,
        )?),
    };
    let children = Children::new(dir.clone(), programs);
    let mut addresses = Addresses {
        users: base.users,
        state: base.state,
        cloud: base.cloud,
        controllers: testbed
            .controllers
            .iter()
            .map(|c| (c.name.clone(), c.listen, c.peer_listen))
            .collect(),
        markets: Vec::new(),
        dir,
    };
    async_io::block_on(testbed.executor.run(async {
        base.serve();
        for (number, market) in prepared.into_iter().flat_map(|m| m.markets).enumerate() {
            let name_and_addr = (market.name.to_owned(), market.addr);
            addresses.markets.push(name_and_addr);
            let run = markets::run(testbed.clone(), market, number as u64);
            testbed.executor.spawn_high(run).detach();
        }
        let announce = async {
            until_ready(&testbed).await;
            on_ready(&addresses);
            future::pending::<()>().await
        };
        let run_upgrade = async {
            if let Some(upgrade) = &upgrade {
                children.upgrade_controllers(&testbed, upgrade).await;
            }
            future::pending::<()>().await
        };
        let work = future::or(announce, children.supervise());
        let work = future::or(work, run_upgrade);
        future::or(shutdown, work).await
    }));
    Ok(())
}

/// Waits until at least one controller is ready.
pub async fn until_ready(testbed: &Testbed) {
    while !testbed.ready.borrow().iter().any(|r| *r) {
        Timer::after(READY_INTERVAL).await;
    }
}

/// Prepares simulated markets with their keys, and adds the brokers to the programs.
fn prepare_markets(
    testbed: &Rc<Testbed>,
    program: &Path,
    dir: &Path,
    count: usize,
    programs: &mut Vec<Program>,
) -> Result<markets::PreparedMarkets> {
    let teams: Vec<String> = testbed
        .site
        .cluster
        .teams
        .iter()
        .map(|t| t.name.clone())
        .collect();
    let prepared = markets::prepare(dir, count, OFFLOADED_CLASSES, &teams)?;
    let broker = program.with_file_name("pathwinch-market");
    anyhow::ensure!(
        broker.is_file(),
        "no broker program at {}: build it (cargo build --release --workspace)",
        broker.display()
    );
    for number in 1..=BROKERS {
        let arguments = vec![
            "serve".into(),
            "--config".into(),
            testbed.controllers[0].settings.clone().into(),
            "--options".into(),
            prepared.options.clone().into(),
            "--keys".into(),
            prepared.home_keys.clone().into(),
        ];
        programs.push(Program {
            name: format!("broker-{number}"),
            path: broker.clone(),
            arguments,
        });
    }
    Ok(prepared)
}
