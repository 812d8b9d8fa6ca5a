//! Recovery of placements from the ledger: a new leader holds every task that may be running.

mod common;

use cherrywood_control::settings::{NextLimits, Settings};
use cherrywood_control::{Leader, keys};
use cherrywood_wire::agent::ExitCause;
use cherrywood_wire::records::{
    LoggedJob, LoggedMachineClass, LoggedPlacement, PlacementLogRecord, StoredRecord,
};
use cherrywood_wire::user::Submission;
use common::*;
use std::collections::BTreeSet;

/// Sizes (bytes) of a value with which transactions fill up at different groups.
const VALUE_BYTES: std::ops::Range<usize> = 512..1_536;
/// CPUs of the tasks beside which the two of the divided job are placed.
const SMALL_TASK_CPUS: f64 = 0.1;
/// The attempt of the placement in the ledger entries that tests construct.
const ATTEMPT: u64 = (1 << 32) + 7;
/// Small jobs that use all CPUs that the first task of the divided job leaves.
const SMALL_JOBS: usize = 10;

/// Settings under which a transaction holds one ledger entry of at most `value_bytes`.
fn one_small_entry_per_transaction_settings(value_bytes: usize) -> Settings {
    let mut settings = settings();
    settings.state.next = Some(NextLimits {
        value_kb: Some(value_bytes as f64 / 1024.0),
        txn_ops: Some(2),
        ..NextLimits::default()
    });
    settings
}

fn wide_job_of(id: &str, tasks: u32, cpus: f64) -> Submission {
    Submission {
        cpus,
        ..wide_job(id, tasks)
    }
}

/// Machine, task and attempt of each running task, in the form of `Leader::placements_held`.
fn running_on(worker: &Worker) -> BTreeSet<(String, String, u64)> {
    let running = worker.tasks.iter().filter(|task| task.is_running());
    running
        .map(|task| (worker.name.clone(), task.task.clone(), task.attempt))
        .collect()
}

/// Places a job's two tasks on one machine as two groups, with small jobs between them.
fn place_a_divided_job(cluster: &mut TestCluster, worker: &mut Worker) {
    cluster.submit(&wide_job_of("wk-000001", 1, 5.0), 0.0);
    cluster.heartbeat(worker, "n1", 1.0);
    cluster.heartbeat(worker, "n1", 2.0);
    assert_eq!(worker.running(), 1, "room for one task of the next job");
    cluster.submit(&wide_job_of("wk-000002", 2, 2.0), 3.0);
    cluster.leader.place_pending(3.0);
    for id in 0..SMALL_JOBS {
        let id = format!("wk-{:06}", 100 + id);
        cluster.submit(&wide_job_of(&id, 1, SMALL_TASK_CPUS), 3.0);
    }
    cluster.leader.place_pending(3.0);
    worker.tasks[0].exit = Some(ExitCause::Done);
    let heartbeat = worker.next_heartbeat();
    cluster.leader.take_heartbeat("n1", &heartbeat, &[], 4.0);
    cluster.leader.place_pending(4.0);
}

#[test]
fn a_task_placed_as_its_transaction_fills_up_is_not_taken_for_freed_after_a_failover() {
    for value_bytes in VALUE_BYTES {
        let settings = one_small_entry_per_transaction_settings(value_bytes);
        let mut store = Store::default();
        let leader = store.elect_with(settings.clone(), 1, 0.0);
        let mut cluster = TestCluster { store, leader };
        let mut worker = Worker::new("vm-1");
        place_a_divided_job(&mut cluster, &mut worker);
        cluster.write_all();
        cluster.heartbeat(&mut worker, "n1", 5.0);
        let running = running_on(&worker);
        assert_eq!(running.len(), 2 + SMALL_JOBS);
        let recovered = cluster.store.elect_with(settings, 2, 6.0);
        let lost = &running - &recovered.placements_held();
        assert!(lost.is_empty(), "values of {value_bytes} bytes: {lost:?}");
    }
}

/// A ledger entry with one placement of task 0 under `ATTEMPT` if `is_placed`, and with these
/// freed marks.
fn entry(is_placed: bool, freed: &[(u64, u32)]) -> StoredRecord {
    let placement = LoggedPlacement("vm-1".into(), 0, 1, 0, ATTEMPT, 0, 1);
    StoredRecord::PlacementLog(PlacementLogRecord {
        jobs: vec![LoggedJob {
            id: "wk-000001".into(),
            team: "t".into(),
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 1.0,
        }],
        machine_classes: vec![LoggedMachineClass {
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: true,
        }],
        placements: is_placed.then_some(placement).into_iter().collect(),
        freed: freed.to_vec(),
    })
}

/// A leader that recovers from these ledger entries and the record of the placement's job.
fn recovered_from(entries: impl IntoIterator<Item = StoredRecord>) -> Leader {
    let mut store = Store::default();
    store.accept(&job("wk-000001", 1));
    for (number, entry) in (1..).zip(entries) {
        store.put(&keys::ledger(number), entry);
    }
    store.elect(2, 0.0)
}

/// Whether the task is placed; asserts that it is queued otherwise.
fn is_placed(leader: &Leader) -> bool {
    let placed = !leader.placements_held().is_empty();
    let queued = leader.queue_lengths().iter().sum::<u32>() > 0;
    assert_ne!(placed, queued, "a task is either placed or queued");
    placed
}

#[test]
fn a_freed_mark_frees_what_older_entries_hold() {
    let freed = [(ATTEMPT, 0)];
    assert!(!is_placed(&recovered_from([
        entry(true, &[]),
        entry(false, &freed)
    ])));
    assert!(!is_placed(&recovered_from([
        entry(true, &[]),
        entry(true, &[]),
        entry(false, &freed)
    ])));
}

#[test]
fn a_freed_mark_does_not_hide_a_placement_that_is_written_again() {
    let freed = [(ATTEMPT, 0)];
    assert!(is_placed(&recovered_from([
        entry(true, &[]),
        entry(false, &freed),
        entry(true, &[])
    ])));
    assert!(is_placed(&recovered_from([
        entry(true, &[]),
        entry(true, &freed)
    ])));
}

#[test]
fn a_ledger_entry_without_the_job_or_machine_class_of_a_placement_fails_the_recovery() {
    for without_job in [true, false] {
        let mut store = Store::default();
        store.accept(&job("wk-000001", 1));
        let StoredRecord::PlacementLog(mut record) = entry(true, &[]) else {
            unreachable!("an entry of the ledger");
        };
        if without_job {
            record.jobs.clear();
        } else {
            record.machine_classes.clear();
        }
        store.put(&keys::ledger(1), StoredRecord::PlacementLog(record));
        let state = store.recovered_state(0.0, 0.0);
        let error = Leader::new(2, 1, settings(), machine_types(), state, 0.0).unwrap_err();
        assert_eq!((error.entry, error.machine.as_str()), (1, "vm-1"));
    }
}
