//! Machine inventory: the cloud's machine list, scale-in, and draining of machines that run
//! only a few services.
//!
//! The server passes in each machine list it has read, and calls `cloud_ops` for the
//! requests and releases to send. Invariants: a machine whose tasks are not known is never
//! scaled in, and the deletion of a registered machine is never requested before its
//! release is recorded.

use super::{Leader, headroom::Headroom, millis};
use crate::{
    protocol::cloud::{ListedMachine, ListedState, MachineRequest},
    state::{
        Millis,
        cluster::{Machine, MachineHandle, Phase, Registration},
        resources::Resources,
    },
};

/// Margin added to twice the lag of the machine list, before a list is relied on.
const LIST_MARGIN_MS: Millis = 1_000;
/// Period of expected arrivals for which idle machines are kept.
const KEEP_IDLE_MS: Millis = 25_000;
/// How long a machine stays closed to batch tasks for services that move to it.
const SERVICE_MOVE_MS: Millis = 5_000;
/// Period of recent arrivals from which the arrivals to keep idle machines for are
/// estimated.
const IDLE_ARRIVAL_WINDOW_MS: Millis = 60_000;
/// Margin added to four times the usual boot time, before a machine that has not come up is
/// released.
const BOOT_MARGIN_MS: Millis = 60_000;
/// Margin added to four times the lag of the machine list, before a machine that is not
/// listed counts as deleted.
const UNLISTED_MARGIN_MS: Millis = 30_000;
/// Interval between reads of the machine list.
const LIST_INTERVAL_MS: Millis = 4_000;
/// Interval between scaling rounds.
const SCALING_INTERVAL_MS: Millis = 1_000;
/// Interval between searches for a machine to drain.
const DRAIN_INTERVAL_MS: Millis = 2_000;
/// Longest image fetch, in seconds, that a move of a service may cause. A longer one costs
/// more replica time than the drained machine is worth.
const SHORT_FETCH_S: f64 = 4.0;
/// How long a worker may take to find a new leader: a heartbeat that times out, and a
/// pause before the next one.
pub(super) const WORKER_REDIRECT_MS: Millis = 5_000;

/// An operation to send to the cloud.
#[derive(Debug, Clone)]
pub enum CloudOp {
    /// Adds machines.
    MachineRequest(MachineRequest),
    /// Deletes the machines with these names.
    Release(Vec<String>),
}

/// Largest number of machines in one request to delete machines.
const MAX_RELEASED_MACHINES: usize = 100;
/// Largest ratio of two prices that count as equal.
const SAME_PRICE_RATIO: f64 = 1.01;

/// A machine that services may be moved to.
struct MoveTarget {
    machine: MachineHandle,
    free: Resources,
    price: f64,
}

impl Leader {
    /// Whether the machine list has to be read now. If so, the read counts as started, and the
    /// next one is scheduled.
    pub fn list_due(&mut self, now: Millis) -> bool {
        let due = self.recovery.loaded && now >= self.scaling.next_list_at;
        if due {
            let reliable_from = self.list_reliable_from();
            self.scaling.next_list_at = now + LIST_INTERVAL_MS;
            if !self.recovery.settled && now < reliable_from {
                self.scaling.next_list_at = self.scaling.next_list_at.min(reliable_from);
            }
        }
        due
    }

    /// Returns the time from which a requested list shows the machines as they were after this
    /// term began.
    fn list_reliable_from(&self) -> Millis {
        let lag = millis(self.settings.cluster.cloud.list_lag_s);
        self.recovery.elected_at + 2 * lag + LIST_MARGIN_MS
    }

    /// Called when the whole machine list, requested at `requested_at`, has been read: treats
    /// unconfirmed machines that it lacks as deleted. A machine that was in the registry when
    /// this term began was up, so the cloud lists it until it is deleted, and a list of a later
    /// time that lacks it shows that it has been. Guards against waiting for the leases of
    /// machines that were reclaimed.
    pub fn full_list_received(&mut self, requested_at: Millis, now: Millis) {
        if self.recovery.settled || requested_at < self.list_reliable_from() {
            return;
        }
        let machines = self.cluster.machines_with_handles();
        let gone: Vec<MachineHandle> = machines
            .filter(|(_, machine)| machine.contents_unknown && machine.last_listed < requested_at)
            .map(|(machine_handle, _)| machine_handle)
            .collect();
        for machine_handle in &gone {
            if let Some(machine) = self.cluster.machine_mut(*machine_handle) {
                machine.contents_unknown = false;
                machine.state_since = now;
            }
            // Removes the assignments that an earlier leader made.
            self.cluster.clear_machine(*machine_handle);
        }
        if !gone.is_empty() {
            let gone = gone.len();
            log::info!(
                "{gone} registered machines are no longer listed by the cloud: treated as deleted"
            );
            self.changed = true;
        }
    }

