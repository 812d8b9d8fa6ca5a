//! The controllers of a run: their platform settings, and controllers as tasks of this process.

use cherrywood_control::Settings as Cluster;
use cherrywood_control::settings::{
    CloudLimits, NextLimits, Objective, StateLimits, Team, Workers,
};
use cherrywood_emulator::network::Role;
use cherrywood_emulator::{ControllerSupervisor, Process, World};
use cherrywood_node::node::{Node, NodeStatus};
use cherrywood_node::settings::{
    Deployment, Limits, Member, Operator, Platform, Services, Settings,
};
use cherrywood_scenario::Aim;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the settings that the platform would provide to this controller.
pub fn platform(world: &World, node: usize) -> Platform {
    let d = &world.scenario.deployment;
    let at = &world.addresses;
    let peers = (0..at.nodes.len()).filter(|n| *n != node);
    let objective = |a: &Aim| {
        let (kind, class, within_s) = match a {
            Aim::Wait {
                class, within_s, ..
            } => ("wait", class.clone(), *within_s),
            Aim::Finished {
                class, within_s, ..
            } => ("finished", class.clone(), *within_s),
            _ => return None,
        };
        let kind = kind.to_string();
        Some(Objective {
            kind,
            class,
            within_s,
        })
    };
    Platform {
        label: world.node_name(node),
        serve_on: at.nodes[node].0,
        internal_addr: at.nodes[node].1,
        members: peers
            .map(|n| Member {
                label: world.node_name(n),
                endpoint: at.nodes[n].1,
            })
            .collect(),
        services: Services {
            cloud: at.cloud,
            state: at.state[node],
        },
        deployment: Deployment {
            nodes: at.nodes.len(),
            limits: Limits {
                sockets: d.node.sockets as usize,
            },
            cluster: Cluster {
                policy: cherrywood_control::OperatorPolicy::default(),
                objectives: d.aims.iter().filter_map(objective).collect(),
                teams: d
                    .teams
                    .iter()
                    .map(|t| Team {
                        name: t.name.clone(),
                        cpus: t.cpus,
                        cpus_max: limit_or_infinity(t.cpus_max),
                        gpus: t.gpus,
                        gpus_max: limit_or_infinity(t.gpus_max),
                    })
                    .collect(),
                workers: Workers {
                    report_s: d.workers.report_s,
                    lease_s: d.workers.lease_s,
                    cancel_s: d.workers.cancel_s,
                },
                state: StateLimits {
                    rps: d.state.rps,
                    write_rps: d.state.write_rps,
                    value_kb: d.state.value_kb,
                    txn_ops: d.state.txn_ops,
                    next: d.state.next.map(|n| NextLimits {
                        rps: n.rps,
                        write_rps: n.write_rps,
                        value_kb: n.value_kb,
                        txn_ops: n.txn_ops,
                    }),
                },
                cloud: CloudLimits {
                    rps: d.cloud.rps,
                    list_lag_s: d.cloud.list_lag_s,
                },
            },
        },
    }
}

/// Returns the limit, or infinity if it is 0 or less, which means no limit.
fn limit_or_infinity(limit: f64) -> f64 {
    if limit > 0.0 { limit } else { f64::INFINITY }
}

/// A controller; without a process while it is down.
#[derive(Debug, Default)]
struct Slot {
    process: Option<Arc<Process>>,
    node: Arc<Mutex<Weak<Node>>>,
}

/// Controllers as tasks of this process, in virtual time.
pub struct InProcess {
    world: Arc<World>,
    operator: Operator,
    slots: Mutex<Vec<Slot>>,
    /// Controllers that exited by themselves since the last call, with the cause.
    exited: Mutex<Vec<(usize, String)>>,
}

impl InProcess {
    pub fn new(world: &Arc<World>, operator: Operator) -> Arc<InProcess> {
        let count = world.addresses.nodes.len();
        Arc::new(InProcess {
            world: world.clone(),
            operator,
            slots: Mutex::new((0..count).map(|_| Slot::default()).collect()),
            exited: Mutex::default(),
        })
    }

    /// Returns the status of a controller; `None` if it is down.
    pub fn status(&self, node: usize) -> Option<NodeStatus> {
        let node = lock(&lock(&self.slots)[node].node).upgrade();
        node.map(|n| n.status())
    }

    /// Takes the controllers that exited by themselves since the last call, with the cause.
    pub fn take_exited(&self) -> Vec<(usize, String)> {
        std::mem::take(&mut lock(&self.exited))
    }
}

/// Implements [`ControllerSupervisor`] for shared [`InProcess`] controllers.
pub struct SharedInProcess(pub Arc<InProcess>);

impl ControllerSupervisor for SharedInProcess {
    fn start(&self, node: usize) {
        let controllers = &self.0;
        let name = controllers.world.node_name(node);
        let zone = controllers.world.node_zone(node);
        let ip = controllers.world.addresses.nodes[node].0.ip();
        let process = controllers
            .world
            .process(&name, ip, Role::Node, Some(&zone));
        let settings = Settings {
            platform: platform(&controllers.world, node),
            operator: controllers.operator.clone(),
        };
        let host = process.host();
        let node_ref = Arc::new(Mutex::new(Weak::new()));
        let (started, owner) = (node_ref.clone(), controllers.clone());
        let node_host = host.clone();
        host.spawn(async move {
            match cherrywood_node::start(node_host, settings).await {
                Ok((node, serve)) => {
                    *lock(&started) = Arc::downgrade(&node);
                    drop(node);
                    serve.await;
                }
                Err(e) => lock(&owner.exited).push((node, format!("{e:#}"))),
            }
        });
        lock(&controllers.slots)[node] = Slot {
            process: Some(process),
            node: node_ref,
        };
    }

    fn kill(&self, node: usize) {
        let slot = std::mem::take(&mut lock(&self.0.slots)[node]);
        if let Some(process) = slot.process {
            process.kill();
        }
    }

    fn freeze(&self, node: usize) {
        if let Some(process) = &lock(&self.0.slots)[node].process {
            process.freeze();
        }
    }

    fn slow(&self, node: usize, lag_ms: f64) {
        if let Some(process) = &lock(&self.0.slots)[node].process {
            process.set_lag(lag_ms);
        }
    }

    fn thaw(&self, node: usize) {
        let process = lock(&self.0.slots)[node].process.clone();
        if let Some(process) = process {
            process.thaw();
        }
    }
}
