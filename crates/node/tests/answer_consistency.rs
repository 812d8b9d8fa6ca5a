//! Consistency of responses to users while requests coincide with other requests, the end of a
//! job, faults of the key-value store or an unresponsive leader: several controllers against one
//! key-value store.

mod common;

use cherrywood_wire::encode;
use cherrywood_wire::user::Submission;
use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const ID: &str = "wk-000001";

fn expected(status: u16, state: &str) -> StatusAndText {
    (status, state.to_string())
}

fn spawn_query(cluster: &TestCluster, n: usize) -> JoinHandle<StatusAndText> {
    let at = cluster.at(n);
    tokio::spawn(async move { at.query(ID).await })
}

fn spawn_submit(cluster: &TestCluster, n: usize, job: &Submission) -> JoinHandle<StatusAndText> {
    let (at, job) = (cluster.at(n), job.clone());
    tokio::spawn(async move { at.submit(&job).await })
}

// --- responses are never older than confirmed changes ---

/// Guards against a response whose state is as old as the request to the key-value store, which is
/// sent together with the request for task counts, while the leader is slow to return the counts.
#[test]
fn cancellation_confirmed_while_the_leader_is_asked_is_reported() {
    run(async {
        for repeat in [false, true] {
            let leader = FakeLeader::start().await;
            let cluster = TestCluster::led_by(&leader, 2).await;
            let job = job(ID, &[]);
            assert_eq!(cluster.at(1).submit(&job).await, expected(201, "Queued"));
            let pending = match repeat {
                true => spawn_submit(&cluster, 0, &job),
                false => spawn_query(&cluster, 0),
            };
            leader.requested.notified().await;
            // A comparison sent together with the request for counts would have its response now.
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(cluster.at(1).cancel(ID).await, 200);
            leader.may_respond.notify_one();
            let response = pending.await.unwrap();
            assert_eq!(response, expected(200, "Cancelled"), "repeat: {repeat}");
        }
    });
}

/// Task counts are for display: while the leader hangs they are missing but the response is not,
/// and once the leader has been silent for long no request waits for it.
#[test]
fn unresponsive_leader_costs_only_the_task_counts() {
    run(async {
        let leader = FakeLeader::start().await;
        let cluster = TestCluster::led_by(&leader, 1).await;
        let job = job(ID, &[]);
        assert_eq!(cluster.submit(&job).await.0, 201);
        let since = Instant::now();
        assert_eq!(cluster.query(ID).await, expected(200, "Queued"));
        assert_eq!(cluster.submit(&job).await, expected(200, "Queued"));
        assert!(since.elapsed() < Duration::from_millis(1500));
        cluster.node.lock_state().leader_contact.last_response_at =
            cluster.node.now() - cherrywood_limits::LEADER_UNREACHABLE_S - 0.1;
        let since = Instant::now();
        assert_eq!(cluster.query(ID).await, expected(200, "Queued"));
        assert_eq!(cluster.submit(&job).await, expected(200, "Queued"));
        assert!(since.elapsed() < Duration::from_millis(300));
    });
}

/// A transaction is executed and only its response is lost: the sender does not know the outcome,
/// and all other controllers immediately report what it wrote, for every kind of request.
#[test]
fn write_whose_response_is_lost_is_reported_by_every_controller() {
    run(async {
        let cluster = TestCluster::of(3).await;
        let job = job(ID, &[]);
        let assert_state_everywhere = async |state: &str| {
            for n in [1, 0, 2] {
                let at = cluster.at(n);
                assert_eq!(
                    at.submit(&job).await,
                    expected(200, state),
                    "controller {n}"
                );
                assert_eq!(at.query(ID).await, expected(200, state), "controller {n}");
            }
        };
        cluster.store_faults.lose_responses_to(Some("write"));
        assert_eq!(cluster.submit(&job).await.0, 503);
        cluster.store_faults.lose_responses_to(None);
        assert_state_everywhere("Queued").await;
        cluster.store_faults.lose_responses_to(Some("drop"));
        let cancelled = spawn_cancel(&cluster, 0);
        // The other controllers report the cancellation while the one that sent it still waits
        // for the store's response.
        tokio::time::sleep(Duration::from_millis(100)).await;
        for n in [1, 2] {
            assert_eq!(cluster.at(n).submit(&job).await, expected(200, "Cancelled"));
            assert_eq!(cluster.at(n).query(ID).await, expected(200, "Cancelled"));
            assert_eq!(cluster.at(n).cancel(ID).await, 200);
        }
        assert_eq!(cancelled.await.unwrap(), 503);
        cluster.store_faults.lose_responses_to(None);
        assert_state_everywhere("Cancelled").await;
        assert_eq!(cluster.cancel(ID).await, 200);
    });
}

