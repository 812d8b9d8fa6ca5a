//! Shard leases, and the run times that their owner measures.

use cherrywood_control::ShardOwner;
use cherrywood_wire::agent::{
    Command, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};

#[test]
fn a_shard_lease_counts_from_the_sending_of_its_request() {
    let mut owner = ShardOwner::default();
    owner.lease_granted("vm-1", 5, 100.0, 20.0);
    assert_eq!(owner.valid_token("vm-1", 119.9), Some(5));
    assert_eq!(owner.valid_token("vm-1", 120.0), None);
    // A late answer under an older token changes nothing.
    owner.lease_granted("vm-1", 4, 130.0, 20.0);
    assert_eq!(owner.valid_token("vm-1", 131.0), None);
    owner.lease_granted("vm-1", 6, 130.0, 20.0);
    assert_eq!(owner.valid_token("vm-1", 131.0), Some(6));
}

#[test]
fn run_times_come_from_consecutive_heartbeats_of_one_incarnation() {
    let mut owner = ShardOwner::default();
    let report = |incarnation, sequence, state, why| Heartbeat {
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
            exit_cause: why,
            checkpoint_saved: None,
        }],
    };
    assert!(
        owner
            .observe_heartbeat(&report(1, 1, TaskState::Running, None), 10.0)
            .is_empty()
    );
    let exited = report(1, 3, TaskState::Exited, Some(ExitCause::Done));
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
            .observe_heartbeat(&report(1, 2, TaskState::Running, None), 33.0)
            .is_empty()
    );
    owner.observe_heartbeat(&report(1, 4, TaskState::Running, None), 34.0);
    let other = report(2, 5, TaskState::Exited, Some(ExitCause::Done));
    assert!(
        owner.observe_heartbeat(&other, 40.0).is_empty(),
        "the task ran in another incarnation"
    );
}

/// A response with immediate stops is given, and doesn't extend the lease; nor does one
/// without the leader. Under an older token than the newest no response is given.
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
    let mut answer = |from_leader, sent| {
        owner.heartbeat_response("vm-1", from_leader, sent, sent + 0.1, lease_s)
    };
    assert_eq!(answer(None, 99.0), None);
    assert_eq!(answer(response(5, vec![]), 100.0), response(5, vec![]));
    let over = response(5, vec![stop(0.0)]);
    assert_eq!(answer(over.clone(), 115.0), over);
    assert_eq!(
        answer(None, 119.0),
        response(5, vec![]),
        "the rest of its lease"
    );
    assert_eq!(answer(None, 120.5), None, "it was not extended");
    // A task that is told to save may go on for so long.
    let saves = response(5, vec![stop(10.0)]);
    assert_eq!(answer(saves.clone(), 130.0), saves);
    assert_eq!(answer(None, 149.0), response(5, vec![]));
    // Nothing is answered under a token older than the newest.
    assert!(answer(response(7, vec![stop(0.0)]), 149.0).is_some());
    assert_eq!(answer(over, 149.5), None);
}
