//! Jobs that are offloaded to neighbouring markets: while one is marked nothing of
//! it starts here, and what comes back is kept once.

mod simulation;

use pathwinch::{
    control::leader::Leader,
    protocol::{
        market::OffloadMark,
        status::PendingReason,
        users::{JobState, Kind},
    },
    state::{offload::OffloadTarget, records::award_key},
};
use serde_json::json;
use simulation::{Simulation, job};

const ID: &str = "j-000001";

/// An installation whose team may run two tasks: a job holds them, and an
/// array of four waits.
fn waiting() -> Simulation {
    let mut w = Simulation::with_leader(5, 3, 8.0);
    w.run_ms = 600_000;
    w.submit(job(2, Kind::Array, 2));
    w.run_until(30_000, "the limit is used up", |w| {
        w.running("j-000002") == 2
    });
    w.submit(job(1, Kind::Array, 4));
    w.run(3_000);
    assert_eq!(w.running(ID), 0);
    w
}

fn leader(w: &mut Simulation) -> &mut Leader {
    let i = w.leader().expect("a node leads");
    w.nodes[i].leader.as_mut().expect("it leads")
}

/// A broker writes an award's record, or its end; returns the version.
fn record(w: &mut Simulation, end: bool) -> u64 {
    w.store.revision += 1;
    let version = w.store.revision;
    let value = (json!({ "end": end }), version);
    w.store.kv.insert(award_key(ID), value);
    version
}

fn lent(award: u64) -> OffloadTarget {
    OffloadTarget {
        award,
        market: "north".into(),
    }
}

fn offload(w: &mut Simulation, award: u64, version: u64) -> OffloadMark {
    for _ in 0..100 {
        let marked = leader(w).lend(ID, lent(award), version);
        if marked != OffloadMark::NotYet {
            return marked;
        }
        w.run(50);
    }
    OffloadMark::NotYet
}

fn take_back(w: &mut Simulation, award: u64, done: &[(u32, u32)]) {
    w.run_until(5_000, "it is taken back", |w| {
        leader(w).take_back(ID, award, done)
    });
}

/// Room is made here for everything.
fn free_capacity(w: &mut Simulation) {
    w.cancel("j-000002");
    w.run(30_000);
}

