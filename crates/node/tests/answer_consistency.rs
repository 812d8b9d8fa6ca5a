//! Answers to users are consistent while their requests meet each other, the end of a job,
//! faults of the state service or a leader that doesn't answer: several controllers against
//! one state service.

mod common;

use cherrywood_wire::encode;
use cherrywood_wire::user::Submission;
use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const ID: &str = "wk-000001";

fn answer(status: u16, state: &str) -> Answer {
    (status, state.to_string())
}

fn spawn_query(cluster: &TestCluster, n: usize) -> JoinHandle<Answer> {
    let at = cluster.at(n);
    tokio::spawn(async move { at.query(ID).await })
}

fn spawn_submit(cluster: &TestCluster, n: usize, job: &Submission) -> JoinHandle<Answer> {
    let (at, job) = (cluster.at(n), job.clone());
    tokio::spawn(async move { at.submit(&job).await })
}

// --- answers are never older than confirmed changes ---

/// The leader took its time for the counts, and what was answered with them was as old as
/// the request to the state service beside it.
#[test]
fn cancellation_confirmed_while_the_leader_is_asked_is_reported() {
    run(async {
        for repeat in [false, true] {
            let leader = FakeLeader::start().await;
            let cluster = TestCluster::led_by(&leader, 2).await;
            let job = job(ID, &[]);
            assert_eq!(cluster.at(1).submit(&job).await, answer(201, "Queued"));
            let asked = match repeat {
                true => spawn_submit(&cluster, 0, &job),
                false => spawn_query(&cluster, 0),
            };
            leader.asked.notified().await;
            // The comparison beside it would be answered by now.
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(cluster.at(1).cancel(ID).await, 200);
            leader.answer.notify_one();
            let answered = asked.await.unwrap();
            assert_eq!(answered, answer(200, "Cancelled"), "repeat: {repeat}");
        }
    });
}

/// Counts are for display: while the leader hangs they are missing, the answer is not,
/// and once it has been silent for long nobody waits for it.
#[test]
fn unresponsive_leader_costs_only_the_task_counts() {
    run(async {
        let leader = FakeLeader::start().await;
        let cluster = TestCluster::led_by(&leader, 1).await;
        let job = job(ID, &[]);
        assert_eq!(cluster.submit(&job).await.0, 201);
        let since = Instant::now();
        assert_eq!(cluster.query(ID).await, answer(200, "Queued"));
        assert_eq!(cluster.submit(&job).await, answer(200, "Queued"));
        assert!(since.elapsed() < Duration::from_millis(1500));
        cluster.node.lock_state().leader_contact.last_answered_at =
            cluster.node.now() - cherrywood_limits::LEADER_UNREACHABLE_S - 0.1;
        let since = Instant::now();
        assert_eq!(cluster.query(ID).await, answer(200, "Queued"));
        assert_eq!(cluster.submit(&job).await, answer(200, "Queued"));
        assert!(since.elapsed() < Duration::from_millis(300));
    });
}

/// A transaction is carried out and only its answer is lost: whoever sent it doesn't know,
/// and all others tell at once what it wrote, whatever is asked.
#[test]
fn write_whose_reply_is_lost_is_reported_by_every_controller() {
    run(async {
        let cluster = TestCluster::of(3).await;
        let job = job(ID, &[]);
        let everywhere = async |want: &str| {
            for n in [1, 0, 2] {
                let at = cluster.at(n);
                assert_eq!(at.submit(&job).await, answer(200, want), "node {n}");
                assert_eq!(at.query(ID).await, answer(200, want), "node {n}");
            }
        };
        cluster.store_faults.lose_answers_to(Some("write"));
        assert_eq!(cluster.submit(&job).await.0, 503);
        cluster.store_faults.lose_answers_to(None);
        everywhere("Queued").await;
        cluster.store_faults.lose_answers_to(Some("drop"));
        let cancelled = spawn_cancel(&cluster, 0);
        // Told by others while the one that was asked still waits for its answer.
        tokio::time::sleep(Duration::from_millis(100)).await;
        for n in [1, 2] {
            assert_eq!(cluster.at(n).submit(&job).await, answer(200, "Cancelled"));
            assert_eq!(cluster.at(n).query(ID).await, answer(200, "Cancelled"));
            assert_eq!(cluster.at(n).cancel(ID).await, 200);
        }
        assert_eq!(cancelled.await.unwrap(), 503);
        cluster.store_faults.lose_answers_to(None);
        everywhere("Cancelled").await;
        assert_eq!(cluster.cancel(ID).await, 200);
    });
}

