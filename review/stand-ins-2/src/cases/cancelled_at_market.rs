//! A lent job is cancelled while its market is cut off from home. Its tasks must be gone `cancel_s`
//! after the user was told.

use crate::{
    market,
    world::{Verdict, World, job, lahore_site},
};
use anyhow::{Result, ensure};
use std::{path::Path, rc::Rc};

const JOB: &str = "j-000201";

pub fn play(root: &Path, dir: &Path, record: &Path, trouble: bool) -> Result<Verdict> {
    let world = World::new(lahore_site()?, root, dir, record, trouble)?;
    let verdict = async_io::block_on(world.testbed.executor.run(run(&world)));
    world.end();
    verdict
}

async fn run(world: &Rc<World>) -> Result<Verdict> {
    world.start_controllers()?;
    let market = market::start(world, "nightly-slice", "production-floor-00", 64, 2.0, 1.0)?;
    world.until_ready().await?;
    // The team's limit is 8 CPUs, and this job holds them.
    world
        .submit(&job(
            "j-000100",
            "topology-idle",
            "production-floor-00",
            "array",
            1,
            8.0,
            3_000.0,
        ))
        .await?;
    world.until_stage("j-000100", "running", 30.0).await?;
    world
        .submit(&job(
            JOB,
            "nightly-slice",
            "production-floor-00",
            "array",
            1,
            8.0,
            600.0,
        ))
        .await?;
    while *market.starts.borrow() == 0 {
        ensure!(world.seconds() < 50.0, "the job was not lent in time");
        world.sleep(0.05).await;
    }
    world.sleep(5.0).await;
    if world.trouble {
        market.cut.set(true);
        world.note("the network between home and market is cut");
    }
    let stage = world.cancel(JOB).await?;
    ensure!(stage == "withdrawn", "the job was not cancelled");
    let told = world.seconds();
    let cancel_s = world.testbed.site.cluster.workers.cancel_s;
    let until = told + cancel_s + 1.0;
    while world.seconds() < until && !market.running.borrow().is_empty() {
        world.sleep(0.1).await;
    }
    let runs = market.running.borrow().iter().any(|id| id == JOB);
    let since = world.seconds() - told;
    let what = if runs { "still runs" } else { "does not run" };
    world.note(&format!(
        "{since:.1} s after the user was told, {JOB} {what} at the market"
    ));
    Ok(if runs { Verdict::Broken } else { Verdict::Held })
}
