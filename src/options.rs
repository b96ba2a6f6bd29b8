//! Options in the operators' INI file: parameters that operators tune, as opposed to
//! the settings file that the platform provides. Every key has a default. An unknown
//! section or key, or a value out of range, is an error that prevents the start.

use anyhow::{Context, Result, bail, ensure};
use ini::Ini;
use pathwinch_cli::parse_number;
use std::path::Path;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
/// The resource that determines the load of a machine.
pub enum LoadResource {
    /// The resource of the machine of which the largest fraction is used.
    Scarcest,
    Cpu,
    Gpu,
    Memory,
}

/// Resources of a common kind of task. The fragmentation cost of a placement is
/// averaged over these shapes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskShape {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Options of a controller; see `examples/pathwinch.ini`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Load, from 0 to 1, below which a machine is preferred for placement.
    pub busy_threshold: f64,
    /// Resource that determines the load of a machine.
    pub load_resource: LoadResource,
    /// Common task shapes. If empty, they are learned from the submitted jobs.
    pub shapes: Vec<TaskShape>,
    /// Number of seconds of expected high-priority arrivals for which batch jobs leave
    /// capacity free. 0 by default, as preemption makes room too.
    pub headroom_s: f64,
    /// Number of seconds in the queue after which a job none of whose tasks has run is
    /// placed first, until one of its tasks runs. 0 disables this.
    pub starvation_timeout_s: f64,
    /// Number of seconds for which an idle machine is kept before it is released.
    pub idle_timeout_s: f64,
    /// Number of standbys that are kept warm.
    pub warm_standbys: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            busy_threshold: 0.4,
            load_resource: LoadResource::Scarcest,
            shapes: Vec::new(),
            headroom_s: 0.0,
            starvation_timeout_s: 180.0,
            idle_timeout_s: 20.0,
            warm_standbys: 2,
        }
    }
}

impl Options {
    /// Reads and parses an options file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("failed to read options file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("options file {}", path.display()))
    }

    /// Parses the text of an options file. Keys that are missing keep their defaults.
    pub fn parse(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text)?;
        let mut options = Options::default();
        for (section, props) in &ini {
            for (key, value) in props.iter() {
                let name = format!("{}.{key}", section.unwrap_or(""));
                match name.as_str() {
                    "placement.threshold" => {
                        options.busy_threshold = parse_number(&name, value, 0.0, 1.0)?
                    }
                    "placement.load" => {
                        options.load_resource = match value.trim() {
                            "scarcest" => LoadResource::Scarcest,
                            "cpu" => LoadResource::Cpu,
                            "gpu" => LoadResource::Gpu,
                            "memory" => LoadResource::Memory,
                            other => {
                                bail!("{name}: {other:?} is none of scarcest, cpu, gpu, memory")
                            }
                        }
                    }
                    "placement.shapes" => {
                        options.shapes.clear();
                        for part in value.split(',') {
                            let fields: Vec<&str> = part.split('/').collect();
                            ensure!(
                                fields.len() == 3,
                                "{name}: {part:?} is not of the form CPUS/GPUS/GB"
                            );
                            options.shapes.push(TaskShape {
                                cpus: parse_number(&name, fields[0], 0.0, 1e6)?,
                                gpus: parse_number(&name, fields[1], 0.0, 1e6)?,
                                memory_gb: parse_number(&name, fields[2], 0.0, 1e6)?,
                            });
                        }
                        ensure!(options.shapes.len() <= 16, "{name}: at most 16 shapes");
                    }
                    "placement.keep_s" => {
                        options.headroom_s = parse_number(&name, value, 0.0, 3600.0)?
                    }
                    "placement.begin_s" => {
                        options.starvation_timeout_s = parse_number(&name, value, 0.0, 86_400.0)?
                    }
                    "provision.idle_s" => {
                        options.idle_timeout_s = parse_number(&name, value, 0.0, 86_400.0)?
                    }
                    "standby.warm" => {
                        options.warm_standbys = parse_number(&name, value, 0.0, 6.0)? as usize
                    }
                    _ => bail!("{name}: unknown section or key"),
                }
            }
        }
        Ok(options)
    }
}
