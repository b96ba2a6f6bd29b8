//! Reputation of a market from the outcomes of its awards. The effective price of
//! a market that often fails to complete its awards is above its nominal price.

use serde::{Deserialize, Serialize};

/// Outcome of an award, or of a message, at a market.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Completed as awarded.
    Kept,
    /// Completed, but after its deadline.
    Late,
    /// Withdrawn by the market after it had accepted the award.
    Withdrawn,
    /// Award refused by the market after it had accepted the bid.
    Refused,
    /// The market lost the award, or did not answer until its horizon passed.
    Lost,
    /// A statement that cannot be true: a result for an award that the market
    /// never had, a second and different result, a charge above the price or a
    /// clock that goes back.
    #[serde(rename = "lied")]
    Violation,
}

/// Factor by which the weight of earlier outcomes shrinks with each new one. The
/// last fifty outcomes weigh most.
const DECAY: f64 = 0.98;
/// Awards kept, and awards made, that are assumed before any outcome is known.
const PRIOR: (f64, f64) = (4.0, 5.0);
/// Number of violations from which a market is not used until an operator clears
/// its record.
pub const MAX_VIOLATIONS: u32 = 3;

/// Decaying sums over a market's outcomes, stored under the market's name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reputation {
    kept: f64,
    total: f64,
    #[serde(rename = "lies")]
    pub violations: u32,
}

impl Reputation {
    pub fn record(&mut self, outcome: Outcome) {
        let (score, weight) = match outcome {
            Outcome::Kept => (1.0, 1.0),
            Outcome::Late => (0.6, 1.0),
            // A refusal before anything ran costs the home little.
            Outcome::Refused => (0.0, 0.3),
            Outcome::Withdrawn => (0.0, 1.0),
            Outcome::Lost => (0.0, 2.0),
            Outcome::Violation => {
                self.violations = self.violations.saturating_add(1);
                (0.0, 3.0)
            }
        };
        self.kept = self.kept * DECAY + score * weight;
        self.total = self.total * DECAY + weight;
    }

    /// Returns the expected share of awards that the market completes.
    pub fn kept_share(&self) -> f64 {
        (self.kept + PRIOR.0) / (self.total + PRIOR.1)
    }

    pub fn trusted(&self) -> bool {
        self.violations < MAX_VIOLATIONS
    }

    /// Returns the expected cost at this price: awards that are not completed must be
    /// run again elsewhere.
    pub fn effective_price(&self, price: f64) -> f64 {
        price / self.kept_share().max(0.05)
    }
}

#[cfg(test)]
mod tests;
