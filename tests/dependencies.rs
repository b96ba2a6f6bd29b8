//! Scenarios of jobs with dependencies against a simulated cluster: order of execution,
//! cancellation, quotas, priorities and status, with failovers in between.

mod simulation;

use pathwinch::{
    protocol::users::{JobState, Kind, Priority},
    state::records,
};
use simulation::{Net, Simulation, dependent, id, job};

/// Returns a cluster whose leaders have no standbys, so that each failover is cold.
fn cluster_without_standbys(seed: u64, machines: usize, limit: f64) -> Simulation {
    let mut sim = Simulation::new(seed, machines, limit);
    sim.standbys = false;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim
}

fn state(sim: &mut Simulation, n: u32) -> Option<JobState> {
    let leader = sim.leader()?;
    sim.poll(leader, &id(n))
}

#[test]
fn dependent_jobs_run_in_dependency_order() {
    let mut sim = Simulation::with_leader(1, 3, 0.0);
    sim.submit(job(1, Kind::Array, 4));
    sim.submit(dependent(2, 2, &[1]));
    sim.submit(dependent(3, 2, &[1, 2, 2]));
    sim.run(3_000);
    assert_eq!(state(&mut sim, 2), Some(JobState::Queued));
    assert_eq!((sim.running(&id(1)), sim.running(&id(2))), (4, 0));
    sim.run_until(60_000, "all done", |sim| sim.done(&id(3)));
    // A job submitted after all its dependencies are done runs as well.
    sim.submit(dependent(4, 1, &[1, 3]));
    sim.run_until(30_000, "done", |sim| sim.done(&id(4)));
    sim.assert_no_violations();
}

#[test]
fn dependent_jobs_continue_after_failover() {
    let mut sim = cluster_without_standbys(2, 3, 0.0);
    sim.submit(job(1, Kind::Array, 2));
    sim.submit(dependent(2, 40, &[1]));
    sim.submit(dependent(3, 2, &[1, 2]));
    sim.run_until(60_000, "job 1 done", |sim| {
        sim.done(&id(1)) && sim.running(&id(2)) > 2
    });
    let leader = sim.leader().unwrap();
    sim.crash(leader, 3_000);
    sim.run_until(30_000, "a leader again", |sim| sim.leader().is_some());
    sim.run_until(120_000, "all done", |sim| sim.done(&id(3)));
    assert_eq!(sim.starts, 44, "each task starts exactly once");
    sim.assert_no_violations();
}

/// Guards against starting a dependent job when only a heartbeat has reported the end of its
/// dependency: that report may be lost with the leader, and the dependency runs again or is
/// cancelled.
#[test]
fn dependent_job_starts_after_completion_is_recorded() {
    let mut sim = Simulation::with_leader(3, 3, 0.0);
    sim.submit(job(1, Kind::Array, 1));
    sim.submit(dependent(2, 1, &[1]));
    sim.run_until(20_000, "running", |sim| sim.running(&id(1)) == 1);
    // From now on, writes get no answer and are applied late.
    sim.store.late_writes = vec![4_000; 3];
    sim.run_until(20_000, "task ended", |sim| sim.running(&id(1)) == 0);
    sim.run(1_000);
    assert!(!sim.done(&id(1)));
    assert_eq!(sim.running(&id(2)), 0);
    sim.store.late_writes.clear();
    sim.run_until(60_000, "done", |sim| sim.done(&id(2)));
    sim.assert_no_violations();
}

#[test]
fn cancellation_reaches_exactly_the_dependent_jobs() {
    let mut sim = Simulation::with_leader(4, 2, 0.0);
    sim.submit(job(1, Kind::Array, 40));
    sim.submit(job(2, Kind::Array, 1));
    sim.submit(dependent(3, 1, &[1, 2]));
    sim.submit(dependent(4, 1, &[3]));
    sim.submit(dependent(5, 1, &[2]));
    sim.run(2_000);
    sim.cancel(&id(1));
    // Well before the time limit for a cancellation.
    sim.run(2_000);
    for n in [1, 3, 4] {
        assert_eq!(state(&mut sim, n), Some(JobState::Cancelled), "{n}");
    }
    // A job submitted later that depends on a cancelled job is accepted, and then cancelled.
    sim.submit(dependent(6, 1, &[4]));
    sim.run(2_000);
    assert_eq!(state(&mut sim, 6), Some(JobState::Cancelled));
    sim.run_until(60_000, "job 5 done", |sim| sim.done(&id(5)));
    assert_eq!(state(&mut sim, 5), Some(JobState::Done));
    sim.assert_no_violations();
}

