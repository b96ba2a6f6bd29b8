//! The load: users who submit jobs at the plan's rates and poll them until
//! they are over, and what they saw.

use super::{
    history::{Answered, History, Said},
    plan::Plan,
};
use crate::{Millis, installation::Testbed, object_store::Started, traffic};
use async_io::Timer;
use hdrhistogram::Histogram;
use http_types::Method;
use pathwinch_protocol::users::{JobSpec, JobState, JobStatus, Kind};
use pathwinch_transport::client::Answer;
use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Before a request that failed is repeated.
const RETRY: Duration = Duration::from_secs(1);
/// A job that is cancelled is so within this time after it was accepted.
const MOST_BEFORE_WITHDRAWAL_S: f64 = 20.0;
/// Close looks at each controller, and within how long.
const LOOKS: usize = 2;
const LOOKS_WITHIN_MS: u64 = 30;
/// Submissions that are begun at once at the start, and how often.
const INITIAL_BATCH: usize = 20;
const INITIAL_INTERVAL: Duration = Duration::from_millis(100);

/// What users of one class saw since the figures were last reset.
#[derive(Debug)]
pub struct ClassFigures {
    pub submitted: u64,
    pub accepted: u64,
    pub done: u64,
    pub starts: u64,
    /// From the first attempt to submit to a task's first start.
    pub start_delays: Histogram<u64>,
}

impl Default for ClassFigures {
    fn default() -> Self {
        ClassFigures {
            submitted: 0,
            accepted: 0,
            done: 0,
            starts: 0,
            start_delays: traffic::times(),
        }
    }
}

/// What all users saw since the figures were last reset.
#[derive(Debug)]
pub struct Figures {
    pub classes: Vec<ClassFigures>,
    pub submit_times: Histogram<u64>,
    pub polls: u64,
    pub polls_failed: u64,
    pub submissions_repeated: u64,
}

impl Figures {
    fn of(classes: usize) -> Self {
        Figures {
            classes: (0..classes).map(|_| ClassFigures::default()).collect(),
            submit_times: traffic::times(),
            polls: 0,
            polls_failed: 0,
            submissions_repeated: 0,
        }
    }
}

/// A job whose user has not seen it end.
struct Open {
    class: usize,
    submitted: Millis,
    started: HashSet<u32>,
}

pub struct Users {
    testbed: Rc<Testbed>,
    plan: Plan,
    open: RefCell<HashMap<String, Open>>,
    figures: RefCell<Figures>,
    next_job: RefCell<usize>,
    rng: RefCell<fastrand::Rng>,
    history: RefCell<History>,
}

impl Users {
    pub fn new(testbed: Rc<Testbed>, plan: Plan) -> Rc<Self> {
        Rc::new(Users {
            figures: RefCell::new(Figures::of(plan.class.len())),
            rng: RefCell::new(fastrand::Rng::with_seed(plan.seed)),
            next_job: RefCell::new(1),
            open: RefCell::default(),
            history: RefCell::default(),
            plan,
            testbed,
        })
    }

    /// Jobs whose users have not seen them end.
    pub fn open_jobs(&self) -> usize {
        self.open.borrow().len()
    }

    /// Answers that were held against those before them.
    pub fn answers_checked(&self) -> u64 {
        self.history.borrow().answers()
    }

    /// What users were told that they may not be.
    pub fn rules_broken(&self) -> Vec<String> {
        self.history.borrow().broken().to_vec()
    }

    /// Takes what was seen since the last call.
    pub fn take_figures(&self) -> Figures {
        self.figures.replace(Figures::of(self.plan.class.len()))
    }

    /// Begins all arrivals; they go on until the lab ends.
    pub fn begin(self: &Rc<Self>) {
        for class in 0..self.plan.class.len() {
            let users = self.clone();
            let arrivals = async move {
                users.submit_initial(class).await;
                users.arrive(class).await;
            };
            self.testbed.executor.spawn_low(arrivals).detach();
        }
    }

