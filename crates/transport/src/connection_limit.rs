//! Limit on the number of open connections.

use std::{cell::Cell, rc::Rc};

/// Counter of open connections with an upper bound. Clones share the count.
#[derive(Debug, Clone)]
pub struct ConnectionLimit {
    max: usize,
    open: Rc<Cell<usize>>,
}

impl ConnectionLimit {
    /// Creates a limit of `max` simultaneous connections.
    pub fn new(max: usize) -> Self {
        ConnectionLimit {
            max,
            open: Rc::default(),
        }
    }

    /// Counts one more connection until the returned permit is dropped. Returns
    /// `None` if the limit is reached.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit {
            open: self.open.clone(),
        })
    }

    /// Returns the number of connections that are open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the maximum number of open connections.
    pub fn max(&self) -> usize {
        self.max
    }
}

/// Permit for one open connection, released on drop.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
