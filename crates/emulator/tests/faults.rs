//! Each fault that concerns users, heartbeats and commands has its described effect, tested
//! against controllers emulated here.

use cherrywood_checker::What;
use cherrywood_checker::history::{Ask, Off};
use cherrywood_emulator::network::Role;
use cherrywood_emulator::{
    Cloud, ControllerSupervisor, FaultInjector, Process, StateService, Users, World,
};
use cherrywood_net::client::exchange;
use cherrywood_net::server::{self, Request, Response};
use cherrywood_scenario::Scenario;
use cherrywood_wire::agent::{Command, DirectCommands, Heartbeat, HeartbeatResponse, TaskState};
use cherrywood_wire::records::LeaderRecord;
use cherrywood_wire::store::{Change, Txn};
use cherrywood_wire::user::{JobState, JobStatus, Submission};
use cherrywood_wire::{decode, encode};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// A received heartbeat, its time and its controller.
#[derive(Debug, Clone)]
struct Received {
    at_s: f64,
    node: usize,
    report: Heartbeat,
}

/// State shared by all test controllers: they accept every complete submission that fits,
/// start its tasks on any machine that sends heartbeats, and believe every heartbeat.
#[derive(Debug, Default)]
struct ControllerState {
    jobs: BTreeMap<String, (Submission, JobState)>,
    done: BTreeMap<String, u32>,
    /// Jobs whose tasks were placed on a machine.
    placed: BTreeSet<String>,
    received: Vec<Received>,
    /// Whether responses to heartbeats start tasks.
    places_tasks: bool,
}

impl ControllerState {
    fn submitted(&mut self, body: &[u8]) -> Response {
        let Ok(job) = Submission::decode(body) else {
            return Response::empty(400);
        };
        if job.cpus > 100.0 || job.machine_types.is_some() || job.team == "nobody" {
            return Response::empty(422);
        }
        let id = job.id.clone();
        let status = if self.jobs.contains_key(&id) {
            200
        } else {
            201
        };
        self.jobs
            .entry(id.clone())
            .or_insert((job, JobState::Running));
        self.status(status, &id)
    }

    fn status(&self, status: u16, id: &str) -> Response {
        let Some((_, state)) = self.jobs.get(id) else {
            return Response::empty(404);
        };
        let (id, state) = (id.to_string(), *state);
        let (done, running) = (None, None);
        let body = JobStatus {
            id,
            state,
            done,
            running,
        };
        Response::new(status, encode(&body))
    }

    fn reported(&mut self, received: Received) -> HeartbeatResponse {
        let mut commands = Vec::new();
        for t in received
            .report
            .tasks
            .iter()
            .filter(|t| t.state == TaskState::Exited)
        {
            let (task, attempt) = (t.task.clone(), t.attempt);
            let job = task.split_once('/').unwrap().0.to_string();
            let done = self.done.entry(job.clone()).or_default();
            *done += 1;
            if let Some((submission, state)) = self.jobs.get_mut(&job)
                && *state == JobState::Running
                && *done >= submission.tasks
            {
                *state = JobState::Done;
            }
            commands.push(Command::Forget { task, attempt });
        }
        let started = received.report.tasks.len();
        self.received.push(received);
        for (id, (job, state)) in &self.jobs {
            let fresh = *state == JobState::Running && !self.placed.contains(id);
            if self.places_tasks && fresh && started == 0 && commands.len() < 4 {
                self.placed.insert(id.clone());
                let task = |n: u32| format!("{id}/{n}");
                let start = |n| Command::Start {
                    task: task(n),
                    attempt: 1,
                };
                commands.extend((0..job.tasks).map(start));
            }
        }
        HeartbeatResponse {
            fencing_token: 1,
            commands,
        }
    }
}

struct Setup {
    world: Arc<World>,
    state: Arc<StateService>,
    cloud: Arc<Cloud>,
    controllers: Arc<Mutex<ControllerState>>,
    nodes: Vec<Arc<Process>>,
}

