//! The leading controller: job store, placement ledger, grants, queue, fleet.
//!
//! Everything here is a cache of the state service plus what workers report.
//! The invariant that the rules hang on: a task has at most one placement
//! that has not been freed on proof, and a placement is in the state service
//! before its `start` leaves this process.

use crate::bitmap::Bitmap;
use crate::keys;
use crate::{Settings, Timing};
use cherrywood_limits as limits;
use cherrywood_sched::fleet::{Demand, Offer, Waiting, shop};
use cherrywood_sched::place::{View, cost};
use cherrywood_sched::{Predictor, Queue};
use cherrywood_wire::agent::{Command, Orders, Report, TaskState, Why};
use cherrywood_wire::cloud::{Listed, ListedState, MachineType, Rent};
use cherrywood_wire::state::{
    Change, FinalValue, Guard, HistogramsValue, JobValue, LedgerRow, LedgerValue, ProgressValue,
    Txn, Value,
};
use cherrywood_wire::user::{JobState, Kind, Priority, Submission, split_task};
use std::collections::{BTreeMap, HashMap, HashSet};
use tracing::info;

type JobNo = u32;

#[derive(Debug)]
struct Job {
    spec: Submission,
    key: String,
    /// When it was accepted, on this leader's clock.
    born: f64,
    mark: u64,
    done: Bitmap,
    /// What the state service has of `done`.
    durable: Bitmap,
    progress_mark: u64,
    writing: bool,
    placed: u32,
    /// Placements not yet freed, by task. Rows of the ledger that an earlier
    /// leader freed in memory only are among them, so there may be several.
    on: HashMap<u32, u32>,
    running: u32,
    zones: HashMap<String, u32>,
    /// Machines on which it failed, and the pause that followed.
    failed_on: HashSet<String>,
    failures: u32,
    retry_at: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Not yet in the ledger.
    Planned,
    /// In a ledger transaction that has no answer yet.
    Writing,
    /// In the ledger: its start may be sent.
    Durable,
}

/// How tasks of one standing are served, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// Jobs about to miss an aim that they can still meet, least slack first.
    Due,
    /// By the level clocks, those whose image is on a machine with room.
    Hot,
    /// By the level clocks.
    Any,
}

#[derive(Debug, Clone)]
struct Placement {
    id: String,
    job: Option<JobNo>,
    task: u32,
    attempt: u64,
    session: u64,
    stage: Stage,
    /// From an earlier leader: its start is never sent again.
    inherited: bool,
    sent_seq: Option<u64>,
    sent: u32,
    seen: bool,
    running: bool,
    run_since: f64,
    image: String,
    team: String,
    cpus: f64,
    gpus: f64,
    mem: f64,
    stopping: bool,
}

#[derive(Debug)]
struct Image {
    name: String,
    gb: f64,
    ready_at: f64,
    used: f64,
}

#[derive(Debug)]
struct Machine {
    kind: String,
    zone: String,
    spot: bool,
    /// Its worker has reported to this leader.
    up: bool,
    session: u64,
    seq: u64,
    holder: String,
    token: u64,
    /// When every grant ever given for it has expired.
    granted_until: f64,
    heard: f64,
    born: f64,
    listed_at: Option<f64>,
    notice: Option<f64>,
    /// When the notice said that it would be taken.
    taken_at: Option<f64>,
    addr: String,
    /// Until when a report is being answered: starts go with the answer.
    answering: f64,
    /// Attempts whose direct start has no answer yet. They are not forgotten:
    /// the start could arrive after the forget and run the task again.
    open_orders: HashSet<u64>,
    placed: Vec<Placement>,
    mark: u64,
    images: Vec<Image>,
    idle_since: f64,
    /// Nothing more is placed here: a notice, or a machine that fails tasks.
    draining: bool,
    /// Being emptied because the others have room; undone when work waits.
    retiring: bool,
    deleting: bool,
    sick_jobs: HashSet<String>,
    sick_streak: u32,
}

impl Machine {
    fn used(&self) -> (f64, f64, f64) {
        self.placed.iter().fold((0.0, 0.0, 0.0), |u, p| {
            (u.0 + p.cpus, u.1 + p.gpus, u.2 + p.mem)
        })
    }
}

/// A ledger transaction on its way, and what it would make durable.
#[derive(Debug)]
pub struct LedgerBatch {
    pub txn: Txn,
    rows: Vec<(String, Vec<u64>)>,
    drops: Vec<String>,
}

/// A job transaction on its way: progress, or the final state.
#[derive(Debug)]
pub struct JobBatch {
    pub txn: Txn,
    progress: Vec<(JobNo, Bitmap)>,
    finals: Vec<JobNo>,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Applied at this revision.
    Applied(u64),
    /// Not applied, because these keys had changed.
    Conflict(Vec<String>),
    /// Certainly not applied, or it can't be known: write again.
    Unknown,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    Rent(Rent),
    Delete(Vec<String>),
}

#[derive(Debug)]
pub struct Leader {
    epoch: u64,
    mark: u64,
    counter: u64,
    rent_counter: u64,
    settings: Settings,
    pub timing: Timing,
    since: f64,
    /// Time of day less this leader's clock, s.
    wall_offset: f64,
    types: Vec<MachineType>,
    jobs: HashMap<JobNo, Job>,
    ids: HashMap<String, JobNo>,
    next_job: JobNo,
    machines: BTreeMap<String, Machine>,
    /// Machines deleted for certain; reports in their name are late.
    gone: HashMap<String, f64>,
    /// Ledger rows to drop: machine and the row's mark.
    stale_rows: HashMap<String, u64>,
    usage: HashMap<String, (f64, f64)>,
    queue: Queue<JobNo>,
    delayed: Vec<(f64, JobNo, u32)>,
    predictor: Predictor,
    refused: HashMap<(String, String, bool), f64>,
    /// CPUs wanted, averaged over a longer and a shorter time, and when.
    wanted: Option<(f64, f64, f64)>,
    /// Keys whose marks must be read again.
    pub reread: HashSet<String>,
    pub deposed: bool,
    /// Operators' wish: no machine at the full price.
    pub cheap_only: bool,
}

/// What a new leader reads before it acts.
#[derive(Debug, Default)]
pub struct Inheritance {
    /// Time of day, ms.
    pub wall_ms: u64,
    pub jobs: Vec<(JobValue, u64)>,
    pub progress: Vec<(String, ProgressValue, u64)>,
    pub ledger: Vec<(String, LedgerValue, u64)>,
    pub histograms: Option<HistogramsValue>,
}