    async fn submit_initial(self: &Rc<Self>, class: usize) {
        let count = self.plan.class[class].initial.round() as usize;
        for number in 0..count {
            self.submit_one(class);
            if number % INITIAL_BATCH == INITIAL_BATCH - 1 {
                Timer::after(INITIAL_INTERVAL).await;
            }
        }
    }

    async fn arrive(self: &Rc<Self>, class: usize) {
        let rate = self.plan.class[class].per_s;
        if rate <= 0.0 {
            return;
        }
        loop {
            let chance = 1.0 - self.rng.borrow_mut().f64();
            let gap = -chance.ln() / rate;
            Timer::after(Duration::from_secs_f64(gap)).await;
            self.submit_one(class);
        }
    }

    fn submit_one(self: &Rc<Self>, class: usize) {
        let number = self.next_job.replace_with(|n| *n + 1);
        let spec = {
            let mut rng = self.rng.borrow_mut();
            self.plan.class[class].job(number, self.plan.teams, &mut rng)
        };
        let open = Open {
            class,
            submitted: self.testbed.now(),
            started: HashSet::new(),
        };
        self.testbed.object_store.borrow_mut().upload(&spec);
        self.open.borrow_mut().insert(spec.id.clone(), open);
        self.figures.borrow_mut().classes[class].submitted += 1;
        let users = self.clone();
        let user = async move { users.follow(class, spec).await };
        self.testbed.executor.spawn_low(user).detach();
    }

    /// One user's part: submits until that is accepted, then polls.
    async fn follow(self: Rc<Self>, class: usize, spec: JobSpec) {
        let body = serde_json::to_vec(&spec).unwrap_or_default();
        let begun = self.testbed.now();
        loop {
            let answer = self.ask(
                &spec.id,
                Method::Post,
                "/v1/jobs",
                Some(&body),
                SUBMIT_TIMEOUT,
            );
            match answer.await {
                Some(a) if matches!(a.status, 200 | 201) => break,
                Some(a) if matches!(a.status, 400 | 422) => {
                    log::error!("{} refused: {}", spec.id, String::from_utf8_lossy(&a.body));
                    self.open.borrow_mut().remove(&spec.id);
                    return;
                }
                _ => {
                    self.figures.borrow_mut().submissions_repeated += 1;
                    Timer::after(RETRY).await;
                }
            }
        }
        {
            let took = self.testbed.now() - begun;
            let mut figures = self.figures.borrow_mut();
            figures.classes[class].accepted += 1;
            traffic::record(&mut figures.submit_times, took);
        }
        self.look_closely(&spec.id);
        if self.is_to_be_withdrawn() {
            self.cancel(&spec.id).await;
        }
        self.poll_until_over(class, &spec).await;
    }

    /// Without that fault nothing is drawn: the load stays that of its seed.
    fn is_to_be_withdrawn(&self) -> bool {
        let share = self.plan.faults.withdrawn;
        share > 0.0 && self.rng.borrow_mut().f64() < share
    }

    /// Cancels a job some time after it was accepted.
    async fn cancel(self: &Rc<Self>, id: &str) {
        let after = MOST_BEFORE_WITHDRAWAL_S * self.rng.borrow_mut().f64();
        Timer::after(Duration::from_secs_f64(after)).await;
        self.history.borrow_mut().asked_to_withdraw(id);
        let path = format!("/v1/jobs/{id}/abort");
        loop {
            let answer = self
                .ask(id, Method::Post, &path, None, SUBMIT_TIMEOUT)
                .await;
            if answer.is_some_and(|a| a.status == 200) {
                return self.look_closely(id);
            }
            Timer::after(RETRY).await;
        }
    }