/// Ignores faults of controllers.
struct NoNodeFaults;

impl ControllerSupervisor for NoNodeFaults {
    fn start(&self, _: usize) {}
    fn kill(&self, _: usize) {}
    fn freeze(&self, _: usize) {}
    fn thaw(&self, _: usize) {}
    fn slow(&self, _: usize, _: f64) {}
}

fn answer(
    controllers: &Mutex<ControllerState>,
    node: usize,
    at_s: f64,
    request: &Request,
) -> Response {
    let mut controllers = controllers.lock().unwrap();
    let job = request
        .path
        .strip_prefix("/submissions/")
        .unwrap_or_default();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/healthz") => Response::empty(200),
        ("POST", "/submissions") => controllers.submitted(&request.body),
        ("POST", "/agent/beat") => {
            let report = decode::<Heartbeat>(&request.body).unwrap();
            let told = controllers.reported(Received { at_s, node, report });
            Response::new(200, encode(&told))
        }
        ("GET", _) => controllers.status(200, job),
        _ => {
            let job = job.trim_end_matches("/cancel");
            if let Some((_, state)) = controllers.jobs.get_mut(job)
                && *state == JobState::Running
            {
                *state = JobState::Cancelled;
            }
            controllers.status(200, job)
        }
    }
}

impl Setup {
    async fn start(text: &str) -> Setup {
        let scenario = Scenario::parse("test.yaml", text).unwrap();
        let world = World::new(scenario, 1, None);
        let state = StateService::start(&world).await.unwrap();
        let cloud = Cloud::start(&world).await.unwrap();
        let controllers = Arc::new(Mutex::new(ControllerState {
            places_tasks: true,
            ..ControllerState::default()
        }));
        let mut nodes = Vec::new();
        for (node, (at, _)) in world.addresses.nodes.iter().enumerate() {
            let name = world.node_name(node);
            let proc = world.process(&name, at.ip(), Role::Node, Some("north"));
            let listener = proc.host().bind(*at).await.unwrap();
            let (controllers, clock) = (controllers.clone(), world.clone());
            let on_request = Arc::new(move |request: Request, _: SocketAddr| {
                let told = answer(&controllers, node, clock.now_s(), &request);
                async move { told }
            });
            let host = proc.host();
            proc.host()
                .spawn(server::serve(host, listener, 500, on_request));
            nodes.push(proc);
        }
        let users = Users::start(&world);
        FaultInjector::new(&world, &state, &cloud, &users, Arc::new(NoNodeFaults)).start();
        Setup {
            world,
            state,
            cloud,
            controllers,
            nodes,
        }
    }

    fn reports(&self, from_s: f64, to_s: f64) -> usize {
        let controllers = self.controllers.lock().unwrap();
        let in_time = |c: &&Received| (from_s..to_s).contains(&c.at_s);
        controllers.received.iter().filter(in_time).count()
    }

    fn events<T>(&self, of: impl Fn(u64, &What) -> Option<T>) -> Vec<T> {
        let all = |events: &[cherrywood_checker::history::Event]| {
            events.iter().filter_map(|e| of(e.at_ms, &e.what)).collect()
        };
        self.world.inspect(|history, _| all(&history.events))
    }

    /// Sends a request from the first controller; `None` if no response arrived within
    /// `wait_s`.
    async fn ask(&self, to: SocketAddr, path: &str, body: &[u8], wait_s: f64) -> Option<u16> {
        let host = self.nodes[0].host();
        let mut stream = host.connect(to).await.ok()?;
        let work = exchange(&mut stream, to, "POST", path, Some(body));
        Some(host.timeout(wait_s, work).await.ok()?.ok()?.status)
    }

    /// Writes the leader key of the state service: this controller leads.
    async fn lead(&self, node: usize) {
        let value = LeaderRecord {
            leader: self.world.node_name(node),
            term: 1,
            nonce: 1,
        };
        self.write("L/leader", encode(&value), 5.0).await.unwrap();
    }

