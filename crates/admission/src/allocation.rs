//! Max-min fair allocation by progressive filling: the next smallest job of the class with the
//! smallest served share is admitted, until a capacity that this job needs is exhausted.
//!
//! First, all jobs of teams whose entire work fits into their guarantees are admitted. Three
//! passes follow: every class up to a floor of its served share, then classes up to their teams'
//! guarantees, then the remaining capacity.

use cherrywood_wire::admission::{Shortage, TenantClassId};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Lower bound of a team's weight as a divisor, to avoid division by zero.
const MIN_WEIGHT: f64 = 1e-6;
/// A job is admitted if each capacity that it needs has at least the job's cost divided by this.
/// The last job may thus overdraw a capacity; otherwise large jobs would never fit.
const OVERDRAFT_DIVISOR: f64 = 2.0;

/// A resource that may be scarce, in a unit of its own: CPU-seconds of work, or jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// Amount that may still be allocated; infinite if the resource is not scarce.
    pub available: f64,
    /// Amount that each job takes, whatever its work.
    pub per_job: f64,
    /// Amount that each CPU-second of a job's work takes.
    pub per_cpu_s: f64,
    /// The shortage that is reported when the capacity is exhausted.
    pub shortage: Shortage,
}

impl Capacity {
    /// Returns a capacity for work, in CPU-seconds.
    pub fn of_work(available: f64, shortage: Shortage) -> Self {
        Capacity {
            available,
            per_job: 0.0,
            per_cpu_s: 1.0,
            shortage,
        }
    }

    /// Returns a capacity for a number of jobs, whatever their work.
    pub fn of_jobs(available: f64, shortage: Shortage) -> Self {
        Capacity {
            available,
            per_job: 1.0,
            per_cpu_s: 0.0,
            shortage,
        }
    }

    fn cost(&self, work_cpu_s: f64) -> f64 {
        self.per_job + self.per_cpu_s * work_cpu_s
    }

    /// Returns whether there is enough capacity for a job with this work.
    pub(crate) fn has_room_for(&self, work_cpu_s: f64) -> bool {
        self.available >= self.cost(work_cpu_s) / OVERDRAFT_DIVISOR
    }

    fn take(&mut self, work_cpu_s: f64) {
        self.available -= self.cost(work_cpu_s);
    }
}

/// A job offered for admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobOffer {
    /// The work that is compared with the class's gate: the longer the job has waited, the less.
    pub discounted_work_cpu_s: f64,
    /// The job's expected work.
    pub work_cpu_s: f64,
}

/// The demand of a tenant class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassDemand {
    /// The class.
    pub class: TenantClassId,
    /// Index of the class's team among the guarantees.
    pub team: usize,
    /// The team's configured weight, by which its served shares are divided.
    pub weight: f64,
    /// Number of jobs offered recently, without those in `offers`; decays.
    pub offered: f64,
    /// Number of jobs admitted recently, without those in `offers`; decays.
    pub admitted: f64,
    /// The jobs to decide on, ascending by discounted work.
    pub offers: Vec<JobOffer>,
    /// Indices of the capacities that the class's jobs take from.
    pub capacities: Vec<usize>,
    /// Whether all unfinished work of the team fits into the team's guarantee: the class's jobs
    /// are then admitted regardless of the allocations of other classes.
    pub within_guarantee: bool,
}

impl ClassDemand {
    /// Returns the weighted served share once the first `admitted_offers` offers are admitted:
    /// jobs admitted, divided by jobs offered and by the team's weight.
    fn served_share(&self, admitted_offers: usize) -> f64 {
        let offered = self.offered + self.offers.len() as f64;
        let admitted = self.admitted + admitted_offers as f64;
        admitted / offered.max(1.0) / self.weight.max(MIN_WEIGHT)
    }
}

/// A class whose next job may be admitted.
#[derive(Debug, PartialEq)]
struct Candidate {
    served_share: f64,
    /// Index of the class.
    class: usize,
}

impl Eq for Candidate {}
impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Candidate {
    /// Orders the least served class as the greatest, since the heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        let share = other.served_share.total_cmp(&self.served_share);
        share.then(other.class.cmp(&self.class))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Every class up to the floor.
    Floor,
    /// Classes up to their teams' guarantees.
    Guarantee,
    /// All classes, from the remaining capacity.
    Rest,
}

