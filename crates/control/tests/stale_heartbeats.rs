//! Heartbeats that arrive late or twice: as the first one that a new leader takes, at every
//! controller at once, after newer ones, or from before a worker restart.

mod common;

use cherrywood_control::ShardOwner;
use cherrywood_control::leader::StatusQuery;
use cherrywood_wire::agent::{Command, Heartbeat};
use common::*;

/// A cluster with a machine that runs four tasks, and a heartbeat of the machine from before it
/// had any.
fn machine_with_four_tasks(incarnation: u64) -> (TestCluster, Worker, Heartbeat) {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    worker.incarnation = incarnation;
    cluster.heartbeat(&mut worker, "n1", 1.0);
    let stale = worker.next_heartbeat();
    cluster.submit(&job("wk-000001", 4), 2.0);
    cluster.heartbeat(&mut worker, "n1", 2.0);
    assert_eq!(worker.running(), 4);
    (cluster, worker, stale)
}

/// The stale heartbeat arrives at every controller at once. The absence of tasks in it proves
/// nothing: only one controller gets the shard lease, and the tasks that it does not list are not
/// started elsewhere.
#[test]
fn a_stale_heartbeat_as_the_first_one_a_new_leader_hears_frees_nothing() {
    for earlier in [false, true] {
        let (mut cluster, mut worker, stale) = machine_with_four_tasks(2);
        let stale = Heartbeat {
            incarnation: if earlier { 1 } else { 2 },
            ..stale
        };
        cluster.fail_over(2, 5.0);
        let granted = ["n1", "n2", "n3"]
            .map(|n| cluster.leader.take_heartbeat(n, &stale, &[], 5.1).is_some());
        let n = granted.iter().filter(|g| **g).count();
        assert_eq!(
            n,
            usize::from(!earlier),
            "a heartbeat of an earlier incarnation is recognised"
        );
        let starts = |c: &Command| matches!(c, Command::Start { .. });
        assert!(
            !cluster
                .leader
                .heartbeat_commands(&stale, 5.1)
                .iter()
                .any(starts)
        );
        let mut other = Worker::new("vm-2");
        cluster.heartbeat(&mut other, "n2", 5.2);
        cluster.heartbeat(&mut other, "n2", 6.2);
        assert_eq!(
            (cluster.placements_on("vm-1"), other.running()),
            (4, 0),
            "they run on"
        );
        // The worker's own heartbeats show its tasks as they were.
        for now in [6.5, 7.5] {
            cluster.heartbeat(&mut worker, "n3", now);
        }
        assert_eq!((cluster.placements_on("vm-1"), worker.running()), (4, 4));
        // More copies arrive after newer heartbeats.
        for n in ["n1", "n2", "n3"] {
            assert!(cluster.leader.take_heartbeat(n, &stale, &[], 8.0).is_none());
        }
        assert_eq!(cluster.placements_on("vm-1"), 4);
        cluster.leader.audit().unwrap();
    }
}

/// The heartbeat arrives after the new leader has stopped, placed and freed tasks. It frees no
/// placement, restores none, and gets no shard lease for its machine.
#[test]
fn a_heartbeat_delayed_until_a_new_leader_has_acted_changes_nothing() {
    let (mut cluster, mut worker, _) = machine_with_four_tasks(1);
    let held_back = worker.next_heartbeat();
    cluster.store.cancel("wk-000001");
    cluster.fail_over(2, 5.0);
    for now in [6.0, 7.0, 8.0] {
        cluster.heartbeat(&mut worker, "n2", now);
    }
    assert_eq!((worker.running(), cluster.placements_on("vm-1")), (0, 0));
    cluster.submit(&job("wk-000002", 4), 8.0);
    for now in [8.5, 9.5] {
        cluster.heartbeat(&mut worker, "n2", now);
    }
    assert_eq!((worker.running(), cluster.placements_on("vm-1")), (4, 4));
    let (held, extended) = (
        cluster.leader.placements_held(),
        cluster.leader.extend_shard("n2", 9.6),
    );
    assert_eq!(extended.len(), 1);
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &held_back, &[], 9.7)
            .is_none()
    );
    assert!(
        cluster
            .leader
            .heartbeat_commands(&held_back, 9.7)
            .is_empty()
    );
    assert_eq!(cluster.leader.placements_held(), held);
    assert_eq!(cluster.leader.extend_shard("n2", 9.8), extended);
    assert!(cluster.leader.extend_shard("n1", 9.8).is_empty());
    cluster.leader.audit().unwrap();
}

