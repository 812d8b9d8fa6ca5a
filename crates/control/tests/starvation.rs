//! Starvation: how long a job of a team at its quota is passed over beside machines with room.

mod common;

use cherrywood_control::{Leader, Settings, keys};
use cherrywood_wire::agent::ExitCause;
use cherrywood_wire::records::StoredRecord;
use cherrywood_wire::user::{Priority, Submission};
use common::*;
use std::collections::BTreeMap;

/// s that a job may wait without a task while its team has room for one (operators).
const PATIENCE_S: f64 = 90.0;
/// s that each task runs.
const RUN_S: f64 = 10.0;
/// The same for tasks of jobs called long.
const LONG_RUN_S: f64 = 300.0;
/// CPUs that team `t` may use (`common::settings`), and those of a machine.
const LIMIT: f64 = 16.0;
const MACHINES: usize = 8;

/// When each job last had a task on a machine, and the longest it went without one.
#[derive(Default)]
struct Waits {
    served_at: BTreeMap<String, f64>,
    longest: BTreeMap<String, f64>,
}

impl Waits {
    fn note(&mut self, leader: &Leader, waiting: &[String], now: f64) {
        let held = leader.placements_held();
        for id in waiting {
            let own = format!("{id}/");
            let since = self.served_at.entry(id.clone()).or_insert(now);
            if held.iter().any(|h| h.1.starts_with(&own)) {
                *since = now;
            }
            let longest = self.longest.entry(id.clone()).or_default();
            *longest = longest.max(now - *since);
        }
    }
}

/// Eight machines for a team that may use two of them.
struct QuotaLimitedTeam {
    store: Store,
    leader: Leader,
    workers: Vec<Worker>,
    /// Ends of the tasks that run, by worker and attempt.
    ends: BTreeMap<(usize, String, u64), f64>,
    submitted: u32,
    /// Jobs whose waits are measured.
    watched: Vec<String>,
    waits: Waits,
    /// Jobs whose tasks run long.
    long: Vec<String>,
}

impl QuotaLimitedTeam {
    fn new() -> QuotaLimitedTeam {
        QuotaLimitedTeam::with(settings())
    }

    fn with(settings: Settings) -> QuotaLimitedTeam {
        let mut store = Store {
            has_wall_clock: true,
            ..Store::default()
        };
        let leader = store.elect_with(settings, 1, 0.0);
        QuotaLimitedTeam {
            store,
            leader,
            workers: (0..MACHINES)
                .map(|n| Worker::new(&format!("vm-{n:03}")))
                .collect(),
            ends: BTreeMap::new(),
            submitted: 0,
            watched: Vec::new(),
            waits: Waits::default(),
            long: Vec::new(),
        }
    }

    fn submit(&mut self, priority: Priority, tasks: u32, cpus: f64, now: f64) -> String {
        self.submitted += 1;
        let spec = Submission {
            class: format!("{priority:?}-{cpus}"),
            priority,
            cpus,
            ..job(&format!("wk-{:06}", self.submitted), tasks)
        };
        let mut value = self.store.accept(&spec);
        value.accepted_at_ms = (now * 1000.0) as u64;
        let mark = self.store.put(
            &keys::job(&spec.id),
            StoredRecord::Job(Box::new(value.clone())),
        );
        self.leader.add_job(value, mark, now);
        spec.id
    }

    fn watch(&mut self, priority: Priority, tasks: u32, cpus: f64, now: f64) {
        let id = self.submit(priority, tasks, cpus, now);
        self.watched.push(id);
    }

    /// Tasks that have run long enough end, every worker reports, waits are noted.
    fn second(&mut self, now: f64) {
        for (at, worker) in self.workers.iter_mut().enumerate() {
            for t in &mut worker.tasks {
                let long = self.long.iter().any(|id| t.task.starts_with(id.as_str()));
                let run_s = if long { LONG_RUN_S } else { RUN_S };
                let end = self.ends.entry((at, t.task.clone(), t.attempt));
                if t.is_running() && now >= *end.or_insert(now + run_s) {
                    t.exit = Some(ExitCause::Done);
                }
            }
            exchange_heartbeat(&mut self.leader, &mut self.store, worker, "n1", now);
        }
        let store = &self.store;
        self.watched.retain(|id| store.final_state(id).is_none());
        self.waits.note(&self.leader, &self.watched, now);
    }

