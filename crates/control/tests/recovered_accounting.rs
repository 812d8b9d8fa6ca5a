//! Accounting of recovered state by a new leader: tasks of jobs bound to one zone or spread over
//! several, tasks that complete far apart under many leaders, and ledger transactions that are
//! executed twice.

mod common;

use cherrywood_control::leader::{CloudCall, WriteOutcome};
use cherrywood_control::{Leader, keys};
use cherrywood_wire::agent::ExitCause;
use cherrywood_wire::user::{JobState, Submission};
use common::*;

fn wide(id: &str, tasks: u32) -> Submission {
    Submission {
        team: "wide".into(),
        ..job(id, tasks)
    }
}

fn in_zone(name: &str, zone: &str) -> Worker {
    let mut worker = Worker::new(name);
    worker.zone = zone.into();
    worker
}

fn running_tasks_of(worker: &Worker, id: &str) -> usize {
    let own = |t: &&WorkerTask| t.task.starts_with(id) && t.is_running();
    worker.tasks.iter().filter(own).count()
}

fn deletions(leader: &mut Leader, now: f64) -> Vec<String> {
    let calls = leader.autoscale(now).into_iter();
    let names = calls.filter_map(|c| match c {
        CloudCall::Delete(names) => Some(names),
        CloudCall::Rent(_) => None,
    });
    names.flatten().collect()
}

/// How the machine with the old tasks is lost to the leaders that follow.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Lost {
    Silent,
    ReceivesNothing,
}

/// Four tasks of a single-zone array run in zone a, and the leader changes twice while their
/// machine can't be reached. The other tasks must wait although machines in zone b are free, and
/// may start there only when the four are proven gone.
#[test]
fn a_one_zone_array_restarts_in_another_zone_only_when_its_old_tasks_are_gone() {
    for lost in [Lost::Silent, Lost::ReceivesNothing] {
        let mut cluster = TestCluster::new();
        let mut a = in_zone("vm-1", "a");
        let array = Submission {
            single_zone: true,
            ..wide("wk-000001", 10)
        };
        cluster.submit(&array, 0.0);
        cluster.heartbeat(&mut a, "n", 1.0);
        assert_eq!(
            running_tasks_of(&a, "wk-000001"),
            4,
            "a machine has room for four tasks"
        );
        for t in a.tasks.iter_mut().skip(1) {
            t.exit = Some(ExitCause::Done);
        }
        cluster.heartbeat(&mut a, "n", 2.0);
        let _ = cluster.store.elect(2, 3.0);
        cluster.fail_over(3, 5.0);
        let mut b = in_zone("vm-2", "b");
        let mut gone = None;
        let mut now = 5.0;
        while now < 95.0 && running_tasks_of(&b, "wk-000001") == 0 {
            now += 0.5;
            // The last heartbeat with a response was sent at 2 s.
            if gone.is_none() && now > 2.0 + cluster.leader.timing.worker_lease_s {
                a.tasks.clear();
                a.incarnation += 1;
                gone = Some(now);
            }
            if lost == Lost::ReceivesNothing {
                cluster
                    .leader
                    .take_heartbeat("n", &a.next_heartbeat(), &[], now);
            }
            cluster.heartbeat(&mut b, "n", now);
            for name in deletions(&mut cluster.leader, now) {
                if name == a.name {
                    a.tasks.clear();
                    gone.get_or_insert(now);
                } else {
                    b = in_zone(&format!("vm-b{now}"), "b");
                }
                cluster.leader.machines_deleted(&[name], now);
            }
            cluster.leader.audit().unwrap();
            let apart =
                running_tasks_of(&a, "wk-000001") > 0 && running_tasks_of(&b, "wk-000001") > 0;
            assert!(!apart, "{lost:?}: in two zones at {now}");
        }
        assert!(
            running_tasks_of(&b, "wk-000001") > 0,
            "{lost:?}: it never restarts"
        );
        assert!(gone.is_some(), "{lost:?}: before its old task was gone");
    }
}

/// Two of the four tasks of a spread array are in zone a when the leader changes twice and the
/// machine there is silent. No third task starts there, and zone b gets the other two.
#[test]
fn a_spread_array_counts_the_tasks_of_silent_machines_zone_by_zone() {
    let mut cluster = TestCluster::new();
    let mut a = in_zone("vm-1", "a");
    let array = Submission {
        spread_over_zones: true,
        ..wide("wk-000001", 4)
    };
    cluster.submit(&array, 0.0);
    cluster.heartbeat(&mut a, "n", 1.0);
    assert_eq!(running_tasks_of(&a, "wk-000001"), 2);
    let _ = cluster.store.elect(2, 3.0);
    cluster.fail_over(3, 5.0);
    let (mut other_a, mut b) = (in_zone("vm-2", "a"), in_zone("vm-3", "b"));
    for n in 0..10 {
        let now = 5.0 + f64::from(n);
        cluster.heartbeat(&mut other_a, "n", now);
        cluster.heartbeat(&mut b, "n", now);
        assert_eq!(running_tasks_of(&other_a, "wk-000001"), 0, "at {now}");
    }
    assert_eq!(running_tasks_of(&b, "wk-000001"), 2);
    cluster.leader.audit().unwrap();
}

