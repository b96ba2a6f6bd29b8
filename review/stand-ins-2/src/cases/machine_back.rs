//! A machine stops and is back, and a copy of a direct command that it had carried out arrives. The
//! task runs on another machine by then; it must not start here.

use crate::{
    machines,
    world::{Verdict, World, job, small_site},
};
use anyhow::{Result, ensure};
use pathwinch_protocol::workers::Command;
use std::{path::Path, rc::Rc};

const JOB: &str = "j-000201";
/// From the return of the machine to the copy.
const COPY_AFTER_S: f64 = 0.2;

pub fn play(root: &Path, dir: &Path, record: &Path, trouble: bool) -> Result<Verdict> {
    let world = World::with_own_machines(small_site()?, root, dir, record, trouble)?;
    let verdict = async_io::block_on(world.testbed.executor.run(run(&world)));
    world.end();
    verdict
}

async fn run(world: &Rc<World>) -> Result<Verdict> {
    let machines = machines::start(world);
    world.start_controllers()?;
    world.until_ready().await?;
    world
        .submit(&job(
            JOB,
            "reminder-sweep",
            "care-ops-01",
            "array",
            1,
            8.0,
            3_000.0,
        ))
        .await?;
    world.until_stage(JOB, "running", 40.0).await?;
    let task = format!("{JOB}/0");
    let launches = |commands: &[Command]| {
        commands
            .iter()
            .any(|c| matches!(c, Command::Start { task: t, .. } if *t == task))
    };
    let holder = || {
        let all = machines.all.borrow();
        let found = all
            .values()
            .find(|m| !m.off.get() && m.carried_out.borrow().iter().any(|c| launches(&c.commands)));
        found.cloned()
    };
    let Some(first) = holder() else {
        anyhow::bail!("the task was not started by a direct command")
    };
    let copies: Vec<_> = first
        .carried_out
        .borrow()
        .iter()
        .filter(|c| launches(&c.commands))
        .cloned()
        .collect();
    world.sleep(2.0).await;
    if world.trouble {
        first.stop(world);
        while holder().is_none() {
            ensure!(
                world.seconds() < 60.0,
                "the task was not started elsewhere in time"
            );
            world.sleep(0.02).await;
        }
        let second = holder().map(|m| m.name.clone()).unwrap_or_default();
        world.note(&format!("the task was started on {second}"));
        world.sleep(1.5).await;
        first.come_back(world);
        world.sleep(COPY_AFTER_S).await;
        for copy in copies {
            first.carry_out(world, copy, "a copy of an earlier ");
        }
    }
    world.sleep(10.0).await;
    let broken = world.testbed.object_store.borrow().violations().to_vec();
    for line in &broken {
        world.note(&format!("rule broken: {line}"));
    }
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
