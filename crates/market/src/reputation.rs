//! What a market is worth by its outcomes: a price that is often not kept is
//! dearer than it looks.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Done as awarded.
    Kept,
    /// Done, but after its deadline.
    Late,
    /// Taken back after it was accepted.
    Withdrawn,
    /// Refused after the bid was accepted.
    Refused,
    /// Never heard of again.
    Lost,
    /// Said what can't be true: a result for an award it never had, a second
    /// result that differs, more than the price, a clock that goes back.
    Lied,
}

/// Outcomes that count, as a decaying sum: the last fifty weigh most.
const MEMORY: f64 = 0.98;
/// A market without a record counts as if it had kept so many of so many.
const PRIOR: (f64, f64) = (4.0, 5.0);
/// Lies for which a market is not used until an operator says so.
pub const MAX_VIOLATIONS: u32 = 3;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reputation {
    kept: f64,
    total: f64,
    pub lies: u32,
}

impl Reputation {
    pub fn note(&mut self, outcome: Outcome) {
        let (worth, weight) = match outcome {
            Outcome::Kept => (1.0, 1.0),
            Outcome::Late => (0.6, 1.0),
            // A refusal before anything ran costs little.
            Outcome::Refused => (0.0, 0.3),
            Outcome::Withdrawn => (0.0, 1.0),
            Outcome::Lost => (0.0, 2.0),
            Outcome::Lied => {
                self.lies = self.lies.saturating_add(1);
                (0.0, 3.0)
            }
        };
        self.kept = self.kept * MEMORY + worth * weight;
        self.total = self.total * MEMORY + weight;
    }

    /// Share of awards that it is expected to keep.
    pub fn keeps(&self) -> f64 {
        (self.kept + PRIOR.0) / (self.total + PRIOR.1)
    }

    pub fn trusted(&self) -> bool {
        self.lies < MAX_VIOLATIONS
    }

    /// What a price means in expectation: what isn't kept is run again.
    pub fn effective(&self, price: f64) -> f64 {
        price / self.keeps().max(0.05)
    }
}

#[cfg(test)]
mod tests;
