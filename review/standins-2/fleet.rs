//! Stand-ins of the cloud and of the workers on its machines.

use crate::wire::{Answer, Client, Req, V, m, s, serve};
use crate::{Record, now_s};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Kind {
    pub sku: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub fetch: f64,
    pub hourly: f64,
    pub spot_price: f64,
    pub startup_s: f64,
    pub zones: Vec<&'static str>,
}

/// What a task of a job needs and how long it runs.
#[derive(Clone)]
pub struct JobInfo {
    pub tasks: u32,
    pub cpus: f64,
    pub ram_gb: f64,
    pub image: String,
    pub pull_gb: f64,
    pub run_s: f64,
    /// Time that a task takes to save when it is stopped; 0 if it never saves.
    pub stow_s: f64,
}

/// A task that came onto a machine or left it.
#[derive(Clone, Debug)]
pub struct TaskEvent {
    pub at: f64,
    pub machine: String,
    pub job: String,
    pub index: u32,
    /// `start` (has its image and runs), or `done`, `failed`, `stopped`, `killed` (by the lease), `gone`.
    pub what: &'static str,
}

pub struct Platform {
    pub report_s: f64,
    pub lease_s: f64,
    pub list_lag_s: f64,
    pub boot_s: f64,
    pub kinds: Vec<Kind>,
    pub record: Arc<Record>,
    pub jobs: Mutex<HashMap<String, JobInfo>>,
    pub events: Mutex<Vec<TaskEvent>>,
    pub done: Mutex<HashSet<(String, u32)>>,
    /// Label and address of each controller.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Answers with 200 that a worker had to drop: time, controller, machine, its token, the
    /// worker's token as the report stated it, and the token in the answer.
    pub dropped: Mutex<Vec<(f64, usize, String, u64, u64)>>,
}

#[derive(Clone)]
struct Task {
    job: String,
    index: u32,
    attempt: u64,
    gait: &'static str,
    cause: &'static str,
    kept: bool,
    ready_at: f64,
    ends_at: f64,
    saved_at: f64,
    cpus: f64,
    ram_gb: f64,
}

struct Inner {
    ride: u64,
    tally: u64,
    reins: u64,
    tasks: Vec<Task>,
    images: HashMap<String, f64>,
    renewed_at: f64,
    changed: bool,
    node: usize,
    warning_at: Option<f64>,
    /// Until then every task that starts here fails at once.
    sick_until: f64,
    /// The direct commands that were carried out.
    carried_out: Vec<V>,
}

pub struct Machine {
    pub name: String,
    pub kind: Kind,
    pub zone: String,
    pub spot: bool,
    endpoint: SocketAddr,
    created_at: f64,
    times: Mutex<Times>,
    inner: Mutex<Inner>,
    platform: Arc<Platform>,
}

#[derive(Clone, Copy, Default)]
struct Times {
    up_at: Option<f64>,
    dead_at: Option<f64>,
    gone_at: Option<f64>,
}

impl Machine {
    fn runs(&self) -> bool {
        let t = *self.times.lock().unwrap();
        t.up_at.is_some() && t.dead_at.is_none() && t.gone_at.is_none()
    }

    fn event(&self, t: &Task, what: &'static str) {
        let p = &self.platform;
        p.record.line(&format!("task {}/{} try {} {what} on {}", t.job, t.index, t.attempt, self.name));
        p.events.lock().unwrap().push(TaskEvent { at: now_s(), machine: self.name.clone(), job: t.job.clone(), index: t.index, what });
    }

    fn report(&self, w: &Inner) -> V {
        let chores = w.tasks.iter().map(|t| {
            let mut f = vec![("chore", s(&format!("{}/{}", t.job, t.index))), ("try", V::Int(t.attempt)), ("gait", s(t.gait))];
            if t.gait == "exited" {
                f.push(("cause", s(t.cause)));
                if t.kept {
                    f.push(("kept", V::Bool(true)));
                }
            }
            m(f)
        });
        m(vec![
            ("mount", s(&self.name)),
            ("endpoint", s(&self.endpoint.to_string())),
            ("box_breed", s(self.kind.sku)),
            ("pasture", s(&self.zone)),
            ("strays", V::Bool(self.spot)),
            ("ride", V::Int(w.ride)),
            ("tally", V::Int(w.tally)),
            ("reins", V::Int(w.reins)),
            ("warning_s", w.warning_at.map_or(V::Nil, |at| V::F((at - now_s()).max(0.0)))),
            ("chores", V::A(chores.collect())),
        ])
    }

