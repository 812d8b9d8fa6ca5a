//! Failover: the state that a new leader reads from the key-value store, and how the leader's state
//! is built from it.

use super::Leader;
use super::ledger::{InvalidLedgerEntry, LogReplay};
use crate::keys;
use cherrywood_admission::AdmissionValue;
use cherrywood_wire::records::{
    HistogramsRecord, ImageCacheRecord, JobRecord, LoggedPlacement, PlacementLogRecord,
    ProgressRecord,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// The state that a new leader reads before it acts.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// Time of day, ms since 1970.
    pub wall_clock_ms: u64,
    /// Time for which the previous leader may still act although its key is gone, s: this applies
    /// to an earlier process of the same name, whose lease was ended early and not waited for.
    pub overlap_s: f64,
    /// Live jobs and the revisions of their records.
    pub jobs: Vec<(JobRecord, u64)>,
    /// Ids of live jobs whose records can't be read.
    pub unreadable_jobs: BTreeSet<String>,
    /// Progress records, each with its key without the prefix and its revision.
    pub progress: Vec<(String, ProgressRecord, u64)>,
    /// Ledger entries by number, the oldest first.
    pub ledger: Vec<(u64, PlacementLogRecord)>,
    /// Learned run times.
    pub histograms: Option<HistogramsRecord>,
    /// The images on each machine.
    pub images: Option<ImageCacheRecord>,
    /// State of the admission controller.
    pub admission: Option<AdmissionValue>,
}

/// A stored part of a job's progress.
#[derive(Debug)]
pub(super) struct ProgressPart {
    /// Its number; 0 is the whole bitmap, or the first of several parts.
    pub(super) part: u32,
    /// The stored record.
    pub(super) record: ProgressRecord,
    /// Revision of the record.
    pub(super) revision: u64,
}

impl Leader {
    /// Builds the leader's state from what was read. The order matters: jobs come before the
    /// ledger, whose placements refer to them, and image hints before the machines that the ledger
    /// names.
    ///
    /// # Errors
    ///
    /// [`InvalidLedgerEntry`] if what the ledger places is unknown.
    pub(super) fn recover(
        &mut self,
        from: RecoveredState,
        now: f64,
    ) -> Result<(), InvalidLedgerEntry> {
        let mut progress = progress_by_job(from.progress);
        // Needed before any job is inserted: tasks that may be on a machine are not queued.
        let replay = LogReplay::new(&from.ledger)?;
        let placed = placed_tasks_by_job(&from.ledger, &replay);
        let mut jobs = from.jobs;
        jobs.sort_by_key(|(record, _)| record.accepted_at_ms);
        for (record, revision) in jobs {
            let id = record.submission.id.clone();
            let saved = progress.remove(&id).unwrap_or_default();
            self.insert_job(record, revision, saved, placed.get(&id), now, false);
        }
        // Progress records without a live job belong to jobs that were cancelled, or that had
        // several parts.
        progress.retain(|id, _| !from.unreadable_jobs.contains(id));
        for (id, parts) in progress {
            let keys = parts.iter().map(|p| keys::progress_part(&id, p.part));
            self.obsolete_keys.extend(keys);
        }
        self.set_unreadable_jobs(from.unreadable_jobs);
        self.recover_image_hints(from.images.unwrap_or_default());
        self.recover_ledger(from.ledger, &replay, from.overlap_s, now);
        Ok(())
    }
}

fn progress_by_job(
    records: Vec<(String, ProgressRecord, u64)>,
) -> BTreeMap<String, Vec<ProgressPart>> {
    let mut by_job: BTreeMap<String, Vec<ProgressPart>> = BTreeMap::new();
    for (rest, record, revision) in records {
        let key = format!("{}{rest}", keys::PROGRESS);
        if let Some((id, part)) = keys::progress_of(&key) {
            by_job
                .entry(id.to_string())
                .or_default()
                .push(ProgressPart {
                    part,
                    record,
                    revision,
                });
        }
    }
    by_job
}

/// The tasks of each job that the ledger places on a machine. The replay has checked the entries.
fn placed_tasks_by_job(
    ledger: &[(u64, PlacementLogRecord)],
    replay: &LogReplay,
) -> HashMap<String, HashSet<u32>> {
    let mut placed: HashMap<String, HashSet<u32>> = HashMap::new();
    for (id, entry) in ledger {
        for LoggedPlacement(_, _, _, job, attempt, first, n) in &entry.placements {
            let job = &entry.jobs[*job];
            let tasks = (*first..first.saturating_add(*n))
                .filter(|task| replay.is_live_in(*id, *attempt, *task));
            placed.entry(job.id.clone()).or_default().extend(tasks);
        }
    }
    placed
}
