//! Scenarios of faulty jobs, whose tasks fail on every machine, and faulty machines, on which
//! every task fails, against a simulated cluster: faults must be attributed correctly.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind, Priority};
use simulation::{Simulation, job};

fn idle_cluster(seed: u64, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, machines, 0.0);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim
}

/// Submits a job whose tasks fail on every machine; returns its id.
fn submit_faulty_job(sim: &mut Simulation, job_number: u32, kind: Kind, tasks: u32) -> String {
    let spec = job(job_number, kind, tasks);
    sim.faulty_jobs.insert(spec.id.clone());
    let id = spec.id.clone();
    sim.submit(spec);
    id
}

fn suspected(sim: &mut Simulation, id: &str) -> bool {
    let Some(i) = sim.leader() else { return false };
    let leader = sim.nodes[i].leader.as_ref().unwrap();
    let job_state = leader
        .cluster
        .job_handle(id)
        .and_then(|ix| leader.cluster.job(ix));
    job_state.is_some_and(|job_state| job_state.failures.suspected)
}

fn quarantined_machines(sim: &mut Simulation) -> Vec<String> {
    let Some(i) = sim.leader() else { return vec![] };
    let cluster = &sim.nodes[i].leader.as_ref().unwrap().cluster;
    let quarantined = cluster.machines().filter(|m| m.failures.quarantined);
    quarantined.map(|m| m.name.clone()).collect()
}

/// Starts a service on each machine, so that no machine is idle and returned to the cloud.
fn service_on_each(sim: &mut Simulation, tasks: u32) {
    let mut service = job(900, Kind::Service, tasks);
    service.priority = Priority::Production;
    sim.submit(service);
    sim.run_until(20_000, "up", |s| s.running("j-000900") == tasks as usize);
}

#[test]
fn concurrent_faulty_jobs_quarantine_no_healthy_machine() {
    for kind in [Kind::Array, Kind::Gang] {
        let mut sim = idle_cluster(1, 6);
        for n in 1..5 {
            submit_faulty_job(&mut sim, n, kind, 3);
        }
        for n in 11..15 {
            sim.submit(job(n, Kind::Array, 6));
        }
        let all = |sim: &mut Simulation| (11..15).all(|n| sim.done(&format!("j-{n:06}")));
        let end = sim.now + 40_000;
        while !all(&mut sim) {
            assert!(
                sim.now < end,
                "{kind:?}: healthy jobs are not done within 40 s beside faulty ones"
            );
            assert_eq!(
                quarantined_machines(&mut sim),
                Vec::<String>::new(),
                "{kind:?}"
            );
            sim.step();
        }
        for n in 1..5 {
            assert!(suspected(&mut sim, &format!("j-{n:06}")), "{kind:?} {n}");
        }
        // Suspected jobs are retried at a slow, bounded rate.
        let failed = sim.failed;
        sim.run(120_000);
        let attempts = (sim.failed - failed) / if kind == Kind::Gang { 3 } else { 1 };
        assert!(
            (4..=20).contains(&attempts),
            "{kind:?}: {attempts} attempts in 120 s"
        );
        assert!(sim.returned.is_empty(), "{kind:?}: {:?}", sim.returned);
        // A suspected job is cancelled as quickly as any other.
        let requested_at = sim.now;
        sim.cancel("j-000001");
        assert!(sim.now <= requested_at + 1_000);
        sim.assert_no_violations();
    }
}

/// Guards against counting failures of a job against machines after the job is suspected: a wide
/// job fails on all machines.
#[test]
fn successive_wide_faulty_jobs_quarantine_no_healthy_machine() {
    let mut sim = idle_cluster(2, 24);
    for n in 1..6 {
        submit_faulty_job(&mut sim, n, Kind::Array, 48);
        sim.run(3_000);
        assert!(sim.returned.is_empty(), "job {n}: {:?}", sim.returned);
    }
    sim.assert_no_violations();
}

#[test]
fn faulty_machine_and_faulty_jobs_are_both_identified() {
    for seed in 0..6 {
        let mut sim = idle_cluster(10 + seed, 5);
        service_on_each(&mut sim, 5);
        sim.workers[0].fails_tasks = true;
        let array = submit_faulty_job(&mut sim, 1, Kind::Array, 4);
        let gang = submit_faulty_job(&mut sim, 2, Kind::Gang, 3);
        for n in 11..16 {
            sim.submit(job(n, Kind::Array, 4));
        }
        sim.run_until(60_000, "healthy jobs done", |sim| {
            (11..16).all(|n| sim.done(&format!("j-{n:06}")))
        });
        sim.run_until(30_000, "suspected", |sim| {
            suspected(sim, &array) && suspected(sim, &gang)
        });
        let quarantined = quarantined_machines(&mut sim);
        assert!(
            quarantined.iter().all(|m| *m == sim.workers[0].name),
            "{quarantined:?}"
        );
        sim.assert_no_violations();
    }
}

#[test]
fn job_suspected_through_faulty_machines_completes_elsewhere() {
    let mut sim = idle_cluster(20, 2);
    (0..2).for_each(|m| sim.workers[m].fails_tasks = true);
    sim.submit(job(1, Kind::Array, 4));
    sim.run_until(20_000, "suspected", |sim| suspected(sim, "j-000001"));
    // Machines without a history of failures come up.
    (0..2).for_each(|_| drop(sim.add_worker("a", false, 0)));
    sim.run_until(60_000, "done", |sim| sim.done("j-000001"));
    sim.assert_no_violations();
}

