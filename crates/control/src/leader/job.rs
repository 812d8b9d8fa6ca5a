//! A live job as the leader knows it: its submission, its finished tasks, its placements, and its
//! record of failures and retries.
//!
//! A [`Job`] keeps its own placement counts; the queue, the dependency graph and the ledger are
//! kept elsewhere in the leader.

use super::placement::Placement;
use super::progress;
use crate::bitmap::Bitmap;
use cherrywood_admission::TenantClassId;
use cherrywood_dependencies::Deadline;
use cherrywood_limits as limits;
use cherrywood_wire::chunks::ChunkSet;
use cherrywood_wire::user::{JobKind, Priority, Submission};
use std::collections::{BTreeMap, HashMap};

/// The leader's own number of a live job, in the order in which the leader learned of the jobs. It
/// means nothing to another leader and is never stored.
pub(super) type JobIndex = u32;

/// The time that a service-level objective bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ObjectiveKind {
    /// The time until its tasks have started.
    Start,
    /// The time until the job is finished.
    Finish,
}

/// One live job: accepted, and neither finished nor cancelled.
#[derive(Debug)]
pub(super) struct Job {
    /// The submission.
    pub(super) spec: Submission,
    /// The key under which run times are learned: jobs of one key are expected to run for equally
    /// long (`sched::Predictor`).
    pub(super) estimate_key: String,
    /// Hash of `estimate_key`, for lookups that compare no text.
    pub(super) estimate_key_hash: u64,
    /// Index of its team in the settings; `None` if the settings don't name the team.
    pub(super) team_index: Option<usize>,
    /// Service-level objectives on its class, and their bounds, s.
    pub(super) objectives: Vec<(ObjectiveKind, f64)>,
    /// Hash of the image's name; see [`stable_name_hash`].
    pub(super) image_id: u64,
    /// When it was accepted, or became ready if it waited for dependencies, s on this
    /// leader's clock.
    pub(super) ready_at: f64,
    /// When this leader last placed one of its tasks, s.
    pub(super) last_placed_at: f64,
    /// Whether it awaits dependencies: not every job that it depends on is known to be done, so
    /// none of its tasks is queued, and it counts for neither admission nor demand.
    pub(super) awaiting_dependencies: bool,
    /// The highest of its own priority and those of the jobs that depend on it.
    pub(super) effective_priority: Priority,
    /// When its tasks must have started to meet a deadline of its own or of a job that depends on
    /// it, and the grace period for which meeting it late still counts.
    pub(super) latest_start: Option<Deadline>,
    /// Revision of its record in the key-value store.
    pub(super) revision: u64,
    /// Whether it is best-effort work, that is, of the lowest priority with no objective on its
    /// class: it runs on idle capacity only.
    pub(super) best_effort: bool,
    /// Its finished tasks.
    pub(super) done: Bitmap,
    /// The part of `done` that the key-value store holds.
    pub(super) persisted_done: Bitmap,
    /// The progress records in the key-value store.
    pub(super) stored_progress: progress::StoredProgress,
    /// The chunks of its submission, if the submission doesn't fit a single value.
    pub(super) submission_chunks: Option<ChunkSet>,
    /// Whether a transaction with its progress or its final state has no response yet.
    pub(super) write_in_flight: bool,
    /// Class and team, for admission.
    pub(super) tenant_class: TenantClassId,
    /// Number of placements that have not been freed.
    pub(super) placement_count: u32,
    /// Number of placements that have not been freed, by task index. They include those that an
    /// earlier leader freed without writing that to the ledger, so a task may have several.
    pub(super) placements_by_task: HashMap<u32, u32>,
    /// Number of placements that the last heartbeat shows running.
    pub(super) running_tasks: u32,
    /// Number of placements that have not been freed, by zone.
    pub(super) placements_by_zone: HashMap<String, u32>,
    /// Machines on which its tasks failed since one last succeeded, each with the time, s, of the
    /// last failure there.
    pub(super) failed_on: BTreeMap<String, f64>,
    /// Number of failed tasks since one last succeeded.
    pub(super) failure_count: u32,
    /// Number of pauses since one of its tasks last succeeded; each pause is twice as long as the
    /// one before, up to a maximum.
    pub(super) backoff_count: u32,
    /// None of its tasks is placed before this time, s.
    pub(super) retry_at: f64,
}

