//! Answers status queries in batches.

use crate::job_queries::read_final_state;
use crate::node::Node;
use crate::status_queries::{QueryAnswer, QueryBatch};
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

/// A transaction compares four keys for each change that it may hold; a job has two.
const JOBS_FOR_EACH_CHANGE: usize = 4 / 2;

/// Answers queries in an endless loop: the first after a pause at once, the others together.
pub async fn run(node: Arc<Node>) {
    loop {
        node.status_queries.due.notified().await;
        loop {
            let most = node.store.limits().txn_changes * JOBS_FOR_EACH_CHANGE;
            let batch = node.status_queries.take_batch(most);
            if batch.is_empty() {
                break;
            }
            node.host.spawn(answer_batch(node.clone(), batch));
            node.host.sleep(limits::POLL_BATCH_INTERVAL_S).await;
        }
    }
}

/// Answers a batch of queries.
///
/// The live and the final key of each job are compared in one transaction, so its answer
/// describes one moment: with neither key, the job is unknown. Under overload most queries are
/// for submissions without room, and two reads for each of them once used up a follower's
/// share of the state service's rate: nine of ten users got 503 instead of 429.
///
/// The leader is asked for its counts before the comparison, which alone decides whether a job
/// is live, and nothing is waited for after it. When both were asked at the same time, a slow
/// leader let jobs be called queued after their cancellation was confirmed.
async fn answer_batch(node: Arc<Node>, batch: QueryBatch) {
    let deadline = node.now() + limits::POLL_BATCH_TIMEOUT_S;
    let ids: Vec<String> = batch.keys().cloned().collect();
    let counts = node.task_counts(&ids).await;
    let existing = match existing_keys(&node, &ids, deadline).await {
        Ok(keys) => keys,
        Err(error) => {
            // Whoever waits gets `Unavailable` as the channels are dropped.
            let queries: usize = batch.values().map(Vec::len).sum();
            node.status_queries.count_refused(queries);
            debug!(queries, %error, "status queries refused");
            return;
        }
    };
    node.note_store_answer();
    for ((id, askers), counts) in batch.into_iter().zip(counts) {
        if existing.contains(&keys::job(&id)) {
            answer_all(askers, || live(counts));
        } else if existing.contains(&keys::final_state(&id)) {
            node.host.spawn(answer_ended(node.clone(), id, askers));
        } else {
            answer_all(askers, || QueryAnswer::UnknownJob);
        }
    }
}

/// Which of the jobs' live and final keys exist. A comparison changes nothing, so one whose
/// response is late is sent again while the users still wait.
async fn existing_keys(
    node: &Node,
    ids: &[String],
    deadline: f64,
) -> Result<HashSet<String>, NetError> {
    let policy = HedgePolicy {
        max_requests: limits::POLL_REQUESTS_MAX,
        interval_s: limits::POLL_REQUEST_INTERVAL_S,
        timeout_s: deadline - node.now(),
    };
    let compare = || {
        let keys = ids
            .iter()
            .flat_map(|id| [keys::job(id), keys::final_state(id)]);
        node.store.existing_keys(keys, RequestPriority::Poll)
    };
    let keys = send_hedged(&node.host, &node.store.retries, policy, compare).await?;
    Ok(keys.into_iter().collect())
}

fn live(counts: TaskCounts) -> QueryAnswer {
    match counts {
        TaskCounts::Known { done, running } => QueryAnswer::Live { done, running },
        TaskCounts::Withheld => QueryAnswer::Unavailable,
    }
}

async fn answer_ended(node: Arc<Node>, id: String, askers: Vec<oneshot::Sender<QueryAnswer>>) {
    let found = read_final_state(&node, &id, RequestPriority::Poll).await;
    answer_all(askers, || match &found {
        Ok(Some(value)) => QueryAnswer::Ended(value.clone()),
        _ => QueryAnswer::Unavailable,
    });
}

fn answer_all(askers: Vec<oneshot::Sender<QueryAnswer>>, answer: impl Fn() -> QueryAnswer) {
    for asker in askers {
        // One that gave up takes no answer.
        let _ = asker.send(answer());
    }
}
