//! Random runs in which every pair of faults overlaps at least once. Guards against
//! violations and lost jobs that no single fault causes.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind};
use simulation::{CANCEL, Cut, CutScope, Net, Simulation, UserRequest, id, job};

/// A fault that a random run injects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    LeaderRefusedByStore,
    Outage,
    LongOutage,
    SlowStore,
    LateWrites,
    LateExclusionWrites,
    DuplicateHeartbeats,
    OneWayPartition,
    CutFromStateAndPeers,
    CutFromPeers,
    AllControllersCrash,
    LeaderCrash,
    LeadershipTransfer,
    MachinesHeld,
    MachinesLost,
    LateDirectCommands,
    ProcessPause,
    AgentsRestart,
    HeartbeatsBlocked,
    DuplicatesForNextLeader,
    LostAnswers,
    MachinesHang,
    CancellationBurst,
    CancellationAtCompletion,
    ConcurrentPolls,
    MalformedRequests,
    SlowLinks,
    NewMachines,
}
use Fault::*;

const FAULTS: [Fault; 28] = [
    LeaderRefusedByStore,
    Outage,
    LongOutage,
    SlowStore,
    LateWrites,
    LateExclusionWrites,
    DuplicateHeartbeats,
    OneWayPartition,
    CutFromStateAndPeers,
    CutFromPeers,
    AllControllersCrash,
    LeaderCrash,
    LeadershipTransfer,
    MachinesHeld,
    MachinesLost,
    LateDirectCommands,
    ProcessPause,
    AgentsRestart,
    HeartbeatsBlocked,
    DuplicatesForNextLeader,
    LostAnswers,
    MachinesHang,
    CancellationBurst,
    CancellationAtCompletion,
    ConcurrentPolls,
    MalformedRequests,
    SlowLinks,
    NewMachines,
];

/// Additional requests that users send while a fault of the run asks for them.
#[derive(Default)]
struct UserBehavior {
    polls_concurrently: bool,
    sends_malformed: bool,
    cancels_at_completion: bool,
}

/// Returns pair number `n` of all pairs of different faults.
fn pair(n: usize) -> (Fault, Fault) {
    let all = FAULTS.len();
    let pairs = (0..all).flat_map(|a| (a + 1..all).map(move |b| (a, b)));
    let (a, b) = pairs.clone().nth(n % pairs.count()).unwrap();
    (FAULTS[a], FAULTS[b])
}

const PAIRS: usize = FAULTS.len() * (FAULTS.len() - 1) / 2;

/// Injects a fault. Faults of a controller hit the leader, or a random node if there is none;
/// faults of machines hit each machine with a chance of one in three.
fn inject(sim: &mut Simulation, users: &mut UserBehavior, fault: Fault) {
    let nodes = sim.nodes.len();
    let now = sim.now;
    let leader = (0..nodes).find(|node| sim.nodes[*node].election.authority(now).is_some());
    let node = leader.unwrap_or_else(|| sim.rng.usize(..nodes));
    let machines: Vec<usize> = (0..sim.workers.len())
        .filter(|m| sim.workers[*m].alive && sim.rng.u8(..3) == 0)
        .collect();
    match fault {
        LeaderRefusedByStore => {
            sim.store.refused_nodes.insert(node);
        }
        Outage | LongOutage => sim.store.unavailable = true,
        SlowStore => sim.store.delay_ms = sim.rng.u64(200..3_000),
        LateWrites => (0..6).for_each(|_| {
            let ms = sim.rng.u64(2_000..12_000);
            sim.store.late_writes.push(ms);
        }),
        LateExclusionWrites => (0..3).for_each(|_| {
            let ms = sim.rng.u64(2_000..12_000);
            sim.store.late_exclusion_writes.push(ms);
            let j = sim.rng.usize(..nodes);
            if j != node {
                sim.partition(j, CutScope::All, Cut::Hold);
            }
        }),
        DuplicateHeartbeats => sim.duplicate_percent = 25,
        OneWayPartition => machines
            .iter()
            .for_each(|m| sim.workers[*m].net = Net::SendOnly),
        CutFromStateAndPeers => {
            sim.partition(node, CutScope::State, Cut::Hold);
            (0..nodes).for_each(|j| sim.partition(node, CutScope::Node(j), Cut::Reset));
        }
        CutFromPeers => (0..nodes).for_each(|j| sim.partition(node, CutScope::Node(j), Cut::Hold)),
        AllControllersCrash => (0..nodes).for_each(|j| {
            let ms = if j == node {
                100
            } else {
                sim.rng.u64(100..4_000)
            };
            sim.crash(j, ms);
        }),
        LeaderCrash => sim.crash(node, 150),
        LeadershipTransfer => sim.transfer_leadership(node),
        MachinesHeld => machines
            .iter()
            .for_each(|m| sim.workers[*m].net = Net::Hold),
        MachinesLost => machines
            .iter()
            .for_each(|m| sim.workers[*m].net = Net::Lose),
        LateDirectCommands => (0..sim.workers.len()).for_each(|m| {
            let ms = sim.rng.u64(500..8_000);
            sim.direct_command_delay.insert(m, ms);
        }),
        ProcessPause => {
            let ms = sim.rng.u64(1_000..9_000);
            sim.pause_process(node, ms);
        }
        AgentsRestart => machines.iter().for_each(|m| sim.restart_machine(*m)),
        HeartbeatsBlocked => machines
            .iter()
            .for_each(|m| sim.workers[*m].net = Net::DirectCommandsOnly),
        DuplicatesForNextLeader => sim.keep_for_next_leader = true,
        LostAnswers => sim.store.lost_answers = 40,
        MachinesHang => machines.iter().for_each(|m| {
            let ms = sim.rng.u64(1_000..20_000);
            sim.pause_machine(*m, ms);
        }),
        CancellationBurst => cancel_running(sim, 6, 3),
        CancellationAtCompletion => users.cancels_at_completion = true,
        ConcurrentPolls => users.polls_concurrently = true,
        MalformedRequests => users.sends_malformed = true,
        SlowLinks => machines.iter().for_each(|m| {
            let ms = sim.rng.u64(100..1_500);
            sim.slow_links.insert(*m, ms);
        }),
        NewMachines => {
            sim.boot_ms = 1_000;
            machines.iter().for_each(|m| sim.kill_machine(*m));
        }
    }
}

