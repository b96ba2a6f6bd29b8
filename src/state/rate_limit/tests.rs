use super::share::{Role::*, *};

#[test]
fn shares_of_all_controllers_stay_under_the_limit() {
    for n in 1..9 {
        let all = of_requests(Leads, n) + (n - 1) as f64 * of_requests(Follows, n);
        assert!(all <= 0.9 + 1e-9, "{n} nodes: {all}");
        let leaderless = n as f64 * of_requests(Leaderless, n);
        assert!(leaderless <= 0.9 + 1e-9, "{n} nodes: {leaderless}");
    }
}
