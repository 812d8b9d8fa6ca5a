//! Users behind the load balancer: they submit, retry, query the status of jobs, cancel,
//! come back later, and query jobs that nobody submitted.

use crate::balancer::{
    ACCEPT_TIMEOUT_S, LoadBalancer, MAX_TRIES, PROBE_INTERVAL_S, PROBE_TIMEOUT_S,
};
use crate::jobs::{JobGenerator, PlannedJob};
use crate::network::{Role, lock};
use crate::process::Process;
use crate::world::World;
use cherrywood_checker::What;
use cherrywood_checker::history::{Ask, State};
use cherrywood_net::client::{ClientResponse, exchange};
use cherrywood_net::{Runtime, Stream};
use cherrywood_scenario::Fault;
use cherrywood_wire::user::{JobState, JobStatus, Submission};
use cherrywood_wire::{decode, encode};
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Seconds that a user waits for the response to a submission or a cancellation, and to a
/// status query.
const RESPONSE_TIMEOUT_S: f64 = 5.0;
const STATUS_TIMEOUT_S: f64 = 2.0;
/// Least and most seconds after which a refused user retries, and seconds after which the
/// user gives up.
const RETRY_S: f64 = 1.0;
const RETRY_AFTER_MOST_S: f64 = 30.0;
const GIVE_UP_S: f64 = 60.0;
/// Range of the time after the end of a job at which its user may query it again, s.
const LATE_QUERY_S: (f64, f64) = (5.0, 40.0);
/// Time after acceptance at which a job of a pipeline is cancelled, s: least, and width of
/// the range.
const CANCEL_STAGE_S: (f64, f64) = (2.0, 60.0);
/// Share of users who query a job again after its end.
const LATE_QUERY_SHARE: f64 = 0.3;
/// Interval for which job arrivals are drawn, s.
const ARRIVAL_INTERVAL_S: f64 = 0.25;
/// Seconds after the beginning at which users arrive; the controllers are up by then.
const ARRIVALS_BEGIN_S: f64 = 5.0;

/// The load balancer and all users.
pub struct Users {
    pub(crate) world: Arc<World>,
    proc: Arc<Process>,
    pub(crate) host: Runtime,
    balancer: Mutex<LoadBalancer>,
    /// Number of times that the connections to each controller were reset.
    resets: Mutex<Vec<u64>>,
    /// Job generators of each class, and of each stage of each pipeline.
    generators: Vec<Mutex<JobGenerator>>,
    stage_generators: Vec<Vec<Mutex<JobGenerator>>>,
    /// Accepted jobs whose users wait for their end, with their submissions.
    pub(crate) open: Mutex<BTreeMap<String, Submission>>,
    /// Jobs that were reported as done to their users.
    pub(crate) done: Mutex<Vec<String>>,
}

/// A user's connection through the load balancer.
pub(crate) struct UserConnection {
    users: Arc<Users>,
    stream: Stream,
    node: usize,
    resets: u64,
}

impl Drop for UserConnection {
    fn drop(&mut self) {
        lock(&self.users.balancer).closed(self.node);
    }
}

/// The outcome of a request.
pub(crate) struct Outcome {
    status: u16,
    state: Option<JobState>,
    retry_after_s: Option<f64>,
}

impl Outcome {
    /// Whether the response reports a final state of the job.
    pub(crate) fn is_final(&self) -> bool {
        self.state.is_some_and(|s| state(s).is_final())
    }

    /// Returns the seconds after which the user repeats the request.
    pub(crate) fn retry_s(&self) -> f64 {
        let wait_s = self.retry_after_s.unwrap_or(RETRY_S);
        wait_s.clamp(RETRY_S, RETRY_AFTER_MOST_S)
    }
}

fn state(s: JobState) -> State {
    match s {
        JobState::Queued => State::Queued,
        JobState::Running => State::Running,
        JobState::Done => State::Done,
        JobState::Cancelled => State::Cancelled,
    }
}

