//! The emulated state service, with its faults: outages for all controllers or for one,
//! slowness, reduced rates, and responses lost before, after or long before the request is
//! executed.

use crate::network::{Role, lock};
use crate::process::Process;
use crate::world::{Leadership, World};
use cherrywood_net::Runtime;
use cherrywood_net::server::{self, Request, Response};
use cherrywood_scenario::fault::Lost;
use cherrywood_scenario::{Fault, Who};
use cherrywood_store::{HeldWatch, ServiceLimits};
use cherrywood_store::{ServiceReply, StoreService};
use rand::Rng;
use rand_pcg::Pcg64;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Additional delay of a slow response, ms: specified as "now and then a few hundred".
const SLOW_MS: (f64, f64) = (100.0, 400.0);
/// Most seconds by which a lease expiry may be late.
const LEASE_LATE_S: f64 = 0.1;
/// Seconds after which a connection whose response was lost is closed.
const LOST_S: f64 = 30.0;
/// Range of the time after which a late transaction is executed, s.
const LATE_WRITE_S: (f64, f64) = (2.0, 12.0);
/// Most connections from one controller.
const CONNECTIONS: usize = 10_000;

pub struct StateService {
    world: Arc<World>,
    host: Runtime,
    service: Mutex<StoreService>,
    rng: Mutex<Pcg64>,
    /// Notified when the store changed or an outage ended.
    changed: Notify,
    /// Refused controllers, by fault id.
    refused: Mutex<Vec<(u64, Vec<usize>)>>,
    proc: Arc<Process>,
}

impl StateService {
    pub async fn start(world: &Arc<World>) -> io::Result<Arc<StateService>> {
        let proc = world.region_process("state", Role::State);
        let s = &world.scenario.deployment.state;
        let allowed = ServiceLimits {
            rps: s.rps,
            write_rps: s.write_rps,
            value_kb: s.value_kb,
            txn_ops: s.txn_ops,
        };
        let me = Arc::new(StateService {
            world: world.clone(),
            host: proc.host(),
            service: Mutex::new(StoreService::new(allowed)),
            rng: Mutex::new(world.rng("state")),
            changed: Notify::new(),
            refused: Mutex::default(),
            proc,
        });
        for (node, at) in world.addresses.state.iter().enumerate() {
            let listener = me.host.bind(*at).await.map_err(|e| with_address(*at, &e))?;
            let own = me.clone();
            let on_request = Arc::new(move |request, _: SocketAddr| {
                let own = own.clone();
                async move { own.respond(node, request).await }
            });
            let serve = server::serve(me.host.clone(), listener, CONNECTIONS, on_request);
            me.host.spawn(serve);
        }
        let own = me.clone();
        me.host.spawn(async move { own.end_leases().await });
        Ok(me)
    }

    pub fn proc(&self) -> &Process {
        &self.proc
    }

    /// Returns the label of the controller that holds the leader key.
    pub fn leader(&self) -> Option<String> {
        leadership(&lock(&self.service)).map(|l| l.label)
    }

    /// Publishes a change of the store: a write, or a lease expiry.
    fn publish_change(&self, service: &StoreService) {
        self.world.set_leadership(leadership(service));
        self.changed.notify_waiters();
    }

    /// Returns the number of keys and the bytes of their values.
    pub fn size(&self) -> (usize, usize) {
        let size = lock(&self.service).store.size();
        (size.keys, size.value_bytes)
    }

    /// Returns the number of requests answered with 429.
    pub fn over_rate(&self) -> u64 {
        lock(&self.service).requests_over_rate
    }

    pub fn refuse(&self, id: u64, nodes: Vec<usize>) {
        lock(&self.refused).push((id, nodes));
    }

    pub fn accept(&self, id: u64) {
        lock(&self.refused).retain(|(n, _)| *n != id);
        self.changed.notify_waiters();
    }

