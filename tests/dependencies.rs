//! Scenarios of jobs with dependencies.

mod simulation;

use pathwinch::{
    protocol::users::{JobState, Kind, Priority},
    state::records,
};
use simulation::{Net, Simulation, dependent, id, job};

/// An installation whose leaders have no standbys.
fn cluster_without_standbys(seed: u64, machines: usize, limit: f64) -> Simulation {
    let mut w = Simulation::new(seed, machines, limit);
    w.standbys = false;
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w
}

fn state(w: &mut Simulation, n: u32) -> Option<JobState> {
    let leader = w.leader()?;
    w.poll(leader, &id(n))
}

#[test]
fn dependent_jobs_run_in_dependency_order() {
    let mut w = Simulation::with_leader(1, 3, 0.0);
    w.submit(job(1, Kind::Array, 4));
    w.submit(dependent(2, 2, &[1]));
    w.submit(dependent(3, 2, &[1, 2, 2]));
    w.run(3_000);
    assert_eq!(state(&mut w, 2), Some(JobState::Queued));
    assert_eq!((w.running(&id(1)), w.running(&id(2))), (4, 0));
    w.run_until(60_000, "all done", |w| w.done(&id(3)));
    // Also one that is submitted when all is over.
    w.submit(dependent(4, 1, &[1, 3]));
    w.run_until(30_000, "done", |w| w.done(&id(4)));
    w.assert_no_violations();
}

#[test]
fn dependent_jobs_continue_after_failover() {
    let mut w = cluster_without_standbys(2, 3, 0.0);
    w.submit(job(1, Kind::Array, 2));
    w.submit(dependent(2, 40, &[1]));
    w.submit(dependent(3, 2, &[1, 2]));
    w.run_until(60_000, "the first done", |w| {
        w.done(&id(1)) && w.running(&id(2)) > 2
    });
    let leader = w.leader().unwrap();
    w.crash(leader, 3_000);
    w.run_until(30_000, "a leader again", |w| w.leader().is_some());
    w.run_until(120_000, "all done", |w| w.done(&id(3)));
    assert_eq!(w.starts, 44, "nothing ran twice");
    w.assert_no_violations();
}

/// Guards against starting what a report alone says is due: the report's end
/// may be lost with the leader, and the need runs again, or is cancelled.
#[test]
fn dependent_job_starts_after_completion_is_recorded() {
    let mut w = Simulation::with_leader(3, 3, 0.0);
    w.submit(job(1, Kind::Array, 1));
    w.submit(dependent(2, 1, &[1]));
    w.run_until(20_000, "running", |w| w.running(&id(1)) == 1);
    // What is written from now on gets no answer, and comes late.
    w.store.late_writes = vec![4_000; 3];
    w.run_until(20_000, "ended", |w| w.running(&id(1)) == 0);
    w.run(1_000);
    assert!(!w.done(&id(1)));
    assert_eq!(w.running(&id(2)), 0);
    w.store.late_writes.clear();
    w.run_until(60_000, "done", |w| w.done(&id(2)));
    w.assert_no_violations();
}

#[test]
fn cancellation_reaches_exactly_the_dependent_jobs() {
    let mut w = Simulation::with_leader(4, 2, 0.0);
    w.submit(job(1, Kind::Array, 40));
    w.submit(job(2, Kind::Array, 1));
    w.submit(dependent(3, 1, &[1, 2]));
    w.submit(dependent(4, 1, &[3]));
    w.submit(dependent(5, 1, &[2]));
    w.run(2_000);
    w.cancel(&id(1));
    // Long before the time is over.
    w.run(2_000);
    for n in [1, 3, 4] {
        assert_eq!(state(&mut w, n), Some(JobState::Cancelled), "{n}");
    }
    // One that names them later is accepted all the same.
    w.submit(dependent(6, 1, &[4]));
    w.run(2_000);
    assert_eq!(state(&mut w, 6), Some(JobState::Cancelled));
    w.run_until(60_000, "the other done", |w| w.done(&id(5)));
    assert_eq!(state(&mut w, 5), Some(JobState::Done));
    w.assert_no_violations();
}

