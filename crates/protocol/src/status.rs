//! Status messages for operators: the state of the whole cluster, and of one job. Lists
//! are bounded, so that a reply always fits a frame.

use serde::{Deserialize, Serialize};

/// Maximum number of rows in each list.
pub const MAX_LIST_ROWS: usize = 100;

/// Reason why a task is not running, set by the code that made the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PendingReason {
    /// The scheduler has not considered the task yet.
    New,
    /// The team has reached its limit.
    TeamLimit,
    /// No machine that is up has room, and renting more machines was not found
    /// worthwhile.
    NoRoom,
    /// Capacity is on its way: a machine is booting or being rented.
    MachineBooting,
    /// The cloud does not grant as many machines as are needed.
    CloudRefuses,
    /// Room for all tasks of the gang has not been found yet.
    GangIncomplete,
    /// Tasks of lower priority are being preempted to make room.
    RoomBeingMade,
    /// An earlier attempt of the task may still be on a machine.
    OldAttempt,
    /// The leader is new and has not received a heartbeat from every machine yet.
    Settling,
    /// The job's tasks fail wherever they start, so that the next start is delayed.
    FailsEverywhere,
    /// The job is offloaded to a neighbouring market, or its offload is in progress.
    Lent,
    /// Other jobs have to be done first. Only used once every controller runs a version
    /// that knows this reason.
    NeedsOthers,
}

impl PendingReason {
    /// Returns the reason as text for operators.
    pub fn text(self) -> &'static str {
        match self {
            PendingReason::New => "not looked at yet",
            PendingReason::TeamLimit => "team limit",
            PendingReason::NoRoom => "no machine has room",
            PendingReason::MachineBooting => "machine booting",
            PendingReason::CloudRefuses => "cloud refuses machines",
            PendingReason::GangIncomplete => "gang incomplete",
            PendingReason::RoomBeingMade => "room being made",
            PendingReason::OldAttempt => "old attempt not surely gone",
            PendingReason::Settling => "controller settling",
            PendingReason::FailsEverywhere => "job fails everywhere",
            PendingReason::Lent => "lent to a neighbouring market",
            PendingReason::NeedsOthers => "other jobs to be done first",
        }
    }
}

/// Prospects of a job with regard to its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Due {
    /// Nothing indicates that the job will miss its deadline.
    InTime,
    /// Waiting tasks would be late even if they started now.
    AtRisk,
    /// The job has missed its deadline.
    Late,
}

/// Summary of the jobs of one class and team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobGroup {
    /// Class of the jobs.
    pub class: String,
    /// Team of the jobs.
    pub team: String,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Age of the job that has waited longest, in seconds.
    pub oldest_wait_s: f64,
    /// Number of waiting tasks by reason.
    pub reasons: Vec<(PendingReason, u32)>,
    /// Number of jobs past their deadline.
    pub late_jobs: u32,
    /// Number of jobs that are expected to miss their deadline.
    pub at_risk_jobs: u32,
}

/// A team's resource usage and quota.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Name of the team.
    pub name: String,
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// Guaranteed CPUs.
    pub cpus_guaranteed: f64,
    /// Guaranteed GPUs.
    pub gpus_guaranteed: f64,
    /// Limit in CPUs; 0 means no limit.
    pub cpus_max: f64,
    /// Limit in GPUs; 0 means no limit.
    pub gpus_max: f64,
}

/// Summary of the machines of one type and zone, either spot or on-demand.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroup {
    /// Name of the machine type.
    pub type_name: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether these are spot machines.
    pub spot: bool,
    /// Number of machines that are up.
    pub up: u32,
    /// Number of machines that are not up yet.
    pub booting: u32,
    /// Number of machines that are being released.
    pub leaving: u32,
    /// Fraction of the scarcest resource that is in use, on machines that are up.
    pub load: f64,
}

/// A machine with a problem.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineProblem {
    /// Name of the machine.
    pub machine: String,
    /// Description of the problem.
    pub why: String,
}

/// A recent task failure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskFailure {
    /// Name of the task.
    pub task: String,
    /// Machine on which the task failed.
    pub machine: String,
    /// Exit reason of the task.
    pub why: String,
    /// Seconds since the failure.
    pub ago_s: f64,
}

/// State of a standby, which may take over without a heartbeat from every machine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StandbyStatus {
    /// Name of the standby.
    pub node: String,
    /// Whether the standby is warm: it is named in the standby registry and knows all
    /// tasks that were started.
    pub warm: bool,
    /// Seconds for which the standby's replica has been complete.
    pub since_s: Option<f64>,
    /// Seconds for which a confirmation by the standby has been outstanding.
    pub owes_s: f64,
    /// Reason why the standby is not warm.
    pub why_not: Option<String>,
}

