//! The provisioning plan: the number of CPUs wanted, and the instances to rent for them.

use cherrywood_limits as limits;
use std::cmp::Ordering;

/// Lower bound of an offer's CPUs as a divisor, to avoid division by zero.
const MIN_CPUS: f64 = 0.001;
/// Share of a machine's CPUs that must still be missing for another machine to be ordered after
/// the first: a whole machine for less work would mostly be idle.
const MIN_USED_SHARE: f64 = 0.5;

/// Waiting work of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamDemand {
    /// CPUs that the team's limit leaves for its waiting tasks.
    pub headroom_cpus: f64,
    /// CPUs that the team's waiting tasks would use if all ran at once.
    pub waiting_cpus: f64,
    /// Expected work of the team's waiting tasks, CPU-seconds.
    pub waiting_work_cpu_s: f64,
}

impl TeamDemand {
    /// Adds waiting tasks with the same CPUs and expected run time.
    pub fn add_tasks(&mut self, cpus_per_task: f64, tasks: f64, run_s: f64) {
        self.waiting_cpus += cpus_per_task * tasks;
        self.waiting_work_cpu_s += cpus_per_task * tasks * run_s;
    }

    /// Adds other waiting work of the team, under the same limit.
    fn add(&mut self, other: &TeamDemand) {
        self.waiting_cpus += other.waiting_cpus;
        self.waiting_work_cpu_s += other.waiting_work_cpu_s;
    }

    /// Returns the CPUs that finish the waiting work in `drain_s`, but no more than the waiting
    /// tasks can use or the team's limit allows at once.
    fn wanted_cpus(&self, drain_s: f64) -> f64 {
        self.waiting_cpus
            .min(self.headroom_cpus)
            .min(self.waiting_work_cpu_s / drain_s)
            .max(0.0)
    }
}

/// Demand for CPUs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CpuDemand {
    /// CPUs of tasks that are on machines now, and of tasks that must all run at once.
    pub placed_cpus: f64,
    /// Waiting work of each team.
    pub teams: Vec<TeamDemand>,
}

impl CpuDemand {
    /// Adds the demand of other work of the same teams.
    pub fn add(&mut self, other: &CpuDemand) {
        self.placed_cpus += other.placed_cpus;
        for (team, more) in self.teams.iter_mut().zip(&other.teams) {
            team.add(more);
        }
    }

    /// Returns the CPUs placed now plus those that finish the waiting work in `drain_s`.
    pub fn wanted_cpus(&self, drain_s: f64) -> f64 {
        let waiting: f64 = self.teams.iter().map(|t| t.wanted_cpus(drain_s)).sum();
        self.placed_cpus + waiting
    }
}

/// Instances that can be rented: a machine type in a zone, spot or on demand.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceOffer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether its machines are spot machines, which the cloud may reclaim, at a lower price.
    pub spot: bool,
    /// CPUs of one machine.
    pub cpus: f64,
    /// Price of one machine per hour.
    pub price_per_h: f64,
    /// Boot time in seconds, during which a machine is paid for but runs no tasks.
    pub boot_s: f64,
    /// Machines of this offer that exist already.
    pub existing_machines: u32,
    /// Whether most of its machines that should have booted by now are not up yet.
    pub boots_overdue: bool,
}

impl InstanceOffer {
    /// Returns the price of a CPU per hour of work. A machine is expected to work for
    /// `limits::RENTAL_DURATION_S` and its boot is paid for as well, so a long boot raises the
    /// price of each hour of work.
    fn effective_cpu_price(&self) -> f64 {
        self.price_per_h * (1.0 + self.boot_s / limits::RENTAL_DURATION_S) / self.cpus.max(MIN_CPUS)
    }
}

/// Number of machines to rent of one offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProvisioningOrder {
    /// Index of the offer in the list passed to [`plan_provisioning`].
    pub offer: usize,
    /// Number of machines to rent.
    pub machines: u32,
}

/// Distributes a shortage of CPUs over offers. Offers without overdue boots are preferred to
/// those with overdue boots, then the offer with the lowest price per CPU and, at equal price,
/// the offer with the fewest machines, so that the loss of a zone or a wave of reclaimed spot
/// machines takes fewer machines.
///
/// At most `limits::RENTAL_MACHINES_MAX` machines of an offer are ordered. The orders are in
/// the order of the offers.
pub fn plan_provisioning(shortage_cpus: f64, offers: &[InstanceOffer]) -> Vec<ProvisioningOrder> {
    let mut ordered = vec![0u32; offers.len()];
    let mut missing_cpus = shortage_cpus;
    while missing_cpus > 0.0 {
        let Some(best) = best_offer(offers, &ordered) else {
            break;
        };
        let cpus = offers[best].cpus;
        let any_ordered = ordered.iter().any(|machines| *machines > 0);
        if any_ordered && missing_cpus < cpus * MIN_USED_SHARE {
            break;
        }
        ordered[best] += 1;
        missing_cpus -= cpus;
    }
    let orders = ordered.into_iter().enumerate();
    orders
        .filter(|(_, machines)| *machines > 0)
        .map(|(offer, machines)| ProvisioningOrder { offer, machines })
        .collect()
}

/// Returns the offer to order one more machine of, given the machines ordered so far.
fn best_offer(offers: &[InstanceOffer], ordered: &[u32]) -> Option<usize> {
    let machines = |offer: usize| offers[offer].existing_machines + ordered[offer];
    let compare = |a: &usize, b: &usize| -> Ordering {
        let (x, y) = (&offers[*a], &offers[*b]);
        // Machines whose boot does not finish cost money and run no tasks.
        x.boots_overdue
            .cmp(&y.boots_overdue)
            .then(x.effective_cpu_price().total_cmp(&y.effective_cpu_price()))
            .then(machines(*a).cmp(&machines(*b)))
    };
    (0..offers.len())
        .filter(|offer| ordered[*offer] < limits::RENTAL_MACHINES_MAX)
        .min_by(compare)
}
