//! The load of a scale run: users who submit jobs at the plan's rates, may cancel them,
//! and poll them until they end. Records the users' figures and checks their answers.

use super::{
    history::{AnswerContent, History, UserAnswer},
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
/// Delay before a failed request is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum time in seconds from the acceptance of a job to its cancellation.
const MAX_CANCEL_DELAY_S: f64 = 20.0;
/// Number of requests to each controller in a check of all controllers.
const CHECKS_PER_CONTROLLER: usize = 2;
/// Time within which these requests are sent, in milliseconds.
const CHECK_WINDOW_MS: u64 = 30;
/// Number of initial jobs that are submitted at once.
const INITIAL_BATCH_SIZE: usize = 20;
/// Interval between two batches of initial jobs.
const INITIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Figures of the users of one class since the last reset.
#[derive(Debug)]
pub struct ClassFigures {
    pub submitted: u64,
    pub accepted: u64,
    pub done: u64,
    pub starts: u64,
    /// Times from the first attempt to submit a job to the first start of each task.
    pub start_delays: Histogram<u64>,
}

impl Default for ClassFigures {
    fn default() -> Self {
        ClassFigures {
            submitted: 0,
            accepted: 0,
            done: 0,
            starts: 0,
            start_delays: traffic::time_histogram(),
        }
    }
}

/// Figures of all users since the last reset.
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
            submit_times: traffic::time_histogram(),
            polls: 0,
            polls_failed: 0,
            submissions_repeated: 0,
        }
    }
}

/// A job whose user has not been told yet that it ended.
struct OpenJob {
    class: usize,
    submitted: Millis,
    /// Tasks that have started at least once.
    started: HashSet<u32>,
}

/// The users of a scale run.
pub struct Users {
    testbed: Rc<Testbed>,
    plan: Plan,
    open: RefCell<HashMap<String, OpenJob>>,
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

    /// Number of jobs whose users have not been told yet that they ended.
    pub fn open_jobs(&self) -> usize {
        self.open.borrow().len()
    }

    /// Number of answers that were checked against earlier ones.
    pub fn answers_checked(&self) -> u64 {
        self.history.borrow().answers()
    }

    /// Descriptions of the violations in the answers to users.
    pub fn answer_violations(&self) -> Vec<String> {
        self.history.borrow().violations().to_vec()
    }

    /// Returns the figures since the last call and resets them.
    pub fn take_figures(&self) -> Figures {
        self.figures.replace(Figures::of(self.plan.class.len()))
    }

    /// Starts the users of all classes. They submit jobs until the testbed stops.
    pub fn start(self: &Rc<Self>) {
        for class in 0..self.plan.class.len() {
            let users = self.clone();
            let arrivals = async move {
                users.submit_initial(class).await;
                users.submit_at_rate(class).await;
            };
            self.testbed.executor.spawn_low(arrivals).detach();
        }
    }

    async fn submit_initial(self: &Rc<Self>, class: usize) {
        let count = self.plan.class[class].initial.round() as usize;
        for number in 0..count {
            self.submit_one(class);
            if number % INITIAL_BATCH_SIZE == INITIAL_BATCH_SIZE - 1 {
                Timer::after(INITIAL_INTERVAL).await;
            }
        }
    }

    /// Submits jobs of a class at its rate, at exponentially distributed intervals.
    async fn submit_at_rate(self: &Rc<Self>, class: usize) {
        let rate = self.plan.class[class].per_s;
        if rate <= 0.0 {
            return;
        }
        loop {
            let probability = 1.0 - self.rng.borrow_mut().f64();
            let interval = -probability.ln() / rate;
            Timer::after(Duration::from_secs_f64(interval)).await;
            self.submit_one(class);
        }
    }

    fn submit_one(self: &Rc<Self>, class: usize) {
        let number = self.next_job.replace_with(|n| *n + 1);
        let spec = {
            let mut rng = self.rng.borrow_mut();
            self.plan.class[class].job(number, self.plan.teams, &mut rng)
        };
        let open = OpenJob {
            class,
            submitted: self.testbed.now(),
            started: HashSet::new(),
        };
        self.testbed.object_store.borrow_mut().upload(&spec);
        self.open.borrow_mut().insert(spec.id.clone(), open);
        self.figures.borrow_mut().classes[class].submitted += 1;
        let users = self.clone();
        let user = async move { users.run_user(class, spec).await };
        self.testbed.executor.spawn_low(user).detach();
    }

