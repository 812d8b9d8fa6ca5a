//! The provisioning plan: the number of CPUs wanted, and the instances to rent for them.

use crate::Resources;
use cherrywood_limits as limits;
use std::cmp::Ordering;
use std::ops::{AddAssign, Mul};

/// Lower bound of an offer's CPUs as a divisor, to avoid division by zero.
const MIN_CPUS: f64 = 0.001;
/// Share of a machine's CPUs that must still be missing for another machine to be ordered after
/// the first: a whole machine for less work would mostly be idle.
const MIN_USED_SHARE: f64 = 0.5;

/// CPUs of machines that tasks occupy, by each resource that they take. Tasks that take a quarter
/// of a machine's memory occupy a quarter of its CPUs by memory, however few CPUs they use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OccupiedCpus {
    /// CPUs that the tasks use.
    pub by_cpus: f64,
    /// CPUs of the machines, or parts of machines, that have the memory that the tasks use.
    pub by_memory: f64,
    /// CPUs of the machines, or parts of machines, that have the GPUs that the tasks use.
    pub by_gpus: f64,
}

impl OccupiedCpus {
    /// Returns the CPUs that tasks occupy which use `used` on machines of this capacity.
    pub fn on_machines(used: Resources, capacity: Resources) -> OccupiedCpus {
        let of_cpus = |used: f64, available: f64| match available > 0.0 {
            true => used / available * capacity.cpus,
            false => 0.0,
        };
        OccupiedCpus {
            by_cpus: used.cpus,
            by_memory: of_cpus(used.memory_gb, capacity.memory_gb),
            by_gpus: of_cpus(used.gpus, capacity.gpus),
        }
    }

    /// Returns the component-wise minimum.
    #[must_use]
    pub fn min(self, other: OccupiedCpus) -> OccupiedCpus {
        OccupiedCpus {
            by_cpus: self.by_cpus.min(other.by_cpus),
            by_memory: self.by_memory.min(other.by_memory),
            by_gpus: self.by_gpus.min(other.by_gpus),
        }
    }

    /// Returns the CPUs that the tasks occupy by the resource of which they take most.
    pub fn most(self) -> f64 {
        self.by_cpus.max(self.by_memory).max(self.by_gpus)
    }
}

impl AddAssign for OccupiedCpus {
    fn add_assign(&mut self, other: OccupiedCpus) {
        self.by_cpus += other.by_cpus;
        self.by_memory += other.by_memory;
        self.by_gpus += other.by_gpus;
    }
}

/// Multiplication gives the CPUs that `count` times as many tasks occupy.
impl Mul<f64> for OccupiedCpus {
    type Output = OccupiedCpus;

    fn mul(self, count: f64) -> OccupiedCpus {
        OccupiedCpus {
            by_cpus: self.by_cpus * count,
            by_memory: self.by_memory * count,
            by_gpus: self.by_gpus * count,
        }
    }
}

/// Waiting work of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamDemand {
    /// CPUs that the team's limit leaves for its waiting tasks.
    pub headroom_cpus: f64,
    /// CPUs that the team's waiting tasks would occupy if all ran at once.
    pub waiting: OccupiedCpus,
    /// Expected work of the team's waiting tasks, CPU-seconds.
    pub waiting_work_cpu_s: f64,
}

impl TeamDemand {
    /// Adds waiting tasks that each occupy the same CPUs, for the same expected run time.
    pub fn add_tasks(&mut self, per_task: OccupiedCpus, tasks: f64, run_s: f64) {
        self.waiting += per_task * tasks;
        self.waiting_work_cpu_s += per_task.by_cpus * tasks * run_s;
    }

    /// Adds other waiting work of the team, under the same limit.
    fn add(&mut self, other: &TeamDemand) {
        self.waiting += other.waiting;
        self.waiting_work_cpu_s += other.waiting_work_cpu_s;
    }

    /// Returns the CPUs of the machines that finish the waiting work in `drain_s`, but of no more
    /// than the waiting tasks can use or the team's limit allows at once.
    fn wanted(&self, drain_s: f64) -> OccupiedCpus {
        let waiting_cpus = self.waiting.by_cpus;
        let used_cpus = waiting_cpus
            .min(self.headroom_cpus)
            .min(self.waiting_work_cpu_s / drain_s)
            .max(0.0);
        let share = if waiting_cpus > 0.0 {
            used_cpus / waiting_cpus
        } else {
            1.0
        };
        OccupiedCpus {
            by_cpus: used_cpus,
            ..self.waiting * share
        }
    }
}

/// Demand for CPUs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CpuDemand {
    /// CPUs of tasks that are on machines now, and of tasks that must all run at once.
    pub placed: OccupiedCpus,
    /// Waiting work of each team.
    pub teams: Vec<TeamDemand>,
}

impl CpuDemand {
    /// Adds the demand of other work of the same teams.
    pub fn add(&mut self, other: &CpuDemand) {
        self.placed += other.placed;
        for (team, more) in self.teams.iter_mut().zip(&other.teams) {
            team.add(more);
        }
    }

    /// Returns the CPUs placed now plus those that finish the waiting work in `drain_s`, by the
    /// resource of which most is wanted.
    pub fn wanted_cpus(&self, drain_s: f64) -> f64 {
        let mut waiting = OccupiedCpus::default();
        for team in &self.teams {
            waiting += team.wanted(drain_s);
        }
        let mut wanted = self.placed;
        wanted += waiting;
        wanted.most()
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
