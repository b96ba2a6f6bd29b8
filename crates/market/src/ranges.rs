//! Sets of task numbers as sorted, disjoint ranges: what has finished of a
//! job, in a form that stays small.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// `[first, last]`, both included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct Ranges(pub Vec<(u32, u32)>);

impl Ranges {
    pub fn all(tasks: u32) -> Self {
        match tasks {
            0 => Ranges::default(),
            n => Ranges(vec![(0, n - 1)]),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn count(&self) -> u32 {
        self.0.iter().map(|(a, b)| b - a + 1).sum()
    }

    /// Sorted, disjoint and within the job; the error names what is wrong.
    pub fn check(&self, tasks: u32) -> Result<(), &'static str> {
        let mut next = 0u64;
        for (first, last) in &self.0 {
            if first > last || u64::from(*first) < next {
                return Err("ranges are not sorted and disjoint");
            }
            if *last >= tasks {
                return Err("a task number is beyond the job's");
            }
            next = u64::from(*last) + 1;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
