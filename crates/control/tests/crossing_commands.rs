//! Starts, stops and forgets that cross one another in transit, and heartbeats of another
//! incarnation than the placements of their machine.

mod common;

use cherrywood_control::Leader;
use cherrywood_control::leader::CommandOutcome;
use cherrywood_wire::agent::{Command, DirectCommands, ExitCause, Heartbeat};
use common::*;

/// Returns the only due direct commands of the leader, with their machine.
fn direct_commands(leader: &mut Leader, now: f64) -> Option<(String, DirectCommands)> {
    let mut all = leader.due_direct_commands(now).into_values().flatten();
    let due = all.next().map(|due| (due.machine, due.commands));
    assert!(all.next().is_none(), "at most one is due");
    due
}

fn count_stops(commands: &[Command]) -> usize {
    let stop = |c: &&Command| matches!(c, Command::Stop { .. });
    commands.iter().filter(stop).count()
}

/// A cluster with one machine and a job of one task that is in the ledger and not yet started.
fn cluster_with_placement() -> (TestCluster, Worker) {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.submit(&job("wk-000001", 1), 1.0);
    cluster.leader.place_pending(1.0);
    cluster.write_all();
    assert_eq!(cluster.leader.placements_held().len(), 1);
    (cluster, worker)
}

/// The response to a heartbeat carries a start while a direct start of the same attempt is in
/// transit, which the worker rejects for its older token. If the placement were then taken for
/// never started, no stop would follow the cancellation of its job.
#[test]
fn a_start_sent_in_a_response_counts_as_sent_although_the_direct_one_was_rejected() {
    let (mut cluster, mut worker) = cluster_with_placement();
    let (machine, direct) = direct_commands(&mut cluster.leader, 1.1).unwrap();
    // The worker moves to another controller, whose response has a newer token.
    let heartbeat = worker.next_heartbeat();
    let token = cluster
        .leader
        .take_heartbeat("n2", &heartbeat, &[], 1.5)
        .unwrap();
    let commands = cluster.leader.heartbeat_commands(&heartbeat, 1.5);
    assert!(
        matches!(commands[..], [Command::Start { .. }]),
        "{commands:?}"
    );
    // The worker's next heartbeat crosses that response; the direct start is rejected.
    cluster
        .leader
        .direct_commands_done(&machine, &direct, CommandOutcome::NotExecuted);
    worker.execute_commands(token, &commands);
    assert!(
        direct_commands(&mut cluster.leader, 1.6).is_none(),
        "the task was started"
    );
    cluster.cancel("wk-000001");
    let crossing = Heartbeat {
        tasks: Vec::new(),
        ..worker.next_heartbeat()
    };
    cluster
        .leader
        .take_heartbeat("n2", &crossing, &[], 2.0)
        .unwrap();
    assert_eq!(
        count_stops(&cluster.leader.heartbeat_commands(&crossing, 2.0)),
        1
    );
    assert_eq!(cluster.leader.placements_held().len(), 1);
    cluster.leader.audit().unwrap();
}

/// Tasks placed together share an attempt number and may be in two ledger entries, so that two
/// direct commands with it are in transit. If the outcome of one were taken for both, the task of
/// the other would be given up while its start could still arrive.
#[test]
fn the_outcome_of_one_direct_command_does_not_settle_another_of_the_same_attempt() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.submit(&job("wk-000001", 2), 1.0);
    cluster.leader.place_pending(1.0);
    cluster.write_all();
    let (machine, both) = direct_commands(&mut cluster.leader, 1.1).unwrap();
    assert_eq!(both.commands.len(), 2);
    let [first, second] = [0, 1].map(|n| DirectCommands {
        commands: vec![both.commands[n].clone()],
        ..both.clone()
    });
    // The second start is executed, and its task exits at once and is in the next heartbeat; the
    // first start is delayed.
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
        let commands = cluster.leader.heartbeat_commands(&heartbeat, now);
        worker.execute_commands(token, &commands);
    }
    assert_eq!(
        cluster.leader.placements_held().len(),
        1,
        "the start may still arrive"
    );
    // The outcome of the first start is unknown, so a new token fences it.
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

