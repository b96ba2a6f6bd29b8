//! Zones from which nothing is heard: a cut takes all that is in one.

use super::*;

/// A zone that fell silent gets nothing new for this long, unless something
/// in it is heard before. Where a controller stands, the end of a cut shows
/// in that; elsewhere only a new machine can tell.
const DARK: Ms = 60_000;
const DARK_WATCHED: Ms = 300_000;
/// So many machines must be silent at once to speak for their zone.
const SILENT: u32 = 2;

#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneLife {
    /// When a worker or a controller in it was last heard.
    heard: Ms,
    dark_until: Ms,
}

impl ZoneLife {
    /// A new leader gives each zone the benefit of the doubt.
    pub(super) fn since(now: Ms) -> Self {
        ZoneLife {
            heard: now,
            dark_until: 0,
        }
    }
}

impl Leader {
    /// A worker or a controller in the zone was heard.
    pub(super) fn zone_heard(&mut self, zone: usize, now: Ms) {
        if self.renting.zone_life.len() <= zone {
            self.renting
                .zone_life
                .resize(zone + 1, ZoneLife::since(now));
        }
        self.renting.zone_life[zone] = ZoneLife::since(now);
    }

    /// Another controller answered.
    pub fn controller_heard(&mut self, zone: &str, now: Ms) {
        if let Some(zone) = self.cluster.zones.find(zone) {
            self.zone_heard(zone, now);
        }
    }

    /// Several machines of a zone are silent, nothing else in it is heard,
    /// and this node does not stand there itself: it is cut off.
    pub(super) fn judge_zones(&mut self, silent: &[u32], overdue: Ms, now: Ms) {
        let home = self.cluster.zones.find(&self.settings.zone);
        for (zone, n) in silent.iter().enumerate() {
            let Some(life) = self.renting.zone_life.get_mut(zone) else {
                continue;
            };
            let heard = life.heard.max(self.recovery.resumed);
            if *n < SILENT || Some(zone) == home || now <= heard + overdue {
                continue;
            }
            let name = self.cluster.zones.name(zone);
            if now >= life.dark_until {
                log::info!("zone {name} is silent");
            }
            let watched = self.settings.peers.iter().any(|p| p.zone == name);
            life.dark_until = now + if watched { DARK_WATCHED } else { DARK };
        }
    }

    /// Guards against renting, at the users' cost, machines that can't be
    /// reached: with one zone cut off its capacity is all that is left, and
    /// was rented whole.
    pub(super) fn is_dark(&self, zone: usize, now: Ms) -> bool {
        self.renting
            .zone_life
            .get(zone)
            .is_some_and(|life| now < life.dark_until)
    }
}
