//! The leader of one term: binds the cluster state, placement, dispatch and
//! provisioning. It is told of events and asked for what to do next.

mod dependencies;
mod expiry;
mod failover;
mod faults;
mod fleet_view;
mod gang_reservation;
mod headroom;
mod inventory;
mod offload;
mod partitions;
mod parts;
mod persistence;
mod preemption;
mod queue;
mod quotas;
mod recovery;
mod scale_out;
mod scheduling_cycle;
mod spec_chunks;
mod status;
mod task_placement;
mod victims;
mod zone_health;

pub use persistence::{WriteIntent, WritePlan};

use super::{
    placement::{
        self, Policy,
        fleet::{Choice, Fleet, MachineView, RankingId, Request},
    },
    polls::FinalStates,
    provision::{self, Bin, Demand, Offer},
    reconciliation::{self, StatusSource},
    safety_bounds::SafetyBounds,
    standby::Standbys,
};
use crate::{
    options::{LoadResource, Options},
    protocol::{
        cloud::{
            ListedMachine, ListedState, MAX_MACHINES_PER_REQUEST, MachineRequest, MachineType,
        },
        settings::{Objective, Settings},
        state::Txn,
        status::Reason,
        users::{JobSpec, JobState, JobStatus, Kind, Priority},
        workers::{Command, DirectCommands, ExitReason, Heartbeat, HeartbeatResponse},
    },
    state::{
        Millis,
        cluster::{
            Assignment, ClusterState, DIRECT_COMMAND_TIMEOUT_MS, Job, Machine, NO_JOB, NewJob,
            NewMachine, Phase, Placement, Registration,
        },
        dependencies::{DependencyGraph, Readiness},
        fault_attribution::{JobFailures, MachineFailures},
        offload::OffloadState,
        records::{JobRecord, MachineRecord, TaskBitmap, machine_key, segment_key},
        resources::Resources,
    },
};
use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

/// Bits of a token below the term: fences raised for one machine.
const MACHINE_TOKEN_BITS: u32 = 20;
/// Taken on top of twice the lag of the machine list.
const LIST_MARGIN_MS: Millis = 1_000;
/// How long a kind of machine that was refused is not asked for again.
const CLOUD_REFUSAL_MS: Millis = 10_000;
/// Over how long arrivals are counted, and for how long ahead an idle machine
/// is kept for them.
const ARRIVAL_WINDOW_MS: Millis = 180_000;
const KEEP_IDLE_MS: Millis = 25_000;
/// How long room made for a job is kept for it.
const RESERVATION_MS: Millis = 8_000;
/// How long a worker may take to find a new leader: a report that times out
/// and a pause.
const WORKER_REDIRECT_MS: Millis = 5_000;
/// A machine that has been overdue for no longer than this may just be late:
/// nothing is rented in its place.
const LATE_HEARTBEAT_MS: Millis = 2_000;
/// How long places are kept for services that move.
const SERVICE_MOVE_MS: Millis = 5_000;
/// A machine costs at least a minute.
const MIN_CHARGE_MS: Millis = 57_000;
/// A start stopped sooner than this would not have been worth making.
const MIN_USEFUL_RUN_MS: Millis = 30_000;
/// A fetch that a service may be moved for. Longer ones cost more of its
/// replica time than the machine is worth (tried without this bound).
const SHORT_FETCH_S: f64 = 4.0;

fn millis(s: f64) -> Millis {
    (s.max(0.0) * 1000.0) as Millis
}

#[derive(Debug, Clone)]
pub enum CloudOp {
    MachineRequest(MachineRequest),
    Release(Vec<String>),
}

#[derive(Debug, Clone)]
pub struct DirectDelivery {
    pub machine: String,
    pub addr: SocketAddr,
    pub commands: DirectCommands,
}

/// How a direct command came out.
pub enum DirectDeliveryOutcome {
    Executed(Heartbeat),
    Refused(Option<Heartbeat>),
    NotSent,
    NoAnswer,
}

use headroom::Headroom;
pub use persistence::acceptance_with_feed_entry;
pub use status::Tally;

