use super::{Election, LEASE_TTL_MS, Millis, PromiseOutcome, PromiseResponse, SafetyBounds};

fn bounds(cancel_s: f64) -> SafetyBounds {
    SafetyBounds::from_worker_settings(&crate::protocol::settings::Workers {
        report_s: 1.0,
        lease_s: 10.0,
        gang_wait_s: 1.0,
        gang_peer_s: 1.0,
        cancel_s,
    })
}

fn new_election(node_name: &str) -> Election {
    Election::new(node_name, 1, bounds(35.0), 0)
}

const RUNNING_SINCE_START: PromiseResponse = PromiseResponse::Granted {
    started_by: Some(0),
};
const START_UNKNOWN: PromiseResponse = PromiseResponse::Granted { started_by: None };

/// Requests promises every 200 ms, starting at the last renewal, and returns when the
/// authority ends.
fn authority_end_with_promises(
    election: &mut Election,
    from: Millis,
    responses: impl Fn(Millis) -> [PromiseResponse; 2],
) -> Millis {
    let mut now = from;
    while now < from + 120_000 {
        if election.authority(now).is_none() {
            return now;
        }
        election.extend_by_promises(now, responses(now), now + 10);
        now += 200;
    }
    now
}

fn elected_leader(cancel_s: f64) -> Election {
    let mut election = Election::new("a", 1, bounds(cancel_s), 0);
    election.record_election(5, 1, 9_000);
    election.record_renewal(1, 10_000);
    election
}

/// Guards against a leader that continues to act although another leader, unknown to
/// the processes that promise, has acknowledged cancellations to users.
#[test]
fn promises_end_at_the_staleness_bound_when_a_peer_lacks_evidence() {
    let max_staleness = bounds(35.0).max_staleness();
    let until = |answer| {
        authority_end_with_promises(&mut elected_leader(35.0), 10_000, |_| {
            [RUNNING_SINCE_START, answer]
        })
    };
    assert!(until(RUNNING_SINCE_START) >= 130_000);
    for response in [
        START_UNKNOWN,
        // The peer's process started right after the last renewal.
        PromiseResponse::Granted {
            started_by: Some(10_000),
        },
        PromiseResponse::Excluded { until: Millis::MAX },
    ] {
        let end = until(response);
        assert!(
            (10_000 + max_staleness..10_200 + max_staleness).contains(&end),
            "{end}"
        );
    }
    // Evidence counts from the time of the request.
    let responses_until_50_s = |now| {
        [
            RUNNING_SINCE_START,
            if now < 50_000 {
                RUNNING_SINCE_START
            } else {
                START_UNKNOWN
            },
        ]
    };
    let end = authority_end_with_promises(&mut elected_leader(35.0), 10_000, responses_until_50_s);
    assert!(
        (49_000 + max_staleness..50_200 + max_staleness).contains(&end),
        "{end}"
    );
    // Settings that leave no time beyond the lease allow no extension by promises.
    let end = authority_end_with_promises(&mut elected_leader(14.0), 10_000, |_| {
        [RUNNING_SINCE_START, START_UNKNOWN]
    });
    assert!(end <= 10_000 + LEASE_TTL_MS, "{end}");
    let mut election = elected_leader(35.0);
    authority_end_with_promises(&mut election, 10_000, |_| {
        [RUNNING_SINCE_START, START_UNKNOWN]
    });
    assert_eq!(
        election.extend_by_promises(31_000, [RUNNING_SINCE_START, RUNNING_SINCE_START], 31_001),
        PromiseOutcome::CancellationsUnknown
    );
    assert_eq!(election.authority(31_001), None);
}