    async fn write(&self, key: &str, value: Vec<u8>, wait_s: f64) -> Option<u16> {
        let value: rmpv::Value = decode(&value).unwrap();
        let (key, lease) = (key.to_string(), None);
        let changes = vec![Change::Put { key, value, lease }];
        let body = encode(&Txn {
            guards: Vec::new(),
            changes,
        });
        self.ask(self.world.addresses.state[0], "/txn", &body, wait_s)
            .await
    }
}

/// Runs a test in virtual time.
fn run_virtual<F: Future<Output = ()>>(text: &str, test: impl FnOnce(Setup) -> F) {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    rt.block_on(async { test(Setup::start(text).await).await });
}

async fn until(s: f64, setup: &Setup) {
    let left = s - setup.world.now_s();
    sleep(Duration::from_secs_f64(left.max(0.0))).await;
}

/// Three controllers, four machines that are up, and jobs of one task.
fn scenario(run_s: u32, troubles: &str) -> String {
    format!(
        "name: test
play_s: 120
deployment:
  capacity: [{{type: c8, zone: north, count: 4, up: 4}}]
  network: {{loss: 0}}
workload:
  impossible: 0
  repeats: 0
  strangers_per_minute: 0
  classes:
    - {{name: singles, team: day, per_minute: 30, tasks: {{median: 1, most: 1}}, cpus: 1, ram_gb: 1, run_s: {{median: {run_s}}}}}
troubles:
{troubles}"
    )
}

#[test]
fn jobs_with_long_to_go_are_cancelled_at_once_and_their_machines_hang() {
    let text = scenario(200, "  - cancel_now: {at_s: 40, count: 3, hang_s: 20}\n");
    run_virtual(&text, |setup| async move {
        until(59.0, &setup).await;
        let wanted = setup.events(|at_ms, what| match what {
            What::Unwanted { job } => Some((at_ms, job.clone())),
            _ => None,
        });
        assert_eq!(wanted.len(), 3, "{wanted:?}");
        assert!(wanted.iter().all(|(at, _)| (40_000..=40_201).contains(at)));
        let controllers = setup.controllers.lock().unwrap();
        for (_, job) in &wanted {
            assert_eq!(controllers.jobs[job].1, JobState::Cancelled);
            let on = |c: &&Received| c.report.tasks.iter().any(|t| t.task == format!("{job}/0"));
            let late = controllers.received.iter().filter(on).map(|c| c.at_s);
            assert!(late.fold(0.0, f64::max) < 41.0, "its machine is suspended");
        }
    });
}

#[test]
fn jobs_are_cancelled_at_the_moment_at_which_their_last_task_ends() {
    let text = scenario(10, "  - cancel_at_end: {at_s: 50, for_s: 50, share: 1}\n");
    run_virtual(&text, |setup| async move {
        until(110.0, &setup).await;
        let ends = setup.events(|at_ms, what| match what {
            What::Off {
                task,
                why: Off::Done,
                ..
            } => Some((task.clone(), at_ms)),
            _ => None,
        });
        let ends: BTreeMap<String, u64> = ends.into_iter().collect();
        let wanted = setup.events(|at_ms, what| match what {
            What::Unwanted { job } => Some((at_ms, job.clone())),
            _ => None,
        });
        assert!(wanted.len() >= 5, "{wanted:?}");
        for (at_ms, job) in wanted {
            let end = ends[&format!("{job}/0")];
            assert!(
                (end..=end + 301).contains(&at_ms),
                "{job} at {at_ms}, {end}"
            );
        }
        let early = ends.values().filter(|at| **at < 50_000).count();
        assert!(early > 0, "some jobs ended before the fault, uncancelled");
    });
}

