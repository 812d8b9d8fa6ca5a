//! The emulated cloud: rents machines by the second, boots them, lists them with a lag, and
//! reclaims spot machines.

use crate::machine::Traits;
use crate::network::{Role, lock};
use crate::process::Process;
use crate::state_service::with_address;
use crate::worker::{self, Worker, record_up};
use crate::world::World;
use cherrywood_checker::What;
use cherrywood_net::Runtime;
use cherrywood_net::server::{self, Request, Response};
use cherrywood_scenario::Fault;
use cherrywood_scenario::deployment::MachineType;
use cherrywood_store::TokenBucket;
use cherrywood_wire::ErrorResponse;
use cherrywood_wire::cloud::{
    ListedMachine, ListedMachineState, MachineListPage, MachineNames, MachineType as WireType,
    MachineTypes, RentalRequest,
};
use cherrywood_wire::{decode, encode};
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Most machines in one rental, names in one deletion, and machines in one page.
const MAX_RENTAL_MACHINES: u32 = 50;
const MAX_DELETED_NAMES: usize = 100;
const MAX_PAGE_MACHINES: usize = 500;
/// Burst of requests, in seconds of the request rate.
const BURST_S: f64 = 2.0;
/// Least time that is charged for a deleted machine, s.
const MIN_CHARGED_S: f64 = 60.0;
/// Usual boot duration, in multiples of the listed boot time; and that of a late boot.
const BOOT_USUAL_FACTOR: (f64, f64) = (0.6, 1.5);
const BOOT_LATE_FACTOR: (f64, f64) = (2.0, 5.0);
/// Share of machines that boot at once, and the range of their boot duration, s.
const BOOT_AT_ONCE_SHARE: f64 = 0.02;
const BOOT_AT_ONCE_S: (f64, f64) = (0.5, 2.0);
/// Fraction by which the image fetch rates of machines differ.
const FETCH_RATE_VARIATION: f64 = 0.33;
/// Seconds for which a dead machine stays listed as running.
const DEAD_LISTED_S: f64 = 30.0;
/// Share of list responses that are up to twice as old as usual.
const OLD_LIST_SHARE: f64 = 0.15;
/// Seconds between two changes of the spot prices.
const PRICE_INTERVAL_S: f64 = 30.0;
/// Fraction by which a spot notice may be longer or shorter.
const NOTICE_VARIATION: f64 = 0.5;
/// Most connections from controllers.
const CONNECTIONS: usize = 10_000;

struct RentedMachine {
    kind: MachineType,
    zone: String,
    spot: bool,
    /// Time of each transition, s of the scenario; `None` before it happens.
    rented_at: f64,
    up_at: Option<f64>,
    died_at: Option<f64>,
    gone_at: Option<f64>,
    worker: Option<Arc<Worker>>,
}

impl RentedMachine {
    /// Whether the machine is still charged and occupies capacity.
    fn is_held(&self) -> bool {
        self.died_at.is_none() && self.gone_at.is_none()
    }
}

struct Core {
    rng: Pcg64,
    rate: TokenBucket,
    machines: BTreeMap<String, RentedMachine>,
    rentals: BTreeMap<String, Vec<String>>,
    next: u64,
    /// Spot prices by machine type, as (time, factor of the nominal price) in order of time.
    prices: BTreeMap<String, Vec<(f64, f64)>>,
}

pub struct Cloud {
    world: Arc<World>,
    host: Runtime,
    core: Mutex<Core>,
    proc: Arc<Process>,
}

fn between(rng: &mut Pcg64, (least, most): (f64, f64)) -> f64 {
    least + rng.random::<f64>() * (most - least)
}

async fn wait(s: f64) {
    tokio::time::sleep(Duration::from_secs_f64(s.max(0.0))).await;
}

impl Cloud {
    pub async fn start(world: &Arc<World>) -> io::Result<Arc<Cloud>> {
        let proc = world.region_process("cloud", Role::Cloud);
        let d = &world.scenario.deployment;
        let prices = d.machine_types.iter();
        let me = Arc::new(Cloud {
            world: world.clone(),
            host: proc.host(),
            core: Mutex::new(Core {
                rng: world.rng("cloud"),
                rate: TokenBucket::new(d.cloud.rps, BURST_S),
                machines: BTreeMap::new(),
                rentals: BTreeMap::new(),
                next: 1,
                prices: prices.map(|t| (t.name.clone(), vec![(0.0, 1.0)])).collect(),
            }),
            proc,
        });
        let at = world.addresses.cloud;
        let listener = me.host.bind(at).await.map_err(|e| with_address(at, &e))?;
        let own = me.clone();
        let on_request = Arc::new(move |request, _: SocketAddr| {
            let own = own.clone();
            async move { own.respond(request).await }
        });
        let serve = server::serve(me.host.clone(), listener, CONNECTIONS, on_request);
        me.host.spawn(serve);
        for c in &d.capacity {
            for _ in 0..c.up {
                let name = me.add(&c.kind, &c.zone, false, "first");
                me.boot(&name, Some(0.0));
            }
        }
        let own = me.clone();
        me.host.spawn(async move { own.move_prices().await });
        Ok(me)
    }

