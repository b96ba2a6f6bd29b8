//! Machines: the list, rentals, releases, and services moved off idle ones.

use super::*;

impl Leader {
    /// When the machine list is due, it is taken as asked for.
    pub fn list_due(&mut self, now: Ms) -> bool {
        let due = self.loaded && now >= self.list_at;
        if due {
            self.list_at = now + 4000;
        }
        due
    }

    pub fn listed(&mut self, list: &[ListedMachine], now: Ms) {
        for l in list {
            if self.released.contains_key(&l.id) {
                continue;
            }
            if l.state == ListedState::Failed {
                if let Some(ix) = self.model.machine_ix(&l.id) {
                    // It stopped by itself: nothing runs there any more.
                    self.model.clear_machine(ix);
                    self.release(ix, "failed", now);
                    if let Some(m) = self.model.machine_mut(ix) {
                        m.up = false;
                        m.unknown = false;
                        m.min_session = m.session + 1;
                    }
                    self.changed = true;
                } else if let Some(ix) =
                    self.model
                        .insert_machine(&l.id, &l.addr, &l.type_name, &l.zone, l.spot, now)
                {
                    self.release(ix, "failed", now);
                }
                continue;
            }
            let ix = self
                .model
                .insert_machine(&l.id, &l.addr, &l.type_name, &l.zone, l.spot, now);
            if let Some(m) = ix.and_then(|ix| self.model.machine_mut(ix)) {
                m.listed = now;
                if m.since == now && l.state == ListedState::Booting {
                    m.since = now.saturating_sub(millis(l.age_s));
                }
            }
        }
    }

    pub(super) fn release(&mut self, ix: u32, why: &str, now: Ms) {
        if let Some(m) = self.model.machine_mut(ix)
            && !m.releasing
        {
            log::info!("machine {} to be released: {why}", m.name);
            m.releasing = true;
            m.since = now;
        }
    }

    pub fn cloud_ops(&mut self, now: Ms, wall_ms: u64) -> Vec<CloudOp> {
        let mut ops = Vec::new();
        if !self.loaded || now < self.provision_at {
            return ops;
        }
        self.provision_at = now + 1000;
        let (machines, jobs) = self.model.machines_and_jobs();
        for m in machines {
            let batch = m.tasks.iter().any(|a| {
                a.live()
                    && jobs
                        .get(a.job as usize)
                        .and_then(Option::as_ref)
                        .is_none_or(|j| j.spec.kind != Kind::Service)
            });
            if batch {
                m.batch_until = now;
            }
        }
        self.return_machines(now);
        self.drain(now);
        let mut names = Vec::new();
        for m in self.model.each_machine_mut() {
            if m.releasing
                && !m.release_sent
                && (m.roster == Roster::Absent || m.release_marked)
                && !m.writing
                && m.live_tasks() == 0
                && names.len() < 100
            {
                m.release_sent = true;
                names.push(m.name.clone());
            }
        }
        if !names.is_empty() {
            ops.push(CloudOp::Release(names));
        }
        if self.settled && self.renting == 0 {
            for rent in self.purchases(now, wall_ms) {
                self.renting += 1;
                ops.push(CloudOp::Rent(rent));
            }
        }
        ops
    }

    fn price(&self, m: &Machine) -> f64 {
        self.model.types[m.type_ix].price_of(m.spot)
    }

    /// A dear machine is kept idle for less long than a cheap one of its type.
    pub(super) fn idle_allowance(&self, m: &Machine, idle: Ms) -> Ms {
        let t = &self.model.types[m.type_ix];
        if m.spot || t.price <= t.spot_price {
            return idle;
        }
        (idle as f64 * t.spot_price / t.price) as Ms
    }

