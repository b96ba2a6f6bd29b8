//! Unit tests of the parent module.

use super::*;

/// Asserts the constraints that every plan must satisfy.
fn assert_valid(problem: &Problem, plan: &Plan) {
    let (mut slots, mut money) = (
        vec![0; problem.offers.len()],
        vec![0.0; problem.budgets.len()],
    );
    for (j, offer) in problem.jobs.iter().zip(&plan.choice) {
        let Some(o) = *offer else { continue };
        let pay = f64::from(j.slots) * j.hours * problem.offers[o].price;
        assert!(problem.offers[o].slot.holds(&j.slot));
        assert!(pay <= j.max_cost + 1e-6, "costs more than renting at home");
        slots[o] += j.slots;
        money[j.budget] += pay;
    }
    for (o, used) in slots.iter().enumerate() {
        assert!(*used <= problem.offers[o].slots);
    }
    for (b, used) in money.iter().enumerate() {
        assert!(*used <= problem.budgets[b] + 1e-3);
    }
    assert!(plan.gain <= plan.bound + 1e-6);
}

/// Returns the best gain by enumerating all plans of a small problem.
fn best_gain(problem: &Problem) -> f64 {
    fn best_from(problem: &Problem, pairs: &Pairs, job: usize, free: &mut FreeCapacity) -> f64 {
        if job == problem.jobs.len() {
            return 0.0;
        }
        let mut best = best_from(problem, pairs, job + 1, free);
        for pair in &pairs.by_job[job] {
            if free.fits(&problem.jobs[job], pair) {
                free.take(&problem.jobs[job], pair);
                best = best.max(pair.gain + best_from(problem, pairs, job + 1, free));
                free.give_back(&problem.jobs[job], pair);
            }
        }
        best
    }
    best_from(
        problem,
        &Pairs::new(problem),
        0,
        &mut FreeCapacity::new(problem),
    )
}

#[test]
fn small_problems_are_solved_exactly_and_the_heuristic_gains_97_percent() {
    let thorough = Effort {
        solver_time_limit: Duration::from_secs(60),
        solver_node_limit: 1_000_000,
        ..Effort::default()
    };
    let heuristic_only = Effort {
        max_exact_pairs: 0,
        ..Effort::default()
    };
    let (mut best_sum, mut heuristic_sum) = (0.0, 0.0);
    for seed in 0..30 {
        let problem = random_problem(seed, 7, 3);
        let (exact, heuristic) = (clear(&problem, &thorough), clear(&problem, &heuristic_only));
        assert_valid(&problem, &exact);
        assert_valid(&problem, &heuristic);
        let best = best_gain(&problem);
        assert!(
            exact.exact && (exact.gain - best).abs() < 1e-3,
            "seed {seed}"
        );
        assert!(
            heuristic.bound + 1e-3 >= best,
            "seed {seed}: the bound is below the best gain"
        );
        best_sum += best;
        heuristic_sum += heuristic.gain;
    }
    assert!(
        heuristic_sum > 0.97 * best_sum,
        "{heuristic_sum} of {best_sum}"
    );
}

#[test]
fn large_problem_keeps_limits_and_is_within_ten_percent_of_the_bound() {
    let problem = random_problem(5, 2_000, 10);
    let plan = clear(&problem, &Effort::default());
    assert_valid(&problem, &plan);
    assert!(plan.gap() < 0.1, "{}", plan.gap());
}

#[test]
fn empty_or_unaffordable_problem_yields_an_empty_plan() {
    let empty = clear(&Problem::default(), &Effort::default());
    assert_eq!((empty.choice.len(), empty.gap()), (0, 0.0));
    let mut problem = random_problem(1, 5, 2);
    problem.budgets = vec![0.0; 3];
    assert_eq!(clear(&problem, &Effort::default()).gain, 0.0);
}
