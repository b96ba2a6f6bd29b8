//! Stops of tasks for several reasons, one after the other: what a later reason changes in a
//! stop that was requested, or carried out, before it.

mod simulation;

use pathwinch::{
    protocol::users::{JobSpec, JobState, Kind, Priority},
    state::Millis,
};
use simulation::{CANCEL, Net, Simulation, id, job};

/// Time that the tasks of `saving_job` take to save, longer than a cancellation may take.
const SAVING_S: f64 = 60.0;
/// Time within which a command reaches a task in these scenarios, also if its direct delivery
/// is lost and the next response to a heartbeat brings it.
const COMMAND_MS: Millis = 3_000;

/// A job whose tasks take a whole machine each, save checkpoints, and take long to do so.
fn saving_job(kind: Kind, tasks: u32) -> JobSpec {
    let mut spec = job(1, kind, tasks);
    spec.cpus = 8.0;
    (spec.checkpoint_interval_s, spec.checkpoint_cost_s) = (5.0, SAVING_S);
    spec
}

/// A cluster on which all tasks of a `saving_job` run.
fn cluster_with_saving_job(seed: u64, kind: Kind, tasks: u32) -> Simulation {
    let mut sim = Simulation::with_leader(seed, tasks as usize, 0.0);
    sim.run_ms = 600_000;
    sim.submit(saving_job(kind, tasks));
    sim.run_until(20_000, "running", |s| {
        s.running("j-000001") == tasks as usize
    });
    sim
}

/// Submits a service that needs the machine of a task of lower priority, and runs until the
/// tasks of the job save.
fn preempt(sim: &mut Simulation, tasks: usize) {
    let mut service = job(2, Kind::Service, 1);
    service.priority = Priority::Production;
    service.cpus = 8.0;
    sim.submit(service);
    sim.run_until(20_000, "saving", |s| s.saving("j-000001") == tasks);
}

/// Cancels the job, whose tasks save, and checks that they are gone at once.
fn cancel_while_saving(sim: &mut Simulation, scenario: &str) {
    sim.run(1_000);
    assert!(sim.saving("j-000001") > 0, "{scenario}");
    sim.cancel("j-000001");
    sim.run(COMMAND_MS);
    assert_eq!(sim.saving("j-000001"), 0, "{scenario}: still saves");
    assert_eq!(sim.running("j-000001"), 0, "{scenario}: still runs");
    sim.run(CANCEL);
    sim.assert_no_violations();
}

/// Guards against `ran_cancelled`: a task that saves for a more urgent job goes on saving after
/// its job is cancelled, for longer than `cancel_s`.
#[test]
fn cancelled_task_saves_no_longer_when_preempted_before() {
    for (seed, direct_commands_arrive) in [(1, true), (2, false)] {
        let mut sim = cluster_with_saving_job(seed, Kind::Array, 1);
        preempt(&mut sim, 1);
        if !direct_commands_arrive {
            sim.direct_command_delay.insert(0, 60_000);
        }
        let scenario = format!("direct commands arrive: {direct_commands_arrive}");
        cancel_while_saving(&mut sim, &scenario);
        assert_eq!(
            sim.running("j-000002"),
            1,
            "{scenario}: machine is not freed"
        );
    }
}

/// Guards against a stop without grace that waits for a heartbeat: a machine that reaches no
/// controller, while direct commands reach it, is told at once that its saving task is cancelled.
#[test]
fn cancelled_task_is_told_directly_to_stop_saving() {
    let mut sim = cluster_with_saving_job(9, Kind::Array, 1);
    preempt(&mut sim, 1);
    sim.workers[0].net = Net::DirectCommandsOnly;
    sim.cancel("j-000001");
    sim.run(COMMAND_MS);
    assert_eq!(sim.saving("j-000001"), 0);
    assert_eq!(sim.expired_tasks, 0);
    sim.assert_no_violations();
}

/// Guards against `ran_cancelled`: a task that saves because the cloud reclaims its machine goes
/// on saving after its job is cancelled.
#[test]
fn cancelled_task_saves_no_longer_when_its_machine_is_reclaimed() {
    let mut sim = cluster_with_saving_job(3, Kind::Array, 1);
    sim.announce_reclaim(0, 300_000);
    sim.run_until(5_000, "saving", |s| s.saving("j-000001") == 1);
    cancel_while_saving(&mut sim, "reclaim notice");
}

/// Guards against `ran_cancelled`: the tasks of a gang that is stopped together go on saving after
/// the gang is cancelled.
#[test]
fn cancelled_gang_saves_no_longer_when_one_machine_is_reclaimed() {
    let mut sim = cluster_with_saving_job(4, Kind::Gang, 3);
    sim.announce_reclaim(1, 300_000);
    sim.run_until(5_000, "saving", |s| s.saving("j-000001") == 3);
    cancel_while_saving(&mut sim, "gang");
}

