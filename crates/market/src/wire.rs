//! Messages of the market protocol, version 1: JSON over HTTP. The schemas in
//! `crates/market/schemas` are generated from these types, doc comments included,
//! and incoming messages are validated against them. A `schemars` description
//! keeps the published text where it differs from the doc comment.
//!
//! Deadlines that a market must observe are times on the market's own steady
//! clock, in one of its epochs. A message that arrives hours late, or at a market
//! with a wrong time of day, thus keeps its meaning.

use crate::{Money, ranges::Ranges};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub const VERSION: u16 = 1;
/// Maximum size of a body in bytes. A larger one is refused before it is read.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum number of offers in one reply.
pub const MAX_OFFERS: usize = 1000;
/// Maximum number of awards or bids in one message.
pub const MAX_ITEMS_PER_MESSAGE: usize = 1000;

/// What a home asks of a market.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Request {
    #[schemars(range(min = 1, max = 1))]
    pub v: u16,
    /// The message's own id: repeating it changes nothing.
    pub message: u64,
    /// Name of the home that asks; must equal the name in its certificate.
    #[schemars(description = "Who asks; must be the name in the certificate.")]
    #[schemars(length(min = 1, max = 100))]
    pub home: String,
    /// The broker's term. A market refuses terms lower than one it has seen.
    pub term: u64,
    #[serde(rename = "ask")]
    pub body: RequestBody,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Ask")]
pub enum RequestBody {
    Sync(Sync),
    Bids(#[schemars(length(max = 1000))] Vec<Bid>),
    Award(Award),
}

/// Renews the home's tenancy at the market and asks for the state of its awards.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(description = "Renews what the home has here, and asks how it stands.")]
#[serde(deny_unknown_fields)]
pub struct Sync {
    /// Everything awarded by this home may run until then; absent: unchanged.
    pub until: Option<MarketTime>,
    /// Awards whose state the home asks for.
    #[schemars(description = "Awards asked about.")]
    #[schemars(length(max = 1000))]
    pub awards: Vec<u64>,
    /// Awards that must not start any more, and end if they run.
    #[schemars(length(max = 1000))]
    pub recall: Vec<u64>,
    /// Awards whose end the home has recorded: the market may forget them.
    #[schemars(length(max = 1000))]
    pub settled: Vec<u64>,
    /// Bids that are not needed any more.
    #[schemars(length(max = 1000))]
    pub release: Vec<u64>,
}

/// A time on a market's steady clock, in one of its epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Until")]
pub struct MarketTime {
    pub epoch: u64,
    pub clock_ms: u64,
}

/// Asks a market to keep places for a short while. Binds the home to nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bid {
    pub bid: u64,
    #[schemars(length(min = 1, max = 100))]
    pub offer: String,
    #[schemars(range(min = 1, max = 100000))]
    pub slots: u32,
    /// Maximum price per slot and hour, in millionths of the price list's unit.
    #[schemars(description = "At most this for a slot and hour, in millionths.")]
    pub price: Money,
}

/// Lets a market run one job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Award {
    /// Unique id of the award; never reused.
    #[schemars(description = "Never used again.")]
    pub award: u64,
    pub bid: u64,
    /// Time after which the market must not accept the award.
    #[schemars(description = "Not to be accepted later than this.")]
    pub start_by: MarketTime,
    /// Maximum total charge, in millionths of the price list's unit.
    #[schemars(description = "At most this in all, in millionths.")]
    pub cap: Money,
    pub job: Job,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Job {
    #[schemars(length(min = 1, max = 100))]
    pub id: String,
    /// Whether all tasks must run at the same time.
    #[schemars(description = "All tasks at once or none.")]
    pub gang: bool,
    #[schemars(range(min = 1, max = 100000))]
    pub tasks: u32,
    /// Tasks that have finished and must not be run again.
    #[schemars(description = "Already finished: not to be run.")]
    pub done: Ranges,
    pub slot: Slot,
    #[schemars(length(min = 1, max = 200))]
    pub image: String,
    #[schemars(range(min = 0.0, max = 1e9))]
    pub image_gb: f64,
    #[schemars(range(min = 0.0, max = 1e9))]
    pub estimate_s: f64,
}

/// What one task takes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Slot {
    #[schemars(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    #[schemars(range(min = 0.0, max = 1e6))]
    pub gpus: f64,
    #[schemars(range(min = 0.0, max = 1e6))]
    pub memory_gb: f64,
}

impl Slot {
    pub fn holds(&self, other: &Slot) -> bool {
        other.cpus <= self.cpus && other.gpus <= self.gpus && other.memory_gb <= self.memory_gb
    }
}

/// What a market answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Reply {
    #[schemars(range(min = 1, max = 1))]
    pub v: u16,
    /// Id of the request that the reply answers.
    #[schemars(description = "Of the request that it answers.")]
    pub message: u64,
    /// Number that changes whenever the market has lost its state.
    #[schemars(description = "Changes when the market has lost what it knew.")]
    pub epoch: u64,
    /// The market's steady clock as it answered.
    pub clock_ms: u64,
    /// Nothing awarded in an earlier epoch can be running any more.
    pub cleared: bool,
    #[serde(rename = "say")]
    pub body: ReplyBody,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Say")]
pub enum ReplyBody {
    Synced(SyncReply),
    /// Answers to the bids, in the order of the bids.
    #[schemars(description = "In the order of the bids.")]
    Bids(#[schemars(length(max = 1000))] Vec<BidAnswer>),
    Award(AwardState),
    /// A broker of a later term was here: the asker must stop.
    Fenced {
        term: u64,
    },
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Synced")]
pub struct SyncReply {
    #[schemars(length(max = 1000))]
    pub offers: Vec<Offer>,
    #[schemars(length(max = 2000))]
    pub awards: Vec<AwardReport>,
}

/// Free slots that a market offers at a price.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(description = "Spare places.")]
#[serde(deny_unknown_fields)]
pub struct Offer {
    #[schemars(length(min = 1, max = 100))]
    pub offer: String,
    pub slot: Slot,
    pub slots: u32,
    /// Price per slot and hour, in millionths of the price list's unit.
    #[schemars(description = "For a slot and hour, in millionths.")]
    pub price: Money,
    /// Time on the market's clock until which the offer is valid.
    #[schemars(description = "On the market's clock.")]
    pub valid_until_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "BidSaid")]
pub enum BidAnswer {
    /// The market holds the slots for the bid until this time on its clock, at
    /// this price.
    #[schemars(description = "Kept until then, on the market's clock, at this price.")]
    Accepted {
        price: Money,
        until_ms: u64,
    },
    Refused,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "AwardSaid")]
pub struct AwardReport {
    pub award: u64,
    pub state: AwardState,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "State")]
pub enum AwardState {
    /// The market does not know the award. It may still arrive, until its
    /// `start_by`.
    #[schemars(description = "Never heard of. It may still arrive, until its `start_by`.")]
    Unknown,
    /// The award has not started and never will.
    #[schemars(description = "It has not started and never will.")]
    Void,
    /// The award was accepted; `done` tasks have finished.
    #[schemars(description = "Accepted; so many tasks have finished.")]
    Running { done: u32 },
    /// The market took it back, or it was recalled: nothing of it runs.
    Withdrawn { done: Ranges, charge: Money },
    /// All tasks have finished.
    Done {
        #[schemars(length(min = 1, max = 200))]
        result: String,
        charge: Money,
    },
}
