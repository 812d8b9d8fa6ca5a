//! The guards of a ledger transaction: the leader's key, and the record of each job placed.

use super::Draft;
use crate::leader::*;

/// Guards being collected, one for each job.
pub(super) struct JobGuards {
    guards: Vec<Guard>,
    guarded: HashSet<JobIndex>,
    /// Maximum number of guards, the leader's and those of jobs.
    max_guards: usize,
}

impl JobGuards {
    /// Starts with the leader's guard, for a transaction of at most `changes` changes: half of them
    /// may be new entries, which have a guard each.
    pub(super) fn new(leader_guard: Guard, changes: usize) -> JobGuards {
        JobGuards {
            guards: vec![leader_guard],
            guarded: HashSet::new(),
            max_guards: (changes * limits::store::GUARDS_PER_CHANGE)
                .saturating_sub(changes / 2 + 1),
        }
    }

    /// Whether a placement of this job may be added: the first placement of each job needs a guard.
    pub(super) fn has_room_for(&self, job: Option<JobIndex>, draft: &Draft) -> bool {
        let is_guarded = job.is_none_or(|index| self.guarded.contains(&index));
        is_guarded || self.guards.len() < self.max_guards && draft.bytes_left > limits::GUARD_BYTES
    }

    /// Adds a guard for the job's record, unless there is one.
    pub(super) fn add(&mut self, index: JobIndex, job: &Job, draft: &mut Draft) {
        if !self.guarded.insert(index) {
            return;
        }
        draft.bytes_left = draft.bytes_left.saturating_sub(limits::GUARD_BYTES);
        self.guards.push(Guard {
            key: keys::job(&job.spec.id),
            revision: job.revision,
        });
    }

    /// The collected guards.
    pub(super) fn into_guards(self) -> Vec<Guard> {
        self.guards
    }
}