/// Returns for each class how many of its offers, the smallest first, are admitted.
///
/// `guarantees_cpu_s` holds for each team the work for which its guarantee leaves room. Admitted
/// work is subtracted from it and from the capacities. `floor` is a weighted served share.
pub fn allocate_max_min(
    classes: &[ClassDemand],
    capacities: &mut [Capacity],
    guarantees_cpu_s: &mut [f64],
    floor: f64,
) -> Vec<usize> {
    let mut allocation = Allocation {
        classes,
        capacities,
        guarantees_cpu_s,
        admitted: vec![0; classes.len()],
        exhausted: vec![false; classes.len()],
    };
    allocation.admit_within_guarantees();
    for pass in [Pass::Floor, Pass::Guarantee, Pass::Rest] {
        allocation.fill(pass, floor);
    }
    allocation.admitted
}

/// State of an allocation in progress.
struct Allocation<'a> {
    classes: &'a [ClassDemand],
    capacities: &'a mut [Capacity],
    guarantees_cpu_s: &'a mut [f64],
    /// Number of offers admitted, by class.
    admitted: Vec<usize>,
    /// Whether there is no room for a class's next job, by class. Capacities only shrink, so there
    /// will be none later.
    exhausted: Vec<bool>,
}

impl Allocation<'_> {
    /// Admits all offers of classes whose teams are within their guarantees.
    fn admit_within_guarantees(&mut self) {
        for (index, class) in self.classes.iter().enumerate() {
            if class.within_guarantee {
                for _ in &class.offers {
                    self.admit_next(index);
                }
            }
        }
    }

    /// Admits one job after another, each of the class with the smallest served share.
    fn fill(&mut self, pass: Pass, floor: f64) {
        let open = (0..self.classes.len()).filter(|class| self.is_open(*class));
        let mut candidates: BinaryHeap<Candidate> =
            open.map(|class| self.candidate(class)).collect();
        while let Some(Candidate {
            served_share,
            class,
        }) = candidates.pop()
        {
            if pass == Pass::Floor && served_share >= floor {
                // The served shares of all other classes are at least as large.
                break;
            }
            if !self.has_room(class) {
                self.exhausted[class] = true;
                continue;
            }
            if pass == Pass::Guarantee && !self.is_guaranteed(class) {
                continue;
            }
            self.admit_next(class);
            if self.is_open(class) {
                candidates.push(self.candidate(class));
            }
        }
    }

    fn is_open(&self, class: usize) -> bool {
        !self.exhausted[class] && self.admitted[class] < self.classes[class].offers.len()
    }

    fn candidate(&self, class: usize) -> Candidate {
        Candidate {
            served_share: self.classes[class].served_share(self.admitted[class]),
            class,
        }
    }

    /// Returns the work of the class's next offer.
    fn next_work_cpu_s(&self, class: usize) -> f64 {
        self.classes[class].offers[self.admitted[class]].work_cpu_s
    }

    /// Returns whether there is room for the class's next offer in all capacities that it takes
    /// from.
    fn has_room(&self, class: usize) -> bool {
        let work_cpu_s = self.next_work_cpu_s(class);
        let capacities = self.classes[class].capacities.iter();
        let mut capacities = capacities.map(|index| &self.capacities[*index]);
        capacities.all(|capacity| capacity.has_room_for(work_cpu_s))
    }

    /// Returns whether the class's next offer fits into its team's guarantee.
    fn is_guaranteed(&self, class: usize) -> bool {
        let guarantee_cpu_s = self.guarantees_cpu_s.get(self.classes[class].team);
        guarantee_cpu_s.is_some_and(|left| *left >= self.next_work_cpu_s(class))
    }

    /// Admits the class's next offer without checking for room.
    fn admit_next(&mut self, class: usize) {
        let work_cpu_s = self.next_work_cpu_s(class);
        let demand = &self.classes[class];
        for index in &demand.capacities {
            self.capacities[*index].take(work_cpu_s);
        }
        if let Some(left) = self.guarantees_cpu_s.get_mut(demand.team) {
            *left -= work_cpu_s;
        }
        self.admitted[class] += 1;
    }
}
