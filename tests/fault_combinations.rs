//! Fault combinations: random runs in which every pair of faults overlaps.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind};
use simulation::{CANCEL, Cut, CutScope, Net, Simulation, UserRequest, id, job};

/// One fault, as a random run injects it.
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

/// What users do beside the rest, as a day has it.
#[derive(Default)]
struct UserBehavior {
    polls_concurrently: bool,
    sends_malformed: bool,
    cancels_at_completion: bool,
}

fn pair(n: usize) -> (Fault, Fault) {
    let all = FAULTS.len();
    let pairs = (0..all).flat_map(|a| (a + 1..all).map(move |b| (a, b)));
    let (a, b) = pairs.clone().nth(n % pairs.count()).unwrap();
    (FAULTS[a], FAULTS[b])
}

const PAIRS: usize = FAULTS.len() * (FAULTS.len() - 1) / 2;

fn inject(w: &mut Simulation, users: &mut UserBehavior, fault: Fault) {
    let nodes = w.nodes.len();
    let now = w.now;
    let lead = (0..nodes).find(|i| w.nodes[*i].election.authority(now).is_some());
    let i = lead.unwrap_or_else(|| w.rng.usize(..nodes));
    let some: Vec<usize> = (0..w.workers.len())
        .filter(|m| w.workers[*m].alive && w.rng.u8(..3) == 0)
        .collect();
    match fault {
        LeaderRefusedByStore => {
            w.store.refused_nodes.insert(i);
        }
        Outage | LongOutage => w.store.unavailable = true,
        SlowStore => w.store.delay_ms = w.rng.u64(200..3_000),
        LateWrites => (0..6).for_each(|_| {
            let ms = w.rng.u64(2_000..12_000);
            w.store.late_writes.push(ms);
        }),
        LateExclusionWrites => (0..3).for_each(|_| {
            let ms = w.rng.u64(2_000..12_000);
            w.store.late_exclusion_writes.push(ms);
            let j = w.rng.usize(..nodes);
            if j != i {
                w.partition(j, CutScope::All, Cut::Hold);
            }
        }),
        DuplicateHeartbeats => w.duplicate_percent = 25,
        OneWayPartition => some.iter().for_each(|m| w.workers[*m].net = Net::SendOnly),
        CutFromStateAndPeers => {
            w.partition(i, CutScope::State, Cut::Hold);
            (0..nodes).for_each(|j| w.partition(i, CutScope::Node(j), Cut::Reset));
        }
        CutFromPeers => (0..nodes).for_each(|j| w.partition(i, CutScope::Node(j), Cut::Hold)),
        AllControllersCrash => (0..nodes).for_each(|j| {
            let ms = if j == i { 100 } else { w.rng.u64(100..4_000) };
            w.crash(j, ms);
        }),
        LeaderCrash => w.crash(i, 150),
        LeadershipTransfer => w.transfer_leadership(i),
        MachinesHeld => some.iter().for_each(|m| w.workers[*m].net = Net::Hold),
        MachinesLost => some.iter().for_each(|m| w.workers[*m].net = Net::Lose),
        LateDirectCommands => (0..w.workers.len()).for_each(|m| {
            let ms = w.rng.u64(500..8_000);
            w.direct_command_delay.insert(m, ms);
        }),
        ProcessPause => {
            let ms = w.rng.u64(1_000..9_000);
            w.pause_process(i, ms);
        }
        AgentsRestart => some.iter().for_each(|m| w.restart_machine(*m)),
        HeartbeatsBlocked => some
            .iter()
            .for_each(|m| w.workers[*m].net = Net::DirectCommandsOnly),
        DuplicatesForNextLeader => w.keep_for_next_leader = true,
        LostAnswers => w.store.lost_answers = 40,
        MachinesHang => some.iter().for_each(|m| {
            let ms = w.rng.u64(1_000..20_000);
            w.pause_machine(*m, ms);
        }),
        CancellationBurst => cancel_running(w, 6, 3),
        CancellationAtCompletion => users.cancels_at_completion = true,
        ConcurrentPolls => users.polls_concurrently = true,
        MalformedRequests => users.sends_malformed = true,
        SlowLinks => some.iter().for_each(|m| {
            let ms = w.rng.u64(100..1_500);
            w.slow_links.insert(*m, ms);
        }),
        NewMachines => {
            w.boot_ms = 1_000;
            some.iter().for_each(|m| w.kill_machine(*m));
        }
    }
}

