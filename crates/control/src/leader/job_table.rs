//! All live jobs of this leader: found by their index or their id, and which of them have
//! progress that the state service may lack.

use super::job::{Job, JobIndex};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};

/// What is known of the job of an id.
#[derive(Debug, Clone, Copy)]
pub(super) enum KnownJob<'a> {
    /// It is live.
    Live(&'a Job),
    /// It is live, and its record can't be read here: what runs of it goes on.
    Unreadable,
    /// It is over, or there never was such a job.
    Over,
}

/// The live jobs. Lookups by index run for everything that waits in every placement pass;
/// the indices are our own numbers, so a fast hash that can't resist collisions will do.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: FxHashMap<JobIndex, Job>,
    index_by_id: HashMap<String, JobIndex>,
    next_index: JobIndex,
    /// Jobs of which the state service may lack something that is done.
    dirty: BTreeSet<JobIndex>,
    /// Ids of live jobs whose records can't be read here: nothing of them is started, and what
    /// runs of them goes on.
    unreadable: BTreeSet<String>,
}

impl JobTable {
    /// Takes in a job under the next index.
    pub(super) fn insert(&mut self, job: Job) -> JobIndex {
        let index = self.next_index;
        self.next_index += 1;
        self.unreadable.remove(&job.spec.id);
        self.index_by_id.insert(job.spec.id.clone(), index);
        self.jobs.insert(index, job);
        index
    }

    /// Takes out a job that is no longer live.
    pub(super) fn remove(&mut self, id: &str) -> Option<(JobIndex, Job)> {
        self.unreadable.remove(id);
        let index = self.index_by_id.remove(id)?;
        let job = self.jobs.remove(&index)?;
        Some((index, job))
    }

    /// These live jobs have records that can't be read here; no others.
    pub(super) fn set_unreadable(&mut self, ids: BTreeSet<String>) {
        self.unreadable = ids;
    }

    /// Is it live, with a record that can't be read here?
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

    /// Is the job of this index live?
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

    /// What is known of the job of this id.
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

    /// Ids of all live jobs, in no order.
    pub(super) fn ids(&self) -> impl Iterator<Item = &String> {
        self.index_by_id.keys()
    }

    /// All live jobs and their indices, in no order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobIndex, &Job)> {
        self.jobs.iter()
    }

    /// All live jobs, in no order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// How many jobs are live.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// A task of the job was finished: this must be written to the state service.
    pub(super) fn mark_dirty(&mut self, index: JobIndex) {
        self.dirty.insert(index);
    }

    /// Jobs with finished tasks that the state service lacks, oldest first. Those that it
    /// has meanwhile, or that are over, are dropped from the set.
    pub(super) fn take_stock_of_dirty(&mut self) -> Vec<JobIndex> {
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
