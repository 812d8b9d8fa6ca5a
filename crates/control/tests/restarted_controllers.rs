//! Controllers that end and are back within a fraction of a second: the next leader has
//! the name of the last one, whose messages are still on their way.

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

/// By its own clock the earlier process of this name has the rest of its leader lease,
/// in which it may lease a machine of which the new one hears nothing. Counted from the
/// takeover alone, tasks that ran there were started elsewhere.
#[test]
fn leases_that_an_earlier_process_may_still_grant_are_waited_for() {
    let (mut cluster, mut silent) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.submit(&job("wk-000001", 2), 0.0);
    cluster.heartbeat(&mut silent, "n1", 1.0);
    assert_eq!(silent.running(), 2);
    let leader_s = cluster.leader.timing.leader_lease_s;
    let mut next = cluster
        .store
        .elect_with_overlap(settings(), 2, leader_s, 5.0);
    // The last lease that the earlier process grants, to an owner that the new one can't reach.
    let mut owner = ShardOwner::default();
    let last = 5.0 + leader_s - 0.1;
    owner.lease_granted("vm-1", 7, last, next.timing.shard_lease_s);
    let answered = last + next.timing.shard_lease_s - 0.1;
    assert!(owner.valid_token("vm-1", answered).is_some());
    let runs_until = answered + next.timing.worker_lease_s;
    let mut now = 6.0;
    while now < runs_until {
        next.autoscale(now);
        let mut worker = Worker::new(&format!("vm-2{now:.0}"));
        exchange_heartbeat(&mut next, &mut cluster.store, &mut worker, "n2", now);
        let there = next.placements_held().iter().all(|(on, ..)| on == "vm-1");
        assert!(there, "at {now}: they run until {runs_until}");
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

/// Followers hold leases of the earlier term when the same controller is elected again:
/// a late grant of that term neither replaces nor extends those of the new one.
#[test]
fn shard_leases_of_an_earlier_term_give_way_to_those_of_the_new_term() {
    let (mut cluster, mut worker) = (TestCluster::new(), Worker::new("vm-1"));
    cluster.heartbeat(&mut worker, "n2", 1.0);
    let mut follower = ShardOwner::default();
    let grant_s = cluster.leader.timing.shard_lease_s;
    let give = |h: &mut ShardOwner, block: Vec<(String, u64)>, sent: f64| {
        for (machine, token) in block {
            h.lease_granted(&machine, token, sent, grant_s);
        }
    };
    let old = cluster.leader.extend_shard("n2", 1.5);
    give(&mut follower, old.clone(), 1.5);
    let former = follower.valid_token("vm-1", 2.0).unwrap();
    cluster.fail_over(2, 2.0);
    cluster.heartbeat(&mut worker, "n2", 2.5);
    give(&mut follower, cluster.leader.extend_shard("n2", 3.0), 3.0);
    let token = follower.valid_token("vm-1", 3.5).unwrap();
    assert!(token > former);
    // The answer to an earlier hello comes now.
    give(&mut follower, old, 20.0);
    assert_eq!(follower.valid_token("vm-1", 3.5), Some(token));
    assert_eq!(follower.valid_token("vm-1", 3.0 + grant_s + 0.1), None);
}

/// It was back before anybody noticed and holds no leases, while for the leader its
/// machines are still leased to it, and are never free.
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
        "nothing is kept on a disk"
    );
    for (machine, token) in cluster.leader.extend_shard("n2", 1.4) {
        reborn.lease_granted(&machine, token, 1.4, cluster.leader.timing.shard_lease_s);
    }
    assert!(reborn.valid_token("vm-1", 1.5).is_some());
    // Its worker's heartbeat, under the same token, changes nothing that runs.
    cluster.heartbeat(&mut worker, "n2", 1.6);
    assert_eq!(worker.running(), 2);
    assert_eq!(cluster.leader.placements_held().len(), 2);
    cluster.leader.audit().unwrap();
}

/// However few of each a term makes, and although all terms are led by the same
/// controller.
#[test]
fn tokens_attempts_rentals_and_entries_of_successive_terms_never_collide() {
    let mut cluster = TestCluster::new();
    let (mut tokens, mut attempts) = (BTreeSet::new(), BTreeSet::new());
    let (mut rentals, mut entries) = (BTreeSet::new(), BTreeSet::new());
    for life in 1..=40u64 {
        let now = life as f64;
        cluster.fail_over(life, now);
        let id = format!("wk-{life:06}");
        cluster.submit(&wide(&id, 30), now);
        // As far as this leader knows the machine of the last term is full.
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
    assert_eq!(numbers.len(), attempts.len(), "an attempt of two lives");
    let made = [numbers.len(), entries.len(), rentals.len()];
    assert!(made.iter().all(|n| *n >= 20), "{made:?}");
}
