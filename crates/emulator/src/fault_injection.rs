//! Injects the scenario's faults, each at its time.

use crate::cloud::Cloud;
use crate::network::{Group, PathFault, Role, lock};
use crate::process::Transport;
use crate::state_service::{StateService, draw_controllers};
use crate::users::Users;
use crate::worker::Worker;
use crate::world::World;
use cherrywood_checker::What;
use cherrywood_scenario::fault::{CancelNow, MachineMute, Side};
use cherrywood_scenario::{Fault, Who};
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Control over the controllers, implemented by the simulation: as tasks in virtual time, or as
/// processes.
pub trait ControllerSupervisor: Send + Sync {
    fn start(&self, node: usize);
    fn kill(&self, node: usize);
    fn freeze(&self, node: usize);
    fn thaw(&self, node: usize);
    /// Delays each step of a controller by `lag_ms` from now on.
    fn slow(&self, node: usize, lag_ms: f64);
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ControllerState {
    Up,
    Down,
    Frozen,
}

pub struct FaultInjector {
    world: Arc<World>,
    state: Arc<StateService>,
    cloud: Arc<Cloud>,
    users: Arc<Users>,
    nodes: Arc<dyn ControllerSupervisor>,
    states: Mutex<Vec<ControllerState>>,
    rng: Mutex<Pcg64>,
}

/// Least remaining run time of a task, s, that makes its job one with long to go.
const LONG_TO_GO_S: f64 = 20.0;
/// Seconds within which such jobs are all cancelled.
const CANCEL_WITHIN_S: f64 = 0.2;
/// Most machines that are suspended when jobs are cancelled.
const MAX_SUSPENDED: usize = 8;

async fn wait(s: f64) {
    tokio::time::sleep(Duration::from_secs_f64(s.max(0.0))).await;
}

impl FaultInjector {
    pub fn new(
        world: &Arc<World>,
        state: &Arc<StateService>,
        cloud: &Arc<Cloud>,
        users: &Arc<Users>,
        nodes: Arc<dyn ControllerSupervisor>,
    ) -> Arc<FaultInjector> {
        let count = world.scenario.deployment.controllers as usize;
        Arc::new(FaultInjector {
            world: world.clone(),
            state: state.clone(),
            cloud: cloud.clone(),
            users: users.clone(),
            nodes,
            states: Mutex::new(vec![ControllerState::Down; count]),
            rng: Mutex::new(world.rng("troubles")),
        })
    }

    /// Starts all controllers, and schedules every fault at its time.
    pub fn start(self: &Arc<Self>) {
        let count = lock(&self.states).len();
        for node in 0..count {
            self.start_node(node);
        }
        for t in self.world.scenario.all_faults(self.world.seed) {
            let own = self.clone();
            tokio::spawn(async move {
                wait(t.at_s() - own.world.now_s()).await;
                own.inject(&t).await;
            });
        }
    }

    fn record_node(&self, node: usize, now: &str) {
        self.world.record(What::Node {
            node: self.world.node_name(node),
            now: now.to_string(),
        });
    }

    fn start_node(&self, node: usize) {
        if lock(&self.states)[node] == ControllerState::Down {
            lock(&self.states)[node] = ControllerState::Up;
            self.record_node(node, "up");
            self.nodes.start(node);
        }
    }

    /// Kills a controller; the platform restarts it.
    pub fn crash(self: &Arc<Self>, node: usize) {
        if lock(&self.states)[node] == ControllerState::Down {
            return;
        }
        lock(&self.states)[node] = ControllerState::Down;
        self.record_node(node, "killed");
        self.nodes.kill(node);
        self.restart(node);
    }

    fn restart(self: &Arc<Self>, node: usize) {
        let own = self.clone();
        tokio::spawn(async move {
            wait(own.world.scenario.deployment.node.restart_s).await;
            own.start_node(node);
        });
    }

    /// Records that a controller exited by itself, which none should, and restarts it.
    pub fn controller_exited(self: &Arc<Self>, node: usize, why: &str) {
        if lock(&self.states)[node] != ControllerState::Down {
            lock(&self.states)[node] = ControllerState::Down;
            self.record_node(node, &format!("ended by itself: {why}"));
            self.restart(node);
        }
    }

    pub fn is_up(&self, node: usize) -> bool {
        lock(&self.states)[node] == ControllerState::Up
    }

    pub fn is_frozen(&self, node: usize) -> bool {
        lock(&self.states)[node] == ControllerState::Frozen
    }

    pub fn leader(&self) -> Option<usize> {
        let label = self.state.leader()?;
        let count = lock(&self.states).len();
        (0..count).find(|n| self.world.node_name(*n) == label)
    }

    fn draw_controllers(&self, which: Who) -> Vec<usize> {
        let count = lock(&self.states).len();
        draw_controllers(which, self.leader(), count, &mut lock(&self.rng))
    }

