//! Shard leases, and the task run times that the shard owner measures.

use cherrywood_control::ShardOwner;
use cherrywood_wire::agent::{
    Command, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};

#[test]
fn a_shard_lease_starts_when_its_request_is_sent() {
    let mut owner = ShardOwner::default();
    owner.lease_granted("vm-1", 5, 100.0, 20.0);
    assert_eq!(owner.valid_token("vm-1", 119.9), Some(5));
    assert_eq!(owner.valid_token("vm-1", 120.0), None);
    // A late response under an older token changes nothing.
    owner.lease_granted("vm-1", 4, 130.0, 20.0);
    assert_eq!(owner.valid_token("vm-1", 131.0), None);
    owner.lease_granted("vm-1", 6, 130.0, 20.0);
    assert_eq!(owner.valid_token("vm-1", 131.0), Some(6));
}

#[test]
fn run_times_come_from_consecutive_heartbeats_of_one_incarnation() {
    let mut owner = ShardOwner::default();
    let heartbeat = |incarnation, sequence, state, exit_cause| Heartbeat {
        machine: "vm-1".into(),
        address: String::new(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: false,
        incarnation,
        sequence,
        fencing_token: 0,
        spot_notice_s: None,
        tasks: vec![TaskStatus {
            task: "wk-000001/0".into(),
            attempt: 1,
            state,
            exit_cause,
            checkpoint_saved: None,
        }],
    };
    assert!(
        owner
            .observe_heartbeat(&heartbeat(1, 1, TaskState::Running, None), 10.0)
            .is_empty()
    );
    let exited = heartbeat(1, 3, TaskState::Exited, Some(ExitCause::Done));
    assert_eq!(
        owner.observe_heartbeat(&exited, 31.0),
        vec![("wk-000001/0".to_string(), 21.0)]
    );
    assert!(
        owner.observe_heartbeat(&exited, 32.0).is_empty(),
        "a repeated heartbeat gives no run time"
    );
    assert!(
        owner
            .observe_heartbeat(&heartbeat(1, 2, TaskState::Running, None), 33.0)
            .is_empty()
    );
    owner.observe_heartbeat(&heartbeat(1, 4, TaskState::Running, None), 34.0);
    let other = heartbeat(2, 5, TaskState::Exited, Some(ExitCause::Done));
    assert!(
        owner.observe_heartbeat(&other, 40.0).is_empty(),
        "the task ran in another incarnation"
    );
}

/// A response with immediate stops is sent without extending the shard lease, and so is a
/// response without the leader. Under a token older than the newest no response is sent.
#[test]
fn a_response_with_stops_does_not_extend_the_shard_lease() {
    let mut owner = ShardOwner::default();
    let stop = |grace_s| Command::Stop {
        task: "wk-000001/0".into(),
        attempt: 1,
        grace_s,
    };
    let response = |fencing_token, commands| {
        Some(HeartbeatResponse {
            fencing_token,
            commands,
        })
    };
    let lease_s = 20.0;
    let mut respond = |from_leader, sent| {
        owner.heartbeat_response("vm-1", 0, from_leader, sent, sent + 0.1, lease_s)
    };
    assert_eq!(respond(None, 99.0), None);
    assert_eq!(respond(response(5, vec![]), 100.0), response(5, vec![]));
    let with_stop = response(5, vec![stop(0.0)]);
    assert_eq!(respond(with_stop.clone(), 115.0), with_stop);
    assert_eq!(
        respond(None, 119.0),
        response(5, vec![]),
        "the lease has not expired yet"
    );
    assert_eq!(respond(None, 120.5), None, "the lease was not extended");
    // A stop with a grace period lets the task run on for that long, so the lease is extended.
    let with_grace = response(5, vec![stop(10.0)]);
    assert_eq!(respond(with_grace.clone(), 130.0), with_grace);
    assert_eq!(respond(None, 149.0), response(5, vec![]));
    // No response is sent under a token older than the newest.
    assert!(respond(response(7, vec![stop(0.0)]), 149.0).is_some());
    assert_eq!(respond(with_stop, 149.5), None);
}

/// Guards against workers whose leases run out at a deposed leader: it responds with 200 under its
/// own token although the heartbeat shows the new leader's, and the worker drops the response.
#[test]
fn no_response_is_given_under_a_token_older_than_that_of_the_heartbeat() {
    let mut owner = ShardOwner::default();
    let lease_s = 20.0;
    let mut respond = |token, from_leader, sent| {
        owner.heartbeat_response("vm-1", token, from_leader, sent, sent + 0.1, lease_s)
    };
    let response = |fencing_token| {
        Some(HeartbeatResponse {
            fencing_token,
            commands: Vec::new(),
        })
    };
    assert_eq!(respond(0, response(5), 100.0), response(5));
    assert_eq!(respond(5, None, 101.0), response(5));
    // The worker has obeyed a command of a newer leader.
    assert_eq!(respond(9, None, 102.0), None);
    assert_eq!(respond(9, response(6), 103.0), None);
    // A copy of an earlier heartbeat doesn't bring the old token back.
    assert_eq!(respond(5, None, 104.0), None);
    assert_eq!(respond(5, response(5), 105.0), None);
    // The newer leader leases the machine to this controller.
    assert_eq!(respond(9, response(10), 106.0), response(10));
    assert_eq!(respond(10, None, 107.0), response(10));
}
