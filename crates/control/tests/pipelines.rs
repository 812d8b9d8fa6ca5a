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

fn end(w: &mut Worker, of: &str) {
    let own = w.tasks.iter_mut().filter(|t| t.task.starts_with(of));
    own.for_each(|t| t.exit = Some(cherrywood_wire::agent::ExitCause::Done));
}

fn started(w: &Worker, of: &str) -> usize {
    w.tasks.iter().filter(|t| t.task.starts_with(of)).count()
}

fn beats(l: &mut Leader, s: &mut Store, w: &mut Worker, from: f64) {
    for n in 0..4 {
        let now = from + f64::from(n);
        s.answer_need_queries(l, now);
        heartbeat(l, s, w, "n1", now);
        write_all_at(l, s, now);
    }
}

/// What a new leader inherits decides; nothing that the last one had in memory does. The
/// leader is lost between the commit of `done` and the start, and the next hears how the
/// needed job ended only later: nothing starts before it has.
#[test]
fn a_job_starts_when_what_it_needs_is_committed_whoever_leads() {
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
    let mut w = Worker::new("vm-1");
    submit(&mut l, &mut s, &after("wk-000001", &[]), 0.0);
    submit(&mut l, &mut s, &after("wk-000002", &["wk-000001"]), 0.0);
    beats(&mut l, &mut s, &mut w, 0.0);
    assert_eq!((started(&w, "wk-000001"), started(&w, "wk-000002")), (2, 0));
    assert_eq!(l.queue_lengths(), vec![0, 0, 0], "in no level");
    // All of its tasks are done, but that isn't committed.
    end(&mut w, "wk-000001");
    let r = w.report();
    l.take_heartbeat("n1", &r, &[], 5.0).unwrap();
    l.place_pending(5.0);
    assert!(l.ledger_batch().is_none());
    let batch = l.job_batch(true, 5.0).unwrap();
    assert!(matches!(s.apply(&batch.txn), WriteOutcome::Applied(_)));
    // The leader is lost here; the next one knows of a job that waits.
    let mut l = s.elect(2, 6.0);
    assert_eq!(l.jobs_to_look_up(), vec!["wk-000001".to_string()]);
    heartbeat(&mut l, &mut s, &mut w, "n1", 7.0);
    assert_eq!(started(&w, "wk-000002"), 0, "nobody has told how it ended");
    beats(&mut l, &mut s, &mut w, 8.0);
    assert_eq!(started(&w, "wk-000002"), 2);
    l.audit().unwrap();
    // Lost with its machine, its tasks wait like others'.
    let mut l = s.elect(3, 20.0);
    l.machines_deleted(&["vm-1".into()], 21.0);
    assert_eq!(
        l.queue_lengths().iter().sum::<u32>(),
        0,
        "until it is known again"
    );
    s.answer_need_queries(&mut l, 21.0);
    assert_eq!(l.queue_lengths().iter().sum::<u32>(), 2);
}

/// Ready at once with the leader's own commit, also if the watch tells of it first.
#[test]
fn a_commit_makes_ready_whatever_is_heard_first() {
    for watch_first in [false, true] {
        let mut s = Store::default();
        let mut l = s.elect(1, 0.0);
        let mut w = Worker::new("vm-1");
        submit(&mut l, &mut s, &after("wk-000001", &[]), 0.0);
        submit(&mut l, &mut s, &after("wk-000002", &["wk-000001"]), 0.0);
        beats(&mut l, &mut s, &mut w, 0.0);
        end(&mut w, "wk-000001");
        l.take_heartbeat("n1", &w.report(), &[], 5.0).unwrap();
        let batch = l.job_batch(true, 5.0).unwrap();
        let outcome = s.apply(&batch.txn);
        if watch_first {
            l.remove_job("wk-000001");
        }
        l.job_batch_done(batch, &outcome, 5.0);
        assert_eq!(l.queue_lengths().iter().sum::<u32>(), 2, "{watch_first}");
    }
}

