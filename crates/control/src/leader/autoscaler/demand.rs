//! Demand for CPUs of placed and pending work.
//!
//! A task that takes more of a machine's memory or GPUs than of its CPUs counts with as many CPUs
//! as no other task can use beside it.

use super::room::{FleetRoom, OccupiedByPriority};
use crate::leader::instance_pools::{PoolSet, PoolSets};
use crate::leader::quota_headroom::QuotaHeadroom;
use crate::leader::{Job, Leader, Machine};
use crate::resources::machine_capacity;
use cherrywood_sched::provisioning::{CpuDemand, OccupiedCpus, TeamDemand};
use cherrywood_wire::user::JobKind;
use std::collections::{BTreeMap, HashSet};

/// Demand of some work for CPUs.
#[derive(Debug, Clone, Default)]
pub(in crate::leader) struct WorkDemand {
    /// Demand of all of the work.
    pub(in crate::leader) all: CpuDemand,
    /// Demand of the work except best-effort work.
    pub(in crate::leader) prioritized: CpuDemand,
}

impl WorkDemand {
    /// Returns no demand, of teams whose limits leave this headroom.
    fn none(headroom: &[QuotaHeadroom]) -> WorkDemand {
        let teams = headroom.iter().map(|headroom| TeamDemand {
            headroom_cpus: headroom.cpus(),
            ..TeamDemand::default()
        });
        let none = CpuDemand {
            placed: OccupiedCpus::default(),
            teams: teams.collect(),
        };
        WorkDemand {
            all: none.clone(),
            prioritized: none,
        }
    }

    /// Adds placed tasks.
    fn add_placed(&mut self, placed: OccupiedByPriority) {
        self.all.placed += placed.all;
        self.prioritized.placed += placed.prioritized;
    }

    /// Adds the demand of other work of the same teams.
    fn add(&mut self, other: &WorkDemand) {
        self.all.add(&other.all);
        self.prioritized.add(&other.prioritized);
    }

    /// Adds pending tasks of a job.
    fn add_pending(&mut self, job: &Job, team: usize, tasks: PendingTasks) {
        add_tasks(&mut self.all, job, team, tasks);
        if !job.best_effort {
            add_tasks(&mut self.prioritized, job, team, tasks);
        }
    }
}

/// Pending work that may use the machines of the same pools.
#[derive(Debug)]
pub(super) struct PoolDemand {
    /// The pools.
    pub(super) pools: PoolSet,
    /// The work that may use no other pools, and all tasks that are on machines of the pools.
    pub(super) demand: WorkDemand,
    /// CPUs of the machines of the pools, up or booting, that are to stay.
    pub(super) existing_cpus: f64,
}

/// The work that needs machines.
pub(in crate::leader) struct FleetDemand {
    /// All work.
    pub(in crate::leader) total: WorkDemand,
    /// The work that existing machines may run; all work if there are none.
    pub(in crate::leader) servable: CpuDemand,
    /// The pending work by the pools that it may use: a set of pools is after all of its subsets.
    pub(super) by_pools: Vec<PoolDemand>,
    /// The room of each pool.
    pub(super) room: FleetRoom,
}

impl FleetDemand {
    /// Whether any pending work needs machines.
    pub(in crate::leader) fn has_pending(&self) -> bool {
        !self.by_pools.is_empty()
    }

    /// Whether work that may use these pools can be run by existing machines, or there are none at
    /// all.
    pub(in crate::leader) fn is_servable(&self, pools: &PoolSet) -> bool {
        self.room.is_servable(pools)
    }
}

/// Demand while it is being collected.
struct Collector<'a> {
    leader: &'a Leader,
    headroom: Vec<QuotaHeadroom>,
    sets: PoolSets<'a>,
    /// For each set of pools: work that may use just these and isn't on a machine that stays.
    demand_by_set: BTreeMap<usize, WorkDemand>,
    /// The sets of pools of pending work.
    pending_sets: HashSet<usize>,
    room: FleetRoom,
    total: WorkDemand,
    servable: CpuDemand,
}

