//! The ledger and placement at scale: counted, not timed.

mod common;

use cherrywood_control::keys;
use cherrywood_control::leader::{CloudCall, WriteOutcome};
use cherrywood_wire::agent::ExitCause;
use cherrywood_wire::records::StoredRecord;
use cherrywood_wire::store::Change;
use cherrywood_wire::user::Submission;
use common::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn fleet(n: usize) -> Vec<Worker> {
    (0..n).map(|i| Worker::new(&format!("vm-{i:06}"))).collect()
}

/// A leader that heard so many machines at 1 s.
fn cluster_of(machines: usize) -> (TestCluster, Vec<Worker>) {
    let mut cluster = TestCluster::new();
    let mut workers = fleet(machines);
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 1.0);
    }
    (cluster, workers)
}

/// A job of team `wide` by its number.
fn big(id: usize, tasks: u32) -> Submission {
    wide_job(&format!("wk-{id:06}"), tasks)
}

/// Entries of the ledger in the state service.
fn entries(store: &Store) -> usize {
    store
        .records
        .keys()
        .filter(|k| k.starts_with(keys::LEDGER))
        .count()
}

/// What was written to the ledger until nothing waited.
#[derive(Debug, Default)]
struct LedgerWrites {
    transactions: usize,
    changes: usize,
    /// Of the largest transaction.
    largest_bytes: usize,
}

fn write_ledger(cluster: &mut TestCluster) -> LedgerWrites {
    let mut writes = LedgerWrites::default();
    while let Some(batch) = cluster.leader.ledger_batch() {
        let txn = &batch.txn;
        writes.transactions += 1;
        writes.changes += txn.changes.len();
        writes.largest_bytes = writes.largest_bytes.max(cherrywood_wire::encode(txn).len());
        assert!(txn.changes.len() <= 48 && txn.guards.len() <= 4 * 48);
        for change in &txn.changes {
            if let Change::Put { value, .. } = change {
                assert!(cherrywood_wire::encode(value).len() <= 32 * 1024);
            }
        }
        let outcome = cluster.store.apply(&batch.txn);
        cluster.leader.ledger_batch_done(batch, &outcome);
    }
    writes
}

/// One key a machine took a change for each of them (600 here); the ledger takes
/// one for all that a transaction can hold.
#[test]
fn ledger_changes_do_not_grow_with_the_number_of_machines() {
    for machines in [10, 600] {
        let (mut cluster, _) = cluster_of(machines);
        cluster.submit(&big(1, machines as u32 * 4), 2.0);
        cluster.leader.place_pending(2.0);
        assert_eq!(cluster.leader.placements_held().len(), machines * 4);
        let writes = write_ledger(&mut cluster);
        assert!(
            writes.transactions <= 1 + machines / 80,
            "{writes:?} for {machines}"
        );
        assert!(writes.changes <= 2 * writes.transactions, "{writes:?}");
        assert!(writes.largest_bytes <= 64 * 1024, "{writes:?}");
    }
}

/// A group of like tasks needs one search of the machines with room, and a
/// full fleet none.
#[test]
fn a_pass_examines_no_machine_that_is_full() {
    let (mut cluster, mut workers) = cluster_of(500);
    cluster.submit(&big(1, 2000), 2.0);
    cluster.leader.place_pending(2.0);
    assert_eq!(cluster.leader.placements_held().len(), 2000);
    assert!(
        cluster.leader.machines_examined() <= 500 * 501,
        "a search a group of four: {}",
        cluster.leader.machines_examined()
    );
    for id in 2..40 {
        cluster.submit(&big(id, 100), 2.5);
    }
    let before = cluster.leader.machines_examined();
    cluster.leader.place_pending(3.0);
    assert_eq!(
        cluster.leader.machines_examined(),
        before,
        "nothing has room"
    );
    // Two tasks end: only their machine is looked at, by those that can use it.
    write_ledger(&mut cluster);
    let worker = &mut workers[250];
    cluster.heartbeat(worker, "n1", 3.0);
    worker.tasks[0].exit = Some(ExitCause::Done);
    worker.tasks[1].exit = Some(ExitCause::Done);
    let heartbeat = worker.next_heartbeat();
    cluster.leader.take_heartbeat("n1", &heartbeat, &[], 4.0);
    let before = cluster.leader.machines_examined();
    cluster.leader.place_pending(4.0);
    assert_eq!(cluster.leader.placements_held().len(), 2000);
    assert!(
        cluster.leader.machines_examined() - before <= 120,
        "{}",
        cluster.leader.machines_examined() - before
    );
}

