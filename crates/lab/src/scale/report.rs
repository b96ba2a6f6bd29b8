//! The report of a scale run, as text for the terminal and as JSON. The field names are
//! those of the JSON.

use anyhow::{Result, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write;

/// Distribution of times in milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Times {
    pub count: u64,
    pub median_ms: u64,
    pub p99_ms: u64,
    pub p999_ms: u64,
    pub largest_ms: u64,
}

impl Times {
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Times {
            count: histogram.len(),
            median_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            p999_ms: histogram.value_at_quantile(0.999),
            largest_ms: histogram.max(),
        }
    }
}

/// Resource usage and counters of a process while measuring.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RoleRow {
    pub name: String,
    /// `leader`, `standby`, `follower`, or `load and stand-ins`.
    pub role: &'static str,
    /// Mean processor usage, as a share of one core.
    pub cpu_mean: f64,
    /// Maximum processor usage over a sample interval of one second, as a share of
    /// one core.
    pub cpu_largest: f64,
    /// Maximum resident memory.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub sockets: usize,
    /// Requests to the state service per second.
    pub state_requests: f64,
    /// Changes written to the state service per second.
    pub state_changes: f64,
    /// Requests to other controllers per second.
    pub peer_requests: f64,
    /// Kilobytes exchanged with other controllers per second.
    pub peer_kb: f64,
    /// Rounds of the leader's loop per second.
    pub rounds: f64,
    /// Mean time of a round.
    pub round_ms: f64,
    /// Share of rounds that took over 50 ms.
    pub rounds_over_50_ms: f64,
}

/// Figures of the users of a class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassRow {
    pub name: String,
    pub submitted: u64,
    pub accepted: u64,
    pub done: u64,
    /// Task starts per second, including repeated ones.
    pub starts_per_s: f64,
    /// Times from the first attempt to submit a job to the first start of each task.
    pub start_delay: Times,
    /// Objective for the start delay.
    pub within_s: Option<f64>,
    /// Share of first starts within the objective.
    pub share_within: Option<f64>,
}

/// Messages between workers and controllers, per second and worker.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WorkerRow {
    pub workers: usize,
    pub tasks: usize,
    pub reports: f64,
    pub unanswered: f64,
    pub direct_orders: f64,
    pub sent_bytes: f64,
    pub received_bytes: f64,
    /// Times from sending a heartbeat to its answer.
    pub answer: Times,
}

/// The report of a scale run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ScaleReport {
    pub machines: u32,
    pub controllers: usize,
    pub teams: usize,
    pub seconds: f64,
    pub leader_changed: bool,
    pub starts_per_s: f64,
    pub open_jobs: usize,
    pub polls_per_s: f64,
    pub polls_failed: u64,
    pub submissions_repeated: u64,
    pub submit: Times,
    pub roles: Vec<RoleRow>,
    pub classes: Vec<ClassRow>,
    pub worker: WorkerRow,
    pub processes: usize,
    pub memory_all_mb: f64,
    /// Number of answers to users that were checked against earlier ones, over the whole
    /// run.
    pub answers_checked: u64,
    /// Number of controllers killed over the whole run.
    pub controllers_ended: u32,
    /// Number of copies of direct commands that arrived over the whole run.
    pub command_copies: u64,
    /// Number of agents restarted over the whole run.
    pub agents_restarted: u64,
    /// Descriptions of the invariants violated over the whole run.
    pub rules_broken: Vec<String>,
}