    /// Runs the user of a job: submits it until it is accepted, cancels it if the plan says
    /// so, and polls it until it ends.
    async fn run_user(self: Rc<Self>, class: usize, spec: JobSpec) {
        let body = serde_json::to_vec(&spec).unwrap_or_default();
        let submit_started = self.testbed.now();
        loop {
            let answer = self.send_request(
                &spec.id,
                Method::Post,
                "/v1/jobs",
                Some(&body),
                SUBMIT_TIMEOUT,
            );
            match answer.await {
                Some(a) if matches!(a.status, 200 | 201) => break,
                Some(a) if matches!(a.status, 400 | 422) => {
                    log::error!(
                        "scale run: job {} was refused: {}",
                        spec.id,
                        String::from_utf8_lossy(&a.body)
                    );
                    self.open.borrow_mut().remove(&spec.id);
                    return;
                }
                _ => {
                    self.figures.borrow_mut().submissions_repeated += 1;
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
        {
            let submit_time = self.testbed.now() - submit_started;
            let mut figures = self.figures.borrow_mut();
            figures.classes[class].accepted += 1;
            traffic::record(&mut figures.submit_times, submit_time);
        }
        self.check_all_controllers(&spec.id);
        if self.should_cancel() {
            self.cancel(&spec.id).await;
        }
        self.poll_until_over(class, &spec).await;
    }

    /// Whether the user cancels the job. Draws no random number if the plan has no
    /// cancellations, so that the load of a seed does not change.
    fn should_cancel(&self) -> bool {
        let share = self.plan.faults.withdrawn;
        share > 0.0 && self.rng.borrow_mut().f64() < share
    }

    /// Cancels a job a random time after it was accepted.
    async fn cancel(self: &Rc<Self>, id: &str) {
        let after = MAX_CANCEL_DELAY_S * self.rng.borrow_mut().f64();
        Timer::after(Duration::from_secs_f64(after)).await;
        self.history.borrow_mut().record_cancel_request(id);
        let path = format!("/v1/jobs/{id}/abort");
        loop {
            let answer = self
                .send_request(id, Method::Post, &path, None, SUBMIT_TIMEOUT)
                .await;
            if answer.is_some_and(|a| a.status == 200) {
                return self.check_all_controllers(id);
            }
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Asks all controllers for the state of a job within milliseconds, each of them twice,
    /// if the plan enables that.
    fn check_all_controllers(self: &Rc<Self>, id: &str) {
        if !self.plan.faults.close_looks {
            return;
        }
        for controller in 0..self.testbed.controllers.len() {
            for _ in 0..CHECKS_PER_CONTROLLER {
                let after = self.rng.borrow_mut().u64(0..CHECK_WINDOW_MS);
                let (users, id) = (self.clone(), id.to_owned());
                let check = async move {
                    Timer::after(Duration::from_millis(after)).await;
                    let path = format!("/v1/jobs/{id}");
                    let at = &users.testbed.controllers[controller];
                    let sent_at = users.testbed.now();
                    let answer = users.call(at.listen, Method::Get, &path, None, POLL_TIMEOUT);
                    let answer = answer.await;
                    users.check_answer(&id, &at.name, sent_at, answer.as_ref());
                };
                self.testbed.executor.spawn_low(check).detach();
            }
        }
    }

    async fn poll_until_over(self: &Rc<Self>, class: usize, spec: &JobSpec) {
        let path = format!("/v1/jobs/{}", spec.id);
        // A random first delay spreads the polls of all users over time.
        let first = self.plan.poll_s * self.rng.borrow_mut().f64();
        Timer::after(Duration::from_secs_f64(first)).await;
        loop {
            let answer = self
                .send_request(&spec.id, Method::Get, &path, None, POLL_TIMEOUT)
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
        self.check_all_controllers(&spec.id);
        if spec.kind != Kind::Service {
            self.figures.borrow_mut().classes[class].done += 1;
        }
        self.open.borrow_mut().remove(&spec.id);
    }

    /// Sends a request about a job to a ready controller, and records the answer.
    async fn send_request(
        &self,
        id: &str,
        method: Method,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Option<Answer> {
        let to = self.testbed.ready_controller()?;
        let controllers = &self.testbed.controllers;
        let name = controllers.iter().find(|c| c.listen == to)?.name.as_str();
        let sent_at = self.testbed.now();
        let answer = self.call(to, method, path, body, timeout).await;
        self.check_answer(id, name, sent_at, answer.as_ref());
        answer
    }

    async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Option<Answer> {
        let body = body.map(<[u8]>::to_vec);
        self.testbed
            .http
            .call(to, method, path, body, timeout)
            .await
            .ok()
    }

    /// Checks an answer against earlier ones.
    fn check_answer(&self, job: &str, controller: &str, sent: Millis, answer: Option<&Answer>) {
        let Some(answer) = answer else { return };
        let state = || serde_json::from_slice::<JobStatus>(&answer.body).ok();
        let content = match answer.status {
            200 | 201 => state().map(|status| AnswerContent::State(status.state)),
            status @ (400 | 404 | 422) => Some(AnswerContent::Refused(status)),
            _ => None,
        };
        let Some(content) = content else { return };
        let received = self.testbed.now();
        if content == AnswerContent::State(JobState::Cancelled) {
            self.testbed
                .object_store
                .borrow_mut()
                .record_cancellation(job, received);
        }
        self.history.borrow_mut().record_answer(&UserAnswer {
            job,
            controller,
            sent,
            received,
            content,
        });
    }

    /// Records task starts in the figures.
    pub fn record_starts(&self, starts: Vec<Started>) {
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