/// A failover at 2.25 times the operators' largest file knows where images are on every
/// machine. With names in full the value held 1,300 of them; the others had theirs
/// fetched again after each failover.
#[test]
fn image_caches_of_2650_machines_fit_one_value() {
    let (mut cluster, workers) = cluster_of(2650);
    for image in 0..28 {
        let spec = Submission {
            image: format!("img-{image}"),
            image_gb: 0.1,
            ..big(image, 300)
        };
        cluster.submit(&spec, 1.5);
    }
    cluster.leader.place_pending(2.0);
    let value = cluster.leader.image_snapshot(60.0);
    assert!(cherrywood_wire::encode(&value).len() <= 32 * 1024);
    let names: Vec<String> = workers.iter().map(|worker| worker.name.clone()).collect();
    assert_eq!(value.machine_names(), names);
    assert_eq!(value.images.len(), 28);
}

/// Long names must not push a transaction over its limits.
#[test]
fn long_machine_names_keep_transactions_within_both_limits() {
    let mut cluster = TestCluster::new();
    let long = "n".repeat(150);
    let mut workers: Vec<Worker> = (0..200)
        .map(|i| Worker::new(&format!("vm-{long}-{i:06}")))
        .collect();
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 1.0);
    }
    for id in 0..400 {
        cluster.submit(&big(id, 2), 2.0);
    }
    cluster.leader.place_pending(2.0);
    assert_eq!(cluster.leader.placements_held().len(), 800);
    let writes = write_ledger(&mut cluster);
    assert!(
        writes.transactions > 1 && writes.largest_bytes <= 64 * 1024,
        "{writes:?}"
    );
    assert_eq!(
        cluster.store.elect(2, 3.0).placements_held(),
        cluster.leader.placements_held()
    );
}

/// Hundreds of machines, a third of them silent: a new leader starts none of
/// their tasks elsewhere, and goes on with the rest.
#[test]
fn a_failover_with_hundreds_of_machines_waits_only_for_silent_ones() {
    let (mut cluster, mut workers) = cluster_of(300);
    cluster.submit(&big(1, 1000), 2.0);
    cluster.leader.place_pending(2.0);
    cluster.write_all();
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 2.5);
    }
    let running = |ws: &[Worker]| ws.iter().map(Worker::running).sum::<usize>();
    assert_eq!(running(&workers), 1000);
    cluster.fail_over(2, 5.0);
    assert_eq!(cluster.leader.placements_held().len(), 1000);
    cluster.submit(&big(2, 50), 5.0);
    workers.sort_by_key(|worker| std::cmp::Reverse(worker.running()));
    for now in 6..9 {
        for worker in workers.iter_mut().skip(100) {
            cluster.heartbeat(worker, "n2", f64::from(now));
        }
    }
    assert_eq!(running(&workers), 1050, "{}", cluster.leader.summary());
    let mut all: Vec<&String> = workers
        .iter()
        .flat_map(|worker| &worker.tasks)
        .filter(|t| t.is_running())
        .map(|t| &t.task)
        .collect();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 1050, "no task twice");
}

