//! Placement: the choice of machines from incrementally maintained rankings is
//! compared with a full scan of all machines for every task.

use pathwinch::{
    control::placement::{
        Policy,
        fleet::{Fleet, MachineView, Request, SURPLUS_AFTER_MS},
        fragmentation, load,
    },
    options::LoadResource,
    state::resources::Resources,
};

const CAPACITIES: [(f64, f64, f64); 2] = [(64.0, 0.0, 256.0), (48.0, 4.0, 384.0)];
const ZONES: usize = 4;

fn policy() -> Policy {
    Policy {
        busy_threshold: 0.4,
        load_resource: LoadResource::Scarcest,
        shapes: vec![
            Resources::need(2.0, 1.0, 4.0),
            Resources::need(4.0, 0.0, 8.0),
            Resources::need(16.0, 0.0, 100.0),
        ],
    }
}

fn offer(capacity: (f64, f64, f64)) -> Resources {
    Resources::offer(capacity.0, capacity.1, capacity.2)
}

/// A machine of the first type and zone that is in use.
fn machine_view(capacity: (f64, f64, f64), free: (f64, f64, f64)) -> MachineView {
    MachineView {
        type_index: 0,
        zone: 0,
        spot: false,
        capacity: offer(capacity),
        free: offer(free),
        images: Vec::new(),
        idle_since: None,
    }
}

fn request(need: Resources) -> Request {
    Request {
        need,
        types: vec![true],
        spot: true,
        image: 7,
        type_ranks: vec![[0, 0]],
        late: vec![false],
    }
}

/// Returns the machine that the fleet chooses for one task.
fn chosen(machines: &[MachineView], need: Resources) -> Option<u32> {
    let mut fleet = Fleet::new(policy());
    for (machine, view) in machines.iter().enumerate() {
        fleet.update_machine(machine as u32, Some(view.clone()), 0);
    }
    let ranking = fleet.ranking(&request(need), 0);
    let choice = fleet.choose(ranking, |_| true, |_| false, |_, _| true);
    choice.map(|best| best.machine)
}

const SMALL: (f64, f64, f64) = (8.0, 4.0, 32.0);

#[test]
fn lightly_used_machine_is_preferred_over_better_fit() {
    let busy = machine_view(SMALL, (4.0, 2.0, 8.0));
    let lightly_used = machine_view(SMALL, SMALL);
    let machines = [busy.clone(), lightly_used];
    assert_eq!(chosen(&machines, Resources::need(4.0, 0.0, 8.0)), Some(1));
    // Busy machines are still used when no lightly used machine has room.
    let full = machine_view(SMALL, (0.5, 0.0, 1.0));
    assert_eq!(
        chosen(&[full, busy], Resources::need(2.0, 1.0, 4.0)),
        Some(1)
    );
    let low_memory = machine_view(SMALL, (8.0, 4.0, 8.0));
    assert_eq!(chosen(&[low_memory], Resources::need(1.0, 0.0, 20.0)), None);
}

#[test]
fn least_fragmented_machine_wins_and_cache_breaks_ties() {
    // Taking CPUs from machine 0 leaves its GPUs unusable, unlike on machine 1.
    let machine_0 = machine_view(SMALL, (5.5, 4.0, 32.0));
    let machine_1 = machine_view(SMALL, (8.0, 3.0, 32.0));
    let need = Resources::need(4.0, 0.0, 4.0);
    assert_eq!(chosen(&[machine_0, machine_1], need), Some(1));
    let plain = machine_view(SMALL, SMALL);
    let mut cached = plain.clone();
    cached.images.push(7);
    assert_eq!(chosen(&[plain, cached], need), Some(1));
}

#[test]
fn infeasible_shapes_do_not_count_as_fragmentation() {
    let capacity = Resources::offer(8.0, 0.0, 32.0);
    let shapes = [
        Resources::need(1.0, 1.0, 1.0),
        Resources::need(2.0, 0.0, 16.0),
    ];
    // Memory is the dominant resource of the second shape: its ideal count by memory
    // is 1, and 1 fits. The GPU shape has an ideal count of 0 and is left out.
    assert_eq!(
        fragmentation(&capacity, &Resources::offer(8.0, 0.0, 20.0), &shapes),
        0.0
    );
    assert_eq!(
        fragmentation(&capacity, &Resources::offer(1.0, 0.0, 32.0), &shapes),
        1.0
    );
}

/// A machine as the full scan sees it.
#[derive(Clone)]
struct Candidate {
    machine: u32,
    view: MachineView,
    rank: u32,
    caches_image: bool,
}

