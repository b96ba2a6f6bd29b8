//! What the broker does when one thing goes wrong at a time.

mod simulation;

use pathwinch_market::broker::Phase;
use simulation::{Millis, World};

/// A calm world, in which nothing starts at home by itself.
fn calm(jobs: u32) -> World {
    let mut w = World::new(7, jobs);
    for j in w.jobs.values_mut() {
        j.local_at = 10_000_000;
    }
    w.take_over();
    w
}

fn running(w: &World) -> usize {
    w.jobs.keys().filter(|j| w.place(j).is_some()).count()
}

const NONE: Vec<String> = Vec::new();

#[test]
fn two_markets_accept_a_job_and_one_gets_it() {
    let mut w = calm(1);
    w.until("it runs", |w| running(w) == 1);
    let held: Vec<u64> = w.markets.iter().map(|m| m.held).collect();
    assert_eq!(held, [1, 1, 0], "the best place and the next best");
    w.settle();
    let accepted: u64 = w.markets.iter().map(|m| m.accepted).sum();
    assert_eq!((accepted, w.markets[1].released), (1, 1));
    assert_eq!(w.check(), NONE);
}

/// The broker's process ends before and after everything that it does, one
/// run for each.
#[test]
fn the_broker_may_end_before_and_after_every_step() {
    let mut whole = calm(3);
    whole.settle();
    assert!(whole.effects > 30, "{}", whole.effects);
    for at in 0..whole.effects {
        for after in [false, true] {
            let mut w = calm(3);
            w.ends_at = Some((at, after));
            w.settle();
            assert_eq!(w.check(), NONE, "ended at {at}, after: {after}");
            assert_eq!(w.brokers.len(), 2, "at {at}: a successor took over");
        }
    }
}

#[test]
fn what_a_market_confirms_of_a_withdrawn_job_is_kept() {
    let mut w = calm(30);
    for m in &mut w.markets {
        m.withdraws = 0.1;
    }
    let kept = |w: &World| {
        w.jobs
            .values()
            .any(|j| j.answer.is_none() && !j.w.done.is_empty())
    };
    w.until("a part is done and the rest is not", kept);
    w.settle();
    assert_eq!(w.check(), NONE);
}

/// Nobody answers any more: jobs come home, but not before the market must
/// have ended them by its own clock.
#[test]
fn jobs_of_a_silent_market_come_home_once_its_tenancy_is_surely_over() {
    let mut w = calm(20);
    for j in w.jobs.values_mut() {
        j.w.estimate_s = 500.0;
    }
    w.until("all run", |w| running(w) == 20);
    let (m, began) = (0, w.now);
    let lost: Vec<String> = w.jobs.keys().cloned().collect();
    let lost: Vec<String> = lost
        .into_iter()
        .filter(|j| w.place(j) == Some("north"))
        .collect();
    assert!(!lost.is_empty());
    w.markets[m].down = true;
    let home = |w: &World| lost.iter().all(|j| !w.broker().lent().any(|(l, _)| l == j));
    w.until("they came home or went elsewhere", move |w| {
        home(w) || w.now > began + 120_000
    });
    let took: Millis = w.now - began;
    assert!((20_000..60_000).contains(&took), "{took} ms");
    w.settle();
    assert_eq!(w.check(), NONE);
}

/// A clock a tenth too slow would let jobs run on after the home has given
/// them up.
#[test]
fn a_market_whose_clock_crawls_is_given_nothing() {
    let mut w = calm(40);
    w.markets[0].rate = 0.9;
    w.run(120_000);
    w.settle();
    assert_eq!(w.markets[0].accepted, 0);
    assert!(w.markets[1].accepted > 0);
    assert_eq!(w.check(), NONE);
}

#[test]
fn a_liar_is_paid_no_more_than_awarded_and_soon_left_alone() {
    let mut w = calm(60);
    w.markets[0].lies = true;
    w.settle();
    assert_eq!(w.check(), NONE);
    let north = w.broker().markets.iter().find(|m| m.name == "north");
    assert!(north.is_some_and(|m| !m.reputation.trusted()));
    // The next broker need not find that out again.
    w.run(1_000);
    w.end_broker();
    w.take_over();
    let north = w.broker().markets.iter().find(|m| m.name == "north");
    assert!(north.is_some_and(|m| !m.reputation.trusted()));
    let caps = 60 * 10_000_000;
    assert!(w.spent() < caps, "{}", w.spent());
}

#[test]
fn a_user_cancels_while_the_award_is_on_its_way() {
    // At each moment of the first seconds of a job's way out.
    for step in 0..60 {
        let mut w = calm(1);
        w.run(step * 100);
        w.cancel("j-000000");
        w.settle();
        assert_eq!(w.check(), NONE, "after {step} steps");
        assert_eq!(w.jobs["j-000000"].answer, Some("withdrawn"));
    }
}

#[test]
fn while_the_state_service_is_out_nothing_new_goes_out_and_nothing_is_lost() {
    let mut w = calm(40);
    w.until("some run", |w| running(w) > 5);
    w.store_down = true;
    // What was recorded before may still start.
    w.run(12_000);
    let accepted: u64 = w.markets.iter().map(|m| m.accepted).sum();
    w.run(48_000);
    assert_eq!(accepted, w.markets.iter().map(|m| m.accepted).sum::<u64>());
    w.store_down = false;
    w.settle();
    assert_eq!(w.check(), NONE);
}

/// The earlier broker stood still and goes on as if nothing had happened.
#[test]
fn a_broker_that_was_replaced_is_fenced_by_markets_and_records() {
    let mut w = calm(60);
    w.until("some run", |w| running(w) > 5);
    w.take_over();
    w.run(10_000);
    assert!(w.brokers[0].is_none(), "the first one has noticed");
    w.settle();
    assert_eq!(w.check(), NONE);
}

#[test]
fn a_market_that_forgets_is_not_believed_until_all_from_before_has_ended() {
    let mut w = calm(20);
    for j in w.jobs.values_mut() {
        j.w.estimate_s = 500.0;
    }
    w.until("all run", |w| running(w) == 20);
    let now = w.now;
    for m in &mut w.markets {
        m.restart(false, now);
    }
    w.run(10_000);
    let away = w.broker().lent().count();
    assert_eq!(away, 20, "they may still be running");
    w.settle();
    assert_eq!(w.check(), NONE);
}

#[test]
fn a_team_spends_no_more_than_its_budget_with_what_is_set_aside() {
    let mut w = calm(100);
    w.options.budgets.insert("graphics".into(), 20_000);
    w.end_broker();
    w.run(60_000);
    for (_, lent) in w.broker().lent() {
        assert!(!matches!(lent.phase, Phase::Awarded { .. }) || lent.cap <= 20_000);
    }
    let accepted: u64 = w.markets.iter().map(|m| m.accepted).sum();
    assert!((1..100).contains(&accepted), "{accepted}");
    assert!(w.spent() <= 20_000, "{}", w.spent());
    for j in w.jobs.values_mut() {
        j.local_at = 0;
    }
    w.settle();
    assert_eq!(w.check(), NONE);
}