    fn is_down(&self) -> bool {
        let down = |t: &Fault| matches!(t, Fault::StateOutage(_)).then_some(());
        !self.world.active_faults(down).is_empty()
    }

    /// Restarts every lease with its full time once no outage is left.
    pub fn end_outage(&self) {
        if !self.is_down() {
            lock(&self.service).store.renew_all_leases(self.host.now());
            self.changed.notify_waiters();
        }
    }

    /// Scales the service's rates to the least share that active faults set.
    pub fn update_rate_share(&self) {
        let behind = |t: &Fault| match t {
            Fault::StateBehind(t) => Some(t.share),
            _ => None,
        };
        let share = self
            .world
            .active_faults(behind)
            .into_iter()
            .fold(1.0, f64::min);
        lock(&self.service).set_share(share);
    }

    /// Applies the scenario's next limits from now on.
    pub fn apply_next_limits(&self) {
        let s = &self.world.scenario.deployment.state;
        let next = s.next.unwrap_or_default();
        lock(&self.service).set_limits(ServiceLimits {
            rps: next.rps.unwrap_or(s.rps),
            write_rps: next.write_rps.unwrap_or(s.write_rps),
            value_kb: next.value_kb.unwrap_or(s.value_kb),
            txn_ops: next.txn_ops.unwrap_or(s.txn_ops),
        });
    }

    fn refuses(&self, node: usize) -> bool {
        self.is_down() || lock(&self.refused).iter().any(|(_, n)| n.contains(&node))
    }

    fn chance(&self) -> f64 {
        lock(&self.rng).random()
    }

    /// Draws the latency of a request, s; half of it passes before and half after execution.
    fn latency(&self) -> f64 {
        let s = &self.world.scenario.deployment.state;
        let mut ms = s.latency_ms * (0.5 + self.chance());
        if self.chance() < s.slow {
            ms += SLOW_MS.0 + self.chance() * (SLOW_MS.1 - SLOW_MS.0);
        }
        let slow = |t: &Fault| match t {
            Fault::StateSlow(t) => Some((t.share, t.ms)),
            _ => None,
        };
        for (share, extra) in self.world.active_faults(slow) {
            if self.chance() < share {
                ms += extra * (0.5 + self.chance());
            }
        }
        ms / 1000.0
    }

    fn draw_loss(&self) -> Option<(Lost, f64)> {
        let loses = |t: &Fault| match t {
            Fault::StateLoses(t) => Some((t.share, t.when, t.late_s)),
            _ => None,
        };
        let all = self.world.active_faults(loses);
        let hit = all.into_iter().find(|(share, ..)| self.chance() < *share);
        hit.map(|(_, when, late_s)| (when, late_s))
    }

    /// Draws how the response to this transaction is lost, if at all, and the seconds by
    /// which the execution is late.
    fn draw_late_write(&self, request: &Request) -> Option<(Lost, f64)> {
        if request.path != "/txn" {
            return None;
        }
        let late = |t: &Fault| match t {
            Fault::LateWrites(t) => Some((t.share, t.at_once)),
            _ => None,
        };
        let all = self.world.active_faults(late);
        let hit = all.into_iter().find(|(share, _)| self.chance() < *share);
        hit.map(|(_, at_once)| match at_once {
            true => (Lost::After, 0.0),
            false => {
                let late_s = self.chance() * (LATE_WRITE_S.1 - LATE_WRITE_S.0);
                (Lost::Late, LATE_WRITE_S.0 + late_s)
            }
        })
    }

    /// Whether a fault leaves watches waiting.
    fn has_watch_lag(&self) -> bool {
        let lag = |t: &Fault| matches!(t, Fault::WatchLag(_)).then_some(());
        !self.world.active_faults(lag).is_empty()
    }