/// A batch of many machines whose answer is lost starts nothing until it is
/// read whether it was written, and then everything once.
#[test]
fn a_ledger_entry_in_doubt_starts_nothing_until_it_is_read() {
    for applied in [true, false] {
        let (mut cluster, mut workers) = cluster_of(50);
        cluster.submit(&big(1, 100), 2.0);
        cluster.leader.place_pending(2.0);
        let batch = cluster.leader.ledger_batch().unwrap();
        if applied {
            cluster.store.apply(&batch.txn);
        }
        cluster
            .leader
            .ledger_batch_done(batch, &WriteOutcome::Unknown);
        assert!(cluster.leader.due_direct_commands(2.1).is_empty());
        cluster.submit(&big(2, 20), 2.1);
        cluster.leader.place_pending(2.1);
        assert!(
            cluster.leader.ledger_batch().is_none(),
            "one doubt at a time"
        );
        for worker in &mut workers {
            let r = worker.next_heartbeat();
            cluster.leader.take_heartbeat("n1", &r, &[], 2.2).unwrap();
            assert!(cluster.leader.heartbeat_commands(&r, 2.2).is_empty());
        }
        cluster.reread();
        let rest = cluster.leader.ledger_batch().unwrap();
        let rows: usize = rest
            .txn
            .changes
            .iter()
            .map(|c| match c {
                Change::Put {
                    value: StoredRecord::PlacementLog(e),
                    ..
                } => e.placements.iter().map(|r| r.6 as usize).sum(),
                _ => 0,
            })
            .sum();
        assert_eq!(rows, if applied { 20 } else { 120 });
        cluster.fail_over(2, 3.0);
        for now in 4..8 {
            for worker in &mut workers {
                cluster.heartbeat(worker, "n2", f64::from(now));
            }
        }
        let running: usize = workers.iter().map(Worker::running).sum();
        assert_eq!(running, 120, "applied: {applied}");
    }
}

/// A cancel that fails the guard of a batch holds up nobody else for long.
#[test]
fn a_job_cancelled_during_a_write_delays_the_others_by_one_round() {
    let (mut cluster, _) = cluster_of(20);
    cluster.submit(&big(1, 10), 2.0);
    cluster.submit(&big(2, 10), 2.0);
    cluster.leader.place_pending(2.0);
    cluster.store.cancel("wk-000001");
    let batch = cluster.leader.ledger_batch().unwrap();
    let outcome = cluster.store.apply(&batch.txn);
    assert!(matches!(outcome, WriteOutcome::Conflict(_)));
    cluster.leader.ledger_batch_done(batch, &outcome);
    write_ledger(&mut cluster);
    cluster.reread();
    let held = cluster.leader.placements_held();
    assert_eq!(held.len(), 10);
    assert!(held.iter().all(|h| h.1.starts_with("wk-000002/")));
    assert_eq!(cluster.store.elect(2, 3.0).placements_held(), held);
}

