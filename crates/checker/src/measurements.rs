//! Measures objectives, price and useful work as the protocol page defines them.

use crate::history::{Aim, Event, Facts, Job, Off, State, What, job_of};
use std::collections::BTreeMap;

/// Time within which a command to stop makes a start not count, in ms.
const START_CONFIRMED_MS: u64 = 30_000;

/// Figures of one class of jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassFigures {
    pub jobs: usize,
    pub done: usize,
    /// Mean and 95th percentile of the time from when a job was ready (submitted for the first
    /// time, and all jobs that it needs done) to the end of its last task, in s.
    pub done_mean_s: f64,
    pub done_p95_s: f64,
    /// Mean and 95th percentile of the time from when a job was ready to the start of each task,
    /// in s.
    pub wait_mean_s: f64,
    pub wait_p95_s: f64,
}

/// An objective, the value reached, and whether it is met.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectiveResult {
    pub aim: Aim,
    pub got: f64,
    pub met: bool,
    /// Number of jobs or tasks that count.
    pub of: usize,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Measurements {
    pub reached: Vec<ObjectiveResult>,
    pub classes: BTreeMap<String, ClassFigures>,
    /// Figures of all classes together.
    pub all: ClassFigures,
    /// Money spent, in the unit of the price lists.
    pub cost: f64,
    pub useful_cost: f64,
    pub useful_cpu_s: f64,
    pub price: f64,
}

#[derive(Debug)]
struct TrackedJob {
    job: Job,
    /// Time at which the job could start: submitted, and all jobs that it needs done.
    ready_ms: u64,
    submitted: u64,
    accepted: Option<u64>,
    refused: bool,
    unwanted: bool,
    reported_done: Option<u64>,
    /// Time of the first start of each task that counts.
    started: BTreeMap<u32, u64>,
    /// Times of starts that a stop may still make not count.
    unconfirmed: BTreeMap<u32, u64>,
    done: BTreeMap<u32, u64>,
    guaranteed: bool,
}

impl TrackedJob {
    fn last_done(&self) -> Option<u64> {
        (self.done.len() as u32 == self.job.tasks)
            .then(|| self.done.values().max().copied())
            .flatten()
    }

    fn confirm_starts(&mut self, now: u64) {
        let confirmed: Vec<u32> = self
            .unconfirmed
            .iter()
            .filter(|(_, at)| now >= **at + START_CONFIRMED_MS)
            .map(|(n, _)| *n)
            .collect();
        for n in confirmed {
            if let Some(at) = self.unconfirmed.remove(&n) {
                self.started.entry(n).or_insert(at);
            }
        }
    }
}

#[derive(Debug)]
struct Machine {
    cpus: f64,
    since: u64,
    /// CPU-seconds of useful work done on the machine.
    useful: f64,
}

/// Returns the smallest value such that at least `share` of the sorted values are no larger, or
/// 0 if there is none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let at = (sorted.len() as f64 * share).ceil() as usize;
    sorted[at.clamp(1, sorted.len()) - 1]
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns `hits` as a share of `of`; 1 if `of` is 0.
fn share(hits: usize, of: usize) -> f64 {
    if of == 0 {
        1.0
    } else {
        hits as f64 / of as f64
    }
}

