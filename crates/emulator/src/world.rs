//! What all emulated systems share: the scenario, its clock and chance, what users
//! uploaded, progress kept outside machines, troubles now, and the history.

use crate::fabric::{Delays, Fabric, Role, lock};
use crate::machine::{Note, Sheet};
use crate::proc::{Clocks, Medium, Proc};
use cherrywood_checker::history::{Facts, Job, Off};
use cherrywood_checker::{Checker, History, What};
use cherrywood_scenario::{Scenario, Trouble};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Where everybody is.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// Of each controller: for users and workers, and for the others.
    pub nodes: Vec<(SocketAddr, SocketAddr)>,
    /// The state service has an address for each controller, so that it can
    /// tell them apart on loopback as well.
    pub state: Vec<SocketAddr>,
    pub cloud: SocketAddr,
}

const USERS: Ipv4Addr = Ipv4Addr::new(10, 3, 0, 1);
const STATE: Ipv4Addr = Ipv4Addr::new(10, 2, 0, 1);
const CLOUD: Ipv4Addr = Ipv4Addr::new(10, 2, 0, 2);

impl Addresses {
    pub fn emulated(nodes: u32) -> Addresses {
        let node = |i: u32| IpAddr::V4(Ipv4Addr::new(10, 0, 0, i as u8 + 1));
        Addresses {
            nodes: (0..nodes)
                .map(|i| {
                    (
                        SocketAddr::new(node(i), 8080),
                        SocketAddr::new(node(i), 8081),
                    )
                })
                .collect(),
            state: (0..nodes)
                .map(|i| SocketAddr::new(STATE.into(), 2379 + i as u16))
                .collect(),
            cloud: SocketAddr::new(CLOUD.into(), 8443),
        }
    }

    /// From this port on.
    pub fn loopback(nodes: u32, port: u16) -> Addresses {
        let at = |n: u32| SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port + n as u16);
        Addresses {
            cloud: at(0),
            state: (0..nodes).map(|i| at(1 + i)).collect(),
            nodes: (0..nodes)
                .map(|i| (at(1 + nodes + 2 * i), at(2 + nodes + 2 * i)))
                .collect(),
        }
    }
}

/// A job as its user knows it, and the truth about its tasks.
#[derive(Debug, Clone)]
pub struct Upload {
    pub sheet: Sheet,
    /// True run time of each task, s; empty for standing ones.
    pub runs: Vec<f64>,
}

#[derive(Debug)]
struct Core {
    history: History,
    checker: Checker,
    uploads: BTreeMap<String, Upload>,
    /// Progress of tasks that is kept outside machines, and whether they are
    /// finished.
    progress: BTreeMap<String, (f64, bool)>,
    /// Of each job: tasks that are finished for good.
    finished: BTreeMap<String, u32>,
    /// Jobs whose last task has just finished, until they are taken.
    finished_jobs: Vec<String>,
    active: Vec<(u64, Trouble)>,
    next_trouble: u64,
    /// Jobs whose users are not done with them.
    open: u64,
    /// Why it ends before everything is settled.
    stopped: Option<String>,
}

/// Who leads, and the version of the leader key that says so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    pub label: String,
    pub version: u64,
}

#[derive(Debug)]
pub struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub medium: Medium,
    pub fabric: Arc<Fabric>,
    pub addresses: Addresses,
    pub start: Instant,
    core: Mutex<Core>,
    leadership: Mutex<Option<Leadership>>,
    leadership_changed: Notify,
    job_finished: Notify,
}

impl World {
    /// A scenario in virtual time, or on loopback from a port on.
    pub fn new(scenario: Scenario, seed: u64, port: Option<u16>) -> Arc<World> {
        let n = &scenario.deployment.network;
        let delays = Delays {
            same_zone_ms: n.same_zone_ms,
            cross_zone_ms: n.cross_zone_ms,
            jitter: n.jitter,
            loss: n.loss,
        };
        let fabric = Fabric::new(stream_seed(seed, "network"), delays);
        let count = scenario.deployment.controllers;
        let (medium, addresses) = match port {
            None => (Medium::Fabric(fabric.clone()), Addresses::emulated(count)),
            Some(port) => (Medium::Loopback, Addresses::loopback(count, port)),
        };
        let mut history = History::default();
        let mut checker = Checker::new();
        let d = &scenario.deployment;
        let begins = What::Begins {
            scenario: scenario.name.clone(),
            seed,
            facts: Facts {
                cancel_s: d.workers.cancel_s,
                teams: d.teams.clone(),
                kinds: d.machine_types.clone(),
                aims: d.aims.clone(),
                served: d.served,
            },
        };
        checker.feed(history.record(0, begins));
        Arc::new(World {
            seed,
            medium,
            fabric,
            addresses,
            start: Instant::now(),
            core: Mutex::new(Core {
                history,
                checker,
                uploads: BTreeMap::new(),
                progress: BTreeMap::new(),
                finished: BTreeMap::new(),
                finished_jobs: Vec::new(),
                active: Vec::new(),
                next_trouble: 0,
                open: 0,
                stopped: None,
            }),
            leadership: Mutex::new(None),
            leadership_changed: Notify::new(),
            job_finished: Notify::new(),
            scenario,
        })
    }

