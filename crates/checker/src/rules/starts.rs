//! Rules about the start of a task on a machine.

use super::{Checker, Known, ROUNDING};
use crate::answers::Contradiction;
use crate::breach::{Breach, Rule};
use crate::history::{State, job_of};
use crate::placement::{self, Placed};

impl Checker {
    /// Checks and records that a task is on a machine from now on.
    pub(super) fn on(&mut self, machine: &str, task: &str, at: u64) {
        self.starts += 1;
        let number = task.split_once('/').and_then(|(_, n)| n.parse().ok());
        let found = match (self.jobs.get(job_of(task)), number) {
            (Some(known), Some(number)) => {
                let mut found = self.wrong_start(known, number, machine, at);
                found.extend(self.use_more(job_of(task), at));
                self.put_on(job_of(task), number, machine, at);
                found
            }
            _ => vec![Contradiction {
                rule: Rule::Invented,
                since_ms: at,
                why: "no user has submitted it; it started".into(),
            }],
        };
        let breach = |found: Contradiction| Breach {
            rule: found.rule,
            what: task.to_string(),
            place: machine.to_string(),
            since_ms: found.since_ms,
            at_ms: at,
            why: found.why,
        };
        self.breaches.extend(found.into_iter().map(breach));
    }

    /// Returns the rules that a start breaks, apart from the limit of its team.
    fn wrong_start(
        &self,
        known: &Known,
        number: u32,
        machine: &str,
        at_ms: u64,
    ) -> Vec<Contradiction> {
        let found = [
            self.too_early(known, at_ms),
            already_on(known, number),
            self.after_cancel(known, at_ms),
            self.wrong_place(known, number, machine, at_ms),
        ];
        found.into_iter().flatten().collect()
    }

    /// Finds a job that this one needs and that is not done.
    fn too_early(&self, known: &Known, at_ms: u64) -> Option<Contradiction> {
        let undone = |id: &&String| {
            let known = self.jobs.get(*id);
            known.is_none_or(|k| (k.done.len() as u32) < k.job.tasks)
        };
        let need = known.job.needs.iter().find(undone)?;
        Some(Contradiction {
            rule: Rule::TooEarly,
            since_ms: at_ms,
            why: format!("started before {need} was done; it started"),
        })
    }

    /// Finds a start after the user was told of the cancellation and the time for the tasks to
    /// end is over.
    fn after_cancel(&self, known: &Known, at_ms: u64) -> Option<Contradiction> {
        let Some((State::Cancelled, told_ms)) = known.told.ended else {
            return None;
        };
        (at_ms > told_ms + self.cancel_ms()).then(|| Contradiction {
            rule: Rule::RanCancelled,
            since_ms: told_ms,
            why: "started after its user was told of the cancellation".into(),
        })
    }

    /// Finds a machine that the job does not allow, given its other tasks.
    fn wrong_place(
        &self,
        known: &Known,
        number: u32,
        machine: &str,
        at_ms: u64,
    ) -> Option<Contradiction> {
        let place = self.machines.get(machine)?;
        let zone_of = |name: &String| self.machines.get(name).map(|m| m.zone.as_str());
        let others = known.on.iter().filter(|(n, _)| **n != number);
        let others = others.flat_map(|(_, on)| on);
        let others: Vec<Placed> = others
            .map(|(name, since_ms)| Placed {
                zone: zone_of(name),
                since_ms: *since_ms,
            })
            .collect();
        placement::wrong_place(&known.job, place, &others, at_ms)
    }

    /// Adds the CPUs of a task to its team's usage, and checks the limit.
    fn use_more(&mut self, id: &str, at_ms: u64) -> Option<Contradiction> {
        let job = &self.jobs.get(id)?.job;
        let used = self.used.entry(job.team.clone()).or_default();
        let since_ms = std::mem::replace(&mut used.1, at_ms);
        used.0 += job.cpus;
        let teams = &self.facts.as_ref()?.teams;
        let team = teams.iter().find(|t| t.name == job.team)?;
        let limit = team.cpus_max;
        (limit > 0.0 && used.0 > limit + ROUNDING).then(|| Contradiction {
            rule: Rule::Quota,
            since_ms,
            why: format!(
                "{} uses {} of {limit} CPUs; its previous start",
                job.team, used.0
            ),
        })
    }

    fn put_on(&mut self, id: &str, number: u32, machine: &str, at_ms: u64) {
        if let Some(known) = self.jobs.get_mut(id) {
            let on = known.on.entry(number).or_default();
            on.push((machine.to_string(), at_ms));
        }
    }
}

/// Finds a machine that has the task already.
fn already_on(known: &Known, number: u32) -> Option<Contradiction> {
    let (other, since_ms) = known.on.get(&number)?.first()?;
    Some(Contradiction {
        rule: Rule::RanTwice,
        since_ms: *since_ms,
        why: format!("already on {other}, where it started"),
    })
}
