use super::*;
use crate::state::slot_table::SlotTable;
use Priority::*;
use std::sync::LazyLock;

const MAX_JOBS: usize = 20_001;

/// Handles of the first jobs, by index.
static HANDLES: LazyLock<Vec<JobHandle>> = LazyLock::new(|| {
    let mut jobs: SlotTable<JobHandle, ()> = SlotTable::default();
    (0..MAX_JOBS).map(|_| jobs.insert(())).collect()
});

fn handle(index: u32) -> JobHandle {
    HANDLES[index as usize]
}

fn readiness_of(c: &DependencyGraph, jobs: &[u32]) -> Vec<Readiness> {
    jobs.iter().map(|j| c.readiness(handle(*j))).collect()
}

#[test]
fn job_is_ready_once_last_dependency_of_a_diamond_is_done() {
    let mut c = DependencyGraph::default();
    c.add(handle(0), Low, []);
    c.add(
        handle(1),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    c.add(
        handle(2),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    c.add(
        handle(3),
        High,
        [
            ("j-000001", DependencyState::Live(handle(1), Low)),
            ("j-000002", DependencyState::Live(handle(2), Low)),
        ],
    );
    assert_eq!(
        readiness_of(&c, &[0, 1, 2, 3])[1..],
        [Readiness::Blocked; 3]
    );
    // All of it has the priority of its end, until that is over.
    assert_eq!(c.effective_priority(handle(0)), Some(High));
    c.job_ended(handle(0), true);
    assert_eq!(
        readiness_of(&c, &[1, 2, 3]),
        [Readiness::Ready, Readiness::Ready, Readiness::Blocked]
    );
    c.job_ended(handle(1), true);
    assert_eq!(c.readiness(handle(3)), Readiness::Blocked);
    c.job_ended(handle(2), true);
    assert_eq!(c.readiness(handle(3)), Readiness::Ready);
    assert_eq!(c.take_changes().cancellations, []);
}

#[test]
fn inherited_priority_falls_when_the_dependent_ends() {
    let mut c = DependencyGraph::default();
    c.add(handle(0), Low, []);
    c.add(
        handle(1),
        Normal,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    c.add(
        handle(2),
        Production,
        [("j-000001", DependencyState::Live(handle(1), Normal))],
    );
    assert_eq!(c.effective_priority(handle(0)), Some(Production));
    c.job_ended(handle(2), false);
    assert_eq!(
        (
            c.effective_priority(handle(1)),
            c.effective_priority(handle(0))
        ),
        (Some(Normal), Some(Normal))
    );
}

#[test]
fn job_keeps_own_priority_when_its_dependents_have_less() {
    let mut c = DependencyGraph::default();
    c.add(
        handle(1),
        Low,
        [("j-000000", DependencyState::Live(handle(0), High))],
    );
    assert_eq!(c.effective_priority(handle(0)), Some(High));
}

#[test]
fn dependency_is_due_before_longest_path_to_a_deadline() {
    let mut c = DependencyGraph::default();
    c.add(
        handle(1),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    c.add(
        handle(2),
        Low,
        [("j-000000", DependencyState::Live(handle(0), Low))],
    );
    let last = [
        ("j-000001", DependencyState::Live(handle(1), Low)),
        ("j-000002", DependencyState::Live(handle(2), Low)),
    ];
    c.add(handle(3), High, last);
    let own = |job: JobHandle| match job.index() {
        1 => (None, 40),
        2 => (Some(70), 10),
        3 => (Some(100), 20),
        _ => (None, 5),
    };
    let due = c.due_by(own);
    assert_eq!(
        (due[&handle(3)], due[&handle(1)], due[&handle(2)]),
        (100, 80, 70)
    );
    assert_eq!(due[&handle(0)], 40);
    // With the last one over, only the other's own deadline counts.
    c.job_ended(handle(3), false);
    let due = c.due_by(own);
    assert_eq!(
        (due.get(&handle(1)), due[&handle(2)], due[&handle(0)]),
        (None, 70, 60)
    );
}

#[test]
fn cancellation_reaches_all_dependents_in_any_order_of_arrival() {
    let mut c = DependencyGraph::default();
    // Deep enough to end a stack.
    for n in (1..20_000u32).rev() {
        let id = format!("j-{:06}", n - 1);
        c.add(handle(n), Low, [(id.as_str(), DependencyState::Unknown)]);
        c.resolve(&format!("j-{n:06}"), DependencyState::Live(handle(n), Low));
    }
    assert_eq!(
        (c.readiness(handle(1)), c.readiness(handle(2))),
        (Readiness::Unresolved, Readiness::Blocked)
    );
    assert!(c.is_awaited("j-000000"));
    c.resolve("j-000000", DependencyState::Cancelled);
    assert_eq!(c.take_changes().cancellations.len(), 19_999);
    // A dependent added later is cancelled with it, and stays blocked.
    c.add(
        handle(20_000),
        Low,
        [("j-000005", DependencyState::Live(handle(5), Low))],
    );
    let cancellations = c.take_changes().cancellations;
    let jobs: Vec<JobHandle> = cancellations.iter().map(|c| c.job).collect();
    assert_eq!(jobs, [handle(20_000)]);
    c.job_ended(handle(5), false);
    assert_eq!(c.readiness(handle(20_000)), Readiness::Blocked);
}

#[test]
fn unknown_dependency_is_looked_up_once_until_resolved() {
    let mut c = DependencyGraph::default();
    c.add(handle(1), Low, [("j-000007", DependencyState::Unknown)]);
    c.add(
        handle(2),
        Low,
        [
            ("j-000007", DependencyState::Unknown),
            ("j-000001", DependencyState::Live(handle(1), Low)),
        ],
    );
    let ids = c.take_lookups(9);
    assert_eq!(ids, ["j-000007"]);
    assert!(c.take_lookups(9).is_empty());
    c.requeue_lookups(ids);
    assert_eq!(c.take_lookups(9).len(), 1);
    c.resolve("j-000007", DependencyState::Done);
    assert_eq!(
        (c.readiness(handle(1)), c.readiness(handle(2))),
        (Readiness::Ready, Readiness::Blocked)
    );
}

/// Guards against a late answer that is taken for a job which has the index of the
/// one that waited: it was cancelled, or started too early.
#[test]
fn late_resolution_reaches_no_job_that_took_the_index() {
    for found in [DependencyState::Cancelled, DependencyState::Done] {
        let mut jobs: SlotTable<JobHandle, ()> = SlotTable::default();
        let mut c = DependencyGraph::default();
        let first = jobs.insert(());
        c.add(first, Low, [("j-000007", DependencyState::Unknown)]);
        c.job_ended(first, false);
        jobs.remove(first);
        let second = jobs.insert(());
        assert_eq!(second.index(), first.index());
        c.add(second, Low, [("j-000008", DependencyState::Unknown)]);
        c.resolve("j-000007", found);
        assert!(!c.must_cancel(second), "{found:?}");
        assert_eq!(c.readiness(second), Readiness::Unresolved, "{found:?}");
        c.resolve("j-000008", DependencyState::Done);
        assert_eq!(c.readiness(second), Readiness::Ready, "{found:?}");
    }
}

#[test]
fn cancellation_names_the_dependency_that_it_came_from() {
    let mut c = DependencyGraph::default();
    c.add(handle(1), Low, [("j-000000", DependencyState::Unknown)]);
    let first = DependencyState::Live(handle(1), Low);
    c.add(handle(2), Low, [("j-000001", first)]);
    c.resolve("j-000000", DependencyState::Cancelled);
    let of = |job| DependentCancellation {
        job: handle(job),
        dependency: "j-000000".into(),
    };
    assert_eq!(c.take_changes().cancellations, [of(1), of(2)]);
    let live = DependencyState::Live(handle(3), Low);
    c.add(handle(4), Low, [("j-000003", live)]);
    c.job_ended(handle(3), false);
    let cancellations = c.take_changes().cancellations;
    assert_eq!(cancellations[0].job, handle(4));
    assert_eq!(&*cancellations[0].dependency, "j-000003");
}

fn unresolved(c: &DependencyGraph, jobs: &[u32]) -> Vec<bool> {
    jobs.iter().map(|j| c.is_unresolved(handle(*j))).collect()
}

/// Guards against a job that is called queued as its direct dependencies are known to
/// be live, while nothing is known of theirs.
#[test]
fn job_is_unresolved_until_every_job_before_it_is_known() {
    let live = |job: u32| DependencyState::Live(handle(job), Low);
    // 3 depends on 1 and 2, which depend on unknown ones, 4 on 3.
    let mut c = DependencyGraph::default();
    c.add(handle(1), Low, [("j-000101", DependencyState::Unknown)]);
    c.add(handle(2), Low, [("j-000102", DependencyState::Unknown)]);
    c.add(
        handle(3),
        Low,
        [("j-000001", live(1)), ("j-000002", live(2))],
    );
    c.add(handle(4), Low, [("j-000003", live(3))]);
    assert_eq!(unresolved(&c, &[1, 2, 3, 4]), [true; 4]);
    c.resolve("j-000101", DependencyState::Done);
    assert_eq!(unresolved(&c, &[1, 2, 3, 4]), [false, true, true, true]);
    // One that is unresolved is over: its dependents need not wait for that.
    c.job_ended(handle(2), false);
    assert_eq!(unresolved(&c, &[1, 3, 4]), [false; 3]);
    // An unknown job turns out to be live, and unresolved itself.
    c.add(handle(5), Low, [("j-000006", DependencyState::Unknown)]);
    c.add(handle(6), Low, [("j-000103", DependencyState::Unknown)]);
    c.resolve("j-000006", live(6));
    assert_eq!(unresolved(&c, &[5, 6]), [true; 2]);
    c.resolve("j-000103", DependencyState::Done);
    assert_eq!(unresolved(&c, &[5, 6]), [false; 2]);
}

/// Guards against a cost that grows with the square of a chain's length where the last
/// job of it is loaded first.
#[test]
fn long_chain_loaded_from_its_end_is_unresolved_until_its_first_dependency_is_known() {
    let mut c = DependencyGraph::default();
    let last = MAX_JOBS as u32 - 1;
    let name = |n: u32| format!("j-{n:06}");
    for n in (1..=last).rev() {
        c.add(
            handle(n),
            Low,
            [(name(n - 1).as_str(), DependencyState::Unknown)],
        );
        if c.is_awaited(&name(n)) {
            c.resolve(&name(n), DependencyState::Live(handle(n), Low));
        }
    }
    assert_eq!(unresolved(&c, &[1, 2, last]), [true; 3]);
    c.resolve(&name(0), DependencyState::Done);
    assert_eq!(unresolved(&c, &[1, 2, last]), [false; 3]);
}
