//! Jobs that were lent are done at their market; meanwhile the state service lowers its limits to
//! those that `state.next` names. Each job must still be called done.

use crate::{
    market,
    world::{Verdict, World, job, small_site},
};
use anyhow::{Result, ensure};
use pathwinch_protocol::settings::NextLimits;
use std::{path::Path, rc::Rc};

const JOBS: usize = 8;
/// A job that is done is called done after 3 s; this is far more.
const PATIENCE_S: f64 = 55.0;

pub fn play(root: &Path, dir: &Path, record: &Path, trouble: bool) -> Result<Verdict> {
    let mut site = small_site()?;
    site.cluster.state.next = Some(NextLimits {
        rps: None,
        write_rps: Some(15.0),
        value_kb: Some(2.0),
        txn_ops: Some(4),
    });
    let world = World::new(site, root, dir, record, trouble)?;
    let verdict = async_io::block_on(world.testbed.executor.run(run(&world)));
    world.end();
    verdict
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
    let ids: Vec<String> = (1..=JOBS).map(|n| format!("j-{:06}", 200 + n)).collect();
    for id in &ids {
        world
            .submit(&job(
                id,
                "reminder-sweep",
                "care-ops-00",
                "array",
                1,
                8.0,
                12.0,
            ))
            .await?;
    }
    while *market.starts.borrow() < JOBS {
        ensure!(world.seconds() < 50.0, "the jobs were not lent in time");
        world.sleep(0.05).await;
    }
    if world.trouble {
        world
            .testbed
            .state
            .borrow_mut()
            .apply_next_limits(world.testbed.now());
        world.note("the state service's limits fall to those of `state.next`");
    }
    while *market.ends.borrow() < JOBS {
        ensure!(
            world.seconds() < 60.0,
            "the market did not end the jobs in time"
        );
        world.sleep(0.1).await;
    }
    let over = world.seconds();
    world.note("all lent jobs are done at their market");
    let mut open = ids.clone();
    while !open.is_empty() && world.seconds() < over + PATIENCE_S {
        let mut left = Vec::new();
        for id in open {
            if world.poll_and_note(&id).await.as_deref() != Some("done") {
                left.push(id);
            }
        }
        open = left;
        world.sleep(5.0).await;
    }
    world.note(&format!(
        "not called done {PATIENCE_S} s later: {} of {JOBS}",
        open.len()
    ));
    Ok(if open.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
