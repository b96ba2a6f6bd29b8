//! Unit tests of the parent module.

use super::*;

#[test]
fn a_silent_market_is_left_alone_ever_longer_and_tried_with_one_call() {
    let mut g = CircuitBreaker::new(Limits::default());
    let mut now = 0;
    for _ in 0..5 {
        assert!(g.enter(now, false));
        g.leave(CallOutcome::NoAnswer, now, 1.0);
    }
    assert_eq!(g.state(), State::Open { until: 2_000 });
    assert!(!g.enter(1_999, false));
    for wait in [4_000, 8_000, 16_000, 32_000, 60_000, 60_000] {
        let State::Open { until } = g.state() else {
            panic!("not open")
        };
        now = until;
        assert!(g.enter(now, false));
        assert!(!g.enter(now, false), "one call decides");
        g.leave(CallOutcome::NoAnswer, now, 1.0);
        assert_eq!(g.state(), State::Open { until: now + wait });
    }
    now += 60_000;
    assert!(g.enter(now, false));
    g.leave(CallOutcome::Success, now, 0.0);
    assert!(g.usable());
}

#[test]
fn calls_under_way_are_few_at_a_slow_market_and_many_at_a_good_one() {
    let mut g = CircuitBreaker::new(Limits::default());
    let take = |g: &mut CircuitBreaker| (0..100).filter(|_| g.enter(0, false)).count() as u32;
    assert_eq!(take(&mut g), 4);
    for _ in 0..4 {
        g.leave(CallOutcome::Success, 0, 0.0);
    }
    for _ in 0..200 {
        if g.enter(0, false) {
            g.leave(CallOutcome::Success, 0, 0.0);
        }
    }
    assert_eq!(take(&mut g), 16);
    g.leave(CallOutcome::NoAnswer, 0, 0.0);
    assert_eq!(g.under_way(), 15);
    assert!(!g.enter(0, false), "halved: 8");
}

#[test]
fn retries_are_a_share_of_calls() {
    let mut g = CircuitBreaker::new(Limits::default());
    let mut retry = |n: u32| {
        let mut taken = 0;
        for _ in 0..n {
            if g.enter(0, true) {
                taken += 1;
                g.leave(CallOutcome::Invalid, 0, 0.0);
                g.enter(0, false);
                g.leave(CallOutcome::Success, 0, 0.0);
            }
        }
        taken
    };
    // Ten saved up, then one for each ten calls.
    assert_eq!(retry(100), 11);
}
