//! Control decisions of a controller, as state machines without I/O: each step takes
//! the current state, an event and the time, and returns the actions to perform.
//!
//! Owns: every decision of a controller, from leader elections to task placement.
//! Called by `server`, which performs the returned actions, and by the simulation in
//! `tests/`.
//!
//! Must never: read a clock, open a socket, or block.

pub mod acceptance_feed;
pub mod admission;
pub mod commands;
pub mod dependency_evidence;
pub mod election;
pub mod exclusions;
pub mod failure_detector;
pub mod final_states;
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
pub mod task_lines;
