//! Eviction, refusal and closing of connections at a server's connection limit.

#[path = "../common/mod.rs"]
mod common;
mod crowd;

use cherrywood_net::client::{ClientResponse, exchange};
use cherrywood_net::connection_pool::{
    ConnectionClass, ConnectionPool, PoolLimits, PooledConnection,
};
use cherrywood_net::runtime::{Runtime, Stream};
use cherrywood_net::server::{self, Request, Response};
use common::{CONNECT, run};
use crowd::{Crowd, IN_WAVES, LEASE_S, Seen, WORKERS};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tokio::time::sleep;

const HEARTBEAT: &str = "/agent/beat";
const JOB: &str = "/submissions/wk-000001";

/// How long any request may take.
const ASK_WAIT: Duration = Duration::from_secs(30);

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, n as u8], 8080))
}

fn classify(request: &Request) -> ConnectionClass {
    match request.path.as_str() {
        HEARTBEAT => ConnectionClass::Worker,
        _ => ConnectionClass::User,
    }
}

/// One request on an open connection, and whether the connection stays open.
async fn ask(stream: &mut Stream, path: &str) -> Option<(ClientResponse, bool)> {
    let asking = exchange(stream, address(0), "GET", path, None);
    let answer = tokio::time::timeout(ASK_WAIT, asking).await.ok()?;
    let answer = answer.ok()?;
    let stays_open = !answer.close;
    Some((answer, stays_open))
}

