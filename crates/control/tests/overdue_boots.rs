//! Overdue boots: machines that are up late or never.

mod common;

use cherrywood_control::leader::CloudCall;
use cherrywood_wire::agent::Heartbeat;
use cherrywood_wire::cloud::{ListedMachine, ListedMachineState, RentalRequest};
use common::*;

/// Responds to the rentals of one autoscaler run; machines are named after number and zone. Returns
/// each machine with its rental.
fn rent(cluster: &mut TestCluster, count: &mut u32, now: f64) -> Vec<(String, RentalRequest)> {
    let mut got = Vec::new();
    for call in cluster.leader.autoscale(now) {
        let CloudCall::Rent(r) = call else { continue };
        let names: Vec<String> = (0..r.count)
            .map(|_| {
                *count += 1;
                format!("vm-{count:06}")
            })
            .collect();
        cluster.leader.rental_answered(&r, Some(&names), now);
        got.extend(names.into_iter().map(|n| (n, r.clone())));
    }
    got
}

fn first_heartbeat(cluster: &mut TestCluster, name: &str, zone: &str, now: f64) -> Worker {
    let mut worker = Worker::new(name);
    worker.zone = zone.into();
    cluster.heartbeat(&mut worker, "n1", now);
    worker
}

/// A zone with overdue boots is the last choice for rentals while other zones have room, and is
/// used again once its late machines are up.
#[test]
fn a_zone_with_overdue_boots_is_rented_last_until_it_recovers() {
    let mut cluster = TestCluster::new();
    cluster.submit(&wide_job("wk-000001", 64), 0.0);
    let mut count = 0;
    let first = rent(&mut cluster, &mut count, 1.0);
    let zone_a = |got: &[(String, RentalRequest)]| got.iter().filter(|g| g.1.zone == "a").count();
    assert!(zone_a(&first) >= 3 && zone_a(&first) < first.len());
    // The machines in zone b are up in time, those in zone a are not.
    for (name, _) in first.iter().filter(|g| g.1.zone == "b") {
        first_heartbeat(&mut cluster, name, "b", 31.0);
    }
    for step in 40..70 {
        rent(&mut cluster, &mut count, f64::from(step));
    }
    cluster.submit(&wide_job("wk-000002", 64), 70.0);
    let next = rent(&mut cluster, &mut count, 70.0);
    assert!(!next.is_empty() && zone_a(&next) == 0, "{next:?}");
    // The late machines are up after all, and are used instead of deleted.
    for (name, _) in first.iter().filter(|g| g.1.zone == "a") {
        let worker = first_heartbeat(&mut cluster, name, "a", 80.0);
        assert!(
            worker.running() > 0,
            "{name} was replaced, and works all the same"
        );
    }
    for (name, _) in &next {
        first_heartbeat(&mut cluster, name, "b", 81.0);
    }
    cluster.leader.autoscale(82.0);
    cluster.submit(&wide_job("wk-000003", 64), 83.0);
    assert!(
        zone_a(&rent(&mut cluster, &mut count, 83.0)) > 0,
        "the zone has recovered"
    );
    cluster.leader.audit().unwrap();
}

fn listed_machine(name: &str, zone: &str, state: ListedMachineState, age_s: f64) -> ListedMachine {
    ListedMachine {
        name: name.into(),
        machine_type: "m8".into(),
        zone: zone.into(),
        spot: true,
        state,
        age_s,
        address: None,
    }
}

/// A new leader judges no zone by boots that it did not see. Machines that have long been up send
/// it their first heartbeats one by one; until then they look like overdue boots. Machines that
/// the cloud still lists as booting are late, whichever leader rented them.
#[test]
fn a_new_leader_counts_boots_as_overdue_only_where_the_list_says_booting() {
    let zone = |n: u32| if n.is_multiple_of(2) { "a" } else { "b" };
    for (state, avoided) in [
        (ListedMachineState::Running, false),
        (ListedMachineState::Booting, true),
    ] {
        let mut cluster = TestCluster::new();
        cluster.fail_over(2, 100.0);
        // Rented by the first leader, idle, and in no ledger entry. The machines in zone b send
        // heartbeats at once.
        let list: Vec<ListedMachine> = (0..16)
            .map(|n| {
                let state = if n % 2 == 0 {
                    state
                } else {
                    ListedMachineState::Running
                };
                listed_machine(&format!("vm-{n:06}"), zone(n), state, 70.0)
            })
            .collect();
        cluster.leader.apply_machine_list(&list, 101.0);
        for n in (1..16).step_by(2) {
            first_heartbeat(&mut cluster, &format!("vm-{n:06}"), "b", 101.0);
        }
        cluster.submit(&wide_job("wk-000001", 200), 101.5);
        cluster.leader.autoscale(102.0);
        let mut count = 100;
        let next = rent(&mut cluster, &mut count, 103.0);
        let in_a = next.iter().filter(|g| g.1.zone == "a").count();
        assert_eq!(in_a == 0, avoided, "{in_a} of {}", next.len());
        assert!(!next.is_empty());
        cluster.leader.audit().unwrap();
    }
}

/// The cloud's list may be older than actions of this leader. A machine rented or adopted since
/// must not be taken for gone, and one deleted since must not be added again.
#[test]
fn a_list_older_than_a_rental_an_adoption_and_a_deletion_changes_nothing() {
    let mut cluster = TestCluster::new();
    let mut adopted = Worker::new("vm-000900");
    let mut gone = Worker::new("vm-000901");
    cluster.heartbeat(&mut adopted, "n1", 1.0);
    cluster.heartbeat(&mut gone, "n1", 1.0);
    let names = ["vm-000902".to_string()];
    let r = RentalRequest {
        request_id: "r".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        count: 1,
    };
    cluster.leader.rental_answered(&r, Some(&names), 2.0);
    cluster
        .leader
        .machines_deleted(&["vm-000901".to_string()], 2.0);
    // The old list lacks the rented and the adopted machine and holds the deleted one.
    for now in [3.0, 4.0, 5.0] {
        cluster.heartbeat(&mut adopted, "n1", now);
        cluster.leader.apply_machine_list(
            &[listed_machine(
                "vm-000901",
                "a",
                ListedMachineState::Running,
                60.0,
            )],
            now,
        );
    }
    let late: Heartbeat = gone.next_heartbeat();
    assert_eq!(
        cluster.leader.take_heartbeat("n1", &late, &[], 5.0),
        None,
        "the machine is known to be deleted"
    );
    cluster.submit(&wide_job("wk-000001", 12), 5.0);
    let doomed = |calls: &[CloudCall], name: &str| {
        let deletes =
            |c: &CloudCall| matches!(c, CloudCall::Delete(n) if n.iter().any(|n| n == name));
        calls.iter().any(deletes)
    };
    let calls = cluster.leader.autoscale(5.5);
    for name in ["vm-000900", "vm-000902"] {
        assert!(!doomed(&calls, name), "{name}: {calls:?}");
    }
    cluster.heartbeat(&mut adopted, "n1", 6.0);
    assert_eq!(adopted.running(), 4);
}