fn spawn_cancel(cluster: &TestCluster, n: usize) -> JoinHandle<u16> {
    let at = cluster.at(n);
    tokio::spawn(async move { at.cancel(ID).await })
}

/// The key-value store refuses to write a cancellation: no controller reports it, neither the one
/// that handled the request nor the others, and the job may still end as done.
#[test]
fn refused_cancellation_is_reported_by_no_controller() {
    run(async {
        let cluster = TestCluster::of(2).await;
        assert_eq!(cluster.submit(&job(ID, &[])).await.0, 201);
        cluster.store_faults.refuse(&["/txn"]);
        assert_eq!(cluster.cancel(ID).await, 503);
        cluster.store_faults.refuse(&[]);
        for n in [0, 1] {
            assert_eq!(cluster.at(n).query(ID).await, expected(200, "Queued"));
        }
        commit_end_as_done(&cluster.at(1), ID).await;
        for n in [0, 1] {
            let path = format!("/submissions/{ID}/cancel");
            let response = cluster.at(n).post(&path, Vec::new()).await;
            assert_eq!(status_and_text(&response), expected(200, "Done"));
        }
    });
}

// --- a repeated submission is never refused ---

/// A job that one controller accepted is known to all, even to a controller whose latest data says
/// that it can never run: removed machine types, a team that older settings lack, no machine types
/// at all.
#[test]
fn repeated_submission_returns_its_state_even_if_now_infeasible() {
    run(async {
        let cluster = TestCluster::of(2).await;
        let spec = Submission {
            machine_types: Some(vec!["m8".into()]),
            ..job(ID, &[])
        };
        let new = Submission {
            id: "wk-000002".into(),
            ..spec.clone()
        };
        assert_eq!(cluster.at(0).submit(&spec).await, expected(201, "Queued"));
        let other = cluster.at(1);
        other.node.lock_state().machine_types[0].name = "m16".into();
        assert_eq!(other.submit(&spec).await, expected(200, "Queued"), "types");
        assert_eq!(other.submit(&new).await.0, 422);
        // While the store refuses requests it is not known whether the job was accepted, so the
        // job is not refused for good.
        cluster.store_faults.refuse(&["/"]);
        assert_eq!(other.submit(&spec).await.0, 503);
        cluster.store_faults.refuse(&[]);
        other.node.lock_state().machine_types.clear();
        assert_eq!(
            other.submit(&spec).await,
            expected(200, "Queued"),
            "no types"
        );
        assert_eq!(other.submit(&new).await.0, 503);
        other.node.lock_state().machine_types = types();
        // The same id, with a team that this controller's settings lack, or with too many CPUs.
        for infeasible in [
            Submission {
                team: "x".into(),
                ..spec.clone()
            },
            Submission {
                cpus: 90.0,
                ..spec.clone()
            },
        ] {
            assert_eq!(other.submit(&infeasible).await, expected(200, "Queued"));
        }
        assert_eq!(cluster.at(0).cancel(ID).await, 200);
        other.node.lock_state().machine_types[0].name = "m16".into();
        assert_eq!(other.submit(&spec).await, expected(200, "Cancelled"));
    });
}

