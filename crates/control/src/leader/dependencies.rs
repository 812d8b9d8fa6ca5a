//! Jobs that depend on others. The graph is in `cherrywood_dependencies`; this module connects it
//! with the queue, with the ends of jobs as the key-value store records them, and with the
//! transactions that cancel the dependents of a cancelled job. Each leader derives all of this from
//! committed state, so none of it is stored.

use super::*;
use cherrywood_dependencies::DependencyGraph;
use cherrywood_dependencies::{Deadline, Effects, JobEnd, JobRequirements, Readiness, ReadyJob};

/// The dependencies between jobs, and the pending consequences of ended jobs.
#[derive(Debug)]
pub(super) struct Dependencies {
    graph: DependencyGraph<Priority>,
    /// When effective priorities were last derived, s.
    priorities_derived_at: f64,
    /// Live jobs that can never run and are to be cancelled, and since when that is known, s.
    cascading_cancellations: BTreeMap<String, f64>,
}

impl Default for Dependencies {
    fn default() -> Self {
        Dependencies {
            graph: DependencyGraph::default(),
            priorities_derived_at: f64::NEG_INFINITY,
            cascading_cancellations: BTreeMap::new(),
        }
    }
}

impl Dependencies {
    /// Removes a job that is no longer live: it awaits no dependencies and needs no cancellation.
    pub(super) fn remove(&mut self, id: &str) {
        self.graph.mark_not_live(id);
        self.cascading_cancellations.remove(id);
    }

    /// When the last of the jobs that it depends on was done, s; `None` if unknown.
    pub(super) fn ready_since(&self, id: &str) -> Option<f64> {
        self.graph.ready_since(id)
    }
}

impl Leader {
    /// Adds a job to the graph; returns whether it may start now.
    pub(super) fn add_to_dependencies(&mut self, spec: &Submission, due_at: Option<f64>) -> bool {
        let requirements = JobRequirements {
            priority: spec.priority,
            deadline: due_at.map(|at_s| Deadline {
                at_s,
                grace_s: spec.deadline_s.unwrap_or(0.0) * limits::DEADLINE_GRACE_SHARE,
            }),
        };
        let readiness = self
            .dependencies
            .graph
            .insert(&spec.id, &spec.dependencies, requirements);
        if readiness == Readiness::Unsatisfiable {
            self.dependencies
                .cascading_cancellations
                .entry(spec.id.clone())
                .or_insert(self.term_started_at);
        }
        readiness == Readiness::Ready
    }

    /// Jobs whose final state must be read: others depend on them, and they are not live.
    pub fn jobs_to_look_up(&self) -> Vec<String> {
        self.dependencies.graph.unresolved().cloned().collect()
    }

    /// Handles the end of a job as the key-value store records it. `None`, or a state that is not
    /// final, changes nothing: the job stays among those to look up. `at_ms` is the time of day at
    /// its end.
    pub fn job_ended(&mut self, id: &str, state: Option<JobState>, at_ms: Option<u64>, now: f64) {
        let end = match state {
            Some(JobState::Done) => JobEnd::Done,
            Some(JobState::Cancelled) => JobEnd::Cancelled,
            _ => return,
        };
        // Clocks differ, so a time in the future counts as now; so does an unknown time.
        let at = at_ms.map_or(now, |ms| {
            (ms as f64 / 1000.0 - self.wall_clock_offset_s).min(now)
        });
        let effects = self.dependencies.graph.record_end(id, end, Some(at));
        self.remove_job(id);
        self.apply_dependency_effects(effects, now);
    }

    fn apply_dependency_effects(&mut self, effects: Effects, now: f64) {
        for ReadyJob { id, since_s } in effects.ready {
            self.release_job(&id, since_s.unwrap_or(now), now);
        }
        for id in effects.unsatisfiable {
            crate::trace_job!(id, "can never run: a dependency is cancelled");
            self.dependencies
                .cascading_cancellations
                .entry(id)
                .or_insert(now);
        }
    }

    /// Releases a job once every job that it depends on is done: from now on its tasks are queued
    /// like any others.
    fn release_job(&mut self, id: &str, since: f64, now: f64) {
        let Some(job_index) = self.jobs.index_of(id) else {
            return;
        };
        let Some(job) = self
            .jobs
            .get_mut(&job_index)
            .filter(|j| j.awaiting_dependencies)
        else {
            return;
        };
        job.awaiting_dependencies = false;
        job.ready_at = since.max(job.ready_at).min(now);
        crate::trace_job!(id, "ready: all dependencies are done");
        let delayed = self
            .delayed_tasks
            .iter()
            .filter(|d| d.1 == job_index)
            .map(|d| d.2);
        let excluded: HashSet<u32> = job
            .placements_by_task
            .keys()
            .copied()
            .chain(delayed)
            .collect();
        self.enqueue_tasks(job_index, &excluded, now);
        self.count_as_admitted(job_index, true, now);
    }