pub fn measure(events: &[Event]) -> Measurements {
    let mut facts = Facts {
        cancel_s: 0.0,
        teams: Vec::new(),
        kinds: Vec::new(),
        aims: Vec::new(),
        served: None,
    };
    let mut jobs: BTreeMap<String, TrackedJob> = BTreeMap::new();
    let mut machines: BTreeMap<String, Machine> = BTreeMap::new();
    let mut measured = Measurements::default();
    for e in events {
        let at = e.at_ms;
        match &e.what {
            What::Begins { facts: f, .. } => facts = f.clone(),
            What::Submitted { job } => {
                let guaranteed = fits_guarantee(&facts, &jobs, job);
                let t = TrackedJob {
                    job: job.clone(),
                    ready_ms: at,
                    submitted: at,
                    accepted: None,
                    refused: false,
                    unwanted: false,
                    reported_done: None,
                    started: BTreeMap::new(),
                    unconfirmed: BTreeMap::new(),
                    done: BTreeMap::new(),
                    guaranteed,
                };
                jobs.entry(job.id.clone()).or_insert(t);
            }
            What::Told {
                job, status, state, ..
            } => {
                let Some(t) = jobs.get_mut(job) else { continue };
                match status {
                    200 | 201 => {
                        t.accepted.get_or_insert(at);
                    }
                    400 | 422 => t.refused = true,
                    _ => {}
                }
                if *state == Some(State::Done) {
                    t.reported_done.get_or_insert(at);
                }
            }
            What::Unwanted { job } => {
                if let Some(t) = jobs.get_mut(job) {
                    t.unwanted = true;
                }
            }
            What::Rented { machine, kind, .. } => {
                let kind = facts.kinds.iter().find(|k| k.name == *kind);
                let m = Machine {
                    cpus: kind.map_or(1.0, |k| k.cpus),
                    since: at,
                    useful: 0.0,
                };
                machines.insert(machine.clone(), m);
            }
            What::Gone { machine, cost, .. } => {
                measured.cost += cost;
                if let Some(m) = machines.get(machine) {
                    // The cost of the machine times the useful share of its CPU time.
                    let all = m.cpus * (at - m.since).max(1) as f64 / 1000.0;
                    measured.useful_cost += cost * (m.useful / all).min(1.0);
                    measured.useful_cpu_s += m.useful;
                }
            }
            What::On { task, .. } => {
                if let Some((t, n)) = find_task(&mut jobs, task) {
                    t.unconfirmed.insert(n, at);
                }
            }
            What::Stops { task, .. } => {
                if let Some((t, n)) = find_task(&mut jobs, task) {
                    t.confirm_starts(at);
                    t.unconfirmed.remove(&n);
                }
            }
            What::Off {
                task,
                why,
                machine,
                kept_s,
                ..
            } => {
                if let Some((t, n)) = find_task(&mut jobs, task) {
                    let cpus = t.job.cpus;
                    if *why == Off::Done {
                        t.done.entry(n).or_insert(at);
                    }
                    if let Some(m) = machines.get_mut(machine) {
                        m.useful += kept_s * cpus;
                    }
                }
            }
            _ => {}
        }
    }
    for t in jobs.values_mut() {
        t.confirm_starts(u64::MAX);
    }
    let cheapest = facts
        .kinds
        .iter()
        .map(|k| k.spot_price.unwrap_or(k.price).min(k.price) / k.cpus.max(0.001))
        .fold(f64::INFINITY, f64::min);
    let worth = measured.useful_cpu_s * cheapest / 3600.0;
    measured.price = if worth > 0.0 {
        measured.cost / worth
    } else {
        0.0
    };
    set_ready_times(&mut jobs);
    measured.classes = classes(&jobs);
    measured.all = figures(jobs.values().filter(|t| !t.unwanted && !t.refused));
    measured.reached = facts
        .aims
        .iter()
        .map(|aim| evaluate(aim, &jobs, &facts, &measured))
        .collect();
    measured
}

fn find_task<'a>(
    jobs: &'a mut BTreeMap<String, TrackedJob>,
    task: &str,
) -> Option<(&'a mut TrackedJob, u32)> {
    let n = task.split_once('/')?.1.parse().ok()?;
    Some((jobs.get_mut(job_of(task))?, n))
}

/// Counts the times of a job that needs others from when the last of them was done. A job that
/// could never start because one of them was not done counts as unwanted.
fn set_ready_times(jobs: &mut BTreeMap<String, TrackedJob>) {
    let done = |id: &String| jobs.get(id)?.last_done();
    let ready: Vec<(String, Option<u64>)> = jobs
        .iter()
        .filter(|(_, t)| !t.job.needs.is_empty())
        .map(|(id, t)| {
            let ends: Option<Vec<u64>> = t.job.needs.iter().map(done).collect();
            let last = ends.map(|e| e.into_iter().fold(t.ready_ms, u64::max));
            (id.clone(), last)
        })
        .collect();
    for (id, at) in ready {
        if let Some(t) = jobs.get_mut(&id) {
            t.unwanted |= at.is_none();
            t.ready_ms = at.unwrap_or(t.ready_ms);
        }
    }
}

/// Whether the job fits the guarantee of its team together with the earlier unfinished jobs of
/// the team.
fn fits_guarantee(facts: &Facts, jobs: &BTreeMap<String, TrackedJob>, job: &Job) -> bool {
    let Some(team) = facts.teams.iter().find(|t| t.name == job.team) else {
        return false;
    };
    let left = |t: &TrackedJob| {
        let over = t.unwanted || t.refused;
        f64::from(
            t.job.tasks
                - if over {
                    t.job.tasks
                } else {
                    t.done.len() as u32
                },
        ) * t.job.cpus
    };
    let earlier = jobs.values().filter(|t| t.job.team == job.team);
    let before: f64 = earlier.map(left).sum();
    before + f64::from(job.tasks) * job.cpus <= team.cpus
}