impl Leader {
    pub fn new(
        epoch: u64,
        mark: u64,
        settings: Settings,
        types: Vec<MachineType>,
        from: Inheritance,
        now: f64,
    ) -> Leader {
        let timing = Timing::new(settings.workers.lease_s, settings.workers.cancel_s);
        let predictor = match &from.histograms {
            Some(h) => Predictor::restore(&h.pooled, &h.keys, now),
            None => Predictor::new(),
        };
        let mut leader = Leader {
            epoch,
            mark,
            counter: 0,
            rent_counter: 0,
            settings,
            timing,
            since: now,
            wall_offset: from.wall_ms as f64 / 1000.0 - now,
            types,
            jobs: HashMap::new(),
            ids: HashMap::new(),
            next_job: 0,
            machines: BTreeMap::new(),
            gone: HashMap::new(),
            stale_rows: HashMap::new(),
            usage: HashMap::new(),
            queue: Queue::new(),
            delayed: Vec::new(),
            predictor,
            refused: HashMap::new(),
            wanted: None,
            reread: HashSet::new(),
            deposed: false,
            cheap_only: false,
        };
        leader.inherit(from, now);
        leader
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    fn unique(&mut self) -> u64 {
        self.counter += 1;
        (self.epoch << limits::EPOCH_SHIFT) | self.counter
    }

    fn inherit(&mut self, from: Inheritance, now: f64) {
        let mut progress: HashMap<String, (ProgressValue, u64)> = from
            .progress
            .into_iter()
            .map(|(id, v, m)| (id, (v, m)))
            .collect();
        // Where each task may be, before any job's tasks are queued.
        let mut placed: HashMap<String, HashSet<u32>> = HashMap::new();
        for (_, v, _) in &from.ledger {
            for row in &v.placed {
                if let Some((job, n)) = split_task(&row.t) {
                    placed.entry(job.to_string()).or_default().insert(n);
                }
            }
        }
        let mut jobs = from.jobs;
        jobs.sort_by_key(|(v, _)| v.at_ms);
        for (value, mark) in jobs {
            let id = value.job.id.clone();
            let saved = progress.remove(&id);
            self.enter(value, mark, saved, placed.get(&id), now);
        }
        for (name, value, mark) in from.ledger {
            let mut machine = self.machine(&value.kind, &value.zone, value.spot, now);
            machine.mark = mark;
            machine.heard = now;
            // The last leader's grants may run on until its time was over.
            machine.granted_until = now + self.timing.grant_bound_s();
            for row in value.placed {
                let Some((job, task)) = split_task(&row.t) else {
                    continue;
                };
                let no = self.ids.get(job).copied();
                let image = no
                    .and_then(|n| self.jobs.get(&n))
                    .map(|j| j.spec.image.clone())
                    .unwrap_or_default();
                machine.placed.push(Placement {
                    id: row.t.clone(),
                    job: no,
                    task,
                    attempt: row.a,
                    session: row.s,
                    stage: Stage::Durable,
                    inherited: true,
                    sent_seq: None,
                    sent: 0,
                    seen: false,
                    running: false,
                    run_since: now,
                    image,
                    team: row.team,
                    cpus: row.cpus,
                    gpus: row.gpus,
                    mem: row.mem,
                    stopping: false,
                });
                machine.session = machine.session.max(row.s);
            }
            for p in machine.placed.clone() {
                self.count(&p, &value.zone, 1.0);
            }
            self.machines.insert(name, machine);
        }
    }

    fn machine(&self, kind: &str, zone: &str, spot: bool, now: f64) -> Machine {
        Machine {
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
            up: false,
            session: 0,
            seq: 0,
            holder: String::new(),
            token: 0,
            granted_until: 0.0,
            heard: now,
            born: now,
            listed_at: None,
            notice: None,
            taken_at: None,
            addr: String::new(),
            answering: 0.0,
            open_orders: HashSet::new(),
            placed: Vec::new(),
            mark: 0,
            images: Vec::new(),
            idle_since: now,
            draining: false,
            retiring: false,
            deleting: false,
            sick_jobs: HashSet::new(),
            sick_streak: 0,
        }
    }

    // --- jobs ---

    fn enter(
        &mut self,
        value: JobValue,
        mark: u64,
        saved: Option<(ProgressValue, u64)>,
        placed: Option<&HashSet<u32>>,
        now: f64,
    ) {
        let spec = value.job;
        let (done, progress_mark) = match saved {
            Some((p, m)) => (Bitmap::from_text(&p.finished, spec.tasks), m),
            None => (Bitmap::default(), 0),
        };
        let no = self.next_job;
        self.next_job += 1;
        let key = spec.key();
        let level = self.predictor.level(&key, now);
        // Runs of tasks that are neither finished nor on a machine.
        let mut first = None;
        for n in 0..=spec.tasks {
            let free = n < spec.tasks && !done.get(n) && !placed.is_some_and(|p| p.contains(&n));
            match (free, first) {
                (true, None) => first = Some(n),
                (false, Some(f)) => {
                    self.queue.push(level, no, f, n, now);
                    first = None;
                }
                _ => {}
            }
        }
        self.ids.insert(spec.id.clone(), no);
        self.jobs.insert(
            no,
            Job {
                key,
                born: (value.at_ms as f64 / 1000.0 - self.wall_offset).min(now),
                mark,
                durable: done.clone(),
                done,
                progress_mark,
                writing: false,
                placed: 0,
                on: HashMap::new(),
                running: 0,
                zones: HashMap::new(),
                failed_on: HashSet::new(),
                failures: 0,
                retry_at: 0.0,
                spec,
            },
        );
    }

    /// The state service holds this live job.
    pub fn add_job(&mut self, value: JobValue, mark: u64, now: f64) {
        match self.ids.get(&value.job.id) {
            Some(no) => {
                if let Some(job) = self.jobs.get_mut(no) {
                    job.mark = mark;
                }
            }
            None => {
                // Rows may still name tasks of a job that was taken for ended:
                // they are where the ledger says, not waiting.
                let id = value.job.id.clone();
                let own = |p: &Placement| split_task(&p.id).is_some_and(|(j, _)| j == id);
                let there: HashSet<u32> = self
                    .machines
                    .values()
                    .flat_map(|m| &m.placed)
                    .filter(|p| own(p))
                    .map(|p| p.task)
                    .collect();
                self.enter(value, mark, None, Some(&there), now);
                let no = self.next_job - 1;
                let Some(job) = self.jobs.get_mut(&no) else {
                    return;
                };
                for m in self.machines.values_mut() {
                    for p in m.placed.iter_mut().filter(|p| own(p)) {
                        p.job = Some(no);
                        job.placed += 1;
                        job.running += u32::from(p.running);
                        *job.on.entry(p.task).or_default() += 1;
                        *job.zones.entry(m.zone.clone()).or_default() += 1;
                    }
                }
            }
        }
    }

    /// The job is done or cancelled: nothing of it is started any more, and
    /// what still runs is stopped with the next answers to its workers.
    pub fn remove_job(&mut self, id: &str) {
        let Some(no) = self.ids.remove(id) else {
            return;
        };
        self.jobs.remove(&no);
        self.queue.retain(|j| *j != no);
        self.delayed.retain(|(_, j, _)| *j != no);
        let mut freed = Vec::new();
        for m in self.machines.values_mut() {
            m.placed.retain(|p| {
                let drop = p.job == Some(no) && p.stage == Stage::Planned;
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

    pub fn live_jobs(&self) -> Vec<String> {
        self.ids.keys().cloned().collect()
    }

    /// (done, running) of a live job, for display.
    pub fn counts(&self, id: &str) -> Option<(u32, u32)> {
        let job = self.jobs.get(self.ids.get(id)?)?;
        Some((job.done.count(), job.running))
    }

    /// Keeps the sums in step with a placement that appears (+1) or goes (-1).
    fn count(&mut self, p: &Placement, zone: &str, sign: f64) {
        let u = self.usage.entry(p.team.clone()).or_default();
        u.0 += sign * p.cpus;
        u.1 += sign * p.gpus;
        if let Some(job) = p.job.and_then(|no| self.jobs.get_mut(&no)) {
            let z = job.zones.entry(zone.to_string()).or_default();
            if sign > 0.0 {
                job.placed += 1;
                *job.on.entry(p.task).or_default() += 1;
                *z += 1;
            } else {
                if let Some(n) = job.on.get_mut(&p.task) {
                    *n -= 1;
                    if *n == 0 {
                        job.on.remove(&p.task);
                    }
                }
                job.placed = job.placed.saturating_sub(1);
                *z = z.saturating_sub(1);
                if p.running {
                    job.running = job.running.saturating_sub(1);
                }
            }
        }
    }

    /// A placement is off its machine for certain; its task waits again
    /// unless it is finished or its job is over.
    fn free(&mut self, p: &Placement, zone: &str, now: f64, delay_s: f64) {
        self.count(p, zone, -1.0);
        let Some(no) = p.job else { return };
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        // Another row may say that the task is elsewhere: until that one is
        // freed as well, it must not be started again.
        if job.done.get(p.task) || job.on.contains_key(&p.task) {
            return;
        }
        if delay_s > 0.0 {
            self.delayed.push((now + delay_s, no, p.task));
        } else {
            let level = self.predictor.level(&job.key, now);
            self.queue.push_front(level, no, p.task, now);
        }
    }

    // --- reports ---

    /// Takes a worker's report that `holder` received. Returns the token for
    /// the answer; None if the report is old and must not be answered.
    pub fn report(
        &mut self,
        holder: &str,
        r: &Report,
        finished: &[(String, f64)],
        now: f64,
    ) -> Option<u64> {
        if self.gone.contains_key(&r.machine) {
            return None;
        }
        if !self.machines.contains_key(&r.machine) {
            info!(
                machine = r.machine,
                "adopted: a worker that no ledger row names"
            );
            let m = self.machine(&r.kind, &r.zone, r.spot, now);
            self.machines.insert(r.machine.clone(), m);
        }
        let mut m = self.machines.remove(&r.machine)?;
        let old = (r.session, r.seq) < (m.session, m.seq);
        if old {
            // A late report describes a past that may not be acted on.
            self.machines.insert(r.machine.clone(), m);
            return None;
        }
        if !m.up {
            info!(
                machine = r.machine,
                zone = r.zone,
                spot = r.spot,
                "machine up"
            );
            m.idle_since = now;
        }
        (m.kind, m.zone, m.spot) = (r.kind.clone(), r.zone.clone(), r.spot);
        if r.session > m.session {
            // A newer session has killed and forgotten every task.
            let (dead, kept) = std::mem::take(&mut m.placed)
                .into_iter()
                .partition(|p| p.session < r.session);
            m.placed = kept;
            self.lose_all(dead, &m.zone, now);
        }
        (m.session, m.seq, m.up, m.heard) = (r.session, r.seq, true, now);
        m.notice = r.notice_s;
        m.taken_at = r.notice_s.map(|s| now + s);
        m.addr.clone_from(&r.addr);
        m.answering = now + limits::FLUSH_WAIT_S * 1.5;
        if m.notice.is_some() && !m.draining {
            info!(machine = r.machine, notice_s = r.notice_s, "spot notice");
            m.draining = true;
        }
        if m.holder != holder || m.token == 0 || m.token < r.token {
            // A worker may have seen a token of this epoch only from this
            // leader, so a higher one can't come; an older holder is fenced
            // as soon as the worker sees the new token.
            m.holder = holder.to_string();
            m.token = self.unique();
        }
        m.granted_until = m.granted_until.max(now + self.timing.grant_bound_s());
        for (task, secs) in finished {
            if let Some((id, _)) = split_task(task)
                && let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get(no))
            {
                let key = job.key.clone();
                self.predictor.observe(&key, *secs, now);
            }
        }
        self.match_tasks(&mut m, r, now);
        if !m.placed.is_empty() {
            m.idle_since = now;
        }
        let token = m.token;
        self.machines.insert(r.machine.clone(), m);
        Some(token)
    }

    /// Tasks that went down with their machine or session.
    fn lose_all(&mut self, dead: Vec<Placement>, zone: &str, now: f64) {
        for p in dead {
            info!(task = p.id, attempt = p.attempt, "lost");
            if let Some(job) = p.job.and_then(|no| self.jobs.get(&no)) {
                let key = job.key.clone();
                self.predictor.lose(&key, now);
            }
            self.free(&p, zone, now, 0.0);
        }
    }

    fn match_tasks(&mut self, m: &mut Machine, r: &Report, now: f64) {
        let mut listed = HashSet::new();
        for t in &r.tasks {
            listed.insert((t.task.as_str(), t.attempt));
            let at = m
                .placed
                .iter()
                .position(|p| p.attempt == t.attempt && p.id == t.task);
            if t.state != TaskState::Exited {
                if let Some(at) = at {
                    let p = &mut m.placed[at];
                    p.seen = true;
                    let running = t.state == TaskState::Running;
                    if running != p.running {
                        p.running = running;
                        p.run_since = now;
                        if let Some(job) = p.job.and_then(|no| self.jobs.get_mut(&no)) {
                            if running {
                                job.running += 1;
                            } else {
                                job.running = job.running.saturating_sub(1);
                            }
                        }
                    }
                    if running {
                        let image = p.image.clone();
                        if let Some(i) = m.images.iter_mut().find(|i| i.name == image) {
                            i.ready_at = i.ready_at.min(now);
                        }
                    }
                }
                continue;
            }
            if t.why == Some(Why::Done)
                && let Some((id, n)) = split_task(&t.task)
                && let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get_mut(no))
                && job.spec.kind != Kind::Service
                && n < job.spec.tasks
            {
                job.done.set(n);
                (job.failures, m.sick_streak) = (0, 0);
            }
            let Some(at) = at else { continue };
            let p = m.placed.remove(at);
            let mut delay = 0.0;
            match t.why {
                Some(Why::Done | Why::Stopped) => {}
                Some(Why::Error) => delay = self.failed(m, &r.machine, &p, now),
                why => {
                    info!(task = p.id, machine = r.machine, ?why, "start refused");
                    delay = limits::RETRY_FIRST_S;
                }
            }
            self.free(&p, &m.zone, now, delay);
        }
        // What a report doesn't list is not there, if no command that could
        // still start it can reach the worker: it has seen the current token,
        // and the response that carried the start is over.
        let trusted = r.token >= m.token;
        let (gone, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut m.placed).into_iter().partition(|p| {
                if listed.contains(&(p.id.as_str(), p.attempt))
                    || !trusted
                    || p.stage != Stage::Durable
                {
                    return false;
                }
                if p.inherited || p.seen {
                    return true;
                }
                p.sent >= limits::START_TRIES && p.sent_seq.is_some_and(|s| s < r.seq)
            });
        m.placed = kept;
        self.lose_all(gone, &m.zone, now);
    }

    /// A task failed; returns the pause before its job is tried again.
    fn failed(&mut self, m: &mut Machine, name: &str, p: &Placement, now: f64) -> f64 {
        let Some(job) = p.job.and_then(|no| self.jobs.get_mut(&no)) else {
            return 0.0;
        };
        job.failed_on.insert(name.to_string());
        job.failures += 1;
        // A job that failed on several machines carries its mistake with it:
        // it is tried ever more slowly and its failures blame no machine.
        let own_fault = job.failed_on.len() > 2;
        let key = job.key.clone();
        let delay = if own_fault {
            let doublings = (job.failed_on.len() - 3).min(8) as i32;
            (limits::RETRY_FIRST_S * 2f64.powi(doublings)).min(limits::RETRY_MAX_S)
        } else {
            0.0
        };
        job.retry_at = job.retry_at.max(now + delay);
        if !own_fault {
            m.sick_jobs.insert(job.spec.id.clone());
            m.sick_streak += 1;
            let sick =
                m.sick_jobs.len() >= limits::SICK_JOBS || m.sick_streak >= limits::SICK_STREAK;
            if sick && !m.draining {
                info!(
                    machine = name,
                    "quarantined: tasks of several jobs fail on it"
                );
                m.draining = true;
            }
        }
        self.predictor.lose(&key, now);
        delay
    }

    /// The commands that answer the report (`session`, `seq`) of a machine.
    pub fn commands(&mut self, r: &Report, now: f64) -> Vec<Command> {
        let mut out = Vec::new();
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return out;
        };
        if (m.session, m.seq) != (r.session, r.seq) {
            return out;
        }
        m.answering = 0.0;
        for t in &r.tasks {
            let Some((id, n)) = split_task(&t.task) else {
                continue;
            };
            let job = self.ids.get(id).and_then(|no| self.jobs.get(no));
            if t.state == TaskState::Exited {
                if r.token < m.token || m.open_orders.contains(&t.attempt) {
                    continue;
                }
                // What it reports must be durable first.
                let durable = t.why != Some(Why::Done)
                    || job.is_none_or(|j| j.durable.get(n) || j.spec.kind == Kind::Service);
                if durable {
                    out.push(Command::Forget {
                        task: t.task.clone(),
                        attempt: t.attempt,
                    });
                }
                continue;
            }
            let at = m
                .placed
                .iter()
                .position(|p| p.attempt == t.attempt && p.id == t.task);
            let wanted = at.is_some() && job.is_some_and(|j| !j.done.get(n));
            if !wanted {
                out.push(Command::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                });
                continue;
            }
            // A machine that is about to be taken: save what can be saved. One
            // that is being emptied: move what has long to run.
            let move_it = |p: &Placement, job: &Job| {
                let counted = self
                    .settings
                    .objectives
                    .iter()
                    .any(|o| o.kind == "wait" && o.class == job.spec.class);
                let after = if counted {
                    limits::MOVE_AFTER_START_S
                } else {
                    limits::MOVE_AFTER_S
                };
                now - p.run_since >= after
            };
            if let (Some(at), Some(job)) = (at, job)
                && t.state == TaskState::Running
                && job.spec.checkpoint_s > 0.0
                && !m.placed[at].stopping
                && (r.notice_s.is_some() || m.retiring && move_it(&m.placed[at], job))
            {
                m.placed[at].stopping = true;
                out.push(Command::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: job.spec.save_s + limits::SAVE_EXTRA_S,
                });
            }
        }
        for p in &mut m.placed {
            let over = p.job.is_none_or(|no| !self.jobs.contains_key(&no));
            if p.stage == Stage::Durable
                && !p.inherited
                && !p.seen
                && !over
                && p.session == r.session
                && p.sent_seq != Some(r.seq)
                && p.sent < limits::START_TRIES
            {
                p.sent_seq = Some(r.seq);
                p.sent += 1;
                out.push(Command::Start {
                    task: p.id.clone(),
                    attempt: p.attempt,
                });
            } else if over && !p.seen && p.stage == Stage::Durable && p.session == r.session {
                // Cancelled before it was ever listed: once this report's
                // successor doesn't list it either, it is freed as absent.
                p.sent = limits::START_TRIES;
                p.sent_seq.get_or_insert(r.seq);
            }
        }
        out
    }

