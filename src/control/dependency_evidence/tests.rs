//! Tests of what a node may report, based on what it has read of dependencies.

use super::{DependencyEvidence, DependencyVerdict, JobState, Millis, SafetyBounds};
use crate::protocol::settings::Workers;

/// Maximum age of a read with a `cancel_s` of 35 s, of which 5 s are reserved for an
/// answer in transit.
const MAX_AGE_MS: Millis = 29_780;

fn evidence() -> DependencyEvidence {
    let workers: Workers = serde_json::from_value(serde_json::json!({
        "report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0,
        "gang_peer_s": 5.0, "cancel_s": 35.0
    }))
    .unwrap();
    DependencyEvidence::new(&SafetyBounds::from_worker_settings(&workers))
}

/// Returns the evidence of a dependency chain: job 3 depends on job 2, which depends on
/// job 1.
fn chain(read_at: Millis) -> DependencyEvidence {
    let mut evidence = evidence();
    evidence.read_unfinished("3", vec!["2".into()], read_at);
    evidence.read_unfinished("2", vec!["1".into()], read_at);
    evidence
}

fn no_final_state(_: &str) -> Option<JobState> {
    None
}

fn unread(ids: &[&str]) -> DependencyVerdict {
    DependencyVerdict::Unread(ids.iter().map(|id| id.to_string()).collect())
}

/// Guards against reporting a job as queued after a transitive dependency, two steps
/// away, was cancelled.
#[test]
fn transitive_dependency_blocks_unfinished_status_when_cancelled() {
    let evidence = chain(0);
    for (state, verdict) in [
        (None, unread(&["1"])),
        (
            Some(JobState::Cancelled),
            DependencyVerdict::Cancelled("1".into()),
        ),
        (Some(JobState::Done), DependencyVerdict::NotCancelled),
    ] {
        let final_state = |id: &str| state.filter(|_| id == "1");
        assert_eq!(evidence.verdict("3", final_state, 0), verdict);
    }
}

/// Guards against relying on a read that is older than the time that a cancellation may
/// take.
#[test]
fn dependency_is_unread_when_its_latest_read_is_too_old() {
    let mut evidence = chain(1_000);
    evidence.read_unfinished("1", Vec::new(), 1_000);
    let at = 1_000 + MAX_AGE_MS;
    let verdict = evidence.verdict("3", no_final_state, at);
    assert_eq!(verdict, DependencyVerdict::NotCancelled);
    assert_eq!(
        evidence.verdict("3", no_final_state, at + 1),
        unread(&["3"])
    );
    // The oldest read among the dependencies decides.
    evidence.read_unfinished("3", vec!["2".into()], at);
    evidence.read_unfinished("2", vec!["1".into()], at);
    assert_eq!(
        evidence.verdict("3", no_final_state, at + 1),
        unread(&["1"])
    );
}

/// Guards against a traversal of the dependency graph that does not end where jobs
/// share dependencies.
#[test]
fn shared_dependencies_are_visited_once() {
    let mut evidence = evidence();
    let id = |n: usize| n.to_string();
    for n in 2..2_000 {
        evidence.read_unfinished(&id(n), vec![id(n - 1), id(n - 2)], 0);
    }
    assert_eq!(
        evidence.verdict(&id(1_999), no_final_state, 0),
        unread(&["0", "1"])
    );
}
