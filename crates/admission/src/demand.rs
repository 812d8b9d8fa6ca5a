//! Demand of the classes and capacities for it: the input of an allocation.

use crate::allocation::{Capacity, ClassDemand, JobOffer};
use crate::cluster_view::ClusterView;
use crate::decision::discounted_work_cpu_s;
use crate::statistics::ClassStatistics;
use crate::window::AdmissionWindow;
use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::{JobHash, Shortage, TenantClassId};
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound of the full backlog as a divisor, to avoid division by zero.
const MIN_FULL_BACKLOG_CPU_S: f64 = 1.0;

/// Input of an allocation.
pub(crate) struct AllocationProblem {
    pub(crate) classes: Vec<ClassDemand>,
    pub(crate) capacities: Vec<Capacity>,
    /// Work for which each team's guarantee leaves room, CPU-seconds, in the order of the view.
    pub(crate) guarantees_cpu_s: Vec<f64>,
    /// Waiting work divided by the work that may wait; 1 is full.
    pub(crate) load: f64,
}

/// State of the controller from which it computes a table.
pub(crate) struct ProblemInputs<'a> {
    pub(crate) statistics: &'a BTreeMap<TenantClassId, ClassStatistics>,
    pub(crate) window: &'a AdmissionWindow,
    /// Expected work, CPU-seconds, that a CPU does in a second.
    pub(crate) throughput: f64,
    pub(crate) view: &'a ClusterView,
}

/// All resources that may be scarce: the fleet, the teams' quotas and the key-value store's writes.
struct ScarceCapacities {
    capacities: Vec<Capacity>,
    layout: CapacityLayout,
    /// The load of the fleet (see [`AllocationProblem::load`]) at the completion target with the
    /// highest load.
    load: f64,
}

/// Indices of the capacities of an [`AllocationProblem`].
struct CapacityLayout {
    /// Distinct completion targets of the classes, ascending. The fleet's capacities come first:
    /// one per target, for the work of classes with this or a shorter target.
    completion_targets_s: Vec<f64>,
    first_team: usize,
    store_writes: usize,
    /// The fleet's capacity less all waiting work, which is available to best-effort work.
    idle_fleet: usize,
}

