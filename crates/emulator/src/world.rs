//! State shared by all emulated systems: the scenario, the clock, the random streams, the
//! jobs that users uploaded, task progress kept outside machines, active faults, and the
//! history.

use crate::machine::{MachineEvent, TaskSpec};
use crate::network::{Delays, Network, Role, lock};
use crate::process::{Clocks, Process, Transport};
use cherrywood_checker::history::{Facts, Job};
use cherrywood_checker::{Checker, History, What};
use cherrywood_scenario::{Fault, Scenario};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Addresses of the emulated systems.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// Addresses of each controller: the one for users and workers, and the one for peers.
    pub nodes: Vec<(SocketAddr, SocketAddr)>,
    /// Addresses of the state service, one for each controller, so that it can tell the
    /// controllers apart on loopback as well.
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

    /// Consecutive ports on loopback, starting at `port`.
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

/// A job as uploaded by its user, with the true run times of its tasks.
#[derive(Debug, Clone)]
pub struct UploadedJob {
    pub spec: TaskSpec,
    /// True run time of each task, s; empty for jobs that run until stopped.
    pub run_times_s: Vec<f64>,
}

#[derive(Debug)]
struct Core {
    history: History,
    checker: Checker,
    uploads: BTreeMap<String, UploadedJob>,
    /// Progress of each task that is kept outside machines, s, and whether the task is
    /// finished.
    progress: BTreeMap<String, (f64, bool)>,
    /// Number of permanently finished tasks, by job.
    finished: BTreeMap<String, u32>,
    /// Jobs whose last task has finished and that `next_finished_jobs` has not returned yet.
    finished_jobs: Vec<String>,
    active_faults: Vec<(u64, Fault)>,
    next_fault_id: u64,
    /// Number of jobs whose users still wait for an outcome.
    open_jobs: u64,
    /// Reason for ending the scenario before everything is settled.
    stopped: Option<String>,
}

/// The leading controller, and the revision of the leader key that names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    pub label: String,
    pub version: u64,
}

#[derive(Debug)]
pub struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub transport: Transport,
    pub network: Arc<Network>,
    pub addresses: Addresses,
    pub start: Instant,
    core: Mutex<Core>,
    leadership: Mutex<Option<Leadership>>,
    leadership_changed: Notify,
    job_finished: Notify,
}

