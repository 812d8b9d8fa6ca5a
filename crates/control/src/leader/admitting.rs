//! The leader's inputs to admission control: expected work, backlog and the fleet's
//! throughput; and the tenant classes that are under-served.

use super::autoscaler::FleetDemand;
use super::instance_pools::PoolSets;
use super::*;
use cherrywood_admission::TeamQuota;
use cherrywood_admission::under_served::{ClassService, under_served};
use cherrywood_admission::{
    AdmissionTable, ClusterView, MedianRuntime, RefusedJob, TenantClassId, stable_hash,
};
use limits::admission as bounds;

/// The expected work of pending and placed tasks by tenant class, CPU-seconds.
#[derive(Debug, Default)]
struct Backlog {
    all_cpu_s: BTreeMap<TenantClassId, f64>,
    /// The part of it that is best effort.
    best_effort_cpu_s: BTreeMap<TenantClassId, f64>,
}

impl Leader {
    /// Returns the expected CPU seconds of a whole job.
    pub(super) fn expected_work(&self, spec: &Submission) -> f64 {
        expected_work(spec, self.predictor.median_s(&spec.predictor_key()))
    }

    /// Recomputes the admission table; returns it if it changed enough to be published.
    pub fn publish_admission_table(
        &mut self,
        refused: Vec<RefusedJob>,
        now: f64,
    ) -> Option<&AdmissionTable> {
        let view = self.admission_view(refused, now);
        self.admission
            .refresh_table(&view, now)
            .then(|| self.admission.table())
    }

    /// Returns the newest admission table.
    pub fn admission_table(&self) -> &AdmissionTable {
        self.admission.table()
    }

    /// Returns the state of the admission controller as it is stored for the next leader.
    pub fn admission_value(&self) -> AdmissionValue {
        self.admission.stored_value()
    }

    /// Returns the state of the cluster that admission decides by. Also records the CPUs that are
    /// up, which is why this takes the leader mutably.
    fn admission_view(&mut self, refused: Vec<RefusedJob>, now: f64) -> ClusterView {
        let (mut up, mut booting, mut services, mut placed) = (0.0, 0.0, 0.0, 0.0);
        for m in self
            .machines
            .values()
            .filter(|m| !m.cordoned && !m.deleting)
        {
            let cpus = self.cpus_of(&m.machine_type);
            let sum = if m.up { &mut up } else { &mut booting };
            *sum += cpus;
            for p in m.placements.iter() {
                placed += p.cpus;
                let job = p.job.and_then(|no| self.jobs.get(&no));
                if job.is_some_and(|j| j.spec.kind == JobKind::Service) {
                    services += p.cpus;
                }
            }
        }
        let has_pending = self
            .pending_queue
            .ranges()
            .any(|r| self.jobs.contains_key(&r.job));
        let is_saturated = has_pending && placed > up * bounds::THROUGHPUT_MEASURED_CPU_SHARE;
        self.admission
            .record_capacity(up, now - self.capacity_sampled_at, is_saturated);
        self.capacity_sampled_at = now;
        let demand = self.fleet_demand();
        let backlog = self.backlog(&demand);
        let lacks_cpus = demand.has_pending()
            && demand.servable.wanted_cpus(limits::SPOT_BACKLOG_DRAIN_S) > up + booting;
        let cloud_full = lacks_cpus
            && (self.admission.at_capacity()
                || now - self.autoscaler.last_growth_at() > bounds::CLOUD_FULL_AFTER_S);
        let policy = &self.settings.policy.admission;
        let teams = self.settings.teams.iter();
        let medians = self.predictor.medians_s();
        let mut medians: Vec<MedianRuntime> = medians
            .map(|(key, median_s)| MedianRuntime {
                key_hash: stable_hash(key),
                median_s: median_s as f32,
            })
            .collect();
        medians.sort_by_key(|m| m.key_hash);
        ClusterView {
            available_cpus: (up + booting - services).max(1.0),
            at_capacity: cloud_full
                && now - self.autoscaler.last_growth_at() > bounds::SCALE_OUT_MEMORY_S,
            teams: teams
                .map(|t| TeamQuota {
                    name: t.name.clone(),
                    guaranteed_cpus: t.cpus,
                    max_cpus: t.cpus_max,
                    weight: policy.weights.get(&t.name).copied().unwrap_or(1.0),
                })
                .collect(),
            backlog_cpu_s: backlog.all_cpu_s,
            best_effort_backlog_cpu_s: backlog.best_effort_cpu_s,
            completion_targets_s: self
                .admission
                .map_classes(|class| self.class_completion_target_s(class)),
            jobs_per_s: self.store_limits.write_rps * bounds::STORE_CHANGES_FOR_JOBS_SHARE
                / bounds::STORE_CHANGES_PER_JOB,
            refused_jobs: refused,
            median_runtimes: medians,
            served_share_floor: policy.floor,
            shedding: policy.shed,
        }
    }

