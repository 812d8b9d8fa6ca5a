//! Preemption of best-effort work.
//!
//! Work of the lowest priority is best effort unless an objective counts its class or a job
//! of a higher priority depends on it. Beyond its team's guarantee, best-effort work leaves
//! room for new jobs, and is told to save a checkpoint and end when other work finds no room
//! (the protocol's first reason to stop a task). Lowest-priority work that an objective counts
//! is also served last, but is never preempted.

use super::quota_headroom::prioritized_pending;
use super::scheduler::machine_allowed;
use super::{EvictionState, JobIndex, JobTable, Leader, Machine, Placement, PlacementStage};
use crate::resources::{Resources, machine_capacity};
use cherrywood_sched::resources::ROUNDING;
use std::collections::{BTreeSet, HashMap};

/// Pending work that lacks room.
struct Shortage {
    /// CPUs that the work may use and that are neither free nor about to become free.
    cpus: f64,
    jobs: BTreeSet<JobIndex>,
    /// The least CPUs that any of the tasks requests.
    least_cpus: f64,
    /// The least memory that any of the tasks requests.
    least_memory_gb: f64,
}

impl Shortage {
    /// Whether the resources that are free on a machine may suffice for one of the tasks.
    fn can_use(&self, free: Resources) -> bool {
        free.cpus + ROUNDING >= self.least_cpus && free.memory_gb + ROUNDING >= self.least_memory_gb
    }
}

/// A machine with best-effort tasks that may be preempted.
struct PreemptibleMachine {
    name: String,
    /// Whether the machine has the image of a job that lacks room.
    has_wanted_image: bool,
    /// CPUs of the tasks that may be preempted.
    preemptible_cpus: f64,
}

/// Whether the placement may be evicted for other work at little loss: it is best effort, and the
/// task saves its progress or doesn't run yet.
fn is_preemptible(jobs: &JobTable, placement: &Placement) -> bool {
    let job = placement.job.and_then(|index| jobs.get(&index));
    let saves_progress = job.is_some_and(|job| job.spec.checkpoint_interval_s > 0.0);
    placement.best_effort
        && placement.stage == PlacementStage::Durable
        && placement.eviction == EvictionState::NotRequested
        && (saves_progress || !placement.running)
}

impl Leader {
    /// Returns the CPUs of all placements that are not best effort.
    pub(super) fn prioritized_cpus(&self) -> f64 {
        let machines = self.machines.values();
        machines.map(|m| m.placements.sums().prioritized_cpus).sum()
    }

    /// Marks as many best-effort tasks for eviction as other pending work needs.
    pub(super) fn preempt_best_effort(&mut self, now: f64) {
        let Some(mut shortage) = self.prioritized_shortage(now) else {
            return;
        };
        let mut preemptible = Vec::new();
        for (name, machine) in &self.machines {
            if !machine.up || machine.cordoned || machine.deleting {
                continue;
            }
            let Some(machine_type) = self.machine_type(&machine.machine_type) else {
                continue;
            };
            let sums = machine.placements.sums();
            // Resources that are free, and CPUs that requested evictions will free.
            let free = machine_capacity(machine_type) - machine.used_resources();
            if !machine.scaling_in && shortage.can_use(free) {
                shortage.cpus -= free.cpus;
            }
            shortage.cpus -= sums.evicting_cpus;
            if sums.has_best_effort {
                preemptible.extend(self.preemptible_machine(name, machine, &shortage, now));
            }
        }
        // Machines with a wanted image first, then those with the most preemptible CPUs.
        preemptible.sort_by(|a, b| {
            let by_image = b.has_wanted_image.cmp(&a.has_wanted_image);
            by_image.then(b.preemptible_cpus.total_cmp(&a.preemptible_cpus))
        });
        self.request_evictions(&preemptible, shortage.cpus);
    }

    /// Returns the pending work other than best-effort work; None if there is none.
    fn prioritized_shortage(&self, now: f64) -> Option<Shortage> {
        let headroom = self.quota_headroom_by_team();
        let pending = prioritized_pending(&self.pending_queue, &self.jobs, headroom, now);
        let mut shortage = Shortage {
            cpus: pending.iter().map(|pending| pending.cpus).sum(),
            jobs: BTreeSet::new(),
            least_cpus: f64::INFINITY,
            least_memory_gb: f64::INFINITY,
        };
        for pending in pending {
            if let Some(job) = self.jobs.get(&pending.job) {
                shortage.least_cpus = shortage.least_cpus.min(job.spec.cpus);
                shortage.least_memory_gb = shortage.least_memory_gb.min(job.spec.memory_gb);
                shortage.jobs.insert(pending.job);
            }
        }
        (shortage.cpus > 0.0).then_some(shortage)
    }

    /// Returns the machine if preempting its best-effort tasks makes room for work that lacks
    /// room.
    fn preemptible_machine(
        &self,
        name: &str,
        machine: &Machine,
        shortage: &Shortage,
        now: f64,
    ) -> Option<PreemptibleMachine> {
        let placements = machine.placements.iter();
        let preemptible_cpus: f64 = placements
            .filter(|placement| is_preemptible(&self.jobs, placement))
            .map(|placement| placement.cpus)
            .sum();
        if preemptible_cpus <= 0.0 || machine.scaling_in {
            return None;
        }
        let mut jobs = shortage.jobs.iter().filter_map(|job| self.jobs.get(job));
        if !jobs.any(|job| machine_allowed(&job.spec, machine)) {
            return None;
        }
        Some(PreemptibleMachine {
            name: name.to_string(),
            has_wanted_image: self.has_image_of(machine, shortage, now),
            preemptible_cpus,
        })
    }

    /// Whether the image of a job that lacks room is cached on the machine.
    fn has_image_of(&self, machine: &Machine, shortage: &Shortage, now: f64) -> bool {
        let is_wanted = |image: u64| {
            let mut jobs = shortage.jobs.iter().filter_map(|job| self.jobs.get(job));
            jobs.any(|job| job.image_id == image)
        };
        let mut images = machine.cached_images.iter();
        images.any(|image| image.ready_at <= now && is_wanted(image.id))
    }

    /// Marks tasks for eviction until their CPUs cover the shortage. Only the CPUs that a team
    /// uses beyond its guarantee may be taken from it.
    fn request_evictions(&mut self, machines: &[PreemptibleMachine], mut shortage_cpus: f64) {
        let teams = self.settings.teams.iter();
        let mut beyond_guarantee_cpus: HashMap<String, f64> = teams
            .map(|team| {
                (
                    team.name.clone(),
                    self.quota_used(&team.name).cpus - team.cpus,
                )
            })
            .collect();
        for preemptible in machines {
            let Some(machine) = self.machines.get_mut(&preemptible.name) else {
                continue;
            };
            for placement in machine.placements.iter_mut() {
                if shortage_cpus <= 0.0 {
                    return;
                }
                let Some(beyond_cpus) = beyond_guarantee_cpus.get_mut(&placement.team) else {
                    continue;
                };
                if is_preemptible(&self.jobs, placement) && *beyond_cpus >= placement.cpus {
                    *beyond_cpus -= placement.cpus;
                    shortage_cpus -= placement.cpus;
                    placement.eviction = EvictionState::Pending;
                }
            }
        }
    }
}
