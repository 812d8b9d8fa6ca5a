//! Load tests: many workers and users connect to few controllers with few sockets.

use super::{HEARTBEAT, JOB, address, classify, send};
use crate::common::{CONNECT, run};
use cherrywood_net::connection_pool::{ConnectionClass, ConnectionPool, PoolCounts, PoolLimits};
use cherrywood_net::runtime::{Runtime, Stream};
use cherrywood_net::server::{self, Request, Response};
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

pub const WORKERS: usize = 4000;
const CONTROLLERS: usize = 5;
pub const LEASE_S: f64 = 22.0;
const REPORT_S: f64 = 5.0;
const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
const NEXT_CONTROLLER_DELAY_S: f64 = 1.0;
const QUERY_INTERVAL_S: f64 = 5.0;
const QUERY_TIMEOUT_S: f64 = 2.0;
/// Seconds that a controller takes to respond to a heartbeat.
const HEARTBEAT_RESPONSE_S: f64 = 0.01;
const DURATION_S: f64 = 45.0;

/// Parameters of a load test.
pub struct LoadTest {
    /// Sockets of each controller.
    pub sockets: usize,
    pub users: usize,
    /// Seconds that a controller takes to respond to a user.
    pub user_response_s: f64,
    /// When users send their requests.
    pub arrival: Arrival,
    /// Seconds within which all workers send their first heartbeat.
    pub workers_first_within_s: f64,
    /// Seconds that the first bytes of a new connection take.
    pub first_bytes_s: f64,
}

impl Default for LoadTest {
    /// No sockets and no users; evenly spread requests on a fast network.
    fn default() -> Self {
        LoadTest {
            sockets: 0,
            users: 0,
            user_response_s: 0.0,
            arrival: EVENLY,
            workers_first_within_s: REPORT_S,
            first_bytes_s: 0.0,
        }
    }
}

/// When users send their requests.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Seconds within which all users send their first request.
    first_within_s: f64,
    /// Share by which the pause between two requests varies to either side.
    pause_spread: f64,
}

const EVENLY: Arrival = Arrival {
    first_within_s: QUERY_INTERVAL_S,
    pause_spread: 0.2,
};

/// All users send their requests at the same time, repeatedly.
pub const IN_WAVES: Arrival = Arrival {
    first_within_s: 0.05,
    pause_spread: 0.0,
};

/// Measurements of a load test.
#[derive(Debug, Default)]
pub struct LoadResults {
    /// The longest time without a response to a heartbeat, by worker.
    pub longest_gap_s: BTreeMap<usize, f64>,
    pub heartbeats: usize,
    pub heartbeats_failed: usize,
    pub queries: usize,
    pub queries_failed: usize,
    pub heartbeat_failures: BTreeMap<Failure, usize>,
    pub query_failures: BTreeMap<Failure, usize>,
    pub pools: Vec<PoolCounts>,
}

/// Why a request failed, from its sender's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The idle connection had been closed before the request was sent.
    FoundClosed,
    /// The idle connection was closed after the request was sent.
    ClosedAfterSending,
    /// A new connection was refused, or closed without a response.
    NewConnectionClosed,
    /// A status other than 200.
    Status,
    /// No response in time.
    TimedOut,
}

impl LoadTest {
    pub fn run(self) -> LoadResults {
        let results = Arc::new(Mutex::new(LoadResults::default()));
        let recorder = results.clone();
        run(|runtime| async move {
            let pools: Vec<_> = (0..CONTROLLERS).map(|n| self.serve(&runtime, n)).collect();
            sleep(CONNECT).await;
            for n in 0..self.users {
                let client = Client::new(runtime.clone(), n, self.first_bytes_s);
                tokio::spawn(user(client, self.arrival, recorder.clone()));
            }
            for n in 0..WORKERS {
                let client = Client::new(runtime.clone(), n, self.first_bytes_s);
                let first_within_s = self.workers_first_within_s;
                tokio::spawn(worker(client, n, first_within_s, recorder.clone()));
            }
            sleep(Duration::from_secs_f64(DURATION_S)).await;
            recorder.lock().unwrap().pools = pools.iter().map(|pool| pool.counts()).collect();
        });
        let results = std::mem::take(&mut *results.lock().unwrap());
        println!(
            "{} heartbeats, {} failed; {} status queries, {} failed; longest gap {:.1} s",
            results.heartbeats,
            results.heartbeats_failed,
            results.queries,
            results.queries_failed,
            results
                .longest_gap_s
                .values()
                .fold(0.0, |a, b| f64::max(a, *b)),
        );
        println!("heartbeats failed: {:?}", results.heartbeat_failures);
        println!("status queries failed: {:?}", results.query_failures);
        for counts in &results.pools {
            println!("{counts:?}");
        }
        results
    }

