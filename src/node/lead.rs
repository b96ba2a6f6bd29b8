//! Seeking, keeping and giving up leadership.

use super::{Node, store::OVER_LIMIT};
use crate::{
    bookkeeping::{
        pieces,
        records::{self, LEADER, LeaderRecord, MachineRecord, StoredJob},
    },
    coordination::{
        answers::{Found, TxnResult},
        election::{Election, Extended, LIFE, LOOK, Lead, PROMISE, Promised, RENEWAL, SEEK},
        leader::Leader,
        notices::{Next, Notices},
    },
    protocol::{
        peers::{Reply, Request},
        state::{Guard, LeaseGranted, Txn, Write},
    },
    transport::{client::CallError, within},
};
use async_executor::Task;
use async_io::Timer;
use http_types::Method;
use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

/// How long a node that was cut off lets the others lead, in milliseconds.
const ABSTAIN: u64 = 15_000;
/// How long a barred node waits before it tries again.
const BARRED: u64 = 1_000;
const PROBE: Duration = Duration::from_millis(700);
/// What the renewal may take that is tried last, once another node is served.
const SECOND_TRY: Duration = Duration::from_millis(300);
/// A step of seeking the lead.
const STEP: Duration = Duration::from_millis(SEEK);
/// A watch waits for 20 s.
const WATCH: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Touch {
    Renewed,
    Lost,
    /// It answers, but all nodes together ask too much.
    Busy,
    Failed,
}

/// Why a leader stops: for the log, `status` and the figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stop {
    LeaseEnded,
    Replaced,
    RefusedAlone,
    Blind,
    HearsNobody,
    PoorPlace,
}

impl Stop {
    pub(super) fn text(self) -> &'static str {
        match self {
            Stop::LeaseEnded => "its lease has ended",
            Stop::Replaced => "another node leads",
            Stop::RefusedAlone => "the state service fails this node alone",
            Stop::Blind => "for too long nobody could show that it knows of all withdrawals",
            Stop::HearsNobody => "neither workers nor controllers are heard",
            Stop::PoorPlace => "the node that workers try after this one is silent",
        }
    }

    /// Whether its key may be replaced at once: the others are told.
    fn is_told(self) -> bool {
        matches!(self, Stop::RefusedAlone | Stop::Blind | Stop::PoorPlace)
    }
}

pub async fn run(node: Rc<Node>) {
    loop {
        let lead = node.election.borrow().lead();
        let pause = match lead {
            Some(_) => node.keep().await,
            None => node.seek().await,
        };
        Timer::after(pause).await;
    }
}

impl Node {
    async fn read_leader(&self) -> Result<(), String> {
        let now = self.now();
        self.requests.borrow_mut().force(now, 1.0);
        let item = self.get(LEADER, STEP).await?;
        let seen = item.and_then(|i| {
            let record: LeaderRecord = serde_json::from_value(i.value).ok()?;
            Some((record.node, i.version))
        });
        let changed = seen != self.election.borrow().seen;
        self.election.borrow_mut().saw(seen, self.now());
        if self.election.borrow().seen.is_some() {
            self.last_record.take();
        }
        if changed {
            self.relays.borrow_mut().clear();
            self.set_shares();
        }
        Ok(())
    }

    /// One step of a node that doesn't lead; returns when to do the next.
    async fn seek(self: &Rc<Self>) -> Duration {
        let soon = Duration::from_millis(150);
        let doubt = self.election.borrow().doubt;
        if let Some(lease) = doubt {
            // End the lease of the attempt, so that it can't succeed late.
            if self.end_lease(lease, PROBE).await {
                self.election.borrow_mut().doubt = None;
            }
            return soon;
        }
        if let Err(e) = self.read_leader().await {
            log::debug!("reading the leader's key: {e}");
            return Duration::from_millis(250 + fastrand::u64(0..100));
        }
        let Some(version) = self.election.borrow().may_seek(self.now()) else {
            let nobody = self.election.borrow().seen.is_none();
            // A standby that counts looks more often.
            let counts = self.follower.borrow().counts(self.now());
            return match (nobody, counts) {
                (true, _) => soon,
                (false, true) => Duration::from_millis(250),
                (false, false) => Duration::from_millis(500),
            };
        };
        if self.types.borrow().is_empty() {
            return soon;
        }
        // Nodes that are better placed go first, and those that are warm.
        let now = self.now();
        let poor = self.reach.borrow().poor_place(now);
        let others = !poor && self.others_are_named().await;
        if self.election.borrow_mut().hesitates(now, || poor || others) {
            return soon;
        }
        self.acquire(version).await;
        soon
    }

