//! A scenario over time, and what every machine-second bought, from its history.

use cherrywood_checker::history::Off;
use cherrywood_checker::{Event, What};
use serde::Serialize;
use std::collections::BTreeMap;

/// Points of a plot, at most.
const POINTS: f64 = 300.0;

/// A trouble, from when to when.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Band {
    pub name: String,
    pub from_s: f64,
    pub to_s: f64,
}

/// The state of the scenario at a moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Point {
    pub at_s: f64,
    pub booting: u32,
    pub up: u32,
    /// CPUs of machines that are up, and of tasks on them.
    pub cpus_up: f64,
    pub cpus_running: f64,
    /// CPUs of tasks that wait for an image.
    pub cpus_fetching: f64,
    /// Money an hour at nominal prices.
    pub hourly: f64,
    /// Tasks waiting in each level, as the leader last said.
    pub waiting: Vec<u32>,
    /// Jobs submitted, accepted and done since the point before.
    pub submitted: u32,
    pub accepted: u32,
    pub done: u32,
    /// Controllers that are up and going.
    pub nodes: u32,
}

/// A stretch of a machine's life, for the Gantt plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bar {
    pub machine: String,
    pub from_s: f64,
    pub to_s: f64,
    /// None: booting; else the class of the task.
    pub class: Option<String>,
}

/// CPU-seconds paid for, by what they bought.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Account {
    pub booting: f64,
    pub fetching: f64,
    /// Tasks that completed, and progress that was saved.
    pub useful: f64,
    /// Run, and not kept.
    pub lost: f64,
    pub idle: f64,
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct Timeline {
    pub points: Vec<Point>,
    pub bands: Vec<Band>,
    pub bars: Vec<Bar>,
    /// By machine type and zone.
    pub account: BTreeMap<String, Account>,
}

#[derive(Debug)]
struct Machine {
    cpus: f64,
    hourly: f64,
    place: String,
    rented: u64,
    up: Option<u64>,
    gone: bool,
    /// Tasks on it and tasks it fetches for: since when, CPUs, class.
    on: BTreeMap<String, (u64, f64, String)>,
    fetching: BTreeMap<String, (u64, f64)>,
    /// CPU-seconds run and fetched.
    ran: f64,
    fetched: f64,
    useful: f64,
}

pub fn timeline(events: &[Event]) -> Timeline {
    let mut out = Timeline::default();
    let end = events.last().map_or(0, |e| e.at_ms);
    let step = ((end as f64 / 1000.0 / POINTS).ceil().max(1.0) * 1000.0) as u64;
    let mut kinds: BTreeMap<String, (f64, f64, f64)> = BTreeMap::new();
    let mut jobs: BTreeMap<&str, (f64, &str)> = BTreeMap::new();
    let mut accepted: BTreeMap<&str, bool> = BTreeMap::new();
    let mut machines: BTreeMap<&str, Machine> = BTreeMap::new();
    let mut now = Point::default();
    let mut next = step;
    let s = |ms: u64| ms as f64 / 1000.0;
    for e in events {
        while e.at_ms >= next {
            now.at_s = s(next);
            out.points.push(now.clone());
            (now.submitted, now.accepted, now.done) = (0, 0, 0);
            next += step;
        }
        match &e.what {
            What::Begins { facts, .. } => {
                for k in &facts.kinds {
                    let spot = k.spot_price.unwrap_or(k.price);
                    kinds.insert(k.name.clone(), (k.cpus, k.price, spot));
                }
            }
            What::Submitted { job } => {
                now.submitted += 1;
                jobs.insert(&job.id, (job.cpus, &job.class));
            }
            What::Told {
                job, status, state, ..
            } => {
                let known = accepted.entry(job).or_default();
                if matches!(status, 200 | 201) && !*known {
                    *known = true;
                    now.accepted += 1;
                }
                if state.is_some_and(cherrywood_checker::history::State::is_final)
                    && jobs.remove(job.as_str()).is_some_and(|_| true)
                {
                    now.done += 1;
                }
            }
            What::Rented {
                machine,
                kind,
                zone,
                spot,
                ..
            } => {
                let (cpus, price, cheap) = kinds.get(kind).copied().unwrap_or_default();
                let hourly = if *spot { cheap } else { price };
                now.booting += 1;
                now.hourly += hourly;
                let sort = if *spot { "spot" } else { "ordinary" };
                machines.insert(
                    machine,
                    Machine {
                        cpus,
                        hourly,
                        place: format!("{kind}, {zone}, {sort}"),
                        rented: e.at_ms,
                        up: None,
                        gone: false,
                        on: BTreeMap::new(),
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
                    now.booting = now.booting.saturating_sub(1);
                    now.up += 1;
                    now.cpus_up += m.cpus;
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
                    now.cpus_fetching += cpus;
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
                    now.cpus_fetching -= cpus;
                    now.cpus_running += cpus;
                    m.on.insert(task.clone(), (e.at_ms, cpus, class));
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
                    && let Some((since, cpus, class)) = m.on.remove(task)
                {
                    let ran = s(e.at_ms - since) * cpus;
                    m.ran += ran;
                    // A fast machine does more than a second's work in one.
                    let kept = if *why == Off::Done {
                        ran
                    } else {
                        (kept_s * cpus).min(ran)
                    };
                    m.useful += kept;
                    now.cpus_running -= cpus;
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
                    now.hourly -= m.hourly;
                    match m.up {
                        Some(_) => {
                            now.up = now.up.saturating_sub(1);
                            now.cpus_up -= m.cpus;
                        }
                        None => now.booting = now.booting.saturating_sub(1),
                    }
                    for (since, cpus) in std::mem::take(&mut m.fetching).into_values() {
                        m.fetched += s(e.at_ms - since) * cpus;
                        now.cpus_fetching -= cpus;
                    }
                    let up = m.up.unwrap_or(e.at_ms);
                    let a = out.account.entry(m.place.clone()).or_default();
                    let alive = s(e.at_ms - up) * m.cpus;
                    a.booting += s(up - m.rented) * m.cpus;
                    a.useful += m.useful;
                    a.lost += (m.ran - m.useful).max(0.0);
                    let fetched = m.fetched.min((alive - m.ran).max(0.0));
                    a.fetching += fetched;
                    a.idle += (alive - m.ran - fetched).max(0.0);
                }
            }
            What::Waiting { levels } => now.waiting = levels.clone(),
            What::Node { now: is, .. } => match is.as_str() {
                "up" | "goes on" => now.nodes += 1,
                _ => now.nodes = now.nodes.saturating_sub(1),
            },
            What::Trouble { trouble, on } => {
                if *on {
                    out.bands.push(Band {
                        name: trouble.clone(),
                        from_s: s(e.at_ms),
                        to_s: s(end),
                    });
                } else {
                    let mut open = out.bands.iter_mut();
                    if let Some(b) = open.find(|b| b.name == *trouble && b.to_s == s(end)) {
                        b.to_s = s(e.at_ms);
                    }
                }
            }
            _ => {}
        }
    }
    now.at_s = s(end);
    out.points.push(now);
    out
}
