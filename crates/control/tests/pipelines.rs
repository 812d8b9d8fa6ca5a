//! Jobs with dependencies, and records split to fit smaller value sizes, with scripted workers and
//! a store that enforces its limits.

mod common;

use cherrywood_control::leader::{COUNTS_WITHHELD, WriteOutcome};
use cherrywood_control::{Leader, keys};
use cherrywood_limits::store_limits::{ConfiguredLimits, StoreLimits};
use cherrywood_wire::records::{JobRecord, StoredRecord};
use cherrywood_wire::user::{JobState, Priority, Submission};
use common::*;

fn job_after(id: &str, needs: &[&str]) -> Submission {
    Submission {
        dependencies: needs.iter().map(|n| (*n).to_string()).collect(),
        team: "wide".into(),
        ..job(id, 2)
    }
}

fn complete_tasks(worker: &mut Worker, id: &str) {
    let tasks = worker.tasks.iter_mut().filter(|t| t.task.starts_with(id));
    tasks.for_each(|t| t.exit = Some(cherrywood_wire::agent::ExitCause::Done));
}

fn started(worker: &Worker, id: &str) -> usize {
    worker
        .tasks
        .iter()
        .filter(|t| t.task.starts_with(id))
        .count()
}

fn exchange_heartbeats(leader: &mut Leader, store: &mut Store, worker: &mut Worker, from: f64) {
    for n in 0..4 {
        let now = from + f64::from(n);
        store.answer_job_lookups(leader, now);
        exchange_heartbeat(leader, store, worker, "n1", now);
        write_all_at(leader, store, now);
    }
}

/// Whether a job may start depends on stored records alone, not on a leader's memory. The leader
/// fails between the commit of `done` and the start, and the next one reads the final state of
/// the needed job later; nothing starts before.
#[test]
fn a_job_starts_after_its_dependencies_are_committed_as_done_across_a_failover() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut worker = Worker::new("vm-1");
    submit(&mut leader, &mut store, &job_after("wk-000001", &[]), 0.0);
    submit(
        &mut leader,
        &mut store,
        &job_after("wk-000002", &["wk-000001"]),
        0.0,
    );
    exchange_heartbeats(&mut leader, &mut store, &mut worker, 0.0);
    assert_eq!(
        (started(&worker, "wk-000001"), started(&worker, "wk-000002")),
        (2, 0)
    );
    assert_eq!(
        leader.queue_lengths(),
        vec![0, 0, 0],
        "the waiting job is in no level"
    );
    // All tasks of the needed job are done, but that isn't committed.
    complete_tasks(&mut worker, "wk-000001");
    let heartbeat = worker.next_heartbeat();
    leader.take_heartbeat("n1", &heartbeat, &[], 5.0).unwrap();
    leader.place_pending(5.0);
    assert!(leader.ledger_batch().is_none());
    let batch = leader.job_batch(true, 5.0).unwrap();
    assert!(matches!(store.apply(&batch.txn), WriteOutcome::Applied(_)));
    // The leader fails here; the next one recovers a waiting job.
    let mut leader = store.elect(2, 6.0);
    assert_eq!(leader.jobs_to_look_up(), vec!["wk-000001".to_string()]);
    exchange_heartbeat(&mut leader, &mut store, &mut worker, "n1", 7.0);
    assert_eq!(
        started(&worker, "wk-000002"),
        0,
        "the final state of the needed job is not known yet"
    );
    exchange_heartbeats(&mut leader, &mut store, &mut worker, 8.0);
    assert_eq!(started(&worker, "wk-000002"), 2);
    leader.audit().unwrap();
    // After the loss of its machine its tasks wait like those of any job.
    let mut leader = store.elect(3, 20.0);
    leader.machines_deleted(&["vm-1".into()], 21.0);
    assert_eq!(
        leader.queue_lengths().iter().sum::<u32>(),
        0,
        "until its final state is known again"
    );
    store.answer_job_lookups(&mut leader, 21.0);
    assert_eq!(leader.queue_lengths().iter().sum::<u32>(), 2);
}

