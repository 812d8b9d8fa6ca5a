//! The placement ledger: what may be on a machine, written before it starts.
//!
//! It is a log. An entry holds the placements of one transaction, grouped into rows, and
//! which earlier placements were freed since the last one; it is written once under a key of
//! its own and never changed. The oldest entries are dropped once all of their placements are
//! freed; where a few are left, these are written again in the newest entry, in the
//! transaction that drops the old one. So a transaction costs about two changes, however many
//! machines there are, and a write that is applied late can't overwrite a newer one.
//!
//! One ledger transaction is on its way at a time: the caller passes the outcome of a batch to
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

/// An entry in the state service.
#[derive(Debug, Default)]
pub(super) struct LedgerEntry {
    rows: Vec<LedgerRow>,
    /// Its placements that are not freed.
    live: u32,
}

/// The placement ledger as this leader knows it. Read and written in this module alone.
#[derive(Debug, Default)]
pub(super) struct PlacementLedger {
    /// Entries in the state service, by number.
    entries: BTreeMap<u64, LedgerEntry>,
    /// Entries written by this leader.
    entries_written: u64,
    /// Freed placements that no entry in the state service calls freed yet, oldest first.
    freed: Vec<FreedPlacement>,
    /// Placements that this leader has freed.
    freed_counts: FreedCounts,
    /// A transaction of which it isn't known whether it was applied: no other ledger transaction
    /// is made before its first entry was read.
    in_doubt: Option<LedgerBatch>,
}

impl PlacementLedger {
    /// The number of each entry, and its placements that are not freed.
    pub(super) fn live_placements(&self) -> impl Iterator<Item = (u64, u32)> {
        self.entries.iter().map(|(id, entry)| (*id, entry.live))
    }

    /// What it holds and what was freed, for the log.
    pub(super) fn summary(&self) -> String {
        let live: u32 = self.entries.values().map(|entry| entry.live).sum();
        format!(
            "ledger {} entries, {live} live, freed {}",
            self.entries.len(),
            self.freed_counts
        )
    }
}

/// Tasks `first..first + n` of one job on one machine, under one attempt.
#[derive(Debug, Clone, PartialEq)]
struct LedgerRow {
    machine: String,
    attempt: u64,
    first_task: u32,
    task_count: u32,
}

/// A placement that was freed, and the entry that holds it.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreedPlacement {
    attempt: u64,
    task_index: u32,
    ledger_entry: u64,
}

/// A ledger transaction on its way, and what it would make durable.
#[derive(Debug)]
pub struct LedgerBatch {
    /// What is to be committed.
    pub txn: Txn,
    /// Its entries, of consecutive numbers: all are written or none.
    entries: Vec<(u64, Vec<LedgerRow>)>,
    /// Entries that it drops.
    dropped_entries: Vec<u64>,
    freed: Vec<FreedPlacement>,
}

impl LedgerBatch {
    /// How many placements it holds.
    fn placements(&self) -> u32 {
        let rows = self.entries.iter().flat_map(|(_, rows)| rows);
        rows.map(|row| row.task_count).sum()
    }

    /// The key that tells whether it was written.
    fn key(&self) -> String {
        keys::ledger(self.entries.first().map_or(0, |e| e.0))
    }
}

/// How much of what is planned on a machine a draft took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DraftedPart {
    /// All of it.
    All,
    /// All but placements of jobs that have to wait.
    AllButWaiting,
    /// What came before the first placement that the transaction has no room for.
    UntilFull,
}

impl Leader {
    /// The guard of every transaction of this leader: none is applied once the leader key changed.
    pub fn leader_guard(&self) -> Guard {
        Guard {
            key: keys::LEADER.into(),
            revision: self.leader_revision,
        }
    }