    /// Moves the tasks on: images that arrived, tasks that ended, and the lease.
    fn tick(&self) {
        let (now, p) = (now_s(), &self.platform);
        let mut w = self.inner.lock().unwrap();
        if now - w.renewed_at > p.lease_s {
            for t in w.tasks.iter().filter(|t| t.gait != "exited") {
                self.event(t, "killed");
            }
            p.record.line(&format!("worker {}: lease over, session {} begins", self.name, w.ride + 1));
            w.tasks.clear();
            w.ride += 1;
            w.renewed_at = now;
            w.changed = true;
        }
        let mut changed = false;
        let sick = now < w.sick_until;
        for t in &mut w.tasks {
            if t.gait == "pulling" && now >= t.ready_at && sick {
                self.event(t, "start");
                (t.gait, t.cause) = ("exited", "error");
                self.event(t, "failed");
                changed = true;
            }
            if t.gait == "pulling" && now >= t.ready_at {
                t.gait = "running";
                let over = p.done.lock().unwrap().contains(&(t.job.clone(), t.index));
                let run_s = p.jobs.lock().unwrap().get(&t.job).map_or(0.0, |j| j.run_s);
                t.ends_at = if over { now } else { now + run_s };
                self.event(t, "start");
                changed = true;
            }
            if t.gait == "saving" && now >= t.saved_at {
                (t.gait, t.cause, t.kept) = ("exited", "stopped", true);
                self.event(t, "stopped");
                changed = true;
            }
            if t.gait == "running" && now >= t.ends_at {
                (t.gait, t.cause) = ("exited", "done");
                p.done.lock().unwrap().insert((t.job.clone(), t.index));
                self.event(t, "done");
                changed = true;
            }
        }
        w.changed |= changed;
    }

    fn execute(&self, w: &mut Inner, calls: &[V]) {
        let now = now_s();
        for call in calls {
            let Some((job, index)) = call.get("chore").text().split_once('/') else { continue };
            let (job, index) = (job.to_string(), index.parse().unwrap_or(0u32));
            let attempt = call.get("try").int().unwrap_or(0);
            let at = w.tasks.iter().position(|t| t.job == job && t.index == index && t.attempt == attempt);
            match (call.get("call").text(), at) {
                ("start", None) => {
                    let info = self.platform.jobs.lock().unwrap().get(&job).cloned();
                    let mut t = Task { job, index, attempt, gait: "pulling", cause: "", kept: false, ready_at: now, ends_at: 0.0, saved_at: 0.0, cpus: 0.0, ram_gb: 0.0 };
                    let held = w.tasks.iter().filter(|t| t.gait != "exited");
                    let (cpus, ram): (f64, f64) = held.fold((0.0, 0.0), |a, t| (a.0 + t.cpus, a.1 + t.ram_gb));
                    let in_use = w.tasks.iter().any(|o| o.job == t.job && o.index == t.index && o.gait != "exited");
                    match info {
                        Some(i) if index < i.tasks && !in_use && cpus + i.cpus <= self.kind.cpus + 1e-6 && ram + i.ram_gb <= self.kind.ram_gb + 1e-6 => {
                            (t.cpus, t.ram_gb) = (i.cpus, i.ram_gb);
                            let fetched = now + i.pull_gb / self.kind.fetch;
                            t.ready_at = *w.images.entry(i.image).or_insert(fetched);
                            if now >= t.ready_at && now >= w.sick_until {
                                // The image is there: the task is on the machine at once.
                                let over = self.platform.done.lock().unwrap().contains(&(t.job.clone(), t.index));
                                (t.gait, t.ends_at) = ("running", if over { now } else { now + i.run_s });
                                self.event(&t, "start");
                            }
                        }
                        Some(i) if index < i.tasks => (t.gait, t.cause) = ("exited", if in_use { "in_use" } else { "no_room" }),
                        _ => (t.gait, t.cause) = ("exited", "unknown"),
                    }
                    self.platform.record.line(&format!("worker {}: start {}/{} try {}: {} {}", self.name, t.job, t.index, t.attempt, t.gait, t.cause));
                    w.tasks.push(t);
                    w.changed = true;
                }
                ("stop", Some(at)) if w.tasks[at].gait != "exited" => {
                    let stow_s = self.platform.jobs.lock().unwrap().get(&job).map_or(0.0, |j| j.stow_s);
                    let slack_s = call.get("slack_s").f();
                    if w.tasks[at].gait == "saving" && slack_s > 0.0 {
                        continue;
                    }
                    if w.tasks[at].gait == "running" && stow_s > 0.0 && slack_s >= stow_s {
                        w.tasks[at].gait = "saving";
                        w.tasks[at].saved_at = now + stow_s;
                        w.changed = true;
                        continue;
                    }
                    (w.tasks[at].gait, w.tasks[at].cause) = ("exited", "stopped");
                    let t = w.tasks[at].clone();
                    self.event(&t, "stopped");
                    w.changed = true;
                }
                ("forget", Some(at)) if w.tasks[at].gait == "exited" => {
                    w.tasks.remove(at);
                    w.changed = true;
                }
                _ => {}
            }
        }
    }