/// A job is ready at once after the leader's own commit, also if the watch shows the commit
/// before the response to the transaction arrives.
#[test]
fn a_commit_makes_dependents_ready_whether_the_response_or_the_watch_is_first() {
    for watch_first in [false, true] {
        let mut store = Store::default();
        let mut leader = store.elect(1, 0.0);
        let mut worker = Worker::new("vm-1");
        submit(&mut leader, &mut store, &job_after("wk-000001", &[]), 0.0);
        submit(
            &mut leader,
            &mut store,
            &job_after("wk-000002", &["wk-000001"]),
            0.0,
        );
        exchange_heartbeats(&mut leader, &mut store, &mut worker, 0.0);
        complete_tasks(&mut worker, "wk-000001");
        leader
            .take_heartbeat("n1", &worker.next_heartbeat(), &[], 5.0)
            .unwrap();
        let batch = leader.job_batch(true, 5.0).unwrap();
        let outcome = store.apply(&batch.txn);
        if watch_first {
            leader.remove_job("wk-000001");
        }
        leader.job_batch_done(batch, &outcome, 5.0);
        assert_eq!(
            leader.queue_lengths().iter().sum::<u32>(),
            2,
            "{watch_first}"
        );
    }
}

/// A cancellation reaches all jobs that depend on the cancelled one, also those submitted later or
/// at the same time. A leader elected in the middle derives the rest anew, and the transactions
/// fit the limits. Jobs done before stay done, and unrelated jobs are unaffected.
#[test]
fn a_cancellation_reaches_all_transitive_dependents_across_a_failover() {
    let mut store = Store {
        limits: Some((2048, 16)),
        ..Store::default()
    };
    let mut leader = store.elect(1, 0.0);
    let small = StoreLimits::new(rates(32.0, 48), rates(2.0, 16));
    leader.set_store_limits(small);
    for (id, needs) in [
        ("wk-000001", &[][..]),
        ("wk-000002", &["wk-000001"]),
        ("wk-000003", &["wk-000002"]),
        ("wk-000009", &[]),
    ] {
        submit(&mut leader, &mut store, &job_after(id, needs), 0.0);
    }
    let many: Vec<String> = (0..1000).map(|n| format!("wk-1{n:05}")).collect();
    for id in &many {
        submit(&mut leader, &mut store, &job_after(id, &["wk-000001"]), 0.0);
    }
    store.cancel("wk-000001");
    leader.remove_job("wk-000001");
    store.answer_job_lookups(&mut leader, 1.0);
    let batch = leader.job_batch(true, 1.0).unwrap();
    let outcome = store.apply(&batch.txn);
    assert!(batch.has_final_states() && matches!(outcome, WriteOutcome::Applied(_)));
    // The job is reported as queued for half of `cancel_s`, and then its counts are withheld until
    // its final state is written.
    assert_eq!(leader.task_counts(&many[999], 2.0), Some((0, 0)));
    assert_eq!(leader.task_counts(&many[999], 30.0), Some(COUNTS_WITHHELD));
    // The leader fails here, in the middle of the cancellations.
    let mut leader = store.elect(2, 2.0);
    leader.set_store_limits(small);
    store.answer_job_lookups(&mut leader, 3.0);
    write_all_at(&mut leader, &mut store, 3.0);
    for id in many
        .iter()
        .map(String::as_str)
        .chain(["wk-000002", "wk-000003"])
    {
        assert_eq!(store.final_state(id), Some(JobState::Cancelled), "{id}");
    }
    assert_eq!(leader.live_job_ids(), vec!["wk-000009".to_string()]);
    // Jobs that depend on a cancelled job are submitted after its cancellation, and after the
    // leader has forgotten that.
    submit(
        &mut leader,
        &mut store,
        &job_after("wk-000004", &["wk-000003", "wk-000009"]),
        4.0,
    );
    submit(
        &mut leader,
        &mut store,
        &job_after("wk-000005", &["wk-000004"]),
        4.0,
    );
    store.answer_job_lookups(&mut leader, 5.0);
    write_all_at(&mut leader, &mut store, 5.0);
    assert_eq!(store.final_state("wk-000005"), Some(JobState::Cancelled));
    assert_eq!(store.final_state("wk-000009"), None);
}

