//! A map that keeps what was entered last, within a bound.

use std::{borrow::Borrow, collections::HashMap, hash::Hash};

/// Two generations: as the younger is full, the older goes.
#[derive(Debug)]
pub struct Recent<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    most: usize,
}

impl<K: Hash + Eq, V> Recent<K, V> {
    /// Holds at most so many entries.
    pub fn new(most: usize) -> Self {
        Recent {
            young: HashMap::new(),
            old: HashMap::new(),
            most,
        }
    }

    pub fn insert(&mut self, key: K, value: V) {
        if self.young.len() >= self.most / 2 && !self.young.contains_key(&key) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, value);
    }

    pub fn get<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Whether it was entered lately: then it stays for some time yet.
    pub fn is_young<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.young.contains_key(key)
    }

    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_entered_last_stays_and_the_bound_holds() {
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
}
