//! Placement of what waits: the order of service and the choice of machines.

use super::*;

/// By kind of machine and zone.
type MostFree = Vec<((usize, usize, bool), Amounts)>;

impl Leader {
    /// Waiting jobs in the order in which they are served.
    pub(super) fn queue(&mut self) -> Vec<u32> {
        let mut order = std::mem::take(&mut self.planning.order);
        order.clear();
        for (ix, job) in self.model.jobs.iter().enumerate() {
            if let Some(j) = job
                && j.waiting() > 0
                && !j.cancelled
                && !j.cancel_wanted
            {
                order.push(ix as u32);
            }
        }
        let jobs = &self.model.jobs;
        let (objectives, wall) = (&self.settings.cluster.objectives, self.wall_ms);
        let fleet = self.fleet_offers();
        order.sort_by_cached_key(|ix| {
            jobs[*ix as usize].as_ref().map(|j| {
                let begun = !self.begins_late(j);
                let band = deadline_band(&j.spec, objectives, wall.saturating_sub(j.at_ms));
                let rank = std::cmp::Reverse(j.rank);
                let turn = j.turn_ms.saturating_add(yields_for(j, &fleet));
                (j.file.suspected, begun, rank, band, turn, *ix)
            })
        });
        order
    }

    /// Nothing of the job has run for so long that it goes ahead of all others
    /// now. Guards against large jobs that whatever is smaller, later or of
    /// higher priority passes for as long as that keeps coming.
    pub(super) fn begins_late(&self, j: &Job) -> bool {
        if !self.waited_long(j) || j.has_run || j.done_n > 0 || j.live > 0 {
            return false;
        }
        // Guests begin where one room is enough: more would cost others theirs.
        j.spec.kind != Kind::Gang || j.spec.tasks == 1 || !self.is_guest(j)
    }

    fn waited_long(&self, j: &Job) -> bool {
        let waited = self.wall_ms.saturating_sub(j.turn_ms);
        let bound = millis(self.options.begin_s);
        bound > 0 && waited >= bound
    }

    /// All that runs of the job is what it began with. Guards against a
    /// beginning that is stopped at once for what it went ahead of.
    pub(super) fn only_begins(&self, j: &Job) -> bool {
        j.live <= 1 && j.done_n == 0 && self.waited_long(j)
    }

    /// Neither its team nor its class is promised anything.
    fn is_guest(&self, j: &Job) -> bool {
        let promised = |t: &crate::protocol::settings::Team| t.cpus > 0.0 || t.gpus > 0.0;
        let class = Some(j.spec.class.as_str());
        let aims = &self.settings.cluster.objectives;
        !self.model.teams.get(j.team).is_some_and(promised)
            && !aims.iter().any(|o| o.class.as_deref() == class)
    }

    /// All that machines which are up offer.
    fn fleet_offers(&self) -> Amounts {
        let mut all = Amounts::default();
        for m in self.model.each_machine().filter(|m| m.usable()) {
            all += m.capacity;
        }
        all
    }

