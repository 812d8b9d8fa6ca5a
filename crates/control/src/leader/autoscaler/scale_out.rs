//! Scale out: rents machines for pending work, and for jobs that no existing machine could run.

use super::demand::{FleetDemand, PoolDemand};
use super::room::FleetRoom;
use crate::leader::instance_pools::{InstancePool, PoolCatalog, PoolSet, PoolSets, UsablePools};
use crate::leader::quota_headroom::QuotaHeadroom;
use crate::leader::scheduler::zone_task_limit;
use crate::leader::{CloudCall, Job, Leader};
use crate::resources::{machine_capacity, task_request};
use cherrywood_limits as limits;
use cherrywood_sched::provisioning::{InstanceOffer, ProvisioningOrder, plan_provisioning};
use cherrywood_wire::cloud::RentalRequest;
use cherrywood_wire::user::JobKind;
use tracing::info;

/// The machines to rent in one run of the autoscaler, and the room that there is with them.
pub(super) struct RentalPlan<'a> {
    catalog: &'a PoolCatalog<'a>,
    room: FleetRoom,
    /// The cloud's offer of each pool, if there is one now.
    offers: Vec<Option<InstanceOffer>>,
    /// CPUs of the machines to rent, by pool.
    ordered_cpus: Vec<f64>,
    /// Pools and the number of machines to rent from each, in the order of the first need.
    orders: Vec<(usize, u32)>,
}

impl<'a> RentalPlan<'a> {
    fn new(
        catalog: &'a PoolCatalog<'a>,
        room: FleetRoom,
        offers: Vec<Option<InstanceOffer>>,
    ) -> RentalPlan<'a> {
        RentalPlan {
            catalog,
            room,
            offers,
            ordered_cpus: vec![0.0; catalog.len()],
            orders: Vec::new(),
        }
    }

    /// Adds machines of a pool to the plan, as many as one rental may still name; returns how
    /// many these are.
    pub(super) fn order(&mut self, pool: usize, machines: u32) -> u32 {
        let planned = self.orders.iter().position(|order| order.0 == pool);
        let planned = planned.unwrap_or_else(|| {
            self.orders.push((pool, 0));
            self.orders.len() - 1
        });
        let planned = &mut self.orders[planned].1;
        let machines = machines.min(limits::RENTAL_MACHINES_MAX - *planned);
        *planned += machines;
        let capacity = machine_capacity(self.catalog.machine_type(pool));
        self.ordered_cpus[pool] += capacity.cpus * f64::from(machines);
        self.room.add_machines(pool, machines, capacity);
        if let Some(offer) = &mut self.offers[pool] {
            offer.existing_machines += machines;
        }
        machines
    }

    /// Returns the cloud's offers in these pools.
    pub(super) fn offers_in(&self, pools: &PoolSet) -> Vec<PoolOffer> {
        let offer = |pool: usize| {
            let offer = self.offers[pool].clone()?;
            Some(PoolOffer { pool, offer })
        };
        pools.iter().filter_map(offer).collect()
    }

    /// Returns the CPUs of the machines to rent from these pools.
    fn ordered_cpus(&self, pools: &PoolSet) -> f64 {
        pools.iter().map(|pool| self.ordered_cpus[pool]).sum()
    }
}

/// An offer of the cloud, and its pool.
pub(super) struct PoolOffer {
    pub(super) pool: usize,
    pub(super) offer: InstanceOffer,
}

impl Leader {
    /// Returns rentals for the demand of pending work, and for jobs that would wait forever.
    pub(super) fn scale_out(&mut self, demand: &FleetDemand, now: f64) -> Vec<CloudCall> {
        self.autoscaler.forget_old_refusals(now);
        self.observe_pool_demand(demand, now);
        let rentals = self.planned_rentals(demand, now);
        rentals.into_iter().map(|r| self.rental(r)).collect()
    }

