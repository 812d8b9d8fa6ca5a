//! User requests that only faults cause: cancellations at set moments, malformed or
//! otherwise invalid requests, and status queries to all controllers within milliseconds.

use crate::jobs::history_job;
use crate::network::lock;
use crate::users::Users;
use cherrywood_checker::What;
use cherrywood_checker::history::Ask;
use cherrywood_scenario::Fault;
use cherrywood_wire::encode;
use cherrywood_wire::user::Submission;
use std::sync::Arc;

/// Most seconds between the end of a job's last task and its cancellation.
const CANCEL_AT_END_S: f64 = 0.3;
/// Range of the interval between two invalid requests, s.
const INVALID_REQUEST_INTERVAL_S: (f64, f64) = (0.1, 0.5);
/// Status queries to each controller, and range of the interval between two, s.
const STATUS_QUERIES: u32 = 3;
const STATUS_QUERY_INTERVAL_S: (f64, f64) = (0.001, 0.02);
/// A CPU request that no machine can satisfy.
const TOO_MANY_CPUS: f64 = 1.0e6;
/// Required fields: a submission that lacks one must be refused.
const REQUIRED_FIELDS: [&str; 4] = ["crew", "chores", "cpus", "rank"];

impl Users {
    /// Whether the user of this job waits for its end.
    pub fn is_waiting_for(&self, job: &str) -> bool {
        lock(&self.open).contains_key(job)
    }

    fn chance(&self) -> f64 {
        self.host.random_between(0.0, 1.0)
    }

    /// Draws one of the values; `None` if there are none.
    fn draw_one<T>(&self, all: Vec<T>) -> Option<T> {
        let at = (self.host.random() % all.len().max(1) as u64) as usize;
        all.into_iter().nth(at)
    }

    /// Cancels a job after `after_s` seconds, and repeats the request until the user
    /// receives a final state.
    pub fn cancel(self: Arc<Self>, job: String, after_s: f64) {
        self.host.clone().spawn(async move {
            self.host.sleep(after_s).await;
            self.world.record(What::Unwanted { job: job.clone() });
            let mut connection = None;
            while self.is_waiting_for(&job) {
                let told = self
                    .send(&mut connection, Ask::Cancel, &job, Some(&[]))
                    .await;
                if told.is_final() {
                    self.query_all_controllers(&job);
                    return;
                }
                self.host.sleep(told.retry_s()).await;
            }
        });
    }

    /// Issues the requests that active faults demand at the end of a job's last task.
    pub(crate) async fn watch_job_ends(self: Arc<Self>) {
        loop {
            for job in self.world.next_finished_jobs().await {
                // A job that its user has given up is not queried.
                if !self.is_waiting_for(&job) {
                    continue;
                }
                self.query_all_controllers(&job);
                if self.draws_cancel_at_end() {
                    let after_s = self.host.random_between(0.0, CANCEL_AT_END_S);
                    self.clone().cancel(job, after_s);
                }
            }
        }
    }

    fn draws_cancel_at_end(&self) -> bool {
        let share = |t: &Fault| match t {
            Fault::CancelAtEnd(t) => Some(t.share),
            _ => None,
        };
        let shares = self.world.active_faults(share);
        shares.into_iter().any(|share| self.chance() < share)
    }

    // --- simultaneous status queries ---

    /// While a fault demands it, queries all controllers repeatedly about this job, and
    /// repeats its submission at one of them.
    pub(crate) fn query_all_controllers(self: &Arc<Self>, job: &str) {
        let close = |t: &Fault| matches!(t, Fault::CloseLooks(_)).then_some(());
        if self.world.active_faults(close).is_empty() {
            return;
        }
        let nodes = self.world.addresses.nodes.len();
        let submission = lock(&self.open).get(job).cloned();
        let repeats_at = (self.host.random() % nodes as u64) as usize;
        for node in 0..nodes {
            let repeat = submission.clone().filter(|_| node == repeats_at);
            let (own, job) = (self.clone(), job.to_string());
            self.host
                .spawn(async move { own.query_controller(node, &job, repeat).await });
        }
    }

