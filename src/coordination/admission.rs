//! Whether a job can run at all.

use crate::{
    bookkeeping::amounts::Amounts,
    protocol::{
        cloud::MachineType,
        settings::Settings,
        users::{JobSpec, Kind},
    },
};

/// `Some`: why the job can never run.
pub fn never_runs(settings: &Settings, types: &[MachineType], spec: &JobSpec) -> Option<String> {
    let cluster = &settings.cluster;
    let Some(team) = cluster.teams.iter().find(|t| t.name == spec.team) else {
        return Some(format!("owner_crew: unknown team {:?}", spec.team));
    };
    if spec.needs.contains(&spec.id) {
        return Some("waits_on: the job itself".into());
    }
    let need = Amounts::need(spec.cpus, spec.gpus, spec.memory_gb);
    let fits = types.iter().any(|t| {
        spec.types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && need.fits(&Amounts::offer(t.cpus, t.gpus, t.memory_gb))
    });
    if !fits {
        return Some("a task fits no allowed machine type".into());
    }
    let tasks = match spec.kind {
        Kind::Array => 1,
        Kind::Gang | Kind::Service => i64::from(spec.tasks),
    };
    let all = need.scaled(tasks);
    let limit = Amounts::offer(team.cpus_max, team.gpus_max, 0.0);
    if (limit.cpus > 0 && all.cpus > limit.cpus) || (limit.gpus > 0 && all.gpus > limit.gpus) {
        return Some(format!("needs more than the limit of team {}", team.name));
    }
    None
}
