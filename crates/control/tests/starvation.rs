//! Starvation: how long a job of a team at its quota goes without a task while machines have
//! room.

mod common;

use cherrywood_control::{Leader, Settings, keys};
use cherrywood_wire::agent::ExitCause;
use cherrywood_wire::records::StoredRecord;
use cherrywood_wire::user::{Priority, Submission};
use common::*;
use std::collections::BTreeMap;

/// The operators' bound on the time (s) that a job may wait without a task while its team has
/// room for one.
const WAIT_MAX_S: f64 = 90.0;
/// Run time of each task, s.
const RUN_S: f64 = 10.0;
/// Run time of the tasks of long jobs, s.
const LONG_RUN_S: f64 = 300.0;
/// CPUs that team `t` may use (`common::settings`).
const QUOTA_CPUS: f64 = 16.0;
const MACHINES: usize = 8;

/// When each job last had a task on a machine, and its longest time (s) without one.
#[derive(Default)]
struct WaitingTimes {
    served_at: BTreeMap<String, f64>,
    longest: BTreeMap<String, f64>,
}

impl WaitingTimes {
    fn record(&mut self, leader: &Leader, waiting: &[String], now: f64) {
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

/// Eight machines and a team whose quota is the CPUs of two of them.
struct QuotaLimitedTeam {
    store: Store,
    leader: Leader,
    workers: Vec<Worker>,
    /// End times of the started tasks, by worker, task and attempt.
    ends: BTreeMap<(usize, String, u64), f64>,
    submitted: u32,
    /// Jobs whose waiting times are measured.
    measured: Vec<String>,
    waiting_times: WaitingTimes,
    /// Jobs whose tasks run for `LONG_RUN_S`.
    long_jobs: Vec<String>,
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
            measured: Vec::new(),
            waiting_times: WaitingTimes::default(),
            long_jobs: Vec::new(),
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
        let revision = self.store.put(
            &keys::job(&spec.id),
            StoredRecord::Job(Box::new(value.clone())),
        );
        self.leader.add_job(value, revision, now);
        spec.id
    }

    fn submit_measured(&mut self, priority: Priority, tasks: u32, cpus: f64, now: f64) {
        let id = self.submit(priority, tasks, cpus, now);
        self.measured.push(id);
    }

    /// Advances to `now`: completes tasks, sends a heartbeat of every worker, records waiting
    /// times.
    fn step(&mut self, now: f64) {
        for (at, worker) in self.workers.iter_mut().enumerate() {
            for t in &mut worker.tasks {
                let is_long = self
                    .long_jobs
                    .iter()
                    .any(|id| t.task.starts_with(id.as_str()));
                let run_s = if is_long { LONG_RUN_S } else { RUN_S };
                let end = self.ends.entry((at, t.task.clone(), t.attempt));
                if t.is_running() && now >= *end.or_insert(now + run_s) {
                    t.exit = Some(ExitCause::Done);
                }
            }
            exchange_heartbeat(&mut self.leader, &mut self.store, worker, "n1", now);
        }
        let store = &self.store;
        self.measured.retain(|id| store.final_state(id).is_none());
        self.waiting_times.record(&self.leader, &self.measured, now);
    }

    /// CPUs that the team uses according to the workers, if each task uses `cpus`.
    fn used(&self, cpus: f64) -> f64 {
        self.workers.iter().map(Worker::running).sum::<usize>() as f64 * cpus
    }

    fn longest_wait(&self) -> f64 {
        self.waiting_times
            .longest
            .values()
            .copied()
            .fold(0.0, f64::max)
    }
}

/// High-priority jobs of the same team take all CPUs that become free. Without protection from
/// starvation each other job would get one task after two minutes, and no further one while
/// high-priority jobs keep arriving.
#[test]
fn no_job_of_a_team_at_its_quota_starves() {
    let mut team = QuotaLimitedTeam::new();
    let mut least_used = f64::INFINITY;
    for second in 0..400 {
        let now = f64::from(second);
        if second % 8 == 0 {
            team.submit(Priority::High, 8, 2.0, now);
        }
        if second % 50 == 20 {
            team.submit_measured(Priority::Normal, 40, 2.0, now);
        }
        team.step(now);
        if second > 60 {
            least_used = least_used.min(team.used(2.0));
        }
    }
    assert!(
        team.longest_wait() < WAIT_MAX_S,
        "without a task for so many s: {:?}",
        team.waiting_times.longest
    );
    // No part of the quota is kept idle to protect jobs from starvation.
    assert!(least_used >= QUOTA_CPUS - 2.0, "{least_used} CPUs used");
}

/// A job with one task that runs for minutes must not wait with its other tasks until that one
/// ends. Minimum shares are off: they serve a class and not each job of it.
#[test]
fn a_job_with_one_long_task_placed_gets_others_placed() {
    let mut settings = settings();
    settings.policy.admission.floors = false;
    let mut team = QuotaLimitedTeam::with(settings);
    let mut id = String::new();
    for second in 0..260 {
        let now = f64::from(second);
        if second % 8 == 0 {
            team.submit(Priority::High, 8, 2.0, now);
        }
        if second == 20 {
            id = team.submit(Priority::Normal, 40, 2.0, now);
            team.long_jobs.push(id.clone());
        }
        team.step(now);
    }
    let own = format!("{id}/");
    let held = team.leader.placements_held();
    let tasks = held.iter().filter(|h| h.1.starts_with(&own)).count();
    // One task after 45 s and another every 75 s, each plus the time until a task of another
    // job ends.
    assert!(tasks >= 3, "{tasks} tasks in 240 s");
}

/// The CPUs that smaller tasks free are always too few for a larger task while smaller ones wait.
/// The team's room is reserved for the larger task until it fits.
#[test]
fn quota_is_reserved_for_a_task_larger_than_what_smaller_ones_free() {
    let mut team = QuotaLimitedTeam::new();
    for second in 0..300 {
        let now = f64::from(second);
        // One job a second, whose tasks end at different times.
        team.submit(Priority::Normal, 1, 2.0, now);
        if second == 40 {
            team.submit_measured(Priority::Normal, 3, 8.0, now);
        }
        team.step(now);
    }
    assert!(
        team.longest_wait() < WAIT_MAX_S,
        "without a task for so many s: {:?}",
        team.waiting_times.longest
    );
}

/// A new leader does not know which jobs the previous one passed over.
#[test]
fn no_job_of_a_team_at_its_quota_starves_across_failovers() {
    let mut team = QuotaLimitedTeam::new();
    for second in 0..300 {
        let now = f64::from(second);
        if second == 80 || second == 150 {
            let term = team.leader.term() + 1;
            team.leader = team.store.elect(term, now);
        }
        if second % 8 == 0 {
            team.submit(Priority::High, 8, 2.0, now);
        }
        if second == 20 {
            team.submit_measured(Priority::Normal, 40, 2.0, now);
        }
        team.step(now);
    }
    assert!(
        team.longest_wait() < WAIT_MAX_S,
        "without a task for so many s: {:?}",
        team.waiting_times.longest
    );
}

/// Guards against a job that waits beside room under its team's limit: the rest of the quota is
/// reserved for a larger task, while the team's other tasks run on for minutes.
#[test]
fn a_reservation_that_is_not_met_does_not_keep_smaller_tasks_waiting() {
    let mut team = QuotaLimitedTeam::new();
    let long = team.submit(Priority::Normal, 3, 5.0, 0.0);
    team.long_jobs.push(long);
    for second in 0..280 {
        let now = f64::from(second);
        if second == 5 {
            team.submit(Priority::Normal, 1, 2.0, now);
        }
        if second == 70 {
            team.submit_measured(Priority::Normal, 1, 1.0, now);
        }
        team.step(now);
    }
    assert!(
        team.longest_wait() < WAIT_MAX_S,
        "without a task for so many s: {:?}",
        team.waiting_times.longest
    );
}
