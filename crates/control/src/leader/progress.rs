//! The finished tasks of jobs as the key-value store holds them: one record for each job, or
//! several parts where a bitmap is too large for one value.

use super::Leader;
use super::job::Job;
use super::recovery::ProgressPart;
use crate::bitmap::Bitmap;
use crate::keys;
use cherrywood_limits as limits;
use cherrywood_wire::chunks::json_size;
use cherrywood_wire::records::ProgressRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Parts by number, with the bytes of their bitmaps.
pub(super) type PartBytes = Vec<(u32, Vec<u8>)>;

/// Number of tasks in a part.
pub(super) const PART_TASKS: u32 = limits::PROGRESS_CHUNK_BYTES as u32 * 8;

/// A part as the key-value store holds it.
#[derive(Debug, Default)]
struct StoredPart {
    revision: u64,
    /// Bytes of its bitmap; empty if unknown.
    bytes: Vec<u8>,
}

/// The parts of a job's progress that the key-value store holds.
#[derive(Debug, Default)]
pub(super) struct StoredProgress {
    parts: BTreeMap<u32, StoredPart>,
}

impl StoredProgress {
    /// Restores the records of a job that an earlier leader wrote; returns them with all tasks that
    /// they list as finished. A bit is never cleared, so records of different ages and sizes add
    /// up.
    pub(super) fn recover(records: Vec<ProgressPart>, tasks: u32) -> (StoredProgress, Bitmap) {
        let mut done = Bitmap::default();
        let mut stored = StoredProgress::default();
        for saved in records {
            let first = saved.record.first_task.unwrap_or(0);
            done.union_base64(&saved.record.finished_bitmap, first, tasks);
            let mut bitmap = Bitmap::default();
            let tasks_from_first = tasks.saturating_sub(first);
            bitmap.union_base64(&saved.record.finished_bitmap, 0, tasks_from_first);
            let bytes = bitmap.chunk(0, usize::MAX).unwrap_or_default().to_vec();
            stored.record_written(saved.part, saved.revision, bytes);
        }
        (stored, done)
    }

    /// Revision of a part's record; 0 if there is none.
    pub(super) fn revision(&self, part: u32) -> u64 {
        self.parts.get(&part).map_or(0, |stored| stored.revision)
    }

    /// Records that a part is stored at this revision.
    pub(super) fn record_written(&mut self, part: u32, revision: u64, bytes: Vec<u8>) {
        self.parts.insert(part, StoredPart { revision, bytes });
    }

    /// Records that a part was found at this revision, 0 if it is gone. Its contents are then
    /// unknown, so it is written again.
    pub(super) fn set_revision(&mut self, part: u32, revision: u64) {
        let stored = self.parts.entry(part).or_default();
        stored.revision = revision;
        stored.bytes.clear();
    }

    /// Numbers of the stored parts after the first.
    fn later_parts(&self) -> impl Iterator<Item = u32> {
        self.parts.keys().copied().filter(|part| *part > 0)
    }

    /// The parts to write, with their bytes: the whole bitmap if its record fits `max_whole_bytes`,
    /// else the parts that changed, the first one last. Part 0 may still hold the whole bitmap: the
    /// other parts are written before it shrinks to its own tasks, so nothing is lost in between.
    pub(super) fn parts_to_write(&self, done: &Bitmap, max_whole_bytes: usize) -> PartBytes {
        let whole = done.chunk(0, usize::MAX).unwrap_or_default();
        let record = ProgressRecord {
            finished_bitmap: Bitmap::encode_base64(whole),
            first_task: None,
        };
        if self.later_parts().next().is_none() && json_size(&record) <= max_whole_bytes {
            return vec![(0, whole.to_vec())];
        }
        let parts = whole.len().div_ceil(limits::PROGRESS_CHUNK_BYTES) as u32;
        let bytes = |part: u32| done.chunk(part as usize, limits::PROGRESS_CHUNK_BYTES);
        let stored = |part: &u32| self.parts.get(part).map(|stored| stored.bytes.as_slice());
        let changed = (0..parts).rev().filter(|part| stored(part) != bytes(*part));
        changed
            .filter_map(|part| Some((part, bytes(part)?.to_vec())))
            .collect()
    }
}

/// Whether a part of the job's progress must be read again.
pub(super) fn must_be_reread(keys_to_reread: &BTreeSet<String>, id: &str) -> bool {
    let key = keys::progress(id);
    let mut following = keys_to_reread.range(key.clone()..);
    following.next().is_some_and(|k| k.starts_with(&key))
}

impl Leader {
    /// Marks the later parts of the progress of a job that is over, and the chunks of its
    /// submission, as obsolete. Its other records are deleted with the write of its final state.
    pub(super) fn mark_records_obsolete(&mut self, id: &str, job: &Job) {
        let parts = job.stored_progress.later_parts();
        let keys = parts.map(|part| keys::progress_part(id, part));
        self.obsolete_keys.extend(keys);
        if let Some(chunks) = job.submission_chunks {
            let prefix = keys::chunk_prefix(&keys::submission(id), chunks.slot);
            let keys = (0..chunks.count).map(|chunk| format!("{prefix}{chunk}"));
            self.obsolete_keys.extend(keys);
        }
    }

    /// Adds obsolete keys that were found while the key-value store was read: they are deleted when
    /// nothing else is to be written.
    pub fn add_obsolete_keys(&mut self, keys: impl IntoIterator<Item = String>) {
        self.obsolete_keys.extend(keys);
    }
}
