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
    let mut sim = Simulation::with_leader(5, 3, 8.0);
    sim.run_ms = 600_000;
    sim.submit(job(2, Kind::Array, 2));
    sim.run_until(30_000, "the limit is used up", |sim| {
        sim.running("j-000002") == 2
    });
    sim.submit(job(1, Kind::Array, 4));
    sim.run(3_000);
    assert_eq!(sim.running(ID), 0);
    sim
}

fn leader(sim: &mut Simulation) -> &mut Leader {
    let i = sim.leader().expect("a node leads");
    sim.nodes[i].leader.as_mut().expect("it leads")
}

/// A broker writes an award's record, or its end; returns the version.
fn record(sim: &mut Simulation, end: bool) -> u64 {
    sim.store.revision += 1;
    let version = sim.store.revision;
    let value = (json!({ "end": end }), version);
    sim.store.kv.insert(award_key(ID), value);
    version
}

fn lent(award: u64) -> OffloadTarget {
    OffloadTarget {
        award,
        market: "north".into(),
    }
}

fn offload(sim: &mut Simulation, award: u64, version: u64) -> OffloadMark {
    for _ in 0..100 {
        let marked = leader(sim).lend(ID, lent(award), version);
        if marked != OffloadMark::NotYet {
            return marked;
        }
        sim.run(50);
    }
    OffloadMark::NotYet
}

fn take_back(sim: &mut Simulation, award: u64, done: &[(u32, u32)]) {
    sim.run_until(5_000, "it is taken back", |sim| {
        leader(sim).take_back(ID, award, done)
    });
}

/// Room is made here for everything.
fn free_capacity(sim: &mut Simulation) {
    sim.cancel("j-000002");
    sim.run(30_000);
}

#[test]
fn offloaded_job_never_starts_locally_after_failover() {
    let mut sim = waiting();
    let version = record(&mut sim, false);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
    assert_eq!(
        offload(&mut sim, 7, version),
        OffloadMark::Yes,
        "to be repeated"
    );
    assert_eq!(
        offload(&mut sim, 8, version),
        OffloadMark::No,
        "one award at a time"
    );
    let told = leader(&mut sim).explain(ID, 0).unwrap();
    assert_eq!(told.reason, Some(PendingReason::Lent));
    assert!(told.verdict.unwrap().contains("north"));
    let now = sim.now;
    assert_eq!(
        leader(&mut sim).picture(now).lent,
        [("north".to_owned(), 1)]
    );
    free_capacity(&mut sim);
    assert_eq!(sim.running(ID), 0);
    let old = sim.leader().unwrap();
    sim.crash(old, 3_000);
    sim.run_until(10_000, "another leads", |sim| {
        sim.leader().is_some_and(|node| node != old)
    });
    sim.run(30_000);
    assert_eq!(
        (sim.running(ID), sim.poll(0, ID)),
        (0, Some(JobState::Queued))
    );
    // Two came back done; the others run here.
    take_back(&mut sim, 7, &[(1, 2)]);
    sim.run_until(30_000, "the rest runs", |sim| sim.running(ID) == 2);
    take_back(&mut sim, 7, &[(0, 3)]);
    assert_eq!(sim.running(ID), 2, "a second return says nothing new");
    sim.assert_no_violations();
}

#[test]
fn offloaded_job_returned_done_is_final() {
    let mut sim = waiting();
    let version = record(&mut sim, false);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
    take_back(&mut sim, 7, &[(0, 3)]);
    sim.run_until(5_000, "done", |sim| sim.poll(0, ID) == Some(JobState::Done));
    take_back(&mut sim, 7, &[]);
    assert_eq!(sim.poll(1, ID), Some(JobState::Done));
}

/// Guards against a request to mark that was held up until its award was over:
/// nobody would ever lift that mark.
#[test]
fn offload_is_rejected_after_award_expiry() {
    let mut sim = waiting();
    let version = record(&mut sim, false);
    record(&mut sim, true);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::No);
    free_capacity(&mut sim);
    sim.run_until(30_000, "it runs here", |sim| sim.running(ID) > 0);
}

/// The write of a mark has no answer and is applied seconds later, while its
/// award is over meanwhile or not.
#[test]
fn indeterminate_offload_blocks_job_until_resolved() {
    for ends in [false, true] {
        let mut sim = waiting();
        let version = record(&mut sim, false);
        sim.store.late_writes = vec![4_000];
        leader(&mut sim).lend(ID, lent(7), version);
        if ends {
            sim.run(200);
            record(&mut sim, true);
        }
        free_capacity(&mut sim);
        if ends {
            sim.run_until(40_000, "it runs here", |sim| sim.running(ID) > 0);
            assert!(leader(&mut sim).take_back(ID, 7, &[]));
        } else {
            assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
            assert_eq!(sim.running(ID), 0);
        }
        sim.assert_no_violations();
    }
}

#[test]
fn running_job_stays_local_cancelled_job_is_recalled() {
    let mut sim = waiting();
    let version = record(&mut sim, false);
    let i = sim.leader().unwrap();
    let leader_state = sim.nodes[i].leader.as_mut().unwrap();
    assert_eq!(
        leader_state.lend("j-000002", lent(9), version),
        OffloadMark::No
    );
    assert_eq!(
        leader_state.lend("j-000009", lent(9), version),
        OffloadMark::No
    );
    let names: Vec<String> = leader_state
        .lendable(10)
        .into_iter()
        .map(|j| j.spec.id)
        .collect();
    assert_eq!(names, [ID]);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
    let out = [(ID.to_owned(), 7)];
    assert!(leader(&mut sim).lendable(10).is_empty());
    assert!(leader(&mut sim).not_needed(&out).is_empty());
    sim.cancel(ID);
    sim.run(2_000);
    assert_eq!(leader(&mut sim).not_needed(&out), [ID]);
    assert_eq!(sim.poll(0, ID), Some(JobState::Cancelled));
    take_back(&mut sim, 7, &[(0, 3)]);
    assert_eq!(sim.poll(0, ID), Some(JobState::Cancelled), "it stays so");
    sim.assert_no_violations();
}

/// Guards against marks that are set one at a time, which took 50 ms each, and
/// against one that can't be set holding up those beside it.
#[test]
fn offloads_are_batched_and_stale_one_blocks_none() {
    let mut sim = waiting();
    for n in 3..9 {
        sim.submit(job(n, Kind::Array, 1));
    }
    sim.run(3_000);
    let version = record(&mut sim, false);
    let ids: Vec<String> = (3..9).map(|n| format!("j-{n:06}")).collect();
    for id in &ids {
        sim.store.kv.insert(award_key(id), (json!({}), version));
    }
    let before = sim.store.revision;
    for (n, id) in ids.iter().enumerate() {
        let version = if n == 2 { version - 1 } else { version };
        leader(&mut sim).lend(id, lent(7), version);
    }
    sim.run(2_000);
    let said: Vec<OffloadMark> = ids
        .iter()
        .map(|id| leader(&mut sim).lend(id, lent(7), version))
        .collect();
    let mut wanted = [OffloadMark::Yes; 6];
    wanted[2] = OffloadMark::No;
    assert_eq!(said, wanted);
    assert!(
        sim.store.revision <= before + 3,
        "{}",
        sim.store.revision - before
    );
}