/// The cancellation and the completion of the last task cross, and one guard decides. If `done`
/// is first, the response to the cancellation says so and the dependents run; here the
/// cancellation is first, and the dependent is cancelled.
#[test]
fn a_cancellation_written_before_done_cancels_the_dependents() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut worker = Worker::new("vm-1");
    submit(&mut leader, &mut store, &job_after("wk-000001", &[]), 0.0);
    submit(
        &mut leader,
        &mut store,
        &job_after("wk-000002", &["wk-000001"]),
        0.0,
    );
    exchange_heartbeats(&mut leader, &mut store, &mut worker, 0.0);
    complete_tasks(&mut worker, "wk-000001");
    leader
        .take_heartbeat("n1", &worker.next_heartbeat(), &[], 5.0)
        .unwrap();
    let late = leader.job_batch(true, 5.0).unwrap();
    store.cancel("wk-000001");
    let outcome = store.apply(&late.txn);
    assert!(
        matches!(outcome, WriteOutcome::Conflict(_)),
        "the cancellation was first"
    );
    leader.job_batch_done(late, &outcome, 5.0);
    reread(&mut leader, &store);
    store.answer_job_lookups(&mut leader, 6.0);
    write_all_at(&mut leader, &mut store, 6.0);
    assert_eq!(store.final_state("wk-000002"), Some(JobState::Cancelled));
}

/// While a job waits for its dependencies it uses nothing of its team's quota and no machine is
/// rented for it. Jobs that it needs have the priority and the deadline of the last job.
#[test]
fn a_waiting_job_uses_no_quota_and_its_dependencies_inherit_its_priority() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut worker = Worker::new("vm-1");
    let low = |id: &str, needs: &[&str]| Submission {
        priority: Priority::Low,
        tasks: 4,
        ..job_after(id, needs)
    };
    submit(&mut leader, &mut store, &low("wk-000001", &[]), 0.0);
    submit(
        &mut leader,
        &mut store,
        &low("wk-000002", &["wk-000001"]),
        0.0,
    );
    let last = Submission {
        priority: Priority::High,
        deadline_s: Some(100.0),
        ..job_after("wk-000003", &["wk-000002"])
    };
    submit(&mut leader, &mut store, &last, 0.0);
    // A job of normal priority is ready as well; the high-priority pipeline goes first.
    submit(
        &mut leader,
        &mut store,
        &Submission {
            tasks: 4,
            ..job_after("wk-000009", &[])
        },
        0.0,
    );
    exchange_heartbeats(&mut leader, &mut store, &mut worker, 0.0);
    assert_eq!(
        (started(&worker, "wk-000001"), started(&worker, "wk-000009")),
        (4, 0)
    );
    assert_eq!(
        leader.queue_lengths().iter().sum::<u32>(),
        4,
        "the tasks of one job only"
    );
}

