//! Pool of a client's idle connections, kept for the next request to the same
//! host. The pool itself opens no connections.

use crate::SharedTcpStream;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

/// Idle connections by host. When the pool is full, it closes the connections
/// of the least recently used host. If the pool were emptied instead, each
/// request to a large fleet would need a new connection.
pub(crate) struct ConnectionPool {
    max_connections: usize,
    max_per_host: usize,
    idle: RefCell<IdleConnections>,
}

#[derive(Default)]
struct IdleConnections {
    /// Number of idle connections over all hosts.
    connections: usize,
    /// Logical clock for `last_used`, incremented whenever a connection is put
    /// into the pool.
    put_count: u64,
    hosts: HashMap<SocketAddr, HostConnections>,
}

#[derive(Default)]
struct HostConnections {
    /// Value of the pool's logical clock when a connection to this host was last
    /// put into the pool.
    last_used: u64,
    streams: Vec<SharedTcpStream>,
}

impl ConnectionPool {
    /// Creates a pool that keeps at most `max_connections` in total and
    /// `max_per_host` for each host.
    pub(crate) fn new(max_connections: usize, max_per_host: usize) -> Self {
        ConnectionPool {
            max_connections,
            max_per_host,
            idle: RefCell::default(),
        }
    }

    /// Puts a connection that is ready for its next request into the pool.
    /// Closes it if the host already has `max_per_host` idle connections.
    pub(crate) fn put(&self, addr: SocketAddr, stream: SharedTcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.connections >= self.max_connections {
            idle.evict_least_recently_used();
        }
        idle.put_count += 1;
        let last_used = idle.put_count;
        let host = idle.hosts.entry(addr).or_default();
        host.last_used = last_used;
        if host.streams.len() < self.max_per_host {
            host.streams.push(stream);
            idle.connections += 1;
        }
    }

    /// Takes a connection to `addr` that can still be used. Connections that
    /// turn out to be unusable are closed.
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

impl IdleConnections {
    fn evict_least_recently_used(&mut self) {
        let oldest = self.hosts.iter().min_by_key(|(_, host)| host.last_used);
        if let Some(addr) = oldest.map(|(addr, _)| *addr)
            && let Some(host) = self.hosts.remove(&addr)
        {
            self.connections -= host.streams.len();
        }
    }

    /// Removes and returns an idle connection to `addr`. A host without
    /// connections left is removed as well: if it stayed, evicting it as the
    /// least recently used host would close nothing, and the pool would exceed
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
