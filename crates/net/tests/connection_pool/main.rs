//! Eviction, refusal and closing of connections at a server's connection limit.

#[path = "../common/mod.rs"]
mod common;
mod load;

use cherrywood_net::client::{ClientResponse, exchange};
use cherrywood_net::connection_pool::{
    ConnectionClass, ConnectionPool, PoolLimits, PooledConnection,
};
use cherrywood_net::runtime::{Runtime, Stream};
use cherrywood_net::server::{self, Request, Response};
use common::{CONNECT, run};
use load::{IN_WAVES, LEASE_S, LoadResults, LoadTest, WORKERS};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tokio::time::sleep;

const HEARTBEAT: &str = "/agent/beat";
const JOB: &str = "/submissions/wk-000001";

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n as u8], 8080))
}

fn classify(request: &Request) -> ConnectionClass {
    match request.path.as_str() {
        HEARTBEAT => ConnectionClass::Worker,
        _ => ConnectionClass::User,
    }
}

/// Sends one request on an open connection; returns the response and whether the connection
/// stays open.
async fn send(stream: &mut Stream, path: &str) -> Option<(ClientResponse, bool)> {
    let exchange = exchange(stream, address(0), "GET", path, None);
    let response = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok()?;
    let response = response.ok()?;
    let stays_open = !response.close;
    Some((response, stays_open))
}

/// Opens a connection and completes one request on it.
async fn connect_and_send(runtime: &Runtime, path: &str) -> Stream {
    let mut stream = runtime.connect(address(0)).await.unwrap();
    let (response, _) = send(&mut stream, path).await.expect("a response");
    assert_eq!(response.status, 200);
    stream
}

/// Returns whether the server closes the connection within 10 ms.
async fn is_closed(stream: &mut Stream) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(Duration::from_millis(10), stream.read(&mut byte)).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

/// Serves controller 0; requests for `/hang` get their responses when the returned handle is
/// notified.
fn serve(runtime: &Runtime, limits: PoolLimits) -> Arc<Notify> {
    let release = Arc::new(Notify::new());
    let held = release.clone();
    let handler = move |request: Request, _| {
        let held = held.clone();
        async move {
            if request.path.starts_with("/hang") {
                held.notified().await;
            }
            Response::empty(200)
        }
    };
    let runtime = runtime.clone();
    tokio::spawn(async move {
        let listener = runtime.bind(address(0)).await.unwrap();
        server::serve_classes(runtime, listener, limits, classify, Arc::new(handler)).await;
    });
    release
}

#[test]
fn at_the_limit_idle_connections_are_evicted_and_active_ones_never() {
    run(|runtime| async move {
        let release = serve(&runtime, PoolLimits::uniform(2));
        sleep(CONNECT).await;
        let mut idle = connect_and_send(&runtime, JOB).await;
        let mut active = runtime.connect(address(0)).await.unwrap();
        let first_active = tokio::spawn(async move { send(&mut active, "/hang").await });
        sleep(Duration::from_secs(1)).await;

        let mut third = connect_and_send(&runtime, JOB).await;
        assert!(is_closed(&mut idle).await, "it was idle, and the oldest");

        let mut fourth = runtime.connect(address(0)).await.unwrap();
        assert!(is_closed(&mut third).await);
        let second_active = tokio::spawn(async move { send(&mut fourth, "/hang").await });
        sleep(Duration::from_secs(1)).await;
        let mut fifth = runtime.connect(address(0)).await.unwrap();
        assert!(is_closed(&mut fifth).await, "all others are active");

        release.notify_waiters();
        for request in [first_active, second_active] {
            let (response, _) = request.await.unwrap().expect("a response");
            assert_eq!(response.status, 200);
        }
    });
}

#[test]
fn users_connections_are_evicted_before_those_of_workers() {
    run(|runtime| async move {
        serve(&runtime, PoolLimits::uniform(3));
        sleep(CONNECT).await;
        let mut worker = connect_and_send(&runtime, HEARTBEAT).await;
        let mut older_user = connect_and_send(&runtime, JOB).await;
        let mut user = connect_and_send(&runtime, JOB).await;
        // The older connection becomes the most recently used one.
        assert!(send(&mut older_user, JOB).await.is_some());

        let mut second_worker = connect_and_send(&runtime, HEARTBEAT).await;
        assert!(is_closed(&mut user).await);
        assert!(!is_closed(&mut older_user).await);
        let mut third_worker = connect_and_send(&runtime, HEARTBEAT).await;
        assert!(is_closed(&mut older_user).await);
        assert!(!is_closed(&mut worker).await);

        // Idle connections of workers are evicted for users as well.
        connect_and_send(&runtime, JOB).await;
        assert!(is_closed(&mut worker).await);
        assert!(!is_closed(&mut second_worker).await);
        assert!(!is_closed(&mut third_worker).await);
    });
}