pub struct Leader {
    settings: Rc<Settings>,
    options: Options,
    /// The cluster state: jobs, machines, and what is or may be on them.
    pub cluster: ClusterState,
    pub term: u64,
    /// Final states told or learned; they outlast the term.
    pub final_states: FinalStates,
    /// Which jobs wait for which.
    dependencies: DependencyGraph,
    /// Descriptions that are being cut.
    spec_uploads: spec_chunks::SpecUploads,
    /// Something changed since placement was last tried.
    changed: bool,
    wall_ms: u64,
    recovery: recovery::Recovery,
    scheduling: parts::Scheduling,
    scaling: parts::Scaling,
    write_queue: parts::WriteQueue,
    events: parts::Events,
    standbys: Standbys,
}

impl Leader {
    pub fn new(
        settings: Rc<Settings>,
        options: Options,
        types: Vec<MachineType>,
        term: u64,
        now: Millis,
    ) -> Self {
        let model = ClusterState::new(&settings, types);
        let zones = model.zones.len();
        let peers = settings.peers.iter();
        let peers = peers.map(|p| (p.name.clone(), p.zone != settings.zone));
        let report = millis(settings.cluster.workers.report_s);
        let standbys = Standbys::new(term, options.warm, peers);
        let policy = Policy {
            threshold: options.threshold,
            load: options.load,
            shapes: options.shapes.iter().map(Policy::shape).collect(),
        };
        Leader {
            settings,
            options,
            cluster: model,
            term,
            final_states: FinalStates::default(),
            dependencies: DependencyGraph::default(),
            spec_uploads: spec_chunks::SpecUploads::default(),
            changed: true,
            wall_ms: 0,
            recovery: recovery::Recovery::started(now, report),
            scheduling: parts::Scheduling::new(policy),
            // Workers need some time to find a new leader.
            scaling: parts::Scaling::new(vec![
                zone_health::ZoneHealth::since(
                    now + WORKER_REDIRECT_MS
                );
                zones
            ]),
            write_queue: parts::WriteQueue::default(),
            events: parts::Events::default(),
            standbys,
        }
    }

    fn term_token(&self) -> u64 {
        self.term << MACHINE_TOKEN_BITS
    }

    fn fencing_token(&self, ix: u32) -> u64 {
        self.term_token() | self.cluster.machine(ix).map_or(0, |m| m.token_epoch)
    }

    fn lease_expiry(&self) -> Millis {
        SafetyBounds::of(&self.settings.cluster.workers).lease_expiry()
    }

    /// Jobs and machine registry have been read.
    pub fn loaded(&self) -> bool {
        self.recovery.loaded
    }

    pub fn settled(&self) -> bool {
        self.recovery.settled
    }

    pub fn load_job(&mut self, record: JobRecord, version: u64, now: Millis) -> u32 {
        let mut done = TaskBitmap::with_len(record.spec.tasks);
        done.load(0, &record.completed);
        self.learn_shape(&record.spec);
        self.changed = true;
        let (at_ms, suspected) = (record.accepted_at_ms, record.suspected);
        let pieces = record.spec_chunks;
        let away = OffloadState::recorded(record.offloaded_to);
        let new = NewJob {
            spec: record.spec,
            accepted_at_ms: at_ms,
            record_version: version,
            completed: done,
            cancelled: record.cancelled,
        };
        let ix = self.cluster.insert_job(new, now);
        if let Some(j) = self.cluster.job_mut(ix) {
            j.accepted_this_term |= version > self.term;
            if j.record_version == version {
                j.spec_chunks = pieces;
            }
            if !away.is_local() && j.record_version == version {
                j.offload = away;
                j.reason = Reason::Lent;
            }
            if suspected && !j.failures.has_succeeded && !j.failures.suspected {
                j.failures = JobFailures::inherited_suspicion(now);
            }
        }
        self.link(ix);
        let age = self.wall_ms.saturating_sub(at_ms);
        if self
            .cluster
            .job(ix)
            .is_some_and(|j| j.readiness == Readiness::Ready)
        {
            self.record_arrival(ix, now.saturating_sub(age));
        }
        ix
    }

