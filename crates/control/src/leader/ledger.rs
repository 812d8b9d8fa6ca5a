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
use cherrywood_wire::parts::size;
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
    /// Its entries, of consecutive numbers: all are written or none.
    entries: Vec<(u64, Vec<Row>)>,
    /// Entries that it drops.
    drops: Vec<u64>,
    freed: Vec<Freed>,
}

impl LedgerBatch {
    /// The key that tells whether it was written.
    fn key(&self) -> String {
        keys::ledger(self.entries.first().map_or(0, |e| e.0))
    }
}

/// An entry being put together.
#[derive(Default)]
struct Page {
    value: LogValue,
    rows: Vec<Row>,
    bytes: usize,
}

/// Entries being put together, each within the size of a value.
struct Draft {
    pages: Vec<Page>,
    /// Bytes of one entry, and of all; entries.
    most: usize,
    left: usize,
    pages_max: usize,
}

impl Draft {
    fn new(most: usize, pages_max: usize) -> Draft {
        Draft {
            pages: vec![Page::default()],
            most: most.saturating_sub(limits::ENTRY_AROUND),
            left: limits::TXN_BYTES,
            pages_max: pages_max.max(1),
        }
    }

    /// The page that takes so many bytes more, a new one if the last is full; None if
    /// the transaction is full.
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

