//! Room that best-effort work leaves free for other pending work: only room that this work may
//! use, by the instance pools that its tasks are allowed on and fit in.

use super::pass::{PlacementPass, ServingMode};
use crate::leader::instance_pools::{PoolSet, PoolSets};
use crate::leader::pool_work::{PoolWork, group_by_pools};

/// CPUs reserved on the machines of some pools.
#[derive(Debug)]
struct ReservedPools {
    pools: PoolSet,
    /// CPUs reserved for work that may use no other pools.
    cpus: f64,
}

/// The free CPUs that are reserved for pending work.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    reserved: Vec<ReservedPools>,
    /// Pools whose machines have no more CPUs free than are reserved.
    closed: PoolSet,
}

impl Reservation {
    /// Reserves CPUs for the work, of those that are free in each pool. In `work`, a set of pools
    /// is after all of its subsets.
    fn new(work: Vec<PoolWork>, mut free_by_pool: Vec<f64>) -> Reservation {
        let claim = |work: PoolWork| ReservedPools {
            cpus: claim(&mut free_by_pool, &work.pools, work.cpus),
            pools: work.pools,
        };
        Reservation {
            reserved: work.into_iter().map(claim).collect(),
            closed: PoolSet::default(),
        }
    }

    /// Returns all CPUs reserved.
    fn cpus(&self) -> f64 {
        self.reserved.iter().map(|reserved| reserved.cpus).sum()
    }

    /// Whether the machines of the pool have room beyond what is reserved.
    pub(super) fn is_open(&self, pool: Option<usize>) -> bool {
        pool.is_none_or(|pool| !self.closed.contains(pool))
    }

    /// Closes the pools of which no more CPUs are free than are reserved for work that may use no
    /// other pools.
    fn close_pools(&mut self, free_by_pool: &[f64]) {
        for ReservedPools { pools, .. } in &self.reserved {
            let within = self.reserved.iter().filter(|r| r.pools.is_subset_of(pools));
            let reserved_cpus: f64 = within.map(|reserved| reserved.cpus).sum();
            let free_cpus: f64 = pools.iter().map(|pool| free_by_pool[pool]).sum();
            if free_cpus <= reserved_cpus {
                self.closed.insert_all(pools);
            }
        }
    }
}

/// Subtracts up to `cpus` from what is free in the pools; returns how many were.
fn claim(free_by_pool: &mut [f64], pools: &PoolSet, cpus: f64) -> f64 {
    let mut missing_cpus = cpus;
    for pool in pools.iter() {
        let claimed_cpus = missing_cpus.min(free_by_pool[pool]);
        free_by_pool[pool] -= claimed_cpus;
        missing_cpus -= claimed_cpus;
    }
    cpus - missing_cpus
}

impl PlacementPass<'_> {
    /// Reserves room for the pending work other than best-effort work, and `extra_cpus` more on
    /// any machines.
    pub(super) fn reserve_for_prioritized_work(&mut self, extra_cpus: f64) {
        let jobs = &*self.jobs;
        let mut sets = PoolSets::new(self.catalog.machine_types);
        let work = group_by_pools(&self.prioritized_pending(), jobs, &mut sets);
        self.reservation = Reservation::new(work, self.free_by_pool());
        self.mode = ServingMode {
            reserved_cpus: extra_cpus + self.reservation.cpus(),
            ..ServingMode::default()
        };
        self.close_reserved_pools();
    }

    /// Closes pools to further placements whose free CPUs are all reserved. Not done while a gang
    /// is being placed, of which a part alone is of no use.
    pub(super) fn close_reserved_pools(&mut self) {
        if !self.reservation.reserved.is_empty() {
            let free_by_pool = self.free_by_pool();
            self.reservation.close_pools(&free_by_pool);
            self.room_version += 1;
        }
    }

    /// Returns the CPUs that are free on the candidates of each pool.
    fn free_by_pool(&self) -> Vec<f64> {
        let mut free_by_pool = vec![0.0; self.catalog.len()];
        for candidate in &self.candidates {
            if let Some(pool) = candidate.pool {
                free_by_pool[pool] += candidate.free.cpus;
            }
        }
        free_by_pool
    }
}