    pub fn load_segment(&mut self, id: &str, chunk: usize, text: &str) {
        let Some(job) = self
            .cluster
            .job_index(id)
            .and_then(|ix| self.cluster.job_mut(ix))
        else {
            self.write_queue
                .unconditional_deletes
                .push(segment_key(id, chunk));
            return;
        };
        let mut bits = TaskBitmap::with_len(job.spec.tasks);
        bits.load(chunk, text);
        for t in 0..job.spec.tasks {
            if bits.get(t) {
                job.mark_done(t);
            }
        }
        if let Some(d) = job.dirty_segments.get_mut(chunk) {
            *d = false;
        }
    }

    pub fn load_machine(&mut self, name: &str, record: MachineRecord, version: u64, now: Millis) {
        let new = NewMachine {
            name,
            addr: &record.addr,
            type_name: &record.type_name,
            zone: &record.zone,
            spot: record.spot,
        };
        let ix = self.cluster.insert_machine(new, now);
        if let Some(m) = ix.and_then(|ix| self.cluster.machine_mut(ix)) {
            m.registration = Registration::Present;
            m.record_version = version;
            m.releasing = record.releasing && !record.lease_expired;
            m.release_recorded = m.releasing;
            m.recorded_empty = record.releasing;
            if record.quarantined {
                m.failures = MachineFailures::inherited_quarantine(now);
            }
            // Either mark is written only when nothing runs there, and stands
            // until something may be started: no lease need be waited for.
            m.contents_unknown = !record.releasing;
            m.last_answered = self.recovery.elected_at;
        }
        if let Some(ix) = ix {
            let images: Vec<u32> = record
                .images
                .iter()
                .map(|i| self.cluster.images.intern(i))
                .collect();
            if let Some(m) = self.cluster.machine_mut(ix) {
                m.images = images;
            }
        }
    }

    /// `None`: not a machine to answer.
    pub fn on_heartbeat(&mut self, report: &Heartbeat, now: Millis) -> Option<HeartbeatResponse> {
        if !self.recovery.loaded {
            // The lease must not expire while the records are being read; nor
            // may it be renewed for long, as they hold cancellations.
            let unread = SafetyBounds::of(&self.settings.cluster.workers).max_answering_unloaded();
            return (now < self.recovery.elected_at + unread).then(|| HeartbeatResponse {
                fencing_token: self.term_token(),
                commands: Vec::new(),
            });
        }
        if self.scaling.released.contains_key(&report.machine) {
            return None;
        }
        let ix = self.cluster.insert_machine(report.into(), now)?;
        if !self.accepts_heartbeat(ix, report, now) {
            return None;
        }
        self.apply_heartbeat(ix, report, StatusSource::Heartbeat, now);
        let m = self.cluster.machine_mut(ix)?;
        let fresh = m.up && (report.incarnation, report.seq) == (m.incarnation, m.heartbeat_seq);
        let commands = if fresh {
            let confirmed = self.standbys.confirmed_change();
            let commands =
                reconciliation::commands(&mut self.cluster, ix, None, report.seq, confirmed);
            self.count_commands(&commands);
            commands
        } else {
            Vec::new()
        };
        Some(HeartbeatResponse {
            fencing_token: self.fencing_token(ix),
            commands,
        })
    }

    fn apply_heartbeat(&mut self, ix: u32, report: &Heartbeat, source: StatusSource, now: Millis) {
        let floor = self.term_token();
        let effects =
            reconciliation::apply_heartbeat(&mut self.cluster, ix, report, floor, source, now);
        self.changed |= effects.cluster_changed;
        self.detect_one_way_partition(ix, &effects);
        if let Some(m) = self.cluster.machine(ix)
            && m.last_heartbeat == now
        {
            self.zone_responded(m.zone, now);
        }
        for job_ix in effects.started_jobs {
            if let Some(j) = self.cluster.job_mut(job_ix).filter(|j| !j.has_run) {
                j.has_run = true;
                let waited = (now - j.known_since) as f64 / 1000.0;
                self.events.tally.waits.push((j.spec.class.clone(), waited));
            }
        }
        for task in effects.confirmed_running {
            self.on_task_running(ix, task.job, task.since, now);
        }
        for ended in effects.ended_tasks {
            self.on_task_ended(ix, ended.job, ended.task, ended.reason, now);
        }
    }