/// A cancellation reaches all that need the job, also what is submitted later or while it
/// crosses; the walk is derived anew by a leader that takes over in its middle, and its
/// transactions fit. What was done before it stays, and so does what has no part in it.
#[test]
fn a_cancellation_reaches_the_closure_across_a_takeover() {
    let mut s = Store {
        limits: Some((2048, 16)),
        ..Store::default()
    };
    let mut l = s.elect(1, 0.0);
    let small = StoreLimits::new(rates(32.0, 48), rates(2.0, 16));
    l.set_store_limits(small);
    for (id, needs) in [
        ("wk-000001", &[][..]),
        ("wk-000002", &["wk-000001"]),
        ("wk-000003", &["wk-000002"]),
        ("wk-000009", &[]),
    ] {
        submit(&mut l, &mut s, &after(id, needs), 0.0);
    }
    let many: Vec<String> = (0..1000).map(|n| format!("wk-1{n:05}")).collect();
    for id in &many {
        submit(&mut l, &mut s, &after(id, &["wk-000001"]), 0.0);
    }
    s.cancel("wk-000001");
    l.remove_job("wk-000001");
    s.answer_need_queries(&mut l, 1.0);
    let batch = l.job_batch(true, 1.0).unwrap();
    let outcome = s.apply(&batch.txn);
    assert!(batch.has_final_states() && matches!(outcome, WriteOutcome::Applied(_)));
    // Called queued for half of the time, and then nothing until its end is written.
    assert_eq!(l.task_counts(&many[999], 2.0), Some((0, 0)));
    assert_eq!(l.task_counts(&many[999], 30.0), Some(COUNTS_WITHHELD));
    // The leader ends here, in the middle of it.
    let mut l = s.elect(2, 2.0);
    l.set_store_limits(small);
    s.answer_need_queries(&mut l, 3.0);
    write_all_at(&mut l, &mut s, 3.0);
    for id in many
        .iter()
        .map(String::as_str)
        .chain(["wk-000002", "wk-000003"])
    {
        assert_eq!(s.ended(id), Some(JobState::Cancelled), "{id}");
    }
    assert_eq!(l.live_job_ids(), vec!["wk-000009".to_string()]);
    // Named after it was cancelled, and after that was forgotten.
    submit(
        &mut l,
        &mut s,
        &after("wk-000004", &["wk-000003", "wk-000009"]),
        4.0,
    );
    submit(&mut l, &mut s, &after("wk-000005", &["wk-000004"]), 4.0);
    s.answer_need_queries(&mut l, 5.0);
    write_all_at(&mut l, &mut s, 5.0);
    assert_eq!(s.ended("wk-000005"), Some(JobState::Cancelled));
    assert_eq!(s.ended("wk-000009"), None);
}

/// The cancellation and the end of the last task cross: one guard decides. Where `done`
/// is first, the cancellation is answered so and those after it go on.
#[test]
fn a_cancellation_that_comes_after_done_leaves_the_rest_alone() {
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
    let mut w = Worker::new("vm-1");
    submit(&mut l, &mut s, &after("wk-000001", &[]), 0.0);
    submit(&mut l, &mut s, &after("wk-000002", &["wk-000001"]), 0.0);
    beats(&mut l, &mut s, &mut w, 0.0);
    end(&mut w, "wk-000001");
    l.take_heartbeat("n1", &w.report(), &[], 5.0).unwrap();
    let late = l.job_batch(true, 5.0).unwrap();
    s.cancel("wk-000001");
    let outcome = s.apply(&late.txn);
    assert!(
        matches!(outcome, WriteOutcome::Conflict(_)),
        "cancelled first"
    );
    l.job_batch_done(late, &outcome, 5.0);
    reread(&mut l, &s);
    s.answer_need_queries(&mut l, 6.0);
    write_all_at(&mut l, &mut s, 6.0);
    assert_eq!(s.ended("wk-000002"), Some(JobState::Cancelled));
}

