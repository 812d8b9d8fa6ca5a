//! Scale out for jobs that may use different machines, while the cloud has no more of some.

mod common;

use cherrywood_wire::user::{JobKind, Submission};
use common::fleet::*;
use common::*;

/// Guards against an accepted job that never runs: a job that may run anywhere waits behind one
/// that is bound to a zone in which the cloud has no more machines.
#[test]
fn a_job_behind_one_that_cannot_be_served_gets_its_machine() {
    let mut fleet = Fleet::new();
    fleet.exhausted.push("a".into());
    fleet.cluster.submit(&bound("wk-000001", "a", 2), 0.0);
    fleet.run(0.0, 15.0);
    fleet.cluster.submit(&wide_job("wk-000002", 2), 15.0);
    fleet.run(15.0, 20.0);
    assert_eq!(
        (fleet.running("wk-000001"), fleet.running("wk-000002")),
        (0, 2),
        "{}",
        fleet.cluster.leader.summary()
    );
    assert!(fleet.asked.iter().filter(|zone| *zone == "a").count() > 1);
}

/// Guards against a fleet that stops growing: the demand of hundreds of tasks that may run
/// anywhere isn't met while the first job in the queue can't be served.
#[test]
fn the_fleet_grows_for_all_work_behind_a_job_that_cannot_be_served() {
    let mut fleet = Fleet::new();
    fleet.exhausted.push("a".into());
    fleet.cluster.submit(&bound("wk-000001", "a", 2), 0.0);
    fleet.cluster.submit(&wide_job("wk-000002", 4), 0.0);
    fleet.run(0.0, 15.0);
    fleet.assert_running("wk-000002", 4);
    for n in 3..13 {
        let more = Submission {
            estimate_s: 60.0,
            ..wide_job(&format!("wk-{n:06}"), 40)
        };
        fleet.cluster.submit(&more, 15.0);
    }
    fleet.run(15.0, 25.0);
    let running: usize = (3..13).map(|n| fleet.running(&format!("wk-{n:06}"))).sum();
    assert_eq!(running, 400, "{}", fleet.cluster.leader.summary());
}

/// Guards against rentals in the wrong place: a bound job that is the first in the queue must not
/// draw the machines for all other work into its zone, nor get none while others have enough.
#[test]
fn each_zone_gets_the_machines_that_its_bound_jobs_need() {
    let mut fleet = Fleet::new();
    fleet.cluster.submit(&bound("wk-000001", "a", 4), 0.0);
    fleet.cluster.submit(&bound("wk-000002", "b", 40), 0.0);
    fleet.run(0.0, 5.0);
    let in_zone = |zone: &str| fleet.machines.iter().filter(|m| m.zone == zone).count();
    assert_eq!((in_zone("a"), in_zone("b")), (1, 10));
    assert_eq!(
        (fleet.running("wk-000001"), fleet.running("wk-000002")),
        (4, 40)
    );
}

/// A cluster in which three small machines each run a long task that takes 5 of their 8 CPUs.
fn fleet_of_small_machines() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.machines = (1..=3).map(|n| Worker::new(&format!("vm-{n}"))).collect();
    let long = Submission {
        cpus: 5.0,
        machine_types: Some(vec!["m8".into()]),
        estimate_s: 500.0,
        ..wide_job("wk-000001", 3)
    };
    fleet.cluster.submit(&long, 0.0);
    fleet.run(0.0, 14.0);
    assert_eq!(of_type(&fleet, "m8").count(), 3);
    fleet
}

/// Guards against a job that waits for good: its tasks are too large for every machine that is
/// there, but these have as many free CPUs in sum as it wants.
#[test]
fn tasks_that_fit_larger_machines_alone_get_one() {
    let mut fleet = fleet_of_small_machines();
    let large = Submission {
        cpus: 4.0,
        memory_gb: 96.0,
        ..wide_job("wk-000002", 2)
    };
    fleet.cluster.submit(&large, 14.0);
    fleet.run(14.0, 18.0);
    fleet.assert_running("wk-000002", 2);
    // The larger machine is taken back without notice; the next leader doesn't know it.
    fleet.machines.retain(|m| m.machine_type == "m8");
    fleet.cluster.fail_over(2, 18.0);
    fleet.cluster.leader.set_machine_types(three_types());
    fleet.run(18.0, 80.0);
    fleet.assert_running("wk-000002", 2);
}

/// Guards against jobs that need accelerators and never end beside small machines without any.
#[test]
fn tasks_that_need_gpus_get_machines_that_have_enough_of_them() {
    let mut fleet = fleet_of_small_machines();
    let with_gpus = Submission {
        team: "guest".into(),
        cpus: 1.0,
        gpus: 4.0,
        estimate_s: 300.0,
        ..job("wk-000002", 6)
    };
    fleet.cluster.submit(&with_gpus, 14.0);
    fleet.run(14.0, 24.0);
    fleet.assert_running("wk-000002", 6);
    assert_eq!(of_type(&fleet, "g8").count(), 3);
}

/// Guards against a fleet that has CPUs for all waiting tasks and memory for a fourth of them.
#[test]
fn tasks_that_need_much_memory_get_machines_for_all_of_it() {
    let mut fleet = Fleet::new();
    let large = Submission {
        cpus: 1.0,
        memory_gb: 32.0,
        estimate_s: 300.0,
        machine_types: Some(vec!["m8".into()]),
        ..wide_job("wk-000001", 16)
    };
    fleet.cluster.submit(&large, 0.0);
    fleet.run(0.0, 5.0);
    fleet.assert_running("wk-000001", 16);
    assert_eq!(fleet.machines.len(), 8);
}

