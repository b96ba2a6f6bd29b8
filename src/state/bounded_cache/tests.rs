use super::BoundedCache;

#[test]
fn cache_keeps_latest_entries_when_its_bound_is_reached() {
    let mut cache = BoundedCache::new(10);
    for n in 0..100 {
        cache.insert(n, n);
        cache.insert(n, n + 1);
        assert!(cache.len() <= 10);
    }
    assert_eq!(cache.get(&99), Some(&100));
    assert_eq!(cache.get(&95), Some(&96));
    assert_eq!(cache.get(&1), None);
    assert!(cache.is_in_young_generation(&99));
}