    /// Adds what was freed, as far as there is room; returns how many.
    fn free(&mut self, freed: &[Freed]) -> usize {
        let half = self.left / 2;
        for (n, f) in freed.iter().enumerate() {
            let row = (f.attempt, f.task);
            let bytes = size(&row) + 1;
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

    /// Adds one placement; neighbours under one attempt share a row. False if the
    /// transaction is full.
    fn add(&mut self, machine: &str, m: &Machine, p: &Placement) -> bool {
        let id = split_task(&p.id).map_or("", |(job, _)| job);
        if let Some(page) = self.pages.last_mut() {
            let joined = page
                .rows
                .last_mut()
                .filter(|r| r.machine == machine && r.attempt == p.attempt)
                .filter(|r| r.first + r.n == p.task);
            if let (Some(row), Some(LogRow(.., n))) = (joined, page.value.rows.last_mut()) {
                row.n += 1;
                *n += 1;
                return true;
            }
        }
        let place = LogPlace {
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
        };
        let job = LogJob {
            id: id.to_string(),
            team: p.team.clone(),
            cpus: p.cpus,
            gpus: p.gpus,
            mem: p.mem,
        };
        let row = LogRow(
            machine.to_string(),
            usize::from(u16::MAX),
            p.session,
            usize::from(u16::MAX),
            p.attempt,
            p.task,
            p.task,
        );
        let (of_place, of_job, of_row) = (size(&place) + 1, size(&job) + 1, size(&row) + 3);
        // Where the last page has its job and place already, a row is all it takes.
        let known = self.pages.last().map_or((false, false), |page| {
            let jobs = page.value.jobs.iter().any(|j| j.id == id);
            (page.value.places.contains(&place), jobs)
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
        let at = v.places.iter().position(|l| *l == place);
        let at = at.unwrap_or_else(|| {
            v.places.push(place);
            v.places.len() - 1
        });
        let no = v.jobs.iter().position(|j| j.id == id);
        let no = no.unwrap_or_else(|| {
            v.jobs.push(job);
            v.jobs.len() - 1
        });
        v.rows
            .push(LogRow(row.0, at, p.session, no, p.attempt, p.task, 1));
        page.rows.push(Row {
            machine: machine.to_string(),
            attempt: p.attempt,
            first: p.task,
            n: 1,
        });
        page.bytes += bytes;
        self.left = self.left.saturating_sub(bytes);
        true
    }

    fn rows(&self) -> usize {
        self.pages.iter().map(|p| p.rows.len()).sum()
    }
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
        let ops = self.kept.ops.max(2);
        let most = self.kept.value.min(limits::TXN_BYTES);
        // Half of the changes are for entries that go.
        let mut draft = Draft::new(most, ops / 2);
        let mut guards = vec![self.leader_guard()];
        let mut guarded = HashSet::new();
        // What was freed goes first: a task that is placed again is then
        // never in the log twice.
        let log = &self.log;
        self.freed.retain(|f| log.contains_key(&f.entry));
        let said = draft.free(&self.freed);
        let freed: Vec<Freed> = self.freed[..said].to_vec();
        let mut full = false;
        for name in self.planned.clone() {
            let Some(m) = self.machines.get_mut(&name) else {
                self.planned.remove(&name);
                continue;
            };
            let mut written = Vec::new();
            let mut left = false;
            for (at, p) in m.placed.iter().enumerate() {
                if p.stage != Stage::Planned {
                    continue;
                }
                let job = p.job.and_then(|no| self.jobs.get(&no));
                // The last gate: nothing of a job starts before all that it needs is
                // known to be done, however it came to be planned.
                let wait =
                    job.is_some_and(|j| j.waits || self.reread.contains(&keys::job(&j.spec.id)));
                // A guard is a key and a mark of its own.
                let new = p.job.filter(|no| !guarded.contains(no));
                let room = new.is_none()
                    || guards.len() + ops / 2 + 1 < ops * 4 && draft.left > limits::GUARD_BYTES;
                full |= !wait && (!room || !draft.add(&name, m, p));
                if wait || full {
                    left = true;
                    continue;
                }
                if let (Some(no), Some(job)) = (new, job) {
                    guarded.insert(no);
                    draft.left = draft.left.saturating_sub(limits::GUARD_BYTES);
                    guards.push(Guard {
                        key: keys::job(&job.spec.id),
                        version: job.mark,
                    });
                }
                written.push(at);
            }
            for at in written {
                m.placed[at].stage = Stage::Writing;
            }
            if !left {
                self.planned.remove(&name);
            }
            if full {
                break;
            }
        }
        let new = draft.rows() > 0;
        let drops = self.shorten(&mut draft, ops);
        let worth = drops.len() >= limits::LOG_DROP_ALONE || freed.len() >= limits::LOG_FREED_ALONE;
        if !new && !worth {
            return None;
        }
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        for page in draft.pages {
            self.entries += 1;
            let id = (self.epoch << limits::EPOCH_SHIFT) | self.entries;
            let key = keys::ledger(id);
            // The key is new: an entry is written once or not at all.
            guards.push(Guard {
                key: key.clone(),
                version: 0,
            });
            changes.push(Change::Put {
                key,
                value: Value::Log(page.value),
                lease: None,
            });
            entries.push((id, page.rows));
        }
        changes.extend(drops.iter().map(|id| Change::Delete {
            key: keys::ledger(*id),
        }));
        Some(LedgerBatch {
            txn: Txn { guards, changes },
            entries,
            drops,
            freed,
        })
    }

    /// Entries above which the oldest are written again: as many bytes to read in a
    /// takeover whatever the size of a value.
    fn entries_max(&self) -> usize {
        let bytes = limits::LOG_ENTRIES * limits::LOG_ENTRY_BYTES;
        let most = bytes / self.kept.value.max(1);
        most.clamp(limits::LOG_ENTRIES, limits::LOG_ENTRIES_MOST)
    }

    /// The oldest entries that can go: those with nothing left on a machine,
    /// and, while there are too many, those whose rest fits the draft; of one whose
    /// rest doesn't, as much as fits is written again and the others stay.
    /// Always from the oldest on: an entry's list of freed placements counts
    /// for older ones.
    fn shorten(&self, draft: &mut Draft, ops: usize) -> Vec<u64> {
        let mut drops: Vec<u64> = Vec::new();
        let mut carried = 0;
        let most = self.entries_max();
        for (id, e) in &self.log {
            let used = draft.pages.len() + drops.len();
            if used >= ops || drops.len() >= limits::LOG_DROPS.max(2 * draft.pages.len()) {
                break;
            }
            if e.live > 0 {
                let many = self.log.len() + draft.pages.len() - drops.len() > most;
                if !many || carried >= limits::LOG_CARRIED {
                    break;
                }
                draft.pages_max = ops - drops.len() - 1;
                let mut whole = true;
                'rows: for row in &e.rows {
                    let Some(m) = self.machines.get(&row.machine) else {
                        continue;
                    };
                    let mut held: Vec<&Placement> =
                        m.placed.iter().filter(|p| row.holds(p, *id)).collect();
                    held.sort_by_key(|p| p.task);
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

impl Row {
    fn covers(&self, p: &Placement) -> bool {
        p.attempt == self.attempt && (self.first..self.first + self.n).contains(&p.task)
    }

    fn holds(&self, p: &Placement, entry: u64) -> bool {
        p.entry == entry && p.stage == Stage::Durable && self.covers(p)
    }
}
