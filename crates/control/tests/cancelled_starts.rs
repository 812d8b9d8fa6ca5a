//! No start is sent for a job that the leader knows to be cancelled, whatever the state of the
//! start at the cancellation: planned, being written, in doubt, written, rejected by the machine,
//! lost with its response, or recovered.

mod common;

use cherrywood_control::leader::{CommandOutcome, LedgerBatch, WriteOutcome};
use cherrywood_wire::agent::Command;
use common::*;

const JOB: &str = "wk-000001";

/// State of the start when its job is cancelled.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StartState {
    Waiting,
    Planned,
    Writing,
    InDoubt,
    Refused,
    Written,
    /// Sent as a direct command and rejected: the worker had another incarnation or had seen a
    /// newer token.
    Rejected,
    /// Sent as a direct command without a response.
    Unanswered,
    /// Sent in a response that was lost.
    ResponseLost,
    /// Written by the previous leader.
    Recovered,
}

const START_STATES: [StartState; 10] = [
    StartState::Waiting,
    StartState::Planned,
    StartState::Writing,
    StartState::InDoubt,
    StartState::Refused,
    StartState::Written,
    StartState::Rejected,
    StartState::Unanswered,
    StartState::ResponseLost,
    StartState::Recovered,
];

/// Fills the team's quota with a job whose start is in this state; returns the cluster and the
/// ledger transaction that is still being written, if any.
fn cluster_in(start_state: StartState, worker: &mut Worker) -> (TestCluster, Option<LedgerBatch>) {
    let mut cluster = TestCluster::new();
    let heartbeat = worker.next_heartbeat();
    cluster.leader.take_heartbeat("n", &heartbeat, &[], 1.0);
    cluster.submit(&job(JOB, 8), 1.0);
    if start_state == StartState::Waiting {
        return (cluster, None);
    }
    cluster.leader.place_pending(1.0);
    if start_state == StartState::Planned {
        return (cluster, None);
    }
    let batch = cluster.leader.ledger_batch().unwrap();
    if start_state == StartState::Writing {
        cluster.store.apply(&batch.txn);
        return (cluster, Some(batch));
    }
    let outcome = match start_state {
        StartState::Refused => WriteOutcome::Refused,
        _ => cluster.store.apply(&batch.txn),
    };
    let reported = if start_state == StartState::InDoubt {
        WriteOutcome::Unknown
    } else {
        outcome
    };
    cluster.leader.ledger_batch_done(batch, &reported);
    let outcome = match start_state {
        StartState::Rejected => CommandOutcome::NotExecuted,
        StartState::Unanswered => CommandOutcome::Unknown,
        StartState::ResponseLost => {
            cluster
                .leader
                .take_heartbeat("n", &worker.next_heartbeat(), &[], 1.5);
            let last_heartbeat = worker.next_heartbeat();
            cluster
                .leader
                .take_heartbeat("n", &last_heartbeat, &[], 2.0);
            let commands = cluster.leader.heartbeat_commands(&last_heartbeat, 2.0);
            assert!(commands.iter().any(starts));
            return (cluster, None);
        }
        StartState::Recovered => {
            cluster.fail_over(2, 2.0);
            return (cluster, None);
        }
        _ => return (cluster, None),
    };
    for due in cluster
        .leader
        .due_direct_commands(1.5)
        .into_values()
        .flatten()
    {
        assert!(due.commands.commands.iter().any(starts));
        cluster
            .leader
            .direct_commands_done(&due.machine, &due.commands, outcome);
    }
    (cluster, None)
}

fn starts(command: &Command) -> bool {
    matches!(command, Command::Start { task, .. } if task.starts_with(JOB))
}

fn assert_no_start(commands: &[Command], start_state: StartState, now: f64) {
    assert!(
        !commands.iter().any(starts),
        "{start_state:?}: started at {now}"
    );
}

#[test]
fn no_start_is_sent_for_a_job_that_is_known_to_be_cancelled() {
    for start_state in START_STATES {
        let mut worker = Worker::new("vm-1");
        let (mut cluster, batch_in_flight) = cluster_in(start_state, &mut worker);
        cluster.cancel(JOB);
        if let Some(batch) = batch_in_flight {
            cluster
                .leader
                .ledger_batch_done(batch, &WriteOutcome::Applied(cluster.store.revision));
        }
        cluster.reread();
        cluster.submit(&job("wk-000002", 4), 2.5);
        for n in 0..12 {
            let now = 3.0 + f64::from(n) / 2.0;
            cluster.leader.place_pending(now);
            cluster.write_all_at(now);
            for due in cluster
                .leader
                .due_direct_commands(now)
                .into_values()
                .flatten()
            {
                assert_no_start(&due.commands.commands, start_state, now);
                worker.execute_commands(due.commands.fencing_token, &due.commands.commands);
            }
            let heartbeat = worker.next_heartbeat();
            let token = cluster
                .leader
                .take_heartbeat("n", &heartbeat, &[], now)
                .unwrap();
            let commands = cluster.leader.heartbeat_commands(&heartbeat, now);
            assert_no_start(&commands, start_state, now);
            worker.execute_commands(token, &commands);
            cluster.leader.audit().unwrap();
        }
        // The cancelled job no longer counts towards the quota, so the next job runs.
        assert!(
            cluster
                .leader
                .placements_held()
                .iter()
                .all(|(_, task, _)| !task.starts_with(JOB)),
            "{start_state:?}"
        );
        assert_eq!(worker.running(), 4, "{start_state:?}");
    }
}
