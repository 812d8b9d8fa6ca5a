//! Scale out: rents machines for pending work, and for a job that no existing machine could run.

use super::InstancePool;
use crate::leader::scheduler::{machine_allowed, pool_allowed, zone_task_limit};
use crate::leader::{CloudCall, Job, Leader, Machine};
use crate::resources::{machine_capacity, task_request};
use cherrywood_limits as limits;
use cherrywood_sched::provisioning::{InstanceOffer, ProvisioningOrder, plan_provisioning};
use cherrywood_wire::cloud::{MachineType, RentalRequest};
use cherrywood_wire::user::{JobKind, Submission};
use tracing::info;

impl Leader {
    /// Returns rentals for the total demand or, if that needs none, for an unplaceable job.
    pub(super) fn scale_out(&mut self, now: f64) -> Vec<CloudCall> {
        let rentals = self.rentals_for_demand(now);
        if rentals.is_empty() {
            self.rental_for_unplaceable_job(now).into_iter().collect()
        } else {
            rentals
        }
    }

    /// Returns rentals for the CPUs that are wanted beyond the existing ones, of machines that the
    /// first pending job may use.
    fn rentals_for_demand(&mut self, now: f64) -> Vec<CloudCall> {
        let demand = self.fleet_demand();
        let Some(spec) = demand.first_pending.map(|job| job.spec.clone()) else {
            return Vec::new();
        };
        let existing_cpus = self.usable_cpus(&spec);
        let shortage_cpus = demand.all.wanted_cpus(limits::SPOT_BACKLOG_DRAIN_S) - existing_cpus;
        let prioritized_cpus = demand
            .prioritized
            .wanted_cpus(limits::ON_DEMAND_BACKLOG_DRAIN_S);
        if shortage_cpus <= 0.0 {
            return Vec::new();
        }
        // On-demand machines are rented only for demand that spot machines can't cover, and only
        // if the demand has lasted for a while.
        let offers = self.offers_for(&spec, now);
        let is_fallback = |offer: &InstanceOffer| spec.allow_spot && !offer.spot;
        let (fallback_offers, preferred_offers): (Vec<_>, Vec<_>) =
            offers.into_iter().partition(is_fallback);
        let preferred_orders = plan_provisioning(shortage_cpus, &preferred_offers);
        let ordered_cpus: f64 = preferred_orders
            .iter()
            .map(|order| preferred_offers[order.offer].cpus * f64::from(order.machines))
            .sum();
        let lasting_cpus = self.autoscaler.lasting_demand_cpus(prioritized_cpus);
        let shortage_cpus = lasting_cpus - existing_cpus - ordered_cpus;
        let smallest_cpus = fallback_offers
            .iter()
            .map(|offer| offer.cpus)
            .fold(f64::INFINITY, f64::min);
        let fallback_orders = if shortage_cpus >= smallest_cpus / 2.0 {
            plan_provisioning(shortage_cpus, &fallback_offers)
        } else {
            Vec::new()
        };
        let mut rentals = self.rentals(&preferred_offers, &preferred_orders);
        rentals.extend(self.rentals(&fallback_offers, &fallback_orders));
        rentals
    }

    /// Returns the CPUs of the machines, up or booting, that tasks of the submission may use.
    fn usable_cpus(&self, spec: &Submission) -> f64 {
        self.machines
            .values()
            .filter(|m| !m.cordoned && !m.deleting && machine_allowed(spec, m))
            .map(|m| self.cpus_of(&m.machine_type))
            .sum()
    }

    /// Returns the rental of one machine for a job that no existing machine could run.
    fn rental_for_unplaceable_job(&mut self, now: f64) -> Option<CloudCall> {
        let job = self.unplaceable_job(now)?;
        let spec = job.spec.clone();
        let mut offers = self.offers_for(&spec, now);
        let job = self.jobs.by_id(&spec.id)?;
        offers.retain(|offer| zone_task_limit(job, &offer.zone) > 0);
        let orders = plan_provisioning(spec.cpus, &offers);
        let order = orders.first()?;
        info!(
            job = spec.id,
            "scale out: no machine there could take the job, renting one"
        );
        Some(self.rental(&offers[order.offer], 1))
    }