    pub(super) fn return_machines(&mut self, now: Ms) {
        let idle = millis(self.options.idle_s);
        let lapse = self.lapse_after();
        let lag = millis(self.settings.cluster.cloud.list_lag_s);
        // What arrives often and must start soon finds an idle machine.
        let candidates = self.candidates();
        let mut held = self.reserves(&candidates, 60_000, KEEP_IDLE, now);
        held.extend(self.spares());
        let mut gone = Vec::new();
        for ix in self.model.machine_range() {
            let Some(m) = self.model.machine(ix) else {
                continue;
            };
            if m.releasing || m.unknown {
                continue;
            }
            let boot = millis(self.model.types[m.type_ix].boot_s);
            let empty = m.tasks.is_empty();
            let why = if m.up && m.quarantined && empty {
                Some("quarantined")
            } else if m.up && m.draining && empty && !m.ordering {
                Some("drained")
            } else if m.up
                && empty
                && self.settled
                && now >= m.idle_since + self.idle_allowance(m, idle)
                && !m.ordering
                && held.iter().all(|r| {
                    !r.covers(m.type_ix, m.spot)
                        || r.fits - m.capacity.count(&r.need).min(1000) >= r.wanted
                })
            {
                for r in held.iter_mut().filter(|r| r.covers(m.type_ix, m.spot)) {
                    r.fits -= m.capacity.count(&r.need).min(1000);
                }
                Some("idle")
            } else if !m.up
                && m.session == 0
                && m.roster == Roster::Absent
                && now > m.since + 4 * boot + 60_000
            {
                Some("never came up")
            } else if !m.up
                // One of the roster that was never heard in this term is as
                // silent: left there, each new leader would wait for it.
                && (m.session > 0 || m.roster == Roster::Present)
                && now > m.since + lapse
            {
                Some("silent")
            } else {
                None
            };
            if let Some(why) = why {
                self.release(ix, why, now);
            } else if !m.up
                && m.roster == Roster::Absent
                && now > m.listed + 30_000 + 4 * lag
                && now > m.since + 30_000 + 4 * lag
            {
                gone.push(ix);
            }
        }
        for ix in gone {
            self.model.remove_machine(ix);
        }
    }

    /// A machine that holds nothing but a few services, which find room on
    /// machines that are kept anyway, is emptied and returned.
    pub(super) fn drain(&mut self, now: Ms) {
        if !self.settled || now < self.drain_at {
            return;
        }
        self.drain_at = now + 2000;
        let idle = millis(self.options.idle_s);
        let mut order: Vec<u32> = Vec::new();
        for (ix, m) in self.model.indexed_machines() {
            if m.draining && m.up && !m.releasing {
                // One at a time.
                if m.live_tasks() > 0 {
                    return;
                }
                continue;
            }
            if m.usable() && m.live_tasks() > 0 && now >= m.batch_until + idle && !m.ordering {
                order.push(ix);
            }
        }
        order.sort_by(|a, b| {
            let key = |ix: &u32| {
                self.model
                    .machine(*ix)
                    .map_or((0.0, 0), |m| (self.price(m), m.live_tasks()))
            };
            let (a, b) = (key(a), key(b));
            b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
        });
        for ix in order {
            if let Some(targets) = self.can_empty(ix, now) {
                // Without this, batch tasks took the places with the image
                // while the services stopped, and those had to fetch.
                for to in targets {
                    if let Some(m) = self.model.machine_mut(to) {
                        m.no_batch_until = now + MOVE;
                    }
                }
                if let Some(m) = self.model.machine_mut(ix) {
                    log::info!(
                        "machine {} drained: {} services move",
                        m.name,
                        m.live_tasks()
                    );
                    m.draining = true;
                    for a in m.tasks.iter_mut().filter(|a| a.live() && a.stop.is_none()) {
                        a.stop = Some(0.0);
                    }
                }
                return;
            }
        }
    }

    /// Where the services of a machine would go, if all of them can.
    pub(super) fn can_empty(&self, ix: u32, now: Ms) -> Option<Vec<u32>> {
        let from = self.model.machine(ix)?;
        let mut targets = Vec::new();
        // One that has long been of no other use, and is dear, may cost its
        // services a short fetch. Between machines of one price that was
        // tried: 4 s of two replicas are 2% of what the worst 30 s counts.
        let long = now >= from.batch_until + 3 * millis(self.options.idle_s);
        let mut room: Vec<(u32, Amounts)> = Vec::new();
        for (to, m) in self.model.indexed_machines() {
            if to != ix
                && m.usable()
                && m.held_for.is_none()
                && self.price(m) <= self.price(from) * 1.01
                && m.live_tasks() > 0
            {
                room.push((to, m.free()));
            }
        }
        for a in from.tasks.iter().filter(|a| a.live()) {
            let job = self.model.job(a.job)?;
            if a.phase != Phase::Running || job.cancelled || job.cancel_wanted {
                return None;
            }
            let found = room.iter_mut().find(|(to, free)| {
                a.need.fits(free)
                    && self.model.machine(*to).is_some_and(|m| {
                        job.allows(m)
                            && (m.zone == from.zone || !(job.spec.one_zone || job.spec.spread))
                            && (m.images.contains(&job.image)
                                || long
                                    && self.price(from) >= 2.0 * self.price(m)
                                    && job.spec.image_gb
                                        <= self.model.types[m.type_ix].fetch_gb_per_s
                                            * SHORT_FETCH_S)
                    })
            });
            let (to, free) = found?;
            *free -= a.need;
            targets.push(*to);
        }
        Some(targets)
    }

