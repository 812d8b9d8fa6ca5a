//! One-way partitions, also across a failover: machines whose heartbeats reach no controller
//! while direct commands reach them, and machines that receive no responses.

mod common;

use cherrywood_control::Leader;
use cherrywood_wire::agent::{Command, DirectCommands, ExitCause};
use cherrywood_wire::cloud::{ListedMachine, ListedMachineState};
use common::*;

const LEASE_S: f64 = 10.0;

/// Executes direct commands at their worker and gives the leader the status in its response.
fn execute_commands(
    cluster: &mut TestCluster,
    worker: &mut Worker,
    commands: &DirectCommands,
    now: f64,
) {
    if commands.fencing_token >= worker.fencing_token && commands.incarnation == worker.incarnation
    {
        worker.execute_commands(commands.fencing_token, &commands.commands);
    }
    cluster
        .leader
        .take_direct_status(&worker.next_heartbeat(), now);
}

/// Returns the direct starts and stops that the leader sends to the machine.
fn direct(leader: &mut Leader, now: f64) -> Vec<DirectCommands> {
    let starts = leader.due_direct_commands(now).into_values().flatten();
    let mut all: Vec<DirectCommands> = starts.map(|due| due.commands).collect();
    all.extend(
        leader
            .due_direct_stops(now)
            .into_iter()
            .map(|due| due.commands),
    );
    all
}

/// No heartbeat response carries the stop to a silent machine. Without a direct command, cancelled
/// tasks would run until the worker's lease expires.
#[test]
fn cancelled_work_on_a_silent_machine_is_stopped_by_a_direct_command() {
    let (mut cluster, mut worker) = TestCluster::with_running_job(2);
    cluster.cancel("wk-000001");
    assert!(
        cluster.leader.due_direct_stops(3.0).is_empty(),
        "its next heartbeat is due: the response has the stop"
    );
    let mut now = 3.0;
    while worker.running() > 0 {
        now += 1.0;
        assert!(
            now < 2.0 + LEASE_S,
            "the worker's lease had to end the task"
        );
        for commands in direct(&mut cluster.leader, now) {
            execute_commands(&mut cluster, &mut worker, &commands, now);
        }
    }
    assert!(
        cluster.leader.placements_held().is_empty(),
        "the response shows the exited tasks"
    );
    cluster.leader.audit().unwrap();
    // The worker is told to forget its tasks once its heartbeats arrive again; they are recorded
    // by then.
    cluster.heartbeat(&mut worker, "n1", 12.0);
    assert!(worker.tasks.is_empty());
}

/// The new leader has the machine's address from the cloud's list and its tasks from the ledger.
#[test]
fn a_new_leader_stops_cancelled_work_on_a_machine_it_never_heard_from() {
    let (mut cluster, mut worker) = TestCluster::with_running_job(2);
    cluster.fail_over(2, 3.0);
    cluster.cancel("wk-000001");
    let listed = |state| ListedMachine {
        name: "vm-1".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        state,
        age_s: 60.0,
        address: Some("10.1.0.1:9000".into()),
    };
    cluster
        .leader
        .apply_machine_list(&[listed(ListedMachineState::Running)], 4.0);
    assert!(
        cluster.leader.due_direct_stops(5.0).is_empty(),
        "its next heartbeat is due"
    );
    let stops = cluster.leader.due_direct_stops(6.0);
    assert_eq!(stops[0].address, "10.1.0.1:9000");
    execute_commands(&mut cluster, &mut worker, &stops[0].commands, 6.0);
    assert_eq!(
        (worker.running(), cluster.leader.placements_held().len()),
        (0, 0)
    );
    assert!(
        cluster.leader.extend_shard("n1", 6.5).is_empty(),
        "a status renews no shard lease"
    );
    // The machine's first heartbeat is taken.
    cluster.heartbeat(&mut worker, "n1", 8.0);
    cluster.heartbeat(&mut worker, "n1", 9.0);
    assert!(worker.tasks.is_empty());
    cluster.leader.audit().unwrap();
}

/// While a direct stop gets no response it is sent again every few heartbeat intervals, and not
/// more often.
#[test]
fn a_direct_stop_to_a_silent_machine_is_repeated() {
    let (mut cluster, _) = TestCluster::with_running_job(2);
    cluster.cancel("wk-000001");
    let sent = (0..20).filter(|n| {
        !cluster
            .leader
            .due_direct_stops(5.0 + f64::from(*n) / 2.0)
            .is_empty()
    });
    let sent = sent.count();
    assert!((3..=5).contains(&sent), "{sent}");
}

