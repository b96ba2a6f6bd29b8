//! Decisions. Nothing here does input or output: state, an event and the
//! time go in, what is to be done comes out.

pub mod admission;
pub mod answers;
pub mod bars;
pub mod bounds;
pub mod dispatch;
pub mod election;
pub mod leader;
pub mod notices;
pub mod pages;
pub mod placement;
pub mod polls;
pub mod provision;
pub mod reach;
pub mod relay;
pub mod standby;
