//! The controllers' settings files.

use crate::{
    installation::{Controller, loopback},
    site::Site,
};
use anyhow::{Context, Result};
use pathwinch_protocol::settings::{Peer, Services, Settings};
use std::path::Path;

/// Chooses addresses for the site's controllers and writes their settings to
/// `dir`.
pub fn configure(site: &Site, services: &Services, dir: &Path) -> Result<Vec<Controller>> {
    let mut list = Vec::new();
    // Ports are free at this moment; controllers bind them themselves.
    let mut held = Vec::new();
    for n in 1..=site.controllers {
        let (one, listen) = loopback()?;
        let (two, back) = loopback()?;
        held.push((one, two));
        let name = format!("winch-{n}");
        let settings = dir.join(format!("{name}.json"));
        list.push(Controller {
            name,
            listen,
            back,
            settings,
        });
    }
    drop(held);
    let zone = |i: usize| site.cluster.zones[i % site.cluster.zones.len()].clone();
    for (i, c) in list.iter().enumerate() {
        let peers = list
            .iter()
            .enumerate()
            .filter(|(j, _)| *j != i)
            .map(|(j, p)| Peer {
                name: p.name.clone(),
                zone: zone(j),
                addr: p.back,
            })
            .collect();
        let settings = Settings {
            name: c.name.clone(),
            zone: zone(i),
            listen: c.listen,
            peer_listen: c.back,
            peers,
            services: services.clone(),
            cluster: site.cluster.clone(),
        };
        let text = serde_json::to_string_pretty(&settings)?;
        // The same check as a controller makes, before any is started.
        Settings::parse(&text).context("the site's settings")?;
        std::fs::write(&c.settings, text)
            .with_context(|| format!("cannot write {}", c.settings.display()))?;
    }
    Ok(list)
}
