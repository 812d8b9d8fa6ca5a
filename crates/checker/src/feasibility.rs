//! Checks whether a job can ever run; one that cannot must be refused.

use crate::history::{Facts, Job, MachineType};

/// Returns why the job can never run and must not be accepted; `None` if it may be.
pub fn infeasibility(facts: &Facts, job: &Job) -> Option<String> {
    let Some(team) = facts.teams.iter().find(|t| t.name == job.team) else {
        return Some(format!("there is no team {}", job.team));
    };
    if !facts.kinds.iter().any(|kind| fits_empty_machine(kind, job)) {
        return Some("none of its tasks fits a machine type that it allows".into());
    }
    // A single task of an array must fit the limit, but all tasks of a standing job at once.
    let at_once = f64::from(if job.standing { job.tasks } else { 1 });
    let over = |limit: f64, amount: f64| limit > 0.0 && amount * at_once > limit;
    if over(team.cpus_max, job.cpus) || over(team.gpus_max, job.gpus) {
        return Some(format!("it needs more than the limit of {}", team.name));
    }
    None
}

/// Whether the job allows this machine type and a task of it fits an empty machine of the type.
fn fits_empty_machine(kind: &MachineType, job: &Job) -> bool {
    let allowed = job.kinds.as_ref().is_none_or(|k| k.contains(&kind.name));
    allowed && job.cpus <= kind.cpus && job.gpus <= kind.gpus && job.ram_gb <= kind.ram_gb
}
