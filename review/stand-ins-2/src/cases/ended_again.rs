//! A job is cancelled and its task stopped; the machine is back at once, and copies of the direct
//! command that launched the task arrive. `cancel_s` after the user was told it must be gone.

use crate::{
    machines,
    world::{Verdict, World, job, small_site},
};
use anyhow::{Result, ensure};
use pathwinch_protocol::workers::{Command, TaskState};
use std::{path::Path, rc::Rc};

const JOB: &str = "j-000201";
/// How long the machine is away.
const AWAY_S: f64 = 0.1;
/// From one copy to the next.
const COPY_EVERY_S: f64 = 0.1;

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
    let task = format!("{JOB}/0");
    let launches = |commands: &[Command]| {
        commands
            .iter()
            .any(|c| matches!(c, Command::Start { task: t, .. } if *t == task))
    };
    let halts = |commands: &[Command]| {
        commands
            .iter()
            .any(|c| matches!(c, Command::Stop { task: t, .. } if *t == task))
    };
    let holder = || {
        let all = machines.all.borrow();
        let found = all
            .values()
            .find(|m| m.carried_out.borrow().iter().any(|c| launches(&c.commands)));
        found.cloned()
    };
    while holder().is_none() {
        ensure!(
            world.seconds() < 40.0,
            "the task was not launched directly in time"
        );
        world.sleep(0.01).await;
    }
    let Some(machine) = holder() else {
        anyhow::bail!("no machine has the task")
    };
    let launch = machine
        .carried_out
        .borrow()
        .iter()
        .find(|c| launches(&c.commands))
        .cloned();
    let (w, m) = (world.clone(), machine.clone());
    let watch = async move {
        // The machine ends right after it has stopped the task, and is back at once.
        while !m.carried_out.borrow().iter().any(|c| halts(&c.commands)) {
            ensure!(
                w.seconds() < 60.0,
                "the task was not stopped directly in time"
            );
            w.sleep(0.005).await;
        }
        if w.trouble {
            let reports = m.worker.borrow_mut().report().seq - 1;
            m.stop(&w);
            w.sleep(AWAY_S).await;
            m.come_back(&w);
            // As many copies as it takes for the new agent to count past the old one.
            for _ in 0..reports.saturating_sub(2).max(1) {
                w.sleep(COPY_EVERY_S).await;
                if let Some(launch) = launch.clone() {
                    m.carry_out(&w, launch, "a copy of an earlier ");
                }
            }
        }
        Ok(())
    };
    let cancel = async {
        let stage = world.cancel(JOB).await?;
        ensure!(stage == "withdrawn", "the job was not cancelled");
        Ok(world.seconds())
    };
    let (told, watched) = futures_lite::future::zip(cancel, watch).await;
    watched?;
    let told = told?;
    let cancel_s = world.testbed.site.cluster.workers.cancel_s;
    world.sleep(told + cancel_s + 1.0 - world.seconds()).await;
    let report = machine.worker.borrow_mut().report();
    let here = !machine.off.get() && machines.all.borrow().contains_key(&machine.name);
    let runs = here
        && report
            .tasks
            .iter()
            .any(|t| t.task == task && t.state == TaskState::Running);
    let what = if runs { "still runs" } else { "does not run" };
    world.note(&format!(
        "{:.1} s after the user was told, {task} {what} on {}",
        world.seconds() - told,
        machine.name
    ));
    Ok(if runs { Verdict::Broken } else { Verdict::Held })
}