/// A dependency of an accepted job is gone from the key-value store, so that no new job may depend
/// on it: the accepted job is still known.
#[test]
fn repeated_submission_returns_its_state_after_its_dependency_is_gone() {
    run(async {
        let cluster = TestCluster::of(2).await;
        assert_eq!(cluster.submit(&job("wk-000007", &[])).await.0, 201);
        let spec = job(ID, &["wk-000007"]);
        assert_eq!(cluster.submit(&spec).await.0, 201);
        cluster
            .delete_record(&cherrywood_control::keys::job("wk-000007"))
            .await;
        for n in [0, 1] {
            assert_eq!(cluster.at(n).submit(&spec).await, expected(200, "Queued"));
        }
        assert_eq!(
            cluster.submit(&job("wk-000002", &["wk-000007"])).await.0,
            422
        );
    });
}

/// A submission that another version accepted may be malformed for this one. A body without a
/// readable id is refused without a look-up.
#[test]
fn repeated_submission_returns_its_state_even_if_now_malformed() {
    run(async {
        let cluster = TestCluster::of(2).await;
        assert_eq!(cluster.submit(&job(ID, &[])).await.0, 201);
        let bodies = |id: &str| {
            let whole = job(id, &[]);
            let invalid = encode(&Submission {
                tasks: 0,
                ..whole.clone()
            });
            let mut other_field = encode(&whole);
            let at = other_field.windows(6).position(|w| w == b"chores").unwrap();
            other_field[at] = b'x';
            [invalid, other_field]
        };
        for n in [0, 1] {
            for (old, new) in bodies(ID).into_iter().zip(bodies("wk-000002")) {
                let at = cluster.at(n);
                let known = status_and_text(&at.post("/submissions", old).await);
                assert_eq!(known, expected(200, "Queued"));
                assert_eq!(at.post("/submissions", new).await.status, 400);
            }
        }
        cluster.store_faults.refuse(&["/"]);
        let known = bodies(ID).into_iter().next().unwrap();
        assert_eq!(cluster.post("/submissions", known).await.status, 503);
        for without_id in [vec![0x80], encode(&job("000412", &[])), vec![]] {
            assert_eq!(cluster.post("/submissions", without_id).await.status, 400);
        }
    });
}

/// Infeasible submissions are looked up together in at most two requests to the key-value store.
#[test]
fn infeasible_submissions_share_store_requests() {
    run(async {
        let cluster = TestCluster::of(1).await;
        let before = cluster.store_faults.count();
        let mut submissions = Vec::new();
        for n in 0..60 {
            let spec = Submission {
                team: "x".into(),
                ..job(&format!("wk-{n:06}"), &[])
            };
            submissions.push(spawn_submit(&cluster, 0, &spec));
        }
        for submission in submissions {
            assert_eq!(submission.await.unwrap().0, 422);
        }
        assert!(
            cluster.store_faults.count() - before <= 2,
            "{}",
            cluster.store_faults.count()
        );
    });
}

// --- concurrent requests ---

/// A response about a job, with the times of its request and its arrival.
struct Observation {
    sent: Instant,
    received: Instant,
    response: StatusAndText,
}

/// Stage of the job according to a response: 0 if accepted, 1 if over; `None` if the response does
/// not tell.
fn stage(response: &StatusAndText) -> Option<u8> {
    match (response.0, response.1.as_str()) {
        (200 | 201, "Queued" | "Running") => Some(0),
        (200 | 201, "Done" | "Cancelled") => Some(1),
        _ => None,
    }
}

/// Checks that no request sent after a response had arrived gets a response with an older state,
/// and that all final states are the same.
fn assert_consistent(observations: &[Observation]) {
    for first in observations {
        let Some(first_stage) = stage(&first.response) else {
            continue;
        };
        for later in observations.iter().filter(|l| l.sent > first.received) {
            let both = format!("{:?}, and later {:?}", first.response, later.response);
            assert!(!matches!(later.response.0, 400 | 404 | 422), "{both}");
            let Some(later_stage) = stage(&later.response) else {
                continue;
            };
            assert!(later_stage >= first_stage, "{both}");
            if first_stage == 1 {
                assert_eq!(later.response.1, first.response.1);
            }
        }
    }
}

