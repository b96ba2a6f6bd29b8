//! Which machine a task goes to: Lazy machines first, and among them the one
//! left least fragmented; then Busy ones. Pure: candidates in, choice out.

use crate::{
    bookkeeping::amounts::Amounts,
    options::{LoadResource, Shape},
};

#[derive(Debug, Clone)]
pub struct Candidate {
    pub machine: u32,
    pub zone: usize,
    pub capacity: Amounts,
    pub free: Amounts,
    pub caches_image: bool,
    /// Rank of its kind of machine for this task: dearer kinds only when the
    /// cheaper have no room.
    pub pool: u32,
    /// Its image fetch alone would miss the aim for starting.
    pub late: bool,
    /// Among equals, the lower goes first.
    pub preference: i64,
}

#[derive(Debug, Clone)]
pub struct Policy {
    pub threshold: f64,
    pub load: LoadResource,
    pub shapes: Vec<Amounts>,
}

impl Policy {
    pub fn shape(s: &Shape) -> Amounts {
        Amounts::need(s.cpus, s.gpus, s.memory_gb)
    }
}

fn share(used: i64, of: i64) -> f64 {
    if of > 0 { used as f64 / of as f64 } else { 0.0 }
}

/// Requested share of the load resource.
pub fn load(capacity: &Amounts, free: &Amounts, resource: LoadResource) -> f64 {
    let used = capacity.minus(*free);
    let cpu = share(used.cpus, capacity.cpus);
    let gpu = share(used.gpus, capacity.gpus);
    let memory = share(used.memory, capacity.memory);
    match resource {
        LoadResource::Cpu => cpu,
        LoadResource::Gpu => gpu,
        LoadResource::Memory => memory,
        LoadResource::Scarcest => cpu.max(gpu).max(memory),
    }
}

/// How many of a shape fit counting its main resource alone: the one of
/// which it takes the greatest share of a whole machine.
fn ideal(capacity: &Amounts, free: &Amounts, shape: &Amounts) -> i64 {
    [
        (shape.gpus, capacity.gpus, free.gpus),
        (shape.cpus, capacity.cpus, free.cpus),
        (shape.memory, capacity.memory, free.memory),
    ]
    .into_iter()
    .filter(|(s, _, _)| *s > 0)
    .map(|(s, c, f)| {
        let share = if c > 0 {
            s as f64 / c as f64
        } else {
            f64::INFINITY
        };
        (share, f.max(0) / s)
    })
    .reduce(|a, b| if b.0 > a.0 { b } else { a })
    .map_or(0, |(_, n)| n)
}

/// Fragmentation cost of a machine with this much left: the mean, over the
/// common shapes, of one minus valid over ideal.
pub fn fragmentation(capacity: &Amounts, free: &Amounts, shapes: &[Amounts]) -> f64 {
    let mut sum = 0.0;
    let mut n = 0;
    for shape in shapes {
        let ideal = ideal(capacity, free, shape);
        if ideal > 0 {
            sum += 1.0 - free.count(shape) as f64 / ideal as f64;
            n += 1;
        }
    }
    if n > 0 { sum / f64::from(n) } else { 0.0 }
}

/// Candidate, its class (kind, Busy), and the order within the class.
type Best = (usize, (u32, bool), (f64, bool, i64));

/// Chooses a machine, as an index into the candidates.
pub fn choose(
    policy: &Policy,
    candidates: &[Candidate],
    need: &Amounts,
    allowed: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let mut best = None::<Best>;
    for (i, c) in candidates.iter().enumerate() {
        if !need.fits(&c.free) || !allowed(c) {
            continue;
        }
        let busy = load(&c.capacity, &c.free, policy.load) >= policy.threshold;
        let after = c.free.minus(*need);
        let cost = fragmentation(&c.capacity, &after, &policy.shapes);
        let class = (c.pool, busy);
        let key = (cost, !c.caches_image, c.preference);
        let better = best.as_ref().is_none_or(|(_, best_class, b)| {
            class
                .cmp(best_class)
                .then(key.0.total_cmp(&b.0))
                .then((key.1, key.2).cmp(&(b.1, b.2)))
                .is_lt()
        });
        if better {
            best = Some((i, class, key));
        }
    }
    best.map(|(i, _, _)| i)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(machine: u32, free: (f64, f64, f64)) -> Candidate {
        Candidate {
            machine,
            zone: 0,
            capacity: Amounts::offer(8.0, 4.0, 32.0),
            free: Amounts::offer(free.0, free.1, free.2),
            caches_image: false,
            pool: 0,
            late: false,
            preference: 0,
        }
    }

    fn policy() -> Policy {
        Policy {
            threshold: 0.4,
            load: LoadResource::Scarcest,
            shapes: vec![Amounts::need(2.0, 1.0, 4.0), Amounts::need(4.0, 0.0, 8.0)],
        }
    }

    #[test]
    fn a_lazy_machine_goes_before_a_busy_one_that_would_be_left_tidier() {
        let busy = candidate(0, (4.0, 2.0, 8.0));
        let lazy = candidate(1, (8.0, 4.0, 32.0));
        let need = Amounts::need(1.0, 0.0, 20.0);
        assert_eq!(
            choose(
                &policy(),
                &[busy.clone(), lazy],
                &Amounts::need(4.0, 0.0, 8.0),
                |_| true
            ),
            Some(1)
        );
        // Busy machines are still used when no Lazy one has room.
        let full = candidate(1, (0.5, 0.0, 1.0));
        assert_eq!(
            choose(
                &policy(),
                &[full, busy],
                &Amounts::need(2.0, 1.0, 4.0),
                |_| true
            ),
            Some(1)
        );
        assert_eq!(
            choose(&policy(), &[candidate(0, (8.0, 4.0, 8.0))], &need, |_| true),
            None
        );
    }

    #[test]
    fn among_lazy_machines_the_least_fragmented_wins_and_the_cache_breaks_ties() {
        // Taking CPUs from machine 0 strands its GPUs, from machine 1 not.
        let a = candidate(0, (5.5, 4.0, 32.0));
        let b = candidate(1, (8.0, 3.0, 32.0));
        let need = Amounts::need(4.0, 0.0, 4.0);
        assert_eq!(choose(&policy(), &[a, b], &need, |_| true), Some(1));
        let plain = candidate(0, (8.0, 4.0, 32.0));
        let mut cached = candidate(1, (8.0, 4.0, 32.0));
        cached.caches_image = true;
        assert_eq!(
            choose(&policy(), &[plain, cached], &need, |_| true),
            Some(1)
        );
    }

    #[test]
    fn shapes_that_could_not_fit_at_all_do_not_count() {
        let c = Amounts::offer(8.0, 0.0, 32.0);
        let shapes = [Amounts::need(1.0, 1.0, 1.0), Amounts::need(2.0, 0.0, 16.0)];
        // By memory, its main resource, 1 of the second shape fits, and it is
        // valid; the GPU shape has ideal 0.
        assert_eq!(
            fragmentation(&c, &Amounts::offer(8.0, 0.0, 20.0), &shapes),
            0.0
        );
        assert_eq!(
            fragmentation(&c, &Amounts::offer(1.0, 0.0, 32.0), &shapes),
            1.0
        );
    }
}
