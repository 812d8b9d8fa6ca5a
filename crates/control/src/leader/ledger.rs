//! The placement ledger: records each placement that may be on a machine before its task starts.
//!
//! It is a log. An entry holds the placements of one transaction, grouped into rows, and lists
//! which earlier placements were freed since the last entry; it is written once under a key of its
//! own and never changed. The oldest entries are dropped once all of their placements are freed;
//! where a few live placements are left, these are written again in the newest entry, in the
//! transaction that drops the old one. A transaction therefore costs about two changes, however
//! many machines there are, and a write that is applied late cannot overwrite a newer one.
//!
//! One ledger transaction is in flight at a time: the caller passes the outcome of a batch to
//! [`Leader::ledger_batch_done`] before it asks for the next.

use super::*;
use cherrywood_wire::chunks::json_size;
use cherrywood_wire::records::{
    LoggedJob, LoggedMachineClass, LoggedPlacement, PlacementLogRecord,
};

mod draft;
mod job_guards;
mod outcome;
mod recovery;
mod replay;

pub use replay::InvalidLedgerEntry;
pub(super) use replay::LogReplay;

use draft::Draft;
use job_guards::JobGuards;

/// A ledger entry in the key-value store.
#[derive(Debug, Default)]
pub(super) struct LedgerEntry {
    rows: Vec<LedgerRow>,
    /// The number of its placements that are not freed.
    live: u32,
}

/// The placement ledger as this leader knows it, read and written only in this module.
#[derive(Debug, Default)]
pub(super) struct PlacementLedger {
    /// Entries in the key-value store, by number.
    entries: BTreeMap<u64, LedgerEntry>,
    /// Counter in entry numbers: how many entries this leader has numbered.
    entries_written: u64,
    /// Freed placements that no entry in the key-value store lists as freed yet, oldest first.
    freed: Vec<FreedPlacement>,
    /// Counts of the placements that this leader has freed, by reason.
    freed_counts: FreedCounts,
    /// A transaction of which it is unknown whether it was applied: no other ledger transaction is
    /// made before the first entry of this one has been read.
    in_doubt: Option<LedgerBatch>,
}

impl PlacementLedger {
    /// The number of each entry, with the number of its placements that are not freed.
    pub(super) fn live_placements(&self) -> impl Iterator<Item = (u64, u32)> {
        self.entries.iter().map(|(id, entry)| (*id, entry.live))
    }

    /// A summary of the entries, live placements and freed placements, for the log.
    pub(super) fn summary(&self) -> String {
        let live: u32 = self.entries.values().map(|entry| entry.live).sum();
        format!(
            "ledger {} entries, {live} live, freed {}",
            self.entries.len(),
            self.freed_counts
        )
    }
}

/// Tasks `first_task..first_task + task_count` of one job on one machine, under one attempt.
#[derive(Debug, Clone, PartialEq)]
struct LedgerRow {
    machine: String,
    attempt: u64,
    first_task: u32,
    task_count: u32,
}

/// A freed placement and the entry that holds it.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreedPlacement {
    attempt: u64,
    task_index: u32,
    ledger_entry: u64,
}

/// A ledger transaction in flight, and what it would make durable.
#[derive(Debug)]
pub struct LedgerBatch {
    /// The transaction to commit.
    pub txn: Txn,
    /// Its entries, with consecutive numbers: either all are written or none.
    entries: Vec<(u64, Vec<LedgerRow>)>,
    /// Numbers of the entries that it drops.
    dropped_entries: Vec<u64>,
    freed: Vec<FreedPlacement>,
}

impl LedgerBatch {
    /// Number of placements in its entries.
    fn placements(&self) -> u32 {
        let rows = self.entries.iter().flat_map(|(_, rows)| rows);
        rows.map(|row| row.task_count).sum()
    }

    /// The key of its first entry; reading it shows whether the transaction was applied.
    fn key(&self) -> String {
        keys::ledger(self.entries.first().map_or(0, |e| e.0))
    }
}

/// How many of a machine's planned placements a draft accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DraftedPart {
    /// All of them.
    All,
    /// All but placements of jobs that have to wait.
    AllButWaiting,
    /// Those before the first placement that the transaction has no room for.
    UntilFull,
}