/// A silent machine that responds to direct commands has its placements freed and its shard lease
/// ended at the same times as one that does not respond.
#[test]
fn responses_to_direct_commands_extend_no_lease() {
    let freed_and_unleased_at = |has_responses: bool| {
        let (mut cluster, mut worker) = TestCluster::with_running_job(2);
        cluster.submit(&job("wk-000002", 1), 2.0);
        cluster.heartbeat(&mut worker, "n1", 2.5);
        cluster.cancel("wk-000001");
        let mut now = 2.5;
        let mut last_extended = 0.0;
        loop {
            now += 0.5;
            let commands = direct(&mut cluster.leader, now);
            let stops =
                |o: &DirectCommands| o.commands.iter().all(|c| matches!(c, Command::Stop { .. }));
            assert!(
                now < 5.0 || commands.iter().all(stops),
                "no start is sent to a silent machine"
            );
            if has_responses {
                // The worker responds with its status, whether it executed the commands or not.
                cluster
                    .leader
                    .take_direct_status(&worker.next_heartbeat(), now);
                cluster.leader.place_pending(now);
            }
            if cluster
                .leader
                .extend_shard("n1", now)
                .iter()
                .any(|m| m.0 == "vm-1")
            {
                last_extended = now;
            }
            cluster.leader.autoscale(now);
            assert!(now < 100.0, "the placements are never freed");
            if cluster.leader.placements_held().is_empty() {
                return (now, last_extended);
            }
        }
    };
    assert_eq!(freed_and_unleased_at(false), freed_and_unleased_at(true));
}

/// Heartbeats of one machine reach no controller, another machine receives no responses, and the
/// leader changes. Neither machine is given work once its state is known, and the placements of
/// both are freed only on proof that the tasks are gone.
#[test]
fn silent_machines_and_machines_without_responses_are_freed_only_on_proof_across_a_failover() {
    let mut cluster = TestCluster::new();
    let (mut sends_nothing, mut receives_nothing) = (Worker::new("vm-1"), Worker::new("vm-2"));
    cluster.submit(&job("wk-000001", 8), 0.0);
    for now in [1.0, 2.0] {
        cluster.heartbeat(&mut sends_nothing, "n1", now);
        cluster.heartbeat(&mut receives_nothing, "n1", now);
    }
    assert_eq!(
        (sends_nothing.running(), receives_nothing.running()),
        (4, 4)
    );
    // From here on the heartbeats of one machine and the responses to the other are lost; the
    // leader fails.
    cluster.fail_over(2, 4.0);
    for n in 5..12 {
        let now = f64::from(n);
        let heartbeat = receives_nothing.next_heartbeat();
        cluster
            .leader
            .take_heartbeat("n1", &heartbeat, &[], now)
            .unwrap();
        cluster.leader.heartbeat_commands(&heartbeat, now);
        cluster.leader.place_pending(now);
        cluster.write_all_at(now);
        cluster.leader.autoscale(now);
        assert!(
            cluster.leader.due_direct_commands(now).is_empty(),
            "nothing new is placed"
        );
    }
    assert_eq!(
        (cluster.placements_on("vm-1"), cluster.placements_on("vm-2")),
        (4, 4)
    );
    // Both worker leases expire. The heartbeat of the machine that receives nothing shows that by
    // a new incarnation under an old token.
    for w in [&mut sends_nothing, &mut receives_nothing] {
        w.incarnation += 1;
        w.tasks.clear();
    }
    let heartbeat = receives_nothing.next_heartbeat();
    cluster
        .leader
        .take_heartbeat("n1", &heartbeat, &[], 13.0)
        .unwrap();
    assert_eq!(
        cluster.placements_on("vm-1"),
        4,
        "not heard: its placements count until its leases expire"
    );
    // Both links work again, and heartbeats prove that the tasks are gone.
    for now in [14.0, 15.0, 16.0] {
        for w in [&mut sends_nothing, &mut receives_nothing] {
            cluster.heartbeat(w, "n1", now);
        }
    }
    assert_eq!(
        (sends_nothing.running(), receives_nothing.running()),
        (4, 4),
        "the tasks run again"
    );
    assert_eq!(
        (cluster.placements_on("vm-1"), cluster.placements_on("vm-2")),
        (4, 4)
    );
    cluster.leader.audit().unwrap();
}

/// A task that completed on a silent machine before its stop arrived is done, not stopped.
#[test]
fn a_response_to_a_direct_command_counts_completed_tasks() {
    let (mut cluster, mut worker) = TestCluster::with_running_job(2);
    worker.tasks[0].exit = Some(ExitCause::Done);
    cluster
        .leader
        .take_direct_status(&worker.next_heartbeat(), 8.0);
    assert_eq!(cluster.leader.task_counts("wk-000001", 8.0), Some((1, 1)));
    // A status that shows the task running again does not undo its completion.
    worker.tasks[0].exit = None;
    cluster
        .leader
        .take_direct_status(&worker.next_heartbeat(), 8.5);
    assert_eq!(
        (
            cluster.leader.placements_held().len(),
            cluster.leader.task_counts("wk-000001", 8.5)
        ),
        (1, Some((1, 1)))
    );
    cluster.write_all_at(9.0);
    cluster.leader.audit().unwrap();
}
