//! The state of the cluster from which the leader computes an admission table.

use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::{MedianRuntime, RefusedJob, TenantClassId};
use std::collections::BTreeMap;

/// Lower bound of the guaranteed CPUs as a divisor, to avoid division by zero.
const MIN_GUARANTEED_CPUS: f64 = 1e-9;

/// A team's configured share of the fleet.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// The team's name.
    pub name: String,
    /// CPUs guaranteed to the team.
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs that the team may use; infinite if there is no limit.
    pub max_cpus: f64,
    /// Weight by which served shares are divided before they are compared: a team with weight 2
    /// gets twice the share.
    pub weight: f64,
}

/// Policy for the choice of the jobs to refuse of a class whose jobs don't all fit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SheddingPolicy {
    /// Refuses the larger jobs, but only a part of the largest tenth.
    #[default]
    SizeAware,
    /// Refuses all of the largest jobs; for experiments.
    LargestFirst,
    /// Refuses a random part, chosen by the hash of the jobs' ids; for experiments.
    Random,
    /// Refuses all jobs that arrive while there is no room; for experiments.
    NewestFirst,
}

/// The state of the cluster as seen by the leader at one time.
#[derive(Debug, Clone, Default)]
pub struct ClusterView {
    /// CPUs of machines that are up or booting, without those that services occupy.
    pub available_cpus: f64,
    /// Whether more CPUs are wanted and the cloud provides none.
    pub at_capacity: bool,
    /// All teams, in the order of the settings.
    pub teams: Vec<TeamQuota>,
    /// Expected work that was admitted and is not done, CPU-seconds, by class.
    pub backlog_cpu_s: BTreeMap<TenantClassId, f64>,
    /// The best-effort part of the backlog, which is preempted for all other work.
    pub best_effort_backlog_cpu_s: BTreeMap<TenantClassId, f64>,
    /// Seconds in which a job should be done, by class name; `limits::DEFAULT_COMPLETION_TARGET_S`
    /// for classes that are not listed.
    pub completion_targets_s: BTreeMap<String, f64>,
    /// Number of jobs per second whose writes the key-value store can accept.
    pub jobs_per_s: f64,
    /// Jobs refused at any controller that are likely to be retried.
    pub refused_jobs: Vec<RefusedJob>,
    /// Learned median run times, ascending by hash, to be sent with the table.
    pub median_runtimes: Vec<MedianRuntime>,
    /// Served share up to which every class takes precedence over any team's guarantee.
    pub served_share_floor: f64,
    /// Policy for the choice of the jobs to refuse.
    pub shedding: SheddingPolicy,
}

impl ClusterView {
    /// Returns the seconds in which a job of the class should be done.
    pub(crate) fn completion_target_s(&self, class: &str) -> f64 {
        let target_s = self.completion_targets_s.get(class).copied();
        target_s.unwrap_or(limits::DEFAULT_COMPLETION_TARGET_S)
    }

    /// Returns the share of the guarantees that the fleet can meet: the sum of all teams'
    /// guarantees may exceed the CPUs that the fleet has left.
    pub(crate) fn deliverable_guarantee_share(&self) -> f64 {
        let guaranteed: f64 = self.teams.iter().map(|t| t.guaranteed_cpus).sum();
        if self.at_capacity {
            (self.available_cpus / guaranteed.max(MIN_GUARANTEED_CPUS)).min(1.0)
        } else {
            1.0
        }
    }

    /// Returns the backlog of a class without its best-effort part.
    pub(crate) fn firm_backlog_cpu_s(&self, class: TenantClassId, backlog_cpu_s: f64) -> f64 {
        let best_effort = self.best_effort_backlog_cpu_s.get(&class);
        backlog_cpu_s - best_effort.unwrap_or(&0.0)
    }

    /// Returns whether all of the class's backlog is best-effort work.
    pub(crate) fn is_best_effort(&self, class: TenantClassId) -> bool {
        let of = |work: &BTreeMap<TenantClassId, f64>| work.get(&class).copied().unwrap_or(0.0);
        let best_effort = of(&self.best_effort_backlog_cpu_s);
        let backlog = of(&self.backlog_cpu_s);
        best_effort > 0.0 && best_effort >= backlog * (1.0 - limits::SAME_WORK_TOLERANCE)
    }
}
