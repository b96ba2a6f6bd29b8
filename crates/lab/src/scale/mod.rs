//! `pathwinch-testbed scale`: real controllers with a plan's fleet of workers in
//! this process and its load; measures what each role spends, and ends.

pub mod history;
pub mod measure;
pub mod plan;
pub mod report;
pub mod users;

use crate::{base::Base, children::Children, installation::Testbed, traffic::Traffic, up};
use anyhow::{Result, ensure};
use async_io::Timer;
use futures_lite::future;
use measure::{Counters, Usage};
use plan::Plan;
use report::{ClassRow, Heartbeat, RoleRow, Times, WorkerRow};
use std::{
    cell::Cell,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};
use users::Users;

/// Between two looks at the processes.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Between two times that starts are taken from the workers.
const STARTS_INTERVAL: Duration = Duration::from_millis(100);
/// Between two lines of progress.
const PROGRESS_INTERVAL_S: u64 = 10;
const MEGABYTE: f64 = 1_000_000.0;

/// Runs the plan. The controllers' settings and logs go to `dir`.
pub fn run(plan: Plan, program: &Path, dir: &Path) -> Result<Heartbeat> {
    let base = Base::new(plan.site(), dir)?;
    let testbed = base.testbed.clone();
    let children = Children::new(dir.to_owned(), base.programs(program));
    let users = Users::new(testbed.clone(), plan.clone());
    let run = Run {
        testbed: testbed.clone(),
        children: &children,
        users,
        ended: Cell::new(0),
        plan,
    };
    async_io::block_on(testbed.executor.run(async {
        base.serve();
        let measured = run.measure();
        let faulty = async {
            run.end_controllers().await;
            future::pending::<()>().await;
            unreachable!("never completes")
        };
        let kept_up = async {
            children.keep_up().await;
            future::pending::<()>().await;
            unreachable!("never completes")
        };
        future::or(measured, future::or(faulty, kept_up)).await
    }))
}

struct Run<'a> {
    testbed: Rc<Testbed>,
    children: &'a Children,
    users: Rc<Users>,
    plan: Plan,
    /// Controllers that were ended.
    ended: Cell<u32>,
}

/// Looks at one process over the time measured.
#[derive(Debug, Clone, Default)]
struct Watched {
    before: Usage,
    last: Usage,
    largest_cpu: f64,
    largest_memory: u64,
    largest_sockets: usize,
    restarted: bool,
}

impl Watched {
    fn begin(usage: Usage) -> Self {
        Watched {
            before: usage,
            last: usage,
            largest_memory: usage.memory_bytes,
            largest_sockets: usage.sockets,
            ..Watched::default()
        }
    }

    fn look(&mut self, usage: Usage, seconds: f64) {
        let spent = usage.cpu_s - self.last.cpu_s;
        self.restarted |= spent < 0.0;
        self.largest_cpu = self.largest_cpu.max(spent / seconds);
        self.largest_memory = self.largest_memory.max(usage.memory_bytes);
        self.largest_sockets = self.largest_sockets.max(usage.sockets);
        self.last = usage;
    }

    fn row(&self, name: &str, role: &'static str, seconds: f64) -> RoleRow {
        RoleRow {
            name: name.to_owned(),
            role,
            cpu_mean: (self.last.cpu_s - self.before.cpu_s) / seconds,
            cpu_largest: self.largest_cpu,
            memory_mb: self.largest_memory as f64 / MEGABYTE,
            sockets: self.largest_sockets,
            ..RoleRow::default()
        }
    }
}

