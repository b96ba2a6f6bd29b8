//! Machine inventory: the cloud's machine list, scale-in, and draining machines that run
//! nothing but a few services.
//!
//! The server calls it with each list it has read, and asks `cloud_ops` what to request
//! and release. It must never scale in a machine whose tasks it does not know, nor
//! request the deletion of a registered one before its release is recorded.

use super::{Leader, headroom::Headroom, millis};
use crate::{
    protocol::cloud::{ListedMachine, ListedState, MachineRequest},
    state::{
        Millis,
        cluster::{Machine, MachineHandle, Phase, Registration},
        resources::Resources,
    },
};

/// Added to twice the lag of the machine list.
const LIST_MARGIN_MS: Millis = 1_000;
/// For how long ahead an idle machine is kept for recent arrivals.
const KEEP_IDLE_MS: Millis = 25_000;
/// How long capacity is kept for services that move.
const SERVICE_MOVE_MS: Millis = 5_000;
/// Arrivals for which idle machines are kept.
const IDLE_ARRIVAL_WINDOW_MS: Millis = 60_000;
/// Beyond several times the usual boot time, for a machine that never came up.
const BOOT_MARGIN_MS: Millis = 60_000;
/// Beyond several times the list's lag, for a machine that is not listed.
const UNLISTED_MARGIN_MS: Millis = 30_000;
/// How often the machine list is read.
const LIST_INTERVAL_MS: Millis = 4_000;
/// How often scaling is considered.
const SCALING_INTERVAL_MS: Millis = 1_000;
/// How often a machine to drain is looked for.
const DRAIN_INTERVAL_MS: Millis = 2_000;
/// A fetch that a service may be moved for. Longer ones cost more of its
/// replica time than the machine is worth (tried without this bound).
const SHORT_FETCH_S: f64 = 4.0;
/// How long a worker may take to find a new leader: a heartbeat that times out and a
/// pause.
pub(super) const WORKER_REDIRECT_MS: Millis = 5_000;

/// What is to be asked of the cloud.
#[derive(Debug, Clone)]
pub enum CloudOp {
    /// Machines to be added.
    MachineRequest(MachineRequest),
    /// Machines to be deleted, by name.
    Release(Vec<String>),
}

/// Names that one request to delete machines may hold.
const MAX_RELEASED_MACHINES: usize = 100;
/// Machines whose prices are no further apart than this cost the same.
const SAME_PRICE_RATIO: f64 = 1.01;

/// A machine that services may move to.
struct MoveTarget {
    machine: MachineHandle,
    free: Resources,
    price: f64,
}

impl Leader {
    /// Whether the machine list is due; if so, it is taken as requested now.
    pub fn list_due(&mut self, now: Millis) -> bool {
        let due = self.recovery.loaded && now >= self.scaling.next_list_at;
        if due {
            let telling = self.list_reliable_from();
            self.scaling.next_list_at = now + LIST_INTERVAL_MS;
            if !self.recovery.settled && now < telling {
                self.scaling.next_list_at = self.scaling.next_list_at.min(telling);
            }
        }
        due
    }

    /// A list requested from then on shows the machines as they were after this term
    /// began.
    fn list_reliable_from(&self) -> Millis {
        let lag = millis(self.settings.cluster.cloud.list_lag_s);
        self.recovery.elected_at + 2 * lag + LIST_MARGIN_MS
    }

    /// The whole list was read, requested at `asked`. What was in the machine registry
    /// when this term began was up, so it has been or would be listed until it is
    /// deleted: a list of a later time that lacks it shows that it is. Guards against
    /// waiting for the leases of machines that were reclaimed.
    pub fn full_list_received(&mut self, asked: Millis, now: Millis) {
        if self.recovery.settled || asked < self.list_reliable_from() {
            return;
        }
        let machines = self.cluster.machines_by_handle();
        let gone: Vec<MachineHandle> = machines
            .filter(|(_, m)| m.contents_unknown && m.last_listed < asked)
            .map(|(machine_handle, _)| machine_handle)
            .collect();
        for machine_handle in &gone {
            if let Some(m) = self.cluster.machine_mut(*machine_handle) {
                m.contents_unknown = false;
                m.state_since = now;
            }
            // What an earlier leader placed there.
            self.cluster.clear_machine(*machine_handle);
        }
        if !gone.is_empty() {
            let gone = gone.len();
            log::info!("{gone} registered machines are not listed any more: they are gone");
            self.changed = true;
        }
    }