#[test]
fn cancellation_of_dependents_survives_repeated_failover() {
    let mut w = Simulation::with_leader(5, 2, 0.0);
    w.submit(job(1, Kind::Array, 40));
    for n in 2..120 {
        // A tree: each needs one that came before.
        w.submit(dependent(n, 1, &[n / 2]));
    }
    w.run(2_000);
    w.cancel(&id(1));
    let ended = w.now;
    // Whoever leads ends after each few transactions.
    while w.now < ended + 25_000 {
        w.run(300);
        if let Some(leader) = w.leader() {
            w.crash(leader, 500);
        }
    }
    w.run(9_000);
    for n in 2..120 {
        assert_eq!(state(&mut w, n), Some(JobState::Cancelled), "{n}");
    }
    w.assert_no_violations();
}

/// The last task's end is under way as the user cancels: one answer holds for
/// the job and for what follows it.
#[test]
fn dependents_follow_outcome_when_cancellation_races_completion() {
    let (mut went_on, mut went_with) = (0, 0);
    for seed in 0..12 {
        let mut w = Simulation::with_leader(100 + seed, 2, 0.0);
        w.submit(job(1, Kind::Array, 1));
        w.submit(dependent(2, 1, &[1]));
        w.run_until(20_000, "running", |w| w.running(&id(1)) == 1);
        w.run(5_500 + 50 * seed);
        w.cancel(&id(1));
        let withdrawn = w.answered.get(&id(1)).map(|t| t.0) == Some(JobState::Cancelled);
        w.run(30_000);
        let follows = state(&mut w, 2);
        match withdrawn {
            true => went_with += 1,
            false => went_on += 1,
        }
        let expected = match withdrawn {
            true => JobState::Cancelled,
            false => JobState::Done,
        };
        assert_eq!(follows, Some(expected), "seed {seed}");
        w.assert_no_violations();
    }
    assert!(went_on > 0 && went_with > 0, "{went_on} {went_with}");
}

#[test]
fn blocked_jobs_use_no_team_quota() {
    // Room for two tasks of the team at once.
    let mut w = Simulation::with_leader(6, 3, 8.0);
    w.run_ms = 20_000;
    w.submit(job(1, Kind::Array, 1));
    w.submit(dependent(2, 8, &[1]));
    w.submit(job(3, Kind::Array, 1));
    w.run_until(8_000, "both run", |w| {
        w.running(&id(1)) == 1 && w.running(&id(3)) == 1
    });
    w.assert_no_violations();
}

/// As the leader ends, nobody can say at once whether what a chain's job needs
/// was done; what may run of it on a machine that is unresponsive counts all the same.
#[test]
fn quota_counts_unresolved_dependent_tasks_after_failover() {
    let mut w = cluster_without_standbys(7, 2, 16.0);
    w.run_ms = 60_000;
    w.submit(job(1, Kind::Gang, 1));
    w.run_until(90_000, "the first done", |w| w.done(&id(1)));
    w.submit(dependent(2, 4, &[1]));
    w.run_until(20_000, "running", |w| w.running(&id(2)) == 4);
    let silent = w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap();
    w.workers[silent].net = Net::Lose;
    let leader = w.leader().unwrap();
    w.crash(leader, 3_000);
    w.run_until(20_000, "a leader again", |w| w.leader().is_some());
    w.submit(job(3, Kind::Array, 4));
    w.run(20_000);
    w.restore_network(silent);
    w.run(5_000);
    w.assert_no_violations();
}

#[test]
fn dependency_inherits_urgency_of_its_dependents() {
    let mut w = Simulation::with_leader(8, 1, 0.0);
    w.run_ms = 10_000;
    // Two fill the machine; of what waits, the chain's goes first.
    w.submit(job(1, Kind::Array, 2));
    w.submit(job(2, Kind::Array, 2));
    let mut first = job(3, Kind::Array, 2);
    first.priority = Priority::Low;
    w.submit(first);
    let mut last = dependent(4, 1, &[3]);
    last.priority = Priority::High;
    w.submit(last);
    w.run_until(60_000, "the chain's first", |w| w.running(&id(3)) > 0);
    assert!(!w.done(&id(2)) && w.running(&id(2)) == 0);
    w.assert_no_violations();
}

