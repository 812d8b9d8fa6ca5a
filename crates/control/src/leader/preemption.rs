//! Preemption of best-effort work.
//!
//! Work of the lowest priority is best effort unless an objective counts its class or a job
//! of a higher priority depends on it. Beyond its team's guarantee, best-effort work leaves
//! room for new jobs, and is told to save a checkpoint and end when other work finds no room
//! (the protocol's first reason to stop a task). Lowest-priority work that an objective counts
//! is also served last, but is never preempted.

use super::instance_pools::{PoolCatalog, PoolSet, PoolSets};
use super::pool_work::{PoolWork, group_by_pools};
use super::quota_headroom::prioritized_pending;
use super::{EvictionState, JobTable, Leader, Machine, Placement, PlacementStage};
use crate::Team;
use crate::resources::{Resources, machine_capacity};
use std::collections::{HashMap, HashSet};

/// Pending work that may use the same pools, and the room that it finds there.
struct Shortage {
    pools: PoolSet,
    /// CPUs that the work wants.
    wanted_cpus: f64,
    /// The least that any of the tasks requests.
    least_request: Resources,
    /// The images of the jobs.
    images: HashSet<u64>,
    /// By pool, the CPUs that are free or about to become free, and that the work may use.
    room_by_pool: Vec<f64>,
}

impl Shortage {
    fn new(work: PoolWork, jobs: &JobTable, pool_count: usize) -> Shortage {
        let jobs = work.jobs.iter().filter_map(|job| jobs.get(job));
        Shortage {
            pools: work.pools,
            wanted_cpus: work.cpus,
            least_request: work.least_request,
            images: jobs.map(|job| job.image_id).collect(),
            room_by_pool: vec![0.0; pool_count],
        }
    }

    /// Returns the CPUs of a machine that the work may use, with these resources free: none unless
    /// they may suffice for one of the tasks.
    fn usable_cpus(&self, free: Resources) -> f64 {
        match self.least_request.fits_in(free) {
            true => free.cpus,
            false => 0.0,
        }
    }

    /// Adds the room on a machine on which these resources are free or about to become free.
    fn add_room(&mut self, pool: usize, free: Resources) {
        if self.pools.contains(pool) {
            self.room_by_pool[pool] += self.usable_cpus(free);
        }
    }

    /// Claims room for the work, less what was claimed in each pool before; returns the CPUs that
    /// are missing.
    fn claim_room(&self, claimed_by_pool: &mut [f64]) -> f64 {
        let mut missing_cpus = self.wanted_cpus;
        for pool in self.pools.iter() {
            let left_cpus = (self.room_by_pool[pool] - claimed_by_pool[pool]).max(0.0);
            let claimed_cpus = missing_cpus.min(left_cpus);
            claimed_by_pool[pool] += claimed_cpus;
            missing_cpus -= claimed_cpus;
        }
        missing_cpus
    }
}

/// A machine with best-effort tasks that may be preempted.
struct PreemptibleMachine {
    name: String,
    /// Its instance pool.
    pool: usize,
    /// Whether the machine has the image of a job that lacks room.
    has_wanted_image: bool,
    /// Resources that are free or about to become free.
    free: Resources,
    /// Resources of the tasks that may be preempted.
    preemptible: Resources,
}