impl Leader {
    /// The guard of every transaction of this leader: none is applied once the leader key has
    /// changed.
    pub fn leader_guard(&self) -> Guard {
        Guard {
            key: keys::LEADER.into(),
            revision: self.leader_revision,
        }
    }

    /// Records that a placement was freed, so that the next entry lists it.
    pub(super) fn mark_freed(&mut self, p: &Placement, reason: FreeReason) {
        self.ledger.freed_counts.add(reason);
        // A placement of a transaction without a response is noted as freed by `record_written`.
        if p.ledger_entry == 0 {
            return;
        }
        if let Some(e) = self.ledger.entries.get_mut(&p.ledger_entry) {
            e.live = e.live.saturating_sub(1);
        }
        self.ledger.freed.push(FreedPlacement {
            attempt: p.attempt,
            task_index: p.task_index,
            ledger_entry: p.ledger_entry,
        });
    }

    /// The next ledger transaction, if placements wait for one, or if enough entries can be dropped
    /// or enough freed placements listed to justify a write. `None` while the last transaction is
    /// in doubt.
    pub fn ledger_batch(&mut self) -> Option<LedgerBatch> {
        if self.ledger.in_doubt.is_some() {
            return None;
        }
        let max_changes = self.store_limits.txn_changes.max(2);
        let max_value_bytes = self.store_limits.value_bytes.min(limits::TXN_BYTES_MAX);
        // Half of the changes are left for the deletion of old entries.
        let mut draft = Draft::new(max_value_bytes, max_changes / 2);
        let mut guards = JobGuards::new(self.leader_guard(), max_changes);
        let freed = self.draft_freed(&mut draft);
        self.draft_planned(&mut draft, &mut guards);
        // Placements that compaction writes again do not justify a transaction by themselves.
        let has_new_placements = draft.rows() > 0;
        let dropped_entries = self.compact_oldest_entries(&mut draft, max_changes);
        let is_worthwhile = dropped_entries.len() >= limits::LOG_DROPS_WRITE_THRESHOLD
            || freed.len() >= limits::LOG_FREED_WRITE_THRESHOLD;
        if !has_new_placements && !is_worthwhile {
            return None;
        }
        Some(self.assemble_batch(draft, guards.into_guards(), dropped_entries, freed))
    }

    /// Adds the freed placements to the draft. They precede new placements, so a task that is
    /// placed again is never live in the log twice. Returns the placements that the draft lists as
    /// freed.
    fn draft_freed(&mut self, draft: &mut Draft) -> Vec<FreedPlacement> {
        let entries = &self.ledger.entries;
        let freed = &mut self.ledger.freed;
        freed.retain(|f| entries.contains_key(&f.ledger_entry));
        let drafted = draft.add_freed(freed);
        freed[..drafted].to_vec()
    }

    /// Adds the planned placements, as many as fit, and a guard for each of their jobs.
    fn draft_planned(&mut self, draft: &mut Draft, guards: &mut JobGuards) {
        for machine in self.machines_to_record.clone() {
            match self.draft_planned_on(&machine, draft, guards) {
                DraftedPart::All => {
                    self.machines_to_record.remove(&machine);
                }
                DraftedPart::AllButWaiting => {}
                DraftedPart::UntilFull => break,
            }
        }
    }

    /// Adds the planned placements of one machine. From then on exactly the placements that the
    /// draft accepted are in `Writing`.
    fn draft_planned_on(
        &mut self,
        name: &str,
        draft: &mut Draft,
        guards: &mut JobGuards,
    ) -> DraftedPart {
        let Some(machine) = self.machines.get_mut(name) else {
            return DraftedPart::All;
        };
        let mut part = DraftedPart::All;
        for index in 0..machine.placements.len() {
            let placement = &machine.placements[index];
            if placement.stage != PlacementStage::Planned {
                continue;
            }
            let job = placement.job.and_then(|index| self.jobs.get(&index));
            // The last check: no task of a job starts before all jobs that it depends on are known
            // to be done, however the placement came to be planned.
            let must_wait = job.is_some_and(|job| {
                job.awaiting_dependencies || self.keys_to_reread.contains(&keys::job(&job.spec.id))
            });
            if must_wait {
                part = DraftedPart::AllButWaiting;
                continue;
            }
            if !guards.has_room_for(placement.job, draft)
                || !draft.add_placement(name, machine, placement)
            {
                return DraftedPart::UntilFull;
            }
            if let (Some(index), Some(job)) = (placement.job, job) {
                guards.add(index, job, draft);
            }
            machine.placements[index].stage = PlacementStage::Writing;
        }
        part
    }

