//! The placement ledger and placement with many machines. The tests count operations and bytes
//! and measure no time.

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

/// A cluster whose leader had a heartbeat from each machine at 1 s.
fn cluster_of(machines: usize) -> (TestCluster, Vec<Worker>) {
    let mut cluster = TestCluster::new();
    let mut workers = fleet(machines);
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 1.0);
    }
    (cluster, workers)
}

/// A job of team `wide` with this number in its id.
fn numbered_job(id: usize, tasks: u32) -> Submission {
    wide_job(&format!("wk-{id:06}"), tasks)
}

/// Number of ledger entries in the key-value store.
fn entries(store: &Store) -> usize {
    store
        .records
        .keys()
        .filter(|k| k.starts_with(keys::LEDGER))
        .count()
}

/// Totals of the transactions that [`write_ledger`] wrote.
#[derive(Debug, Default)]
struct LedgerWrites {
    transactions: usize,
    changes: usize,
    /// Bytes of the largest transaction.
    largest_bytes: usize,
}

/// Writes ledger batches until none is left.
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

/// With one key per machine a placement pass would need a change for each machine (600 here).
/// The ledger needs one change for all placements that fit a transaction.
#[test]
fn ledger_changes_do_not_grow_with_the_number_of_machines() {
    for machines in [10, 600] {
        let (mut cluster, _) = cluster_of(machines);
        cluster.submit(&numbered_job(1, machines as u32 * 4), 2.0);
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

/// A group of like tasks needs one search of the machines with room, and none if all machines
/// are full.
#[test]
fn a_placement_pass_examines_no_full_machine() {
    let (mut cluster, mut workers) = cluster_of(500);
    cluster.submit(&numbered_job(1, 2000), 2.0);
    cluster.leader.place_pending(2.0);
    assert_eq!(cluster.leader.placements_held().len(), 2000);
    assert!(
        cluster.leader.machines_examined() <= 500 * 501,
        "one search per group of four: {}",
        cluster.leader.machines_examined()
    );
    for id in 2..40 {
        cluster.submit(&numbered_job(id, 100), 2.5);
    }
    let before = cluster.leader.machines_examined();
    cluster.leader.place_pending(3.0);
    assert_eq!(
        cluster.leader.machines_examined(),
        before,
        "no machine has room"
    );
    // Two tasks end: only their machine is examined, by jobs that fit it.
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

/// A new leader with 2.25 times the machines of the operators' largest configuration knows the
/// cached images of every machine. With machine names written in full the value held 1,300
/// machines, and the images of the others were fetched again after each failover.
#[test]
fn image_caches_of_2650_machines_fit_one_value() {
    let (mut cluster, workers) = cluster_of(2650);
    for image in 0..28 {
        let spec = Submission {
            image: format!("img-{image}"),
            image_gb: 0.1,
            ..numbered_job(image, 300)
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

/// Long machine names must not make a transaction exceed its limits.
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
        cluster.submit(&numbered_job(id, 2), 2.0);
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

/// A third of hundreds of machines is silent after a failover: the new leader starts none of
/// their tasks elsewhere and places new work on the other machines.
#[test]
fn a_failover_with_hundreds_of_machines_waits_only_for_silent_ones() {
    let (mut cluster, mut workers) = cluster_of(300);
    cluster.submit(&numbered_job(1, 1000), 2.0);
    cluster.leader.place_pending(2.0);
    cluster.write_all();
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 2.5);
    }
    let running = |workers: &[Worker]| workers.iter().map(Worker::running).sum::<usize>();
    assert_eq!(running(&workers), 1000);
    cluster.fail_over(2, 5.0);
    assert_eq!(cluster.leader.placements_held().len(), 1000);
    cluster.submit(&numbered_job(2, 50), 5.0);
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
    assert_eq!(all.len(), 1050, "no task runs twice");
}

/// The response to a ledger transaction for many machines is lost. No task of it starts until
/// the leader has read whether the entry was written; then each task starts once.
#[test]
fn a_ledger_entry_in_doubt_starts_nothing_until_it_is_read() {
    for applied in [true, false] {
        let (mut cluster, mut workers) = cluster_of(50);
        cluster.submit(&numbered_job(1, 100), 2.0);
        cluster.leader.place_pending(2.0);
        let batch = cluster.leader.ledger_batch().unwrap();
        if applied {
            cluster.store.apply(&batch.txn);
        }
        cluster
            .leader
            .ledger_batch_done(batch, &WriteOutcome::Unknown);
        assert!(cluster.leader.due_direct_commands(2.1).is_empty());
        cluster.submit(&numbered_job(2, 20), 2.1);
        cluster.leader.place_pending(2.1);
        assert!(
            cluster.leader.ledger_batch().is_none(),
            "at most one entry is in doubt"
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

/// A cancellation fails the guard of a batch; the other jobs of the batch are written in the
/// next one.
#[test]
fn a_job_cancelled_during_a_write_delays_the_others_by_one_round() {
    let (mut cluster, _) = cluster_of(20);
    cluster.submit(&numbered_job(1, 10), 2.0);
    cluster.submit(&numbered_job(2, 10), 2.0);
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

/// Whichever tasks end or fail, machines get a new incarnation or are deleted, and writes are
/// lost, a new leader reads at least the placements that the old one held, and the ledger stays
/// short.
#[test]
fn after_random_events_a_recovery_holds_every_placement_and_the_ledger_stays_short() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cluster = TestCluster::new();
        let mut term = 1;
        let mut workers = fleet(12);
        let mut deleted = 0;
        for step in 0..400 {
            let now = 1.0 + f64::from(step) * 0.3;
            if step % 9 == 0 {
                cluster.submit(&numbered_job(step as usize, rng.random_range(1..20)), now);
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
                    deleted += 1;
                    workers[at] = Worker::new(&format!("vm-{:06}", 100 + deleted));
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
                    term += 1;
                    let before = cluster.leader.placements_held();
                    cluster.fail_over(term, now);
                    assert!(
                        cluster.leader.placements_held().is_superset(&before),
                        "seed {seed} step {step}"
                    );
                }
                _ => {}
            }
            let owner = format!("n{term}");
            cluster.heartbeat(&mut workers[at], &owner, now);
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
            assert_eq!(all.len(), n, "seed {seed} step {step}: a task runs twice");
            assert!(
                entries(&cluster.store) <= 140,
                "{}",
                entries(&cluster.store)
            );
        }
        // The only difference may be freed placements that no entry records yet.
        let held = cluster.leader.placements_held();
        let read = cluster.store.elect(term + 1, 200.0).placements_held();
        assert!(read.is_superset(&held), "seed {seed}");
    }
}

/// The entry of a long-running task is written again, so that it does not keep all later
/// entries in the ledger.
#[test]
fn a_long_running_task_does_not_keep_old_ledger_entries() {
    let mut cluster = TestCluster::new();
    let mut workers = fleet(2);
    let mut id = 1;
    cluster.submit(&numbered_job(0, 1), 0.5);
    for step in 0..600 {
        let now = 1.0 + f64::from(step);
        id += 1;
        cluster.submit(&numbered_job(id, 2), now);
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

/// An entry that is applied after it was read as missing repeats placements. They count once
/// towards the team's quota (two jobs of 8 CPUs, 16 allowed).
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
    let unanswered_batch = cluster.leader.ledger_batch().unwrap();
    let late_txn = unanswered_batch.txn.clone();
    cluster
        .leader
        .ledger_batch_done(unanswered_batch, &WriteOutcome::Unknown);
    cluster.reread();
    write_ledger(&mut cluster);
    assert!(matches!(
        cluster.store.apply(&late_txn),
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

/// A placement that is freed while its entry is being written is in that entry nevertheless;
/// the next entry marks it as freed.
#[test]
fn a_placement_freed_during_its_write_is_freed_by_the_next_entry() {
    let mut cluster = TestCluster::new();
    let mut workers = fleet(2);
    let first = &mut workers[0];
    cluster.submit(&numbered_job(1, 2), 0.5);
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
    // A placement on another machine keeps the first entry from being dropped whole.
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

/// After a crash of all controllers the first one back may be flooded by users' requests while
/// the leases of workers that can't reach it expire. Therefore a leader counts as settling until
/// it has heard most workers, for a bounded time.
#[test]
fn a_new_leader_has_settled_once_most_workers_were_heard() {
    let mut cluster = TestCluster::new();
    assert!(
        !cluster.leader.is_settling(0.1),
        "no placements to wait for"
    );
    let mut workers = fleet(10);
    for worker in &mut workers {
        cluster.heartbeat(worker, "n1", 1.0);
    }
    cluster.submit(&numbered_job(1, 40), 2.0);
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
        "settling is bounded in time"
    );
}

/// Dozens of machines are partitioned for less than their lease: none is deleted, none of their
/// tasks starts elsewhere, and all tasks run on.
#[test]
fn a_network_partition_shorter_than_the_lease_ends_no_task() {
    let (mut cluster, mut workers) = cluster_of(60);
    cluster.submit(&numbered_job(1, 240), 2.0);
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
