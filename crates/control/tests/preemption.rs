//! Best-effort work of teams without a guarantee: when it is preempted, and which machines are
//! rented for it.

mod common;

use cherrywood_control::leader::{AddressedCommands, CloudCall, CommandOutcome};
use cherrywood_wire::agent::{Command, ExitCause};
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::user::{JobKind, Priority, Submission};
use common::*;

fn best_effort_job(id: &str, tasks: u32) -> Submission {
    Submission {
        team: "guest".into(),
        priority: Priority::Low,
        checkpoint_interval_s: 30.0,
        checkpoint_save_s: 3.0,
        estimate_s: 300.0,
        ..job(id, tasks)
    }
}

fn stops(commands: &[Command]) -> Vec<f64> {
    let of = |c: &Command| match c {
        Command::Stop { grace_s, .. } => Some(*grace_s),
        _ => None,
    };
    commands.iter().filter_map(of).collect()
}

/// Without preemption, best-effort tasks of 300 s held 5,000 of 12,400 CPUs while high-priority
/// jobs waited for minutes.
#[test]
fn best_effort_tasks_are_preempted_for_other_work_and_resume_afterwards() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&best_effort_job("wk-000001", 4), 0.0);
    cluster.heartbeat(&mut worker, "n1", 1.0);
    assert_eq!(worker.running(), 4, "best-effort work uses an idle machine");
    cluster.submit(&job("wk-000002", 2), 2.0);
    cluster.leader.place_pending(2.1);
    let due = cluster.leader.due_direct_commands(2.1);
    let sent: Vec<f64> = due
        .values()
        .flatten()
        .flat_map(|due| stops(&due.commands.commands))
        .collect();
    assert_eq!(sent.len(), 2, "room for the two waiting tasks only");
    assert!(
        sent.iter().all(|s| *s >= 3.0),
        "the grace period lets the task save a checkpoint"
    );
    for AddressedCommands { commands: o, .. } in due.values().flatten() {
        cluster
            .leader
            .direct_commands_done("vm-1", o, CommandOutcome::Executed);
        worker.execute_commands(o.fencing_token, &o.commands);
    }
    cluster.heartbeat(&mut worker, "n1", 3.0);
    cluster.heartbeat(&mut worker, "n1", 4.0);
    let running_tasks_of = |worker: &Worker, id: &str| {
        let runs = |t: &&WorkerTask| t.is_running() && t.task.starts_with(id);
        worker.tasks.iter().filter(runs).count()
    };
    assert_eq!(
        (
            running_tasks_of(&worker, "wk-000001"),
            running_tasks_of(&worker, "wk-000002")
        ),
        (2, 2)
    );
    for t in worker
        .tasks
        .iter_mut()
        .filter(|t| t.task.starts_with("wk-000002"))
    {
        t.exit = Some(ExitCause::Done);
    }
    cluster.heartbeat(&mut worker, "n1", 20.0);
    cluster.heartbeat(&mut worker, "n1", 21.0);
    assert_eq!(
        running_tasks_of(&worker, "wk-000001"),
        4,
        "the preempted tasks run again"
    );
    cluster.leader.audit().unwrap();
}

/// Guards against urgent work that waits beside best-effort tasks in its zone: room in another
/// zone, which the work may not use, counted as room for it, and nothing was preempted.
#[test]
fn work_bound_to_a_zone_preempts_there_beside_room_in_other_zones() {
    let mut cluster = TestCluster::new();
    let mut full = Worker::new("vm-1");
    let mut roomy = Worker {
        zone: "b".into(),
        ..Worker::new("vm-2")
    };
    cluster.submit(&best_effort_job("wk-000001", 4), 0.0);
    cluster.heartbeat(&mut full, "n1", 1.0);
    cluster.heartbeat(&mut roomy, "n1", 1.5);
    assert_eq!((full.running(), roomy.running()), (4, 0));
    let bound = Submission {
        zone: Some("a".into()),
        ..job("wk-000002", 2)
    };
    cluster.submit(&bound, 2.0);
    cluster.leader.place_pending(2.1);
    let due = cluster.leader.due_direct_commands(2.1);
    let sent = due.values().flatten().map(|due| {
        let sent = stops(&due.commands.commands).len();
        (due.machine.as_str(), sent)
    });
    assert_eq!(sent.collect::<Vec<_>>(), [("vm-1", 2)]);
}