/// Returns every usable machine with its rank for a request.
fn find_candidates(
    machines: &[Option<MachineView>],
    request: &Request,
    failed_on: &[u32],
    now: u64,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (machine, view) in machines.iter().enumerate() {
        let Some(view) = view else { continue };
        let caches_image = view.images.contains(&request.image);
        let mut rank = request.type_ranks[view.type_index][usize::from(view.spot)];
        if !caches_image && request.late[view.type_index] {
            rank += 10_000;
        }
        if failed_on.contains(&(machine as u32)) {
            rank += 1_000_000;
        }
        let empty = view.free == view.capacity;
        let surplus = empty
            && view
                .idle_since
                .is_some_and(|since| now >= since + SURPLUS_AFTER_MS);
        if surplus && !caches_image {
            rank += 1_000;
        }
        candidates.push(Candidate {
            machine: machine as u32,
            view: view.clone(),
            rank,
            caches_image,
        });
    }
    candidates
}

/// Returns the index of the best candidate by comparing all of them.
fn choose_by_full_scan(
    candidates: &[Candidate],
    request: &Request,
    allowed: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let policy = policy();
    let key = |candidate: &Candidate| {
        let after = candidate.view.free.minus(request.need);
        (
            candidate.rank,
            load(
                &candidate.view.capacity,
                &candidate.view.free,
                policy.load_resource,
            ) >= policy.busy_threshold,
            fragmentation(&candidate.view.capacity, &after, &policy.shapes),
            !candidate.caches_image,
            candidate.view.free.cpus,
        )
    };
    let mut best: Option<usize> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let is_eligible =
            request.types[candidate.view.type_index] && (request.spot || !candidate.view.spot);
        if !is_eligible || !request.need.fits(&candidate.view.free) || !allowed(candidate) {
            continue;
        }
        let better = best.is_none_or(|best_index| {
            key(candidate).partial_cmp(&key(&candidates[best_index]))
                == Some(std::cmp::Ordering::Less)
        });
        if better {
            best = Some(index);
        }
    }
    best
}

/// A fleet under random changes, and the machines that it must reflect.
struct RandomFleet {
    rng: fastrand::Rng,
    views: Vec<Option<MachineView>>,
    fleet: Fleet,
    now: u64,
}

impl RandomFleet {
    fn new(seed: u64, machines: usize) -> Self {
        let mut random_fleet = RandomFleet {
            rng: fastrand::Rng::with_seed(seed),
            views: vec![None; machines],
            fleet: Fleet::new(policy()),
            now: 10_000,
        };
        (0..machines).for_each(|machine| random_fleet.change_machine(machine));
        random_fleet
    }

    /// Replaces the machine by a random one: idle, partly in use or unusable.
    fn change_machine(&mut self, machine: usize) {
        let rng = &mut self.rng;
        let type_index = rng.usize(..2);
        let capacity = offer(CAPACITIES[type_index]);
        let used = match rng.u32(..3) {
            0 => Resources::default(),
            _ => Resources::need(f64::from(rng.u32(..48)), 0.0, f64::from(rng.u32(..200))),
        };
        let free = capacity.minus(used);
        let view = MachineView {
            type_index,
            zone: rng.usize(..ZONES),
            spot: rng.bool(),
            capacity,
            free,
            images: (0..rng.u32(..3)).map(|_| rng.u32(..6)).collect(),
            idle_since: (free == capacity).then(|| self.now - rng.u64(..6_000)),
        };
        let usable = rng.u32(..8) > 0;
        self.views[machine] = usable.then_some(view);
        self.fleet
            .update_machine(machine as u32, self.views[machine].clone(), self.now);
    }

    fn request(&mut self) -> Request {
        let rng = &mut self.rng;
        let gpus = f64::from(rng.u32(..2));
        Request {
            need: Resources::need(f64::from(rng.u32(1..12)), gpus, f64::from(rng.u32(1..40))),
            types: vec![rng.u32(..4) > 0, rng.u32(..4) > 0],
            spot: rng.bool(),
            image: rng.u32(..6),
            type_ranks: vec![[4, 2], [rng.u32(2..6), 3]],
            late: vec![rng.u32(..4) == 0, rng.u32(..4) == 0],
        }
    }

