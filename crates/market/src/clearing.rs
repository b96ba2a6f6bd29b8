//! Which jobs go to which offers. Exactly, by a solver, where that keeps its
//! limits; beyond them by a bounded heuristic. Either way the plan comes with
//! an upper bound on what any plan could gain.

use crate::wire::Slot;
use microlp::{ComparisonOp, OptimizationDirection, Problem as Program, SolveOptions, Variable};
use std::time::Duration;

/// A job as it bids: whole, or not at all.
#[derive(Debug, Clone)]
pub struct JobBid {
    pub slots: u32,
    pub slot: Slot,
    pub hours: f64,
    /// At most this for all of it; never more than renting here would cost.
    pub worth: f64,
    /// Index of the budget that it is paid from.
    pub budget: usize,
}

#[derive(Debug, Clone)]
pub struct PricedOffer {
    pub slots: u32,
    pub slot: Slot,
    /// For a slot and hour, as asked.
    pub price: f64,
    /// The same as it is expected to come out.
    pub effective: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Problem {
    pub jobs: Vec<JobBid>,
    pub offers: Vec<PricedOffer>,
    pub budgets: Vec<f64>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// For each job the offer it goes to.
    pub choice: Vec<Option<usize>>,
    pub gain: f64,
    /// No plan gains more.
    pub bound: f64,
    /// Proven best.
    pub exact: bool,
}

impl Plan {
    /// How far from the best it may be, as a share.
    pub fn gap(&self) -> f64 {
        if self.bound <= 0.0 {
            return 0.0;
        }
        ((self.bound - self.gain) / self.bound).max(0.0)
    }
}

#[derive(Debug, Clone)]
pub struct Effort {
    /// Pairs of a job and an offer that fit up to which the solver is asked.
    pub exact_pairs: usize,
    pub solver: Duration,
    /// Nodes of the solver's search: a limit that doesn't depend on the
    /// machine.
    pub nodes: u64,
    /// Rounds of raising and lowering the offers' shadow prices.
    pub rounds: u32,
    /// Moves tried to improve a plan.
    pub moves: usize,
}

impl Default for Effort {
    fn default() -> Self {
        Effort {
            exact_pairs: 400,
            solver: Duration::from_millis(200),
            nodes: 2_000,
            rounds: 150,
            moves: 200_000,
        }
    }
}

/// A pair that fits and gains something.
#[derive(Debug, Clone, Copy)]
struct Pair {
    offer: u32,
    gain: f64,
    pay: f64,
}

struct Pairs {
    /// Of each job, best first.
    of: Vec<Vec<Pair>>,
    count: usize,
}

impl Pairs {
    fn new(p: &Problem) -> Self {
        let mut count = 0;
        let of = p
            .jobs
            .iter()
            .map(|j| {
                let budget = p.budgets.get(j.budget).copied().unwrap_or(0.0);
                let mut list: Vec<Pair> = p
                    .offers
                    .iter()
                    .enumerate()
                    .filter(|(_, o)| o.slots >= j.slots && o.slot.holds(&j.slot))
                    .map(|(i, o)| {
                        let slot_hours = f64::from(j.slots) * j.hours;
                        Pair {
                            offer: i as u32,
                            gain: j.worth - slot_hours * o.effective,
                            pay: slot_hours * o.price,
                        }
                    })
                    // A price that is within reach only in expectation isn't.
                    .filter(|x| x.gain > 0.0 && x.pay <= j.worth && x.pay <= budget)
                    .collect();
                list.sort_by(|a, b| b.gain.total_cmp(&a.gain));
                count += list.len();
                list
            })
            .collect();
        Pairs { of, count }
    }
}

/// What is left while a plan is made.
struct Room {
    slots: Vec<i64>,
    money: Vec<f64>,
}

impl Room {
    fn new(p: &Problem) -> Self {
        Room {
            slots: p.offers.iter().map(|o| i64::from(o.slots)).collect(),
            money: p.budgets.clone(),
        }
    }

    fn fits(&self, job: &JobBid, pair: &Pair) -> bool {
        self.slots[pair.offer as usize] >= i64::from(job.slots)
            && self.money[job.budget] + 1e-9 >= pair.pay
    }

    fn take(&mut self, job: &JobBid, pair: &Pair) {
        self.slots[pair.offer as usize] -= i64::from(job.slots);
        self.money[job.budget] -= pair.pay;
    }

