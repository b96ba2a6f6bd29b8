//! Records that the broker keeps in the state service, under its own key prefix.

use crate::{Millis, Money, ranges::Ranges, reputation::Outcome, wire::MarketTime};
use serde::{Deserialize, Serialize};

/// Prefix of award records, one per offloaded job.
pub const AWARDS: &str = "award/";
/// Prefix of horizon records, one per market.
pub const HORIZONS: &str = "horizon/";
/// Prefix of records of money spent, one per team.
pub const SPENT: &str = "spent/";
/// Prefix of reputation records, one per market. They outlive a broker.
pub const REPUTATIONS: &str = "standing/";

pub fn award_key(job: &str) -> String {
    format!("{AWARDS}{job}")
}

pub fn horizon_key(market: &str) -> String {
    format!("{HORIZONS}{market}")
}

pub fn reputation_key(market: &str) -> String {
    format!("{REPUTATIONS}{market}")
}

pub fn spent_key(team: &str) -> String {
    format!("{SPENT}{team}")
}

/// Award of a job. There is one key per job, so that no job can have two awards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AwardRecord {
    /// Unique id, made of the broker's term and a count; never reused.
    pub award: u64,
    pub market: String,
    pub team: String,
    pub tasks: u32,
    /// Maximum charge. It is reserved from the team's budget until the award ends.
    pub cap: Money,
    pub start_by: MarketTime,
    /// How the award ended; absent: the award may be at the market or in transit.
    pub end: Option<End>,
}

/// Final end of an award.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Tasks that finished at the market and are kept as done.
    pub done: Ranges,
    /// The job's final answer, if all of its tasks have finished.
    pub result: Option<String>,
    pub charge: Money,
    #[serde(rename = "why")]
    pub reason: EndReason,
}

/// Why an award ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    Done,
    /// The market withdrew the award, or the home recalled it.
    Withdrawn,
    /// The market refused the award or reports that it never started.
    Void,
    /// Nothing of it can be running any more: the market's horizon has passed, or
    /// the market lost its state and reports that all earlier awards have ended.
    Expired,
    /// The leader did not mark the job, the award was recalled, or its `start_by`
    /// passed before it was sent.
    NotSent,
}

impl EndReason {
    /// Returns the outcome that counts for the market's reputation, if any.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            EndReason::Done => Some(Outcome::Kept),
            EndReason::Withdrawn => Some(Outcome::Withdrawn),
            EndReason::Void => Some(Outcome::Refused),
            EndReason::Expired => Some(Outcome::Lost),
            EndReason::NotSent => None,
        }
    }
}

/// Horizon of a market.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HorizonRecord {
    /// Time of day after which no award runs at the market.
    pub until_ms: Millis,
}

/// Money that a team has spent on one day.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SpentRecord {
    pub day: u64,
    pub spent: Money,
}

const DAY_MS: Millis = 86_400_000;

/// Returns the number of days from the Unix epoch to this time of day.
pub fn day(now: Millis) -> u64 {
    now / DAY_MS
}
