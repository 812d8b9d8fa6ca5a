//! Jobs that must be refused: those that can never run, and those that lack a field.

use crate::history::{Facts, Job, MachineType};

/// Why the job must not be accepted; none if it may be.
pub fn impossible(facts: &Facts, job: &Job) -> Option<String> {
    let Some(team) = facts.teams.iter().find(|t| t.name == job.team) else {
        return Some(format!("there is no team {}", job.team));
    };
    if !facts.kinds.iter().any(|kind| fits(kind, job)) {
        return Some("no allowed machine type has room for a task of it".into());
    }
    // Of an array a single task must fit, of a standing job all at once.
    let at_once = f64::from(if job.standing { job.tasks } else { 1 });
    let over = |limit: f64, amount: f64| limit > 0.0 && amount * at_once > limit;
    if over(team.cpus_max, job.cpus) || over(team.gpus_max, job.gpus) {
        return Some(format!("it needs more than the limit of {}", team.name));
    }
    None
}

/// Would a task of the job fit an empty machine of this type, if its job allows the type?
pub fn fits(kind: &MachineType, job: &Job) -> bool {
    let allowed = job.kinds.as_ref().is_none_or(|k| k.contains(&kind.name));
    allowed && job.cpus <= kind.cpus && job.gpus <= kind.gpus && job.ram_gb <= kind.ram_gb
}