#[test]
fn cancellation_of_dependents_survives_repeated_failover() {
    let mut sim = Simulation::with_leader(5, 2, 0.0);
    sim.submit(job(1, Kind::Array, 40));
    for n in 2..120 {
        // A tree: each job depends on an earlier one.
        sim.submit(dependent(n, 1, &[n / 2]));
    }
    sim.run(2_000);
    sim.cancel(&id(1));
    let ended = sim.now;
    // Each leader crashes after a few transactions.
    while sim.now < ended + 25_000 {
        sim.run(300);
        if let Some(leader) = sim.leader() {
            sim.crash(leader, 500);
        }
    }
    sim.run(9_000);
    for n in 2..120 {
        assert_eq!(state(&mut sim, n), Some(JobState::Cancelled), "{n}");
    }
    sim.assert_no_violations();
}

/// The cancellation arrives about when the last task completes: whichever outcome the job
/// gets, its dependents must follow it.
#[test]
fn dependents_follow_outcome_when_cancellation_races_completion() {
    let (mut completions, mut cancellations) = (0, 0);
    for seed in 0..12 {
        let mut sim = Simulation::with_leader(100 + seed, 2, 0.0);
        sim.submit(job(1, Kind::Array, 1));
        sim.submit(dependent(2, 1, &[1]));
        sim.run_until(20_000, "running", |sim| sim.running(&id(1)) == 1);
        sim.run(5_500 + 50 * seed);
        sim.cancel(&id(1));
        let cancelled = sim.answered.get(&id(1)).map(|t| t.0) == Some(JobState::Cancelled);
        sim.run(30_000);
        let dependent_state = state(&mut sim, 2);
        match cancelled {
            true => cancellations += 1,
            false => completions += 1,
        }
        let expected = match cancelled {
            true => JobState::Cancelled,
            false => JobState::Done,
        };
        assert_eq!(dependent_state, Some(expected), "seed {seed}");
        sim.assert_no_violations();
    }
    assert!(
        completions > 0 && cancellations > 0,
        "{completions} completions, {cancellations} cancellations"
    );
}

#[test]
fn blocked_jobs_use_no_team_quota() {
    // The team's quota is two tasks at once.
    let mut sim = Simulation::with_leader(6, 3, 8.0);
    sim.run_ms = 20_000;
    sim.submit(job(1, Kind::Array, 1));
    sim.submit(dependent(2, 8, &[1]));
    sim.submit(job(3, Kind::Array, 1));
    sim.run_until(8_000, "both run", |sim| {
        sim.running(&id(1)) == 1 && sim.running(&id(3)) == 1
    });
    sim.assert_no_violations();
}

/// After a cold failover the leader does not know yet whether the dependency of a job is done.
/// Guards against leaving tasks of that job that may run on an unresponsive machine out of the
/// quota.
#[test]
fn quota_counts_unresolved_dependent_tasks_after_failover() {
    let mut sim = cluster_without_standbys(7, 2, 16.0);
    sim.run_ms = 60_000;
    sim.submit(job(1, Kind::Gang, 1));
    sim.run_until(90_000, "job 1 done", |sim| sim.done(&id(1)));
    sim.submit(dependent(2, 4, &[1]));
    sim.run_until(20_000, "running", |sim| sim.running(&id(2)) == 4);
    let unresponsive = sim
        .workers
        .iter()
        .position(|machine| !machine.tasks.is_empty())
        .unwrap();
    sim.workers[unresponsive].net = Net::Lose;
    let leader = sim.leader().unwrap();
    sim.crash(leader, 3_000);
    sim.run_until(20_000, "a leader again", |sim| sim.leader().is_some());
    sim.submit(job(3, Kind::Array, 4));
    sim.run(20_000);
    sim.restore_network(unresponsive);
    sim.run(5_000);
    sim.assert_no_violations();
}

#[test]
fn dependency_inherits_urgency_of_its_dependents() {
    let mut sim = Simulation::with_leader(8, 1, 0.0);
    sim.run_ms = 10_000;
    // Job 1 fills the machine. Of the waiting jobs, the one with the urgent dependent starts
    // first.
    sim.submit(job(1, Kind::Array, 2));
    sim.submit(job(2, Kind::Array, 2));
    let mut first = job(3, Kind::Array, 2);
    first.priority = Priority::Low;
    sim.submit(first);
    let mut last = dependent(4, 1, &[3]);
    last.priority = Priority::High;
    sim.submit(last);
    sim.run_until(60_000, "the dependency runs", |sim| sim.running(&id(3)) > 0);
    assert!(!sim.done(&id(2)) && sim.running(&id(2)) == 0);
    sim.assert_no_violations();
}