    /// A placement was freed: the next entry says so.
    pub(super) fn mark_freed(&mut self, p: &Placement, reason: FreeReason) {
        self.ledger.freed_counts.add(reason);
        // One in a transaction without an answer is noted as freed by `record_written`.
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

    /// The next ledger transaction, if placements wait for one or the log can be shortened
    /// for a good reason. None while the last one is in doubt.
    pub fn ledger_batch(&mut self) -> Option<LedgerBatch> {
        if self.ledger.in_doubt.is_some() {
            return None;
        }
        let ops = self.store_limits.txn_changes.max(2);
        let most = self.store_limits.value_bytes.min(limits::TXN_BYTES_MAX);
        // Half of the changes are left for the deletion of old entries.
        let mut draft = Draft::new(most, ops / 2);
        let mut guards = JobGuards::new(self.leader_guard(), ops);
        let freed = self.draft_freed(&mut draft);
        self.draft_planned(&mut draft, &mut guards);
        // What compaction writes again is no reason for a transaction by itself.
        let has_new_placements = draft.rows() > 0;
        let dropped_entries = self.compact_oldest_entries(&mut draft, ops);
        let worthwhile = dropped_entries.len() >= limits::LOG_DROPS_WRITE_THRESHOLD
            || freed.len() >= limits::LOG_FREED_WRITE_THRESHOLD;
        if !has_new_placements && !worthwhile {
            return None;
        }
        Some(self.assemble_batch(draft, guards.into_guards(), dropped_entries, freed))
    }

    /// Adds what was freed. It goes before new placements: a task that is placed again is then
    /// never live in the log twice. Returns the placements that the draft calls freed.
    fn draft_freed(&mut self, draft: &mut Draft) -> Vec<FreedPlacement> {
        let entries = &self.ledger.entries;
        let freed = &mut self.ledger.freed;
        freed.retain(|f| entries.contains_key(&f.ledger_entry));
        let drafted = draft.free(freed);
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

    /// Adds the planned placements of one machine. What the draft takes is in `Writing` from
    /// here on, and nothing else is.
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
            // The last check: nothing of a job starts before all that it needs is known
            // to be done, however it came to be planned.
            let must_wait = job.is_some_and(|job| {
                job.awaiting_dependencies || self.keys_to_reread.contains(&keys::job(&job.spec.id))
            });
            if must_wait {
                part = DraftedPart::AllButWaiting;
                continue;
            }
            if !guards.have_room_for(placement.job, draft) || !draft.add(name, machine, placement) {
                return DraftedPart::UntilFull;
            }
            if let (Some(index), Some(job)) = (placement.job, job) {
                guards.add(index, job, draft);
            }
            machine.placements[index].stage = PlacementStage::Writing;
        }
        part
    }

    /// The transaction of a draft: its entries under new numbers, and the deletion of old ones.
    fn assemble_batch(
        &mut self,
        draft: Draft,
        mut guards: Vec<Guard>,
        dropped_entries: Vec<u64>,
        freed: Vec<FreedPlacement>,
    ) -> LedgerBatch {
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        for page in draft.pages {
            self.ledger.entries_written += 1;
            let id = (self.term << limits::TERM_SHIFT_BITS) | self.ledger.entries_written;
            let key = keys::ledger(id);
            // The key is new: an entry is written once or not at all.
            guards.push(Guard {
                key: key.clone(),
                revision: 0,
            });
            changes.push(Change::Put {
                key,
                value: StoredRecord::PlacementLog(page.value),
                lease: None,
            });
            entries.push((id, page.rows));
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

    /// Number of entries above which what is left of the oldest is written again. It falls as
    /// values get larger, so that a failover reads about as many bytes in each case.
    fn max_entries(&self) -> usize {
        let bytes = limits::LOG_ENTRIES_TARGET * limits::LOG_ENTRY_BYTES;
        let most = bytes / self.store_limits.value_bytes.max(1);
        most.clamp(limits::LOG_ENTRIES_TARGET, limits::LOG_ENTRIES_MAX)
    }

    /// The oldest entries that can be dropped: those without a live placement and, while there
    /// are too many, those whose live placements fit the draft, to which they are added. Of an
    /// entry whose live placements don't all fit, as many as fit are written again, and it
    /// stays. Always from the oldest on: an entry's list of freed placements is about older
    /// entries, so it is needed for as long as those are there.
    fn compact_oldest_entries(&self, draft: &mut Draft, ops: usize) -> Vec<u64> {
        let mut drops: Vec<u64> = Vec::new();
        let mut carried = 0;
        let most = self.max_entries();
        for (id, e) in &self.ledger.entries {
            let used = draft.pages.len() + drops.len();
            if used >= ops
                || drops.len() >= limits::LOG_DROPPED_ENTRIES_MAX.max(2 * draft.pages.len())
            {
                break;
            }
            if e.live > 0 {
                let many = self.ledger.entries.len() + draft.pages.len() - drops.len() > most;
                if !many || carried >= limits::LOG_REWRITTEN_ENTRIES_MAX {
                    break;
                }
                draft.pages_max = ops - drops.len() - 1;
                let mut whole = true;
                'rows: for row in &e.rows {
                    let Some(m) = self.machines.get(&row.machine) else {
                        continue;
                    };
                    let mut held: Vec<&Placement> = m
                        .placements
                        .iter()
                        .filter(|p| row.is_recorded_in(p, *id))
                        .collect();
                    held.sort_by_key(|p| p.task_index);
                    for p in held {
                        if !draft.add(&row.machine, m, p) {
                            whole = false;
                            break 'rows;
                        }
                    }
                }
                if !whole {
                    break;
                }
                carried += 1;
            }
            drops.push(*id);
        }
        drops
    }
}

impl LedgerRow {
    /// Whether the placement is one of the row's tasks under its attempt.
    fn covers(&self, p: &Placement) -> bool {
        p.attempt == self.attempt
            && (self.first_task..self.first_task + self.task_count).contains(&p.task_index)
    }

    /// Whether this row of `entry` is what holds the placement in the ledger.
    fn is_recorded_in(&self, p: &Placement, entry: u64) -> bool {
        p.ledger_entry == entry && p.stage == PlacementStage::Durable && self.covers(p)
    }
}
