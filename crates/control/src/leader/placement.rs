//! A placement: one attempt of one task on one machine, from the plan until it is freed.
//!
//! A task has at most one placement that was not freed on proof that it no longer runs, and a
//! placement is in the ledger before its start leaves this process.

use super::job::JobIndex;
use super::job_table::JobTable;
use super::parse_task_id;
use crate::resources::Resources;

/// The stage of writing a placement to the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementStage {
    /// Not yet in the ledger.
    Planned,
    /// In a ledger transaction that has no response yet.
    Writing,
    /// In the ledger: its start may be sent.
    Durable,
}

/// Whether a task has been told to save a checkpoint and end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum EvictionState {
    /// No eviction was requested.
    NotRequested,
    /// An eviction was requested, and the stop has not been sent yet.
    Pending,
    /// The stop was sent at this time, s; it is sent again while heartbeats show that the task
    /// still runs.
    Sent(f64),
}

/// One attempt of one task on one machine.
#[derive(Debug, Clone)]
pub(super) struct Placement {
    /// `job/index`, as the protocol names the task.
    pub(super) task_id: String,
    /// Its job; `None` if a new leader found the placement in the ledger without a live job.
    pub(super) job: Option<JobIndex>,
    /// The task's index within the job.
    pub(super) task_index: u32,
    /// The attempt number, from the counter that also issues fencing tokens; the tasks of one group
    /// share it.
    pub(super) attempt: u64,
    /// Incarnation of the worker on which it was placed.
    pub(super) incarnation: u64,
    /// The stage of writing it to the ledger.
    pub(super) stage: PlacementStage,
    /// Number of the ledger entry that holds it; 0 while there is none.
    pub(super) ledger_entry: u64,
    /// Whether it was recovered from the ledger of an earlier term, or placed before a restart of
    /// its worker: its start is never sent again.
    pub(super) from_previous_term: bool,
    /// Sequence number of the last heartbeat whose response carried its start.
    pub(super) start_sent_seq: Option<u64>,
    /// Number of times that its start was sent.
    pub(super) start_attempts: u32,
    /// Whether a heartbeat has listed it.
    pub(super) acknowledged: bool,
    /// Whether the last heartbeat shows it running.
    pub(super) running: bool,
    /// When `running` last changed, s.
    pub(super) running_since: f64,
    /// Hash of the image's name.
    pub(super) image_id: u64,
    /// The team whose quota it uses.
    pub(super) team: String,
    /// CPUs that it holds.
    pub(super) cpus: f64,
    /// GPUs that it holds.
    pub(super) gpus: f64,
    /// Memory that it holds, GB.
    pub(super) memory_gb: f64,
    /// Whether it runs on idle capacity and may be preempted by other work.
    pub(super) best_effort: bool,
    /// Whether it has been told to save a checkpoint and end.
    pub(super) eviction: EvictionState,
}

impl Placement {
    /// The resources that it holds.
    pub(super) fn request(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Whether no start of it was ever sent, so that it runs nowhere.
    pub(super) fn never_sent(&self) -> bool {
        self.start_attempts == 0 && !self.acknowledged && !self.from_previous_term
    }

    /// Whether its job is missing from the table, because the job is over or its record can't be
    /// read.
    pub(super) fn lacks_job(&self, jobs: &JobTable) -> bool {
        self.job.is_none_or(|job| !jobs.contains_key(&job))
    }

    /// Whether its job is over or unknown, so that it may not go on.
    pub(super) fn job_is_over(&self, jobs: &JobTable) -> bool {
        let is_unreadable =
            || parse_task_id(&self.task_id).is_some_and(|(id, _)| jobs.is_unreadable(id));
        self.lacks_job(jobs) && !is_unreadable()
    }
}
