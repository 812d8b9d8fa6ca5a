//! Waiting status queries, and the requests to the key-value store that they cause.

mod common;

use cherrywood_admission::{AdmissionTable, Gate, tenant_class_id};
use cherrywood_net::Runtime;
use cherrywood_net::server::{self, Request, Response};
use cherrywood_node::api;
use cherrywood_node::background;
use cherrywood_node::node::Node;
use cherrywood_node::settings::{Operator, Settings};
use cherrywood_node::status_queries::StatusQueryQueue;
use cherrywood_wire::records::FinalStateRecord;
use cherrywood_wire::user::{JobState, JobStatus};
use cherrywood_wire::{decode, encode};
use common::{EXAMPLE, job, run, types};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::oneshot;

/// Seconds for which a user waits for the response to a status query (protocol).
const USER_WAIT_S: f64 = 2.0;

#[test]
fn batch_contains_at_most_the_requested_number_of_jobs() {
    let queue = StatusQueryQueue::default();
    let query = |n: u32| {
        let (sender, result) = oneshot::channel();
        queue.enqueue(&format!("wk-{n:06}"), sender);
        result
    };
    let _waiting: Vec<_> = (0..10).map(query).collect();
    let sizes: Vec<usize> = (0..4).map(|_| queue.take_batch(4).len()).collect();
    assert_eq!(sizes, [4, 4, 2, 0]);
}

/// Repeated queries concern more jobs than the comparisons can hold. Guards against a job that is
/// never looked up because its id sorts last, and so is forgotten.
#[test]
fn overloaded_queue_serves_every_job_in_its_turn() {
    let queue = StatusQueryQueue::default();
    let mut waiting = Vec::new();
    let mut query = |n: u32| {
        let (sender, result) = oneshot::channel();
        queue.enqueue(&format!("wk-{n:06}"), sender);
        waiting.push(result);
    };
    (0..2000).for_each(&mut query);
    query(999_999);
    // Each round serves 32 jobs, and 32 queries of a team that sends eight times as many arrive
    // at once.
    let round = (0..100).find(|round| {
        let batch = queue.take_batch(32);
        (0..32).for_each(|n| query((round * 32 + n) % 2000));
        batch.contains_key("wk-999999")
    });
    assert_eq!(round, Some(2000 / 32));
}

/// Queries of users who gave up must not make other users wait.
#[test]
fn abandoned_queries_take_no_place_in_a_batch() {
    let queue = StatusQueryQueue::default();
    for n in 0..100 {
        let (sender, result) = oneshot::channel();
        queue.enqueue(&format!("wk-{n:06}"), sender);
        drop(result);
    }
    let (sender, _result) = oneshot::channel();
    queue.enqueue("wk-000500", sender);
    assert!(queue.take_batch(8).contains_key("wk-000500"));
}

#[derive(Deserialize)]
struct Comparison {
    guards: Vec<ComparedKey>,
}
#[derive(Deserialize)]
struct ComparedKey {
    k: String,
}
#[derive(Serialize)]
struct Conflict {
    failed: Vec<String>,
    ledger_rev: u64,
}
#[derive(Serialize)]
struct Row {
    k: String,
    v: FinalStateRecord,
    mark: u64,
}

/// Behaviour of the stand-in for the key-value store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FakeStore {
    /// Jobs below 100 are live, jobs from 100 to 199 done, all others unknown.
    Serving,
    /// As `Serving`, but the first request gets no response.
    SilentAtFirst,
    /// All requests get 503.
    Refusing,
}

impl FakeStore {
    /// Starts the stand-in, and returns its address and its count of requests.
    async fn start(self) -> (SocketAddr, Arc<AtomicUsize>) {
        let host = Runtime::native();
        let listener = host.bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let count = Arc::new(AtomicUsize::new(0));
        let seen = count.clone();
        let on_request = move |request: Request, _| {
            let earlier = seen.fetch_add(1, Ordering::Relaxed);
            async move {
                if self == FakeStore::SilentAtFirst && earlier == 0 {
                    std::future::pending::<()>().await;
                }
                self.respond(&request)
            }
        };
        tokio::spawn(server::serve(host, listener, 100, Arc::new(on_request)));
        (addr, count)
    }

    fn respond(self, request: &Request) -> Response {
        if self == FakeStore::Refusing {
            return Response::busy();
        }
        match request.path.as_str() {
            "/txn" => Self::compare(&request.body),
            path => Self::read(path.trim_start_matches("/keys/")),
        }
    }

    fn compare(body: &[u8]) -> Response {
        let comparison: Comparison = decode(body).unwrap();
        let exists = |k: &String| match k.starts_with("f/") {
            true => (100..200).contains(&job_number(k)),
            false => job_number(k) < 100,
        };
        let keys = comparison.guards.into_iter().map(|g| g.k);
        let failed: Vec<String> = keys.filter(exists).collect();
        let status = if failed.is_empty() { 200 } else { 409 };
        let ledger_rev = 7;
        Response::new(status, encode(&Conflict { failed, ledger_rev }))
    }

    fn read(key: &str) -> Response {
        if !key.starts_with("f/") || job_number(key) >= 200 {
            return Response::empty(404);
        }
        let v = FinalStateRecord {
            state: JobState::Done,
            tasks: 3,
            ended_at_ms: None,
        };
        let k = key.to_string();
        Response::new(200, encode(&Row { k, v, mark: 5 }))
    }
}

