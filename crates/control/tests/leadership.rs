//! When a leader may write and act, and for which machines a hello or a response may renew a
//! lease.

mod common;

use cherrywood_control::leader::CommandOutcome;
use cherrywood_control::{Leadership, LeaseTiming, ShardOwner};
use cherrywood_wire::agent::Command;
use common::*;

fn timing() -> LeaseTiming {
    let w = worker_settings();
    LeaseTiming::new(w.lease_s, w.cancel_s)
}

/// Renewing the leader lease shows no cancellation. While the watch is refused, lags or hangs and
/// renewals succeed, the leader must not go on responding to workers.
#[test]
fn a_leader_whose_lease_is_renewed_without_a_view_may_not_act() {
    let (t, mut leadership) = (timing(), Leadership::default());
    leadership.leader_key_acquired(7, 100.0, &t);
    assert!(
        leadership.may_write(100.1) && !leadership.may_act(100.1, &t),
        "the leader has no view yet"
    );
    leadership.view_completed(7, 100.5);
    assert!(leadership.may_act(100.6, &t));
    let mut now = 100.5;
    while now < 110.0 {
        leadership.lease_renewed(7, now, &t);
        now += 0.5;
        let fresh = now < 100.5 + t.view_max_age_s * 0.999;
        assert_eq!(leadership.may_act(now, &t), fresh, "at {now}");
        assert!(leadership.may_write(now));
    }
    assert!(
        leadership.renewed_without_view_s(110.0) > 4.0,
        "another leader may have a newer view"
    );
    leadership.view_completed(7, 109.0);
    assert!(leadership.may_act(110.0, &t) && leadership.renewed_without_view_s(110.0) == 0.0);
}

/// After an outage the old leader renews its lease for the full duration. It must not renew
/// workers' leases before it knows which jobs were cancelled during the outage.
#[test]
fn after_an_outage_the_leader_acts_only_once_its_view_is_recent() {
    let (t, mut leadership) = (timing(), Leadership::default());
    leadership.leader_key_acquired(7, 0.0, &t);
    leadership.view_completed(7, 0.0);
    leadership.lease_renewed(7, 70.0, &t);
    assert!(leadership.may_write(70.1) && !leadership.may_act(70.1, &t));
    // The response to a request sent before the outage proves only what was committed before it.
    leadership.view_completed(7, 3.0);
    assert!(!leadership.may_act(70.1, &t));
    leadership.view_completed(7, 70.2);
    assert!(leadership.may_act(70.3, &t));
    // A response to an older request that arrives later does not make the view older.
    leadership.view_completed(7, 60.0);
    assert!(leadership.may_act(70.3, &t));
}

/// Views and renewals that name no lease at all don't count either.
#[test]
fn views_and_renewals_of_an_earlier_term_do_not_count() {
    let (t, mut leadership) = (timing(), Leadership::default());
    leadership.leader_key_acquired(7, 0.0, &t);
    leadership.view_completed(7, 0.5);
    leadership.leader_key_lost();
    leadership.view_completed(7, 0.6);
    leadership.view_completed(0, 0.6);
    leadership.lease_renewed(7, 0.6, &t);
    leadership.lease_renewed(0, 0.6, &t);
    assert!(!leadership.may_write(0.7) && !leadership.may_act(0.7, &t));
    leadership.leader_key_acquired(8, 1.0, &t);
    leadership.view_completed(7, 1.1);
    assert!(leadership.may_write(1.2) && !leadership.may_act(1.2, &t));
}

/// The whole lease chain at its limits: the leader never sees the cancellation and its last view
/// is as old as allowed, a shard owner hears the leader at the last moment, and a worker hears
/// the owner at the last moment.
#[test]
fn an_unseen_cancellation_ends_its_tasks_within_cancel_s() {
    for (lease, cancel) in [(10.0, 40.0), (22.0, 52.0), (15.25, 45.25)] {
        let t = LeaseTiming::new(lease, cancel);
        let (mut leadership, mut owner) = (Leadership::default(), ShardOwner::default());
        leadership.leader_key_acquired(7, 0.0, &t);
        leadership.view_completed(7, 10.0);
        let cancelled = 10.0;
        // The leader lease is renewed without end, as if the watch alone were refused.
        let step = 0.05;
        let mut gone = 0.0;
        let mut now = 10.0;
        while now < 120.0 {
            leadership.lease_renewed(7, now, &t);
            if leadership.may_act(now, &t) {
                owner.lease_granted("vm-1", 1, now, t.shard_lease_s);
            }
            if owner.valid_token("vm-1", now).is_some() {
                gone = now + t.tasks_gone_after_s();
            }
            now += step;
        }
        assert!(gone > cancelled + cancel - 10.0, "{lease}: for nothing");
        assert!(gone < cancelled + cancel, "{lease}: {gone}");
    }
}