    /// Starts for machines whose next report is not being answered now, sent
    /// straight to their workers.
    pub fn orders(&mut self, now: f64) -> Vec<(String, String, Orders)> {
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let mut out = Vec::new();
        for (name, m) in &mut self.machines {
            if !m.up || m.deleting || now < m.answering || now - m.heard > fresh {
                continue;
            }
            let mut commands = Vec::new();
            for p in &mut m.placed {
                let live = p.job.is_some_and(|no| self.jobs.contains_key(&no));
                let first = p.sent == 0 && !p.seen && !p.inherited;
                if live && first && p.stage == Stage::Durable && p.session == m.session {
                    p.sent = 1;
                    m.open_orders.insert(p.attempt);
                    commands.push(Command::Start {
                        task: p.id.clone(),
                        attempt: p.attempt,
                    });
                }
            }
            if !commands.is_empty() {
                let orders = Orders {
                    token: m.token,
                    session: m.session,
                    commands,
                };
                out.push((name.clone(), m.addr.clone(), orders));
            }
        }
        out
    }

    /// What became of direct starts: Some(true) executed, Some(false) not
    /// executed, None unknown. They could still be executed then, so the
    /// machine gets a higher token, which fences them once it is seen.
    pub fn ordered(&mut self, machine: &str, orders: &Orders, executed: Option<bool>) {
        let token = self.unique();
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        for c in &orders.commands {
            let Command::Start { task, attempt } = c else {
                continue;
            };
            m.open_orders.remove(attempt);
            if executed == Some(false)
                && let Some(p) = m.placed.iter_mut().find(|p| p.id == *task)
                && p.attempt == *attempt
            {
                p.sent = 0;
            }
        }
        if executed.is_none() && m.token == orders.token {
            m.token = token;
        }
    }

