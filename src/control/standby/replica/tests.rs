//! Tests of receiving a replica.

use super::{ReplicaReceiver, ReplicatedTask, ReplicationPart};
use crate::protocol::peers::{MachineTasks, ReplicatedPhase};

fn part(stream: u64, part: u64, is_last: bool, machine: &str, task: u32) -> ReplicationPart {
    ReplicationPart {
        term: 5,
        stream,
        part,
        complete: is_last,
        counted: true,
        machines: vec![MachineTasks {
            machine: machine.into(),
            jobs: vec![(
                "j".into(),
                vec![ReplicatedTask(task, 1, 1, ReplicatedPhase::Running)],
            )],
        }],
    }
}

/// Guards against a replica with a gap, or an incomplete one, that replaces a complete
/// replica.
#[test]
fn replica_is_kept_until_new_stream_is_complete() {
    let mut receiver = ReplicaReceiver::default();
    assert!(
        !receiver.apply_part(part(1, 1, true, "a", 0), 0),
        "the first part is missing"
    );
    assert!(receiver.apply_part(part(1, 0, false, "a", 0), 0));
    assert!(receiver.replica().is_none());
    assert!(receiver.apply_part(part(1, 1, true, "b", 1), 0));
    assert!(receiver.replica().unwrap().holds("a", "j", 0, 1));
    assert!(
        !receiver.apply_part(part(1, 1, true, "b", 2), 0),
        "the part was already applied"
    );
    assert!(
        !receiver.apply_part(part(1, 3, true, "b", 2), 0),
        "a part in between is missing"
    );
    assert!(receiver.apply_part(part(1, 2, true, "c", 2), 0));
    assert!(receiver.replica().unwrap().holds("c", "j", 2, 1));
    assert!(receiver.apply_part(part(2, 0, false, "a", 9), 0));
    assert!(receiver.replica().unwrap().holds("c", "j", 2, 1));
    assert!(
        !receiver.apply_part(part(1, 3, true, "d", 2), 0),
        "the part belongs to an old stream"
    );
    assert!(receiver.apply_part(part(2, 1, true, "e", 7), 0));
    let replica = receiver.replica().unwrap();
    assert!(!replica.holds("c", "j", 2, 1) && replica.holds("a", "j", 9, 1));
    // Once this node leads, no part of an earlier leader is applied.
    assert!(receiver.take_replica(8).is_some());
    assert!(!receiver.apply_part(part(3, 0, true, "a", 0), 0));
    assert!(receiver.replica().is_none());
}