/// While a job waits its team has its whole limit, and nothing is rented for it; the rank
/// and the deadline of the last job are its own.
#[test]
fn a_waiting_job_is_in_no_sum_and_has_the_rank_of_what_needs_it() {
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
    let mut w = Worker::new("vm-1");
    let low = |id: &str, needs: &[&str]| Submission {
        priority: Priority::Low,
        tasks: 4,
        ..after(id, needs)
    };
    submit(&mut l, &mut s, &low("wk-000001", &[]), 0.0);
    submit(&mut l, &mut s, &low("wk-000002", &["wk-000001"]), 0.0);
    let last = Submission {
        priority: Priority::High,
        deadline_s: Some(100.0),
        ..after("wk-000003", &["wk-000002"])
    };
    submit(&mut l, &mut s, &last, 0.0);
    // Of normal rank, and there before: the pipeline of high rank goes first.
    submit(
        &mut l,
        &mut s,
        &Submission {
            tasks: 4,
            ..after("wk-000009", &[])
        },
        0.0,
    );
    beats(&mut l, &mut s, &mut w, 0.0);
    assert_eq!((started(&w, "wk-000001"), started(&w, "wk-000009")), (4, 0));
    assert_eq!(l.queue_lengths().iter().sum::<u32>(), 4, "those of one job");
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

fn progress_of(s: &Store, id: &str) -> Vec<String> {
    let own = s
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
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
    let big = Submission {
        tasks: 100_000,
        ..after(id, &[])
    };
    submit(&mut l, &mut s, &big, 0.0);
    let done = |l: &mut Leader, w: &mut Worker, tasks: std::ops::Range<u32>, now| {
        let why = Some(cherrywood_wire::agent::ExitCause::Done);
        let row = |n| WorkerTask {
            task: format!("{id}/{n}"),
            attempt: 1,
            exit: why,
        };
        w.tasks = tasks.map(row).collect();
        l.take_heartbeat("n1", &w.report(), &[], now).unwrap();
    };
    let mut w = Worker::new("vm-1");
    done(&mut l, &mut w, 0..60_000, 1.0);
    write_all_at(&mut l, &mut s, 1.0);
    assert_eq!(
        progress_of(&s, id),
        [keys::progress(id)],
        "whole, as production has it"
    );
    let small = StoreLimits::new(rates(32.0, 48), rates(2.0, 16));
    let mut dropped = small;
    dropped.enable_chunks();
    s.limits = Some((2048, 16));
    l.set_store_limits(dropped);
    done(&mut l, &mut w, 60_000..90_000, 2.0);
    let batch = l.job_batch(true, 2.0).unwrap();
    let outcome = s.apply(&batch.txn);
    l.job_batch_done(batch, &outcome, 2.0);
    // The leader ends between two of these transactions, and so does the next one.
    for (epoch, upto) in [(2, 95_000), (3, 99_999)] {
        l = s.elect(epoch, 3.0);
        l.set_store_limits(dropped);
        assert!(l.task_counts(id, 3.0).unwrap().0 >= 60_000, "epoch {epoch}");
        let mut again = Worker::new(&format!("vm-{epoch}"));
        done(&mut l, &mut again, 60_000..upto, 3.0);
        let batch = l.job_batch(true, 3.0).unwrap();
        let outcome = s.apply(&batch.txn);
        l.job_batch_done(batch, &outcome, 3.0);
    }
    write_all_at(&mut l, &mut s, 4.0);
    assert!(progress_of(&s, id).len() > 30);
    let mut l = s.elect(4, 5.0);
    l.set_store_limits(dropped);
    assert_eq!(l.task_counts(id, 5.0).unwrap().0, 99_999);
    assert_eq!(l.queue_lengths().iter().sum::<u32>(), 1);
    // Done: the parts go with it.
    let mut w = Worker::new("vm-9");
    done(&mut l, &mut w, 99_999..100_000, 6.0);
    write_all_at(&mut l, &mut s, 6.0);
    assert_eq!(s.ended(id), Some(JobState::Done));
    assert!(progress_of(&s, id).is_empty(), "{:?}", progress_of(&s, id));
}

/// Entries of the ledger fit the smaller size from the start, several in a transaction;
/// a takeover finds the same as from large ones, and production's are shortened too.
#[test]
fn ledger_entries_fit_the_smaller_size_and_hold_the_same() {
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
    let place = |l: &mut Leader, s: &mut Store, at: u32, now: f64| {
        for n in 0..60 {
            let spec = Submission {
                cpus: 0.5,
                ..after(&format!("wk-{:06}", at + n), &[])
            };
            submit(l, s, &Submission { tasks: 30, ..spec }, now);
        }
        for n in 0..100 {
            let mut w = Worker::new(&format!("vm-{:06}", at + n));
            l.take_heartbeat("n1", &w.report(), &[], now).unwrap();
        }
        l.place_pending(now);
        write_all_at(l, s, now);
    };
    // Production's, of today's size.
    place(&mut l, &mut s, 1000, 1.0);
    let big = s
        .records
        .iter()
        .filter(|(k, _)| k.starts_with("w/"))
        .count();
    s.limits = Some((2048, 16));
    let small = StoreLimits::new(rates(32.0, 48), rates(2.0, 16));
    let mut l = s.elect(2, 2.0);
    l.set_store_limits(small);
    place(&mut l, &mut s, 2000, 3.0);
    let held = l.placements_held();
    assert!(held.len() > 1500, "{}", held.len());
    l.audit().unwrap();
    let entries = s
        .records
        .iter()
        .filter(|(k, _)| k.starts_with("w/"))
        .count();
    assert!(entries > big + 5, "{entries}");
    let mut l = s.elect(3, 4.0);
    assert_eq!(l.placements_held(), held);
    // What is off its machine leaves the log, in the same few changes at a time.
    l.set_store_limits(small);
    let names: Vec<String> = (1000..3000).map(|n| format!("vm-{n:06}")).collect();
    l.machines_deleted(&names, 5.0);
    for round in 0..200 {
        write_all_at(&mut l, &mut s, 5.0 + f64::from(round));
    }
    let left = s
        .records
        .iter()
        .filter(|(k, _)| k.starts_with("w/"))
        .count();
    assert!(left < 10, "{left} entries");
    let rows = s.records.values().any(|(v, _)| match v {
        StoredRecord::PlacementLog(v) => v.placements.iter().any(|r| r.0.starts_with("vm-")),
        _ => false,
    });
    assert!(!rows, "{rows}");
}

/// Parts of a submission were there and its record wasn't, when the leader looked: it took
/// them for left behind. The record that came meanwhile names them, and they stay.
#[test]
fn parts_that_a_record_names_meanwhile_are_not_swept() {
    let part = |s: &mut Store, id: &str| {
        let key = format!("{}0", keys::chunk_prefix(&keys::submission(id), 5));
        let text = String::new();
        let value = cherrywood_wire::chunks::ChunkRecord { set_id: 5, text };
        s.put(&key, StoredRecord::Chunk(value));
        key
    };
    let mut s = Store::default();
    let (named, left) = (part(&mut s, "wk-000001"), part(&mut s, "wk-000002"));
    let mut l = s.elect(1, 0.0);
    l.add_obsolete_keys([named.clone(), left.clone()]);
    s.accept(&job("wk-000001", 1));
    for n in 0..3 {
        write_all_at(&mut l, &mut s, f64::from(n));
    }
    assert!(s.records.contains_key(&named) && !s.records.contains_key(&left));
}