/// A hello extends shard leases and carries no stop. A shard owner whose hellos reach the leader
/// while its heartbeats do not (their frames are larger and arrive late) must not keep cancelled
/// work alive.
#[test]
fn a_hello_does_not_renew_the_lease_of_a_machine_with_work_of_an_ended_job() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    let mut other = Worker::new("vm-2");
    cluster.submit(&job("wk-000001", 2), 0.0);
    cluster.heartbeat(&mut worker, "n2", 1.0);
    cluster.heartbeat(&mut other, "n2", 1.0);
    cluster.heartbeat(&mut worker, "n2", 2.0);
    assert_eq!(worker.running(), 2);
    let names = |b: Vec<(String, u64)>| b.into_iter().map(|m| m.0).collect::<Vec<_>>();
    assert_eq!(
        names(cluster.leader.extend_shard("n2", 2.1)),
        ["vm-1", "vm-2"]
    );
    cluster.cancel("wk-000001");
    assert_eq!(names(cluster.leader.extend_shard("n2", 2.2)), ["vm-2"]);
    // The heartbeat is taken, and the response with the stops is lost.
    let heartbeat = worker.next_heartbeat();
    assert!(
        cluster
            .leader
            .take_heartbeat("n2", &heartbeat, &[], 3.0)
            .is_some()
    );
    let stops = cluster.leader.heartbeat_commands(&heartbeat, 3.0);
    assert_eq!(stops.len(), 2, "{stops:?}");
    assert_eq!(names(cluster.leader.extend_shard("n2", 3.1)), ["vm-2"]);
    // The next response arrives: its stops are executed, and the shard has the machine again.
    cluster.heartbeat(&mut worker, "n2", 4.0);
    assert_eq!(worker.running(), 0);
    cluster.heartbeat(&mut worker, "n2", 5.0);
    cluster.heartbeat(&mut other, "n2", 5.0);
    assert_eq!(
        names(cluster.leader.extend_shard("n2", 5.1)),
        ["vm-1", "vm-2"]
    );
    cluster.leader.audit().unwrap();
}

/// A task without a placement is stopped. Until a heartbeat shows that it is gone, a hello does
/// not renew the lease of its machine.
#[test]
fn a_hello_does_not_renew_the_lease_of_a_machine_with_an_unknown_task() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    worker.tasks.push(WorkerTask::running("wk-000009/0", 5));
    let heartbeat = worker.next_heartbeat();
    assert!(
        cluster
            .leader
            .take_heartbeat("n2", &heartbeat, &[], 1.0)
            .is_some()
    );
    assert_eq!(cluster.leader.heartbeat_commands(&heartbeat, 1.0).len(), 1);
    assert!(cluster.leader.extend_shard("n2", 1.1).is_empty());
    cluster.heartbeat(&mut worker, "n2", 2.0);
    cluster.heartbeat(&mut worker, "n2", 3.0);
    assert_eq!(cluster.leader.extend_shard("n2", 3.1).len(), 1);
}

/// A heartbeat sent before a start arrived does not list the task. If the job is cancelled in
/// between, the response to this heartbeat must carry the stop: it extends the lease of an owner
/// that may not reach the leader again, so the next response would be too late.
#[test]
fn a_cancelled_start_that_a_heartbeat_may_have_missed_is_followed_by_a_stop() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.submit(&job("wk-000001", 1), 0.0);
    let heartbeat = worker.next_heartbeat();
    let token = cluster
        .leader
        .take_heartbeat("n2", &heartbeat, &[], 1.0)
        .unwrap();
    worker.execute_commands(token, &[]);
    cluster.leader.place_pending(1.0);
    cluster.write_all();
    let late = worker.next_heartbeat();
    let direct_commands = cluster.leader.due_direct_commands(1.1);
    let due = direct_commands["n2"][0].clone();
    let (machine, start) = (due.machine, due.commands);
    assert_eq!(start.commands.len(), 1);
    worker.execute_commands(start.fencing_token, &start.commands);
    cluster
        .leader
        .direct_commands_done(&machine, &start, CommandOutcome::Executed);
    cluster.cancel("wk-000001");
    let token = cluster
        .leader
        .take_heartbeat("n2", &late, &[], 1.5)
        .unwrap();
    let commands = cluster.leader.heartbeat_commands(&late, 1.5);
    let stop = |c: &Command| matches!(c, Command::Stop { grace_s, .. } if *grace_s <= 0.0);
    assert!(commands.iter().any(stop), "{commands:?}");
    assert_eq!(cluster.leader.extend_shard("n2", 1.6).len(), 0);
    worker.execute_commands(token, &commands);
    assert_eq!(worker.running(), 0);
}

/// The response with the stops is sent under its token, and the lease stays unchanged.
#[test]
fn a_response_with_stops_that_may_be_lost_does_not_extend_the_shard_lease() {
    let mut owner = ShardOwner::default();
    owner.lease_granted("vm-1", 5, 100.0, 20.0);
    owner.must_deliver_stops("vm-1", 5);
    assert_eq!(owner.valid_token("vm-1", 119.9), Some(5));
    assert_eq!(owner.valid_token("vm-1", 120.1), None);
    owner.must_deliver_stops("vm-1", 6);
    assert_eq!(owner.valid_token("vm-1", 119.9), Some(6));
    assert!(owner.is_newest_token("vm-1", 6) && !owner.is_newest_token("vm-1", 5));
    owner.must_deliver_stops("vm-2", 3);
    assert!(owner.is_newest_token("vm-2", 3) && owner.valid_token("vm-2", 100.0).is_none());
}
