//! Frames between controllers, stored values and responses at the size of 4,000 to 5,000 machines.

mod common;

use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::client::HttpClient;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::server::{self, Response};
use cherrywood_net::{NetError, Runtime};
use cherrywood_node::background;
use cherrywood_node::chunked_values;
use cherrywood_node::frames;
use cherrywood_node::node::Node;
use cherrywood_wire::agent::{
    Command, DirectCommands, ExitCause, Heartbeat, TaskState, TaskStatus,
};
use cherrywood_wire::cloud::{ListedMachine, ListedMachineState, MachineListPage};
use cherrywood_wire::peer::PeerRequest;
use cherrywood_wire::records::{ImageCacheRecord, JobRecord, StoredRecord, TermRecord};
use cherrywood_wire::store::{Guard, WatchEvent, WatchResponse};
use cherrywood_wire::{decode, encode};
use common::*;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

const MACHINES: usize = 4_000;

fn name(n: usize) -> String {
    format!("vm-{n:06}")
}

fn addr(n: usize) -> String {
    format!("10.201.{}.{}:9000", n / 250, 100 + n % 150)
}

fn heartbeat(n: usize, seq: u64, tasks: usize) -> Heartbeat {
    let task = |t: usize| TaskStatus {
        task: format!("wk-{:06}/{t}", n % 1000),
        attempt: 7 << limits::TERM_SHIFT_BITS | (n * 100 + t) as u64,
        state: TaskState::Exited,
        exit_cause: Some(ExitCause::Done),
        checkpoint_saved: Some(true),
    };
    Heartbeat {
        machine: name(n),
        address: addr(n),
        machine_type: "general-purpose-memory-optimised-32-cores".into(),
        zone: "lubbock-colocation-building-2-second-floor".into(),
        spot: true,
        incarnation: 3,
        sequence: seq,
        fencing_token: 7 << limits::TERM_SHIFT_BITS | n as u64,
        spot_notice_s: Some(12.5),
        tasks: (0..tasks).map(task).collect(),
    }
}

/// Waits until a condition holds, and panics if it does not hold within 20 s.
async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not within 20 s: {condition}");
}

/// All machines send heartbeats to this controller at once, as after a stall of the controller.
/// Machines that get no response send again. Returns the number of machines that got a response.
async fn send_all_heartbeats(node: &Arc<Node>, first_sequence: u64) -> usize {
    let mut without_response: Vec<usize> = (0..MACHINES).collect();
    for retry in 0..8 {
        let mut waiting = Vec::new();
        for n in std::mem::take(&mut without_response) {
            let own = node.clone();
            let heartbeat = heartbeat(n, first_sequence + retry, 0);
            let response = tokio::spawn(async move { own.heartbeat(heartbeat).await });
            waiting.push((n, response));
        }
        for (n, response) in waiting {
            if response.await.unwrap().is_none() {
                without_response.push(n);
            }
        }
        if without_response.is_empty() {
            break;
        }
    }
    MACHINES - without_response.len()
}

/// With names of this length one frame of 3,000 heartbeats from idle machines would exceed the
/// limit of a frame, and none of them would ever get a response. A hello then names the whole
/// shard.
#[test]
fn heartbeats_and_a_hello_of_4000_machines_pass_between_two_controllers() {
    run(async {
        let cluster = TestCluster::of(2).await;
        // The workers have seen tokens of term 7.
        let last_term = StoredRecord::Term(TermRecord { last_term: 7 });
        cluster.put_record(keys::LAST_TERM, last_term).await;
        background::start(&cluster.node);
        let leader = cluster.node.clone();
        wait_until("it leads", || leader.status().leading_term.is_some()).await;
        let follower = cluster.nodes[1].clone();
        background::start(&follower);
        let known = || follower.lock_state().leader_contact.known_leader.clone();
        wait_until("the leader is known", || known().as_deref() == Some("n0")).await;
        assert_eq!(send_all_heartbeats(&follower, 1).await, MACHINES);
        assert_eq!(send_all_heartbeats(&follower, 100).await, MACHINES);
        follower.lock_state().shard.forget_silent(1.0e9, 0.0);
        let granted = || follower.status().granted_machines;
        wait_until("a hello has named all machines", || granted() == MACHINES).await;
    });
}

/// A commit to the ledger contains about 915 rows. On machines of 32 CPUs a row may stand for 32
/// tasks: in one frame, the commands for the machines of a controller's shard would be more than
/// that controller accepts.
#[test]
fn direct_commands_are_split_into_frames_within_the_limit() {
    let machine_commands = |n: usize| {
        let start = |t: usize| Command::Start {
            task: format!("wk-{:06}/{t}", n % 1000),
            attempt: 7 << limits::TERM_SHIFT_BITS | (n * 100 + t) as u64,
        };
        let commands = DirectCommands {
            fencing_token: 7 << limits::TERM_SHIFT_BITS | n as u64,
            incarnation: 3,
            commands: (0..32).map(start).collect(),
        };
        (name(n), addr(n), commands)
    };
    let all: Vec<_> = (0..MACHINES).map(machine_commands).collect();
    let unsplit = PeerRequest::DirectCommands {
        commands: all[..915].to_vec(),
    };
    assert!(bitcode::encode(&unsplit).len() > limits::PEER_FRAME_BYTES_MAX);
    let split = frames::split(all.clone());
    for frame in &split {
        let commands = frame.clone();
        let bytes = bitcode::encode(&PeerRequest::DirectCommands { commands }).len();
        assert!(bytes <= limits::PEER_FRAME_BYTES_MAX, "{bytes}");
    }
    assert_eq!(split.concat(), all, "all commands, in order");
    let few = all[..200].to_vec();
    assert_eq!(frames::split(few).len(), 1);
    assert!(frames::split(Vec::new()).is_empty());
}