    async fn query_controller(self: Arc<Self>, node: usize, job: &str, repeat: Option<Submission>) {
        for _ in 0..STATUS_QUERIES {
            let pause_s = self
                .host
                .random_between(STATUS_QUERY_INTERVAL_S.0, STATUS_QUERY_INTERVAL_S.1);
            self.host.sleep(pause_s).await;
            let Some(connection) = self.connect_to(node).await else {
                return;
            };
            self.send(&mut Some(connection), Ask::Poll, job, None).await;
        }
        if let Some(submission) = repeat
            && let Some(connection) = self.connect_to(node).await
        {
            let body = encode(&submission);
            self.send(&mut Some(connection), Ask::Submit, job, Some(&body))
                .await;
        }
    }

    // --- invalid requests ---

    /// Sends invalid requests for `for_s` seconds.
    pub(crate) async fn send_invalid_requests(self: Arc<Self>, for_s: f64) {
        let until = self.world.now_s() + for_s;
        while self.world.now_s() < until {
            let pause_s = self
                .host
                .random_between(INVALID_REQUEST_INTERVAL_S.0, INVALID_REQUEST_INTERVAL_S.1);
            self.host.sleep(pause_s).await;
            let own = self.clone();
            let which = self.host.random() % 4;
            self.host.spawn(async move {
                match which {
                    0 => own.repeat_open_submission().await,
                    1 => own.cancel_done().await,
                    2 => own.submit_impossible().await,
                    _ => own.submit_without_a_field().await,
                }
            });
        }
    }

    async fn repeat_open_submission(self: Arc<Self>) {
        let open = lock(&self.open).values().cloned().collect();
        let Some(submission) = self.draw_one::<Submission>(open) else {
            return;
        };
        let body = encode(&submission);
        self.send(&mut None, Ask::Submit, &submission.id, Some(&body))
            .await;
    }

    /// Cancels a job reported as done to its user; the response must report it as done
    /// again.
    async fn cancel_done(self: Arc<Self>) {
        let done = lock(&self.done).clone();
        if let Some(job) = self.draw_one(done) {
            self.send(&mut None, Ask::Cancel, &job, Some(&[])).await;
        }
    }

    /// Returns a copy of a drawn open submission under an id that no user has.
    fn copy_of_open_submission(&self) -> Option<Submission> {
        let open = lock(&self.open).values().cloned().collect();
        let mut submission: Submission = self.draw_one(open)?;
        submission.id = format!("wk-8{:08}", self.host.random() % 100_000_000);
        submission.dependencies = Vec::new();
        Some(submission)
    }

    async fn submit_impossible(self: Arc<Self>) {
        let Some(mut submission) = self.copy_of_open_submission() else {
            return;
        };
        match self.host.random() % 3 {
            0 => submission.cpus = TOO_MANY_CPUS,
            1 => submission.machine_types = Some(vec!["no-such-type".to_string()]),
            _ => submission.team = "nobody".to_string(),
        }
        self.world.submitted(history_job(&submission));
        let body = encode(&submission);
        self.submit(&mut None, &submission.id, &body).await;
        self.world.close_job();
    }

    async fn submit_without_a_field(self: Arc<Self>) {
        let Some(submission) = self.copy_of_open_submission() else {
            return;
        };
        let Some(field) = self.draw_one(REQUIRED_FIELDS.to_vec()) else {
            return;
        };
        let Some(body) = encode_without(&submission, field) else {
            return;
        };
        self.world.record(What::LacksField {
            job: submission.id.clone(),
            field: field.to_string(),
        });
        self.send(&mut None, Ask::Submit, &submission.id, Some(&body))
            .await;
    }
}

/// Encodes a submission without one of its fields.
fn encode_without(submission: &Submission, field: &str) -> Option<Vec<u8>> {
    let mut fields: rmpv::Value = cherrywood_wire::decode(&encode(submission)).ok()?;
    if let rmpv::Value::Map(fields) = &mut fields {
        fields.retain(|(name, _)| name.as_str() != Some(field));
    }
    Some(encode(&fields))
}
