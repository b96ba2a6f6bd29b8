//! Binds the broker to sockets and the clock. It has one thread and one
//! executor; state is never borrowed across an await, and the leadership is
//! checked again right before each act.

mod home;
mod state;

use crate::{
    Millis,
    broker::{Broker, CallFailure, Counts, Effect, Event},
    ledger_sync::Step,
    options::Options,
    schema::{self, Reader},
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
    keys::{Texts, system_time},
    reload::{Followed, Seen},
};
use pathwinch_transport::{client::CallError, priority_executor::PriorityExecutor};
use state::{Held, Lost, State};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const TICK: Duration = Duration::from_millis(200);
const ASK: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_secs(10);
const CALL: Duration = Duration::from_secs(4);
/// Where markets are asked.
pub const PATH: &str = "/market/v1";

struct Server {
    options: Options,
    settings: Settings,
    executor: Rc<PriorityExecutor>,
    keys: RefCell<Followed>,
    dir: PathBuf,
    state: State,
    home: Home,
    replies: Reader,
    start: Instant,
    start_ms: Millis,
}

/// One leadership.
struct Acting {
    server: Rc<Server>,
    term: u64,
    until: Cell<Instant>,
    ended: Cell<bool>,
    broker: RefCell<Broker>,
}

pub fn run(settings: Settings, options: Options, dir: &Path) -> Result<()> {
    let keys = Followed::new(Texts::read(dir)?, system_time())
        .with_context(|| dir.display().to_string())?;
    let replies = Reader::new(&schema::reply()).map_err(|e| anyhow::anyhow!(e.0))?;
    let executor = Rc::new(PriorityExecutor::default());
    let server = Rc::new(Server {
        state: State::new(&settings, options.state_share),
        home: Home::new(&settings),
        options,
        settings,
        executor: executor.clone(),
        keys: RefCell::new(keys),
        dir: dir.to_owned(),
        replies,
        start: Instant::now(),
        start_ms: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as Millis),
    });
    async_io::block_on(executor.run(async {
        executor.spawn_high(follow(server.clone())).detach();
        loop {
            let name = server.settings.name.as_str();
            let incarnation = fastrand::u64(1..(1 << 53));
            if let Some(held) = server.state.acquire(name, incarnation).await {
                act(&server, held).await;
            }
            // Several that seek don't seek in step.
            let wait = 700 + fastrand::u64(..600);
            Timer::after(Duration::from_millis(wait)).await;
        }
    }))
}

/// Takes up changed keys and warns of those that expire.
async fn follow(server: Rc<Server>) {
    loop {
        let seen = server.keys.borrow_mut().look(Texts::read(&server.dir));
        match seen {
            Seen::Same => {}
            Seen::Changed => log::info!("new keys are in force"),
            Seen::Unusable(why) => log::warn!("keys stay as they were: {why}"),
        }
        let now = server.now() / 1000;
        if let Some(warning) = server.keys.borrow_mut().warning(now) {
            log::warn!("{warning}");
        }
        Timer::after(LOOK).await;
    }
}

impl Server {
    /// The time of day as of the start, steadily on from there.
    fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_millis() as Millis
    }
}

async fn act(server: &Rc<Server>, held: Held) {
    let records = match server.state.list().await {
        Ok(records) => records,
        Err(e) => return log::warn!("the records can't be read: {e}"),
    };
    let home = server.keys.borrow().keys().own.name.clone();
    let broker = Broker::new(
        server.options.clone(),
        &home,
        held.term,
        server.settings.cluster.state.txn_ops,
        &records,
        fastrand::u64(..),
    );
    log::info!(
        "acting in term {}: {} jobs out, {} in doubt",
        held.term,
        broker.jobs().count(),
        broker.unconfirmed_jobs()
    );
    let acting = Rc::new(Acting {
        server: server.clone(),
        term: held.term,
        until: Cell::new(held.until),
        ended: Cell::new(false),
        broker: RefCell::new(broker),
    });
    let executor = &server.executor;
    executor
        .spawn_high(keep(acting.clone(), held.lease))
        .detach();
    executor.spawn_low(ask_home(acting.clone())).detach();
    let mut told = Counts::default();
    let mut next = Instant::now();
    while acting.may_act() {
        acting.clone().go(|b, now| b.tick(now));
        if Instant::now() >= next {
            next = Instant::now() + LOOK;
            acting.tell(&mut told);
        }
        Timer::after(TICK).await;
    }
    acting.ended.set(true);
    log::warn!("term {} is over", held.term);
}