    /// s since the scenario began.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Chance of its own for each concern: a draw here shifts none there.
    pub fn rng(&self, concern: &str) -> Pcg64 {
        Pcg64::seed_from_u64(stream_seed(self.seed, concern))
    }

    /// A process on a host of the region (no zone) or of a zone.
    pub fn proc(&self, name: &str, ip: IpAddr, role: Role, zone: Option<&str>) -> Arc<Proc> {
        if matches!(self.medium, Medium::Fabric(_)) {
            self.fabric.join(ip, role, zone);
        }
        let mut rng = self.rng(&format!("{name} at {}", self.now_ms()));
        let n = &self.scenario.deployment.node;
        // On loopback all share the machine's clock.
        let clocks = match self.medium {
            Medium::Fabric(_) => Clocks {
                drift: rng.random::<f64>() * n.drift,
                offset_s: (rng.random::<f64>() * 1000.0).floor(),
                wall_off_ms: (rng.random::<f64>() * 2.0 - 1.0) * n.clock_off_ms,
            },
            Medium::Loopback => Clocks::default(),
        };
        let seed = rng.random();
        Proc::new(name, ip, self.medium.clone(), clocks, self.start, seed)
    }

    pub fn region(&self, name: &str, role: Role) -> Arc<Proc> {
        let ip = match role {
            Role::State => STATE,
            Role::Cloud => CLOUD,
            _ => USERS,
        };
        self.proc(name, ip.into(), role, None)
    }

    pub fn node_name(&self, node: usize) -> String {
        format!("node-{node}")
    }

    pub fn node_zone(&self, node: usize) -> String {
        let zones = &self.scenario.deployment.zones;
        zones[node % zones.len()].clone()
    }

    // --- history ---

    pub fn record(&self, what: What) {
        let at = self.now_ms();
        let mut core = lock(&self.core);
        let core = &mut *core;
        let event = core.history.record(at, what);
        core.checker.feed(event);
    }

    /// Takes the history, at the end.
    pub fn finish(&self) -> History {
        self.record(What::Ends);
        std::mem::take(&mut lock(&self.core).history)
    }

    /// Rules broken so far.
    pub fn broken(&self) -> usize {
        lock(&self.core).checker.violations.len()
    }

    /// Calls with the events so far; for those who watch.
    pub fn look<T>(&self, at: impl FnOnce(&History, &Checker) -> T) -> T {
        let core = lock(&self.core);
        at(&core.history, &core.checker)
    }

    // --- troubles ---

    pub fn begin(&self, trouble: &Trouble) -> u64 {
        let id = {
            let mut core = lock(&self.core);
            let id = core.next_trouble;
            core.next_trouble += 1;
            core.active.push((id, trouble.clone()));
            id
        };
        let trouble = trouble.name().to_string();
        self.record(What::Trouble { trouble, on: true });
        id
    }

    pub fn end(&self, id: u64) {
        let ended = {
            let mut core = lock(&self.core);
            let at = core.active.iter().position(|(n, _)| *n == id);
            at.map(|at| core.active.remove(at).1)
        };
        if let Some(trouble) = ended {
            let trouble = trouble.name().to_string();
            self.record(What::Trouble { trouble, on: false });
        }
    }

    /// What `of` makes of the troubles now.
    pub fn now_in<T>(&self, of: impl Fn(&Trouble) -> Option<T>) -> Vec<T> {
        let core = lock(&self.core);
        core.active.iter().filter_map(|(_, t)| of(t)).collect()
    }

    // --- jobs ---

    /// Users upload what their job needs before they submit it.
    pub fn upload(&self, upload: Upload, job: Job) {
        lock(&self.core).uploads.insert(job.id.clone(), upload);
        self.submitted(job);
    }