#[test]
fn a_connection_without_a_request_yet_is_evicted_after_older_ones() {
    run(|runtime| async move {
        serve(&runtime, PoolLimits::uniform(2));
        sleep(CONNECT).await;
        let mut worker = connect_and_send(&runtime, HEARTBEAT).await;
        let mut fresh = runtime.connect(address(0)).await.unwrap();
        let mut another = runtime.connect(address(0)).await.unwrap();
        assert!(is_closed(&mut worker).await);
        assert!(send(&mut fresh, HEARTBEAT).await.is_some());
        assert!(send(&mut another, HEARTBEAT).await.is_some());
    });
}

#[test]
fn connections_are_closed_with_a_response_before_the_pool_is_full() {
    run(|runtime| async move {
        let limits = PoolLimits {
            max_connections: 10,
            max_open_to_keep_users: 2,
            max_open_to_keep_workers: 3,
            max_active_users: 10,
        };
        serve(&runtime, limits);
        sleep(CONNECT).await;
        let mut kept = Vec::new();
        for (path, stays_open) in [
            (JOB, true),
            (HEARTBEAT, true),
            (JOB, false),
            (HEARTBEAT, true),
            (HEARTBEAT, false),
            (JOB, false),
        ] {
            let mut stream = runtime.connect(address(0)).await.unwrap();
            let (_, kept_alive) = send(&mut stream, path).await.expect("a response");
            assert_eq!(kept_alive, stays_open, "{path} beside {}", kept.len());
            if kept_alive {
                kept.push(stream);
            } else {
                assert!(is_closed(&mut stream).await);
            }
        }
    });
}

#[test]
fn users_that_wait_for_responses_leave_part_of_the_pool_to_heartbeats() {
    run(|runtime| async move {
        let limits = PoolLimits {
            max_active_users: 2,
            ..PoolLimits::uniform(4)
        };
        let release = serve(&runtime, limits);
        sleep(CONNECT).await;
        let mut held = Vec::new();
        for _ in 0..2 {
            let mut user = runtime.connect(address(0)).await.unwrap();
            held.push(tokio::spawn(async move { send(&mut user, "/hang").await }));
        }
        sleep(Duration::from_secs(1)).await;
        let mut user = runtime.connect(address(0)).await.unwrap();
        let (response, _) = send(&mut user, "/hang").await.expect("a response");
        assert_eq!(response.status, 503);
        assert!(response.retry_after_s.is_some());
        connect_and_send(&runtime, HEARTBEAT).await;
        release.notify_waiters();
        for request in held {
            let (response, _) = request.await.unwrap().expect("a response");
            assert_eq!(response.status, 200);
        }
        connect_and_send(&runtime, JOB).await;
    });
}

/// A request that arrived before its connection was evicted gets a response.
#[test]
fn a_request_that_crosses_an_eviction_gets_a_response_that_closes_the_connection() {
    run(|runtime| async move {
        serve(&runtime, PoolLimits::uniform(1));
        sleep(CONNECT).await;
        let mut first = connect_and_send(&runtime, HEARTBEAT).await;
        // No other task runs between these two steps: the server sees the new connection first
        // and then the request.
        let mut second = runtime.connect(address(0)).await.unwrap();
        let (response, kept_alive) = send(&mut first, HEARTBEAT).await.expect("a response");
        assert_eq!(response.status, 200);
        assert!(!kept_alive);
        assert!(send(&mut second, HEARTBEAT).await.is_some());
    });
}

// --- the pool without a server ---

fn idle_connection(pool: &Arc<ConnectionPool>, class: ConnectionClass) -> PooledConnection {
    let mut connection = pool.admit().expect("a slot");
    connection.set_active();
    assert!(connection.begin_request(class));
    connection.set_idle();
    connection
}

#[test]
fn a_slot_is_released_once_however_its_connection_ends() {
    let pool = ConnectionPool::new(PoolLimits::uniform(2));
    let evicted = idle_connection(&pool, ConnectionClass::User);
    let idle = idle_connection(&pool, ConnectionClass::User);
    let active = pool.admit().expect("the slot of the first connection");
    assert_eq!(pool.open(), 2);
    drop(evicted);
    assert_eq!(pool.open(), 2, "its slot belongs to another connection");
    drop((idle, active));
    assert_eq!(pool.open(), 0);
}

#[test]
fn an_evicted_connection_does_not_return_to_the_pool() {
    let pool = ConnectionPool::new(PoolLimits::uniform(1));
    let mut evicted = idle_connection(&pool, ConnectionClass::User);
    let _other = pool.admit().expect("the slot of the evicted connection");
    evicted.set_active();
    assert!(!evicted.keep_alive());
    let mut signal = evicted.set_idle();
    assert!(signal.try_recv().is_err(), "it is signalled to close");
    assert!(pool.admit().is_none(), "nothing is idle");
}