    async fn freeze(&self, node: usize, for_s: f64) {
        if lock(&self.states)[node] != ControllerState::Up {
            return;
        }
        lock(&self.states)[node] = ControllerState::Frozen;
        self.record_node(node, "stands still");
        self.nodes.freeze(node);
        wait(for_s).await;
        let frozen = lock(&self.states)[node] == ControllerState::Frozen;
        if frozen {
            lock(&self.states)[node] = ControllerState::Up;
            self.record_node(node, "goes on");
            self.nodes.thaw(node);
        }
    }

    /// Breaks paths for the duration of a fault.
    async fn break_paths(&self, paths: Vec<(Group, Group)>, fault: PathFault, for_s: f64) {
        let network = &self.world.network;
        let cuts = paths
            .into_iter()
            .map(|(a, b)| network.break_paths(a, b, fault));
        let cuts: Vec<u64> = cuts.collect();
        wait(for_s).await;
        for id in cuts {
            network.repair(id);
        }
    }

    /// Draws the machines whose heartbeats a fault blocks.
    fn draw_outbound_blocked(&self, trouble: &MachineMute) -> Vec<Arc<Worker>> {
        let zone = trouble.zone.as_deref();
        let mut hit = self
            .cloud
            .draw_machines(trouble.count.unwrap_or(u32::MAX), zone, |_| true);
        if let Some(share) = trouble.share.filter(|_| trouble.count.is_none()) {
            hit.truncate((hit.len() as f64 * share).round() as usize);
        }
        hit.into_iter().map(|(_, worker)| worker).collect()
    }

    /// Makes users cancel jobs that have long to go, and suspends machines that run them.
    fn cancel_now(&self, trouble: &CancelNow) {
        let mut jobs: BTreeMap<String, Vec<Arc<Worker>>> = BTreeMap::new();
        for (_, worker) in self.cloud.draw_machines(u32::MAX, None, |_| true) {
            for (task, left_s) in worker.running() {
                if left_s.is_none_or(|s| s >= LONG_TO_GO_S)
                    && let Some((job, _)) = task.split_once('/')
                    && self.users.is_waiting_for(job)
                {
                    let of = jobs.entry(job.to_string()).or_default();
                    of.push(worker.clone());
                }
            }
        }
        let mut jobs: Vec<_> = jobs.into_iter().collect();
        let mut machines: BTreeMap<Arc<str>, Arc<Worker>> = BTreeMap::new();
        for _ in 0..trouble.count.min(jobs.len() as u32) {
            let rng = &mut *lock(&self.rng);
            let (job, of) = jobs.swap_remove(rng.random_range(0..jobs.len()));
            let after_s = rng.random_range(0.0..CANCEL_WITHIN_S);
            self.users.clone().cancel(job, after_s);
            machines.extend(of.into_iter().map(|w| (w.proc.name.clone(), w)));
        }
        let Some(hang_s) = trouble.hang_s else {
            return;
        };
        for worker in machines.into_values().take(MAX_SUSPENDED) {
            tokio::spawn(worker.suspend(hang_s));
        }
    }

