use super::{SafetyBounds, Workers, max_local_duration, min_local_duration};

fn bounds(lease_s: f64, cancel_s: f64) -> SafetyBounds {
    SafetyBounds::from_worker_settings(&Workers {
        report_s: 1.0,
        lease_s,
        gang_wait_s: 1.0,
        gang_peer_s: 1.0,
        cancel_s,
    })
}

/// Guards against a bound that omits one of its parts: the machine's clock runs slow,
/// the controller's clock runs fast, and the last response is accepted as late as
/// possible.
#[test]
fn tasks_end_before_the_cancellation_deadline_when_the_leader_is_stale() {
    for (lease, cancel) in [(10.0, 35.0), (10.0, 40.0), (15.25, 40.25), (26.5, 56.5)] {
        let bounds = bounds(lease, cancel);
        let staleness = bounds.max_staleness() as f64;
        assert!(staleness > 0.0);
        let tasks_ended = staleness + 4_000.0 + 1_000.0 * lease * 1.0005;
        let deadline = 1_000.0 * cancel * 0.9995;
        assert!(
            tasks_ended + 100.0 < deadline,
            "{lease} {cancel}: {tasks_ended}"
        );
        // The bound is not much shorter than necessary.
        assert!(
            tasks_ended + 700.0 > deadline,
            "{lease} {cancel}: {tasks_ended}"
        );
    }
    assert_eq!(
        bounds(10.0, 14.0).max_staleness(),
        0,
        "the settings leave no time"
    );
    assert_eq!(bounds(26.5, 56.5).max_unloaded_response_time(), 0);
    assert!(bounds(10.0, 35.0).max_unloaded_response_time() > 10_000);
}

#[test]
fn duration_margins_exceed_clock_drift_on_either_side() {
    for duration in [1_300, 4_000, 26_500, 120_000] {
        let drift = duration as f64 * 0.0005;
        assert!(max_local_duration(duration) as f64 > duration as f64 + drift);
        assert!((min_local_duration(duration) as f64) < duration as f64 - drift);
    }
    assert_eq!(min_local_duration(100), 0);
}