    fn serve(&self, runtime: &Runtime, n: usize) -> Arc<ConnectionPool> {
        let pool = ConnectionPool::new(PoolLimits::for_sockets(self.sockets));
        let server_pool = pool.clone();
        let (clock, user_response_s) = (runtime.clone(), self.user_response_s);
        let handler = move |request: Request, _| {
            let clock = clock.clone();
            async move {
                let wait_s = match classify(&request) {
                    ConnectionClass::Worker => HEARTBEAT_RESPONSE_S,
                    ConnectionClass::User => user_response_s,
                };
                clock.sleep(wait_s).await;
                Response::empty(200)
            }
        };
        let runtime = runtime.clone();
        tokio::spawn(async move {
            let listener = runtime.bind(address(n)).await.unwrap();
            server::serve_pool(runtime, listener, server_pool, classify, Arc::new(handler)).await;
        });
        pool
    }
}

/// Returns whether the server has already closed the connection.
async fn is_already_closed(stream: &mut Stream) -> bool {
    let mut byte = [0];
    let mut reading = pin!(stream.read(&mut byte));
    poll_fn(|context| Poll::Ready(reading.as_mut().poll(context).is_ready())).await
}

/// A worker's or user's client, which sends requests to one controller at a time, on one
/// keep-alive connection.
struct Client {
    runtime: Runtime,
    controller: usize,
    idle: Option<Stream>,
    first_bytes_s: f64,
}

impl Client {
    fn new(runtime: Runtime, n: usize, first_bytes_s: f64) -> Self {
        Client {
            runtime,
            controller: n % CONTROLLERS,
            idle: None,
            first_bytes_s,
        }
    }

    /// Sends one request on the idle connection, or on a new one.
    async fn request(&mut self, path: &str, timeout_s: f64) -> Result<(), Failure> {
        let runtime = self.runtime.clone();
        let result = runtime.timeout(timeout_s, self.exchange(path)).await;
        result.unwrap_or(Err(Failure::TimedOut))
    }

    async fn exchange(&mut self, path: &str) -> Result<(), Failure> {
        let (mut stream, failure) = match self.idle.take() {
            Some(mut stream) => match is_already_closed(&mut stream).await {
                true => (stream, Failure::FoundClosed),
                false => (stream, Failure::ClosedAfterSending),
            },
            None => (self.connect().await?, Failure::NewConnectionClosed),
        };
        let (response, kept_alive) = send(&mut stream, path).await.ok_or(failure)?;
        if kept_alive {
            self.idle = Some(stream);
        }
        match response.status {
            200 => Ok(()),
            _ => Err(Failure::Status),
        }
    }

    async fn connect(&mut self) -> Result<Stream, Failure> {
        let connected = self.runtime.connect(address(self.controller)).await;
        let stream = connected.map_err(|_| Failure::NewConnectionClosed)?;
        if self.first_bytes_s > 0.0 {
            self.runtime.sleep(self.first_bytes_s).await;
        }
        Ok(stream)
    }

    fn move_to_next_controller(&mut self) {
        self.idle = None;
        self.controller = (self.controller + 1) % CONTROLLERS;
    }
}

/// Sends heartbeats without end, as the protocol prescribes; a connection found closed counts
/// as a failed heartbeat.
async fn worker(
    mut client: Client,
    n: usize,
    first_within_s: f64,
    results: Arc<Mutex<LoadResults>>,
) {
    let runtime = client.runtime.clone();
    let mut last_success_at = runtime.now();
    runtime
        .sleep(runtime.random_between(0.0, first_within_s))
        .await;
    loop {
        let sent = runtime.now();
        let result = client.request(HEARTBEAT, HEARTBEAT_TIMEOUT_S).await;
        let ok = result.is_ok();
        {
            let mut results = results.lock().unwrap();
            let gap_s = runtime.now() - last_success_at;
            let longest = results.longest_gap_s.entry(n).or_default();
            *longest = longest.max(gap_s);
            results.heartbeats += 1;
            results.heartbeats_failed += usize::from(!ok);
            if let Err(failure) = result {
                *results.heartbeat_failures.entry(failure).or_default() += 1;
            }
        }
        if ok {
            last_success_at = sent;
            let next = sent + REPORT_S * runtime.random_between(0.75, 1.25);
            runtime.sleep(next - runtime.now()).await;
        } else {
            client.move_to_next_controller();
            runtime.sleep(NEXT_CONTROLLER_DELAY_S).await;
        }
    }
}

/// Sends status queries without end; after a failure it tries the next controller 1 s later.
async fn user(mut client: Client, arrival: Arrival, results: Arc<Mutex<LoadResults>>) {
    let runtime = client.runtime.clone();
    let first = runtime.random_between(0.0, arrival.first_within_s);
    runtime.sleep(first).await;
    loop {
        let result = client.request(JOB, QUERY_TIMEOUT_S).await;
        let ok = result.is_ok();
        {
            let mut results = results.lock().unwrap();
            results.queries += 1;
            results.queries_failed += usize::from(!ok);
            if let Err(failure) = result {
                *results.query_failures.entry(failure).or_default() += 1;
            }
        }
        if !ok {
            client.move_to_next_controller();
        }
        let pause_s = if ok { QUERY_INTERVAL_S } else { 1.0 };
        let spread = arrival.pause_spread;
        let pause_s = pause_s * runtime.random_between(1.0 - spread, 1.0 + spread);
        runtime.sleep(pause_s).await;
    }
}