    async fn respond(self: &Arc<Self>, node: usize, request: Request) -> Response {
        if self.refuses(node) {
            return Response::empty(503);
        }
        let s = self.latency();
        self.host.sleep(s / 2.0).await;
        if self.refuses(node) {
            return Response::empty(503);
        }
        let lost = self.draw_late_write(&request).or_else(|| self.draw_loss());
        match lost {
            None => {}
            Some((when, late_s)) => {
                match when {
                    Lost::Before => {}
                    Lost::After => drop(self.execute(&request)),
                    Lost::Late => {
                        let own = self.clone();
                        self.host.spawn(async move {
                            own.host.sleep(late_s).await;
                            while own.is_down() {
                                own.host.sleep(LEASE_LATE_S).await;
                            }
                            drop(own.execute(&request));
                        });
                    }
                }
                self.host.sleep(LOST_S).await;
                return Response {
                    close: true,
                    ..Response::empty(503)
                };
            }
        }
        while request.path.starts_with("/watch") && self.has_watch_lag() {
            self.host.sleep(LEASE_LATE_S).await;
        }
        let response = match self.execute(&request) {
            ServiceReply::Respond(response) => response,
            ServiceReply::HoldWatch(watch) => self.hold_watch(node, &watch).await,
        };
        self.host.sleep(s / 2.0).await;
        response
    }

    fn execute(&self, request: &Request) -> ServiceReply {
        let mut service = lock(&self.service);
        let before = service.store.revision();
        let reply = service.handle(request, self.host.now());
        if service.store.revision() != before {
            self.publish_change(&service);
        }
        reply
    }

    /// Holds a watch; it stays open during an outage and while its controller is refused.
    async fn hold_watch(&self, node: usize, watch: &HeldWatch) -> Response {
        let until = self.host.now() + watch.hold_ms as f64 / 1000.0;
        loop {
            let changed = self.changed.notified();
            let away = self.refuses(node) || self.has_watch_lag();
            let over = self.host.now() >= until;
            if !away && let Some(response) = lock(&self.service).resume_watch(watch, over) {
                return response;
            }
            let left = if away {
                LEASE_LATE_S
            } else {
                until - self.host.now()
            };
            let _ = self.host.timeout(left, changed).await;
        }
    }

    /// Expires leases that are not renewed, up to 100 ms late and never early.
    async fn end_leases(&self) {
        loop {
            let next = lock(&self.service).store.next_lease_expiry();
            let now = self.host.now();
            let wait = next.map_or(LEASE_LATE_S, |at| {
                (at - now).max(0.0) + self.chance() * LEASE_LATE_S
            });
            self.host.sleep(wait.clamp(0.001, LEASE_LATE_S)).await;
            if self.is_down() {
                continue;
            }
            let mut service = lock(&self.service);
            if service.store.expire_leases(self.host.now()) > 0 {
                self.publish_change(&service);
            }
        }
    }
}

/// Returns the leadership recorded in the leader key.
fn leadership(service: &StoreService) -> Option<Leadership> {
    let item = service.store.get("L/leader")?;
    let fields = item.value.as_map()?;
    let leader = fields.iter().find(|(k, _)| k.as_str() == Some("leader"))?;
    Some(Leadership {
        label: leader.1.as_str()?.to_string(),
        version: item.revision,
    })
}

pub(crate) fn with_address(at: SocketAddr, e: &io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("{at}: {e}"))
}

/// Draws the controllers that a fault hits; any one where there is no leader or no follower.
pub(crate) fn draw_controllers(
    who: Who,
    leader: Option<usize>,
    nodes: usize,
    rng: &mut Pcg64,
) -> Vec<usize> {
    let drawn = rng.random_range(0..nodes.max(1));
    match who {
        Who::All => (0..nodes).collect(),
        Who::Any => vec![drawn],
        Who::Leader => vec![leader.unwrap_or(drawn)],
        Who::Follower => {
            let others: Vec<usize> = (0..nodes).filter(|n| Some(*n) != leader).collect();
            match others.get(drawn % others.len().max(1)) {
                Some(n) => vec![*n],
                None => vec![drawn],
            }
        }
    }
}
