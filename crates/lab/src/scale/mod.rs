//! `pathwinch-lab scale`: runs real controllers against the machines and the load of a
//! plan, with all workers and users in this process; measures the resource usage of each
//! role and reports it.

pub mod history;
pub mod measure;
pub mod plan;
pub mod report;
pub mod users;

use crate::{
    base::PreparedTestbed, children::Children, installation::Testbed, traffic::Traffic, up,
};
use anyhow::{Result, ensure};
use async_io::Timer;
use futures_lite::future;
use measure::{Counters, Usage};
use plan::Plan;
use report::{ClassRow, RoleRow, ScaleReport, Times, WorkerRow};
use std::{
    cell::Cell,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};
use users::Users;

/// Interval at which the resource usage of the processes is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which task starts are taken from the object store.
const STARTS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two lines of progress, in seconds.
const PROGRESS_INTERVAL_S: u64 = 10;
const MEGABYTE: f64 = 1_000_000.0;

/// Runs the plan with the controller program `program` and returns the report. The
/// settings and logs of the controllers go to `dir`.
pub fn run(plan: Plan, program: &Path, dir: &Path) -> Result<ScaleReport> {
    let base = PreparedTestbed::new(plan.site(), dir)?;
    let testbed = base.testbed.clone();
    let children = Children::new(dir.to_owned(), base.programs(program));
    let users = Users::new(testbed.clone(), plan.clone());
    let run = ScaleRun {
        testbed: testbed.clone(),
        children: &children,
        users,
        controllers_killed: Cell::new(0),
        plan,
    };
    async_io::block_on(testbed.executor.run(async {
        base.serve();
        let measured = run.measure();
        let faults = async {
            run.kill_controllers().await;
            future::pending::<()>().await;
            unreachable!("never completes")
        };
        let supervision = async {
            children.supervise().await;
            future::pending::<()>().await;
            unreachable!("never completes")
        };
        future::or(measured, future::or(faults, supervision)).await
    }))
}

struct ScaleRun<'a> {
    testbed: Rc<Testbed>,
    children: &'a Children,
    users: Rc<Users>,
    plan: Plan,
    /// Number of controllers killed so far.
    controllers_killed: Cell<u32>,
}

/// Samples of the resource usage of one process while measuring.
#[derive(Debug, Clone, Default)]
struct ProcessSamples {
    before: Usage,
    last: Usage,
    max_cpu: f64,
    max_memory: u64,
    max_sockets: usize,
    /// Whether the process was replaced while measuring.
    restarted: bool,
}

impl ProcessSamples {
    fn begin(usage: Usage) -> Self {
        ProcessSamples {
            before: usage,
            last: usage,
            max_memory: usage.memory_bytes,
            max_sockets: usage.sockets,
            ..ProcessSamples::default()
        }
    }

    /// Adds a sample taken `seconds` after the last one.
    fn add_sample(&mut self, usage: Usage, seconds: f64) {
        let increase = usage.cpu_s - self.last.cpu_s;
        self.restarted |= increase < 0.0;
        self.max_cpu = self.max_cpu.max(increase / seconds);
        self.max_memory = self.max_memory.max(usage.memory_bytes);
        self.max_sockets = self.max_sockets.max(usage.sockets);
        self.last = usage;
    }

    fn row(&self, name: &str, role: &'static str, seconds: f64) -> RoleRow {
        RoleRow {
            name: name.to_owned(),
            role,
            cpu_mean: (self.last.cpu_s - self.before.cpu_s) / seconds,
            cpu_largest: self.max_cpu,
            memory_mb: self.max_memory as f64 / MEGABYTE,
            sockets: self.max_sockets,
            ..RoleRow::default()
        }
    }
}

