//! Ledger entries under construction, within the size limits of the key-value store.

use super::{
    FreedPlacement, LedgerRow, LoggedJob, LoggedMachineClass, LoggedPlacement, PlacementLogRecord,
    json_size,
};
use crate::leader::*;

/// An entry under construction.
#[derive(Default)]
pub(super) struct DraftEntry {
    pub(super) record: PlacementLogRecord,
    pub(super) rows: Vec<LedgerRow>,
    bytes: usize,
}

/// Entries under construction, each within the size limit of a value.
pub(super) struct Draft {
    pub(super) entries: Vec<DraftEntry>,
    /// Maximum size of one entry, bytes.
    max_entry_bytes: usize,
    /// Bytes that are left in the transaction, for all entries together.
    pub(super) bytes_left: usize,
    /// Maximum number of entries in the transaction.
    pub(super) max_entries: usize,
}

impl Draft {
    /// An empty draft of at most `max_entries` entries, each a value of at most `max_entry_bytes`
    /// bytes.
    pub(super) fn new(max_entry_bytes: usize, max_entries: usize) -> Draft {
        Draft {
            entries: vec![DraftEntry::default()],
            max_entry_bytes: max_entry_bytes.saturating_sub(limits::LOG_ENTRY_OVERHEAD_BYTES),
            bytes_left: limits::TXN_BYTES_MAX,
            max_entries: max_entries.max(1),
        }
    }

    /// The entry that has room for this many more bytes: the last one, or a new one if that is
    /// full. `None` if the transaction is full.
    fn entry_with_room(&mut self, bytes: usize) -> Option<&mut DraftEntry> {
        if bytes > self.bytes_left {
            return None;
        }
        let last = self.entries.last().map_or(0, |p| p.bytes);
        if last > 0 && last + bytes > self.max_entry_bytes {
            if self.entries.len() >= self.max_entries {
                return None;
            }
            self.entries.push(DraftEntry::default());
        }
        self.entries.last_mut()
    }

    /// Adds freed placements, as many as fit half of the transaction; returns how many were added.
    pub(super) fn add_freed(&mut self, freed: &[FreedPlacement]) -> usize {
        let half = self.bytes_left / 2;
        for (n, f) in freed.iter().enumerate() {
            let row = (f.attempt, f.task_index);
            let bytes = json_size(&row) + 1;
            if self.bytes_left < half {
                return n;
            }
            let Some(entry) = self.entry_with_room(bytes) else {
                return n;
            };
            entry.record.freed.push(row);
            entry.bytes += bytes;
            self.bytes_left = self.bytes_left.saturating_sub(bytes);
        }
        freed.len()
    }

    /// Adds one placement; consecutive tasks under one attempt share a row. Returns false if the
    /// transaction is full.
    pub(super) fn add_placement(&mut self, machine: &str, m: &Machine, p: &Placement) -> bool {
        let id = parse_task_id(&p.task_id).map_or("", |(job, _)| job);
        if let Some(entry) = self.entries.last_mut() {
            let joined = entry
                .rows
                .last_mut()
                .filter(|r| r.machine == machine && r.attempt == p.attempt)
                .filter(|r| r.first_task + r.task_count == p.task_index);
            if let (Some(row), Some(LoggedPlacement(.., n))) =
                (joined, entry.record.placements.last_mut())
            {
                row.task_count += 1;
                *n += 1;
                return true;
            }
        }
        let machine_class = LoggedMachineClass {
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
        };
        let job = LoggedJob {
            id: id.to_string(),
            team: p.team.clone(),
            cpus: p.cpus,
            gpus: p.gpus,
            memory_gb: p.memory_gb,
        };
        let row = LoggedPlacement(
            machine.to_string(),
            usize::from(u16::MAX),
            p.incarnation,
            usize::from(u16::MAX),
            p.attempt,
            p.task_index,
            p.task_index,
        );
        let (class_bytes, job_bytes, row_bytes) = (
            json_size(&machine_class) + 1,
            json_size(&job) + 1,
            json_size(&row) + 3,
        );
        // If the last entry already has the job and the machine class, only the row takes room.
        let known = self.entries.last().map_or((false, false), |entry| {
            let jobs = entry.record.jobs.iter().any(|j| j.id == id);
            (entry.record.machine_classes.contains(&machine_class), jobs)
        });
        let unless_known = |known: bool, bytes: usize| if known { 0 } else { bytes };
        let bytes =
            row_bytes + unless_known(known.0, class_bytes) + unless_known(known.1, job_bytes);
        let entries_before = self.entries.len();
        if self.entry_with_room(bytes).is_none() {
            return false;
        }
        let is_new_entry = self.entries.len() > entries_before;
        let bytes = if is_new_entry {
            row_bytes + class_bytes + job_bytes
        } else {
            bytes
        };
        let Some(entry) = self.entries.last_mut() else {
            return false;
        };
        let record = &mut entry.record;
        let class_index = record
            .machine_classes
            .iter()
            .position(|l| *l == machine_class);
        let class_index = class_index.unwrap_or_else(|| {
            record.machine_classes.push(machine_class);
            record.machine_classes.len() - 1
        });
        let job_index = record.jobs.iter().position(|j| j.id == id);
        let job_index = job_index.unwrap_or_else(|| {
            record.jobs.push(job);
            record.jobs.len() - 1
        });
        record.placements.push(LoggedPlacement(
            row.0,
            class_index,
            p.incarnation,
            job_index,
            p.attempt,
            p.task_index,
            1,
        ));
        entry.rows.push(LedgerRow {
            machine: machine.to_string(),
            attempt: p.attempt,
            first_task: p.task_index,
            task_count: 1,
        });
        entry.bytes += bytes;
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
        true
    }

    /// Number of rows in all entries.
    pub(super) fn rows(&self) -> usize {
        self.entries.iter().map(|p| p.rows.len()).sum()
    }
}
