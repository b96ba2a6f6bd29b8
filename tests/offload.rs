//! Jobs that are offloaded to neighbouring markets: while a job is marked as
//! offloaded, none of its tasks starts locally, and results that come back are
//! applied exactly once.

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

/// A cluster whose team may run two tasks: job 2 runs two, and job 1, an array of
/// four tasks, waits.
fn with_waiting_job() -> Simulation {
    let mut sim = Simulation::with_leader(5, 3, 8.0);
    sim.run_ms = 600_000;
    sim.submit(job(2, Kind::Array, 2));
    sim.run_until(30_000, "team at its limit", |sim| {
        sim.running("j-000002") == 2
    });
    sim.submit(job(1, Kind::Array, 4));
    sim.run(3_000);
    assert_eq!(sim.running(ID), 0);
    sim
}

fn current_leader(sim: &mut Simulation) -> &mut Leader {
    let node = sim.leader().expect("a leader");
    sim.nodes[node].leader.as_mut().expect("the node leads")
}

/// Writes the record of an award, open or ended, as a broker would; returns the
/// record's version.
fn write_award_record(sim: &mut Simulation, ended: bool) -> u64 {
    sim.store.revision += 1;
    let version = sim.store.revision;
    let value = (json!({ "end": ended }), version);
    sim.store.kv.insert(award_key(ID), value);
    version
}

fn target(award: u64) -> OffloadTarget {
    OffloadTarget {
        award,
        market: "north".into(),
    }
}

fn offload(sim: &mut Simulation, award: u64, version: u64) -> OffloadMark {
    for _ in 0..100 {
        let mark = current_leader(sim).request_offload(ID, target(award), version);
        if mark != OffloadMark::NotYet {
            return mark;
        }
        sim.run(50);
    }
    OffloadMark::NotYet
}

fn return_offloaded_job(sim: &mut Simulation, award: u64, done: &[(u32, u32)]) {
    sim.run_until(5_000, "job taken back", |sim| {
        current_leader(sim).return_offloaded_job(ID, award, done)
    });
}

/// Cancels the running job, which makes room for all tasks of the waiting one.
fn free_capacity(sim: &mut Simulation) {
    sim.cancel("j-000002");
    sim.run(30_000);
}

#[test]
fn offloaded_job_never_starts_locally_after_failover() {
    let mut sim = with_waiting_job();
    let version = write_award_record(&mut sim, false);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
    assert_eq!(
        offload(&mut sim, 7, version),
        OffloadMark::Yes,
        "repeated request"
    );
    assert_eq!(
        offload(&mut sim, 8, version),
        OffloadMark::No,
        "second award"
    );
    let explanation = current_leader(&mut sim).explain(ID, 0).unwrap();
    assert_eq!(explanation.reason, Some(PendingReason::Lent));
    assert!(explanation.verdict.unwrap().contains("north"));
    let now = sim.now;
    assert_eq!(
        current_leader(&mut sim).cluster_status(now).lent,
        [("north".to_owned(), 1)]
    );
    free_capacity(&mut sim);
    assert_eq!(sim.running(ID), 0);
    let old_leader = sim.leader().unwrap();
    sim.crash(old_leader, 3_000);
    sim.run_until(10_000, "another leader", |sim| {
        sim.leader().is_some_and(|node| node != old_leader)
    });
    sim.run(30_000);
    assert_eq!(
        (sim.running(ID), sim.poll(0, ID)),
        (0, Some(JobState::Queued))
    );
    // Two tasks come back done; the other two run locally.
    return_offloaded_job(&mut sim, 7, &[(1, 2)]);
    sim.run_until(30_000, "others run", |sim| sim.running(ID) == 2);
    return_offloaded_job(&mut sim, 7, &[(0, 3)]);
    assert_eq!(sim.running(ID), 2, "a repeated return changes nothing");
    sim.assert_no_violations();
}

#[test]
fn offloaded_job_returned_done_is_final() {
    let mut sim = with_waiting_job();
    let version = write_award_record(&mut sim, false);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
    return_offloaded_job(&mut sim, 7, &[(0, 3)]);
    sim.run_until(5_000, "done", |sim| sim.poll(0, ID) == Some(JobState::Done));
    return_offloaded_job(&mut sim, 7, &[]);
    assert_eq!(sim.poll(1, ID), Some(JobState::Done));
}

