//! A worker: sends heartbeats to the controllers, serves direct commands, and advances its
//! machine's state over time.

use crate::machine::{Machine, Traits};
use crate::network::{Role, lock};
use crate::process::{Process, Transport};
use crate::state_service::with_address;
use crate::world::World;
use cherrywood_checker::What;
use cherrywood_checker::history::Off;
use cherrywood_net::client::{ClientResponse, exchange};
use cherrywood_net::server::{self, Request, Response};
use cherrywood_net::{NetError, NotExecutedCause, Runtime, Stream};
use cherrywood_scenario::Fault;
use cherrywood_scenario::deployment::MachineType;
use cherrywood_scenario::fault::LateReports;
use cherrywood_wire::agent::{DirectCommands, HeartbeatResponse, Redirect};
use cherrywood_wire::{decode, encode};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Shortest wait, s: the resolution of the simulation's clock.
const LEAST_WAIT_S: f64 = 0.001;
/// Seconds that a worker waits for a response, and before it tries the next controller.
const RESPONSE_TIMEOUT_S: f64 = 4.0;
const NEXT_CONTROLLER_S: f64 = 1.0;
/// Least seconds between two heartbeats, and most seconds before a redirect is followed.
const HEARTBEAT_LEAST_S: f64 = 0.5;
const REDIRECT_S: f64 = 0.5;
/// Fraction by which the interval between two heartbeats varies.
const HEARTBEAT_VARIATION: f64 = 0.25;
/// Seconds after which the connection of a command that does not reach the worker is closed.
const UNREACHABLE_CLOSE_S: f64 = 10.0;
/// Range of the delay of a direct command that arrives late, s.
const LATE_COMMAND_S: (f64, f64) = (2.0, 16.0);
/// Least delay of a heartbeat's copy, s, and the most, in leases.
const LATE_HEARTBEAT_S: f64 = 2.0;
const LATE_HEARTBEAT_LEASES: f64 = 2.5;
/// Most connections from controllers.
const CONNECTIONS: usize = 200;
const PORT: u16 = 9000;

#[derive(Debug)]
pub struct Worker {
    world: Arc<World>,
    pub proc: Arc<Process>,
    host: Runtime,
    machine: Mutex<Machine>,
    /// Notified when the machine has a change to report.
    changed: Notify,
    tick: Notify,
    /// Whether responses and direct commands fail to reach the worker.
    inbound_blocked: AtomicBool,
    /// Whether the worker's heartbeats fail to reach any controller.
    outbound_blocked: AtomicBool,
}

/// The controller of the next heartbeat.
enum NextController {
    Stay,
    /// Another controller, after this many seconds.
    Switch(usize, f64),
}

fn worker_ip(machine: &str) -> IpAddr {
    let n: u32 = machine.trim_start_matches("vm-").parse().unwrap_or(0);
    let [_, a, b, c] = n.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 16 + a, b, c))
}

/// Returns the address of a machine's worker if the machine's name determines it.
pub fn endpoint(world: &World, machine: &str) -> Option<String> {
    matches!(world.transport, Transport::Simulated(_))
        .then(|| format!("{}:{PORT}", worker_ip(machine)))
}

