//! What the broker keeps in the state service, under its own prefix.

use crate::{Millis, Money, ranges::Ranges, reputation::Outcome, wire::Until};
use serde::{Deserialize, Serialize};

pub const AWARDS: &str = "award/";
pub const HORIZONS: &str = "horizon/";
pub const SPENT: &str = "spent/";
/// Reputations, which outlast a broker.
pub const STANDING: &str = "standing/";

pub fn award_key(job: &str) -> String {
    format!("{AWARDS}{job}")
}

pub fn horizon_key(market: &str) -> String {
    format!("{HORIZONS}{market}")
}

pub fn standing_key(market: &str) -> String {
    format!("{STANDING}{market}")
}

pub fn spent_key(team: &str) -> String {
    format!("{SPENT}{team}")
}

/// One key a job, so that no job has two awards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AwardRecord {
    /// Never used again: the broker's term and a count.
    pub award: u64,
    pub market: String,
    pub team: String,
    pub tasks: u32,
    /// At most this is paid, and quarantined until the end.
    pub cap: Money,
    pub start_by: Until,
    /// Absent: it may be at the market, or on its way there.
    pub end: Option<End>,
}

/// How an award ended, for good.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// What has finished of the job, to be kept.
    pub done: Ranges,
    /// All of it: `result` is the job's final answer.
    pub result: Option<String>,
    pub charge: Money,
    pub why: Why,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    Done,
    /// The market took it back.
    Withdrawn,
    /// The market refused it, or says that it never started.
    Void,
    /// Nothing can be running there any more, whatever became of it.
    Expired,
    /// The leader would not mark the job, or its time was up before it was
    /// sent.
    NotSent,
}

impl Why {
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Why::Done => Some(Outcome::Kept),
            Why::Withdrawn => Some(Outcome::Withdrawn),
            Why::Void => Some(Outcome::Refused),
            Why::Expired => Some(Outcome::Lost),
            Why::NotSent => None,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HorizonRecord {
    /// After this nothing runs at the market, in the time of day.
    pub until_ms: Millis,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SpentRecord {
    pub day: u64,
    pub spent: Money,
}

const DAY_MS: Millis = 86_400_000;

pub fn day(now: Millis) -> u64 {
    now / DAY_MS
}