#[test]
fn the_limits_of_a_controller_depend_on_its_sockets() {
    let limits = PoolLimits::for_sockets(2265);
    assert_eq!(limits.max_connections, 1812);
    assert!(limits.max_open_to_keep_users < limits.max_open_to_keep_workers);
    assert!(limits.max_open_to_keep_workers < limits.max_connections);
    assert!(limits.max_active_users < limits.max_open_to_keep_users);
    assert_eq!(PoolLimits::for_sockets(0).max_connections, 16);
}

// --- load of 4,000 workers ---

fn assert_no_lease_expires(results: &LoadResults) {
    assert_eq!(results.longest_gap_s.len(), WORKERS);
    let late: Vec<_> = results
        .longest_gap_s
        .iter()
        .filter(|g| *g.1 >= LEASE_S)
        .collect();
    assert!(
        late.is_empty(),
        "{} workers, first {:?}",
        late.len(),
        late[0]
    );
}

fn assert_under_one_heartbeat_in_a_hundred_fails(results: &LoadResults) {
    assert!(results.heartbeats_failed * 100 < results.heartbeats);
}

#[test]
fn no_lease_of_4000_workers_expires_with_2265_sockets_beside_users() {
    let load = LoadTest {
        sockets: 2265,
        users: 6000,
        user_response_s: 0.05,
        ..LoadTest::default()
    };
    let results = load.run();
    assert_no_lease_expires(&results);
    assert_under_one_heartbeat_in_a_hundred_fails(&results);
    assert!(results.queries_failed * 20 < results.queries);
}

#[test]
fn no_lease_of_4000_workers_expires_with_700_sockets() {
    let load = LoadTest {
        sockets: 700,
        users: 0,
        user_response_s: 0.0,
        ..LoadTest::default()
    };
    let results = load.run();
    assert_no_lease_expires(&results);
    assert_under_one_heartbeat_in_a_hundred_fails(&results);
}

/// Runs 4,000 workers beside users with slow requests that hold their whole share of the pool.
fn run_slow_users_beside_4000_workers() -> LoadResults {
    let load = LoadTest {
        sockets: 700,
        users: 4000,
        user_response_s: 1.9,
        ..LoadTest::default()
    };
    load.run()
}

#[test]
fn no_lease_of_4000_workers_expires_beside_users_with_slow_requests() {
    assert_no_lease_expires(&run_slow_users_beside_4000_workers());
}

/// Guards against users that take the half of the pool that they may, so that idle connections
/// of workers are evicted and their next heartbeats find the connections closed.
#[test]
fn under_one_heartbeat_in_a_hundred_fails_beside_users_with_slow_requests() {
    let results = run_slow_users_beside_4000_workers();
    assert_under_one_heartbeat_in_a_hundred_fails(&results);
}

/// Guards against users that arrive in waves and take the slots of workers' idle connections.
fn assert_waves_of_users_evict_few_workers(sockets: usize) {
    let load = LoadTest {
        sockets,
        users: 4000,
        user_response_s: 1.0,
        arrival: IN_WAVES,
        ..LoadTest::default()
    };
    let results = load.run();
    assert_no_lease_expires(&results);
    assert_under_one_heartbeat_in_a_hundred_fails(&results);
}

#[test]
fn under_one_heartbeat_in_a_hundred_fails_beside_waves_of_users_with_300_sockets() {
    assert_waves_of_users_evict_few_workers(300);
}

#[test]
fn under_one_heartbeat_in_a_hundred_fails_beside_waves_of_users_with_700_sockets() {
    assert_waves_of_users_evict_few_workers(700);
}

#[test]
fn under_one_heartbeat_in_a_hundred_fails_beside_waves_of_users_with_2265_sockets() {
    assert_waves_of_users_evict_few_workers(2265);
}

/// New connections take long to send their first request, and hold their slots until then.
#[test]
fn under_one_heartbeat_in_a_hundred_fails_on_a_slow_network() {
    let load = LoadTest {
        sockets: 700,
        users: 4000,
        user_response_s: 1.5,
        first_bytes_s: 0.1,
        ..LoadTest::default()
    };
    let results = load.run();
    assert_no_lease_expires(&results);
    assert_under_one_heartbeat_in_a_hundred_fails(&results);
}

/// All workers have just found a new controller, as after a failover.
#[test]
fn under_one_heartbeat_in_a_hundred_fails_when_all_workers_begin_at_once() {
    let load = LoadTest {
        sockets: 700,
        users: 4000,
        user_response_s: 1.9,
        workers_first_within_s: 0.5,
        ..LoadTest::default()
    };
    let results = load.run();
    assert_no_lease_expires(&results);
    assert_under_one_heartbeat_in_a_hundred_fails(&results);
}