    /// CPUs that the team uses by the workers' word.
    fn used(&self, cpus: f64) -> f64 {
        self.workers.iter().map(Worker::running).sum::<usize>() as f64 * cpus
    }

    fn longest_wait(&self) -> f64 {
        self.waits.longest.values().copied().fold(0.0, f64::max)
    }
}

/// Urgent work of the same team takes all that comes free. Each job was begun after two
/// minutes, and had nothing more on a machine for as long as that went on.
#[test]
fn no_job_of_a_team_at_its_quota_starves() {
    let mut f = QuotaLimitedTeam::new();
    let mut least_used = f64::INFINITY;
    for s in 0..400 {
        let now = f64::from(s);
        if s % 8 == 0 {
            f.submit(Priority::High, 8, 2.0, now);
        }
        if s % 50 == 20 {
            f.watch(Priority::Normal, 40, 2.0, now);
        }
        f.second(now);
        if s > 60 {
            least_used = least_used.min(f.used(2.0));
        }
    }
    assert!(
        f.longest_wait() < PATIENCE_S,
        "without a task for so many s: {:?}",
        f.waits.longest
    );
    // Nothing of the limit is kept idle for that.
    assert!(least_used >= LIMIT - 2.0, "{least_used} CPUs used");
}

/// A job whose one task runs for minutes waited with all others until it ended. Minimum
/// shares are left out: they serve a class, not each job of it.
#[test]
fn a_job_with_one_long_task_placed_gets_others_placed() {
    let mut settings = settings();
    settings.policy.admission.floors = false;
    let mut f = QuotaLimitedTeam::with(settings);
    let mut id = String::new();
    for s in 0..260 {
        let now = f64::from(s);
        if s % 8 == 0 {
            f.submit(Priority::High, 8, 2.0, now);
        }
        if s == 20 {
            id = f.submit(Priority::Normal, 40, 2.0, now);
            f.long.push(id.clone());
        }
        f.second(now);
    }
    let own = format!("{id}/");
    let held = f.leader.placements_held();
    let tasks = held.iter().filter(|h| h.1.starts_with(&own)).count();
    // One after 45 s, and another each 75 s, or the s until a task of others ends.
    assert!(tasks >= 3, "{tasks} tasks in 240 s");
}

/// What comes free is always too little for a larger task while smaller ones wait: its
/// team's room is kept for it, until it fits.
#[test]
fn quota_is_reserved_for_a_task_larger_than_what_smaller_ones_free() {
    let mut f = QuotaLimitedTeam::new();
    for s in 0..300 {
        let now = f64::from(s);
        // Two a second that end at different times.
        f.submit(Priority::Normal, 1, 2.0, now);
        if s == 40 {
            f.watch(Priority::Normal, 3, 8.0, now);
        }
        f.second(now);
    }
    assert!(
        f.longest_wait() < PATIENCE_S,
        "without a task for so many s: {:?}",
        f.waits.longest
    );
}

/// The same jobs under a new leader: it doesn't know whom the last one passed by.
#[test]
fn failovers_let_no_job_starve_for_longer() {
    let mut f = QuotaLimitedTeam::new();
    for s in 0..300 {
        let now = f64::from(s);
        if s == 80 || s == 150 {
            let epoch = f.leader.term() + 1;
            f.leader = f.store.elect(epoch, now);
        }
        if s % 8 == 0 {
            f.submit(Priority::High, 8, 2.0, now);
        }
        if s == 20 {
            f.watch(Priority::Normal, 40, 2.0, now);
        }
        f.second(now);
    }
    assert!(
        f.longest_wait() < PATIENCE_S,
        "without a task for so many s: {:?}",
        f.waits.longest
    );
}
