//! A cache of final states. A final state never changes, so entries need no revalidation.

use cherrywood_limits as limits;
use cherrywood_wire::records::FinalStateRecord;
use std::collections::{HashMap, VecDeque};

/// Final states of jobs: up to `FINAL_STATES_CACHED_MAX` entries, of which the oldest is evicted
/// first.
#[derive(Debug, Default)]
pub struct FinalStateCache {
    by_job: HashMap<String, FinalStateRecord>,
    insertion_order: VecDeque<String>,
}

impl FinalStateCache {
    /// The final state of this job, if it is cached.
    pub fn get(&self, id: &str) -> Option<&FinalStateRecord> {
        self.by_job.get(id)
    }

    /// Whether the final state of this job is cached.
    pub fn contains(&self, id: &str) -> bool {
        self.by_job.contains_key(id)
    }

    /// Adds the final state of a job.
    pub fn insert(&mut self, id: &str, value: FinalStateRecord) {
        if self.by_job.insert(id.to_string(), value).is_some() {
            return;
        }
        self.insertion_order.push_back(id.to_string());
        if self.insertion_order.len() > limits::FINAL_STATES_CACHED_MAX
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.by_job.remove(&oldest);
        }
    }
}