    /// Commands sent straight to the worker.
    fn orders(&self, req: &Req) -> Answer {
        if !self.runs() {
            loop {
                thread::sleep(Duration::from_secs(1));
            }
        }
        let mut w = self.inner.lock().unwrap();
        if req.route() == "/status" {
            w.tally += 1;
            return Some((200, self.report(&w)));
        }
        let body = V::decode(&req.body)?;
        let (Some(reins), Some(ride)) = (body.get("reins").int(), body.get("ride").int()) else {
            return Some((400, V::Nil));
        };
        w.tally += 1;
        if reins < w.reins || ride != w.ride {
            self.platform.record.line(&format!("worker {}: direct commands under token {reins} refused (has {})", self.name, w.reins));
            return Some((409, self.report(&w)));
        }
        if reins > w.reins {
            self.platform.record.line(&format!("worker {}: direct commands, token {} -> {reins}", self.name, w.reins));
            w.reins = reins;
            w.changed = true;
        }
        w.carried_out.push(body.clone());
        self.execute(&mut w, body.get("calls").list());
        Some((200, self.report(&w)))
    }

    /// Reports to the controllers until the machine is gone.
    fn reports(&self) {
        let p = &self.platform;
        let mut client = Client::default();
        let mut seed = self.name.bytes().fold(7u64, |a, b| a.wrapping_mul(31).wrapping_add(u64::from(b)));
        let mut next = now_s();
        let mut last = 0.0f64;
        while self.runs() {
            thread::sleep(Duration::from_millis(20));
            let now = now_s();
            let due = now >= next || (self.inner.lock().unwrap().changed && now >= last + 0.5);
            if !due {
                continue;
            }
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let spread = 0.75 + 0.5 * ((seed >> 33) as f64 / (1u64 << 31) as f64);
            next = now + p.report_s * spread;
            last = now;
            let (report, node, ride, reins) = {
                let mut w = self.inner.lock().unwrap();
                w.tally += 1;
                w.changed = false;
                (self.report(&w), w.node, w.ride, w.reins)
            };
            let answer = client.send(p.nodes[node].1, "POST", "/agent/beat", Some(&report), 4.0);
            if !self.runs() {
                return;
            }
            let mut w = self.inner.lock().unwrap();
            match answer {
                Some((200, body)) => {
                    let token = body.get("reins").int();
                    if w.ride != ride {
                        continue;
                    }
                    if token.is_none_or(|t| t < w.reins) {
                        let t = token.unwrap_or(0);
                        p.record.line(&format!(
                            "worker {}: 200 of {} dropped: token {t}, the report said {reins}, the worker has {}",
                            self.name, p.nodes[node].0, w.reins
                        ));
                        p.dropped.lock().unwrap().push((now_s(), node, self.name.clone(), reins, t));
                        continue;
                    }
                    w.changed |= token > Some(w.reins);
                    w.reins = token.unwrap_or(w.reins);
                    w.renewed_at = now;
                    self.execute(&mut w, body.get("calls").list());
                }
                other => {
                    let status = other.as_ref().map_or(0, |a| a.0);
                    let to = other.as_ref().map(|a| a.1.get("foreman").text().to_string()).unwrap_or_default();
                    let named = p.nodes.iter().position(|n| n.0 == to).filter(|n| status == 421 && *n != node);
                    p.record.line(&format!("worker {}: report to {} answered {status} {to}", self.name, p.nodes[node].0));
                    client.close();
                    w.node = named.unwrap_or((node + 1) % p.nodes.len());
                    next = now_s() + if named.is_some() { 0.1 } else { 1.0 };
                }
            }
        }
    }
}