/// Returns the jobs that count for the class: neither unwanted nor refused.
fn counted<'a>(
    jobs: &'a BTreeMap<String, TrackedJob>,
    class: &'a str,
) -> impl Iterator<Item = &'a TrackedJob> {
    let of = move |t: &&TrackedJob| t.job.class == class && !t.unwanted && !t.refused;
    jobs.values().filter(of)
}

fn classes(jobs: &BTreeMap<String, TrackedJob>) -> BTreeMap<String, ClassFigures> {
    let mut names: Vec<&str> = jobs.values().map(|t| t.job.class.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let of = |class: &str| figures(counted(jobs, class));
    names.into_iter().map(|n| (n.to_string(), of(n))).collect()
}

fn figures<'a>(jobs: impl Iterator<Item = &'a TrackedJob>) -> ClassFigures {
    let (mut done, mut waits, mut all) = (Vec::new(), Vec::new(), 0);
    for t in jobs {
        all += 1;
        if let Some(at) = t.last_done() {
            done.push((at - t.ready_ms) as f64 / 1000.0);
        }
        let wait = t
            .started
            .values()
            .map(|at| (at - t.ready_ms) as f64 / 1000.0);
        waits.extend(wait);
    }
    done.sort_by(f64::total_cmp);
    waits.sort_by(f64::total_cmp);
    ClassFigures {
        jobs: all,
        done: done.len(),
        done_mean_s: mean(&done),
        done_p95_s: quantile(&done, 0.95),
        wait_mean_s: mean(&waits),
        wait_p95_s: quantile(&waits, 0.95),
    }
}

fn evaluate(
    aim: &Aim,
    jobs: &BTreeMap<String, TrackedJob>,
    facts: &Facts,
    sums: &Measurements,
) -> ObjectiveResult {
    let ms = |s: f64| (s * 1000.0) as u64;
    // Of each job, only as many tasks count as the limit of its team allows at once.
    let counts = |t: &TrackedJob| {
        let limit = facts.teams.iter().find(|x| x.name == t.job.team);
        let limit = limit.map(|x| x.cpus_max).filter(|most| *most > 0.0);
        let limit = limit.unwrap_or(f64::INFINITY);
        let at_once = (limit / t.job.cpus.max(0.001)).floor();
        f64::from(t.job.tasks).min(at_once) as usize
    };
    let in_time = |t: &TrackedJob, within: u64| {
        let hits = t.started.values().filter(|at| **at - t.ready_ms <= within);
        hits.count().min(counts(t))
    };
    let (got, of) = match aim {
        Aim::Wait {
            class, within_s, ..
        } => {
            let of: usize = counted(jobs, class).map(counts).sum();
            let hits: usize = counted(jobs, class)
                .map(|t| in_time(t, ms(*within_s)))
                .sum();
            (share(hits, of), of)
        }
        Aim::Finished {
            class, within_s, ..
        } => {
            let of = counted(jobs, class).count();
            // A job counts as done only if its user was told so as well.
            let hit = |t: &&TrackedJob| {
                let last = t.last_done();
                last.is_some_and(|at| at - t.ready_ms <= ms(*within_s)) && t.reported_done.is_some()
            };
            (share(counted(jobs, class).filter(hit).count(), of), of)
        }
        Aim::Guarantee { within_s, .. } => {
            let all = || {
                jobs.values()
                    .filter(|t| t.guaranteed && !t.unwanted && !t.refused)
            };
            let of: usize = all().map(counts).sum();
            let hits: usize = all().map(|t| in_time(t, ms(*within_s))).sum();
            (share(hits, of), of)
        }
        Aim::Submit { within_s, .. } => {
            let all = || jobs.values().filter(|t| !t.refused);
            let hit = |t: &&TrackedJob| {
                t.accepted
                    .is_some_and(|at| at - t.submitted <= ms(*within_s))
            };
            (
                share(all().filter(hit).count(), all().count()),
                all().count(),
            )
        }
        Aim::Useful { .. } => (
            if sums.cost > 0.0 {
                sums.useful_cost / sums.cost
            } else {
                0.0
            },
            1,
        ),
        Aim::Price { .. } => (sums.price, 1),
    };
    let met = match aim {
        Aim::Wait { share, .. }
        | Aim::Finished { share, .. }
        | Aim::Guarantee { share, .. }
        | Aim::Submit { share, .. }
        | Aim::Useful { share } => got >= *share,
        Aim::Price { most } => got <= *most,
    };
    ObjectiveResult {
        aim: aim.clone(),
        got,
        met,
        of,
    }
}
