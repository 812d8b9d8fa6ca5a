//! Who starves: a class or a team of which less than the scenario asks was done in time,
//! although what the others got beyond that would have been enough.

use crate::breach::{Breach, Rule};
use crate::history::{Event, Facts, Job, MachineType, Off, What, job_of};
use crate::possible;
use cherrywood_scenario::deployment::Served;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Seen {
    job: Job,
    at: u64,
    /// Nobody waits for it: its user wants it cancelled, or it was refused for good.
    void: bool,
    /// It can never run: wanted by nobody, also if its user gave up before it was refused.
    impossible: bool,
    done: BTreeSet<String>,
    done_at: Option<u64>,
    accepted: bool,
    began: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Starved {
    asked: Option<Served>,
    /// What can run at all.
    facts: Option<Facts>,
    jobs: BTreeMap<String, Seen>,
    /// Run time that was of use, CPU seconds, and tasks done, by class.
    useful: BTreeMap<String, (f64, u32)>,
    kinds: Vec<MachineType>,
    /// CPUs of each machine, when it was up and when it was gone.
    machines: BTreeMap<String, (f64, Option<u64>, Option<u64>)>,
}

/// The least served class or team, and what could have been.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Least {
    /// Share of its jobs done in time.
    pub share: f64,
    /// The class, its largest tenth, or the team.
    pub name: String,
    /// s until the last accepted job of the largest tenths of all classes began.
    pub longest_start_s: f64,
    /// The share that every class could have had on the machines that were up, had all
    /// sizes been known and had no CPU ever waited or fetched.
    pub bound: f64,
}