    fn count_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { .. } => self.events.tally.starts += 1,
                Command::Stop { .. } => self.events.tally.stops += 1,
                Command::Reap { .. } => {}
            }
        }
    }

    pub fn direct_deliveries(&mut self, now: Millis) -> Vec<DirectDelivery> {
        let mut out = Vec::new();
        if !self.recovery.loaded {
            return out;
        }
        let confirmed = self.standbys.confirmed_change();
        for ix in self.cluster.machine_range() {
            let ready = self
                .cluster
                .machine(ix)
                .is_some_and(|m| m.up && !m.command_in_flight && now >= m.command_retry_at);
            if !ready || !reconciliation::needs_direct_commands(&self.cluster, ix, confirmed) {
                continue;
            }
            let token = self.fencing_token(ix);
            let commands =
                reconciliation::commands(&mut self.cluster, ix, Some(token), 0, confirmed);
            self.count_commands(&commands);
            if let Some(m) = self.cluster.machine_mut(ix)
                && let Some(addr) = m.addr
            {
                m.command_in_flight = true;
                let starts = |c: &Command| matches!(c, Command::Start { .. });
                if commands.iter().any(starts) {
                    m.start_sent_at = Some(now);
                }
                out.push(DirectDelivery {
                    machine: m.name.clone(),
                    addr,
                    commands: DirectCommands {
                        fencing_token: token,
                        incarnation: m.incarnation,
                        commands,
                    },
                });
            }
        }
        out
    }

    pub fn direct_delivery_finished(
        &mut self,
        machine: &str,
        token: u64,
        outcome: DirectDeliveryOutcome,
        now: Millis,
    ) {
        let Some(ix) = self.cluster.machine_index(machine) else {
            return;
        };
        let retry = millis(self.settings.cluster.workers.report_s) * 2;
        if let Some(m) = self.cluster.machine_mut(ix) {
            m.command_in_flight = false;
            if let Some(sent) = m.start_sent_at.take() {
                match &outcome {
                    // Its count does not tell whether this process is the one
                    // that was answered last: one that began anew since may
                    // have counted further, and so may a new session that was
                    // never answered.
                    DirectDeliveryOutcome::Executed(_) => m.latest_possible_start = now,
                    DirectDeliveryOutcome::NoAnswer => {
                        m.latest_possible_start = sent + DIRECT_COMMAND_TIMEOUT_MS
                    }
                    DirectDeliveryOutcome::Refused(_) | DirectDeliveryOutcome::NotSent => {}
                }
            }
        }
        match outcome {
            DirectDeliveryOutcome::Executed(report) => {
                reconciliation::resolve_direct_commands(&mut self.cluster, ix, token, true);
                self.apply_heartbeat(ix, &report, StatusSource::DirectCommand, now);
            }
            DirectDeliveryOutcome::Refused(report) => {
                reconciliation::resolve_direct_commands(&mut self.cluster, ix, token, false);
                if let Some(m) = self.cluster.machine_mut(ix) {
                    m.command_retry_at = now + retry;
                }
                if let Some(report) = report {
                    self.apply_heartbeat(ix, &report, StatusSource::DirectCommand, now);
                }
            }
            DirectDeliveryOutcome::NotSent => {
                reconciliation::resolve_direct_commands(&mut self.cluster, ix, token, false);
                if let Some(m) = self.cluster.machine_mut(ix) {
                    m.command_retry_at = now + retry;
                }
            }
            DirectDeliveryOutcome::NoAnswer => {
                // It may be carried out minutes later: raise the fence, so
                // that the machine refuses it once it has seen the new token.
                if let Some(m) = self.cluster.machine_mut(ix) {
                    m.token_epoch += 1;
                    m.command_retry_at = now + retry;
                }
                self.require_new_token(ix);
            }
        }
        self.changed = true;
    }

    /// An end that is remembered goes before the cluster state: it never changes.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        self.final_states.get(id).or_else(|| self.live_status(id))
    }

    fn live_status(&self, id: &str) -> Option<JobStatus> {
        let ix = self.cluster.job_index(id)?;
        self.cluster.job(ix).map(Job::status)
    }

    /// The job's state as a user may be told it. Not while its end is being
    /// recorded: another node may read that, and tell it, before the leader
    /// learns that it stands.
    pub fn answerable_status(&self, id: &str) -> Option<JobStatus> {
        let open = self.is_ending(id) || self.is_cancelled_with_dependency(id);
        match self.final_states.get(id) {
            None if open => None,
            None => self.live_status(id),
            end => end,
        }
    }

    /// A job that it needs is cancelled, and so will it be. What stands of it
    /// until that is recorded may be told no more by then.
    pub fn is_cancelled_with_dependency(&self, id: &str) -> bool {
        let ix = self.cluster.job_index(id);
        ix.is_some_and(|ix| {
            self.dependencies.must_cancel(ix) && self.cluster.job(ix).is_some_and(|j| !j.cancelled)
        })
    }

    /// Its end is being recorded.
    pub fn is_ending(&self, id: &str) -> bool {
        let job = self
            .cluster
            .job_index(id)
            .and_then(|ix| self.cluster.job(ix));
        job.is_some_and(Job::is_ending)
    }

    /// It was learned now.
    pub fn remember_final_state(&mut self, status: &JobStatus, now: Millis) {
        self.final_states.learn(status, now);
    }

    /// The job's state as another node may tell it at once. An end is held back
    /// for the time that older answers may take.
    pub fn answerable_by_peers(&mut self, id: &str, now: Millis) -> Option<JobStatus> {
        let status = self.answerable_status(id)?;
        (self.final_states.hold_time(&status, now) == 0).then_some(status)
    }

    pub fn accepted(&mut self, record: JobRecord, version: u64, now: Millis) {
        if self.final_states.get(&record.spec.id).is_none() {
            log::debug!(
                "job {} of {} accepted: {}, {} tasks, image {} of {} GB",
                record.spec.id,
                record.spec.team,
                record.spec.class,
                record.spec.tasks,
                record.spec.image,
                record.spec.image_gb,
            );
            self.load_job(record, version, now);
        }
    }

    /// A notice has been dealt with.
    pub fn acceptance_handled(&mut self, key: String) {
        self.write_queue.unconditional_deletes.push(key);
    }

    /// Marks a known job for cancellation. Its tasks stop only once that is
    /// recorded: until then it may still complete.
    pub fn cancel(&mut self, id: &str) {
        if let Some(job) = self
            .cluster
            .job_index(id)
            .and_then(|ix| self.cluster.job_mut(ix))
        {
            job.cancel_requested = true;
        }
    }

    /// Something happened that shouldn't wait for the next look.
    pub fn has_work(&self) -> bool {
        self.changed
            || self.recovery.failover.starts_released
            || self.scheduling.interrupted_cycle.is_some()
    }

    pub fn tick(&mut self, now: Millis, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if !self.recovery.loaded {
            return;
        }
        self.fail_over(now);
        self.expire_leases(now);
        if !self.recovery.settled {
            self.recovery.settled = !self.cluster.each_machine().any(|m| m.contents_unknown);
            if self.recovery.settled {
                log::info!(
                    "term {} settled after {} ms: {} jobs, {} machines",
                    self.term,
                    now - self.recovery.elected_at,
                    self.cluster.live_jobs(),
                    self.cluster.machine_count()
                );
                self.changed = true;
            }
        }
        self.apply_dependency_changes(now);
        self.stop_cancelled_and_broken_gangs();
        self.checkpoint_before_reclaim();
        let backoff = self
            .cluster
            .jobs
            .iter()
            .flatten()
            .any(|j| j.backoff_until != 0 && j.backoff_until <= now);
        self.retry_quarantined(now);
        // Rates and holds change with time alone, so look now and then anyway.
        let due = now >= self.scheduling.next_cycle_at;
        let resumes = self.scheduling.interrupted_cycle.is_some();
        if !resumes && (self.changed || backoff || due) {
            self.changed = false;
            self.scheduling.next_cycle_at = now + 2000;
            self.schedule(now);
        } else if resumes {
            self.schedule(now);
        }
        self.advance_recovery(now);
    }

    /// All records have been read. Workers were answered meanwhile, so their
    /// leases count from now.
    pub fn finish_loading(&mut self, now: Millis) {
        self.recovery.loaded = true;
        self.scheduling.arrivals.make_contiguous().sort_unstable();
        for m in self.cluster.each_machine_mut() {
            m.last_answered = now;
        }
    }
}
