//! Jobs that wait for others, and values that don't fit, against scripted workers and a
//! state service that looks at sizes.

mod common;

use cherrywood_control::leader::{COUNTS_WITHHELD, WriteOutcome};
use cherrywood_control::{Leader, keys};
use cherrywood_limits::store_limits::{ConfiguredLimits, StoreLimits};
use cherrywood_wire::records::{JobRecord, StoredRecord};
use cherrywood_wire::user::{JobState, Priority, Submission};
use common::*;

fn after(id: &str, needs: &[&str]) -> Submission {
    Submission {
        dependencies: needs.iter().map(|n| (*n).to_string()).collect(),
        team: "wide".into(),
        ..job(id, 2)
    }
}

fn end(worker: &mut Worker, of: &str) {
    let own = worker.tasks.iter_mut().filter(|t| t.task.starts_with(of));
    own.for_each(|t| t.exit = Some(cherrywood_wire::agent::ExitCause::Done));
}

fn started(worker: &Worker, of: &str) -> usize {
    worker
        .tasks
        .iter()
        .filter(|t| t.task.starts_with(of))
        .count()
}

fn beats(leader: &mut Leader, store: &mut Store, worker: &mut Worker, from: f64) {
    for n in 0..4 {
        let now = from + f64::from(n);
        store.answer_job_lookups(leader, now);
        exchange_heartbeat(leader, store, worker, "n1", now);
        write_all_at(leader, store, now);
    }
}

/// What a new leader inherits decides; nothing that the last one had in memory does. The
/// leader is lost between the commit of `done` and the start, and the next hears how the
/// needed job ended only later: nothing starts before it has.
#[test]
fn a_job_starts_when_what_it_needs_is_committed_whoever_leads() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut worker = Worker::new("vm-1");
    submit(&mut leader, &mut store, &after("wk-000001", &[]), 0.0);
    submit(
        &mut leader,
        &mut store,
        &after("wk-000002", &["wk-000001"]),
        0.0,
    );
    beats(&mut leader, &mut store, &mut worker, 0.0);
    assert_eq!(
        (started(&worker, "wk-000001"), started(&worker, "wk-000002")),
        (2, 0)
    );
    assert_eq!(leader.queue_lengths(), vec![0, 0, 0], "in no level");
    // All of its tasks are done, but that isn't committed.
    end(&mut worker, "wk-000001");
    let heartbeat = worker.next_heartbeat();
    leader.take_heartbeat("n1", &heartbeat, &[], 5.0).unwrap();
    leader.place_pending(5.0);
    assert!(leader.ledger_batch().is_none());
    let batch = leader.job_batch(true, 5.0).unwrap();
    assert!(matches!(store.apply(&batch.txn), WriteOutcome::Applied(_)));
    // The leader is lost here; the next one knows of a job that waits.
    let mut leader = store.elect(2, 6.0);
    assert_eq!(leader.jobs_to_look_up(), vec!["wk-000001".to_string()]);
    exchange_heartbeat(&mut leader, &mut store, &mut worker, "n1", 7.0);
    assert_eq!(
        started(&worker, "wk-000002"),
        0,
        "nobody has told how it ended"
    );
    beats(&mut leader, &mut store, &mut worker, 8.0);
    assert_eq!(started(&worker, "wk-000002"), 2);
    leader.audit().unwrap();
    // Lost with its machine, its tasks wait like others'.
    let mut leader = store.elect(3, 20.0);
    leader.machines_deleted(&["vm-1".into()], 21.0);
    assert_eq!(
        leader.queue_lengths().iter().sum::<u32>(),
        0,
        "until it is known again"
    );
    store.answer_job_lookups(&mut leader, 21.0);
    assert_eq!(leader.queue_lengths().iter().sum::<u32>(), 2);
}

