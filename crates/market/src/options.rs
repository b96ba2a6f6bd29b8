//! The operators' INI file of the broker. Every key has a default; an unknown
//! section or key, or a value out of range, stops the start with its name.

use crate::{Millis, Money, millis};
use anyhow::{Context, Result, bail, ensure};
use ini::Ini;
use pathwinch_cli::number;
use std::{collections::BTreeMap, net::SocketAddr, path::Path};

#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Classes of jobs that may be offloaded; none: nothing is.
    pub classes: Vec<String>,
    /// A job waits here for so long before it may be offloaded.
    pub min_wait_ms: Millis,
    /// CPUs of waiting work that stay for the machines here.
    pub local_floor_cpus: f64,
    /// At most this share of what renting here would cost is bid.
    pub worth: f64,
    /// Jobs that may be offloaded at once.
    pub jobs: usize,
    /// How far ahead a market may run what was awarded to it.
    pub tenancy_ms: Millis,
    /// By how much the time of day may differ between brokers.
    pub clock_bound_ms: Millis,
    /// An award that is not accepted within this is void.
    pub start_within_ms: Millis,
    /// How often each market is asked.
    pub sync_interval_ms: Millis,
    /// Share of the state service's limits that brokers may use.
    pub share: f64,
    /// Of each team, for a day, in millionths.
    pub budgets: BTreeMap<String, Money>,
    /// Markets by name: where they are asked.
    pub markets: BTreeMap<String, String>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            classes: Vec::new(),
            min_wait_ms: 20_000,
            local_floor_cpus: 0.0,
            worth: 1.0,
            jobs: 2_000,
            tenancy_ms: 60_000,
            clock_bound_ms: 1_000,
            start_within_ms: 10_000,
            sync_interval_ms: 2_000,
            share: 0.08,
            budgets: BTreeMap::new(),
            markets: BTreeMap::new(),
        }
    }
}

const MAX_MARKETS: usize = 100;

fn seconds(key: &str, text: &str, low: f64, high: f64) -> Result<Millis> {
    Ok(millis(number(key, text, low, high)?))
}

impl Options {
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        Self::parse(&text).with_context(|| path.display().to_string())
    }

    pub fn parse(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text)?;
        let mut o = Options::default();
        for (section, props) in &ini {
            for (key, value) in props.iter() {
                let name = format!("{}.{key}", section.unwrap_or(""));
                o.set(section.unwrap_or(""), key, &name, value)?;
            }
        }
        ensure!(
            o.markets.len() <= MAX_MARKETS,
            "market: at most {MAX_MARKETS}"
        );
        ensure!(
            o.start_within_ms < o.tenancy_ms,
            "award.start_within_s: must be less than award.tenancy_s"
        );
        Ok(o)
    }

    fn set(&mut self, section: &str, key: &str, name: &str, value: &str) -> Result<()> {
        match (section, key) {
            ("lend", "classes") => {
                let names = value.split(',').map(|c| c.trim().to_owned());
                self.classes = names.filter(|c| !c.is_empty()).collect();
            }
            ("lend", "after_s") => self.min_wait_ms = seconds(name, value, 0.0, 86_400.0)?,
            ("lend", "floor_cpus") => self.local_floor_cpus = number(name, value, 0.0, 1e9)?,
            ("lend", "worth") => self.worth = number(name, value, 0.0, 1.0)?,
            ("lend", "jobs") => self.jobs = number(name, value, 1.0, 100_000.0)? as usize,
            ("award", "tenancy_s") => self.tenancy_ms = seconds(name, value, 5.0, 3_600.0)?,
            ("award", "clock_bound_s") => self.clock_bound_ms = seconds(name, value, 0.0, 60.0)?,
            ("award", "start_within_s") => self.start_within_ms = seconds(name, value, 1.0, 600.0)?,
            ("award", "every_s") => self.sync_interval_ms = seconds(name, value, 0.5, 60.0)?,
            ("state", "share") => self.share = number(name, value, 0.001, 0.5)?,
            ("budget", team) => {
                let most = number(name, value, 0.0, 1e9)?;
                self.budgets
                    .insert(team.to_owned(), (most * 1e6).round() as Money);
            }
            ("market", market) => {
                let addr: Result<SocketAddr, _> = value.trim().parse();
                ensure!(
                    addr.is_ok(),
                    "{name}: {value:?} is not an address like 10.9.0.1:8443"
                );
                self.markets
                    .insert(market.to_owned(), value.trim().to_owned());
            }
            _ => bail!("{name}: unknown section or key"),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
