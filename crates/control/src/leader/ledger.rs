//! The placement ledger: what may be on a machine, written before it starts.
//!
//! It is a log. An entry holds the placements of one round, grouped, and which
//! earlier placements were freed since the last one; it is written once under
//! a key of its own and never changed. The oldest entries are dropped once
//! nothing in them is on a machine; where a few of their placements are left,
//! these are written again in the newest entry, in the transaction that drops
//! the old one. So a round costs about two changes, however many machines
//! there are, and no late write can hide another.

use super::*;
use cherrywood_wire::state::{LogJob, LogPlace, LogRow, LogValue};

/// An entry in the state service.
#[derive(Debug, Default)]
pub(super) struct Entry {
    rows: Vec<Row>,
    /// Its placements that are not freed.
    pub(super) live: u32,
}

/// Tasks `first..first + n` of one job on one machine, under one attempt.
#[derive(Debug, Clone, PartialEq)]
struct Row {
    machine: String,
    attempt: u64,
    first: u32,
    n: u32,
}

/// A placement that is off its machine, and the entry that holds it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Freed {
    attempt: u64,
    task: u32,
    entry: u64,
}

/// A ledger transaction on its way, and what it would make durable.
#[derive(Debug)]
pub struct LedgerBatch {
    pub txn: Txn,
    id: u64,
    rows: Vec<Row>,
    /// Entries that it drops.
    drops: Vec<u64>,
    freed: Vec<Freed>,
}

/// An entry being put together.
#[derive(Default)]
struct Draft {
    value: LogValue,
    rows: Vec<Row>,
    bytes: usize,
}

impl Draft {
    /// Adds one placement; neighbours under one attempt share a row.
    fn add(&mut self, machine: &str, m: &Machine, p: &Placement) {
        let id = split_task(&p.id).map_or("", |(job, _)| job);
        let joined = self
            .rows
            .last_mut()
            .filter(|r| r.machine == machine && r.attempt == p.attempt)
            .filter(|r| r.first + r.n == p.task);
        if let (Some(row), Some(LogRow(.., n))) = (joined, self.value.rows.last_mut()) {
            row.n += 1;
            *n += 1;
            return;
        }
        let v = &mut self.value;
        let place = v
            .places
            .iter()
            .position(|l| l.kind == m.kind && l.zone == m.zone && l.spot == m.spot);
        let place = place.unwrap_or_else(|| {
            self.bytes += 50 + m.kind.len() + m.zone.len();
            v.places.push(LogPlace {
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
            });
            v.places.len() - 1
        });
        let job = v.jobs.iter().position(|j| j.id == id);
        let job = job.unwrap_or_else(|| {
            self.bytes += 120 + id.len() + p.team.len();
            v.jobs.push(LogJob {
                id: id.to_string(),
                team: p.team.clone(),
                cpus: p.cpus,
                gpus: p.gpus,
                mem: p.mem,
            });
            v.jobs.len() - 1
        });
        // Six numbers in text form, and the machine's name.
        self.bytes += 60 + machine.len();
        v.rows.push(LogRow(
            machine.to_string(),
            place,
            p.session,
            job,
            p.attempt,
            p.task,
            1,
        ));
        self.rows.push(Row {
            machine: machine.to_string(),
            attempt: p.attempt,
            first: p.task,
            n: 1,
        });
    }
}

/// Groups of neighbouring tasks under one attempt, and the most bytes that
/// their rows can take, with a job and a place of their own each.
fn groups(machine: &str, m: &Machine, placed: &[&Placement]) -> (usize, usize) {
    let (mut n, mut bytes) = (0, 0);
    let mut last: Option<(u64, u32)> = None;
    for p in placed {
        if last.is_none_or(|l| l != (p.attempt, p.task.wrapping_sub(1))) {
            n += 1;
            let names = machine.len() + m.kind.len() + m.zone.len() + p.id.len() + p.team.len();
            bytes += 240 + names;
        }
        last = Some((p.attempt, p.task));
    }
    (n, bytes)
}

impl Leader {
    /// Without the leader key unchanged, nothing of this leader is applied.
    pub fn leader_guard(&self) -> Guard {
        Guard {
            key: keys::LEADER.into(),
            version: self.mark,
        }
    }