#[test]
fn a_mute_machine_sends_no_heartbeats_and_receives_direct_commands() {
    let text = scenario(
        200,
        "  - machine_mute: {at_s: 40, for_s: 20, zone: north}\n",
    );
    run_virtual(&text, |setup| async move {
        until(50.0, &setup).await;
        assert!(setup.reports(30.0, 40.0) > 8);
        let (_, worker) = setup.cloud.draw_machines(1, None, |_| true).remove(0);
        let to = SocketAddr::new(worker.proc.ip, 9000);
        let (incarnation, commands) = (1, Vec::new());
        let direct = encode(&DirectCommands {
            fencing_token: 9,
            incarnation,
            commands,
        });
        // The lease expired at 50 s, so the command may carry the previous incarnation.
        let told = setup.ask(to, "/orders", &direct, 2.0).await;
        assert!(matches!(told, Some(200 | 409)), "{told:?}");
        until(90.0, &setup).await;
        assert_eq!(setup.reports(40.1, 60.0), 0);
        assert!(setup.reports(66.0, 90.0) > 8);
    });
}

#[test]
fn a_late_write_at_once_loses_only_its_response() {
    let text = scenario(
        9,
        "  - late_writes: {at_s: 10, for_s: 20, share: 1, at_once: true}\n",
    );
    run_virtual(&text, |setup| async move {
        until(12.0, &setup).await;
        let value = encode(&LeaderRecord {
            leader: "node-2".into(),
            term: 3,
            nonce: 1,
        });
        let told = setup.write("L/leader", value, 2.0).await;
        assert_eq!(told, None, "no response");
        assert_eq!(setup.state.leader().as_deref(), Some("node-2"));
        until(31.0, &setup).await;
        setup.lead(1).await;
        assert_eq!(setup.state.leader().as_deref(), Some("node-1"));
    });
}

#[test]
fn copies_of_heartbeats_arrive_late_or_when_another_controller_leads() {
    let trouble = "  - late_reports: {at_s: 20, for_s: 10, share: 1, for_next: true}\n";
    run_virtual(&scenario(200, trouble), |setup| async move {
        setup.lead(0).await;
        until(60.0, &setup).await;
        let copies = |setup: &Setup| {
            let controllers = setup.controllers.lock().unwrap();
            let mut seen = BTreeSet::new();
            let again = |c: &&Received| !seen.insert((c.report.machine.clone(), c.report.sequence));
            controllers
                .received
                .iter()
                .filter(again)
                .cloned()
                .collect::<Vec<Received>>()
        };
        assert!(
            copies(&setup).is_empty(),
            "the copies wait for the next leader"
        );
        setup.lead(2).await;
        sleep(Duration::from_secs(1)).await;
        let received = copies(&setup);
        assert!(received.len() >= 8, "{}", received.len());
        assert!(received.iter().all(|c| c.node == 2 && c.at_s >= 60.0));
    });
    let trouble = "  - late_reports: {at_s: 20, for_s: 20, share: 1}\n";
    run_virtual(&scenario(200, trouble), |setup| async move {
        until(110.0, &setup).await;
        let controllers = setup.controllers.lock().unwrap();
        let mut first: BTreeMap<(String, u64), f64> = BTreeMap::new();
        let mut late = Vec::new();
        for c in &controllers.received {
            let key = (c.report.machine.clone(), c.report.sequence);
            match first.get(&key) {
                Some(at_s) => late.push(c.at_s - at_s),
                None => drop(first.insert(key, c.at_s)),
            }
        }
        assert!(
            late.len() >= 20 && late.iter().all(|s| *s > 1.9),
            "{late:?}"
        );
        assert!(
            late.iter().any(|s| *s > 12.0),
            "some later than a lease: {late:?}"
        );
    });
}

