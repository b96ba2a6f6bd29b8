//! Stand-ins of everything that a controller talks to, written from the
//! published protocols. `state`, `cloud`, `object_store` and `worker` have neither
//! clock nor sockets: they are told the time. `base` binds them to loopback;
//! `up` and `scale` run whole installations.

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

/// Milliseconds on a clock of the caller's.
pub type Millis = u64;

/// Seconds as settings state them.
pub fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1000.0) as Millis
}