    /// Derives the effective priority and latest start of each job from the jobs that depend on it:
    /// whenever the graph has changed, and otherwise every `limits::PIPELINE_DEMAND_INTERVAL_S`, to
    /// account for run times learned meanwhile.
    pub(super) fn derive_priorities(&mut self, now: f64) {
        let changed = self.dependencies.graph.take_changed();
        if !changed
            && now - self.dependencies.priorities_derived_at < limits::PIPELINE_DEMAND_INTERVAL_S
        {
            return;
        }
        self.dependencies.priorities_derived_at = now;
        let run_s = |id: &str| {
            let job = self.jobs.by_id(id);
            let Some(job) = job else { return 0.0 };
            let guess = job.spec.estimate_s * limits::SLOWEST_TASK_ESTIMATE_FACTOR;
            self.predictor.p95_s(&job.estimate_key).unwrap_or(guess)
                + limits::PIPELINE_STAGE_OVERHEAD_S
        };
        let derived = self.dependencies.graph.effective_requirements(run_s);
        let mut raised = Vec::new();
        for (id, d) in derived {
            let Some(job_index) = self.jobs.index_of(id) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&job_index) else {
                continue;
            };
            job.latest_start = d.latest_start;
            job.effective_priority = d.priority;
            if job.best_effort && d.priority != Priority::Low {
                job.best_effort = false;
                raised.push(job_index);
            }
        }
        if raised.is_empty() {
            return;
        }
        // Their placements must not be preempted any more.
        for m in self.machines.values_mut() {
            let is_raised = |p: &Placement| {
                p.best_effort && p.job.is_some_and(|job_index| raised.contains(&job_index))
            };
            if m.placements.sums().has_best_effort && m.placements.iter().any(is_raised) {
                m.placements
                    .iter_mut()
                    .filter(|p| is_raised(p))
                    .for_each(|p| p.best_effort = false);
            }
        }
    }

    /// Adds cancellations that follow from others, in the order of their ids, as many as fit.
    /// Each is certain by itself, so their order doesn't matter. The record of the live job is
    /// deleted and its final state written in one transaction, as for any other end.
    pub(super) fn add_cascading_cancellations(
        &self,
        batch: &mut JobBatch,
        max_changes: usize,
        at_ms: Option<u64>,
    ) {
        for id in self.dependencies.cascading_cancellations.keys() {
            let job = self.jobs.by_id(id);
            let Some(job) = job.filter(|_| !self.keys_to_reread.contains(&keys::job(id))) else {
                continue;
            };
            if batch.txn.changes.len() + 2 > max_changes {
                break;
            }
            batch.txn.guards.extend([
                Guard {
                    key: keys::job(id),
                    revision: job.revision,
                },
                Guard {
                    key: keys::final_state(id),
                    revision: 0,
                },
            ]);
            let value = FinalStateRecord {
                state: JobState::Cancelled,
                tasks: job.spec.tasks,
                ended_at_ms: at_ms,
            };
            batch.txn.changes.extend([
                Change::Delete { key: keys::job(id) },
                Change::Put {
                    key: keys::final_state(id),
                    value: StoredRecord::FinalState(value),
                    lease: None,
                },
            ]);
            batch.cancelled_dependents.push(id.clone());
        }
    }

    /// Whether the cancellation of a job has been pending for so long that the job may not be shown
    /// as queued any more. It may take long if many other jobs are cancelled before it.
    fn is_overdue_for_cancellation(&self, id: &str, now: f64) -> bool {
        let threshold_s =
            self.settings.workers.cancel_s * limits::CASCADING_CANCELLATION_QUEUED_SHARE;
        self.dependencies
            .cascading_cancellations
            .get(id)
            .is_some_and(|pending_since| now - pending_since > threshold_s)
    }

    /// The counts of done and running tasks of a live job, for display; [`COUNTS_WITHHELD`] if
    /// users may be told nothing of it until its final state is written.
    pub fn task_counts(&self, id: &str, now: f64) -> Option<(u32, u32)> {
        if self.is_overdue_for_cancellation(id, now) {
            return Some(COUNTS_WITHHELD);
        }
        let job = self.jobs.by_id(id)?;
        Some((job.done.count(), job.running_tasks))
    }
}

/// Returned in place of the counts of a job whose cancellation is overdue: users are not told any.
pub const COUNTS_WITHHELD: (u32, u32) = (u32::MAX, u32::MAX);
