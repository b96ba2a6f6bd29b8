//! Unit tests of the parent module.

use super::*;

fn reading(epoch: u64, clock_ms: u64, sent_at: Millis) -> Reading {
    Reading {
        epoch,
        clock_ms,
        sent: sent_at,
        received: sent_at + 100,
    }
}

#[test]
fn clock_is_unreliable_when_it_goes_back_or_runs_slow() {
    let mut clock = Clock::default();
    assert_eq!(clock.read(reading(1, 5_000, 0)), ReadingStatus::Consistent);
    assert_eq!(
        clock.read(reading(1, 15_000, 10_000)),
        ReadingStatus::Consistent
    );
    assert_eq!(
        clock.time_after(12_100, 1_000).map(|u| u.clock_ms),
        Some(17_999)
    );
    // The clock is 10 % slow: a tenancy there would end later than the home expects.
    assert_eq!(
        clock.read(reading(1, 24_000, 20_000)),
        ReadingStatus::Inconsistent
    );
    assert_eq!(clock.time_after(21_000, 1_000), None);
    assert_eq!(clock.read(reading(2, 0, 30_000)), ReadingStatus::NewEpoch);
    assert!(clock.is_reliable());
}

/// Guards against a clock whose slowness is hidden by the answer time between
/// two successive readings, but shows over ten seconds.
#[test]
fn slightly_slow_clock_is_detected_before_it_is_relied_on() {
    let mut clock = Clock::default();
    for n in 0..10 {
        assert_eq!(
            clock.read(reading(1, n * 989, n * 1000)),
            ReadingStatus::Consistent
        );
        assert!(!clock.observed_long_enough());
    }
    assert_eq!(
        clock.read(reading(1, 10 * 989, 10_000)),
        ReadingStatus::Inconsistent
    );
    assert!(!clock.observed_long_enough());
}

#[test]
fn reading_older_than_the_last_one_is_ignored() {
    let mut clock = Clock::default();
    clock.read(reading(2, 50_000, 50_000));
    assert_eq!(
        clock.read(reading(1, 9_000, 10_000)),
        ReadingStatus::Consistent
    );
    assert_eq!(clock.reading().map(|r| r.epoch), Some(2));
}

/// Guards against a renewal beyond the durable horizon: a successor, which reads
/// only the durable one, would treat a job as lost that still runs.
#[test]
fn renewals_end_before_the_durable_horizon() {
    let mut clock = Clock::default();
    clock.read(reading(1, 0, 0));
    let mut tenancy = Tenancy::new(20_000, 500, 0);
    assert_eq!(
        tenancy.renewal(&clock, 1_000),
        None,
        "nothing is durable yet"
    );
    let horizon = tenancy.horizon_to_write(1_000).unwrap();
    assert_eq!(tenancy.horizon_to_write(1_000), None, "one write at a time");
    assert_eq!(tenancy.renewal(&clock, 1_000), None);
    tenancy.horizon_written(horizon);
    let until = tenancy.renewal(&clock, 1_000).unwrap();
    // Even if the market's clock is as slow as can go undetected, its tenancy
    // of 20 s ends before the horizon.
    let ends = 100.0 + until.clock_ms as f64 / (1.0 - UNDETECTED_SLOWNESS);
    assert!(ends <= horizon as f64, "{ends} {horizon}");
    assert!(!tenancy.has_ended(horizon + 500));
    assert!(tenancy.has_ended(horizon + 501));
}
