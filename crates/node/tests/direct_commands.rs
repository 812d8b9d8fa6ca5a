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
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    tasks: Vec<TaskStatus>,
    status_requests: u32,
}

impl Worker {
    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: "vm-000001".into(),
            address: self.addr.clone(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: true,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            spot_notice_s: None,
            tasks: self.tasks.clone(),
        }
    }

    fn execute(&mut self, fencing_token: u64, commands: &[Command]) {
        self.fencing_token = fencing_token;
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

    fn respond(&mut self, request: &Request) -> Response {
        if request.path == "/status" {
            self.status_requests += 1;
            return Response::new(200, encode(&self.heartbeat()));
        }
        let direct: DirectCommands = decode(&request.body).unwrap();
        let is_current =
            direct.incarnation == self.incarnation && direct.fencing_token >= self.fencing_token;
        if is_current {
            self.execute(direct.fencing_token, &direct.commands);
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

async fn start_worker(incarnation: u64) -> Arc<Mutex<Worker>> {
    let host = Runtime::native();
    let listener = host.bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let worker = Arc::new(Mutex::new(Worker {
        addr: listener.local_addr().unwrap().to_string(),
        incarnation,
        ..Worker::default()
    }));
    let own = worker.clone();
    let on_request = move |r: Request, _: SocketAddr| {
        let own = own.clone();
        async move { own.lock().unwrap().respond(&r) }
    };
    tokio::spawn(server::serve(host, listener, 50, Arc::new(on_request)));
    worker
}

/// Sends one heartbeat, has the worker execute the commands in the response, and returns the
/// response's status.
async fn send_heartbeat(cluster: &TestCluster, worker: &Arc<Mutex<Worker>>) -> u16 {
    let heartbeat = worker.lock().unwrap().heartbeat();
    let response = cluster.post("/agent/beat", encode(&heartbeat)).await;
    if let Ok(decoded) = decode::<HeartbeatResponse>(&response.body)
        && response.status == 200
    {
        worker
            .lock()
            .unwrap()
            .execute(decoded.fencing_token, &decoded.commands);
    }
    response.status
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
        let has_token = || worker.lock().unwrap().fencing_token > 0;
        assert!(eventually(&cluster, &worker, Heartbeats::Sent, has_token).await);
        assert_eq!(cluster.submit(&job("wk-000001", &[])).await.0, 201);
        let is_running = || worker.lock().unwrap().running() == 1;
        assert!(eventually(&cluster, &worker, Heartbeats::Sent, is_running).await);
        send_heartbeat(&cluster, &worker).await;
        assert_eq!(cluster.cancel("wk-000001").await, 200);
        let stopped = || worker.lock().unwrap().running() == 0;
        assert!(
            eventually(&cluster, &worker, Heartbeats::Lost, stopped).await,
            "stopped without a heartbeat"
        );
        let free = || {
            let term = &cluster.node.lock_state().term;
            let leader = term.leader.as_ref();
            leader.is_some_and(|l| l.placements_held().is_empty())
        };
        assert!(
            eventually(&cluster, &worker, Heartbeats::Lost, free).await,
            "freed by the worker's response to the stop"
        );
    });
}

/// The incarnation and sequence of a restarted worker begin anew, and look older than those before
/// its restart: without a status query the worker would count as silent and get no work.
#[test]
fn restarted_worker_gets_a_status_query_and_then_work() {
    run(async {
        let cluster = TestCluster::single().await;
        background::start(&cluster.node);
        let worker = start_worker(5).await;
        let has_token = || worker.lock().unwrap().fencing_token > 0;
        assert!(eventually(&cluster, &worker, Heartbeats::Sent, has_token).await);
        {
            let mut worker = worker.lock().unwrap();
            (worker.incarnation, worker.sequence, worker.fencing_token) = (1, 0, 0);
        }
        assert_eq!(cluster.submit(&job("wk-000001", &[])).await.0, 201);
        let is_running = || worker.lock().unwrap().running() == 1;
        assert!(
            eventually(&cluster, &worker, Heartbeats::Sent, is_running).await,
            "the worker gets work"
        );
        assert_eq!(worker.lock().unwrap().status_requests, 1);
    });
}
