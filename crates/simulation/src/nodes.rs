//! The controllers of a scenario.

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

/// What the platform would hand over to this controller.
pub fn platform(world: &World, node: usize) -> Platform {
    let d = &world.scenario.deployment;
    let at = &world.addresses;
    let others = (0..at.nodes.len()).filter(|n| *n != node);
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
        members: others
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
                        cpus_max: unlimited(t.cpus_max),
                        gpus: t.gpus,
                        gpus_max: unlimited(t.gpus_max),
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

fn unlimited(most: f64) -> f64 {
    if most > 0.0 { most } else { f64::INFINITY }
}

#[derive(Debug, Default)]
struct Slot {
    proc: Option<Arc<Process>>,
    node: Arc<Mutex<Weak<Node>>>,
}

/// Controllers as tasks of this process, in virtual time.
pub struct InProcess {
    world: Arc<World>,
    operator: Operator,
    slots: Mutex<Vec<Slot>>,
    /// Controllers that ended by themselves, and why.
    ended: Mutex<Vec<(usize, String)>>,
}

impl InProcess {
    pub fn new(world: &Arc<World>, operator: Operator) -> Arc<InProcess> {
        let count = world.addresses.nodes.len();
        Arc::new(InProcess {
            world: world.clone(),
            operator,
            slots: Mutex::new((0..count).map(|_| Slot::default()).collect()),
            ended: Mutex::default(),
        })
    }

    /// How a controller looks from inside; None if it is down.
    pub fn view(&self, node: usize) -> Option<NodeStatus> {
        let node = lock(&lock(&self.slots)[node].node).upgrade();
        node.map(|n| n.status())
    }

    pub fn ended(&self) -> Vec<(usize, String)> {
        std::mem::take(&mut lock(&self.ended))
    }
}

/// [`ControllerSupervisor`] for an owner that is shared.
pub struct Shared(pub Arc<InProcess>);

impl ControllerSupervisor for Shared {
    fn start(&self, node: usize) {
        let me = &self.0;
        let name = me.world.node_name(node);
        let zone = me.world.node_zone(node);
        let ip = me.world.addresses.nodes[node].0.ip();
        let proc = me.world.process(&name, ip, Role::Node, Some(&zone));
        let settings = Settings {
            platform: platform(&me.world, node),
            operator: me.operator.clone(),
        };
        let host = proc.host();
        let inside = Arc::new(Mutex::new(Weak::new()));
        let (told, owner) = (inside.clone(), me.clone());
        let own = host.clone();
        host.spawn(async move {
            match cherrywood_node::start(own, settings).await {
                Ok((node, serve)) => {
                    *lock(&told) = Arc::downgrade(&node);
                    drop(node);
                    serve.await;
                }
                Err(e) => lock(&owner.ended).push((node, format!("{e:#}"))),
            }
        });
        lock(&me.slots)[node] = Slot {
            proc: Some(proc),
            node: inside,
        };
    }

    fn kill(&self, node: usize) {
        let slot = std::mem::take(&mut lock(&self.0.slots)[node]);
        if let Some(proc) = slot.proc {
            proc.kill();
        }
    }

    fn freeze(&self, node: usize) {
        if let Some(proc) = &lock(&self.0.slots)[node].proc {
            proc.freeze();
        }
    }

    fn slow(&self, node: usize, lag_ms: f64) {
        if let Some(proc) = &lock(&self.0.slots)[node].proc {
            proc.set_lag(lag_ms);
        }
    }

    fn thaw(&self, node: usize) {
        let proc = lock(&self.0.slots)[node].proc.clone();
        if let Some(proc) = proc {
            proc.thaw();
        }
    }
}
