//! Compact sets of task numbers as sorted, disjoint ranges, for example the
//! finished tasks of a job.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// `[first, last]`, both included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct Ranges(pub Vec<(u32, u32)>);

impl Ranges {
    /// Returns the set of all tasks of a job with this number of tasks.
    pub fn all(tasks: u32) -> Self {
        match tasks {
            0 => Ranges::default(),
            count => Ranges(vec![(0, count - 1)]),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|(a, b)| b - a + 1).sum()
    }

    /// Checks that the ranges are sorted, disjoint and within a job with this number
    /// of tasks.
    pub fn check(&self, tasks: u32) -> Result<(), &'static str> {
        let mut next_free = 0u64;
        for (first, last) in &self.0 {
            if first > last || u64::from(*first) < next_free {
                return Err("ranges are not sorted and disjoint");
            }
            if *last >= tasks {
                return Err("a task number is beyond the job's");
            }
            next_free = u64::from(*last) + 1;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
