use super::*;

fn answered(status: u16, retry_after_s: Option<u32>) -> Attempt {
    Attempt::Answered {
        status,
        retry_after_s,
    }
}

#[test]
fn retry_schedule_honours_retry_after_and_gives_up_at_total_timeout() {
    let mut schedule = RetrySchedule::new(RetryPolicy::default(), 1000);
    assert_eq!(
        schedule.decide(&answered(503, None), 1000, 0.0),
        Decision::Retry { at: 2000 }
    );
    assert_eq!(
        schedule.decide(&answered(503, Some(7)), 2000, 1.0),
        Decision::Retry { at: 10_750 }
    );
    // A long Retry-After is capped at 30 s.
    assert_eq!(
        schedule.decide(&answered(429, Some(9999)), 10_750, 0.0),
        Decision::Retry { at: 40_750 }
    );
    assert_eq!(schedule.timeout(40_750), 5000);
    assert_eq!(
        schedule.timeout(60_000),
        1000,
        "the remaining total time is the shorter limit"
    );
    assert_eq!(
        schedule.decide(&answered(503, Some(30)), 40_750, 0.0),
        Decision::GiveUp {
            outcome_unknown: false
        },
        "the next attempt would start after the total timeout of 60 s"
    );
}

#[test]
fn retry_schedule_keeps_outcome_unknown_after_no_answer_and_stops_when_refused() {
    let mut schedule = RetrySchedule::new(RetryPolicy::default(), 0);
    assert!(matches!(
        schedule.decide(&Attempt::NoAnswer, 5000, 0.5),
        Decision::Retry { .. }
    ));
    // After the 503 the outcome stays unknown: the first attempt may still have
    // taken effect.
    assert_eq!(
        schedule.decide(&answered(503, Some(30)), 59_000, 0.0),
        Decision::GiveUp {
            outcome_unknown: true
        }
    );
    for status in [400, 404, 422] {
        let mut schedule = RetrySchedule::new(RetryPolicy::default(), 0);
        assert_eq!(
            schedule.decide(&answered(status, None), 1, 0.0),
            Decision::Refused
        );
    }
    let mut schedule = RetrySchedule::new(RetryPolicy::default(), 0);
    assert_eq!(
        schedule.decide(&answered(201, None), 1, 0.0),
        Decision::Done
    );
}
