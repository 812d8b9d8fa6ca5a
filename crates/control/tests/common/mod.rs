//! An in-memory key-value store and scripted workers. Tests pass the time as a number of
//! seconds; nothing sleeps.
#![allow(dead_code)]

pub mod fleet;

use cherrywood_control::leader::{RecoveredState, WriteOutcome};
use cherrywood_control::settings::Objective;
use cherrywood_control::{Leader, Settings, Team, keys};
use cherrywood_wire::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
use cherrywood_wire::chunks::json_size;
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::records::{FinalStateRecord, JobRecord, StoredRecord};
use cherrywood_wire::store::{Change, Txn};
use cherrywood_wire::user::{JobKind, JobState, Priority, Submission};
use std::collections::BTreeMap;

/// An in-memory stand-in for the key-value store.
#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<String, (StoredRecord, u64)>,
    pub revision: u64,
    /// The most bytes of a value and changes of a transaction that are accepted; unchecked if
    /// `None`.
    pub limits: Option<(usize, usize)>,
    /// Whether the time of day is the test's time, so that new leaders know when jobs were
    /// accepted. Otherwise new leaders get no time of day.
    pub has_wall_clock: bool,
}

impl Store {
    pub fn revision_of(&self, key: &str) -> u64 {
        self.records.get(key).map_or(0, |r| r.1)
    }

    pub fn apply(&mut self, txn: &Txn) -> WriteOutcome {
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| self.revision_of(&g.key) != g.revision)
            .map(|g| g.key.clone())
            .collect();
        if let Some((bytes, ops)) = self.limits {
            let put = |c: &Change| match c {
                Change::Put { value, .. } => json_size(value),
                Change::Delete { .. } => 0,
            };
            let largest = txn.changes.iter().map(put).max().unwrap_or(0);
            assert!(largest <= bytes, "a value of {largest} bytes");
            let (n, guards) = (txn.changes.len(), txn.guards.len());
            assert!(
                n <= ops && guards <= 4 * ops,
                "{n} changes, {guards} guards"
            );
        }
        if !failed.is_empty() {
            return WriteOutcome::Conflict(failed);
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, .. } => {
                    self.records
                        .insert(key.clone(), (value.clone(), self.revision));
                }
                Change::Delete { key } => {
                    self.records.remove(key);
                }
            }
        }
        WriteOutcome::Applied(self.revision)
    }

    pub fn put(&mut self, key: &str, value: StoredRecord) -> u64 {
        self.revision += 1;
        self.records.insert(key.to_string(), (value, self.revision));
        self.revision
    }

    /// Elects the leader of `term`, which reads all records.
    pub fn elect(&mut self, term: u64, now: f64) -> Leader {
        self.elect_with(settings(), term, now)
    }

    pub fn elect_with(&mut self, settings: Settings, term: u64, now: f64) -> Leader {
        self.elect_with_overlap(settings, term, 0.0, now)
    }

    /// Like [`Store::elect_with`], while the previous leader may act for another `overlap_s`.
    pub fn elect_with_overlap(
        &mut self,
        settings: Settings,
        term: u64,
        overlap_s: f64,
        now: f64,
    ) -> Leader {
        let revision = self.put(
            keys::LEADER,
            StoredRecord::Leader(cherrywood_wire::records::LeaderRecord {
                leader: format!("n{term}"),
                term,
                nonce: term,
            }),
        );
        let state = self.recovered_state(overlap_s, now);
        Leader::new(term, revision, settings, machine_types(), state, now).unwrap()
    }

    /// Returns the state that a new leader reads.
    pub fn recovered_state(&self, overlap_s: f64, now: f64) -> RecoveredState {
        let mut state = RecoveredState {
            overlap_s,
            wall_clock_ms: if self.has_wall_clock {
                (now * 1000.0) as u64
            } else {
                0
            },
            ..RecoveredState::default()
        };
        for (key, (value, revision)) in &self.records {
            match value {
                StoredRecord::Job(job) => state.jobs.push(((**job).clone(), *revision)),
                StoredRecord::PlacementLog(entry) => {
                    let number = keys::ledger_entry(key).expect("a number");
                    state.ledger.push((number, entry.clone()));
                }
                StoredRecord::Admission(a) => state.admission = Some((**a).clone()),
                StoredRecord::ImageCache(i) => state.images = Some(i.clone()),
                StoredRecord::Progress(p) => {
                    let id = key[2..].to_string();
                    state.progress.push((id, p.clone(), *revision));
                }
                _ => {}
            }
        }
        state
    }

    /// Stores a submission as the controller that accepts it does.
    pub fn accept(&mut self, job: &Submission) -> JobRecord {
        let value = JobRecord::new(job.clone(), self.revision);
        self.put(
            &keys::job(&job.id),
            StoredRecord::Job(Box::new(value.clone())),
        );
        value
    }

    /// Stores a cancellation as the controller that acknowledges it does.
    pub fn cancel(&mut self, id: &str) {
        self.revision += 1;
        if self.records.remove(&keys::job(id)).is_some() {
            self.put_final_state(id, JobState::Cancelled);
        }
    }

    /// Stores the final state of a job.
    pub fn put_final_state(&mut self, id: &str, state: JobState) {
        let value = FinalStateRecord {
            state,
            tasks: 1,
            ended_at_ms: None,
        };
        self.put(&keys::final_state(id), StoredRecord::FinalState(value));
    }

    pub fn final_state(&self, id: &str) -> Option<JobState> {
        match self.records.get(&keys::final_state(id)) {
            Some((StoredRecord::FinalState(f), _)) => Some(f.state),
            _ => None,
        }
    }

    /// Reads the final states that the leader asks for, as its controller does.
    pub fn answer_job_lookups(&self, leader: &mut Leader, now: f64) {
        for id in leader.jobs_to_look_up() {
            leader.job_ended(&id, self.final_state(&id), None, now);
        }
    }
}

