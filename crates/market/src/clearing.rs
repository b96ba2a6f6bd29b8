//! Clearing: assigns jobs to offers so that the total gain is as large as
//! possible. Small problems are solved exactly by an integer-programming solver;
//! beyond its limits a bounded heuristic is used. Either way the plan has an upper
//! bound on the gain of any plan.

use crate::wire::Slot;
use microlp::{ComparisonOp, OptimizationDirection, Problem as Program, SolveOptions, Variable};
use std::time::Duration;

/// A job to be assigned. All of its slots go to one offer, or none do.
#[derive(Debug, Clone)]
pub struct JobBid {
    pub slots: u32,
    pub slot: Slot,
    pub hours: f64,
    /// Maximum cost of the whole job; never more than renting at home would cost.
    pub max_cost: f64,
    /// Index of the budget that pays for the job.
    pub budget: usize,
}

/// An offer of slots and its price.
#[derive(Debug, Clone)]
pub struct PricedOffer {
    pub slots: u32,
    pub slot: Slot,
    /// Nominal price per slot and hour.
    pub price: f64,
    /// Expected price per slot and hour, given the market's reputation.
    pub effective_price: f64,
}

/// Input of the clearing.
#[derive(Debug, Clone, Default)]
pub struct Problem {
    pub jobs: Vec<JobBid>,
    pub offers: Vec<PricedOffer>,
    pub budgets: Vec<f64>,
}

/// Result of the clearing.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Index of the offer that each job goes to, if any.
    pub choice: Vec<Option<usize>>,
    /// Sum over the assigned jobs of their maximum cost minus their expected cost.
    pub gain: f64,
    /// Upper bound on the gain of any plan.
    pub bound: f64,
    /// Whether the plan is proven to be optimal.
    pub exact: bool,
}

impl Plan {
    /// Returns the largest possible distance from the optimum, as a share of the
    /// bound.
    pub fn gap(&self) -> f64 {
        if self.bound <= 0.0 {
            return 0.0;
        }
        ((self.bound - self.gain) / self.bound).max(0.0)
    }
}

/// Limits of the search.
#[derive(Debug, Clone)]
pub struct Effort {
    /// Number of fitting pairs of a job and an offer up to which the solver is used.
    pub max_exact_pairs: usize,
    pub solver_time_limit: Duration,
    /// Limit on the nodes of the solver's search tree. Unlike the time limit, it
    /// does not depend on the machine.
    pub solver_node_limit: u64,
    /// Number of subgradient rounds that adjust the shadow prices.
    pub rounds: u32,
    /// Maximum number of moves tried by the local search.
    pub max_moves: usize,
}

impl Default for Effort {
    fn default() -> Self {
        Effort {
            max_exact_pairs: 400,
            solver_time_limit: Duration::from_millis(200),
            solver_node_limit: 2_000,
            rounds: 150,
            max_moves: 200_000,
        }
    }
}

/// A job and an offer that fits it with a positive gain.
#[derive(Debug, Clone, Copy)]
struct Pair {
    offer: u32,
    gain: f64,
    pay: f64,
}

/// All pairs that a plan may use.
struct Pairs {
    /// Pairs of each job, by descending gain.
    by_job: Vec<Vec<Pair>>,
    count: usize,
}

impl Pairs {
    fn new(problem: &Problem) -> Self {
        let mut count = 0;
        let by_job = problem
            .jobs
            .iter()
            .map(|j| {
                let budget = problem.budgets.get(j.budget).copied().unwrap_or(0.0);
                let mut list: Vec<Pair> = problem
                    .offers
                    .iter()
                    .enumerate()
                    .filter(|(_, o)| o.slots >= j.slots && o.slot.holds(&j.slot))
                    .map(|(i, o)| {
                        let slot_hours = f64::from(j.slots) * j.hours;
                        Pair {
                            offer: i as u32,
                            gain: j.max_cost - slot_hours * o.effective_price,
                            pay: slot_hours * o.price,
                        }
                    })
                    // The nominal price must be affordable too, because the
                    // effective price is only an expectation.
                    .filter(|x| x.gain > 0.0 && x.pay <= j.max_cost && x.pay <= budget)
                    .collect();
                list.sort_by(|a, b| b.gain.total_cmp(&a.gain));
                count += list.len();
                list
            })
            .collect();
        Pairs { by_job, count }
    }
}