    async fn acquire(self: &Rc<Self>, version: u64) {
        let asked = self.now();
        self.requests.borrow_mut().force(asked, 2.0);
        let body = serde_json::json!({ "life_ms": LIFE })
            .to_string()
            .into_bytes();
        let granted = match self.state(Method::Post, "/leases", Some(body), STEP).await {
            Ok(a) if a.status == 200 => serde_json::from_slice::<LeaseGranted>(&a.body).ok(),
            _ => None,
        };
        let Some(LeaseGranted { lease }) = granted else {
            return;
        };
        let (node, incarnation) = {
            let e = self.election.borrow();
            // A promise may have been given meanwhile.
            if e.may_seek(self.now()) != Some(version) {
                return;
            }
            (e.me.clone(), e.incarnation)
        };
        self.election.borrow_mut().doubt = Some(lease);
        let bar = records::bar_key(&node);
        let record = LeaderRecord { node, incarnation };
        let txn = Txn {
            guards: vec![
                Guard {
                    key: LEADER.into(),
                    version,
                },
                Guard {
                    key: bar.clone(),
                    version: 0,
                },
            ],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: serde_json::to_value(&record).unwrap_or_default(),
                lease: Some(lease),
            }],
        };
        let term = match self.txn(&txn, STEP).await {
            TxnResult::Done(revision) => Some(revision),
            TxnResult::Unknown => match self.get(LEADER, STEP).await {
                Ok(Some(i))
                    if serde_json::from_value::<LeaderRecord>(i.value.clone())
                        .is_ok_and(|r| r == record) =>
                {
                    Some(i.version)
                }
                _ => return,
            },
            other => {
                let mut election = self.election.borrow_mut();
                election.doubt = None;
                if matches!(&other, TxnResult::Conflict(f) if f.contains(&bar)) {
                    log::info!("barred from leading, as this node hung");
                    election.abstain(self.now() + BARRED);
                }
                return;
            }
        };
        if let Some(term) = term {
            self.election.borrow_mut().won(term, lease, asked);
            log::info!(
                "leading, term {term}, under lease {lease}, in place of key version {version}, \
                 asked for {} ms ago",
                self.now() - asked
            );
            self.set_shares();
            let mut leader = Leader::new(
                self.settings.clone(),
                self.options.clone(),
                self.types.borrow().clone(),
                term,
                self.now(),
            );
            leader.finals = self.finals.take();
            let copy = self.follower.borrow_mut().take_over(term);
            leader.inherit(incarnation, copy);
            leader.nobody_led_for(self.election.borrow().leaderless_for(self.now()));
            self.bars.take();
            *self.leader.borrow_mut() = Some(leader);
            self.lanes.spawn(load(self.clone(), term)).detach();
        }
    }

    /// One step of the leader; returns when to do the next.
    async fn keep(self: &Rc<Self>) -> Duration {
        let Some(lead) = self.election.borrow().lead() else {
            return Duration::ZERO;
        };
        // While renewals fail the others are asked at once, and each renewal is
        // tried beside that: promises are too short to wait for it first.
        if !self.renewals_fail.get() {
            let mut renewal = self.renew(lead);
            match within(PROBE, &mut renewal).await {
                Some(Touch::Renewed) => return self.settle_in(lead).await,
                Some(Touch::Lost) => return Duration::ZERO,
                Some(Touch::Busy) => return Duration::from_millis(100),
                Some(Touch::Failed) => {}
                None => renewal.detach(),
            }
            self.renewals_fail.set(true);
        }
        self.ask_promises(lead).await
    }

    /// Does what may prolong the authority, and notes by which right it stands.
    fn prolonged<T>(&self, f: impl FnOnce(&mut Election) -> T) -> T {
        let mut election = self.election.borrow_mut();
        let before = election.lead();
        let result = f(&mut election);
        if let (Some(before), Some(after)) = (before, election.lead()) {
            let ((was, from), (is, until)) = (before.authority(), after.authority());
            if until > from {
                self.figures.borrow().prolonged(is);
            }
            if was != is {
                log::info!("term {} goes on by {}", after.term, is.text());
            }
        }
        result
    }

    /// What is looked at after each renewal.
    async fn settle_in(self: &Rc<Self>, lead: Lead) -> Duration {
        self.greet_other_zones(lead.term);
        if self.hears_nobody(lead.term).await {
            let now = self.now();
            self.election.borrow_mut().abstain(now + ABSTAIN);
            self.resign(lead.term, Stop::HearsNobody);
            return Duration::from_millis(500);
        }
        let now = self.now();
        let poor = self.reach.borrow().poor_place(now);
        let warm = self.of_term(lead.term, |l, now| l.warm_standbys(now) > 0);
        let warm = warm.unwrap_or(false);
        if self.election.borrow_mut().stands_back(poor, warm, now) {
            self.resign(lead.term, Stop::PoorPlace);
            return Duration::from_millis(500);
        }
        Duration::from_millis(LIFE / 4)
    }

    /// Begins a renewal. What comes of it holds whoever waits for it, also if
    /// it comes late.
    fn renew(self: &Rc<Self>, lead: Lead) -> Task<Touch> {
        let node = self.clone();
        self.lanes.spawn(async move {
            let sent = node.now();
            let touch = node.touch(lead.lease).await;
            let still = node.election.borrow().lead().map(|l| l.lease);
            if still == Some(lead.lease) {
                match touch {
                    Touch::Renewed => {
                        node.prolonged(|e| e.renewed(lead.lease, sent));
                        node.renewals_fail.set(false);
                    }
                    Touch::Lost => node.resign(lead.term, Stop::LeaseEnded),
                    Touch::Busy | Touch::Failed => {}
                }
            }
            touch
        })
    }

    /// Asks all other nodes at once.
    fn ask_all(self: &Rc<Self>, request: &Request) -> Vec<Task<Result<Reply, CallError>>> {
        self.ask_all_but(&[], request)
    }

    fn ask_all_but(
        self: &Rc<Self>,
        but: &[usize],
        request: &Request,
    ) -> Vec<Task<Result<Reply, CallError>>> {
        let ask = |peer| {
            let (node, request) = (self.clone(), request.clone());
            self.lanes
                .spawn(async move { node.ask(peer, &request, PROBE).await })
        };
        let peers = 0..self.settings.peers.len();
        peers.filter(|p| !but.contains(p)).map(ask).collect()
    }

    /// Whether a zone is cut off shows in its controllers as well.
    fn greet_other_zones(self: &Rc<Self>, term: u64) {
        let own = &self.settings.zone;
        let peers = self.settings.peers.iter().enumerate();
        for (peer, p) in peers.filter(|(_, p)| p.zone != *own) {
            let (node, zone) = (self.clone(), p.zone.clone());
            self.lanes
                .spawn(async move {
                    if node.ask(peer, &Request::greeting(), PROBE).await.is_ok() {
                        node.of_term(term, |l, now| l.controller_heard(&zone, now));
                    }
                })
                .detach();
        }
    }

    /// Asks the others to relay reports of machines that fell silent: the cut
    /// may be between them and this node alone. A worker tries another node
    /// after 5 s of its lease, so there is no time to find out first. Returns
    /// whether neither workers nor controllers are heard.
    async fn hears_nobody(self: &Rc<Self>, term: u64) -> bool {
        let Some((machines, heard)) = self.of_term(term, |l, now| l.unheard(now)) else {
            return false;
        };
        if machines.is_empty() {
            return false;
        }
        let request = Request::Unheard {
            machines,
            for_ms: 15_000,
        };
        let asks = self.ask_all(&request);
        let mut anybody = heard > 0 || self.settings.peers.is_empty();
        for ask in asks {
            anybody |= ask.await.is_ok();
        }
        let report = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let silence = self.now().saturating_sub(self.last_beat.get());
        !anybody && silence > 3 * report + 2000
    }

    async fn touch(&self, lease: u64) -> Touch {
        let now = self.now();
        self.requests.borrow_mut().force(now, 1.0);
        let path = format!("/leases/{lease}/touch");
        let limit = Duration::from_millis(RENEWAL);
        match self.state(Method::Post, &path, None, limit).await {
            Ok(a) if a.status == 200 => Touch::Renewed,
            Ok(a) if a.status == 404 => Touch::Lost,
            Ok(a) if a.status == 429 => Touch::Busy,
            Ok(a) => {
                log::debug!("renewing leadership: status {}", a.status);
                Touch::Failed
            }
            Err(e) => {
                log::debug!("renewing leadership: {e}");
                Touch::Failed
            }
        }
    }

    /// The state service fails this node: does it fail the others too? It is
    /// asked again meanwhile, as one answer may just be late.
    async fn ask_promises(self: &Rc<Self>, lead: Lead) -> Duration {
        let sent = self.now();
        let again = self.renew(lead);
        let request = Request::Promise {
            term: lead.term,
            leader: self.settings.name.clone(),
            for_ms: PROMISE,
        };
        // A barred node can't seek anything, and would take a time-out.
        let (barred, until) = {
            let bars = self.bars.borrow();
            let peers = 0..self.settings.peers.len();
            let barred: Vec<usize> = peers.filter(|p| bars.stands(*p, sent)).collect();
            (barred, bars.until())
        };
        let mut answers = vec![Promised::Barred { until }; barred.len()];
        for ask in self.ask_all_but(&barred, &request) {
            answers.push(match ask.await {
                Ok(Reply::Promise {
                    granted: true,
                    running_ms,
                    ..
                }) => Promised::Yes {
                    begun: running_ms.map(|ms| Election::begun(ms, self.now())),
                },
                Ok(Reply::Promise { state_ok: true, .. }) => Promised::StateAnswers,
                _ => Promised::No,
            });
        }
        let now = self.now();
        let extended = self.prolonged(|e| e.extend(sent, answers, now));
        match extended {
            Extended::Yes => again.detach(),
            Extended::No => {
                log::debug!("promises are missing, or came too late");
                again.detach();
            }
            Extended::Blind => {
                again.detach();
                self.resign(lead.term, Stop::Blind);
                return Duration::from_millis(500);
            }
            Extended::Alone => {
                again.detach();
                let begun = self.now();
                let mut last = self.renew(lead);
                match within(SECOND_TRY, &mut last).await {
                    Some(Touch::Renewed | Touch::Lost | Touch::Busy) => {}
                    failed @ (Some(Touch::Failed) | None) => {
                        if failed.is_none() {
                            last.detach();
                        }
                        if self.election.borrow().is_refused_alone(begun) {
                            self.resign(lead.term, Stop::RefusedAlone);
                            return Duration::from_millis(500);
                        }
                    }
                }
            }
        }
        Duration::from_millis(100)
    }

    pub(super) async fn promise(&self, term: u64, for_ms: u64) -> Reply {
        // A fresh look: what was true a second ago says nothing.
        let state_ok = {
            let now = self.now();
            self.requests.borrow_mut().force(now, 1.0);
            let limit = Duration::from_millis(LOOK);
            match self.get(LEADER, limit).await {
                Ok(_) => true,
                Err(e) => {
                    log::debug!("asked for a promise: {e}");
                    // It answers: there is no outage.
                    e == OVER_LIMIT
                }
            }
        };
        let now = self.now();
        let granted = self
            .election
            .borrow_mut()
            .grant(now, term, for_ms, !state_ok);
        Reply::Promise {
            granted,
            state_ok,
            running_ms: Some(self.election.borrow().running(now)),
        }
    }

    /// Stops acting under that term, then tells the others so.
    pub(super) fn resign(self: &Rc<Self>, term: u64, why: Stop) {
        let Some(lead) = self.election.borrow_mut().resign(term) else {
            return;
        };
        if let Some(leader) = self.leader.borrow_mut().take() {
            self.finals.replace(leader.finals);
        }
        self.renewals_fail.set(false);
        self.set_shares();
        let (now, (right, until)) = (self.now(), lead.authority());
        log::info!(
            "term {} given up: {}; it might act by {} until {} ms from now",
            lead.term,
            why.text(),
            right.text(),
            until as i64 - now as i64
        );
        self.stopped.set(Some((self.now(), why)));
        self.figures.borrow().stopped(why.text());
        // Nothing is done under it any more, so the key may go at once.
        let node = self.clone();
        self.lanes
            .spawn(async move {
                node.end_lease(lead.lease, PROBE).await;
            })
            .detach();
        if why.is_told() {
            let request = Request::Resigned { term: lead.term };
            self.ask_all(&request).into_iter().for_each(Task::detach);
        }
    }
}