/// The size computed for a heartbeat is an upper bound on its encoded size.
#[test]
fn encoded_heartbeat_is_no_larger_than_computed() {
    for tasks in [0, 1, 16, 200] {
        let finished = vec![("wk-000123/77".to_string(), 12.25); tasks];
        let heartbeats: Vec<_> = (0..100)
            .map(|n| (heartbeat(n, 1 << 40, tasks), finished.clone()))
            .collect();
        let computed: usize = heartbeats
            .iter()
            .map(|h| frames::heartbeat_bytes(&h.0, &h.1))
            .sum();
        let from = "n1".to_string();
        let bytes = bitcode::encode(&PeerRequest::Heartbeats { from, heartbeats }).len();
        assert!(
            bytes <= computed,
            "{bytes} of {computed} with {tasks} tasks"
        );
    }
}

fn images(machines: usize) -> ImageCacheRecord {
    let names: Vec<String> = (0..machines).map(name).collect();
    let previous = |n: usize| n.checked_sub(1).map_or("", |n| names[n].as_str());
    let front_coded = (0..machines).map(|n| ImageCacheRecord::front_coded(&names[n], previous(n)));
    let bits = "f".repeat(machines.div_ceil(6));
    ImageCacheRecord {
        front_coded_machines: front_coded.collect(),
        images: (0..28).map(|no| (no << 40, 2.5, bits.clone())).collect(),
        chunks: None,
    }
}

/// The record as the previous version, which knows nothing of chunks, reads it.
#[derive(Debug, Default, PartialEq, Deserialize)]
struct PreviousImages {
    machines: Vec<String>,
    images: Vec<(u64, f64, String)>,
}

/// The record of the images on 5,000 machines does not fit into one value of 32 KiB. It is written
/// in chunks and read back whole; the previous version reads it as empty, not as broken.
#[test]
fn images_of_5000_machines_are_written_in_chunks_and_read_back() {
    run(async {
        let cluster = TestCluster::single().await;
        let node = &cluster.node;
        node.store.enable_chunks();
        let guard = Guard {
            key: keys::LEADER.into(),
            revision: 0,
        };
        for machines in [5_000, 4_000, 10] {
            let value = images(machines);
            let write = chunked_values::write(
                node,
                guard.clone(),
                keys::IMAGES,
                value.clone(),
                RequestPriority::Critical,
            );
            let changes = write.await.unwrap();
            assert_eq!(changes > 1, machines > 1_000, "{changes} for {machines}");
            let read = chunked_values::read::<ImageCacheRecord>(node, keys::IMAGES).await;
            assert_eq!(read.unwrap(), Some(value.clone()));
            let previous = node.store.get::<PreviousImages>(keys::IMAGES).await;
            let previous = previous.unwrap().unwrap().value;
            let whole = PreviousImages {
                machines: value.front_coded_machines,
                images: value.images,
            };
            let expected = if machines > 1_000 {
                PreviousImages::default()
            } else {
                whole
            };
            assert_eq!(previous, expected, "{machines} machines");
        }
    });
}

/// Serves this body over HTTP, and returns the body as the client receives it.
async fn served_body(body: Vec<u8>) -> Result<Vec<u8>, NetError> {
    let host = Runtime::native();
    let listener = host.bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let at = listener.local_addr().unwrap();
    let on_request = Arc::new(move |_, _| {
        let body = body.clone();
        async move { Response::new(200, body) }
    });
    tokio::spawn(server::serve(host.clone(), listener, 10, on_request));
    let client = HttpClient::new(&host, at);
    let response = client.send("GET", "/", None, 10.0).await?;
    Ok(response.body)
}

/// The response contains all changes that the key-value store keeps for a watch, each a new job
/// with dependencies. A client that accepts only 4 MiB would refuse the response repeatedly, until
/// the leader's view of cancellations is too old.
#[test]
fn watch_response_with_10_000_changes_is_accepted() {
    let ids: Vec<String> = (0..16).map(|n| format!("wk-{n:06}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let value = JobRecord::new(job("wk-000100", &ids), 1_767_225_600_000);
    let event = |n: u64| WatchEvent {
        put_key: Some(keys::job(&format!("wk-{n:06}"))),
        deleted_key: None,
        value: Some(value.clone()),
        revision: n,
    };
    let events = WatchResponse {
        revision: 10_000,
        events: (0..10_000).map(event).collect(),
    };
    let body = encode(&events);
    let size = body.len();
    let read = run(served_body(body)).unwrap_or_else(|e| panic!("{size} bytes: {e}"));
    let read: WatchResponse<JobRecord> = decode(&read).unwrap();
    assert_eq!(read.events.len(), 10_000);
}

/// The list is read in pages of 500 machines; a single page of 5,000 would be accepted as well.
#[test]
fn machine_list_of_5000_machines_is_accepted() {
    let listed = |n: usize| ListedMachine {
        name: name(n),
        address: Some(addr(n)),
        machine_type: "standard-memory-32".into(),
        zone: "lubbock-colocation".into(),
        spot: true,
        state: ListedMachineState::Running,
        age_s: 1234.5,
    };
    let list = MachineListPage {
        machines: (0..5_000).map(listed).collect(),
        more: false,
    };
    let read = run(served_body(encode(&list))).unwrap();
    assert_eq!(
        decode::<MachineListPage>(&read).unwrap().machines.len(),
        5_000
    );
}
