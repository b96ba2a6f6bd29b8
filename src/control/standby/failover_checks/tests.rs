//! Tests of the failover checks.

use super::{ColdReason, FailoverClaim, Replica, StandbyRecord, check_failover};

#[test]
fn failover_is_cold_when_any_check_fails() {
    let record = |term, name: &str, i| StandbyRecord {
        term,
        standbys: vec![(name.into(), i)],
        known_to_all: true,
    };
    let replica = |term| Replica {
        term,
        ..Replica::default()
    };
    let check_failover = |record: Option<StandbyRecord>, replica: Option<Replica>| {
        check_failover(&FailoverClaim {
            node_name: "n1",
            incarnation: 7,
            record: record.as_ref(),
            replica: replica.as_ref(),
        })
    };
    assert_eq!(
        check_failover(None, Some(replica(5))),
        Err(ColdReason::NoStandbyNamed)
    );
    let no_standby = StandbyRecord::default();
    assert_eq!(
        check_failover(Some(no_standby), Some(replica(5))),
        Err(ColdReason::NoStandbyNamed)
    );
    let named = record(5, "n1", 7);
    let other_node = record(5, "n2", 7);
    assert_eq!(
        check_failover(Some(other_node), Some(replica(5))),
        Err(ColdReason::OtherNodesNamed)
    );
    let earlier_incarnation = record(5, "n1", 6);
    assert_eq!(
        check_failover(Some(earlier_incarnation), Some(replica(5))),
        Err(ColdReason::Restarted)
    );
    assert_eq!(
        check_failover(Some(named.clone()), None),
        Err(ColdReason::NoCompleteReplica)
    );
    // A leader in between has written a record and started tasks.
    assert_eq!(
        check_failover(Some(named.clone()), Some(replica(4))),
        Err(ColdReason::OutdatedReplica)
    );
    assert_eq!(
        check_failover(Some(named.clone()), Some(replica(5))),
        Ok(())
    );
    assert_eq!(check_failover(Some(named), Some(replica(6))), Ok(()));
}