/// A new connection on which one request was answered.
async fn used(host: &Runtime, path: &str) -> Stream {
    let mut stream = host.connect(address(0)).await.unwrap();
    let (answer, _) = ask(&mut stream, path).await.expect("an answer");
    assert_eq!(answer.status, 200);
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
fn serve(host: &Runtime, limits: PoolLimits) -> Arc<Notify> {
    let listener = host.clone();
    let let_go = Arc::new(Notify::new());
    let held = let_go.clone();
    let handler = move |request: Request, _| {
        let held = held.clone();
        async move {
            if request.path.starts_with("/hang") {
                held.notified().await;
            }
            Response::empty(200)
        }
    };
    let host = host.clone();
    tokio::spawn(async move {
        let listener = listener.bind(address(0)).await.unwrap();
        server::serve_classes(host, listener, limits, classify, Arc::new(handler)).await;
    });
    let_go
}

#[test]
fn at_the_limit_an_idle_connection_gives_way_and_an_active_one_never_does() {
    run(|host| async move {
        let let_go = serve(&host, PoolLimits::uniform(2));
        sleep(CONNECT).await;
        let mut idle = used(&host, JOB).await;
        let mut active = host.connect(address(0)).await.unwrap();
        let answered = tokio::spawn(async move { ask(&mut active, "/hang").await });
        sleep(Duration::from_secs(1)).await;

        let mut third = used(&host, JOB).await;
        assert!(is_closed(&mut idle).await, "it was idle, and the oldest");

        let mut fourth = host.connect(address(0)).await.unwrap();
        assert!(is_closed(&mut third).await);
        let also_active = tokio::spawn(async move { ask(&mut fourth, "/hang").await });
        sleep(Duration::from_secs(1)).await;
        let mut fifth = host.connect(address(0)).await.unwrap();
        assert!(is_closed(&mut fifth).await, "all others are active");

        let_go.notify_waiters();
        for request in [answered, also_active] {
            let (answer, _) = request.await.unwrap().expect("an answer");
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn users_connections_give_way_before_those_of_workers() {
    run(|host| async move {
        serve(&host, PoolLimits::uniform(3));
        sleep(CONNECT).await;
        let mut worker = used(&host, HEARTBEAT).await;
        let mut older_user = used(&host, JOB).await;
        let mut user = used(&host, JOB).await;
        // The older one becomes the one used last.
        assert!(ask(&mut older_user, JOB).await.is_some());

        let mut second_worker = used(&host, HEARTBEAT).await;
        assert!(is_closed(&mut user).await);
        assert!(!is_closed(&mut older_user).await);
        let mut third_worker = used(&host, HEARTBEAT).await;
        assert!(is_closed(&mut older_user).await);
        assert!(!is_closed(&mut worker).await);

        // Users find room beside workers that wait.
        used(&host, JOB).await;
        assert!(is_closed(&mut worker).await);
        assert!(!is_closed(&mut second_worker).await);
        assert!(!is_closed(&mut third_worker).await);
    });
}

#[test]
fn a_connection_that_has_not_asked_yet_gives_way_after_older_ones() {
    run(|host| async move {
        serve(&host, PoolLimits::uniform(2));
        sleep(CONNECT).await;
        let mut worker = used(&host, HEARTBEAT).await;
        let mut fresh = host.connect(address(0)).await.unwrap();
        let mut another = host.connect(address(0)).await.unwrap();
        assert!(is_closed(&mut worker).await);
        assert!(ask(&mut fresh, HEARTBEAT).await.is_some());
        assert!(ask(&mut another, HEARTBEAT).await.is_some());
    });
}

#[test]
fn connections_are_closed_with_an_answer_before_the_pool_is_full() {
    run(|host| async move {
        let limits = PoolLimits {
            max_connections: 10,
            max_open_to_keep_users: 2,
            max_open_to_keep_workers: 3,
            max_active_users: 10,
        };
        serve(&host, limits);
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
            let mut stream = host.connect(address(0)).await.unwrap();
            let (_, kept_alive) = ask(&mut stream, path).await.expect("an answer");
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
fn users_that_wait_for_answers_leave_a_part_of_the_pool_to_heartbeats() {
    run(|host| async move {
        let limits = PoolLimits {
            max_active_users: 2,
            ..PoolLimits::uniform(4)
        };
        let let_go = serve(&host, limits);
        sleep(CONNECT).await;
        let mut held = Vec::new();
        for _ in 0..2 {
            let mut user = host.connect(address(0)).await.unwrap();
            held.push(tokio::spawn(async move { ask(&mut user, "/hang").await }));
        }
        sleep(Duration::from_secs(1)).await;
        let mut user = host.connect(address(0)).await.unwrap();
        let (answer, _) = ask(&mut user, "/hang").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after_s.is_some());
        used(&host, HEARTBEAT).await;
        let_go.notify_waiters();
        for request in held {
            let (answer, _) = request.await.unwrap().expect("an answer");
            assert_eq!(answer.status, 200);
        }
        used(&host, JOB).await;
    });
}

/// A request that arrived before its connection was evicted gets a response.
#[test]
fn a_request_that_crosses_an_eviction_is_answered_and_ends_the_connection() {
    run(|host| async move {
        serve(&host, PoolLimits::uniform(1));
        sleep(CONNECT).await;
        let mut first = used(&host, HEARTBEAT).await;
        // Nothing runs between the two: the server sees the new connection, then the request.
        let mut second = host.connect(address(0)).await.unwrap();
        let (answer, kept_alive) = ask(&mut first, HEARTBEAT).await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(!kept_alive);
        assert!(ask(&mut second, HEARTBEAT).await.is_some());
    });
}

// --- the pool without a server ---

fn idle_connection(pool: &Arc<ConnectionPool>, class: ConnectionClass) -> PooledConnection {
    let mut connection = pool.admit().expect("a place");
    connection.set_active();
    assert!(connection.begin_request(class));
    connection.set_idle();
    connection
}

#[test]
fn places_are_given_back_once_however_a_connection_ends() {
    let pool = ConnectionPool::new(PoolLimits::uniform(2));
    let evicted = idle_connection(&pool, ConnectionClass::User);
    let idle = idle_connection(&pool, ConnectionClass::User);
    let active = pool.admit().expect("the first one's place");
    assert_eq!(pool.open(), 2);
    drop(evicted);
    assert_eq!(pool.open(), 2, "its place belongs to another");
    drop((idle, active));
    assert_eq!(pool.open(), 0);
}

#[test]
fn an_evicted_connection_does_not_come_back_into_the_pool() {
    let pool = ConnectionPool::new(PoolLimits::uniform(1));
    let mut evicted = idle_connection(&pool, ConnectionClass::User);
    let _other = pool.admit().expect("its place");
    evicted.set_active();
    assert!(!evicted.keep_alive());
    let mut signal = evicted.set_idle();
    assert!(signal.try_recv().is_err(), "and it is told to close");
    assert!(pool.admit().is_none(), "nothing is idle");
}

#[test]
fn the_limits_of_a_controller_follow_its_sockets() {
    let limits = PoolLimits::for_sockets(2265);
    assert_eq!(limits.max_connections, 1812);
    assert!(limits.max_open_to_keep_users < limits.max_open_to_keep_workers);
    assert!(limits.max_open_to_keep_workers < limits.max_connections);
    assert!(limits.max_active_users < limits.max_open_to_keep_users);
    assert_eq!(PoolLimits::for_sockets(0).max_connections, 16);
}

// --- load of 4,000 workers ---

fn assert_all_heard_within_their_lease(seen: &Seen) {
    assert_eq!(seen.longest_gap_s.len(), WORKERS);
    let late: Vec<_> = seen
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

fn assert_under_one_heartbeat_in_a_hundred_fails(seen: &Seen) {
    assert!(seen.heartbeats_failed * 100 < seen.heartbeats);
}

#[test]
fn four_thousand_workers_are_heard_within_their_lease_with_2265_sockets_beside_users() {
    let crowd = Crowd {
        sockets: 2265,
        users: 6000,
        user_answer_s: 0.05,
        ..Crowd::default()
    };
    let seen = crowd.play();
    assert_all_heard_within_their_lease(&seen);
    assert_under_one_heartbeat_in_a_hundred_fails(&seen);
    assert!(seen.polls_failed * 20 < seen.polls);
}

#[test]
fn four_thousand_workers_are_heard_within_their_lease_with_700_sockets() {
    let crowd = Crowd {
        sockets: 700,
        users: 0,
        user_answer_s: 0.0,
        ..Crowd::default()
    };
    let seen = crowd.play();
    assert_all_heard_within_their_lease(&seen);
    assert_under_one_heartbeat_in_a_hundred_fails(&seen);
}

/// Users that hold as much of the pool as they may, beside all workers.
fn slowly_answered_users_beside_4000_workers() -> Seen {
    let crowd = Crowd {
        sockets: 700,
        users: 4000,
        user_answer_s: 1.9,
        ..Crowd::default()
    };
    crowd.play()
}

#[test]
fn four_thousand_workers_are_heard_beside_users_that_are_answered_slowly() {
    assert_all_heard_within_their_lease(&slowly_answered_users_beside_4000_workers());
}

/// Guards against users that take the half of the pool that they may, so that idle connections
/// of workers are evicted and their next heartbeats find the connections closed.
#[test]
fn under_one_heartbeat_in_a_hundred_fails_beside_users_that_are_answered_slowly() {
    let seen = slowly_answered_users_beside_4000_workers();
    assert_under_one_heartbeat_in_a_hundred_fails(&seen);
}

/// Guards against users that arrive in waves and take the slots of workers' idle connections.
fn assert_waves_of_users_evict_few_workers(sockets: usize) {
    let crowd = Crowd {
        sockets,
        users: 4000,
        user_answer_s: 1.0,
        arrival: IN_WAVES,
        ..Crowd::default()
    };
    let seen = crowd.play();
    assert_all_heard_within_their_lease(&seen);
    assert_under_one_heartbeat_in_a_hundred_fails(&seen);
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
    let crowd = Crowd {
        sockets: 700,
        users: 4000,
        user_answer_s: 1.5,
        first_bytes_s: 0.1,
        ..Crowd::default()
    };
    let seen = crowd.play();
    assert_all_heard_within_their_lease(&seen);
    assert_under_one_heartbeat_in_a_hundred_fails(&seen);
}

/// The situation after a failover, when all workers have just found a new controller.
#[test]
fn under_one_heartbeat_in_a_hundred_fails_when_all_workers_begin_at_once() {
    let crowd = Crowd {
        sockets: 700,
        users: 4000,
        user_answer_s: 1.9,
        workers_first_within_s: 0.5,
        ..Crowd::default()
    };
    let seen = crowd.play();
    assert_all_heard_within_their_lease(&seen);
    assert_under_one_heartbeat_in_a_hundred_fails(&seen);
}
