//! Names, mapped to dense indices.

use std::collections::HashMap;

#[derive(Debug, Default)]
pub struct Interner {
    index: HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(i) = self.index.get(name) {
            return *i;
        }
        let i = self.names.len() as u32;
        self.index.insert(name.to_owned(), i);
        self.names.push(name.to_owned());
        i
    }
    pub fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).map(|i| *i as usize)
    }
    pub fn name(&self, i: usize) -> &str {
        &self.names[i]
    }
    pub fn len(&self) -> usize {
        self.names.len()
    }
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