pub struct Cloud {
    platform: Arc<Platform>,
    pub machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    /// Machines that may exist, by type, zone and kind.
    capacity: Mutex<HashMap<(String, String, bool), usize>>,
    answers: Mutex<HashMap<String, V>>,
    /// Time, type, zone, kind, wanted, rented.
    pub rentals: Mutex<Vec<(f64, String, String, bool, u64, u64)>>,
}

impl Cloud {
    pub fn start(listener: TcpListener, platform: Arc<Platform>, capacity: HashMap<(String, String, bool), usize>) -> Arc<Cloud> {
        let cloud = Arc::new(Cloud {
            platform,
            machines: Mutex::default(),
            capacity: Mutex::new(capacity),
            answers: Mutex::default(),
            rentals: Mutex::default(),
        });
        let own = cloud.clone();
        serve(listener, Arc::new(move |req| own.handle(&req)));
        cloud
    }

    /// Adds a machine that is up after `boot_s`.
    pub fn add(&self, sku: &str, zone: &str, spot: bool, boot_s: f64, node: usize) -> String {
        let p = &self.platform;
        let mut machines = self.machines.lock().unwrap();
        let name = format!("vm-{:06}", machines.len() + 1);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let machine = Arc::new(Machine {
            name: name.clone(),
            kind: p.kinds.iter().find(|k| k.sku == sku).unwrap().clone(),
            zone: zone.to_string(),
            spot,
            endpoint: listener.local_addr().unwrap(),
            created_at: now_s(),
            times: Mutex::default(),
            inner: Mutex::new(Inner { ride: 1, tally: 0, reins: 0, tasks: Vec::new(), images: HashMap::new(), renewed_at: 0.0, changed: false, node, warning_at: None, sick_until: 0.0, carried_out: Vec::new() }),
            platform: p.clone(),
        });
        machines.insert(name.clone(), machine.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(boot_s));
            if machine.times.lock().unwrap().gone_at.is_some() {
                return;
            }
            machine.inner.lock().unwrap().renewed_at = now_s();
            machine.times.lock().unwrap().up_at = Some(now_s());
            machine.platform.record.line(&format!("machine {} up ({} {} spot={})", machine.name, machine.kind.sku, machine.zone, machine.spot));
            let own = machine.clone();
            serve(listener, Arc::new(move |req| own.orders(&req)));
            let own = machine.clone();
            thread::spawn(move || own.reports());
            while machine.runs() {
                machine.tick();
                thread::sleep(Duration::from_millis(20));
            }
        });
        name
    }

    fn end(&self, machine: &Machine, dead: bool) {
        let now = now_s();
        let mut t = machine.times.lock().unwrap();
        let was_up = t.dead_at.is_none() && t.gone_at.is_none();
        match dead {
            true => t.dead_at = t.dead_at.or(Some(now)),
            false => t.gone_at = t.gone_at.or(Some(now)),
        }
        drop(t);
        if was_up {
            let w = machine.inner.lock().unwrap();
            for t in w.tasks.iter().filter(|t| t.gait == "running" || t.gait == "saving") {
                machine.event(t, "gone");
            }
        }
    }

    /// A machine stops by itself, with all that is on it. It is listed as running for 30 s more,
    /// then as failed.
    pub fn stop_machine(&self, name: &str) {
        let machine = self.machines.lock().unwrap().get(name).cloned();
        if let Some(machine) = machine {
            self.platform.record.line(&format!("DISRUPTION machine {name} stops with all that is on it"));
            self.end(&machine, true);
            // The host is broken: the pool has one place fewer.
            let pool = (machine.kind.sku.to_string(), machine.zone.clone(), machine.spot);
            if let Some(places) = self.capacity.lock().unwrap().get_mut(&pool) {
                *places = places.saturating_sub(1);
            }
        }
    }

    /// The cloud takes a spot machine back without a notice: it isn't listed any more.
    pub fn take_back(&self, name: &str) {
        let machine = self.machines.lock().unwrap().get(name).cloned();
        if let Some(machine) = machine {
            self.platform.record.line(&format!("DISRUPTION spot machine {name} is taken back without a notice"));
            self.end(&machine, false);
            // The cloud has given it to somebody else.
            let pool = (machine.kind.sku.to_string(), machine.zone.clone(), machine.spot);
            if let Some(places) = self.capacity.lock().unwrap().get_mut(&pool) {
                *places = places.saturating_sub(1);
            }
        }
    }

    /// Whether the machine was returned or taken back.
    pub fn is_gone(&self, name: &str) -> bool {
        let machines = self.machines.lock().unwrap();
        machines.get(name).is_some_and(|machine| machine.times.lock().unwrap().gone_at.is_some())
    }

    /// The cloud announces that it takes a spot machine back in `notice_s`.
    pub fn announce(&self, name: &str, notice_s: f64) {
        let machine = self.machines.lock().unwrap().get(name).cloned();
        if let Some(machine) = machine {
            self.platform.record.line(&format!("notice: spot machine {name} is taken back in {notice_s} s"));
            let mut w = machine.inner.lock().unwrap();
            w.warning_at = Some(now_s() + notice_s);
            w.changed = true;
        }
    }

    /// For `for_s` every task that starts on the machine fails.
    pub fn make_sick(&self, name: &str, for_s: f64) {
        let machine = self.machines.lock().unwrap().get(name).cloned();
        if let Some(machine) = machine {
            self.platform.record.line(&format!("DISRUPTION machine {name} fails every task that it starts, for {for_s} s"));
            machine.inner.lock().unwrap().sick_until = now_s() + for_s;
        }
    }

    /// A copy of the direct command that started a task of the job arrives at the worker, which
    /// checks token and session as ever. Returns the status that it answers.
    pub fn repeat_start(&self, name: &str, job: &str) -> Option<u16> {
        let machine = self.machines.lock().unwrap().get(name).cloned()?;
        let starts = |calls: &V| {
            let mut calls = calls.get("calls").list().iter();
            calls.any(|c| c.get("call").text() == "start" && c.get("chore").text().starts_with(&format!("{job}/")))
        };
        let body = machine.inner.lock().unwrap().carried_out.iter().find(|b| starts(b)).cloned()?;
        self.platform.record.line(&format!("DISRUPTION a copy of the direct command that started {job} arrives at {name} again"));
        let req = Req { method: "POST".into(), path: "/orders".into(), body: body.encode() };
        machine.orders(&req).map(|a| a.0)
    }

    pub fn is_up(&self, name: &str) -> bool {
        self.machines.lock().unwrap().get(name).is_some_and(|machine| machine.runs())
    }

    pub fn set_capacity(&self, sku: &str, zone: &str, spot: bool, count: usize) {
        self.capacity.lock().unwrap().insert((sku.into(), zone.into(), spot), count);
    }

    fn handle(&self, req: &Req) -> Answer {
        thread::sleep(Duration::from_millis(30));
        let p = &self.platform;
        let body = V::decode(&req.body).unwrap_or(V::Nil);
        match (req.method.as_str(), req.route()) {
            ("GET", "/machine_types") => {
                let kinds = p.kinds.iter().map(|k| {
                    m(vec![
                        ("sku", s(k.sku)),
                        ("cpus", V::F(k.cpus)),
                        ("accelerators", V::F(0.0)),
                        ("ram_gb", V::F(k.ram_gb)),
                        ("local_gb", V::F(30.0)),
                        ("fetch_gb_per_s", V::F(k.fetch)),
                        ("hourly", V::F(k.hourly)),
                        ("spot_price", V::F(k.spot_price)),
                        ("startup_s", V::F(k.startup_s)),
                        ("pastures", V::A(k.zones.iter().map(|z| s(z)).collect())),
                    ])
                });
                Some((200, m(vec![("breeds_of_box", V::A(kinds.collect()))])))
            }
            ("POST", "/machines") => {
                let hire = body.get("hire").text().to_string();
                if let Some(before) = self.answers.lock().unwrap().get(&hire) {
                    return Some((200, before.clone()));
                }
                let (sku, zone) = (body.get("box_breed").text().to_string(), body.get("pasture").text().to_string());
                let (spot, count) = (body.get("strays").yes(), body.get("count").int().unwrap_or(0).min(50));
                let room = self.capacity.lock().unwrap().get(&(sku.clone(), zone.clone(), spot)).copied().unwrap_or(0);
                let exist = |machine: &&Arc<Machine>| {
                    let t = *machine.times.lock().unwrap();
                    machine.kind.sku == sku && machine.zone == zone && machine.spot == spot && t.gone_at.is_none()
                };
                let used = self.machines.lock().unwrap().values().filter(exist).count();
                let n = count.min(room.saturating_sub(used) as u64);
                p.record.line(&format!("cloud: rental {hire} of {count} {sku} in {zone} spot={spot}: {n}"));
                self.rentals.lock().unwrap().push((now_s(), sku.clone(), zone.clone(), spot, count, n));
                if n == 0 {
                    return Some((503, m(vec![("error", s("no capacity"))])));
                }
                let names = (0..n).map(|_| s(&self.add(&sku, &zone, spot, p.boot_s, 0))).collect();
                let answer = m(vec![("mounts", V::A(names))]);
                self.answers.lock().unwrap().insert(hire, answer.clone());
                Some((200, answer))
            }
            ("POST", "/machines/delete") => {
                for name in body.get("mounts").list() {
                    let machine = self.machines.lock().unwrap().get(name.text()).cloned();
                    if let Some(machine) = machine {
                        p.record.line(&format!("cloud: machine {} deleted", name.text()));
                        self.end(&machine, false);
                    }
                }
                Some((200, m(vec![])))
            }
            ("GET", "/machines") => {
                let query = req.query();
                let from = query.get("from").cloned().unwrap_or_default();
                let at = now_s() - p.list_lag_s;
                let machines = self.machines.lock().unwrap();
                let listed = machines.values().filter_map(|machine| {
                    let t = *machine.times.lock().unwrap();
                    if machine.name <= from || machine.created_at > at || t.gone_at.is_some_and(|g| g <= at) {
                        return None;
                    }
                    let gait = match t {
                        Times { dead_at: Some(d), .. } if d + 30.0 - p.list_lag_s <= at => "failed",
                        Times { up_at: Some(u), .. } if u <= at => "running",
                        _ => "starting",
                    };
                    Some(m(vec![
                        ("name_id", s(&machine.name)),
                        ("endpoint", s(&machine.endpoint.to_string())),
                        ("box_breed", s(machine.kind.sku)),
                        ("pasture", s(&machine.zone)),
                        ("strays", V::Bool(machine.spot)),
                        ("gait", s(gait)),
                        ("held_s", V::F(at - machine.created_at)),
                    ]))
                });
                Some((200, m(vec![("mounts", V::A(listed.take(500).collect())), ("truncated", V::Bool(false))])))
            }
            _ => Some((404, V::Nil)),
        }
    }
}
