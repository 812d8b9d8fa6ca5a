//! Machines whose heartbeats arrive while no response reaches them (one-way partition), and
//! duplicate heartbeats.

mod common;

use cherrywood_control::Leader;
use common::*;

/// Sends heartbeats of a worker that receives no responses. Its lease expires at 11 s and every
/// 10 s after that.
fn heartbeats_without_responses(leader: &mut Leader, worker: &mut Worker, from: f64, to: f64) {
    let mut now = from;
    while now < to {
        if now as u64 % 10 == 1 {
            worker.incarnation += 1;
            worker.tasks.clear();
        }
        let heartbeat = worker.next_heartbeat();
        // The worker tries one controller after the other.
        let owner = ["n1", "n2"][now as usize % 2];
        leader.take_heartbeat(owner, &heartbeat, &[], now);
        leader.heartbeat_commands(&heartbeat, now);
        leader.place_pending(now);
        now += 1.0;
    }
}

/// A machine that receives no responses would be given tasks for as long as it sends heartbeats,
/// and lose them at each lease expiry.
#[test]
fn a_machine_that_receives_no_responses_takes_no_more_work_and_is_replaced() {
    let mut cluster = TestCluster::new();
    let (mut unreachable, mut reachable) = (Worker::new("vm-1"), Worker::new("vm-2"));
    cluster.submit(&job("wk-000001", 8), 0.0);
    cluster.heartbeat(&mut unreachable, "n1", 1.0);
    cluster.heartbeat(&mut unreachable, "n1", 2.0);
    assert_eq!(unreachable.running(), 4);
    heartbeats_without_responses(&mut cluster.leader, &mut unreachable, 3.0, 9.0);
    cluster.write_all_at(9.0);
    // Unacknowledged commands free no placement; the next incarnation of the worker does.
    assert_eq!(
        cluster.placements_on("vm-1"),
        4,
        "its lease may not have expired"
    );
    heartbeats_without_responses(&mut cluster.leader, &mut unreachable, 9.0, 14.0);
    let mut later = 14.0;
    assert_eq!(
        cluster.placements_on("vm-1"),
        0,
        "its tasks are gone, and none is placed there"
    );
    cluster.heartbeat(&mut reachable, "n1", later);
    cluster.heartbeat(&mut reachable, "n1", later + 1.0);
    assert_eq!(reachable.running(), 4, "the tasks run elsewhere");
    // A heartbeat that shows the newest token makes the machine usable again.
    let mut new_leader = cluster.store.elect(2, 15.0);
    heartbeats_without_responses(&mut new_leader, &mut unreachable, 15.0, 22.0);
    unreachable.fencing_token = u64::MAX >> 8;
    for n in 0..3 {
        exchange_heartbeat(
            &mut new_leader,
            &mut cluster.store,
            &mut unreachable,
            "n1",
            22.0 + f64::from(n),
        );
    }
    assert!(placements_on(&new_leader, "vm-1") > 0);
    // Otherwise the machine is deleted once its lease has certainly expired.
    unreachable.fencing_token = 0;
    let mut calls = Vec::new();
    cluster.fail_over(3, 30.0);
    later = 30.0;
    while later < 46.0 {
        heartbeats_without_responses(&mut cluster.leader, &mut unreachable, later, later + 1.0);
        for worker in ["vm-2", "vm-3", "vm-4", "vm-5"] {
            let mut worker = Worker::new(worker);
            (worker.incarnation, worker.sequence, worker.fencing_token) =
                (9, later as u64 * 2, u64::MAX >> 8);
            cluster
                .leader
                .take_heartbeat("n1", &worker.next_heartbeat(), &[], later)
                .unwrap();
        }
        calls.extend(cluster.leader.autoscale(later));
        later += 1.0;
    }
    let deleted = format!("{calls:?}").matches("Delete([\"vm-1\"").count();
    assert!(deleted > 0, "{calls:?}");
}

/// A duplicate of a heartbeat that was taken extends no lease and does not show that the machine
/// is alive.
#[test]
fn a_duplicate_heartbeat_gets_no_response_and_extends_no_lease() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 4), 0.0);
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.heartbeat(&mut worker, "n1", 2.0);
    let duplicate = worker.next_heartbeat();
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &duplicate, &[], 3.0)
            .is_some()
    );
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &duplicate, &[], 4.0)
            .is_none(),
        "a duplicate"
    );
    assert!(
        cluster
            .leader
            .take_heartbeat("n2", &duplicate, &[], 30.0)
            .is_none(),
        "at another owner"
    );
    // Duplicates arrive for longer than a lease; the machine counts as silent nevertheless.
    for n in 0..30 {
        cluster
            .leader
            .take_heartbeat("n1", &duplicate, &[], 31.0 + f64::from(n));
    }
    assert!(
        cluster.leader.extend_shard("n1", 60.0).is_empty(),
        "a duplicate does not show that the machine is alive"
    );
}

/// The worker has restarted, so its incarnations start from 1 again. A duplicate from before the
/// restart, of a higher incarnation, must not free placements of a later leader: their tasks
/// would run twice.
#[test]
fn a_duplicate_heartbeat_from_before_a_worker_restart_frees_nothing() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    worker.incarnation = 5;
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.heartbeat(&mut worker, "n1", 2.0);
    let duplicate = worker.next_heartbeat();
    // The worker restarts; the next leader has heard no heartbeat from before.
    cluster.fail_over(2, 10.0);
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 4), 10.0);
    cluster.heartbeat(&mut worker, "n1", 11.0);
    cluster.heartbeat(&mut worker, "n1", 12.0);
    assert_eq!(
        (worker.running(), cluster.leader.placements_held().len()),
        (4, 4)
    );
    cluster.leader.take_heartbeat("n1", &duplicate, &[], 13.0);
    assert_eq!(
        cluster.leader.placements_held().len(),
        4,
        "the tasks may be running"
    );
}

/// Controllers fail one after the other, so the machine never shows the newest token, but a
/// newer one each time.
#[test]
fn a_machine_that_moves_between_controllers_counts_as_receiving_responses() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 4), 0.0);
    for n in 0..40u32 {
        let now = f64::from(n);
        let owner = ["n1", "n2", "n3"][n as usize % 3];
        let heartbeat = worker.next_heartbeat();
        let token = cluster
            .leader
            .take_heartbeat(owner, &heartbeat, &[], now)
            .unwrap();
        cluster.leader.heartbeat_commands(&heartbeat, now);
        cluster.leader.place_pending(now);
        assert!(
            cluster
                .leader
                .autoscale(now)
                .iter()
                .all(|c| !format!("{c:?}").contains("Delete"))
        );
        worker.fencing_token = token;
    }
    cluster.write_all_at(40.0);
    assert_eq!(
        cluster.leader.placements_held().len(),
        4,
        "the machine is given work"
    );
}