/// Guards against urgent work that waits for good beside best-effort tasks: as many of these were
/// stopped as had the CPUs that it wants, too few for its memory, and others started in the room of
/// the first that ended.
#[test]
fn as_many_best_effort_tasks_are_preempted_as_a_large_task_needs() {
    let mut cluster = TestCluster::new();
    let mut workers = [Worker::new("vm-1"), Worker::new("vm-2")];
    let small = Submission {
        cpus: 1.0,
        memory_gb: 14.0,
        ..best_effort_job("wk-000001", 40)
    };
    cluster.submit(&small, 0.0);
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 1.0);
    }
    let large = Submission {
        memory_gb: 40.0,
        ..wide_job("wk-000002", 1)
    };
    cluster.submit(&large, 2.0);
    let mut stopped = 0;
    // Each task takes a second longer to save than the one before.
    let mut saving: Vec<(String, u64, f64)> = Vec::new();
    for now in (3..30).map(f64::from) {
        cluster.leader.place_pending(now);
        let due = cluster.leader.due_direct_commands(now);
        for due in due.values().flatten() {
            for command in &due.commands.commands {
                if let Command::Stop { task, attempt, .. } = command {
                    stopped += 1;
                    saving.push((task.clone(), *attempt, now + f64::from(stopped)));
                }
            }
        }
        for worker in &mut workers {
            for task in &mut worker.tasks {
                let is_saved = |saving: &(String, u64, f64)| {
                    saving.0 == task.task && saving.1 == task.attempt && saving.2 <= now
                };
                if task.is_running() && saving.iter().any(is_saved) {
                    task.exit = Some(ExitCause::Stopped);
                }
            }
            cluster.heartbeat(worker, "n1", now);
        }
    }
    let tasks = workers.iter().flat_map(|worker| &worker.tasks);
    let large = tasks.filter(|task| task.is_running() && task.task.starts_with("wk-000002"));
    assert_eq!(large.count(), 1, "{}", cluster.leader.summary());
    assert_eq!(stopped, 3, "14 GB each, beside 8 GB that are free");
}

/// Guards against best-effort work that waits beside free machines: the room is kept for work that
/// is bound to another zone, or whose tasks don't fit on these machines.
#[test]
fn best_effort_work_uses_room_that_other_pending_work_cannot_use() {
    let large = MachineType {
        name: "m32".into(),
        cpus: 32.0,
        memory_gb: 256.0,
        ..machine_types().remove(0)
    };
    let elsewhere = Submission {
        zone: Some("a".into()),
        ..wide_job("wk-000001", 16)
    };
    let too_large = Submission {
        cpus: 4.0,
        memory_gb: 96.0,
        ..wide_job("wk-000001", 8)
    };
    for other in [elsewhere, too_large] {
        let mut cluster = TestCluster::new();
        let types = vec![machine_types().remove(0), large.clone()];
        cluster.leader.set_machine_types(types);
        let mut worker = Worker {
            zone: "b".into(),
            ..Worker::new("vm-1")
        };
        cluster.submit(&other, 0.0);
        cluster.submit(&best_effort_job("wk-000002", 3), 0.0);
        cluster.heartbeat(&mut worker, "n1", 1.0);
        cluster.heartbeat(&mut worker, "n1", 2.0);
        assert_eq!(worker.running(), 3, "beside {other:?}");
    }
}

/// Best-effort work leaves the room to other work that may use it, once enough has come free, and
/// uses the room beside it.
#[test]
fn best_effort_work_leaves_room_for_other_pending_work_that_can_use_it() {
    let mut cluster = TestCluster::new();
    let zones = ["a", "b"].map(|zone| Worker {
        zone: zone.into(),
        ..Worker::new(&format!("vm-{zone}"))
    });
    let [mut in_a, mut in_b] = zones;
    let bound = |id: &str, zone: &str, cpus: f64| Submission {
        zone: Some(zone.into()),
        cpus,
        ..wide_job(id, 1)
    };
    cluster.submit(&bound("wk-000001", "a", 5.0), 0.0);
    cluster.submit(&bound("wk-000002", "b", 2.0), 0.0);
    cluster.heartbeat(&mut in_a, "n1", 1.0);
    cluster.heartbeat(&mut in_b, "n1", 1.0);
    assert_eq!((in_a.running(), in_b.running()), (1, 1));
    // A task of 4 CPUs doesn't fit into the 3 CPUs that are free in its zone.
    cluster.submit(&bound("wk-000003", "a", 4.0), 2.0);
    cluster.submit(&best_effort_job("wk-000004", 8), 2.0);
    for now in [3.0, 4.0] {
        cluster.heartbeat(&mut in_a, "n1", now);
        cluster.heartbeat(&mut in_b, "n1", now);
    }
    assert_eq!((in_a.running(), in_b.running()), (1, 4));
}