    /// A user is about to submit a job.
    pub fn submitted(&self, job: Job) {
        lock(&self.core).open += 1;
        self.record(What::Submitted { job });
    }

    /// A user is done with a job.
    pub fn close(&self) {
        let mut core = lock(&self.core);
        core.open = core.open.saturating_sub(1);
    }

    pub fn open_jobs(&self) -> u64 {
        lock(&self.core).open
    }

    pub fn sheet(&self, task: &str) -> Option<Sheet> {
        let (job, n) = task.split_once('/')?;
        let n: u32 = n.parse().ok()?;
        let core = lock(&self.core);
        let upload = core.uploads.get(job).filter(|u| n < u.sheet.tasks)?;
        let mut sheet = upload.sheet.clone();
        sheet.run_s = upload.runs.get(n as usize).copied();
        if let Some((saved_s, finished)) = core.progress.get(task) {
            (sheet.saved_s, sheet.finished) = (*saved_s, *finished);
        }
        Some(sheet)
    }

    /// Records what happened on a machine.
    pub fn note(&self, machine: &str, notes: Vec<Note>) {
        for note in notes {
            let machine = machine.to_string();
            let what = match note {
                Note::Starts { task, attempt } => What::Starts {
                    machine,
                    task,
                    attempt,
                },
                Note::On { task, attempt } => What::On {
                    machine,
                    task,
                    attempt,
                },
                Note::Stops { task } => What::Stops { machine, task },
                Note::Dropped { task, attempt } => What::Dropped {
                    machine,
                    task,
                    attempt,
                },
                Note::Notice => What::Notice { machine },
                Note::Off {
                    task,
                    attempt,
                    why,
                    kept_s,
                } => What::Off {
                    machine,
                    task,
                    attempt,
                    why,
                    kept_s,
                },
                Note::LeaseEnds => What::LeaseEnds { machine },
                Note::Saved {
                    task,
                    progress_s,
                    finished,
                } => {
                    self.keep(&task, progress_s, finished);
                    continue;
                }
            };
            self.record(what);
        }
    }

    /// Keeps a task's progress outside its machine.
    fn keep(&self, task: &str, progress_s: f64, finished: bool) {
        let mut core = lock(&self.core);
        let kept = core.progress.entry(task.to_string()).or_default();
        let newly = finished && !kept.1;
        *kept = (kept.0.max(progress_s), kept.1 || finished);
        let Some((job, _)) = task.split_once('/').filter(|_| newly) else {
            return;
        };
        let done = core.finished.entry(job.to_string()).or_default();
        *done += 1;
        let done = *done;
        let all = core.uploads.get(job).map(|u| u.sheet.tasks);
        if all == Some(done) {
            core.finished_jobs.push(job.to_string());
            self.job_finished.notify_one();
        }
    }

    /// Waits until the last task of some job has finished; those jobs.
    pub async fn next_finished(&self) -> Vec<String> {
        loop {
            let jobs = std::mem::take(&mut lock(&self.core).finished_jobs);
            if !jobs.is_empty() {
                return jobs;
            }
            self.job_finished.notified().await;
        }
    }

    // --- leadership ---

    /// The state service says who leads now.
    pub fn set_leadership(&self, now: Option<Leadership>) {
        let was = std::mem::replace(&mut *lock(&self.leadership), now.clone());
        if was != now {
            self.leadership_changed.notify_waiters();
        }
    }

    /// The controller that leads after the present one, once it does. Those who wait go on in
    /// the order in which they came: tokio's `watch` wakes them in an order of its own chance,
    /// which no seed replays.
    pub async fn next_leader(&self) -> Option<usize> {
        let before = lock(&self.leadership).clone();
        let label = loop {
            let changed = self.leadership_changed.notified();
            let now = lock(&self.leadership).clone();
            match now.filter(|now| before.as_ref() != Some(now)) {
                Some(leadership) => break leadership.label,
                None => changed.await,
            }
        };
        (0..self.addresses.nodes.len()).find(|n| self.node_name(*n) == label)
    }

    /// Ends the scenario early.
    pub fn stop(&self, why: &str) {
        lock(&self.core).stopped.get_or_insert(why.to_string());
    }

    pub fn stopped(&self) -> Option<String> {
        lock(&self.core).stopped.clone()
    }
}

fn stream_seed(seed: u64, concern: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(concern.as_bytes(), seed)
}

/// What a task's end is called when its machine goes.
pub(crate) const GONE: Off = Off::Gone;