/// Guards against accepting an offload request that is delayed until its award has
/// ended: nothing would ever remove that mark.
#[test]
fn offload_is_rejected_after_award_end() {
    let mut sim = with_waiting_job();
    let version = write_award_record(&mut sim, false);
    write_award_record(&mut sim, true);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::No);
    free_capacity(&mut sim);
    sim.run_until(30_000, "local start", |sim| sim.running(ID) > 0);
}

/// The write of an offload mark has no answer and is applied 4 s later, with and
/// without the end of its award meanwhile. Guards against a job that starts locally
/// while it may be marked, or that stays blocked after the award has ended.
#[test]
fn indeterminate_offload_blocks_job_until_resolved() {
    for award_ends in [false, true] {
        let mut sim = with_waiting_job();
        let version = write_award_record(&mut sim, false);
        sim.store.late_writes = vec![4_000];
        current_leader(&mut sim).request_offload(ID, target(7), version);
        if award_ends {
            sim.run(200);
            write_award_record(&mut sim, true);
        }
        free_capacity(&mut sim);
        if award_ends {
            sim.run_until(40_000, "local start", |sim| sim.running(ID) > 0);
            assert!(current_leader(&mut sim).return_offloaded_job(ID, 7, &[]));
        } else {
            assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
            assert_eq!(sim.running(ID), 0);
        }
        sim.assert_no_violations();
    }
}

#[test]
fn running_job_is_not_offloaded_and_cancelled_job_is_recalled() {
    let mut sim = with_waiting_job();
    let version = write_award_record(&mut sim, false);
    let node = sim.leader().unwrap();
    let leader_state = sim.nodes[node].leader.as_mut().unwrap();
    assert_eq!(
        leader_state.request_offload("j-000002", target(9), version),
        OffloadMark::No
    );
    assert_eq!(
        leader_state.request_offload("j-000009", target(9), version),
        OffloadMark::No
    );
    let offered: Vec<String> = leader_state
        .offload_candidates(10)
        .into_iter()
        .map(|candidate| candidate.spec.id)
        .collect();
    assert_eq!(offered, [ID]);
    assert_eq!(offload(&mut sim, 7, version), OffloadMark::Yes);
    let offloaded = [(ID.to_owned(), 7)];
    assert!(current_leader(&mut sim).offload_candidates(10).is_empty());
    assert!(
        current_leader(&mut sim)
            .jobs_to_call_back(&offloaded)
            .is_empty()
    );
    sim.cancel(ID);
    sim.run(2_000);
    assert_eq!(current_leader(&mut sim).jobs_to_call_back(&offloaded), [ID]);
    assert_eq!(sim.poll(0, ID), Some(JobState::Cancelled));
    return_offloaded_job(&mut sim, 7, &[(0, 3)]);
    assert_eq!(
        sim.poll(0, ID),
        Some(JobState::Cancelled),
        "the job stays cancelled"
    );
    sim.assert_no_violations();
}

/// Guards against offload marks that are written one at a time, at 50 ms each, and
/// against a mark that can't be written delaying the marks requested with it.
#[test]
fn offloads_are_batched_and_stale_one_blocks_none() {
    let mut sim = with_waiting_job();
    for number in 3..9 {
        sim.submit(job(number, Kind::Array, 1));
    }
    sim.run(3_000);
    let version = write_award_record(&mut sim, false);
    let ids: Vec<String> = (3..9).map(|number| format!("j-{number:06}")).collect();
    for id in &ids {
        sim.store.kv.insert(award_key(id), (json!({}), version));
    }
    let revision_before = sim.store.revision;
    for (index, id) in ids.iter().enumerate() {
        let version = if index == 2 { version - 1 } else { version };
        current_leader(&mut sim).request_offload(id, target(7), version);
    }
    sim.run(2_000);
    let marks: Vec<OffloadMark> = ids
        .iter()
        .map(|id| current_leader(&mut sim).request_offload(id, target(7), version))
        .collect();
    let mut expected = [OffloadMark::Yes; 6];
    expected[2] = OffloadMark::No;
    assert_eq!(marks, expected);
    assert!(
        sim.store.revision <= revision_before + 3,
        "{}",
        sim.store.revision - revision_before
    );
}
