//! Records of accepted jobs (`j/<id>`). A submission that is too large for one record is stored
//! beside it in chunks (`n/<id>/…`).

use crate::chunked_values::{chunk_changes, parse_chunks, put, read_chunks};
use crate::node::Node;
use cherrywood_admission::stable_hash;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_limits::store_limits::StoreLimits;
use cherrywood_net::NetError;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::store_client::TxnOutcome;
use cherrywood_wire::chunks::{ChunkSet, json_size, split_into_chunks};
use cherrywood_wire::records::{FinalStateRecord, JobRecord, StoredRecord, WithheldFields};
use cherrywood_wire::store::{Change, Guard, KeyValue, Txn};
use cherrywood_wire::user::{JobState, Submission};
use std::collections::BTreeSet;

/// All live jobs.
pub(crate) struct LiveJobs {
    /// Records of the jobs whose records can be read.
    pub(crate) rows: Vec<KeyValue<JobRecord>>,
    /// Ids of the jobs whose records can't be read.
    pub(crate) unreadable: BTreeSet<String>,
    /// The store's revision at the time of the read.
    pub(crate) revision: u64,
    /// Time (s) at which the request was sent: its response contains everything that was
    /// committed before.
    pub(crate) sent: f64,
}

/// Reads the records of all live jobs.
pub(crate) async fn list_live(node: &Node) -> Result<LiveJobs, NetError> {
    let sent = node.now();
    let listing = node.store.list::<JobRecord>(keys::JOBS).await?;
    let unreadable = listing.unreadable_keys.iter();
    let unreadable_ids = unreadable.filter_map(|key| keys::job_of(key));
    Ok(LiveJobs {
        unreadable: unreadable_ids.map(str::to_string).collect(),
        revision: listing.first_revision(),
        rows: listing.rows,
        sent,
    })
}

/// Guards that hold only while neither a live nor a final record of this job exists.
fn new_job_guards(id: &str) -> Vec<Guard> {
    let absent = |key| Guard { key, revision: 0 };
    vec![absent(keys::job(id)), absent(keys::final_state(id))]
}

/// Writes the record of a new job that was accepted at this wall-clock time (ms). Returns the
/// outcome of the transaction by which the job becomes accepted.
pub async fn create(
    node: &Node,
    job: &Submission,
    accepted_at_ms: u64,
) -> Result<TxnOutcome, NetError> {
    let mut retries = 0;
    loop {
        match try_create(node, job, accepted_at_ms).await {
            // The store's limits have just been lowered: the next attempt uses the new limits.
            Err(NetError::TooLarge { .. }) if retries < limits::CANCEL_ATTEMPTS_MAX => retries += 1,
            result => return result,
        }
    }
}

async fn try_create(
    node: &Node,
    job: &Submission,
    accepted_at_ms: u64,
) -> Result<TxnOutcome, NetError> {
    let store_limits = node.store.limits();
    let mut record = JobRecord::new(job.clone(), accepted_at_ms);
    let mut guards = new_job_guards(&job.id);
    if json_size(&record) > store_limits.value_bytes {
        let written = write_submission_chunks(node, job, store_limits).await?;
        guards.extend(written.guards);
        record = JobRecord::in_chunks(job, accepted_at_ms, written.chunks);
    }
    let changes = vec![put(keys::job(&job.id), StoredRecord::Job(Box::new(record)))];
    node.store
        .txn(&Txn { guards, changes }, RequestPriority::Critical)
        .await
}

/// Writes the final state of a new job with a cancelled dependency: the job is accepted and
/// cancelled at the same time.
pub async fn create_cancelled(
    node: &Node,
    job: &Submission,
    accepted_at_ms: u64,
) -> Result<TxnOutcome, NetError> {
    let value = FinalStateRecord {
        state: JobState::Cancelled,
        tasks: job.tasks,
        ended_at_ms: Some(accepted_at_ms),
    };
    let txn = Txn {
        guards: new_job_guards(&job.id),
        changes: vec![put(
            keys::final_state(&job.id),
            StoredRecord::FinalState(value.clone()),
        )],
    };
    let result = node.store.txn(&txn, RequestPriority::Critical).await?;
    if matches!(result, TxnOutcome::Applied(_)) {
        node.lock_state().final_states.insert(&job.id, value);
    }
    Ok(result)
}

/// Chunks of a submission that have been written.
struct WrittenChunks {
    chunks: ChunkSet,
    /// Guards that hold while the chunks are unchanged since they were written, as many as the
    /// record's transaction has room for. If a new leader deletes the chunks as obsolete, the
    /// record's transaction fails.
    guards: Vec<Guard>,
}

/// Writes the chunks of a submission. Their slot and set id are derived from the submission's
/// content, so a repeated submission writes the same chunks.
async fn write_submission_chunks(
    node: &Node,
    job: &Submission,
    store_limits: StoreLimits,
) -> Result<WrittenChunks, NetError> {
    let texts = split_into_chunks(job, store_limits.value_bytes);
    let content_hash = stable_hash(&texts.concat());
    let chunks = ChunkSet {
        slot: content_hash,
        set_id: content_hash,
        count: texts.len() as u32,
    };
    let rows = chunk_changes(&keys::submission(&job.id), chunks, texts);
    let mut written = WrittenChunks {
        chunks,
        guards: Vec::new(),
    };
    for batch in rows.chunks(store_limits.txn_changes.max(1)) {
        let txn = Txn {
            guards: Vec::new(),
            changes: batch.to_vec(),
        };
        match node.store.txn(&txn, RequestPriority::Critical).await? {
            TxnOutcome::Applied(revision) => written.guards.extend(guards_of(batch, revision)),
            TxnOutcome::Conflict(_) => {
                return Err(NetError::invalid(
                    "transaction without guards",
                    "a conflict",
                ));
            }
        }
    }
    // A transaction has room for four guards per change. Two guards are those of the new job.
    written
        .guards
        .truncate((store_limits.txn_changes * 4).saturating_sub(2));
    Ok(written)
}

/// Guards for the records of these changes, which were all written at `revision`.
fn guards_of(changes: &[Change], revision: u64) -> impl Iterator<Item = Guard> {
    changes.iter().map(move |change| {
        let (Change::Put { key, .. } | Change::Delete { key }) = change;
        Guard {
            key: key.clone(),
            revision,
        }
    })
}

/// A job's record with its whole submission, whether that is stored in the record or in chunks;
/// `None` if the submission can't be read.
pub async fn with_submission(
    node: &Node,
    record: JobRecord,
) -> Result<Option<JobRecord>, NetError> {
    let Some(chunks) = record.chunk_set() else {
        return Ok(Some(record));
    };
    let key = keys::submission(&record.submission.id);
    let Some(texts) = read_chunks(node, &key, chunks).await? else {
        tracing::warn!(key, "chunks of a submission are missing");
        return Ok(None);
    };
    let Some(submission) = parse_chunks::<Submission>(&key, &texts) else {
        return Ok(None);
    };
    let withheld = Some(WithheldFields {
        machine_types: submission.machine_types.clone(),
        chunks: Some(chunks),
    });
    let accepted_at_ms = record.accepted_at_ms;
    Ok(Some(JobRecord {
        submission,
        accepted_at_ms,
        withheld,
    }))
}