    pub fn proc(&self) -> &Process {
        &self.proc
    }

    async fn move_prices(&self) {
        loop {
            self.host.sleep(PRICE_INTERVAL_S).await;
            let most = self.world.scenario.deployment.cloud.price_moves;
            let now = self.world.now_s();
            let core = &mut *lock(&self.core);
            for steps in core.prices.values_mut() {
                let last = steps.last().map_or(1.0, |s| s.1);
                let step = (core.rng.random::<f64>() - 0.5) * most;
                let next = (last + step).clamp(1.0 - most, 1.0 + most);
                steps.push((now, next));
            }
        }
    }

    // --- requests ---

    async fn respond(self: &Arc<Self>, request: Request) -> Response {
        let d = &self.world.scenario.deployment.cloud;
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let half = d.latency_ms / 2000.0 * (0.5 + self.chance());
        self.host.sleep(half).await;
        let down = |t: &Fault| matches!(t, Fault::CloudOutage(_)).then_some(());
        if !self.world.active_faults(down).is_empty() {
            return unavailable("trouble");
        }
        if !lock(&self.core).rate.try_take(1.0, self.host.now()) {
            return Response::empty(429);
        }
        // The request is executed late; the client may have given up by then.
        let late = |t: &Fault| match t {
            Fault::CloudLate(t) => Some((t.share, t.by_s)),
            _ => None,
        };
        for (share, by_s) in self.world.active_faults(late) {
            if self.chance() < share {
                self.host.sleep(by_s).await;
            }
        }
        let response = match (request.method.as_str(), path) {
            ("GET", "/machine_types") => self.types(),
            ("GET", "/machines") => self.list(query),
            ("POST", "/machines") => match decode::<RentalRequest>(&request.body) {
                Ok(rent) => self.rent(&rent),
                Err(_) => Response::empty(400),
            },
            ("POST", "/machines/delete") => match decode::<MachineNames>(&request.body) {
                Ok(names) if names.machines.len() <= MAX_DELETED_NAMES => {
                    for name in &names.machines {
                        self.remove(name, "deleted");
                    }
                    Response::new(200, encode(&MachineNames { machines: vec![] }))
                }
                _ => Response::empty(400),
            },
            _ => Response::empty(404),
        };
        self.host.sleep(half).await;
        response
    }

    fn chance(&self) -> f64 {
        lock(&self.core).rng.random()
    }

    fn types(&self) -> Response {
        let d = &self.world.scenario.deployment;
        let core = lock(&self.core);
        let of = |t: &MachineType| WireType {
            name: t.name.clone(),
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.ram_gb,
            cache_gb: t.cache_gb,
            fetch_gb_per_s: t.fetch_gb_per_s,
            price_per_hour: t.price,
            spot_price_per_hour: t.spot_price.map(|p| {
                let steps = core.prices.get(&t.name);
                p * steps.and_then(|s| s.last()).map_or(1.0, |s| s.1)
            }),
            boot_s: t.boot_s,
            zones: d
                .capacity
                .iter()
                .filter(|c| c.kind == t.name)
                .map(|c| c.zone.clone())
                .collect(),
        };
        let types = d.machine_types.iter().map(of).collect();
        Response::new(200, encode(&MachineTypes { types }))
    }

