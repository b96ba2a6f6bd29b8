//! Maps names to dense indices in the order in which the names were first seen.
//!
//! Owns its names. The cluster state uses one interner each for zones, teams and
//! images. A name is never removed and never changes its index.

use std::collections::HashMap;

/// A table of names and their dense indices.
#[derive(Debug, Default)]
pub struct Interner {
    index: HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// Returns the index of the name, allocating a new one if the name is unknown.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(index) = self.index.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.index.insert(name.to_owned(), index);
        self.names.push(name.to_owned());
        index
    }

    /// Returns the index of the name, or `None` if the name is unknown.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).map(|index| *index as usize)
    }

    /// Returns the name with this index, which must come from `intern` or `find`.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether the table has no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
