//! Cancellations. Any controller can confirm a cancellation: the transaction that writes the
//! final state also deletes the live record and is guarded by that record's revision, so a job
//! ends only once.

use crate::job_queries::{JobLookup, look_up};
use crate::node::Node;
use crate::responses::{Outcome, respond_in_span};
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::server::Response;
use cherrywood_net::store_client::{Readable, TxnOutcome};
use cherrywood_wire::records::{FinalStateRecord, JobRecord, StoredRecord};
use cherrywood_wire::store::{Change, Guard, KeyValue, Txn};
use cherrywood_wire::user::{JobState, is_valid_job_id};

/// Handles `POST /submissions/{id}/cancel`.
pub(crate) async fn cancel(node: &Node, id: &str) -> Response {
    let span = tracing::trace_span!(target: "life", "cancellation", job = %id);
    respond_in_span(span, id, cancel_job(node, id)).await
}

async fn cancel_job(node: &Node, id: &str) -> Outcome {
    if !is_valid_job_id(id) {
        return Outcome::NotFound;
    }
    // A conflict means that the job has ended since it was read; the next attempt reads its final
    // state.
    for _ in 0..limits::CANCEL_ATTEMPTS_MAX {
        if let Some(value) = node.lock_state().final_states.get(id) {
            return Outcome::ended(id, value);
        }
        let record = match node.store.get::<Readable<JobRecord>>(&keys::job(id)).await {
            Ok(record) => record,
            Err(e) => return Outcome::store_failed(node, "cancel", &e),
        };
        node.record_store_response();
        let Some(record) = record else {
            return match look_up(node, id, RequestPriority::Critical).await {
                Ok(JobLookup::Ended(value)) => Outcome::ended(id, &value),
                Ok(JobLookup::Unknown) => Outcome::NotFound,
                Ok(JobLookup::Live) => continue,
                Err(e) => Outcome::store_failed(node, "cancel", &e),
            };
        };
        let (txn, value) = cancellation_txn(node, id, record);
        match node.store.txn(&txn, RequestPriority::Critical).await {
            Ok(TxnOutcome::Applied(_)) => {
                let mut state = node.lock_state();
                state.final_states.insert(id, value.clone());
                return Outcome::ended(id, &value);
            }
            Ok(TxnOutcome::Conflict(_)) => {}
            Err(e) => return Outcome::store_failed(node, "cancel", &e),
        }
    }
    Outcome::Unavailable
}

/// The transaction that ends a live job as cancelled, unless its records have changed since
/// `record` was read, and the final state that the transaction writes.
fn cancellation_txn(
    node: &Node,
    id: &str,
    record: KeyValue<Readable<JobRecord>>,
) -> (Txn, FinalStateRecord) {
    // A job can be cancelled even if its record can't be read.
    let tasks = record.value.ok(id).map_or(0, |v| v.submission.tasks);
    let value = FinalStateRecord {
        state: JobState::Cancelled,
        tasks,
        ended_at_ms: Some(node.host.wall_ms()),
    };
    let guards = vec![
        Guard {
            key: keys::job(id),
            revision: record.revision,
        },
        Guard {
            key: keys::final_state(id),
            revision: 0,
        },
    ];
    let changes = vec![
        Change::Delete { key: keys::job(id) },
        Change::Put {
            key: keys::final_state(id),
            value: StoredRecord::FinalState(value.clone()),
            lease: None,
        },
    ];
    (Txn { guards, changes }, value)
}
