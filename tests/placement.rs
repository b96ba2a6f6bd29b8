//! The choice of machines from kept rankings, against the plain method that
//! looks at every machine for every task.

use pathwinch::{
    control::placement::{
        Policy,
        fleet::{Fleet, MachineView, Request, SURPLUS},
        fragmentation, load,
    },
    options::LoadResource,
    state::resources::Resources,
};

const CAPACITIES: [(f64, f64, f64); 2] = [(64.0, 0.0, 256.0), (48.0, 4.0, 384.0)];
const ZONES: usize = 4;

fn policy() -> Policy {
    Policy {
        threshold: 0.4,
        load: LoadResource::Scarcest,
        shapes: vec![
            Resources::need(2.0, 1.0, 4.0),
            Resources::need(4.0, 0.0, 8.0),
            Resources::need(16.0, 0.0, 100.0),
        ],
    }
}

fn offer(of: (f64, f64, f64)) -> Resources {
    Resources::offer(of.0, of.1, of.2)
}

/// A machine of one type that is in use.
fn room(capacity: (f64, f64, f64), free: (f64, f64, f64)) -> MachineView {
    MachineView {
        type_ix: 0,
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

/// The machine chosen among these for one task.
fn chosen(rooms: &[MachineView], need: Resources) -> Option<u32> {
    let mut fleet = Fleet::new(policy());
    for (machine, room) in rooms.iter().enumerate() {
        fleet.set(machine as u32, Some(room.clone()), 0);
    }
    let ranking = fleet.ranking(&request(need), 0);
    let choice = fleet.choose(ranking, |_| true, |_| false, |_, _| true);
    choice.map(|c| c.machine)
}

const SMALL: (f64, f64, f64) = (8.0, 4.0, 32.0);

#[test]
fn lightly_used_machine_is_preferred_over_better_fit() {
    let busy = room(SMALL, (4.0, 2.0, 8.0));
    let lazy = room(SMALL, SMALL);
    let rooms = [busy.clone(), lazy];
    assert_eq!(chosen(&rooms, Resources::need(4.0, 0.0, 8.0)), Some(1));
    // Busy machines are still used when no Lazy one has room.
    let full = room(SMALL, (0.5, 0.0, 1.0));
    assert_eq!(
        chosen(&[full, busy], Resources::need(2.0, 1.0, 4.0)),
        Some(1)
    );
    let short = room(SMALL, (8.0, 4.0, 8.0));
    assert_eq!(chosen(&[short], Resources::need(1.0, 0.0, 20.0)), None);
}

#[test]
fn least_fragmented_machine_wins_and_cache_breaks_ties() {
    // Taking CPUs from machine 0 strands its GPUs, from machine 1 not.
    let a = room(SMALL, (5.5, 4.0, 32.0));
    let b = room(SMALL, (8.0, 3.0, 32.0));
    let need = Resources::need(4.0, 0.0, 4.0);
    assert_eq!(chosen(&[a, b], need), Some(1));
    let plain = room(SMALL, SMALL);
    let mut cached = plain.clone();
    cached.images.push(7);
    assert_eq!(chosen(&[plain, cached], need), Some(1));
}

#[test]
fn infeasible_shapes_do_not_count_as_fragmentation() {
    let c = Resources::offer(8.0, 0.0, 32.0);
    let shapes = [
        Resources::need(1.0, 1.0, 1.0),
        Resources::need(2.0, 0.0, 16.0),
    ];
    // By memory, its main resource, 1 of the second shape fits, and it is
    // valid; the GPU shape has ideal 0.
    assert_eq!(
        fragmentation(&c, &Resources::offer(8.0, 0.0, 20.0), &shapes),
        0.0
    );
    assert_eq!(
        fragmentation(&c, &Resources::offer(1.0, 0.0, 32.0), &shapes),
        1.0
    );
}

/// The plain method's view of a machine.
#[derive(Clone)]
struct Candidate {
    machine: u32,
    room: MachineView,
    rank: u32,
    caches_image: bool,
}

/// Marks every usable machine for a request, as a pass did for each job.
fn mark(
    rooms: &[Option<MachineView>],
    request: &Request,
    failed: &[u32],
    now: u64,
) -> Vec<Candidate> {
    let mut out = Vec::new();
    for (machine, room) in rooms.iter().enumerate() {
        let Some(room) = room else { continue };
        let caches_image = room.images.contains(&request.image);
        let mut rank = request.type_ranks[room.type_ix][usize::from(room.spot)];
        if !caches_image && request.late[room.type_ix] {
            rank += 10_000;
        }
        if failed.contains(&(machine as u32)) {
            rank += 1_000_000;
        }
        let empty = room.free == room.capacity;
        let surplus = empty && room.idle_since.is_some_and(|s| now >= s + SURPLUS);
        if surplus && !caches_image {
            rank += 1_000;
        }
        out.push(Candidate {
            machine: machine as u32,
            room: room.clone(),
            rank,
            caches_image,
        });
    }
    out
}

/// Looks at every candidate.
fn choose_plainly(
    candidates: &[Candidate],
    request: &Request,
    allowed: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let policy = policy();
    let key = |c: &Candidate| {
        let after = c.room.free.minus(request.need);
        (
            c.rank,
            load(&c.room.capacity, &c.room.free, policy.load) >= policy.threshold,
            fragmentation(&c.room.capacity, &after, &policy.shapes),
            !c.caches_image,
            c.room.free.cpus,
        )
    };
    let mut best: Option<usize> = None;
    for (at, c) in candidates.iter().enumerate() {
        let kind_ok = request.types[c.room.type_ix] && (request.spot || !c.room.spot);
        if !kind_ok || !request.need.fits(&c.room.free) || !allowed(c) {
            continue;
        }
        let better = best.is_none_or(|b| {
            key(c).partial_cmp(&key(&candidates[b])) == Some(std::cmp::Ordering::Less)
        });
        if better {
            best = Some(at);
        }
    }
    best
}

/// A fleet under drawn changes, with the rooms as they truly are.
struct Drawn {
    rng: fastrand::Rng,
    rooms: Vec<Option<MachineView>>,
    fleet: Fleet,
    now: u64,
}

impl Drawn {
    fn new(seed: u64, machines: usize) -> Self {
        let mut drawn = Drawn {
            rng: fastrand::Rng::with_seed(seed),
            rooms: vec![None; machines],
            fleet: Fleet::new(policy()),
            now: 10_000,
        };
        (0..machines).for_each(|machine| drawn.change(machine));
        drawn
    }

    /// The machine is another one now, or gone, or partly in use.
    fn change(&mut self, machine: usize) {
        let rng = &mut self.rng;
        let type_ix = rng.usize(..2);
        let capacity = offer(CAPACITIES[type_ix]);
        let used = match rng.u32(..3) {
            0 => Resources::default(),
            _ => Resources::need(f64::from(rng.u32(..48)), 0.0, f64::from(rng.u32(..200))),
        };
        let free = capacity.minus(used);
        let room = MachineView {
            type_ix,
            zone: rng.usize(..ZONES),
            spot: rng.bool(),
            capacity,
            free,
            images: (0..rng.u32(..3)).map(|_| rng.u32(..6)).collect(),
            idle_since: (free == capacity).then(|| self.now - rng.u64(..6_000)),
        };
        let usable = rng.u32(..8) > 0;
        self.rooms[machine] = usable.then_some(room);
        self.fleet
            .set(machine as u32, self.rooms[machine].clone(), self.now);
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

    /// Places up to so many tasks both ways; a gang only as a whole. Returns
    /// how many were placed.
    fn place(&mut self, tasks: usize, gang: bool) -> usize {
        let request = self.request();
        let failed: Vec<u32> = (0..self.rng.usize(..3))
            .map(|_| self.rng.u32(..self.rooms.len() as u32))
            .collect();
        let refuses = self.rng.u32(..self.rooms.len() as u32);
        let only = (self.rng.u32(..3) == 0).then(|| self.rng.usize(..ZONES));
        let zone_ok = |zone: usize| only.is_none_or(|o| o == zone);
        self.fleet.advance(self.now);
        let ranking = self.fleet.ranking(&request, self.now);
        let mut candidates = mark(&self.rooms, &request, &failed, self.now);
        let (mut taken, mut chosen) = (Vec::new(), Vec::new());
        for _ in 0..tasks {
            let plain = choose_plainly(&candidates, &request, |c| {
                zone_ok(c.room.zone) && c.machine != refuses
            });
            let found = self.fleet.choose(
                ranking,
                zone_ok,
                |machine| failed.contains(&machine),
                |machine, _| machine != refuses,
            );
            let plain_machine = plain.map(|at| candidates[at].machine);
            assert_eq!(found.map(|c| c.machine), plain_machine, "{request:?}");
            let (Some(at), Some(found)) = (plain, found) else {
                break;
            };
            let c = &candidates[at];
            assert_eq!(found.zone, c.room.zone);
            let late = !c.caches_image && request.late[c.room.type_ix];
            assert_eq!(found.late, late);
            candidates[at].room.free -= request.need;
            taken.push(self.fleet.take(ranking, found.machine));
            chosen.push(found.machine);
        }
        if gang && chosen.len() < tasks {
            self.fleet.give_back(ranking, taken);
            return 0;
        }
        for machine in &chosen {
            self.start(*machine, &request);
        }
        chosen.len()
    }

    /// The task is there now: its image too, and the machine is in use.
    fn start(&mut self, machine: u32, request: &Request) {
        let Some(room) = &mut self.rooms[machine as usize] else {
            panic!("{machine} is not usable");
        };
        room.free -= request.need;
        room.idle_since = None;
        if !room.images.contains(&request.image) {
            room.images.push(request.image);
        }
        self.fleet.set(machine, Some(room.clone()), self.now);
    }
}

#[test]
fn rankings_choose_same_machine_as_full_scan() {
    let (mut placed, mut gangs) = (0, 0);
    for seed in 0..60 {
        let mut drawn = Drawn::new(seed, 5 + seed as usize);
        for _ in 0..40 {
            drawn.now += drawn.rng.u64(..2_000);
            for _ in 0..drawn.rng.usize(..4) {
                let machine = drawn.rng.usize(..drawn.rooms.len());
                drawn.change(machine);
            }
            let tasks = drawn.rng.usize(1..20);
            if drawn.rng.bool() {
                placed += drawn.place(tasks, false);
            } else {
                gangs += usize::from(drawn.place(tasks, true) > 0);
            }
        }
    }
    assert!(
        placed > 3_000 && gangs > 150,
        "{placed} tasks, {gangs} gangs"
    );
}

/// Guards against rankings that miss what changed while they were not used.
#[test]
fn stale_ranking_is_rebuilt() {
    let mut fleet = Fleet::new(policy());
    let wanted = request(Resources::need(2.0, 0.0, 4.0));
    for machine in 0..100 {
        fleet.set(machine, Some(room(SMALL, SMALL)), 0);
    }
    fleet.ranking(&wanted, 0);
    for round in 0..50u32 {
        for machine in 0..100 {
            let free = (f64::from(machine % 7 + round % 2), 0.0, 32.0);
            fleet.set(machine, Some(room(SMALL, free)), 0);
        }
    }
    fleet.set(42, None, 0);
    let ranking = fleet.ranking(&wanted, 0);
    let with_room: Vec<u32> = fleet
        .machine_views()
        .filter(|(_, r)| wanted.need.fits(&r.free))
        .map(|(machine, _)| machine)
        .collect();
    assert_eq!(fleet.ranked(ranking, |_| true), with_room);
    assert!(!with_room.contains(&42) && with_room.len() > 50);
}

#[test]
fn gang_reservation_hides_capacity_until_released() {
    let mut fleet = Fleet::new(policy());
    let need = Resources::need(4.0, 0.0, 4.0);
    fleet.set(0, Some(room(SMALL, SMALL)), 0);
    fleet.withhold(0, need.scaled(2));
    // A look at the machine as it is gives nothing back.
    fleet.set(0, Some(room(SMALL, SMALL)), 0);
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
    assert_eq!(choice.map(|c| c.machine), Some(0));
}
