use super::share::{Role::*, *};

#[test]
fn shares_of_all_controllers_stay_under_the_limit() {
    for nodes in 1..9 {
        let all = of_requests(Leader, nodes) + (nodes - 1) as f64 * of_requests(Follower, nodes);
        assert!(all <= 0.9 + 1e-9, "{nodes} nodes: {all}");
        let leaderless = nodes as f64 * of_requests(NoLeader, nodes);
        assert!(leaderless <= 0.9 + 1e-9, "{nodes} nodes: {leaderless}");
    }
}