impl Users {
    pub fn start(world: &Arc<World>) -> Arc<Users> {
        let proc = world.region_process("users", Role::Users);
        let nodes = world.addresses.nodes.len();
        let (classes, stages) = JobGenerator::all(world);
        let stages = stages.into_iter();
        let stages = stages.map(|of| of.into_iter().map(Mutex::new).collect());
        let me = Arc::new(Users {
            world: world.clone(),
            host: proc.host(),
            proc,
            balancer: Mutex::new(LoadBalancer::new(nodes)),
            resets: Mutex::new(vec![0; nodes]),
            generators: classes.into_iter().map(Mutex::new).collect(),
            stage_generators: stages.collect(),
            open: Mutex::default(),
            done: Mutex::default(),
        });
        let own = me.clone();
        me.host.spawn(async move { own.watch_job_ends().await });
        for node in 0..nodes {
            let own = me.clone();
            me.host.spawn(async move { own.probe(node).await });
        }
        for class in 0..world.scenario.workload.classes.len() {
            let own = me.clone();
            me.host.spawn(async move { own.arrivals(class).await });
        }
        for n in 0..world.scenario.workload.pipelines.len() {
            let own = me.clone();
            me.host.spawn(async move { own.pipelines(n).await });
        }
        if world.scenario.workload.strangers_per_minute > 0.0 {
            let own = me.clone();
            me.host.spawn(async move { own.query_unknown_jobs().await });
        }
        me
    }

    pub fn proc(&self) -> &Process {
        &self.proc
    }

    pub fn is_healthy(&self, node: usize) -> bool {
        lock(&self.balancer).is_healthy(node)
    }

    fn is_playing(&self) -> bool {
        self.world.now_s() < self.world.scenario.play_s
    }

    // --- the load balancer ---

    async fn probe(self: Arc<Self>, node: usize) {
        let to = self.world.addresses.nodes[node].0;
        // The probes of the controllers are spread over the interval.
        self.host
            .sleep(self.host.random_between(0.0, PROBE_INTERVAL_S))
            .await;
        loop {
            let started = self.host.now();
            let work = async {
                let mut stream = self.host.connect(to).await.ok()?;
                let response = exchange(&mut stream, to, "GET", "/healthz", None)
                    .await
                    .ok()?;
                Some(response.status)
            };
            let ok = self.host.timeout(PROBE_TIMEOUT_S, work).await == Ok(Some(200));
            let reset = {
                let now = self.host.now();
                let mut b = lock(&self.balancer);
                b.record_probe(node, ok, now);
                b.takes_reset(node, now)
            };
            if reset {
                lock(&self.resets)[node] += 1;
                self.world.network.reset_between(self.proc.ip, to.ip());
            }
            let left = PROBE_INTERVAL_S - (self.host.now() - started);
            self.host.sleep(left.max(0.0)).await;
        }
    }

    async fn connect(self: &Arc<Self>) -> Option<UserConnection> {
        let mut tried = Vec::new();
        for _ in 0..MAX_TRIES {
            let chance = self.host.random_between(0.0, 1.0);
            let now = self.host.now();
            let node = lock(&self.balancer).choose(&tried, chance, now)?;
            tried.push(node);
            let to = self.world.addresses.nodes[node].0;
            let connecting = self.host.connect(to);
            match self.host.timeout(ACCEPT_TIMEOUT_S, connecting).await {
                Ok(Ok(stream)) => return Some(self.open_connection(stream, node)),
                _ => lock(&self.balancer).record_failure(node, self.host.now()),
            }
        }
        None
    }

    fn open_connection(self: &Arc<Self>, stream: Stream, node: usize) -> UserConnection {
        lock(&self.balancer).connected(node);
        UserConnection {
            users: self.clone(),
            stream,
            node,
            resets: lock(&self.resets)[node],
        }
    }

    /// Connects to the given controller directly, without a choice by the load balancer.
    pub(crate) async fn connect_to(self: &Arc<Self>, node: usize) -> Option<UserConnection> {
        let connecting = self.host.connect(self.address(node));
        let stream = self.host.timeout(ACCEPT_TIMEOUT_S, connecting).await;
        Some(self.open_connection(stream.ok()?.ok()?, node))
    }