/// Guards against promises that restore the authority of a leader that was replaced.
#[test]
fn authority_that_has_ended_is_not_revived_by_promises() {
    let mut election = elected_leader(35.0);
    assert_eq!(
        election.extend_by_promises(
            13_000,
            [RUNNING_SINCE_START, PromiseResponse::Refused],
            13_010
        ),
        PromiseOutcome::NotExtended
    );
    assert_eq!(election.authority(13_900), None);
    assert_eq!(
        election.extend_by_promises(13_900, [RUNNING_SINCE_START, RUNNING_SINCE_START], 13_910),
        PromiseOutcome::NotExtended
    );
    assert_eq!(election.authority(13_920), None);
    // A renewal of the lease restores the authority.
    election.record_renewal(1, 14_000);
    assert_eq!(election.authority(14_001), Some(5));
    // A late response to a renewal of an earlier lease does not.
    let mut election = elected_leader(35.0);
    election.resign(5);
    election.record_election(9, 2, 12_000);
    election.record_renewal(1, 15_000);
    assert_eq!(election.authority(16_000), None);
}

/// Guards against counting a peer whose own store requests succeed as one that
/// promised.
#[test]
fn authority_is_not_extended_when_a_peer_reaches_the_store() {
    let mut election = elected_leader(35.0);
    let responses = [RUNNING_SINCE_START, PromiseResponse::StoreReachable];
    assert_eq!(
        election.extend_by_promises(13_500, responses, 13_510),
        PromiseOutcome::StoreReachableByPeer
    );
    // The renewal of that round may have been sent before the end of an outage.
    assert!(
        !election.store_fails_this_node_only(13_500) && election.store_fails_this_node_only(13_510)
    );
    let mut outage_over = elected_leader(35.0);
    outage_over.extend_by_promises(13_500, responses, 13_510);
    outage_over.record_renewal(1, 13_520);
    assert!(!outage_over.store_fails_this_node_only(13_600));
    assert_eq!(election.authority(13_900), None);
}

/// Guards against taking a process that restarted quickly for its predecessor.
#[test]
fn process_start_is_later_when_the_uptime_is_received_late() {
    let election = Election::new("b", 2, bounds(35.0), 60_000);
    assert_eq!(election.process_uptime(61_000), 1_000);
    let started_by = Election::process_started_by(1_000, 11_000);
    assert!((10_000..10_300).contains(&started_by), "{started_by}");
    assert!(Election::process_started_by(1_000, 13_000) > 12_000);
    assert_eq!(
        Election::process_started_by(99_000, 1_000),
        0,
        "it started before this process"
    );
}

#[test]
fn leader_hint_of_peers_is_used_when_the_store_was_not_read_lately() {
    let mut election = new_election("n0");
    let leader_in_term = |name: &str, term| Some((name.to_owned(), term));
    election.observe_leader(leader_in_term("n1", 5), 100);
    election.receive_leader_hint(leader_in_term("n2", 9), 200);
    assert_eq!(
        election.leader(1000),
        Some(("n1", 5)),
        "the leader's key was read recently"
    );
    election.receive_leader_hint(leader_in_term("n2", 9), 3000);
    assert_eq!(election.leader(3000), Some(("n2", 9)));
    // Neither an outdated hint nor a peer without a hint replaces the later one.
    election.receive_leader_hint(leader_in_term("n1", 5), 3100);
    election.receive_leader_hint(None, 3100);
    assert_eq!(election.leader(3100), Some(("n2", 9)));
    assert_eq!(
        election.may_campaign(9000),
        None,
        "a hint does not permit a campaign"
    );
    election.observe_leader(None, 4000);
    assert_eq!(election.leader(4000), None);
}

/// Guards against a leader that steps down for a reason from an earlier term.
#[test]
fn resignation_is_ignored_when_it_names_another_term() {
    let mut election = elected_leader(35.0);
    election.resign(5);
    election.record_election(9, 2, 12_000);
    assert_eq!(election.resign(5), None);
    assert_eq!(election.authority(12_100), Some(9));
    assert!(election.resign(9).is_some());
    assert_eq!(election.authority(12_100), None);
}

/// Guards against counting a node's own term as leaderless time, as a leader does not
/// read its own key during its term.
#[test]
fn leaderless_time_is_counted_from_the_last_renewal_when_this_node_led() {
    let mut election = new_election("a");
    election.record_election(5, 1, 1_000);
    election.record_renewal(1, 9_000);
    election.resign(5);
    assert_eq!(election.leaderless_for(10_000), 1_000);
}
