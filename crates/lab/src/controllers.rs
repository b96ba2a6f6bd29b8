//! Chooses the addresses of the testbed's controllers and writes their settings files.

use crate::{
    installation::{Controller, loopback},
    site::Site,
};
use anyhow::{Context, Result};
use pathwinch_protocol::settings::{Peer, Services, Settings};
use std::path::Path;

/// Chooses free ports on loopback for the controllers of the site and writes a
/// settings file for each to `dir`.
pub fn configure(site: &Site, services: &Services, dir: &Path) -> Result<Vec<Controller>> {
    let mut controllers = Vec::new();
    // Holds all listeners until every port is chosen, so that no port is chosen
    // twice. The ports are free again afterwards; each controller binds its own.
    let mut listeners = Vec::new();
    for number in 1..=site.controllers {
        let (user_listener, listen) = loopback()?;
        let (peer_listener, peer_listen) = loopback()?;
        listeners.push((user_listener, peer_listener));
        let name = format!("winch-{number}");
        let settings = dir.join(format!("{name}.json"));
        controllers.push(Controller {
            name,
            listen,
            peer_listen,
            settings,
        });
    }
    drop(listeners);
    let zone = |i: usize| site.cluster.zones[i % site.cluster.zones.len()].clone();
    for (i, controller) in controllers.iter().enumerate() {
        let peers = controllers
            .iter()
            .enumerate()
            .filter(|(j, _)| *j != i)
            .map(|(j, peer)| Peer {
                name: peer.name.clone(),
                zone: zone(j),
                addr: peer.peer_listen,
            })
            .collect();
        let settings = Settings {
            name: controller.name.clone(),
            zone: zone(i),
            listen: controller.listen,
            peer_listen: controller.peer_listen,
            peers,
            services: services.clone(),
            cluster: site.cluster.clone(),
        };
        let text = serde_json::to_string_pretty(&settings)?;
        // The controllers check the settings in the same way; an error shows here
        // before any controller is started.
        Settings::parse(&text).context("settings made from the site are not valid")?;
        std::fs::write(&controller.settings, text)
            .with_context(|| format!("cannot write {}", controller.settings.display()))?;
    }
    Ok(controllers)
}