impl ScaleRun<'_> {
    /// Starts the load, waits for the warm-up, measures and builds the report.
    async fn measure(&self) -> Result<ScaleReport> {
        up::until_ready(&self.testbed).await;
        self.testbed.object_store.borrow_mut().take_starts();
        self.users.start();
        self.testbed
            .executor
            .spawn_high(forward_starts(self.users.clone(), self.testbed.clone()))
            .detach();
        self.warm_up().await?;
        let counters = self.counters().await;
        let status = measure::status(&self.testbed).await;
        let leader_before = status.and_then(|s| s.leader);
        self.testbed.traffic.replace(Traffic::default());
        self.users.take_figures();
        let started_at = Instant::now();
        let samples = self.sample_while_measuring().await?;
        let seconds = started_at.elapsed().as_secs_f64();
        let mut report = self.report(seconds);
        let status = measure::status(&self.testbed).await.unwrap_or_default();
        report.leader_changed = leader_before != status.leader;
        report.roles = self.role_rows(&samples, seconds, &status);
        self.add_counters(&mut report.roles, &counters, seconds)
            .await;
        report.processes = samples.len();
        let memory: u64 = samples.iter().map(|process| process.max_memory).sum();
        report.memory_all_mb = memory as f64 / MEGABYTE;
        Ok(report)
    }

    /// Kills a controller at the plan's interval: the leader and a random one in turn.
    async fn kill_controllers(&self) {
        let interval_s = self.plan.faults.controller_ends_every_s;
        if interval_s <= 0.0 {
            return;
        }
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        loop {
            Timer::after(Duration::from_secs_f64(interval_s)).await;
            let count = self.testbed.controllers.len();
            let leader = measure::status(&self.testbed).await.and_then(|s| s.leader);
            let is_leader = |name: &str| leader.as_deref() == Some(name);
            let leader_index = (self.testbed.controllers.iter())
                .position(|controller| is_leader(&controller.name));
            let leader_index =
                leader_index.filter(|_| self.controllers_killed.get().is_multiple_of(2));
            let index = leader_index.unwrap_or_else(|| rng.usize(..count));
            eprintln!(
                "killing controller {}",
                self.testbed.controllers[index].name
            );
            self.children.kill_process(index);
            self.controllers_killed
                .set(self.controllers_killed.get() + 1);
        }
    }

    async fn warm_up(&self) -> Result<()> {
        let end = Instant::now() + Duration::from_secs_f64(self.plan.warm_up_s);
        let mut last_progress = Instant::now();
        while Instant::now() < end {
            Timer::after(SAMPLE_INTERVAL).await;
            self.sample_all()?;
            if last_progress.elapsed().as_secs() >= PROGRESS_INTERVAL_S {
                last_progress = Instant::now();
                self.show_progress("warming up");
            }
        }
        Ok(())
    }

    fn show_progress(&self, what: &str) {
        eprintln!(
            "{what}: {:.0} s, {} machines, {} tasks on them, {} open jobs",
            self.testbed.now() as f64 / 1000.0,
            self.testbed.cloud.borrow().machine_count(),
            self.testbed.object_store.borrow().tasks_on_machines(),
            self.users.open_jobs(),
        );
    }

    /// Samples the controllers in their order, and this process last. Fails if they use
    /// more memory than the plan allows.
    fn sample_all(&self) -> Result<Vec<Usage>> {
        let mut usages = Vec::new();
        for id in self.children.process_ids() {
            // A process that is not running counts as zero.
            let usage = id.and_then(|id| measure::usage(id).ok());
            usages.push(usage.unwrap_or_default());
        }
        usages.push(measure::usage(std::process::id())?);
        let memory: u64 = usages.iter().map(|u| u.memory_bytes).sum();
        let memory_limit = self.plan.most_memory_gb * 1e9;
        ensure!(
            (memory as f64) < memory_limit,
            "most_memory_gb: all processes together use {:.1} GB, more than the plan allows",
            memory as f64 / 1e9
        );
        Ok(usages)
    }

    /// Samples all processes for the time to be measured.
    async fn sample_while_measuring(&self) -> Result<Vec<ProcessSamples>> {
        let first = self.sample_all()?;
        let mut samples: Vec<ProcessSamples> =
            first.into_iter().map(ProcessSamples::begin).collect();
        let end = Instant::now() + Duration::from_secs_f64(self.plan.measure_s);
        let (mut last, mut last_progress) = (Instant::now(), Instant::now());
        while Instant::now() < end {
            Timer::after(SAMPLE_INTERVAL).await;
            let seconds = last.elapsed().as_secs_f64();
            last = Instant::now();
            for (process, usage) in samples.iter_mut().zip(self.sample_all()?) {
                process.add_sample(usage, seconds);
            }
            let now = self.testbed.now();
            let mut object_store = self.testbed.object_store.borrow_mut();
            object_store.check_cancelled_tasks(now);
            drop(object_store);
            if last_progress.elapsed().as_secs() >= PROGRESS_INTERVAL_S {
                last_progress = Instant::now();
                self.show_progress("measuring");
            }
        }
        Ok(samples)
    }

    async fn counters(&self) -> Vec<Option<Counters>> {
        let mut all = Vec::new();
        for controller in &self.testbed.controllers {
            all.push(measure::counters(&self.testbed, controller).await);
        }
        all
    }

    /// Builds the report's rows of the processes, with their roles at the end.
    fn role_rows(
        &self,
        samples: &[ProcessSamples],
        seconds: f64,
        status: &pathwinch_protocol::status::Status,
    ) -> Vec<RoleRow> {
        let standbys = status.cluster.iter().flat_map(|p| &p.standbys);
        let warm: Vec<&str> = standbys
            .filter(|s| s.warm)
            .map(|s| s.node.as_str())
            .collect();
        let role_of = |name: &str| match name {
            _ if status.leader.as_deref() == Some(name) => "leader",
            _ if warm.contains(&name) => "standby",
            _ => "follower",
        };
        let mut rows: Vec<RoleRow> = self
            .testbed
            .controllers
            .iter()
            .zip(samples)
            .map(|(c, process)| process.row(&c.name, role_of(&c.name), seconds))
            .collect();
        if let Some(own_samples) = samples.get(rows.len()) {
            rows.push(own_samples.row("lab", "load and stand-ins", seconds));
        }
        rows
    }

    /// Adds the increase of the controllers' counters to their rows.
    async fn add_counters(&self, rows: &mut [RoleRow], before: &[Option<Counters>], seconds: f64) {
        let after = self.counters().await;
        for ((row, before), after) in rows.iter_mut().zip(before).zip(after) {
            let (Some(before), Some(after)) = (before, after) else {
                continue;
            };
            let increase = after.since(before);
            row.state_requests = increase.state_requests / seconds;
            row.state_changes = increase.state_changes / seconds;
            row.peer_requests = increase.peer_requests / seconds;
            row.peer_kb = increase.peer_bytes / 1000.0 / seconds;
            row.rounds = increase.rounds / seconds;
            if increase.rounds > 0.0 {
                row.round_ms = 1000.0 * increase.round_seconds / increase.rounds;
                row.rounds_over_50_ms = 1.0 - increase.rounds_within_50_ms / increase.rounds;
            }
        }
    }

    fn report(&self, seconds: f64) -> ScaleReport {
        let figures = self.users.take_figures();
        let classes: Vec<ClassRow> = self
            .plan
            .class
            .iter()
            .zip(&figures.classes)
            .map(|(class, figures_of_class)| class_row(class, figures_of_class, seconds))
            .collect();
        ScaleReport {
            machines: self.plan.site_machines(),
            controllers: self.plan.controllers,
            teams: self.plan.teams,
            seconds,
            starts_per_s: classes
                .iter()
                .map(|controller| controller.starts_per_s)
                .sum(),
            open_jobs: self.users.open_jobs(),
            polls_per_s: figures.polls as f64 / seconds,
            polls_failed: figures.polls_failed,
            submissions_repeated: figures.submissions_repeated,
            submit: Times::of(&figures.submit_times),
            classes,
            worker: self.worker_row(seconds),
            answers_checked: self.users.answers_checked(),
            controllers_ended: self.controllers_killed.get(),
            command_copies: self.testbed.faults.copies.get(),
            agents_restarted: self.testbed.faults.restarts.get(),
            rules_broken: self.rules_broken(),
            ..ScaleReport::default()
        }
    }

    fn rules_broken(&self) -> Vec<String> {
        let mut broken = self.testbed.object_store.borrow().violations().to_vec();
        broken.extend(self.users.answer_violations());
        broken
    }

    fn worker_row(&self, seconds: f64) -> WorkerRow {
        let traffic = self.testbed.traffic.borrow();
        let workers = self
            .testbed
            .cloud
            .borrow()
            .booted_machines(self.testbed.now())
            .len();
        let each = |count: u64| count as f64 / seconds / workers.max(1) as f64;
        WorkerRow {
            workers,
            tasks: self.testbed.object_store.borrow().tasks_on_machines(),
            reports: each(traffic.reports),
            unanswered: each(traffic.unanswered),
            direct_orders: each(traffic.direct_orders),
            sent_bytes: each(traffic.bytes_sent),
            received_bytes: each(traffic.bytes_received),
            answer: Times::of(&traffic.answer_times),
        }
    }
}

fn class_row(
    class: &plan::Class,
    figures_of_class: &users::ClassFigures,
    seconds: f64,
) -> ClassRow {
    let delays = &figures_of_class.start_delays;
    let share = class.within_s.filter(|_| !delays.is_empty()).map(|s| {
        let within_ms = (s * 1000.0) as u64;
        delays.count_between(0, within_ms) as f64 / delays.len() as f64
    });
    ClassRow {
        name: class.name.clone(),
        submitted: figures_of_class.submitted,
        accepted: figures_of_class.accepted,
        done: figures_of_class.done,
        starts_per_s: figures_of_class.starts as f64 / seconds,
        start_delay: Times::of(delays),
        within_s: class.within_s,
        share_within: share,
    }
}

/// Passes the task starts in the object store on to the users periodically. Never
/// returns.
async fn forward_starts(users: Rc<Users>, testbed: Rc<Testbed>) {
    loop {
        let starts = testbed.object_store.borrow_mut().take_starts();
        users.record_starts(starts);
        Timer::after(STARTS_INTERVAL).await;
    }
}