    fn list(&self, query: &str) -> Response {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == name).map(|(_, v)| v.to_string())
        };
        let from = field("from").unwrap_or_default();
        let limit: usize = field("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(MAX_PAGE_MACHINES);
        let mut lag = self.world.scenario.deployment.cloud.list_lag_s;
        if self.chance() < OLD_LIST_SHARE {
            lag *= 1.0 + self.chance();
        }
        let stale = |t: &Fault| match t {
            Fault::CloudStale(t) => Some(t.lag_s),
            _ => None,
        };
        for extra in self.world.active_faults(stale) {
            lag += extra * self.chance();
        }
        let as_of = self.world.now_s() - lag;
        let core = lock(&self.core);
        let listed = core
            .machines
            .iter()
            .filter(|(name, m)| {
                name.as_str() > from.as_str()
                    && m.rented_at <= as_of
                    && m.gone_at.is_none_or(|t| t > as_of)
            })
            .map(|(name, m)| {
                let state = if m.died_at.is_some_and(|t| t + DEAD_LISTED_S <= as_of) {
                    ListedMachineState::Failed
                } else if m.up_at.is_some_and(|t| t <= as_of) {
                    ListedMachineState::Running
                } else {
                    ListedMachineState::Booting
                };
                ListedMachine {
                    name: name.clone(),
                    machine_type: m.kind.name.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    state,
                    age_s: as_of - m.rented_at,
                    address: worker::endpoint(&self.world, name),
                }
            });
        let limit = limit.clamp(1, MAX_PAGE_MACHINES);
        let mut machines: Vec<ListedMachine> = listed.take(limit + 1).collect();
        let more = machines.len() > limit;
        machines.truncate(limit);
        Response::new(200, encode(&MachineListPage { machines, more }))
    }

    fn rent(self: &Arc<Self>, rent: &RentalRequest) -> Response {
        if let Some(names) = lock(&self.core).rentals.get(&rent.request_id) {
            let machines = names.clone();
            return Response::new(200, encode(&MachineNames { machines }));
        }
        let d = &self.world.scenario.deployment;
        let kind = d.machine_types.iter().find(|t| t.name == rent.machine_type);
        let capacity = d
            .capacity
            .iter()
            .find(|c| c.kind == rent.machine_type && c.zone == rent.zone);
        let (Some(_), Some(capacity)) = (kind, capacity) else {
            return Response::empty(400);
        };
        if rent.count == 0 || rent.count > MAX_RENTAL_MACHINES {
            return Response::empty(400);
        }
        let full = |t: &Fault| match t {
            Fault::CloudFull(t) => Some(t.zone.clone()),
            _ => None,
        };
        let full = self.world.active_faults(full);
        let full = full
            .iter()
            .any(|z| z.as_ref().is_none_or(|z| *z == rent.zone));
        let most = if rent.spot {
            capacity.spot
        } else {
            capacity.count
        };
        let held = {
            let core = lock(&self.core);
            let same = |m: &&RentedMachine| {
                m.is_held()
                    && m.kind.name == rent.machine_type
                    && m.zone == rent.zone
                    && m.spot == rent.spot
            };
            core.machines.values().filter(same).count() as u32
        };
        let free = if full { 0 } else { most.saturating_sub(held) };
        if free == 0 {
            return unavailable("no capacity");
        }
        let mut machines = Vec::new();
        for _ in 0..rent.count.min(free) {
            let name = self.add(&rent.machine_type, &rent.zone, rent.spot, &rent.request_id);
            self.boot(&name, None);
            machines.push(name);
        }
        lock(&self.core)
            .rentals
            .insert(rent.request_id.clone(), machines.clone());
        Response::new(200, encode(&MachineNames { machines }))
    }

    fn add(&self, kind: &str, zone: &str, spot: bool, request: &str) -> String {
        let types = &self.world.scenario.deployment.machine_types;
        let found = types.iter().find(|t| t.name == kind);
        let machine = RentedMachine {
            kind: found.cloned().unwrap_or_default(),
            zone: zone.to_string(),
            spot,
            rented_at: self.world.now_s(),
            up_at: None,
            died_at: None,
            gone_at: None,
            worker: None,
        };
        let name = {
            let mut core = lock(&self.core);
            let name = format!("vm-{:06}", core.next);
            core.next += 1;
            core.machines.insert(name.clone(), machine);
            name
        };
        self.world.record(What::Rented {
            machine: name.clone(),
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
            request: request.to_string(),
        });
        name
    }

    /// Boots a machine after `after_s` seconds, or after a drawn duration.
    fn boot(self: &Arc<Self>, name: &str, after_s: Option<f64>) {
        let drawn = self.draw_boot_s(name);
        let Some(s) = after_s.or(drawn) else {
            return;
        };
        let (own, name) = (self.clone(), name.to_string());
        self.host.spawn(async move {
            own.host.sleep(s).await;
            own.finish_boot(&name).await;
        });
    }

    /// Draws the boot duration of a machine, s; `None` if it never boots.
    fn draw_boot_s(&self, name: &str) -> Option<f64> {
        let boots = |t: &Fault| match t {
            Fault::BootsLate(t) => Some((t.late, t.times, t.never, t.zone.clone())),
            _ => None,
        };
        let troubles = self.world.active_faults(boots);
        let core = &mut *lock(&self.core);
        let m = core.machines.get(name)?;
        let (mut late, mut never, mut times) = (m.kind.boot_late, m.kind.boot_never, None);
        for (l, t, n, zone) in troubles {
            if zone.is_none_or(|z| z == m.zone) {
                (late, never, times) = (l.max(late), n.max(never), Some(t));
            }
        }
        let rng = &mut core.rng;
        let chance: f64 = rng.random();
        if chance < never {
            return None;
        }
        if chance < never + late {
            let by = times.unwrap_or_else(|| between(rng, BOOT_LATE_FACTOR));
            return Some(m.kind.boot_s * by);
        }
        if chance > 1.0 - BOOT_AT_ONCE_SHARE {
            return Some(between(rng, BOOT_AT_ONCE_S));
        }
        Some(m.kind.boot_s * between(rng, BOOT_USUAL_FACTOR))
    }

    async fn finish_boot(self: &Arc<Self>, name: &str) {
        let w = &self.world.scenario.deployment.workers;
        let (kind, zone, spot, traits) = {
            let core = &mut *lock(&self.core);
            let Some(m) = core.machines.get(name).filter(|m| m.is_held()) else {
                return;
            };
            let differs = |rng: &mut Pcg64, by: f64| between(rng, (1.0 - by, 1.0 + by));
            let traits = Traits {
                speed: differs(&mut core.rng, w.speed_differs),
                fetch_gb_per_s: m.kind.fetch_gb_per_s
                    * differs(&mut core.rng, FETCH_RATE_VARIATION),
                fetch_shared: w.fetch_shared,
                slowdown: 1.0,
                faulty: false,
            };
            (m.kind.clone(), m.zone.clone(), m.spot, traits)
        };
        let started = Worker::start(&self.world, name, &kind, &zone, spot, traits).await;
        let worker = match started {
            Ok(worker) => worker,
            Err(e) => {
                self.world.stop(&format!("the worker of {name}: {e}"));
                return;
            }
        };
        record_up(&self.world, name);
        let reclaim = {
            let mut core = lock(&self.core);
            let chance: f64 = core.rng.random();
            let Some(m) = core.machines.get_mut(name) else {
                return;
            };
            m.up_at = Some(self.world.now_s());
            m.worker = Some(worker);
            let per_s = self.world.scenario.deployment.spot.per_hour / 3600.0;
            (m.spot && per_s > 0.0).then(|| -libm::log(1.0 - chance) / per_s)
        };
        if let Some(s) = reclaim {
            let (own, name) = (self.clone(), name.to_string());
            self.host.spawn(async move {
                own.host.sleep(s).await;
                let spot = &own.world.scenario.deployment.spot;
                let silent = own.chance() < spot.silent;
                let notice = if silent { 0.0 } else { spot.notice_s };
                own.reclaim(&name, notice).await;
            });
        }
    }

    /// Reclaims a spot machine after a notice of about `notice_s` seconds, or at once if
    /// that is 0.
    pub async fn reclaim(&self, name: &str, notice_s: f64) {
        let worker = self.worker(name);
        if notice_s > 0.0
            && let Some(worker) = worker
        {
            let differs = (1.0 - NOTICE_VARIATION, 1.0 + NOTICE_VARIATION);
            let s = notice_s * between(&mut lock(&self.core).rng, differs);
            worker.give_spot_notice(s);
            drop(worker);
            wait(s).await;
        }
        self.remove(name, "taken");
    }

    fn worker(&self, name: &str) -> Option<Arc<Worker>> {
        let core = lock(&self.core);
        let m = core.machines.get(name).filter(|m| m.is_held())?;
        m.worker.clone()
    }

    /// Returns the cost of a machine until `now`, for `least_s` seconds at least; `least_s`
    /// is the minimum charge for deleted machines.
    fn cost(core: &Core, m: &RentedMachine, now: f64, least_s: f64) -> f64 {
        let until = now.max(m.rented_at + least_s);
        let nominal = if m.spot {
            m.kind.spot_price.unwrap_or(m.kind.price)
        } else {
            m.kind.price
        };
        let flat = [(0.0, 1.0)];
        let steps = match core.prices.get(&m.kind.name) {
            Some(steps) if m.spot => steps.as_slice(),
            _ => &flat,
        };
        let mut cost = 0.0;
        for (i, (at, factor)) in steps.iter().enumerate() {
            let end = steps.get(i + 1).map_or(f64::INFINITY, |s| s.0);
            let s = until.min(end) - m.rented_at.max(*at);
            cost += s.max(0.0) * nominal * factor / 3600.0;
        }
        cost
    }

    /// Removes a machine with everything on it.
    fn remove(&self, name: &str, why: &str) {
        let (worker, cost) = {
            let mut core = lock(&self.core);
            let now = self.world.now_s();
            let Some(m) = core.machines.get(name) else {
                return;
            };
            if m.gone_at.is_some() {
                return;
            }
            let least = if why == "deleted" { MIN_CHARGED_S } else { 0.0 };
            let cost = m.is_held().then(|| Cloud::cost(&core, m, now, least));
            let Some(m) = core.machines.get_mut(name) else {
                return;
            };
            m.gone_at = Some(now);
            (m.worker.take(), cost)
        };
        if let Some(worker) = worker {
            worker.power_off();
        }
        if let Some(cost) = cost {
            self.record_gone(name, why, cost);
        }
    }

    fn record_gone(&self, name: &str, why: &str, cost: f64) {
        self.world.record(What::Gone {
            machine: name.to_string(),
            why: why.to_string(),
            cost,
        });
    }

    /// Powers a machine off with everything on it; the list shows it as failed later.
    pub fn power_off(&self, name: &str) {
        let (worker, cost) = {
            let mut core = lock(&self.core);
            let now = self.world.now_s();
            let Some(m) = core.machines.get(name).filter(|m| m.is_held()) else {
                return;
            };
            let cost = Cloud::cost(&core, m, now, 0.0);
            let Some(m) = core.machines.get_mut(name) else {
                return;
            };
            m.died_at = Some(now);
            (m.worker.take(), cost)
        };
        if let Some(worker) = worker {
            worker.power_off();
        }
        self.record_gone(name, "died", cost);
    }

    /// Returns all machines at the end of the scenario.
    pub fn return_all_machines(&self) {
        let names: Vec<String> = {
            let core = lock(&self.core);
            let held = core.machines.iter().filter(|(_, m)| m.is_held());
            held.map(|(name, _)| name.clone()).collect()
        };
        for name in names {
            self.remove(&name, "the scenario is over");
        }
    }

    // --- for fault injection and observers ---

    /// Draws up to `count` machines that are up, from the seed.
    pub fn draw_machines(
        &self,
        count: u32,
        zone: Option<&str>,
        which: impl Fn(bool) -> bool,
    ) -> Vec<(String, Arc<Worker>)> {
        let core = &mut *lock(&self.core);
        let mut up: Vec<(String, Arc<Worker>)> = core
            .machines
            .iter()
            .filter(|(_, m)| m.is_held() && which(m.spot))
            .filter(|(_, m)| zone.is_none_or(|z| z == m.zone))
            .filter_map(|(name, m)| Some((name.clone(), m.worker.clone()?)))
            .collect();
        let mut drawn = Vec::new();
        while drawn.len() < count as usize && !up.is_empty() {
            let at = core.rng.random_range(0..up.len());
            drawn.push(up.swap_remove(at));
        }
        drawn
    }

    /// Counts machines and tasks by zone, machine type and spot: booting, up, tasks running,
    /// tasks fetching.
    pub fn fleet(&self) -> BTreeMap<(String, String, bool), [usize; 4]> {
        let core = lock(&self.core);
        let mut fleet: BTreeMap<_, [usize; 4]> = BTreeMap::new();
        for m in core.machines.values().filter(|m| m.is_held()) {
            let key = (m.zone.clone(), m.kind.name.clone(), m.spot);
            let n = fleet.entry(key).or_default();
            match &m.worker {
                Some(w) => {
                    let (running, fetching) = w.task_counts();
                    n[1] += 1;
                    n[2] += running;
                    n[3] += fetching;
                }
                None => n[0] += 1,
            }
        }
        fleet
    }

    /// Returns the cost of an hour at present, and all that was spent until now.
    pub fn spending(&self) -> (f64, f64) {
        let core = lock(&self.core);
        let now = self.world.now_s();
        let (mut rate, mut spent) = (0.0, 0.0);
        for m in core.machines.values() {
            let until = m.gone_at.or(m.died_at).unwrap_or(now);
            spent += Cloud::cost(&core, m, until, 0.0);
            if m.is_held() {
                rate += Cloud::cost(&core, m, now, 0.0)
                    - Cloud::cost(&core, m, (now - 1.0).max(m.rented_at), 0.0);
            }
        }
        (rate * 3600.0, spent)
    }
}

fn unavailable(why: &str) -> Response {
    let error = why.to_string();
    Response::new(503, encode(&ErrorResponse { error }))
}
