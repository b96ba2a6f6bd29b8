//! Unit tests of the parent module.

use super::*;

#[test]
fn a_cheap_market_that_withdraws_becomes_dearer_than_an_honest_one() {
    let (mut honest, mut cheap) = (Reputation::default(), Reputation::default());
    assert_eq!(honest.effective(100.0), cheap.effective(100.0));
    for n in 0..20 {
        honest.note(Outcome::Kept);
        cheap.note(if n % 2 == 0 {
            Outcome::Kept
        } else {
            Outcome::Withdrawn
        });
    }
    assert!(honest.effective(100.0) < cheap.effective(70.0));
    for _ in 0..200 {
        cheap.note(Outcome::Kept);
    }
    assert!(cheap.effective(70.0) < 74.0, "it can win its name back");
}

#[test]
fn a_liar_is_left_alone() {
    let mut r = Reputation::default();
    r.note(Outcome::Lied);
    r.note(Outcome::Kept);
    assert!(r.trusted());
    r.note(Outcome::Lied);
    r.note(Outcome::Lied);
    assert!(!r.trusted());
}
