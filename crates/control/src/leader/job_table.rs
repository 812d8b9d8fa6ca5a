//! The table of this leader's live jobs, by index and by id. It also tracks which of them have
//! progress that the key-value store may lack.

use super::job::{Job, JobIndex};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};

/// What the leader knows of the job with a given id.
#[derive(Debug, Clone, Copy)]
pub(super) enum KnownJob<'a> {
    /// The job is live.
    Live(&'a Job),
    /// The job is live, but its record can't be read here: its running tasks go on.
    Unreadable,
    /// The job is over, or never existed.
    Over,
}

/// The live jobs. Lookups by index run for every waiting task in every placement pass; the indices
/// are the leader's own numbers, so a fast hash that can't resist collisions is sufficient.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: FxHashMap<JobIndex, Job>,
    index_by_id: HashMap<String, JobIndex>,
    next_index: JobIndex,
    /// Jobs with finished tasks that the key-value store may lack.
    dirty: BTreeSet<JobIndex>,
    /// Ids of live jobs whose records can't be read here: none of their tasks is started, and those
    /// that run go on.
    unreadable: BTreeSet<String>,
}

impl JobTable {
    /// Inserts a job under the next index.
    pub(super) fn insert(&mut self, job: Job) -> JobIndex {
        let index = self.next_index;
        self.next_index += 1;
        self.unreadable.remove(&job.spec.id);
        self.index_by_id.insert(job.spec.id.clone(), index);
        self.jobs.insert(index, job);
        index
    }

    /// Removes a job that is no longer live.
    pub(super) fn remove(&mut self, id: &str) -> Option<(JobIndex, Job)> {
        self.unreadable.remove(id);
        let index = self.index_by_id.remove(id)?;
        let job = self.jobs.remove(&index)?;
        Some((index, job))
    }

    /// Sets the live jobs whose records can't be read here, in place of those set before.
    pub(super) fn set_unreadable(&mut self, ids: BTreeSet<String>) {
        self.unreadable = ids;
    }

    /// Whether the job is live with a record that can't be read here.
    pub(super) fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains(id)
    }

    /// Ids of live jobs whose records can't be read here.
    pub(super) fn unreadable_ids(&self) -> impl Iterator<Item = &String> {
        self.unreadable.iter()
    }

    /// The job of this index, if it is live.
    pub(super) fn get(&self, index: &JobIndex) -> Option<&Job> {
        self.jobs.get(index)
    }

    /// The job of this index, if it is live.
    pub(super) fn get_mut(&mut self, index: &JobIndex) -> Option<&mut Job> {
        self.jobs.get_mut(index)
    }

    /// Whether the job of this index is live.
    pub(super) fn contains_key(&self, index: &JobIndex) -> bool {
        self.jobs.contains_key(index)
    }

    /// The index of a live job.
    pub(super) fn index_of(&self, id: &str) -> Option<JobIndex> {
        self.index_by_id.get(id).copied()
    }

    /// The live job of this id.
    pub(super) fn by_id(&self, id: &str) -> Option<&Job> {
        self.jobs.get(self.index_by_id.get(id)?)
    }

    /// What the leader knows of the job of this id.
    pub(super) fn look_up(&self, id: &str) -> KnownJob<'_> {
        match self.by_id(id) {
            Some(job) => KnownJob::Live(job),
            None if self.is_unreadable(id) => KnownJob::Unreadable,
            None => KnownJob::Over,
        }
    }

    /// The live job of this id.
    pub(super) fn by_id_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(self.index_by_id.get(id)?)
    }

    /// Ids of all live jobs, in no particular order.
    pub(super) fn ids(&self) -> impl Iterator<Item = &String> {
        self.index_by_id.keys()
    }

    /// All live jobs and their indices, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobIndex, &Job)> {
        self.jobs.iter()
    }

    /// All live jobs, in no particular order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Number of live jobs.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Records that a task of the job was finished, which must be written to the key-value store.
    pub(super) fn mark_dirty(&mut self, index: JobIndex) {
        self.dirty.insert(index);
    }

    /// Returns the jobs with finished tasks that the key-value store lacks, oldest first. Jobs that
    /// lack nothing there by now, or that are over, are dropped from the set.
    pub(super) fn prune_dirty(&mut self) -> Vec<JobIndex> {
        let jobs = &self.jobs;
        let lacks_progress = |job: &Job| job.done.count() != job.persisted_done.count();
        self.dirty
            .retain(|index| jobs.get(index).is_some_and(lacks_progress));
        self.dirty.iter().copied().collect()
    }
}

impl std::ops::Index<&JobIndex> for JobTable {
    type Output = Job;

    /// Panics if the job is not live: for indices that were looked up in the same pass.
    fn index(&self, index: &JobIndex) -> &Job {
        &self.jobs[index]
    }
}
