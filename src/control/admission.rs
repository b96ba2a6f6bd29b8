//! Admission: whether a submitted job could ever run on this cluster.
//!
//! A pure function, called by the request handlers for each submission. A job must never be
//! rejected because of the capacity that is free at the moment.

use crate::{
    protocol::{
        cloud::MachineType,
        settings::Settings,
        users::{JobSpec, Kind},
    },
    state::resources::Resources,
};

/// Returns why the job can never run on this cluster, or `None` if it can.
pub fn reject_reason(settings: &Settings, types: &[MachineType], spec: &JobSpec) -> Option<String> {
    let cluster = &settings.cluster;
    let Some(team) = cluster.teams.iter().find(|t| t.name == spec.team) else {
        return Some(format!("owner_crew: unknown team {:?}", spec.team));
    };
    if spec.dependencies.contains(&spec.id) {
        return Some("waits_on: a job cannot depend on itself".into());
    }
    let need = Resources::need(spec.cpus, spec.gpus, spec.memory_gb);
    let is_named = |t: &&MachineType| spec.types.as_ref().is_none_or(|n| n.contains(&t.name));
    let is_in_zone = |t: &&MachineType| spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
    let fits_task = |t: &MachineType| need.fits(&Resources::offer(t.cpus, t.gpus, t.memory_gb));
    let allowed_types = || types.iter().filter(is_named).filter(is_in_zone);
    if !allowed_types().any(fits_task) {
        let field = if !types.iter().any(|t| is_named(&t)) {
            "rigs"
        } else if !types.iter().any(|t| is_in_zone(&t)) {
            "hall"
        } else if allowed_types().next().is_none() {
            "rigs, hall"
        } else {
            "cores, accelerators, memory_gb"
        };
        return Some(format!("{field}: a task fits no allowed machine type"));
    }
    let concurrent_tasks = match spec.kind {
        Kind::Array => 1,
        Kind::Gang | Kind::Service => i64::from(spec.tasks),
    };
    let all = need.scaled(concurrent_tasks);
    let limit = Resources::offer(team.cpus_max, team.gpus_max, 0.0);
    if (limit.cpus > 0 && all.cpus > limit.cpus) || (limit.gpus > 0 && all.gpus > limit.gpus) {
        return Some(format!(
            "the job needs more than the limit of team {}",
            team.name
        ));
    }
    None
}
