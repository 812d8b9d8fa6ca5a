//! Submissions.
//!
//! A job that any controller ever accepted must never be refused later, whatever machine types,
//! settings or other jobs the controller that handles the repeated submission has read. So before
//! a submission is refused, the key-value store must show that the job is unknown.

use crate::dependencies;
use crate::feasibility::check_feasible;
use crate::job_queries::{JobLookup, look_up};
use crate::job_records;
use crate::node::Node;
use crate::responses::{Outcome, respond_in_span};
use crate::status_queries::QueryResult;
use crate::task_counts::TaskCounts;
use cherrywood_admission::{Decision, job_hash};
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::server::Response;
use cherrywood_net::store_client::TxnOutcome;
use cherrywood_wire::user::{JobState, Submission, submitted_job_id};

/// The state in which a new job is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InitialState {
    /// The job waits for machines, or for its dependencies.
    Queued,
    /// A dependency of the job is cancelled, so the job is cancelled from the start.
    Cancelled,
}

/// Handles `POST /submissions`.
pub(crate) async fn submit(node: &Node, body: &[u8]) -> Response {
    let job = match Submission::decode(body) {
        Ok(job) => job,
        Err(e) => {
            let malformed = Outcome::Malformed(e.to_string());
            let outcome = match submitted_job_id(body) {
                Some(id) => refuse_unless_known(node, &id, malformed).await,
                None => malformed,
            };
            return outcome.into();
        }
    };
    let id = job.id.clone();
    let span = tracing::trace_span!(target: "life", "submission", job = %id);
    respond_in_span(span, &id, accept(node, job)).await
}

/// Accepts a well-formed submission, or returns the outcome that tells why it is not accepted.
async fn accept(node: &Node, job: Submission) -> Outcome {
    if let Some(value) = node.lock_state().final_states.get(&job.id) {
        return Outcome::ended(&job.id, value);
    }
    let machine_types = node.lock_state().machine_types.clone();
    if machine_types.is_empty() {
        return refuse_unless_known(node, &job.id, Outcome::Unavailable).await;
    }
    let teams = &node.settings.platform.deployment.cluster.teams;
    if let Err(e) = check_feasible(&job, teams, &machine_types) {
        let infeasible = Outcome::Infeasible(e.to_string());
        return refuse_unless_known(node, &job.id, infeasible).await;
    }
    if job.dependencies.is_empty() {
        return accept_independent(node, &job).await;
    }
    // Jobs with dependencies bypass the admission filter: their dependencies were admitted, and
    // would have run for nothing if the jobs that depend on them were refused.
    match dependencies::check(node, &job).await {
        Ok(state) => commit(node, &job, state).await,
        Err(dependencies::Error::Store(e)) => Outcome::store_failed(node, "waits_on", &e),
        Err(e) => {
            let infeasible = Outcome::Infeasible(e.to_string());
            refuse_unless_known(node, &job.id, infeasible).await
        }
    }
}

/// Accepts a job without dependencies, if the admission filter admits it.
async fn accept_independent(node: &Node, job: &Submission) -> Outcome {
    let decision = node.admission_filter.decide(job, node.now());
    let Decision::Refuse { retry_after_s } = decision else {
        return commit(node, job, InitialState::Queued).await;
    };
    match known_state(node, &job.id).await {
        Some(known) => known,
        None => {
            node.admission_filter.record_refusal(job, node.now());
            Outcome::NoRoom { retry_after_s }
        }
    }
}

/// Writes the job's record, and returns the job's state.
async fn commit(node: &Node, job: &Submission, state: InitialState) -> Outcome {
    let accepted_at_ms = node.host.wall_ms();
    let written = match state {
        InitialState::Queued => job_records::create(node, job, accepted_at_ms).await,
        InitialState::Cancelled => job_records::create_cancelled(node, job, accepted_at_ms).await,
    };
    let applied = match written {
        Ok(result) => matches!(result, TxnOutcome::Applied(_)),
        Err(e) => return Outcome::store_failed(node, "submit", &e),
    };
    node.record_store_response();
    if !applied {
        return repeated_submission(node, &job.id).await;
    }
    let state = match state {
        InitialState::Queued => {
            node.admission_filter.record_admission(job_hash(&job.id));
            JobState::Queued
        }
        InitialState::Cancelled => JobState::Cancelled,
    };
    Outcome::Accepted {
        id: job.id.clone(),
        state,
    }
}

/// The state of a job that was accepted before. The leader is asked for its task counts first.
/// The look-up, which decides the state, comes last, so that nothing is awaited between it and
/// the response.
async fn repeated_submission(node: &Node, id: &str) -> Outcome {
    let counts = node.task_counts(&[id.to_string()]).await;
    match look_up(node, id, RequestPriority::Critical).await {
        Ok(JobLookup::Live) => match counts.first().copied().unwrap_or_default() {
            TaskCounts::Withheld => Outcome::Unavailable,
            TaskCounts::Known { done, running } => Outcome::Live {
                id: id.to_string(),
                done,
                running,
            },
        },
        Ok(JobLookup::Ended(value)) => Outcome::ended(id, &value),
        Ok(JobLookup::Unknown) => Outcome::Unavailable,
        Err(e) => Outcome::store_failed(node, "submit", &e),
    }
}

/// The state of a known job; `None` if the job is unknown. Concurrent look-ups share one read of
/// the key-value store: under overload, every submission that lacks room is looked up here as
/// well.
pub(crate) async fn known_state(node: &Node, id: &str) -> Option<Outcome> {
    match node.status_queries.query(id).await {
        QueryResult::Live { done, running } => Some(Outcome::Live {
            id: id.to_string(),
            done,
            running,
        }),
        QueryResult::Ended(value) => Some(Outcome::ended(id, &value)),
        QueryResult::UnknownJob => None,
        QueryResult::Unavailable => Some(Outcome::Unavailable),
    }
}

/// Returns the refusal if the job is proven unknown, else the job's state, or `Unavailable`.
async fn refuse_unless_known(node: &Node, id: &str, refusal: Outcome) -> Outcome {
    known_state(node, id).await.unwrap_or(refusal)
}
