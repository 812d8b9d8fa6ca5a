//! Controllers that restart within a fraction of a second: the next leader has the name of the
//! previous one, whose messages are still in transit.

mod common;

use cherrywood_control::leader::{CloudCall, WriteOutcome};
use cherrywood_control::{ShardOwner, keys};
use cherrywood_wire::agent::Command;
use cherrywood_wire::user::Submission;
use common::*;
use std::collections::BTreeSet;

fn wide(id: &str, tasks: u32) -> Submission {
    Submission {
        team: "wide".into(),
        ..job(id, tasks)
    }
}

/// By its own clock the earlier process of this controller has the rest of its leader lease, in
/// which it may lease a machine that the new process does not hear. If the new leader counted
/// from its election alone, tasks that run there would be started elsewhere as well.
#[test]
fn a_restarted_leader_waits_for_leases_that_its_earlier_process_may_still_grant() {
    let (mut cluster, mut silent) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.submit(&job("wk-000001", 2), 0.0);
    cluster.heartbeat(&mut silent, "n1", 1.0);
    assert_eq!(silent.running(), 2);
    let leader_s = cluster.leader.timing.leader_lease_s;
    let mut next = cluster
        .store
        .elect_with_overlap(settings(), 2, leader_s, 5.0);
    // The last lease that the earlier process grants, to an owner that the new process can't
    // reach.
    let mut owner = ShardOwner::default();
    let last = 5.0 + leader_s - 0.1;
    owner.lease_granted("vm-1", 7, last, next.timing.shard_lease_s);
    let last_response_at = last + next.timing.shard_lease_s - 0.1;
    assert!(owner.valid_token("vm-1", last_response_at).is_some());
    let runs_until = last_response_at + next.timing.worker_lease_s;
    let mut now = 6.0;
    while now < runs_until {
        next.autoscale(now);
        let mut worker = Worker::new(&format!("vm-2{now:.0}"));
        exchange_heartbeat(&mut next, &mut cluster.store, &mut worker, "n2", now);
        let all_on_vm_1 = next.placements_held().iter().all(|(on, ..)| on == "vm-1");
        assert!(all_on_vm_1, "at {now}: they run until {runs_until}");
        now += 1.0;
    }
    let over =
        5.0 + leader_s + next.timing.shard_lease_bound_s() + next.timing.tasks_gone_after_s() + 0.5;
    next.autoscale(over);
    let mut worker = Worker::new("vm-3");
    exchange_heartbeat(&mut next, &mut cluster.store, &mut worker, "n2", over);
    let held = next.placements_held();
    assert!(held.len() == 2 && held.iter().all(|(on, ..)| on != "vm-1"));
}

/// Followers hold shard leases of the earlier term when the same controller is elected again. A
/// late grant of that term neither replaces nor extends the leases of the new term.
#[test]
fn shard_leases_of_an_earlier_term_give_way_to_those_of_the_new_term() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.heartbeat(&mut worker, "n2", 1.0);
    let mut follower = ShardOwner::default();
    let grant_s = cluster.leader.timing.shard_lease_s;
    let grant = |h: &mut ShardOwner, leases: Vec<(String, u64)>, sent: f64| {
        for (machine, token) in leases {
            h.lease_granted(&machine, token, sent, grant_s);
        }
    };
    let old = cluster.leader.extend_shard("n2", 1.5);
    grant(&mut follower, old.clone(), 1.5);
    let former = follower.valid_token("vm-1", 2.0).unwrap();
    cluster.fail_over(2, 2.0);
    cluster.heartbeat(&mut worker, "n2", 2.5);
    grant(&mut follower, cluster.leader.extend_shard("n2", 3.0), 3.0);
    let token = follower.valid_token("vm-1", 3.5).unwrap();
    assert!(token > former);
    // The response to an earlier hello arrives now.
    grant(&mut follower, old, 20.0);
    assert_eq!(follower.valid_token("vm-1", 3.5), Some(token));
    assert_eq!(follower.valid_token("vm-1", 3.0 + grant_s + 0.1), None);
}

/// A follower restarts unnoticed and holds no shard leases, while the leader still counts its
/// machines as leased to it and would never release them.
#[test]
fn a_restarted_follower_gets_its_shard_back_with_its_first_hello() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.submit(&job("wk-000001", 2), 0.0);
    cluster.heartbeat(&mut worker, "n2", 1.0);
    assert_eq!(worker.running(), 2);
    let mut reborn = ShardOwner::default();
    assert_eq!(
        reborn.valid_token("vm-1", 1.3),
        None,
        "shard leases are not stored on disk"
    );
    for (machine, token) in cluster.leader.extend_shard("n2", 1.4) {
        reborn.lease_granted(&machine, token, 1.4, cluster.leader.timing.shard_lease_s);
    }
    assert!(reborn.valid_token("vm-1", 1.5).is_some());
    // The heartbeat of its worker, under the same token, changes no running task.
    cluster.heartbeat(&mut worker, "n2", 1.6);
    assert_eq!(worker.running(), 2);
    assert_eq!(cluster.leader.placements_held().len(), 2);
    cluster.leader.audit().unwrap();
}

/// Tokens, attempt numbers, rental ids and ledger keys of different terms are never equal, however
/// few of each a term issues and although the same controller leads all terms.
#[test]
fn tokens_attempts_rentals_and_ledger_entries_of_successive_terms_never_collide() {
    let mut cluster = TestCluster::new();
    let (mut tokens, mut attempts) = (BTreeSet::new(), BTreeSet::new());
    let (mut rentals, mut entries) = (BTreeSet::new(), BTreeSet::new());
    for life in 1..=40u64 {
        let now = life as f64;
        cluster.fail_over(life, now);
        let id = format!("wk-{life:06}");
        cluster.submit(&wide(&id, 30), now);
        // For this leader the machine of the last term is full.
        let heartbeat = Worker::new(&format!("vm-{life}")).next_heartbeat();
        let token = cluster
            .leader
            .take_heartbeat("n1", &heartbeat, &[], now)
            .unwrap();
        assert!(tokens.insert(token) && tokens.last() == Some(&token));
        cluster.leader.place_pending(now);
        while let Some(batch) = cluster.leader.ledger_batch() {
            for g in &batch.txn.guards {
                if g.key.starts_with(keys::LEDGER) {
                    assert!(entries.insert(g.key.clone()), "{}", g.key);
                }
            }
            let outcome = cluster.store.apply(&batch.txn);
            assert!(matches!(outcome, WriteOutcome::Applied(_)));
            cluster.leader.ledger_batch_done(batch, &outcome);
        }
        for c in cluster.leader.heartbeat_commands(&heartbeat, now) {
            if let Command::Start { attempt, .. } = c {
                attempts.insert((attempt, life));
            }
        }
        for call in cluster.leader.autoscale(now) {
            if let CloudCall::Rent(heartbeat) = call {
                assert!(
                    rentals.insert(heartbeat.request_id.clone()),
                    "{}",
                    heartbeat.request_id
                );
            }
        }
        cluster.store.cancel(&id);
    }
    let numbers: BTreeSet<u64> = attempts.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(
        numbers.len(),
        attempts.len(),
        "an attempt number was used in two terms"
    );
    let made = [numbers.len(), entries.len(), rentals.len()];
    assert!(made.iter().all(|n| *n >= 20), "{made:?}");
}
