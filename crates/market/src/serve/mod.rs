//! Connects the broker to sockets and the clock: seeks the leadership, feeds the
//! broker with events and executes its effects. There is one thread with one
//! executor. State is never borrowed across an await, and the leadership is checked
//! again right before each effect.

mod home;
mod state;

use crate::{
    Millis,
    broker::{Broker, CallFailure, Counts, Effect, Event},
    ledger_sync::Step,
    options::Options,
    schema::{self, MessageReader},
    wire,
};
use anyhow::{Context, Result};
use async_io::Timer;
use home::Home;
use pathwinch_protocol::{
    market::OffloadMark,
    peers::{Reply, Request},
    settings::Settings,
};
use pathwinch_tls::{
    http,
    keys::{KeyFiles, system_time},
    reload::{ReloadOutcome, ReloadableKeys},
};
use pathwinch_transport::{client::CallError, priority_executor::PriorityExecutor};
use state::{Leadership, LeadershipLost, State};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval between ticks of the broker.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between requests to the leader for jobs that could be offloaded.
const HOME_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks of the key files, and between logs of the counters.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time-out of a call to a market.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// HTTP path of the market protocol.
pub const MARKET_PATH: &str = "/market/v1";

/// What all terms of this process share.
struct Server {
    options: Options,
    settings: Settings,
    executor: Rc<PriorityExecutor>,
    keys: RefCell<ReloadableKeys>,
    key_dir: PathBuf,
    state: State,
    home: Home,
    replies: MessageReader,
    start: Instant,
    start_ms: Millis,
}

/// The broker of one term, as long as this process holds the leadership.
struct ActingBroker {
    server: Rc<Server>,
    term: u64,
    authority_until: Cell<Instant>,
    ended: Cell<bool>,
    broker: RefCell<Broker>,
}

/// Runs a broker until the process is killed. `key_dir` holds the home's
/// certificate and key.
pub fn run(settings: Settings, options: Options, key_dir: &Path) -> Result<()> {
    let keys = ReloadableKeys::new(KeyFiles::read(key_dir)?, system_time())
        .with_context(|| key_dir.display().to_string())?;
    let replies = MessageReader::new(&schema::reply()).map_err(|e| anyhow::anyhow!(e.0))?;
    let executor = Rc::new(PriorityExecutor::default());
    let server = Rc::new(Server {
        state: State::new(&settings, options.state_share),
        home: Home::new(&settings),
        options,
        settings,
        executor: executor.clone(),
        keys: RefCell::new(keys),
        key_dir: key_dir.to_owned(),
        replies,
        start: Instant::now(),
        start_ms: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as Millis),
    });
    async_io::block_on(executor.run(async {
        executor.spawn_high(watch_keys(server.clone())).detach();
        loop {
            let name = server.settings.name.as_str();
            let incarnation = fastrand::u64(1..(1 << 53));
            if let Some(leadership) = server.state.acquire(name, incarnation).await {
                run_term(&server, leadership).await;
            }
            // The random delay keeps standby brokers from contending in lockstep.
            let delay_ms = 700 + fastrand::u64(..600);
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
    }))
}