/// Renews the leadership.
async fn keep(acting: Rc<Acting>, lease: u64) {
    while !acting.ended.get() {
        match acting.server.state.touch(lease).await {
            Ok(Some(until)) => acting.until.set(until),
            Ok(None) => {}
            Err(Lost) => acting.ended.set(true),
        }
        Timer::after(Duration::from_millis(1_500)).await;
    }
}

/// Learns what waits, and what is not needed any more.
async fn ask_home(acting: Rc<Acting>) {
    while !acting.ended.get() {
        let lent = {
            let b = acting.broker.borrow();
            b.jobs().map(|(j, l)| (j.to_owned(), l.award)).collect()
        };
        let request = Request::OffloadCandidates { lent };
        if let Some(Reply::OffloadCandidates { jobs, recall }) =
            acting.server.home.ask(&request).await
        {
            for job in recall {
                acting.tell_broker(Event::Recall(job));
            }
            let list = jobs.into_iter().map(home::waiting).collect();
            acting.tell_broker(Event::Waiting(list));
        }
        Timer::after(ASK).await;
    }
}

impl Acting {
    fn may_act(&self) -> bool {
        !self.ended.get() && Instant::now() < self.until.get()
    }

    fn tell(&self, told: &mut Counts) {
        let b = self.broker.borrow();
        if *told != b.counts {
            *told = b.counts.clone();
            log::info!(
                "{} jobs out, {} in doubt; in this term {} awards sent, {} done, {} calls, \
                 {} transactions, {} lies",
                b.jobs().count(),
                b.unconfirmed_jobs(),
                told.awards,
                told.done,
                told.calls,
                told.writes,
                told.violations
            );
        }
    }

    fn tell_broker(self: &Rc<Self>, event: Event) {
        self.clone().go(|b, now| b.event(event, now));
    }

    /// Lets the broker decide, and sets about what it wants done.
    fn go(self: Rc<Self>, decide: impl FnOnce(&mut Broker, Millis) -> Vec<Effect>) {
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
            executor.spawn_high(self.clone().carry_out(effect)).detach();
        }
    }

    async fn carry_out(self: Rc<Self>, effect: Effect) {
        if !self.may_act() {
            return;
        }
        let server = &self.server;
        match effect {
            Effect::LedgerSync(Step::Write(n, change)) => {
                match server.state.write(self.term, &change).await {
                    Ok(wrote) => self.tell_broker(Event::WriteOutcome(n, wrote)),
                    Err(Lost) => self.ended.set(true),
                }
            }
            Effect::LedgerSync(Step::Read(n, key)) => {
                let found = server.state.get(&key).await;
                self.tell_broker(Event::ReadOutcome(n, found));
            }
            Effect::Call {
                market,
                call,
                request,
            } => {
                let sent = server.now();
                let reply = self.call(market, &request).await;
                self.tell_broker(Event::CallEnded { call, sent, reply });
            }
            Effect::MarkOffloaded {
                job,
                award,
                version,
            } => {
                let market = {
                    let b = self.broker.borrow();
                    let offload = b.jobs().find(|(j, _)| *j == job);
                    offload.map(|(_, l)| b.markets[l.market].name.clone())
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
                self.tell_broker(Event::MarkOutcome { job, award, marked });
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
                self.tell_broker(Event::EndOutcome { job, award, taken });
            }
            Effect::Resign => self.ended.set(true),
        }
    }

    async fn call(
        &self,
        market: usize,
        request: &wire::Request,
    ) -> Result<wire::Reply, CallFailure> {
        let server = &self.server;
        let name = self.broker.borrow().markets[market].name.clone();
        let addr = server.options.markets.get(&name);
        let addr: SocketAddr = addr
            .and_then(|a| a.parse().ok())
            .ok_or(CallFailure::NoAnswer)?;
        let body = serde_json::to_vec(request).map_err(|_| CallFailure::Invalid)?;
        let answer = http::call(&server.keys, addr, &name, PATH, body, CALL, wire::MAX_BODY).await;
        match answer {
            Ok(a) if a.status == 200 => server.replies.read(&a.body).map_err(|why| {
                log::warn!("market {name}: an answer is refused: {}", why.0);
                CallFailure::Invalid
            }),
            Ok(a) => {
                log::warn!("market {name} answers with status {}", a.status);
                Err(CallFailure::Invalid)
            }
            Err(e) => {
                match e {
                    CallError::TooLong => log::info!("market {name} is silent"),
                    e => log::info!("market {name}: {e}"),
                }
                Err(CallFailure::NoAnswer)
            }
        }
    }
}
