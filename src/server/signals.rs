//! Synchronisation between the tasks of the process: a guard that admits one operation
//! of a kind at a time, and a signal that wakes a loop.
//!
//! Both are used by the control loop; the poll queues use the wake signal.
//!
//! Invariants: sending a signal never blocks. A wake-up that is sent while the loop is
//! busy is never lost.

use async_channel::{Receiver, Sender};
use std::{cell::Cell, rc::Rc};

/// Admits one operation of a kind at a time.
#[derive(Debug, Default)]
pub(super) struct SingleFlight {
    in_flight: Rc<Cell<bool>>,
}

/// Guard of an operation in progress. The operation counts as ended when the guard is
/// dropped, also if the operation fails or is cancelled.
#[derive(Debug)]
pub(super) struct InFlight {
    in_flight: Rc<Cell<bool>>,
}

impl SingleFlight {
    /// Begins an operation. Returns `None` if one is already in progress.
    pub(super) fn try_begin(&self) -> Option<InFlight> {
        if self.in_flight.replace(true) {
            return None;
        }
        Some(InFlight {
            in_flight: self.in_flight.clone(),
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.in_flight.set(false);
    }
}

/// Signal that wakes a loop. Signals that arrive while the loop is busy are merged into
/// one.
#[derive(Debug)]
pub(super) struct WakeSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for WakeSignal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        WakeSignal { sender, receiver }
    }
}

impl WakeSignal {
    /// Wakes the loop if it waits; otherwise its next wait returns at once.
    pub(super) fn notify(&self) {
        // A full channel already holds a signal.
        let _ = self.sender.try_send(());
    }

    /// Waits for a signal.
    pub(super) async fn wait(&self) {
        // Can't fail: the sender lives as long as the receiver.
        let _ = self.receiver.recv().await;
    }
}