    fn address(&self, node: usize) -> SocketAddr {
        self.world.addresses.nodes[node].0
    }

    /// Sends one request on the user's connection, or on a new one, and records the outcome.
    pub(crate) async fn send(
        self: &Arc<Self>,
        connection: &mut Option<UserConnection>,
        ask: Ask,
        job: &str,
        body: Option<&[u8]>,
    ) -> Outcome {
        let sent_ms = self.world.now_ms();
        let (method, path, wait_s) = match ask {
            Ask::Submit => ("POST", "/submissions".to_string(), RESPONSE_TIMEOUT_S),
            Ask::Poll => ("GET", format!("/submissions/{job}"), STATUS_TIMEOUT_S),
            Ask::Cancel => (
                "POST",
                format!("/submissions/{job}/cancel"),
                RESPONSE_TIMEOUT_S,
            ),
        };
        let mut node = String::new();
        let work = async {
            let kept = connection.take();
            let kept = kept.filter(|l| l.resets == lock(&self.resets)[l.node]);
            let mut open = match kept {
                Some(open) => open,
                None => self.connect().await?,
            };
            node = self.world.node_name(open.node);
            let to = self.address(open.node);
            let told = exchange(&mut open.stream, to, method, &path, body).await;
            let response = told.ok()?;
            if !response.close {
                *connection = Some(open);
            }
            Some(response)
        };
        let response: Option<ClientResponse> = self.host.timeout(wait_s, work).await.ok().flatten();
        let status = response.as_ref().map_or(0, |a| a.status);
        let told: Option<JobStatus> = response
            .as_ref()
            .filter(|a| matches!(a.status, 200 | 201))
            .and_then(|a| decode(&a.body).ok());
        let said = told.map(|t| t.state);
        self.world.record(What::Told {
            ask,
            job: job.to_string(),
            sent_ms,
            status,
            state: said.map(state),
            node,
        });
        Outcome {
            status,
            state: said,
            retry_after_s: response.and_then(|a| a.retry_after_s),
        }
    }

    // --- users ---

    /// Submits the jobs of a class as they arrive. Jobs and their times are drawn from streams
    /// of their own: the same seed gives the same jobs, whatever the controllers do.
    async fn arrivals(self: Arc<Self>, class: usize) {
        let c = self.world.scenario.workload.classes[class].clone();
        let mut rng = self.world.rng(&format!("arrivals of {}", c.name));
        self.host.sleep(ARRIVALS_BEGIN_S).await;
        for _ in 0..c.at_start {
            self.arrive(class, 0.0);
        }
        while self.is_playing() {
            let burst = |t: &Fault| match t {
                Fault::JobBurst(t) if t.class == c.name => Some(t.times),
                _ => None,
            };
            let times = self
                .world
                .active_faults(burst)
                .into_iter()
                .fold(1.0, f64::max);
            let expected = c.per_minute / 60.0 * ARRIVAL_INTERVAL_S * times;
            // Poisson distribution by Knuth's method; the expected count in so short a time
            // is small.
            let (least, mut chance, mut n) = (libm::exp(-expected), 1.0, 0);
            loop {
                chance *= rng.random::<f64>();
                if chance <= least {
                    break;
                }
                n += 1;
            }
            for _ in 0..n {
                let after = rng.random::<f64>() * ARRIVAL_INTERVAL_S;
                self.arrive(class, after);
            }
            self.host.sleep(ARRIVAL_INTERVAL_S).await;
        }
    }

    fn arrive(self: &Arc<Self>, class: usize, after_s: f64) {
        let planned = lock(&self.generators[class]).next_job(&self.world);
        let own = self.clone();
        self.host.spawn(async move {
            own.host.sleep(after_s).await;
            own.run_user(planned).await;
        });
    }

    async fn run_user(self: Arc<Self>, planned: PlannedJob) {
        let id = planned.submission.id.clone();
        self.world
            .upload(planned.upload.clone(), planned.job.clone());
        let body = encode(&planned.submission);
        let mut connection = None;
        let accepted = self.submit(&mut connection, &id, &body).await;
        if !accepted {
            self.world.close_job();
            return;
        }
        self.follow_job(connection, planned, body).await;
    }