    /// Places up to `tasks` tasks by ranking and by full scan, and checks that both
    /// choose the same machines. A gang is placed as a whole or not at all. Returns
    /// the number of placed tasks.
    fn place(&mut self, tasks: usize, gang: bool) -> usize {
        let request = self.request();
        let failed_on: Vec<u32> = (0..self.rng.usize(..3))
            .map(|_| self.rng.u32(..self.views.len() as u32))
            .collect();
        let refusing_machine = self.rng.u32(..self.views.len() as u32);
        let only_zone = (self.rng.u32(..3) == 0).then(|| self.rng.usize(..ZONES));
        let zone_ok = |zone: usize| only_zone.is_none_or(|only| only == zone);
        self.fleet.advance(self.now);
        let ranking = self.fleet.ranking(&request, self.now);
        let mut candidates = find_candidates(&self.views, &request, &failed_on, self.now);
        let (mut trial, mut chosen) = (Vec::new(), Vec::new());
        for _ in 0..tasks {
            let expected = choose_by_full_scan(&candidates, &request, |candidate| {
                zone_ok(candidate.view.zone) && candidate.machine != refusing_machine
            });
            let choice = self.fleet.choose(
                ranking,
                zone_ok,
                |machine| failed_on.contains(&machine),
                |machine, _| machine != refusing_machine,
            );
            let expected_machine = expected.map(|index| candidates[index].machine);
            assert_eq!(
                choice.map(|best| best.machine),
                expected_machine,
                "{request:?}"
            );
            let (Some(index), Some(choice)) = (expected, choice) else {
                break;
            };
            let candidate = &candidates[index];
            assert_eq!(choice.zone, candidate.view.zone);
            let late = !candidate.caches_image && request.late[candidate.view.type_index];
            assert_eq!(choice.late, late);
            candidates[index].view.free -= request.need;
            trial.push(self.fleet.take(ranking, choice.machine));
            chosen.push(choice.machine);
        }
        if gang && chosen.len() < tasks {
            self.fleet.undo_trial(ranking, trial);
            return 0;
        }
        for machine in &chosen {
            self.start(*machine, &request);
        }
        chosen.len()
    }

    /// Records a started task: its capacity is taken, its image is cached, and the
    /// machine is no longer idle.
    fn start(&mut self, machine: u32, request: &Request) {
        let Some(view) = &mut self.views[machine as usize] else {
            panic!("machine {machine} is not usable");
        };
        view.free -= request.need;
        view.idle_since = None;
        if !view.images.contains(&request.image) {
            view.images.push(request.image);
        }
        self.fleet
            .update_machine(machine, Some(view.clone()), self.now);
    }
}

#[test]
fn rankings_choose_same_machine_as_full_scan() {
    let (mut placed_tasks, mut placed_gangs) = (0, 0);
    for seed in 0..60 {
        let mut random_fleet = RandomFleet::new(seed, 5 + seed as usize);
        for _ in 0..40 {
            random_fleet.now += random_fleet.rng.u64(..2_000);
            for _ in 0..random_fleet.rng.usize(..4) {
                let machine = random_fleet.rng.usize(..random_fleet.views.len());
                random_fleet.change_machine(machine);
            }
            let tasks = random_fleet.rng.usize(1..20);
            if random_fleet.rng.bool() {
                placed_tasks += random_fleet.place(tasks, false);
            } else {
                placed_gangs += usize::from(random_fleet.place(tasks, true) > 0);
            }
        }
    }
    assert!(
        placed_tasks > 3_000 && placed_gangs > 150,
        "{placed_tasks} tasks, {placed_gangs} gangs"
    );
}

/// Guards against rankings that miss changes made while they were not used.
#[test]
fn stale_ranking_is_rebuilt() {
    let mut fleet = Fleet::new(policy());
    let wanted = request(Resources::need(2.0, 0.0, 4.0));
    for machine in 0..100 {
        fleet.update_machine(machine, Some(machine_view(SMALL, SMALL)), 0);
    }
    fleet.ranking(&wanted, 0);
    for round in 0..50u32 {
        for machine in 0..100 {
            let free = (f64::from(machine % 7 + round % 2), 0.0, 32.0);
            fleet.update_machine(machine, Some(machine_view(SMALL, free)), 0);
        }
    }
    fleet.update_machine(42, None, 0);
    let ranking = fleet.ranking(&wanted, 0);
    let expected: Vec<u32> = fleet
        .machine_views()
        .filter(|(_, view)| wanted.need.fits(&view.free))
        .map(|(machine, _)| machine)
        .collect();
    assert_eq!(fleet.ranked(ranking, |_| true), expected);
    assert!(!expected.contains(&42) && expected.len() > 50);
}

#[test]
fn gang_reservation_hides_capacity_until_released() {
    let mut fleet = Fleet::new(policy());
    let need = Resources::need(4.0, 0.0, 4.0);
    fleet.update_machine(0, Some(machine_view(SMALL, SMALL)), 0);
    fleet.withhold(0, need.scaled(2));
    // An update of the machine does not release the withheld capacity.
    fleet.update_machine(0, Some(machine_view(SMALL, SMALL)), 0);
    assert!(!fleet.may_fit(&need, |_, _, _| true));
    let ranking = fleet.ranking(&request(need), 0);
    assert_eq!(
        fleet.choose(ranking, |_| true, |_| false, |_, _| true),
        None
    );
    fleet.release_withheld();
    assert!(fleet.may_fit(&need, |_, _, _| true));
    let ranking = fleet.ranking(&request(need), 0);
    let choice = fleet.choose(ranking, |_| true, |_| false, |_, _| true);
    assert_eq!(choice.map(|best| best.machine), Some(0));
}
