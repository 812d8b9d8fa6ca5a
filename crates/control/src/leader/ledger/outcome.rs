//! What became of the ledger's transactions: written, not written, or in doubt until the
//! entry is read.

use super::{Entry, Freed, LedgerBatch};
use crate::leader::*;

impl Leader {
    pub fn ledger_done(&mut self, batch: LedgerBatch, outcome: &Outcome) {
        let own = batch.key();
        match outcome {
            Outcome::Applied(_) => self.written(batch),
            Outcome::Conflict(failed) if !failed.contains(&own) => {
                self.unwritten(batch);
                self.conflict(failed);
            }
            // An outage once left hundreds of keys to be read again, each in doubt
            // for nothing: what the state service refuses it hasn't executed.
            Outcome::Refused => self.unwritten(batch),
            // Reading the entry tells whether it was written. What is in it
            // starts only then, and nothing else is written meanwhile.
            _ => {
                self.reread.insert(own);
                self.doubt = Some(batch);
            }
        }
    }

    fn written(&mut self, batch: LedgerBatch) {
        for (id, rows) in batch.entries {
            let mut entry = Entry::default();
            for row in &rows {
                let m = self.machines.get_mut(&row.machine);
                let mut held: HashSet<u32> = HashSet::new();
                for p in m.into_iter().flat_map(|m| m.placed.iter_mut()) {
                    // What stood in an older entry was written again.
                    let again = p.stage == Stage::Durable && p.entry < id;
                    if (p.stage == Stage::Writing || again) && row.covers(p) {
                        crate::life!(p.id, machine = row.machine, entry = id, "in the ledger");
                        if again && let Some(old) = self.log.get_mut(&p.entry) {
                            old.live = old.live.saturating_sub(1);
                        }
                        p.stage = Stage::Durable;
                        p.entry = id;
                        held.insert(p.task);
                    }
                }
                entry.live += held.len() as u32;
                // Freed while its write was on its way.
                for task in row.first..row.first + row.n {
                    if !held.contains(&task) {
                        self.freed.push(Freed {
                            attempt: row.attempt,
                            task,
                            entry: id,
                        });
                    }
                }
            }
            entry.rows = rows;
            self.log.insert(id, entry);
        }
        for id in &batch.drops {
            self.log.remove(id);
        }
        self.freed.drain(..batch.freed.len().min(self.freed.len()));
    }

    /// What was not written waits for the next round, unless its job is over.
    fn unwritten(&mut self, batch: LedgerBatch) {
        let mut dropped = Vec::new();
        for row in batch.entries.iter().flat_map(|e| &e.1) {
            let Some(m) = self.machines.get_mut(&row.machine) else {
                continue;
            };
            let zone = m.zone.clone();
            m.placed.retain_mut(|p| {
                if p.stage != Stage::Writing || !row.covers(p) {
                    return true;
                }
                p.stage = Stage::Planned;
                let live = !p.over(&self.jobs);
                if !live {
                    dropped.push((p.clone(), zone.clone()));
                }
                live
            });
            self.planned.insert(row.machine.clone());
        }
        for (p, zone) in dropped {
            self.count(&p, &zone, -1.0);
        }
    }

    pub(in crate::leader) fn conflict(&mut self, failed: &[String]) {
        for key in failed {
            if key == keys::LEADER {
                self.deposed = true;
            } else {
                self.reread.insert(key.clone());
            }
        }
    }

    /// A key was read again: `mark` 0 if it is gone.
    pub fn reread_done(&mut self, key: &str, mark: u64) {
        self.reread.remove(key);
        if key.starts_with(keys::LEDGER) {
            if let Some(batch) = self.doubt.take_if(|b| b.key() == key) {
                // Should it still be written after it was read as missing, it
                // holds what the next entry holds too: more caution, no harm.
                if mark > 0 {
                    self.written(batch);
                } else {
                    self.unwritten(batch);
                }
            }
        } else if let Some(id) = key.strip_prefix(keys::JOBS) {
            if mark == 0 {
                self.remove_job(id);
            } else if let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get_mut(no)) {
                job.mark = mark;
            }
        } else if let Some((id, part)) = keys::progress_of(key)
            && let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get_mut(no))
        {
            job.stored.set_mark(part, mark);
        }
    }
}