    /// Follows an accepted job to its end: queries, cancellation, and what the user does
    /// afterwards.
    async fn follow_job(
        self: Arc<Self>,
        mut connection: Option<UserConnection>,
        planned: PlannedJob,
        body: Vec<u8>,
    ) {
        let id = planned.submission.id.clone();
        lock(&self.open).insert(id.clone(), planned.submission.clone());
        self.query_all_controllers(&id);
        let now = self.host.now();
        let between = |(least, most)| self.host.random_between(least, most);
        let left = (self.world.scenario.play_s - self.world.now_s()).max(0.0);
        let cancel_at = planned
            .cancel_after_s
            .map(|s| match planned.runs_until_cancelled {
                true => now + s.min(left),
                false => now + s,
            });
        let end = self.wait_for_end(&mut connection, &id, cancel_at).await;
        self.query_all_controllers(&id);
        lock(&self.open).remove(&id);
        if end == JobState::Done {
            lock(&self.done).push(id.clone());
        }
        self.world.close_job();
        if self.host.random_between(0.0, 1.0) < LATE_QUERY_SHARE {
            self.host.sleep(between(LATE_QUERY_S)).await;
            self.send(&mut connection, Ask::Poll, &id, None).await;
        }
        if planned.resubmits {
            self.host.sleep(between(LATE_QUERY_S)).await;
            self.send(&mut connection, Ask::Submit, &id, Some(&body))
                .await;
        }
    }

    // --- pipelines ---

    async fn pipelines(self: Arc<Self>, n: usize) {
        let p = self.world.scenario.workload.pipelines[n].clone();
        let mut rng = self.world.rng(&format!("arrivals of {}", p.name));
        if p.per_minute <= 0.0 {
            return;
        }
        self.host.sleep(ARRIVALS_BEGIN_S).await;
        while self.is_playing() {
            let own = self.clone();
            let chances = [rng.random::<f64>(), rng.random(), rng.random()];
            self.host
                .spawn(async move { own.pipeline(n, chances).await });
            // Exponentially distributed intervals.
            let pause = -libm::log(1.0 - rng.random::<f64>()) * 60.0 / p.per_minute;
            self.host.sleep(pause).await;
        }
    }

    /// Submits the jobs of one pipeline, each once the jobs that it depends on are accepted.
    async fn pipeline(self: Arc<Self>, n: usize, [late, cancels, which]: [f64; 3]) {
        let p = self.world.scenario.workload.pipelines[n].clone();
        let mut planned_jobs: Vec<Vec<PlannedJob>> = Vec::new();
        // Length of the longest path up to the end of each stage, s, by the owners'
        // estimates.
        let mut path: Vec<f64> = Vec::new();
        for (at, stage) in p.stages.iter().enumerate() {
            let mut generator = lock(&self.stage_generators[n][at]);
            let mut of: Vec<PlannedJob> = (0..stage.jobs)
                .map(|_| generator.next_job(&self.world))
                .collect();
            let before = stage.needs.iter().map(|m| path[*m]).fold(0.0, f64::max);
            let own = of.iter().map(|o| o.submission.estimate_s);
            path.push(before + own.fold(0.0, f64::max));
            let needs = stage.needs.iter().flat_map(|m| &planned_jobs[*m]);
            let needs: Vec<String> = needs.map(|o| o.submission.id.clone()).collect();
            let last = at + 1 == p.stages.len();
            for o in &mut of {
                o.cancel_after_s = None;
                o.submission.dependencies.clone_from(&needs);
                o.job.needs.clone_from(&needs);
                let due = p.due_factor.filter(|_| last);
                o.submission.deadline_s = due.map(|f| f * path[at] + p.due_plus_s);
            }
            planned_jobs.push(of);
        }
        let all: usize = planned_jobs.iter().map(Vec::len).sum();
        if cancels < p.cancelled {
            let at = ((which * all as f64) as usize).min(all - 1);
            if let Some(o) = planned_jobs.iter_mut().flatten().nth(at) {
                o.cancel_after_s = Some(CANCEL_STAGE_S.0 + which * CANCEL_STAGE_S.1);
            }
        }
        let last = planned_jobs.len() - 1;
        let mut waits = Vec::new();
        for (at, stage) in planned_jobs.into_iter().enumerate() {
            if at == last && last > 0 && late < p.late {
                for over in waits.drain(..) {
                    let _: Result<(), _> = over.await;
                }
            }
            for planned in stage {
                let id = planned.submission.id.clone();
                self.world
                    .upload(planned.upload.clone(), planned.job.clone());
                let body = encode(&planned.submission);
                let mut connection = None;
                if !self.submit(&mut connection, &id, &body).await {
                    // The jobs of later stages cannot be submitted.
                    self.world.close_job();
                    return;
                }
                let (over, told) = tokio::sync::oneshot::channel();
                waits.push(told);
                let own = self.clone();
                self.host.spawn(async move {
                    own.follow_job(connection, planned, body).await;
                    let _ = over.send(());
                });
            }
        }
    }

