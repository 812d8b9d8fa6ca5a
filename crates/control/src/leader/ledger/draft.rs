//! Ledger entries under construction, within the size limits of the key-value store.

use super::{
    FreedPlacement, LedgerRow, LoggedJob, LoggedMachineClass, LoggedPlacement, PlacementLogRecord,
    json_size,
};
use crate::leader::*;

/// An entry under construction.
#[derive(Default)]
pub(super) struct Page {
    pub(super) value: PlacementLogRecord,
    pub(super) rows: Vec<LedgerRow>,
    bytes: usize,
}

/// Entries under construction, each within the size limit of a value.
pub(super) struct Draft {
    pub(super) pages: Vec<Page>,
    /// Maximum size of one entry, bytes.
    most: usize,
    /// Bytes that are left in the transaction, for all entries together.
    pub(super) left: usize,
    /// Maximum number of entries in the transaction.
    pub(super) pages_max: usize,
}

impl Draft {
    /// An empty draft of at most `pages_max` entries, each a value of at most `most` bytes.
    pub(super) fn new(most: usize, pages_max: usize) -> Draft {
        Draft {
            pages: vec![Page::default()],
            most: most.saturating_sub(limits::LOG_ENTRY_OVERHEAD_BYTES),
            left: limits::TXN_BYTES_MAX,
            pages_max: pages_max.max(1),
        }
    }

    /// The entry that has room for this many more bytes: the last one, or a new one if that is
    /// full. `None` if the transaction is full.
    fn room(&mut self, bytes: usize) -> Option<&mut Page> {
        if bytes > self.left {
            return None;
        }
        let last = self.pages.last().map_or(0, |p| p.bytes);
        if last > 0 && last + bytes > self.most {
            if self.pages.len() >= self.pages_max {
                return None;
            }
            self.pages.push(Page::default());
        }
        self.pages.last_mut()
    }

    /// Adds freed placements, as many as fit half of the transaction; returns how many were added.
    pub(super) fn free(&mut self, freed: &[FreedPlacement]) -> usize {
        let half = self.left / 2;
        for (n, f) in freed.iter().enumerate() {
            let row = (f.attempt, f.task_index);
            let bytes = json_size(&row) + 1;
            if self.left < half {
                return n;
            }
            let Some(page) = self.room(bytes) else {
                return n;
            };
            page.value.freed.push(row);
            page.bytes += bytes;
            self.left = self.left.saturating_sub(bytes);
        }
        freed.len()
    }

    /// Adds one placement; consecutive tasks under one attempt share a row. Returns false if the
    /// transaction is full.
    pub(super) fn add(&mut self, machine: &str, m: &Machine, p: &Placement) -> bool {
        let id = parse_task_id(&p.task_id).map_or("", |(job, _)| job);
        if let Some(page) = self.pages.last_mut() {
            let joined = page
                .rows
                .last_mut()
                .filter(|r| r.machine == machine && r.attempt == p.attempt)
                .filter(|r| r.first_task + r.task_count == p.task_index);
            if let (Some(row), Some(LoggedPlacement(.., n))) =
                (joined, page.value.placements.last_mut())
            {
                row.task_count += 1;
                *n += 1;
                return true;
            }
        }
        let place = LoggedMachineClass {
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
        let (of_place, of_job, of_row) = (
            json_size(&place) + 1,
            json_size(&job) + 1,
            json_size(&row) + 3,
        );
        // If the last entry already has the job and the machine class, only the row takes room.
        let known = self.pages.last().map_or((false, false), |page| {
            let jobs = page.value.jobs.iter().any(|j| j.id == id);
            (page.value.machine_classes.contains(&place), jobs)
        });
        let of = |known: bool, bytes: usize| if known { 0 } else { bytes };
        let bytes = of_row + of(known.0, of_place) + of(known.1, of_job);
        let before = self.pages.len();
        if self.room(bytes).is_none() {
            return false;
        }
        let fresh = self.pages.len() > before;
        let bytes = if fresh {
            of_row + of_place + of_job
        } else {
            bytes
        };
        let Some(page) = self.pages.last_mut() else {
            return false;
        };
        let v = &mut page.value;
        let at = v.machine_classes.iter().position(|l| *l == place);
        let at = at.unwrap_or_else(|| {
            v.machine_classes.push(place);
            v.machine_classes.len() - 1
        });
        let no = v.jobs.iter().position(|j| j.id == id);
        let no = no.unwrap_or_else(|| {
            v.jobs.push(job);
            v.jobs.len() - 1
        });
        v.placements.push(LoggedPlacement(
            row.0,
            at,
            p.incarnation,
            no,
            p.attempt,
            p.task_index,
            1,
        ));
        page.rows.push(LedgerRow {
            machine: machine.to_string(),
            attempt: p.attempt,
            first_task: p.task_index,
            task_count: 1,
        });
        page.bytes += bytes;
        self.left = self.left.saturating_sub(bytes);
        true
    }

    /// Number of rows in all entries.
    pub(super) fn rows(&self) -> usize {
        self.pages.iter().map(|p| p.rows.len()).sum()
    }
}
