//! The operators' own INI file: what is tuned rather than handed over by the
//! platform. Every key has a default; an unknown section or key, or a value
//! out of range, stops the start.

use anyhow::{Context, Result, bail, ensure};
use ini::Ini;
use pathwinch_cli::number;
use std::path::Path;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadResource {
    /// Whichever resource of the machine is used most.
    Scarcest,
    Cpu,
    Gpu,
    Memory,
}

/// A common task shape that fragmentation cost is averaged over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

#[derive(Debug, Clone)]
pub struct Options {
    pub threshold: f64,
    pub load: LoadResource,
    /// Empty: learned from the jobs seen.
    pub shapes: Vec<Shape>,
    /// For how many seconds of expected arrivals of high priority batches
    /// leave places free. Room is made by preemption too, so by default none.
    pub keep_s: f64,
    /// After so many seconds in line a job of which nothing has run goes first,
    /// until something does; 0: never.
    pub begin_s: f64,
    /// Seconds that an idle machine is kept.
    pub idle_s: f64,
    /// So many standbys are kept warm.
    pub warm: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            threshold: 0.4,
            load: LoadResource::Scarcest,
            shapes: Vec::new(),
            keep_s: 0.0,
            begin_s: 180.0,
            idle_s: 20.0,
            warm: 2,
        }
    }
}

impl Options {
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read options file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("options file {}", path.display()))
    }

    pub fn parse(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text)?;
        let mut o = Options::default();
        for (section, props) in &ini {
            for (key, value) in props.iter() {
                let name = format!("{}.{key}", section.unwrap_or(""));
                match name.as_str() {
                    "placement.threshold" => o.threshold = number(&name, value, 0.0, 1.0)?,
                    "placement.load" => {
                        o.load = match value.trim() {
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
                        o.shapes.clear();
                        for part in value.split(',') {
                            let n: Vec<&str> = part.split('/').collect();
                            ensure!(
                                n.len() == 3,
                                "{name}: {part:?} is not of the form CPUS/GPUS/GB"
                            );
                            o.shapes.push(Shape {
                                cpus: number(&name, n[0], 0.0, 1e6)?,
                                gpus: number(&name, n[1], 0.0, 1e6)?,
                                memory_gb: number(&name, n[2], 0.0, 1e6)?,
                            });
                        }
                        ensure!(o.shapes.len() <= 16, "{name}: at most 16 shapes");
                    }
                    "placement.keep_s" => o.keep_s = number(&name, value, 0.0, 3600.0)?,
                    "placement.begin_s" => o.begin_s = number(&name, value, 0.0, 86_400.0)?,
                    "provision.idle_s" => o.idle_s = number(&name, value, 0.0, 86_400.0)?,
                    "standby.warm" => o.warm = number(&name, value, 0.0, 6.0)? as usize,
                    _ => bail!("{name}: unknown section or key"),
                }
            }
        }
        Ok(o)
    }
}
