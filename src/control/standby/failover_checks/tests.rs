//! Tests of the failover checks.

use super::*;

#[test]
fn failover_is_cold_when_any_check_fails() {
    let record = |term, name: &str, i| StandbyRecord {
        term,
        named: vec![(name.into(), i)],
        known_to_all: true,
    };
    let replica = |term| Replica {
        term,
        ..Replica::default()
    };
    let check_failover = |record: Option<StandbyRecord>, replica: Option<Replica>| {
        check_failover(&FailoverClaim {
            me: "n1",
            incarnation: 7,
            record: record.as_ref(),
            replica: replica.as_ref(),
        })
    };
    assert_eq!(
        check_failover(None, Some(replica(5))),
        Err(ColdReason::NobodyNamed)
    );
    let nobody = StandbyRecord::default();
    assert_eq!(
        check_failover(Some(nobody), Some(replica(5))),
        Err(ColdReason::NobodyNamed)
    );
    let named = record(5, "n1", 7);
    let other = record(5, "n2", 7);
    assert_eq!(
        check_failover(Some(other), Some(replica(5))),
        Err(ColdReason::NotNamed)
    );
    let before = record(5, "n1", 6);
    assert_eq!(
        check_failover(Some(before), Some(replica(5))),
        Err(ColdReason::BeganAnew)
    );
    assert_eq!(
        check_failover(Some(named.clone()), None),
        Err(ColdReason::NoCopy)
    );
    // A leader in between has started something and wrote a record.
    assert_eq!(
        check_failover(Some(named.clone()), Some(replica(4))),
        Err(ColdReason::OldCopy)
    );
    assert_eq!(
        check_failover(Some(named.clone()), Some(replica(5))),
        Ok(())
    );
    assert_eq!(check_failover(Some(named), Some(replica(6))), Ok(()));
}
