//! Finds jobs that are left waiting: a suitable machine has had capacity, and the team has been
//! under its limit by the size of a task, for all the time in which no task of the job started.

use crate::capacity::{FreeCapacity, Size};
use crate::history::{Event, Job, Off, State, What, job_of};
use crate::quiet_periods::QuietPeriods;
use crate::violation::{Rule, Violation};
use std::collections::{BTreeMap, BTreeSet};

/// Time from which a wait although there is capacity is too long, in ms.
pub const LEFT_WAITING_MS: u64 = 90_000;
/// Time between two scans of all waiting jobs, in ms.
const SCAN_INTERVAL_MS: u64 = 2_000;

/// A wait of a job although there was capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wait {
    pub job: String,
    /// The machine that had capacity longest.
    pub machine: String,
    pub since_ms: u64,
    pub until_ms: u64,
}

impl Wait {
    pub fn length_ms(&self) -> u64 {
        self.until_ms - self.since_ms
    }
}

#[derive(Debug)]
struct OpenJob {
    job: Job,
    size: Size,
    /// The number of its size in `capacity`.
    number: usize,
    accepted: bool,
    /// Whether the user still wants the job: no cancellation was requested or reported.
    wanted: bool,
    /// Time since which the job waits without a start, in ms; reset by each start.
    since_ms: u64,
    /// Tasks accepted by machines, with the machine.
    placed: BTreeMap<String, String>,
    done: BTreeSet<String>,
}