/// Reloads changed keys and warns of certificates that expire.
async fn watch_keys(server: Rc<Server>) {
    loop {
        let change = server
            .keys
            .borrow_mut()
            .apply_files(KeyFiles::read(&server.key_dir));
        match change {
            ReloadOutcome::Unchanged => {}
            ReloadOutcome::Reloaded => log::info!("reloaded changed keys"),
            ReloadOutcome::Rejected(reason) => {
                log::warn!("changed keys refused, old ones kept: {reason}")
            }
        }
        let now = server.now() / 1000;
        if let Some(warning) = server.keys.borrow_mut().expiry_warning(now) {
            log::warn!("{warning}");
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

impl Server {
    /// Returns the time of day at the start plus the monotonic time since then, so
    /// that steps of the system clock have no effect.
    fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_millis() as Millis
    }
}

/// Acts as the broker of one term until the leadership is lost.
async fn run_term(server: &Rc<Server>, leadership: Leadership) {
    let records = match server.state.list().await {
        Ok(records) => records,
        Err(error) => return log::warn!("can't read the broker's records: {error}"),
    };
    let home = server.keys.borrow().keys().own.name.clone();
    let broker = Broker::new(
        server.options.clone(),
        &home,
        leadership.term,
        server.settings.cluster.state.txn_ops,
        &records,
        fastrand::u64(..),
    );
    log::info!(
        "acting as broker in term {}: {} offloaded jobs, {} unconfirmed",
        leadership.term,
        broker.jobs().count(),
        broker.unconfirmed_jobs()
    );
    let acting = Rc::new(ActingBroker {
        server: server.clone(),
        term: leadership.term,
        authority_until: Cell::new(leadership.authority_until),
        ended: Cell::new(false),
        broker: RefCell::new(broker),
    });
    let executor = &server.executor;
    executor
        .spawn_high(renew_leadership(acting.clone(), leadership.lease))
        .detach();
    executor.spawn_low(poll_home(acting.clone())).detach();
    let mut logged = Counts::default();
    let mut next_log = Instant::now();
    while acting.may_act() {
        acting.clone().run_broker(|b, now| b.tick(now));
        if Instant::now() >= next_log {
            next_log = Instant::now() + CHECK_INTERVAL;
            acting.log_counts(&mut logged);
        }
        Timer::after(TICK_INTERVAL).await;
    }
    acting.ended.set(true);
    log::warn!("leadership of term {} has ended", leadership.term);
}

/// Renews the leadership's lease until the term ends.
async fn renew_leadership(acting: Rc<ActingBroker>, lease: u64) {
    while !acting.ended.get() {
        match acting.server.state.renew(lease).await {
            Ok(Some(until)) => acting.authority_until.set(until),
            Ok(None) => {}
            Err(LeadershipLost) => acting.ended.set(true),
        }
        Timer::after(Duration::from_millis(1_500)).await;
    }
}

/// Asks the leader periodically which jobs could be offloaded and which are to be
/// recalled.
async fn poll_home(acting: Rc<ActingBroker>) {
    while !acting.ended.get() {
        let lent = {
            let broker = acting.broker.borrow();
            broker
                .jobs()
                .map(|(j, l)| (j.to_owned(), l.award))
                .collect()
        };
        let request = Request::OffloadCandidates { lent };
        if let Some(Reply::OffloadCandidates { jobs, recall }) =
            acting.server.home.ask(&request).await
        {
            for job in recall {
                acting.deliver(Event::Recall(job));
            }
            let waiting_jobs = jobs.into_iter().map(home::waiting_job).collect();
            acting.deliver(Event::Waiting(waiting_jobs));
        }
        Timer::after(HOME_POLL_INTERVAL).await;
    }
}

impl ActingBroker {
    /// Whether the leadership still holds, so that effects may be executed.
    fn may_act(&self) -> bool {
        !self.ended.get() && Instant::now() < self.authority_until.get()
    }

    fn log_counts(&self, logged: &mut Counts) {
        let broker = self.broker.borrow();
        if *logged != broker.counts {
            *logged = broker.counts.clone();
            log::info!(
                "{} offloaded jobs, {} unconfirmed; in this term {} awards sent, {} done, {} calls, \
                 {} transactions, {} protocol violations",
                broker.jobs().count(),
                broker.unconfirmed_jobs(),
                logged.awards,
                logged.done,
                logged.calls,
                logged.writes,
                logged.violations
            );
        }
    }

    fn deliver(self: &Rc<Self>, event: Event) {
        self.clone().run_broker(|b, now| b.event(event, now));
    }

    /// Calls the broker and starts to execute the effects that it returns.
    fn run_broker(self: Rc<Self>, decide: impl FnOnce(&mut Broker, Millis) -> Vec<Effect>) {
        if !self.may_act() {
            return;
        }
        let now = self.server.now();
        let effects = decide(&mut self.broker.borrow_mut(), now);
        for effect in effects {
            if effect == Effect::Resign {
                self.ended.set(true);
                return;
            }
            let executor = self.server.executor.clone();
            executor.spawn_high(self.clone().execute(effect)).detach();
        }
    }

    async fn execute(self: Rc<Self>, effect: Effect) {
        if !self.may_act() {
            return;
        }
        let server = &self.server;
        match effect {
            Effect::StateStep(Step::Write(step, change)) => {
                match server.state.write(self.term, &change).await {
                    Ok(outcome) => self.deliver(Event::WriteOutcome(step, outcome)),
                    Err(LeadershipLost) => self.ended.set(true),
                }
            }
            Effect::StateStep(Step::Read(step, key)) => {
                let found = server.state.get(&key).await;
                self.deliver(Event::ReadOutcome(step, found));
            }
            Effect::Call {
                market,
                call,
                request,
            } => {
                let sent = server.now();
                let reply = self.call_market(market, &request).await;
                self.deliver(Event::CallEnded { call, sent, reply });
            }
            Effect::MarkOffloaded {
                job,
                award,
                version,
            } => {
                let market = {
                    let broker = self.broker.borrow();
                    let offload = broker.jobs().find(|(j, _)| *j == job);
                    offload.map(|(_, l)| broker.markets[l.market].name.clone())
                };
                let Some(market) = market else { return };
                let request = Request::Offload {
                    id: job.clone(),
                    award,
                    market,
                    version,
                };
                let marked = match server.home.ask(&request).await {
                    Some(Reply::OffloadMark(OffloadMark::Yes)) => Some(true),
                    Some(Reply::OffloadMark(OffloadMark::No)) => Some(false),
                    _ => None,
                };
                self.deliver(Event::MarkOutcome { job, award, marked });
            }
            Effect::EndOffload { job, award, end } => {
                let request = Request::EndOffload {
                    id: job.clone(),
                    award,
                    done: end.done.0,
                };
                let taken = matches!(
                    server.home.ask(&request).await,
                    Some(Reply::OffloadEnded(true))
                );
                self.deliver(Event::EndOutcome { job, award, taken });
            }
            Effect::Resign => self.ended.set(true),
        }
    }

    /// Sends a request to a market over TLS and validates the reply.
    async fn call_market(
        &self,
        market: usize,
        request: &wire::Request,
    ) -> Result<wire::Reply, CallFailure> {
        let server = &self.server;
        let name = self.broker.borrow().markets[market].name.clone();
        let address = server.options.markets.get(&name);
        let address: SocketAddr = address
            .and_then(|a| a.parse().ok())
            .ok_or(CallFailure::NoAnswer)?;
        let body = serde_json::to_vec(request).map_err(|_| CallFailure::Invalid)?;
        let answer = http::call(
            &server.keys,
            address,
            &name,
            MARKET_PATH,
            body,
            CALL_TIMEOUT,
            wire::MAX_BODY_BYTES,
        )
        .await;
        match answer {
            Ok(a) if a.status == 200 => server.replies.read(&a.body).map_err(|refusal| {
                log::warn!("market {name}: reply refused: {}", refusal.0);
                CallFailure::Invalid
            }),
            Ok(a) => {
                log::warn!("market {name}: reply with status {}", a.status);
                Err(CallFailure::Invalid)
            }
            Err(e) => {
                match e {
                    CallError::TooLong => log::info!("market {name}: no reply within the time-out"),
                    e => log::info!("market {name}: {e}"),
                }
                Err(CallFailure::NoAnswer)
            }
        }
    }
}