/// Reads the records of a new term.
async fn load(node: Rc<Node>, term: u64) {
    loop {
        if node.election.borrow().lead().map(|l| l.term) != Some(term) {
            return;
        }
        match node.read_records(term).await {
            Ok(()) => break,
            Err(e) => log::info!("reading the records: {e}"),
        }
        Timer::after(Duration::from_millis(200)).await;
    }
    node.watch_notices(term).await;
}

impl Node {
    /// Learns of jobs that other nodes accepted.
    async fn watch_notices(&self, term: u64) {
        let mut notices = Notices::new(term);
        let pause = || Timer::after(Duration::from_millis(300));
        while self.of_term(term, |_, _| ()).is_some() {
            let now = self.now();
            self.requests.borrow_mut().force(now, 1.0);
            let answer = self
                .state(Method::Get, &notices.path(20_000), None, WATCH)
                .await;
            let next = match &answer {
                Ok(a) => notices.answered(a.status, &a.body),
                Err(_) => Next::Pause,
            };
            let keys = match next {
                Next::Look(keys) => keys,
                Next::Pause => {
                    pause().await;
                    continue;
                }
                Next::List => match self.list_as_of(records::NOTICES).await {
                    Ok((items, revision)) => {
                        notices.listed(revision);
                        items.into_iter().map(|i| i.key).collect()
                    }
                    Err(_) => {
                        pause().await;
                        continue;
                    }
                },
            };
            for key in keys {
                let id = key.trim_start_matches(records::NOTICES).to_owned();
                loop {
                    match self.lookup(&id).await {
                        Ok(Found::Live(record, version)) => {
                            self.of_term(term, |l, now| l.accepted(*record, version, now));
                            break;
                        }
                        Ok(_) => break,
                        Err(_) => Timer::after(Duration::from_millis(200)).await,
                    };
                    if self.of_term(term, |_, _| ()).is_none() {
                        return;
                    }
                }
                self.of_term(term, |l, _| l.drop_notice(key));
            }
        }
    }