impl World {
    /// Creates the world of a scenario: in virtual time, or on loopback ports starting at
    /// `port`.
    pub fn new(scenario: Scenario, seed: u64, port: Option<u16>) -> Arc<World> {
        let n = &scenario.deployment.network;
        let delays = Delays {
            same_zone_ms: n.same_zone_ms,
            cross_zone_ms: n.cross_zone_ms,
            jitter: n.jitter,
            loss: n.loss,
        };
        let network = Network::new(stream_seed(seed, "network"), delays);
        let count = scenario.deployment.controllers;
        let (transport, addresses) = match port {
            None => (
                Transport::Simulated(network.clone()),
                Addresses::emulated(count),
            ),
            Some(port) => (Transport::Loopback, Addresses::loopback(count, port)),
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
            transport,
            network,
            addresses,
            start: Instant::now(),
            core: Mutex::new(Core {
                history,
                checker,
                uploads: BTreeMap::new(),
                progress: BTreeMap::new(),
                finished: BTreeMap::new(),
                finished_jobs: Vec::new(),
                active_faults: Vec::new(),
                next_fault_id: 0,
                open_jobs: 0,
                stopped: None,
            }),
            leadership: Mutex::new(None),
            leadership_changed: Notify::new(),
            job_finished: Notify::new(),
            scenario,
        })
    }

    /// Returns the seconds since the scenario began.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the random stream of a concern; draws from one stream do not shift another.
    pub fn rng(&self, concern: &str) -> Pcg64 {
        Pcg64::seed_from_u64(stream_seed(self.seed, concern))
    }

    /// Creates a process on a host in a zone, or in the region outside all zones (`None`).
    pub fn process(&self, name: &str, ip: IpAddr, role: Role, zone: Option<&str>) -> Arc<Process> {
        if matches!(self.transport, Transport::Simulated(_)) {
            self.network.add_host(ip, role, zone);
        }
        let mut rng = self.rng(&format!("{name} at {}", self.now_ms()));
        let n = &self.scenario.deployment.node;
        // On loopback all processes share the machine's clock.
        let clocks = match self.transport {
            Transport::Simulated(_) => Clocks {
                drift: rng.random::<f64>() * n.drift,
                offset_s: (rng.random::<f64>() * 1000.0).floor(),
                wall_offset_ms: (rng.random::<f64>() * 2.0 - 1.0) * n.clock_off_ms,
            },
            Transport::Loopback => Clocks::default(),
        };
        let seed = rng.random();
        Process::new(name, ip, self.transport.clone(), clocks, self.start, seed)
    }

    pub fn region_process(&self, name: &str, role: Role) -> Arc<Process> {
        let ip = match role {
            Role::State => STATE,
            Role::Cloud => CLOUD,
            _ => USERS,
        };
        self.process(name, ip.into(), role, None)
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

    /// Records the end of the scenario and returns its history.
    pub fn finish(&self) -> History {
        self.record(What::Ends);
        std::mem::take(&mut lock(&self.core).history)
    }

    /// Returns the number of rule violations so far.
    pub fn violations(&self) -> usize {
        lock(&self.core).checker.violations.len()
    }

    /// Calls a function with the history and the checker as they are now; for observers.
    pub fn inspect<T>(&self, read: impl FnOnce(&History, &Checker) -> T) -> T {
        let core = lock(&self.core);
        read(&core.history, &core.checker)
    }

    // --- faults ---

    pub fn begin_fault(&self, trouble: &Fault) -> u64 {
        let id = {
            let mut core = lock(&self.core);
            let id = core.next_fault_id;
            core.next_fault_id += 1;
            core.active_faults.push((id, trouble.clone()));
            id
        };
        let trouble = trouble.name().to_string();
        self.record(What::Trouble { trouble, on: true });
        id
    }

    pub fn end_fault(&self, id: u64) {
        let ended = {
            let mut core = lock(&self.core);
            let at = core.active_faults.iter().position(|(n, _)| *n == id);
            at.map(|at| core.active_faults.remove(at).1)
        };
        if let Some(trouble) = ended {
            let trouble = trouble.name().to_string();
            self.record(What::Trouble { trouble, on: false });
        }
    }

    /// Returns the values that `select` returns for the active faults.
    pub fn active_faults<T>(&self, select: impl Fn(&Fault) -> Option<T>) -> Vec<T> {
        let core = lock(&self.core);
        core.active_faults
            .iter()
            .filter_map(|(_, t)| select(t))
            .collect()
    }

    // --- jobs ---

    /// Stores a job's definition, which its user uploads before submitting, and records the
    /// submission.
    pub fn upload(&self, upload: UploadedJob, job: Job) {
        lock(&self.core).uploads.insert(job.id.clone(), upload);
        self.submitted(job);
    }

    /// Records that a user is about to submit a job.
    pub fn submitted(&self, job: Job) {
        lock(&self.core).open_jobs += 1;
        self.record(What::Submitted { job });
    }

    /// Counts a job as closed: its user no longer waits for an outcome.
    pub fn close_job(&self) {
        let mut core = lock(&self.core);
        core.open_jobs = core.open_jobs.saturating_sub(1);
    }

    pub fn open_jobs(&self) -> u64 {
        lock(&self.core).open_jobs
    }

    pub fn task_spec(&self, task: &str) -> Option<TaskSpec> {
        let (job, n) = task.split_once('/')?;
        let n: u32 = n.parse().ok()?;
        let core = lock(&self.core);
        let upload = core.uploads.get(job).filter(|u| n < u.spec.tasks)?;
        let mut spec = upload.spec.clone();
        spec.run_s = upload.run_times_s.get(n as usize).copied();
        if let Some((saved_s, finished)) = core.progress.get(task) {
            (spec.saved_s, spec.finished) = (*saved_s, *finished);
        }
        Some(spec)
    }

    /// Records events of a machine in the history; saved progress is stored instead.
    pub fn record_machine_events(&self, machine: &str, events: Vec<MachineEvent>) {
        for event in events {
            let machine = machine.to_string();
            let what = match event {
                MachineEvent::Starts { task, attempt } => What::Starts {
                    machine,
                    task,
                    attempt,
                },
                MachineEvent::On { task, attempt } => What::On {
                    machine,
                    task,
                    attempt,
                },
                MachineEvent::Stops { task } => What::Stops { machine, task },
                MachineEvent::Dropped { task, attempt } => What::Dropped {
                    machine,
                    task,
                    attempt,
                },
                MachineEvent::Notice => What::Notice { machine },
                MachineEvent::Off {
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
                MachineEvent::LeaseEnds => What::LeaseEnds { machine },
                MachineEvent::Saved {
                    task,
                    progress_s,
                    finished,
                } => {
                    self.save_progress(&task, progress_s, finished);
                    continue;
                }
            };
            self.record(what);
        }
    }

    /// Stores a task's progress outside its machine.
    fn save_progress(&self, task: &str, progress_s: f64, finished: bool) {
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
        let all = core.uploads.get(job).map(|u| u.spec.tasks);
        if all == Some(done) {
            core.finished_jobs.push(job.to_string());
            self.job_finished.notify_one();
        }
    }

    /// Waits until the last task of at least one job has finished, and returns these jobs.
    pub async fn next_finished_jobs(&self) -> Vec<String> {
        loop {
            let jobs = std::mem::take(&mut lock(&self.core).finished_jobs);
            if !jobs.is_empty() {
                return jobs;
            }
            self.job_finished.notified().await;
        }
    }

    // --- leadership ---

    /// Sets the leadership that the state service's leader key now shows.
    pub fn set_leadership(&self, now: Option<Leadership>) {
        let was = std::mem::replace(&mut *lock(&self.leadership), now.clone());
        if was != now {
            self.leadership_changed.notify_waiters();
        }
    }

    /// Waits for a change of leadership and returns the new leader. Waiting tasks resume in
    /// the order in which they began to wait; tokio's `watch` would wake them in an order of
    /// its own randomness, which no seed replays.
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