/// Requirements of a job on a machine: number of its size, machine types, zone, and whether
/// spot machines are allowed.
type Requirements<'a> = (usize, &'a Option<Vec<String>>, &'a Option<String>, bool);
/// Cache of one scan: for each set of requirements, the machine that has had capacity longest,
/// and since when.
type ScanCache<'a> = BTreeMap<Requirements<'a>, Option<(u64, &'a str)>>;

/// Tracks the waits of all accepted jobs.
#[derive(Debug, Default)]
pub struct Waiting {
    capacity: FreeCapacity,
    open: BTreeMap<String, OpenJob>,
    /// Jobs of which all tasks are done.
    finished: BTreeSet<String>,
    /// Jobs with failed tasks, which are retried with growing delays: their waits do not count.
    failing: BTreeSet<String>,
    quiet_periods: QuietPeriods,
    scanned_ms: u64,
    /// The longest wait of each job since the last fault.
    current: BTreeMap<String, Wait>,
    /// The longest wait of each job in earlier quiet periods.
    earlier: BTreeMap<String, Wait>,
}

impl Waiting {
    pub fn feed(&mut self, event: &Event) {
        let at_ms = event.at_ms;
        if at_ms >= self.scanned_ms + SCAN_INTERVAL_MS || event.what == What::Ends {
            self.scan(at_ms);
        }
        if self.quiet_periods.feed(event) {
            self.end_quiet_period();
        }
        match &event.what {
            What::Begins { facts, .. } => self.capacity.configure(facts),
            What::Submitted { job } => self.submitted(job, at_ms),
            What::Told {
                job, status, state, ..
            } => self.response(job, *status, *state, at_ms),
            // A job that its user no longer wants may wait indefinitely.
            What::Unwanted { job } => {
                if let Some(open) = self.open.get_mut(job) {
                    open.wanted = false;
                }
            }
            What::Rented {
                machine,
                kind,
                zone,
                spot,
                ..
            } => self.capacity.rented(machine, kind, zone, *spot),
            What::Up { machine } => self.capacity.up(machine, at_ms),
            What::Notice { machine } => self.capacity.avoid(machine),
            What::LeaseEnds { machine } => self.release_all(machine, at_ms),
            What::Gone { machine, .. } => {
                self.release_all(machine, at_ms);
                self.capacity.gone(machine);
            }
            What::Starts { machine, task, .. } | What::On { machine, task, .. } => {
                self.start_accepted(machine, task, at_ms);
            }
            What::Dropped { machine, task, .. } => self.released(machine, task, at_ms),
            What::Off {
                machine, task, why, ..
            } => self.off(machine, task, *why, at_ms),
            _ => {}
        }
    }

    fn submitted(&mut self, job: &Job, at_ms: u64) {
        let size = Size::of(job);
        let open = OpenJob {
            job: job.clone(),
            size,
            number: self.capacity.size_number(size, at_ms),
            accepted: false,
            wanted: true,
            since_ms: at_ms,
            placed: BTreeMap::new(),
            done: BTreeSet::new(),
        };
        self.open.entry(job.id.clone()).or_insert(open);
    }

    fn response(&mut self, job: &str, status: u16, state: Option<State>, at_ms: u64) {
        let Some(open) = self.open.get_mut(job) else {
            return;
        };
        if state == Some(State::Cancelled) {
            open.wanted = false;
        } else if matches!(status, 200 | 201) && !open.accepted {
            open.accepted = true;
            open.since_ms = at_ms;
        }
    }

    fn start_accepted(&mut self, machine: &str, task: &str, at_ms: u64) {
        let Some(open) = self.open.get_mut(job_of(task)) else {
            return;
        };
        open.since_ms = at_ms;
        let before = open.placed.insert(task.to_string(), machine.to_string());
        if before.is_none() {
            let team = open.job.team.clone();
            self.capacity.add_team_usage(&team, open.size, 1.0, at_ms);
        }
        self.capacity.allocate(machine, task, open.size, at_ms);
    }

    fn released(&mut self, machine: &str, task: &str, at_ms: u64) {
        self.capacity.release(machine, task, at_ms);
        let Some(open) = self.open.get_mut(job_of(task)) else {
            return;
        };
        if open.placed.get(task).is_some_and(|m| m == machine) {
            open.placed.remove(task);
            // A task that lost its placement waits from now on.
            open.since_ms = at_ms;
            let team = open.job.team.clone();
            self.capacity.add_team_usage(&team, open.size, -1.0, at_ms);
        }
    }

    fn off(&mut self, machine: &str, task: &str, why: Off, at_ms: u64) {
        self.released(machine, task, at_ms);
        let id = job_of(task);
        if why == Off::Error {
            self.capacity.avoid(machine);
            self.failing.insert(id.to_string());
        }
        if why != Off::Done {
            return;
        }
        let Some(open) = self.open.get_mut(id) else {
            return;
        };
        open.done.insert(task.to_string());
        if open.done.len() as u32 >= open.job.tasks {
            self.finished.insert(id.to_string());
        }
    }

    /// Releases all tasks of a machine.
    fn release_all(&mut self, machine: &str, at_ms: u64) {
        for task in self.capacity.tasks(machine) {
            self.released(machine, &task, at_ms);
        }
    }

    /// Moves the waits found until now to those of earlier quiet periods.
    fn end_quiet_period(&mut self) {
        for (job, wait) in std::mem::take(&mut self.current) {
            keep_longer(&mut self.earlier, job, wait);
        }
    }

    /// Measures the wait of each job for which there is capacity, as of now.
    fn scan(&mut self, at_ms: u64) {
        self.scanned_ms = at_ms;
        let Some(quiet_since_ms) = self.quiet_periods.quiet_since_ms() else {
            return;
        };
        let mut found = Vec::new();
        let mut cache = ScanCache::new();
        for (id, open) in &self.open {
            if let Some((since_ms, machine)) = self.waiting_since(open, &mut cache)
                && at_ms > since_ms.max(quiet_since_ms)
            {
                found.push(Wait {
                    job: id.clone(),
                    machine: machine.to_string(),
                    since_ms: since_ms.max(quiet_since_ms),
                    until_ms: at_ms,
                });
            }
        }
        for wait in found {
            keep_longer(&mut self.current, wait.job.clone(), wait);
        }
    }

    /// Returns since when the job has waited although there was capacity, and on which machine.
    fn waiting_since<'a>(
        &'a self,
        open: &'a OpenJob,
        cache: &mut ScanCache<'a>,
    ) -> Option<(u64, &'a str)> {
        let job = &open.job;
        let waiting = job.tasks as usize > open.done.len() + open.placed.len();
        let ready = job.needs.iter().all(|id| self.finished.contains(id));
        if !open.accepted || !open.wanted || !waiting || !ready || self.failing.contains(&job.id) {
            return None;
        }
        let team_ms = self.capacity.team_free_since_ms(&job.team, open.number)?;
        let (only_zone, full_zones) = self.zones(open);
        let search = || {
            let capacity = &self.capacity;
            capacity.machine_free_since_ms(job, open.number, &full_zones, only_zone)
        };
        let (machine_ms, machine) = if only_zone.is_some() || !full_zones.is_empty() {
            search()?
        } else {
            let requirements = (open.number, &job.kinds, &job.zone, job.spot);
            (*cache.entry(requirements).or_insert_with(search))?
        };
        // The time at which the last task of the last job that it needs ended.
        let ready_ms = job
            .needs
            .iter()
            .filter_map(|id| Some(self.open.get(id)?.since_ms));
        let since_ms = open.since_ms.max(team_ms).max(machine_ms);
        Some((since_ms.max(ready_ms.max().unwrap_or(0)), machine))
    }

    /// Returns the only zone that the job may use, if it is bound to one, and the zones that
    /// already have as many of its tasks as allowed, given where its tasks are.
    fn zones(&self, open: &OpenJob) -> (Option<&str>, BTreeSet<&str>) {
        let zones = || {
            open.placed
                .values()
                .filter_map(|name| self.capacity.zone(name))
        };
        let only = zones().next().filter(|_| open.job.one_zone);
        let mut full = BTreeSet::new();
        if open.job.spread {
            let most = open.job.tasks.div_ceil(2) as usize;
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            for zone in zones() {
                *counts.entry(zone).or_default() += 1;
            }
            full.extend(counts.into_iter().filter(|c| c.1 >= most).map(|c| c.0));
        }
        (only, full)
    }

    /// Returns the longest wait of a job although there was capacity while no fault was active,
    /// in ms.
    pub fn longest_ms(&self, job: &str) -> u64 {
        let waits = [self.current.get(job), self.earlier.get(job)];
        waits
            .into_iter()
            .flatten()
            .map(Wait::length_ms)
            .max()
            .unwrap_or(0)
    }

    /// Returns waits before the last fault that were too long; reported, but no violations.
    pub fn earlier(&self) -> Vec<Wait> {
        let too_long = |wait: &&Wait| wait.length_ms() >= LEFT_WAITING_MS;
        self.earlier.values().filter(too_long).cloned().collect()
    }

    /// Returns a violation for each job left waiting once all faults were over; for use at the
    /// end.
    pub fn violations(&self) -> Vec<Violation> {
        let too_long = |wait: &&Wait| wait.length_ms() >= LEFT_WAITING_MS;
        let violation = |wait: &Wait| Violation {
            rule: Rule::LeftWaiting,
            what: wait.job.clone(),
            place: wait.machine.clone(),
            since_ms: wait.since_ms,
            at_ms: wait.until_ms,
            why: "left waiting with capacity there and its team under its limit; the wait began"
                .into(),
        };
        self.current
            .values()
            .filter(too_long)
            .map(violation)
            .collect()
    }
}

fn keep_longer(waits: &mut BTreeMap<String, Wait>, job: String, wait: Wait) {
    let longer = |old: &Wait| wait.length_ms() > old.length_ms();
    if waits.get(&job).is_none_or(longer) {
        waits.insert(job, wait);
    }
}