/// The leader's view of the cluster.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The leader's term.
    pub term: u64,
    /// Seconds for which the leader has led.
    pub since_s: f64,
    /// Whether every machine has sent a heartbeat in this term, or its lease has
    /// expired.
    pub settled: bool,
    /// Number of unfinished jobs.
    pub jobs: u32,
    /// Jobs by class and team.
    pub groups: Vec<JobGroup>,
    /// Resource usage and quotas of the teams.
    pub teams: Vec<TeamUsage>,
    /// Machines by type, zone and kind.
    pub fleet: Vec<MachineGroup>,
    /// Machines with problems.
    pub troubles: Vec<MachineProblem>,
    /// Recent task failures, the latest first.
    pub failures: Vec<TaskFailure>,
    /// Number of jobs offloaded to each neighbouring market, including offloads in
    /// progress.
    #[serde(default)]
    pub lent: Vec<(String, u32)>,
    /// Standbys that could take over.
    #[serde(default)]
    pub standbys: Vec<StandbyStatus>,
    /// How this leader took over.
    #[serde(default)]
    pub took_over: String,
}

/// The reply to an operator's status request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the replying node.
    pub node: String,
    /// Name of the leader, as far as the replying node knows.
    pub leader: Option<String>,
    /// Age of `cluster`, in seconds.
    pub age_s: f64,
    /// The cluster status that the leader last reported.
    #[serde(rename = "picture")]
    pub cluster: Option<ClusterStatus>,
    /// Controllers with the last known versions of their programs; `None` for a program
    /// that is older than the version records, or not seen yet.
    #[serde(default)]
    pub versions: Vec<(String, Option<String>)>,
    /// Whether all controllers run this version, so that data which only this version
    /// can read may be written.
    #[serde(default)]
    pub upgraded: bool,
    /// Why the replying node last gave up leadership, and how many seconds ago.
    #[serde(default)]
    pub stopped: Option<(String, f64)>,
}

/// Details of one unfinished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// Id of the job.
    pub id: String,
    /// Class of the job.
    pub class: String,
    /// Team of the job.
    pub team: String,
    /// State of the job.
    pub state: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Seconds since the job was accepted.
    pub age_s: f64,
    /// Why tasks of the job wait.
    pub reason: Option<PendingReason>,
    /// Description of the job's offload or of its task failures, if it has any.
    #[serde(default)]
    pub verdict: Option<String>,
    /// Prospects of the job with regard to its deadline.
    pub due: Option<Due>,
    /// Deadline of the job, in seconds after its submission.
    pub deadline_s: Option<f64>,
    /// Tasks of the job on machines: task number, machine and phase.
    pub places: Vec<(u32, String, String)>,
    /// Seconds until the job has to be done, to meet its own deadline or that of a job
    /// that depends on it.
    #[serde(default)]
    pub left_s: Option<f64>,
    /// Jobs that have to be done first, each with its state. Long lists are truncated.
    #[serde(default)]
    pub needs: Vec<(String, String)>,
    /// Total number of jobs that have to be done first.
    #[serde(default)]
    pub needs_all: u32,
}

/// The reply to an operator's request about one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Explanation {
    /// The job is unfinished.
    Job(Box<JobExplanation>),
    /// The job has ended.
    Over {
        /// Final state of the job.
        state: String,
        /// Number of completed tasks.
        done: u32,
    },
    /// The job was never accepted.
    NoSuchJob,
    /// The state is unknown, because no node that would know it can be asked now. Holds
    /// the reason.
    Unknown(String),
}

fn write_rows<T>(out: &mut String, list: &[T], heading: &str, line: impl Fn(&T) -> String) {
    if list.is_empty() {
        return;
    }
    out.push_str(heading);
    out.push('\n');
    for item in list {
        out.push_str("  ");
        out.push_str(&line(item));
        out.push('\n');
    }
    if list.len() >= MAX_LIST_ROWS {
        out.push_str("  (more are not shown)\n");
    }
}

fn format_usage(used: f64, guaranteed: f64, limit: f64) -> String {
    let limit_text = match limit {
        0.0 => "no limit".to_owned(),
        maximum => format!("at most {maximum}"),
    };
    format!("{used} (guaranteed {guaranteed}, {limit_text})")
}

impl Status {
    fn write_last_resignation(&self, out: &mut String) {
        if let Some((why, ago)) = &self.stopped {
            let node = &self.node;
            out.push_str(&format!("{node} gave up the lead {ago:.0} s ago: {why}\n"));
        }
    }

    /// Writes the controllers' versions, unless all run the same version, which is the
    /// usual case.
    fn write_versions(&self, out: &mut String) {
        let same_version = self.versions.windows(2).all(|w| w[0].1 == w[1].1);
        if self.upgraded && same_version {
            return;
        }
        let heading = match self.upgraded {
            true => "versions",
            false => "versions; records and fields of the newest are not in use yet",
        };
        write_rows(out, &self.versions, heading, |(node, version)| {
            let version = version.as_deref().unwrap_or("older, or not seen yet");
            format!("{node}: {version}")
        });
    }

