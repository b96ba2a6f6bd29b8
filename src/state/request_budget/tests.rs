//! Tests of request priorities and of the guaranteed shares.

use super::{LOOKUP_SHARE, Millis, POLL_SHARE, RequestBudget, RequestPriority, Role};
use crate::state::rate_limit::share;

/// Roles and their request rates in deployments with 60, 200 and 700 requests per
/// second and with 3 and 7 controllers, one of which is the leader.
fn deployments() -> impl Iterator<Item = (Role, f64)> {
    let rates = [60.0, 200.0, 700.0].into_iter();
    let sizes = rates.flat_map(|per_s| [(per_s, 3), (per_s, 7)]);
    sizes.flat_map(|(per_s, nodes)| {
        let roles = [Role::Leader, Role::Follower, Role::NoLeader];
        roles.map(|role| (role, per_s * share::of_requests(role, nodes)))
    })
}

fn leaders() -> impl Iterator<Item = f64> {
    let leads = deployments().filter(|(role, _)| *role == Role::Leader);
    leads.map(|(_, per_s)| per_s)
}

const BURST_S: f64 = 0.9;
const SECONDS: u64 = 60;

/// Every priority in `demand` asks for one request every `every_ms` milliseconds.
/// Returns the number of requests that each priority got in a minute, by its index.
fn contend(role: Role, per_s: f64, demand: &[RequestPriority], every_ms: Millis) -> [u64; 5] {
    let mut budget = RequestBudget::new(role, per_s, BURST_S);
    for now in (0..SECONDS * 1_000).step_by(every_ms as usize) {
        for priority in demand {
            budget.take(now, *priority);
        }
    }
    let mut taken = [0; 5];
    for (priority, counts) in budget.counts() {
        taken[priority as usize] = counts.taken;
    }
    taken
}

/// Guards against dependency lookups that get no request for whole terms, because
/// acceptances take all that the bucket gets beyond what is reserved for lookups.
#[test]
fn acceptances_leave_lookups_and_polls_their_share_at_every_rate() {
    let all = RequestPriority::ALL;
    for per_s in leaders() {
        let taken = contend(Role::Leader, per_s, &all[1..], 1);
        for (priority, share) in [
            (RequestPriority::DependencyLookup, LOOKUP_SHARE),
            (RequestPriority::Poll, POLL_SHARE),
        ] {
            let guaranteed = (per_s * SECONDS as f64 * share) as u64;
            let granted = taken[priority as usize];
            assert!(granted + 1 >= guaranteed, "{per_s}: {priority:?} {taken:?}");
        }
        let accepted = taken[RequestPriority::Acceptance as usize];
        assert!(
            accepted as f64 >= 0.65 * per_s * SECONDS as f64,
            "{per_s}: {taken:?}"
        );
    }
}

/// Guards against polls that get no request while the lookups of a large takeover are
/// in progress.
#[test]
fn lookups_leave_polls_their_share() {
    for per_s in leaders() {
        let demand = [RequestPriority::DependencyLookup, RequestPriority::Poll];
        let taken = contend(Role::Leader, per_s, &demand, 1);
        let polls = taken[RequestPriority::Poll as usize];
        let guaranteed = (per_s * SECONDS as f64 * POLL_SHARE) as u64;
        assert!(polls + 1 >= guaranteed, "{per_s}: {taken:?}");
        assert!(
            taken[RequestPriority::DependencyLookup as usize] > polls,
            "{taken:?}"
        );
    }
}

/// Guards against shares that are withheld although no other priority asks for
/// requests.
#[test]
fn single_priority_gets_the_whole_rate_when_no_other_asks() {
    for (role, per_s) in deployments() {
        for priority in RequestPriority::ALL {
            let taken = contend(role, per_s, &[priority], 1)[priority as usize];
            let full_rate = per_s * SECONDS as f64;
            assert!(
                taken as f64 >= 0.99 * full_rate,
                "{per_s}: {priority:?} {taken}"
            );
        }
    }
}

/// Guards against a reserve that is larger than what a small bucket ever holds.
#[test]
fn full_bucket_serves_every_priority_however_small_it_is() {
    for per_s in [0.5, 1.0, 3.0, 5.0] {
        for priority in RequestPriority::ALL {
            let mut budget = RequestBudget::new(Role::Leader, per_s, BURST_S);
            assert!(budget.take(10_000, priority), "{per_s}: {priority:?}");
        }
    }
}

/// Guards against exceeding the total rate, whichever priorities ask.
#[test]
fn all_priorities_together_stay_within_the_rate() {
    for (role, per_s) in deployments() {
        let taken = contend(role, per_s, &RequestPriority::ALL, 1);
        let max_requests = per_s * (SECONDS as f64 + BURST_S) + 1.0;
        assert!(
            taken.iter().sum::<u64>() as f64 <= max_requests,
            "{per_s}: {taken:?}"
        );
    }
}

/// Guards against less urgent requests that use up what more urgent ones need in a
/// burst.
#[test]
fn less_urgent_requests_leave_a_reserve_of_the_surplus() {
    let mut budget = RequestBudget::new(Role::Leader, 100.0, BURST_S);
    let [_, acceptance, lookup, poll, listing] = RequestPriority::ALL;
    for priority in [listing, poll, lookup] {
        while budget.take(0, priority) {}
    }
    assert!(budget.take(0, acceptance));
}
