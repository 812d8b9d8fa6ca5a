//! Many workers and users at few controllers with few sockets.

use super::{HEARTBEAT, JOB, address, ask, classify};
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
const ANSWER_WAIT_S: f64 = 4.0;
const NEXT_CONTROLLER_S: f64 = 1.0;
const POLL_S: f64 = 5.0;
const POLL_WAIT_S: f64 = 2.0;
/// Heartbeats are answered after so long.
const HEARTBEAT_ANSWER_S: f64 = 0.01;
const PLAYED_S: f64 = 45.0;

/// A day of many workers and users at few controllers with few sockets.
pub struct Crowd {
    pub sockets: usize,
    pub users: usize,
    /// s that a user's request takes.
    pub user_answer_s: f64,
    /// s within which the users begin, and by how much their pauses differ.
    pub arrival: Arrival,
    /// s within which all workers send their first heartbeat.
    pub workers_first_within_s: f64,
    /// s that the first bytes of a new connection take.
    pub first_bytes_s: f64,
}

impl Default for Crowd {
    /// No sockets and no users yet; all come evenly, on a fast network.
    fn default() -> Self {
        Crowd {
            sockets: 0,
            users: 0,
            user_answer_s: 0.0,
            arrival: EVENLY,
            workers_first_within_s: REPORT_S,
            first_bytes_s: 0.0,
        }
    }
}

/// When users ask.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// s within which all of them ask first.
    first_within_s: f64,
    /// Share by which the pause between two requests is shorter or longer.
    pause_spread: f64,
}

const EVENLY: Arrival = Arrival {
    first_within_s: POLL_S,
    pause_spread: 0.2,
};

/// All users at once, again and again.
pub const IN_WAVES: Arrival = Arrival {
    first_within_s: 0.05,
    pause_spread: 0.0,
};

#[derive(Debug, Default)]
pub struct Seen {
    /// The longest time without an answered heartbeat, by worker.
    pub longest_gap_s: BTreeMap<usize, f64>,
    pub heartbeats: usize,
    pub heartbeats_failed: usize,
    pub polls: usize,
    pub polls_failed: usize,
    pub heartbeat_failures: BTreeMap<Failure, usize>,
    pub poll_failures: BTreeMap<Failure, usize>,
    pub pools: Vec<PoolCounts>,
}

/// Why a request failed, as its sender sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The kept connection had been closed before the request was sent.
    FoundClosed,
    /// The kept connection closed while the request was on its way.
    ClosedMeanwhile,
    /// A new connection was refused, or closed without an answer.
    NewConnectionClosed,
    /// Another status than 200.
    Status,
    /// No answer in time.
    TimedOut,
}

impl Crowd {
    pub fn play(self) -> Seen {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let told = seen.clone();
        run(|host| async move {
            let pools: Vec<_> = (0..CONTROLLERS).map(|n| self.serve(&host, n)).collect();
            sleep(CONNECT).await;
            for n in 0..self.users {
                let client = Client::new(host.clone(), n, self.first_bytes_s);
                tokio::spawn(user(client, self.arrival, told.clone()));
            }
            for n in 0..WORKERS {
                let client = Client::new(host.clone(), n, self.first_bytes_s);
                let first_within_s = self.workers_first_within_s;
                tokio::spawn(worker(client, n, first_within_s, told.clone()));
            }
            sleep(Duration::from_secs_f64(PLAYED_S)).await;
            told.lock().unwrap().pools = pools.iter().map(|pool| pool.counts()).collect();
        });
        let seen = std::mem::take(&mut *seen.lock().unwrap());
        println!(
            "{} heartbeats, {} failed; {} polls, {} failed; longest gap {:.1} s",
            seen.heartbeats,
            seen.heartbeats_failed,
            seen.polls,
            seen.polls_failed,
            seen.longest_gap_s
                .values()
                .fold(0.0, |a, b| f64::max(a, *b)),
        );
        println!("heartbeats failed: {:?}", seen.heartbeat_failures);
        println!("polls failed: {:?}", seen.poll_failures);
        for counts in &seen.pools {
            println!("{counts:?}");
        }
        seen
    }

    fn serve(&self, host: &Runtime, n: usize) -> Arc<ConnectionPool> {
        let pool = ConnectionPool::new(PoolLimits::for_sockets(self.sockets));
        let served = pool.clone();
        let (clock, user_answer_s) = (host.clone(), self.user_answer_s);
        let handler = move |request: Request, _| {
            let clock = clock.clone();
            async move {
                let wait_s = match classify(&request) {
                    ConnectionClass::Worker => HEARTBEAT_ANSWER_S,
                    ConnectionClass::User => user_answer_s,
                };
                clock.sleep(wait_s).await;
                Response::empty(200)
            }
        };
        let host = host.clone();
        tokio::spawn(async move {
            let listener = host.bind(address(n)).await.unwrap();
            server::serve_pool(host, listener, served, classify, Arc::new(handler)).await;
        });
        pool
    }
}

