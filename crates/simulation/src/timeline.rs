//! State of a run over time, and use of the paid CPU time, computed from its history.

use cherrywood_checker::history::Off;
use cherrywood_checker::{Event, What};
use serde::Serialize;
use std::collections::BTreeMap;

/// Points of a plot at most.
const MAX_POINTS: f64 = 300.0;

/// Interval in which a fault was active.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FaultInterval {
    pub name: String,
    pub from_s: f64,
    pub to_s: f64,
}

/// State of the run at one time.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Point {
    pub at_s: f64,
    /// Number of machines that boot, and of those that are up.
    pub booting: u32,
    pub up: u32,
    /// CPUs of machines that are up, and of tasks that run on them.
    pub cpus_up: f64,
    pub cpus_running: f64,
    /// CPUs of tasks that wait for an image fetch.
    pub cpus_fetching: f64,
    /// Money an hour at nominal prices.
    pub hourly: f64,
    /// Tasks waiting in each level, as last reported by the leader.
    pub waiting: Vec<u32>,
    /// Jobs submitted, accepted and done since the previous point.
    pub submitted: u32,
    pub accepted: u32,
    pub done: u32,
    /// Controllers that are up and not frozen.
    pub nodes: u32,
}

/// Interval in which a machine booted or ran a task, for the Gantt plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bar {
    pub machine: String,
    pub from_s: f64,
    pub to_s: f64,
    /// Class of the task; `None` while the machine boots.
    pub class: Option<String>,
}

/// CPU-seconds paid for, by use.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CpuAccount {
    pub booting: f64,
    pub fetching: f64,
    /// Run by tasks that completed, or saved as progress.
    pub useful: f64,
    /// Run by tasks, and not saved.
    pub lost: f64,
    pub idle: f64,
}

/// The data of all plots of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Timeline {
    pub points: Vec<Point>,
    #[serde(rename = "bands")]
    pub faults: Vec<FaultInterval>,
    pub bars: Vec<Bar>,
    /// By machine type, zone and kind (spot or on-demand).
    pub account: BTreeMap<String, CpuAccount>,
}

#[derive(Debug)]
struct Machine {
    cpus: f64,
    hourly: f64,
    /// Key of the machine's account in `Timeline::account`.
    account: String,
    /// Times of the rental and of the end of the boot, ms.
    rented: u64,
    up: Option<u64>,
    gone: bool,
    /// Tasks that run, and tasks that wait for an image fetch: start (ms), CPUs, class.
    running: BTreeMap<String, (u64, f64, String)>,
    fetching: BTreeMap<String, (u64, f64)>,
    /// CPU-seconds run, spent on fetches, and kept.
    ran: f64,
    fetched: f64,
    useful: f64,
}

