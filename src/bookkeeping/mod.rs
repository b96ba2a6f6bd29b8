//! What the service knows: the in-memory model, the records it keeps in the
//! state service, and the rate budgets towards the outside.

pub mod amounts;
pub mod away;
pub mod blame;
pub mod budget;
pub mod chains;
pub mod model;
pub mod pieces;
pub mod recent;
pub mod records;

/// Milliseconds of the steady clock since the process began.
pub type Ms = u64;
