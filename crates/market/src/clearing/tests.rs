//! Unit tests of the parent module.

use super::*;

/// What any plan must keep to.
fn sound(p: &Problem, plan: &Plan) {
    let (mut slots, mut money) = (vec![0; p.offers.len()], vec![0.0; p.budgets.len()]);
    for (j, offer) in p.jobs.iter().zip(&plan.choice) {
        let Some(o) = *offer else { continue };
        let pay = f64::from(j.slots) * j.hours * p.offers[o].price;
        assert!(p.offers[o].slot.holds(&j.slot));
        assert!(pay <= j.worth + 1e-6, "above what renting here costs");
        slots[o] += j.slots;
        money[j.budget] += pay;
    }
    for (o, used) in slots.iter().enumerate() {
        assert!(*used <= p.offers[o].slots);
    }
    for (b, used) in money.iter().enumerate() {
        assert!(*used <= p.budgets[b] + 1e-3);
    }
    assert!(plan.gain <= plan.bound + 1e-6);
}

/// Every plan there is, of a problem so small that they can be counted.
fn best(p: &Problem) -> f64 {
    fn go(p: &Problem, pairs: &Pairs, i: usize, room: &mut Room) -> f64 {
        if i == p.jobs.len() {
            return 0.0;
        }
        let mut top = go(p, pairs, i + 1, room);
        for x in &pairs.of[i] {
            if room.fits(&p.jobs[i], x) {
                room.take(&p.jobs[i], x);
                top = top.max(x.gain + go(p, pairs, i + 1, room));
                room.give(&p.jobs[i], x);
            }
        }
        top
    }
    go(p, &Pairs::new(p), 0, &mut Room::new(p))
}

#[test]
fn small_problems_are_solved_exactly_and_the_heuristic_stays_near() {
    let patient = Effort {
        solver: Duration::from_secs(60),
        nodes: 1_000_000,
        ..Effort::default()
    };
    let never = Effort {
        exact_pairs: 0,
        ..Effort::default()
    };
    let (mut sum, mut near) = (0.0, 0.0);
    for seed in 0..30 {
        let p = random_problem(seed, 7, 3);
        let (exact, quick) = (clear(&p, &patient), clear(&p, &never));
        sound(&p, &exact);
        sound(&p, &quick);
        let top = best(&p);
        assert!(
            exact.exact && (exact.gain - top).abs() < 1e-3,
            "seed {seed}"
        );
        assert!(quick.bound + 1e-3 >= top, "the bound holds: seed {seed}");
        sum += top;
        near += quick.gain;
    }
    assert!(near > 0.97 * sum, "{near} of {sum}");
}

#[test]
fn large_problems_stay_within_limits_and_near_their_bound() {
    let p = random_problem(5, 2_000, 10);
    let plan = clear(&p, &Effort::default());
    sound(&p, &plan);
    assert!(plan.gap() < 0.1, "{}", plan.gap());
}

#[test]
fn nothing_to_clear_is_a_plan_too() {
    let empty = clear(&Problem::default(), &Effort::default());
    assert_eq!((empty.choice.len(), empty.gap()), (0, 0.0));
    let mut p = random_problem(1, 5, 2);
    p.budgets = vec![0.0; 3];
    assert_eq!(clear(&p, &Effort::default()).gain, 0.0);
}
