//! Checks whether a job can ever run, by the teams and machine types that this controller has
//! read.

use cherrywood_control::Team;
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::user::{JobKind, Submission};

/// Tolerance for sums of resources that users wrote as decimal fractions.
const ROUNDING: f64 = 1e-6;

/// Reason why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Infeasible {
    /// The settings do not name the job's team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The tasks that must run at once take more than the team's limit.
    #[error("more than the team's limit")]
    OverTeamLimit,
}

/// Checks that a job can run; fails with the reason if it never can.
pub(crate) fn check_feasible(
    job: &Submission,
    teams: &[Team],
    machine_types: &[MachineType],
) -> Result<(), Infeasible> {
    let team = teams.iter().find(|t| t.name == job.team);
    let team = team.ok_or(Infeasible::UnknownTeam)?;
    if !machine_types.iter().any(|t| task_fits(job, t)) {
        return Err(Infeasible::FitsNoMachineType);
    }
    // A service runs all its tasks at once. A gang counts as one task here, though it also
    // runs them all at once.
    let tasks_at_once = match job.kind {
        JobKind::Service => f64::from(job.tasks),
        JobKind::Array | JobKind::Gang => 1.0,
    };
    let exceeds = |per_task: f64, limit: f64| per_task * tasks_at_once > limit + ROUNDING;
    if exceeds(job.cpus, team.cpus_max) || exceeds(job.gpus, team.gpus_max) {
        return Err(Infeasible::OverTeamLimit);
    }
    Ok(())
}

fn task_fits(job: &Submission, machine_type: &MachineType) -> bool {
    let allowed = job.machine_types.as_ref();
    let zone = job.zone.as_ref();
    allowed.is_none_or(|names| names.contains(&machine_type.name))
        && zone.is_none_or(|zone| machine_type.zones.contains(zone))
        && job.cpus <= machine_type.cpus + ROUNDING
        && job.gpus <= machine_type.gpus + ROUNDING
        && job.memory_gb <= machine_type.memory_gb + ROUNDING
}
