use super::{Exclusions, FailureDetector, LEASE_TTL_MS, Step};
use crate::control::failure_detector::PeerHealth;

fn make_unresponsive(failure_detector: &mut FailureDetector, peer: usize) {
    failure_detector.request_sent(peer, 0);
    failure_detector.request_ended(peer, PeerHealth::Unresponsive, 0);
}

#[test]
fn exclusion_counts_from_its_write_until_its_deletion_or_lease_end_begins() {
    let mut failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
    let mut exclusions = Exclusions::new(5, []);
    assert_eq!(exclusions.next_step(&failure_detector, 9000), None);
    make_unresponsive(&mut failure_detector, 1);
    assert_eq!(
        exclusions.next_step(&failure_detector, 500),
        None,
        "the peer may only be slow"
    );
    assert_eq!(
        exclusions.next_step(&failure_detector, 9000),
        Some(Step::RenewLease(None))
    );
    exclusions.lease_granted(7, 9000);
    let exclusion = Step::Exclude { peer: 1, lease: 7 };
    assert_eq!(
        exclusions.next_step(&failure_detector, 9100),
        Some(exclusion)
    );
    exclusions.begin_exclusion(1);
    assert!(
        !exclusions.is_excluded(1, 9200),
        "the write has not been answered yet"
    );
    exclusions.excluded(1, 40, false);
    assert!(exclusions.is_excluded(1, 9200) && !exclusions.is_excluded(0, 9200));
    assert_eq!(exclusions.next_step(&failure_detector, 9300), None);
    assert_eq!(
        exclusions.next_step(&failure_detector, 13_000),
        Some(Step::RenewLease(Some(7)))
    );
    assert!(!exclusions.is_excluded(1, 9000 + LEASE_TTL_MS));
    exclusions.lease_granted(7, 13_000);
    assert!(exclusions.is_excluded(1, 9000 + LEASE_TTL_MS));
    // The peer recovered: its exclusion stops counting before the key is deleted.
    failure_detector.request_sent(1, 14_000);
    failure_detector.request_ended(1, PeerHealth::Healthy, 14_000);
    let readmit = Step::Readmit {
        peer: 1,
        version: 40,
    };
    assert_eq!(
        exclusions.next_step(&failure_detector, 14_000),
        Some(readmit)
    );
    exclusions.begin_readmission(1);
    assert!(!exclusions.is_excluded(1, 14_001));
    assert_eq!(
        exclusions.next_step(&failure_detector, 14_001),
        Some(readmit)
    );
    exclusions.readmitted(1);
    assert_eq!(exclusions.next_step(&failure_detector, 14_002), None);
}

#[test]
fn exclusions_are_deleted_but_not_counted_when_an_earlier_term_wrote_them() {
    let failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
    let exclusions = Exclusions::new(5, [(0, 12)]);
    assert!(!exclusions.is_excluded(0, 1));
    let readmit = Step::Readmit {
        peer: 0,
        version: 12,
    };
    assert_eq!(exclusions.next_step(&failure_detector, 1), Some(readmit));
}

/// Guards against an exclusion whose write had an unknown outcome and is applied after
/// the exclusion was deleted, which would prevent the election of a healthy node.
#[test]
fn exclusion_lease_is_ended_when_a_write_is_indeterminate() {
    let mut failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
    let mut exclusions = Exclusions::new(5, []);
    make_unresponsive(&mut failure_detector, 1);
    exclusions.lease_granted(7, 9000);
    exclusions.begin_exclusion(1);
    // The exclusion is written again, this time with a known outcome.
    let repeated = exclusions.begin_exclusion(1);
    assert!(repeated);
    exclusions.excluded(1, 41, repeated);
    assert!(exclusions.is_excluded(1, 9500));
    failure_detector.request_sent(1, 10_000);
    failure_detector.request_ended(1, PeerHealth::Healthy, 10_000);
    assert_eq!(
        exclusions.next_step(&failure_detector, 10_000),
        Some(Step::EndLease(7))
    );
    exclusions.begin_lease_end();
    assert!(!exclusions.is_excluded(1, 10_000));
    exclusions.lease_lost();
    assert!(!matches!(
        exclusions.next_step(&failure_detector, 10_001),
        Some(Step::EndLease(_))
    ));
}

/// Guards against counting an exclusion under the lease of a later term although it
/// ends with the lease of the earlier term.
#[test]
fn exclusion_is_not_counted_when_its_answer_arrives_in_a_later_term() {
    let mut exclusions = Exclusions::new(5, []);
    exclusions.lease_granted(7, 9_000);
    let repeated = exclusions.begin_exclusion(1);
    // The same node leads again before the response arrives.
    let mut exclusions = Exclusions::new(9, []);
    exclusions.lease_granted(8, 20_000);
    if let Some(exclusions) = exclusions.of_term(5) {
        exclusions.excluded(1, 40, repeated);
    }
    assert!(!exclusions.is_excluded(1, 20_100));
    exclusions
        .of_term(9)
        .expect("the current term")
        .excluded(1, 41, false);
    assert!(exclusions.is_excluded(1, 20_100));
}

#[test]
fn no_peer_is_excluded_when_most_peers_are_unresponsive() {
    let mut failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
    make_unresponsive(&mut failure_detector, 0);
    make_unresponsive(&mut failure_detector, 1);
    assert_eq!(
        Exclusions::new(5, []).next_step(&failure_detector, 9000),
        None
    );
}