/// Computes the timeline from the events of a history.
pub fn timeline(events: &[Event]) -> Timeline {
    let mut out = Timeline::default();
    let end = events.last().map_or(0, |e| e.at_ms);
    let step = ((end as f64 / 1000.0 / MAX_POINTS).ceil().max(1.0) * 1000.0) as u64;
    // CPUs, price and spot price of each machine type.
    let mut machine_types: BTreeMap<String, (f64, f64, f64)> = BTreeMap::new();
    // CPUs per task, and class, of each job.
    let mut jobs: BTreeMap<&str, (f64, &str)> = BTreeMap::new();
    let mut accepted: BTreeMap<&str, bool> = BTreeMap::new();
    let mut machines: BTreeMap<&str, Machine> = BTreeMap::new();
    let mut point = Point::default();
    let mut next = step;
    let s = |ms: u64| ms as f64 / 1000.0;
    for e in events {
        while e.at_ms >= next {
            point.at_s = s(next);
            out.points.push(point.clone());
            (point.submitted, point.accepted, point.done) = (0, 0, 0);
            next += step;
        }
        match &e.what {
            What::Begins { facts, .. } => {
                for k in &facts.kinds {
                    let spot = k.spot_price.unwrap_or(k.price);
                    machine_types.insert(k.name.clone(), (k.cpus, k.price, spot));
                }
            }
            What::Submitted { job } => {
                point.submitted += 1;
                jobs.insert(&job.id, (job.cpus, &job.class));
            }
            What::Told {
                job, status, state, ..
            } => {
                let counted = accepted.entry(job).or_default();
                if matches!(status, 200 | 201) && !*counted {
                    *counted = true;
                    point.accepted += 1;
                }
                if state.is_some_and(cherrywood_checker::history::State::is_final)
                    && jobs.remove(job.as_str()).is_some_and(|_| true)
                {
                    point.done += 1;
                }
            }
            What::Rented {
                machine,
                kind,
                zone,
                spot,
                ..
            } => {
                let (cpus, price, spot_price) =
                    machine_types.get(kind).copied().unwrap_or_default();
                let hourly = if *spot { spot_price } else { price };
                point.booting += 1;
                point.hourly += hourly;
                let label = if *spot { "spot" } else { "ordinary" };
                machines.insert(
                    machine,
                    Machine {
                        cpus,
                        hourly,
                        account: format!("{kind}, {zone}, {label}"),
                        rented: e.at_ms,
                        up: None,
                        gone: false,
                        running: BTreeMap::new(),
                        fetching: BTreeMap::new(),
                        ran: 0.0,
                        fetched: 0.0,
                        useful: 0.0,
                    },
                );
            }
            What::Up { machine } => {
                if let Some(m) = machines.get_mut(machine.as_str()) {
                    m.up = Some(e.at_ms);
                    point.booting = point.booting.saturating_sub(1);
                    point.up += 1;
                    point.cpus_up += m.cpus;
                    out.bars.push(Bar {
                        machine: machine.clone(),
                        from_s: s(m.rented),
                        to_s: s(e.at_ms),
                        class: None,
                    });
                }
            }
            What::Starts { machine, task, .. } => {
                let job = task.split('/').next().unwrap_or_default();
                let cpus = jobs.get(job).map_or(0.0, |j| j.0);
                if let Some(m) = machines.get_mut(machine.as_str()) {
                    point.cpus_fetching += cpus;
                    m.fetching.insert(task.clone(), (e.at_ms, cpus));
                }
            }
            What::On { machine, task, .. } => {
                let job = task.split('/').next().unwrap_or_default();
                let class = jobs.get(job).map_or("", |j| j.1).to_string();
                if let Some(m) = machines.get_mut(machine.as_str())
                    && let Some((since, cpus)) = m.fetching.remove(task)
                {
                    m.fetched += s(e.at_ms - since) * cpus;
                    point.cpus_fetching -= cpus;
                    point.cpus_running += cpus;
                    m.running.insert(task.clone(), (e.at_ms, cpus, class));
                }
            }
            What::Off {
                machine,
                task,
                why,
                kept_s,
                ..
            } => {
                if let Some(m) = machines.get_mut(machine.as_str())
                    && let Some((since, cpus, class)) = m.running.remove(task)
                {
                    let ran = s(e.at_ms - since) * cpus;
                    m.ran += ran;
                    // A fast machine saves more than one second of work in a second of run time.
                    let kept = if *why == Off::Done {
                        ran
                    } else {
                        (kept_s * cpus).min(ran)
                    };
                    m.useful += kept;
                    point.cpus_running -= cpus;
                    out.bars.push(Bar {
                        machine: machine.clone(),
                        from_s: s(since),
                        to_s: s(e.at_ms),
                        class: Some(class),
                    });
                }
            }
            What::Gone { machine, .. } => {
                if let Some(m) = machines.get_mut(machine.as_str())
                    && !m.gone
                {
                    m.gone = true;
                    point.hourly -= m.hourly;
                    match m.up {
                        Some(_) => {
                            point.up = point.up.saturating_sub(1);
                            point.cpus_up -= m.cpus;
                        }
                        None => point.booting = point.booting.saturating_sub(1),
                    }
                    for (since, cpus) in std::mem::take(&mut m.fetching).into_values() {
                        m.fetched += s(e.at_ms - since) * cpus;
                        point.cpus_fetching -= cpus;
                    }
                    let up = m.up.unwrap_or(e.at_ms);
                    let account = out.account.entry(m.account.clone()).or_default();
                    let alive = s(e.at_ms - up) * m.cpus;
                    account.booting += s(up - m.rented) * m.cpus;
                    account.useful += m.useful;
                    account.lost += (m.ran - m.useful).max(0.0);
                    let fetched = m.fetched.min((alive - m.ran).max(0.0));
                    account.fetching += fetched;
                    account.idle += (alive - m.ran - fetched).max(0.0);
                }
            }
            What::Waiting { levels } => point.waiting = levels.clone(),
            What::Node { now: state, .. } => match state.as_str() {
                "up" | "goes on" => point.nodes += 1,
                _ => point.nodes = point.nodes.saturating_sub(1),
            },
            What::Trouble { trouble, on } => {
                if *on {
                    out.faults.push(FaultInterval {
                        name: trouble.clone(),
                        from_s: s(e.at_ms),
                        to_s: s(end),
                    });
                } else {
                    let mut faults = out.faults.iter_mut();
                    if let Some(fault) = faults.find(|f| f.name == *trouble && f.to_s == s(end)) {
                        fault.to_s = s(e.at_ms);
                    }
                }
            }
            _ => {}
        }
    }
    point.at_s = s(end);
    out.points.push(point);
    out
}