pub fn settings() -> Settings {
    Settings {
        policy: cherrywood_control::OperatorPolicy::default(),
        objectives: vec![Objective {
            kind: "finished".into(),
            class: "aimed".into(),
            within_s: 400.0,
        }],
        teams: vec![
            Team {
                name: "t".into(),
                cpus: 8.0,
                cpus_max: 16.0,
                gpus: 0.0,
                gpus_max: 0.0,
            },
            Team {
                name: "wide".into(),
                cpus: 1.0e6,
                cpus_max: 1.0e6,
                gpus: 0.0,
                gpus_max: 0.0,
            },
            Team {
                name: "guest".into(),
                cpus: 0.0,
                cpus_max: f64::INFINITY,
                gpus: 0.0,
                gpus_max: f64::INFINITY,
            },
        ],
        workers: worker_settings(),
        state: cherrywood_control::settings::StateLimits {
            rps: 200.0,
            write_rps: 80.0,
            value_kb: 32.0,
            txn_ops: 48,
            next: None,
        },
        cloud: cherrywood_control::settings::CloudLimits {
            rps: 3.0,
            list_lag_s: 3.0,
        },
    }
}

pub fn worker_settings() -> cherrywood_control::settings::Workers {
    cherrywood_control::settings::Workers {
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
    }
}

pub fn machine_types() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 30.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 2.0,
        spot_price_per_hour: Some(0.5),
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }]
}