impl<'a> Collector<'a> {
    fn new(leader: &'a Leader) -> Collector<'a> {
        let headroom = leader.quota_headroom_by_team();
        let sets = PoolSets::new(&leader.machine_types);
        Collector {
            total: WorkDemand::none(&headroom),
            servable: WorkDemand::none(&headroom).all,
            room: leader.fleet_room(&sets.catalog),
            demand_by_set: BTreeMap::new(),
            pending_sets: HashSet::new(),
            leader,
            headroom,
            sets,
        }
    }

    /// Returns the demand of work that may use just the pools of this set.
    fn demand_of(&mut self, set: usize) -> &mut WorkDemand {
        let headroom = &self.headroom;
        let none = || WorkDemand::none(headroom);
        self.demand_by_set.entry(set).or_insert_with(none)
    }

    /// Adds the placed tasks. Those on machines that are to be removed need room elsewhere.
    fn add_placed(&mut self) {
        for machine in self.leader.machines.values() {
            let pool = self.sets.catalog.pool_of(machine);
            let capacity = pool.map(|pool| machine_capacity(self.sets.catalog.machine_type(pool)));
            let occupied = machine.occupied(capacity.unwrap_or_default());
            self.total.add_placed(occupied);
            self.servable.placed += occupied.all;
            if !machine.stays() {
                self.add_leaving(machine);
            }
        }
    }

    fn add_leaving(&mut self, machine: &'a Machine) {
        for placement in machine.placements.iter() {
            let job = placement.job.and_then(|job| self.leader.jobs.get(&job));
            if let Some(job) = job {
                let usable = self.sets.usable_by(job);
                let placed = OccupiedByPriority {
                    all: usable.occupied,
                    prioritized: match placement.best_effort {
                        true => OccupiedCpus::default(),
                        false => usable.occupied,
                    },
                };
                self.demand_of(usable.set).add_placed(placed);
            }
        }
    }

    fn add_pending(&mut self) {
        let mut gpu_headroom = self.headroom.clone();
        let mut probed = HashSet::new();
        for range in self.leader.pending_queue.ranges() {
            let job = self.leader.jobs.get(&range.job);
            let Some((job, team)) = job.and_then(|job| Some((job, job.team_index?))) else {
                continue;
            };
            if !self.headroom[team].admits(&job.spec) {
                continue;
            }
            // A suspect job is tried one task at a time, however many of its tasks are pending.
            let runnable = match job.is_suspect() {
                true => u32::from(probed.insert(range.job)),
                false => range.len(),
            };
            // Tasks that the limit on GPUs keeps from running need no machine.
            let count = gpu_headroom[team].take_gpus(&job.spec, f64::from(runnable));
            if count > 0.0 {
                let usable = self.sets.usable_by(job);
                let tasks = PendingTasks {
                    count,
                    run_s: self.leader.expected_run_s(job),
                    occupied: usable.occupied,
                };
                // Machines for gangs are counted by their whole tasks instead.
                if job.spec.kind != JobKind::Gang {
                    self.demand_of(usable.set).add_pending(job, team, tasks);
                }
                self.total.add_pending(job, team, tasks);
                if self.room.is_servable(self.sets.get(usable.set)) {
                    add_tasks(&mut self.servable, job, team, tasks);
                }
                self.pending_sets.insert(usable.set);
            }
        }
    }

    /// Returns the demand for machines of the pools of this set.
    fn pool_demand(&self, set: usize) -> PoolDemand {
        let pools = self.sets.get(set).clone();
        let mut demand = WorkDemand::none(&self.headroom);
        for (other, work) in &self.demand_by_set {
            if self.sets.get(*other).is_subset_of(&pools) {
                demand.add(work);
            }
        }
        let mut existing_cpus = 0.0;
        for pool in pools.iter() {
            let room = self.room.of(pool);
            existing_cpus += room.existing_cpus;
            demand.add_placed(room.occupied);
        }
        PoolDemand {
            pools,
            demand,
            existing_cpus,
        }
    }
}

impl Leader {
    /// Returns the current demand for machines.
    pub(in crate::leader) fn fleet_demand(&self) -> FleetDemand {
        let mut collector = Collector::new(self);
        collector.add_placed();
        collector.add_pending();
        let sets = collector.pending_sets.iter();
        let mut by_pools: Vec<PoolDemand> = sets.map(|set| collector.pool_demand(*set)).collect();
        by_pools.sort_by(|a, b| a.pools.cmp_by_size(&b.pools));
        FleetDemand {
            total: collector.total,
            servable: collector.servable,
            by_pools,
            room: collector.room,
        }
    }

    /// Returns the CPUs of a machine of the type; 0 if the type isn't known.
    pub(in crate::leader) fn cpus_of(&self, machine_type: &str) -> f64 {
        self.machine_type(machine_type).map_or(0.0, |t| t.cpus)
    }
}

/// Pending tasks of one job.
#[derive(Debug, Clone, Copy)]
struct PendingTasks {
    count: f64,
    /// Expected run time of each, s.
    run_s: f64,
    /// CPUs of a machine that each occupies.
    occupied: OccupiedCpus,
}

fn add_tasks(demand: &mut CpuDemand, job: &Job, team: usize, tasks: PendingTasks) {
    if job.spec.kind == JobKind::Array {
        demand.teams[team].add_tasks(tasks.occupied, tasks.count, tasks.run_s);
    } else {
        // Gangs and services need all of their machines at once, so their CPUs count in full, as
        // if they were placed.
        demand.placed += tasks.occupied * tasks.count;
    }
}
