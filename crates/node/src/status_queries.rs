//! Status queries that wait for an answer.
//!
//! Users may ask many times as often as usual, so those that wait share one request to the
//! state service, sent after the last of them came: no answer is older than its query. Status
//! queries have a lower priority than submissions, cancellations, leadership and placements,
//! and a query that can't be answered gets its 503 at once.
//!
//! [`crate::background::status_queries`] answers what is queued here.

use crate::lock;
use cherrywood_wire::records::FinalStateRecord;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, oneshot};

/// The answer to a status query.
#[derive(Debug)]
pub enum QueryAnswer {
    /// The job isn't over.
    Live {
        /// Tasks that ended as done.
        done: u32,
        /// Tasks that run now.
        running: u32,
    },
    /// The job is over.
    Ended(FinalStateRecord),
    /// No controller ever accepted such a job.
    UnknownJob,
    /// The state isn't known now; the user is asked to come back.
    Unavailable,
}

/// Who waits, by job.
pub type QueryBatch = BTreeMap<String, Vec<oneshot::Sender<QueryAnswer>>>;

#[derive(Debug, Default)]
struct Queue {
    waiting: QueryBatch,
    /// The jobs in the order in which they were first asked about.
    order: VecDeque<String>,
}

/// Status queries that wait for the next read of the state service.
#[derive(Debug, Default)]
pub struct StatusQueryQueue {
    queue: Mutex<Queue>,
    /// Notified while queries wait.
    pub(crate) due: Notify,
    /// Answered with 503 since the log last said so.
    refused: AtomicUsize,
}

impl StatusQueryQueue {
    /// Queries refused since the last call.
    pub fn take_refused_count(&self) -> usize {
        self.refused.swap(0, Ordering::Relaxed)
    }

    /// So many queries had to be answered with 503.
    pub(crate) fn count_refused(&self, queries: usize) {
        self.refused.fetch_add(queries, Ordering::Relaxed);
    }

    /// Waits for the state of this job.
    pub async fn query(&self, id: &str) -> QueryAnswer {
        let (answer, answered) = oneshot::channel();
        self.enqueue(id, answer);
        self.due.notify_one();
        answered.await.unwrap_or(QueryAnswer::Unavailable)
    }

    /// Queues one who waits for the state of this job, without a notification of `due`.
    pub fn enqueue(&self, id: &str, answer: oneshot::Sender<QueryAnswer>) {
        let mut queue = lock(&self.queue);
        let queue = &mut *queue;
        let askers = queue.waiting.entry(id.to_string()).or_default();
        if askers.is_empty() {
            queue.order.push_back(id.to_string());
        }
        askers.push(answer);
    }

    /// Takes at most `most` jobs with all who ask for them, those first that were asked about
    /// first.
    ///
    /// When they were taken in the order of their ids, the last ones starved while more were
    /// asked about than a comparison holds. In order of arrival a query waits only for the
    /// batches before it, whatever others ask: `jobs asked about at once / most` times
    /// `STATUS_QUERY_BATCH_INTERVAL_S`.
    pub fn take_batch(&self, most: usize) -> QueryBatch {
        let mut queue = lock(&self.queue);
        let queue = &mut *queue;
        let mut batch = QueryBatch::new();
        while batch.len() < most
            && let Some(id) = queue.order.pop_front()
        {
            let Some(mut askers) = queue.waiting.remove(&id) else {
                continue;
            };
            // Those who gave up don't count.
            askers.retain(|a| !a.is_closed());
            if !askers.is_empty() {
                batch.insert(id, askers);
            }
        }
        batch
    }
}
