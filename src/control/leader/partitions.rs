//! Machines whose reports arrive while answers and orders don't reach them, and
//! reports that come late or from a machine that began anew. What counts is
//! what a machine shows to have received: a token, raised for it alone.

use super::Leader;
use crate::{
    control::reconciliation,
    protocol::workers::Heartbeat,
    state::{Millis, cluster::Phase},
};

/// So many reports in a row without a token of this term, each sent after the
/// one before it was answered, show that it does not get the answers.
const MAX_UNACKNOWLEDGED_HEARTBEATS: u32 = 2;

/// Reports of one that began anew come at least as often, sent back once.
const RESTART_HEARTBEAT_WINDOW_MS: Millis = 8_000;

impl Leader {
    /// Looks at a report before anything is made of it. `false`: it gets no
    /// answer, so that the machine's lease surely ends and a new leader need
    /// not wait for ever to hear of it.
    pub(super) fn accepts_heartbeat(&mut self, ix: u32, report: &Heartbeat, now: Millis) -> bool {
        let (floor, token) = (self.term_token(), self.fencing_token(ix));
        // By then the lease of one that got no answer in this term is over, so
        // nothing is lost. Guards against a leader that is too slow for a
        // while, and would give up machines that hear it well.
        let over = self.recovery.elected_at + self.lease_expiry();
        let Some(m) = self.cluster.machine_mut(ix) else {
            return false;
        };
        let this = (report.incarnation, report.seq);
        // Of one that was heard, what has not seen this term is of before it.
        let least = if m.up { floor } else { 0 };
        if this <= m.latest_heartbeat || report.acknowledged_token < least.max(m.min_token) {
            // A late copy changes nothing, and an answer to it would be counted
            // as a lease. Two in order may be of a machine that began anew and
            // counts from one again: that shows by a token raised for it.
            let in_order = m.last_stale_heartbeat.0 != (0, 0)
                && this > m.last_stale_heartbeat.0
                && now < m.last_stale_heartbeat.1 + RESTART_HEARTBEAT_WINDOW_MS;
            m.last_stale_heartbeat = (this, now);
            if !in_order {
                return false;
            }
            if m.restart_token == 0 {
                m.token_epoch += 1;
                m.restart_token = token + 1;
            }
            m.last_answered = now;
            return true;
        }
        m.latest_heartbeat = this;
        m.unacknowledged_heartbeats = match m.contents_unknown && report.acknowledged_token < floor
        {
            true => m.unacknowledged_heartbeats + 1,
            false => 0,
        };
        if m.unacknowledged_heartbeats > MAX_UNACKNOWLEDGED_HEARTBEATS && now > over {
            log::debug!(
                "machine {} sends heartbeats, but receives no responses",
                m.name
            );
            return false;
        }
        m.last_answered = now;
        true
    }

    /// Nothing new is placed there before it shows a token that is newer than
    /// all it can have seen.
    pub(super) fn require_new_token(&mut self, ix: u32) {
        let token = self.fencing_token(ix);
        if let Some(m) = self.cluster.machine_mut(ix) {
            m.required_token = token;
        }
    }

    /// After a report was taken in.
    pub(super) fn detect_one_way_partition(
        &mut self,
        ix: u32,
        effects: &reconciliation::HeartbeatEffects,
    ) {
        // Had its lease ended for lack of reports, it would not count as up.
        let lost = effects.lost_commands > 0 || effects.new_incarnation;
        let Some(m) = self.cluster.machine_mut(ix) else {
            return;
        };
        if !lost || m.misses_responses() {
            return;
        }
        log::info!(
            "machine {} may not receive responses: no new tasks there",
            m.name
        );
        m.token_epoch += 1;
        self.require_new_token(ix);
        self.changed = true;
        // What was ordered in an answer that it did not get never runs there.
        for at in self.never_delivered(ix) {
            self.cluster.unassign(ix, at);
        }
    }

    /// Orders that were given and are surely not carried out, last first.
    fn never_delivered(&self, ix: u32) -> Vec<usize> {
        let tasks = self.cluster.machine(ix).map_or(&[][..], |m| &m.tasks);
        let new = tasks.iter().enumerate();
        let new = new.filter(|(_, a)| a.phase == Phase::New && a.indeterminate_token == 0);
        let mut at: Vec<usize> = new.map(|(at, _)| at).collect();
        at.reverse();
        at
    }
}