/// Guards against a chain that misses the deadline of its last job without a warning in the
/// status, as the first job has no deadline of its own.
#[test]
fn status_reports_late_dependents_at_first_job() {
    use pathwinch::protocol::status::{Due, PendingReason};
    let mut sim = Simulation::with_leader(9, 1, 0.0);
    sim.run_ms = 40_000;
    sim.submit(job(1, Kind::Array, 2));
    sim.submit(dependent(2, 1, &[1]));
    let mut last = dependent(3, 1, &[2]);
    last.deadline_s = Some(25.0);
    sim.submit(last);
    let explain = |sim: &mut Simulation, n: u32| {
        let (node, now) = (sim.leader().unwrap(), sim.now);
        let leader = sim.nodes[node].leader.as_ref().unwrap();
        leader.explain(&id(n), now).unwrap()
    };
    sim.run(1_000);
    let first = explain(&mut sim, 1);
    // The estimates of the two later jobs, ten seconds each, are subtracted from the deadline.
    assert!(first.left_s.is_some_and(|s| (3.0..5.0).contains(&s)));
    let second = explain(&mut sim, 2);
    assert_eq!(second.reason, Some(PendingReason::NeedsOthers));
    assert_eq!(
        (second.needs_all, second.needs[0].0.as_str()),
        (1, "j-000001")
    );
    sim.run(6_000);
    assert_eq!(explain(&mut sim, 1).due, Some(Due::Late));
    sim.assert_no_violations();
}

/// Jobs with random dependencies, some of them cancelled, while controllers crash, the state
/// service is unavailable, answers are late and lookups are refused. `SEEDS` sets the number
/// of runs.
#[test]
fn random_dependency_graphs_under_faults_break_no_invariant() {
    let (mut starts, mut cancelled) = (0, 0);
    for seed in 0..std::env::var("SEEDS").map_or(15, |text| text.parse().unwrap()) {
        let mut sim = Simulation::new(7000 + seed, 6, 48.0);
        if seed % 2 == 0 {
            sim.announce_lower_limits();
        }
        sim.standbys = seed % 3 != 0;
        sim.read_faults.max_latency_ms = [0, 300, 1_500, 0][seed as usize % 4];
        sim.read_faults.refused_lookup_percent = [0, 50][seed as usize / 2 % 2];
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.cloud_grants = true;
        let mut jobs = 0;
        for _ in 0..60 {
            jobs += 1;
            let kind = [Kind::Array, Kind::Array, Kind::Gang][sim.rng.usize(..3)];
            let mut spec = job(jobs, kind, sim.rng.u32(1..6));
            if jobs > 1 {
                let count = sim.rng.usize(..4);
                let mut dependencies: Vec<String> = (0..count)
                    .map(|_| id(sim.rng.u32(jobs.saturating_sub(9).max(1)..jobs)))
                    .collect();
                dependencies.sort();
                dependencies.dedup();
                spec.dependencies = dependencies;
            }
            if sim.rng.u8(..5) == 0 {
                spec.types = Some(simulation::many_types());
            }
            if jobs == 30 && seed % 2 == 0 {
                sim.apply_lower_limits();
            }
            sim.submit(spec);
            match sim.rng.u8(..9) {
                0 | 1 => {
                    let i = sim.leader().unwrap_or(0);
                    let back = [300, 3_000][sim.rng.usize(..2)];
                    sim.crash(i, back);
                }
                2 => (0..3).for_each(|i| sim.crash(i, 3_000)),
                3 => {
                    let i = sim.rng.usize(..sim.workers.len());
                    sim.workers[i].net = if sim.rng.bool() { Net::Hold } else { Net::Lose };
                }
                4 => (0..sim.workers.len()).for_each(|i| sim.restore_network(i)),
                5 => {
                    let delay = sim.rng.u64(100..20_000);
                    sim.store.late_writes.push(delay);
                }
                6 => {
                    sim.store.unavailable = true;
                    let ms = sim.rng.u64(1_000..9_000);
                    sim.run(ms);
                    sim.store.unavailable = false;
                }
                _ => {
                    let chosen = id(sim.rng.u32(1..=jobs));
                    sim.cancel(&chosen);
                }
            }
            let ms = sim.rng.u64(200..5_000);
            sim.run(ms);
            for i in 0..3 {
                let chosen = id(sim.rng.u32(1..=jobs));
                sim.poll(i, &chosen);
            }
        }
        (0..sim.workers.len()).for_each(|i| sim.restore_network(i));
        sim.run(50_000);
        for number in 1..=jobs {
            for i in 0..3 {
                sim.poll(i, &id(number));
            }
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        let finals = sim.store.list(records::FINALS);
        cancelled += finals
            .iter()
            .filter(|(_, v, _)| v["s"] == "withdrawn")
            .count();
        starts += sim.starts;
    }
    assert!(
        cancelled > 100 && starts > 500,
        "{cancelled} jobs cancelled, {starts} tasks started"
    );
}
