//! Replay of the ledger: determines which placements the entries of a log hold. All recovery from
//! the ledger uses this one rule.

use super::{LoggedPlacement, PlacementLogRecord};
use crate::keys;
use rustc_hash::FxHashMap;

/// An attempt and the index of a task, which together identify a placement in the log.
type LoggedTask = (u64, u32);

/// The error for a ledger entry in which a placement refers to a job or to a machine class that the
/// entry doesn't have, so that what it places is unknown.
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
    /// Number of jobs in the entry.
    pub jobs: usize,
    /// Index of its machine class.
    pub machine_class: usize,
    /// Number of machine classes in the entry.
    pub machine_classes: usize,
}

/// The placements that are live at the end of a log.
#[derive(Debug, Default)]
pub(in crate::leader) struct LogReplay {
    /// The newest entry that holds each of them.
    live_in: FxHashMap<LoggedTask, u64>,
    /// Number of placements that entries list as freed.
    freed: usize,
}

impl LogReplay {
    /// Replays numbered entries, the oldest first.
    ///
    /// # Errors
    ///
    /// [`InvalidLedgerEntry`] for the first entry with a reference to a job or machine class that
    /// it doesn't have.
    pub(in crate::leader) fn new(
        entries: &[(u64, PlacementLogRecord)],
    ) -> Result<LogReplay, InvalidLedgerEntry> {
        let mut replay = LogReplay::default();
        for (entry, record) in entries {
            // Freed placements come first, since they refer only to older entries.
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

    /// Number of live placements that a later entry lists as freed.
    pub(in crate::leader) fn freed(&self) -> usize {
        self.freed
    }

    /// Whether this entry holds the placement: it is the newest entry that does, and no later one
    /// lists the placement as freed.
    pub(in crate::leader) fn is_live_in(&self, entry: u64, attempt: u64, task_index: u32) -> bool {
        self.live_in.get(&(attempt, task_index)) == Some(&entry)
    }
}

/// Checks that an entry has the job and the machine class that one of its placements refers to.
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
