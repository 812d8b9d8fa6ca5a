//! Rules about the start of a task on a machine.

use super::{Checker, ROUNDING, TrackedJob};
use crate::history::{State, job_of};
use crate::placement::{self, Placed};
use crate::responses::Contradiction;
use crate::violation::{Rule, Violation};

impl Checker {
    /// Checks and records that a task is on a machine from now on.
    pub(super) fn on_machine(&mut self, machine: &str, task: &str, at: u64) {
        self.starts += 1;
        let number = task.split_once('/').and_then(|(_, n)| n.parse().ok());
        let found = match (self.jobs.get(job_of(task)), number) {
            (Some(tracked), Some(number)) => {
                let mut found = self.wrong_start(tracked, number, machine, at);
                found.extend(self.add_usage(job_of(task), at));
                self.record_on_machine(job_of(task), number, machine, at);
                found
            }
            _ => vec![Contradiction {
                rule: Rule::Invented,
                since_ms: at,
                why: "no user has submitted it; it started".into(),
            }],
        };
        let violation = |found: Contradiction| Violation {
            rule: found.rule,
            what: task.to_string(),
            place: machine.to_string(),
            since_ms: found.since_ms,
            at_ms: at,
            why: found.why,
        };
        self.violations.extend(found.into_iter().map(violation));
    }

    /// Returns the rules that a start breaks, apart from the limit of its team.
    fn wrong_start(
        &self,
        tracked: &TrackedJob,
        number: u32,
        machine: &str,
        at_ms: u64,
    ) -> Vec<Contradiction> {
        let found = [
            self.too_early(tracked, at_ms),
            already_on(tracked, number),
            self.started_after_cancel(tracked, at_ms),
            self.wrong_place(tracked, number, machine, at_ms),
        ];
        found.into_iter().flatten().collect()
    }

    /// Finds a job that this one needs and that is not done.
    fn too_early(&self, tracked: &TrackedJob, at_ms: u64) -> Option<Contradiction> {
        let undone = |id: &&String| {
            let tracked = self.jobs.get(*id);
            tracked.is_none_or(|k| (k.done.len() as u32) < k.job.tasks)
        };
        let need = tracked.job.needs.iter().find(undone)?;
        Some(Contradiction {
            rule: Rule::TooEarly,
            since_ms: at_ms,
            why: format!("started before {need} was done; it started"),
        })
    }

    /// Finds a start after the user was told of the cancellation and the time for the tasks to
    /// end is over.
    fn started_after_cancel(&self, tracked: &TrackedJob, at_ms: u64) -> Option<Contradiction> {
        let Some((State::Cancelled, reported_ms)) = tracked.responses.final_state else {
            return None;
        };
        (at_ms > reported_ms + self.cancel_ms()).then(|| Contradiction {
            rule: Rule::RanCancelled,
            since_ms: reported_ms,
            why: "started after its user was told of the cancellation".into(),
        })
    }

    /// Checks whether the job allows a task on this machine, given its other tasks.
    fn wrong_place(
        &self,
        tracked: &TrackedJob,
        number: u32,
        machine: &str,
        at_ms: u64,
    ) -> Option<Contradiction> {
        let place = self.machines.get(machine)?;
        let zone_of = |name: &String| self.machines.get(name).map(|m| m.zone.as_str());
        let others = tracked.on_machines.iter().filter(|(n, _)| **n != number);
        let others = others.flat_map(|(_, on)| on);
        let others: Vec<Placed> = others
            .map(|(name, since_ms)| Placed {
                zone: zone_of(name),
                since_ms: *since_ms,
            })
            .collect();
        placement::wrong_place(&tracked.job, place, &others, at_ms)
    }

    /// Adds the CPUs of a task to its team's usage, and checks the limit.
    fn add_usage(&mut self, id: &str, at_ms: u64) -> Option<Contradiction> {
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

    fn record_on_machine(&mut self, id: &str, number: u32, machine: &str, at_ms: u64) {
        if let Some(tracked) = self.jobs.get_mut(id) {
            let on = tracked.on_machines.entry(number).or_default();
            on.push((machine.to_string(), at_ms));
        }
    }
}

/// Finds a machine that has the task already.
fn already_on(tracked: &TrackedJob, number: u32) -> Option<Contradiction> {
    let (other, since_ms) = tracked.on_machines.get(&number)?.first()?;
    Some(Contradiction {
        rule: Rule::RanTwice,
        since_ms: *since_ms,
        why: format!("already on {other}, where it started"),
    })
}
