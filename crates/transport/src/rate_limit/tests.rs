use super::*;

#[test]
fn token_bucket_limits_bursts_and_returns_delay_when_level_is_negative() {
    let mut bucket = TokenBucket::new(10.0, 1.0);
    assert!(bucket.take(0, 10.0, 0.0) && !bucket.take(0, 1.0, 0.0));
    assert!(bucket.take(100, 1.0, 0.0) && !bucket.take(100, 1.0, 0.0));
    assert!(bucket.take(60_000, 10.0, 0.0) && !bucket.take(60_000, 1.0, 0.0));
    assert_eq!(bucket.take_with_delay(60_000, 5.0), 500);
    assert_eq!(bucket.take_with_delay(60_500, 5.0), 500);
    // A rate below one per second still lets one request through.
    assert!(TokenBucket::new(0.1, 1.0).take(0, 1.0, 0.0));
}