    async fn read_records(&self, term: u64) -> Result<(), String> {
        // The roster first: it is what the leases of workers hang on.
        let (machines, as_of) = self.list_as_of(records::ROSTER).await?;
        if as_of < term {
            return Err(format!("they are of revision {as_of}, before the term"));
        }
        let jobs = self.list(records::JOBS).await?;
        let chunks = self.list(records::CHUNKS).await?;
        let pieces = self.list(pieces::PIECES).await?;
        let notices = self.list(records::NOTICES).await?;
        let standbys = self.read_standbys().await?;
        self.read_bars(term).await?;
        self.of_term(term, |l, now| {
            l.load_standbys(standbys);
            for i in machines {
                let name = i.key.trim_start_matches(records::ROSTER).to_owned();
                match serde_json::from_value::<MachineRecord>(i.value) {
                    Ok(r) => l.load_machine(&name, r, i.version, now),
                    Err(e) => log::error!("record {}: {e}", i.key),
                }
            }
            let mut unreadable = HashSet::new();
            let text: BTreeMap<&str, &str> = pieces
                .iter()
                .filter_map(|i| Some((i.key.as_str(), i.value.as_str()?)))
                .collect();
            for i in jobs {
                let id = i.key.trim_start_matches(records::JOBS);
                let stored = serde_json::from_value::<StoredJob>(i.value);
                let whole = stored.map_err(anyhow::Error::from).and_then(|s| {
                    s.whole(|p| {
                        let values = p.keys(id).filter_map(|k| text.get(k.as_str()).copied());
                        pieces::join(p, values)
                    })
                });
                match whole {
                    Ok(r) => {
                        l.load_job(r, i.version, now);
                    }
                    // Polls of it are answered 503, and the next leader tries
                    // again. What else is kept of it must stay.
                    Err(e) => {
                        log::error!("record {}: {e:#}", i.key);
                        unreadable.insert(id.to_owned());
                    }
                }
            }
            let cleared = pieces.iter().filter(|i| {
                let id = pieces::Pieces::job_of(&i.key);
                id.is_none_or(|id| !unreadable.contains(id))
            });
            l.load_pieces(cleared.map(|i| (i.key.clone(), i.version)).collect());
            for i in chunks {
                let Some((id, chunk)) = i
                    .key
                    .strip_prefix(records::CHUNKS)
                    .and_then(|k| k.rsplit_once('/'))
                else {
                    continue;
                };
                if unreadable.contains(id) {
                    continue;
                }
                if let (Ok(chunk), Some(text)) = (chunk.parse(), i.value.as_str()) {
                    l.load_chunk(id, chunk, text);
                }
            }
            // What they tell of is among the jobs, unless it came after those
            // were read; then the watch tells of it again.
            for i in notices.into_iter().filter(|i| i.version <= term) {
                l.drop_notice(i.key);
            }
            l.finish_loading(now);
        });
        Ok(())
    }
}
