use super::{
    DependencyGraph, DependencyState, DependentCancellation, JobHandle, Priority, Readiness,
};
use crate::state::slot_table::SlotTable;
use Priority::*;
use std::sync::LazyLock;

const MAX_JOBS: usize = 20_001;

/// Handles of the jobs by index, up to `MAX_JOBS`.
static HANDLES: LazyLock<Vec<JobHandle>> = LazyLock::new(|| {
    let mut jobs: SlotTable<JobHandle, ()> = SlotTable::default();
    (0..MAX_JOBS).map(|_| jobs.insert(())).collect()
});

fn handle(index: u32) -> JobHandle {
    HANDLES[index as usize]
}

fn readiness_of(graph: &DependencyGraph, jobs: &[u32]) -> Vec<Readiness> {
    jobs.iter().map(|j| graph.readiness(handle(*j))).collect()
}

#[test]
fn job_is_ready_once_last_dependency_of_a_diamond_is_done() {
    let mut graph = DependencyGraph::default();
    graph.add(handle(0), Low, []);
    graph.add(
        handle(1),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    graph.add(
        handle(2),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    graph.add(
        handle(3),
        High,
        [
            ("j-000001", DependencyState::Live(handle(1), Low)),
            ("j-000002", DependencyState::Live(handle(2), Low)),
        ],
    );
    assert_eq!(
        readiness_of(&graph, &[0, 1, 2, 3])[1..],
        [Readiness::Blocked; 3]
    );
    // Every job of the diamond has the priority of its last job until that job ends.
    assert_eq!(graph.effective_priority(handle(0)), Some(High));
    graph.job_ended(handle(0), true);
    assert_eq!(
        readiness_of(&graph, &[1, 2, 3]),
        [Readiness::Ready, Readiness::Ready, Readiness::Blocked]
    );
    graph.job_ended(handle(1), true);
    assert_eq!(graph.readiness(handle(3)), Readiness::Blocked);
    graph.job_ended(handle(2), true);
    assert_eq!(graph.readiness(handle(3)), Readiness::Ready);
    assert_eq!(graph.take_changes().cancellations, []);
}

#[test]
fn inherited_priority_falls_when_the_dependent_ends() {
    let mut graph = DependencyGraph::default();
    graph.add(handle(0), Low, []);
    graph.add(
        handle(1),
        Normal,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    graph.add(
        handle(2),
        Production,
        [("j-000001", DependencyState::Live(handle(1), Normal))],
    );
    assert_eq!(graph.effective_priority(handle(0)), Some(Production));
    graph.job_ended(handle(2), false);
    assert_eq!(
        (
            graph.effective_priority(handle(1)),
            graph.effective_priority(handle(0))
        ),
        (Some(Normal), Some(Normal))
    );
}

#[test]
fn job_keeps_own_priority_when_its_dependents_have_less() {
    let mut graph = DependencyGraph::default();
    graph.add(
        handle(1),
        Low,
        [("j-000000", DependencyState::Live(handle(0), High))],
    );
    assert_eq!(graph.effective_priority(handle(0)), Some(High));
}

#[test]
fn dependency_is_due_before_longest_path_to_a_deadline() {
    let mut graph = DependencyGraph::default();
    graph.add(
        handle(1),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    graph.add(
        handle(2),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    let last = [
        ("j-000001", DependencyState::Live(handle(1), Low)),
        ("j-000002", DependencyState::Live(handle(2), Low)),
    ];
    graph.add(handle(3), High, last);
    let own = |job: JobHandle| match job.index() {
        1 => (None, 40),
        2 => (Some(70), 10),
        3 => (Some(100), 20),
        _ => (None, 5),
    };
    let due = graph.due_by(own);
    assert_eq!(
        (due[&handle(3)], due[&handle(1)], due[&handle(2)]),
        (100, 80, 70)
    );
    assert_eq!(due[&handle(0)], 40);
    // After the last job ended, only the own deadline of job 2 counts.
    graph.job_ended(handle(3), false);
    let due = graph.due_by(own);
    assert_eq!(
        (due.get(&handle(1)), due[&handle(2)], due[&handle(0)]),
        (None, 70, 60)
    );
}

#[test]
fn cancellation_reaches_all_dependents_in_any_order_of_arrival() {
    let mut graph = DependencyGraph::default();
    // The chain is deep enough to overflow the stack in a recursive traversal.
    for number in (1..20_000u32).rev() {
        let id = format!("j-{:06}", number - 1);
        graph.add(
            handle(number),
            Low,
            [(id.as_str(), DependencyState::Unknown)],
        );
        graph.resolve(
            &format!("j-{number:06}"),
            DependencyState::Live(handle(number), Low),
        );
    }
    assert_eq!(
        (graph.readiness(handle(1)), graph.readiness(handle(2))),
        (Readiness::Unresolved, Readiness::Blocked)
    );
    assert!(graph.has_unknown_dependents("j-000000"));
    graph.resolve("j-000000", DependencyState::Cancelled);
    assert_eq!(graph.take_changes().cancellations.len(), 19_999);
    // A dependent that is added later is cancelled as well, and stays blocked.
    graph.add(
        handle(20_000),
        Low,
        [("j-000005", DependencyState::Live(handle(5), Low))],
    );
    let cancellations = graph.take_changes().cancellations;
    let jobs: Vec<JobHandle> = cancellations
        .iter()
        .map(|cancellation| cancellation.job)
        .collect();
    assert_eq!(jobs, [handle(20_000)]);
    graph.job_ended(handle(5), false);
    assert_eq!(graph.readiness(handle(20_000)), Readiness::Blocked);
}

#[test]
fn unknown_dependency_is_looked_up_once_until_resolved() {
    let mut graph = DependencyGraph::default();
    graph.add(handle(1), Low, [("j-000007", DependencyState::Unknown)]);
    graph.add(
        handle(2),
        Low,
        [
            ("j-000007", DependencyState::Unknown),
            ("j-000001", DependencyState::Live(handle(1), Low)),
        ],
    );
    let ids = graph.take_lookups(9);
    assert_eq!(ids, ["j-000007"]);
    assert!(graph.take_lookups(9).is_empty());
    graph.requeue_lookups(ids);
    assert_eq!(graph.take_lookups(9).len(), 1);
    graph.resolve("j-000007", DependencyState::Done);
    assert_eq!(
        (graph.readiness(handle(1)), graph.readiness(handle(2))),
        (Readiness::Ready, Readiness::Blocked)
    );
}

/// Guards against a late lookup answer that is applied to a job which took the index of
/// the job that waited for it: the new job was cancelled, or started too early.
#[test]
fn late_resolution_reaches_no_job_that_took_the_index() {
    for found in [DependencyState::Cancelled, DependencyState::Done] {
        let mut jobs: SlotTable<JobHandle, ()> = SlotTable::default();
        let mut graph = DependencyGraph::default();
        let first = jobs.insert(());
        graph.add(first, Low, [("j-000007", DependencyState::Unknown)]);
        graph.job_ended(first, false);
        jobs.remove(first);
        let second = jobs.insert(());
        assert_eq!(second.index(), first.index());
        graph.add(second, Low, [("j-000008", DependencyState::Unknown)]);
        graph.resolve("j-000007", found);
        assert!(!graph.must_cancel(second), "{found:?}");
        assert_eq!(graph.readiness(second), Readiness::Unresolved, "{found:?}");
        graph.resolve("j-000008", DependencyState::Done);
        assert_eq!(graph.readiness(second), Readiness::Ready, "{found:?}");
    }
}

#[test]
fn cancellation_names_the_dependency_that_it_came_from() {
    let mut graph = DependencyGraph::default();
    graph.add(handle(1), Low, [("j-000000", DependencyState::Unknown)]);
    let first = DependencyState::Live(handle(1), Low);
    graph.add(handle(2), Low, [("j-000001", first)]);
    graph.resolve("j-000000", DependencyState::Cancelled);
    let of = |job| DependentCancellation {
        job: handle(job),
        dependency: "j-000000".into(),
    };
    assert_eq!(graph.take_changes().cancellations, [of(1), of(2)]);
    let live = DependencyState::Live(handle(3), Low);
    graph.add(handle(4), Low, [("j-000003", live)]);
    graph.job_ended(handle(3), false);
    let cancellations = graph.take_changes().cancellations;
    assert_eq!(cancellations[0].job, handle(4));
    assert_eq!(&*cancellations[0].dependency, "j-000003");
}

fn unresolved(graph: &DependencyGraph, jobs: &[u32]) -> Vec<bool> {
    jobs.iter()
        .map(|j| graph.is_unresolved(handle(*j)))
        .collect()
}

/// Guards against a job that is reported as queued because its direct dependencies are
/// known to be live, although the state of their dependencies is still unknown.
#[test]
fn job_is_unresolved_until_every_job_before_it_is_known() {
    let live = |job: u32| DependencyState::Live(handle(job), Low);
    // Job 3 depends on jobs 1 and 2, which depend on unknown jobs; job 4 depends on job
    // 3.
    let mut graph = DependencyGraph::default();
    graph.add(handle(1), Low, [("j-000101", DependencyState::Unknown)]);
    graph.add(handle(2), Low, [("j-000102", DependencyState::Unknown)]);
    graph.add(
        handle(3),
        Low,
        [("j-000001", live(1)), ("j-000002", live(2))],
    );
    graph.add(handle(4), Low, [("j-000003", live(3))]);
    assert_eq!(unresolved(&graph, &[1, 2, 3, 4]), [true; 4]);
    graph.resolve("j-000101", DependencyState::Done);
    assert_eq!(unresolved(&graph, &[1, 2, 3, 4]), [false, true, true, true]);
    // An unresolved job ends: its dependents no longer wait for its resolution.
    graph.job_ended(handle(2), false);
    assert_eq!(unresolved(&graph, &[1, 3, 4]), [false; 3]);
    // An unknown job turns out to be live and is itself unresolved.
    graph.add(handle(5), Low, [("j-000006", DependencyState::Unknown)]);
    graph.add(handle(6), Low, [("j-000103", DependencyState::Unknown)]);
    graph.resolve("j-000006", live(6));
    assert_eq!(unresolved(&graph, &[5, 6]), [true; 2]);
    graph.resolve("j-000103", DependencyState::Done);
    assert_eq!(unresolved(&graph, &[5, 6]), [false; 2]);
}

/// Guards against a cost that grows with the square of the length of a chain whose last
/// job is loaded first.
#[test]
fn long_chain_loaded_from_its_end_is_unresolved_until_its_first_dependency_is_known() {
    let mut graph = DependencyGraph::default();
    let last = MAX_JOBS as u32 - 1;
    let name = |number: u32| format!("j-{number:06}");
    for number in (1..=last).rev() {
        graph.add(
            handle(number),
            Low,
            [(name(number - 1).as_str(), DependencyState::Unknown)],
        );
        if graph.has_unknown_dependents(&name(number)) {
            graph.resolve(&name(number), DependencyState::Live(handle(number), Low));
        }
    }
    assert_eq!(unresolved(&graph, &[1, 2, last]), [true; 3]);
    graph.resolve(&name(0), DependencyState::Done);
    assert_eq!(unresolved(&graph, &[1, 2, last]), [false; 3]);
}