/// Users cancel up to `max_jobs` running jobs within 200 ms, and the machines of the first
/// `hangs` of these jobs hang.
fn cancel_running(sim: &mut Simulation, max_jobs: usize, hangs: usize) {
    let workers = sim.workers.iter().enumerate();
    let workers = workers
        .flat_map(|(machine, worker)| worker.tasks.iter().map(move |t| (machine, &t.name[..8])));
    let mut running: Vec<(usize, String)> = workers
        .map(|(machine, id)| (machine, id.to_owned()))
        .collect();
    running.dedup_by(|a, b| a.1 == b.1);
    sim.rng.shuffle(&mut running);
    for (rank, (machine, id)) in running.into_iter().take(max_jobs).enumerate() {
        let (after, node) = (sim.rng.u64(0..200), sim.rng.usize(..sim.nodes.len()));
        sim.request_later(after, node, UserRequest::Cancel(id));
        if rank < hangs {
            let ms = sim.rng.u64(2_000..15_000);
            sim.pause_machine(machine, ms);
        }
    }
}

/// Ends all faults.
fn clear_faults(sim: &mut Simulation, users: &mut UserBehavior) {
    *users = UserBehavior::default();
    sim.keep_for_next_leader = false;
    sim.store.lost_answers = 0;
    sim.slow_links.clear();
    sim.boot_ms = 5_000;
    (0..sim.workers.len()).for_each(|machine| sim.resume_machine(machine));
    sim.store.unavailable = false;
    sim.store.delay_ms = 0;
    sim.store.refused_nodes.clear();
    sim.store.late_writes.clear();
    sim.store.late_exclusion_writes.clear();
    sim.duplicate_percent = 0;
    sim.direct_command_delay.clear();
    (0..sim.nodes.len()).for_each(|node| sim.end_partitions(node));
    (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
}

/// Runs for `ms` while users poll six random jobs at random nodes every second. `last` is the
/// number of the last job.
fn run_with_polls(sim: &mut Simulation, users: &UserBehavior, ms: u64, last: u32) {
    let end = sim.now + ms;
    while sim.now < end {
        send_overlapping_requests(sim, users, last);
        sim.run(1_000.min(end - sim.now));
        for _ in 0..6 {
            let (node, job_number) = (sim.rng.usize(..sim.nodes.len()), sim.rng.u32(1..=last));
            sim.poll(node, &id(job_number));
        }
    }
}

/// Schedules the requests of the next second that overlap with others.
fn send_overlapping_requests(sim: &mut Simulation, users: &UserBehavior, last: u32) {
    let nodes = sim.nodes.len();
    if users.polls_concurrently {
        let polled = id(sim.rng.u32(1..=last));
        for node in 0..nodes {
            let Some(spec) = sim.specs.get(&polled).cloned() else {
                break;
            };
            let after = sim.rng.u64(0..800);
            sim.request_later(after, node, UserRequest::Poll(polled.clone()));
            sim.request_later(after, node, UserRequest::submit(&spec));
        }
    }
    if users.sends_malformed {
        let (node, after) = (sim.rng.usize(..nodes), sim.rng.u64(0..900));
        let mut infeasible = job(900_000 + last, Kind::Array, 1);
        infeasible.cpus = 9.0;
        sim.mark_infeasible(&infeasible.id);
        sim.request_later(after, node, UserRequest::submit(&infeasible));
        let existing = id(sim.rng.u32(1..=last));
        sim.request_later(
            after,
            node,
            UserRequest::Malformed(
                existing.clone(),
                format!(r#"{{"ref":"{existing}"}}"#).into(),
            ),
        );
        if sim.done(&existing) {
            sim.request_later(after, node, UserRequest::Cancel(existing));
        }
    }
    if users.cancels_at_completion {
        for job_number in 1..=last {
            let ends = sim
                .last_task_end(&id(job_number))
                .filter(|at| *at < sim.now + 1_000);
            if let Some(at) = ends.filter(|_| sim.rng.u8(..3) == 0) {
                let (node, after) = (sim.rng.usize(..nodes), at - sim.now + sim.rng.u64(0..150));
                sim.request_later(after, node, UserRequest::Cancel(id(job_number)));
            }
        }
    }
}

/// Submits job `job_number` of a random kind if there is a leader that can accept it; returns
/// whether it was submitted.
fn submit_if_led(sim: &mut Simulation, job_number: u32) -> bool {
    let led = sim
        .leader()
        .is_some_and(|i| sim.reaches_state(i) && sim.reaches(i));
    if led {
        let kind = [Kind::Array, Kind::Service, Kind::Gang, Kind::Array][sim.rng.usize(..4)];
        // The size of arrays grows with the number of machines.
        let array_factor = (sim.workers.len() as u32 / 6).clamp(1, 100);
        let mut spec = job(
            job_number,
            kind,
            (1 + job_number % 4) * if kind == Kind::Array { array_factor } else { 1 },
        );
        if job_number.is_multiple_of(5) {
            spec.team = "u".into();
        }
        if job_number > 4 && kind != Kind::Service && sim.rng.u8(..3) == 0 {
            let dependency = id(job_number - 1 - sim.rng.u32(..3));
            if sim.specs[&dependency].kind != Kind::Service {
                spec.dependencies.push(dependency);
            }
        }
        sim.submit(spec);
    }
    led
}

/// Returns a cluster of 3 or 7 controllers whose team limits are nearly reached and whose
/// requests are in flight for some time.
fn cluster_for_faults(seed: u64, machines: usize) -> (Simulation, UserBehavior) {
    let nodes = [3, 7][(seed % 2) as usize];
    let total_cpus = machines as f64 * 8.0;
    let mut sim = Simulation::with_nodes(70_000 + seed, machines, 0.0, nodes)
        .with_team_limits(&[("t", total_cpus * 0.75), ("u", total_cpus * 0.35)]);
    sim.standbys = !seed.is_multiple_of(4);
    (sim.traffic.max_latency_ms, sim.write_latency_ms) = (20, [0, 150][(seed / 2 % 2) as usize]);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    (sim.cloud_grants, sim.fetch_ms) = (true, 300);
    (sim, UserBehavior::default())
}

/// A user cancels one of `jobs` jobs at random, if a leader answers.
fn cancel_any(sim: &mut Simulation, jobs: u32) {
    let cancelled = id(sim.rng.u32(1..=jobs.max(1)));
    if sim.leader().is_some_and(|i| sim.reaches(i)) && sim.specs.contains_key(&cancelled) {
        sim.request_cancellation(&cancelled);
    }
}

/// Submits jobs in addition to the existing `jobs`, injects the second fault while the first
/// lasts, and clears both; returns the new number of jobs.
fn overlap(
    sim: &mut Simulation,
    users: &mut UserBehavior,
    (earlier, later): (Fault, Fault),
    mut jobs: u32,
) -> u32 {
    sim.run_ms = [3_000, 25_000, 120_000][sim.rng.usize(..3)];
    for _ in 0..4 {
        jobs += u32::from(submit_if_led(sim, jobs + 1));
        run_with_polls(sim, users, 600, jobs.max(1));
    }
    inject(sim, users, earlier);
    let between = sim.rng.u64(0..5_000);
    cancel_any(sim, jobs);
    run_with_polls(sim, users, between, jobs.max(1));
    inject(sim, users, later);
    cancel_any(sim, jobs);
    let long_outage = [earlier, later].contains(&LongOutage);
    let ms = sim.rng.u64(if long_outage {
        CANCEL..CANCEL + 15_000
    } else {
        2_000..20_000
    });
    run_with_polls(sim, users, ms / 2, jobs.max(1));
    cancel_any(sim, jobs);
    run_with_polls(sim, users, ms / 2, jobs.max(1));
    clear_faults(sim, users);
    sim.run_until(60_000, "a leader again", |sim| sim.leader().is_some());
    jobs
}

/// Without faults, every node answers polls of every job within 30 s, and all jobs end within
/// four minutes.
fn run_to_completion(sim: &mut Simulation, seed: u64, jobs: u32) {
    let nodes = sim.nodes.len();
    sim.fault_free = true;
    sim.run_ms = 3_000;
    let faults_ended_at = sim.now;
    for job_number in 1..=jobs {
        for node in 0..nodes {
            while sim.poll(node, &id(job_number)).is_none() {
                sim.step();
                assert!(
                    sim.now < faults_ended_at + 30_000,
                    "seed {seed}: node {node} does not answer about job {job_number} within 30 s"
                );
            }
        }
    }
    for job_number in 1..=jobs {
        if sim.specs[&id(job_number)].kind == Kind::Service {
            sim.cancel(&id(job_number));
        }
    }
    for job_number in 1..=jobs {
        sim.run_until(
            400_000,
            &format!("seed {seed}: job {job_number} ends"),
            |sim| sim.done(&id(job_number)),
        );
    }
    // The bound implies that jobs of each class, and the largest jobs, start within four
    // minutes.
    let duration = sim.now - faults_ended_at;
    assert!(
        duration < 240_000,
        "seed {seed}: all jobs ended only after {duration} ms"
    );
    assert!(
        sim.violations.is_empty(),
        "seed {seed}: {:?}",
        sim.violations
    );
}

/// Each run overlaps four pairs of faults, while long tasks keep the machines busy, team limits
/// are nearly reached, and users cancel and poll jobs. Environment variables for manual runs:
/// `SEEDS` (for example 2000), `FIRST` (the first seed) and `MACHINES` (for example 179).
#[test]
fn fault_pairs_break_no_invariant_and_lose_no_job_when_overlapping() {
    let from_environment = |name: &str, default: u64| -> u64 {
        std::env::var(name).map_or(default, |text| text.parse().unwrap())
    };
    let first = from_environment("FIRST", 0);
    let mut overlaps_by_pair = vec![0; PAIRS];
    let (mut starts, mut expired, mut uninformed, mut cancelled) = (0, 0, 0, 0);
    let seeds = from_environment("SEEDS", 95);
    for seed in first..first + seeds {
        let machines = from_environment("MACHINES", 6) as usize;
        let (mut sim, mut users) = cluster_for_faults(seed, machines);
        let mut jobs = 0;
        for k in 0..4 {
            let pair_number = (seed as usize * 4 + k) % PAIRS;
            jobs = overlap(&mut sim, &mut users, pair(pair_number), jobs);
            overlaps_by_pair[pair_number] += 1;
        }
        clear_faults(&mut sim, &mut users);
        run_to_completion(&mut sim, seed, jobs);
        let is_cancelled =
            |m: &u32| matches!(sim.answered.get(&id(*m)), Some((JobState::Cancelled, _)));
        cancelled += (1..=jobs).filter(is_cancelled).count();
        (starts, expired, uninformed) = (
            starts + sim.starts,
            expired + sim.expired_tasks,
            uninformed + sim.uninformed_step_downs,
        );
    }
    let overlaps = seeds as usize * 4;
    assert!(
        overlaps_by_pair.iter().all(|m| *m >= overlaps / PAIRS),
        "{overlaps_by_pair:?}"
    );
    eprintln!(
        "{seeds} runs, {overlaps} overlaps of {PAIRS} fault pairs, {starts} task starts, \
         {cancelled} jobs cancelled, {expired} tasks killed by lease expiry, {uninformed} leaders \
         stepped down as they could not prove that they know all cancellations"
    );
    assert!(starts as u64 > 10 * seeds && expired > 0 && cancelled as u64 > seeds);
}
