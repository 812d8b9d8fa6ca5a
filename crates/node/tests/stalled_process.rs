//! What a process may still answer that stood still, is partitioned or leads in a new term.

mod common;

use cherrywood_control::Leader;
use cherrywood_control::leader::RecoveredState;
use cherrywood_node::node::Node;
use cherrywood_node::state::LeaderContact;
use cherrywood_wire::agent::Heartbeat;
use cherrywood_wire::encode;
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use common::{ask, example, run, types};
use std::sync::Arc;

/// A shard's owner cut off from a leader that others reach kept its workers until its grants
/// ran out; the leader deleted their machines meanwhile.
#[test]
fn unreachable_leader_that_the_store_still_names_means_partition() {
    let is_partitioned = |named_s_ago: f64, answered_s_ago: f64| {
        let now = 100.0;
        let contact = LeaderContact {
            known_leader: Some("n1".into()),
            named_by_store_at: now - named_s_ago,
            last_answered_at: now - answered_s_ago,
        };
        contact.is_partitioned_from_leader(now)
    };
    assert!(
        is_partitioned(0.5, 4.0),
        "it leads, and doesn't answer here"
    );
    assert!(!is_partitioned(0.5, 1.0), "one lost frame is no partition");
    assert!(
        !is_partitioned(9.0, 9.0),
        "a zone that is cut off keeps its workers while it may"
    );
}

/// The leader of term 2 without jobs or machines.
fn empty_leader(node: &Node) -> Leader {
    let cluster = node.settings.platform.deployment.cluster.clone();
    Leader::new(2, 7, cluster, types(), RecoveredState::default(), 0.0).unwrap()
}

fn heartbeat(machine: &str, seq: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: String::new(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: 0,
        spot_notice_s: None,
        tasks: Vec::new(),
    }
}

/// A process may stand still while its clocks run on, and then find reports
/// and frames queued in its sockets. What it may do is judged by the time
/// of doing: within its lease all is as before, past it nothing is answered.
#[test]
fn leader_stalled_past_its_lease_answers_no_queued_requests() {
    let node = Arc::new(example());
    let leader = empty_leader(&node);
    {
        let mut state = node.lock_state();
        state.term.leader = Some(leader);
        state.leader_contact.known_leader = Some(node.label().to_string());
        let now = node.now();
        state
            .term
            .leadership
            .leader_key_acquired(5, now, &node.timing);
        state.term.leadership.view_completed(5, now);
    }
    let frame = |seq| PeerRequest::Heartbeats {
        from: "n1".into(),
        heartbeats: vec![(heartbeat("vm-1", seq), Vec::new())],
    };
    let answers = |reply| match reply {
        PeerReply::Heartbeats { answers } => answers[0].is_some(),
        other => panic!("{other:?}"),
    };
    let hello = || PeerRequest::Hello {
        from: "n1".into(),
        store_reachable: true,
        table_version: Default::default(),
        refused: Vec::new(),
    };
    let leads = |reply| match reply {
        PeerReply::Hello {
            leading_term,
            shard,
            ..
        } => (leading_term.is_some(), shard.len()),
        other => panic!("{other:?}"),
    };
    // Shorter than the lease.
    assert!(answers(run(node.handle_peer_request(frame(1)))));
    assert_eq!(leads(run(node.handle_peer_request(hello()))), (true, 1));
    assert!(run(node.heartbeat(heartbeat("vm-2", 1))).is_some());
    // Longer: the lease ended while it stood, with these in its sockets.
    let since = node.now() - node.timing.leader_lease_s;
    node.lock_state()
        .term
        .leadership
        .leader_key_acquired(5, since, &node.timing);
    assert!(!answers(run(node.handle_peer_request(frame(2)))));
    assert_eq!(leads(run(node.handle_peer_request(hello()))), (false, 0));
    let counts = PeerRequest::TaskCounts { jobs: vec![] };
    assert_eq!(run(node.handle_peer_request(counts)), PeerReply::Declined);
    assert!(run(node.heartbeat(heartbeat("vm-3", 1))).is_none());
    let new = encode(&heartbeat("vm-4", 1));
    let response = ask(&node, "POST", "/agent/beat", new);
    assert_eq!((response.status, response.retry_after_s), (503, Some(1)));
}

/// The same for the owner of a shard: its grants ran out while it stood.
#[test]
fn shard_owner_stalled_past_its_grants_answers_no_heartbeat() {
    let node = example();
    let grant = |ago: f64| {
        let (now, shard_lease_s) = (node.now(), node.timing.shard_lease_s);
        let mut state = node.lock_state();
        state.shard = cherrywood_control::ShardOwner::default();
        state
            .shard
            .lease_granted("vm-1", 9, now - ago, shard_lease_s);
    };
    let beat = || ask(&node, "POST", "/agent/beat", encode(&heartbeat("vm-1", 1)));
    grant(node.timing.shard_lease_s - 5.0);
    assert_eq!(beat().status, 200, "the leader can't be asked, but it may");
    grant(node.timing.shard_lease_s);
    assert_eq!(beat().status, 503);
}

/// An answer of an earlier term once reached a new leader on the same
/// controller, whose job numbers are others.
#[test]
fn answer_of_an_earlier_term_finds_no_leader() {
    let node = example();
    let leader = empty_leader(&node);
    node.lock_state().term.leader = Some(leader);
    assert!(node.lock_state().term.leader_of_term(1).is_none());
    assert!(node.lock_state().term.leader_of_term(2).is_some());
}