impl Worker {
    /// Starts the worker of a machine that has booted; it begins to send heartbeats.
    pub async fn start(
        world: &Arc<World>,
        name: &str,
        kind: &MachineType,
        zone: &str,
        spot: bool,
        traits: Traits,
    ) -> io::Result<Arc<Worker>> {
        let ip = match world.transport {
            Transport::Simulated(_) => worker_ip(name),
            Transport::Loopback => Ipv4Addr::LOCALHOST.into(),
        };
        let proc = world.process(name, ip, Role::Worker, Some(zone));
        let host = proc.host();
        let port = match world.transport {
            Transport::Simulated(_) => PORT,
            Transport::Loopback => 0,
        };
        let at = SocketAddr::new(ip, port);
        let listener = host.bind(at).await.map_err(|e| with_address(at, &e))?;
        let addr = listener.local_addr()?.to_string();
        let lease_s = world.scenario.deployment.workers.lease_s;
        let now = host.now();
        let machine = Machine::new(name, addr, kind.clone(), zone, spot, traits, lease_s, now);
        let me = Arc::new(Worker {
            world: world.clone(),
            proc,
            host: host.clone(),
            machine: Mutex::new(machine),
            changed: Notify::new(),
            tick: Notify::new(),
            inbound_blocked: AtomicBool::new(false),
            outbound_blocked: AtomicBool::new(false),
        });
        let own = me.clone();
        let on_request = Arc::new(move |request, _: SocketAddr| {
            let own = own.clone();
            async move {
                if own.inbound_blocked.load(Ordering::Relaxed) {
                    own.host.sleep(UNREACHABLE_CLOSE_S).await;
                    return Response {
                        close: true,
                        ..Response::empty(503)
                    };
                }
                if own.draws_delay(&request) {
                    return own.serve_delayed(request).await;
                }
                own.serve(request)
            }
        });
        host.spawn(server::serve(
            host.clone(),
            listener,
            CONNECTIONS,
            on_request,
        ));
        let own = me.clone();
        host.spawn(async move { own.advance_time().await });
        let own = me.clone();
        host.spawn(async move { own.send_heartbeats().await });
        Ok(me)
    }

    /// Applies an operation to the machine and records the resulting events.
    fn update_machine<T>(&self, act: impl FnOnce(&mut Machine, f64) -> T) -> T {
        let (out, events, changed) = {
            let mut m = lock(&self.machine);
            let out = act(&mut m, self.host.now());
            (out, m.take_events(), m.changed)
        };
        let name = &self.proc.name;
        if !events.is_empty() {
            self.world.record_machine_events(name, events);
        }
        self.tick.notify_one();
        if changed {
            self.changed.notify_one();
        }
        out
    }

    pub fn task_counts(&self) -> (usize, usize) {
        lock(&self.machine).task_counts()
    }

    pub fn set_traits(&self, change: impl FnOnce(&mut Traits)) {
        self.update_machine(|m, now| {
            m.advance(now);
            change(&mut m.traits);
        });
    }

    pub fn set_inbound_blocked(&self, inbound_blocked: bool) {
        self.inbound_blocked
            .store(inbound_blocked, Ordering::Relaxed);
    }

    pub fn set_outbound_blocked(&self, outbound_blocked: bool) {
        self.outbound_blocked
            .store(outbound_blocked, Ordering::Relaxed);
    }

    /// Returns the running tasks and the seconds that each needs at least; `None` for those
    /// that run until stopped.
    pub fn running(&self) -> Vec<(String, Option<f64>)> {
        lock(&self.machine).running()
    }

    /// Announces that the cloud reclaims the machine in `s` seconds.
    pub fn give_spot_notice(&self, s: f64) {
        self.update_machine(|m, now| m.give_spot_notice(now + s));
    }

    /// Powers the machine off; everything on it is lost.
    pub fn power_off(&self) {
        self.update_machine(|m, now| {
            m.advance(now);
            m.end_all_tasks(Off::Gone);
        });
        self.world.network.power_off(self.proc.ip);
        self.proc.kill();
    }

    /// Suspends the machine for `for_s` seconds; its lease may expire meanwhile.
    pub async fn suspend(self: Arc<Self>, for_s: f64) {
        self.update_machine(|m, now| m.advance(now));
        self.proc.freeze();
        // Sleeps on the scenario's clock, because this process is suspended.
        let until = self.host.now() + for_s;
        let lease = lock(&self.machine).lease_until();
        if lease < until {
            tokio::time::sleep(std::time::Duration::from_secs_f64(
                (lease - self.host.now()).max(0.0) + 0.001,
            ))
            .await;
            if !self.proc.is_dead() {
                self.update_machine(|m, now| {
                    m.skip_suspension(now);
                    m.advance(now);
                });
            }
        }
        let left = (until - self.host.now()).max(0.0);
        tokio::time::sleep(std::time::Duration::from_secs_f64(left)).await;
        if !self.proc.is_dead() {
            self.update_machine(|m, now| m.skip_suspension(now));
            self.proc.thaw();
        }
    }

