//! Stories of jobs that fail everywhere and machines that fail everything,
//! against a whole installation in memory.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind, Priority};
use simulation::{Simulation, job};

fn idle_cluster(seed: u64, machines: usize) -> Simulation {
    let mut w = Simulation::new(seed, machines, 0.0);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w
}

/// A job that was submitted with a mistake.
fn submit_faulty_job(w: &mut Simulation, n: u32, kind: Kind, tasks: u32) -> String {
    let j = job(n, kind, tasks);
    w.faulty.insert(j.id.clone());
    let id = j.id.clone();
    w.submit(j);
    id
}

fn suspected(w: &mut Simulation, id: &str) -> bool {
    let Some(i) = w.leader() else { return false };
    let l = w.nodes[i].leader.as_ref().unwrap();
    let j = l.cluster.job_handle(id).and_then(|ix| l.cluster.job(ix));
    j.is_some_and(|j| j.failures.suspected)
}

fn quarantined_machines(w: &mut Simulation) -> Vec<String> {
    let Some(i) = w.leader() else { return vec![] };
    let model = &w.nodes[i].leader.as_ref().unwrap().cluster;
    let aside = model.each_machine().filter(|m| m.failures.quarantined);
    aside.map(|m| m.name.clone()).collect()
}

/// A service on each machine, so that none is empty and goes back.
fn service_on_each(w: &mut Simulation, tasks: u32) {
    let mut service = job(900, Kind::Service, tasks);
    service.priority = Priority::Production;
    w.submit(service);
    w.run_until(20_000, "up", |w| w.running("j-000900") == tasks as usize);
}

#[test]
fn concurrent_faulty_jobs_quarantine_no_healthy_machine() {
    for kind in [Kind::Array, Kind::Gang] {
        let mut w = idle_cluster(1, 6);
        for n in 1..5 {
            submit_faulty_job(&mut w, n, kind, 3);
        }
        for n in 11..15 {
            w.submit(job(n, Kind::Array, 6));
        }
        let all = |w: &mut Simulation| (11..15).all(|n| w.done(&format!("j-{n:06}")));
        let end = w.now + 40_000;
        while !all(&mut w) {
            assert!(w.now < end, "{kind:?}: good jobs wait for broken ones");
            assert_eq!(
                quarantined_machines(&mut w),
                Vec::<String>::new(),
                "{kind:?}"
            );
            w.step();
        }
        for n in 1..5 {
            assert!(suspected(&mut w, &format!("j-{n:06}")), "{kind:?} {n}");
        }
        // From now on a slow, bounded pace.
        let failed = w.failed;
        w.run(120_000);
        let tries = (w.failed - failed) / if kind == Kind::Gang { 3 } else { 1 };
        assert!(
            (4..=20).contains(&tries),
            "{kind:?}: {tries} tries in 120 s"
        );
        assert!(w.returned.is_empty(), "{kind:?}: {:?}", w.returned);
        // Withdrawn as quickly as any.
        let asked = w.now;
        w.cancel("j-000001");
        assert!(w.now <= asked + 1_000);
        w.assert_no_violations();
    }
}

/// Guards against counting what a job does once it is suspected: a wide one
/// fails on all machines.
#[test]
fn successive_wide_faulty_jobs_quarantine_no_healthy_machine() {
    let mut w = idle_cluster(2, 24);
    for n in 1..6 {
        submit_faulty_job(&mut w, n, Kind::Array, 48);
        w.run(3_000);
        assert!(w.returned.is_empty(), "job {n}: {:?}", w.returned);
    }
    w.assert_no_violations();
}

#[test]
fn faulty_machine_and_faulty_jobs_are_both_identified() {
    for seed in 0..6 {
        let mut w = idle_cluster(10 + seed, 5);
        service_on_each(&mut w, 5);
        w.workers[0].fails_tasks = true;
        let array = submit_faulty_job(&mut w, 1, Kind::Array, 4);
        let gang = submit_faulty_job(&mut w, 2, Kind::Gang, 3);
        for n in 11..16 {
            w.submit(job(n, Kind::Array, 4));
        }
        w.run_until(60_000, "good jobs done", |w| {
            (11..16).all(|n| w.done(&format!("j-{n:06}")))
        });
        w.run_until(30_000, "told apart", |w| {
            suspected(w, &array) && suspected(w, &gang)
        });
        let aside = quarantined_machines(&mut w);
        assert!(aside.iter().all(|m| *m == w.workers[0].name), "{aside:?}");
        w.assert_no_violations();
    }
}

