//! Ranking of the machines on which a task may be placed.

use cherrywood_sched::bin_packing::{PlacementCandidate, placement_cost};

#[test]
fn a_cached_image_outweighs_packing_and_a_fuller_or_faster_machine_is_preferred() {
    let empty = PlacementCandidate {
        image_wait_s: 0.0,
        free_cpu_share_after: 0.9,
        spot: true,
        slowness: 1.0,
    };
    let without_image = PlacementCandidate {
        image_wait_s: 10.0,
        free_cpu_share_after: 0.0,
        ..empty
    };
    let full = PlacementCandidate {
        free_cpu_share_after: 0.1,
        ..empty
    };
    assert!(placement_cost(&empty, 20.0) < placement_cost(&without_image, 20.0));
    assert!(placement_cost(&full, 20.0) < placement_cost(&empty, 20.0));
    let slow = PlacementCandidate {
        slowness: 2.0,
        ..full
    };
    assert!(placement_cost(&empty, 20.0) < placement_cost(&slow, 20.0));
}
