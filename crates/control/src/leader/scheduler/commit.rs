//! State changes of placing a group of tasks: the machine's free resources and images, the
//! team's usage, the job, and the machines that the ledger must record.

use super::pass::PlacementPass;
use super::pending::PendingJob;
use crate::leader::quota::record_placement;
use crate::leader::{EvictionState, Job, JobIndex, Placement, PlacementStage};
use crate::resources::task_request;
use cherrywood_limits as limits;
use std::ops::Range;

impl PlacementPass<'_> {
    /// Returns an attempt number that was never issued before.
    pub(super) fn next_attempt(&mut self) -> u64 {
        *self.tokens_issued += 1;
        (self.term << limits::TERM_SHIFT_BITS) | *self.tokens_issued
    }

    /// Places tasks of the job on a candidate, all under one attempt.
    pub(super) fn place(
        &mut self,
        pending: usize,
        tasks: Range<u32>,
        attempt: u64,
        candidate_index: usize,
    ) {
        let PendingJob {
            job: job_index,
            team,
            ..
        } = self.pending[pending];
        let (Some(job), Some(candidate)) = (
            self.jobs.get_mut(&job_index),
            self.candidates.get_mut(candidate_index),
        ) else {
            return;
        };
        let (first, n) = (tasks.start, tasks.end - tasks.start);
        let machine = candidate.name;
        crate::trace_job!(job.spec.id, first, n, machine, attempt, "placed");
        let request = task_request(&job.spec) * f64::from(n);
        candidate.reserve(job, request, self.now);
        job.last_placed_at = self.now;
        self.used_by_team[team] += request;
        self.machines_to_record.insert(machine.to_string());
        self.room_version += 1;
        let template = Placement {
            attempt,
            incarnation: candidate.machine.incarnation,
            best_effort: job.best_effort && !self.mode.not_preemptible,
            ..planned_placement(job_index, job, self.now)
        };
        let job_id = job.spec.id.clone();
        self.add_placements(candidate_index, &job_id, tasks, &template);
        // The smallest pending request may change during a pass, so only a machine without any
        // CPU or any memory left is removed.
        if self.candidates[candidate_index].is_full() {
            self.candidates.swap_remove(candidate_index);
        }
    }

    /// Adds a placement like `template` for each of the tasks.
    fn add_placements(
        &mut self,
        candidate_index: usize,
        job_id: &str,
        tasks: Range<u32>,
        template: &Placement,
    ) {
        let machine = &mut *self.candidates[candidate_index].machine;
        for task in tasks {
            let placement = Placement {
                task_id: format!("{job_id}/{task}"),
                task_index: task,
                ..template.clone()
            };
            let zone = &machine.zone;
            record_placement(self.quota_usage, self.jobs, &placement, zone);
            machine.placements.push(placement);
        }
    }
}

/// Returns a placement of the job that no ledger entry holds yet; the caller sets its task.
fn planned_placement(index: JobIndex, job: &Job, now: f64) -> Placement {
    Placement {
        task_id: String::new(),
        job: Some(index),
        task_index: 0,
        attempt: 0,
        incarnation: 0,
        stage: PlacementStage::Planned,
        ledger_entry: 0,
        from_previous_term: false,
        start_sent_seq: None,
        start_attempts: 0,
        acknowledged: false,
        running: false,
        running_since: now,
        image_id: job.image_id,
        team: job.spec.team.clone(),
        cpus: job.spec.cpus,
        gpus: job.spec.gpus,
        memory_gb: job.spec.memory_gb,
        best_effort: job.best_effort,
        eviction: EvictionState::NotRequested,
    }
}