/// Commits the final state that the leader writes when a job's last task is done.
async fn commit_end_as_done(cluster: &TestCluster, id: &str) {
    use cherrywood_control::keys;
    use cherrywood_net::rate_limiter::RequestPriority;
    use cherrywood_wire::records::{FinalStateRecord, JobRecord, StoredRecord};
    use cherrywood_wire::store::{Change, Guard, Txn};
    let store = &cluster.node.store;
    let Ok(Some(job)) = store.get::<JobRecord>(&keys::job(id)).await else {
        return;
    };
    let done = FinalStateRecord {
        state: cherrywood_wire::user::JobState::Done,
        tasks: 1,
        ended_at_ms: None,
    };
    let (live, over) = (keys::job(id), keys::final_state(id));
    let guard = |key: &String, revision| Guard {
        key: key.clone(),
        revision,
    };
    let guards = vec![guard(&live, job.revision), guard(&over, 0)];
    let (value, lease) = (StoredRecord::FinalState(done), None);
    let changes = vec![
        Change::Delete { key: live },
        Change::Put {
            key: over,
            value,
            lease,
        },
    ];
    let txn = Txn { guards, changes };
    let _ = store.txn(&txn, RequestPriority::Critical).await;
}

/// Users query the job and repeat its submission at all controllers, some cancel it, and the job
/// ends, all within milliseconds of each other, while the key-value store is slow, refuses
/// requests, or loses responses.
async fn exercise_job(cluster: &TestCluster, number: u64) {
    let spec = job(&format!("wk-{number:06}"), &[]);
    let id = spec.id.clone();
    let mut clients: Vec<JoinHandle<Vec<Observation>>> = Vec::new();
    for n in 0..cluster.nodes.len() {
        let (at, spec, id) = (cluster.at(n), spec.clone(), id.clone());
        clients.push(tokio::spawn(async move {
            let mut observations = Vec::new();
            // The first controller's first request is the submission; the other clients skip their
            // first round and send requests while the submission is pending.
            for round in 0..12 {
                let sent = Instant::now();
                let response = match (round + n) % 3 {
                    0 => at.submit(&spec).await,
                    _ if round == 0 => continue,
                    _ => at.query(&id).await,
                };
                observations.push(Observation {
                    sent,
                    received: Instant::now(),
                    response,
                });
            }
            observations
        }));
    }
    for n in 0..2 {
        let (at, id) = (cluster.at(n), id.clone());
        clients.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(150 + number % 7 * 40)).await;
            let mut observations = Vec::new();
            for _ in 0..3 {
                let sent = Instant::now();
                if number.is_multiple_of(3) || n == 1 {
                    commit_end_as_done(&at, &id).await;
                } else {
                    let path = format!("/submissions/{id}/cancel");
                    let response = status_and_text(&at.post(&path, Vec::new()).await);
                    observations.push(Observation {
                        sent,
                        received: Instant::now(),
                        response,
                    });
                }
            }
            observations
        }));
    }
    let mut observations = Vec::new();
    for client in clients {
        observations.extend(client.await.unwrap());
    }
    assert_consistent(&observations);
}

#[test]
fn concurrent_requests_never_observe_an_older_state() {
    run(async {
        for shares in [
            FaultShares::default(),
            FaultShares {
                slow: 50,
                refused: 10,
                lost: 5,
            },
        ] {
            let cluster = Arc::new(TestCluster::of(3).await);
            cluster.store_faults.draw_faults(shares);
            let jobs: Vec<_> = (0..20)
                .map(|number| {
                    let cluster = cluster.clone();
                    tokio::spawn(async move { exercise_job(&cluster, number).await })
                })
                .collect();
            for job in jobs {
                job.await.unwrap();
            }
        }
    });
}
