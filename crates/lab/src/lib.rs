//! The testbed behind the program `pathwinch-lab`: simulated services for everything
//! that a controller talks to, written from the published protocols.
//!
//! `state`, `cloud`, `object_store` and `worker` have neither a clock nor sockets;
//! the caller passes the current time to each call. `base` serves them on loopback
//! next to real controller processes. `up` and `scale` run whole testbeds.

pub mod base;
pub mod children;
pub mod cloud;
pub mod controllers;
pub mod hosts;
pub mod installation;
pub mod load_balancer;
pub mod market;
pub mod markets;
pub mod object_store;
pub mod scale;
pub mod services;
pub mod site;
pub mod state;
pub mod traffic;
pub mod up;
pub mod worker;
pub mod worker_faults;

/// A time or a duration in milliseconds, on the clock of the caller.
pub type Millis = u64;

/// Converts seconds, the unit of the settings, to milliseconds; negative values give 0.
pub fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1000.0) as Millis
}
