//! No start is sent for a job that the leader knows to be cancelled, wherever the start
//! stood when the cancellation came: planned, being written, in doubt, written,
//! rejected by the machine, lost with its response, or recovered.

mod common;

use cherrywood_control::leader::{CommandOutcome, LedgerBatch, WriteOutcome};
use cherrywood_wire::agent::Command;
use common::*;

const JOB: &str = "wk-000001";

/// Where the start stands when its job is cancelled.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stand {
    Waiting,
    Planned,
    Writing,
    Doubt,
    Refused,
    Written,
    /// Sent straight to the machine, which was of another incarnation or had seen a newer token.
    TurnedAway,
    /// Sent straight to the machine, without an answer.
    Unanswered,
    /// In a response that was lost.
    AnswerLost,
    /// Written by the last leader.
    Inherited,
}

const STANDS: [Stand; 10] = [
    Stand::Waiting,
    Stand::Planned,
    Stand::Writing,
    Stand::Doubt,
    Stand::Refused,
    Stand::Written,
    Stand::TurnedAway,
    Stand::Unanswered,
    Stand::AnswerLost,
    Stand::Inherited,
];

/// Fills the team's limit with a job whose start stands so; returns a write that may still be
/// under way.
fn brought_to(stand: Stand, worker: &mut Worker) -> (TestCluster, Option<LedgerBatch>) {
    let mut cluster = TestCluster::new();
    let report = worker.next_heartbeat();
    cluster.leader.take_heartbeat("n", &report, &[], 1.0);
    cluster.submit(&job(JOB, 8), 1.0);
    if stand == Stand::Waiting {
        return (cluster, None);
    }
    cluster.leader.place_pending(1.0);
    if stand == Stand::Planned {
        return (cluster, None);
    }
    let batch = cluster.leader.ledger_batch().unwrap();
    if stand == Stand::Writing {
        cluster.store.apply(&batch.txn);
        return (cluster, Some(batch));
    }
    let outcome = match stand {
        Stand::Refused => WriteOutcome::Refused,
        _ => cluster.store.apply(&batch.txn),
    };
    let told = if stand == Stand::Doubt {
        WriteOutcome::Unknown
    } else {
        outcome
    };
    cluster.leader.ledger_batch_done(batch, &told);
    let outcome = match stand {
        Stand::TurnedAway => CommandOutcome::NotExecuted,
        Stand::Unanswered => CommandOutcome::Unknown,
        Stand::AnswerLost => {
            cluster
                .leader
                .take_heartbeat("n", &worker.next_heartbeat(), &[], 1.5);
            let last = worker.next_heartbeat();
            cluster.leader.take_heartbeat("n", &last, &[], 2.0);
            let commands = cluster.leader.heartbeat_commands(&last, 2.0);
            assert!(commands.iter().any(starts));
            return (cluster, None);
        }
        Stand::Inherited => {
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

fn assert_none(commands: &[Command], stand: Stand, now: f64) {
    assert!(!commands.iter().any(starts), "{stand:?}: started at {now}");
}

#[test]
fn no_start_is_sent_for_a_job_that_is_known_to_be_cancelled() {
    for stand in STANDS {
        let mut worker = Worker::new("vm-1");
        let (mut cluster, under_way) = brought_to(stand, &mut worker);
        cluster.cancel(JOB);
        if let Some(batch) = under_way {
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
                assert_none(&due.commands.commands, stand, now);
                worker.execute_commands(due.commands.fencing_token, &due.commands.commands);
            }
            let report = worker.next_heartbeat();
            let token = cluster
                .leader
                .take_heartbeat("n", &report, &[], now)
                .unwrap();
            let commands = cluster.leader.heartbeat_commands(&report, now);
            assert_none(&commands, stand, now);
            worker.execute_commands(token, &commands);
            cluster.leader.audit().unwrap();
        }
        // Nothing of it counts any more: the next job runs in its place.
        assert!(
            cluster
                .leader
                .placements_held()
                .iter()
                .all(|(_, task, _)| !task.starts_with(JOB)),
            "{stand:?}"
        );
        assert_eq!(worker.running(), 4, "{stand:?}");
    }
}