    fn give(&mut self, job: &JobBid, pair: &Pair) {
        self.slots[pair.offer as usize] += i64::from(job.slots);
        self.money[job.budget] += pair.pay;
    }
}

/// Shadow prices of slots and of money, and the bound that they prove.
struct Shadow {
    slot: Vec<f64>,
    money: Vec<f64>,
    bound: f64,
}

impl Shadow {
    fn none(p: &Problem) -> Self {
        Shadow {
            slot: vec![0.0; p.offers.len()],
            money: vec![0.0; p.budgets.len()],
            bound: f64::INFINITY,
        }
    }
}

/// For any prices not below zero, what jobs would gain on their own after
/// paying them, plus the prices of all there is, is no less than what any
/// plan gains. Prices of what is wanted too much are raised, in steps by how
/// far the bound still is from `known`, a plan's gain (Polyak's rule).
fn shadow(p: &Problem, pairs: &Pairs, rounds: u32, known: f64) -> Shadow {
    let (mut slot, mut money) = (vec![0.0; p.offers.len()], vec![0.0; p.budgets.len()]);
    // Slots are counted in shares of an offer and money in shares of a
    // budget, so that one step fits all.
    let size = |o: usize| f64::from(p.offers[o].slots).max(1.0);
    let purse = |b: usize| p.budgets[b].max(1e-9);
    let mut best = Shadow {
        slot: slot.clone(),
        money: money.clone(),
        bound: f64::INFINITY,
    };
    let (mut pace, mut stale) = (1.0, 0);
    for _ in 0..rounds.max(1) {
        let (mut wanted, mut spent) = (vec![0.0; slot.len()], vec![0.0; money.len()]);
        let mut value = 0.0;
        for (j, list) in p.jobs.iter().zip(&pairs.of) {
            let slots = f64::from(j.slots);
            let after = |x: &Pair| {
                let o = x.offer as usize;
                x.gain - slot[o] * slots / size(o) - money[j.budget] * x.pay / purse(j.budget)
            };
            let top = list.iter().max_by(|a, b| after(a).total_cmp(&after(b)));
            if let Some(x) = top.filter(|x| after(x) > 0.0) {
                value += after(x);
                wanted[x.offer as usize] += slots;
                spent[j.budget] += x.pay;
            }
        }
        value += slot.iter().sum::<f64>() + money.iter().sum::<f64>();
        if value < best.bound - 1e-9 {
            best = Shadow {
                slot: (0..slot.len()).map(|o| slot[o] / size(o)).collect(),
                money: (0..money.len()).map(|b| money[b] / purse(b)).collect(),
                bound: value,
            };
            stale = 0;
        } else {
            stale += 1;
            if stale >= 5 {
                (pace, stale) = (pace * 0.6, 0);
            }
        }
        let slope = |i: usize, prices: &[f64], over: f64| match prices[i] <= 0.0 && over < 0.0 {
            true => 0.0,
            false => over,
        };
        let by_slot: Vec<f64> = (0..slot.len())
            .map(|o| slope(o, &slot, wanted[o] / size(o) - 1.0))
            .collect();
        let by_money: Vec<f64> = (0..money.len())
            .map(|b| slope(b, &money, spent[b] / purse(b) - 1.0))
            .collect();
        let steep: f64 = by_slot.iter().chain(&by_money).map(|g| g * g).sum();
        let ahead = value - known;
        if steep < 1e-12 || ahead <= 1e-9 * known.abs() {
            break;
        }
        let step = pace * ahead / steep;
        for (price, g) in slot.iter_mut().zip(&by_slot) {
            *price = (*price + step * g).max(0.0);
        }
        for (price, g) in money.iter_mut().zip(&by_money) {
            *price = (*price + step * g).max(0.0);
        }
    }
    best
}

struct Draft {
    choice: Vec<Option<Pair>>,
    room: Room,
}

impl Draft {
    fn gain(&self) -> f64 {
        self.choice.iter().flatten().map(|x| x.gain).sum()
    }

    /// Takes jobs in this order, each into its best place after shadow prices.
    fn greedy(p: &Problem, pairs: &Pairs, order: &[usize], shadow: &Shadow) -> Self {
        let mut room = Room::new(p);
        let mut choice = vec![None; p.jobs.len()];
        for &i in order {
            let j = &p.jobs[i];
            let after = |x: &Pair| {
                x.gain
                    - shadow.slot[x.offer as usize] * f64::from(j.slots)
                    - shadow.money[j.budget] * x.pay
            };
            let open = pairs.of[i].iter().filter(|x| room.fits(j, x));
            if let Some(x) = open.max_by(|a, b| after(a).total_cmp(&after(b))).copied() {
                room.take(j, &x);
                choice[i] = Some(x);
            }
        }
        Draft { choice, room }
    }