    /// Applies a page of the machine list.
    pub fn machines_listed(&mut self, list: &[ListedMachine], now: Millis) {
        for l in list {
            if self.scaling.released.contains_key(&l.id) {
                continue;
            }
            if l.state == ListedState::Failed {
                if let Some(machine_handle) = self.cluster.machine_handle(&l.id) {
                    // It stopped by itself: nothing runs there any more.
                    self.cluster.clear_machine(machine_handle);
                    self.release(machine_handle, "failed", now);
                    if let Some(m) = self.cluster.machine_mut(machine_handle) {
                        m.up = false;
                        m.contents_unknown = false;
                        m.min_incarnation = m.incarnation + 1;
                    }
                    self.changed = true;
                } else if let Some(machine_handle) = self.cluster.insert_machine(l.into(), now) {
                    self.release(machine_handle, "failed", now);
                }
                continue;
            }
            let machine_handle = self.cluster.insert_machine(l.into(), now);
            if let Some(m) =
                machine_handle.and_then(|machine_handle| self.cluster.machine_mut(machine_handle))
            {
                m.last_listed = now;
                if m.state_since == now && l.state == ListedState::Booting {
                    m.state_since = now.saturating_sub(millis(l.age_s));
                }
            }
        }
    }

    pub(super) fn release(&mut self, machine_handle: MachineHandle, why: &str, now: Millis) {
        if let Some(m) = self.cluster.machine_mut(machine_handle)
            && !m.releasing
        {
            log::info!("machine {} to be released: {why}", m.name);
            m.releasing = true;
            m.state_since = now;
        }
    }

    /// What to ask of the cloud now.
    pub fn cloud_ops(&mut self, now: Millis, wall_ms: u64) -> Vec<CloudOp> {
        let mut ops = Vec::new();
        if !self.recovery.loaded || now < self.scaling.next_look_at {
            return ops;
        }
        self.scaling.next_look_at = now + SCALING_INTERVAL_MS;
        self.cluster.record_batch_activity(now);
        self.scale_in(now);
        self.drain(now);
        let names = self.take_due_releases();
        if !names.is_empty() {
            ops.push(CloudOp::Release(names));
        }
        if self.knows_enough_to_scale(now)
            && now >= self.scaling.no_scale_out_until
            && self.scaling.requests_in_flight == 0
        {
            for rent in self.plan_scale_out(now, wall_ms) {
                self.scaling.requests_in_flight += 1;
                ops.push(CloudOp::MachineRequest(rent));
            }
        }
        ops
    }

    /// Machines to be deleted now, marked as requested.
    fn take_due_releases(&mut self) -> Vec<String> {
        let due = |m: &Machine| {
            m.releasing
                && !m.release_requested
                && (m.registration == Registration::Absent || m.release_recorded)
                && !m.write_in_flight
                && m.live_tasks() == 0
        };
        let all = self.cluster.machines_by_handle();
        let all = all
            .filter(|(_, m)| due(m))
            .map(|(machine_handle, _)| machine_handle);
        let due: Vec<MachineHandle> = all.take(MAX_RELEASED_MACHINES).collect();
        let mut names = Vec::with_capacity(due.len());
        for machine_handle in due {
            if let Some(m) = self.cluster.machine_mut(machine_handle) {
                m.release_requested = true;
                names.push(m.name.clone());
            }
        }
        names
    }

    /// Every machine is confirmed, or those that can send a heartbeat have had the time
    /// to. Guards against waiting for a lease before anything is requested, as a few
    /// machines are unresponsive when a new leader begins.
    fn knows_enough_to_scale(&self, now: Millis) -> bool {
        self.recovery.settled || !self.workers_may_be_redirecting(now)
    }

    /// Workers may still be on their way to this leader.
    pub(super) fn workers_may_be_redirecting(&self, now: Millis) -> bool {
        let report = millis(self.settings.cluster.workers.report_s * 1.25);
        now < self.recovery.elected_at + WORKER_REDIRECT_MS + report
    }

    fn price(&self, m: &Machine) -> f64 {
        self.cluster.types[m.type_ix].price_of(m.spot)
    }

    /// An expensive machine is kept idle for less long than a cheap one of its type.
    pub(super) fn idle_allowance(&self, m: &Machine, idle: Millis) -> Millis {
        let t = &self.cluster.types[m.type_ix];
        if m.spot || t.price <= t.spot_price {
            return idle;
        }
        (idle as f64 * t.spot_price / t.price) as Millis
    }