/// Free slots of each offer and unspent money of each budget while a plan is made.
struct FreeCapacity {
    slots: Vec<i64>,
    money: Vec<f64>,
}

impl FreeCapacity {
    fn new(problem: &Problem) -> Self {
        FreeCapacity {
            slots: problem.offers.iter().map(|o| i64::from(o.slots)).collect(),
            money: problem.budgets.clone(),
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

    fn give_back(&mut self, job: &JobBid, pair: &Pair) {
        self.slots[pair.offer as usize] += i64::from(job.slots);
        self.money[job.budget] += pair.pay;
    }
}

/// Shadow prices of slots and money, and the upper bound on the gain that they
/// prove.
struct ShadowPrices {
    slot: Vec<f64>,
    money: Vec<f64>,
    bound: f64,
}

impl ShadowPrices {
    fn zero(problem: &Problem) -> Self {
        ShadowPrices {
            slot: vec![0.0; problem.offers.len()],
            money: vec![0.0; problem.budgets.len()],
            bound: f64::INFINITY,
        }
    }
}

/// Computes shadow prices by subgradient steps on the Lagrangian dual. For any
/// non-negative prices, the sum of each job's best gain after paying them and of
/// the price of all slots and budgets is an upper bound on the gain of any plan.
/// Each round raises the prices of what is over-demanded and lowers those of
/// what is not, with a step proportional to the distance of the bound from
/// `known_gain`, the gain of a known plan (Polyak's rule).
fn shadow_prices(problem: &Problem, pairs: &Pairs, rounds: u32, known_gain: f64) -> ShadowPrices {
    let (mut slot, mut money) = (
        vec![0.0; problem.offers.len()],
        vec![0.0; problem.budgets.len()],
    );
    // Slots are measured as shares of an offer and money as shares of a
    // budget, so that one step size suits all prices.
    let capacity = |o: usize| f64::from(problem.offers[o].slots).max(1.0);
    let budget = |b: usize| problem.budgets[b].max(1e-9);
    let mut best = ShadowPrices {
        slot: slot.clone(),
        money: money.clone(),
        bound: f64::INFINITY,
    };
    let (mut step_scale, mut rounds_without_improvement) = (1.0, 0);
    for _ in 0..rounds.max(1) {
        let (mut demand, mut spent) = (vec![0.0; slot.len()], vec![0.0; money.len()]);
        let mut value = 0.0;
        for (j, list) in problem.jobs.iter().zip(&pairs.by_job) {
            let slots = f64::from(j.slots);
            let reduced_gain = |x: &Pair| {
                let o = x.offer as usize;
                x.gain - slot[o] * slots / capacity(o) - money[j.budget] * x.pay / budget(j.budget)
            };
            let best_pair = list
                .iter()
                .max_by(|a, b| reduced_gain(a).total_cmp(&reduced_gain(b)));
            if let Some(x) = best_pair.filter(|x| reduced_gain(x) > 0.0) {
                value += reduced_gain(x);
                demand[x.offer as usize] += slots;
                spent[j.budget] += x.pay;
            }
        }
        value += slot.iter().sum::<f64>() + money.iter().sum::<f64>();
        if value < best.bound - 1e-9 {
            best = ShadowPrices {
                slot: (0..slot.len()).map(|o| slot[o] / capacity(o)).collect(),
                money: (0..money.len()).map(|b| money[b] / budget(b)).collect(),
                bound: value,
            };
            rounds_without_improvement = 0;
        } else {
            rounds_without_improvement += 1;
            if rounds_without_improvement >= 5 {
                (step_scale, rounds_without_improvement) = (step_scale * 0.6, 0);
            }
        }
        let gradient =
            |i: usize, prices: &[f64], excess: f64| match prices[i] <= 0.0 && excess < 0.0 {
                true => 0.0,
                false => excess,
            };
        let slot_gradient: Vec<f64> = (0..slot.len())
            .map(|o| gradient(o, &slot, demand[o] / capacity(o) - 1.0))
            .collect();
        let money_gradient: Vec<f64> = (0..money.len())
            .map(|b| gradient(b, &money, spent[b] / budget(b) - 1.0))
            .collect();
        let norm_squared: f64 = slot_gradient
            .iter()
            .chain(&money_gradient)
            .map(|g| g * g)
            .sum();
        let gap = value - known_gain;
        if norm_squared < 1e-12 || gap <= 1e-9 * known_gain.abs() {
            break;
        }
        let step = step_scale * gap / norm_squared;
        for (price, g) in slot.iter_mut().zip(&slot_gradient) {
            *price = (*price + step * g).max(0.0);
        }
        for (price, g) in money.iter_mut().zip(&money_gradient) {
            *price = (*price + step * g).max(0.0);
        }
    }
    best
}

/// A plan under construction.
struct Draft {
    choice: Vec<Option<Pair>>,
    free: FreeCapacity,
}

impl Draft {
    fn gain(&self) -> f64 {
        self.choice.iter().flatten().map(|x| x.gain).sum()
    }

    /// Assigns the jobs in this order, each to the free offer with the highest gain
    /// after shadow prices.
    fn greedy(problem: &Problem, pairs: &Pairs, order: &[usize], shadow: &ShadowPrices) -> Self {
        let mut free = FreeCapacity::new(problem);
        let mut choice = vec![None; problem.jobs.len()];
        for &job_index in order {
            let job = &problem.jobs[job_index];
            let reduced_gain = |x: &Pair| {
                x.gain
                    - shadow.slot[x.offer as usize] * f64::from(job.slots)
                    - shadow.money[job.budget] * x.pay
            };
            let fitting = pairs.by_job[job_index].iter().filter(|x| free.fits(job, x));
            if let Some(x) = fitting
                .max_by(|a, b| reduced_gain(a).total_cmp(&reduced_gain(b)))
                .copied()
            {
                free.take(job, &x);
                choice[job_index] = Some(x);
            }
        }
        Draft { choice, free }
    }

    /// Local search: lets unassigned jobs replace jobs that gain less or fit another
    /// offer, until nothing improves or the moves are used up.
    fn improve(&mut self, problem: &Problem, pairs: &Pairs, mut moves: usize) {
        let mut jobs_of: Vec<Vec<usize>> = vec![Vec::new(); problem.offers.len()];
        for (job, pair) in self.choice.iter().enumerate() {
            if let Some(pair) = pair {
                jobs_of[pair.offer as usize].push(job);
            }
        }
        loop {
            let mut improved = false;
            for job in 0..problem.jobs.len() {
                if self.choice[job].is_some() {
                    continue;
                }
                for pair in &pairs.by_job[job] {
                    if moves == 0 {
                        return;
                    }
                    if self.try_place(problem, pairs, &mut jobs_of, job, pair, &mut moves) {
                        improved = true;
                        break;
                    }
                }
            }
            if !improved {
                return;
            }
        }
    }

    /// Assigns a job to an offer, if necessary in place of another job, which moves
    /// to another offer or becomes unassigned. Returns whether the gain increased.
    fn try_place(
        &mut self,
        problem: &Problem,
        pairs: &Pairs,
        jobs_of: &mut [Vec<usize>],
        job: usize,
        new_pair: &Pair,
        moves: &mut usize,
    ) -> bool {
        let offer = new_pair.offer as usize;
        if self.free.fits(&problem.jobs[job], new_pair) {
            self.free.take(&problem.jobs[job], new_pair);
            self.choice[job] = Some(*new_pair);
            jobs_of[offer].push(job);
            return true;
        }
        for position in 0..jobs_of[offer].len() {
            if *moves == 0 {
                return false;
            }
            *moves -= 1;
            let other = jobs_of[offer][position];
            let Some(old) = self.choice[other] else {
                continue;
            };
            self.free.give_back(&problem.jobs[other], &old);
            if self.free.fits(&problem.jobs[job], new_pair) {
                self.free.take(&problem.jobs[job], new_pair);
                let elsewhere = pairs.by_job[other]
                    .iter()
                    .find(|x| x.offer != old.offer && self.free.fits(&problem.jobs[other], x))
                    .copied();
                if new_pair.gain + elsewhere.map_or(0.0, |x| x.gain) > old.gain + 1e-9 {
                    jobs_of[offer][position] = job;
                    self.choice[job] = Some(*new_pair);
                    self.choice[other] = elsewhere;
                    if let Some(x) = elsewhere {
                        self.free.take(&problem.jobs[other], &x);
                        jobs_of[x.offer as usize].push(other);
                    }
                    return true;
                }
                self.free.give_back(&problem.jobs[job], new_pair);
            }
            self.free.take(&problem.jobs[other], &old);
        }
        false
    }
}

/// Returns the best of four greedy drafts with different job orders, after local
/// search.
fn heuristic(problem: &Problem, pairs: &Pairs, shadow: &ShadowPrices, effort: &Effort) -> Draft {
    let zero_prices = ShadowPrices::zero(problem);
    let best_gain = |i: usize, per_slot: bool| {
        let gain = pairs.by_job[i].first().map_or(0.0, |x| x.gain);
        match per_slot {
            true => gain / f64::from(problem.jobs[i].slots),
            false => gain,
        }
    };
    let best_reduced_gain = |i: usize| {
        let j = &problem.jobs[i];
        let reduced_gain = |x: &Pair| {
            x.gain
                - shadow.slot[x.offer as usize] * f64::from(j.slots)
                - shadow.money[j.budget] * x.pay
        };
        pairs.by_job[i].iter().map(reduced_gain).fold(0.0, f64::max)
    };
    let sorted = |of: &dyn Fn(usize) -> f64| {
        let mut keyed: Vec<(f64, usize)> = (0..problem.jobs.len()).map(|i| (of(i), i)).collect();
        keyed.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        keyed.into_iter().map(|(_, i)| i).collect::<Vec<_>>()
    };
    let drafts = [
        Draft::greedy(
            problem,
            pairs,
            &sorted(&|i| best_gain(i, true)),
            &zero_prices,
        ),
        Draft::greedy(
            problem,
            pairs,
            &sorted(&|i| best_gain(i, false)),
            &zero_prices,
        ),
        Draft::greedy(problem, pairs, &sorted(&best_reduced_gain), shadow),
        Draft::greedy(problem, pairs, &sorted(&|i| best_gain(i, true)), shadow),
    ];
    let best = drafts
        .into_iter()
        .max_by(|a, b| a.gain().total_cmp(&b.gain()));
    let mut best = best.unwrap_or_else(|| Draft {
        choice: vec![None; problem.jobs.len()],
        free: FreeCapacity::new(problem),
    });
    best.improve(problem, pairs, effort.max_moves);
    best
}

/// Returns the solver's plan and whether it is proven to be optimal; `None` if the
/// solver fails or its plan exceeds an offer or a budget.
fn solve(problem: &Problem, pairs: &Pairs, effort: &Effort) -> Option<(Vec<Option<Pair>>, bool)> {
    let mut program = Program::new(OptimizationDirection::Maximize);
    let mut variables: Vec<(usize, Pair, Variable)> = Vec::with_capacity(pairs.count);
    for (job, list) in pairs.by_job.iter().enumerate() {
        for x in list {
            variables.push((job, *x, program.add_binary_var(x.gain)));
        }
    }
    let mut per_job: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); problem.jobs.len()];
    let mut slots: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); problem.offers.len()];
    let mut money: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); problem.budgets.len()];
    for (job, x, v) in &variables {
        per_job[*job].push((*v, 1.0));
        slots[x.offer as usize].push((*v, f64::from(problem.jobs[*job].slots)));
        money[problem.jobs[*job].budget].push((*v, x.pay));
    }
    let limits = per_job
        .into_iter()
        .map(|e| (e, 1.0))
        .chain(
            slots
                .into_iter()
                .zip(problem.offers.iter().map(|o| f64::from(o.slots))),
        )
        .chain(money.into_iter().zip(problem.budgets.iter().copied()));
    for (expression, limit) in limits {
        if !expression.is_empty() {
            program.add_constraint(&expression[..], ComparisonOp::Le, limit);
        }
    }
    let mut options = SolveOptions::default();
    options.time_limit = Some(effort.solver_time_limit);
    options.node_limit = Some(effort.solver_node_limit);
    let outcome = program.solve_with(options).ok()?;
    let exact = outcome.is_optimal();
    let solution = outcome.into_solution().ok()?;
    let mut choice = vec![None; problem.jobs.len()];
    for (job, x, v) in variables {
        if solution.var_value(v) > 0.5 {
            choice[job] = Some(x);
        }
    }
    // The solver's plan is verified like any external input.
    let mut free = FreeCapacity::new(problem);
    for (job, x) in choice.iter().enumerate() {
        if let Some(x) = x {
            if !free.fits(&problem.jobs[job], x) {
                return None;
            }
            free.take(&problem.jobs[job], x);
        }
    }
    Some((choice, exact))
}