    /// Puts jobs that were left out in the place of ones that gain less or
    /// can go elsewhere, until nothing improves or the moves are used up.
    fn improve(&mut self, p: &Problem, pairs: &Pairs, mut moves: usize) {
        let mut inside: Vec<Vec<usize>> = vec![Vec::new(); p.offers.len()];
        for (i, x) in self.choice.iter().enumerate() {
            if let Some(x) = x {
                inside[x.offer as usize].push(i);
            }
        }
        loop {
            let mut better = false;
            for i in 0..p.jobs.len() {
                if self.choice[i].is_some() {
                    continue;
                }
                for new in &pairs.of[i] {
                    if moves == 0 {
                        return;
                    }
                    if self.swap(p, pairs, &mut inside, i, new, &mut moves) {
                        better = true;
                        break;
                    }
                }
            }
            if !better {
                return;
            }
        }
    }

    fn swap(
        &mut self,
        p: &Problem,
        pairs: &Pairs,
        inside: &mut [Vec<usize>],
        i: usize,
        new: &Pair,
        moves: &mut usize,
    ) -> bool {
        let offer = new.offer as usize;
        if self.room.fits(&p.jobs[i], new) {
            self.room.take(&p.jobs[i], new);
            self.choice[i] = Some(*new);
            inside[offer].push(i);
            return true;
        }
        for at in 0..inside[offer].len() {
            if *moves == 0 {
                return false;
            }
            *moves -= 1;
            let other = inside[offer][at];
            let Some(old) = self.choice[other] else {
                continue;
            };
            self.room.give(&p.jobs[other], &old);
            if self.room.fits(&p.jobs[i], new) {
                self.room.take(&p.jobs[i], new);
                let elsewhere = pairs.of[other]
                    .iter()
                    .find(|x| x.offer != old.offer && self.room.fits(&p.jobs[other], x))
                    .copied();
                if new.gain + elsewhere.map_or(0.0, |x| x.gain) > old.gain + 1e-9 {
                    inside[offer][at] = i;
                    self.choice[i] = Some(*new);
                    self.choice[other] = elsewhere;
                    if let Some(x) = elsewhere {
                        self.room.take(&p.jobs[other], &x);
                        inside[x.offer as usize].push(other);
                    }
                    return true;
                }
                self.room.give(&p.jobs[i], new);
            }
            self.room.take(&p.jobs[other], &old);
        }
        false
    }
}

fn heuristic(p: &Problem, pairs: &Pairs, shadow: &Shadow, effort: &Effort) -> Draft {
    let none = Shadow::none(p);
    let key = |i: usize, per_slot: bool| {
        let gain = pairs.of[i].first().map_or(0.0, |x| x.gain);
        match per_slot {
            true => gain / f64::from(p.jobs[i].slots),
            false => gain,
        }
    };
    let reduced = |i: usize| {
        let j = &p.jobs[i];
        let after = |x: &Pair| {
            x.gain
                - shadow.slot[x.offer as usize] * f64::from(j.slots)
                - shadow.money[j.budget] * x.pay
        };
        pairs.of[i].iter().map(after).fold(0.0, f64::max)
    };
    let sorted = |of: &dyn Fn(usize) -> f64| {
        let mut keyed: Vec<(f64, usize)> = (0..p.jobs.len()).map(|i| (of(i), i)).collect();
        keyed.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        keyed.into_iter().map(|(_, i)| i).collect::<Vec<_>>()
    };
    let drafts = [
        Draft::greedy(p, pairs, &sorted(&|i| key(i, true)), &none),
        Draft::greedy(p, pairs, &sorted(&|i| key(i, false)), &none),
        Draft::greedy(p, pairs, &sorted(&reduced), shadow),
        Draft::greedy(p, pairs, &sorted(&|i| key(i, true)), shadow),
    ];
    let best = drafts
        .into_iter()
        .max_by(|a, b| a.gain().total_cmp(&b.gain()));
    let mut best = best.unwrap_or_else(|| Draft {
        choice: vec![None; p.jobs.len()],
        room: Room::new(p),
    });
    best.improve(p, pairs, effort.moves);
    best
}

/// The solver's plan, and whether it is proven best.
fn solve(p: &Problem, pairs: &Pairs, effort: &Effort) -> Option<(Vec<Option<Pair>>, bool)> {
    let mut program = Program::new(OptimizationDirection::Maximize);
    let mut vars: Vec<(usize, Pair, Variable)> = Vec::with_capacity(pairs.count);
    for (i, list) in pairs.of.iter().enumerate() {
        for x in list {
            vars.push((i, *x, program.add_binary_var(x.gain)));
        }
    }
    let mut once: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); p.jobs.len()];
    let mut slots: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); p.offers.len()];
    let mut money: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); p.budgets.len()];
    for (i, x, v) in &vars {
        once[*i].push((*v, 1.0));
        slots[x.offer as usize].push((*v, f64::from(p.jobs[*i].slots)));
        money[p.jobs[*i].budget].push((*v, x.pay));
    }
    let limits = once
        .into_iter()
        .map(|e| (e, 1.0))
        .chain(
            slots
                .into_iter()
                .zip(p.offers.iter().map(|o| f64::from(o.slots))),
        )
        .chain(money.into_iter().zip(p.budgets.iter().copied()));
    for (expression, most) in limits {
        if !expression.is_empty() {
            program.add_constraint(&expression[..], ComparisonOp::Le, most);
        }
    }
    let mut options = SolveOptions::default();
    options.time_limit = Some(effort.solver);
    options.node_limit = Some(effort.nodes);
    let outcome = program.solve_with(options).ok()?;
    let exact = outcome.is_optimal();
    let solution = outcome.into_solution().ok()?;
    let mut choice = vec![None; p.jobs.len()];
    for (i, x, v) in vars {
        if solution.var_value(v) > 0.5 {
            choice[i] = Some(x);
        }
    }
    // What a solver says is checked like anything from outside.
    let mut room = Room::new(p);
    for (i, x) in choice.iter().enumerate() {
        if let Some(x) = x {
            if !room.fits(&p.jobs[i], x) {
                return None;
            }
            room.take(&p.jobs[i], x);
        }
    }
    Some((choice, exact))
}

