//! Which placements the entries of a log hold: the one rule for all that is recovered from it.

use super::{LoggedPlacement, PlacementLogRecord};
use crate::keys;
use std::collections::HashMap;

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

/// What the entries of a log say of each placement.
#[derive(Debug)]
pub(in crate::leader) struct LogReplay {
    /// The newest entry that holds it.
    written_in: HashMap<LoggedTask, u64>,
    /// The newest entry that calls it freed.
    freed_in: HashMap<LoggedTask, u64>,
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
        let mut written_in = HashMap::new();
        let mut freed_in = HashMap::new();
        for (entry, record) in entries {
            for placement in &record.placements {
                check_references(*entry, record, placement)?;
                written_in.extend(tasks_of(placement).map(|task| (task, *entry)));
            }
            freed_in.extend(record.freed.iter().map(|task| (*task, *entry)));
        }
        Ok(LogReplay {
            written_in,
            freed_in,
        })
    }

    /// How many placements the entries name, freed or not.
    pub(in crate::leader) fn written(&self) -> usize {
        self.written_in.len()
    }

    /// Whether this entry is what holds the placement: the newest that does, and no later one
    /// calls it freed.
    pub(in crate::leader) fn is_live_in(&self, entry: u64, attempt: u64, task_index: u32) -> bool {
        let task = (attempt, task_index);
        let is_newest = self.written_in.get(&task) == Some(&entry);
        let is_freed = self.freed_in.get(&task).is_some_and(|freed| *freed > entry);
        is_newest && !is_freed
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