impl Run<'_> {
    async fn measure(&self) -> Result<Heartbeat> {
        up::until_ready(&self.testbed).await;
        self.testbed.object_store.borrow_mut().take_starts();
        self.users.begin();
        self.testbed
            .executor
            .spawn_high(note_starts(self.users.clone(), self.testbed.clone()))
            .detach();
        self.warm_up().await?;
        let counters = self.counters().await;
        let status = measure::status(&self.testbed).await;
        let leader_before = status.and_then(|s| s.leader);
        self.testbed.traffic.replace(Traffic::default());
        self.users.take_figures();
        let begun = Instant::now();
        let watched = self.watch().await?;
        let seconds = begun.elapsed().as_secs_f64();
        let mut report = self.report(seconds);
        let status = measure::status(&self.testbed).await.unwrap_or_default();
        report.leader_changed = leader_before != status.leader;
        report.roles = self.role_rows(&watched, seconds, &status);
        self.add_counters(&mut report.roles, &counters, seconds)
            .await;
        report.processes = watched.len();
        let memory: u64 = watched.iter().map(|w| w.largest_memory).sum();
        report.memory_all_mb = memory as f64 / MEGABYTE;
        Ok(report)
    }

    /// Ends the leader and another controller in turn, as the plan says.
    async fn end_controllers(&self) {
        let every = self.plan.faults.controller_ends_every_s;
        if every <= 0.0 {
            return;
        }
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        loop {
            Timer::after(Duration::from_secs_f64(every)).await;
            let count = self.testbed.controllers.len();
            let leader = measure::status(&self.testbed).await.and_then(|s| s.leader);
            let is_leader = |name: &str| leader.as_deref() == Some(name);
            let leads = (self.testbed.controllers.iter()).position(|c| is_leader(&c.name));
            let leads = leads.filter(|_| self.ended.get().is_multiple_of(2));
            let index = leads.unwrap_or_else(|| rng.usize(..count));
            eprintln!("{} ends", self.testbed.controllers[index].name);
            self.children.kill_process(index);
            self.ended.set(self.ended.get() + 1);
        }
    }

    async fn warm_up(&self) -> Result<()> {
        let end = Instant::now() + Duration::from_secs_f64(self.plan.warm_up_s);
        let mut shown = Instant::now();
        while Instant::now() < end {
            Timer::after(SAMPLE_INTERVAL).await;
            self.look_at_all()?;
            if shown.elapsed().as_secs() >= PROGRESS_INTERVAL_S {
                shown = Instant::now();
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
            self.testbed.object_store.borrow().on_machines(),
            self.users.open_jobs(),
        );
    }

    /// The controllers' processes in their order, and this one last.
    fn look_at_all(&self) -> Result<Vec<Usage>> {
        let mut usages = Vec::new();
        for id in self.children.process_ids() {
            // A process that ends meanwhile shows nothing.
            let usage = id.and_then(|id| measure::usage(id).ok());
            usages.push(usage.unwrap_or_default());
        }
        usages.push(measure::usage(std::process::id())?);
        let memory: u64 = usages.iter().map(|u| u.memory_bytes).sum();
        let most = self.plan.most_memory_gb * 1e9;
        ensure!(
            (memory as f64) < most,
            "most_memory_gb: the run holds {:.1} GB, more than the plan allows",
            memory as f64 / 1e9
        );
        Ok(usages)
    }

    async fn watch(&self) -> Result<Vec<Watched>> {
        let first = self.look_at_all()?;
        let mut watched: Vec<Watched> = first.into_iter().map(Watched::begin).collect();
        let end = Instant::now() + Duration::from_secs_f64(self.plan.measure_s);
        let (mut last, mut shown) = (Instant::now(), Instant::now());
        while Instant::now() < end {
            Timer::after(SAMPLE_INTERVAL).await;
            let seconds = last.elapsed().as_secs_f64();
            last = Instant::now();
            for (w, usage) in watched.iter_mut().zip(self.look_at_all()?) {
                w.look(usage, seconds);
            }
            if shown.elapsed().as_secs() >= PROGRESS_INTERVAL_S {
                shown = Instant::now();
                self.show_progress("measuring");
            }
        }
        Ok(watched)
    }

    async fn counters(&self) -> Vec<Option<Counters>> {
        let mut all = Vec::new();
        for controller in &self.testbed.controllers {
            all.push(measure::counters(&self.testbed, controller).await);
        }
        all
    }

    fn role_rows(
        &self,
        watched: &[Watched],
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
            .zip(watched)
            .map(|(c, w)| w.row(&c.name, role_of(&c.name), seconds))
            .collect();
        if let Some(own) = watched.get(rows.len()) {
            rows.push(own.row("lab", "load and stand-ins", seconds));
        }
        rows
    }

    async fn add_counters(&self, rows: &mut [RoleRow], before: &[Option<Counters>], seconds: f64) {
        let after = self.counters().await;
        for ((row, before), after) in rows.iter_mut().zip(before).zip(after) {
            let (Some(before), Some(after)) = (before, after) else {
                continue;
            };
            let spent = after.since(before);
            row.state_requests = spent.state_requests / seconds;
            row.state_changes = spent.state_changes / seconds;
            row.peer_requests = spent.peer_requests / seconds;
            row.peer_kb = spent.peer_bytes / 1000.0 / seconds;
            row.rounds = spent.rounds / seconds;
            if spent.rounds > 0.0 {
                row.round_ms = 1000.0 * spent.round_seconds / spent.rounds;
                row.rounds_over_50_ms = 1.0 - spent.rounds_within_50_ms / spent.rounds;
            }
        }
    }

    fn report(&self, seconds: f64) -> Heartbeat {
        let figures = self.users.take_figures();
        let classes: Vec<ClassRow> = self
            .plan
            .class
            .iter()
            .zip(&figures.classes)
            .map(|(class, seen)| class_row(class, seen, seconds))
            .collect();
        Heartbeat {
            machines: self.plan.site_machines(),
            controllers: self.plan.controllers,
            teams: self.plan.teams,
            seconds,
            starts_per_s: classes.iter().map(|c| c.starts_per_s).sum(),
            open_jobs: self.users.open_jobs(),
            polls_per_s: figures.polls as f64 / seconds,
            polls_failed: figures.polls_failed,
            submissions_repeated: figures.submissions_repeated,
            submit: Times::of(&figures.submit_times),
            classes,
            worker: self.worker_row(seconds),
            answers_checked: self.users.answers_checked(),
            controllers_ended: self.ended.get(),
            rules_broken: self.rules_broken(),
            ..Heartbeat::default()
        }
    }

    fn rules_broken(&self) -> Vec<String> {
        let mut broken = self.testbed.object_store.borrow().violations().to_vec();
        broken.extend(self.users.rules_broken());
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
            tasks: self.testbed.object_store.borrow().on_machines(),
            reports: each(traffic.reports),
            unanswered: each(traffic.unanswered),
            direct_orders: each(traffic.direct_orders),
            sent_bytes: each(traffic.bytes_sent),
            received_bytes: each(traffic.bytes_received),
            answer: Times::of(&traffic.answer_times),
        }
    }
}

fn class_row(class: &plan::Class, seen: &users::ClassFigures, seconds: f64) -> ClassRow {
    let delays = &seen.start_delays;
    let share = class.within_s.filter(|_| !delays.is_empty()).map(|s| {
        let within = (s * 1000.0) as u64;
        delays.count_between(0, within) as f64 / delays.len() as f64
    });
    ClassRow {
        name: class.name.clone(),
        submitted: seen.submitted,
        accepted: seen.accepted,
        done: seen.done,
        starts_per_s: seen.starts as f64 / seconds,
        start_delay: Times::of(delays),
        within_s: class.within_s,
        share_within: share,
    }
}

/// Hands what workers start to the users, again and again.
async fn note_starts(users: Rc<Users>, testbed: Rc<Testbed>) {
    loop {
        let starts = testbed.object_store.borrow_mut().take_starts();
        users.note_starts(starts);
        Timer::after(STARTS_INTERVAL).await;
    }
}
