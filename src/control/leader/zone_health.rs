//! Zone health: zones that no heartbeat comes from, as a network partition takes all
//! that is in one.
//!
//! Owns `ZoneHealth`. Updated by heartbeats and lease expiry; read by scale-out. The
//! zone of this node itself is never taken for unreachable.

use super::Leader;
use crate::state::Millis;

/// An unreachable zone gets nothing new for this long, unless something in it responds
/// before. In a zone with a controller the end of a partition shows in that; elsewhere
/// only a new machine can show it.
const UNREACHABLE_ZONE_MS: Millis = 60_000;
const UNREACHABLE_WATCHED_ZONE_MS: Millis = 300_000;
/// So many machines must be unresponsive at once to speak for their zone.
const MIN_SILENT_MACHINES: u32 = 2;

#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneHealth {
    /// When a worker or a controller in it last responded.
    last_heartbeat: Millis,
    unreachable_until: Millis,
}

impl ZoneHealth {
    /// A new leader takes every zone for reachable.
    pub(super) fn since(now: Millis) -> Self {
        ZoneHealth {
            last_heartbeat: now,
            unreachable_until: 0,
        }
    }
}

impl Leader {
    /// A worker or a controller in the zone responded.
    pub(super) fn zone_responded(&mut self, zone: usize, now: Millis) {
        if self.scaling.zone_health.len() <= zone {
            self.scaling
                .zone_health
                .resize(zone + 1, ZoneHealth::since(now));
        }
        self.scaling.zone_health[zone] = ZoneHealth::since(now);
    }

    /// Another controller answered.
    pub fn controller_responded(&mut self, zone: &str, now: Millis) {
        if let Some(zone) = self.cluster.zones.find(zone) {
            self.zone_responded(zone, now);
        }
    }

    /// Several machines of a zone are unresponsive, nothing else in it responds, and
    /// this node is in another one: it is unreachable.
    pub(super) fn update_zone_health(&mut self, silent: &[u32], overdue: Millis, now: Millis) {
        let home = self.cluster.zones.find(&self.settings.zone);
        for (zone, n) in silent.iter().enumerate() {
            let Some(life) = self.scaling.zone_health.get_mut(zone) else {
                continue;
            };
            let heard = life.last_heartbeat.max(self.recovery.resumed_at);
            if *n < MIN_SILENT_MACHINES || Some(zone) == home || now <= heard + overdue {
                continue;
            }
            let name = self.cluster.zones.name(zone);
            if now >= life.unreachable_until {
                log::info!("zone {name} is unreachable");
            }
            let watched = self.settings.peers.iter().any(|p| p.zone == name);
            life.unreachable_until = now
                + if watched {
                    UNREACHABLE_WATCHED_ZONE_MS
                } else {
                    UNREACHABLE_ZONE_MS
                };
        }
    }

    /// Guards against requesting, at the users' cost, machines that can not be reached:
    /// with one zone partitioned off its capacity is all that is left to request, and
    /// all of it was.
    pub(super) fn is_zone_unreachable(&self, zone: usize, now: Millis) -> bool {
        self.scaling
            .zone_health
            .get(zone)
            .is_some_and(|life| now < life.unreachable_until)
    }
}
