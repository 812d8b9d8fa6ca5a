//! Every rule of the protocol page, fed event by event.

use crate::breach::{Breach, Rule};
use crate::history::{Ask, Event, Facts, Job, Off, State, What, job_of};
use crate::starved::{Least, Starved};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// ms for which every poll for a job must fail to call it forgotten.
const SILENT_MS: u64 = 90_000;
/// CPUs that sums of decimal amounts may be off by.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
struct Known {
    job: Job,
    accepted: Option<u64>,
    /// The final state that its user was told, and when.
    ended: Option<(State, u64)>,
    unwanted: Option<u64>,
    /// When each finished task was done.
    done: BTreeMap<u32, u64>,
    /// Tasks on machines: machine, since when.
    on: BTreeMap<u32, Vec<(String, u64)>>,
    /// First poll of an unbroken run of failed ones.
    silent: Option<u64>,
}

#[derive(Debug, Default)]
struct Polls {
    /// Of each whole second: answered, and failed.
    by_second: BTreeMap<u64, (u32, u32)>,
}

impl Polls {
    fn mostly_answered(&self, from_ms: u64, to_ms: u64) -> bool {
        let range = self.by_second.range(from_ms / 1000..=to_ms / 1000);
        let (mut answered, mut failed) = (0, 0);
        for (_, (a, f)) in range {
            answered += a;
            failed += f;
        }
        answered > failed
    }
}

#[derive(Debug)]
struct Machine {
    kind: String,
    zone: String,
    spot: bool,
}

#[derive(Debug, Default)]
pub struct Checker {
    facts: Option<Facts>,
    jobs: BTreeMap<String, Known>,
    machines: HashMap<String, Machine>,
    /// CPUs of each team on machines, and when a task of it last started.
    used: BTreeMap<String, (f64, u64)>,
    polls: Polls,
    /// Jobs told cancelled that still have tasks on machines, by deadline.
    overdue: BTreeSet<(u64, String)>,
    starts: u64,
    submitted: u64,
    starved: Starved,
    /// At the end, if the scenario asks how its classes are served.
    pub least: Option<Least>,
    pub breaches: Vec<Breach>,
}

impl Checker {
    pub fn new() -> Checker {
        Checker::default()
    }

    fn breach(&mut self, b: Breach) {
        self.breaches.push(b);
    }

    pub fn feed(&mut self, event: &Event) {
        let at = event.at_ms;
        self.expire(at);
        self.starved.feed(event);
        match &event.what {
            What::Begins { facts, .. } => self.facts = Some(facts.clone()),
            What::Submitted { job } => self.submitted(job),
            What::Told {
                ask,
                job,
                sent_ms,
                status,
                state,
                node,
            } => self.told(*ask, job, *sent_ms, at, *status, *state, node),
            What::Unwanted { job } => {
                if let Some(k) = self.jobs.get_mut(job) {
                    k.unwanted.get_or_insert(at);
                }
            }
            What::Rented {
                machine,
                kind,
                zone,
                spot,
                ..
            } => {
                let m = Machine {
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                };
                self.machines.insert(machine.clone(), m);
            }
            What::On { machine, task, .. } => self.on(machine, task, at),
            What::Off {
                machine, task, why, ..
            } => self.off(machine, task, *why, at),
            What::Ends => self.ends(at),
            _ => {}
        }
    }

