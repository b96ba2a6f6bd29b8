//! A bounded map that evicts the entries inserted longest ago.
//!
//! The map owns only its entries. The cache of final job states, which users query
//! again, the audit log and the dependency evidence use it. The map never holds more
//! than `max_entries` entries; callers must not rely on an entry still being present.

use std::{borrow::Borrow, collections::HashMap, hash::Hash};

/// A bounded map of two generations: when the young generation is full, the old one is
/// dropped and the young one takes its place.
#[derive(Debug)]
pub struct BoundedCache<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    max_entries: usize,
}

impl<K: Hash + Eq, V> BoundedCache<K, V> {
    /// Returns an empty map that holds at most `max_entries` entries.
    pub fn new(max_entries: usize) -> Self {
        BoundedCache {
            young: HashMap::new(),
            old: HashMap::new(),
            max_entries,
        }
    }

    /// Inserts or replaces an entry.
    pub fn insert(&mut self, key: K, value: V) {
        if self.young.len() >= self.max_entries / 2 && !self.young.contains_key(&key) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, value);
    }

    /// Returns the value of `key`, unless it was evicted.
    pub fn get<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Whether `key` is in the young generation, which is not the next one to be
    /// dropped.
    pub fn is_in_young_generation<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.young.contains_key(key)
    }

    /// Number of entries in both generations.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