impl ScaleReport {
    /// Returns the report as text for the terminal.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "{} machines, {} controllers, {} teams; measured for {:.0} s on loopback; {} processes, {:.0} MB",
            self.machines,
            self.controllers,
            self.teams,
            self.seconds,
            self.processes,
            self.memory_all_mb
        )?;
        writeln!(
            out,
            "{:.1} starts a second; {} open jobs; {:.0} polls a second, {} failed; submissions repeated {}, accepted in {} ms (99%)",
            self.starts_per_s,
            self.open_jobs,
            self.polls_per_s,
            self.polls_failed,
            self.submissions_repeated,
            self.submit.p99_ms
        )?;
        self.write_roles(out)?;
        self.write_classes(out)?;
        self.write_workers(out)?;
        if self.leader_changed {
            writeln!(
                out,
                "the leader changed while measuring: roles are those at the end"
            )?;
        }
        writeln!(
            out,
            "{} answers to users checked against earlier answers; {} controllers killed, {} agents \
             restarted, {} copies of direct commands",
            self.answers_checked,
            self.controllers_ended,
            self.agents_restarted,
            self.command_copies
        )?;
        for rule in &self.rules_broken {
            writeln!(out, "RULE BROKEN: {rule}")?;
        }
        Ok(())
    }

    fn write_roles(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "\n{:<10} {:<18} {:>6} {:>7} {:>8} {:>7} {:>8} {:>8} {:>7} {:>8} {:>7} {:>8} {:>8}",
            "process",
            "role",
            "cpu %",
            "most %",
            "mem MB",
            "sockets",
            "state/s",
            "change/s",
            "peer/s",
            "peer kB",
            "round/s",
            "round ms",
            ">50ms %"
        )?;
        for r in &self.roles {
            writeln!(
                out,
                "{:<10} {:<18} {:>6.1} {:>7.1} {:>8.1} {:>7} {:>8.1} {:>8.1} {:>7.1} {:>8.1} {:>7.1} {:>8.2} {:>8.2}",
                r.name,
                r.role,
                r.cpu_mean * 100.0,
                r.cpu_largest * 100.0,
                r.memory_mb,
                r.sockets,
                r.state_requests,
                r.state_changes,
                r.peer_requests,
                r.peer_kb,
                r.rounds,
                r.round_ms,
                r.rounds_over_50_ms * 100.0
            )?;
        }
        Ok(())
    }

    fn write_classes(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "\n{:<10} {:>9} {:>9} {:>7} {:>9} {:>10} {:>9} {:>9} {:>10} {:>12}",
            "class",
            "submitted",
            "accepted",
            "done",
            "starts/s",
            "median ms",
            "99% ms",
            "99.9% ms",
            "largest ms",
            "within aim"
        )?;
        for c in &self.classes {
            let objective = match (c.within_s, c.share_within) {
                (Some(s), Some(share)) => format!("{:.2}% in {s} s", share * 100.0),
                _ => "-".into(),
            };
            let delay = &c.start_delay;
            writeln!(
                out,
                "{:<10} {:>9} {:>9} {:>7} {:>9.1} {:>10} {:>9} {:>9} {:>10} {:>12}",
                c.name,
                c.submitted,
                c.accepted,
                c.done,
                c.starts_per_s,
                delay.median_ms,
                delay.p99_ms,
                delay.p999_ms,
                delay.largest_ms,
                objective
            )?;
        }
        Ok(())
    }

    fn write_workers(&self, out: &mut String) -> std::fmt::Result {
        let w = &self.worker;
        writeln!(
            out,
            "\n{} workers, {} tasks on them; each a second: {:.2} reports ({:.4} unanswered), {:.3} direct orders, {:.0} bytes sent, {:.0} received",
            w.workers,
            w.tasks,
            w.reports,
            w.unanswered,
            w.direct_orders,
            w.sent_bytes,
            w.received_bytes
        )?;
        writeln!(
            out,
            "a report's answer: median {} ms, 99% {} ms, 99.9% {} ms, largest {} ms",
            w.answer.median_ms, w.answer.p99_ms, w.answer.p999_ms, w.answer.largest_ms
        )
    }

    /// Returns an error if an invariant was violated.
    pub fn verdict(&self) -> Result<()> {
        ensure!(
            self.rules_broken.is_empty(),
            "{} invariants violated, see RULE BROKEN in the report",
            self.rules_broken.len()
        );
        Ok(())
    }
}