/// On a cluster with one machine, only the success of other jobs there shows that the job is
/// faulty, and not the machine.
#[test]
fn job_failing_where_others_succeed_is_suspected() {
    let mut sim = idle_cluster(26, 1);
    sim.run_ms = 1_500;
    let id = submit_faulty_job(&mut sim, 1, Kind::Array, 1);
    for n in 2..6 {
        sim.submit(job(n, Kind::Array, 2));
    }
    sim.run_until(20_000, "suspected", |sim| suspected(sim, &id));
    sim.run_until(30_000, "done", |sim| {
        (2..6).all(|n| sim.done(&format!("j-{n:06}")))
    });
    assert_eq!(quarantined_machines(&mut sim), Vec::<String>::new());
    sim.assert_no_violations();
}

/// Unlike in an array, a failure in a service is the failed start of a replica: such failures
/// must be attributed to the faulty service alone.
#[test]
fn only_faulty_service_is_suspected() {
    let mut sim = idle_cluster(21, 4);
    let id = submit_faulty_job(&mut sim, 1, Kind::Service, 3);
    sim.submit(job(2, Kind::Service, 3));
    sim.run_until(20_000, "suspected", |sim| {
        suspected(sim, &id) && sim.running("j-000002") == 3
    });
    assert!(!suspected(&mut sim, "j-000002"));
    sim.assert_no_violations();
}

#[test]
fn suspected_job_triggers_no_scale_out_or_preemption() {
    let mut sim = idle_cluster(22, 3);
    let mut urgent = job(1, Kind::Gang, 3);
    urgent.priority = Priority::High;
    urgent.image_gb = 10.0;
    sim.faulty_jobs.insert(urgent.id.clone());
    sim.submit(urgent);
    sim.run_until(20_000, "suspected", |sim| suspected(sim, "j-000001"));
    // Tasks of lower priority fill the machines.
    sim.run_ms = 500_000;
    sim.submit(job(2, Kind::Array, 6));
    sim.run_until(20_000, "job 2 runs", |sim| sim.running("j-000002") == 6);
    sim.machines_requested = 0;
    let failed = sim.failed;
    sim.run(200_000);
    assert_eq!(
        sim.running("j-000002"),
        6,
        "tasks were preempted for the suspected job"
    );
    assert_eq!(sim.machines_requested, 0);
    assert_eq!(
        sim.failed, failed,
        "the suspected job was tried without free capacity"
    );
    sim.assert_no_violations();
}

#[test]
fn fault_attribution_survives_failover() {
    let mut sim = idle_cluster(23, 4);
    service_on_each(&mut sim, 4);
    let id = submit_faulty_job(&mut sim, 1, Kind::Array, 40);
    sim.run_until(20_000, "suspected", |sim| suspected(sim, &id));
    sim.run(2_000);
    let old = sim.leader().unwrap();
    sim.crash(old, 3_000);
    let failed = sim.failed;
    sim.run_until(20_000, "another leader", |sim| sim.leader().is_some());
    sim.run(30_000);
    assert!(
        sim.failed - failed <= 3,
        "{} tasks failed again after the failover",
        sim.failed - failed
    );
    assert!(suspected(&mut sim, &id));
    sim.assert_no_violations();
}

#[test]
fn wrongly_quarantined_machine_is_cleared() {
    let mut sim = idle_cluster(24, 1);
    service_on_each(&mut sim, 1);
    // The jobs come one by one, so that each fails on this machine before any other machine
    // exists.
    let ids: Vec<String> = (1..4)
        .map(|n| {
            let id = submit_faulty_job(&mut sim, n, Kind::Array, 1);
            sim.run(400);
            id
        })
        .collect();
    sim.run_until(20_000, "isolated", |s| !quarantined_machines(s).is_empty());
    // On one machine, faulty jobs can't be distinguished from a faulty machine; with further
    // machines they can.
    (0..2).for_each(|_| drop(sim.add_worker("b", false, 0)));
    sim.run_until(90_000, "cleared", |s| quarantined_machines(s).is_empty());
    sim.run_until(90_000, "suspected", |sim| {
        ids.iter().all(|id| suspected(sim, id))
    });
    sim.submit(job(9, Kind::Array, 8));
    sim.run_until(60_000, "done", |sim| sim.done("j-000009"));
    let state = sim.poll(0, "j-000009");
    assert_eq!(state, Some(JobState::Done));
    sim.assert_no_violations();
}

#[test]
fn explain_reports_fault_attribution_with_reason() {
    let mut sim = idle_cluster(25, 4);
    let id = submit_faulty_job(&mut sim, 1, Kind::Array, 4);
    sim.run_until(20_000, "suspected", |sim| suspected(sim, &id));
    let node = sim.leader().unwrap();
    let leader = sim.nodes[node].leader.as_ref().unwrap();
    let text = leader.explain(&id, sim.now).unwrap().text();
    assert!(text.contains("job fails everywhere"), "{text}");
    assert!(text.contains("suspected: its tasks failed on"), "{text}");
}
