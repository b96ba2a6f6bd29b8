//! Control decisions, without I/O: state, an event and the time go in, what is to
//! be done comes out.
//!
//! Owns: every decision of a controller, from elections to placement. Called by
//! `server`, which carries out the results, and by the simulation in `tests/`.
//!
//! Must never: read a clock, open a socket, or wait.

pub mod acceptance_feed;
pub mod admission;
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