    /// Returns the pools to rent from, with the number of machines.
    fn planned_rentals(&self, demand: &FleetDemand, now: f64) -> Vec<(InstancePool, u32)> {
        let mut sets = PoolSets::new(&self.machine_types);
        let unserved = self.waiting_jobs(now);
        let unserved: Vec<(&Job, UsablePools)> = unserved
            .into_iter()
            .filter(|job| job.spec.kind != JobKind::Gang)
            .map(|job| (job, sets.usable_by(job)))
            .collect();
        let gangs = self.pending_gangs(&mut sets, now);
        let room = demand.room.clone();
        let offers = (0..sets.catalog.len()).map(|pool| self.offer(&sets.catalog, &room, pool));
        let offers = offers.collect();
        let mut plan = RentalPlan::new(&sets.catalog, room, offers);
        for pool_demand in &demand.by_pools {
            self.rent_for_demand(&mut plan, pool_demand);
        }
        self.rent_for_gangs(&mut plan, &sets, &gangs);
        let headroom = self.quota_headroom_by_team();
        for (job, usable) in unserved {
            let pools = sets.get(usable.set);
            let is_fragmented = !job.best_effort
                && is_passed_over(job, now)
                && plan.room.free_cpus(pools) >= job.spec.cpus;
            let needs_free_room = usable.is_one_per_machine
                || is_fragmented
                || job.is_placed() && is_bound_to_zones(job);
            if has_headroom(job, &headroom)
                && self.is_unplaceable(&plan, job, pools, needs_free_room)
            {
                let wanted_cpus = match is_fragmented {
                    true => self.wanted_cpus_of(job),
                    false => job.spec.cpus,
                };
                rent_for_unplaceable(&mut plan, job, pools, wanted_cpus);
            }
        }
        let orders = plan.orders.into_iter().filter(|order| order.1 > 0);
        orders
            .map(|(pool, machines)| (sets.catalog.instance_pool(pool), machines))
            .collect()
    }

    /// Rents machines of the pools for the CPUs that are wanted there beyond the existing ones.
    fn rent_for_demand(&self, plan: &mut RentalPlan, wanted: &PoolDemand) {
        let existing_cpus = wanted.existing_cpus + plan.ordered_cpus(&wanted.pools);
        let all_cpus = wanted.demand.all.wanted_cpus(limits::SPOT_BACKLOG_DRAIN_S);
        let shortage_cpus = all_cpus - existing_cpus;
        if shortage_cpus <= 0.0 {
            return;
        }
        // On-demand machines are rented only for demand that spot machines can't cover, and only
        // if the demand has lasted for a while.
        let offers = plan.offers_in(&wanted.pools);
        let allows_spot = wanted.pools.iter().any(|pool| plan.catalog.is_spot(pool));
        let is_fallback = |offer: &PoolOffer| allows_spot && !offer.offer.spot;
        let (fallback_offers, preferred_offers): (Vec<_>, Vec<_>) =
            offers.into_iter().partition(is_fallback);
        let ordered_cpus = order_cheapest(plan, shortage_cpus, preferred_offers);
        let lasting_cpus = self.autoscaler.lasting_demand_cpus(wanted);
        let shortage_cpus = lasting_cpus - existing_cpus - ordered_cpus;
        let smallest_cpus = fallback_offers
            .iter()
            .map(|offer| offer.offer.cpus)
            .fold(f64::INFINITY, f64::min);
        if shortage_cpus >= smallest_cpus / 2.0 {
            order_cheapest(plan, shortage_cpus, fallback_offers);
        }
    }

    /// Updates the averages of the demand for machines of each set of pools.
    fn observe_pool_demand(&mut self, demand: &FleetDemand, now: f64) {
        let drain_s = limits::ON_DEMAND_BACKLOG_DRAIN_S;
        for wanted in &demand.by_pools {
            let wanted_cpus = wanted.demand.prioritized.wanted_cpus(drain_s);
            self.autoscaler
                .observe_pool_demand(&wanted.pools, wanted_cpus, now);
        }
        self.autoscaler.forget_old_pool_demand(now);
    }

    /// Returns the jobs that have been pending for a while. Demand is counted in CPUs, of which
    /// there may be enough of the wrong kind, or a job may want too few to be worth an on-demand
    /// machine; without a check of each such job it would wait forever.
    fn waiting_jobs(&self, now: f64) -> Vec<&Job> {
        let min_wait_s = |job: &Job| match job.best_effort {
            true => limits::UNPLACEABLE_BEST_EFFORT_RENT_AFTER_S,
            false => limits::UNPLACEABLE_JOB_RENT_AFTER_S,
        };
        self.jobs_waiting_since(|job| now - min_wait_s(job), now)
    }

    /// Returns the pending jobs that were ready before `since`; those that pause after failures,
    /// or are tried one task at a time, don't count.
    pub(super) fn jobs_waiting_since(&self, since: impl Fn(&Job) -> f64, now: f64) -> Vec<&Job> {
        let ranges = self.pending_queue.ranges();
        let jobs = ranges.filter_map(|range| self.jobs.get(&range.job));
        jobs.filter(|job| job.ready_at < since(job) && job.retry_at <= now && !job.is_suspect())
            .collect()
    }

    /// Returns the CPUs that finish the job's pending tasks in the time in which backlogs are to be
    /// worked off, at least those of one task.
    fn wanted_cpus_of(&self, job: &Job) -> f64 {
        let all_cpus = f64::from(job.remaining_tasks()) * job.spec.cpus;
        let share = self.expected_run_s(job) / limits::SPOT_BACKLOG_DRAIN_S;
        (all_cpus * share.min(1.0)).max(job.spec.cpus)
    }

