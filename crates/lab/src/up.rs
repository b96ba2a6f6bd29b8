//! `pathwinch-testbed up`: a whole installation on loopback until it is told to
//! end.

use crate::{
    base::Base,
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

/// Jobs of this class may be offloaded, by two brokers, of which one acts.
const LENT_CLASSES: &str = "slice";
const BROKERS: usize = 2;
/// Between two looks at whether a controller is ready.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Where a lab can be reached.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Addresses {
    /// Users submit and poll here.
    pub users: SocketAddr,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    /// Each controller's name, `listen` and `back`.
    pub controllers: Vec<(String, SocketAddr, SocketAddr)>,
    /// Stand-in markets, by name.
    pub markets: Vec<(String, SocketAddr)>,
    /// Settings and logs of the controllers.
    pub dir: PathBuf,
}

/// Runs a lab until `over` completes; `told` is called once all stands.
pub fn run(
    site: Site,
    program: PathBuf,
    dir: PathBuf,
    markets: usize,
    roll: Option<RollingUpgrade>,
    told: impl FnOnce(&Addresses),
    over: impl Future<Output = ()>,
) -> Result<()> {
    let base = Base::new(site, &dir)?;
    let testbed = base.testbed.clone();
    let mut programs = base.programs(&program);
    let made = match markets {
        0 => None,
        count => Some(make_markets(
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
        for (number, market) in made.into_iter().flat_map(|m| m.markets).enumerate() {
            let named = (market.name.to_owned(), market.addr);
            addresses.markets.push(named);
            let run = markets::run(testbed.clone(), market, number as u64);
            testbed.executor.spawn_high(run).detach();
        }
        let stands = async {
            until_ready(&testbed).await;
            told(&addresses);
            future::pending::<()>().await
        };
        let rolled = async {
            if let Some(roll) = &roll {
                children.roll(&testbed, roll).await;
            }
            future::pending::<()>().await
        };
        let work = future::or(stands, children.keep_up());
        let work = future::or(work, rolled);
        future::or(over, work).await
    }));
    Ok(())
}

/// Waits for a controller that can take requests.
pub async fn until_ready(testbed: &Testbed) {
    while !testbed.ready.borrow().iter().any(|r| *r) {
        Timer::after(READY_INTERVAL).await;
    }
}

/// Makes keys for stand-in markets, and adds the brokers to the programs.
fn make_markets(
    testbed: &Rc<Testbed>,
    program: &Path,
    dir: &Path,
    count: usize,
    programs: &mut Vec<Program>,
) -> Result<markets::Made> {
    let teams: Vec<String> = testbed
        .site
        .cluster
        .teams
        .iter()
        .map(|t| t.name.clone())
        .collect();
    let made = markets::make(dir, count, LENT_CLASSES, &teams)?;
    let broker = program.with_file_name("pathwinch-market");
    anyhow::ensure!(broker.is_file(), "no {}: build it", broker.display());
    for number in 1..=BROKERS {
        let arguments = vec![
            "serve".into(),
            "--config".into(),
            testbed.controllers[0].settings.clone().into(),
            "--options".into(),
            made.options.clone().into(),
            "--keys".into(),
            made.home_keys.clone().into(),
        ];
        programs.push(Program {
            name: format!("broker-{number}"),
            path: broker.clone(),
            arguments,
        });
    }
    Ok(made)
}
