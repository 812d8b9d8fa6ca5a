//! Gates that admit as many jobs of a class as its allocation allows.

use crate::allocation::{ClassDemand, JobOffer};
use crate::cluster_view::SheddingPolicy;
use crate::ids::largest_jobs_gate_id;
use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::Gate;

/// Ratio of a class's offers to those that count as its largest jobs.
const LARGEST_JOBS_DIVISOR: usize = 10;

/// Returns the gates of a class of which the first `admitted` offers are admitted. The class must
/// have more offers than that.
pub(crate) fn class_gates(
    demand: &ClassDemand,
    admitted: usize,
    shedding: SheddingPolicy,
) -> Vec<Gate> {
    match shedding {
        SheddingPolicy::SizeAware => size_aware_gates(demand, admitted),
        SheddingPolicy::LargestFirst => vec![gate_after(demand, admitted)],
        SheddingPolicy::Random => {
            let share = (admitted as f32) / demand.offers.len() as f32;
            vec![unbounded_gate(demand, share)]
        }
        SheddingPolicy::NewestFirst => vec![unbounded_gate(demand, 0.0)],
    }
}

/// Returns a gate that admits a share of all jobs, whatever their work.
fn unbounded_gate(demand: &ClassDemand, share: f32) -> Gate {
    Gate {
        class: demand.class,
        max_work_cpu_s: f64::INFINITY,
        share,
    }
}

/// Returns gates that admit a fixed share of the largest tenth of the jobs, and of the other jobs
/// the smallest ones that fit into the remaining room. Refusing only the largest jobs would admit
/// the most jobs, but none of the largest.
fn size_aware_gates(demand: &ClassDemand, admitted: usize) -> Vec<Gate> {
    let mut works: Vec<f64> = demand.offers.iter().map(|o| o.work_cpu_s).collect();
    works.sort_by(f64::total_cmp);
    let first_large = works.len() - works.len().div_ceil(LARGEST_JOBS_DIVISOR);
    let large_from = works[first_large] * (1.0 - limits::SAME_WORK_TOLERANCE);
    // With too few offers, or offers of about the same work, there is no largest tenth.
    if works.len() < limits::SIZE_AWARE_MIN_OFFERS || works[0] >= large_from {
        return vec![gate_after(demand, admitted)];
    }
    let room: f64 = total_work_cpu_s(&demand.offers[..admitted]);
    let largest: f64 = works[first_large..].iter().sum();
    let share =
        (room * limits::LARGEST_JOBS_ROOM_SHARE_MAX / largest).min(limits::LARGEST_JOBS_SHARE_MAX);
    let smaller_room = room - share * largest;
    let smallest = smallest_that_fit(&demand.offers, large_from, share, smaller_room);
    vec![
        gate_after(demand, smallest.min(demand.offers.len() - 1)),
        Gate {
            class: largest_jobs_gate_id(demand.class),
            max_work_cpu_s: large_from,
            share: share as f32,
        },
    ]
}

fn total_work_cpu_s(offers: &[JobOffer]) -> f64 {
    offers.iter().map(|offer| offer.work_cpu_s).sum()
}

/// Returns how many offers, the smallest first, fit into `room` (CPU-seconds). Of offers with
/// `large_from` work or more, only the part that the second gate does not admit counts.
fn smallest_that_fit(offers: &[JobOffer], large_from: f64, share: f64, room: f64) -> usize {
    let mut left = room;
    let mut count = 0;
    for offer in offers {
        let taken = if offer.work_cpu_s >= large_from {
            (1.0 - share) * offer.work_cpu_s
        } else {
            offer.work_cpu_s
        };
        if taken > left {
            break;
        }
        left -= taken;
        count += 1;
    }
    count
}

/// Returns the gate of a class of which the first `admitted` offers are admitted. Its bound lies
/// between the work of the last admitted offer and that of the next one; if the two are about the
/// same, the bound is that work, and a share of the offers with that work is admitted.
fn gate_after(demand: &ClassDemand, admitted: usize) -> Gate {
    let next = demand.offers[admitted].discounted_work_cpu_s;
    let has_same_work = |offer: &&JobOffer| {
        (offer.discounted_work_cpu_s - next).abs() <= next * limits::SAME_WORK_TOLERANCE
    };
    let same_work = demand.offers.iter().filter(has_same_work).count();
    let admitted_same_work = demand.offers[..admitted]
        .iter()
        .filter(has_same_work)
        .count();
    if admitted_same_work > 0 || admitted == 0 {
        // If no offer is admitted, jobs smaller than every offer still pass.
        return Gate {
            class: demand.class,
            max_work_cpu_s: next,
            share: admitted_same_work as f32 / same_work as f32,
        };
    }
    let last = demand.offers[admitted - 1].discounted_work_cpu_s;
    Gate {
        class: demand.class,
        max_work_cpu_s: libm::sqrt(last * next),
        share: 0.0,
    }
}
