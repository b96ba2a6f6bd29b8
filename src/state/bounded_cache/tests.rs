use super::*;

#[test]
fn cache_keeps_latest_entries_when_its_bound_is_reached() {
    let mut recent = Recent::new(10);
    for n in 0..100 {
        recent.insert(n, n);
        recent.insert(n, n + 1);
        assert!(recent.len() <= 10);
    }
    assert_eq!(recent.get(&99), Some(&100));
    assert_eq!(recent.get(&95), Some(&96));
    assert_eq!(recent.get(&1), None);
    assert!(recent.is_young(&99));
}