    /// Formats the status as text for operators.
    pub fn text(&self) -> String {
        let leader = self.leader.as_deref().unwrap_or("nobody");
        let mut out = format!("asked {}; {leader} leads", self.node);
        let Some(view) = &self.cluster else {
            out.push_str("; nothing more is known here\n");
            self.write_last_resignation(&mut out);
            self.write_versions(&mut out);
            return out;
        };
        let settled = if view.settled { "settled" } else { "settling" };
        out.push_str(&format!(
            ", term {} for {:.0} s, {settled}; picture {:.1} s old; {} jobs\n",
            view.term, view.since_s, self.age_s, view.jobs
        ));
        self.write_last_resignation(&mut out);
        self.write_versions(&mut out);
        if !view.took_over.is_empty() {
            out.push_str(&format!("took over {}\n", view.took_over));
        }
        write_rows(&mut out, &view.standbys, "standbys", |s| {
            let outstanding = match s.owes_s {
                o if o >= 0.1 => format!(", owes a confirmation for {o:.1} s"),
                _ => String::new(),
            };
            match (s.warm, s.since_s, &s.why_not) {
                (true, Some(since), _) => format!("{}: warm for {since:.0} s{outstanding}", s.node),
                (true, None, _) => format!("{}: warm{outstanding}", s.node),
                (false, _, Some(why)) => format!("{}: not warm: {why}{outstanding}", s.node),
                (false, _, None) => format!("{}: not warm{outstanding}", s.node),
            }
        });
        write_rows(&mut out, &view.groups, "class, team: tasks", |g| {
            let reason_texts: Vec<String> = g
                .reasons
                .iter()
                .map(|(r, n)| format!("{n} {}", r.text()))
                .collect();
            let mut line = format!(
                "{}, {}: {} running, {} waiting",
                g.class, g.team, g.running, g.waiting
            );
            if g.waiting > 0 {
                line.push_str(&format!(
                    " (oldest {:.0} s): {}",
                    g.oldest_wait_s,
                    reason_texts.join(", ")
                ));
            }
            if g.late_jobs + g.at_risk_jobs > 0 {
                line.push_str(&format!(
                    "; jobs late {}, at risk {}",
                    g.late_jobs, g.at_risk_jobs
                ));
            }
            line
        });
        write_rows(&mut out, &view.teams, "team: use", |t| {
            format!(
                "{}: CPUs {}, GPUs {}",
                t.name,
                format_usage(t.cpus, t.cpus_guaranteed, t.cpus_max),
                format_usage(t.gpus, t.gpus_guaranteed, t.gpus_max)
            )
        });
        write_rows(&mut out, &view.fleet, "machines", |f| {
            format!(
                "{}, {}, {}: {} up at {:.0}% load, {} booting, {} leaving",
                f.type_name,
                f.zone,
                if f.spot { "spot" } else { "ordinary" },
                f.up,
                f.load * 100.0,
                f.booting,
                f.leaving
            )
        });
        write_rows(&mut out, &view.lent, "lent to markets", |(market, jobs)| {
            format!("{market}: {jobs} jobs")
        });
        write_rows(&mut out, &view.troubles, "not in order", |t| {
            format!("{}: {}", t.machine, t.why)
        });
        write_rows(&mut out, &view.failures, "failures of tasks", |f| {
            format!(
                "{} on {}, {:.0} s ago: {}",
                f.task, f.machine, f.ago_s, f.why
            )
        });
        out
    }
}

impl JobExplanation {
    /// Formats the explanation as text for operators.
    pub fn text(&self) -> String {
        let mut out = format!(
            "{} ({}, {}): {}, {} of {} tasks done, {} running, {} waiting; {:.0} s old\n",
            self.id,
            self.class,
            self.team,
            self.state,
            self.done,
            self.tasks,
            self.running,
            self.waiting,
            self.age_s
        );
        if let Some(r) = self.reason {
            out.push_str(&format!("waits: {}\n", r.text()));
        }
        if let Some(verdict) = &self.verdict {
            out.push_str(verdict);
            out.push('\n');
        }
        if let Some(due) = self.due {
            let due = match due {
                Due::InTime => "in time so far",
                Due::AtRisk => "at risk",
                Due::Late => "late",
            };
            if let Some(at) = self.deadline_s {
                out.push_str(&format!("deadline {at:.0} s after submission\n"));
            }
            let left = self.left_s.unwrap_or_default();
            out.push_str(&format!("has to be done in {left:.0} s: {due}\n"));
        }
        let needs = format!("waits for {} jobs", self.needs_all);
        write_rows(&mut out, &self.needs, &needs, |(id, state)| {
            format!("{id}: {state}")
        });
        write_rows(&mut out, &self.places, "on machines", |(task, m, phase)| {
            format!("{task} on {m}: {phase}")
        });
        out
    }
}