fn job_number(key: &str) -> u32 {
    key.rsplit('-').next().unwrap().parse().unwrap()
}

/// Starts a controller that uses this key-value store and responds to status queries.
fn node_with_store(store: SocketAddr) -> Arc<Node> {
    let text = EXAMPLE.replace("state = \"127.0.0.1:9\"", &format!("state = \"{store}\""));
    let platform = Settings::parse_platform(&text).unwrap();
    let operator = Operator::default();
    let node = Arc::new(Node::new(
        Runtime::native(),
        Settings { platform, operator },
    ));
    tokio::spawn(background::status_queries::run(node.clone()));
    node
}

/// Status of a response, the job's state, and whether there is a `Retry-After`.
type QueryResponse = (u16, Option<JobState>, bool);

/// Queries all these jobs at once. Returns the responses, and the number of requests to the store.
fn query_all(store: FakeStore, jobs: &[u32]) -> (Vec<QueryResponse>, usize) {
    run(async {
        let (addr, count) = store.start().await;
        let node = node_with_store(addr);
        let queries: Vec<_> = jobs
            .iter()
            .map(|n| {
                let node = node.clone();
                let request = Request {
                    method: "GET".into(),
                    path: format!("/submissions/wk-{n:06}"),
                    body: Vec::new(),
                };
                tokio::spawn(async move { api::handle_request(&node, request).await })
            })
            .collect();
        let mut responses = Vec::new();
        for query in queries {
            let response = query.await.unwrap();
            let status = decode::<JobStatus>(&response.body).ok();
            let retry_after = response.retry_after_s.is_some();
            responses.push((response.status, status.map(|s| s.state), retry_after));
        }
        (responses, count.load(Ordering::Relaxed))
    })
}

/// Guards against a read for each query: when users send eight times as many queries, these reads
/// use up the whole request rate, and submissions and placements are refused by the hundred.
#[test]
fn concurrent_queries_share_one_store_request() {
    let mut jobs: Vec<u32> = (0..60).chain(0..60).collect();
    jobs.extend([150, 150, 999_999]);
    let (responses, requests) = query_all(FakeStore::Serving, &jobs);
    for (n, response) in jobs.iter().zip(responses) {
        let expected = match n {
            0..100 => (200, Some(JobState::Queued), false),
            100..200 => (200, Some(JobState::Done), false),
            _ => (404, None, false),
        };
        assert_eq!(response, expected, "job {n}");
    }
    // One comparison, and one read for the job that is over.
    assert_eq!(requests, 2);
}

/// Guards against two reads for each submission: users whose jobs lack room submit them repeatedly,
/// and these reads would use up a follower's whole share of the requests.
#[test]
fn queries_for_unknown_jobs_share_store_requests() {
    let jobs: Vec<u32> = (900_000..900_150).collect();
    let (responses, requests) = query_all(FakeStore::Serving, &jobs);
    assert!(responses.iter().all(|r| *r == (404, None, false)));
    assert_eq!(requests, 2, "96 jobs in a comparison");
}

/// Under overload, the submission of a known job gets 200 regardless of room, and that of an
/// unknown job gets 429 at once, with a time after which to retry. The job is never called
/// infeasible, and is not refused because the key-value store fails.
#[test]
fn submission_without_room_is_429_unless_the_job_is_known() {
    let responses = |store: FakeStore| {
        run(async {
            let (addr, _) = store.start().await;
            let node = node_with_store(addr);
            node.lock_state().machine_types = types();
            let closed = Gate {
                class: tenant_class_id("t", "c"),
                max_work_cpu_s: 1.0,
                share: 0.0,
            };
            node.admission_filter.adopt_if_newer(&AdmissionTable {
                term: 1,
                gates: vec![closed],
                relief_s: 10.0,
                ..AdmissionTable::default()
            });
            let mut responses = Vec::new();
            for n in [50, 150, 999_999] {
                let request = Request {
                    method: "POST".into(),
                    path: "/submissions".into(),
                    body: encode(&job(&format!("wk-{n:06}"), &[])),
                };
                let response = api::handle_request(&node, request).await;
                responses.push((response.status, response.retry_after_s));
            }
            responses
        })
    };
    let served = responses(FakeStore::Serving);
    assert_eq!(served[..2], [(200, None), (200, None)]);
    assert_eq!(served[2].0, 429);
    assert!((5..=30).contains(&served[2].1.unwrap()), "{served:?}");
    assert_eq!(responses(FakeStore::Refusing), [(503, Some(1)); 3]);
}

#[test]
fn queries_that_cannot_be_served_get_503_at_once() {
    let (responses, requests) = query_all(FakeStore::Refusing, &[1, 2, 3]);
    assert_eq!(responses, vec![(503, None, true); 3]);
    assert_eq!(requests, 1);
}

/// Guards against a lost response of the store that gives every query of its batch 503 after 0.9 s,
/// so that a job that waited through an outage is forgotten (scenarios/long/forgotten-98.yaml).
#[test]
fn queries_get_responses_in_time_though_the_stores_first_response_is_lost() {
    let began = std::time::Instant::now();
    let (responses, requests) = query_all(FakeStore::SilentAtFirst, &[1, 2, 999_999]);
    let live = (200, Some(JobState::Queued), false);
    assert_eq!(responses, [live, live, (404, None, false)]);
    assert_eq!(requests, 2);
    assert!(began.elapsed().as_secs_f64() < USER_WAIT_S);
}
