//! Signals between the tasks of the process: one operation of a kind at a time,
//! and the wake-up of a loop.
//!
//! Called by the control loop and the poll queues.
//!
//! Must never: block, or lose a wake-up that is sent while the loop is busy.

use async_channel::{Receiver, Sender};
use std::{cell::Cell, rc::Rc};

/// Admits one operation of a kind at a time.
#[derive(Debug, Default)]
pub(super) struct SingleFlight {
    in_flight: Rc<Cell<bool>>,
}

/// An operation under way; dropped when it ends, however it ends.
#[derive(Debug)]
pub(super) struct InFlight {
    in_flight: Rc<Cell<bool>>,
}

impl SingleFlight {
    /// Begins an operation, unless one is under way.
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

/// Wakes a loop. Signals that arrive while it is busy count as one.
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
    /// Wakes the loop now, or when it next waits.
    pub(super) fn notify(&self) {
        // A full channel already holds a signal.
        let _ = self.sender.try_send(());
    }

    /// Waits for a signal.
    pub(super) async fn wait(&self) {
        // The sender lives as long as the receiver.
        let _ = self.receiver.recv().await;
    }
}
