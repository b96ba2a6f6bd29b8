//! Unit tests of the parent module.

use super::*;

#[test]
fn breaker_opens_for_longer_each_time_and_probes_with_one_call() {
    let mut breaker = CircuitBreaker::new(Limits::default());
    let mut now = 0;
    for _ in 0..5 {
        assert!(breaker.admit(now, false));
        breaker.finish(CallOutcome::NoAnswer, now, 1.0);
    }
    assert_eq!(breaker.state(), State::Open { until: 2_000 });
    assert!(!breaker.admit(1_999, false));
    for wait in [4_000, 8_000, 16_000, 32_000, 60_000, 60_000] {
        let State::Open { until } = breaker.state() else {
            panic!("the breaker is not open")
        };
        now = until;
        assert!(breaker.admit(now, false));
        assert!(!breaker.admit(now, false), "only one probe call is allowed");
        breaker.finish(CallOutcome::NoAnswer, now, 1.0);
        assert_eq!(breaker.state(), State::Open { until: now + wait });
    }
    now += 60_000;
    assert!(breaker.admit(now, false));
    breaker.finish(CallOutcome::Success, now, 0.0);
    assert!(breaker.usable());
}

#[test]
fn call_window_grows_with_successes_and_halves_when_a_call_is_unanswered() {
    let mut breaker = CircuitBreaker::new(Limits::default());
    let take = |b: &mut CircuitBreaker| (0..100).filter(|_| b.admit(0, false)).count() as u32;
    assert_eq!(take(&mut breaker), 4);
    for _ in 0..4 {
        breaker.finish(CallOutcome::Success, 0, 0.0);
    }
    for _ in 0..200 {
        if breaker.admit(0, false) {
            breaker.finish(CallOutcome::Success, 0, 0.0);
        }
    }
    assert_eq!(take(&mut breaker), 16);
    breaker.finish(CallOutcome::NoAnswer, 0, 0.0);
    assert_eq!(breaker.calls_in_flight(), 15);
    assert!(!breaker.admit(0, false), "the window is halved to 8");
}

#[test]
fn retries_are_limited_to_a_share_of_first_calls() {
    let mut breaker = CircuitBreaker::new(Limits::default());
    let mut retry = |attempts: u32| {
        let mut started = 0;
        for _ in 0..attempts {
            if breaker.admit(0, true) {
                started += 1;
                breaker.finish(CallOutcome::Invalid, 0, 0.0);
                breaker.admit(0, false);
                breaker.finish(CallOutcome::Success, 0, 0.0);
            }
        }
        started
    };
    // Ten retries are saved up at the start; ten first calls earn one more.
    assert_eq!(retry(100), 11);
}