/// The version in production ignores the fields of a job record that it doesn't know, and finds a
/// job that no machine type is allowed to run.
#[test]
fn the_release_in_production_reads_a_waiting_job_as_one_that_fits_no_machine() {
    #[derive(serde::Deserialize)]
    struct Old {
        job: OldJob,
        at_ms: u64,
    }
    #[derive(serde::Deserialize)]
    struct OldJob {
        name_id: String,
        breeds_of_box: Option<Vec<String>>,
    }
    let spec = Submission {
        machine_types: Some(vec!["m8".into()]),
        ..job_after("wk-000002", &["wk-000001"])
    };
    let value = JobRecord::new(spec.clone(), 7);
    let old: Old = cherrywood_wire::decode(&cherrywood_wire::encode(&value)).unwrap();
    assert_eq!((old.job.name_id.as_str(), old.at_ms), ("wk-000002", 7));
    assert_eq!(
        old.job.breeds_of_box,
        Some(Vec::new()),
        "no machine type is allowed"
    );
    let read: JobRecord = cherrywood_wire::decode(&cherrywood_wire::encode(&value)).unwrap();
    assert_eq!(read.into_submission(), spec);
}

// --- records larger than a value ---

fn rates(value_kb: f64, txn_ops: usize) -> ConfiguredLimits {
    ConfiguredLimits {
        rps: 200.0,
        write_rps: 80.0,
        value_kb,
        txn_ops,
    }
}

fn progress_of(store: &Store, id: &str) -> Vec<String> {
    let own = store
        .records
        .keys()
        .filter(|k| k.starts_with("p/") && k.contains(id));
    own.cloned().collect()
}

/// The version in production writes the progress of the largest array as one value. Once the
/// limits are lower the progress is written in parts, and every new leader reads all of them, also
/// after an incomplete rewrite.
#[test]
fn the_progress_of_the_largest_array_is_split_into_parts_without_loss() {
    let id = "wk-000001";
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let big = Submission {
        tasks: 100_000,
        ..job_after(id, &[])
    };
    submit(&mut leader, &mut store, &big, 0.0);
    let done = |leader: &mut Leader, worker: &mut Worker, tasks: std::ops::Range<u32>, now| {
        let why = Some(cherrywood_wire::agent::ExitCause::Done);
        let row = |n| WorkerTask {
            task: format!("{id}/{n}"),
            attempt: 1,
            exit: why,
        };
        worker.tasks = tasks.map(row).collect();
        leader
            .take_heartbeat("n1", &worker.next_heartbeat(), &[], now)
            .unwrap();
    };
    let mut worker = Worker::new("vm-1");
    done(&mut leader, &mut worker, 0..60_000, 1.0);
    write_all_at(&mut leader, &mut store, 1.0);
    assert_eq!(
        progress_of(&store, id),
        [keys::progress(id)],
        "one value, as the version in production writes it"
    );
    let small = StoreLimits::new(rates(32.0, 48), rates(2.0, 16));
    let mut dropped = small;
    dropped.enable_chunks();
    store.limits = Some((2048, 16));
    leader.set_store_limits(dropped);
    done(&mut leader, &mut worker, 60_000..90_000, 2.0);
    let batch = leader.job_batch(true, 2.0).unwrap();
    let outcome = store.apply(&batch.txn);
    leader.job_batch_done(batch, &outcome, 2.0);
    // The leader fails between two of these transactions, and so does the next one.
    for (term, upto) in [(2, 95_000), (3, 99_999)] {
        leader = store.elect(term, 3.0);
        leader.set_store_limits(dropped);
        assert!(
            leader.task_counts(id, 3.0).unwrap().0 >= 60_000,
            "term {term}"
        );
        let mut again = Worker::new(&format!("vm-{term}"));
        done(&mut leader, &mut again, 60_000..upto, 3.0);
        let batch = leader.job_batch(true, 3.0).unwrap();
        let outcome = store.apply(&batch.txn);
        leader.job_batch_done(batch, &outcome, 3.0);
    }
    write_all_at(&mut leader, &mut store, 4.0);
    assert!(progress_of(&store, id).len() > 30);
    let mut leader = store.elect(4, 5.0);
    leader.set_store_limits(dropped);
    assert_eq!(leader.task_counts(id, 5.0).unwrap().0, 99_999);
    assert_eq!(leader.queue_lengths().iter().sum::<u32>(), 1);
    // The parts are deleted when the job is done.
    let mut worker = Worker::new("vm-9");
    done(&mut leader, &mut worker, 99_999..100_000, 6.0);
    write_all_at(&mut leader, &mut store, 6.0);
    assert_eq!(store.final_state(id), Some(JobState::Done));
    assert!(
        progress_of(&store, id).is_empty(),
        "{:?}",
        progress_of(&store, id)
    );
}

