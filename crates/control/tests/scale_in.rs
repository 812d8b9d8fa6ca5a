//! Scale in beside jobs that may use some of the machines alone.

mod common;

use cherrywood_wire::agent::ExitCause;
use cherrywood_wire::user::{JobKind, Submission};
use common::fleet::*;
use common::*;

/// A job of one long task, on small machines.
fn long_task(id: &str, cpus: f64) -> Submission {
    Submission {
        cpus,
        estimate_s: 200.0,
        machine_types: Some(vec!["m8".into()]),
        ..wide_job(id, 1)
    }
}

/// A cluster with two machines in zone a and one in zone b. Each runs one long task: those on
/// `vm-2` and `vm-3` are bound to their zones and take `bound_memory_gb`. `vm-1` is being emptied, since the others have
/// enough CPUs for all of the work, and the cloud has no more machines in zone a.
fn fleet_with_a_drained_machine(bound_memory_gb: f64) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.exhausted.push("a".into());
    fleet.machines.push(in_zone("vm-1", "a"));
    fleet.cluster.submit(&long_task("wk-000001", 1.0), 0.0);
    fleet.cluster.submit(&long_task("wk-000002", 7.0), 0.0);
    fleet.run(0.0, 2.0);
    fleet.machines.push(in_zone("vm-2", "a"));
    let in_a = Submission {
        zone: Some("a".into()),
        memory_gb: bound_memory_gb,
        ..long_task("wk-000003", 1.0)
    };
    fleet.cluster.submit(&in_a, 2.0);
    fleet.run(2.0, 4.0);
    fleet.machines.push(in_zone("vm-3", "b"));
    let in_b = Submission {
        zone: Some("b".into()),
        memory_gb: bound_memory_gb,
        ..long_task("wk-000004", 2.0)
    };
    fleet.cluster.submit(&in_b, 4.0);
    fleet.run(4.0, 6.0);
    for task in &mut fleet.machines[0].tasks {
        if task.task.starts_with("wk-000002") {
            task.exit = Some(ExitCause::Done);
        }
    }
    fleet.run(6.0, 20.0);
    let running: Vec<usize> = fleet.machines.iter().map(Worker::running).collect();
    assert_eq!(running, [1, 1, 1]);
    fleet
}

/// Guards against a job that waits beside a machine with room in its zone: the machine is being
/// emptied, since machines of other zones have as many CPUs as all work wants.
#[test]
fn a_machine_is_not_emptied_beside_work_that_is_bound_to_its_zone() {
    let mut fleet = fleet_with_a_drained_machine(1.0);
    fleet.machines.retain(|machine| machine.name != "vm-2");
    fleet.run(20.0, 60.0);
    fleet.assert_running("wk-000003", 1);
}

/// Guards against a job that waits beside a machine with memory for it: the machine is being
/// emptied, since the others have as many CPUs as all work wants, but too little memory free.
#[test]
fn a_machine_is_not_emptied_beside_a_task_that_finds_memory_there_alone() {
    let mut fleet = fleet_with_a_drained_machine(40.0);
    fleet.exhausted.push("b".into());
    let large = Submission {
        memory_gb: 30.0,
        ..long_task("wk-000005", 1.0)
    };
    fleet.cluster.submit(&large, 20.0);
    fleet.run(20.0, 45.0);
    fleet.assert_running("wk-000005", 1);
}

/// Guards against a machine that is emptied although its tasks fit no other machine: they would
/// wait until another one is rented, again and again.
#[test]
fn a_machine_is_not_emptied_whose_tasks_fit_no_other_machine() {
    let mut fleet = Fleet::new();
    for n in 1..=8 {
        fleet.machines.push(in_zone(&format!("vm-{n}"), "a"));
    }
    fleet.machines.push(Worker {
        machine_type: "m32".into(),
        ..in_zone("vm-9", "a")
    });
    let small = Submission {
        cpus: 5.0,
        estimate_s: 200.0,
        machine_types: Some(vec!["m8".into()]),
        ..wide_job("wk-000001", 8)
    };
    let large = Submission {
        memory_gb: 96.0,
        estimate_s: 200.0,
        checkpoint_interval_s: 15.0,
        ..wide_job("wk-000002", 1)
    };
    fleet.cluster.submit(&small, 0.0);
    fleet.cluster.submit(&large, 0.0);
    fleet.run(0.0, 100.0);
    let attempts = |worker: &Worker| worker.tasks.len();
    let on_large: Vec<usize> = of_type(&fleet, "m32").map(attempts).collect();
    assert_eq!((fleet.running("wk-000002"), on_large), (1, vec![1]));
    assert!(fleet.machines.iter().any(|machine| machine.name == "vm-9"));
}

/// Guards against a fleet that is paid for while it is idle: no machine was returned while work
/// waited for machines of another zone.
#[test]
fn idle_machines_are_returned_that_no_waiting_work_may_use() {
    let mut fleet = Fleet::new();
    fleet.exhausted.push("a".into());
    for n in 1..=4 {
        fleet.machines.push(in_zone(&format!("vm-{n}"), "b"));
    }
    fleet.cluster.submit(&bound("wk-000001", "a", 16), 0.0);
    fleet.run(0.0, 30.0);
    assert_eq!(fleet.machines.len(), 0);
}

/// Guards against a gang that never runs: while it waits for one more machine, some of those that
/// it needs are emptied, since they have more CPUs than its tasks want.
#[test]
fn machines_are_kept_for_a_gang_that_waits_for_more() {
    let mut fleet = Fleet::new();
    fleet.exhausted.extend(["a".into(), "b".into()]);
    for n in 1..=6 {
        fleet.machines.push(Worker {
            machine_type: "m32".into(),
            ..in_zone(&format!("vm-{n}"), "a")
        });
    }
    let gang = Submission {
        kind: JobKind::Gang,
        cpus: 17.0,
        estimate_s: 300.0,
        machine_types: Some(vec!["m32".into()]),
        ..wide_job("wk-000001", 7)
    };
    fleet.cluster.submit(&gang, 0.0);
    fleet.run(0.0, 60.0);
    assert_eq!((fleet.machines.len(), fleet.running("wk-000001")), (6, 0));
    fleet.exhausted.clear();
    fleet.run(60.0, 80.0);
    assert_eq!((fleet.machines.len(), fleet.running("wk-000001")), (7, 7));
}