/// Users call off so many jobs that run, within a fifth of a second, and some
/// of their machines hang.
fn cancel_running(w: &mut Simulation, most: usize, hang: usize) {
    let on = w.workers.iter().enumerate();
    let on = on.flat_map(|(m, worker)| worker.tasks.iter().map(move |t| (m, &t.name[..8])));
    let mut running: Vec<(usize, String)> = on.map(|(m, id)| (m, id.to_owned())).collect();
    running.dedup_by(|a, b| a.1 == b.1);
    w.rng.shuffle(&mut running);
    for (n, (m, id)) in running.into_iter().take(most).enumerate() {
        let (after, i) = (w.rng.u64(0..200), w.rng.usize(..w.nodes.len()));
        w.request_later(after, i, UserRequest::Cancel(id));
        if n < hang {
            let ms = w.rng.u64(2_000..15_000);
            w.pause_machine(m, ms);
        }
    }
}

fn clear_faults(w: &mut Simulation, users: &mut UserBehavior) {
    *users = UserBehavior::default();
    w.keep_for_next_leader = false;
    w.store.lost_answers = 0;
    w.slow_links.clear();
    w.boot_ms = 5_000;
    (0..w.workers.len()).for_each(|m| w.resume_machine(m));
    w.store.unavailable = false;
    w.store.delay_ms = 0;
    w.store.refused_nodes.clear();
    w.store.late_writes.clear();
    w.store.late_exclusion_writes.clear();
    w.duplicate_percent = 0;
    w.direct_command_delay.clear();
    (0..w.nodes.len()).for_each(|i| w.end_partitions(i));
    (0..w.workers.len()).for_each(|m| w.restore_network(m));
}

/// Users ask about some jobs at some nodes, each second.
fn run_with_polls(w: &mut Simulation, users: &UserBehavior, ms: u64, last: u32) {
    let end = w.now + ms;
    while w.now < end {
        send_overlapping_requests(w, users, last);
        w.run(1_000.min(end - w.now));
        for _ in 0..6 {
            let (i, n) = (w.rng.usize(..w.nodes.len()), w.rng.u32(1..=last));
            w.poll(i, &id(n));
        }
    }
}

