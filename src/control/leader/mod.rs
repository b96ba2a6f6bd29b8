//! The leader of one term: the state machine that combines cluster state,
//! scheduling, scaling and persistence.
//!
//! The server reports events to the leader (heartbeats, outcomes of commands
//! and of writes, responses of the cloud API, the passage of time) and asks
//! what to do next. The leader performs no I/O and reads no clock: `now` is
//! passed in. Each concern has its own module; this one owns `Leader` and
//! drives the other modules from `tick`.

mod dependencies;
mod direct_commands;
mod expiry;
mod failover;
mod faults;
mod fencing;
mod fleet_view;
mod gang_reservation;
mod headroom;
mod heartbeats;
mod inventory;
mod job_status;
mod lease_renewals;
mod loading;
mod offload;
mod partitions;
mod persistence;
mod preemption;
mod queue;
mod quotas;
mod recovery;
mod scale_out;
mod scheduling;
mod scheduling_cycle;
mod spec_chunks;
mod status;
mod task_log;
mod task_placement;
mod victims;
mod write_outcomes;
mod write_queue;
mod zone_health;

pub use direct_commands::{DirectDelivery, DirectDeliveryOutcome};
pub use fencing::RaiseReason;
pub use inventory::CloudOp;
pub use job_status::Withheld;
pub use lease_renewals::RenewalBasis;
pub use partitions::UnansweredReason;
pub use persistence::{WriteIntent, WritePlan, acceptance_with_feed_entry};
pub use status::MetricCounts;

use super::{
    final_states::FinalStates, placement::Policy, safety_bounds::SafetyBounds, standby::Standbys,
};
use crate::{
    options::Options,
    protocol::{cloud::MachineType, settings::Settings},
    state::{Millis, cluster::ClusterState, dependencies::DependencyGraph},
};
use inventory::WORKER_REDIRECT_MS;
use scale_out::Scaling;
use scheduling::Scheduling;
use status::Events;
use std::rc::Rc;
use write_queue::WriteQueue;

/// Longest time between the starts of two scheduling cycles.
const CYCLE_INTERVAL_MS: Millis = 2_000;

fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1000.0) as Millis
}

/// The leader of one term. Performs no I/O; see the module documentation.
pub struct Leader {
    settings: Rc<Settings>,
    options: Options,
    /// The cluster state: jobs, machines, and the tasks that run or may run on them.
    pub cluster: ClusterState,
    /// The term of this leader, which is also the version of the leader record.
    pub term: u64,
    /// Final states of jobs that this node has reported or learned. They are kept
    /// beyond the end of the term.
    pub final_states: FinalStates,
    /// The dependencies between jobs.
    dependencies: DependencyGraph,
    /// When this leader first had dependencies whose final states it has not
    /// read; `None` if there are none.
    dependencies_unread_since: Option<Millis>,
    /// Job specs that are being written in chunks.
    spec_uploads: spec_chunks::SpecUploads,
    /// Whether the cluster state changed since the last scheduling cycle began.
    changed: bool,
    wall_ms: u64,
    recovery: recovery::Recovery,
    scheduling: Scheduling,
    scaling: Scaling,
    write_queue: WriteQueue,
    events: Events,
    task_log: task_log::TaskLog,
    lease_renewals: lease_renewals::LeaseRenewals,
    standbys: Standbys,
}

impl Leader {
    /// Creates a leader that has not read any records yet.
    pub fn new(
        settings: Rc<Settings>,
        options: Options,
        types: Vec<MachineType>,
        term: u64,
        now: Millis,
    ) -> Self {
        let cluster = ClusterState::new(&settings, types);
        let zones = cluster.zones.len();
        let peers = settings.peers.iter();
        let peers = peers.map(|p| (p.name.clone(), p.zone != settings.zone));
        let report_interval_ms = millis(settings.cluster.workers.report_s);
        let standbys = Standbys::new(term, options.warm_standbys, peers);
        let policy = Policy {
            busy_threshold: options.busy_threshold,
            load_resource: options.load_resource,
            shapes: options.shapes.iter().map(Policy::shape).collect(),
        };
        Leader {
            settings,
            options,
            cluster,
            term,
            final_states: FinalStates::default(),
            dependencies: DependencyGraph::default(),
            dependencies_unread_since: None,
            spec_uploads: spec_chunks::SpecUploads::default(),
            changed: true,
            wall_ms: 0,
            recovery: recovery::Recovery::started(now, report_interval_ms),
            scheduling: Scheduling::new(policy),
            // Workers need up to `WORKER_REDIRECT_MS` to find a new leader; until
            // then missing heartbeats say nothing about a zone.
            scaling: Scaling::new(vec![
                zone_health::ZoneHealth::since(now + WORKER_REDIRECT_MS);
                zones
            ]),
            write_queue: WriteQueue::default(),
            events: Events::default(),
            task_log: task_log::TaskLog::default(),
            lease_renewals: Default::default(),
            standbys,
        }
    }

    fn lease_expiry(&self) -> Millis {
        SafetyBounds::from_worker_settings(&self.settings.cluster.workers).lease_expiry()
    }

    /// Whether the jobs and the machine registry have been read.
    pub fn loaded(&self) -> bool {
        self.recovery.loaded
    }

    /// Whether every machine has sent a heartbeat in this term or its lease has
    /// expired.
    pub fn settled(&self) -> bool {
        self.recovery.settled
    }

    /// Whether there is work that should not wait for the next tick.
    pub fn has_work(&self) -> bool {
        self.changed
            || self.recovery.failover.starts_released
            || self.scheduling.interrupted_cycle.is_some()
    }

    /// Does the work that is due at `now`: failover, lease expiry, dependency
    /// changes, stops, and scheduling cycles.
    pub fn tick(&mut self, now: Millis, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if !self.recovery.loaded {
            return;
        }
        self.fail_over(now);
        self.expire_leases(now);
        if !self.recovery.settled {
            self.recovery.settled = !self.cluster.machines().any(|m| m.contents_unknown);
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
        self.track_unread_dependencies(now);
        self.stop_cancelled_and_broken_gangs();
        self.checkpoint_before_reclaim();
        let backoff_expired = self
            .cluster
            .jobs
            .values()
            .any(|j| j.backoff_until != 0 && j.backoff_until <= now);
        self.retry_quarantined(now);
        // Arrival rates and reservations change with the passage of time alone,
        // so a cycle runs at least every `CYCLE_INTERVAL_MS`.
        let cycle_due = now >= self.scheduling.next_cycle_at;
        let has_interrupted_cycle = self.scheduling.interrupted_cycle.is_some();
        if !has_interrupted_cycle && (self.changed || backoff_expired || cycle_due) {
            self.changed = false;
            self.scheduling.next_cycle_at = now + CYCLE_INTERVAL_MS;
            self.schedule(now);
        } else if has_interrupted_cycle {
            self.schedule(now);
        }
        self.log_placements();
        self.advance_recovery(now);
    }
}
