//! Machines whose heartbeats reach no controller while direct commands reach them,
//! beside machines that receive no responses, also across a failover.

mod common;

use cherrywood_control::Leader;
use cherrywood_wire::agent::{Command, DirectCommands, ExitCause};
use cherrywood_wire::cloud::{ListedMachine, ListedMachineState};
use common::*;

const LEASE_S: f64 = 10.0;

/// A direct command arrives at its worker, which answers with its status.
fn execute_commands(
    cluster: &mut TestCluster,
    worker: &mut Worker,
    orders: &DirectCommands,
    now: f64,
) {
    if orders.fencing_token >= worker.fencing_token && orders.incarnation == worker.incarnation {
        worker.execute_commands(orders.fencing_token, &orders.commands);
    }
    cluster
        .leader
        .take_direct_status(&worker.next_heartbeat(), now);
}

/// What the leader sends straight to the machine: starts, and stops.
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

/// It was left to the worker's lease: no response carried the stop, and no direct
/// command was sent.
#[test]
fn cancelled_work_on_a_silent_machine_is_stopped_by_a_direct_command() {
    let (mut cluster, mut worker) = TestCluster::with_running_job(2);
    cluster.cancel("wk-000001");
    assert!(
        cluster.leader.due_direct_stops(3.0).is_empty(),
        "its next report is due: the answer has the stop"
    );
    let mut now = 3.0;
    while worker.running() > 0 {
        now += 1.0;
        assert!(now < 2.0 + LEASE_S, "its lease had to end it");
        for orders in direct(&mut cluster.leader, now) {
            execute_commands(&mut cluster, &mut worker, &orders, now);
        }
    }
    assert!(
        cluster.leader.placements_held().is_empty(),
        "the answer shows what has exited"
    );
    cluster.leader.audit().unwrap();
    // It is told to forget its tasks once its heartbeats arrive again, and nothing is lost by that.
    cluster.heartbeat(&mut worker, "n1", 12.0);
    assert!(worker.tasks.is_empty());
}

/// The machine's address is in the cloud's list, and what runs there in the ledger.
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
        "its next report is due"
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
        "nothing is renewed by that"
    );
    // Its first heartbeat is taken as such.
    cluster.heartbeat(&mut worker, "n1", 8.0);
    cluster.heartbeat(&mut worker, "n1", 9.0);
    assert!(worker.tasks.is_empty());
    cluster.leader.audit().unwrap();
}

/// Every few heartbeat intervals while it gets no answer, and not more often.
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

/// The machine's work is freed, and its lease ends, when they would have without the
/// answers.
#[test]
fn answers_to_direct_commands_extend_no_lease() {
    let over = |answers: bool| {
        let (mut cluster, mut worker) = TestCluster::with_running_job(2);
        cluster.submit(&job("wk-000002", 1), 2.0);
        cluster.heartbeat(&mut worker, "n1", 2.5);
        cluster.cancel("wk-000001");
        let mut now = 2.5;
        let mut in_block = 0.0;
        loop {
            now += 0.5;
            let orders = direct(&mut cluster.leader, now);
            let stops =
                |o: &DirectCommands| o.commands.iter().all(|c| matches!(c, Command::Stop { .. }));
            assert!(
                now < 5.0 || orders.iter().all(stops),
                "no work once it is silent"
            );
            if answers {
                // Executed or not, it answers with its status.
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
                in_block = now;
            }
            cluster.leader.autoscale(now);
            assert!(now < 100.0, "kept for good");
            if cluster.leader.placements_held().is_empty() {
                return (now, in_block);
            }
        }
    };
    assert_eq!(over(false), over(true));
}

/// One machine's heartbeats arrive nowhere, another's arrive while it receives no
/// responses, and the leader changes: neither gets work once it is known, both are
/// freed on proof alone, and a silent one that is back keeps what ran on if its lease
/// did.
#[test]
fn silent_machines_and_machines_without_responses_are_freed_only_on_proof_across_a_failover() {
    let mut cluster = TestCluster::new();
    let (mut mute, mut deaf) = (Worker::new("vm-1"), Worker::new("vm-2"));
    cluster.submit(&job("wk-000001", 8), 0.0);
    for now in [1.0, 2.0] {
        cluster.heartbeat(&mut mute, "n1", now);
        cluster.heartbeat(&mut deaf, "n1", now);
    }
    assert_eq!((mute.running(), deaf.running()), (4, 4));
    // From here on one sends and the other receives in vain; the leader ends.
    cluster.fail_over(2, 4.0);
    for n in 5..12 {
        let now = f64::from(n);
        let heartbeat = deaf.next_heartbeat();
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
            "all that is placed was there before"
        );
    }
    assert_eq!(
        (cluster.placements_on("vm-1"), cluster.placements_on("vm-2")),
        (4, 4)
    );
    // Both leases are over. The one that receives nothing says so, in a new incarnation under an
    // old token.
    for w in [&mut mute, &mut deaf] {
        w.incarnation += 1;
        w.tasks.clear();
    }
    let heartbeat = deaf.next_heartbeat();
    cluster
        .leader
        .take_heartbeat("n1", &heartbeat, &[], 13.0)
        .unwrap();
    assert_eq!(
        cluster.placements_on("vm-1"),
        4,
        "not heard: it counts until its grants are over"
    );
    // Both links work again: proof for each.
    for now in [14.0, 15.0, 16.0] {
        for w in [&mut mute, &mut deaf] {
            cluster.heartbeat(w, "n1", now);
        }
    }
    assert_eq!((mute.running(), deaf.running()), (4, 4), "they run again");
    assert_eq!(
        (cluster.placements_on("vm-1"), cluster.placements_on("vm-2")),
        (4, 4)
    );
    cluster.leader.audit().unwrap();
}

/// A task that exited on a silent machine before its stop came is done, not stopped.
#[test]
fn an_answer_to_a_direct_command_counts_finished_tasks() {
    let (mut cluster, mut worker) = TestCluster::with_running_job(2);
    worker.tasks[0].exit = Some(ExitCause::Done);
    cluster
        .leader
        .take_direct_status(&worker.next_heartbeat(), 8.0);
    assert_eq!(cluster.leader.task_counts("wk-000001", 8.0), Some((1, 1)));
    // An older status brings nothing back.
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