    /// Submits until the job is accepted (true), or refused or given up (false).
    pub(crate) async fn submit(
        self: &Arc<Self>,
        connection: &mut Option<UserConnection>,
        id: &str,
        body: &[u8],
    ) -> bool {
        let first = self.host.now();
        // Drawn only if the scenario has such users, so that other scenarios replay
        // unchanged.
        let impatient = self.world.scenario.workload.impatient;
        let impatient = impatient > 0.0 && self.host.random_between(0.0, 1.0) < impatient;
        loop {
            let told = self.send(connection, Ask::Submit, id, Some(body)).await;
            match told.status {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => {}
            }
            let asked_s = told.retry_after_s.filter(|_| !impatient);
            let wait = asked_s.unwrap_or(0.0).min(RETRY_AFTER_MOST_S);
            let wait = wait.max(RETRY_S) * self.host.random_between(1.0, 1.2);
            if self.host.now() + wait - first > GIVE_UP_S {
                self.world.record(What::GaveUp {
                    job: id.to_string(),
                });
                return false;
            }
            self.host.sleep(wait).await;
        }
    }

    /// Queries the status until the job has ended, and cancels the job when `cancel_at` is
    /// reached.
    async fn wait_for_end(
        self: &Arc<Self>,
        connection: &mut Option<UserConnection>,
        id: &str,
        cancel_at: Option<f64>,
    ) -> JobState {
        let every = self.world.scenario.workload.poll_s;
        let mut unwanted = false;
        loop {
            let storm = |t: &Fault| match t {
                Fault::PollStorm(t) => Some(t.times),
                _ => None,
            };
            let times = self
                .world
                .active_faults(storm)
                .into_iter()
                .fold(1.0, f64::max);
            let pause = every / times * self.host.random_between(0.8, 1.2);
            let now = self.host.now();
            let due = cancel_at.filter(|at| *at <= now + pause);
            self.host
                .sleep(due.map_or(pause, |at| (at - now).max(0.0)))
                .await;
            let ask = if due.is_some() {
                Ask::Cancel
            } else {
                Ask::Poll
            };
            if due.is_some() && !unwanted {
                unwanted = true;
                self.world.record(What::Unwanted {
                    job: id.to_string(),
                });
            }
            let told = self
                .send(connection, ask, id, (ask == Ask::Cancel).then_some(&[]))
                .await;
            if let Some(end) = told.state.filter(|s| state(*s).is_final()) {
                return end;
            }
            if told.status != 200 {
                self.host.sleep(told.retry_s()).await;
            }
        }
    }

    async fn query_unknown_jobs(self: Arc<Self>) {
        let mut rng = self.world.rng("strangers");
        let every = 60.0 / self.world.scenario.workload.strangers_per_minute;
        while self.is_playing() {
            self.host
                .sleep(every * self.host.random_between(0.5, 1.5))
                .await;
            // No user's id has this prefix: users' ids have six digits, these seven.
            let id = format!("wk-9{:06}", rng.random_range(0..1_000_000));
            self.send(&mut None, Ask::Poll, &id, None).await;
        }
    }
}
