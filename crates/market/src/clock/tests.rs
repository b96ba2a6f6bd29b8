//! Unit tests of the parent module.

use super::*;

fn reading(epoch: u64, clock_ms: u64, at: Millis) -> Reading {
    Reading {
        epoch,
        clock_ms,
        sent: at,
        received: at + 100,
    }
}

#[test]
fn a_clock_that_goes_back_or_crawls_is_not_relied_on() {
    let mut c = Clock::default();
    assert_eq!(c.read(reading(1, 5_000, 0)), ReadingStatus::Consistent);
    assert_eq!(
        c.read(reading(1, 15_000, 10_000)),
        ReadingStatus::Consistent
    );
    assert_eq!(c.ahead(12_100, 1_000).map(|u| u.clock_ms), Some(17_999));
    // A tenth too slow: leases there would end later than reckoned.
    assert_eq!(
        c.read(reading(1, 24_000, 20_000)),
        ReadingStatus::Inconsistent
    );
    assert_eq!(c.ahead(21_000, 1_000), None);
    assert_eq!(c.read(reading(2, 0, 30_000)), ReadingStatus::NewEpoch);
    assert!(c.sound());
}

/// Guards against a clock that is slow by less than an answer takes from
/// one reading to the next, but not over ten seconds.
#[test]
fn a_clock_that_is_a_little_slow_is_found_out_before_it_is_relied_on() {
    let mut c = Clock::default();
    for n in 0..10 {
        assert_eq!(
            c.read(reading(1, n * 989, n * 1000)),
            ReadingStatus::Consistent
        );
        assert!(!c.watched());
    }
    assert_eq!(
        c.read(reading(1, 10 * 989, 10_000)),
        ReadingStatus::Inconsistent
    );
    assert!(!c.watched());
}

#[test]
fn an_overtaken_answer_changes_nothing() {
    let mut c = Clock::default();
    c.read(reading(2, 50_000, 50_000));
    assert_eq!(c.read(reading(1, 9_000, 10_000)), ReadingStatus::Consistent);
    assert_eq!(c.reading().map(|r| r.epoch), Some(2));
}

/// Guards against a renewal that reaches beyond what a successor reads:
/// it would take a job as lost that still runs.
#[test]
fn no_renewal_goes_beyond_the_horizon_that_is_durable() {
    let mut c = Clock::default();
    c.read(reading(1, 0, 0));
    let mut t = Tenancy::new(20_000, 500, 0);
    assert_eq!(t.renewal(&c, 1_000), None, "nothing is durable yet");
    let horizon = t.to_write(1_000).unwrap();
    assert_eq!(t.to_write(1_000), None, "one write at a time");
    assert_eq!(t.renewal(&c, 1_000), None);
    t.written(horizon);
    let until = t.renewal(&c, 1_000).unwrap();
    // Were the market's clock as slow as can go unnoticed, its 20 s would
    // still end before the horizon.
    let ends = 100.0 + until.clock_ms as f64 / (1.0 - UNNOTICED);
    assert!(ends <= horizon as f64, "{ends} {horizon}");
    assert!(!t.over(horizon + 500));
    assert!(t.over(horizon + 501));
}