/// Jobs that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Members<'a> {
    Class(&'a str),
    LargestOf(&'a str),
    Team(&'a str),
}

/// How many jobs were wanted, and how many of them were done.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    pub wanted: usize,
    pub served: usize,
}

impl Share {
    /// The share that was done; all of none.
    pub fn value(self) -> f64 {
        if self.wanted == 0 {
            return 1.0;
        }
        self.served as f64 / self.wanted as f64
    }
}

/// One class or team at the end.
#[derive(Debug, Default)]
struct Group {
    wanted: usize,
    served: usize,
    first_ms: Option<u64>,
    /// Expected CPU seconds of the jobs that were served, and of those that weren't.
    got: f64,
    missing: Vec<f64>,
}

impl Group {
    fn share(&self) -> f64 {
        self.served as f64 / self.wanted.max(1) as f64
    }
}

impl Seen {
    /// Does anybody wait for it? What was accepted counts, whether it can run or not.
    fn wanted(&self) -> bool {
        !self.void && (self.accepted || !self.impossible)
    }
}

impl Starved {
    fn can_never_run(&self, job: &Job) -> bool {
        let facts = self.facts.as_ref();
        facts.is_some_and(|facts| possible::impossible(facts, job).is_some())
    }

    pub fn feed(&mut self, event: &Event) {
        match &event.what {
            What::Begins { facts, .. } => {
                self.asked = facts.served;
                self.kinds.clone_from(&facts.kinds);
                self.facts = Some(facts.clone());
            }
            What::Rented { machine, kind, .. } => {
                let kind = self.kinds.iter().find(|k| k.name == *kind);
                let cpus = kind.map_or(0.0, |k| k.cpus);
                self.machines.insert(machine.clone(), (cpus, None, None));
            }
            What::Up { machine } => {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.1.get_or_insert(event.at_ms);
                }
            }
            What::Gone { machine, .. } => {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.2.get_or_insert(event.at_ms);
                }
            }
            What::Submitted { job } => {
                let seen = Seen {
                    job: job.clone(),
                    at: event.at_ms,
                    void: job.standing,
                    impossible: self.can_never_run(job),
                    done: BTreeSet::new(),
                    done_at: None,
                    accepted: false,
                    began: None,
                };
                self.jobs.entry(job.id.clone()).or_insert(seen);
            }
            What::Told {
                job,
                status: 200 | 201,
                ..
            } => {
                if let Some(s) = self.jobs.get_mut(job) {
                    s.accepted = true;
                }
            }
            What::On { task, .. } => {
                if let Some(s) = self.jobs.get_mut(job_of(task)) {
                    s.began.get_or_insert(event.at_ms);
                }
            }
            What::Told {
                job,
                status: 400 | 422,
                ..
            }
            | What::Unwanted { job } => {
                if let Some(s) = self.jobs.get_mut(job) {
                    s.void = true;
                }
            }
            What::Off {
                task, why, kept_s, ..
            } => {
                let Some(s) = self.jobs.get_mut(job_of(task)) else {
                    return;
                };
                let useful = self.useful.entry(s.job.class.clone()).or_default();
                useful.0 += kept_s * s.job.cpus;
                if *why == Off::Done && s.done.insert(task.clone()) {
                    useful.1 += 1;
                    if s.done.len() as u32 >= s.job.tasks {
                        s.done_at = Some(event.at_ms);
                    }
                }
            }
            _ => {}
        }
    }

    /// What a job takes, by what the tasks of its class took.
    fn work(&self, job: &Job) -> f64 {
        let (useful, tasks) = self.useful.get(&job.class).copied().unwrap_or_default();
        let all = self
            .useful
            .values()
            .fold((0.0, 0), |a, u| (a.0 + u.0, a.1 + u.1));
        let (useful, tasks) = if tasks > 0 { (useful, tasks) } else { all };
        useful / f64::from(tasks.max(1)) * f64::from(job.tasks)
    }

    /// When the last job that it needs was done, or it was submitted.
    fn ready_at(&self, s: &Seen) -> Option<u64> {
        let done = |id: &String| self.jobs.get(id)?.done_at;
        let ends: Option<Vec<u64>> = s.job.needs.iter().map(done).collect();
        Some(ends?.into_iter().fold(s.at, u64::max))
    }

    /// The largest tenth of each class, by their work, if the scenario asks for their
    /// beginning; all of a class of fewer than ten jobs is no tenth.
    fn largest(&self) -> BTreeSet<&str> {
        match self.asked {
            Some(Served {
                begin_s: Some(_), ..
            }) => self.largest_tenths(),
            _ => BTreeSet::new(),
        }
    }

    /// The largest tenth of each class, by their work.
    fn largest_tenths(&self) -> BTreeSet<&str> {
        let mut classes: BTreeMap<&str, Vec<(f64, &str)>> = BTreeMap::new();
        for s in self.jobs.values().filter(|s| s.wanted()) {
            let of = classes.entry(&s.job.class).or_default();
            of.push((self.work(&s.job), &s.job.id));
        }
        let mut largest = BTreeSet::new();
        for of in classes.values_mut() {
            of.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
            largest.extend(of.iter().take(of.len() / 10).map(|(_, id)| *id));
        }
        largest
    }

    /// ms until the last accepted job of the largest tenths began, since it was ready, with
    /// its id; for one that never did, until now.
    pub fn longest_start(&self, at: u64) -> Option<(u64, &str)> {
        self.longest_start_of(&self.largest(), at)
    }

    /// The same, whether or not the scenario asks for it.
    pub(crate) fn longest_start_of_tenths(&self, at: u64) -> Option<(u64, &str)> {
        self.longest_start_of(&self.largest_tenths(), at)
    }

    fn longest_start_of(&self, largest: &BTreeSet<&str>, at: u64) -> Option<(u64, &str)> {
        let of = self
            .jobs
            .values()
            .filter(|s| s.accepted && largest.contains(s.job.id.as_str()));
        let waits = of.filter_map(|s| {
            let from = self.ready_at(s)?;
            Some((
                s.began.unwrap_or(at).saturating_sub(from),
                s.job.id.as_str(),
            ))
        });
        waits.max()
    }

    /// Every class, its largest tenth, and every team, with the jobs whose time was over.
    fn groups(&self, within_ms: u64, at: u64) -> BTreeMap<(&str, &str), Group> {
        let mut groups: BTreeMap<(&str, &str), Group> = BTreeMap::new();
        let largest = self.largest();
        for s in self.jobs.values().filter(|s| s.wanted()) {
            // One that waits for others counts from when they are done.
            let Some(from) = self.ready_at(s) else {
                continue;
            };
            let class = s.job.class.as_str();
            // The largest may begin later than others, and have as much longer to be done.
            let begin_s = self.asked.and_then(|a| a.begin_s).unwrap_or(0.0);
            let longer_ms = within_ms + (begin_s * 1000.0) as u64;
            let tenth = largest.contains(s.job.id.as_str());
            let tenth = tenth.then_some(("the largest tenth of", class, longer_ms));
            let all = [
                ("class", class, within_ms),
                ("team", &s.job.team, within_ms),
            ];
            for (what, name, within_ms) in all.into_iter().chain(tenth) {
                let served = s.done_at.is_some_and(|d| d - from <= within_ms);
                // Too late in the scenario for its time to be over.
                if !served && at < from + within_ms {
                    continue;
                }
                let g = groups.entry((what, name)).or_default();
                g.wanted += 1;
                g.first_ms.get_or_insert(s.at);
                if served {
                    g.served += 1;
                    g.got += self.work(&s.job);
                } else {
                    g.missing.push(self.work(&s.job));
                }
            }
        }
        groups
    }

    /// How many jobs of every class, its largest tenth and every team were wanted and could
    /// run, and how many of them were done by the end.
    pub(crate) fn shares(&self) -> BTreeMap<Members<'_>, Share> {
        let largest = self.largest_tenths();
        let mut shares: BTreeMap<Members<'_>, Share> = BTreeMap::new();
        let wanted = self.jobs.values().filter(|s| s.wanted());
        for seen in wanted.filter(|s| self.ready_at(s).is_some()) {
            let job = &seen.job;
            let tenth = largest.contains(job.id.as_str());
            let tenth = tenth.then_some(Members::LargestOf(&job.class));
            let all = [Members::Class(&job.class), Members::Team(&job.team)];
            for members in all.into_iter().chain(tenth) {
                let share = shares.entry(members).or_default();
                share.wanted += 1;
                share.served += usize::from(seen.done_at.is_some());
            }
        }
        shares
    }

    /// Every submitted job.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(|seen| &seen.job)
    }

    /// The least served, if the scenario says in what time.
    pub fn least(&self, at: u64) -> Option<Least> {
        let within_ms = (self.asked?.within_s * 1000.0) as u64;
        let groups = self.groups(within_ms, at);
        let least = groups
            .iter()
            .min_by(|a, b| a.1.share().total_cmp(&b.1.share()));
        let ((what, name), group) = least?;
        let longest = self.longest_start(at);
        let open = self.jobs.values().filter(|s| s.wanted());
        let last = open.clone().map(|s| s.at + within_ms).max().unwrap_or(0);
        let up = |m: &(f64, Option<u64>, Option<u64>)| {
            let (from, to) = (m.1.unwrap_or(last), m.2.unwrap_or(last).min(last));
            m.0 * to.saturating_sub(from) as f64 / 1000.0
        };
        let can: f64 = self.machines.values().map(up).sum();
        let mut classes: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for s in open {
            let sizes = classes.entry(&s.job.class).or_default();
            sizes.push(self.work(&s.job));
        }
        classes.values_mut().for_each(|c| c.sort_by(f64::total_cmp));
        // The largest share whose smallest jobs fit, to a thousandth.
        let takes = |thousandth: u32| -> f64 {
            let of = |c: &Vec<f64>| {
                let n = (c.len() as f64 * f64::from(thousandth) / 1000.0).ceil() as usize;
                c[..n.min(c.len())].iter().sum::<f64>()
            };
            classes.values().map(of).sum()
        };
        let fits = (0..=1000).rev().find(|s| takes(*s) <= can);
        Some(Least {
            share: group.share(),
            name: match *what {
                "class" | "team" => (*name).to_string(),
                what => format!("{what} {name}"),
            },
            longest_start_s: longest.map_or(0.0, |(ms, _)| ms as f64 / 1000.0),
            bound: f64::from(fits.unwrap_or(0)) / 1000.0,
        })
    }

    /// At the end of the scenario.
    pub fn ends(&self, at: u64) -> Vec<Breach> {
        let Some(asked) = self.asked else {
            return Vec::new();
        };
        let groups = self.groups((asked.within_s * 1000.0) as u64, at);
        let mut breaches = Vec::new();
        if let (Some(begin_s), Some((ms, id))) = (asked.begin_s, self.longest_start(at))
            && ms as f64 > begin_s * 1000.0
        {
            breaches.push(Breach {
                rule: Rule::Starved,
                what: format!("job {id}"),
                place: "all machines".into(),
                since_ms: at.saturating_sub(ms),
                at_ms: at,
                why: format!("of the largest of its class, not begun within {begin_s} s, since"),
            });
        }
        for ((what, name), g) in &groups {
            if g.share() >= asked.share {
                continue;
            }
            let lacks = (asked.share * g.wanted as f64).ceil() as usize - g.served;
            let mut missing = g.missing.clone();
            missing.sort_by(f64::total_cmp);
            let needs: f64 = missing.iter().take(lacks).sum();
            // What the others of its kind got beyond what was asked for them.
            let others = groups.iter().filter(|(k, _)| k.0 == *what && k.1 != *name);
            let spare = |g: &Group| g.got * (1.0 - asked.share / g.share().max(asked.share));
            let spare: f64 = others.map(|(_, g)| spare(g)).sum();
            if spare >= needs {
                breaches.push(Breach {
                    rule: Rule::Starved,
                    what: format!("{what} {name}"),
                    place: "all machines".into(),
                    since_ms: g.first_ms.unwrap_or(0),
                    at_ms: at,
                    why: format!(
                        "{} of {} jobs done within {} s, {:.0} CPU s short while others had \
                         {spare:.0} beyond their part, since",
                        g.served, g.wanted, asked.within_s, needs
                    ),
                });
            }
        }
        breaches
    }
}
