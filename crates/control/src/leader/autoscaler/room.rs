//! What the machines of each pool have for tasks: counted once for all jobs, whose number grows
//! like that of the machines.

use super::pools::PoolCatalog;
use crate::leader::{Leader, Machine};
use crate::resources::{Resources, machine_capacity};

/// The largest amounts of room on any machine: each is exceeded by no other one in all resources.
#[derive(Debug, Clone, Default)]
pub(super) struct LargestRooms(Vec<Resources>);

impl LargestRooms {
    /// Adds the room on a machine.
    pub(super) fn add(&mut self, room: Resources) {
        if self.0.iter().any(|larger| room.fits_in(*larger)) {
            return;
        }
        self.0.retain(|smaller| !smaller.fits_in(room));
        self.0.push(room);
    }

    /// Whether a machine has room for the request.
    pub(super) fn has_room_for(&self, request: Resources) -> bool {
        self.0.iter().any(|room| request.fits_in(*room))
    }
}

/// The machines of one pool that are to stay, up or booting.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolRoom {
    /// Number of machines.
    pub(super) machines: u32,
    /// Number of machines, those that are to be removed included.
    pub(super) all_machines: u32,
    /// Their CPUs.
    pub(super) existing_cpus: f64,
    /// CPUs of the tasks on them.
    pub(super) placed_cpus: f64,
    /// CPUs of the tasks on them that are not best effort.
    pub(super) prioritized_cpus: f64,
    /// Room that is free now.
    pub(super) free: LargestRooms,
}

/// The room of each pool of a catalog.
#[derive(Debug)]
pub(super) struct FleetRoom {
    pools: Vec<PoolRoom>,
}

impl FleetRoom {
    /// Returns the room of a pool.
    pub(super) fn of(&self, pool: usize) -> &PoolRoom {
        &self.pools[pool]
    }

    /// Adds empty machines to a pool, as if they were rented already.
    pub(super) fn add_machines(&mut self, pool: usize, machines: u32, capacity: Resources) {
        let room = &mut self.pools[pool];
        room.machines += machines;
        room.all_machines += machines;
        room.existing_cpus += capacity.cpus * f64::from(machines);
        room.free.add(capacity);
    }
}

impl Machine {
    /// Whether the machine isn't to be removed.
    pub(super) fn stays(&self) -> bool {
        !self.cordoned && !self.deleting
    }
}

impl Leader {
    /// Returns the room of each pool.
    pub(super) fn fleet_room(&self, catalog: &PoolCatalog) -> FleetRoom {
        let mut pools = vec![PoolRoom::default(); catalog.len()];
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
            let sums = machine.placements.sums();
            room.machines += 1;
            room.existing_cpus += capacity.cpus;
            room.placed_cpus += sums.cpus;
            room.prioritized_cpus += sums.prioritized_cpus;
            room.free.add(capacity - machine.used_resources());
        }
        FleetRoom { pools }
    }
}
