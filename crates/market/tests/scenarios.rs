//! The broker's behaviour under one fault at a time, in the simulated world.

mod simulation;

use pathwinch_market::broker::Phase;
use simulation::{Millis, World};

/// Returns a world without faults in which the home cluster starts no job itself.
fn fault_free_world(jobs: u32) -> World {
    let mut world = World::new(7, jobs);
    for j in world.jobs.values_mut() {
        j.local_start_ms = 10_000_000;
    }
    world.take_over();
    world
}

fn running(world: &World) -> usize {
    world
        .jobs
        .keys()
        .filter(|j| world.location(j).is_some())
        .count()
}

const NO_VIOLATIONS: Vec<String> = Vec::new();

#[test]
fn job_accepted_by_two_markets_is_awarded_to_one() {
    let mut world = fault_free_world(1);
    world.run_until("the job runs", |w| running(w) == 1);
    let accepted_bids: Vec<u64> = world.markets.iter().map(|m| m.accepted_bids).collect();
    assert_eq!(
        accepted_bids,
        [1, 1, 0],
        "bids at the best and the second-best offer"
    );
    world.run_until_settled();
    let accepted: u64 = world.markets.iter().map(|m| m.awards_accepted).sum();
    assert_eq!((accepted, world.markets[1].bids_released), (1, 1));
    assert_eq!(world.check(), NO_VIOLATIONS);
}

/// Guards against state that only a broker's memory holds: its process ends
/// right before or right after each effect, in one run per effect and moment.
#[test]
fn successor_settles_every_job_when_the_broker_ends_at_any_step() {
    let mut reference = fault_free_world(3);
    reference.run_until_settled();
    assert!(
        reference.effects_executed > 30,
        "{}",
        reference.effects_executed
    );
    for effect_number in 0..reference.effects_executed {
        for after_effect in [false, true] {
            let mut world = fault_free_world(3);
            world.crash_at = Some((effect_number, after_effect));
            world.run_until_settled();
            assert_eq!(
                world.check(),
                NO_VIOLATIONS,
                "broker ended at effect {effect_number}, after it: {after_effect}"
            );
            assert_eq!(
                world.brokers.len(),
                2,
                "effect {effect_number}: exactly one successor took over"
            );
        }
    }
}

#[test]
fn finished_tasks_are_kept_when_a_market_withdraws_a_job() {
    let mut world = fault_free_world(30);
    for market in &mut world.markets {
        market.withdrawal_probability_per_s = 0.1;
    }
    let partly_done = |w: &World| {
        w.jobs
            .values()
            .any(|j| j.answer.is_none() && !j.waiting.done.is_empty())
    };
    world.run_until("some job is partly done", partly_done);
    world.run_until_settled();
    assert_eq!(world.check(), NO_VIOLATIONS);
}

/// Guards against running a job twice: when a market stops answering, its jobs
/// return home, but only after the market must have ended them by its own clock.
#[test]
fn jobs_return_home_from_an_unresponsive_market_after_its_tenancy_has_ended() {
    let mut world = fault_free_world(20);
    for j in world.jobs.values_mut() {
        j.waiting.estimate_s = 500.0;
    }
    world.run_until("all jobs run", |w| running(w) == 20);
    let (market_index, outage_start) = (0, world.now);
    let lost: Vec<String> = world.jobs.keys().cloned().collect();
    let lost: Vec<String> = lost
        .into_iter()
        .filter(|j| world.location(j) == Some("north"))
        .collect();
    assert!(!lost.is_empty());
    world.markets[market_index].is_unreachable = true;
    let returned = |w: &World| lost.iter().all(|j| !w.broker().jobs().any(|(l, _)| l == j));
    world.run_until("all lost jobs returned home", move |world| {
        returned(world) || world.now > outage_start + 120_000
    });
    let return_time_ms: Millis = world.now - outage_start;
    assert!(
        (20_000..60_000).contains(&return_time_ms),
        "{return_time_ms} ms"
    );
    world.run_until_settled();
    assert_eq!(world.check(), NO_VIOLATIONS);
}

