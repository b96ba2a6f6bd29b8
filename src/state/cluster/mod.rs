//! The leader's cluster state: jobs, machines, and what is or may be running
//! where. Kept in memory only; the records of `state/records.rs` are what is
//! durable of it.
//!
//! `ClusterState` owns all of it; each file holds one concern: `jobs` and
//! `machines` the tables, `assignments` what is where and the counts that
//! follow, `quota` the limits of teams, `images` the caches of machines,
//! `replication` what standbys receive, `stale` which machines to look at
//! again. Names are mapped to dense indices (`Interner`) or handles
//! (`SlotTable`) as they come in; everything inside uses those.
//!
//! Called by the leader, its scheduler and reconciliation, all of one thread.
//! Must never do I/O, read a clock or write a record.

mod assignments;
mod images;
mod interner;
mod job;
mod jobs;
mod machine;
mod machines;
mod quota;
mod replication;
mod stale;

pub use interner::Interner;
pub use job::{Job, NewJob, Placement};
pub use machine::{
    Assignment, DIRECT_COMMAND_TIMEOUT_MS, Machine, NewMachine, Phase, Registration,
};
use stale::StaleMachines;

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
    /// Names a job of this leader, and never another one.
    JobHandle
}

handle_type! {
    /// Names a machine of this leader, and never another one.
    MachineHandle
}

/// Jobs and machines, and what is or may be running where.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// Zones of the settings, and those that machines came with.
    pub zones: Interner,
    /// Names of `teams`, by the same index.
    pub team_names: Interner,
    /// Teams as the settings have them.
    pub teams: Vec<Team>,
    /// What live tasks of each team take.
    pub team_usage: Vec<Resources>,
    /// Machine types that the cloud offers.
    pub types: Vec<MachineType>,
    /// Images of jobs and machine records.
    pub images: Interner,
    /// Sizes of `images`, as far as known.
    image_gb: Vec<f64>,
    /// Jobs that are not over.
    pub jobs: SlotTable<JobHandle, Job>,
    job_handle_by_id: HashMap<String, JobHandle>,
    machines: SlotTable<MachineHandle, Machine>,
    /// Machines looked at, one by one or in a pass over all: tests bound the
    /// work per event by it.
    inspections: Cell<u64>,
    /// Machines that may have changed since `take_stale`.
    stale_machines: StaleMachines,
    machine_handle_by_name: HashMap<String, MachineHandle>,
    /// Changes of what is, or may be, on machines.
    pub change_count: u64,
    /// The latest change of which a start was sent.
    pub latest_sent_change: u64,
    /// Machines that changed since the last replication, if there are standbys.
    changed_machines: Option<BTreeSet<String>>,
}

impl ClusterState {
    /// One without jobs and machines.
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
