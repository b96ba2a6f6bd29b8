//! State of the cluster: in memory, and as it is stored.
//!
//! | module | owns |
//! | --- | --- |
//! | `cluster` | jobs, machines, and which tasks run, or may run, where |
//! | `records` | keys and format of the records in the state service |
//! | `spec_chunks` | job specs too long for one value |
//! | `dependencies` | the graph of jobs that depend on others |
//! | `fault_attribution` | whether jobs or machines are at fault |
//! | `offload` | whether a job runs here or in another cluster |
//! | `rate_limit` | shares of the state service's rate limits |
//! | `request_budget` | a controller's requests to the state service, by priority |
//! | `slot_table` | dense tables with handles, for jobs and machines |
//! | `bounded_cache` | a bounded map that evicts old entries |
//! | `resources` | resource amounts that add up exactly |
//!
//! `control/`, which makes the decisions, and `server/`, which does the I/O, call this
//! module. Nothing here does I/O or reads a clock.

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

/// Milliseconds of the monotonic clock since the process started.
pub type Millis = u64;
