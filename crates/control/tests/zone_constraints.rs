//! Jobs whose tasks must share a zone or be spread over several, when a zone loses machines or
//! never had any.

mod common;

use cherrywood_wire::user::{JobKind, Submission};
use common::fleet::*;
use common::*;

/// Machines in these zones, and a cloud that has more of the same type.
fn fleet_in(zones: &[&str]) -> Fleet {
    let named = zones.iter().enumerate();
    let machines = named.map(|(n, z)| in_zone(&format!("vm-{n}"), z));
    Fleet::with(machine_types(), machines.collect())
}

fn replicas(tasks: u32) -> Submission {
    Submission {
        kind: JobKind::Service,
        team: "wide".into(),
        estimate_s: 0.0,
        ..job("wk-000001", tasks)
    }
}

/// One zone has room for the whole service, of which only half may run there.
#[test]
fn a_spread_service_with_room_in_one_zone_rents_a_machine_in_another_zone() {
    let mut fleet = fleet_in(&["a", "a"]);
    let spread = Submission {
        spread_over_zones: true,
        ..replicas(4)
    };
    fleet.run(0.0, 2.0);
    fleet.cluster.submit(&spread, 2.0);
    fleet.run(2.0, 92.0);
    assert_eq!(
        (fleet.running_in("a"), fleet.running_in("b")),
        (2, 2),
        "{}",
        fleet.cluster.leader.summary()
    );
}

/// A zone's only machine is lost with half of a spread service.
#[test]
fn a_spread_service_that_lost_the_machine_of_a_zone_rents_another_there() {
    let mut fleet = fleet_in(&["a", "a", "b"]);
    let spread = Submission {
        spread_over_zones: true,
        ..replicas(4)
    };
    fleet.cluster.submit(&spread, 0.0);
    fleet.run(0.0, 10.0);
    assert_eq!((fleet.running_in("a"), fleet.running_in("b")), (2, 2));
    fleet.machines.retain(|m| m.zone == "a");
    fleet.cluster.fail_over(2, 10.0);
    fleet.run(10.0, 100.0);
    assert_eq!(
        (fleet.running_in("a"), fleet.running_in("b")),
        (2, 2),
        "{}",
        fleet.cluster.leader.summary()
    );
}

/// A single-zone service loses all but one of its machines while other zones have room.
#[test]
fn a_single_zone_service_that_lost_machines_rents_in_its_zone() {
    let mut fleet = fleet_in(&["a", "a"]);
    let together = Submission {
        single_zone: true,
        cpus: 5.0,
        ..replicas(2)
    };
    fleet.cluster.submit(&together, 0.0);
    fleet.run(0.0, 10.0);
    assert_eq!(fleet.running_in("a"), 2);
    fleet.machines.truncate(1);
    fleet.machines.push(in_zone("vm-7", "b"));
    fleet.machines.push(in_zone("vm-8", "b"));
    fleet.cluster.fail_over(2, 10.0);
    fleet.run(10.0, 100.0);
    assert_eq!(
        (fleet.running_in("a"), fleet.running_in("b")),
        (2, 0),
        "{}",
        fleet.cluster.leader.summary()
    );
}