    async fn inject(self: &Arc<Self>, trouble: &Fault) {
        if matches!(self.world.transport, Transport::Loopback) && !trouble.can_run_on_loopback() {
            return;
        }
        let id = self.world.begin_fault(trouble);
        let for_s = trouble.for_s().unwrap_or(0.0);
        match trouble {
            Fault::NodeCrash(t) => {
                for node in self.draw_controllers(t.who) {
                    self.crash(node);
                }
            }
            Fault::NodeRoll(t) => {
                let count = lock(&self.states).len();
                for node in 0..count {
                    self.crash(node);
                    wait(t.every_s).await;
                }
            }
            Fault::NodeEnds(t) => {
                for _ in 0..t.times {
                    for node in self.draw_controllers(t.who) {
                        self.crash(node);
                    }
                    wait(t.every_s).await;
                }
            }
            Fault::NodeFreeze(t) => {
                let all = self.draw_controllers(t.who).into_iter().map(|n| {
                    let own = self.clone();
                    tokio::spawn(async move { own.freeze(n, for_s).await })
                });
                for one in all.collect::<Vec<_>>() {
                    let _ = one.await;
                }
            }
            Fault::NodeSlow(t) => {
                let hit = self.draw_controllers(t.who);
                for n in &hit {
                    self.nodes.slow(*n, t.lag_ms);
                }
                wait(for_s).await;
                for n in &hit {
                    self.nodes.slow(*n, 0.0);
                }
            }
            Fault::NodeCut(t) => {
                let ip = |n: usize| self.world.addresses.nodes[n].0.ip();
                let hosts: Vec<_> = self.draw_controllers(t.who).into_iter().map(ip).collect();
                let side = |s: &Side| {
                    Group::Role(match s {
                        Side::State => Role::State,
                        Side::Cloud => Role::Cloud,
                        Side::Workers => Role::Worker,
                        Side::Users => Role::Users,
                        Side::Peers => Role::Node,
                    })
                };
                let paths = t
                    .from
                    .iter()
                    .map(|s| (Group::Hosts(hosts.clone()), side(s)));
                self.break_paths(paths.collect(), PathFault::Cut(t.mode), for_s)
                    .await;
            }
            Fault::NodeRefused(t) => {
                self.state.refuse(id, self.draw_controllers(t.who));
                wait(for_s).await;
                self.state.accept(id);
            }
            Fault::PeersRefuse(_) => {
                let paths = vec![(Group::Role(Role::Node), Group::Role(Role::Node))];
                self.break_paths(paths, PathFault::Refuse, for_s).await;
            }
            Fault::ZoneCut(t) => {
                let paths = vec![(Group::Zone(t.zone.clone()), Group::Outside(t.zone.clone()))];
                self.break_paths(paths, PathFault::Cut(t.mode), for_s).await;
            }
            Fault::StateOutage(_) => {
                wait(for_s).await;
                self.world.end_fault(id);
                self.state.end_outage();
            }
            Fault::StateBehind(_) => {
                self.state.update_rate_share();
                wait(for_s).await;
                self.world.end_fault(id);
                self.state.update_rate_share();
            }
            Fault::StateLimits(_) => self.state.apply_next_limits(),
            Fault::MachineDie(t) => {
                for (name, _) in self
                    .cloud
                    .draw_machines(t.count, t.zone.as_deref(), |_| true)
                {
                    self.cloud.power_off(&name);
                }
            }
            Fault::MachineHang(t) => {
                for (_, worker) in self.cloud.draw_machines(t.count, None, |_| true) {
                    tokio::spawn(worker.suspend(for_s));
                }
                wait(for_s).await;
            }
            Fault::MachineSlow(t) => {
                let hit = self.cloud.draw_machines(t.count, None, |_| true);
                for (_, worker) in &hit {
                    worker.set_traits(|m| m.slowdown = t.times);
                }
                wait(for_s).await;
                for (_, worker) in &hit {
                    worker.set_traits(|m| m.slowdown = 1.0);
                }
            }
            Fault::MachineFaulty(t) => {
                let hit = self.cloud.draw_machines(t.count, None, |_| true);
                for (_, worker) in &hit {
                    worker.set_traits(|m| m.faulty = true);
                }
                wait(for_s).await;
                for (_, worker) in &hit {
                    worker.set_traits(|m| m.faulty = false);
                }
            }
            Fault::MachineCut(t) => {
                let hit = self.cloud.draw_machines(t.count, None, |_| true);
                let hosts = hit.iter().map(|(_, w)| w.proc.ip).collect();
                let paths = vec![(Group::Hosts(hosts), Group::Everyone)];
                self.break_paths(paths, PathFault::Cut(t.mode), for_s).await;
            }
            Fault::MachineDeaf(t) => {
                let hit = self
                    .cloud
                    .draw_machines(t.count, t.zone.as_deref(), |_| true);
                for (_, worker) in &hit {
                    worker.set_inbound_blocked(true);
                }
                wait(for_s).await;
                for (_, worker) in &hit {
                    worker.set_inbound_blocked(false);
                }
            }
            Fault::MachineMute(t) => {
                let hit = self.draw_outbound_blocked(t);
                for worker in &hit {
                    worker.set_outbound_blocked(true);
                }
                wait(for_s).await;
                for worker in &hit {
                    worker.set_outbound_blocked(false);
                }
            }
            Fault::CancelNow(t) => {
                self.cancel_now(t);
                wait(for_s).await;
            }
            Fault::OddRequests(_) => self.users.clone().send_invalid_requests(for_s).await,
            Fault::SpotWave(t) => {
                let all = self.cloud.draw_machines(u32::MAX, None, |spot| spot);
                let count = (all.len() as f64 * t.share).round() as usize;
                let hit: Vec<String> = all.into_iter().take(count).map(|(n, _)| n).collect();
                for (i, name) in hit.into_iter().enumerate() {
                    let after = t.over_s * i as f64 / count as f64;
                    let (own, notice) = (self.clone(), t.notice_s);
                    tokio::spawn(async move {
                        wait(after).await;
                        own.cloud.reclaim(&name, notice).await;
                    });
                }
                wait(for_s).await;
            }
            // The emulated systems query these faults themselves while they are active.
            Fault::StateSlow(_)
            | Fault::LateReports(_)
            | Fault::LateCommands(_)
            | Fault::CancelAtEnd(_)
            | Fault::CloseLooks(_)
            | Fault::StateLoses(_)
            | Fault::LateWrites(_)
            | Fault::WatchLag(_)
            | Fault::CloudOutage(_)
            | Fault::CloudFull(_)
            | Fault::CloudLate(_)
            | Fault::CloudStale(_)
            | Fault::BootsLate(_)
            | Fault::JobBurst(_)
            | Fault::PollStorm(_) => wait(for_s).await,
        }
        self.world.end_fault(id);
    }
}