    async fn advance_time(&self) {
        loop {
            let due = self.update_machine(|m, now| {
                m.advance(now);
                m.next_due() - now
            });
            // `update_machine` has just notified this loop itself.
            self.tick.notified().await;
            let _ = self
                .host
                .timeout(due.max(LEAST_WAIT_S), self.tick.notified())
                .await;
        }
    }

    fn serve(&self, request: Request) -> Response {
        let world = self.world.clone();
        let report = |code: u16| {
            let body = self.update_machine(|m, now| {
                m.advance(now);
                encode(&m.heartbeat(now))
            });
            Response::new(code, body)
        };
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/orders") => {
                let Ok(commands) = decode::<DirectCommands>(&request.body) else {
                    return Response::empty(400);
                };
                let mut spec = |task: &str| world.task_spec(task);
                let done = self
                    .update_machine(|m, now| m.handle_direct_commands(&commands, now, &mut spec));
                report(if done { 200 } else { 409 })
            }
            ("GET", "/status") => report(200),
            _ => Response::empty(404),
        }
    }

    /// Draws whether a fault delays this direct command.
    fn draws_delay(&self, request: &Request) -> bool {
        if request.path != "/orders" {
            return false;
        }
        let late = |t: &Fault| match t {
            Fault::LateCommands(t) => Some(t.share),
            _ => None,
        };
        let shares = self.world.active_faults(late).into_iter();
        shares.fold(false, |hit, share| {
            hit | (self.host.random_between(0.0, 1.0) < share)
        })
    }

    /// Executes the command seconds later; its sender gets no response.
    async fn serve_delayed(self: Arc<Self>, request: Request) -> Response {
        let (own, late_s) = (
            self.clone(),
            self.host.random_between(LATE_COMMAND_S.0, LATE_COMMAND_S.1),
        );
        self.host.spawn(async move {
            own.host.sleep(late_s).await;
            drop(own.serve(request));
        });
        self.host.sleep(LATE_COMMAND_S.1).await;
        Response {
            close: true,
            ..Response::empty(503)
        }
    }

    // --- heartbeats ---

    async fn send_heartbeats(&self) {
        let nodes = self.world.addresses.nodes.len();
        let every = self.world.scenario.deployment.workers.report_s;
        let mut node = (self.host.random() % nodes as u64) as usize;
        let mut kept: Option<Stream> = None;
        let mut next = self.host.now();
        let mut last = f64::NEG_INFINITY;
        let mut not_before = next;
        loop {
            // A change is reported early, but never within half a second of the last
            // heartbeat.
            loop {
                let changed = self.changed.notified();
                let now = self.host.now();
                let due = if lock(&self.machine).changed {
                    next.min(last + HEARTBEAT_LEAST_S)
                } else {
                    next
                };
                let due = due.max(not_before);
                if now >= due {
                    break;
                }
                // Timers round a wait below a nanosecond to zero, and virtual time would
                // never advance.
                let wait = (due - now).max(LEAST_WAIT_S);
                let _ = self.host.timeout(wait, changed).await;
            }
            let sent = self.host.now();
            let (body, incarnation) = self.update_machine(|m, now| {
                m.advance(now);
                m.changed = false;
                (encode(&m.heartbeat(now)), m.incarnation)
            });
            last = sent;
            if self.outbound_blocked.load(Ordering::Relaxed) {
                kept = None;
                self.host.sleep(RESPONSE_TIMEOUT_S).await;
                node = (node + 1) % nodes;
                not_before = self.host.now() + NEXT_CONTROLLER_S;
                next = not_before;
                continue;
            }
            next = sent
                + every
                    * self
                        .host
                        .random_between(1.0 - HEARTBEAT_VARIATION, 1.0 + HEARTBEAT_VARIATION);
            let to = self.world.addresses.nodes[node].0;
            let work = self.send(&mut kept, to, &body);
            let response = self.host.timeout(RESPONSE_TIMEOUT_S, work).await;
            self.send_late_copies(&body);
            let inbound_blocked = self.inbound_blocked.load(Ordering::Relaxed);
            if inbound_blocked {
                let left = sent + RESPONSE_TIMEOUT_S - self.host.now();
                self.host.sleep(left.max(0.0)).await;
            }
            let outcome = match response {
                Ok(Ok(response)) if !inbound_blocked => {
                    self.handle_response(&response, node, incarnation, sent)
                }
                _ => NextController::Switch((node + 1) % nodes, NEXT_CONTROLLER_S),
            };
            not_before = f64::NEG_INFINITY;
            if let NextController::Switch(to, after) = outcome {
                kept = None;
                node = to;
                not_before = self.host.now() + after;
                next = not_before;
            }
        }
    }

    /// Sends copies of a heartbeat that arrive late, while a fault demands it.
    fn send_late_copies(&self, body: &[u8]) {
        let copies = |t: &Fault| match t {
            Fault::LateReports(t) => Some(t.clone()),
            _ => None,
        };
        for trouble in self.world.active_faults(copies) {
            if self.host.random_between(0.0, 1.0) >= trouble.share {
                continue;
            }
            let (world, host, body) = (self.world.clone(), self.host.clone(), body.to_vec());
            self.host.spawn(async move {
                let Some(node) = wait_for_late_copy(&world, &host, &trouble).await else {
                    return;
                };
                let to = world.addresses.nodes[node].0;
                if let Ok(mut stream) = host.connect(to).await {
                    let path = "/agent/beat";
                    let work = exchange(&mut stream, to, "POST", path, Some(&body));
                    let _ = host.timeout(RESPONSE_TIMEOUT_S, work).await;
                }
            });
        }
    }

    async fn send(
        &self,
        kept: &mut Option<Stream>,
        to: SocketAddr,
        body: &[u8],
    ) -> Result<ClientResponse, NetError> {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => {
                let stream = self.host.connect(to).await;
                let cause = |e: io::Error| NotExecutedCause::Connect(e.to_string());
                stream.map_err(|e| NetError::not_executed("POST /agent/beat", cause(e)))?
            }
        };
        let response = exchange(&mut stream, to, "POST", "/agent/beat", Some(body)).await?;
        if !response.close {
            *kept = Some(stream);
        }
        Ok(response)
    }

    fn handle_response(
        &self,
        response: &ClientResponse,
        node: usize,
        incarnation: u64,
        sent: f64,
    ) -> NextController {
        let nodes = self.world.addresses.nodes.len();
        let next = (node + 1) % nodes;
        match response.status {
            200 => {
                if let Ok(decoded) = decode::<HeartbeatResponse>(&response.body) {
                    let world = self.world.clone();
                    let mut spec = |task: &str| world.task_spec(task);
                    self.update_machine(|m, now| {
                        m.handle_response(&decoded, incarnation, sent, now, &mut spec)
                    });
                }
                // The worker stays with this controller even if it dropped the response.
                NextController::Stay
            }
            421 => {
                let owner = decode::<Redirect>(&response.body)
                    .ok()
                    .and_then(|r| r.controller)
                    .and_then(|label| (0..nodes).find(|n| self.world.node_name(*n) == label));
                match owner.filter(|owner| *owner != node) {
                    Some(to) => {
                        NextController::Switch(to, self.host.random_between(0.0, REDIRECT_S))
                    }
                    None => NextController::Switch(next, NEXT_CONTROLLER_S),
                }
            }
            _ => NextController::Switch(next, NEXT_CONTROLLER_S),
        }
    }
}

/// Waits for as long as a heartbeat's copy is delayed, and returns the controller that
/// receives it.
async fn wait_for_late_copy(world: &World, host: &Runtime, trouble: &LateReports) -> Option<usize> {
    if trouble.for_next {
        return world.next_leader().await;
    }
    let nodes = world.addresses.nodes.len() as u64;
    let node = (host.random() % nodes) as usize;
    let most_s = LATE_HEARTBEAT_LEASES * world.scenario.deployment.workers.lease_s;
    let late_s = match trouble.late_s {
        Some(late_s) => host.random_between(0.0, late_s),
        None => host.random_between(LATE_HEARTBEAT_S, most_s),
    };
    host.sleep(late_s).await;
    Some(node)
}

/// Records that a machine has booted and its worker has started.
pub(crate) fn record_up(world: &World, machine: &str) {
    let machine = machine.to_string();
    world.record(What::Up { machine });
}
