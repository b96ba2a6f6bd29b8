//! What the service knows: the in-memory cluster state, the records it keeps in the
//! state service, and the rate budgets towards the outside.

pub mod bounded_cache;
pub mod cluster;
pub mod dependencies;
pub mod fault_attribution;
pub mod offload;
pub mod rate_limit;
pub mod records;
pub mod resources;
pub mod spec_chunks;

/// Milliseconds of the steady clock since the process began.
pub type Millis = u64;
