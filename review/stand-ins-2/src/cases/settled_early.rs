//! A broker ends and is back, after it told a market that the ends of some awards are recorded. No
//! job that the market has finished may run again.

use crate::{
    market,
    world::{Verdict, World, job, small_site},
};
use anyhow::{Result, ensure};
use std::{path::Path, rc::Rc};

const JOBS: usize = 8;
/// How long the case looks for second starts.
const WATCH_S: f64 = 45.0;

pub fn play(root: &Path, dir: &Path, record: &Path, trouble: bool) -> Result<Verdict> {
    let world = World::new(small_site()?, root, dir, record, trouble)?;
    let verdict = async_io::block_on(world.testbed.executor.run(run(&world)));
    world.end();
    verdict
}

/// A job that the market was told to forget, while the state service holds its award as open.
fn unrecorded(world: &World, market: &market::Market) -> Option<String> {
    let jobs = market.job_of.borrow();
    let settled = market.forgotten.borrow();
    let mut ids = settled
        .iter()
        .filter_map(|award| Some((award, jobs.get(award)?)));
    let found = ids.find(|(award, id)| {
        let held = world
            .testbed
            .state
            .borrow()
            .get(&format!("market/award/{id}"));
        let data = &held.body["data"];
        held.status == 200 && data["award"].as_u64() == Some(**award) && data["end"].is_null()
    });
    found.map(|(_, id)| id.clone())
}

async fn run(world: &Rc<World>) -> Result<Verdict> {
    world.start_controllers()?;
    let market = market::start(world, "reminder-sweep", "care-ops-00", 64, 2.0, 1.0)?;
    world.until_ready().await?;
    // The team's limit is 8 CPUs, and this job holds them.
    world
        .submit(&job(
            "j-000100",
            "adherence-study",
            "care-ops-00",
            "array",
            1,
            8.0,
            3_000.0,
        ))
        .await?;
    world.until_stage("j-000100", "running", 30.0).await?;
    for n in 1..=JOBS {
        let id = format!("j-{:06}", 200 + n);
        world
            .submit(&job(
                &id,
                "reminder-sweep",
                "care-ops-00",
                "array",
                1,
                8.0,
                12.0,
            ))
            .await?;
    }
    // The broker ends while some end that it called recorded is not in the state service yet, if
    // there is such a moment; otherwise when the last job has been settled.
    while market.forgotten.borrow().len() < JOBS && unrecorded(world, &market).is_none() {
        ensure!(world.seconds() < 70.0, "the jobs did not end in time");
        world.sleep(0.02).await;
    }
    if let Some(id) = unrecorded(world, &market) {
        world.note(&format!("the market was told that the end of {id} is recorded; the state service does not hold it"));
    }
    if world.trouble {
        world.kill("broker");
        world.sleep(1.0).await;
        market::start_broker(world)?;
    }
    let until = world.seconds() + WATCH_S;
    while world.seconds() < until {
        let done = market.told_done.borrow().clone();
        let again: Vec<String> = market
            .starts_of
            .borrow()
            .iter()
            .filter(|(job, starts)| **starts > 1 && done.contains(*job))
            .map(|(job, _)| job.clone())
            .collect();
        if !again.is_empty() {
            world.note(&format!(
                "the market had finished these and is to run them again: {}",
                again.join(" ")
            ));
            return Ok(Verdict::Broken);
        }
        world.sleep(0.1).await;
    }
    for n in 1..=JOBS {
        world.poll_and_note(&format!("j-{:06}", 200 + n)).await;
    }
    Ok(Verdict::Held)
}
