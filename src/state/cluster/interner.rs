//! Names mapped to dense indices, in the order in which they came.
//!
//! Owns its names; used for zones, teams and images of the cluster state. Must
//! never forget a name or change its index.

use std::collections::HashMap;

/// A table of names and their indices.
#[derive(Debug, Default)]
pub struct Interner {
    index: HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// The index of the name, a new one if it is unknown.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(index) = self.index.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.index.insert(name.to_owned(), index);
        self.names.push(name.to_owned());
        index
    }

    /// The index of the name, if it is known.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).map(|index| *index as usize)
    }

    /// The name with this index, which `intern` or `find` gave.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no name.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
