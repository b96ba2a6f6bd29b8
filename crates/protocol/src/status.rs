//! What operators are told: the state of the whole, and of one job. Lists are
//! bounded, so that an answer always fits a frame.

use serde::{Deserialize, Serialize};

/// Rows of each list.
pub const MOST_ROWS: usize = 100;

/// Why a task is not running. Set by the code that decided so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PendingReason {
    /// Not looked at yet.
    New,
    /// The team may not use more at once.
    TeamLimit,
    /// No machine that is up has room; more were not found worth renting.
    NoRoom,
    /// Room is on its way: a machine boots or is being rented.
    MachineBooting,
    /// More machines are wanted than the cloud gives.
    CloudRefuses,
    /// The gang has not found room for all its tasks yet.
    GangIncomplete,
    /// Tasks of lower priority are stopping to make room.
    RoomBeingMade,
    /// An earlier attempt may still be on a machine.
    OldAttempt,
    /// The leader is new and has not heard every machine.
    Settling,
    /// Its tasks fail wherever they start: the next try is put off.
    FailsEverywhere,
    /// With a neighbouring market, or on its way there.
    Lent,
    /// Other jobs have to be done first. Only seen where every controller
    /// knows of that.
    NeedsOthers,
}

impl PendingReason {
    /// As operators read it.
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

/// How a job stands to its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Due {
    /// No sign that it will miss it.
    InTime,
    /// Waiting tasks would be late even if they started now.
    AtRisk,
    /// It has missed it.
    Late,
}

/// Jobs of one class and team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobGroup {
    /// The class.
    pub class: String,
    /// The team.
    pub team: String,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Age of the job that waits longest, in seconds.
    pub oldest_wait_s: f64,
    /// Waiting tasks by reason.
    pub reasons: Vec<(PendingReason, u32)>,
    /// Jobs past their deadline.
    pub late_jobs: u32,
    /// Jobs that are going to miss it.
    pub at_risk_jobs: u32,
}

/// What a team uses of its quota.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub name: String,
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// Guaranteed CPUs.
    pub cpus_guaranteed: f64,
    /// Guaranteed GPUs.
    pub gpus_guaranteed: f64,
    /// Limit in CPUs; 0 is none.
    pub cpus_max: f64,
    /// Limit in GPUs; 0 is none.
    pub gpus_max: f64,
}

/// Machines of one type, zone and kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineGroup {
    /// The type.
    pub type_name: String,
    /// The zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
    /// Machines that are up.
    pub up: u32,
    /// Machines that are not up yet.
    pub booting: u32,
    /// Machines that are being released.
    pub leaving: u32,
    /// Share of the scarcest resource that is taken, on machines that are up.
    pub load: f64,
}

/// A machine that is not in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineProblem {
    /// The machine.
    pub machine: String,
    /// What is the matter.
    pub why: String,
}

/// A task that failed lately.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskFailure {
    /// The task.
    pub task: String,
    /// Where it failed.
    pub machine: String,
    /// Its exit reason.
    pub why: String,
    /// How many seconds ago.
    pub ago_s: f64,
}

/// A node that is to take over without hearing every machine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StandbyStatus {
    /// The standby's name.
    pub node: String,
    /// It is recorded, and knows all that was started.
    pub warm: bool,
    /// For how long its copy has been whole.
    pub since_s: Option<f64>,
    /// For how long it has owed a confirmation.
    pub owes_s: f64,
    /// Why it is not warm.
    pub why_not: Option<String>,
}

/// The leader's view of the cluster.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The leader's term.
    pub term: u64,
    /// For how many seconds it has led.
    pub since_s: f64,
    /// Every machine was heard from, or its lease has expired.
    pub settled: bool,
    /// Unfinished jobs.
    pub jobs: u32,
    /// Jobs by class and team.
    pub groups: Vec<JobGroup>,
    /// Quotas and their use.
    pub teams: Vec<TeamUsage>,
    /// Machines by kind.
    pub fleet: Vec<MachineGroup>,
    /// Machines that are not in order.
    pub troubles: Vec<MachineProblem>,
    /// Tasks that failed lately, the latest first.
    pub failures: Vec<TaskFailure>,
    /// Jobs with each neighbouring market, or on their way.
    #[serde(default)]
    pub lent: Vec<(String, u32)>,
    /// Who would take over warm.
    #[serde(default)]
    pub standbys: Vec<StandbyStatus>,
    /// How this leader itself took over.
    #[serde(default)]
    pub took_over: String,
}

/// The answer to an operator who asks how things stand.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Who answers.
    pub node: String,
    /// Who leads, as far as the answering node knows.
    pub leader: Option<String>,
    /// How old the cluster state is.
    pub age_s: f64,
    /// What the leader last said.
    #[serde(rename = "picture")]
    pub cluster: Option<ClusterStatus>,
    /// Controllers with the versions that they were seen to run; none: from
    /// before versions were told.
    #[serde(default)]
    pub versions: Vec<(String, Option<String>)>,
    /// All run this version, so that what only it can read may be written.
    #[serde(default)]
    pub upgraded: bool,
    /// Why the answering node last gave up leadership, and how long ago.
    #[serde(default)]
    pub stopped: Option<(String, f64)>,
}

