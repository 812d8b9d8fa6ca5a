//! Bin packing: ranking of machines by how well they suit a task. The caller checks the
//! constraints (machine type, zone, room); this module only ranks the machines that meet them.

use cherrywood_limits as limits;

/// A machine on which a task may be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate {
    /// Seconds until the task's image can be on the machine; 0 if it is cached there.
    pub image_wait_s: f64,
    /// Share of the machine's CPUs that is free after the task is placed.
    pub free_cpu_share_after: f64,
    /// Whether it is a spot machine, at a lower price.
    pub spot: bool,
    /// Run time on this machine relative to that on its peers; 1 is normal.
    pub slowness: f64,
}

/// Returns the cost, in s, of placing a task with expected run time `run_s` on the candidate;
/// the candidate with the lowest cost is chosen.
///
/// The wait for the image and the time that a slow machine adds to the run count in full. A
/// machine that is otherwise empty costs `limits::EMPTY_MACHINE_COST_S` more (a partly used one
/// its free share of that) and an on-demand machine `limits::ON_DEMAND_COST_S` more, so that
/// such machines drain and can be returned.
pub fn placement_cost(candidate: &PlacementCandidate, run_s: f64) -> f64 {
    let price_s = if candidate.spot {
        0.0
    } else {
        limits::ON_DEMAND_COST_S
    };
    let delay_s = run_s * (candidate.slowness - 1.0).max(0.0);
    candidate.image_wait_s
        + limits::EMPTY_MACHINE_COST_S * candidate.free_cpu_share_after
        + price_s
        + delay_s
}