    fn submitted(&mut self, job: &Job) {
        self.submitted += 1;
        let known = Known {
            job: job.clone(),
            accepted: None,
            ended: None,
            unwanted: None,
            done: BTreeMap::new(),
            on: BTreeMap::new(),
            silent: None,
        };
        self.jobs.entry(job.id.clone()).or_insert(known);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn told(
        &mut self,
        ask: Ask,
        id: &str,
        sent: u64,
        at: u64,
        status: u16,
        state: Option<State>,
        node: &str,
    ) {
        let mut found = Vec::new();
        let breach = |rule, since_ms, why: &str| Breach {
            rule,
            what: id.to_string(),
            place: node.to_string(),
            since_ms,
            at_ms: at,
            why: why.to_string(),
        };
        if ask == Ask::Poll {
            let second = self.polls.by_second.entry(at / 1000).or_default();
            match status {
                200 | 404 => second.0 += 1,
                _ => second.1 += 1,
            }
        }
        // The earliest cancellation of a job before it, as its user was told it.
        let orphan = self.orphaned_since(id);
        let asked_for = self.wanted_cancelled(id, at);
        let Some(known) = self.jobs.get_mut(id) else {
            if matches!(status, 200 | 201) {
                let why = "nobody has submitted it; asked";
                self.breach(breach(Rule::Invented, sent, why));
            }
            return;
        };
        let answered = matches!(status, 200 | 201 | 404);
        if let (Some(_), Ask::Poll) = (known.accepted, ask) {
            if answered {
                known.silent = None;
            } else {
                let since = *known.silent.get_or_insert(sent);
                if at - since >= SILENT_MS && self.polls.mostly_answered(since, at) {
                    found.push(breach(
                        Rule::Forgotten,
                        since,
                        "every poll has failed while most others were answered, since",
                    ));
                    known.silent = None;
                }
            }
        }
        // Only what was asked after an earlier answer must not be older.
        if let Some(accepted) = known.accepted.filter(|t| sent >= *t) {
            if status == 404 {
                found.push(breach(
                    Rule::Forgotten,
                    accepted,
                    "called unknown, but accepted",
                ));
            }
            if ask == Ask::Submit && matches!(status, 400 | 422) {
                found.push(breach(
                    Rule::Forgotten,
                    accepted,
                    "a repeat was refused, but it was accepted",
                ));
            }
        }
        if let (200 | 201, Some(state)) = (status, state) {
            match known.ended {
                Some((was, then)) if sent >= then && was != state => {
                    let why = format!("called {state:?}, but called {was:?}");
                    found.push(breach(Rule::WentBack, then, &why));
                }
                // Two answers that crossed must still agree on the end.
                Some((was, then)) if state.is_final() && was != state => {
                    let why = format!("called {state:?}, but called {was:?}");
                    found.push(breach(Rule::WentBack, then, &why));
                }
                _ => {}
            }
            let cancel_ms = self.facts.as_ref().map_or(0.0, |f| f.cancel_s) * 1000.0;
            if let Some(since) = orphan.filter(|t| sent > *t + cancel_ms as u64)
                && !state.is_final()
            {
                let why = format!("called {state:?}, but a job before it was told cancelled");
                found.push(breach(Rule::Orphaned, since, &why));
            }
            if state == State::Cancelled && !asked_for {
                let why = "called cancelled, which its user never asked for; asked";
                found.push(breach(Rule::WentBack, sent, why));
            }
            let all = !known.job.standing && known.done.len() as u32 >= known.job.tasks;
            if state == State::Done && !all {
                let why = format!(
                    "called done with {} of {} tasks done; asked",
                    known.done.len(),
                    known.job.tasks
                );
                found.push(breach(Rule::NotDone, sent, &why));
            }
            known.accepted.get_or_insert(at);
            if state.is_final() && known.ended.is_none() {
                known.ended = Some((state, at));
                if state == State::Cancelled {
                    let cancel_s = self.facts.as_ref().map_or(0.0, |f| f.cancel_s);
                    let deadline = at + (cancel_s * 1000.0) as u64;
                    self.overdue.insert((deadline, id.to_string()));
                }
            }
        }
        self.breaches.extend(found);
    }

    /// All jobs that this one needs, directly or through others.
    fn before(&self, id: &str) -> BTreeSet<&str> {
        let mut found: BTreeSet<&str> = BTreeSet::new();
        let needs = |id: &str| self.jobs.get(id).map_or(&[][..], |k| &k.job.needs);
        let mut next: Vec<&String> = needs(id).iter().collect();
        while let Some(id) = next.pop() {
            if found.insert(id) {
                next.extend(needs(id));
            }
        }
        found
    }

    /// When the first of the jobs before it was told cancelled.
    fn orphaned_since(&self, id: &str) -> Option<u64> {
        let told = |id: &str| match self.jobs.get(id)?.ended? {
            (State::Cancelled, at) => Some(at),
            _ => None,
        };
        self.before(id).into_iter().filter_map(told).min()
    }

    /// Did its user, or that of a job before it, want it cancelled by then?
    fn wanted_cancelled(&self, id: &str, at: u64) -> bool {
        let unwanted = |id: &str| {
            let known = self.jobs.get(id);
            known.and_then(|k| k.unwanted).is_some_and(|t| t <= at)
        };
        unwanted(id) || self.before(id).into_iter().any(unwanted)
    }

    /// Cancelled jobs whose time to be gone is over.
    fn expire(&mut self, now: u64) {
        while let Some((deadline, id)) = self.overdue.first().cloned()
            && deadline < now
        {
            self.overdue.pop_first();
            let Some(known) = self.jobs.get(&id) else {
                continue;
            };
            let told = known.ended.map_or(0, |e| e.1);
            let late: Vec<Breach> = known
                .on
                .iter()
                .flat_map(|(n, on)| on.iter().map(move |(machine, _)| (n, machine)))
                .map(|(n, machine)| Breach {
                    rule: Rule::RanCancelled,
                    what: format!("{id}/{n}"),
                    place: machine.clone(),
                    since_ms: told,
                    at_ms: deadline,
                    why: "still there, and its job was told cancelled".into(),
                })
                .collect();
            self.breaches.extend(late);
        }
    }

    fn on(&mut self, machine: &str, task: &str, at: u64) {
        self.starts += 1;
        let mut found = Vec::new();
        let breach = |rule, since_ms, why: String| Breach {
            rule,
            what: task.to_string(),
            place: machine.to_string(),
            since_ms,
            at_ms: at,
            why,
        };
        let number = task.split_once('/').and_then(|(_, n)| n.parse().ok());
        let undone = |id: &&String| {
            let known = self.jobs.get(*id);
            known.is_none_or(|k| (k.done.len() as u32) < k.job.tasks)
        };
        let needs = self.jobs.get(job_of(task)).map(|k| &k.job.needs);
        let early = needs.and_then(|n| n.iter().find(undone)).cloned();
        let (Some(known), Some(n)) = (self.jobs.get_mut(job_of(task)), number) else {
            let why = "nobody has submitted it; it started".to_string();
            self.breach(breach(Rule::Invented, at, why));
            return;
        };
        if let Some(need) = early {
            let why = format!("started before {need} was done; it began");
            found.push(breach(Rule::TooEarly, at, why));
        }
        if let Some((other, since)) = known.on.get(&n).and_then(|on| on.first()) {
            let why = format!("it is on {other} since");
            found.push(breach(Rule::RanTwice, *since, why));
        }
        if let Some((State::Cancelled, told)) = known.ended {
            let cancel_s = self.facts.as_ref().map_or(0.0, |f| f.cancel_s);
            if at > told + (cancel_s * 1000.0) as u64 {
                let why = "started, and its job was told cancelled".to_string();
                found.push(breach(Rule::RanCancelled, told, why));
            }
        }
        if let Some(m) = self.machines.get(machine) {
            let job = &known.job;
            let kinds = job.kinds.as_ref();
            let mut wrong = None;
            if kinds.is_some_and(|k| !k.contains(&m.kind)) {
                wrong = Some(format!("its job doesn't allow the type {}", m.kind));
            } else if job.zone.as_ref().is_some_and(|z| *z != m.zone) {
                wrong = Some(format!("its job doesn't allow the zone {}", m.zone));
            } else if m.spot && !job.spot {
                wrong = Some("its job doesn't allow spot machines".to_string());
            }
            let machines = &self.machines;
            let zone_of = |name: &String| machines.get(name).map(|m| m.zone.as_str());
            let others = || {
                let on = known.on.iter().filter(|(k, _)| **k != n);
                on.flat_map(|(_, on)| on.iter().map(|(name, since)| (zone_of(name), *since)))
            };
            let mut since = at;
            if job.one_zone
                && let Some((zone, s)) = others().find(|(z, _)| *z != Some(m.zone.as_str()))
            {
                since = s;
                wrong = Some(format!("its job must be in one zone, and is in {zone:?}"));
            }
            let here = others()
                .filter(|(z, _)| *z == Some(m.zone.as_str()))
                .count();
            let most = job.tasks.div_ceil(2) as usize;
            if job.spread && here + 1 > most {
                wrong = Some(format!("{here} of at most {most} tasks are in its zone"));
            }
            if let Some(why) = wrong {
                found.push(breach(Rule::WrongPlace, since, why + ", seen"));
            }
        }
        let (team, cpus) = (known.job.team.clone(), known.job.cpus);
        let on = known.on.entry(n).or_default();
        on.push((machine.to_string(), at));
        let used = self.used.entry(team.clone()).or_default();
        let before = std::mem::replace(&mut used.1, at);
        used.0 += cpus;
        let facts = self.facts.as_ref();
        let limit = facts
            .and_then(|f| f.teams.iter().find(|t| t.name == team))
            .map(|t| t.cpus_max)
            .filter(|most| *most > 0.0);
        if let Some(limit) = limit
            && used.0 > limit + ROUNDING
        {
            let why = format!("{team} uses {} of {limit} CPUs; its last start", used.0);
            found.push(breach(Rule::Quota, before, why));
        }
        self.breaches.extend(found);
    }

    fn off(&mut self, machine: &str, task: &str, why: Off, at: u64) {
        let number = task.split_once('/').and_then(|(_, n)| n.parse().ok());
        let (Some(known), Some(n)) = (self.jobs.get_mut(job_of(task)), number) else {
            return;
        };
        let Some(on) = known.on.get_mut(&n) else {
            return;
        };
        let before = on.len();
        if let Some(i) = on.iter().position(|(m, _)| m == machine) {
            on.remove(i);
        }
        let gone = before - on.len();
        if on.is_empty() {
            known.on.remove(&n);
        }
        if why == Off::Done {
            known.done.entry(n).or_insert(at);
        }
        if let Some(used) = self.used.get_mut(&known.job.team) {
            used.0 -= known.job.cpus * gone as f64;
        }
    }

    fn ends(&mut self, at: u64) {
        self.expire(at + 1);
        let starved = self.starved.ends(at);
        self.breaches.extend(starved);
        self.least = self.starved.least(at);
        if self.starts == 0 && self.submitted > 0 {
            self.breach(Breach {
                rule: Rule::NothingRan,
                what: format!("{} jobs", self.submitted),
                place: "all machines".into(),
                since_ms: 0,
                at_ms: at,
                why: "no task was started since".into(),
            });
        }
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts: BTreeMap<_, _> = Rule::ALL.iter().map(|r| (r.name(), 0)).collect();
        for b in &self.breaches {
            *counts.entry(b.rule.name()).or_default() += 1;
        }
        counts
    }

    pub fn of(events: &[Event]) -> Checker {
        let mut checker = Checker::new();
        for e in events {
            checker.feed(e);
        }
        checker
    }
}