/// One task completes under each of three of twelve leaders. Each completion is counted once, and
/// the job is done after the last one and not before.
#[test]
fn tasks_that_complete_far_apart_under_many_leaders_are_each_counted_once() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.submit(&wide("wk-000001", 3), 0.0);
    cluster.heartbeat(&mut worker, "n", 1.0);
    assert_eq!(worker.running(), 3);
    for term in 2..=13u64 {
        let now = 10.0 * term as f64;
        // The task completes between two heartbeats, and the leader that learns it fails before
        // it writes the completion.
        let ends = [(3, 0), (7, 1), (12, 2)].into_iter().find(|e| e.0 == term);
        if let Some((_, task)) = ends {
            let name = format!("wk-000001/{task}");
            let t = worker.tasks.iter_mut().find(|t| t.task == name).unwrap();
            t.exit = Some(ExitCause::Done);
            let heartbeat = worker.next_heartbeat();
            if let Some(token) = cluster.leader.take_heartbeat("n", &heartbeat, &[], now) {
                let commands = cluster.leader.heartbeat_commands(&heartbeat, now);
                worker.execute_commands(token, &commands);
            }
        }
        cluster.fail_over(term, now + 1.0);
        for n in 2..4 {
            cluster.heartbeat(&mut worker, "n", now + f64::from(n));
        }
        cluster.leader.audit().unwrap();
        let ended = [3, 7, 12]
            .iter()
            .filter(|running_tasks_of| **running_tasks_of <= term)
            .count();
        let done = (ended == 3).then_some(JobState::Done);
        assert_eq!(cluster.store.final_state("wk-000001"), done, "term {term}");
        assert_eq!(worker.running(), 3 - ended, "term {term}");
    }
    assert!(!cluster.store.records.contains_key(&keys::job("wk-000001")));
}

/// All controllers are down for longer than a lease, so every worker has ended its tasks and
/// begun a new incarnation. The next leader starts each task once more, and none beside an old
/// one.
#[test]
fn a_leader_elected_after_an_outage_longer_than_a_lease_starts_each_task_once() {
    let mut cluster = TestCluster::new();
    let mut workers = [Worker::new("vm-1"), Worker::new("vm-2")];
    cluster.submit(&wide("wk-000001", 8), 0.0);
    for w in &mut workers {
        cluster.heartbeat(w, "n", 1.0);
    }
    let running = |ws: &[Worker]| ws.iter().map(Worker::running).sum::<usize>();
    assert_eq!(running(&workers), 8);
    let before = 1.0 + cluster.leader.timing.worker_lease_s;
    for (term, away_s) in [(2u32, 0.5), (3, 8.0), (4, 60.0)] {
        for w in &mut workers {
            w.incarnation += 1;
            w.tasks.clear();
        }
        let at = before + away_s + 100.0 * f64::from(term);
        cluster.fail_over(u64::from(term), at);
        for n in 0..6 {
            let now = at + f64::from(n) + 1.0;
            for w in &mut workers {
                cluster.heartbeat(w, "n", now);
            }
            let mut tasks: Vec<&String> = workers
                .iter()
                .flat_map(|w| w.tasks.iter().map(|t| &t.task))
                .collect();
            tasks.sort_unstable();
            let all = tasks.len();
            tasks.dedup();
            assert_eq!(tasks.len(), all, "term {term}: ran twice at {now}");
        }
        assert_eq!(running(&workers), 8, "term {term}");
        cluster.leader.audit().unwrap();
    }
}

/// A ledger entry is written once, however often its transaction is executed. A duplicate that is
/// executed late, after newer entries, is rejected by the guard on the entry's own key, so that
/// the entry alone tells the sender whether it was written.
#[test]
fn a_duplicate_ledger_transaction_is_rejected_and_changes_nothing() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.submit(&job("wk-000001", 2), 0.0);
    cluster
        .leader
        .take_heartbeat("n", &worker.next_heartbeat(), &[], 1.0);
    cluster.leader.place_pending(1.0);
    let first = cluster.leader.ledger_batch().unwrap();
    let copy = first.txn.clone();
    let own = entries(&cluster.store, &copy);
    // The response is lost, and the transaction is sent again.
    cluster.store.apply(&copy);
    let WriteOutcome::Conflict(failed) = cluster.store.apply(&copy) else {
        panic!("written twice");
    };
    assert_eq!(failed, own);
    let conflict = WriteOutcome::Conflict(failed);
    cluster.leader.ledger_batch_done(first, &conflict);
    assert!(
        cluster.leader.ledger_batch().is_none(),
        "the outcome of the transaction is unknown"
    );
    cluster.reread();
    cluster.heartbeat(&mut worker, "n", 2.0);
    assert_eq!(worker.running(), 2);
    cluster.submit(&job("wk-000002", 2), 3.0);
    cluster.heartbeat(&mut worker, "n", 3.0);
    assert_eq!(worker.running(), 4);
    let (rows, held) = (
        ledger_revisions(&cluster.store),
        cluster.leader.placements_held(),
    );
    let WriteOutcome::Conflict(failed) = cluster.store.apply(&copy) else {
        panic!("written again after newer entries");
    };
    assert_eq!((failed, ledger_revisions(&cluster.store)), (own, rows));
    assert_eq!(cluster.store.elect(2, 4.0).placements_held(), held);
}

/// Returns the keys of the ledger entries that the transaction writes.
fn entries(store: &Store, txn: &cherrywood_wire::store::Txn) -> Vec<String> {
    let guarded = txn.guards.iter().map(|g| g.key.clone());
    let new = guarded.filter(|k| k.starts_with(keys::LEDGER) && store.revision_of(k) == 0);
    new.collect()
}

/// Returns the ledger's keys with their revisions.
fn ledger_revisions(store: &Store) -> Vec<(String, u64)> {
    let rows = store
        .records
        .iter()
        .filter(|r| r.0.starts_with(keys::LEDGER));
    rows.map(|(key, (_, revision))| (key.clone(), *revision))
        .collect()
}