/// Guards against `ran_cancelled`: a leader that adopts a task while it saves does not know the
/// stop of the leader before, whether it takes over warm or cold.
#[test]
fn cancelled_task_saves_no_longer_when_leader_changes_before() {
    for (seed, warm) in [(5, true), (6, false)] {
        let mut sim = cluster_with_saving_job(seed, Kind::Array, 2);
        sim.run(5_000);
        preempt(&mut sim, 1);
        match (warm, sim.leader()) {
            (true, Some(leader)) => sim.crash(leader, 3_000),
            // Replicas are lost with their processes.
            _ => (0..3).for_each(|node| sim.crash(node, 1_000)),
        }
        sim.run_until(30_000, "a leader", |s| s.leader().is_some());
        assert_eq!(sim.warm_failovers > 0, warm, "seed {seed}");
        cancel_while_saving(&mut sim, if warm { "warm" } else { "cold" });
    }
}

/// Guards against a lost checkpoint: a gang of which one task has saved and exited counts as
/// incomplete, and the others, which still save, must not be stopped without grace for that.
#[test]
fn gang_goes_on_saving_when_its_first_task_has_saved() {
    let mut sim = cluster_with_saving_job(7, Kind::Gang, 2);
    sim.announce_reclaim(0, 300_000);
    sim.run_until(5_000, "saving", |s| s.saving("j-000001") == 2);
    let saved = sim.now;
    sim.end_saving(0);
    sim.run(10_000);
    assert_eq!(sim.saving("j-000001"), 1);
    sim.run_until(70_000, "all saved", |s| s.saving("j-000001") == 0);
    assert!(sim.now >= saved + (SAVING_S * 1000.0) as Millis);
    sim.assert_no_violations();
}

/// Guards against `went_back`: a cancellation while tasks save is final at every node.
#[test]
fn cancellation_while_saving_is_answered_by_every_node() {
    let mut sim = cluster_with_saving_job(8, Kind::Array, 1);
    preempt(&mut sim, 1);
    sim.cancel("j-000001");
    sim.run(COMMAND_MS);
    for node in 0..3 {
        assert_eq!(sim.poll(node, "j-000001"), Some(JobState::Cancelled));
    }
    sim.assert_no_violations();
}

/// A job of random kind and priority, whose tasks save for 5 or 60 s.
fn random_saving_job(sim: &mut Simulation, number: u32) -> JobSpec {
    let kind = [Kind::Array, Kind::Array, Kind::Gang, Kind::Service][sim.rng.usize(..4)];
    let mut spec = job(number, kind, sim.rng.u32(1..5));
    spec.priority = [Priority::Normal, Priority::High, Priority::Production][sim.rng.usize(..3)];
    spec.checkpoint_interval_s = 5.0;
    spec.checkpoint_cost_s = if sim.rng.bool() { 5.0 } else { SAVING_S };
    spec
}

/// Injects a fault that delays stops, hides them, or changes the leader.
fn inject_fault(sim: &mut Simulation) {
    let machine = sim.rng.usize(..sim.workers.len());
    let node = sim.rng.usize(..sim.nodes.len());
    match sim.rng.u8(..10) {
        0 => sim.crash(node, 3_000),
        1 => sim.pause_process(node, 5_000),
        2 => sim.workers[machine].net = Net::Hold,
        3 => sim.workers[machine].net = Net::SendOnly,
        4 => drop(sim.direct_command_delay.insert(machine, 8_000)),
        5 => drop(sim.connect_delay.insert(machine, 1_500)),
        6 => sim.store.lost_answers = 60,
        7 => sim.pause_machine(machine, 6_000),
        _ => sim.announce_reclaim(machine, 120_000),
    }
}

fn end_faults(sim: &mut Simulation) {
    (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
    sim.store.lost_answers = 0;
    sim.direct_command_delay.clear();
    sim.connect_delay.clear();
}

/// Random jobs are stopped for more urgent ones and on reclaim notices, and cancelled, while
/// commands are lost or late and leaders change. `SEEDS` sets the number of runs.
#[test]
fn random_stops_and_cancellations_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(20, |seeds| seeds.parse().unwrap()) {
        let mut sim = Simulation::with_leader(5_000 + seed, 5, 0.0);
        (sim.cloud_grants, sim.run_ms) = (true, 30_000);
        let (mut cancelled, mut saved) = (0, 0);
        for number in 1..=40 {
            let spec = random_saving_job(&mut sim, number);
            sim.submit(spec);
            inject_fault(&mut sim);
            let duration_ms = sim.rng.u64(200..5_000);
            sim.run(duration_ms);
            if sim.rng.bool() {
                end_faults(&mut sim);
            }
            saved += sim.saving("j-");
            if number > 4 && sim.rng.bool() {
                end_faults(&mut sim);
                let earlier = number - sim.rng.u32(1..4);
                sim.cancel(&id(earlier));
                cancelled += 1;
            }
            let node = sim.rng.usize(..3);
            sim.poll(node, &id(number));
        }
        end_faults(&mut sim);
        sim.run(CANCEL + 5_000);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        assert!(
            cancelled > 5 && saved > 0,
            "seed {seed}: {cancelled}, {saved}"
        );
    }
}
