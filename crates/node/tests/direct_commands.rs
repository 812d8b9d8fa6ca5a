//! Requests that the leader sends directly to workers: stops to workers whose heartbeats no
//! longer arrive, and status queries to workers whose heartbeats look outdated.

mod common;

use cherrywood_net::Runtime;
use cherrywood_net::server::{self, Request, Response};
use cherrywood_node::background;
use cherrywood_wire::agent::{
    Command, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use cherrywood_wire::{decode, encode};
use common::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A worker that executes direct commands, and sends heartbeats when the test tells it to.
#[derive(Default)]
struct Worker {
    addr: String,
    session: u64,
    seq: u64,
    token: u64,
    tasks: Vec<TaskStatus>,
    status_requests: u32,
}

impl Worker {
    fn heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: "vm-000001".into(),
            address: self.addr.clone(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: true,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            spot_notice_s: None,
            tasks: self.tasks.clone(),
        }
    }

    fn carry_out(&mut self, token: u64, commands: &[Command]) {
        self.token = token;
        for c in commands {
            match c {
                Command::Start { task, attempt } => self.tasks.push(TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: TaskState::Running,
                    exit_cause: None,
                    checkpoint_saved: None,
                }),
                Command::Stop { task, .. } => {
                    for t in self.tasks.iter_mut().filter(|t| t.task == *task) {
                        t.state = TaskState::Exited;
                        t.exit_cause = Some(ExitCause::Stopped);
                    }
                }
                Command::Forget { task, .. } => self.tasks.retain(|t| t.task != *task),
            }
        }
    }

    fn answer(&mut self, request: &Request) -> Response {
        if request.path == "/status" {
            self.status_requests += 1;
            return Response::new(200, encode(&self.heartbeat()));
        }
        let orders: DirectCommands = decode(&request.body).unwrap();
        let is_current = orders.incarnation == self.session && orders.fencing_token >= self.token;
        if is_current {
            self.carry_out(orders.fencing_token, &orders.commands);
        }
        Response::new(
            if is_current { 200 } else { 409 },
            encode(&self.heartbeat()),
        )
    }

    fn running(&self) -> usize {
        let runs = |t: &&TaskStatus| t.state == TaskState::Running;
        self.tasks.iter().filter(runs).count()
    }
}

async fn start_worker(session: u64) -> Arc<Mutex<Worker>> {
    let host = Runtime::native();
    let listener = host.bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let worker = Arc::new(Mutex::new(Worker {
        addr: listener.local_addr().unwrap().to_string(),
        session,
        ..Worker::default()
    }));
    let own = worker.clone();
    let answer = move |r: Request, _: SocketAddr| {
        let own = own.clone();
        async move { own.lock().unwrap().answer(&r) }
    };
    tokio::spawn(server::serve(host, listener, 50, Arc::new(answer)));
    worker
}

/// Sends one heartbeat, has the worker execute the commands in the response, and returns the
/// response's status.
async fn send_heartbeat(cluster: &TestCluster, worker: &Arc<Mutex<Worker>>) -> u16 {
    let heartbeat = worker.lock().unwrap().heartbeat();
    let answer = cluster.post("/agent/beat", encode(&heartbeat)).await;
    if let Ok(a) = decode::<HeartbeatResponse>(&answer.body)
        && answer.status == 200
    {
        worker
            .lock()
            .unwrap()
            .carry_out(a.fencing_token, &a.commands);
    }
    answer.status
}

/// Whether heartbeats of the worker reach a controller.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Heartbeats {
    Sent,
    Lost,
}

/// Checks a condition every 0.3 s until it holds, for at most 12 s. Sends a heartbeat each time
/// unless `heartbeats` are lost. Returns false if the condition never held.
async fn eventually(
    cluster: &TestCluster,
    worker: &Arc<Mutex<Worker>>,
    heartbeats: Heartbeats,
    mut holds: impl FnMut() -> bool,
) -> bool {
    for _ in 0..40 {
        if holds() {
            return true;
        }
        if heartbeats == Heartbeats::Sent {
            send_heartbeat(cluster, worker).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    holds()
}

/// The worker's heartbeats reach no controller, but direct commands reach the worker.
#[test]
fn silent_machine_is_sent_the_stops_of_cancelled_tasks() {
    run(async {
        let cluster = TestCluster::single().await;
        background::start(&cluster.node);
        let worker = start_worker(1).await;
        let has_token = || worker.lock().unwrap().token > 0;
        assert!(eventually(&cluster, &worker, Heartbeats::Sent, has_token).await);
        assert_eq!(cluster.submit(&job("wk-000001", &[])).await.0, 201);
        let is_running = || worker.lock().unwrap().running() == 1;
        assert!(eventually(&cluster, &worker, Heartbeats::Sent, is_running).await);
        send_heartbeat(&cluster, &worker).await;
        assert_eq!(cluster.cancel("wk-000001").await, 200);
        let stopped = || worker.lock().unwrap().running() == 0;
        assert!(
            eventually(&cluster, &worker, Heartbeats::Lost, stopped).await,
            "no heartbeat carried the stop"
        );
        let free = || {
            let term = &cluster.node.lock_state().term;
            let leader = term.leader.as_ref();
            leader.is_some_and(|l| l.placements_held().is_empty())
        };
        assert!(
            eventually(&cluster, &worker, Heartbeats::Lost, free).await,
            "its answer says so"
        );
    });
}

/// The incarnation and sequence of a restarted worker begin anew, and look older than those
/// before its restart.
#[test]
fn restarted_worker_is_asked_and_gets_work_again() {
    run(async {
        let cluster = TestCluster::single().await;
        background::start(&cluster.node);
        let worker = start_worker(5).await;
        let has_token = || worker.lock().unwrap().token > 0;
        assert!(eventually(&cluster, &worker, Heartbeats::Sent, has_token).await);
        {
            let mut worker = worker.lock().unwrap();
            (worker.session, worker.seq, worker.token) = (1, 0, 0);
        }
        assert_eq!(cluster.submit(&job("wk-000001", &[])).await.0, 201);
        let is_running = || worker.lock().unwrap().running() == 1;
        assert!(
            eventually(&cluster, &worker, Heartbeats::Sent, is_running).await,
            "it gets work"
        );
        assert_eq!(worker.lock().unwrap().status_requests, 1);
    });
}
