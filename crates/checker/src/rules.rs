//! Every rule of the protocol page, fed event by event.

use crate::answers::{Answer, Told};
use crate::breach::{Breach, Rule};
use crate::cancelled::CancelledStarts;
use crate::failed_day::{self, Failure};
use crate::groups::{self, GroupFigures};
use crate::history::{Ask, Event, Facts, Job, Off, State, What, job_of};
use crate::possible;
use crate::starved::{Least, Starved};
use crate::unanswered::Unanswered;
use crate::waiting::{Wait, Waiting};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// ms for which every poll for a job must fail to call it forgotten.
const SILENT_MS: u64 = 90_000;
/// CPUs that sums of decimal amounts may be off by.
const ROUNDING: f64 = 1e-6;

/// A rule that an answer breaks, since when, and why.
type Found = (Rule, u64, String);

#[derive(Debug)]
struct Known {
    job: Job,
    told: Told,
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
    fn count(&mut self, answer: &Answer) {
        let second = self.by_second.entry(answer.at_ms / 1000).or_default();
        match answer.status {
            200 | 404 => second.0 += 1,
            _ => second.1 += 1,
        }
    }

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
    waiting: Waiting,
    cancelled: CancelledStarts,
    unanswered: Unanswered,
    /// Fields that submissions lack, by job.
    lacking: BTreeMap<String, String>,
    /// At the end: why the operators would count the day as failed.
    pub failures: Vec<Failure>,
    /// At the end: figures of each class and team.
    pub groups: Vec<GroupFigures>,
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
        self.waiting.feed(event);
        self.breaches.extend(self.cancelled.feed(event));
        self.breaches.extend(self.unanswered.feed(event));
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
            } => {
                let answer = Answer {
                    ask: *ask,
                    sent_ms: *sent_ms,
                    at_ms: at,
                    status: *status,
                    state: *state,
                };
                self.told(job, &answer, node);
            }
            What::LacksField { job, field } => {
                self.lacking.insert(job.clone(), field.clone());
            }
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
            told: Told::default(),
            unwanted: None,
            done: BTreeMap::new(),
            on: BTreeMap::new(),
            silent: None,
        };
        self.jobs.entry(job.id.clone()).or_insert(known);
    }

    /// What came of a request about a job.
    fn told(&mut self, id: &str, answer: &Answer, node: &str) {
        if answer.ask == Ask::Poll {
            self.polls.count(answer);
        }
        let breach = |rule, since_ms, why: String| Breach {
            rule,
            what: id.to_string(),
            place: node.to_string(),
            since_ms,
            at_ms: answer.at_ms,
            why,
        };
        let Some(known) = self.jobs.get(id) else {
            if matches!(answer.status, 200 | 201) {
                let why = "nobody has submitted it; asked".to_string();
                self.breach(breach(Rule::Invented, answer.sent_ms, why));
            }
            return;
        };
        let contradictions = known.told.contradictions(answer);
        let older = contradictions
            .into_iter()
            .map(|c| (c.rule, c.since_ms, c.why));
        let found: Vec<_> = older
            .chain(self.silent_while_others_heard(id, answer))
            .chain(self.accepted_wrongly(id, answer))
            .chain(self.state_is_wrong(id, answer))
            .map(|(rule, since_ms, why)| breach(rule, since_ms, why))
            .collect();
        self.breaches.extend(found);
        self.hear(id, answer);
    }

    /// Takes the answer into what is known of its job.
    fn hear(&mut self, id: &str, answer: &Answer) {
        let Some(known) = self.jobs.get_mut(id) else {
            return;
        };
        if answer.ask == Ask::Poll && known.told.accepted_ms.is_some() {
            match answer.status {
                200 | 201 | 404 => known.silent = None,
                _ => {
                    known.silent.get_or_insert(answer.sent_ms);
                }
            }
        }
        if known.told.hear(answer) && answer.state == Some(State::Cancelled) {
            let deadline = answer.at_ms + self.cancel_ms();
            self.overdue.insert((deadline, id.to_string()));
        }
    }

    /// Every poll for it has failed for long, while most others were answered.
    fn silent_while_others_heard(&mut self, id: &str, answer: &Answer) -> Option<Found> {
        let known = self.jobs.get_mut(id)?;
        if answer.ask != Ask::Poll || matches!(answer.status, 200 | 201 | 404) {
            return None;
        }
        let since_ms = known.silent?;
        let long = answer.at_ms - since_ms >= SILENT_MS;
        if !long || !self.polls.mostly_answered(since_ms, answer.at_ms) {
            return None;
        }
        known.silent = None;
        let why = "every poll has failed while most others were answered, since";
        Some((Rule::Forgotten, since_ms, why.into()))
    }

    /// A job was accepted that had to be refused.
    fn accepted_wrongly(&self, id: &str, answer: &Answer) -> Option<Found> {
        let known = self.jobs.get(id)?;
        if known.told.accepted_ms.is_some() || !matches!(answer.status, 200 | 201) {
            return None;
        }
        let lacks = self
            .lacking
            .get(id)
            .map(|field| format!("it lacks {field}"));
        let facts = self.facts.as_ref()?;
        let why = lacks.or_else(|| possible::impossible(facts, &known.job))?;
        let why = format!("accepted, but {why}; asked");
        Some((Rule::AcceptedImpossible, answer.sent_ms, why))
    }

    /// States that other events than the user's own answers forbid.
    fn state_is_wrong(&self, id: &str, answer: &Answer) -> Vec<Found> {
        let (Some(known), 200 | 201, Some(state)) =
            (self.jobs.get(id), answer.status, answer.state)
        else {
            return Vec::new();
        };
        let mut found = Vec::new();
        let orphan_ms = self.orphaned_since(id);
        let orphan_ms = orphan_ms.filter(|ms| answer.sent_ms > ms + self.cancel_ms());
        if let Some(since_ms) = orphan_ms
            && !state.is_final()
        {
            let why = format!("called {state:?}, but a job before it was told cancelled");
            found.push((Rule::Orphaned, since_ms, why));
        }
        if state == State::Cancelled && !self.wanted_cancelled(id, answer.at_ms) {
            let why = "called cancelled, which its user never asked for; asked".to_string();
            found.push((Rule::WentBack, answer.sent_ms, why));
        }
        let (done, tasks) = (known.done.len() as u32, known.job.tasks);
        if state == State::Done && (known.job.standing || done < tasks) {
            let why = format!("called done with {done} of {tasks} tasks done; asked");
            found.push((Rule::NotDone, answer.sent_ms, why));
        }
        found
    }

    /// ms after the telling within which all tasks of a cancelled job must be gone.
    fn cancel_ms(&self) -> u64 {
        (self.facts.as_ref().map_or(0.0, |f| f.cancel_s) * 1000.0) as u64
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
        let told = |id: &str| match self.jobs.get(id)?.told.ended? {
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
            let told = known.told.ended.map_or(0, |e| e.1);
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
        let cancel_ms = self.cancel_ms();
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
        if let Some((State::Cancelled, told)) = known.told.ended
            && at > told + cancel_ms
        {
            let why = "started, and its job was told cancelled".to_string();
            found.push(breach(Rule::RanCancelled, told, why));
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
        self.breaches.extend(self.waiting.breaches());
        self.failures = failed_day::failures(&self.starved, at);
        self.groups = groups::figures(&self.starved, &self.waiting, &self.unanswered);
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

    /// Tasks that came onto machines after their user was told that the job is cancelled.
    pub fn starts_after_cancel(&self) -> u64 {
        self.cancelled.count
    }

    /// Jobs left waiting beside room before the last trouble was over: not a breach.
    pub fn earlier_waits(&self) -> Vec<Wait> {
        self.waiting.earlier()
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