/// A heartbeat that shows the exit of an earlier attempt arrives after newer ones. The task runs
/// on in its present attempt.
#[test]
fn exits_of_an_earlier_attempt_do_not_end_a_later_one() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&job("wk-000001", 1), 0.0);
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.heartbeat(&mut worker, "n1", 2.0);
    worker.tasks[0].exit = Some(cherrywood_wire::agent::ExitCause::Error);
    let copy = worker.next_heartbeat();
    for now in [3.0, 4.0, 30.0, 31.0, 32.0] {
        cluster.heartbeat(&mut worker, "n1", now);
    }
    assert_eq!(worker.running(), 1, "the task runs in a later attempt");
    for leader in [&mut cluster.leader, &mut cluster.store.elect(2, 40.0)] {
        leader.take_heartbeat("n3", &copy, &[], 41.0);
        assert_eq!(placements_on(leader, "vm-1"), 1);
        // The same status arrives in a late response to a direct command.
        leader.take_direct_status(&copy, 41.0);
        assert_eq!(placements_on(leader, "vm-1"), 1);
    }
}

/// The leader does not respond to a duplicate, and the shard lease, which the duplicate does not
/// extend, expires at its time.
#[test]
fn a_duplicate_heartbeat_does_not_extend_a_shard_lease() {
    let (mut cluster, _, stale) = machine_with_four_tasks(1);
    cluster.fail_over(2, 5.0);
    let mut owner = ShardOwner::default();
    let grant_s = cluster.leader.timing.shard_lease_s;
    let token = cluster
        .leader
        .take_heartbeat("n1", &stale, &[], 5.0)
        .unwrap();
    owner.lease_granted("vm-1", token, 5.0, grant_s);
    for n in 0..60 {
        let now = 5.5 + f64::from(n) / 2.0;
        assert!(
            cluster
                .leader
                .take_heartbeat("n1", &stale, &[], now)
                .is_none()
        );
        for (machine, token) in cluster.leader.extend_shard("n1", now) {
            assert!(now - 5.0 <= 2.5, "no sign of life, at {now}");
            owner.lease_granted(&machine, token, now, grant_s);
        }
    }
    assert!(
        owner
            .valid_token("vm-1", 5.0 + 2.5 + grant_s + 0.1)
            .is_none()
    );
}

// --- restarted workers, whose incarnations start from 1 again ---

/// The heartbeats of a restarted worker look older than those from before the restart. Without a
/// status query the leader would take the machine for silent until it deletes it.
#[test]
fn a_restarted_worker_is_accepted_again_after_a_status_query() {
    let (mut cluster, mut former, _) = machine_with_four_tasks(5);
    cluster.fail_over(2, 5.0);
    cluster.heartbeat(&mut former, "n1", 6.0);
    cluster.heartbeat(&mut former, "n1", 7.0);
    let copy = former.next_heartbeat();
    let mut worker = Worker::new("vm-1");
    let mut asked = 0;
    for n in 8..16 {
        let now = f64::from(n);
        cluster.heartbeat(&mut worker, "n1", now);
        for StatusQuery { machine, .. } in cluster.leader.due_status_queries(now) {
            asked += 1;
            let status = worker.next_heartbeat();
            cluster
                .leader
                .status_query_done(&machine, now, Some(&status), now + 0.1);
        }
        cluster.leader.autoscale(now);
    }
    assert_eq!(asked, 1);
    assert!(
        cluster
            .leader
            .extend_shard("n1", 16.0)
            .iter()
            .any(|m| m.0 == "vm-1"),
        "the machine is heard"
    );
    assert_eq!(
        (cluster.placements_on("vm-1"), worker.running()),
        (4, 4),
        "its lost tasks run again"
    );
    // A heartbeat from before the restart arrives, before and after a failover.
    let held = cluster.leader.placements_held();
    assert!(
        cluster
            .leader
            .take_heartbeat("n2", &copy, &[], 16.5)
            .is_none()
    );
    assert_eq!(cluster.leader.placements_held(), held);
    let mut next = cluster.store.elect(3, 17.0);
    next.take_heartbeat("n2", &copy, &[], 17.5);
    assert_eq!(placements_on(&next, "vm-1"), 4, "they run on");
    for n in 18..30 {
        let now = f64::from(n);
        exchange_heartbeat(&mut next, &mut cluster.store, &mut worker, "n1", now);
        for StatusQuery { machine, .. } in next.due_status_queries(now) {
            let status = worker.next_heartbeat();
            next.status_query_done(&machine, now, Some(&status), now + 0.1);
        }
    }
    assert_eq!(
        (placements_on(&next, "vm-1"), worker.running()),
        (4, 4),
        "the next leader accepts the machine again too"
    );
    assert!(next.extend_shard("n1", 30.0).iter().any(|m| m.0 == "vm-1"));
    next.audit().unwrap();
}

