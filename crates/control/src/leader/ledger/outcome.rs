//! Outcomes of ledger transactions: applied, not applied, or in doubt until the entry is read.

use super::{FreedPlacement, LedgerBatch, LedgerEntry};
use crate::leader::*;

impl Leader {
    /// Handles the outcome of a ledger transaction.
    pub fn ledger_batch_done(&mut self, batch: LedgerBatch, outcome: &WriteOutcome) {
        let first_key = batch.key();
        debug!(
            key = first_key,
            entries = batch.entries.len(),
            placements = batch.placements(),
            freed = batch.freed.len(),
            dropped_entries = batch.dropped_entries.len(),
            ?outcome,
            "ledger transaction"
        );
        match outcome {
            WriteOutcome::Applied(_) => self.record_written(batch),
            WriteOutcome::Conflict(failed) if !failed.contains(&first_key) => {
                self.record_unwritten(batch);
                self.note_conflict(failed);
            }
            // A refused transaction is not in doubt: the key-value store has not executed it.
            // Treating refusals as unknown would leave hundreds of keys to be read again after an
            // outage.
            WriteOutcome::Refused => self.record_unwritten(batch),
            // The outcome is unknown, or the conflict is on the transaction's own key, which an
            // earlier try may have written: reading the entry decides. Its placements start only
            // after that, and no other ledger transaction is made meanwhile.
            _ => {
                info!(
                    key = first_key,
                    placements = batch.placements(),
                    "ledger transaction in doubt: its entry is read"
                );
                self.keys_to_reread.insert(first_key);
                self.ledger.in_doubt = Some(batch);
            }
        }
    }

    /// Records that the batch was applied: its placements are durable and may start; the entries
    /// that it drops, and the freed placements that it lists, are removed from memory.
    fn record_written(&mut self, batch: LedgerBatch) {
        for (id, rows) in batch.entries {
            let mut entry = LedgerEntry::default();
            for row in &rows {
                let m = self.machines.get_mut(&row.machine);
                let mut held_tasks: HashSet<u32> = HashSet::new();
                for p in m.into_iter().flat_map(|m| m.placements.iter_mut()) {
                    // A placement of an older entry that this entry holds again.
                    let is_rewritten = p.stage == PlacementStage::Durable && p.ledger_entry < id;
                    if (p.stage != PlacementStage::Durable || is_rewritten) && row.covers(p) {
                        crate::trace_job!(
                            p.task_id,
                            machine = row.machine,
                            entry = id,
                            "written to the ledger"
                        );
                        if is_rewritten
                            && let Some(old) = self.ledger.entries.get_mut(&p.ledger_entry)
                        {
                            old.live = old.live.saturating_sub(1);
                        }
                        p.stage = PlacementStage::Durable;
                        p.ledger_entry = id;
                        held_tasks.insert(p.task_index);
                    }
                }
                entry.live += held_tasks.len() as u32;
                // These placements were freed while their write was in flight.
                for task in row.first_task..row.first_task + row.task_count {
                    if !held_tasks.contains(&task) {
                        self.ledger.freed.push(FreedPlacement {
                            attempt: row.attempt,
                            task_index: task,
                            ledger_entry: id,
                        });
                    }
                }
            }
            entry.rows = rows;
            self.ledger.entries.insert(id, entry);
        }
        for id in &batch.dropped_entries {
            self.ledger.entries.remove(id);
        }
        self.ledger
            .freed
            .drain(..batch.freed.len().min(self.ledger.freed.len()));
    }

    /// Records that the batch was not applied: its placements are planned again, or dropped if
    /// their job is over.
    fn record_unwritten(&mut self, batch: LedgerBatch) {
        let mut dropped = Vec::new();
        for row in batch.entries.iter().flat_map(|e| &e.1) {
            let Some(m) = self.machines.get_mut(&row.machine) else {
                continue;
            };
            let zone = m.zone.clone();
            m.placements.retain_mut(|p| {
                if p.stage != PlacementStage::Writing || !row.covers(p) {
                    return true;
                }
                p.stage = PlacementStage::Planned;
                let is_live = !p.job_is_over(&self.jobs);
                if !is_live {
                    dropped.push((p.clone(), zone.clone()));
                }
                is_live
            });
            self.machines_to_record.insert(row.machine.clone());
        }
        for (p, zone) in dropped {
            self.record_release(&p, &zone);
        }
    }

    /// Handles failed guards on these keys: the leader is deposed if its own key is among them, and
    /// the other keys are to be read again.
    pub(in crate::leader) fn note_conflict(&mut self, failed: &[String]) {
        for key in failed {
            if key == keys::LEADER {
                self.deposed = true;
            } else {
                self.keys_to_reread.insert(key.clone());
            }
        }
    }

    /// Handles the result of reading a key again; `revision` is 0 if the key is gone.
    pub fn reread_done(&mut self, key: &str, revision: u64) {
        self.keys_to_reread.remove(key);
        if key.starts_with(keys::LEDGER) {
            if let Some(batch) = self.ledger.in_doubt.take_if(|b| b.key() == key) {
                info!(
                    key,
                    revision,
                    written = revision > 0,
                    "ledger transaction no longer in doubt"
                );
                // If the transaction is still applied after its entry was read as missing, it only
                // repeats what the next entry holds: a new leader then counts placements that may
                // not exist, and frees them on proof as usual.
                if revision > 0 {
                    self.record_written(batch);
                } else {
                    self.record_unwritten(batch);
                }
            }
        } else if let Some(id) = keys::job_of(key) {
            if revision == 0 {
                self.remove_job(id);
            } else if let Some(job) = self.jobs.by_id_mut(id) {
                job.revision = revision;
            }
        } else if let Some((id, part)) = keys::progress_of(key)
            && let Some(job) = self.jobs.by_id_mut(id)
        {
            job.stored_progress.set_revision(part, revision);
        }
    }
}