/// One unfinished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// The job's id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// Its state.
    pub state: String,
    /// Its number of tasks.
    pub tasks: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Seconds since its acceptance.
    pub age_s: f64,
    /// Why tasks of it wait.
    pub reason: Option<PendingReason>,
    /// What is held against it, if anything.
    #[serde(default)]
    pub verdict: Option<String>,
    /// How it stands to its deadline.
    pub due: Option<Due>,
    /// Its deadline, in seconds after its submission.
    pub deadline_s: Option<f64>,
    /// Its tasks on machines: task, machine, phase.
    pub places: Vec<(u32, String, String)>,
    /// Seconds until it has to be done, for its own deadline or for that of a
    /// job that needs it.
    #[serde(default)]
    pub left_s: Option<f64>,
    /// Jobs that have to be done first, with how each stands; of many, some.
    #[serde(default)]
    pub needs: Vec<(String, String)>,
    /// How many they are.
    #[serde(default)]
    pub needs_all: u32,
}

/// The answer to an operator who asks about one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Explanation {
    /// It is unfinished.
    Job(Box<JobExplanation>),
    /// Over: its final state and finished tasks.
    Over {
        /// Its final state.
        state: String,
        /// Tasks that were done.
        done: u32,
    },
    /// It was never accepted.
    NoSuchJob,
    /// Nobody who would know can be asked now.
    Unknown(String),
}

fn rows<T>(out: &mut String, list: &[T], head: &str, line: impl Fn(&T) -> String) {
    if list.is_empty() {
        return;
    }
    out.push_str(head);
    out.push('\n');
    for item in list {
        out.push_str("  ");
        out.push_str(&line(item));
        out.push('\n');
    }
    if list.len() >= MOST_ROWS {
        out.push_str("  (more are not shown)\n");
    }
}

fn limit(used: f64, guaranteed: f64, most: f64) -> String {
    let most = match most {
        0.0 => "no limit".to_owned(),
        m => format!("at most {m}"),
    };
    format!("{used} (guaranteed {guaranteed}, {most})")
}

impl Status {
    fn put_stopped(&self, out: &mut String) {
        if let Some((why, ago)) = &self.stopped {
            let node = &self.node;
            out.push_str(&format!("{node} gave up the lead {ago:.0} s ago: {why}\n"));
        }
    }

    /// Nothing while all run the same, as on most days.
    fn put_versions(&self, out: &mut String) {
        let same = self.versions.windows(2).all(|w| w[0].1 == w[1].1);
        if self.upgraded && same {
            return;
        }
        let use_of = match self.upgraded {
            true => "versions",
            false => "versions; records and fields of the newest are not in use yet",
        };
        rows(out, &self.versions, use_of, |(node, version)| {
            let version = version.as_deref().unwrap_or("older, or not seen yet");
            format!("{node}: {version}")
        });
    }

    /// As operators read it.
    pub fn text(&self) -> String {
        let leader = self.leader.as_deref().unwrap_or("nobody");
        let mut out = format!("asked {}; {leader} leads", self.node);
        let Some(p) = &self.cluster else {
            out.push_str("; nothing more is known here\n");
            self.put_stopped(&mut out);
            self.put_versions(&mut out);
            return out;
        };
        let settled = if p.settled { "settled" } else { "settling" };
        out.push_str(&format!(
            ", term {} for {:.0} s, {settled}; picture {:.1} s old; {} jobs\n",
            p.term, p.since_s, self.age_s, p.jobs
        ));
        self.put_stopped(&mut out);
        self.put_versions(&mut out);
        if !p.took_over.is_empty() {
            out.push_str(&format!("took over {}\n", p.took_over));
        }
        rows(&mut out, &p.standbys, "standbys", |s| {
            let owes = match s.owes_s {
                o if o >= 0.1 => format!(", owes a confirmation for {o:.1} s"),
                _ => String::new(),
            };
            match (s.warm, s.since_s, &s.why_not) {
                (true, Some(since), _) => format!("{}: warm for {since:.0} s{owes}", s.node),
                (true, None, _) => format!("{}: warm{owes}", s.node),
                (false, _, Some(why)) => format!("{}: not warm: {why}{owes}", s.node),
                (false, _, None) => format!("{}: not warm{owes}", s.node),
            }
        });
        rows(&mut out, &p.groups, "class, team: tasks", |g| {
            let why: Vec<String> = g
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
                    why.join(", ")
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
        rows(&mut out, &p.teams, "team: use", |t| {
            format!(
                "{}: CPUs {}, GPUs {}",
                t.name,
                limit(t.cpus, t.cpus_guaranteed, t.cpus_max),
                limit(t.gpus, t.gpus_guaranteed, t.gpus_max)
            )
        });
        rows(&mut out, &p.fleet, "machines", |f| {
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
        rows(&mut out, &p.lent, "lent to markets", |(market, jobs)| {
            format!("{market}: {jobs} jobs")
        });
        rows(&mut out, &p.troubles, "not in order", |t| {
            format!("{}: {}", t.machine, t.why)
        });
        rows(&mut out, &p.failures, "failures of tasks", |f| {
            format!(
                "{} on {}, {:.0} s ago: {}",
                f.task, f.machine, f.ago_s, f.why
            )
        });
        out
    }
}

impl JobExplanation {
    /// As operators read it.
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
        rows(&mut out, &self.needs, &needs, |(id, state)| {
            format!("{id}: {state}")
        });
        rows(&mut out, &self.places, "on machines", |(task, m, phase)| {
            format!("{task} on {m}: {phase}")
        });
        out
    }
}