    /// Returns a job that has been pending for a while and that no existing machine could run.
    /// Demand is counted in CPUs, of which there may be enough of the wrong kind, or the job may
    /// want too few to be worth an on-demand machine; without this the job would wait forever.
    fn unplaceable_job(&self, now: f64) -> Option<&Job> {
        let ranges = self.pending_queue.ranges();
        let jobs = ranges.filter_map(|range| self.jobs.get(&range.job));
        jobs.filter(|job| {
            let min_wait_s = if job.best_effort {
                limits::UNPLACEABLE_BEST_EFFORT_RENT_AFTER_S
            } else {
                limits::UNPLACEABLE_JOB_RENT_AFTER_S
            };
            let may_be_stuck = !job.is_placed() || self.is_bound_to_zones(job);
            now - job.ready_at > min_wait_s
                && may_be_stuck
                && job.retry_at <= now
                && !job.is_suspect()
        })
        .find(|job| {
            let mut machines = self.machines.iter();
            !machines.any(|(name, machine)| self.could_run(name, machine, job))
        })
    }

    /// Whether the machine could run a task of the job, now or when other tasks end.
    fn could_run(&self, name: &str, machine: &Machine, job: &Job) -> bool {
        !machine.cordoned
            && !machine.deleting
            && machine_allowed(&job.spec, machine)
            && !job.failed_on.contains_key(name)
            && zone_task_limit(job, &machine.zone) > 0
            // The job's placed tasks may never end, so for its next task only free room counts.
            && (!job.is_placed() || self.has_room(&job.spec, machine))
    }

    /// Whether tasks of the job that never end determine the zones in which its other tasks may
    /// run. Room in other zones is of no use to the latter: without this check, a service that had
    /// lost its machines in a zone never got new ones there.
    fn is_bound_to_zones(&self, job: &Job) -> bool {
        let is_bound = job.spec.single_zone || job.spec.spread_over_zones;
        if !is_bound || job.spec.kind == JobKind::Array {
            return false;
        }
        let headroom = self.quota_headroom_by_team();
        let headroom = job.team_index.and_then(|team| headroom.get(team));
        headroom.is_some_and(|headroom| headroom.admits(&job.spec))
    }

    /// Whether the machine has room for one more task of the submission.
    fn has_room(&self, spec: &Submission, machine: &Machine) -> bool {
        let needed = machine.used_resources() + task_request(spec);
        self.machine_type(&machine.machine_type)
            .is_some_and(|machine_type| needed.fits_in(machine_capacity(machine_type)))
    }

    /// Returns the cloud requests for the orders.
    fn rentals(
        &mut self,
        offers: &[InstanceOffer],
        orders: &[ProvisioningOrder],
    ) -> Vec<CloudCall> {
        let orders = orders.iter();
        orders
            .map(|order| self.rental(&offers[order.offer], order.machines))
            .collect()
    }

    fn rental(&mut self, offer: &InstanceOffer, count: u32) -> CloudCall {
        CloudCall::Rent(RentalRequest {
            request_id: self.autoscaler.next_request_id(self.term),
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
        })
    }

    /// Returns the known offers of machines that tasks of the submission may use.
    fn offers_for(&mut self, spec: &Submission, now: f64) -> Vec<InstanceOffer> {
        self.autoscaler.forget_old_refusals(now);
        let request = task_request(spec);
        let mut offers = Vec::new();
        for machine_type in &self.machine_types {
            if !request.is_within(machine_capacity(machine_type)) {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    if pool_allowed(spec, &machine_type.name, zone, spot) {
                        offers.extend(self.offer(machine_type, zone, spot));
                    }
                }
            }
        }
        offers
    }

    /// Returns the cloud's offer of a machine type in a zone; None if there is no such offer, if
    /// the policy forbids it, or if a rental from the pool was refused recently.
    fn offer(&self, machine_type: &MachineType, zone: &str, spot: bool) -> Option<InstanceOffer> {
        if self.settings.policy.cheap_only && !spot {
            return None;
        }
        let price_per_h = if spot {
            machine_type.spot_price_per_hour?
        } else {
            machine_type.price_per_hour
        };
        let pool = InstancePool {
            machine_type: machine_type.name.clone(),
            zone: zone.to_string(),
            spot,
        };
        if self.autoscaler.is_refused(&pool) {
            return None;
        }
        let machines = self.machines.values();
        let existing = machines.filter(|m| {
            m.machine_type == pool.machine_type && m.zone == pool.zone && m.spot == spot
        });
        Some(InstanceOffer {
            cpus: machine_type.cpus,
            price_per_h,
            boot_s: machine_type.boot_s,
            existing_machines: existing.count() as u32,
            boots_overdue: self.autoscaler.has_overdue_boots(&pool),
            machine_type: pool.machine_type,
            zone: pool.zone,
            spot,
        })
    }
}
