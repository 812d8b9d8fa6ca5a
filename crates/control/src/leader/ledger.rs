//! The placement ledger: what may be on a machine, written before it starts.

use super::*;

impl Leader {
    /// Do placements on this machine wait for the ledger?
    pub fn planned(&self, machine: &str) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|m| m.placed.iter().any(|p| p.stage != Stage::Durable))
    }

    pub(super) fn row(p: &Placement) -> LedgerRow {
        LedgerRow {
            t: p.id.clone(),
            a: p.attempt,
            s: p.session,
            team: p.team.clone(),
            cpus: p.cpus,
            gpus: p.gpus,
            mem: p.mem,
        }
    }

    /// Without the leader key unchanged, nothing of this leader is applied.
    pub fn leader_guard(&self) -> Guard {
        Guard {
            key: keys::LEADER.into(),
            version: self.mark,
        }
    }

    /// The next ledger transaction, if placements wait for one.
    pub fn ledger_batch(&mut self) -> Option<LedgerBatch> {
        let mut batch = LedgerBatch {
            txn: Txn::default(),
            rows: Vec::new(),
            drops: Vec::new(),
        };
        batch.txn.guards.push(self.leader_guard());
        let ops = self.settings.state.txn_ops.max(1);
        let mut bytes = 200;
        let mut guarded = HashSet::new();
        for (name, m) in &mut self.machines {
            let planned: Vec<_> = m
                .placed
                .iter()
                .filter(|p| p.stage == Stage::Planned)
                .filter_map(|p| p.job)
                .collect();
            if planned.is_empty() || self.reread.contains(&keys::ledger(name)) {
                continue;
            }
            // 130: the field names of a row and its numbers, in text form.
            bytes += 150
                + m.placed
                    .iter()
                    .map(|p| 130 + p.id.len() + p.team.len())
                    .sum::<usize>()
                + 60 * planned.len();
            let full = batch.txn.changes.len() >= ops
                || batch.txn.guards.len() + planned.len() + 1 > ops * 4
                || bytes > limits::TXN_BYTES;
            if full && !batch.rows.is_empty() {
                break;
            }
            for no in planned {
                if let Some(job) = self.jobs.get(&no)
                    && guarded.insert(no)
                {
                    let key = keys::job(&job.spec.id);
                    batch.txn.guards.push(Guard {
                        key,
                        version: job.mark,
                    });
                }
            }
            let mut attempts = Vec::new();
            for p in &mut m.placed {
                if p.stage == Stage::Planned {
                    p.stage = Stage::Writing;
                    attempts.push(p.attempt);
                }
            }
            let value = LedgerValue {
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                placed: m.placed.iter().map(Self::row).collect(),
            };
            // Without this guard a late transaction of this same leader could
            // bring back an older row and hide a later placement.
            batch.txn.guards.push(Guard {
                key: keys::ledger(name),
                version: m.mark,
            });
            batch.txn.changes.push(Change::Put {
                key: keys::ledger(name),
                value: Value::Ledger(value),
                lease: None,
            });
            batch.rows.push((name.clone(), attempts));
        }
        for (name, mark) in &self.stale_rows {
            if batch.txn.changes.len() >= ops || self.reread.contains(&keys::ledger(name)) {
                break;
            }
            batch.txn.guards.push(Guard {
                key: keys::ledger(name),
                version: *mark,
            });
            batch.txn.changes.push(Change::Delete {
                key: keys::ledger(name),
            });
            batch.drops.push(name.clone());
        }
        (!batch.txn.changes.is_empty()).then_some(batch)
    }

    pub fn ledger_done(&mut self, batch: LedgerBatch, outcome: &Outcome) {
        for (name, attempts) in &batch.rows {
            let Some(m) = self.machines.get_mut(name) else {
                continue;
            };
            let stage = match outcome {
                Outcome::Applied(rev) => {
                    m.mark = *rev;
                    Stage::Durable
                }
                _ => Stage::Planned,
            };
            for p in &mut m.placed {
                if attempts.contains(&p.attempt) && p.stage == Stage::Writing {
                    p.stage = stage;
                }
            }
        }
        match outcome {
            Outcome::Applied(_) => {
                for name in &batch.drops {
                    self.stale_rows.remove(name);
                }
            }
            Outcome::Conflict(failed) => self.conflict(failed),
            Outcome::Unknown => {
                for g in &batch.txn.guards {
                    if g.key.starts_with(keys::LEDGER) {
                        self.reread.insert(g.key.clone());
                    }
                }
            }
        }
        self.orphans();
    }

    /// Placements whose job ended while their write was on its way: what was
    /// not applied is dropped, what was applied is freed by the next report.
    pub(super) fn orphans(&mut self) {
        let mut freed = Vec::new();
        for m in self.machines.values_mut() {
            m.placed.retain(|p| {
                let over = p.job.is_some_and(|no| !self.jobs.contains_key(&no));
                let drop = over && p.stage == Stage::Planned;
                if drop {
                    freed.push((p.clone(), m.zone.clone()));
                }
                !drop
            });
        }
        for (p, zone) in freed {
            self.count(&p, &zone, -1.0);
        }
    }

    pub(super) fn conflict(&mut self, failed: &[String]) {
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
        if let Some(name) = key.strip_prefix(keys::LEDGER) {
            if let Some(m) = self.machines.get_mut(name) {
                m.mark = mark;
            }
            if let Some(row) = self.stale_rows.get_mut(name) {
                *row = mark;
                if mark == 0 {
                    self.stale_rows.remove(name);
                }
            }
        } else if let Some(id) = key.strip_prefix(keys::JOBS) {
            if mark == 0 {
                self.remove_job(id);
            } else if let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get_mut(no)) {
                job.mark = mark;
            }
        } else if let Some(id) = key.strip_prefix(keys::PROGRESS)
            && let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get_mut(no))
        {
            job.progress_mark = mark;
        }
    }
}
