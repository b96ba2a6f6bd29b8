//! Tests of receiving a replica.

use super::*;
use crate::protocol::peers::{MachineTasks, ReplicatedPhase};

fn part(stream: u64, part: u64, whole: bool, machine: &str, task: u32) -> ReplicationPart {
    ReplicationPart {
        term: 5,
        stream,
        part,
        complete: whole,
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

/// Guards against a copy with a gap, and one that is not whole, taking
/// the place of one that is.
#[test]
fn replica_is_kept_until_new_stream_is_complete() {
    let mut f = ReplicaReceiver::default();
    assert!(!f.apply_part(part(1, 1, true, "a", 0), 0), "no beginning");
    assert!(f.apply_part(part(1, 0, false, "a", 0), 0));
    assert!(f.replica().is_none());
    assert!(f.apply_part(part(1, 1, true, "b", 1), 0));
    assert!(f.replica().unwrap().holds("a", "j", 0, 1));
    assert!(!f.apply_part(part(1, 1, true, "b", 2), 0), "twice");
    assert!(!f.apply_part(part(1, 3, true, "b", 2), 0), "a gap");
    assert!(f.apply_part(part(1, 2, true, "c", 2), 0));
    assert!(f.replica().unwrap().holds("c", "j", 2, 1));
    assert!(f.apply_part(part(2, 0, false, "a", 9), 0));
    assert!(f.replica().unwrap().holds("c", "j", 2, 1));
    assert!(!f.apply_part(part(1, 3, true, "d", 2), 0), "an old stream");
    assert!(f.apply_part(part(2, 1, true, "e", 7), 0));
    let replica = f.replica().unwrap();
    assert!(!replica.holds("c", "j", 2, 1) && replica.holds("a", "j", 9, 1));
    // Once it leads, the one before has no say.
    assert!(f.take_replica(8).is_some());
    assert!(!f.apply_part(part(3, 0, true, "a", 0), 0));
    assert!(f.replica().is_none());
}