    /// Applies a page of the machine list.
    pub fn machines_listed(&mut self, machines: &[ListedMachine], now: Millis) {
        for listed in machines {
            if self.scaling.released.contains_key(&listed.id) {
                continue;
            }
            if listed.state == ListedState::Failed {
                if let Some(machine_handle) = self.cluster.machine_handle(&listed.id) {
                    // A failed machine has stopped: nothing runs there any more.
                    self.cluster.clear_machine(machine_handle);
                    self.release(machine_handle, "failed", now);
                    if let Some(machine) = self.cluster.machine_mut(machine_handle) {
                        machine.up = false;
                        machine.contents_unknown = false;
                        machine.min_incarnation = machine.incarnation + 1;
                    }
                    self.changed = true;
                } else if let Some(machine_handle) = self.cluster.insert_machine(listed.into(), now)
                {
                    self.release(machine_handle, "failed", now);
                }
                continue;
            }
            let machine_handle = self.cluster.insert_machine(listed.into(), now);
            if let Some(machine) =
                machine_handle.and_then(|machine_handle| self.cluster.machine_mut(machine_handle))
            {
                machine.last_listed = now;
                if machine.state_since == now && listed.state == ListedState::Booting {
                    machine.state_since = now.saturating_sub(millis(listed.age_s));
                }
            }
        }
    }

    pub(super) fn release(&mut self, machine_handle: MachineHandle, reason: &str, now: Millis) {
        if let Some(machine) = self.cluster.machine_mut(machine_handle)
            && !machine.releasing
        {
            log::info!("machine {} will be released: {reason}", machine.name);
            machine.releasing = true;
            machine.state_since = now;
        }
    }

    /// Returns the operations to send to the cloud now.
    pub fn cloud_ops(&mut self, now: Millis, wall_ms: u64) -> Vec<CloudOp> {
        let mut ops = Vec::new();
        if !self.recovery.loaded || now < self.scaling.next_scaling_at {
            return ops;
        }
        self.scaling.next_scaling_at = now + SCALING_INTERVAL_MS;
        self.cluster.record_batch_activity(now);
        self.scale_in(now);
        self.drain(now);
        let names_to_release = self.take_due_releases();
        if !names_to_release.is_empty() {
            ops.push(CloudOp::Release(names_to_release));
        }
        if self.knows_enough_to_scale(now)
            && now >= self.scaling.no_scale_out_until
            && self.scaling.requests_in_flight == 0
        {
            for request in self.plan_scale_out(now, wall_ms) {
                self.scaling.requests_in_flight += 1;
                ops.push(CloudOp::MachineRequest(request));
            }
        }
        ops
    }

    /// Returns the names of the machines to delete now, and marks their deletion as requested.
    fn take_due_releases(&mut self) -> Vec<String> {
        let due = |machine: &Machine| {
            machine.releasing
                && !machine.release_requested
                && (machine.registration == Registration::Absent || machine.release_recorded)
                && !machine.write_in_flight
                && machine.live_tasks() == 0
        };
        let all = self.cluster.machines_with_handles();
        let all = all
            .filter(|(_, machine)| due(machine))
            .map(|(machine_handle, _)| machine_handle);
        let due: Vec<MachineHandle> = all.take(MAX_RELEASED_MACHINES).collect();
        let mut names = Vec::with_capacity(due.len());
        for machine_handle in due {
            if let Some(machine) = self.cluster.machine_mut(machine_handle) {
                machine.release_requested = true;
                names.push(machine.name.clone());
            }
        }
        names
    }

    /// Whether every machine is confirmed, or every worker that can send a heartbeat has had
    /// the time to. Guards against waiting for leases to expire before any machine is
    /// requested, as a few machines are unresponsive when a new leader starts.
    fn knows_enough_to_scale(&self, now: Millis) -> bool {
        self.recovery.settled || !self.workers_may_be_redirecting(now)
    }

    /// Whether workers may still be in the process of finding this leader.
    pub(super) fn workers_may_be_redirecting(&self, now: Millis) -> bool {
        let report_interval_ms = millis(self.settings.cluster.workers.report_s * 1.25);
        now < self.recovery.elected_at + WORKER_REDIRECT_MS + report_interval_ms
    }

