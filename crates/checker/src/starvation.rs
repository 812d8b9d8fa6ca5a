//! Finds starvation: a class or a team with a smaller share of jobs done in time than the
//! scenario asks for, although the excess that other groups got would have been enough.

use crate::feasibility;
use crate::history::{Event, Facts, Job, MachineType, Off, What, job_of};
use crate::violation::{Rule, Violation};
use cherrywood_scenario::deployment::Served;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct TrackedJob {
    job: Job,
    submitted_ms: u64,
    /// Whether no user waits for the job: it runs until cancelled, was refused for good, or its
    /// user wants it cancelled.
    excluded: bool,
    /// Whether the job can never run. It does not count unless it was accepted, also if its
    /// user gave up before it was refused.
    infeasible: bool,
    done: BTreeSet<String>,
    done_ms: Option<u64>,
    accepted: bool,
    started_ms: Option<u64>,
}

/// Tracks which jobs are done, and finds starved classes and teams.
#[derive(Debug, Default)]
pub struct Starvation {
    target: Option<Served>,
    /// Facts that determine which jobs can run at all.
    facts: Option<Facts>,
    jobs: BTreeMap<String, TrackedJob>,
    /// Useful run time in CPU seconds, and number of tasks done, by class.
    useful: BTreeMap<String, (f64, u32)>,
    kinds: Vec<MachineType>,
    /// CPUs of each machine, and the times at which it was up and was gone.
    machines: BTreeMap<String, (f64, Option<u64>, Option<u64>)>,
}

/// The least served class or team, and the share that would have been possible.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeastServed {
    /// Share of the jobs of the group done in time.
    pub share: f64,
    /// Name of the group: a class, its largest tenth, or a team.
    pub name: String,
    /// Longest time from when an accepted job of the largest tenths of all classes was ready to
    /// its start, in s.
    pub longest_start_s: f64,
    /// Upper bound: the share that every class could have had on the machines that were up, if
    /// all sizes had been known and no CPU had ever been idle or waited for an image fetch.
    pub bound: f64,
}

