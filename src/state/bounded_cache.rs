//! A bounded map that keeps the entries inserted last.
//!
//! Owns its entries only. Used for final states, which users ask for
//! again, and by the audit log.
//! Must never hold more than its bound, nor be relied upon to hold an entry.

use std::{borrow::Borrow, collections::HashMap, hash::Hash};

/// Two generations: when the younger is full, the older is dropped.
#[derive(Debug)]
pub struct Recent<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    max_entries: usize,
}

impl<K: Hash + Eq, V> Recent<K, V> {
    /// One that holds at most so many entries.
    pub fn new(max_entries: usize) -> Self {
        Recent {
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

    /// The entry with this key, if it is still held.
    pub fn get<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Whether it was inserted lately: then it stays for some time yet.
    pub fn is_young<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.young.contains_key(key)
    }

    /// How many entries it holds.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
