//! Responses that a controller may still give after it stalled, while it is partitioned, or when
//! it leads in a new term.

mod common;

use cherrywood_control::Leader;
use cherrywood_control::leader::RecoveredState;
use cherrywood_node::node::Node;
use cherrywood_node::state::LeaderContact;
use cherrywood_wire::agent::Heartbeat;
use cherrywood_wire::encode;
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use common::{example, request, run, types};
use std::sync::Arc;

/// Guards against a shard owner that is cut off from a leader that others reach and keeps its
/// workers until its shard leases expire; meanwhile the leader would delete their machines.
#[test]
fn unreachable_leader_that_the_store_still_names_means_partition() {
    let is_partitioned = |named_s_ago: f64, responded_s_ago: f64| {
        let now = 100.0;
        let contact = LeaderContact {
            known_leader: Some("n1".into()),
            named_by_store_at: now - named_s_ago,
            last_response_at: now - responded_s_ago,
        };
        contact.is_partitioned_from_leader(now)
    };
    assert!(
        is_partitioned(0.5, 4.0),
        "it leads, and does not respond to this controller"
    );
    assert!(!is_partitioned(0.5, 1.0), "one lost frame is no partition");
    assert!(
        !is_partitioned(9.0, 9.0),
        "a controller in a zone that is cut off keeps its workers while its shard leases last"
    );
}

/// A leader of term 2 without jobs or machines.
fn empty_leader(node: &Node) -> Leader {
    let cluster = node.settings.platform.deployment.cluster.clone();
    Leader::new(2, 7, cluster, types(), RecoveredState::default(), 0.0).unwrap()
}

fn heartbeat(machine: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: String::new(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token: 0,
        spot_notice_s: None,
        tasks: Vec::new(),
    }
}

/// A process may stall while its clocks run on, and then find heartbeats and frames queued in its
/// sockets. The right to act is checked at the time of each response: within the lease the leader
/// responds as before, after the lease it responds to no queued request.
#[test]
fn leader_stalled_past_its_lease_responds_to_no_queued_requests() {
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
    let frame = |sequence| PeerRequest::Heartbeats {
        from: "n1".into(),
        heartbeats: vec![(heartbeat("vm-1", sequence), Vec::new())],
    };
    let is_accepted = |reply| match reply {
        PeerReply::Heartbeats { responses } => responses[0].is_some(),
        other => panic!("{other:?}"),
    };
    let hello = || PeerRequest::Hello {
        from: "n1".into(),
        store_reachable: true,
        table_version: Default::default(),
        refused: Vec::new(),
    };
    let leads_and_shard_size = |reply| match reply {
        PeerReply::Hello {
            leading_term,
            shard,
            ..
        } => (leading_term.is_some(), shard.len()),
        other => panic!("{other:?}"),
    };
    // A stall shorter than the lease.
    assert!(is_accepted(run(node.handle_peer_request(frame(1)))));
    let reply = run(node.handle_peer_request(hello()));
    assert_eq!(leads_and_shard_size(reply), (true, 1));
    assert!(run(node.heartbeat(heartbeat("vm-2", 1))).is_some());
    // A worker that obeys a leader of a later term is sent away, although the leases are valid.
    let superseded = Heartbeat {
        fencing_token: u64::MAX / 2,
        ..heartbeat("vm-2", 2)
    };
    let response = request(&node, "POST", "/agent/beat", encode(&superseded));
    assert!([421, 503].contains(&response.status), "{}", response.status);
    // A longer stall: the lease expired while these requests were queued in the sockets.
    let since = node.now() - node.timing.leader_lease_s;
    node.lock_state()
        .term
        .leadership
        .leader_key_acquired(5, since, &node.timing);
    assert!(!is_accepted(run(node.handle_peer_request(frame(2)))));
    let reply = run(node.handle_peer_request(hello()));
    assert_eq!(leads_and_shard_size(reply), (false, 0));
    let counts = PeerRequest::TaskCounts { jobs: vec![] };
    assert_eq!(run(node.handle_peer_request(counts)), PeerReply::Declined);
    assert!(run(node.heartbeat(heartbeat("vm-3", 1))).is_none());
    let new = encode(&heartbeat("vm-4", 1));
    let response = request(&node, "POST", "/agent/beat", new);
    assert_eq!((response.status, response.retry_after_s), (503, Some(1)));
}

/// The shard leases of a shard owner expire while it is stalled.
#[test]
fn shard_owner_stalled_past_its_leases_responds_to_no_heartbeat() {
    let node = example();
    let grant_lease = |ago_s: f64| {
        let (now, shard_lease_s) = (node.now(), node.timing.shard_lease_s);
        let mut state = node.lock_state();
        state.shard = cherrywood_control::ShardOwner::default();
        state
            .shard
            .lease_granted("vm-1", 9, now - ago_s, shard_lease_s);
    };
    let send_heartbeat = || request(&node, "POST", "/agent/beat", encode(&heartbeat("vm-1", 1)));
    grant_lease(node.timing.shard_lease_s - 5.0);
    assert_eq!(
        send_heartbeat().status,
        200,
        "the shard lease is valid, though the leader is unreachable"
    );
    grant_lease(node.timing.shard_lease_s);
    assert_eq!(send_heartbeat().status, 503);
}

/// Guards against a response of an earlier term that reaches a new leader on the same controller,
/// whose job indices differ.
#[test]
fn response_of_an_earlier_term_finds_no_leader() {
    let node = example();
    let leader = empty_leader(&node);
    node.lock_state().term.leader = Some(leader);
    assert!(node.lock_state().term.leader_of_term(1).is_none());
    assert!(node.lock_state().term.leader_of_term(2).is_some());
}