    pub(super) fn attempt(&mut self) -> u64 {
        self.planning.attempts += 1;
        (self.term << FENCE_BITS) | self.planning.attempts
    }

    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        for (ix, m) in self.model.indexed_machines() {
            if m.usable() {
                candidates.push(Candidate {
                    machine: ix,
                    zone: m.zone,
                    capacity: m.capacity,
                    free: m.free(),
                    caches_image: false,
                    pool: 0,
                    late: false,
                    preference: m.free().cpus,
                });
            }
        }
        candidates
    }

    /// What may run unseen counts against the team's limit until every machine
    /// has been heard: all that waits of jobs older than this term.
    fn count_unseen(&mut self) {
        self.planning.unseen.clear();
        if self.recovery.knows_all() {
            return;
        }
        self.planning
            .unseen
            .resize(self.model.teams.len(), Amounts::default());
        for j in self.model.jobs.iter().flatten() {
            if !self.job_settled(j)
                && let Some(u) = self.planning.unseen.get_mut(j.team)
            {
                *u += j.need.scaled(i64::from(j.may_run()));
            }
        }
    }

    /// Whether all tasks of the job that are, or may be, on a machine are
    /// known: it is younger than the term, or no machine that has neither been
    /// heard nor lapsed is of a kind that the job allows.
    pub(super) fn job_settled(&self, job: &Job) -> bool {
        self.recovery.knows_all()
            || job.fresh
            || !self.model.each_machine().any(|m| {
                m.unknown
                    && job.types.get(m.type_ix).copied().unwrap_or(true)
                    && job.zone.is_none_or(|z| z == m.zone)
                    && (job.spec.spot || !m.spot)
            })
    }

    pub(super) fn within_limit(&self, team: usize, need: &Amounts, n: i64) -> bool {
        let unseen = self.planning.unseen.get(team).copied().unwrap_or_default();
        self.model.within_limit(team, need, n, unseen)
    }

    /// How many of at most `n` such tasks the team may run beside `planned`.
    pub(super) fn most_within_limit(
        &self,
        team: usize,
        need: &Amounts,
        n: u32,
        mut planned: Amounts,
    ) -> i64 {
        planned += self.planning.unseen.get(team).copied().unwrap_or_default();
        self.model.most_within_limit(team, need, n, planned)
    }

    pub(super) fn place(&mut self, now: Ms) {
        self.count_unseen();
        let mut candidates = self.candidates();
        let order = self.queue();
        if candidates.is_empty() {
            for ix in &order {
                self.set_reason(*ix, Reason::NoRoom);
            }
            self.planning.order = order;
            return;
        }
        let keep = millis(self.options.keep_s);
        let mut reserves = self.reserves(&candidates, RATE_WINDOW, keep, now);
        let mut most = self.most_free(&candidates);
        // Jobs for which room is held.
        let held: Vec<u32> = self
            .model
            .each_machine()
            .filter_map(|m| m.held_for)
            .filter(|(_, until)| now < *until)
            .map(|(of, _)| of)
            .collect();
        let mut wanting = Vec::new();
        // Shapes that found no room in this pass; the rest of the queue
        // needn't be tried for them.
        let mut full: Vec<(Amounts, Vec<bool>, Option<usize>, bool)> = Vec::new();
        // Gangs that wait for room, and the priority they have.
        let mut gathering: (Vec<u32>, Priority) = (Vec::new(), Priority::Low);
        for &job_ix in &order {
            let Some(job) = self.model.job(job_ix) else {
                continue;
            };
            // One try at a time.
            let tried = job.file.suspected && job.live > 0;
            if job.backoff_until > now || job.file.waits(now) || tried {
                self.set_reason(job_ix, Reason::FailsEverywhere);
                continue;
            }
            let suspected = job.file.suspected;
            if !self.job_settled(job) {
                self.set_reason(job_ix, Reason::Settling);
                continue;
            }
            if job.rank < gathering.1 {
                for gang in gathering.0.drain(..) {
                    self.gather(gang, &mut candidates, now);
                }
            }
            let key = (job.need, job.types.clone(), job.zone, job.spec.spot);
            // No room in the open; room may be held or made for it still.
            if full.contains(&key) && !held.contains(&job_ix) {
                self.set_reason(job_ix, Reason::NoRoom);
                wanting.push(job_ix);
                continue;
            }
            let bound = job.spec.one_zone || job.spec.spread || job.spec.kind == Kind::Gang;
            let (team, priority) = (job.team, job.rank);
            let late = self.begins_late(job);
            let gang = job.spec.kind == Kind::Gang;
            if suspected {
                // Into room that is free; nothing is made or kept for it.
                self.mark_candidates(job_ix, &mut candidates, now);
                self.place_try(job_ix, &mut candidates, &mut reserves, now);
                continue;
            }
            // Guards against a look at every machine for every job that
            // waits while the fleet is full.
            if !self.may_fit(job, &most) {
                self.note_left(job_ix, held.contains(&job_ix));
                wanting.push(job_ix);
                continue;
            }
            let one = self.within_limit(team, &key.0, 1);
            self.mark_candidates(job_ix, &mut candidates, now);
            let placed = if gang {
                self.place_gang(job_ix, &mut candidates, &mut reserves, now)
            } else if late {
                // One task is a beginning; the rest takes its turn.
                self.place_some(job_ix, 1, &mut candidates, &mut reserves, now);
                // Guards against a pass at every event while it finds no room.
                if self.model.job(job_ix).is_some_and(|j| j.live > 0) {
                    self.changed = true;
                    most = self.most_free(&candidates);
                    continue;
                }
                false
            } else {
                self.place_each(job_ix, &mut candidates, &mut reserves, now)
            };
            if !placed {
                most = self.most_free(&candidates);
                self.note_left(job_ix, held.contains(&job_ix));
                wanting.push(job_ix);
            }
            if !placed && gang {
                if late || self.out_of_patience(job_ix, now) {
                    self.gather(job_ix, &mut candidates, now);
                } else {
                    gathering.0.push(job_ix);
                    gathering.1 = priority;
                }
            }
            if !placed && !bound && one && self.within_limit(team, &key.0, 1) {
                full.push(key);
            }
        }
        self.planning.order = order;
        if self.recovery.heard_most(now) {
            self.make_room(&wanting, now);
        }
    }

    /// The most of each resource that is free on one machine, by kind and
    /// zone: what exceeds it fits nowhere.
    fn most_free(&self, candidates: &[Candidate]) -> MostFree {
        let mut most = MostFree::new();
        for c in candidates {
            let Some(m) = self.model.machine(c.machine) else {
                continue;
            };
            let key = (m.type_ix, m.zone, m.spot);
            match most.iter_mut().find(|(k, _)| *k == key) {
                Some((_, free)) => free.widen(&c.free),
                None => most.push((key, c.free)),
            }
        }
        most
    }

    fn may_fit(&self, job: &Job, most: &MostFree) -> bool {
        most.iter().any(|((type_ix, zone, spot), free)| {
            job.allows_kind(*type_ix, *zone, *spot) && job.need.fits(free)
        })
    }

    /// Notes why the rest of a job found no place in this pass.
    fn note_left(&mut self, job_ix: u32, held: bool) {
        let Some(j) = self.model.job(job_ix) else {
            return;
        };
        let gang = j.spec.kind == Kind::Gang;
        let at_once = if gang { j.waiting() } else { 1 };
        let reason = if gang && j.live > 0 && self.gang_to_complete(job_ix).is_none() {
            Reason::OldAttempt
        } else if !self.within_limit(j.team, &j.need, i64::from(at_once)) {
            Reason::TeamLimit
        } else if held {
            Reason::RoomBeingMade
        } else if gang && j.spec.tasks > 1 {
            Reason::GangIncomplete
        } else {
            Reason::NoRoom
        };
        self.set_reason(job_ix, reason);
    }

    pub(super) fn mark_candidates(&self, job_ix: u32, candidates: &mut [Candidate], now: Ms) {
        let Some(job) = self.model.job(job_ix) else {
            return;
        };
        let time_left = self.time_to_aim(job, now);
        for c in candidates {
            if let Some(m) = self.model.machine(c.machine) {
                c.caches_image = m.images.contains(&job.image);
                c.pool = self.task_price(&job.need, m.type_ix, m.spot);
                // Where the fetch alone would miss the aim goes last.
                let rate = self.model.types[m.type_ix].fetch_gb_per_s.max(0.001);
                c.late = !c.caches_image
                    && time_left.is_some_and(|left| job.spec.image_gb / rate > left);
                if c.late {
                    c.pool += LATE_RANK;
                }
                if job.file.failed_on(c.machine) {
                    c.pool += FAILED_RANK;
                }
                // A machine that has been empty for a while is about to be
                // returned: used only when the others have no room, or would
                // have to fetch what it has. Guards against gangs that leave
                // idle machines with their image to fetch it on others.
                if c.free == c.capacity && !c.caches_image && now >= m.idle_since + SURPLUS {
                    c.pool += SURPLUS_RANK;
                }
            }
        }
    }

    /// Seconds left to the nearest aim for starting that can still be met.
    pub(super) fn time_to_aim(&self, job: &Job, now: Ms) -> Option<f64> {
        let age = (now - job.known_ms) as f64 / 1000.0;
        let team = self.model.teams.get(job.team);
        let guaranteed = team.is_some_and(|t| {
            (job.need.gpus > 0 && t.gpus > 0.0) || (job.need.gpus == 0 && t.cpus > 0.0)
        });
        self.settings
            .cluster
            .objectives
            .iter()
            .filter(|o| match o.kind.as_str() {
                "wait" => o.class.as_deref() == Some(job.spec.class.as_str()),
                "guarantee" => guaranteed,
                _ => false,
            })
            .filter_map(|o| o.within_s)
            .map(|within| within - age)
            .filter(|left| *left > 0.0)
            .min_by(f64::total_cmp)
            // A service that lost a replica is short of it while it fetches.
            .or((job.spec.kind == Kind::Service).then_some(0.0))
    }

    /// What a task costs on a kind of machine, by the share it takes, in
    /// thousandths of the price unit. Which node a job should run on is left
    /// open by the paper; cheaper kinds go first here, and its method chooses
    /// among machines of a kind.
    pub(super) fn task_price(&self, need: &Amounts, type_ix: usize, spot: bool) -> u32 {
        let Some(t) = self.model.types.get(type_ix) else {
            return u32::MAX;
        };
        let whole = Amounts::offer(t.cpus, t.gpus, t.memory_gb);
        let share = placement::load(&whole, &whole.minus(*need), LoadResource::Scarcest);
        // Current prices move by a third; steps keep the order steady.
        (t.price_of(spot) * share * 1000.0)
            .max(1.0)
            .log2()
            .mul_add(2.0, 0.5) as u32
    }

    pub(super) fn choose(
        &self,
        job_ix: u32,
        task: u32,
        candidates: &[Candidate],
        reserves: &[Reserve],
        now: Ms,
        zone_ok: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let job = self.model.job(job_ix)?;
        let chosen = placement::choose(&self.planning.policy, candidates, &job.need, |c| {
            zone_ok(c.zone)
                && self.model.machine(c.machine).is_some_and(|m| {
                    (now >= m.no_batch_until || job.spec.kind != Kind::Array)
                        && m.open_to(job_ix, now)
                        && reserves.iter().all(|r| {
                            r.priority <= job.rank
                                || !r.covers(m.type_ix, m.spot)
                                || match r.loss(&c.free, &job.need) {
                                    0 => true,
                                    loss => r.fits - loss >= r.wanted,
                                }
                        })
                        && job.allows(m)
                        // An old attempt still listed there would refuse it.
                        && !m.tasks.iter().any(|a| a.job == job_ix && a.task == task)
                })
        });
        if log::log_enabled!(log::Level::Debug)
            && let Some(c) = chosen.and_then(|at| candidates.get(at))
        {
            let (load, after) = (self.planning.policy.load, c.free.minus(job.need));
            log::debug!(
                "choice for {}/{task}: {} of {} candidates, kind rank {}, load {:.2}, cost {:.3}",
                job.id,
                self.model.machine(c.machine).map_or("?", |m| &m.name),
                candidates.len(),
                c.pool,
                placement::load(&c.capacity, &c.free, load),
                placement::fragmentation(&c.capacity, &after, &self.planning.policy.shapes),
            );
        }
        chosen
    }

    pub(super) fn take_reserve(&self, reserves: &mut [Reserve], c: &Candidate, need: &Amounts) {
        if let Some(m) = self.model.machine(c.machine) {
            for r in reserves.iter_mut().filter(|r| r.covers(m.type_ix, m.spot)) {
                r.fits -= r.loss(&c.free, need);
            }
        }
    }

    /// A try of a suspected job: one task, or a whole gang.
    fn place_try(
        &mut self,
        job_ix: u32,
        candidates: &mut [Candidate],
        reserves: &mut [Reserve],
        now: Ms,
    ) {
        self.set_reason(job_ix, Reason::FailsEverywhere);
        let gang = self.model.job(job_ix).map(|j| j.spec.kind == Kind::Gang);
        match gang {
            Some(true) => {
                self.place_gang(job_ix, candidates, reserves, now);
            }
            _ => {
                self.place_some(job_ix, 1, candidates, reserves, now);
            }
        }
    }

    /// The candidates are marked for the job. Returns whether all that waits
    /// was placed.
    pub(super) fn place_each(
        &mut self,
        job_ix: u32,
        candidates: &mut [Candidate],
        reserves: &mut [Reserve],
        now: Ms,
    ) -> bool {
        self.place_some(job_ix, u32::MAX, candidates, reserves, now)
    }

    /// The same for at most so many tasks.
    fn place_some(
        &mut self,
        job_ix: u32,
        most: u32,
        candidates: &mut [Candidate],
        reserves: &mut [Reserve],
        now: Ms,
    ) -> bool {
        let Some(job) = self.model.job(job_ix) else {
            return true;
        };
        let (need, team, one_zone, spread) =
            (job.need, job.team, job.spec.one_zone, job.spec.spread);
        let half = job.spec.tasks.div_ceil(2);
        let mut zones = if one_zone || spread {
            self.model.zones_of(job_ix)
        } else {
            Vec::new()
        };
        let mut placed = 0;
        loop {
            let Some(task) = self.model.job_mut(job_ix).and_then(|j| j.next_waiting()) else {
                return true;
            };
            if placed >= most {
                return false;
            }
            placed += 1;
            if !self.within_limit(team, &need, 1) {
                return false;
            }
            let chosen = self.choose(job_ix, task, candidates, reserves, now, |z| {
                (!one_zone || zones.iter().enumerate().all(|(i, n)| *n == 0 || i == z))
                    && (!spread || zones.get(z).copied().unwrap_or(0) < half)
            });
            let Some(at) = chosen else {
                return false;
            };
            let ahead = candidates[at].clone();
            if !one_zone
                && self.room_with_image(job_ix, &ahead, now, |z| {
                    !spread || zones.get(z).copied().unwrap_or(0) < half
                })
            {
                return false;
            }
            self.take_reserve(reserves, &candidates[at], &need);
            let c = &mut candidates[at];
            c.free -= need;
            c.preference = c.free.cpus;
            let (machine, zone) = (c.machine, c.zone);
            if let Some(n) = zones.get_mut(zone) {
                *n += 1;
            }
            let attempt = self.attempt();
            self.start(job_ix, task, machine, attempt, now);
        }
    }

    /// The attempt of a gang that lost a task before it started: the others
    /// wait on, and a replacement under the same number completes it.
    pub(super) fn gang_to_complete(&self, job_ix: u32) -> Option<u64> {
        let mut attempt = None;
        for (ix, at) in self.model.live_of(job_ix) {
            if let Some(a) = self.model.machine(ix).and_then(|m| m.tasks.get(at)) {
                let begun = matches!(a.phase, Phase::Running | Phase::Saving);
                if begun || a.stop.is_some() || attempt.is_some_and(|n| n != a.attempt) {
                    return None;
                }
                attempt = Some(a.attempt);
            }
        }
        attempt
    }

    /// All tasks of a gang in one pass, or none. The candidates are marked.
    pub(super) fn place_gang(
        &mut self,
        job_ix: u32,
        candidates: &mut [Candidate],
        reserves: &mut [Reserve],
        now: Ms,
    ) -> bool {
        let Some(job) = self.model.job(job_ix) else {
            return true;
        };
        let (n, need, team) = (job.spec.tasks, job.need, job.team);
        let missing: Vec<u32> = (0..n).filter(|t| job.place(*t) == Place::Nowhere).collect();
        let spread = job.spec.spread;
        let again = match job.live {
            0 => None,
            // Tasks of an attempt that had started must be gone first.
            _ => match self.gang_to_complete(job_ix) {
                Some(attempt) if self.hears_all_of(job_ix) => Some(attempt),
                _ => return false,
            },
        };
        if !self.within_limit(team, &need, missing.len() as i64) {
            return false;
        }
        let there = self.model.zones_of(job_ix);
        let half = n.div_ceil(2);
        for only in self.gang_zones(job_ix) {
            let mut trial = candidates.to_vec();
            let mut chosen = Vec::with_capacity(n as usize);
            let mut late = false;
            let mut per_zone = there.clone();
            for &task in &missing {
                let pick = self.choose(job_ix, task, &trial, reserves, now, |z| {
                    only.is_none_or(|o| o == z) && (!spread || per_zone[z] < half)
                });
                let Some(at) = pick else { break };
                self.take_reserve(reserves, &trial[at], &need);
                trial[at].free -= need;
                trial[at].preference = trial[at].free.cpus;
                per_zone[trial[at].zone] += 1;
                late |= trial[at].late;
                chosen.push(trial[at].machine);
            }
            if chosen.len() == missing.len() {
                if n > 1 && late && self.gang_room_with_image(job_ix, &chosen, now) {
                    return false;
                }
                if n == 1
                    && let Some(c) = candidates.iter().find(|c| c.machine == chosen[0])
                {
                    let c = c.clone();
                    if self.room_with_image(job_ix, &c, now, |z| only.is_none_or(|o| o == z)) {
                        return false;
                    }
                }
                let attempt = again.unwrap_or_else(|| self.attempt());
                for (task, machine) in missing.iter().zip(chosen) {
                    self.start(job_ix, *task, machine, attempt, now);
                }
                candidates.clone_from_slice(&trial);
                return true;
            }
        }
        false
    }

    pub(super) fn start(&mut self, job_ix: u32, task: u32, machine: u32, attempt: u64, now: Ms) {
        if log::log_enabled!(log::Level::Debug)
            && let (Some(j), Some(m)) = (self.model.job(job_ix), self.model.machine(machine))
        {
            let with_image = self.model.each_machine();
            let with_image = with_image.filter(|o| o.images.contains(&j.image));
            let (mut cached, mut batch, mut fit) = (0, 0, 0);
            for o in with_image {
                cached += 1;
                let mut room = o.free();
                fit += i32::from(o.usable() && j.need.fits(&room));
                room += self.held_by_batches(o);
                batch += i32::from(o.usable() && j.need.fits(&room));
            }
            log::debug!(
                "place {}/{task} try {attempt} on {}: image there {}, of {cached} with it \
                 {fit} have room, {batch} without batches",
                j.id,
                m.name,
                m.images.contains(&j.image),
            );
        }
        // The room made for it is used; the rest of the machine is open again.
        if let Some(m) = self.model.machine_mut(machine)
            && m.held_for.is_some_and(|(of, _)| of == job_ix)
        {
            m.held_for = None;
        }
        self.model
            .assign(job_ix, task, machine, attempt, Phase::New, now);
        self.standbys.start_wanted();
    }
}