pub fn clear(p: &Problem, effort: &Effort) -> Plan {
    let pairs = Pairs::new(p);
    let none = Shadow::none(p);
    let first = heuristic(p, &pairs, &none, effort);
    let shadow = shadow(p, &pairs, effort.rounds, first.gain());
    let second = heuristic(p, &pairs, &shadow, effort);
    let draft = if second.gain() > first.gain() {
        second
    } else {
        first
    };
    let (mut choice, mut gain, mut exact) = (draft.choice.clone(), draft.gain(), false);
    if pairs.count <= effort.exact_pairs
        && let Some((solved, proven)) = solve(p, &pairs, effort)
    {
        let value: f64 = solved.iter().flatten().map(|x| x.gain).sum();
        if proven || value > gain {
            (choice, gain, exact) = (solved, value, proven);
        }
    }
    Plan {
        choice: choice.iter().map(|x| x.map(|x| x.offer as usize)).collect(),
        gain,
        bound: if exact { gain } else { shadow.bound.max(gain) },
        exact,
    }
}

/// Problems of a size, drawn: for measurements and tests.
pub fn random_problem(seed: u64, jobs: usize, offers: usize) -> Problem {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slot = |n: usize| Slot {
        cpus: [2.0, 4.0, 8.0, 16.0][n % 4],
        gpus: if n % 4 == 3 { 1.0 } else { 0.0 },
        memory_gb: [4.0, 16.0, 32.0, 64.0][n % 4],
    };
    let asked = jobs as f64 * 8.0;
    let offers = (0..offers)
        .map(|_| {
            let price = 60_000.0 + 140_000.0 * rng.f64();
            PricedOffer {
                slots: ((0.4 + 0.6 * rng.f64()) * asked / offers as f64) as u32 + 16,
                slot: slot(rng.usize(..4)),
                price,
                effective: price * (1.0 + 0.5 * rng.f64()),
            }
        })
        .collect();
    let jobs = (0..jobs)
        .map(|_| {
            let slots = rng.u32(1..=16);
            let hours = 0.05 + rng.f64();
            JobBid {
                slots,
                slot: slot(rng.usize(..4)),
                hours,
                worth: f64::from(slots) * hours * (100_000.0 + 200_000.0 * rng.f64()),
                budget: rng.usize(..3),
            }
        })
        .collect();
    Problem {
        jobs,
        offers,
        budgets: vec![asked * 30_000.0, asked * 15_000.0, asked * 5_000.0],
    }
}

#[cfg(test)]
mod tests;