    /// Asks at all controllers within milliseconds, twice at each.
    fn look_closely(self: &Rc<Self>, id: &str) {
        if !self.plan.faults.close_looks {
            return;
        }
        for controller in 0..self.testbed.controllers.len() {
            for _ in 0..LOOKS {
                let after = self.rng.borrow_mut().u64(0..LOOKS_WITHIN_MS);
                let (users, id) = (self.clone(), id.to_owned());
                let look = async move {
                    Timer::after(Duration::from_millis(after)).await;
                    let path = format!("/v1/jobs/{id}");
                    let at = &users.testbed.controllers[controller];
                    let asked = users.testbed.now();
                    let answer = users.call(at.listen, Method::Get, &path, None, POLL_TIMEOUT);
                    let answer = answer.await;
                    users.note_answer(&id, &at.name, asked, answer.as_ref());
                };
                self.testbed.executor.spawn_low(look).detach();
            }
        }
    }

    async fn poll_until_over(self: &Rc<Self>, class: usize, spec: &JobSpec) {
        let path = format!("/v1/jobs/{}", spec.id);
        // The first polls are spread like the later ones.
        let first = self.plan.poll_s * self.rng.borrow_mut().f64();
        Timer::after(Duration::from_secs_f64(first)).await;
        loop {
            let answer = self
                .ask(&spec.id, Method::Get, &path, None, POLL_TIMEOUT)
                .await;
            self.figures.borrow_mut().polls += 1;
            let status = answer
                .filter(|a| a.status == 200)
                .and_then(|a| serde_json::from_slice::<JobStatus>(&a.body).ok());
            match status.map(|s| s.state) {
                Some(JobState::Done | JobState::Cancelled) => break,
                Some(JobState::Queued | JobState::Running) => {}
                None => self.figures.borrow_mut().polls_failed += 1,
            }
            Timer::after(Duration::from_secs_f64(self.plan.poll_s)).await;
        }
        self.look_closely(&spec.id);
        if spec.kind != Kind::Service {
            self.figures.borrow_mut().classes[class].done += 1;
        }
        self.open.borrow_mut().remove(&spec.id);
    }

    /// Asks a controller that is ready about a job.
    async fn ask(
        &self,
        id: &str,
        method: Method,
        path: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Option<Answer> {
        let to = self.testbed.ready_controller()?;
        let controllers = &self.testbed.controllers;
        let name = controllers.iter().find(|c| c.listen == to)?.name.as_str();
        let asked = self.testbed.now();
        let answer = self.call(to, method, path, body, limit).await;
        self.note_answer(id, name, asked, answer.as_ref());
        answer
    }

    async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Option<Answer> {
        let body = body.map(<[u8]>::to_vec);
        self.testbed
            .http
            .call(to, method, path, body, limit)
            .await
            .ok()
    }

    /// Holds an answer against those before it.
    fn note_answer(&self, job: &str, controller: &str, sent: Millis, answer: Option<&Answer>) {
        let Some(answer) = answer else { return };
        let state = || serde_json::from_slice::<JobStatus>(&answer.body).ok();
        let said = match answer.status {
            200 | 201 => state().map(|status| Said::State(status.state)),
            status @ (400 | 404 | 422) => Some(Said::Refused(status)),
            _ => None,
        };
        let Some(said) = said else { return };
        let came = self.testbed.now();
        if said == Said::State(JobState::Cancelled) {
            self.testbed.object_store.borrow_mut().cancelled(job, came);
        }
        self.history.borrow_mut().answered(&Answered {
            job,
            controller,
            sent,
            came,
            said,
        });
    }

    /// Takes in the starts that workers saw.
    pub fn note_starts(&self, starts: Vec<Started>) {
        let mut open = self.open.borrow_mut();
        let mut figures = self.figures.borrow_mut();
        for start in starts {
            let Some(job) = open.get_mut(&start.job) else {
                continue;
            };
            let class = &mut figures.classes[job.class];
            class.starts += 1;
            if job.started.insert(start.task) {
                let delay = start.at.saturating_sub(job.submitted);
                traffic::record(&mut class.start_delays, delay);
            }
        }
    }
}
