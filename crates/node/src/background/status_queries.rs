//! Responds to status queries in batches.

use crate::job_queries::read_final_state;
use crate::node::Node;
use crate::status_queries::{QueryBatch, QueryResult};
use crate::task_counts::TaskCounts;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::hedge::{HedgePolicy, send_hedged};
use cherrywood_net::rate_limiter::RequestPriority;
use std::collections::HashSet;
use std::sync::Arc;
use tokio::sync::oneshot;
use tracing::debug;

/// Jobs per change of a transaction: it may compare four keys for each change that it may
/// contain, and a job has two keys.
const JOBS_PER_CHANGE: usize = 4 / 2;

/// Responds to queries in an endless loop: the first query after a pause is served at once, later
/// ones in batches.
pub async fn run(node: Arc<Node>) {
    loop {
        node.status_queries.due.notified().await;
        loop {
            let max_jobs = node.store.limits().txn_changes * JOBS_PER_CHANGE;
            let batch = node.status_queries.take_batch(max_jobs);
            if batch.is_empty() {
                break;
            }
            node.host.spawn(serve_batch(node.clone(), batch));
            node.host.sleep(limits::STATUS_QUERY_BATCH_INTERVAL_S).await;
        }
    }
}

/// Responds to a batch of queries.
///
/// The live and the final key of each job are compared in one transaction, so its response
/// describes one moment: a job with neither key is unknown. Under overload most queries are for
/// submissions that lack room. Two reads for each of them used up a follower's share of the
/// key-value store's rate, and nine of ten users got 503 instead of 429.
///
/// The leader is asked for its counts before the comparison. The comparison alone decides
/// whether a job is live, and nothing is awaited after it. If both requests were sent at the
/// same time, a slow leader would cause jobs to be reported as queued after their cancellation
/// was confirmed.
async fn serve_batch(node: Arc<Node>, batch: QueryBatch) {
    let deadline = node.now() + limits::STATUS_QUERY_BATCH_TIMEOUT_S;
    let ids: Vec<String> = batch.keys().cloned().collect();
    let counts = node.task_counts(&ids).await;
    let existing = match existing_keys(&node, &ids, deadline).await {
        Ok(keys) => keys,
        Err(error) => {
            // Waiting requests get `Unavailable` when their channels are dropped.
            let queries: usize = batch.values().map(Vec::len).sum();
            node.status_queries.count_refused(queries);
            debug!(queries, %error, "status queries refused");
            return;
        }
    };
    node.record_store_response();
    for ((id, waiters), counts) in batch.into_iter().zip(counts) {
        if existing.contains(&keys::job(&id)) {
            respond_to_all(waiters, || live(counts));
        } else if existing.contains(&keys::final_state(&id)) {
            node.host.spawn(respond_ended(node.clone(), id, waiters));
        } else {
            respond_to_all(waiters, || QueryResult::UnknownJob);
        }
    }
}

/// Returns those of the jobs' live and final keys that exist. A comparison changes nothing, so it
/// is sent again if its response is late, while the users still wait.
async fn existing_keys(
    node: &Node,
    ids: &[String],
    deadline: f64,
) -> Result<HashSet<String>, NetError> {
    let policy = HedgePolicy {
        max_requests: limits::STATUS_QUERY_REQUESTS_MAX,
        interval_s: limits::STATUS_QUERY_REQUEST_INTERVAL_S,
        timeout_s: deadline - node.now(),
    };
    let compare = || {
        let keys = ids
            .iter()
            .flat_map(|id| [keys::job(id), keys::final_state(id)]);
        node.store.existing_keys(keys, RequestPriority::StatusQuery)
    };
    let keys = send_hedged(&node.host, &node.store.retries, policy, compare).await?;
    Ok(keys.into_iter().collect())
}

fn live(counts: TaskCounts) -> QueryResult {
    match counts {
        TaskCounts::Known { done, running } => QueryResult::Live { done, running },
        TaskCounts::Withheld => QueryResult::Unavailable,
    }
}

async fn respond_ended(node: Arc<Node>, id: String, waiters: Vec<oneshot::Sender<QueryResult>>) {
    let found = read_final_state(&node, &id, RequestPriority::StatusQuery).await;
    respond_to_all(waiters, || match &found {
        Ok(Some(value)) => QueryResult::Ended(value.clone()),
        _ => QueryResult::Unavailable,
    });
}

fn respond_to_all(waiters: Vec<oneshot::Sender<QueryResult>>, response: impl Fn() -> QueryResult) {
    for waiter in waiters {
        // Sending fails for a request that has timed out.
        let _ = waiter.send(response());
    }
}
