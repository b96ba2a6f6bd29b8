//! Limits on the number of open connections.

use std::{cell::Cell, rc::Rc};

/// A counter of open connections with an upper bound. Clones share the count.
#[derive(Debug, Clone)]
pub struct ConnectionLimit {
    max: usize,
    open: Rc<Cell<usize>>,
}

impl ConnectionLimit {
    /// Allows at most `max` connections at a time.
    pub fn new(max: usize) -> Self {
        ConnectionLimit {
            max,
            open: Rc::default(),
        }
    }

    /// Counts one more connection until the permit is dropped; `None` when the
    /// limit is reached.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit {
            open: self.open.clone(),
        })
    }

    /// Connections that are open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The upper bound.
    pub fn max(&self) -> usize {
        self.max
    }
}

/// The right to hold one connection, given back on drop.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