    /// Whether no machine could run a task of the job: now, if it needs room that is free now, or
    /// else when other tasks end.
    fn is_unplaceable(
        &self,
        plan: &RentalPlan,
        job: &Job,
        pools: &PoolSet,
        needs_free_room: bool,
    ) -> bool {
        let request = task_request(&job.spec);
        let failed_in = |pool: usize| {
            let machines = job
                .failed_on
                .keys()
                .filter_map(|name| self.machines.get(name));
            let failed = machines.filter(|m| m.stays() && plan.catalog.pool_of(m) == Some(pool));
            failed.count() as u32
        };
        let could_run = |pool: usize| {
            let room = plan.room.of(pool);
            room.machines > failed_in(pool)
                && zone_task_limit(job, plan.catalog.zone(pool)) > 0
                && room.lasting.has_room_for(request)
                && (!needs_free_room || room.free.has_room_for(request))
        };
        !pools.iter().any(could_run)
    }

    fn rental(&mut self, (pool, count): (InstancePool, u32)) -> CloudCall {
        CloudCall::Rent(RentalRequest {
            request_id: self.autoscaler.next_request_id(self.term),
            machine_type: pool.machine_type,
            zone: pool.zone,
            spot: pool.spot,
            count,
        })
    }

    /// Returns the cloud's offer of a pool; None if there is no such offer, if the policy forbids
    /// it, or if a rental from the pool was refused recently.
    fn offer(&self, catalog: &PoolCatalog, room: &FleetRoom, pool: usize) -> Option<InstanceOffer> {
        let spot = catalog.is_spot(pool);
        if self.settings.policy.cheap_only && !spot {
            return None;
        }
        let machine_type = catalog.machine_type(pool);
        let price_per_h = if spot {
            machine_type.spot_price_per_hour?
        } else {
            machine_type.price_per_hour
        };
        let names = catalog.instance_pool(pool);
        if self.autoscaler.is_refused(&names) {
            return None;
        }
        Some(InstanceOffer {
            cpus: machine_type.cpus,
            price_per_h,
            boot_s: machine_type.boot_s,
            existing_machines: room.of(pool).all_machines,
            boots_overdue: self.autoscaler.has_overdue_boots(&names),
            machine_type: names.machine_type,
            zone: names.zone,
            spot,
        })
    }
}

/// Orders machines of the cheapest of the offers for this shortage; returns their CPUs.
fn order_cheapest(plan: &mut RentalPlan, shortage_cpus: f64, offers: Vec<PoolOffer>) -> f64 {
    let (pools, offers): (Vec<usize>, Vec<InstanceOffer>) =
        offers.into_iter().map(|o| (o.pool, o.offer)).unzip();
    let mut ordered_cpus = 0.0;
    for ProvisioningOrder { offer, machines } in plan_provisioning(shortage_cpus, &offers) {
        plan.order(pools[offer], machines);
        ordered_cpus += offers[offer].cpus * f64::from(machines);
    }
    ordered_cpus
}

/// Rents machines for the CPUs that a job wants which no existing machine could run.
fn rent_for_unplaceable(plan: &mut RentalPlan, job: &Job, pools: &PoolSet, wanted_cpus: f64) {
    let mut offers = plan.offers_in(pools);
    offers.retain(|offer| zone_task_limit(job, &offer.offer.zone) > 0);
    if order_cheapest(plan, wanted_cpus, offers) > 0.0 {
        info!(
            job = job.spec.id,
            "scale out: no machine there could take the job, renting one"
        );
    }
}

/// Whether none of the job's tasks has been placed for a while. If CPUs for them are free in sum,
/// these are parts of machines that none of them can use.
fn is_passed_over(job: &Job, now: f64) -> bool {
    let unserved_since = job.unserved_since();
    unserved_since.is_some_and(|since| now - since > limits::UNPLACEABLE_JOB_RENT_AFTER_S)
}

/// Whether tasks of the job that never end determine the zones in which its other tasks may
/// run. Room in other zones is of no use to the latter: without this check, a service that had
/// lost its machines in a zone never got new ones there.
fn is_bound_to_zones(job: &Job) -> bool {
    let is_bound = job.spec.single_zone || job.spec.spread_over_zones;
    is_bound && job.spec.kind != JobKind::Array
}

/// Whether the limit of the job's team admits one more of its tasks: if not, it needs no machine.
pub(super) fn has_headroom(job: &Job, headroom: &[QuotaHeadroom]) -> bool {
    let headroom = job.team_index.and_then(|team| headroom.get(team));
    headroom.is_some_and(|headroom| headroom.admits(&job.spec))
}
