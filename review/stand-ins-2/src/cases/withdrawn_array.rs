//! A market withdraws a large array in the middle. What is left of it must run, here or elsewhere.

use crate::{
    market,
    world::{Verdict, World, job, small_site},
};
use anyhow::{Result, ensure};
use std::{path::Path, rc::Rc};

const TASKS: u32 = 2_400;
const JOB: &str = "j-000201";
/// Time for which no job may be left waiting while a machine has room for it.
const WAIT_S: f64 = 90.0;

pub fn play(root: &Path, dir: &Path, record: &Path, trouble: bool) -> Result<Verdict> {
    let world = World::new(small_site()?, root, dir, record, trouble)?;
    let verdict = async_io::block_on(world.testbed.executor.run(run(&world)));
    world.end();
    verdict
}

async fn run(world: &Rc<World>) -> Result<Verdict> {
    world.start_controllers()?;
    let market = market::start(world, "interaction-grid", "care-ops-00", 3_000, 1.0, 1.0)?;
    world.until_ready().await?;
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
    world
        .submit(&job(
            JOB,
            "interaction-grid",
            "care-ops-00",
            "array",
            TASKS,
            8.0,
            10.0,
        ))
        .await?;
    while *market.starts.borrow() == 0 {
        ensure!(world.seconds() < 26.0, "the job was not lent in time");
        world.sleep(0.05).await;
    }
    // Almost half of its tasks are finished by then.
    world.sleep(4.5).await;
    if world.trouble {
        market.sim.borrow_mut().withdrawal_probability_per_s = 1e6;
    }
    while *market.ends.borrow() == 0 {
        ensure!(
            world.seconds() < 50.0,
            "the market did not end the job in time"
        );
        world.sleep(0.02).await;
    }
    market.sim.borrow_mut().withdrawal_probability_per_s = 0.0;
    // From now on the team is far below its limit, and the machine is free.
    world.cancel("j-000100").await?;
    let over = world.seconds();
    let mut last_noted = 0.0;
    let mut answer;
    loop {
        answer = world
            .user(http_types::Method::Get, &format!("/v1/jobs/{JOB}"), None)
            .await;
        let stage = answer.1["stage"].as_str().unwrap_or_default().to_owned();
        if world.seconds() >= last_noted + 5.0 {
            last_noted = world.seconds();
            world.note(&format!("asked for {JOB}: {} {}", answer.0, answer.1));
        }
        let runs_here = answer.1["running"].as_u64().unwrap_or(0) > 0;
        if stage == "done" || *market.starts.borrow() > 1 || runs_here {
            world.note(&format!(
                "{JOB} goes on or is done: {} {}",
                answer.0, answer.1
            ));
            return Ok(Verdict::Held);
        }
        if world.seconds() > over + WAIT_S || world.seconds() > 117.0 {
            break;
        }
        world.sleep(0.25).await;
    }
    ensure!(world.seconds() >= over + WAIT_S, "the case began too late");
    world.note(&format!("{JOB} was left waiting for {WAIT_S} s"));
    Ok(Verdict::Broken)
}