/// Guards against a chain of which nobody sees that its end will be late, as
/// its first job has no deadline.
#[test]
fn status_reports_late_dependents_at_first_job() {
    use pathwinch::protocol::status::{Due, PendingReason};
    let mut w = Simulation::with_leader(9, 1, 0.0);
    w.run_ms = 40_000;
    w.submit(job(1, Kind::Array, 2));
    w.submit(dependent(2, 1, &[1]));
    let mut last = dependent(3, 1, &[2]);
    last.deadline_s = Some(25.0);
    w.submit(last);
    let explain = |w: &mut Simulation, n: u32| {
        let (i, now) = (w.leader().unwrap(), w.now);
        let l = w.nodes[i].leader.as_ref().unwrap();
        l.explain(&id(n), now).unwrap()
    };
    w.run(1_000);
    let first = explain(&mut w, 1);
    // Ten seconds each are left for the two after it.
    assert!(first.left_s.is_some_and(|s| (3.0..5.0).contains(&s)));
    let second = explain(&mut w, 2);
    assert_eq!(second.reason, Some(PendingReason::NeedsOthers));
    assert_eq!(
        (second.needs_all, second.needs[0].0.as_str()),
        (1, "j-000001")
    );
    w.run(6_000);
    assert_eq!(explain(&mut w, 1).due, Some(Due::Late));
    w.assert_no_violations();
}

/// Jobs with needs drawn at random, cancelled and not, on days on which
/// controllers crash, the store is out, answers are late and lookups are refused.
#[test]
fn random_dependency_graphs_under_faults_break_no_invariant() {
    let (mut starts, mut gone) = (0, 0);
    for seed in 0..std::env::var("SEEDS").map_or(15, |n| n.parse().unwrap()) {
        let mut w = Simulation::new(7000 + seed, 6, 48.0);
        if seed % 2 == 0 {
            w.announce_lower_limits();
        }
        w.standbys = seed % 3 != 0;
        w.read_faults.max_latency_ms = [0, 300, 1_500, 0][seed as usize % 4];
        w.read_faults.refused_lookup_percent = [0, 50][seed as usize / 2 % 2];
        w.run_until(10_000, "a leader", |w| w.leader().is_some());
        w.cloud_grants = true;
        let mut n = 0;
        for _ in 0..60 {
            n += 1;
            let kind = [Kind::Array, Kind::Array, Kind::Gang][w.rng.usize(..3)];
            let mut j = job(n, kind, w.rng.u32(1..6));
            if n > 1 {
                let count = w.rng.usize(..4);
                let mut needs: Vec<String> = (0..count)
                    .map(|_| id(w.rng.u32(n.saturating_sub(9).max(1)..n)))
                    .collect();
                needs.sort();
                needs.dedup();
                j.dependencies = needs;
            }
            if w.rng.u8(..5) == 0 {
                j.types = Some(simulation::many_types());
            }
            if n == 30 && seed % 2 == 0 {
                w.apply_lower_limits();
            }
            w.submit(j);
            match w.rng.u8(..9) {
                0 | 1 => {
                    let i = w.leader().unwrap_or(0);
                    let back = [300, 3_000][w.rng.usize(..2)];
                    w.crash(i, back);
                }
                2 => (0..3).for_each(|i| w.crash(i, 3_000)),
                3 => {
                    let i = w.rng.usize(..w.workers.len());
                    w.workers[i].net = if w.rng.bool() { Net::Hold } else { Net::Lose };
                }
                4 => (0..w.workers.len()).for_each(|i| w.restore_network(i)),
                5 => {
                    let late = w.rng.u64(100..20_000);
                    w.store.late_writes.push(late);
                }
                6 => {
                    w.store.unavailable = true;
                    let ms = w.rng.u64(1_000..9_000);
                    w.run(ms);
                    w.store.unavailable = false;
                }
                _ => {
                    let which = id(w.rng.u32(1..=n));
                    w.cancel(&which);
                }
            }
            let ms = w.rng.u64(200..5_000);
            w.run(ms);
            for i in 0..3 {
                let which = id(w.rng.u32(1..=n));
                w.poll(i, &which);
            }
        }
        (0..w.workers.len()).for_each(|i| w.restore_network(i));
        w.run(50_000);
        for m in 1..=n {
            for i in 0..3 {
                w.poll(i, &id(m));
            }
        }
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        let finals = w.store.list(records::FINALS);
        gone += finals
            .iter()
            .filter(|(_, v, _)| v["s"] == "withdrawn")
            .count();
        starts += w.starts;
    }
    assert!(
        gone > 100 && starts > 500,
        "{gone} withdrawn, {starts} started"
    );
}