    /// Reads the log, oldest entry first: what stands in it and was not freed.
    pub(super) fn inherit_ledger(
        &mut self,
        entries: Vec<(u64, LogValue)>,
        overlap_s: f64,
        now: f64,
    ) {
        let freed: HashSet<(u64, u32)> = entries
            .iter()
            .flat_map(|(_, v)| v.freed.iter().copied())
            .collect();
        // A placement that was written again stands in its newest entry only.
        let mut newest: HashMap<(u64, u32), u64> = HashMap::new();
        for (id, v) in &entries {
            for LogRow(_, _, _, _, attempt, first, n) in &v.rows {
                for task in *first..first.saturating_add(*n) {
                    newest.insert((*attempt, task), *id);
                }
            }
        }
        for (id, v) in entries {
            let mut entry = Entry::default();
            for LogRow(name, place, session, job, attempt, first, n) in v.rows {
                entry.rows.push(Row {
                    machine: name.clone(),
                    attempt,
                    first,
                    n,
                });
                let (Some(place), Some(job)) = (v.places.get(place), v.jobs.get(job)) else {
                    continue;
                };
                for task in first..first.saturating_add(n) {
                    let here = newest.get(&(attempt, task)) == Some(&id);
                    if !here || freed.contains(&(attempt, task)) {
                        continue;
                    }
                    entry.live += 1;
                    let no = self.ids.get(&job.id).copied();
                    let image = no.and_then(|no| self.jobs.get(&no)).map_or(0, |j| j.image);
                    let p = Placement {
                        id: format!("{}/{task}", job.id),
                        job: no,
                        task,
                        attempt,
                        session,
                        stage: Stage::Durable,
                        entry: id,
                        inherited: true,
                        sent_seq: None,
                        sent: 0,
                        seen: false,
                        running: false,
                        run_since: now,
                        image,
                        team: job.team.clone(),
                        cpus: job.cpus,
                        gpus: job.gpus,
                        mem: job.mem,
                        fill: no.and_then(|no| self.jobs.get(&no)).is_some_and(|j| j.fill),
                        stop: Stop::No,
                    };
                    self.count(&p, &place.zone, 1.0);
                    if !self.machines.contains_key(&name) {
                        let mut m = self.machine(&place.kind, &place.zone, place.spot, now);
                        m.known = true;
                        m.images = self.recall(&name, now);
                        // The last leader's grants may run on until its time
                        // was over.
                        m.granted_until = now + overlap_s + self.timing.grant_bound_s();
                        self.machines.insert(name.clone(), m);
                    }
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.session = m.session.max(session);
                        m.placed.push(p);
                    }
                }
            }
            self.log.insert(id, entry);
        }
    }

    /// A placement is off its machine: the next entry says so.
    pub(super) fn strike(&mut self, p: &Placement) {
        // One that is being written is struck when the write is known.
        if p.entry == 0 {
            return;
        }
        if let Some(e) = self.log.get_mut(&p.entry) {
            e.live = e.live.saturating_sub(1);
        }
        self.freed.push(Freed {
            attempt: p.attempt,
            task: p.task,
            entry: p.entry,
        });
    }

    /// The next ledger transaction, if placements wait for one or the log can
    /// be shortened for a good reason.
    pub fn ledger_batch(&mut self) -> Option<LedgerBatch> {
        if self.doubt.is_some() {
            return None;
        }
        let most = (self.settings.state.value_kb * 1024.0) as usize;
        let most = most.min(limits::TXN_BYTES).saturating_sub(1024);
        let ops = self.settings.state.txn_ops.max(2);
        let mut draft = Draft::default();
        let mut guards = vec![self.leader_guard()];
        let mut guarded = HashSet::new();
        // What was freed goes first: a task that is placed again is then
        // never in the log twice.
        let log = &self.log;
        self.freed.retain(|f| log.contains_key(&f.entry));
        let freed: Vec<Freed> = self.freed.iter().copied().take(most / 2 / 30).collect();
        draft.bytes += freed.len() * 30;
        draft.value.freed = freed.iter().map(|f| (f.attempt, f.task)).collect();
        for name in self.planned.clone() {
            let Some(m) = self.machines.get_mut(&name) else {
                self.planned.remove(&name);
                continue;
            };
            let wait = |p: &Placement| {
                p.job
                    .and_then(|no| self.jobs.get(&no))
                    .is_some_and(|j| self.reread.contains(&keys::job(&j.spec.id)))
            };
            let planned: Vec<&Placement> = m
                .placed
                .iter()
                .filter(|p| p.stage == Stage::Planned && !wait(p))
                .collect();
            if planned.is_empty() {
                if !m.placed.iter().any(|p| p.stage == Stage::Planned) {
                    self.planned.remove(&name);
                }
                continue;
            }
            // A guard is a key and a mark of its own.
            let (jobs, bytes) = groups(&name, m, &planned);
            let full = draft.bytes + 60 * (guards.len() + jobs) + bytes > most
                || guards.len() + jobs + 1 > ops * 4;
            if full && !draft.rows.is_empty() {
                break;
            }
            for p in planned {
                if let Some(no) = p.job
                    && let Some(job) = self.jobs.get(&no)
                    && guarded.insert(no)
                {
                    guards.push(Guard {
                        key: keys::job(&job.spec.id),
                        version: job.mark,
                    });
                }
                draft.add(&name, m, p);
            }
            let mut left = false;
            for p in m.placed.iter_mut() {
                if p.stage == Stage::Planned {
                    if wait(p) {
                        left = true;
                    } else {
                        p.stage = Stage::Writing;
                    }
                }
            }
            if !left {
                self.planned.remove(&name);
            }
        }
        let new = !draft.rows.is_empty();
        let drops = self.shorten(&mut draft, most, ops - 1);
        let worth = drops.len() >= limits::LOG_DROP_ALONE || freed.len() >= limits::LOG_FREED_ALONE;
        if !new && !worth {
            return None;
        }
        self.entries += 1;
        let id = (self.epoch << limits::EPOCH_SHIFT) | self.entries;
        let key = keys::ledger(id);
        // The key is new: an entry is written once or not at all.
        guards.push(Guard {
            key: key.clone(),
            version: 0,
        });
        let mut changes = vec![Change::Put {
            key,
            value: Value::Log(draft.value),
            lease: None,
        }];
        changes.extend(drops.iter().map(|id| Change::Delete {
            key: keys::ledger(*id),
        }));
        Some(LedgerBatch {
            txn: Txn { guards, changes },
            id,
            rows: draft.rows,
            drops,
            freed,
        })
    }

    /// The oldest entries that can go: those with nothing left on a machine,
    /// and, while there are too many, those whose rest fits the draft.
    /// Always from the oldest on: an entry's list of freed placements counts
    /// for older ones.
    fn shorten(&self, draft: &mut Draft, most: usize, ops: usize) -> Vec<u64> {
        let mut drops = Vec::new();
        let mut carried = 0;
        for (id, e) in &self.log {
            if drops.len() >= limits::LOG_DROPS.min(ops) {
                break;
            }
            if e.live > 0 {
                if self.log.len() - drops.len() <= limits::LOG_ENTRIES
                    || carried >= limits::LOG_CARRIED
                {
                    break;
                }
                let mut rest = Vec::new();
                let mut bytes = 0;
                for row in &e.rows {
                    let Some(m) = self.machines.get(&row.machine) else {
                        continue;
                    };
                    let mut held: Vec<&Placement> =
                        m.placed.iter().filter(|p| row.holds(p, *id)).collect();
                    held.sort_by_key(|p| p.task);
                    bytes += groups(&row.machine, m, &held).1;
                    rest.extend(held.into_iter().map(|p| (&row.machine, m, p)));
                }
                if draft.bytes + bytes > most {
                    break;
                }
                for (name, m, p) in rest {
                    draft.add(name, m, p);
                }
                carried += 1;
            }
            drops.push(*id);
        }
        drops
    }

    pub fn ledger_done(&mut self, batch: LedgerBatch, outcome: &Outcome) {
        let own = keys::ledger(batch.id);
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
        let mut entry = Entry::default();
        for row in &batch.rows {
            let m = self.machines.get_mut(&row.machine);
            let mut held: HashSet<u32> = HashSet::new();
            for p in m.into_iter().flat_map(|m| m.placed.iter_mut()) {
                let ours = p.stage == Stage::Writing || batch.drops.contains(&p.entry);
                if ours && row.covers(p) {
                    crate::life!(
                        p.id,
                        machine = row.machine,
                        entry = batch.id,
                        "in the ledger"
                    );
                    p.stage = Stage::Durable;
                    p.entry = batch.id;
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
                        entry: batch.id,
                    });
                }
            }
        }
        entry.rows = batch.rows;
        for id in &batch.drops {
            self.log.remove(id);
        }
        self.freed.drain(..batch.freed.len().min(self.freed.len()));
        self.log.insert(batch.id, entry);
    }

    /// What was not written waits for the next round, unless its job is over.
    fn unwritten(&mut self, batch: LedgerBatch) {
        let mut dropped = Vec::new();
        for row in &batch.rows {
            let Some(m) = self.machines.get_mut(&row.machine) else {
                continue;
            };
            let zone = m.zone.clone();
            m.placed.retain_mut(|p| {
                if p.stage != Stage::Writing || !row.covers(p) {
                    return true;
                }
                p.stage = Stage::Planned;
                let live = p.job.is_some_and(|no| self.jobs.contains_key(&no));
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
        if key.starts_with(keys::LEDGER) {
            if let Some(batch) = self.doubt.take_if(|b| keys::ledger(b.id) == key) {
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
        } else if let Some(id) = key.strip_prefix(keys::PROGRESS)
            && let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get_mut(no))
        {
            job.progress_mark = mark;
        }
    }
}

impl Row {
    fn covers(&self, p: &Placement) -> bool {
        p.attempt == self.attempt && (self.first..self.first + self.n).contains(&p.task)
    }

    fn holds(&self, p: &Placement, entry: u64) -> bool {
        p.entry == entry && p.stage == Stage::Durable && self.covers(p)
    }
}
