//! Checks whether a new job may depend on the jobs that it names.

use crate::job_queries::final_states;
use crate::node::Node;
use crate::submissions::InitialState;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::store_client::Readable;
use cherrywood_wire::records::JobRecord;
use cherrywood_wire::user::{JobKind, JobState, Submission};
use std::collections::{BTreeSet, HashSet};

/// Reason why a job may not depend on the jobs that it names, or why that is not known now.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A dependency is unknown to the key-value store.
    #[error("waits_on: {0} was never accepted; allowed: jobs that were")]
    NeverAccepted(String),
    /// A dependency is a service, which runs until it is cancelled.
    #[error("waits_on: {0} is standing, and never done; allowed: arrays")]
    NeverDone(String),
    /// The key-value store did not serve a request.
    #[error(transparent)]
    Store(#[from] NetError),
}

/// The dependencies that the key-value store knows.
#[derive(Debug, Default)]
struct Dependencies<'a> {
    live: Vec<&'a String>,
    over: BTreeSet<String>,
}

/// The state in which a job with dependencies is written.
///
/// Each dependency must have been accepted, which is never undone: an accepted job is live or
/// over from then on. A service is never done, so no job may depend on a service; only the first
/// `DEPENDENCY_KIND_CHECKS_MAX` dependencies are checked for that, since by the protocol users
/// never name a service. If a dependency is cancelled, this job is cancelled from the start. If
/// that were left to the leader, the response to the submission would still say queued, long
/// after the user had seen the dependency cancelled.
pub(crate) async fn check(node: &Node, job: &Submission) -> Result<InitialState, Error> {
    let Some(dependencies) = find(node, job).await? else {
        // The job itself is already known, which takes precedence over all checks: its commit
        // detects that and returns the job's state.
        return Ok(InitialState::Queued);
    };
    for id in dependencies
        .live
        .into_iter()
        .take(limits::DEPENDENCY_KIND_CHECKS_MAX)
    {
        let record = node
            .store
            .get::<Readable<JobRecord>>(&keys::job(id))
            .await?;
        let value = record.and_then(|r| r.value.ok(id));
        if value.is_some_and(|v| v.submission.kind == JobKind::Service) {
            return Err(Error::NeverDone(id.clone()));
        }
    }
    let ends = final_states(node, &dependencies.over).await?;
    let any_cancelled = ends.iter().any(|(_, v)| v.state == JobState::Cancelled);
    Ok(match any_cancelled {
        true => InitialState::Cancelled,
        false => InitialState::Queued,
    })
}

/// Finds out which dependencies are live and which are over; `None` if the job itself is known.
/// One comparison covers many dependencies and the job itself.
async fn find<'a>(node: &Node, job: &'a Submission) -> Result<Option<Dependencies<'a>>, Error> {
    let ids_per_txn = (node.store.limits().txn_changes * 2)
        .saturating_sub(1)
        .max(1);
    let (known_over, unread): (Vec<&String>, Vec<&String>) = {
        let state = node.lock_state();
        let ids = job.dependencies.iter();
        ids.partition(|id| state.final_states.contains(id))
    };
    let mut dependencies = Dependencies {
        live: Vec::new(),
        over: known_over.into_iter().cloned().collect(),
    };
    for batch in unread.chunks(ids_per_txn) {
        let ids = batch.iter().copied().chain([&job.id]);
        let keys = ids.flat_map(|id| [keys::job(id), keys::final_state(id)]);
        let existing = node
            .store
            .existing_keys(keys, RequestPriority::Critical)
            .await?;
        node.record_store_response();
        let existing: HashSet<String> = existing.into_iter().collect();
        if existing.contains(&keys::job(&job.id)) || existing.contains(&keys::final_state(&job.id))
        {
            return Ok(None);
        }
        for id in batch {
            if existing.contains(&keys::job(id)) {
                dependencies.live.push(id);
            } else if existing.contains(&keys::final_state(id)) {
                dependencies.over.insert((*id).clone());
            } else {
                return Err(Error::NeverAccepted((*id).clone()));
            }
        }
    }
    Ok(Some(dependencies))
}