#[test]
fn offloaded_job_never_starts_locally_after_failover() {
    let mut w = waiting();
    let version = record(&mut w, false);
    assert_eq!(offload(&mut w, 7, version), OffloadMark::Yes);
    assert_eq!(
        offload(&mut w, 7, version),
        OffloadMark::Yes,
        "to be repeated"
    );
    assert_eq!(
        offload(&mut w, 8, version),
        OffloadMark::No,
        "one award at a time"
    );
    let told = leader(&mut w).explain(ID, 0).unwrap();
    assert_eq!(told.reason, Some(PendingReason::Lent));
    assert!(told.verdict.unwrap().contains("north"));
    let now = w.now;
    assert_eq!(leader(&mut w).picture(now).lent, [("north".to_owned(), 1)]);
    free_capacity(&mut w);
    assert_eq!(w.running(ID), 0);
    let old = w.leader().unwrap();
    w.crash(old, 3_000);
    w.run_until(10_000, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run(30_000);
    assert_eq!((w.running(ID), w.poll(0, ID)), (0, Some(JobState::Queued)));
    // Two came back done; the others run here.
    take_back(&mut w, 7, &[(1, 2)]);
    w.run_until(30_000, "the rest runs", |w| w.running(ID) == 2);
    take_back(&mut w, 7, &[(0, 3)]);
    assert_eq!(w.running(ID), 2, "a second return says nothing new");
    w.assert_no_violations();
}

#[test]
fn offloaded_job_returned_done_is_final() {
    let mut w = waiting();
    let version = record(&mut w, false);
    assert_eq!(offload(&mut w, 7, version), OffloadMark::Yes);
    take_back(&mut w, 7, &[(0, 3)]);
    w.run_until(5_000, "done", |w| w.poll(0, ID) == Some(JobState::Done));
    take_back(&mut w, 7, &[]);
    assert_eq!(w.poll(1, ID), Some(JobState::Done));
}

/// Guards against a request to mark that was held up until its award was over:
/// nobody would ever lift that mark.
#[test]
fn offload_is_rejected_after_award_expiry() {
    let mut w = waiting();
    let version = record(&mut w, false);
    record(&mut w, true);
    assert_eq!(offload(&mut w, 7, version), OffloadMark::No);
    free_capacity(&mut w);
    w.run_until(30_000, "it runs here", |w| w.running(ID) > 0);
}

/// The write of a mark has no answer and is applied seconds later, while its
/// award is over meanwhile or not.
#[test]
fn indeterminate_offload_blocks_job_until_resolved() {
    for ends in [false, true] {
        let mut w = waiting();
        let version = record(&mut w, false);
        w.store.late_writes = vec![4_000];
        leader(&mut w).lend(ID, lent(7), version);
        if ends {
            w.run(200);
            record(&mut w, true);
        }
        free_capacity(&mut w);
        if ends {
            w.run_until(40_000, "it runs here", |w| w.running(ID) > 0);
            assert!(leader(&mut w).take_back(ID, 7, &[]));
        } else {
            assert_eq!(offload(&mut w, 7, version), OffloadMark::Yes);
            assert_eq!(w.running(ID), 0);
        }
        w.assert_no_violations();
    }
}

#[test]
fn running_job_stays_local_cancelled_job_is_recalled() {
    let mut w = waiting();
    let version = record(&mut w, false);
    let i = w.leader().unwrap();
    let l = w.nodes[i].leader.as_mut().unwrap();
    assert_eq!(l.lend("j-000002", lent(9), version), OffloadMark::No);
    assert_eq!(l.lend("j-000009", lent(9), version), OffloadMark::No);
    let names: Vec<String> = l.lendable(10).into_iter().map(|j| j.spec.id).collect();
    assert_eq!(names, [ID]);
    assert_eq!(offload(&mut w, 7, version), OffloadMark::Yes);
    let out = [(ID.to_owned(), 7)];
    assert!(leader(&mut w).lendable(10).is_empty());
    assert!(leader(&mut w).not_needed(&out).is_empty());
    w.cancel(ID);
    w.run(2_000);
    assert_eq!(leader(&mut w).not_needed(&out), [ID]);
    assert_eq!(w.poll(0, ID), Some(JobState::Cancelled));
    take_back(&mut w, 7, &[(0, 3)]);
    assert_eq!(w.poll(0, ID), Some(JobState::Cancelled), "it stays so");
    w.assert_no_violations();
}

/// Guards against marks that are set one at a time, which took 50 ms each, and
/// against one that can't be set holding up those beside it.
#[test]
fn offloads_are_batched_and_stale_one_blocks_none() {
    let mut w = waiting();
    for n in 3..9 {
        w.submit(job(n, Kind::Array, 1));
    }
    w.run(3_000);
    let version = record(&mut w, false);
    let ids: Vec<String> = (3..9).map(|n| format!("j-{n:06}")).collect();
    for id in &ids {
        w.store.kv.insert(award_key(id), (json!({}), version));
    }
    let before = w.store.revision;
    for (n, id) in ids.iter().enumerate() {
        let version = if n == 2 { version - 1 } else { version };
        leader(&mut w).lend(id, lent(7), version);
    }
    w.run(2_000);
    let said: Vec<OffloadMark> = ids
        .iter()
        .map(|id| leader(&mut w).lend(id, lent(7), version))
        .collect();
    let mut wanted = [OffloadMark::Yes; 6];
    wanted[2] = OffloadMark::No;
    assert_eq!(said, wanted);
    assert!(
        w.store.revision <= before + 3,
        "{}",
        w.store.revision - before
    );
}