fn spawn_cancel(cluster: &TestCluster, n: usize) -> JoinHandle<u16> {
    let at = cluster.at(n);
    tokio::spawn(async move { at.cancel(ID).await })
}

/// The state service refuses to write a cancellation: nobody tells of it, neither the one
/// that was asked nor others, and the job may still end as done.
#[test]
fn refused_cancellation_is_reported_by_no_controller() {
    run(async {
        let cluster = TestCluster::of(2).await;
        assert_eq!(cluster.submit(&job(ID, &[])).await.0, 201);
        cluster.store_faults.refuse(&["/txn"]);
        assert_eq!(cluster.cancel(ID).await, 503);
        cluster.store_faults.refuse(&[]);
        for n in [0, 1] {
            assert_eq!(cluster.at(n).query(ID).await, answer(200, "Queued"));
        }
        commit_end_as_done(&cluster.at(1), ID).await;
        for n in [0, 1] {
            let path = format!("/submissions/{ID}/cancel");
            let response = cluster.at(n).post(&path, Vec::new()).await;
            assert_eq!(status_and_text(&response), answer(200, "Done"));
        }
    });
}

// --- a repeated submission is never refused ---

/// Accepted at one controller, a job is known at all, also where what is read last says
/// that it can never run: machine types that are gone, a team unknown to older settings,
/// no types at all.
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
        assert_eq!(cluster.at(0).submit(&spec).await, answer(201, "Queued"));
        let other = cluster.at(1);
        other.node.lock_state().machine_types[0].name = "m16".into();
        assert_eq!(other.submit(&spec).await, answer(200, "Queued"), "types");
        assert_eq!(other.submit(&new).await.0, 422);
        // Nobody knows whether it is known: no refusal for good.
        cluster.store_faults.refuse(&["/"]);
        assert_eq!(other.submit(&spec).await.0, 503);
        cluster.store_faults.refuse(&[]);
        other.node.lock_state().machine_types.clear();
        assert_eq!(other.submit(&spec).await, answer(200, "Queued"), "no types");
        assert_eq!(other.submit(&new).await.0, 503);
        other.node.lock_state().machine_types = types();
        // The same id, sent by a team that this controller's settings lack, or too large.
        for stranger in [
            Submission {
                team: "x".into(),
                ..spec.clone()
            },
            Submission {
                cpus: 90.0,
                ..spec.clone()
            },
        ] {
            assert_eq!(other.submit(&stranger).await, answer(200, "Queued"));
        }
        assert_eq!(cluster.at(0).cancel(ID).await, 200);
        other.node.lock_state().machine_types[0].name = "m16".into();
        assert_eq!(other.submit(&spec).await, answer(200, "Cancelled"));
    });
}

/// A job that an accepted one names is gone from the state service, or can't be named any
/// more: the accepted one is known all the same.
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
            assert_eq!(cluster.at(n).submit(&spec).await, answer(200, "Queued"));
        }
        assert_eq!(
            cluster.submit(&job("wk-000002", &["wk-000007"])).await.0,
            422
        );
    });
}

/// What another version accepted may be malformed to this one. A body without an id that
/// can be read is refused by itself.
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
                assert_eq!(known, answer(200, "Queued"));
                assert_eq!(at.post("/submissions", new).await.status, 400);
            }
        }
        cluster.store_faults.refuse(&["/"]);
        let known = bodies(ID).into_iter().next().unwrap();
        assert_eq!(cluster.post("/submissions", known).await.status, 503);
        for none in [vec![0x80], encode(&job("000412", &[])), vec![]] {
            assert_eq!(cluster.post("/submissions", none).await.status, 400);
        }
    });
}