/// Random days: whatever ends, fails, loses its session or is deleted, and
/// whichever writes are lost, what a new leader reads from the log is all that
/// the old one held, and the log stays short.
#[test]
fn the_ledger_agrees_with_memory_after_random_events() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cluster = TestCluster::new();
        let mut epoch = 1;
        let mut workers = fleet(12);
        let mut gone = 0;
        for step in 0..400 {
            let now = 1.0 + f64::from(step) * 0.3;
            if step % 9 == 0 {
                cluster.submit(&big(step as usize, rng.random_range(1..20)), now);
            }
            let at = rng.random_range(0..workers.len());
            for t in &mut workers[at].tasks {
                if rng.random_bool(0.3) {
                    t.exit = Some(if rng.random_bool(0.9) {
                        ExitCause::Done
                    } else {
                        ExitCause::Error
                    });
                }
            }
            match rng.random_range(0..40) {
                0 => {
                    workers[at].incarnation += 1;
                    workers[at].tasks.clear();
                }
                1 => {
                    let name = workers[at].name.clone();
                    cluster.leader.machines_deleted(&[name], now);
                    gone += 1;
                    workers[at] = Worker::new(&format!("vm-{:06}", 100 + gone));
                }
                2 => {
                    if let Some(id) = cluster.leader.live_job_ids().first() {
                        cluster.store.cancel(id);
                        cluster.leader.remove_job(id);
                    }
                }
                3 => {
                    cluster.leader.place_pending(now);
                    if let Some(batch) = cluster.leader.ledger_batch() {
                        if rng.random_bool(0.5) {
                            cluster.store.apply(&batch.txn);
                        }
                        cluster
                            .leader
                            .ledger_batch_done(batch, &WriteOutcome::Unknown);
                        cluster.reread();
                    }
                }
                4 => {
                    epoch += 1;
                    let before = cluster.leader.placements_held();
                    cluster.fail_over(epoch, now);
                    assert!(
                        cluster.leader.placements_held().is_superset(&before),
                        "seed {seed} step {step}"
                    );
                }
                _ => {}
            }
            let holder = format!("n{epoch}");
            cluster.heartbeat(&mut workers[at], &holder, now);
            assert_eq!(cluster.leader.audit(), Ok(()), "seed {seed} step {step}");
            let mut all: Vec<&String> = workers
                .iter()
                .flat_map(|worker| &worker.tasks)
                .filter(|t| t.is_running())
                .map(|t| &t.task)
                .collect();
            let n = all.len();
            all.sort();
            all.dedup();
            assert_eq!(all.len(), n, "seed {seed} step {step}: a task twice");
            assert!(
                entries(&cluster.store) <= 140,
                "{}",
                entries(&cluster.store)
            );
        }
        // Frees that no entry tells of yet are the only difference.
        let held = cluster.leader.placements_held();
        let read = cluster.store.elect(epoch + 1, 200.0).placements_held();
        assert!(read.is_superset(&held), "seed {seed}");
    }
}

/// The rows of placements in the log, for a day with a standing job: its entry
/// is written again instead of keeping all that came after it.
#[test]
fn a_long_running_task_does_not_keep_old_ledger_entries() {
    let mut cluster = TestCluster::new();
    let mut workers = fleet(2);
    let mut id = 1;
    cluster.submit(&big(0, 1), 0.5);
    for step in 0..600 {
        let now = 1.0 + f64::from(step);
        id += 1;
        cluster.submit(&big(id, 2), now);
        for worker in &mut workers {
            for t in &mut worker.tasks {
                if !t.task.starts_with("wk-000000/") {
                    t.exit = Some(ExitCause::Done);
                }
            }
            cluster.heartbeat(worker, "n1", now);
        }
    }
    assert!(
        entries(&cluster.store) <= 140,
        "{}",
        entries(&cluster.store)
    );
    let held = cluster.store.elect(2, 700.0).placements_held();
    assert!(held.iter().any(|h| h.1 == "wk-000000/0"), "{held:?}");
    let rows: usize = cluster
        .store
        .records
        .values()
        .map(|(v, _)| match v {
            StoredRecord::PlacementLog(e) => e.placements.len(),
            _ => 0,
        })
        .sum();
    assert!(rows <= 600, "{rows}");
}

/// An entry that arrives after it was read as missing repeats placements: they
/// count once towards the team's limit (two jobs of 8 CPUs, 16 allowed).
#[test]
fn a_placement_in_two_ledger_entries_counts_once() {
    let mut cluster = TestCluster::new();
    let mut workers = fleet(2);
    cluster.submit(&job("wk-000001", 4), 0.5);
    let heartbeat = workers[0].next_heartbeat();
    cluster
        .leader
        .take_heartbeat("n1", &heartbeat, &[], 1.0)
        .unwrap();
    cluster.leader.place_pending(1.0);
    let lost = cluster.leader.ledger_batch().unwrap();
    let late = lost.txn.clone();
    cluster
        .leader
        .ledger_batch_done(lost, &WriteOutcome::Unknown);
    cluster.reread();
    write_ledger(&mut cluster);
    assert!(matches!(
        cluster.store.apply(&late),
        WriteOutcome::Applied(_)
    ));
    cluster.fail_over(2, 2.0);
    cluster.submit(&job("wk-000002", 4), 2.0);
    let heartbeat = workers[1].next_heartbeat();
    cluster
        .leader
        .take_heartbeat("n2", &heartbeat, &[], 3.0)
        .unwrap();
    cluster.leader.place_pending(3.0);
    assert_eq!(cluster.leader.placements_held().len(), 8);
}

