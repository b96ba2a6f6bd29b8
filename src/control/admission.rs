//! Admission: whether a job could ever run on this cluster.
//!
//! A pure function, called by the request handlers for each submission. It must never
//! reject a job because of what is free at the moment.

use crate::{
    protocol::{
        cloud::MachineType,
        settings::Settings,
        users::{JobSpec, Kind},
    },
    state::resources::Resources,
};

/// `Some`: why the job can never run.
pub fn reject_reason(settings: &Settings, types: &[MachineType], spec: &JobSpec) -> Option<String> {
    let cluster = &settings.cluster;
    let Some(team) = cluster.teams.iter().find(|t| t.name == spec.team) else {
        return Some(format!("owner_crew: unknown team {:?}", spec.team));
    };
    if spec.dependencies.contains(&spec.id) {
        return Some("waits_on: the job itself".into());
    }
    let need = Resources::need(spec.cpus, spec.gpus, spec.memory_gb);
    let named = |t: &&MachineType| spec.types.as_ref().is_none_or(|n| n.contains(&t.name));
    let there = |t: &&MachineType| spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
    let offers = |t: &MachineType| need.fits(&Resources::offer(t.cpus, t.gpus, t.memory_gb));
    let allowed = || types.iter().filter(named).filter(there);
    if !allowed().any(offers) {
        let field = if !types.iter().any(|t| named(&t)) {
            "rigs"
        } else if !types.iter().any(|t| there(&t)) {
            "hall"
        } else if allowed().next().is_none() {
            "rigs, hall"
        } else {
            "cores, accelerators, memory_gb"
        };
        return Some(format!("{field}: a task fits no allowed machine type"));
    }
    let tasks = match spec.kind {
        Kind::Array => 1,
        Kind::Gang | Kind::Service => i64::from(spec.tasks),
    };
    let all = need.scaled(tasks);
    let limit = Resources::offer(team.cpus_max, team.gpus_max, 0.0);
    if (limit.cpus > 0 && all.cpus > limit.cpus) || (limit.gpus > 0 && all.gpus > limit.gpus) {
        return Some(format!("needs more than the limit of team {}", team.name));
    }
    None
}
