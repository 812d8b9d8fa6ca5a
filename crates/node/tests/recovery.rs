//! Records that a controller must be able to read before it leads.

mod common;

use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_node::background;
use cherrywood_wire::agent::{Command, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};
use cherrywood_wire::records::{
    LoggedJob, LoggedMachineClass, LoggedPlacement, PlacementLogRecord, StoredRecord, TermRecord,
};
use cherrywood_wire::{decode, encode};
use common::*;
use std::time::Duration;

/// Seconds within which a controller without a competitor leads, including its pause after a
/// failed recovery.
const ELECTED_WITHIN_S: f64 = 5.0 + 2.0 * limits::UNREADABLE_STATE_PAUSE_S;
/// Recoveries that are observed while a ledger entry can't be read.
const RECOVERIES: usize = 3;

fn leads(cluster: &TestCluster) -> bool {
    cluster.node.lock_state().term.leader.is_some()
}

#[test]
fn controller_does_not_lead_while_it_cannot_read_a_ledger_entry() {
    run(async {
        let cluster = TestCluster::single().await;
        let damaged = keys::ledger((1 << 32) + 1);
        let other_kind = StoredRecord::Term(TermRecord { last_term: 1 });
        cluster.put_record(&damaged, other_kind).await;
        background::start(&cluster.node);
        let recoveries = || cluster.store_faults.count_of("/keys?starts=w/");
        let mut has_led = false;
        let recovered_often = eventually(ELECTED_WITHIN_S, || {
            has_led |= leads(&cluster);
            recoveries() >= RECOVERIES
        });
        assert!(recovered_often.await || has_led, "it is elected repeatedly");
        assert!(!has_led, "tasks of the unreadable entry may run");
        cluster.delete_record(&damaged).await;
        assert!(eventually(ELECTED_WITHIN_S, || leads(&cluster)).await);
    });
}

const MACHINE: &str = "vm-000001";
const JOB: &str = "wk-000001";
const ATTEMPT: u64 = 1;
/// Heartbeats, each with a response, that are observed.
const HEARTBEATS: u64 = 3;
/// Heartbeats, each with a response, 0.1 s apart, within which a stop arrives after a
/// cancellation.
const HEARTBEATS_UNTIL_STOPPED: u64 = 20;

/// A ledger entry that places the only task of [`JOB`] on [`MACHINE`].
fn ledger_entry() -> PlacementLogRecord {
    PlacementLogRecord {
        jobs: vec![LoggedJob {
            id: JOB.into(),
            team: "t".into(),
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 1.0,
        }],
        machine_classes: vec![LoggedMachineClass {
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: false,
        }],
        placements: vec![LoggedPlacement(MACHINE.into(), 0, 1, 0, ATTEMPT, 0, 1)],
        freed: Vec::new(),
    }
}

/// A heartbeat of [`MACHINE`], on which the task of [`JOB`] runs.
fn heartbeat(sequence: u64, fencing_token: u64) -> Heartbeat {
    Heartbeat {
        machine: MACHINE.into(),
        address: "127.0.0.1:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token,
        spot_notice_s: None,
        tasks: vec![TaskStatus {
            task: format!("{JOB}/0"),
            attempt: ATTEMPT,
            state: TaskState::Running,
            exit_cause: None,
            checkpoint_saved: None,
        }],
    }
}

/// A worker on which the task runs, and which sends heartbeats to the cluster.
struct ReportingWorker<'a> {
    cluster: &'a TestCluster,
    sequence: u64,
    fencing_token: u64,
}

impl<'a> ReportingWorker<'a> {
    fn new(cluster: &'a TestCluster) -> Self {
        ReportingWorker {
            cluster,
            sequence: 0,
            fencing_token: 0,
        }
    }

    /// Sends the next heartbeat and returns the commands in its response.
    async fn next_commands(&mut self) -> Vec<Command> {
        tokio::time::sleep(Duration::from_millis(100)).await;
        self.sequence += 1;
        let body = encode(&heartbeat(self.sequence, self.fencing_token));
        let response = self.cluster.post("/agent/beat", body).await;
        assert_eq!(response.status, 200, "heartbeat {}", self.sequence);
        let response: HeartbeatResponse = decode(&response.body).unwrap();
        self.fencing_token = response.fencing_token;
        response.commands
    }
}

/// A cluster whose leader has recovered the placement of a job whose record it can't read.
async fn cluster_with_unreadable_job() -> TestCluster {
    let cluster = TestCluster::single().await;
    let entry = StoredRecord::PlacementLog(ledger_entry());
    let ledger_key = keys::ledger((1 << 32) + 1);
    cluster.put_record(&ledger_key, entry).await;
    let other_kind = StoredRecord::Term(TermRecord { last_term: 1 });
    cluster.put_record(&keys::job(JOB), other_kind).await;
    background::start(&cluster.node);
    assert!(eventually(ELECTED_WITHIN_S, || leads(&cluster)).await);
    cluster
}

fn is_stop(command: &Command) -> bool {
    matches!(command, Command::Stop { .. })
}

/// Guards against a controller that takes an accepted job whose record it can't read for a job that
/// is over.
#[test]
fn tasks_of_a_job_whose_record_cannot_be_read_are_not_stopped() {
    run(async {
        let cluster = cluster_with_unreadable_job().await;
        let status = cluster.query(JOB).await.0;
        assert_eq!(status, 200, "the user is told that the job is live");
        let mut worker = ReportingWorker::new(&cluster);
        for _ in 0..HEARTBEATS {
            let commands = worker.next_commands().await;
            assert!(!commands.iter().any(is_stop), "{commands:?}");
        }
    });
}

/// Tasks of a job whose record can't be read keep running, but must stop when the user cancels
/// the job.
#[test]
fn tasks_of_a_cancelled_job_whose_record_cannot_be_read_are_stopped() {
    run(async {
        let cluster = cluster_with_unreadable_job().await;
        let mut worker = ReportingWorker::new(&cluster);
        worker.next_commands().await;
        assert_eq!(cluster.cancel(JOB).await, 200);
        let mut stopped = false;
        for _ in 0..HEARTBEATS_UNTIL_STOPPED {
            stopped |= worker.next_commands().await.iter().any(is_stop);
        }
        assert!(stopped);
    });
}
