//! Quota headroom: the CPUs and GPUs that teams' quotas leave for more tasks.

use super::{JobIndex, JobTable, Leader};
use crate::Team;
use crate::resources::{Resources, task_request};
use cherrywood_sched::MultiLevelQueue;
use cherrywood_sched::resources::ROUNDING;
use cherrywood_wire::user::Submission;

/// Returns the resources that the team is guaranteed. Quotas don't limit memory.
pub(super) fn guarantee_of(team: &Team) -> Resources {
    Resources {
        cpus: team.cpus,
        gpus: team.gpus,
        memory_gb: f64::INFINITY,
    }
}

/// Returns the most resources that the team may use. Quotas don't limit memory.
pub(super) fn limit_of(team: &Team) -> Resources {
    Resources {
        cpus: team.cpus_max,
        gpus: team.gpus_max,
        memory_gb: f64::INFINITY,
    }
}

/// The resources that a team may still use up to its limit. Task counts are fractional here,
/// since they estimate demand and don't lead to placements.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct QuotaHeadroom {
    /// Remaining resources; below zero if the team is over its limit.
    left: Resources,
}

impl QuotaHeadroom {
    /// Returns the team's limit less the resources in use.
    pub(super) fn new(team: &Team, used: Resources) -> QuotaHeadroom {
        QuotaHeadroom {
            left: limit_of(team) - used,
        }
    }

    /// Returns the CPUs left; 0 if the team is over its limit.
    pub(super) fn cpus(self) -> f64 {
        self.left.cpus.max(0.0)
    }

    /// Whether one more task of the submission may run.
    pub(super) fn admits(self, spec: &Submission) -> bool {
        self.left.cpus >= spec.cpus && self.gpu_task_count(spec) >= 1.0
    }

    /// Whether this many tasks of the submission may run at once.
    pub(super) fn admits_all(self, spec: &Submission, tasks: u32) -> bool {
        let all = Resources {
            memory_gb: 0.0,
            ..task_request(spec) * f64::from(tasks)
        };
        all.fits_in(self.left)
    }

    /// Returns how many of `tasks` the limit on GPUs lets run at once, and subtracts their
    /// GPUs from the headroom.
    pub(super) fn take_gpus(&mut self, spec: &Submission, tasks: f64) -> f64 {
        let tasks = tasks.min(self.gpu_task_count(spec));
        self.left.gpus -= tasks * spec.gpus;
        tasks
    }

    /// Returns the CPUs that `tasks` may use at once, and subtracts these and the tasks'
    /// GPUs from the headroom.
    pub(super) fn take(&mut self, spec: &Submission, tasks: f64) -> f64 {
        let by_cpus = if spec.cpus > 0.0 {
            self.left.cpus / spec.cpus
        } else {
            f64::INFINITY
        };
        let tasks = self.take_gpus(spec, tasks.min(by_cpus));
        let cpus = (tasks * spec.cpus).min(self.left.cpus);
        self.left.cpus -= cpus;
        cpus
    }

    /// Returns how many tasks of the submission the limit on GPUs lets run.
    fn gpu_task_count(self, spec: &Submission) -> f64 {
        if spec.gpus > 0.0 {
            ((self.left.gpus + ROUNDING) / spec.gpus).floor().max(0.0)
        } else {
            f64::INFINITY
        }
    }
}

/// Pending work of a job, within its team's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PendingDemand {
    pub(super) job: JobIndex,
    /// CPUs that the job's pending tasks may use at once.
    pub(super) cpus: f64,
}

/// Returns the pending work that is not best effort, range by range, within each team's headroom.
/// Jobs that pause after failures, or are tried one task at a time, don't count.
pub(super) fn prioritized_pending(
    queue: &MultiLevelQueue<JobIndex>,
    jobs: &JobTable,
    mut headroom_by_team: Vec<QuotaHeadroom>,
    now: f64,
) -> Vec<PendingDemand> {
    let mut pending = Vec::new();
    for range in queue.ranges() {
        let Some(job) = jobs.get(&range.job) else {
            continue;
        };
        let Some(headroom) = job
            .team_index
            .and_then(|team| headroom_by_team.get_mut(team))
        else {
            continue;
        };
        let pauses = job.is_suspect() || job.retry_at > now;
        if job.best_effort || pauses || !headroom.admits(&job.spec) {
            continue;
        }
        pending.push(PendingDemand {
            job: range.job,
            cpus: headroom.take(&job.spec, f64::from(range.len())),
        });
    }
    pending
}

impl Leader {
    /// Returns the resources that the team's placements use.
    pub(super) fn quota_used(&self, team: &str) -> Resources {
        self.quota_usage.of(team)
    }

    /// Returns each team's headroom, in the order of the settings.
    pub(super) fn quota_headroom_by_team(&self) -> Vec<QuotaHeadroom> {
        let teams = self.settings.teams.iter();
        teams
            .map(|team| QuotaHeadroom::new(team, self.quota_used(&team.name)))
            .collect()
    }
}