/// The state of one run of preemption.
struct Preemption {
    /// By pool, the CPUs of free room that are claimed for pending work.
    claimed_by_pool: Vec<f64>,
    /// By team, the CPUs that may still be taken from it.
    beyond_guarantee_cpus: HashMap<String, f64>,
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
        let mut shortages = self.prioritized_shortages(now);
        if shortages.is_empty() {
            return;
        }
        let mut preemptible = self.add_room_and_find_preemptible(&mut shortages);
        let mut preemption = Preemption {
            claimed_by_pool: vec![0.0; shortages[0].room_by_pool.len()],
            beyond_guarantee_cpus: self.cpus_beyond_guarantees(),
        };
        for shortage in &shortages {
            let missing_cpus = shortage.claim_room(&mut preemption.claimed_by_pool);
            if missing_cpus > 0.0 {
                self.sort_by_use(&mut preemptible, shortage, now);
                self.request_evictions(&mut preemptible, shortage, missing_cpus, &mut preemption);
            }
        }
    }

    /// Returns the pending work other than best-effort work, by the pools that it may use: work
    /// that may use few pools comes first.
    fn prioritized_shortages(&self, now: f64) -> Vec<Shortage> {
        let headroom = self.quota_headroom_by_team();
        let pending = prioritized_pending(&self.pending_queue, &self.jobs, headroom, now);
        let mut sets = PoolSets::new(&self.machine_types);
        let work = group_by_pools(&pending, &self.jobs, &mut sets);
        let pool_count = sets.catalog.len();
        work.into_iter()
            .map(|work| Shortage::new(work, &self.jobs, pool_count))
            .collect()
    }

    /// Adds the room on all machines to the shortages; returns the machines with best-effort tasks
    /// that may be preempted.
    fn add_room_and_find_preemptible(&self, shortages: &mut [Shortage]) -> Vec<PreemptibleMachine> {
        let catalog = PoolCatalog::new(&self.machine_types);
        let mut preemptible = Vec::new();
        for (name, machine) in &self.machines {
            let is_leaving = machine.cordoned || machine.deleting || machine.scaling_in;
            let Some(pool) = catalog
                .pool_of(machine)
                .filter(|_| machine.up && !is_leaving)
            else {
                continue;
            };
            let capacity = machine_capacity(catalog.machine_type(pool));
            let free = capacity - machine.used_resources() + machine.evicting_resources();
            for shortage in shortages.iter_mut() {
                shortage.add_room(pool, free);
            }
            let preemptible_tasks = self.preemptible_resources(machine);
            if preemptible_tasks.cpus > 0.0 {
                preemptible.push(PreemptibleMachine {
                    name: name.clone(),
                    pool,
                    has_wanted_image: false,
                    free,
                    preemptible: preemptible_tasks,
                });
            }
        }
        preemptible
    }

    /// Returns the resources of the tasks on the machine that may be preempted.
    fn preemptible_resources(&self, machine: &Machine) -> Resources {
        let mut preemptible = Resources::ZERO;
        if machine.placements.sums().has_best_effort {
            let placements = machine.placements.iter();
            for placement in placements.filter(|p| is_preemptible(&self.jobs, p)) {
                preemptible += placement.request();
            }
        }
        preemptible
    }

    /// Sorts machines by their use for work that lacks room: those that have an image of its jobs
    /// first, then those with the most preemptible CPUs.
    fn sort_by_use(&self, machines: &mut [PreemptibleMachine], shortage: &Shortage, now: f64) {
        for preemptible in machines.iter_mut() {
            let machine = self.machines.get(&preemptible.name);
            let mut images = machine.iter().flat_map(|machine| &machine.cached_images);
            preemptible.has_wanted_image =
                images.any(|image| image.ready_at <= now && shortage.images.contains(&image.id));
        }
        machines.sort_by(|a, b| {
            let by_image = b.has_wanted_image.cmp(&a.has_wanted_image);
            let by_cpus = b.preemptible.cpus.total_cmp(&a.preemptible.cpus);
            by_image.then(by_cpus).then_with(|| a.name.cmp(&b.name))
        });
    }

    /// Returns the CPUs that each team uses beyond its guarantee; below 0 if it uses less.
    fn cpus_beyond_guarantees(&self) -> HashMap<String, f64> {
        let teams = self.settings.teams.iter();
        let beyond_guarantee_cpus = |team: &Team| self.quota_used(&team.name).cpus - team.cpus;
        teams
            .map(|team| (team.name.clone(), beyond_guarantee_cpus(team)))
            .collect()
    }

    /// Marks tasks for eviction until the room covers what is missing.
    fn request_evictions(
        &mut self,
        machines: &mut [PreemptibleMachine],
        shortage: &Shortage,
        mut missing_cpus: f64,
        preemption: &mut Preemption,
    ) {
        for preemptible in machines {
            let is_useful = shortage.pools.contains(preemptible.pool)
                && shortage.usable_cpus(preemptible.free + preemptible.preemptible) > 0.0;
            if !is_useful {
                continue;
            }
            missing_cpus -= self.evict_on(preemptible, shortage, missing_cpus, preemption);
            if missing_cpus <= 0.0 {
                // What evictions free beyond what is missing is room for other work.
                preemption.claimed_by_pool[preemptible.pool] += missing_cpus;
                return;
            }
        }
    }

    /// Marks tasks of a machine for eviction until one of the pending tasks may have room there and
    /// what is missing is covered; returns the CPUs that they make usable. If no pending task can
    /// get room, none is marked. Only the CPUs that a team uses beyond its guarantee may be taken
    /// from it.
    fn evict_on(
        &mut self,
        preemptible: &mut PreemptibleMachine,
        shortage: &Shortage,
        missing_cpus: f64,
        preemption: &mut Preemption,
    ) -> f64 {
        let Some(machine) = self.machines.get_mut(&preemptible.name) else {
            return 0.0;
        };
        let usable_before_cpus = shortage.usable_cpus(preemptible.free);
        let mut beyond_guarantee_cpus = preemption.beyond_guarantee_cpus.clone();
        let mut free = preemptible.free;
        let mut evicted = Vec::new();
        for (at, placement) in machine.placements.iter().enumerate() {
            let usable_cpus = shortage.usable_cpus(free);
            if usable_cpus > 0.0 && usable_cpus - usable_before_cpus >= missing_cpus {
                break;
            }
            let beyond_cpus = beyond_guarantee_cpus.get_mut(&placement.team);
            let beyond_cpus = beyond_cpus.filter(|beyond_cpus| **beyond_cpus >= placement.cpus);
            if let Some(beyond_cpus) = beyond_cpus.filter(|_| is_preemptible(&self.jobs, placement))
            {
                *beyond_cpus -= placement.cpus;
                free += placement.request();
                evicted.push(at);
            }
        }
        let gained_cpus = shortage.usable_cpus(free) - usable_before_cpus;
        if gained_cpus > 0.0 {
            for at in evicted {
                machine.placements[at].eviction = EvictionState::Pending;
            }
            preemptible.free = free;
            preemption.beyond_guarantee_cpus = beyond_guarantee_cpus;
        }
        gained_cpus
    }
}

impl Machine {
    /// Returns the resources of the tasks whose eviction was requested.
    fn evicting_resources(&self) -> Resources {
        let mut evicting = Resources::ZERO;
        if self.placements.sums().evicting_cpus > 0.0 {
            let placements = self.placements.iter();
            for placement in placements.filter(|p| p.eviction != EvictionState::NotRequested) {
                evicting += placement.request();
            }
        }
        evicting
    }

    /// Whether tasks are being evicted: the room is for the work that they make way for.
    pub(super) fn is_evicting(&self) -> bool {
        self.placements.sums().evicting_cpus > 0.0
    }
}