/// Has the other end closed the connection already?
async fn closed_already(stream: &mut Stream) -> bool {
    let mut byte = [0];
    let mut reading = pin!(stream.read(&mut byte));
    poll_fn(|context| Poll::Ready(reading.as_mut().poll(context).is_ready())).await
}

/// A worker or user that asks one controller at a time, on one connection that it keeps.
struct Client {
    host: Runtime,
    controller: usize,
    kept: Option<Stream>,
    first_bytes_s: f64,
}

impl Client {
    fn new(host: Runtime, n: usize, first_bytes_s: f64) -> Self {
        Client {
            host,
            controller: n % CONTROLLERS,
            kept: None,
            first_bytes_s,
        }
    }

    /// One request on the connection kept, or on a new one.
    async fn request(&mut self, path: &str, timeout_s: f64) -> Result<(), Failure> {
        let host = self.host.clone();
        let answered = host.timeout(timeout_s, self.exchange(path)).await;
        answered.unwrap_or(Err(Failure::TimedOut))
    }

    async fn exchange(&mut self, path: &str) -> Result<(), Failure> {
        let (mut stream, closed) = match self.kept.take() {
            Some(mut stream) => match closed_already(&mut stream).await {
                true => (stream, Failure::FoundClosed),
                false => (stream, Failure::ClosedMeanwhile),
            },
            None => (self.connect().await?, Failure::NewConnectionClosed),
        };
        let (answer, kept_alive) = ask(&mut stream, path).await.ok_or(closed)?;
        if kept_alive {
            self.kept = Some(stream);
        }
        match answer.status {
            200 => Ok(()),
            _ => Err(Failure::Status),
        }
    }

    async fn connect(&mut self) -> Result<Stream, Failure> {
        let connected = self.host.connect(address(self.controller)).await;
        let stream = connected.map_err(|_| Failure::NewConnectionClosed)?;
        if self.first_bytes_s > 0.0 {
            self.host.sleep(self.first_bytes_s).await;
        }
        Ok(stream)
    }

    fn move_to_next_controller(&mut self) {
        self.kept = None;
        self.controller = (self.controller + 1) % CONTROLLERS;
    }
}

/// As the protocol has it; a connection found closed counts as failed.
async fn worker(mut client: Client, n: usize, first_within_s: f64, seen: Arc<Mutex<Seen>>) {
    let host = client.host.clone();
    let mut answered_at = host.now();
    host.sleep(host.random_between(0.0, first_within_s)).await;
    loop {
        let sent = host.now();
        let answer = client.request(HEARTBEAT, ANSWER_WAIT_S).await;
        let ok = answer.is_ok();
        {
            let mut seen = seen.lock().unwrap();
            let gap_s = host.now() - answered_at;
            let longest = seen.longest_gap_s.entry(n).or_default();
            *longest = longest.max(gap_s);
            seen.heartbeats += 1;
            seen.heartbeats_failed += usize::from(!ok);
            if let Err(failure) = answer {
                *seen.heartbeat_failures.entry(failure).or_default() += 1;
            }
        }
        if ok {
            answered_at = sent;
            let next = sent + REPORT_S * host.random_between(0.75, 1.25);
            host.sleep(next - host.now()).await;
        } else {
            client.move_to_next_controller();
            host.sleep(NEXT_CONTROLLER_S).await;
        }
    }
}

/// Polls for ever, and again soon after a failure, at the next controller.
async fn user(mut client: Client, arrival: Arrival, seen: Arc<Mutex<Seen>>) {
    let host = client.host.clone();
    let first = host.random_between(0.0, arrival.first_within_s);
    host.sleep(first).await;
    loop {
        let answer = client.request(JOB, POLL_WAIT_S).await;
        let ok = answer.is_ok();
        {
            let mut seen = seen.lock().unwrap();
            seen.polls += 1;
            seen.polls_failed += usize::from(!ok);
            if let Err(failure) = answer {
                *seen.poll_failures.entry(failure).or_default() += 1;
            }
        }
        if !ok {
            client.move_to_next_controller();
        }
        let pause_s = if ok { POLL_S } else { 1.0 };
        let spread = arrival.pause_spread;
        let pause_s = pause_s * host.random_between(1.0 - spread, 1.0 + spread);
        host.sleep(pause_s).await;
    }
}
