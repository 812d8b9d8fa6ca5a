//! Transactions about jobs: final states, progress, cancellations that follow from others, and the
//! deletion of obsolete records.
//!
//! Every transaction is guarded by the leader's key, and by the revision of each record that it
//! depends on. What it writes counts only once the key-value store has confirmed it.

use super::Leader;
use super::job::{Job, JobIndex};
use super::progress::{self, PART_TASKS, PartBytes};
use super::transactions::WriteOutcome;
use crate::bitmap::Bitmap;
use crate::keys;
use cherrywood_limits as limits;
use cherrywood_wire::records::{FinalStateRecord, ProgressRecord, StoredRecord};
use cherrywood_wire::store::{Change, Guard, Txn};
use cherrywood_wire::user::JobState;
use std::collections::BTreeSet;

/// Maximum size of a transaction without changes, bytes.
const TXN_HEADER_BYTES: usize = 200;
/// Maximum size that a final state adds with its guards, bytes.
const FINAL_STATE_BYTES: usize = 300;
/// Maximum size that a part of a job's progress adds beside its bitmap, bytes.
const PROGRESS_HEADER_BYTES: usize = 200;
/// Changes of a final state: it deletes the job and its progress and writes the state.
const FINAL_STATE_CHANGES: usize = 3;
/// Minimum number of changes that a job transaction may have, whatever the limits: fewer couldn't
/// hold a final state.
const MIN_CHANGES: usize = 3;

/// A job transaction whose outcome isn't known yet: cancellations, final states, progress, or
/// deletions of obsolete records.
#[derive(Debug)]
pub struct JobBatch {
    /// The transaction to commit.
    pub txn: Txn,
    /// Jobs whose progress it writes, with the parts.
    progress: Vec<(JobIndex, PartBytes)>,
    /// Jobs that it ends as done, with their ids.
    finals: Vec<(JobIndex, String)>,
    /// Ids of jobs that it cancels because a job that they depend on is cancelled.
    pub(super) cancelled_dependents: Vec<String>,
    /// Obsolete keys that it deletes.
    deleted_keys: Vec<String>,
}

impl JobBatch {
    /// Whether it holds final states, which users wait for.
    pub fn has_final_states(&self) -> bool {
        !self.finals.is_empty() || !self.cancelled_dependents.is_empty()
    }
}

/// A job transaction under construction, within the limits of the key-value store.
struct JobBatchBuilder {
    batch: JobBatch,
    max_changes: usize,
    bytes: usize,
}

impl JobBatchBuilder {
    fn new(leader_guard: Guard, max_changes: usize) -> JobBatchBuilder {
        let batch = JobBatch {
            txn: Txn {
                guards: vec![leader_guard],
                changes: Vec::new(),
            },
            progress: Vec::new(),
            finals: Vec::new(),
            cancelled_dependents: Vec::new(),
            deleted_keys: Vec::new(),
        };
        JobBatchBuilder {
            batch,
            max_changes,
            bytes: TXN_HEADER_BYTES,
        }
    }

    /// Whether there is no room for this many more changes. An empty transaction always has room.
    fn is_full(&self, changes: usize) -> bool {
        let present = self.batch.txn.changes.len();
        present > 0 && (present + changes > self.max_changes || self.bytes > limits::TXN_BYTES_MAX)
    }

    fn guard(&mut self, key: String, revision: u64) {
        self.batch.txn.guards.push(Guard { key, revision });
    }

    fn delete(&mut self, key: String) {
        self.batch.txn.changes.push(Change::Delete { key });
    }

    fn put(&mut self, key: String, value: StoredRecord) {
        let lease = None;
        self.batch
            .txn
            .changes
            .push(Change::Put { key, value, lease });
    }