    fn price(&self, machine: &Machine) -> f64 {
        self.cluster.types[machine.type_index].price_of(machine.spot)
    }

    /// Returns how long a machine is kept idle. An on-demand machine is kept for less time than
    /// a spot machine of its type, in proportion to their prices.
    pub(super) fn idle_allowance(&self, machine: &Machine, idle_ms: Millis) -> Millis {
        let machine_type = &self.cluster.types[machine.type_index];
        if machine.spot || machine_type.price <= machine_type.spot_price {
            return idle_ms;
        }
        (idle_ms as f64 * machine_type.spot_price / machine_type.price) as Millis
    }

    /// Releases machines that are not needed or not usable, and removes those that are neither
    /// registered nor listed any more.
    pub(super) fn scale_in(&mut self, now: Millis) {
        // Idle machines are kept for work that arrives often and must start soon.
        self.refresh_fleet(now);
        let mut headroom = self.headroom(IDLE_ARRIVAL_WINDOW_MS, KEEP_IDLE_MS, now);
        headroom.extend(self.spare_capacity());
        let mut gone_machines = Vec::new();
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
                gone_machines.push(machine_handle);
            }
        }
        for machine_handle in gone_machines {
            self.remove_gone_machine(machine_handle, now);
        }
    }

    /// Returns why a machine that is up should be released, if it should. An idle machine that
    /// is released is subtracted from the headroom.
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
        let covering = |entry: &&mut Headroom| entry.covers(machine.type_index, machine.spot);
        let needed = headroom.iter().any(|entry| {
            entry.covers(machine.type_index, machine.spot)
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

    /// Whether an empty machine has been idle for longer than idle machines are kept.
    fn is_idle_too_long(&self, machine: &Machine, now: Millis) -> bool {
        let idle_ms = millis(self.options.idle_timeout_s);
        self.recovery.settled
            && now >= machine.idle_since + self.idle_allowance(machine, idle_ms)
            // If most machines get no responses, the fault is on the side of this node.
            && !(machine.awaits_token_acknowledgement() && now < self.scaling.no_scale_out_until)
            && !machine.command_in_flight
    }

    /// Returns why a machine that is not up should be released, if it should.
    fn reason_to_release_down(&self, machine: &Machine, now: Millis) -> Option<&'static str> {
        let boot_ms = millis(self.cluster.types[machine.type_index].boot_s);
        let registered = machine.registration == Registration::Present;
        let has_run = machine.incarnation > 0;
        if !has_run
            && machine.registration == Registration::Absent
            && now > machine.state_since + 4 * boot_ms + BOOT_MARGIN_MS
        {
            return Some("never came up");
        }
        // A registered machine that sent no heartbeat in this term counts as unresponsive
        // too: if its record were kept, each new leader would wait for the machine.
        let unresponsive = now > machine.state_since + self.lease_expiry();
        ((has_run || registered) && unresponsive).then_some("silent")
    }

    /// Whether a machine is not registered, and has not been listed for so long that the cloud
    /// must have deleted it.
    fn is_gone(&self, machine: &Machine, now: Millis) -> bool {
        let list_lag_ms = millis(self.settings.cluster.cloud.list_lag_s);
        let unlisted_ms = UNLISTED_MARGIN_MS + 4 * list_lag_ms;
        !machine.up
            && machine.registration == Registration::Absent
            && now > machine.last_listed + unlisted_ms
            && now > machine.state_since + unlisted_ms
    }

    fn remove_gone_machine(&mut self, machine_handle: MachineHandle, now: Millis) {
        // The cloud never reuses names, so any further heartbeat of a machine that ran is
        // late and has to be ignored.
        if let Some(machine) = self
            .cluster
            .machine(machine_handle)
            .filter(|machine| machine.latest_heartbeat.0 > 0)
        {
            self.scaling.released.insert(machine.name.clone(), now);
        }
        self.cluster.remove_machine(machine_handle);
    }

    /// Drains a machine that runs only a few services, if they fit on machines that are kept
    /// anyway.
    pub(super) fn drain(&mut self, now: Millis) {
        if !self.recovery.settled || now < self.scheduling.next_drain_at {
            return;
        }
        self.scheduling.next_drain_at = now + DRAIN_INTERVAL_MS;
        let idle_ms = millis(self.options.idle_timeout_s);
        let mut candidates: Vec<MachineHandle> = Vec::new();
        for (machine_handle, machine) in self.cluster.machines_with_handles() {
            if machine.draining && machine.up && !machine.releasing {
                // Only one machine is drained at a time.
                if machine.live_tasks() > 0 {
                    return;
                }
                continue;
            }
            if machine.schedulable()
                && machine.live_tasks() > 0
                && now >= machine.last_batch_activity + idle_ms
                && !machine.command_in_flight
            {
                candidates.push(machine_handle);
            }
        }
        candidates.sort_by(|a, b| {
            let key = |machine_handle: &MachineHandle| {
                self.cluster
                    .machine(*machine_handle)
                    .map_or((0.0, 0), |m| (self.price(m), m.live_tasks()))
            };
            let (a, b) = (key(a), key(b));
            b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
        });
        let targets = self.move_targets();
        for machine_handle in candidates {
            if let Some(targets) = self.plan_service_moves(machine_handle, &targets, now) {
                // Otherwise batch tasks would take the capacity on the machines that hold the
                // image while the services stop, and the services would have to fetch it.
                for target in targets {
                    if let Some(machine) = self.cluster.machine_mut(target) {
                        machine.no_batch_tasks_until = now + SERVICE_MOVE_MS;
                    }
                }
                if let Some(machine) = self.cluster.machine_mut(machine_handle) {
                    log::info!(
                        "machine {} is being drained: {} services move to other machines",
                        machine.name,
                        machine.live_tasks()
                    );
                    machine.draining = true;
                    for task in machine.tasks.iter_mut().filter(|task| task.is_live()) {
                        task.stop.request(0.0);
                    }
                }
                return;
            }
        }
    }

    /// Returns the machines that services may be moved to.
    fn move_targets(&self) -> Vec<MoveTarget> {
        let all = self.cluster.machines_with_handles();
        let open =
            all.filter(|(_, m)| m.schedulable() && m.reserved_for.is_none() && m.live_tasks() > 0);
        let target = |(machine, m): (MachineHandle, &Machine)| MoveTarget {
            machine,
            free: m.free(),
            price: self.price(m),
        };
        open.map(target).collect()
    }

    /// Returns the machines to which the services of a machine can be moved, or `None` if one of
    /// its tasks can't be moved.
    fn plan_service_moves(
        &self,
        machine_handle: MachineHandle,
        targets: &[MoveTarget],
        now: Millis,
    ) -> Option<Vec<MachineHandle>> {
        let source = self.cluster.machine(machine_handle)?;
        let price = self.price(source);
        // A short image fetch is accepted only for a machine that has long run nothing else and
        // costs at least twice as much as the target. Between machines of the same price it does
        // not pay: 4 s of two replicas are 2% of what the worst 30 s counts.
        let long_without_batches =
            now >= source.last_batch_activity + 3 * millis(self.options.idle_timeout_s);
        let mut moves: Vec<(MachineHandle, Resources)> = Vec::new();
        for assignment in source
            .tasks
            .iter()
            .filter(|assignment| assignment.is_live())
        {
            let job = self.cluster.job(assignment.job?)?;
            if assignment.phase != Phase::Running || job.cancelled || job.cancel_requested {
                return None;
            }
            let may_move = |target: &MoveTarget| {
                self.cluster
                    .machine(target.machine)
                    .is_some_and(|target_machine| {
                        job.allows(target_machine)
                            && (target_machine.zone == source.zone
                                || !(job.spec.single_zone || job.spec.spread))
                            && (target_machine.images.contains(&job.image)
                                || long_without_batches
                                    && price >= 2.0 * target.price
                                    && job.spec.image_gb
                                        <= self.cluster.types[target_machine.type_index]
                                            .fetch_gb_per_s
                                            * SHORT_FETCH_S)
                    })
            };
            let fits_beside_moves = |target: &MoveTarget| {
                let taken = moves
                    .iter()
                    .filter(|(machine, _)| *machine == target.machine);
                let free = taken.fold(target.free, |free, (_, need)| free.minus(*need));
                assignment.need.fits(&free)
            };
            let found = targets.iter().find(|target| {
                target.machine != machine_handle
                    && target.price <= price * SAME_PRICE_RATIO
                    && assignment.need.fits(&target.free)
                    && fits_beside_moves(target)
                    && may_move(target)
            });
            moves.push((found?.machine, assignment.need));
        }
        Some(moves.into_iter().map(|(machine, _)| machine).collect())
    }
}
