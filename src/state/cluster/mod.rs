//! The leader's cluster state: jobs, machines, and which tasks run, or may run, on
//! which machine. The state is kept in memory only; the records of `state/records.rs`
//! are its durable part.
//!
//! `ClusterState` owns all of it; each file covers one concern: `jobs` and `machines`
//! the tables, `assignments` the assignments and the counts derived from them, `quota`
//! the team limits, `images` the image caches of machines, `replication` what standbys
//! receive, `stale` which machines the scheduler has to look at again. Names are mapped
//! to dense indices (`Interner`) or handles (`SlotTable`) when they enter the state;
//! all code inside uses those.
//!
//! The leader, its scheduler and reconciliation call this module, all on one thread.
//! The module must not do I/O, read a clock or write a record.

mod assignments;
mod direct_start;
mod images;
mod interner;
mod job;
mod jobs;
mod machine;
mod machines;
mod quota;
mod replication;
mod stale;
mod stop;

pub use direct_start::DirectStart;
pub use interner::Interner;
pub use job::{Job, NewJob, Placement};
pub use machine::{
    Assignment, DIRECT_COMMAND_TIMEOUT_MS, Machine, NewMachine, Phase, Registration,
};
use stale::StaleMachines;
pub use stop::StopRequest;

use super::{
    resources::Resources,
    slot_table::{SlotTable, handle_type},
};
use crate::protocol::{
    cloud::MachineType,
    settings::{Settings, Team},
};
use std::{
    cell::Cell,
    collections::{BTreeSet, HashMap},
};

handle_type! {
    /// Identifies a job of this leader; a handle is never reused for another job.
    JobHandle
}

handle_type! {
    /// Identifies a machine of this leader; a handle is never reused for another
    /// machine.
    MachineHandle
}

/// Jobs and machines, and which tasks run, or may run, on which machine.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// Zones from the settings, and zones that machines reported.
    pub zones: Interner,
    /// Names of `teams`, with the same indices.
    pub team_names: Interner,
    /// Teams from the settings.
    pub teams: Vec<Team>,
    /// Resources taken by the live tasks of each team, by team index.
    pub team_usage: Vec<Resources>,
    /// Machine types that the cloud offers.
    pub types: Vec<MachineType>,
    /// Images named by jobs and machine records.
    pub images: Interner,
    /// Sizes of `images` in GB, as far as known.
    image_gb: Vec<f64>,
    /// Jobs that are neither done nor cancelled.
    pub jobs: SlotTable<JobHandle, Job>,
    job_handle_by_id: HashMap<String, JobHandle>,
    machines: SlotTable<MachineHandle, Machine>,
    /// Number of machine inspections, single or in a pass over all machines. Tests
    /// bound the work per event with this count.
    inspections: Cell<u64>,
    /// Machines that may have changed since the last `take_stale`.
    stale_machines: StaleMachines,
    machine_handle_by_name: HashMap<String, MachineHandle>,
    /// Number of changes of assignments so far.
    pub change_count: u64,
    /// Number of the latest change for which a start command was sent.
    pub latest_sent_change: u64,
    /// Names of machines that changed since the last replication; `None` if there are
    /// no standbys.
    changed_machines: Option<BTreeSet<String>>,
}

impl ClusterState {
    /// Returns a cluster state without jobs and machines.
    pub fn new(settings: &Settings, types: Vec<MachineType>) -> Self {
        let mut state = ClusterState {
            types,
            ..ClusterState::default()
        };
        for zone in &settings.cluster.zones {
            state.zones.intern(zone);
        }
        for team in &settings.cluster.teams {
            state.team_names.intern(&team.name);
        }
        state.teams = settings.cluster.teams.clone();
        state.team_usage = vec![Resources::default(); state.teams.len()];
        state
    }
}
