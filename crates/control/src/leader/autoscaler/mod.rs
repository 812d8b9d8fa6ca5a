//! The autoscaler: decides how many machines there should be, which are rented and which are
//! returned.
//!
//! The leader runs the autoscaler about once a second ([`Leader::autoscale`]). Each run
//! compares the CPUs that placed and pending work demands with those of the existing machines,
//! and returns requests to the cloud. The responses are applied later by
//! [`Leader::rental_answered`] and [`Leader::machines_deleted`]; machines that appear or
//! disappear without a request show in the cloud's list ([`Leader::apply_machine_list`]).
//!
//! [`Autoscaler`] is the state that this module alone keeps between runs; a new leader starts
//! without it.

use super::instance_pools::{InstancePool, PoolSet};
use super::{CloudCall, Leader};
use cherrywood_limits as limits;
use cherrywood_wire::cloud::RentalRequest;
pub(super) use demand::FleetDemand;
use demand::PoolDemand;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod demand;
mod gangs;
mod inventory;
mod machine_health;
mod overdue_boots;
mod room;
mod scale_in;
mod scale_out;
mod wanted_machines;

use wanted_machines::WantedCpus;

/// A machine type in a zone; its spot and on-demand machines are counted together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct BootPool {
    machine_type: String,
    zone: String,
}

/// CPUs wanted by work that is not best effort, as exponential moving averages with different
/// time constants: a shorter burst or lull isn't worth a boot.
#[derive(Debug, Clone, Copy)]
struct DemandAverages {
    /// Average over `limits::SCALE_OUT_AVERAGE_S`; governs the rental of on-demand machines.
    for_rental_cpus: f64,
    /// Average over `limits::SCALE_IN_AVERAGE_S`; governs the return of machines.
    for_return_cpus: f64,
    /// Average over `limits::BEST_EFFORT_HOLD_AVERAGE_S`; governs the return of on-demand
    /// machines that best-effort work can use meanwhile.
    for_hold_cpus: f64,
    updated_at: f64,
}

impl DemandAverages {
    fn starting_with(wanted_cpus: f64, now: f64) -> DemandAverages {
        DemandAverages {
            for_rental_cpus: wanted_cpus,
            for_return_cpus: wanted_cpus,
            for_hold_cpus: wanted_cpus,
            updated_at: now,
        }
    }

    /// Returns the averages updated with the CPUs wanted now. If none were wanted before, they
    /// start at this value.
    fn observe(before: Option<DemandAverages>, wanted_cpus: f64, now: f64) -> DemandAverages {
        let mut averages = before
            .filter(|averages| averages.for_rental_cpus > 0.0)
            .unwrap_or_else(|| DemandAverages::starting_with(wanted_cpus, now));
        averages.update(wanted_cpus, now);
        averages
    }

    fn update(&mut self, wanted_cpus: f64, now: f64) {
        let elapsed_s = now - self.updated_at;
        let update_average = |average: &mut f64, time_constant_s: f64| {
            *average += (wanted_cpus - *average) * (1.0 - libm::exp(-elapsed_s / time_constant_s));
        };
        update_average(&mut self.for_rental_cpus, limits::SCALE_OUT_AVERAGE_S);
        update_average(&mut self.for_return_cpus, limits::SCALE_IN_AVERAGE_S);
        update_average(&mut self.for_hold_cpus, limits::BEST_EFFORT_HOLD_AVERAGE_S);
        self.updated_at = now;
    }
}

/// State of the autoscaler that persists between runs.
#[derive(Debug)]
pub(super) struct Autoscaler {
    /// Number of rentals requested in this term.
    rental_requests: u64,
    /// Pools that had less capacity than was requested, and the time until which nothing is
    /// rented from them.
    refused_until: HashMap<InstancePool, f64>,
    /// None until the first observation of the demand.
    demand_averages: Option<DemandAverages>,
    /// The same for the demand for machines of each set of pools, while work is pending for them.
    pool_demand_averages: BTreeMap<PoolSet, DemandAverages>,
    /// Pools where most of the machines that should be up are not up.
    overdue_boot_pools: BTreeSet<BootPool>,
    /// When a rental last yielded at least half of the machines that it requested, and at least
    /// `limits::admission::SCALE_OUT_MACHINES_MIN`. Until the first such rental: the start of the
    /// term, or minus infinity if an earlier leader knew that the cloud has no more machines.
    last_growth_at: f64,
}

impl Autoscaler {
    /// Returns the state of a new leader. `fleet_at_capacity`: an earlier leader knew that the
    /// cloud has no more machines, which is assumed to still hold.
    pub(super) fn new(fleet_at_capacity: bool, now: f64) -> Autoscaler {
        Autoscaler {
            rental_requests: 0,
            refused_until: HashMap::new(),
            demand_averages: None,
            pool_demand_averages: BTreeMap::new(),
            overdue_boot_pools: BTreeSet::new(),
            last_growth_at: if fleet_at_capacity {
                f64::NEG_INFINITY
            } else {
                now
            },
        }
    }