pub fn job(id: &str, tasks: u32) -> Submission {
    Submission {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_over_zones: false,
        allow_spot: true,
        estimate_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// A task on a worker, with its exit cause once it has exited.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTask {
    pub task: String,
    pub attempt: u64,
    pub exit: Option<ExitCause>,
}

impl WorkerTask {
    pub fn running(task: &str, attempt: u64) -> WorkerTask {
        WorkerTask {
            task: task.into(),
            attempt,
            exit: None,
        }
    }

    pub fn is_running(&self) -> bool {
        self.exit.is_none()
    }

    fn is(&self, task: &str, attempt: u64) -> bool {
        self.task == task && self.attempt == attempt
    }
}

/// A stand-in for a worker, which executes commands under its newest fencing token or a newer one.
pub struct Worker {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub incarnation: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub tasks: Vec<WorkerTask>,
}

impl Worker {
    pub fn new(name: &str) -> Worker {
        Worker {
            name: name.into(),
            machine_type: "m8".into(),
            zone: "a".into(),
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: Vec::new(),
        }
    }

    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: String::new(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: true,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            spot_notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    state: if t.is_running() {
                        TaskState::Running
                    } else {
                        TaskState::Exited
                    },
                    exit_cause: t.exit,
                    checkpoint_saved: None,
                })
                .collect(),
        }
    }

    pub fn execute_commands(&mut self, fencing_token: u64, commands: &[Command]) {
        if fencing_token < self.fencing_token {
            return;
        }
        self.fencing_token = fencing_token;
        for c in commands {
            match c {
                Command::Start { task, attempt } => {
                    if !self.tasks.iter().any(|t| t.is(task, *attempt)) {
                        self.tasks.push(WorkerTask::running(task, *attempt));
                    }
                }
                Command::Stop { task, attempt, .. } => {
                    for t in &mut self.tasks {
                        if t.is(task, *attempt) && t.is_running() {
                            t.exit = Some(ExitCause::Stopped);
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    self.tasks
                        .retain(|t| t.is_running() || !t.is(task, *attempt));
                }
            }
        }
    }

    pub fn running(&self) -> usize {
        self.tasks.iter().filter(|t| t.is_running()).count()
    }
}

/// A key-value store and the leader of the current term, with `settings()` unless a test
/// states otherwise.
pub struct TestCluster {
    pub store: Store,
    pub leader: Leader,
}

impl TestCluster {
    /// A cluster whose leader of term 1 is elected at 0 s over an empty store.
    pub fn new() -> TestCluster {
        TestCluster::with_store(Store::default())
    }

    /// A cluster whose leader of term 1 is elected at 0 s over this store.
    pub fn with_store(mut store: Store) -> TestCluster {
        let leader = store.elect(1, 0.0);
        TestCluster { store, leader }
    }

    /// A cluster with a machine `vm-1` on which all tasks of the job `wk-000001` run at 2 s.
    pub fn with_running_job(tasks: u32) -> (TestCluster, Worker) {
        let mut cluster = TestCluster::new();
        let mut worker = Worker::new("vm-1");
        cluster.submit(&job("wk-000001", tasks), 0.0);
        cluster.heartbeat(&mut worker, "n1", 1.0);
        cluster.heartbeat(&mut worker, "n1", 2.0);
        assert_eq!(worker.running(), tasks as usize);
        (cluster, worker)
    }

    /// Elects the leader of `term`, which reads all records; the former leader is dropped.
    pub fn fail_over(&mut self, term: u64, now: f64) {
        self.leader = self.store.elect(term, now);
    }

    /// Stores an accepted submission and shows it to the leader.
    pub fn submit(&mut self, job: &Submission, now: f64) {
        submit(&mut self.leader, &mut self.store, job, now);
    }

    /// Stores an acknowledged cancellation and shows it to the leader.
    pub fn cancel(&mut self, id: &str) {
        self.store.cancel(id);
        self.leader.remove_job(id);
    }

    /// Sends one heartbeat, places pending tasks, writes all batches and executes the commands
    /// of the response. Returns whether there was a response.
    pub fn heartbeat(&mut self, worker: &mut Worker, owner: &str, now: f64) -> bool {
        exchange_heartbeat(&mut self.leader, &mut self.store, worker, owner, now)
    }

    /// Writes every batch that the leader has.
    pub fn write_all(&mut self) {
        write_all(&mut self.leader, &mut self.store);
    }

    pub fn write_all_at(&mut self, now: f64) {
        write_all_at(&mut self.leader, &mut self.store, now);
    }

    /// Reads the keys that the leader wants to read again.
    pub fn reread(&mut self) {
        reread(&mut self.leader, &self.store);
    }

    /// Number of placements that the leader holds on this machine.
    pub fn placements_on(&self, machine: &str) -> usize {
        placements_on(&self.leader, machine)
    }
}

/// Number of placements that this leader holds on this machine.
pub fn placements_on(leader: &Leader, machine: &str) -> usize {
    leader
        .placements_held()
        .iter()
        .filter(|p| p.0 == machine)
        .count()
}

/// Writes every batch that the leader has.
pub fn write_all(leader: &mut Leader, store: &mut Store) {
    write_all_at(leader, store, 0.0);
}

pub fn write_all_at(leader: &mut Leader, store: &mut Store, now: f64) {
    while let Some(batch) = leader.ledger_batch() {
        let outcome = store.apply(&batch.txn);
        leader.ledger_batch_done(batch, &outcome);
        reread(leader, store);
    }
    while let Some(batch) = leader.job_batch(true, now) {
        let outcome = store.apply(&batch.txn);
        leader.job_batch_done(batch, &outcome, now);
        reread(leader, store);
    }
}

pub fn reread(leader: &mut Leader, store: &Store) {
    for key in leader.keys_to_reread.clone() {
        leader.reread_done(&key, store.revision_of(&key));
    }
}

/// Sends one heartbeat, places pending tasks, writes all batches and executes the commands
/// of the response. Returns whether there was a response.
pub fn exchange_heartbeat(
    leader: &mut Leader,
    store: &mut Store,
    worker: &mut Worker,
    owner: &str,
    now: f64,
) -> bool {
    let heartbeat = worker.next_heartbeat();
    let Some(token) = leader.take_heartbeat(owner, &heartbeat, &[], now) else {
        return false;
    };
    leader.place_pending(now);
    write_all(leader, store);
    let commands = leader.heartbeat_commands(&heartbeat, now);
    worker.execute_commands(token, &commands);
    true
}

pub fn submit(leader: &mut Leader, store: &mut Store, job: &Submission, now: f64) {
    let value = store.accept(job);
    leader.add_job(value, store.revision_of(&keys::job(&job.id)), now);
}

/// A job of team `wide`, whose quota is never reached.
pub fn wide_job(id: &str, tasks: u32) -> Submission {
    Submission {
        team: "wide".into(),
        ..job(id, tasks)
    }
}
