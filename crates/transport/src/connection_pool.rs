//! Idle connections of a client, kept for the next request to the same host.
//! The pool opens no connections itself.

use crate::SharedTcpStream;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

/// Idle connections by host. When the pool is full, the host used least
/// recently loses its connections: closing all of them at once would cost a
/// new connection for each request of a large fleet.
pub(crate) struct ConnectionPool {
    max_connections: usize,
    max_per_host: usize,
    idle: RefCell<Idle>,
}

#[derive(Default)]
struct Idle {
    connections: usize,
    /// Logical clock of `last_used`: advances with each connection put back.
    uses: u64,
    hosts: HashMap<SocketAddr, Host>,
}

#[derive(Default)]
struct Host {
    last_used: u64,
    streams: Vec<SharedTcpStream>,
}

impl ConnectionPool {
    /// Keeps at most `max_connections`, and `max_per_host` to each host.
    pub(crate) fn new(max_connections: usize, max_per_host: usize) -> Self {
        ConnectionPool {
            max_connections,
            max_per_host,
            idle: RefCell::default(),
        }
    }

    /// Puts back a connection that is ready for its next request.
    pub(crate) fn put(&self, addr: SocketAddr, stream: SharedTcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.connections >= self.max_connections {
            idle.evict_least_recently_used();
        }
        idle.uses += 1;
        let last_used = idle.uses;
        let host = idle.hosts.entry(addr).or_default();
        host.last_used = last_used;
        if host.streams.len() < self.max_per_host {
            host.streams.push(stream);
            idle.connections += 1;
        }
    }

    /// Takes a connection that can still be used; others met on the way are
    /// closed.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<SharedTcpStream> {
        let mut idle = self.idle.borrow_mut();
        while let Some(stream) = idle.pop(addr) {
            if stream.is_reusable() {
                return Some(stream);
            }
        }
        None
    }
}

impl Idle {
    fn evict_least_recently_used(&mut self) {
        let oldest = self.hosts.iter().min_by_key(|(_, host)| host.last_used);
        if let Some(addr) = oldest.map(|(addr, _)| *addr)
            && let Some(host) = self.hosts.remove(&addr)
        {
            self.connections -= host.streams.len();
        }
    }

    /// A host without connections is removed: evicting it later in place of
    /// the least recently used would close nothing, and the pool would outgrow
    /// its limit.
    fn pop(&mut self, addr: SocketAddr) -> Option<SharedTcpStream> {
        let host = self.hosts.get_mut(&addr)?;
        let stream = host.streams.pop()?;
        self.connections -= 1;
        if host.streams.is_empty() {
            self.hosts.remove(&addr);
        }
        Some(stream)
    }
}

#[cfg(test)]
mod tests;