/// What they ask in the second to come, and have no answer to at once.
fn send_overlapping_requests(w: &mut Simulation, users: &UserBehavior, last: u32) {
    let nodes = w.nodes.len();
    if users.polls_concurrently {
        let which = id(w.rng.u32(1..=last));
        for i in 0..nodes {
            let Some(spec) = w.specs.get(&which).cloned() else {
                break;
            };
            let after = w.rng.u64(0..800);
            w.request_later(after, i, UserRequest::Poll(which.clone()));
            w.request_later(after, i, UserRequest::submit(&spec));
        }
    }
    if users.sends_malformed {
        let (i, after) = (w.rng.usize(..nodes), w.rng.u64(0..900));
        let mut unfit = job(900_000 + last, Kind::Array, 1);
        unfit.cpus = 9.0;
        w.mark_infeasible(&unfit.id);
        w.request_later(after, i, UserRequest::submit(&unfit));
        let some = id(w.rng.u32(1..=last));
        w.request_later(
            after,
            i,
            UserRequest::Malformed(some.clone(), format!(r#"{{"ref":"{some}"}}"#).into()),
        );
        if w.done(&some) {
            w.request_later(after, i, UserRequest::Cancel(some));
        }
    }
    if users.cancels_at_completion {
        for n in 1..=last {
            let ends = w.last_task_end(&id(n)).filter(|at| *at < w.now + 1_000);
            if let Some(at) = ends.filter(|_| w.rng.u8(..3) == 0) {
                let (i, after) = (w.rng.usize(..nodes), at - w.now + w.rng.u64(0..150));
                w.request_later(after, i, UserRequest::Cancel(id(n)));
            }
        }
    }
}

fn submit_if_led(w: &mut Simulation, n: u32) -> bool {
    let led = w
        .leader()
        .is_some_and(|i| w.reaches_state(i) && w.reaches(i));
    if led {
        let kind = [Kind::Array, Kind::Service, Kind::Gang, Kind::Array][w.rng.usize(..4)];
        // As many tasks as fit the machines there are.
        let times = (w.workers.len() as u32 / 6).clamp(1, 100);
        let mut j = job(
            n,
            kind,
            (1 + n % 4) * if kind == Kind::Array { times } else { 1 },
        );
        if n.is_multiple_of(5) {
            j.team = "u".into();
        }
        if n > 4 && kind != Kind::Service && w.rng.u8(..3) == 0 {
            let need = id(n - 1 - w.rng.u32(..3));
            if w.specs[&need].kind != Kind::Service {
                j.dependencies.push(need);
            }
        }
        w.submit(j);
    }
    led
}

/// Many machines with long tasks, the team limits nearly reached, and requests in
/// flight for a while.
fn cluster_for_faults(seed: u64, machines: usize) -> (Simulation, UserBehavior) {
    let nodes = [3, 7][(seed % 2) as usize];
    let room = machines as f64 * 8.0;
    let mut w = Simulation::with_nodes(70_000 + seed, machines, 0.0, nodes)
        .with_team_limits(&[("t", room * 0.75), ("u", room * 0.35)]);
    w.standbys = !seed.is_multiple_of(4);
    (w.traffic.max_latency_ms, w.write_latency_ms) = (20, [0, 150][(seed / 2 % 2) as usize]);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    (w.cloud_grants, w.fetch_ms) = (true, 300);
    (w, UserBehavior::default())
}

/// A user cancels any of `n` jobs, if a leader answers.
fn cancel_any(w: &mut Simulation, n: u32) {
    let which = id(w.rng.u32(1..=n.max(1)));
    if w.leader().is_some_and(|i| w.reaches(i)) && w.specs.contains_key(&which) {
        w.request_cancellation(&which);
    }
}

/// Submits jobs after the `n` there are, injects the second fault while the first
/// lasts, and clears both; returns how many jobs there are.
fn overlap(
    w: &mut Simulation,
    users: &mut UserBehavior,
    (a, b): (Fault, Fault),
    mut n: u32,
) -> u32 {
    w.run_ms = [3_000, 25_000, 120_000][w.rng.usize(..3)];
    for _ in 0..4 {
        n += u32::from(submit_if_led(w, n + 1));
        run_with_polls(w, users, 600, n.max(1));
    }
    inject(w, users, a);
    let between = w.rng.u64(0..5_000);
    cancel_any(w, n);
    run_with_polls(w, users, between, n.max(1));
    inject(w, users, b);
    cancel_any(w, n);
    let long = [a, b].contains(&LongOutage);
    let ms = w.rng.u64(if long {
        CANCEL..CANCEL + 15_000
    } else {
        2_000..20_000
    });
    run_with_polls(w, users, ms / 2, n.max(1));
    cancel_any(w, n);
    run_with_polls(w, users, ms / 2, n.max(1));
    clear_faults(w, users);
    w.run_until(60_000, "a leader again", |w| w.leader().is_some());
    n
}

/// Without faults every job is known at every node, and ends within four minutes.
fn run_to_completion(w: &mut Simulation, seed: u64, n: u32) {
    let nodes = w.nodes.len();
    w.fault_free = true;
    w.run_ms = 3_000;
    let healed = w.now;
    for m in 1..=n {
        for i in 0..nodes {
            while w.poll(i, &id(m)).is_none() {
                w.step();
                assert!(w.now < healed + 30_000, "seed {seed}: {m} at {i}");
            }
        }
    }
    for m in 1..=n {
        if w.specs[&id(m)].kind == Kind::Service {
            w.cancel(&id(m));
        }
    }
    for m in 1..=n {
        w.run_until(400_000, &format!("seed {seed}: {m}"), |w| w.done(&id(m)));
    }
    // So each class and the largest are served, and begin in four minutes.
    let took = w.now - healed;
    assert!(took < 240_000, "seed {seed}: {took} ms until all ended");
    assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
}

/// Random runs in which two faults overlap, pair after pair, with
/// machines kept busy by long tasks, the limit nearly reached, and jobs
/// cancelled and asked about all along. By hand: `SEEDS=2000`, `FIRST=`,
/// `MACHINES=179`.
#[test]
fn every_fault_pair_breaks_no_invariant_loses_no_job() {
    let number = |name: &str, otherwise: u64| -> u64 {
        std::env::var(name).map_or(otherwise, |n| n.parse().unwrap())
    };
    let first = number("FIRST", 0);
    let mut met = vec![0; PAIRS];
    let (mut starts, mut lapsed, mut blind, mut withdrawn) = (0, 0, 0, 0);
    let seeds = number("SEEDS", 95);
    for seed in first..first + seeds {
        let machines = number("MACHINES", 6) as usize;
        let (mut w, mut users) = cluster_for_faults(seed, machines);
        let mut n = 0;
        for k in 0..4 {
            let which = (seed as usize * 4 + k) % PAIRS;
            n = overlap(&mut w, &mut users, pair(which), n);
            met[which] += 1;
        }
        clear_faults(&mut w, &mut users);
        run_to_completion(&mut w, seed, n);
        let told = |m: &u32| matches!(w.answered.get(&id(*m)), Some((JobState::Cancelled, _)));
        withdrawn += (1..=n).filter(told).count();
        (starts, lapsed, blind) = (
            starts + w.starts,
            lapsed + w.expired_tasks,
            blind + w.uninformed_step_downs,
        );
    }
    let times = seeds as usize * 4;
    assert!(met.iter().all(|m| *m >= times / PAIRS), "{met:?}");
    eprintln!(
        "{seeds} days, {times} meetings of {PAIRS} pairs, {starts} starts, {withdrawn} jobs \
         withdrawn, {lapsed} tasks lapsed, {blind} leaders stopped blind"
    );
    assert!(starts as u64 > 10 * seeds && lapsed > 0 && withdrawn as u64 > seeds);
}