/// The cancellation arrives before the start, or between the start and its response, with each
/// outcome of the start. No task runs on, and no placement is left.
#[test]
fn a_cancellation_between_ledger_write_start_and_response_leaves_nothing_running() {
    for outcome in [
        CommandOutcome::Executed,
        CommandOutcome::NotExecuted,
        CommandOutcome::Unknown,
    ] {
        for late in [false, true] {
            for cancel_first in [false, true] {
                let (mut cluster, mut worker) = cluster_with_placement();
                if cancel_first {
                    cluster.cancel("wk-000001");
                }
                let direct = direct_commands(&mut cluster.leader, 1.1);
                assert_eq!(
                    direct.is_none(),
                    cancel_first,
                    "no start after the cancellation"
                );
                if !cancel_first {
                    cluster.cancel("wk-000001");
                }
                let reaches = outcome == CommandOutcome::Executed
                    || outcome == CommandOutcome::Unknown && !late;
                if let Some((machine, direct_commands_sent)) = &direct {
                    if reaches {
                        worker.execute_commands(
                            direct_commands_sent.fencing_token,
                            &direct_commands_sent.commands,
                        );
                    }
                    cluster
                        .leader
                        .direct_commands_done(machine, direct_commands_sent, outcome);
                }
                for n in 0..4 {
                    cluster.heartbeat(&mut worker, "n1", 2.0 + f64::from(n));
                }
                if let Some((_, direct_commands_sent)) = &direct
                    && outcome == CommandOutcome::Unknown
                {
                    assert!(
                        worker.fencing_token > direct_commands_sent.fencing_token,
                        "a start that may arrive late is fenced"
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

/// Work of an ended job is stopped also on a machine whose newest heartbeat is of another
/// incarnation than the placement: the shard lease is not extended before the stop is acknowledged.
#[test]
fn work_of_an_ended_job_is_stopped_whatever_incarnation_it_was_placed_in() {
    let mut cluster = TestCluster::new();
    let mut former = Worker::new("vm-1");
    former.incarnation = 5;
    cluster.heartbeat(&mut former, "n1", 1.0);
    let copy = former.next_heartbeat();
    // The worker has restarted, and a job runs on it.
    cluster.fail_over(2, 10.0);
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 1), 10.0);
    cluster.heartbeat(&mut worker, "n1", 11.0);
    cluster.heartbeat(&mut worker, "n1", 12.0);
    assert_eq!(worker.running(), 1);
    cluster.store.cancel("wk-000001");
    // The first heartbeat that the next leader takes is the copy.
    cluster.fail_over(3, 20.0);
    cluster
        .leader
        .take_heartbeat("n2", &copy, &[], 21.0)
        .unwrap();
    assert_eq!(
        count_stops(&cluster.leader.heartbeat_commands(&copy, 21.0)),
        1,
        "the heartbeat renews no shard lease"
    );
    assert!(cluster.leader.extend_shard("n2", 21.1).is_empty());
}

/// A worker restarts within a leader's term, and the next leader recovers the placements made on
/// it since. A copy of a heartbeat from before the restart shows a token of the same term, which
/// must not be taken for proof that the tasks are gone.
#[test]
fn a_heartbeat_from_before_a_worker_restart_in_the_same_term_frees_nothing() {
    let mut cluster = TestCluster::new();
    let mut former = Worker::new("vm-1");
    former.incarnation = 5;
    cluster.heartbeat(&mut former, "n1", 1.0);
    cluster.heartbeat(&mut former, "n1", 2.0);
    let copy = former.next_heartbeat();
    assert!(copy.fencing_token > 0);
    // According to the ledger this is the same leader, which accepted the machine again in
    // incarnation 1; it is another leader with the same term and entries.
    let mut worker = Worker::new("vm-1");
    cluster.fail_over(1, 3.0);
    for _ in 0..5 {
        let other = Worker::new("vm-9").next_heartbeat();
        cluster.leader.take_heartbeat("n9", &other, &[], 3.0);
        cluster.heartbeat(&mut Worker::new("vm-8"), "n1", 3.0);
    }
    for n in 0..4 {
        // Each move to another controller uses a token, so that later attempts have higher numbers.
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
        "the tasks may be running"
    );
}

/// The late command arrives after the worker has seen a token of the new leader, and is rejected,
/// or before, and starts the task that the ledger places there. The task runs once, and its
/// cancellation stops it.
#[test]
fn a_late_command_of_a_deposed_leader_is_fenced_or_runs_the_recovered_placement() {
    for heard in [false, true] {
        let (mut cluster, mut worker) = cluster_with_placement();
        let (_, held_up) = direct_commands(&mut cluster.leader, 1.1).unwrap();
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