    /// Releases machines that are not needed or of no use, and removes those that
    /// are neither registered nor listed any more.
    pub(super) fn scale_in(&mut self, now: Millis) {
        // What arrives often and must start soon finds an idle machine.
        self.refresh_fleet(now);
        let mut headroom = self.headroom(IDLE_ARRIVAL_WINDOW_MS, KEEP_IDLE_MS, now);
        headroom.extend(self.spare_capacity());
        let mut gone = Vec::new();
        for index in self.cluster.machine_range() {
            let Some((machine_handle, machine)) = self.cluster.machine_at(index) else {
                continue;
            };
            if machine.releasing || machine.contents_unknown {
                continue;
            }
            let reason = match machine.up {
                true => self.reason_to_release_up(machine, &mut headroom, now),
                false => self.reason_to_release_down(machine, now),
            };
            if let Some(reason) = reason {
                self.release(machine_handle, reason, now);
            } else if self.is_gone(machine, now) {
                gone.push(machine_handle);
            }
        }
        for machine_handle in gone {
            self.remove_gone_machine(machine_handle, now);
        }
    }

    /// Why a machine that is up is to be released. An idle one no longer counts
    /// for the headroom.
    fn reason_to_release_up(
        &self,
        machine: &Machine,
        headroom: &mut [Headroom],
        now: Millis,
    ) -> Option<&'static str> {
        if !machine.tasks.is_empty() {
            return None;
        }
        if machine.failures.quarantined {
            return Some("tasks fail on it");
        }
        if machine.draining && !machine.command_in_flight {
            return Some("drained");
        }
        if !self.is_idle_too_long(machine, now) {
            return None;
        }
        let covering = |entry: &&mut Headroom| entry.covers(machine.type_ix, machine.spot);
        let needed = headroom.iter().any(|entry| {
            entry.covers(machine.type_ix, machine.spot)
                && entry.fits - entry.tasks_in(&machine.capacity) < entry.wanted
        });
        if needed {
            return None;
        }
        for entry in headroom.iter_mut().filter(covering) {
            entry.fits -= entry.tasks_in(&machine.capacity);
        }
        Some("idle")
    }

    /// An empty machine has been idle for longer than it is kept for.
    fn is_idle_too_long(&self, machine: &Machine, now: Millis) -> bool {
        let idle_ms = millis(self.options.idle_s);
        self.recovery.settled
            && now >= machine.idle_since + self.idle_allowance(machine, idle_ms)
            // Where most machines get no responses, the fault is here.
            && !(machine.misses_responses() && now < self.scaling.no_scale_out_until)
            && !machine.command_in_flight
    }

    /// Why a machine that is not up is to be released.
    fn reason_to_release_down(&self, machine: &Machine, now: Millis) -> Option<&'static str> {
        let boot_ms = millis(self.cluster.types[machine.type_ix].boot_s);
        let registered = machine.registration == Registration::Present;
        let has_run = machine.incarnation > 0;
        if !has_run
            && machine.registration == Registration::Absent
            && now > machine.state_since + 4 * boot_ms + BOOT_MARGIN_MS
        {
            return Some("never came up");
        }
        // A registered one that sent no heartbeat in this term is as
        // unresponsive: left there, each new leader would wait for it.
        let unresponsive = now > machine.state_since + self.lease_expiry();
        ((has_run || registered) && unresponsive).then_some("silent")
    }

    /// Neither registered nor listed for so long that the cloud has deleted it.
    fn is_gone(&self, machine: &Machine, now: Millis) -> bool {
        let list_lag_ms = millis(self.settings.cluster.cloud.list_lag_s);
        let unlisted_ms = UNLISTED_MARGIN_MS + 4 * list_lag_ms;
        !machine.up
            && machine.registration == Registration::Absent
            && now > machine.last_listed + unlisted_ms
            && now > machine.state_since + unlisted_ms
    }

    fn remove_gone_machine(&mut self, machine_handle: MachineHandle, now: Millis) {
        // Names are never used again: a heartbeat of one that ran is late.
        if let Some(machine) = self
            .cluster
            .machine(machine_handle)
            .filter(|machine| machine.latest_heartbeat.0 > 0)
        {
            self.scaling.released.insert(machine.name.clone(), now);
        }
        self.cluster.remove_machine(machine_handle);
    }

    /// Drains a machine that runs nothing but a few services, if these fit on machines
    /// that are kept anyway.
    pub(super) fn drain(&mut self, now: Millis) {
        if !self.recovery.settled || now < self.scheduling.next_drain_at {
            return;
        }
        self.scheduling.next_drain_at = now + DRAIN_INTERVAL_MS;
        let idle = millis(self.options.idle_s);
        let mut order: Vec<MachineHandle> = Vec::new();
        for (machine_handle, m) in self.cluster.machines_by_handle() {
            if m.draining && m.up && !m.releasing {
                // One at a time.
                if m.live_tasks() > 0 {
                    return;
                }
                continue;
            }
            if m.schedulable()
                && m.live_tasks() > 0
                && now >= m.last_batch_activity + idle
                && !m.command_in_flight
            {
                order.push(machine_handle);
            }
        }
        order.sort_by(|a, b| {
            let key = |machine_handle: &MachineHandle| {
                self.cluster
                    .machine(*machine_handle)
                    .map_or((0.0, 0), |m| (self.price(m), m.live_tasks()))
            };
            let (a, b) = (key(a), key(b));
            b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
        });
        let targets = self.move_targets();
        for machine_handle in order {
            if let Some(targets) = self.can_empty(machine_handle, &targets, now) {
                // Otherwise batch tasks take the capacity with the image while the
                // services stop, and these have to fetch.
                for to in targets {
                    if let Some(m) = self.cluster.machine_mut(to) {
                        m.closed_to_batches_until = now + SERVICE_MOVE_MS;
                    }
                }
                if let Some(m) = self.cluster.machine_mut(machine_handle) {
                    log::info!(
                        "machine {} drained: {} services move",
                        m.name,
                        m.live_tasks()
                    );
                    m.draining = true;
                    for a in m
                        .tasks
                        .iter_mut()
                        .filter(|a| a.is_live() && a.stop_grace_s.is_none())
                    {
                        a.stop_grace_s = Some(0.0);
                    }
                }
                return;
            }
        }
    }

    /// Machines that services may move to.
    fn move_targets(&self) -> Vec<MoveTarget> {
        let all = self.cluster.machines_by_handle();
        let open =
            all.filter(|(_, m)| m.schedulable() && m.reserved_for.is_none() && m.live_tasks() > 0);
        let target = |(machine, m): (MachineHandle, &Machine)| MoveTarget {
            machine,
            free: m.free(),
            price: self.price(m),
        };
        open.map(target).collect()
    }

    /// Where the services of a machine would go, if all of them can.
    fn can_empty(
        &self,
        machine_handle: MachineHandle,
        targets: &[MoveTarget],
        now: Millis,
    ) -> Option<Vec<MachineHandle>> {
        let from = self.cluster.machine(machine_handle)?;
        let price = self.price(from);
        // One that has long been of no other use, and is dear, may cost its
        // services a short fetch. Between machines of one price that was
        // tried: 4 s of two replicas are 2% of what the worst 30 s counts.
        let long = now >= from.last_batch_activity + 3 * millis(self.options.idle_s);
        let mut moved: Vec<(MachineHandle, Resources)> = Vec::new();
        for a in from.tasks.iter().filter(|a| a.is_live()) {
            let job = self.cluster.job(a.job?)?;
            if a.phase != Phase::Running || job.cancelled || job.cancel_requested {
                return None;
            }
            let may_move = |to: &MoveTarget| {
                self.cluster.machine(to.machine).is_some_and(|m| {
                    job.allows(m)
                        && (m.zone == from.zone || !(job.spec.single_zone || job.spec.spread))
                        && (m.images.contains(&job.image)
                            || long
                                && price >= 2.0 * to.price
                                && job.spec.image_gb
                                    <= self.cluster.types[m.type_ix].fetch_gb_per_s * SHORT_FETCH_S)
                })
            };
            let has_room = |to: &MoveTarget| {
                let taken = moved.iter().filter(|(machine, _)| *machine == to.machine);
                let free = taken.fold(to.free, |free, (_, need)| free.minus(*need));
                a.need.fits(&free)
            };
            let found = targets.iter().find(|to| {
                to.machine != machine_handle
                    && to.price <= price * SAME_PRICE_RATIO
                    && a.need.fits(&to.free)
                    && has_room(to)
                    && may_move(to)
            });
            moved.push((found?.machine, a.need));
        }
        Some(moved.into_iter().map(|(machine, _)| machine).collect())
    }
}
