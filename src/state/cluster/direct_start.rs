//! Direct starts of one attempt of a task: whether the machine may still carry one out.
//!
//! A direct command may arrive late, and it may arrive again after it was answered. The machine
//! carries it out for as long as it has seen no higher fencing token within the incarnation that
//! the command names. It ignores the start only while it lists the attempt. How long ago the
//! command was sent says nothing.
//!
//! Whoever concludes that a machine does not run an attempt, and never will again, asks here.

/// Fencing tokens under which starts of one attempt were sent to a machine directly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectStart {
    /// Highest token of a start that was carried out, or may have been; 0 if there is none.
    delivered_token: u64,
    /// Token of a start that is not answered; 0 if there is none.
    unanswered_token: u64,
}

impl DirectStart {
    /// Returns the state of an attempt of which starts may have been sent under any token up
    /// to this one.
    pub fn up_to(token: u64) -> Self {
        DirectStart {
            delivered_token: token,
            unanswered_token: 0,
        }
    }

    /// Notes that a start is sent under the token.
    pub fn mark_sent(&mut self, token: u64) {
        self.unanswered_token = token;
    }

    /// Notes the end of the direct command under the token. Returns whether the command holds
    /// the unanswered start.
    pub fn resolve(&mut self, token: u64, executed: bool) -> bool {
        if self.unanswered_token != token {
            return false;
        }
        self.unanswered_token = 0;
        if executed {
            self.delivered_token = self.delivered_token.max(token);
        }
        true
    }

    /// Whether a start was sent that got no answer.
    pub fn is_unanswered(&self) -> bool {
        self.unanswered_token != 0
    }

    /// Whether a machine that has seen `seen_token`, and does not list the attempt, may still
    /// carry out a start of it.
    pub fn may_arrive(&self, seen_token: u64) -> bool {
        let latest_token = self.delivered_token.max(self.unanswered_token);
        latest_token != 0 && seen_token <= latest_token
    }
}

#[cfg(test)]
mod tests;