    pub(super) fn boot_s(&self, types: &[bool]) -> f64 {
        self.model
            .types
            .iter()
            .zip(types)
            .filter(|(_, allowed)| **allowed)
            .map(|(t, _)| t.boot_s)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    pub(super) fn purchases(&mut self, now: Ms, wall_ms: u64) -> Vec<Rent> {
        let mut bins = Vec::new();
        let mut coming_bins = Vec::new();
        let mut batch_held = Vec::new();
        for (ix, m) in self.model.indexed_machines() {
            let boot = millis(self.model.types[m.type_ix].boot_s);
            // One that is long overdue is not counted on any more.
            let coming = !m.up
                && m.session == 0
                && !m.releasing
                && !m.unknown
                && !self.is_dark(m.zone, now)
                && now < m.since + boot + boot * 7 / 10;
            if coming || (m.up && m.roster == Roster::Absent && !m.releasing) || m.usable() {
                if coming {
                    coming_bins.push((bins.len(), ix));
                }
                // What batches hold turns over soon.
                batch_held.push(self.held_by_batches(m));
                bins.push(Bin {
                    type_ix: m.type_ix,
                    zone: m.zone,
                    spot: m.spot,
                    free: m.free(),
                });
            }
        }
        let mut offers = Vec::new();
        for (type_ix, t) in self.model.types.iter().enumerate() {
            for zone in &t.zones {
                let Some(zone) = self.model.zones.find(zone) else {
                    continue;
                };
                for spot in [false, true] {
                    offers.push(Offer {
                        type_ix,
                        zone,
                        spot,
                        capacity: Amounts::offer(t.cpus, t.gpus, t.memory_gb),
                        price: t.price_of(spot),
                        refused: self.is_dark(zone, now)
                            || self
                                .refused
                                .get(&(type_ix, zone, spot))
                                .is_some_and(|until| now < *until),
                    });
                }
            }
        }
        let order = self.queue();
        let free_before: Vec<Amounts> = bins.iter().map(|b| b.free).collect();
        let mut room: HashMap<usize, Amounts> = HashMap::new();
        let mut demands = Vec::new();
        let mut batch_demands = Vec::new();
        let (mut of, mut batch_of) = (Vec::new(), Vec::new());
        for &ix in &order {
            let Some(j) = self.model.job(ix) else {
                continue;
            };
            if j.failures > 5 {
                continue;
            }
            let waiting = i64::from(j.waiting());
            let mut count = waiting;
            // What the team may not run yet needs no machine yet.
            let planned = room.entry(j.team).or_default();
            while count > 0 {
                let mut all = j.need.scaled(count);
                all += *planned;
                if self.within_limit(j.team, &all, 1) {
                    break;
                }
                count -= 1;
            }
            *planned += j.need.scaled(count);
            if count <= 0 {
                continue;
            }
            let mut demand = Demand {
                need: j.need,
                count,
                types: j.types.clone(),
                zone: j.zone,
                spot: j.spec.spot,
                per_zone: j.spec.spread.then(|| i64::from(j.spec.tasks.div_ceil(2))),
                refused: false,
            };
            if j.spec.kind == Kind::Array {
                let age = wall_ms.saturating_sub(j.at_ms) as f64 / 1000.0;
                let left = j
                    .spec
                    .deadline_s
                    .map(|d| d - age - self.boot_s(&j.types) - 5.0);
                let live = i64::from(j.live);
                demand.count = provision::parallel(count, live, j.spec.estimate_s, left);
                batch_demands.push(demand);
                batch_of.push(ix);
            } else {
                demands.push(demand);
                of.push(ix);
            }
            if demands.len() + batch_demands.len() >= 200 {
                break;
            }
        }
        self.order = order;
        let mut bought = provision::plan(&mut demands, &mut bins, &offers, provision::MAX_NEW);
        // Batches may use what high priority leaves.
        let mut room: Vec<Bin> = bins.clone();
        bought.extend(provision::plan(
            &mut batch_demands,
            &mut bins,
            &offers,
            provision::BATCH_NEW,
        ));
        let planned = of.iter().chain(&batch_of);
        for (ix, d) in planned.zip(demands.iter().chain(&batch_demands)) {
            if let Some(j) = self.model.job_mut(*ix) {
                j.supply = match d {
                    Demand { refused: true, .. } => Some(Reason::CloudRefuses),
                    Demand { count: 1.., .. } => Some(Reason::MachineBooting),
                    // Not hurried: it will be in time without.
                    _ => None,
                };
            }
        }
        let untouched: Vec<bool> = bins
            .iter()
            .zip(&free_before)
            .map(|(b, before)| b.free == *before)
            .collect();
        let mut spares: Vec<Demand> = self
            .spares()
            .into_iter()
            .map(|r| Demand {
                need: r.need,
                count: r.wanted,
                types: r.types,
                zone: None,
                spot: r.spot,
                per_zone: None,
                refused: false,
            })
            .collect();
        for (bin, held) in room.iter_mut().zip(batch_held) {
            bin.free += held;
        }
        bought.extend(provision::plan(
            &mut spares,
            &mut room,
            &offers,
            provision::MAX_NEW,
        ));
        // A machine that still boots when its work is gone is given back, once
        // the least that it costs is spent.
        for (bin, ix) in coming_bins {
            if let Some(m) = self.model.machine(ix)
                && untouched[bin]
                && now > m.since + LEAST_CHARGE
            {
                self.release(ix, "no longer needed", now);
            }
        }
        let mut rents = Vec::new();
        for p in bought {
            let mut left = p.count;
            while left > 0 {
                let count = left.min(MAX_RENT);
                left -= count;
                self.requests += 1;
                rents.push(Rent {
                    request: format!("r-{}-{}", self.term, self.requests),
                    type_name: self.model.types[p.type_ix].name.clone(),
                    zone: self.model.zones.name(p.zone).to_owned(),
                    spot: p.spot,
                    count,
                });
            }
        }
        rents
    }

    /// `None`: no answer; the machines, if any, show in the list.
    pub fn rented(&mut self, rent: &Rent, names: Option<&[String]>, now: Ms) {
        self.renting = self.renting.saturating_sub(1);
        let names = names.unwrap_or(&[]);
        log::info!(
            "rented {} of {} {} in {}{}",
            names.len(),
            rent.count,
            rent.type_name,
            rent.zone,
            if rent.spot { ", spot" } else { "" }
        );
        self.tally.rented += names.len() as u64;
        for name in names {
            self.model
                .insert_machine(name, "", &rent.type_name, &rent.zone, rent.spot, now);
        }
        if (names.len() as u32) < rent.count
            && let (Some(t), Some(z)) = (
                self.model.type_index(&rent.type_name),
                self.model.zones.find(&rent.zone),
            )
        {
            self.refused.insert((t, z, rent.spot), now + REFUSED);
        }
    }

    /// The cloud answered a release: the machines are gone.
    pub fn released(&mut self, names: &[String], ok: bool, now: Ms) {
        for name in names {
            let Some(ix) = self.model.machine_ix(name) else {
                continue;
            };
            if !ok {
                if let Some(m) = self.model.machine_mut(ix) {
                    m.release_sent = false;
                }
                continue;
            }
            if let Some(m) = self.model.machine(ix)
                && m.roster == Roster::Present
            {
                self.drops.push((name.clone(), m.version));
            }
            self.tally.released += 1;
            self.model.remove_machine(ix);
            self.released.insert(name.clone(), now);
            self.changed = true;
        }
        if self.released.len() > 5000 {
            self.released.retain(|_, at| now < *at + 600_000);
        }
    }
}
