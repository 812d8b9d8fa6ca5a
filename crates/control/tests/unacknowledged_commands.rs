//! Machines whose heartbeats arrive while no response reaches them, and duplicate
//! heartbeats.

mod common;

use cherrywood_control::Leader;
use common::*;

/// Heartbeats of a worker that receives no responses; its lease ends at 11 s, and every
/// 10 s after that.
fn unheard(leader: &mut Leader, worker: &mut Worker, from: f64, to: f64) {
    let mut now = from;
    while now < to {
        if now as u64 % 10 == 1 {
            worker.incarnation += 1;
            worker.tasks.clear();
        }
        let heartbeat = worker.next_heartbeat();
        // It tries one controller after the other.
        let owner = ["n1", "n2"][now as usize % 2];
        leader.take_heartbeat(owner, &heartbeat, &[], now);
        leader.heartbeat_commands(&heartbeat, now);
        leader.place_pending(now);
        now += 1.0;
    }
}

/// Such a machine took tasks for as long as it sent heartbeats, and lost them with each
/// of its leases.
#[test]
fn a_machine_that_receives_no_responses_takes_no_more_work_and_is_replaced() {
    let mut cluster = TestCluster::new();
    let (mut deaf, mut well) = (Worker::new("vm-1"), Worker::new("vm-2"));
    cluster.submit(&job("wk-000001", 8), 0.0);
    cluster.heartbeat(&mut deaf, "n1", 1.0);
    cluster.heartbeat(&mut deaf, "n1", 2.0);
    assert_eq!(deaf.running(), 4);
    unheard(&mut cluster.leader, &mut deaf, 3.0, 9.0);
    cluster.write_all_at(9.0);
    // Its silence frees nothing; its next incarnation does.
    assert_eq!(cluster.placements_on("vm-1"), 4, "its lease may last");
    unheard(&mut cluster.leader, &mut deaf, 9.0, 14.0);
    let mut later = 14.0;
    assert_eq!(
        cluster.placements_on("vm-1"),
        0,
        "its tasks died, and none is placed there"
    );
    cluster.heartbeat(&mut well, "n1", later);
    cluster.heartbeat(&mut well, "n1", later + 1.0);
    assert_eq!(well.running(), 4, "they run elsewhere");
    // A heartbeat that shows the newest token takes it back.
    let mut back = cluster.store.elect(2, 15.0);
    unheard(&mut back, &mut deaf, 15.0, 22.0);
    deaf.fencing_token = u64::MAX >> 8;
    for n in 0..3 {
        exchange_heartbeat(
            &mut back,
            &mut cluster.store,
            &mut deaf,
            "n1",
            22.0 + f64::from(n),
        );
    }
    assert!(placements_on(&back, "vm-1") > 0);
    // Otherwise it is deleted, once its lease is over for certain.
    deaf.fencing_token = 0;
    let mut calls = Vec::new();
    cluster.fail_over(3, 30.0);
    later = 30.0;
    while later < 46.0 {
        unheard(&mut cluster.leader, &mut deaf, later, later + 1.0);
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

/// A copy of a heartbeat that was taken extends nothing, and is no sign of life.
#[test]
fn a_duplicate_heartbeat_proves_nothing() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 4), 0.0);
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.heartbeat(&mut worker, "n1", 2.0);
    let copy = worker.next_heartbeat();
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &copy, &[], 3.0)
            .is_some()
    );
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &copy, &[], 4.0)
            .is_none(),
        "a copy"
    );
    assert!(
        cluster
            .leader
            .take_heartbeat("n2", &copy, &[], 30.0)
            .is_none(),
        "at another holder"
    );
    // Copies come for a lease and longer; the machine is silent all the same.
    for n in 0..30 {
        cluster
            .leader
            .take_heartbeat("n1", &copy, &[], 31.0 + f64::from(n));
    }
    assert!(
        cluster.leader.extend_shard("n1", 60.0).is_empty(),
        "no sign of life"
    );
}

/// The worker restarted, so its incarnations began anew. A copy from before, of a
/// higher incarnation, must not free what a later leader placed: that ran a task twice.
#[test]
fn a_duplicate_heartbeat_from_before_a_worker_restart_frees_nothing() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    worker.incarnation = 5;
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.heartbeat(&mut worker, "n1", 2.0);
    let copy = worker.next_heartbeat();
    // It restarted; the next leader knows nothing of the time before.
    cluster.fail_over(2, 10.0);
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 4), 10.0);
    cluster.heartbeat(&mut worker, "n1", 11.0);
    cluster.heartbeat(&mut worker, "n1", 12.0);
    assert_eq!(
        (worker.running(), cluster.leader.placements_held().len()),
        (4, 4)
    );
    cluster.leader.take_heartbeat("n1", &copy, &[], 13.0);
    assert_eq!(
        cluster.leader.placements_held().len(),
        4,
        "its tasks may run on"
    );
}

/// Controllers end one after the other, so the machine never shows the newest token,
/// but a newer one each time.
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
    assert_eq!(cluster.leader.placements_held().len(), 4, "it takes work");
}
