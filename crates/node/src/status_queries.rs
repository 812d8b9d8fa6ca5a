//! Queue of status queries that wait for a response.
//!
//! Users may send queries many times as often as usual, so waiting queries share one request to
//! the key-value store, sent after the last of them arrived: no response is older than its query.
//! Status queries have a lower priority than submissions, cancellations, leadership and
//! placements, and a query that can't be served gets its 503 at once.
//!
//! [`crate::background::status_queries`] responds to the queued queries.

use crate::lock;
use cherrywood_wire::records::FinalStateRecord;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, oneshot};

/// The result of a status query.
#[derive(Debug)]
pub enum QueryResult {
    /// The job is not over.
    Live {
        /// Tasks that ended as done.
        done: u32,
        /// Tasks that run now.
        running: u32,
    },
    /// The job is over.
    Ended(FinalStateRecord),
    /// No controller ever accepted the job.
    UnknownJob,
    /// The job's state is not known now; the user is asked to retry later.
    Unavailable,
}

/// Channels of the waiting queries, by job id.
pub type QueryBatch = BTreeMap<String, Vec<oneshot::Sender<QueryResult>>>;

#[derive(Debug, Default)]
struct Queue {
    waiting: QueryBatch,
    /// The jobs, in the order of their first waiting query.
    order: VecDeque<String>,
}

/// Status queries that wait for the next read of the key-value store.
#[derive(Debug, Default)]
pub struct StatusQueryQueue {
    queue: Mutex<Queue>,
    /// Notified while queries wait.
    pub(crate) due: Notify,
    /// Number of queries that got 503 since the last log line about them.
    refused: AtomicUsize,
}

impl StatusQueryQueue {
    /// Returns the number of queries refused since the last call.
    pub fn take_refused_count(&self) -> usize {
        self.refused.swap(0, Ordering::Relaxed)
    }

    /// Counts this many queries as refused with 503.
    pub(crate) fn count_refused(&self, queries: usize) {
        self.refused.fetch_add(queries, Ordering::Relaxed);
    }

    /// Queues a query for this job's state and waits for its result.
    pub async fn query(&self, id: &str) -> QueryResult {
        let (sender, result) = oneshot::channel();
        self.enqueue(id, sender);
        self.due.notify_one();
        result.await.unwrap_or(QueryResult::Unavailable)
    }

    /// Queues a query for this job's state, without notifying `due`.
    pub fn enqueue(&self, id: &str, waiter: oneshot::Sender<QueryResult>) {
        let mut queue = lock(&self.queue);
        let queue = &mut *queue;
        let waiters = queue.waiting.entry(id.to_string()).or_default();
        if waiters.is_empty() {
            queue.order.push_back(id.to_string());
        }
        waiters.push(waiter);
    }

    /// Takes at most `max_jobs` jobs with all their waiting queries, in the order of the jobs'
    /// first waiting query.
    ///
    /// If jobs were taken in the order of their ids, the last ones would starve while queries
    /// concern more jobs than a comparison can hold. In order of arrival a query waits only for
    /// the batches before it, regardless of later queries: `jobs queried at once / max_jobs`
    /// times `STATUS_QUERY_BATCH_INTERVAL_S`.
    pub fn take_batch(&self, max_jobs: usize) -> QueryBatch {
        let mut queue = lock(&self.queue);
        let queue = &mut *queue;
        let mut batch = QueryBatch::new();
        while batch.len() < max_jobs
            && let Some(id) = queue.order.pop_front()
        {
            let Some(mut waiters) = queue.waiting.remove(&id) else {
                continue;
            };
            // Queries whose requests have ended do not count.
            waiters.retain(|w| !w.is_closed());
            if !waiters.is_empty() {
                batch.insert(id, waiters);
            }
        }
        batch
    }
}