    /// Ends a job as done: deletes its record and its progress and writes its final state. Returns
    /// false if the transaction is full.
    fn add_final_state(&mut self, index: JobIndex, job: &mut Job, at_ms: Option<u64>) -> bool {
        self.bytes += FINAL_STATE_BYTES;
        if self.is_full(FINAL_STATE_CHANGES) {
            return false;
        }
        let id = &job.spec.id;
        self.guard(keys::job(id), job.revision);
        self.delete(keys::job(id));
        if job.stored_progress.revision(0) > 0 {
            self.delete(keys::progress(id));
        }
        let record = FinalStateRecord {
            state: JobState::Done,
            tasks: job.spec.tasks,
            ended_at_ms: at_ms,
        };
        self.put(keys::final_state(id), StoredRecord::FinalState(record));
        crate::trace_job!(id, "final state write in flight");
        self.batch.finals.push((index, id.clone()));
        job.write_in_flight = true;
        true
    }

    /// Writes the changed parts of a job's progress, as many as fit. Returns false if none fits.
    fn add_progress(&mut self, index: JobIndex, job: &mut Job, max_whole_bytes: usize) -> bool {
        let id = &job.spec.id;
        let mut parts = Vec::new();
        for (part, bitmap) in job
            .stored_progress
            .parts_to_write(&job.done, max_whole_bytes)
        {
            self.bytes += PROGRESS_HEADER_BYTES + bitmap.len() * 4 / 3;
            if self.is_full(1) {
                break;
            }
            if parts.is_empty() {
                self.guard(keys::job(id), job.revision);
            }
            let key = keys::progress_part(id, part);
            self.guard(key.clone(), job.stored_progress.revision(part));
            let record = ProgressRecord {
                finished_bitmap: Bitmap::encode_base64(&bitmap),
                first_task: (part > 0).then_some(part * PART_TASKS),
            };
            self.put(key, StoredRecord::Progress(record));
            parts.push((part, bitmap));
        }
        if parts.is_empty() {
            return false;
        }
        job.write_in_flight = true;
        self.batch.progress.push((index, parts));
        true
    }

    /// Deletes an obsolete record.
    fn add_deletion(&mut self, key: &str) {
        // Chunks of a submission that no job record named when they were found may be named by a
        // record written since: the guard requires that there is none.
        if let Some(id) = keys::submission_of(key) {
            let job_key = keys::job(id);
            if !self.batch.txn.guards.iter().any(|g| g.key == job_key) {
                self.guard(job_key, 0);
            }
        }
        self.delete(key.to_string());
        self.batch.deleted_keys.push(key.to_string());
    }

    /// The transaction, if it changes anything.
    fn finish(self) -> Option<JobBatch> {
        (!self.batch.txn.changes.is_empty()).then_some(self.batch)
    }
}

/// Whether the key-value store lacks progress of the job and a transaction with it may be sent: no
/// other is in flight, and the records that it depends on are not waiting to be read again.
fn needs_write(job: &Job, keys_to_reread: &BTreeSet<String>) -> bool {
    let id = &job.spec.id;
    !job.write_in_flight
        && job.done.count() != job.persisted_done.count()
        && !keys_to_reread.contains(&keys::job(id))
        && !progress::must_be_reread(keys_to_reread, id)
}

impl Leader {
    /// The next job transaction: cancellations that follow from others, else final states,
    /// else progress, else deletions of obsolete records; the last two only if `progress_too`.
    pub fn job_batch(&mut self, progress_too: bool, now: f64) -> Option<JobBatch> {
        let max_changes = self.max_job_changes();
        let at_ms = Some(self.wall_clock_ms(now));
        let mut builder = JobBatchBuilder::new(self.leader_guard(), max_changes);
        self.add_cascading_cancellations(&mut builder.batch, max_changes, at_ms);
        let dirty = self.jobs.prune_dirty();
        if builder.batch.cancelled_dependents.is_empty() {
            self.add_final_states(&mut builder, &dirty, at_ms);
            if progress_too && builder.batch.finals.is_empty() {
                self.add_progress(&mut builder, &dirty);
            }
        }
        if progress_too && builder.batch.txn.changes.is_empty() {
            for key in self.obsolete_keys.iter().take(max_changes) {
                builder.add_deletion(key);
            }
        }
        builder.finish()
    }