/// Ready at once with the leader's own commit, also if the watch tells of it first.
#[test]
fn a_commit_makes_ready_whatever_is_heard_first() {
    for watch_first in [false, true] {
        let mut store = Store::default();
        let mut leader = store.elect(1, 0.0);
        let mut worker = Worker::new("vm-1");
        submit(&mut leader, &mut store, &after("wk-000001", &[]), 0.0);
        submit(
            &mut leader,
            &mut store,
            &after("wk-000002", &["wk-000001"]),
            0.0,
        );
        beats(&mut leader, &mut store, &mut worker, 0.0);
        end(&mut worker, "wk-000001");
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

/// A cancellation reaches all that need the job, also what is submitted later or while it
/// crosses; the walk is derived anew by a leader that takes over in its middle, and its
/// transactions fit. What was done before it stays, and so does what has no part in it.
#[test]
fn a_cancellation_reaches_the_closure_across_a_takeover() {
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
        submit(&mut leader, &mut store, &after(id, needs), 0.0);
    }
    let many: Vec<String> = (0..1000).map(|n| format!("wk-1{n:05}")).collect();
    for id in &many {
        submit(&mut leader, &mut store, &after(id, &["wk-000001"]), 0.0);
    }
    store.cancel("wk-000001");
    leader.remove_job("wk-000001");
    store.answer_job_lookups(&mut leader, 1.0);
    let batch = leader.job_batch(true, 1.0).unwrap();
    let outcome = store.apply(&batch.txn);
    assert!(batch.has_final_states() && matches!(outcome, WriteOutcome::Applied(_)));
    // Called queued for half of the time, and then nothing until its end is written.
    assert_eq!(leader.task_counts(&many[999], 2.0), Some((0, 0)));
    assert_eq!(leader.task_counts(&many[999], 30.0), Some(COUNTS_WITHHELD));
    // The leader ends here, in the middle of it.
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
    // Named after it was cancelled, and after that was forgotten.
    submit(
        &mut leader,
        &mut store,
        &after("wk-000004", &["wk-000003", "wk-000009"]),
        4.0,
    );
    submit(
        &mut leader,
        &mut store,
        &after("wk-000005", &["wk-000004"]),
        4.0,
    );
    store.answer_job_lookups(&mut leader, 5.0);
    write_all_at(&mut leader, &mut store, 5.0);
    assert_eq!(store.final_state("wk-000005"), Some(JobState::Cancelled));
    assert_eq!(store.final_state("wk-000009"), None);
}

/// The cancellation and the end of the last task cross: one guard decides. Where `done`
/// is first, the cancellation is answered so and those after it go on.
#[test]
fn a_cancellation_that_comes_after_done_leaves_the_rest_alone() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut worker = Worker::new("vm-1");
    submit(&mut leader, &mut store, &after("wk-000001", &[]), 0.0);
    submit(
        &mut leader,
        &mut store,
        &after("wk-000002", &["wk-000001"]),
        0.0,
    );
    beats(&mut leader, &mut store, &mut worker, 0.0);
    end(&mut worker, "wk-000001");
    leader
        .take_heartbeat("n1", &worker.next_heartbeat(), &[], 5.0)
        .unwrap();
    let late = leader.job_batch(true, 5.0).unwrap();
    store.cancel("wk-000001");
    let outcome = store.apply(&late.txn);
    assert!(
        matches!(outcome, WriteOutcome::Conflict(_)),
        "cancelled first"
    );
    leader.job_batch_done(late, &outcome, 5.0);
    reread(&mut leader, &store);
    store.answer_job_lookups(&mut leader, 6.0);
    write_all_at(&mut leader, &mut store, 6.0);
    assert_eq!(store.final_state("wk-000002"), Some(JobState::Cancelled));
}

/// While a job waits its team has its whole limit, and nothing is rented for it; the rank
/// and the deadline of the last job are its own.
#[test]
fn a_waiting_job_is_in_no_sum_and_has_the_rank_of_what_needs_it() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut worker = Worker::new("vm-1");
    let low = |id: &str, needs: &[&str]| Submission {
        priority: Priority::Low,
        tasks: 4,
        ..after(id, needs)
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
        ..after("wk-000003", &["wk-000002"])
    };
    submit(&mut leader, &mut store, &last, 0.0);
    // Of normal rank, and there before: the pipeline of high rank goes first.
    submit(
        &mut leader,
        &mut store,
        &Submission {
            tasks: 4,
            ..after("wk-000009", &[])
        },
        0.0,
    );
    beats(&mut leader, &mut store, &mut worker, 0.0);
    assert_eq!(
        (started(&worker, "wk-000001"), started(&worker, "wk-000009")),
        (4, 0)
    );
    assert_eq!(
        leader.queue_lengths().iter().sum::<u32>(),
        4,
        "those of one job"
    );
}

/// Production's own shape of a job's record: it ignores what it doesn't know, and finds
/// a job that no machine may run.
#[test]
fn production_reads_a_waiting_job_as_one_that_fits_no_machine() {
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
        ..after("wk-000002", &["wk-000001"])
    };
    let value = JobRecord::new(spec.clone(), 7);
    let old: Old = cherrywood_wire::decode(&cherrywood_wire::encode(&value)).unwrap();
    assert_eq!((old.job.name_id.as_str(), old.at_ms), ("wk-000002", 7));
    assert_eq!(
        old.job.breeds_of_box,
        Some(Vec::new()),
        "no type is allowed"
    );
    let read: JobRecord = cherrywood_wire::decode(&cherrywood_wire::encode(&value)).unwrap();
    assert_eq!(read.into_submission(), spec);
}

// --- values that don't fit ---

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

/// The largest array, written whole by production: once the limits have dropped its
/// progress is in parts, of which each takeover reads all, also a half done rewrite.
#[test]
fn the_progress_of_the_largest_array_moves_into_parts_and_loses_nothing() {
    let id = "wk-000001";
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let big = Submission {
        tasks: 100_000,
        ..after(id, &[])
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
        "whole, as production has it"
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
    // The leader ends between two of these transactions, and so does the next one.
    for (epoch, upto) in [(2, 95_000), (3, 99_999)] {
        leader = store.elect(epoch, 3.0);
        leader.set_store_limits(dropped);
        assert!(
            leader.task_counts(id, 3.0).unwrap().0 >= 60_000,
            "epoch {epoch}"
        );
        let mut again = Worker::new(&format!("vm-{epoch}"));
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
    // Done: the parts go with it.
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

/// Entries of the ledger fit the smaller size from the start, several in a transaction;
/// a takeover finds the same as from large ones, and production's are shortened too.
#[test]
fn ledger_entries_fit_the_smaller_size_and_hold_the_same() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let place = |leader: &mut Leader, store: &mut Store, at: u32, now: f64| {
        for n in 0..60 {
            let spec = Submission {
                cpus: 0.5,
                ..after(&format!("wk-{:06}", at + n), &[])
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
    // Production's, of today's size.
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
    // What is off its machine leaves the log, in the same few changes at a time.
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

/// Parts of a submission were there and its record wasn't, when the leader looked: it took
/// them for left behind. The record that came meanwhile names them, and they stay.
#[test]
fn parts_that_a_record_names_meanwhile_are_not_swept() {
    let part = |store: &mut Store, id: &str| {
        let key = format!("{}0", keys::parts(&keys::submission(id), 5));
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
