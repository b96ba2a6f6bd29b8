//! Unit tests of the simulated worker.

use super::*;
use crate::site::Site;
use pathwinch_protocol::users::{JobSpec, Priority};

fn job(kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        id: "j-000001".into(),
        class: "c".into(),
        team: "orders".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 2.0,
        types: None,
        zone: None,
        single_zone: false,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_interval_s: 2.0,
        checkpoint_cost_s: 1.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn worker(id: &str, now: Millis) -> Worker {
    let site = Site::default();
    let machine_type = site.rigs[0].clone();
    Worker::new(
        id,
        String::new(),
        machine_type,
        "a",
        false,
        site.cluster.workers,
        now,
    )
}

fn start(task: &str) -> Vec<Command> {
    vec![Command::Start {
        task: task.into(),
        attempt: 1,
    }]
}

fn stop(task: &str, grace_s: f64) -> Vec<Command> {
    vec![Command::Stop {
        task: task.into(),
        attempt: 1,
        grace_s,
    }]
}

fn object_store(spec: &JobSpec) -> ObjectStore {
    let mut object_store = ObjectStore::new(1, 0.0, 5_000, 20_000);
    object_store.upload(spec);
    object_store
}

fn states(agent: &mut Worker) -> Vec<(TaskState, Option<ExitReason>)> {
    let heartbeat = agent.report();
    heartbeat
        .tasks
        .iter()
        .map(|t| (t.state, t.exit_reason))
        .collect()
}

#[test]
fn task_fetches_runs_and_saves_its_progress_when_stopped() {
    let mut store = object_store(&job(Kind::Array, 4));
    let mut agent = worker("i-1", 0);
    assert!(agent.on_heartbeat_answer(0, 1, 7, start("j-000001/0"), &mut store, 0));
    // Two tasks fill the 8 cores; the third task and an unknown task are refused.
    agent.on_heartbeat_answer(0, 1, 7, start("j-000001/1"), &mut store, 0);
    agent.on_heartbeat_answer(0, 1, 7, start("j-000001/2"), &mut store, 0);
    agent.on_heartbeat_answer(0, 1, 7, start("j-000001/9"), &mut store, 0);
    agent.step(&mut store, 1000);
    let seen = states(&mut agent);
    assert_eq!(seen[0].0, TaskState::Running);
    assert_eq!(
        seen[2],
        (TaskState::Exited, Some(ExitReason::InsufficientResources))
    );
    assert_eq!(seen[3], (TaskState::Exited, Some(ExitReason::UnknownTask)));
    let all = store.left_ms("j-000001/0").unwrap();
    agent.on_heartbeat_answer(1000, 1, 7, stop("j-000001/0", 5.0), &mut store, 4000);
    agent.on_heartbeat_answer(1000, 1, 7, stop("j-000001/1", 0.0), &mut store, 4000);
    agent.step(&mut store, 5000);
    assert_eq!(
        store.left_ms("j-000001/0"),
        Some(all - 3000),
        "the checkpoint holds all progress"
    );
    let seen = agent.report();
    assert!(seen.tasks[0].checkpointed && !seen.tasks[1].checkpointed);
    assert!(
        !agent.on_heartbeat_answer(4000, 1, 6, start("j-000001/3"), &mut store, 5000),
        "outdated fencing token"
    );
}

#[test]
fn gang_starts_together_and_loses_progress_since_checkpoint_when_a_machine_is_lost() {
    let mut store = object_store(&job(Kind::Gang, 2));
    let (mut first_worker, mut second_worker) = (worker("i-1", 0), worker("i-2", 0));
    first_worker.on_heartbeat_answer(0, 1, 1, start("j-000001/0"), &mut store, 0);
    first_worker.step(&mut store, 1000);
    assert_eq!(states(&mut first_worker)[0].0, TaskState::WaitingForGang);
    second_worker.on_heartbeat_answer(0, 1, 1, start("j-000001/1"), &mut store, 2000);
    second_worker.step(&mut store, 3000);
    first_worker.step(&mut store, 3000);
    assert_eq!(states(&mut first_worker)[0].0, TaskState::Running);
    let all = store.left_ms("j-000001/0").unwrap();
    // The second machine is lost after 3 s of run time; its checkpoints are 2 s apart, so
    // that 2 s of progress remain.
    first_worker.lease_start = 31_000;
    second_worker.lose_all(&mut store, 6000);
    first_worker.step(&mut store, 8000);
    assert_eq!(
        states(&mut first_worker)[0].0,
        TaskState::Running,
        "not noticed yet"
    );
    first_worker.step(&mut store, 8500);
    assert_eq!(
        states(&mut first_worker)[0].1,
        Some(ExitReason::GangMemberLost)
    );
    assert_eq!(store.left_ms("j-000001/0"), Some(all - 2000));
    assert!(store.violations().is_empty());
}

#[test]
fn expired_lease_kills_tasks_and_duplicate_task_is_recorded() {
    let mut store = object_store(&job(Kind::Service, 1));
    let (mut first_worker, mut second_worker) = (worker("i-1", 0), worker("i-2", 0));
    first_worker.on_heartbeat_answer(0, 1, 1, start("j-000001/0"), &mut store, 0);
    first_worker.step(&mut store, 1000);
    second_worker.on_heartbeat_answer(0, 1, 1, start("j-000001/0"), &mut store, 1000);
    second_worker.step(&mut store, 2000);
    assert_eq!(
        store.violations().len(),
        1,
        "the duplicate task is recorded"
    );
    first_worker.step(&mut store, 31_000);
    assert_eq!(first_worker.incarnation, 2);
    assert!(states(&mut first_worker).is_empty());
    assert!(!first_worker.on_heartbeat_answer(0, 1, 1, start("j-000001/0"), &mut store, 31_000));
}