/// Between the status query and a heartbeat that shows a token issued after the restart nothing
/// proves that tasks are gone: neither heartbeats from before the restart, whatever their
/// numbers, nor the absence of tasks since.
#[test]
fn after_a_worker_restart_no_placement_is_freed_before_a_heartbeat_shows_a_new_token() {
    let (mut cluster, mut former, _) = machine_with_four_tasks(5);
    cluster.fail_over(2, 5.0);
    for now in [6.0, 7.0] {
        cluster.heartbeat(&mut former, "n1", now);
    }
    let copy = Heartbeat {
        incarnation: 9,
        tasks: Vec::new(),
        ..former.next_heartbeat()
    };
    let mut worker = Worker::new("vm-1");
    cluster
        .leader
        .take_heartbeat("n1", &worker.next_heartbeat(), &[], 12.0);
    let question = cluster.leader.due_status_queries(12.1);
    assert_eq!(question.len(), 1);
    cluster
        .leader
        .status_query_done("vm-1", 12.1, Some(&worker.next_heartbeat()), 12.2);
    assert_eq!(
        cluster.placements_on("vm-1"),
        4,
        "the response alone frees no placement"
    );
    assert!(
        cluster
            .leader
            .take_heartbeat("n2", &copy, &[], 12.3)
            .is_none()
    );
    assert_eq!(cluster.placements_on("vm-1"), 4);
    let same_incarnation = Heartbeat {
        incarnation: 1,
        sequence: 9000,
        ..copy
    };
    cluster
        .leader
        .take_heartbeat("n2", &same_incarnation, &[], 12.4);
    assert_eq!(cluster.placements_on("vm-1"), 4);
    // The high number of that copy makes the worker's heartbeats look old, so it is queried again.
    let mut now = 12.5;
    while cluster.placements_on("vm-1") == 4 && worker.running() == 0 {
        now += 1.0;
        assert!(now < 20.0, "the machine is not accepted again");
        cluster.heartbeat(&mut worker, "n1", now);
        for StatusQuery { machine, .. } in cluster.leader.due_status_queries(now) {
            cluster.leader.status_query_done(
                &machine,
                now,
                Some(&worker.next_heartbeat()),
                now + 0.1,
            );
        }
    }
    cluster.heartbeat(&mut worker, "n1", now + 1.0);
    cluster.heartbeat(&mut worker, "n1", now + 2.0);
    assert_eq!((cluster.placements_on("vm-1"), worker.running()), (4, 4));
    cluster.leader.audit().unwrap();
}

/// The response to the status query is the newest status of the worker and undoes nothing.
/// Neither does a response that arrives after a newer heartbeat or without a query.
#[test]
fn a_status_query_to_a_worker_that_did_not_restart_changes_nothing() {
    let (mut cluster, mut worker, _) = machine_with_four_tasks(1);
    cluster.fail_over(2, 5.0);
    for now in [6.0, 7.0] {
        cluster.heartbeat(&mut worker, "n1", now);
    }
    let (late, early) = (worker.next_heartbeat(), worker.next_heartbeat());
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &early, &[], 8.0)
            .is_some()
    );
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &late, &[], 12.0)
            .is_none()
    );
    assert_eq!(cluster.leader.due_status_queries(12.1).len(), 1);
    assert!(
        cluster.leader.due_status_queries(12.2).is_empty(),
        "at most one query at a time"
    );
    let before = cluster.leader.placements_held();
    let stale = worker.next_heartbeat();
    // A heartbeat arrives before the response; then responses arrive without a query.
    let token = cluster
        .leader
        .take_heartbeat("n1", &worker.next_heartbeat(), &[], 12.3);
    assert!(token.is_some());
    cluster
        .leader
        .status_query_done("vm-1", 12.1, Some(&stale), 12.4);
    cluster
        .leader
        .status_query_done("vm-1", 12.1, Some(&late), 12.5);
    cluster
        .leader
        .status_query_done("vm-1", 99.0, Some(&late), 12.6);
    assert_eq!(cluster.leader.placements_held(), before);
    assert!(
        cluster
            .leader
            .take_heartbeat("n1", &worker.next_heartbeat(), &[], 13.0)
            .is_some(),
        "its heartbeats are still taken"
    );
    // Another machine has the address by now.
    cluster.leader.take_heartbeat("n1", &late, &[], 20.0);
    assert_eq!(cluster.leader.due_status_queries(20.1).len(), 1);
    cluster.leader.status_query_done(
        "vm-1",
        20.1,
        Some(&Worker::new("vm-7").next_heartbeat()),
        20.2,
    );
    assert_eq!(
        cluster
            .leader
            .take_heartbeat("n1", &worker.next_heartbeat(), &[], 21.0),
        token
    );
    assert_eq!(cluster.leader.placements_held(), before);
    cluster.leader.audit().unwrap();
}
