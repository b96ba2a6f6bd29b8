//! Decisions. Nothing here does input or output: state, an event and the
//! time go in, what is to be done comes out.

pub mod acceptance_feed;
pub mod admission;
pub mod election;
pub mod exclusions;
pub mod failure_detector;
pub mod heartbeat_relay;
pub mod key_pages;
pub mod leader;
pub mod placement;
pub mod polls;
pub mod provision;
pub mod reconciliation;
pub mod requests;
pub mod safety_bounds;
pub mod standby;