    /// Returns when a rental last yielded many machines, on the leader's clock.
    pub(super) fn last_growth_at(&self) -> f64 {
        self.last_growth_at
    }

    /// Updates the averages with the CPUs wanted now. If no CPUs were wanted before, the averages
    /// start at this value.
    fn observe_demand(&mut self, wanted_cpus: f64, now: f64) -> DemandAverages {
        let averages = DemandAverages::observe(self.demand_averages, wanted_cpus, now);
        self.demand_averages = Some(averages);
        averages
    }

    /// Like [`Autoscaler::observe_demand`], for the CPUs wanted of the machines of these pools.
    fn observe_pool_demand(&mut self, pools: &PoolSet, wanted_cpus: f64, now: f64) {
        let before = self.pool_demand_averages.get(pools).copied();
        let averages = DemandAverages::observe(before, wanted_cpus, now);
        self.pool_demand_averages.insert(pools.clone(), averages);
    }

    /// Removes the averages of pools for which no work has been pending for long.
    fn forget_old_pool_demand(&mut self, now: f64) {
        self.pool_demand_averages
            .retain(|_, averages| now - averages.updated_at < limits::POOL_DEMAND_MEMORY_S);
    }

    /// Returns the CPUs that have been wanted of these pools for a while and still are.
    fn lasting_demand_cpus(&self, wanted: &PoolDemand) -> f64 {
        let prioritized = &wanted.demand.prioritized;
        let wanted_cpus = prioritized.wanted_cpus(limits::ON_DEMAND_BACKLOG_DRAIN_S);
        let averages = self.pool_demand_averages.get(&wanted.pools);
        averages.map_or(wanted_cpus, |a| a.for_rental_cpus.min(wanted_cpus))
    }

    /// Returns a request ID that no other rental has: the term never repeats.
    fn next_request_id(&mut self, term: u64) -> String {
        self.rental_requests += 1;
        format!("r-{term}-{}", self.rental_requests)
    }

    /// Records the response to a rental, which yielded `machines` machines.
    fn record_rental(&mut self, rental: &RentalRequest, machines: usize, now: f64) {
        let growth_threshold = (rental.count / 2).max(limits::admission::SCALE_OUT_MACHINES_MIN);
        if machines as u32 >= growth_threshold {
            self.last_growth_at = now;
        }
        if machines < rental.count as usize {
            let pool = InstancePool {
                machine_type: rental.machine_type.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
            };
            self.refused_until
                .insert(pool, now + limits::CAPACITY_REFUSAL_MEMORY_S);
        }
    }

    /// Removes refusals that are too old to count.
    fn forget_old_refusals(&mut self, now: f64) {
        self.refused_until.retain(|_, until| *until > now);
    }

    fn is_refused(&self, pool: &InstancePool) -> bool {
        self.refused_until.contains_key(pool)
    }

    fn has_overdue_boots(&self, pool: &InstancePool) -> bool {
        self.overdue_boot_pools.contains(&BootPool {
            machine_type: pool.machine_type.clone(),
            zone: pool.zone.clone(),
        })
    }
}

impl Leader {
    /// Frees placements whose leases have expired, and decides which machines are rented and
    /// returned.
    pub fn autoscale(&mut self, now: f64) -> Vec<CloudCall> {
        self.free_expired_placements(now);
        let mut demand = self.fleet_demand();
        let all_cpus = demand
            .total
            .all
            .wanted_cpus(limits::ON_DEMAND_BACKLOG_DRAIN_S);
        let prioritized_cpus = demand
            .total
            .prioritized
            .wanted_cpus(limits::ON_DEMAND_BACKLOG_DRAIN_S);
        let averages = self.autoscaler.observe_demand(prioritized_cpus, now);
        let wanted = WantedCpus::new(all_cpus, prioritized_cpus, averages);
        self.scale_in(wanted, &mut demand, now);
        self.mark_machines_to_delete(now);
        let mut deletions = self.deletion_calls().into_iter();
        let mut calls = Vec::new();
        calls.extend(deletions.next());
        calls.extend(self.scale_out(&demand, now));
        // Rentals don't wait for more than one deletion.
        calls.extend(deletions);
        calls
    }

    /// Returns deletion requests for the marked machines, as many as one run may send.
    fn deletion_calls(&self) -> Vec<CloudCall> {
        let deleting = self.machines.iter().filter(|(_, machine)| machine.deleting);
        let names: Vec<String> = deleting
            .map(|(name, _)| name.clone())
            .take(limits::DELETION_MACHINES_MAX * limits::DELETIONS_PER_PASS_MAX)
            .collect();
        let chunks = names.chunks(limits::DELETION_MACHINES_MAX);
        chunks
            .map(|names| CloudCall::Delete(names.to_vec()))
            .collect()
    }
}