    /// The block of a controller that says hello, renewed: its machines with
    /// their tokens. A machine not heard from drops out, so that its grants
    /// run dry and its tasks can be freed.
    pub fn block(&mut self, holder: &str, now: f64) -> Vec<(String, u64)> {
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let until = now + self.timing.grant_bound_s();
        let mut block = Vec::new();
        for (name, m) in &mut self.machines {
            if m.holder == holder && m.token > 0 && now - m.heard <= fresh {
                m.granted_until = m.granted_until.max(until);
                block.push((name.clone(), m.token));
            }
        }
        block
    }

    // --- placing ---

    fn team_fits(&self, spec: &Submission, guaranteed: bool) -> bool {
        let Some(t) = self.settings.teams.iter().find(|t| t.name == spec.team) else {
            return false;
        };
        let (c, g) = self.usage.get(&spec.team).copied().unwrap_or_default();
        let (cm, gm) = if guaranteed {
            (t.cpus, t.gpus)
        } else {
            (t.cpus_max, t.gpus_max)
        };
        c + spec.cpus <= cm + 1e-6 && g + spec.gpus <= gm + 1e-6
    }

    fn allowed(spec: &Submission, kind: &str, zone: &str, spot: bool) -> bool {
        (spec.spot || !spot)
            && spec
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| t == kind))
            && spec.zone.as_ref().is_none_or(|z| z == zone)
    }

    /// The rules about zones, given all tasks of the job that may be anywhere.
    fn zone_ok(job: &Job, zone: &str) -> bool {
        let here = job.zones.get(zone).copied().unwrap_or(0);
        (!job.spec.one_zone || here == job.placed)
            && (!job.spec.spread || here < job.spec.tasks.div_ceil(2))
    }

    fn run_estimate(&self, job: &Job) -> f64 {
        self.predictor
            .estimate(&job.key)
            .unwrap_or(job.spec.estimate_s)
            .max(1.0)
    }

    /// Is the job's team near its limit, with enough of it waiting for images
    /// already, and the job's image to be had without another fetch?
    fn scarce(&self, spec: &Submission) -> bool {
        let Some(team) = self.settings.teams.iter().find(|t| t.name == spec.team) else {
            return false;
        };
        let used = self.usage.get(&spec.team).map_or(0.0, |u| u.0);
        if used < team.cpus_max * limits::SCARCE {
            return false;
        }
        let mut fetching = 0.0;
        let mut there = false;
        for m in self
            .machines
            .values()
            .filter(|m| m.up && !m.draining && !m.deleting)
        {
            there |= m.images.iter().any(|i| i.name == spec.image);
            for p in m
                .placed
                .iter()
                .filter(|p| p.team == spec.team && !p.running)
            {
                fetching += p.cpus;
            }
        }
        there && fetching > team.cpus_max * limits::SCARCE_FETCHING
    }

    /// CPU-seconds of the job's tasks that are not on a machine.
    fn work_left(&self, job: &Job) -> f64 {
        let gone = job.done.count() as usize + job.on.len();
        let left = (job.spec.tasks as usize).saturating_sub(gone);
        left as f64 * job.spec.cpus * self.run_estimate(job)
    }

    /// s until the job's waiting tasks must be started for the next aim on its
    /// class that it can still meet; None if there is none.
    fn slack(&self, job: &Job, now: f64) -> Option<f64> {
        let age = now - job.born;
        let mut least: Option<f64> = None;
        for o in &self.settings.objectives {
            if o.class != job.spec.class {
                continue;
            }
            let run = match o.kind.as_str() {
                "finished" => self
                    .predictor
                    .tail(&job.key)
                    .unwrap_or(job.spec.estimate_s * limits::TAIL_GUESS),
                "wait" => 0.0,
                _ => continue,
            };
            let slack = o.within_s - age - run;
            if slack >= 0.0 && least.is_none_or(|l| slack < l) {
                least = Some(slack);
            }
        }
        least
    }

    /// The machine that suits a task of the job best, and the s until its
    /// image could be there.
    fn best_machine(&self, job: &Job, zone: Option<&str>, now: f64) -> Option<(String, f64)> {
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let run_s = self.run_estimate(job);
        let mut best: Option<(f64, &String, f64)> = None;
        for (name, m) in &self.machines {
            if !m.up || m.draining || m.retiring || m.deleting || now - m.heard > fresh {
                continue;
            }
            if zone.is_some_and(|z| z != m.zone) {
                continue;
            }
            let Some(t) = self.types.iter().find(|t| t.name == m.kind) else {
                continue;
            };
            let (c, g, mem) = m.used();
            let s = &job.spec;
            if c + s.cpus > t.cpus + 1e-6
                || g + s.gpus > t.gpus + 1e-6
                || mem + s.memory_gb > t.memory_gb + 1e-6
                || !Self::allowed(s, &m.kind, &m.zone, m.spot)
                || !Self::zone_ok(job, &m.zone)
                || job.failed_on.contains(name) && job.failed_on.len() < 3
            {
                continue;
            }
            let image_wait_s = match m.images.iter().find(|i| i.name == s.image) {
                Some(i) => (i.ready_at - now).max(0.0),
                None => {
                    let queue: f64 = m
                        .images
                        .iter()
                        .map(|i| (i.ready_at - now).max(0.0))
                        .fold(0.0, f64::max);
                    queue + s.image_gb / t.fetch_gb_per_s.max(0.001)
                }
            };
            let free_after = (t.cpus - c - s.cpus) / t.cpus.max(0.001);
            let view = View {
                image_wait_s,
                free_after,
                spot: m.spot,
                slowness: 1.0,
            };
            let price = cost(&view, run_s);
            if best.is_none_or(|b| price < b.0) {
                best = Some((price, name, image_wait_s));
            }
        }
        best.map(|(_, n, wait)| (n.clone(), wait))
    }

    /// Where a gang can go as a whole: None if nowhere, Some(None) if the zone
    /// doesn't matter.
    fn gang_zone(&self, job: &Job, now: f64) -> Option<Option<String>> {
        let s = &job.spec;
        let missing = s.tasks - job.done.count().min(s.tasks);
        let missing = missing.saturating_sub(job.on.len() as u32);
        let team = self.settings.teams.iter().find(|t| t.name == s.team)?;
        let (c, g) = self.usage.get(&s.team).copied().unwrap_or_default();
        let n = f64::from(missing);
        if c + n * s.cpus > team.cpus_max + 1e-6 || g + n * s.gpus > team.gpus_max + 1e-6 {
            return None;
        }
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let mut room: BTreeMap<&str, u32> = BTreeMap::new();
        for m in self.machines.values() {
            if !m.up || m.draining || m.retiring || m.deleting || now - m.heard > fresh {
                continue;
            }
            if !Self::allowed(s, &m.kind, &m.zone, m.spot) {
                continue;
            }
            let Some(t) = self.types.iter().find(|t| t.name == m.kind) else {
                continue;
            };
            let (c, g, mem) = m.used();
            let fit = |free: f64, each: f64| {
                if each > 0.0 {
                    ((free + 1e-6) / each).floor() as u32
                } else {
                    u32::MAX
                }
            };
            let n = fit(t.cpus - c, s.cpus)
                .min(fit(t.gpus - g, s.gpus))
                .min(fit(t.memory_gb - mem, s.memory_gb));
            let r = room.entry(&m.zone).or_default();
            *r = r.saturating_add(n.min(missing));
        }
        if s.one_zone {
            let zone = room
                .iter()
                .find(|(z, n)| **n >= missing && Self::zone_ok(job, z))
                .map(|(z, _)| (*z).to_string())?;
            return Some(Some(zone));
        }
        let most = if s.spread {
            s.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        let total: u64 = room
            .iter()
            .map(|(z, n)| {
                let here = job.zones.get(*z).copied().unwrap_or(0);
                u64::from((*n).min(most.saturating_sub(here)))
            })
            .sum();
        (total >= u64::from(missing)).then_some(None)
    }

    /// Serves the queue: every task that can go somewhere is planned there.
    pub fn plan(&mut self, now: f64) {
        self.queue.age(now);
        let due: Vec<_> = self
            .delayed
            .iter()
            .filter(|d| d.0 <= now)
            .cloned()
            .collect();
        self.delayed.retain(|d| d.0 > now);
        for (_, no, task) in due {
            if let Some(job) = self.jobs.get(&no) {
                let level = self.predictor.level(&job.key, now);
                self.queue.push_front(level, no, task, now);
            }
        }
        if self.queue.is_empty() {
            return;
        }
        let mut blocked: HashSet<JobNo> = HashSet::new();
        let mut queue = std::mem::take(&mut self.queue);
        let ranks = [
            Priority::Production,
            Priority::High,
            Priority::Normal,
            Priority::Low,
        ];
        // Guaranteed work goes before borrowed work, higher ranks before
        // lower ones; among equals the level clocks decide.
        // Before a machine fetches an image, tasks of the same standing whose
        // image is there already may pass, for a bounded time.
        let mut cold: HashSet<JobNo> = HashSet::new();
        for guaranteed in [true, false] {
            for rank in ranks {
                for order in [Order::Due, Order::Hot, Order::Any] {
                    self.serve(
                        &mut queue,
                        (guaranteed, rank, order),
                        &mut blocked,
                        &mut cold,
                        now,
                    );
                }
            }
        }
        self.queue = queue;
    }

    /// Places what it can of one standing.
    fn serve(
        &mut self,
        queue: &mut Queue<JobNo>,
        (guaranteed, rank, order): (bool, Priority, Order),
        blocked: &mut HashSet<JobNo>,
        cold: &mut HashSet<JobNo>,
        now: f64,
    ) {
        loop {
            let ready = |no: &JobNo| {
                !blocked.contains(no)
                    && self.jobs.get(no).is_some_and(|j| {
                        j.spec.priority == rank
                            && j.retry_at <= now
                            && self.team_fits(&j.spec, guaranteed)
                            && self.team_fits(&j.spec, false)
                    })
            };
            let price = |no: &JobNo| self.jobs.get(no).map_or(1.0, |j| self.run_estimate(j));
            let taken = if order == Order::Due {
                let risk = |no: &JobNo| {
                    let job = self.jobs.get(no)?;
                    let due = self.slack(job, now)? < limits::RISK_S;
                    (due && !cold.contains(no) && ready(no)).then(|| self.work_left(job))
                };
                queue.take_least(risk, price)
            } else {
                let passes = |no: &JobNo, since| {
                    order == Order::Any || !cold.contains(no) || now - since >= limits::PASS_OVER_S
                };
                queue.take(|no, since| passes(no, since) && ready(no), price)
            };
            let Some((no, task)) = taken else { return };
            let Some(job) = self.jobs.get(&no) else {
                continue;
            };
            if job.done.get(task) || job.on.contains_key(&task) {
                continue;
            }
            let est = self.run_estimate(job);
            let gang = job.spec.kind == Kind::Gang;
            let zone = if gang {
                self.gang_zone(job, now)
            } else {
                Some(None)
            };
            let best = zone
                .as_ref()
                .and_then(|z| self.best_machine(job, z.as_deref(), now));
            let Some((name, wait)) = best else {
                blocked.insert(no);
                queue.untake(no, task, est);
                continue;
            };
            if wait > limits::HOT_S {
                let young = now - queue.taken_since() < limits::PASS_OVER_S;
                let calm = self.slack(job, now).is_none_or(|s| s > wait);
                let pass = match order {
                    Order::Due => calm,
                    Order::Hot => young,
                    Order::Any => false,
                };
                if pass || self.scarce(&job.spec) {
                    if pass {
                        cold.insert(no);
                    } else {
                        blocked.insert(no);
                    }
                    queue.untake(no, task, est);
                    continue;
                }
            }
            let attempt = self.unique();
            self.place(no, task, attempt, &name, now);
            // There is room for all of a gang: the rest follows at once, before
            // anything else can take it. The tasks of a gang find each other by
            // their common attempt.
            while let Some((_, task)) = queue.take(|n, _| gang && *n == no, |_| est) {
                let Some(job) = self.jobs.get(&no) else { break };
                let zone = zone.as_ref().and_then(Option::as_deref);
                match self.best_machine(job, zone, now) {
                    Some((name, _)) => self.place(no, task, attempt, &name, now),
                    None => {
                        queue.untake(no, task, est);
                        break;
                    }
                }
            }
        }
    }

    fn place(&mut self, no: JobNo, task: u32, attempt: u64, name: &str, now: f64) {
        let (Some(job), Some(m)) = (self.jobs.get(&no), self.machines.get_mut(name)) else {
            return;
        };
        let s = &job.spec;
        let p = Placement {
            id: format!("{}/{task}", s.id),
            job: Some(no),
            task,
            attempt,
            session: m.session,
            stage: Stage::Planned,
            inherited: false,
            sent_seq: None,
            sent: 0,
            seen: false,
            running: false,
            run_since: now,
            image: s.image.clone(),
            team: s.team.clone(),
            cpus: s.cpus,
            gpus: s.gpus,
            mem: s.memory_gb,
            stopping: false,
        };
        let t = self.types.iter().find(|t| t.name == m.kind);
        let (rate, cache) = t.map_or((1.0, 0.0), |t| (t.fetch_gb_per_s.max(0.001), t.cache_gb));
        match m.images.iter_mut().find(|i| i.name == s.image) {
            Some(i) => i.used = now,
            None => {
                let queue = m.images.iter().map(|i| i.ready_at).fold(now, f64::max);
                m.images.push(Image {
                    name: s.image.clone(),
                    gb: s.image_gb,
                    ready_at: queue + s.image_gb / rate,
                    used: now,
                });
                // The machine keeps the most recently used images.
                while m.images.len() > 1 && m.images.iter().map(|i| i.gb).sum::<f64>() > cache {
                    let oldest = (0..m.images.len())
                        .min_by(|a, b| m.images[*a].used.total_cmp(&m.images[*b].used));
                    if let Some(i) = oldest {
                        m.images.remove(i);
                    }
                }
            }
        }
        m.placed.push(p.clone());
        m.idle_since = now;
        let zone = m.zone.clone();
        self.count(&p, &zone, 1.0);
    }

    // --- the ledger ---

    /// Do placements on this machine wait for the ledger?
    pub fn planned(&self, machine: &str) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|m| m.placed.iter().any(|p| p.stage != Stage::Durable))
    }

    fn row(p: &Placement) -> LedgerRow {
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
    fn orphans(&mut self) {
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

    fn conflict(&mut self, failed: &[String]) {
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

    // --- progress and final states ---

    /// The next job transaction: final states first, then progress.
    pub fn job_batch(&mut self, progress_too: bool) -> Option<JobBatch> {
        let mut batch = JobBatch {
            txn: Txn::default(),
            progress: Vec::new(),
            finals: Vec::new(),
        };
        batch.txn.guards.push(self.leader_guard());
        let ops = self.settings.state.txn_ops.max(3);
        let mut bytes = 200;
        let mut nos: Vec<JobNo> = self.jobs.keys().copied().collect();
        nos.sort_unstable();
        for finals in [true, false] {
            if !finals && (!progress_too || !batch.finals.is_empty()) {
                break;
            }
            for no in &nos {
                let Some(job) = self.jobs.get_mut(no) else {
                    continue;
                };
                let id = &job.spec.id;
                let over = job.done.count() >= job.spec.tasks;
                if job.writing
                    || over != finals
                    || job.done.count() == job.durable.count()
                    || self.reread.contains(&keys::job(id))
                    || self.reread.contains(&keys::progress(id))
                {
                    continue;
                }
                bytes += 300
                    + if finals {
                        0
                    } else {
                        job.spec.tasks as usize / 6
                    };
                let full = batch.txn.changes.len() + 3 > ops || bytes > limits::TXN_BYTES;
                if full && !batch.txn.changes.is_empty() {
                    break;
                }
                job.writing = true;
                let guards = &mut batch.txn.guards;
                let changes = &mut batch.txn.changes;
                guards.push(Guard {
                    key: keys::job(id),
                    version: job.mark,
                });
                if finals {
                    changes.push(Change::Delete { key: keys::job(id) });
                    if job.progress_mark > 0 {
                        changes.push(Change::Delete {
                            key: keys::progress(id),
                        });
                    }
                    let value = FinalValue {
                        ended: JobState::Done,
                        tasks: job.spec.tasks,
                    };
                    changes.push(Change::Put {
                        key: keys::ended(id),
                        value: Value::Final(value),
                        lease: None,
                    });
                    batch.finals.push(*no);
                } else {
                    guards.push(Guard {
                        key: keys::progress(id),
                        version: job.progress_mark,
                    });
                    let value = ProgressValue {
                        finished: job.done.to_text(),
                    };
                    changes.push(Change::Put {
                        key: keys::progress(id),
                        value: Value::Progress(value),
                        lease: None,
                    });
                    batch.progress.push((*no, job.done.clone()));
                }
            }
        }
        (!batch.txn.changes.is_empty()).then_some(batch)
    }

    /// Returns the jobs that are now done for everybody.
    pub fn job_done(&mut self, batch: JobBatch, outcome: &Outcome) -> Vec<String> {
        let mut ended = Vec::new();
        for no in batch
            .finals
            .iter()
            .chain(batch.progress.iter().map(|(no, _)| no))
        {
            if let Some(job) = self.jobs.get_mut(no) {
                job.writing = false;
            }
        }
        match outcome {
            Outcome::Applied(rev) => {
                for no in &batch.finals {
                    if let Some(job) = self.jobs.get(no) {
                        ended.push(job.spec.id.clone());
                    }
                }
                for (no, bits) in batch.progress {
                    if let Some(job) = self.jobs.get_mut(&no) {
                        job.durable = bits;
                        job.progress_mark = *rev;
                    }
                }
                for id in &ended {
                    self.remove_job(id);
                }
            }
            Outcome::Conflict(failed) => self.conflict(failed),
            Outcome::Unknown => {
                for g in &batch.txn.guards {
                    if g.key != keys::LEADER {
                        self.reread.insert(g.key.clone());
                    }
                }
            }
        }
        ended
    }

    pub fn snapshot(&self) -> HistogramsValue {
        let (pooled, mut keys) = self.predictor.save();
        let most = (self.settings.state.value_kb * 1024.0) as usize - 1024;
        let mut bytes = pooled.len();
        keys.retain(|k| {
            bytes += k.0.len() + k.3.len() + 60;
            bytes <= most
        });
        HistogramsValue { pooled, keys }
    }

    // --- the fleet ---

    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// The cloud's list, complete, as old as the settings say.
    pub fn listed(&mut self, list: &[Listed], now: f64) {
        let lag = self.settings.cloud.list_lag_s;
        let names: HashSet<&str> = list.iter().map(|l| l.id.as_str()).collect();
        for l in list {
            if self.gone.contains_key(&l.id) {
                continue;
            }
            if !self.machines.contains_key(&l.id) {
                let mut m = self.machine(&l.kind, &l.zone, l.spot, now);
                m.born = now - l.age_s;
                m.heard = now;
                self.machines.insert(l.id.clone(), m);
            }
            if let Some(m) = self.machines.get_mut(&l.id) {
                m.listed_at.get_or_insert(now);
                m.born = m.born.min(now - l.age_s);
                if l.state == ListedState::Failed && !m.deleting {
                    info!(machine = l.id, "failed by itself; deleting it");
                    m.deleting = true;
                }
            }
        }
        // Once listed, a machine stays listed until it is gone, but a list
        // may be older than the one before it.
        for (name, m) in &mut self.machines {
            let silent = now - m.heard;
            if m.listed_at.is_some_and(|t| now - t > 2.0 * lag + 1.0)
                && !names.contains(name.as_str())
                && (silent > limits::MISSED_REPORTS * self.settings.workers.report_s)
                && !m.deleting
            {
                info!(machine = name, silent, "taken: silent and no longer listed");
                m.deleting = true;
            }
        }
        self.gone
            .retain(|n, t| now - *t < limits::GONE_S || names.contains(n.as_str()));
    }

    /// Frees what time alone has proved gone, and picks what to rent and
    /// return.
    pub fn fleet(&mut self, now: f64) -> Vec<CloudCall> {
        self.expire(now);
        let wanted = self.demand().0.wanted(limits::DRAIN_DEAR_S);
        // An empty fleet starts from what is wanted now.
        let (mut slow, mut fast, at) = match self.wanted {
            Some(w) if w.0 > 0.0 => w,
            _ => (wanted, wanted, now),
        };
        let step = |over: f64| 1.0 - (-(now - at) / over).exp();
        slow += (wanted - slow) * step(limits::RENT_AVERAGE_S);
        fast += (wanted - fast) * step(limits::RETURN_AVERAGE_S);
        self.wanted = Some((slow, fast, now));
        self.retire(wanted.max(fast));
        let mut calls = Vec::new();
        self.mark_doomed(now);
        let doomed: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| m.deleting)
            .map(|(n, _)| n.clone())
            .take(limits::DELETE_MAX)
            .collect();
        if !doomed.is_empty() {
            calls.push(CloudCall::Delete(doomed));
        }
        calls.extend(self.rentals(now));
        calls
    }

    /// Silent machines whose every grant and lease is over: nothing runs there.
    fn expire(&mut self, now: f64) {
        let gone_s = self.timing.worker_gone_s();
        let names: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| !m.placed.is_empty() && now > m.granted_until + gone_s)
            .filter(|(_, m)| now - m.heard > gone_s)
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            let (dead, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut m.placed)
                .into_iter()
                .partition(|p| p.stage == Stage::Durable);
            m.placed = kept;
            let zone = m.zone.clone();
            info!(
                machine = name,
                tasks = dead.len(),
                "every grant and lease is over"
            );
            self.lose_all(dead, &zone, now);
        }
    }

    /// CPUs in use and waited for. The first waiting job decides what is rented; jobs
    /// with other wishes get their turn when they are first.
    fn demand(&self) -> (Demand, Option<&Submission>) {
        let mut demand = Demand::default();
        for p in self.machines.values().flat_map(|m| &m.placed) {
            demand.placed += p.cpus;
        }
        let teams = &self.settings.teams;
        demand.teams = teams
            .iter()
            .map(|t| {
                let used = self.usage.get(&t.name).map_or(0.0, |u| u.0);
                Waiting {
                    room: (t.cpus_max - used).max(0.0),
                    ..Waiting::default()
                }
            })
            .collect();
        let mut first: Option<&Submission> = None;
        for run in self.queue.runs() {
            let Some(job) = self.jobs.get(&run.job) else {
                continue;
            };
            let Some(at) = teams.iter().position(|t| t.name == job.spec.team) else {
                continue;
            };
            if demand.teams[at].room < job.spec.cpus {
                continue;
            }
            let count = f64::from(run.len());
            if job.spec.kind == Kind::Array {
                demand.teams[at].add(job.spec.cpus, count, self.run_estimate(job));
            } else {
                // Gangs and services need all of their machines at once.
                demand.placed += job.spec.cpus * count;
            }
            first.get_or_insert(&job.spec);
        }
        (demand, first)
    }

    fn cpus_of(&self, kind: &str) -> f64 {
        self.types
            .iter()
            .find(|t| t.name == kind)
            .map_or(0.0, |t| t.cpus)
    }

    /// Empties the machines that cost most for what they do, while the others
    /// can carry what is wanted; takes machines back when they can't.
    fn retire(&mut self, wanted: f64) {
        let mut active = 0.0;
        let mut retiring = Vec::new();
        let mut others = Vec::new();
        for (name, m) in &self.machines {
            if !m.up || m.draining || m.deleting {
                continue;
            }
            let all = self.cpus_of(&m.kind);
            let used = m.used().0 / all.max(0.001);
            let t = self.types.iter().find(|t| t.name == m.kind);
            let price = t.map_or(0.0, |t| {
                if m.spot {
                    t.spot_price.unwrap_or(t.price)
                } else {
                    t.price
                }
            });
            // Dear machines first, the emptiest first.
            let waste = price / all.max(0.001) * (1.05 - used);
            if m.retiring {
                retiring.push((waste, name.clone(), all));
                continue;
            }
            active += all;
            let movable = m.placed.iter().all(|p| {
                p.job.and_then(|no| self.jobs.get(&no)).is_none_or(|j| {
                    j.spec.kind == Kind::Array && (j.spec.spot || m.spot) && j.spec.zone.is_none()
                })
            });
            if movable {
                others.push((waste, name.clone(), all, m.spot));
            }
        }
        retiring.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, name, all) in retiring {
            if active >= wanted {
                break;
            }
            active += all;
            if let Some(m) = self.machines.get_mut(&name) {
                m.retiring = false;
            }
        }
        others.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, name, all, spot) in others {
            let spare = if spot {
                limits::RETIRE_SPARE
            } else {
                limits::RETIRE_SPARE_DEAR
            };
            if active - all < wanted * (1.0 + spare) {
                continue;
            }
            active -= all;
            if let Some(m) = self.machines.get_mut(&name) {
                info!(
                    machine = name,
                    wanted, active, "emptied: the others suffice"
                );
                m.retiring = true;
            }
        }
    }

    fn mark_doomed(&mut self, now: f64) {
        let lease = self.settings.workers.lease_s;
        let up = self.machines.values().filter(|m| m.up).count();
        let limit = lease + limits::SILENT_DELETE_EXTRA_S;
        let silent = self
            .machines
            .values()
            .filter(|m| m.up && now - m.heard > lease / 2.0)
            .count();
        let network = silent as f64 > (up as f64 * limits::SILENT_SHARE_MAX).max(2.0);
        let waiting = !self.queue.is_empty();
        for (name, m) in &mut self.machines {
            if m.deleting {
                continue;
            }
            let silent = now - m.heard;
            let over = m.taken_at.is_some_and(|t| now > t);
            if over && silent > limits::MISSED_REPORTS * self.settings.workers.report_s {
                info!(
                    machine = name,
                    silent, "silent since its notice ran out; deleting it"
                );
                m.deleting = true;
            } else if m.up || m.mark > 0 {
                if silent > limit && !network {
                    info!(
                        machine = name,
                        silent, "silent for longer than its lease; deleting it"
                    );
                    m.deleting = true;
                }
            } else {
                let boot = self
                    .types
                    .iter()
                    .find(|t| t.name == m.kind)
                    .map_or(60.0, |t| t.boot_s);
                let patience = boot * limits::BOOT_PATIENCE + limits::BOOT_PATIENCE_EXTRA_S;
                if now - m.born > patience && now - self.since > boot {
                    info!(machine = name, "never came up; deleting it");
                    m.deleting = true;
                }
            }
            if m.up && m.placed.is_empty() && m.notice.is_none() {
                let idle = now - m.idle_since;
                let most = if m.spot {
                    limits::IDLE_RETURN_S
                } else {
                    limits::IDLE_RETURN_DEAR_S
                };
                if m.draining || m.retiring || idle > most && !waiting {
                    info!(machine = name, idle, "returned");
                    m.deleting = true;
                }
            }
        }
    }

    fn rentals(&mut self, now: f64) -> Vec<CloudCall> {
        let (demand, first) = self.demand();
        let Some(spec) = first.cloned() else {
            return Vec::new();
        };
        let spec = &spec;
        let have: f64 = self
            .machines
            .values()
            .filter(|m| !m.draining && !m.deleting && Self::allowed(spec, &m.kind, &m.zone, m.spot))
            .map(|m| self.cpus_of(&m.kind))
            .sum();
        let short = demand.wanted(limits::DRAIN_S) - have;
        if short <= 0.0 {
            return Vec::new();
        }
        self.refused.retain(|_, until| *until > now);
        let mut offers = Vec::new();
        for t in &self.types {
            let s = spec;
            if s.cpus > t.cpus || s.gpus > t.gpus || s.memory_gb > t.memory_gb {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    if self.cheap_only && !spot {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { Some(t.price) };
                    let Some(price) = price else { continue };
                    if !Self::allowed(spec, &t.name, zone, spot)
                        || self
                            .refused
                            .contains_key(&(t.name.clone(), zone.clone(), spot))
                    {
                        continue;
                    }
                    let have = self
                        .machines
                        .values()
                        .filter(|m| m.kind == t.name && m.zone == *zone && m.spot == spot)
                        .count() as u32;
                    offers.push(Offer {
                        kind: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                        cpus: t.cpus,
                        price,
                        have,
                    });
                }
            }
        }
        // Dear machines only for what cheap ones can't be had for, and only
        // if it would wait for long.
        let dear = |o: &Offer| spec.spot && !o.spot;
        let (mut dear, mut cheap): (Vec<_>, Vec<_>) = offers.into_iter().partition(dear);
        let mut buy = shop(short, &mut cheap);
        let bought: f64 = buy
            .iter()
            .map(|(i, n)| cheap[*i].cpus * f64::from(*n))
            .sum();
        let wanted = demand.wanted(limits::DRAIN_DEAR_S);
        let lasting = self.wanted.map_or(wanted, |w| w.0.min(wanted));
        let short = lasting - have - bought;
        let least = dear.iter().map(|o| o.cpus).fold(f64::INFINITY, f64::min);
        if short >= least / 2.0 {
            buy.extend(
                shop(short, &mut dear)
                    .into_iter()
                    .map(|(i, n)| (i + cheap.len(), n)),
            );
        }
        cheap.append(&mut dear);
        let offers = cheap;
        let mut calls = Vec::new();
        for (i, count) in buy {
            self.rent_counter += 1;
            let o = &offers[i];
            calls.push(CloudCall::Rent(Rent {
                // The epoch never repeats, so neither does the name.
                request: format!("r-{}-{}", self.epoch, self.rent_counter),
                kind: o.kind.clone(),
                zone: o.zone.clone(),
                spot: o.spot,
                count,
            }));
        }
        calls
    }

    /// A rental was answered: the names, or None for "no capacity".
    pub fn rented(&mut self, rent: &Rent, names: Option<&[String]>, now: f64) {
        let got = names.map_or(0, <[String]>::len);
        if got < rent.count as usize {
            let key = (rent.kind.clone(), rent.zone.clone(), rent.spot);
            self.refused.insert(key, now + limits::REFUSAL_S);
        }
        info!(
            kind = rent.kind,
            zone = rent.zone,
            spot = rent.spot,
            want = rent.count,
            got,
            "rented"
        );
        for name in names.unwrap_or_default() {
            if self.gone.contains_key(name) || self.machines.contains_key(name) {
                continue;
            }
            let m = self.machine(&rent.kind, &rent.zone, rent.spot, now);
            self.machines.insert(name.clone(), m);
        }
    }

    /// The cloud answered a deletion with 200: machines and tasks are gone.
    pub fn deleted(&mut self, names: &[String], now: f64) {
        for name in names {
            let Some(m) = self.machines.remove(name) else {
                continue;
            };
            self.gone.insert(name.clone(), now);
            if m.mark > 0 {
                self.stale_rows.insert(name.clone(), m.mark);
            }
            self.lose_all(m.placed, &m.zone, now);
        }
    }

    /// One line for the log.
    pub fn summary(&self) -> String {
        let placed: usize = self.machines.values().map(|m| m.placed.len()).sum();
        let up = self.machines.values().filter(|m| m.up).count();
        let waiting: Vec<u32> = (0..limits::LEVELS)
            .map(|l| self.queue.level_len(l))
            .collect();
        let all = |m: &&Machine| m.up && !m.deleting;
        let cpus: f64 = self
            .machines
            .values()
            .filter(all)
            .map(|m| self.cpus_of(&m.kind))
            .sum();
        let dear = self.machines.values().filter(|m| !m.spot).count();
        let rows = || self.machines.values().flat_map(|m| &m.placed);
        let used: f64 = rows().map(|p| p.cpus).sum();
        let running: f64 = rows().filter(|p| p.running).map(|p| p.cpus).sum();
        format!(
            "{} jobs, {} machines ({} up, {dear} dear), {placed} placed, waiting {waiting:?}, \
             delayed {}, cpus {cpus} up, {used} placed, {running} running, {:.0} wanted",
            self.jobs.len(),
            self.machines.len(),
            up,
            self.delayed.len(),
            self.demand().0.wanted(limits::DRAIN_DEAR_S),
        )
    }
}