#[test]
fn job_suspected_through_faulty_machines_completes_elsewhere() {
    let mut w = idle_cluster(20, 2);
    (0..2).for_each(|m| w.workers[m].fails_tasks = true);
    w.submit(job(1, Kind::Array, 4));
    w.run_until(20_000, "suspected", |w| suspected(w, "j-000001"));
    // Machines of which nothing is known come up.
    (0..2).for_each(|_| drop(w.add_worker("a", false, 0)));
    w.run_until(60_000, "done", |w| w.done("j-000001"));
    w.assert_no_violations();
}

/// On a site with one machine nothing else can tell them apart.
#[test]
fn job_failing_where_others_succeed_is_suspected() {
    let mut w = idle_cluster(26, 1);
    w.run_ms = 1_500;
    let id = submit_faulty_job(&mut w, 1, Kind::Array, 1);
    for n in 2..6 {
        w.submit(job(n, Kind::Array, 2));
    }
    w.run_until(20_000, "suspected", |w| suspected(w, &id));
    w.run_until(30_000, "done", |w| {
        (2..6).all(|n| w.done(&format!("j-{n:06}")))
    });
    assert_eq!(quarantined_machines(&mut w), Vec::<String>::new());
    w.assert_no_violations();
}

/// A service is not an array: what fails is the start of a replica.
#[test]
fn only_faulty_service_is_suspected() {
    let mut w = idle_cluster(21, 4);
    let id = submit_faulty_job(&mut w, 1, Kind::Service, 3);
    w.submit(job(2, Kind::Service, 3));
    w.run_until(20_000, "told apart", |w| {
        suspected(w, &id) && w.running("j-000002") == 3
    });
    assert!(!suspected(&mut w, "j-000002"));
    w.assert_no_violations();
}

#[test]
fn suspected_job_triggers_no_scale_out_or_preemption() {
    let mut w = idle_cluster(22, 3);
    let mut urgent = job(1, Kind::Gang, 3);
    urgent.priority = Priority::High;
    urgent.image_gb = 10.0;
    w.faulty.insert(urgent.id.clone());
    w.submit(urgent);
    w.run_until(20_000, "suspected", |w| suspected(w, "j-000001"));
    // The fleet fills with work of lower priority.
    w.run_ms = 500_000;
    w.submit(job(2, Kind::Array, 6));
    w.run_until(20_000, "full", |w| w.running("j-000002") == 6);
    w.machines_requested = 0;
    let failed = w.failed;
    w.run(200_000);
    assert_eq!(w.running("j-000002"), 6, "tasks were stopped for it");
    assert_eq!(w.machines_requested, 0);
    assert_eq!(w.failed, failed, "no room, no try");
    w.assert_no_violations();
}

#[test]
fn fault_attribution_survives_failover() {
    let mut w = idle_cluster(23, 4);
    service_on_each(&mut w, 4);
    let id = submit_faulty_job(&mut w, 1, Kind::Array, 40);
    w.run_until(20_000, "suspected", |w| suspected(w, &id));
    w.run(2_000);
    let old = w.leader().unwrap();
    w.crash(old, 3_000);
    let failed = w.failed;
    w.run_until(20_000, "another leads", |w| w.leader().is_some());
    w.run(30_000);
    assert!(w.failed - failed <= 3, "{} tried again", w.failed - failed);
    assert!(suspected(&mut w, &id));
    w.assert_no_violations();
}

#[test]
fn wrongly_quarantined_machine_is_cleared() {
    let mut w = idle_cluster(24, 1);
    service_on_each(&mut w, 1);
    // One by one, so that each fails there before it could elsewhere.
    let ids: Vec<String> = (1..4)
        .map(|n| {
            let id = submit_faulty_job(&mut w, n, Kind::Array, 1);
            w.run(400);
            id
        })
        .collect();
    w.run_until(20_000, "set aside", |w| !quarantined_machines(w).is_empty());
    // There they can't be told apart from a sick machine; elsewhere they can.
    (0..2).for_each(|_| drop(w.add_worker("b", false, 0)));
    w.run_until(90_000, "back", |w| quarantined_machines(w).is_empty());
    w.run_until(90_000, "suspected", |w| {
        ids.iter().all(|id| suspected(w, id))
    });
    w.submit(job(9, Kind::Array, 8));
    w.run_until(60_000, "done", |w| w.done("j-000009"));
    let told = w.poll(0, "j-000009");
    assert_eq!(told, Some(JobState::Done));
    w.assert_no_violations();
}

#[test]
fn explain_reports_fault_attribution_with_reason() {
    let mut w = idle_cluster(25, 4);
    let id = submit_faulty_job(&mut w, 1, Kind::Array, 4);
    w.run_until(20_000, "suspected", |w| suspected(w, &id));
    let i = w.leader().unwrap();
    let l = w.nodes[i].leader.as_ref().unwrap();
    let text = l.explain(&id, w.now).unwrap().text();
    assert!(text.contains("job fails everywhere"), "{text}");
    assert!(text.contains("suspected: its tasks failed on"), "{text}");
}
