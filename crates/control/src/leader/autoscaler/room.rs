//! What the machines of each pool have for tasks: counted once for all jobs, whose number grows
//! like that of the machines.

use crate::leader::instance_pools::{PoolCatalog, PoolSet};
use crate::leader::largest_rooms::LargestRooms;
use crate::leader::{Leader, Machine};
use crate::resources::{Resources, machine_capacity};
use cherrywood_sched::provisioning::OccupiedCpus;
use cherrywood_wire::user::JobKind;
use std::ops::AddAssign;

/// The machines of one pool that are to stay, up or booting.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolRoom {
    /// Number of machines.
    pub(super) machines: u32,
    /// Number of machines, those that are to be removed included.
    pub(super) all_machines: u32,
    /// Their CPUs.
    pub(super) existing_cpus: f64,
    /// CPUs that the tasks on them occupy.
    pub(super) occupied: OccupiedByPriority,
    /// Room that is free now, on machines that aren't being drained.
    pub(super) free: LargestRooms,
    /// Room beside tasks of services, which never end: free at some time, on machines that aren't
    /// being drained.
    pub(super) lasting: LargestRooms,
}

/// CPUs of machines that tasks occupy.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OccupiedByPriority {
    /// CPUs that all tasks occupy.
    pub(super) all: OccupiedCpus,
    /// CPUs that the tasks occupy which are not best effort.
    pub(super) prioritized: OccupiedCpus,
}

impl AddAssign for OccupiedByPriority {
    fn add_assign(&mut self, other: OccupiedByPriority) {
        self.all += other.all;
        self.prioritized += other.prioritized;
    }
}

/// The room of each pool of a catalog.
#[derive(Debug, Clone)]
pub(super) struct FleetRoom {
    pools: Vec<PoolRoom>,
}

impl FleetRoom {
    /// Returns the room of a pool.
    pub(super) fn of(&self, pool: usize) -> &PoolRoom {
        &self.pools[pool]
    }

    /// Returns the CPUs that are free in sum on the machines of these pools.
    pub(super) fn free_cpus(&self, pools: &PoolSet) -> f64 {
        let of_pool = |room: &PoolRoom| room.existing_cpus - room.occupied.all.by_cpus;
        pools.iter().map(|pool| of_pool(&self.pools[pool])).sum()
    }

    /// Whether any machine is in these pools, or there are none at all.
    pub(super) fn is_servable(&self, pools: &PoolSet) -> bool {
        pools.iter().any(|pool| self.pools[pool].machines > 0)
            || self.pools.iter().all(|pool| pool.machines == 0)
    }

    /// Adds the room on a machine that is no longer being drained.
    pub(super) fn add_drained(&mut self, pool: usize, free: Resources) {
        self.pools[pool].free.add(free);
        self.pools[pool].lasting.add(free);
    }

    /// Adds empty machines to a pool, as if they were rented already.
    pub(super) fn add_machines(&mut self, pool: usize, machines: u32, capacity: Resources) {
        let room = &mut self.pools[pool];
        room.machines += machines;
        room.all_machines += machines;
        room.existing_cpus += capacity.cpus * f64::from(machines);
        room.free.add(capacity);
        room.lasting.add(capacity);
    }
}

impl Machine {
    /// Whether the machine isn't to be removed.
    pub(super) fn stays(&self) -> bool {
        !self.cordoned && !self.deleting
    }

    /// Returns the CPUs that its tasks occupy, given its capacity.
    pub(super) fn occupied(&self, capacity: Resources) -> OccupiedByPriority {
        let sums = self.placements.sums();
        let all = OccupiedCpus::on_machines(self.used_resources(), capacity);
        let prioritized_share = match sums.cpus > 0.0 {
            true => sums.prioritized_cpus / sums.cpus,
            false => 1.0,
        };
        OccupiedByPriority {
            all,
            prioritized: OccupiedCpus {
                by_cpus: sums.prioritized_cpus,
                ..all * prioritized_share
            },
        }
    }
}

impl Leader {
    /// Returns the room of each pool.
    pub(super) fn fleet_room(&self, catalog: &PoolCatalog) -> FleetRoom {
        let mut pools = vec![PoolRoom::default(); catalog.len()];
        let mut jobs = self.jobs.values();
        let has_services = jobs.any(|job| job.spec.kind == JobKind::Service);
        for machine in self.machines.values() {
            let Some(pool) = catalog.pool_of(machine) else {
                continue;
            };
            let room = &mut pools[pool];
            room.all_machines += 1;
            if !machine.stays() {
                continue;
            }
            let capacity = machine_capacity(catalog.machine_type(pool));
            room.machines += 1;
            room.existing_cpus += capacity.cpus;
            room.occupied += machine.occupied(capacity);
            if machine.scaling_in {
                continue;
            }
            room.free.add(capacity - machine.used_resources());
            let used_by_services = match has_services {
                true => self.used_by_services(machine),
                false => Resources::ZERO,
            };
            room.lasting.add(capacity - used_by_services);
        }
        FleetRoom { pools }
    }

    /// Returns the resources that tasks of services hold on the machine.
    fn used_by_services(&self, machine: &Machine) -> Resources {
        let mut used = Resources::ZERO;
        for placement in machine.placements.iter() {
            let job = placement.job.and_then(|job| self.jobs.get(&job));
            if job.is_some_and(|job| job.spec.kind == JobKind::Service) {
                used += placement.request();
            }
        }
        used
    }
}