/// A batch with a deadline lets those pass that came up to so many times later
/// as the whole fleet would take for what is left of it.
const YIELD: f64 = 40.0;

/// For how long after its arrival a batch lets smaller ones pass, in
/// milliseconds. Guards against a burst that makes all batches late by the same
/// time, where most would keep their deadline if the few large ones waited; it
/// ends by itself, so none waits for ever.
fn yields_for(j: &Job, fleet: &Amounts) -> u64 {
    if j.spec.kind != Kind::Array || j.spec.deadline_s.is_none() {
        return 0;
    }
    let (each, all) = match j.need.gpus {
        0 => (j.need.cpus, fleet.cpus),
        n => (n, fleet.gpus),
    };
    let left = f64::from(j.waiting()) * j.spec.estimate_s * each as f64;
    (YIELD * 1000.0 * left / all.max(each).max(1) as f64) as u64
}

/// Within a priority, jobs are served in arrival order, but those that have
/// missed their deadline let the others pass, until a later aim for them (or
/// three times the deadline) draws near.
fn deadline_band(spec: &JobSpec, objectives: &[Objective], age_ms: u64) -> u8 {
    let Some(due) = spec.deadline_s else {
        return 1;
    };
    let age = age_ms as f64 / 1000.0;
    if due - age >= spec.estimate_s * 0.8 {
        return 1;
    }
    let last = objectives
        .iter()
        .filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| o.times)
        .fold(1.0, f64::max);
    let last = if last > 1.0 { last } else { 3.0 };
    let near = last * due - age < spec.estimate_s * 1.5 + 0.2 * due;
    if near { 0 } else { 2 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_batch_past_its_deadline_lets_others_pass_until_its_last_aim_is_near() {
        let spec = JobSpec::parse(
            br#"{"ref":"j-000001","job_family":"c","owner_crew":"t","run_shape":"array",
                "urgency":"normal","pieces":3,"cores":1.0,"accelerators":0.0,"memory_gb":1.0,
                "bundle":"i","image_gb":1.0,"same_place":false,"apart":false,"lendback":true,
                "expected_s":20.0,"snapshot_every_s":0.0,"snapshot_cost_s":0.0,"due_s":100.0}"#,
        )
        .unwrap();
        let aim = |times| Objective {
            kind: "deadline".into(),
            class: Some("c".into()),
            within_s: None,
            times: Some(times),
        };
        let band = |age_s: u64, aims: &[Objective]| deadline_band(&spec, aims, age_s * 1000);
        let aims = [aim(1.0), aim(1.5)];
        assert_eq!(band(0, &aims), 1);
        assert_eq!(band(90, &aims), 2);
        assert_eq!(band(110, &aims), 0);
        // Without a later aim it still does not wait for ever.
        assert_eq!(band(110, &[]), 2);
        assert_eq!(band(280, &[]), 0);
    }
}