/// A group of jobs that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Members<'a> {
    Class(&'a str),
    LargestOf(&'a str),
    Team(&'a str),
}

/// Number of jobs that were wanted, and how many of them were done (`served`).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    pub wanted: usize,
    pub served: usize,
}

impl Share {
    /// Returns the share of the jobs that were done; 1 if no job was wanted.
    pub fn value(self) -> f64 {
        if self.wanted == 0 {
            return 1.0;
        }
        self.served as f64 / self.wanted as f64
    }
}

/// Counts of one class, largest tenth or team.
#[derive(Debug, Default)]
struct Group {
    wanted: usize,
    served: usize,
    first_ms: Option<u64>,
    /// Sum of the estimated CPU seconds of the jobs that were served.
    got: f64,
    /// Estimated CPU seconds of each job that was not served.
    missing: Vec<f64>,
}

impl Group {
    fn share(&self) -> f64 {
        self.served as f64 / self.wanted.max(1) as f64
    }
}

impl TrackedJob {
    /// Whether a user waits for the job. An accepted job counts, whether it can run or not.
    fn is_wanted(&self) -> bool {
        !self.excluded && (self.accepted || !self.infeasible)
    }
}

impl Starvation {
    fn is_infeasible(&self, job: &Job) -> bool {
        let facts = self.facts.as_ref();
        facts.is_some_and(|facts| feasibility::infeasibility(facts, job).is_some())
    }

    pub fn feed(&mut self, event: &Event) {
        match &event.what {
            What::Begins { facts, .. } => {
                self.target = facts.served;
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
                let seen = TrackedJob {
                    job: job.clone(),
                    submitted_ms: event.at_ms,
                    excluded: job.standing,
                    infeasible: self.is_infeasible(job),
                    done: BTreeSet::new(),
                    done_ms: None,
                    accepted: false,
                    started_ms: None,
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
                    s.started_ms.get_or_insert(event.at_ms);
                }
            }
            What::Told {
                job,
                status: 400 | 422,
                ..
            }
            | What::Unwanted { job } => {
                if let Some(s) = self.jobs.get_mut(job) {
                    s.excluded = true;
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
                        s.done_ms = Some(event.at_ms);
                    }
                }
            }
            _ => {}
        }
    }

    /// Returns the estimated CPU seconds of a job, from the useful run time per done task of its
    /// class, or of all classes if no task of its class is done.
    fn estimated_work(&self, job: &Job) -> f64 {
        let (useful, tasks) = self.useful.get(&job.class).copied().unwrap_or_default();
        let all = self
            .useful
            .values()
            .fold((0.0, 0), |a, u| (a.0 + u.0, a.1 + u.1));
        let (useful, tasks) = if tasks > 0 { (useful, tasks) } else { all };
        useful / f64::from(tasks.max(1)) * f64::from(job.tasks)
    }

    /// Returns when the job was submitted or the last job that it needs was done, whichever is
    /// later; `None` if one that it needs is not done.
    fn ready_ms(&self, s: &TrackedJob) -> Option<u64> {
        let done = |id: &String| self.jobs.get(id)?.done_ms;
        let ends: Option<Vec<u64>> = s.job.needs.iter().map(done).collect();
        Some(ends?.into_iter().fold(s.submitted_ms, u64::max))
    }

    /// Returns the largest tenth of each class, by estimated work, if the scenario limits the
    /// time until they start; none of a class of fewer than ten jobs.
    fn largest(&self) -> BTreeSet<&str> {
        match self.target {
            Some(Served {
                begin_s: Some(_), ..
            }) => self.largest_tenths(),
            _ => BTreeSet::new(),
        }
    }

    /// Returns the largest tenth of each class, by estimated work.
    fn largest_tenths(&self) -> BTreeSet<&str> {
        let mut classes: BTreeMap<&str, Vec<(f64, &str)>> = BTreeMap::new();
        for s in self.jobs.values().filter(|s| s.is_wanted()) {
            let of = classes.entry(&s.job.class).or_default();
            of.push((self.estimated_work(&s.job), &s.job.id));
        }
        let mut largest = BTreeSet::new();
        for of in classes.values_mut() {
            of.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
            largest.extend(of.iter().take(of.len() / 10).map(|(_, id)| *id));
        }
        largest
    }

    /// Returns the longest time from when an accepted job of the largest tenths was ready to its
    /// start, in ms, or until now for one that has not started, with its id.
    pub fn longest_start(&self, at: u64) -> Option<(u64, &str)> {
        self.longest_start_of(&self.largest(), at)
    }

    /// Like [`Self::longest_start`], whether or not the scenario limits the time until the
    /// largest jobs start.
    pub(crate) fn longest_start_of_tenths(&self, at: u64) -> Option<(u64, &str)> {
        self.longest_start_of(&self.largest_tenths(), at)
    }

    fn longest_start_of(&self, largest: &BTreeSet<&str>, at: u64) -> Option<(u64, &str)> {
        let of = self
            .jobs
            .values()
            .filter(|s| s.accepted && largest.contains(s.job.id.as_str()));
        let waits = of.filter_map(|s| {
            let from = self.ready_ms(s)?;
            Some((
                s.started_ms.unwrap_or(at).saturating_sub(from),
                s.job.id.as_str(),
            ))
        });
        waits.max()
    }

    /// Returns every class, its largest tenth, and every team, with the jobs that were served or
    /// whose time was over.
    fn groups(&self, within_ms: u64, at: u64) -> BTreeMap<(&str, &str), Group> {
        let mut groups: BTreeMap<(&str, &str), Group> = BTreeMap::new();
        let largest = self.largest();
        for s in self.jobs.values().filter(|s| s.is_wanted()) {
            // A job that needs others counts from when they are done.
            let Some(from) = self.ready_ms(s) else {
                continue;
            };
            let class = s.job.class.as_str();
            // The largest may start later than others, and have as much more time to be done.
            let begin_s = self.target.and_then(|a| a.begin_s).unwrap_or(0.0);
            let longer_ms = within_ms + (begin_s * 1000.0) as u64;
            let tenth = largest.contains(s.job.id.as_str());
            let tenth = tenth.then_some(("the largest tenth of", class, longer_ms));
            let all = [
                ("class", class, within_ms),
                ("team", &s.job.team, within_ms),
            ];
            for (what, name, within_ms) in all.into_iter().chain(tenth) {
                let served = s.done_ms.is_some_and(|d| d - from <= within_ms);
                // The time for this job is not over yet.
                if !served && at < from + within_ms {
                    continue;
                }
                let g = groups.entry((what, name)).or_default();
                g.wanted += 1;
                g.first_ms.get_or_insert(s.submitted_ms);
                if served {
                    g.served += 1;
                    g.got += self.estimated_work(&s.job);
                } else {
                    g.missing.push(self.estimated_work(&s.job));
                }
            }
        }
        groups
    }

    /// Returns, for every class, its largest tenth and every team, how many jobs were wanted and
    /// could run, and how many of them were done by the end.
    pub(crate) fn shares(&self) -> BTreeMap<Members<'_>, Share> {
        let largest = self.largest_tenths();
        let mut shares: BTreeMap<Members<'_>, Share> = BTreeMap::new();
        let wanted = self.jobs.values().filter(|s| s.is_wanted());
        for seen in wanted.filter(|s| self.ready_ms(s).is_some()) {
            let job = &seen.job;
            let tenth = largest.contains(job.id.as_str());
            let tenth = tenth.then_some(Members::LargestOf(&job.class));
            let all = [Members::Class(&job.class), Members::Team(&job.team)];
            for members in all.into_iter().chain(tenth) {
                let share = shares.entry(members).or_default();
                share.wanted += 1;
                share.served += usize::from(seen.done_ms.is_some());
            }
        }
        shares
    }

    /// Returns every submitted job.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().map(|seen| &seen.job)
    }

    /// Returns the least served group, if the scenario asks for a served share.
    pub fn least(&self, at: u64) -> Option<LeastServed> {
        let within_ms = (self.target?.within_s * 1000.0) as u64;
        let groups = self.groups(within_ms, at);
        let least = groups
            .iter()
            .min_by(|a, b| a.1.share().total_cmp(&b.1.share()));
        let ((what, name), group) = least?;
        let longest = self.longest_start(at);
        let open = self.jobs.values().filter(|s| s.is_wanted());
        let last = open
            .clone()
            .map(|s| s.submitted_ms + within_ms)
            .max()
            .unwrap_or(0);
        let up = |m: &(f64, Option<u64>, Option<u64>)| {
            let (from, to) = (m.1.unwrap_or(last), m.2.unwrap_or(last).min(last));
            m.0 * to.saturating_sub(from) as f64 / 1000.0
        };
        let available: f64 = self.machines.values().map(up).sum();
        let mut classes: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for s in open {
            let sizes = classes.entry(&s.job.class).or_default();
            sizes.push(self.estimated_work(&s.job));
        }
        classes.values_mut().for_each(|c| c.sort_by(f64::total_cmp));
        // The bound is the largest share, to a thousandth, for which the smallest jobs of every
        // class together fit the CPU time of the machines.
        let required = |thousandth: u32| -> f64 {
            let of = |c: &Vec<f64>| {
                let n = (c.len() as f64 * f64::from(thousandth) / 1000.0).ceil() as usize;
                c[..n.min(c.len())].iter().sum::<f64>()
            };
            classes.values().map(of).sum()
        };
        let fits = (0..=1000).rev().find(|s| required(*s) <= available);
        Some(LeastServed {
            share: group.share(),
            name: match *what {
                "class" | "team" => (*name).to_string(),
                what => format!("{what} {name}"),
            },
            longest_start_s: longest.map_or(0.0, |(ms, _)| ms as f64 / 1000.0),
            bound: f64::from(fits.unwrap_or(0)) / 1000.0,
        })
    }

    /// Returns the violations at the end of the scenario.
    pub fn violations(&self, at: u64) -> Vec<Violation> {
        let Some(target) = self.target else {
            return Vec::new();
        };
        let groups = self.groups((target.within_s * 1000.0) as u64, at);
        let mut violations = Vec::new();
        if let (Some(begin_s), Some((ms, id))) = (target.begin_s, self.longest_start(at))
            && ms as f64 > begin_s * 1000.0
        {
            violations.push(Violation {
                rule: Rule::Starved,
                what: format!("job {id}"),
                place: "all machines".into(),
                since_ms: at.saturating_sub(ms),
                at_ms: at,
                why: format!(
                    "among the largest of its class, not started within {begin_s} s, since"
                ),
            });
        }
        for ((what, name), g) in &groups {
            if g.share() >= target.share {
                continue;
            }
            let lacks = (target.share * g.wanted as f64).ceil() as usize - g.served;
            let mut missing = g.missing.clone();
            missing.sort_by(f64::total_cmp);
            let needs: f64 = missing.iter().take(lacks).sum();
            // What the other groups of its kind got beyond the share asked for.
            let others = groups.iter().filter(|(k, _)| k.0 == *what && k.1 != *name);
            let spare = |g: &Group| g.got * (1.0 - target.share / g.share().max(target.share));
            let spare: f64 = others.map(|(_, g)| spare(g)).sum();
            if spare >= needs {
                violations.push(Violation {
                    rule: Rule::Starved,
                    what: format!("{what} {name}"),
                    place: "all machines".into(),
                    since_ms: g.first_ms.unwrap_or(0),
                    at_ms: at,
                    why: format!(
                        "{} of {} jobs done within {} s, {:.0} CPU s short while others had \
                         {spare:.0} beyond their part; first submitted",
                        g.served, g.wanted, target.within_s, needs
                    ),
                });
            }
        }
        violations
    }
}