    /// Returns the expected work of all jobs but services. Work that no existing machine may run is
    /// no load of the machines, so it must not keep other work from them.
    fn backlog(&self, demand: &FleetDemand) -> Backlog {
        let mut sets = PoolSets::new(&self.machine_types);
        let mut backlog = Backlog::default();
        for job in self.jobs.values() {
            if job.awaiting_dependencies || job.spec.kind == JobKind::Service {
                continue;
            }
            let set = sets.usable_by(job).set;
            let pending_tasks = match demand.is_servable(sets.get(set)) {
                true => f64::from(job.remaining_tasks()),
                false => 0.0,
            };
            // Placed tasks are assumed to be half done on average.
            let tasks = pending_tasks + f64::from(job.placement_count) / 2.0;
            let work_cpu_s = tasks * job.spec.cpus * self.expected_run_s(job);
            *backlog.all_cpu_s.entry(job.tenant_class).or_default() += work_cpu_s;
            if job.best_effort {
                let best_effort = backlog.best_effort_cpu_s.entry(job.tenant_class);
                *best_effort.or_default() += work_cpu_s;
            }
        }
        backlog
    }

    /// Returns the tenant classes that got less than their share, the least served first.
    pub(super) fn under_served_classes(&self, now: f64) -> Vec<TenantClassId> {
        if !self.settings.policy.admission.floors {
            return Vec::new();
        }
        let mut overdue: BTreeMap<TenantClassId, f64> = BTreeMap::new();
        for job in self
            .jobs
            .values()
            .filter(|j| !j.awaiting_dependencies && j.remaining_tasks() > 0)
        {
            if now - job.ready_at > self.overdue_after_s(job) && !job.is_suspect() {
                *overdue.entry(job.tenant_class).or_default() += 1.0;
            }
        }
        let services = self
            .admission
            .class_statistics()
            .map(|(class, a)| ClassService {
                class,
                done: a.recent_done,
                overdue: overdue.get(&class).copied().unwrap_or(0.0),
            });
        under_served(services.collect(), bounds::UNDER_SERVED_SHARE)
    }

    /// Returns the seconds after which a job that isn't done counts as overdue. A job with a long
    /// run time may wait for long, unless an objective says otherwise: without this rule, guests'
    /// tasks of 300 s were placed before urgent ones because none of their jobs was done after
    /// 90 s.
    fn overdue_after_s(&self, job: &Job) -> f64 {
        let finish_objectives = job
            .objectives
            .iter()
            .filter(|(kind, _)| *kind == ObjectiveKind::Finish);
        let longest_s = finish_objectives
            .map(|(_, within_s)| *within_s)
            .reduce(f64::max);
        let time_s = match longest_s {
            Some(within_s) => completion_target_or_default_s(within_s),
            None => {
                completion_target_or_default_s(0.0)
                    + bounds::UNCOVERED_CLASS_EXTRA_RUN_TIMES * self.expected_run_s(job)
            }
        };
        time_s * bounds::LATE_AFTER_HORIZON_SHARE
    }

    /// Returns the seconds within which a job of the class should be done: the class's objective,
    /// or else a default.
    fn class_completion_target_s(&self, class: &str) -> f64 {
        let objectives = self.settings.objectives.iter();
        let of_class = objectives.filter(|o| o.class == class && o.kind == "finished");
        completion_target_or_default_s(of_class.map(|o| o.within_s).fold(0.0, f64::max))
    }

    /// Returns a summary for the log: the scarce resource, and the jobs offered, admitted, waiting
    /// and done of each tenant class.
    pub(super) fn admission_summary(&self) -> String {
        let mut waiting: BTreeMap<TenantClassId, usize> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| !j.awaiting_dependencies) {
            *waiting.entry(job.tenant_class).or_default() += 1;
        }
        let table = self.admission.table();
        let cells: Vec<String> = self
            .admission
            .class_statistics()
            .map(|(id, a)| {
                let gate = table.gates.iter().find(|g| g.class == id);
                let gate =
                    gate.map_or(String::new(), |g| format!(" up to {:.0}", g.max_work_cpu_s));
                let refused = a.total_offered.saturating_sub(a.total_admitted);
                format!(
                    "{}/{} {} of {} ({refused} refused, {} wait, {} done){gate}",
                    a.team,
                    a.class,
                    a.total_admitted,
                    a.total_offered,
                    waiting.get(&id).copied().unwrap_or(0),
                    a.total_done,
                )
            })
            .collect();
        format!(
            "admission {}.{}, short of {:?}, load {:.2}, pace {:.2}, {}",
            table.term,
            table.generation,
            table.shortage,
            self.admission.load(),
            self.admission.throughput(),
            cells.join(", ")
        )
    }
}

/// Returns the bound of an objective, s; the default if there is none (0).
fn completion_target_or_default_s(within_s: f64) -> f64 {
    if within_s > 0.0 {
        within_s
    } else {
        bounds::DEFAULT_COMPLETION_TARGET_S
    }
}

/// Returns the expected CPU seconds of a whole job, from the learned median of its key or, without
/// one, its owner's estimate.
fn expected_work(spec: &Submission, median: Option<f64>) -> f64 {
    let run_s = match spec.kind {
        JobKind::Service => bounds::SERVICE_TASK_WORK_S,
        _ => median.unwrap_or(spec.estimate_s).max(1.0),
    };
    spec.cpus * f64::from(spec.tasks) * run_s
}

/// Returns the expected CPU seconds of a whole job as other controllers compute them, from the
/// medians in the admission table.
pub fn expected_work_from_table(table: &AdmissionTable, spec: &Submission) -> f64 {
    let key = stable_hash(&spec.predictor_key());
    let medians = &table.median_runtimes;
    let at = medians.binary_search_by_key(&key, |m| m.key_hash);
    expected_work(spec, at.ok().map(|at| f64::from(medians[at].median_s)))
}