/// Guards against jobs that run on after the home has reclaimed them, which a
/// market clock that is 10 % slow would allow.
#[test]
fn market_gets_no_award_when_its_clock_is_slow() {
    let mut world = fault_free_world(40);
    world.markets[0].clock_rate = 0.9;
    world.run(120_000);
    world.run_until_settled();
    assert_eq!(world.markets[0].awards_accepted, 0);
    assert!(world.markets[1].awards_accepted > 0);
    assert_eq!(world.check(), NO_VIOLATIONS);
}

#[test]
fn market_with_false_statements_is_paid_at_most_the_cap_and_then_excluded() {
    let mut world = fault_free_world(60);
    world.markets[0].sends_false_answers = true;
    world.run_until_settled();
    assert_eq!(world.check(), NO_VIOLATIONS);
    let north = world.broker().markets.iter().find(|m| m.name == "north");
    assert!(north.is_some_and(|m| !m.reputation.trusted()));
    // The successor reads the reputation from the records.
    world.run(1_000);
    world.crash_broker();
    world.take_over();
    let north = world.broker().markets.iter().find(|m| m.name == "north");
    assert!(north.is_some_and(|m| !m.reputation.trusted()));
    let caps = 60 * 10_000_000;
    assert!(world.total_spent() < caps, "{}", world.total_spent());
}

#[test]
fn job_is_withdrawn_when_cancelled_during_the_award() {
    // Cancels at each 100 ms step of the first six seconds of an offload.
    for step in 0..60 {
        let mut world = fault_free_world(1);
        world.run(step * 100);
        world.cancel("j-000000");
        world.run_until_settled();
        assert_eq!(world.check(), NO_VIOLATIONS, "after {step} steps");
        assert_eq!(world.jobs["j-000000"].answer, Some("withdrawn"));
    }
}

#[test]
fn broker_awards_nothing_new_and_loses_nothing_while_the_state_service_is_down() {
    let mut world = fault_free_world(40);
    world.run_until("some jobs run", |world| running(world) > 5);
    world.store_down = true;
    // Awards that were recorded before the outage may still start.
    world.run(12_000);
    let accepted: u64 = world.markets.iter().map(|m| m.awards_accepted).sum();
    world.run(48_000);
    assert_eq!(
        accepted,
        world.markets.iter().map(|m| m.awards_accepted).sum::<u64>()
    );
    world.store_down = false;
    world.run_until_settled();
    assert_eq!(world.check(), NO_VIOLATIONS);
}

/// Guards against a broker that was paused, missed its replacement and
/// continues to act.
#[test]
fn replaced_broker_is_fenced_by_markets_and_records() {
    let mut world = fault_free_world(60);
    world.run_until("some jobs run", |world| running(world) > 5);
    world.take_over();
    world.run(10_000);
    assert!(
        world.brokers[0].is_none(),
        "the replaced broker has resigned"
    );
    world.run_until_settled();
    assert_eq!(world.check(), NO_VIOLATIONS);
}

#[test]
fn jobs_stay_offloaded_when_a_market_loses_its_state_until_its_tenancy_has_ended() {
    let mut world = fault_free_world(20);
    for j in world.jobs.values_mut() {
        j.waiting.estimate_s = 500.0;
    }
    world.run_until("all jobs run", |w| running(w) == 20);
    let now = world.now;
    for market in &mut world.markets {
        market.restart(false, now);
    }
    world.run(10_000);
    let offloaded = world.broker().jobs().count();
    assert_eq!(
        offloaded, 20,
        "all jobs stay offloaded: they may still be running"
    );
    world.run_until_settled();
    assert_eq!(world.check(), NO_VIOLATIONS);
}

#[test]
fn team_spends_at_most_its_budget_including_reserved_caps() {
    let mut world = fault_free_world(100);
    world.options.budgets.insert("graphics".into(), 20_000);
    world.crash_broker();
    world.run(60_000);
    for (_, offload) in world.broker().jobs() {
        assert!(!matches!(offload.phase, Phase::Awarded { .. }) || offload.cap <= 20_000);
    }
    let accepted: u64 = world.markets.iter().map(|m| m.awards_accepted).sum();
    assert!((1..100).contains(&accepted), "{accepted}");
    assert!(world.total_spent() <= 20_000, "{}", world.total_spent());
    for j in world.jobs.values_mut() {
        j.local_start_ms = 0;
    }
    world.run_until_settled();
    assert_eq!(world.check(), NO_VIOLATIONS);
}
