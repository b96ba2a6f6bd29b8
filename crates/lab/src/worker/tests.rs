//! Unit tests of the parent module.

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
    let rig = site.rigs[0].clone();
    Worker::new(
        id,
        String::new(),
        rig,
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

fn halt(task: &str, grace_s: f64) -> Vec<Command> {
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

fn states(w: &mut Worker) -> Vec<(TaskState, Option<ExitReason>)> {
    let report = w.report();
    report
        .tasks
        .iter()
        .map(|t| (t.state, t.exit_reason))
        .collect()
}

#[test]
fn a_task_fetches_runs_saves_and_goes_on_from_there() {
    let mut d = object_store(&job(Kind::Array, 4));
    let mut w = worker("i-1", 0);
    assert!(w.answered(0, 1, 7, start("j-000001/0"), &mut d, 0));
    // Two tasks fill its 8 cores; a third is refused, as is an unknown one.
    w.answered(0, 1, 7, start("j-000001/1"), &mut d, 0);
    w.answered(0, 1, 7, start("j-000001/2"), &mut d, 0);
    w.answered(0, 1, 7, start("j-000001/9"), &mut d, 0);
    w.step(&mut d, 1000);
    let seen = states(&mut w);
    assert_eq!(seen[0].0, TaskState::Running);
    assert_eq!(
        seen[2],
        (TaskState::Exited, Some(ExitReason::InsufficientResources))
    );
    assert_eq!(seen[3], (TaskState::Exited, Some(ExitReason::UnknownTask)));
    let all = d.left_ms("j-000001/0").unwrap();
    w.answered(1000, 1, 7, halt("j-000001/0", 5.0), &mut d, 4000);
    w.answered(1000, 1, 7, halt("j-000001/1", 0.0), &mut d, 4000);
    w.step(&mut d, 5000);
    assert_eq!(d.left_ms("j-000001/0"), Some(all - 3000), "saved as it was");
    let seen = w.report();
    assert!(seen.tasks[0].checkpointed && !seen.tasks[1].checkpointed);
    assert!(
        !w.answered(4000, 1, 6, start("j-000001/3"), &mut d, 5000),
        "old token"
    );
}

#[test]
fn a_gang_starts_together_and_falls_back_when_a_machine_is_lost() {
    let mut d = object_store(&job(Kind::Gang, 2));
    let (mut one, mut two) = (worker("i-1", 0), worker("i-2", 0));
    one.answered(0, 1, 1, start("j-000001/0"), &mut d, 0);
    one.step(&mut d, 1000);
    assert_eq!(states(&mut one)[0].0, TaskState::WaitingForGang);
    two.answered(0, 1, 1, start("j-000001/1"), &mut d, 2000);
    two.step(&mut d, 3000);
    one.step(&mut d, 3000);
    assert_eq!(states(&mut one)[0].0, TaskState::Running);
    let all = d.left_ms("j-000001/0").unwrap();
    // The second machine's lease expires; it had run for 3 s of 2 s steps.
    one.renewed = 31_000;
    two.lose_all(&mut d, 6000);
    one.step(&mut d, 8000);
    assert_eq!(states(&mut one)[0].0, TaskState::Running, "not noticed yet");
    one.step(&mut d, 8500);
    assert_eq!(states(&mut one)[0].1, Some(ExitReason::GangMemberLost));
    assert_eq!(d.left_ms("j-000001/0"), Some(all - 2000));
    assert!(d.violations().is_empty());
}

#[test]
fn a_lapsed_lease_kills_and_a_task_in_two_places_is_noticed() {
    let mut d = object_store(&job(Kind::Service, 1));
    let (mut one, mut two) = (worker("i-1", 0), worker("i-2", 0));
    one.answered(0, 1, 1, start("j-000001/0"), &mut d, 0);
    one.step(&mut d, 1000);
    two.answered(0, 1, 1, start("j-000001/0"), &mut d, 1000);
    two.step(&mut d, 2000);
    assert_eq!(d.violations().len(), 1, "the checker sees it");
    one.step(&mut d, 31_000);
    assert_eq!(one.session, 2);
    assert!(states(&mut one).is_empty());
    assert!(!one.answered(0, 1, 1, start("j-000001/0"), &mut d, 31_000));
}