impl Job {
    /// Whether any of its tasks has succeeded; if so, a failure counts against the machine.
    pub(super) fn has_succeeded(&self) -> bool {
        self.done.count() > 0
    }

    /// Whether all of its tasks are done.
    pub(super) fn is_finished(&self) -> bool {
        self.done.count() >= self.spec.tasks
    }

    /// Whether any of its tasks is placed.
    pub(super) fn is_placed(&self) -> bool {
        !self.placements_by_task.is_empty()
    }

    /// Returns the only zone in which its next task may run, if there is one: that of the
    /// submission, or that of its placed tasks if all must be in the same zone.
    pub(super) fn required_zone(&self) -> Option<&str> {
        let mut zones = self.placements_by_zone.iter();
        let holds_all = |count: u32| count > 0 && count == self.placement_count;
        let placed_in = zones.find(|(_, count)| self.spec.single_zone && holds_all(**count));
        let placed_in = placed_in.map(|(zone, _)| zone.as_str());
        self.spec.zone.as_deref().or(placed_in)
    }

    /// Whether the task is neither done nor placed.
    pub(super) fn needs_placement(&self, task: u32) -> bool {
        !self.done.get(task) && !self.placements_by_task.contains_key(&task)
    }

    /// Returns the number of tasks that are neither done nor placed.
    pub(super) fn remaining_tasks(&self) -> u32 {
        let done_or_placed = self.done.count() + self.placements_by_task.len() as u32;
        self.spec.tasks.saturating_sub(done_or_placed)
    }

    /// Returns the time since which none of its tasks has been placed, s. `None` for gangs: they
    /// wait for room for all of their tasks.
    pub(super) fn unserved_since(&self) -> Option<f64> {
        (self.spec.kind != JobKind::Gang).then(|| self.ready_at.max(self.last_placed_at))
    }

    /// Whether it failed on several machines and succeeded nowhere meanwhile: it is then tried one
    /// task at a time, no machine is rented for the rest of its tasks, and its failures don't make
    /// a machine count as faulty.
    pub(super) fn is_suspect(&self) -> bool {
        self.failed_on.len() >= limits::FAULTY_JOB_MACHINES
    }

    /// Counts a placement of one of its tasks in `zone`.
    pub(super) fn add_placement(&mut self, task_index: u32, zone: &str) {
        self.placement_count += 1;
        *self.placements_by_task.entry(task_index).or_default() += 1;
        self.adjust_zone(zone, |count| *count += 1);
    }

    /// Removes a placement that was counted in `zone` from the counts.
    pub(super) fn remove_placement(&mut self, p: &Placement, zone: &str) {
        if let Some(n) = self.placements_by_task.get_mut(&p.task_index) {
            *n -= 1;
            if *n == 0 {
                self.placements_by_task.remove(&p.task_index);
            }
        }
        self.placement_count = self.placement_count.saturating_sub(1);
        self.adjust_zone(zone, |count| *count = count.saturating_sub(1));
        if p.running {
            self.running_tasks = self.running_tasks.saturating_sub(1);
        }
    }

    /// Changes the count of a zone. The zone's name is copied only if it is new to the job.
    fn adjust_zone(&mut self, zone: &str, adjust: impl FnOnce(&mut u32)) {
        match self.placements_by_zone.get_mut(zone) {
            Some(count) => adjust(count),
            None => adjust(self.placements_by_zone.entry(zone.to_string()).or_default()),
        }
    }
}

/// Returns a hash of the name of an image or estimate key, so that a lookup compares no text. If
/// two names had the same hash, only the estimate of a wait or run time would be wrong. Hashes of
/// images are kept in the key-value store, so the function must be the same in every build.
pub(super) fn stable_name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
