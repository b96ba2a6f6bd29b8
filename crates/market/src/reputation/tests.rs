//! Unit tests of the parent module.

use super::*;

#[test]
fn market_that_withdraws_awards_gets_a_higher_effective_price() {
    let (mut reliable, mut unreliable) = (Reputation::default(), Reputation::default());
    assert_eq!(
        reliable.effective_price(100.0),
        unreliable.effective_price(100.0)
    );
    for n in 0..20 {
        reliable.record(Outcome::Kept);
        unreliable.record(if n % 2 == 0 {
            Outcome::Kept
        } else {
            Outcome::Withdrawn
        });
    }
    assert!(reliable.effective_price(100.0) < unreliable.effective_price(70.0));
    for _ in 0..200 {
        unreliable.record(Outcome::Kept);
    }
    assert!(
        unreliable.effective_price(70.0) < 74.0,
        "the reputation recovers with kept awards"
    );
}

#[test]
fn market_is_not_trusted_after_three_violations() {
    let mut reputation = Reputation::default();
    reputation.record(Outcome::Violation);
    reputation.record(Outcome::Kept);
    assert!(reputation.trusted());
    reputation.record(Outcome::Violation);
    reputation.record(Outcome::Violation);
    assert!(!reputation.trusted());
}