    /// Maximum number of changes of a job transaction: few, so that it soon finds room in the write
    /// budget.
    fn max_job_changes(&self) -> usize {
        let share = self.store_limits.write_rps * limits::JOB_BATCH_CHANGES_SHARE;
        let max_changes = self.store_limits.txn_changes.min(share as usize);
        max_changes.max(MIN_CHANGES)
    }

    fn add_final_states(
        &mut self,
        builder: &mut JobBatchBuilder,
        dirty: &[JobIndex],
        at_ms: Option<u64>,
    ) {
        for index in dirty {
            let Some(job) = self.jobs.get_mut(index) else {
                continue;
            };
            if !job.is_finished() || !needs_write(job, &self.keys_to_reread) {
                continue;
            }
            if !builder.add_final_state(*index, job, at_ms) {
                return;
            }
        }
    }

    fn add_progress(&mut self, builder: &mut JobBatchBuilder, dirty: &[JobIndex]) {
        let max_value_bytes = self.store_limits.unchunked_value_bytes();
        let max_whole_bytes = max_value_bytes.min(limits::TXN_BYTES_MAX / 2);
        for index in dirty {
            let Some(job) = self.jobs.get_mut(index) else {
                continue;
            };
            if job.is_finished() || !needs_write(job, &self.keys_to_reread) {
                continue;
            }
            if !builder.add_progress(*index, job, max_whole_bytes) {
                return;
            }
        }
    }

    /// Handles the outcome of a job transaction. Returns the ids of the jobs whose end as done is
    /// now durable.
    pub fn job_batch_done(
        &mut self,
        batch: JobBatch,
        outcome: &WriteOutcome,
        now: f64,
    ) -> Vec<String> {
        let finals = batch.finals.iter().map(|(index, _)| index);
        for index in finals.chain(batch.progress.iter().map(|(index, _)| index)) {
            if let Some(job) = self.jobs.get_mut(index) {
                job.write_in_flight = false;
            }
        }
        match outcome {
            WriteOutcome::Applied(revision) => {
                return self.job_batch_applied(batch, *revision, now);
            }
            WriteOutcome::Conflict(failed) => self.job_batch_conflicts(&batch, failed),
            WriteOutcome::Refused => {}
            WriteOutcome::Unknown => {
                let guarded = batch.txn.guards.iter().map(|g| &g.key);
                let other = guarded.filter(|key| *key != keys::LEADER).cloned();
                self.keys_to_reread.extend(other);
            }
        }
        Vec::new()
    }

    fn job_batch_applied(&mut self, batch: JobBatch, revision: u64, now: f64) -> Vec<String> {
        let mut done = Vec::new();
        for (_, id) in batch.finals {
            crate::trace_job!(id, "final state written");
            self.job_ended(&id, Some(JobState::Done), None, now);
            done.push(id);
        }
        for (index, parts) in batch.progress {
            let Some(job) = self.jobs.get_mut(&index) else {
                continue;
            };
            for (part, bytes) in parts {
                job.persisted_done.union_bytes(&bytes, part * PART_TASKS);
                job.stored_progress.record_written(part, revision, bytes);
            }
        }
        for id in batch.cancelled_dependents {
            crate::trace_job!(id, "cancelled because a dependency is cancelled");
            self.job_ended(&id, Some(JobState::Cancelled), None, now);
        }
        for key in batch.deleted_keys {
            self.obsolete_keys.remove(&key);
        }
        done
    }

    fn job_batch_conflicts(&mut self, batch: &JobBatch, failed: &[String]) {
        self.note_conflict(failed);
        // A key that the record of a live job names is not obsolete.
        for key in &batch.deleted_keys {
            if keys::submission_of(key).is_some_and(|id| failed.contains(&keys::job(id))) {
                self.obsolete_keys.remove(key);
            }
        }
    }
}