/// Guards against tasks that wait for one another's end beside CPUs that none of them can use: two
/// fit on each machine, which leaves two of its eight CPUs free.
#[test]
fn tasks_that_leave_a_part_of_each_machine_unused_get_machines_for_all() {
    let mut fleet = Fleet::new();
    let odd = Submission {
        cpus: 3.0,
        estimate_s: 300.0,
        machine_types: Some(vec!["m8".into()]),
        ..wide_job("wk-000001", 16)
    };
    fleet.cluster.submit(&odd, 0.0);
    fleet.run(0.0, 30.0);
    fleet.assert_running("wk-000001", 16);
    assert_eq!(fleet.machines.len(), 8);
}

/// Guards against a job that never starts beside a service: no machine has room for its task, and
/// the service, which has the most of each machine, never ends.
#[test]
fn a_task_without_room_beside_a_service_gets_a_machine() {
    let mut fleet = Fleet::new();
    let service = Submission {
        kind: JobKind::Service,
        cpus: 5.0,
        estimate_s: 0.0,
        machine_types: Some(vec!["m8".into()]),
        ..wide_job("wk-000001", 3)
    };
    fleet.cluster.submit(&service, 0.0);
    fleet.run(0.0, 10.0);
    let beside = Submission {
        cpus: 4.0,
        ..wide_job("wk-000002", 2)
    };
    fleet.cluster.submit(&beside, 10.0);
    fleet.run(10.0, 30.0);
    fleet.assert_running("wk-000002", 2);
    fleet.assert_running("wk-000001", 3);
}

/// A gang of long tasks on one type of machine.
fn gang(machine_type: &str, tasks: u32, cpus: f64) -> Submission {
    Submission {
        kind: JobKind::Gang,
        cpus,
        estimate_s: 300.0,
        machine_types: Some(vec![machine_type.into()]),
        ..wide_job("wk-000001", tasks)
    }
}

/// Guards against gangs that never run: the machines have as many CPUs as all of their tasks want,
/// but some of these are of no use to a whole task.
#[test]
fn a_gang_gets_machines_for_all_of_its_tasks() {
    for gang in [gang("m32", 4, 20.0), gang("m32", 8, 12.0)] {
        let mut fleet = Fleet::new();
        fleet.cluster.submit(&gang, 0.0);
        fleet.run(0.0, 10.0);
        fleet.assert_running(&gang.id, gang.tasks as usize);
        assert_eq!(fleet.machines.len(), 4);
    }
}

/// Guards against gangs that never run beside other work, which leaves CPUs free on each machine,
/// but not enough for one of their tasks.
#[test]
fn a_gang_gets_machines_beside_those_with_too_little_room() {
    let mut fleet = fleet_of_small_machines();
    let gang = Submission {
        id: "wk-000002".into(),
        ..gang("m8", 2, 4.0)
    };
    fleet.cluster.submit(&gang, 14.0);
    fleet.run(14.0, 30.0);
    fleet.assert_running("wk-000002", 2);
}

/// Guards against gangs that never run: their tasks must be in one zone, while machines were
/// rented in all zones, each of which has room for a part of them.
#[test]
fn a_gang_in_one_zone_gets_its_machines_there() {
    let single_zone = Submission {
        single_zone: true,
        ..gang("m8", 20, 4.0)
    };
    let mut fleet = Fleet::new();
    fleet.cluster.submit(&single_zone, 0.0);
    fleet.run(0.0, 10.0);
    fleet.assert_running("wk-000001", 20);
    assert_eq!(fleet.machines.len(), 10);
    // The cloud has nothing left in the zone that is tried first.
    let mut fleet = Fleet::new();
    fleet.exhausted.push("a".into());
    fleet.cluster.submit(&single_zone, 0.0);
    fleet.run(0.0, 10.0);
    fleet.assert_running("wk-000001", 20);
    assert!(fleet.machines.iter().all(|machine| machine.zone == "b"));
}

/// Guards against gangs that never run: at most half of their tasks may be in one zone, and the
/// machines of one zone have room for more than that.
#[test]
fn a_gang_over_two_zones_gets_machines_in_both() {
    let mut fleet = Fleet::new();
    for n in 1..=3 {
        fleet.machines.push(Worker::new(&format!("vm-{n}")));
    }
    let spread = Submission {
        spread_over_zones: true,
        ..gang("m8", 6, 4.0)
    };
    fleet.cluster.submit(&spread, 0.0);
    fleet.run(0.0, 10.0);
    fleet.assert_running("wk-000001", 6);
}

/// Guards against an array that runs a few tasks at a time: they must be in one zone, while room in
/// other zones counts as room for them.
#[test]
fn an_array_in_one_zone_gets_its_machines_there() {
    let mut fleet = Fleet::new();
    for n in 1..=6 {
        fleet.machines.push(Worker {
            zone: "b".into(),
            ..Worker::new(&format!("vm-{n}"))
        });
    }
    fleet.machines.insert(0, Worker::new("vm-0"));
    let single_zone = Submission {
        single_zone: true,
        estimate_s: 300.0,
        machine_types: Some(vec!["m8".into()]),
        ..wide_job("wk-000001", 20)
    };
    fleet.cluster.submit(&single_zone, 0.0);
    fleet.run(0.0, 10.0);
    fleet.assert_running("wk-000001", 20);
}