/// They ask the state service together, and the leader for nothing but that.
#[test]
fn infeasible_submissions_share_store_requests() {
    run(async {
        let cluster = TestCluster::of(1).await;
        let before = cluster.store_faults.count();
        let mut answers = Vec::new();
        for n in 0..60 {
            let spec = Submission {
                team: "x".into(),
                ..job(&format!("wk-{n:06}"), &[])
            };
            answers.push(spawn_submit(&cluster, 0, &spec));
        }
        for answer in answers {
            assert_eq!(answer.await.unwrap().0, 422);
        }
        assert!(
            cluster.store_faults.count() - before <= 2,
            "{}",
            cluster.store_faults.count()
        );
    });
}

// --- everything at once ---

/// An answer about a job: when its request was sent and answered, and what it said.
struct Observation {
    sent: Instant,
    at: Instant,
    answer: Answer,
}

/// Accepted is 0, over is 1; None tells nothing.
fn stage(answer: &Answer) -> Option<u8> {
    match (answer.0, answer.1.as_str()) {
        (200 | 201, "Queued" | "Running") => Some(0),
        (200 | 201, "Done" | "Cancelled") => Some(1),
        _ => None,
    }
}

/// Nothing that was asked after an answer had come may be answered with anything older,
/// and no final state may differ from another.
fn assert_consistent(seen: &[Observation]) {
    for first in seen {
        let Some(stage_of_first) = stage(&first.answer) else {
            continue;
        };
        for later in seen.iter().filter(|later| later.sent > first.at) {
            let what = format!("{:?}, and later {:?}", first.answer, later.answer);
            assert!(!matches!(later.answer.0, 400 | 404 | 422), "{what}");
            let Some(stage_of_later) = stage(&later.answer) else {
                continue;
            };
            assert!(stage_of_later >= stage_of_first, "{what}");
            if stage_of_first == 1 {
                assert_eq!(later.answer.1, first.answer.1);
            }
        }
    }
}

/// What the leader writes when a job's last task has ended.
async fn commit_end_as_done(cluster: &TestCluster, id: &str) {
    use cherrywood_control::keys;
    use cherrywood_net::rate_limiter::RequestPriority;
    use cherrywood_wire::records::{FinalStateRecord, JobRecord, StoredRecord};
    use cherrywood_wire::store::{Change, Guard, Txn};
    let state = &cluster.node.store;
    let Ok(Some(job)) = state.get::<JobRecord>(&keys::job(id)).await else {
        return;
    };
    let done = FinalStateRecord {
        state: cherrywood_wire::user::JobState::Done,
        tasks: 1,
        ended_at_ms: None,
    };
    let (live, over) = (keys::job(id), keys::final_state(id));
    let guard = |key: &String, version| Guard {
        key: key.clone(),
        revision: version,
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
    let _ = state.txn(&txn, RequestPriority::Critical).await;
}

/// Users poll and repeat at all controllers, some cancel, and the job ends, all within
/// milliseconds of each other, while the state service is slow, refuses, or loses answers.
async fn exercise_job(cluster: &TestCluster, number: u64) {
    let spec = job(&format!("wk-{number:06}"), &[]);
    let id = spec.id.clone();
    let mut asks: Vec<JoinHandle<Vec<Observation>>> = Vec::new();
    for n in 0..cluster.nodes.len() {
        let (at, spec, id) = (cluster.at(n), spec.clone(), id.clone());
        asks.push(tokio::spawn(async move {
            let mut seen = Vec::new();
            // The first is the submission; others ask on while it is open.
            for round in 0..12 {
                let sent = Instant::now();
                let answer = match (round + n) % 3 {
                    0 => at.submit(&spec).await,
                    _ if round == 0 => continue,
                    _ => at.query(&id).await,
                };
                let at = Instant::now();
                seen.push(Observation { sent, at, answer });
            }
            seen
        }));
    }
    for n in 0..2 {
        let (at, id) = (cluster.at(n), id.clone());
        asks.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(150 + number % 7 * 40)).await;
            let mut seen = Vec::new();
            for _ in 0..3 {
                let sent = Instant::now();
                if number.is_multiple_of(3) || n == 1 {
                    commit_end_as_done(&at, &id).await;
                } else {
                    let path = format!("/submissions/{id}/cancel");
                    let answer = status_and_text(&at.post(&path, Vec::new()).await);
                    let at = Instant::now();
                    seen.push(Observation { sent, at, answer });
                }
            }
            seen
        }));
    }
    let mut seen = Vec::new();
    for ask in asks {
        seen.extend(ask.await.unwrap());
    }
    assert_consistent(&seen);
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
