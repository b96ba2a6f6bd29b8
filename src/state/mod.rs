//! State of the cluster: in memory, and as it is stored.
//!
//! | module | owns |
//! | --- | --- |
//! | `cluster` | jobs, machines, and what is or may be running where |
//! | `records` | keys and form of what the state service stores |
//! | `spec_chunks` | specs too long for one value |
//! | `dependencies` | the graph of jobs that depend on others |
//! | `fault_attribution` | whether jobs or machines are at fault |
//! | `offload` | whether a job runs here or in another cluster |
//! | `rate_limit` | shares of the state service's rate limits |
//! | `request_budget` | a controller's requests to the state service, by priority |
//! | `slot_table` | dense tables with handles, for jobs and machines |
//! | `bounded_cache`, `resources` | a bounded map; amounts that add up exactly |
//!
//! Called by `control/`, which decides, and `server/`, which does the I/O. Nothing
//! here does I/O or reads a clock.

pub mod bounded_cache;
pub mod cluster;
pub mod dependencies;
pub mod fault_attribution;
pub mod offload;
pub mod rate_limit;
pub mod records;
pub mod request_budget;
pub mod resources;
pub mod slot_table;
pub mod spec_chunks;

/// Milliseconds of the steady clock since the process began.
pub type Millis = u64;
