//! Starts, stops and forgets that cross one another, and heartbeats of another
//! incarnation than their machine's placements.

mod common;

use cherrywood_control::Leader;
use cherrywood_control::leader::CommandOutcome;
use cherrywood_wire::agent::{Command, DirectCommands, ExitCause, Heartbeat};
use common::*;

/// The one direct command that the leader has, and its machine.
fn order(leader: &mut Leader, now: f64) -> Option<(String, DirectCommands)> {
    let mut all = leader.due_direct_commands(now).into_values().flatten();
    let one = all.next().map(|due| (due.machine, due.commands));
    assert!(all.next().is_none(), "one at a time");
    one
}

fn stops(commands: &[Command]) -> usize {
    let stop = |c: &&Command| matches!(c, Command::Stop { .. });
    commands.iter().filter(stop).count()
}

/// A machine that is up, and a job of one task in the ledger, not yet started.
fn placed() -> (TestCluster, Worker) {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.submit(&job("wk-000001", 1), 1.0);
    cluster.leader.place_pending(1.0);
    cluster.write_all();
    assert_eq!(cluster.leader.placements_held().len(), 1);
    (cluster, worker)
}

/// A start was in a response to a heartbeat while a direct one of the same attempt was
/// on its way, which the worker rejected for its older token. The placement was then
/// taken for never started, and the end of its job was followed by no stop.
#[test]
fn a_start_sent_in_a_response_counts_as_sent_although_the_direct_one_was_rejected() {
    let (mut cluster, mut worker) = placed();
    let (machine, direct) = order(&mut cluster.leader, 1.1).unwrap();
    // The worker moves to another controller, whose response has a newer token.
    let heartbeat = worker.next_heartbeat();
    let token = cluster
        .leader
        .take_heartbeat("n2", &heartbeat, &[], 1.5)
        .unwrap();
    let answer = cluster.leader.heartbeat_commands(&heartbeat, 1.5);
    assert!(matches!(answer[..], [Command::Start { .. }]), "{answer:?}");
    // Its next heartbeat crosses that response; the direct start is rejected.
    cluster
        .leader
        .direct_commands_done(&machine, &direct, CommandOutcome::NotExecuted);
    worker.execute_commands(token, &answer);
    assert!(order(&mut cluster.leader, 1.6).is_none(), "it was started");
    cluster.cancel("wk-000001");
    let crossing = Heartbeat {
        tasks: Vec::new(),
        ..worker.next_heartbeat()
    };
    cluster
        .leader
        .take_heartbeat("n2", &crossing, &[], 2.0)
        .unwrap();
    assert_eq!(stops(&cluster.leader.heartbeat_commands(&crossing, 2.0)), 1);
    assert_eq!(cluster.leader.placements_held().len(), 1);
    cluster.leader.audit().unwrap();
}

/// Tasks placed together share an attempt, and may stand in two ledger entries, so that
/// two direct commands with it are on their way. The answer to one was taken for both:
/// the other's task was given up while its start could still arrive.
#[test]
fn the_outcome_of_one_direct_command_does_not_settle_another_of_the_same_attempt() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.submit(&job("wk-000001", 2), 1.0);
    cluster.leader.place_pending(1.0);
    cluster.write_all();
    let (machine, both) = order(&mut cluster.leader, 1.1).unwrap();
    assert_eq!(both.commands.len(), 2);
    let [first, second] = [0, 1].map(|n| DirectCommands {
        commands: vec![both.commands[n].clone()],
        ..both.clone()
    });
    // The second is executed, exits at once and is reported; the first is held up.
    worker.execute_commands(second.fencing_token, &second.commands);
    cluster
        .leader
        .direct_commands_done(&machine, &second, CommandOutcome::Executed);
    worker.tasks[0].exit = Some(ExitCause::Done);
    cluster.cancel("wk-000001");
    for n in 0..6 {
        let heartbeat = worker.next_heartbeat();
        let now = 2.0 + f64::from(n);
        let token = cluster
            .leader
            .take_heartbeat("n1", &heartbeat, &[], now)
            .unwrap();
        let answer = cluster.leader.heartbeat_commands(&heartbeat, now);
        worker.execute_commands(token, &answer);
    }
    assert_eq!(
        cluster.leader.placements_held().len(),
        1,
        "its start may still arrive"
    );
    // Its outcome is unknown: a new token fences it.
    cluster
        .leader
        .direct_commands_done(&machine, &first, CommandOutcome::Unknown);
    for n in 0..3 {
        cluster.heartbeat(&mut worker, "n1", 9.0 + f64::from(n));
    }
    assert!(
        worker.fencing_token > first.fencing_token && cluster.leader.placements_held().is_empty()
    );
    cluster.leader.audit().unwrap();
}