    /// Builds the transaction of a draft: its entries under new numbers, and the deletion of old
    /// ones.
    fn assemble_batch(
        &mut self,
        draft: Draft,
        mut guards: Vec<Guard>,
        dropped_entries: Vec<u64>,
        freed: Vec<FreedPlacement>,
    ) -> LedgerBatch {
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        for drafted in draft.entries {
            self.ledger.entries_written += 1;
            let id = (self.term << limits::TERM_SHIFT_BITS) | self.ledger.entries_written;
            let key = keys::ledger(id);
            // The guard requires that the key is absent: an entry is written once or not at all.
            guards.push(Guard {
                key: key.clone(),
                revision: 0,
            });
            changes.push(Change::Put {
                key,
                value: StoredRecord::PlacementLog(drafted.record),
                lease: None,
            });
            entries.push((id, drafted.rows));
        }
        changes.extend(dropped_entries.iter().map(|id| Change::Delete {
            key: keys::ledger(*id),
        }));
        LedgerBatch {
            txn: Txn { guards, changes },
            entries,
            dropped_entries,
            freed,
        }
    }

    /// Number of entries above which the remaining live placements of the oldest are written again.
    /// It falls as the maximum size of a value rises, so that a failover reads about as many bytes
    /// in each case.
    fn max_entries(&self) -> usize {
        let bytes = limits::LOG_ENTRIES_TARGET * limits::LOG_ENTRY_BYTES;
        let max_entries = bytes / self.store_limits.value_bytes.max(1);
        max_entries.clamp(limits::LOG_ENTRIES_TARGET, limits::LOG_ENTRIES_MAX)
    }

    /// Returns the oldest entries that can be dropped: those without a live placement and, while
    /// there are too many entries, those whose live placements fit the draft, to which they are
    /// added. If not all live placements of an entry fit, as many as fit are written again, and the
    /// entry stays. Entries are always dropped from the oldest on: an entry's list of freed
    /// placements refers to older entries, so it is needed for as long as those exist.
    fn compact_oldest_entries(&self, draft: &mut Draft, max_changes: usize) -> Vec<u64> {
        let mut dropped_entries: Vec<u64> = Vec::new();
        let mut rewritten_entries = 0;
        let max_entries = self.max_entries();
        for (id, e) in &self.ledger.entries {
            let used = draft.entries.len() + dropped_entries.len();
            if used >= max_changes
                || dropped_entries.len()
                    >= limits::LOG_DROPPED_ENTRIES_MAX.max(2 * draft.entries.len())
            {
                break;
            }
            if e.live > 0 {
                let has_too_many = self.ledger.entries.len() + draft.entries.len()
                    - dropped_entries.len()
                    > max_entries;
                if !has_too_many || rewritten_entries >= limits::LOG_REWRITTEN_ENTRIES_MAX {
                    break;
                }
                draft.max_entries = max_changes - dropped_entries.len() - 1;
                let mut all_fit = true;
                'rows: for row in &e.rows {
                    let Some(m) = self.machines.get(&row.machine) else {
                        continue;
                    };
                    let mut live_placements: Vec<&Placement> = m
                        .placements
                        .iter()
                        .filter(|p| row.is_recorded_in(p, *id))
                        .collect();
                    live_placements.sort_by_key(|p| p.task_index);
                    for p in live_placements {
                        if !draft.add_placement(&row.machine, m, p) {
                            all_fit = false;
                            break 'rows;
                        }
                    }
                }
                if !all_fit {
                    break;
                }
                rewritten_entries += 1;
            }
            dropped_entries.push(*id);
        }
        dropped_entries
    }
}

impl LedgerRow {
    /// Whether the placement is of one of the row's tasks and under its attempt.
    fn covers(&self, p: &Placement) -> bool {
        p.attempt == self.attempt
            && (self.first_task..self.first_task + self.task_count).contains(&p.task_index)
    }

    /// Whether this row of `entry` holds the placement in the ledger.
    fn is_recorded_in(&self, p: &Placement, entry: u64) -> bool {
        p.ledger_entry == entry && p.stage == PlacementStage::Durable && self.covers(p)
    }
}