impl ProblemInputs<'_> {
    pub(crate) fn problem(&self) -> AllocationProblem {
        let team_backlogs = self.team_backlogs_cpu_s();
        let scarce = self.scarce_capacities(&team_backlogs);
        let mut classes = self.class_demands(&scarce.layout);
        self.mark_within_guarantees(&mut classes, &team_backlogs);
        AllocationProblem {
            classes,
            capacities: scarce.capacities,
            guarantees_cpu_s: self.guarantees_cpu_s(&team_backlogs),
            load: scarce.load,
        }
    }

    /// Returns the backlog of each team, in the order of the view.
    fn team_backlogs_cpu_s(&self) -> Vec<f64> {
        let mut by_name: BTreeMap<&str, f64> = BTreeMap::new();
        for (class, backlog_cpu_s) in &self.view.backlog_cpu_s {
            if let Some(statistics) = self.statistics.get(class) {
                *by_name.entry(&statistics.team).or_default() += backlog_cpu_s;
            }
        }
        let teams = self.view.teams.iter();
        teams
            .map(|team| by_name.get(team.name.as_str()).copied().unwrap_or(0.0))
            .collect()
    }

    /// Returns the work that may be admitted for `cpus` during a window: the work that the CPUs do
    /// in it, plus the part of the room left in their backlog that is filled in it, at a rate that
    /// would fill the room in `limits::BACKLOG_SETTLE_S`. While the backlog exceeds its bound, less
    /// is admitted, so that the backlog shrinks, but always at least `limits::INFLOW_MIN_SHARE` of
    /// the work that the CPUs do.
    fn admissible_cpu_s(&self, cpus: f64, backlog_cpu_s: f64, target_s: f64) -> f64 {
        let rate = cpus * self.throughput;
        let room_cpu_s = rate * target_s * limits::BACKLOG_MAX_TARGETS - backlog_cpu_s;
        let inflow = rate + room_cpu_s / limits::BACKLOG_SETTLE_S;
        inflow.max(rate * limits::INFLOW_MIN_SHARE) * self.window.length_s()
    }

    /// Returns the work that may be admitted for all CPUs of the fleet during a window: unbounded
    /// while the fleet can grow.
    fn admissible_to_fleet_cpu_s(&self, backlog_cpu_s: f64, target_s: f64) -> f64 {
        if self.view.at_capacity {
            self.admissible_cpu_s(self.view.available_cpus, backlog_cpu_s, target_s)
        } else {
            f64::INFINITY
        }
    }

    /// Returns the work for which each team's guarantee leaves room, to the extent that the fleet
    /// can meet the guarantees.
    fn guarantees_cpu_s(&self, team_backlogs: &[f64]) -> Vec<f64> {
        let share = self.view.deliverable_guarantee_share();
        let teams = self.view.teams.iter().zip(team_backlogs);
        teams
            .map(|(team, backlog)| {
                let cpus = team.guaranteed_cpus * share;
                self.admissible_cpu_s(cpus, *backlog, limits::DEFAULT_COMPLETION_TARGET_S)
            })
            .collect()
    }

    fn scarce_capacities(&self, team_backlogs: &[f64]) -> ScarceCapacities {
        let mut capacities = Vec::new();
        let mut load: f64 = 0.0;
        let completion_targets_s = self.distinct_targets_s();
        // The work with shorter targets must also fit on its own.
        for target_s in &completion_targets_s {
            let backlog_cpu_s = self.firm_backlog_within_cpu_s(*target_s);
            load = load.max(self.load(backlog_cpu_s, *target_s));
            let available = self.admissible_to_fleet_cpu_s(backlog_cpu_s, *target_s);
            capacities.push(Capacity::of_work(available, Shortage::Machines));
        }
        let first_team = capacities.len();
        capacities.extend(self.team_capacities(team_backlogs));
        let store_writes = capacities.len();
        // A job's changes are spread over its lifetime, so a burst may use the changes of a whole
        // window at once, even if the leader's own window is still short: with the short window
        // (3 s) as the bound, 46 of the 300 jobs of a day's first second were refused.
        let jobs = self.view.jobs_per_s * limits::OFFERED_WINDOW_S;
        capacities.push(Capacity::of_jobs(jobs, Shortage::StoreWrites));
        // Best-effort work must not cause the refusal of other work, so it may use only the
        // capacity that all waiting work leaves idle.
        let idle_fleet = capacities.len();
        let backlog_cpu_s: f64 = self.view.backlog_cpu_s.values().sum();
        let available =
            self.admissible_to_fleet_cpu_s(backlog_cpu_s, limits::DEFAULT_COMPLETION_TARGET_S);
        capacities.push(Capacity::of_work(available, Shortage::Machines));
        ScarceCapacities {
            capacities,
            layout: CapacityLayout {
                completion_targets_s,
                first_team,
                store_writes,
                idle_fleet,
            },
            load,
        }
    }

    fn distinct_targets_s(&self) -> Vec<f64> {
        let classes = self.statistics.values();
        let mut targets_s: Vec<f64> = classes
            .map(|statistics| self.view.completion_target_s(&statistics.class))
            .collect();
        targets_s.sort_by(f64::total_cmp);
        targets_s.dedup();
        targets_s
    }

    /// Returns the backlog of the classes whose jobs should be done in `target_s` or sooner,
    /// without best-effort work.
    fn firm_backlog_within_cpu_s(&self, target_s: f64) -> f64 {
        let is_within = |class: &TenantClassId| {
            let statistics = self.statistics.get(class);
            statistics.is_some_and(|s| self.view.completion_target_s(&s.class) <= target_s)
        };
        let backlog = self.view.backlog_cpu_s.iter();
        backlog
            .filter(|(class, _)| is_within(class))
            .map(|(class, work_cpu_s)| self.view.firm_backlog_cpu_s(*class, *work_cpu_s))
            .sum()
    }

    /// Returns a backlog divided by the backlog that may wait.
    fn load(&self, backlog_cpu_s: f64, target_s: f64) -> f64 {
        let full_cpu_s =
            self.view.available_cpus * self.throughput * target_s * limits::BACKLOG_MAX_TARGETS;
        backlog_cpu_s / full_cpu_s.max(MIN_FULL_BACKLOG_CPU_S)
    }

    fn team_capacities(&self, team_backlogs: &[f64]) -> impl Iterator<Item = Capacity> {
        let teams = self.view.teams.iter().zip(team_backlogs);
        teams.map(|(team, backlog)| {
            let available = if team.max_cpus.is_finite() {
                self.admissible_cpu_s(team.max_cpus, *backlog, limits::DEFAULT_COMPLETION_TARGET_S)
            } else {
                f64::INFINITY
            };
            Capacity::of_work(available, Shortage::TeamQuota)
        })
    }

    /// Returns the demand of each class: its jobs that were admitted in the window, as an estimate
    /// of the jobs that arrive next, and its refused jobs that are still being retried.
    fn class_demands(&self, layout: &CapacityLayout) -> Vec<ClassDemand> {
        let admitted_in_window = self.admitted_in_window();
        let teams = self.view.teams.iter().enumerate();
        let team_indices: BTreeMap<&str, usize> = teams
            .map(|(index, team)| (team.name.as_str(), index))
            .collect();
        let mut demands = Vec::new();
        for (class, mut offers) in self.offers() {
            let Some(statistics) = self.statistics.get(&class) else {
                continue;
            };
            let Some(team) = team_indices.get(statistics.team.as_str()).copied() else {
                continue;
            };
            offers.sort_by(|a, b| a.discounted_work_cpu_s.total_cmp(&b.discounted_work_cpu_s));
            let in_window = admitted_in_window.get(&class).copied().unwrap_or(0.0);
            demands.push(ClassDemand {
                class,
                team,
                weight: self.view.teams[team].weight,
                offered: (statistics.recent_offered - offers.len() as f64).max(0.0),
                admitted: (statistics.recent_admitted - in_window).max(0.0),
                offers,
                capacities: self.capacities_of(class, &statistics.class, team, layout),
                within_guarantee: false,
            });
        }
        demands
    }

    fn offers(&self) -> BTreeMap<TenantClassId, Vec<JobOffer>> {
        let mut offers: BTreeMap<TenantClassId, Vec<JobOffer>> = BTreeMap::new();
        for entry in self.window.entries() {
            offers.entry(entry.class).or_default().push(JobOffer {
                discounted_work_cpu_s: entry.work_cpu_s,
                work_cpu_s: entry.work_cpu_s,
            });
        }
        let in_window: BTreeSet<JobHash> = self.window.entries().map(|e| e.job).collect();
        for refused in &self.view.refused_jobs {
            if in_window.contains(&refused.job) {
                continue;
            }
            let waited_s = f64::from(refused.first_attempt_age_s);
            offers.entry(refused.class).or_default().push(JobOffer {
                discounted_work_cpu_s: discounted_work_cpu_s(refused.work_cpu_s, waited_s),
                work_cpu_s: refused.work_cpu_s,
            });
        }
        offers
    }

    fn admitted_in_window(&self) -> BTreeMap<TenantClassId, f64> {
        let mut admitted: BTreeMap<TenantClassId, f64> = BTreeMap::new();
        for entry in self.window.entries() {
            *admitted.entry(entry.class).or_default() += 1.0;
        }
        admitted
    }

    /// Returns the indices of the capacities that jobs of a class take from: the fleet's for the
    /// class's target and all longer ones, its team's, the key-value store's, and for best-effort
    /// work also the capacity that all waiting work leaves idle.
    fn capacities_of(
        &self,
        class: TenantClassId,
        class_name: &str,
        team: usize,
        layout: &CapacityLayout,
    ) -> Vec<usize> {
        let target_s = self.view.completion_target_s(class_name);
        let targets_s = layout.completion_targets_s.iter().enumerate();
        let mut capacities: Vec<usize> = targets_s
            .filter(|(_, other_s)| **other_s >= target_s)
            .map(|(index, _)| index)
            .collect();
        capacities.extend([layout.first_team + team, layout.store_writes]);
        if self.view.is_best_effort(class) {
            capacities.push(layout.idle_fleet);
        }
        capacities
    }

    /// Marks the classes of teams whose unfinished work all fits into their guarantees.
    fn mark_within_guarantees(&self, classes: &mut [ClassDemand], team_backlogs: &[f64]) {
        let share = self.view.deliverable_guarantee_share();
        let mut offered_cpu_s = vec![0.0; self.view.teams.len()];
        for class in classes.iter() {
            offered_cpu_s[class.team] += class.offers.iter().map(|o| o.work_cpu_s).sum::<f64>();
        }
        for (index, team) in self.view.teams.iter().enumerate() {
            let backlog_rate = team_backlogs[index] / limits::DEFAULT_COMPLETION_TARGET_S;
            let needed_rate = backlog_rate + offered_cpu_s[index] / self.window.length_s();
            if needed_rate <= team.guaranteed_cpus * share * self.throughput {
                let own = classes.iter_mut().filter(|class| class.team == index);
                own.for_each(|class| class.within_guarantee = true);
            }
        }
    }
}
