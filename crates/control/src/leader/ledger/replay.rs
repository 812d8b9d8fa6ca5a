//! Which placements the entries of a log hold: the one rule for all that is recovered from it.

use super::{LoggedPlacement, PlacementLogRecord};
use crate::keys;
use rustc_hash::FxHashMap;

/// An attempt and the index of a task: what names a placement in the log.
type LoggedTask = (u64, u32);

/// A ledger entry in which a placement refers to a job or to a machine class that the entry
/// doesn't have: what it places isn't known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{}: the placement on {machine} refers to job {job} of {jobs} and machine class \
     {machine_class} of {machine_classes}",
    keys::ledger(*.entry)
)]
pub struct InvalidLedgerEntry {
    /// Number of the entry.
    pub entry: u64,
    /// The machine of the placement.
    pub machine: String,
    /// Index of its job.
    pub job: usize,
    /// How many jobs the entry has.
    pub jobs: usize,
    /// Index of its machine class.
    pub machine_class: usize,
    /// How many machine classes the entry has.
    pub machine_classes: usize,
}

/// The placements that are live at the end of a log.
#[derive(Debug, Default)]
pub(in crate::leader) struct LogReplay {
    /// The newest entry that holds each of them.
    live_in: FxHashMap<LoggedTask, u64>,
    /// How many were called freed.
    freed: usize,
}

impl LogReplay {
    /// Replays entries with their numbers, the oldest first.
    ///
    /// # Errors
    ///
    /// [`InvalidLedgerEntry`] for the first entry that isn't whole.
    pub(in crate::leader) fn new(
        entries: &[(u64, PlacementLogRecord)],
    ) -> Result<LogReplay, InvalidLedgerEntry> {
        let mut replay = LogReplay::default();
        for (entry, record) in entries {
            // First, since they speak of older entries alone.
            for task in &record.freed {
                replay.freed += usize::from(replay.live_in.remove(task).is_some());
            }
            for placement in &record.placements {
                check_references(*entry, record, placement)?;
                let tasks = tasks_of(placement);
                replay.live_in.extend(tasks.map(|task| (task, *entry)));
            }
        }
        Ok(replay)
    }

    /// How many placements were called freed.
    pub(in crate::leader) fn freed(&self) -> usize {
        self.freed
    }

    /// Whether this entry is what holds the placement: the newest that does, and no later one
    /// calls it freed.
    pub(in crate::leader) fn is_live_in(&self, entry: u64, attempt: u64, task_index: u32) -> bool {
        self.live_in.get(&(attempt, task_index)) == Some(&entry)
    }
}

/// Checks that an entry has the job and the machine class that a placement of it refers to.
fn check_references(
    entry: u64,
    record: &PlacementLogRecord,
    placement: &LoggedPlacement,
) -> Result<(), InvalidLedgerEntry> {
    let LoggedPlacement(machine, machine_class, _, job, ..) = placement;
    let (jobs, machine_classes) = (record.jobs.len(), record.machine_classes.len());
    if *job < jobs && *machine_class < machine_classes {
        return Ok(());
    }
    Err(InvalidLedgerEntry {
        entry,
        machine: machine.clone(),
        job: *job,
        jobs,
        machine_class: *machine_class,
        machine_classes,
    })
}

/// The attempt and the index of each task of a logged placement.
fn tasks_of(placement: &LoggedPlacement) -> impl Iterator<Item = LoggedTask> {
    let LoggedPlacement(_, _, _, _, attempt, first_task, task_count) = *placement;
    let tasks = first_task..first_task.saturating_add(task_count);
    tasks.map(move |task_index| (attempt, task_index))
}
