//! The stop that is requested of a task on a machine.
//!
//! Owns the grace period of the stop, and whether a command with that grace period was sent.
//! Every stop of a task is requested here, so that the order of the reasons does not matter:
//! a stop without grace holds whatever was requested before it or is requested after it.

/// The requested stop of a task, if there is one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StopRequest {
    /// Grace period in seconds; `None` if no stop is requested.
    grace_s: Option<f64>,
    /// Whether a stop command with this grace period was sent at least once.
    sent: bool,
}

impl StopRequest {
    /// Returns a stop without grace that was not sent yet.
    pub fn immediate() -> Self {
        StopRequest {
            grace_s: Some(0.0),
            sent: false,
        }
    }

    /// Requests a stop of a task whose work still counts, with a grace period in which it may
    /// save a checkpoint. A stop that was requested before keeps its grace period: shortening
    /// it would lose the checkpoint that is being saved.
    pub fn request(&mut self, grace_s: f64) {
        if self.grace_s.is_none() {
            self.grace_s = Some(grace_s);
        }
    }

    /// Requests a stop without grace of a task whose work counts no more, such as one of a
    /// cancelled job. Replaces a stop with grace, and is then sent again: otherwise the task
    /// would run for as long as it saves a checkpoint that nobody needs.
    pub fn request_immediate(&mut self) {
        if self.grace_s != Some(0.0) {
            *self = StopRequest::immediate();
        }
    }

    /// Whether a stop is requested.
    pub fn is_requested(&self) -> bool {
        self.grace_s.is_some()
    }

    /// Grace period of the requested stop in seconds; `None` if no stop is requested.
    pub fn grace_s(&self) -> Option<f64> {
        self.grace_s
    }

    /// Whether a stop is requested that was never sent with its grace period.
    pub fn is_unsent(&self) -> bool {
        self.is_requested() && !self.sent
    }

    /// Notes that a stop command with the requested grace period is sent.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }
}

#[cfg(test)]
mod tests;