/// A gang of best-effort tasks is placed whole or not at all, also beside room that is kept for
/// other work.
#[test]
fn a_best_effort_gang_is_not_placed_in_part_beside_reserved_room() {
    let mut cluster = TestCluster::new();
    let mut workers = ["a", "b"].map(|zone| Worker {
        zone: zone.into(),
        ..Worker::new(&format!("vm-{zone}"))
    });
    let bound = |id: &str, cpus: f64| Submission {
        zone: Some("a".into()),
        cpus,
        ..wide_job(id, 1)
    };
    cluster.submit(&bound("wk-000001", 2.0), 0.0);
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 1.0);
    }
    // A task of 8 CPUs waits for the machine in zone a, which has 6 free.
    cluster.submit(&bound("wk-000002", 8.0), 2.0);
    let gang = Submission {
        kind: JobKind::Gang,
        ..best_effort_job("wk-000003", 5)
    };
    cluster.submit(&gang, 2.0);
    for now in [3.0, 4.0] {
        for worker in &mut workers {
            cluster.heartbeat(worker, "n1", now);
        }
    }
    assert_eq!(workers.each_ref().map(Worker::running), [1, 0]);
    cluster.cancel("wk-000002");
    for now in [5.0, 6.0] {
        for worker in &mut workers {
            cluster.heartbeat(worker, "n1", now);
        }
    }
    let running: usize = workers.iter().map(Worker::running).sum();
    assert_eq!(running, 6, "{}", cluster.leader.summary());
}

/// A lost stop is sent again; one that the worker is executing is not.
#[test]
fn a_lost_preemption_stop_is_sent_again() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&best_effort_job("wk-000001", 4), 0.0);
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.submit(&job("wk-000002", 4), 2.0);
    cluster.leader.place_pending(2.0);
    assert!(!cluster.leader.due_direct_commands(2.0).is_empty());
    let mut asked = Vec::new();
    for now in 3..12 {
        let heartbeat = worker.next_heartbeat();
        cluster
            .leader
            .take_heartbeat("n1", &heartbeat, &[], f64::from(now))
            .unwrap();
        if !stops(
            &cluster
                .leader
                .heartbeat_commands(&heartbeat, f64::from(now)),
        )
        .is_empty()
        {
            asked.push(now);
        }
    }
    assert_eq!(asked, [8], "after five reports that show it running on");
}

/// If all low-priority work were preemptible, best-effort jobs with an objective of their own
/// would starve.
#[test]
fn low_priority_work_with_an_objective_is_not_preempted() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    let aimed = Submission {
        class: "aimed".into(),
        ..best_effort_job("wk-000001", 4)
    };
    cluster.submit(&aimed, 0.0);
    cluster.heartbeat(&mut worker, "n1", 1.0);
    assert_eq!(worker.running(), 4);
    cluster.submit(&job("wk-000002", 2), 2.0);
    cluster.leader.place_pending(2.1);
    assert!(cluster.leader.due_direct_commands(2.1).is_empty());
}

/// Best-effort work never rents on-demand machines.
#[test]
fn best_effort_work_rents_spot_machines_only() {
    let mut cluster = TestCluster::new();
    cluster.submit(&best_effort_job("wk-000001", 400), 0.0);
    let rented = |calls: Vec<CloudCall>| {
        let of = |c: CloudCall| match c {
            CloudCall::Rent(r) => Some((r.spot, r)),
            CloudCall::Delete(_) => None,
        };
        calls.into_iter().filter_map(of).collect::<Vec<_>>()
    };
    let calls = rented(cluster.leader.autoscale(1.0));
    assert!(!calls.is_empty() && calls.iter().all(|(spot, _)| *spot));
    // There is no spot capacity: other work would rent on-demand machines, best-effort work
    // does not.
    for (_, r) in &calls {
        cluster.leader.rental_answered(r, None, 1.0);
    }
    assert!(rented(cluster.leader.autoscale(2.0)).is_empty());
    let ranked = Submission {
        team: "wide".into(),
        ..job("wk-000002", 400)
    };
    cluster.submit(&ranked, 3.0);
    assert!(
        rented(cluster.leader.autoscale(3.0))
            .iter()
            .any(|(spot, _)| !spot)
    );
}