/// Ledger entries fit the smaller value size from the start, several in a transaction. A new
/// leader recovers the same placements as from large entries, and entries of the version in
/// production are written again in the smaller size.
#[test]
fn ledger_entries_within_the_smaller_value_size_hold_the_same_placements() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let place = |leader: &mut Leader, store: &mut Store, at: u32, now: f64| {
        for n in 0..60 {
            let spec = Submission {
                cpus: 0.5,
                ..job_after(&format!("wk-{:06}", at + n), &[])
            };
            submit(leader, store, &Submission { tasks: 30, ..spec }, now);
        }
        for n in 0..100 {
            let mut worker = Worker::new(&format!("vm-{:06}", at + n));
            leader
                .take_heartbeat("n1", &worker.next_heartbeat(), &[], now)
                .unwrap();
        }
        leader.place_pending(now);
        write_all_at(leader, store, now);
    };
    // Entries of the version in production, of today's size.
    place(&mut leader, &mut store, 1000, 1.0);
    let big = store
        .records
        .iter()
        .filter(|(k, _)| k.starts_with("w/"))
        .count();
    store.limits = Some((2048, 16));
    let small = StoreLimits::new(rates(32.0, 48), rates(2.0, 16));
    let mut leader = store.elect(2, 2.0);
    leader.set_store_limits(small);
    place(&mut leader, &mut store, 2000, 3.0);
    let held = leader.placements_held();
    assert!(held.len() > 1500, "{}", held.len());
    leader.audit().unwrap();
    let entries = store
        .records
        .iter()
        .filter(|(k, _)| k.starts_with("w/"))
        .count();
    assert!(entries > big + 5, "{entries}");
    let mut leader = store.elect(3, 4.0);
    assert_eq!(leader.placements_held(), held);
    // Freed placements are removed from the ledger, within the same number of changes per
    // transaction.
    leader.set_store_limits(small);
    let names: Vec<String> = (1000..3000).map(|n| format!("vm-{n:06}")).collect();
    leader.machines_deleted(&names, 5.0);
    for round in 0..200 {
        write_all_at(&mut leader, &mut store, 5.0 + f64::from(round));
    }
    let left = store
        .records
        .iter()
        .filter(|(k, _)| k.starts_with("w/"))
        .count();
    assert!(left < 10, "{left} entries");
    let rows = store.records.values().any(|(v, _)| match v {
        StoredRecord::PlacementLog(v) => v.placements.iter().any(|r| r.0.starts_with("vm-")),
        _ => false,
    });
    assert!(!rows, "{rows}");
}

/// The leader finds parts of a submission without a record and takes them for left over. The
/// record that is written in the meantime names them, so they must not be deleted.
#[test]
fn submission_parts_that_a_newly_written_record_names_are_not_deleted() {
    let part = |store: &mut Store, id: &str| {
        let key = format!("{}0", keys::chunk_prefix(&keys::submission(id), 5));
        let text = String::new();
        let value = cherrywood_wire::chunks::ChunkRecord { set_id: 5, text };
        store.put(&key, StoredRecord::Chunk(value));
        key
    };
    let mut store = Store::default();
    let (named, left) = (part(&mut store, "wk-000001"), part(&mut store, "wk-000002"));
    let mut leader = store.elect(1, 0.0);
    leader.add_obsolete_keys([named.clone(), left.clone()]);
    store.accept(&job("wk-000001", 1));
    for n in 0..3 {
        write_all_at(&mut leader, &mut store, f64::from(n));
    }
    assert!(store.records.contains_key(&named) && !store.records.contains_key(&left));
}
