//! The broker's INI file. Every key has a default. An unknown section or key, or
//! a value out of range, prevents the start with an error that names the key.

use crate::{Millis, Money, millis};
use anyhow::{Context, Result, bail, ensure};
use ini::Ini;
use pathwinch_cli::parse_number;
use std::{collections::BTreeMap, net::SocketAddr, path::Path};

/// Settings of the broker.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Classes of jobs that may be offloaded; if empty, no job is offloaded.
    pub classes: Vec<String>,
    /// Time that a job must have waited before it may be offloaded.
    pub min_wait_ms: Millis,
    /// CPUs of waiting work that are kept for the home's own machines.
    pub local_floor_cpus: f64,
    /// Maximum bid for a job, as a share of what renting machines for it at home
    /// would cost.
    pub max_rent_share: f64,
    /// Maximum number of jobs that are offloaded at a time.
    pub max_jobs: usize,
    /// Tenancy: time for which a market may run its awards without a renewal.
    pub tenancy_ms: Millis,
    /// Largest difference between the times of day of two brokers.
    pub clock_bound_ms: Millis,
    /// Time within which a market must accept an award; later it is void.
    pub start_within_ms: Millis,
    /// Interval between sync calls to each market, and between clearings.
    pub sync_interval_ms: Millis,
    /// Share of the state service's rate limits that a broker may use.
    pub state_share: f64,
    /// Daily budget of each team, in millionths of the price list's unit.
    pub budgets: BTreeMap<String, Money>,
    /// Address of each market, by name.
    pub markets: BTreeMap<String, String>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            classes: Vec::new(),
            min_wait_ms: 20_000,
            local_floor_cpus: 0.0,
            max_rent_share: 1.0,
            max_jobs: 2_000,
            tenancy_ms: 60_000,
            clock_bound_ms: 1_000,
            start_within_ms: 10_000,
            sync_interval_ms: 2_000,
            state_share: 0.08,
            budgets: BTreeMap::new(),
            markets: BTreeMap::new(),
        }
    }
}

/// Maximum number of markets in the options.
const MAX_MARKETS: usize = 100;

fn seconds(key: &str, text: &str, low: f64, high: f64) -> Result<Millis> {
    Ok(millis(parse_number(key, text, low, high)?))
}

impl Options {
    /// Reads and parses an INI file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        Self::parse(&text).with_context(|| path.display().to_string())
    }

    /// Parses the text of an INI file.
    pub fn parse(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text)?;
        let mut options = Options::default();
        for (section, properties) in &ini {
            for (key, value) in properties.iter() {
                let name = format!("{}.{key}", section.unwrap_or(""));
                options.set(section.unwrap_or(""), key, &name, value)?;
            }
        }
        ensure!(
            options.markets.len() <= MAX_MARKETS,
            "market: more than {MAX_MARKETS} markets"
        );
        ensure!(
            options.start_within_ms < options.tenancy_ms,
            "award.start_within_s: must be less than award.tenancy_s"
        );
        Ok(options)
    }

    fn set(&mut self, section: &str, key: &str, name: &str, value: &str) -> Result<()> {
        match (section, key) {
            ("lend", "classes") => {
                let names = value.split(',').map(|c| c.trim().to_owned());
                self.classes = names.filter(|c| !c.is_empty()).collect();
            }
            ("lend", "after_s") => self.min_wait_ms = seconds(name, value, 0.0, 86_400.0)?,
            ("lend", "floor_cpus") => self.local_floor_cpus = parse_number(name, value, 0.0, 1e9)?,
            ("lend", "worth") => self.max_rent_share = parse_number(name, value, 0.0, 1.0)?,
            ("lend", "jobs") => self.max_jobs = parse_number(name, value, 1.0, 100_000.0)? as usize,
            ("award", "tenancy_s") => self.tenancy_ms = seconds(name, value, 5.0, 3_600.0)?,
            ("award", "clock_bound_s") => self.clock_bound_ms = seconds(name, value, 0.0, 60.0)?,
            ("award", "start_within_s") => self.start_within_ms = seconds(name, value, 1.0, 600.0)?,
            ("award", "every_s") => self.sync_interval_ms = seconds(name, value, 0.5, 60.0)?,
            ("state", "share") => self.state_share = parse_number(name, value, 0.001, 0.5)?,
            ("budget", team) => {
                let units_per_day = parse_number(name, value, 0.0, 1e9)?;
                self.budgets
                    .insert(team.to_owned(), (units_per_day * 1e6).round() as Money);
            }
            ("market", market) => {
                let address: Result<SocketAddr, _> = value.trim().parse();
                ensure!(
                    address.is_ok(),
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