/// The cancellation comes before the start, or between the start and its answer, with
/// each outcome of the start: nothing runs on, and nothing is counted for good.
#[test]
fn a_cancellation_between_ledger_write_start_and_answer_leaves_nothing_running() {
    for outcome in [
        CommandOutcome::Executed,
        CommandOutcome::NotExecuted,
        CommandOutcome::Unknown,
    ] {
        for late in [false, true] {
            for cancel_first in [false, true] {
                let (mut cluster, mut worker) = placed();
                if cancel_first {
                    cluster.cancel("wk-000001");
                }
                let direct = order(&mut cluster.leader, 1.1);
                assert_eq!(direct.is_none(), cancel_first, "no start after its cancel");
                if !cancel_first {
                    cluster.cancel("wk-000001");
                }
                let reaches = outcome == CommandOutcome::Executed
                    || outcome == CommandOutcome::Unknown && !late;
                if let Some((machine, orders)) = &direct {
                    if reaches {
                        worker.execute_commands(orders.fencing_token, &orders.commands);
                    }
                    cluster
                        .leader
                        .direct_commands_done(machine, orders, outcome);
                }
                for n in 0..4 {
                    cluster.heartbeat(&mut worker, "n1", 2.0 + f64::from(n));
                }
                if let Some((_, orders)) = &direct
                    && outcome == CommandOutcome::Unknown
                {
                    assert!(
                        worker.fencing_token > orders.fencing_token,
                        "what may come late is fenced"
                    );
                }
                let case = (outcome, late, cancel_first);
                assert_eq!(
                    (worker.running(), cluster.leader.placements_held().len()),
                    (0, 0),
                    "{case:?}"
                );
                cluster.leader.audit().unwrap();
            }
        }
    }
}

/// Also on a machine whose newest heartbeat is of another incarnation than the
/// placement: until the stop is heard the shard lease is not extended.
#[test]
fn work_of_an_ended_job_is_stopped_whatever_incarnation_it_was_placed_in() {
    let mut cluster = TestCluster::new();
    let mut former = Worker::new("vm-1");
    former.incarnation = 5;
    cluster.heartbeat(&mut former, "n1", 1.0);
    let copy = former.next_heartbeat();
    // The worker restarted, and a job runs there.
    cluster.fail_over(2, 10.0);
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 1), 10.0);
    cluster.heartbeat(&mut worker, "n1", 11.0);
    cluster.heartbeat(&mut worker, "n1", 12.0);
    assert_eq!(worker.running(), 1);
    cluster.store.cancel("wk-000001");
    // The next leader hears the copy first.
    cluster.fail_over(3, 20.0);
    cluster
        .leader
        .take_heartbeat("n2", &copy, &[], 21.0)
        .unwrap();
    assert_eq!(
        stops(&cluster.leader.heartbeat_commands(&copy, 21.0)),
        1,
        "nothing is renewed by it"
    );
    assert!(cluster.leader.extend_shard("n2", 21.1).is_empty());
}

/// A worker restarted within a leader's term, and the next leader recovers what was
/// placed there since. A copy of a heartbeat from before the restart shows a token of
/// the same term, which was taken for proof.
#[test]
fn a_heartbeat_from_before_a_worker_restart_in_the_same_term_frees_nothing() {
    let mut cluster = TestCluster::new();
    let mut former = Worker::new("vm-1");
    former.incarnation = 5;
    cluster.heartbeat(&mut former, "n1", 1.0);
    cluster.heartbeat(&mut former, "n1", 2.0);
    let copy = former.next_heartbeat();
    assert!(copy.fencing_token > 0);
    // As far as the ledger tells this is the same leader, which took the machine back in
    // incarnation 1: another one with its term and its entries.
    let mut worker = Worker::new("vm-1");
    cluster.fail_over(1, 3.0);
    for _ in 0..5 {
        let other = Worker::new("vm-9").next_heartbeat();
        cluster.leader.take_heartbeat("n9", &other, &[], 3.0);
        cluster.heartbeat(&mut Worker::new("vm-8"), "n1", 3.0);
    }
    for n in 0..4 {
        // Many moves use up tokens, so that later attempts have higher numbers.
        cluster.heartbeat(&mut worker, ["n1", "n2"][n % 2], 4.0 + n as f64);
    }
    cluster.submit(&job("wk-000001", 8), 9.0);
    cluster.heartbeat(&mut worker, "n2", 9.0);
    cluster.heartbeat(&mut worker, "n2", 10.0);
    let running = worker.running();
    assert!(running > 0);
    let mut next = cluster.store.elect(2, 20.0);
    next.take_heartbeat("n1", &copy, &[], 21.0);
    assert_eq!(
        placements_on(&next, "vm-1"),
        running,
        "its tasks may run on"
    );
}

/// It arrives after the worker has seen a token of the new leader, and is rejected; or
/// before, and is the task that the ledger names there. The task runs once, and its
/// cancellation reaches it.
#[test]
fn a_late_command_of_a_deposed_leader_is_fenced_or_runs_the_recovered_placement() {
    for heard in [false, true] {
        let (mut cluster, mut worker) = placed();
        let (_, held_up) = order(&mut cluster.leader, 1.1).unwrap();
        cluster.fail_over(2, 3.0);
        let mut other = Worker::new("vm-2");
        if heard {
            cluster.heartbeat(&mut worker, "n2", 4.0);
        }
        let arrives = held_up.fencing_token >= worker.fencing_token
            && held_up.incarnation == worker.incarnation;
        assert_ne!(arrives, heard, "fenced once the new token was seen");
        if arrives {
            worker.execute_commands(held_up.fencing_token, &held_up.commands);
        }
        for n in 5..9 {
            let now = f64::from(n);
            cluster.heartbeat(&mut other, "n1", now);
            cluster.heartbeat(&mut worker, "n2", now);
            assert!(worker.running() + other.running() <= 1, "at {now}");
        }
        assert_eq!(worker.running() + other.running(), 1);
        cluster.cancel("wk-000001");
        for now in [9.0, 10.0] {
            cluster.heartbeat(&mut other, "n1", now);
            cluster.heartbeat(&mut worker, "n2", now);
        }
        assert_eq!(worker.running() + other.running(), 0);
        assert!(cluster.leader.placements_held().is_empty());
        cluster.leader.audit().unwrap();
    }
}
