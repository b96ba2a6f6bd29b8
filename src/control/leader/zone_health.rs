//! Zone health: detection of zones from which no heartbeats arrive, as a network partition
//! can cut off everything in a zone.
//!
//! Owns `ZoneHealth`. Updated by heartbeats and lease expiry; read by scale-out. Invariant:
//! the zone of this node itself never counts as unreachable.

use super::Leader;
use crate::state::Millis;

/// How long no machines are requested in an unreachable zone without a controller, unless
/// something in the zone responds earlier. Only a new machine can show there that the
/// partition has ended.
const UNREACHABLE_ZONE_MS: Millis = 60_000;
/// How long no machines are requested in an unreachable zone with a controller, unless
/// something in the zone responds earlier. The controller shows when the partition ends.
const UNREACHABLE_CONTROLLER_ZONE_MS: Millis = 300_000;
/// Least number of machines that must be unresponsive at once for their zone to count as
/// unreachable.
const MIN_UNRESPONSIVE_MACHINES: u32 = 2;

#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneHealth {
    /// When a worker or a controller in the zone last responded.
    last_response: Millis,
    unreachable_until: Millis,
}

impl ZoneHealth {
    /// Returns the health of a zone that is reachable as of `now`.
    pub(super) fn since(now: Millis) -> Self {
        ZoneHealth {
            last_response: now,
            unreachable_until: 0,
        }
    }
}

impl Leader {
    /// Records that a worker or a controller in the zone responded.
    pub(super) fn zone_responded(&mut self, zone: usize, now: Millis) {
        if self.scaling.zone_health.len() <= zone {
            self.scaling
                .zone_health
                .resize(zone + 1, ZoneHealth::since(now));
        }
        self.scaling.zone_health[zone] = ZoneHealth::since(now);
    }

    /// Records that another controller, in the given zone, responded.
    pub fn controller_responded(&mut self, zone: &str, now: Millis) {
        if let Some(zone) = self.cluster.zones.find(zone) {
            self.zone_responded(zone, now);
        }
    }

    /// Marks a zone as unreachable if several of its machines are unresponsive, nothing else
    /// in it responds, and this node is in another zone.
    pub(super) fn update_zone_health(
        &mut self,
        unresponsive_by_zone: &[u32],
        overdue_ms: Millis,
        now: Millis,
    ) {
        let own_zone = self.cluster.zones.find(&self.settings.zone);
        for (zone, unresponsive) in unresponsive_by_zone.iter().enumerate() {
            let Some(health) = self.scaling.zone_health.get_mut(zone) else {
                continue;
            };
            let responded_at = health.last_response.max(self.recovery.resumed_at);
            if *unresponsive < MIN_UNRESPONSIVE_MACHINES
                || Some(zone) == own_zone
                || now <= responded_at + overdue_ms
            {
                continue;
            }
            let name = self.cluster.zones.name(zone);
            if now >= health.unreachable_until {
                log::info!("zone {name} is unreachable: no machines are requested there");
            }
            let has_controller = self.settings.peers.iter().any(|p| p.zone == name);
            health.unreachable_until = now
                + if has_controller {
                    UNREACHABLE_CONTROLLER_ZONE_MS
                } else {
                    UNREACHABLE_ZONE_MS
                };
        }
    }

    /// Whether no machines should be requested in the zone because it is unreachable. Guards
    /// against requesting, at the users' cost, machines that cannot be reached: with one zone
    /// partitioned off, its capacity was all that was left to request, and all of it was
    /// requested.
    pub(super) fn is_zone_unreachable(&self, zone: usize, now: Millis) -> bool {
        self.scaling
            .zone_health
            .get(zone)
            .is_some_and(|health| now < health.unreachable_until)
    }
}