#[test]
fn a_late_command_gets_no_response_and_is_executed_seconds_later() {
    let text = scenario(200, "  - late_commands: {at_s: 20, for_s: 20, share: 1}\n");
    run_virtual(&text, |setup| async move {
        setup.controllers.lock().unwrap().places_tasks = false;
        until(22.0, &setup).await;
        let (_, worker) = setup.cloud.draw_machines(1, None, |_| true).remove(0);
        let job = setup
            .controllers
            .lock()
            .unwrap()
            .jobs
            .keys()
            .next()
            .unwrap()
            .clone();
        let task = format!("{job}/0");
        let commands = vec![Command::Start { task, attempt: 1 }];
        let direct = encode(&DirectCommands {
            fencing_token: 1,
            incarnation: 1,
            commands,
        });
        let to = SocketAddr::new(worker.proc.ip, 9000);
        assert_eq!(setup.ask(to, "/orders", &direct, 1.9).await, None);
        assert_eq!(worker.task_counts(), (0, 0), "not executed yet");
        until(39.0, &setup).await;
        let (running, fetching) = worker.task_counts();
        assert_eq!(running + fetching, 1);
    });
}

#[test]
fn odd_requests_repeat_submissions_cancel_done_jobs_and_send_invalid_ones() {
    let text = scenario(5, "  - odd_requests: {at_s: 20, for_s: 60}\n");
    run_virtual(&text, |setup| async move {
        until(100.0, &setup).await;
        let told = setup.events(|_, what| match what {
            What::Told {
                ask, job, status, ..
            } => Some((*ask, job.clone(), *status)),
            _ => None,
        });
        let count =
            |of: &dyn Fn(&(Ask, String, u16)) -> bool| told.iter().filter(|t| of(t)).count();
        let repeats = count(&|(ask, _, status)| *ask == Ask::Submit && *status == 200);
        let refused = count(&|(_, _, status)| *status == 422);
        let cancels = count(&|(ask, _, status)| *ask == Ask::Cancel && *status == 200);
        assert!(repeats > 5 && refused > 5 && cancels > 5, "{told:?}");
        let lacking = setup.events(|_, what| match what {
            What::LacksField { job, .. } => Some(job.clone()),
            _ => None,
        });
        assert!(lacking.len() > 5);
        for job in &lacking {
            assert_eq!(count(&|(_, id, status)| id == job && *status == 400), 1);
        }
        let unwanted = setup.events(|_, what| matches!(what, What::Unwanted { .. }).then_some(()));
        assert!(
            unwanted.is_empty(),
            "no user cancelled a job; done jobs stay done"
        );
    });
}

#[test]
fn close_looks_query_all_controllers_within_milliseconds_of_acceptance_or_end() {
    let text = scenario(5, "  - close_looks: {at_s: 20, for_s: 60}\n");
    run_virtual(&text, |setup| async move {
        until(100.0, &setup).await;
        let told = setup.events(|at_ms, what| match what {
            What::Told {
                ask,
                job,
                status,
                node,
                ..
            } => Some((at_ms, *ask, job.clone(), *status, node.clone())),
            _ => None,
        });
        let accepted: Vec<_> = told.iter().filter(|t| t.3 == 201).collect();
        let (during, before): (Vec<_>, Vec<_>) = accepted
            .into_iter()
            .partition(|t| (20_000..80_000).contains(&t.0));
        let nodes = |at_ms: u64, job: &str| {
            let close = |t: &&(u64, Ask, String, u16, String)| {
                t.1 == Ask::Poll && t.2 == job && t.0 > at_ms && t.0 <= at_ms + 120
            };
            let at: BTreeSet<_> = told.iter().filter(close).map(|t| &t.4).collect();
            at.len()
        };
        assert!(during.len() > 10 && !before.is_empty());
        assert!(during.iter().all(|t| nodes(t.0, &t.2) == 3));
        assert!(before.iter().all(|t| nodes(t.0, &t.2) == 0));
        let ends = setup.events(|at_ms, what| match what {
            What::Off {
                task,
                why: Off::Done,
                ..
            } => Some((at_ms, task.clone())),
            _ => None,
        });
        let ends = ends
            .into_iter()
            .filter(|(at, _)| (20_000..80_000).contains(at));
        for (at_ms, task) in ends {
            assert_eq!(nodes(at_ms, task.trim_end_matches("/0")), 3, "{task}");
        }
        let repeats = told.iter().filter(|t| t.1 == Ask::Submit && t.3 == 200);
        assert!(repeats.count() > 10);
    });
}