/// Solves the problem: heuristically, and also exactly if it is small enough.
pub fn clear(problem: &Problem, effort: &Effort) -> Plan {
    let pairs = Pairs::new(problem);
    let zero_prices = ShadowPrices::zero(problem);
    let first = heuristic(problem, &pairs, &zero_prices, effort);
    let shadow = shadow_prices(problem, &pairs, effort.rounds, first.gain());
    let second = heuristic(problem, &pairs, &shadow, effort);
    let draft = if second.gain() > first.gain() {
        second
    } else {
        first
    };
    let (mut choice, mut gain, mut exact) = (draft.choice.clone(), draft.gain(), false);
    if pairs.count <= effort.max_exact_pairs
        && let Some((solved, proven)) = solve(problem, &pairs, effort)
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

/// Returns a random problem of this size, for measurements and tests.
pub fn random_problem(seed: u64, jobs: usize, offers: usize) -> Problem {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slot = |n: usize| Slot {
        cpus: [2.0, 4.0, 8.0, 16.0][n % 4],
        gpus: if n % 4 == 3 { 1.0 } else { 0.0 },
        memory_gb: [4.0, 16.0, 32.0, 64.0][n % 4],
    };
    let total_slots = jobs as f64 * 8.0;
    let offers = (0..offers)
        .map(|_| {
            let price = 60_000.0 + 140_000.0 * rng.f64();
            PricedOffer {
                slots: ((0.4 + 0.6 * rng.f64()) * total_slots / offers as f64) as u32 + 16,
                slot: slot(rng.usize(..4)),
                price,
                effective_price: price * (1.0 + 0.5 * rng.f64()),
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
                max_cost: f64::from(slots) * hours * (100_000.0 + 200_000.0 * rng.f64()),
                budget: rng.usize(..3),
            }
        })
        .collect();
    Problem {
        jobs,
        offers,
        budgets: vec![
            total_slots * 30_000.0,
            total_slots * 15_000.0,
            total_slots * 5_000.0,
        ],
    }
}

#[cfg(test)]
mod tests;