/// What is freed while its entry is being written is in that entry all the
/// same; the next one says that it is free.
#[test]
fn a_placement_freed_during_its_write_is_freed_by_the_next_entry() {
    let mut cluster = TestCluster::new();
    let mut workers = fleet(2);
    let first = &mut workers[0];
    cluster.submit(&big(1, 2), 0.5);
    let heartbeat = first.next_heartbeat();
    cluster
        .leader
        .take_heartbeat("n1", &heartbeat, &[], 1.0)
        .unwrap();
    cluster.leader.place_pending(1.0);
    let batch = cluster.leader.ledger_batch().unwrap();
    first.incarnation += 1;
    let mut heartbeat = first.next_heartbeat();
    heartbeat.spot_notice_s = Some(100.0);
    cluster
        .leader
        .take_heartbeat("n1", &heartbeat, &[], 1.5)
        .unwrap();
    let outcome = cluster.store.apply(&batch.txn);
    cluster.leader.ledger_batch_done(batch, &outcome);
    assert!(cluster.leader.placements_held().is_empty());
    // Another job keeps the first entry from being dropped whole.
    let heartbeat = workers[1].next_heartbeat();
    cluster
        .leader
        .take_heartbeat("n1", &heartbeat, &[], 2.0)
        .unwrap();
    cluster.leader.place_pending(2.0);
    let first_entry: Vec<_> = cluster
        .store
        .records
        .iter()
        .filter(|(k, _)| k.starts_with(keys::LEDGER))
        .map(|(k, v)| (k.clone(), v.0.clone()))
        .collect();
    write_ledger(&mut cluster);
    for (key, value) in first_entry {
        cluster.store.put(&key, value);
    }
    let held = cluster.store.elect(2, 3.0).placements_held();
    assert_eq!(
        held,
        cluster.leader.placements_held(),
        "the tasks are on the second machine only"
    );
}

/// After a crash of all controllers the first one back was flooded by users
/// while the leases of workers that could not get through ran out.
#[test]
fn a_new_leader_settles_once_most_workers_were_heard() {
    let mut cluster = TestCluster::new();
    assert!(!cluster.leader.is_settling(0.1), "nothing to wait for");
    let mut workers = fleet(10);
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 1.0);
    }
    cluster.submit(&big(1, 40), 2.0);
    cluster.leader.place_pending(2.0);
    cluster.write_all();
    cluster.fail_over(2, 5.0);
    assert!(cluster.leader.is_settling(5.1));
    for worker in &mut workers[..6] {
        cluster.heartbeat(worker, "n2", 5.5);
    }
    assert!(cluster.leader.is_settling(5.6), "six of ten");
    cluster.heartbeat(&mut workers[6], "n2", 5.7);
    assert!(!cluster.leader.is_settling(5.8));
    assert!(
        !cluster.store.elect(3, 10.0).is_settling(13.5),
        "not for ever"
    );
}

/// Dozens of machines lose the network for less than their lease: none is
/// deleted, nothing of theirs starts elsewhere, and all goes on afterwards.
#[test]
fn a_partition_shorter_than_the_lease_loses_nothing() {
    let (mut cluster, mut workers) = cluster_of(60);
    cluster.submit(&big(1, 240), 2.0);
    cluster.leader.place_pending(2.0);
    cluster.write_all();
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 2.5);
    }
    let held = cluster.leader.placements_held();
    assert_eq!(held.len(), 240);
    for now in 3..12 {
        for worker in &mut workers[30..] {
            cluster.heartbeat(worker, "n1", f64::from(now));
        }
        for call in cluster.leader.autoscale(f64::from(now)) {
            assert!(!matches!(call, CloudCall::Delete(_)), "at {now}: {call:?}");
        }
    }
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 12.2);
    }
    assert_eq!(cluster.leader.placements_held(), held);
    assert_eq!(workers.iter().map(Worker::running).sum::<usize>(), 240);
}
