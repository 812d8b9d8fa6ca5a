//! A scripted state service and scripted workers. Time is a number; nothing
//! sleeps.
#![allow(dead_code)]

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

/// A stand-in for the state service.
#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<String, (StoredRecord, u64)>,
    pub revision: u64,
    /// Bytes of a value and changes of a transaction that it takes, if it looks.
    pub limits: Option<(usize, usize)>,
    /// The time of day is the test's time: new leaders know when jobs were accepted.
    pub tells_time: bool,
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

    /// A new leader in `epoch`, which reads everything.
    pub fn elect(&mut self, epoch: u64, now: f64) -> Leader {
        self.elect_with(settings(), epoch, now)
    }

    pub fn elect_with(&mut self, settings: Settings, epoch: u64, now: f64) -> Leader {
        self.elect_over(settings, epoch, 0.0, now)
    }

    /// The same over a leader that may act for so long yet.
    pub fn elect_over(
        &mut self,
        settings: Settings,
        epoch: u64,
        overlap_s: f64,
        now: f64,
    ) -> Leader {
        let mark = self.put(
            keys::LEADER,
            StoredRecord::Leader(cherrywood_wire::records::LeaderRecord {
                leader: format!("n{epoch}"),
                term: epoch,
                nonce: epoch,
            }),
        );
        let from = self.recovered_state(overlap_s, now);
        Leader::new(epoch, mark, settings, machine_types(), from, now).unwrap()
    }

    /// What a new leader reads.
    pub fn recovered_state(&self, overlap_s: f64, now: f64) -> RecoveredState {
        let mut from = RecoveredState {
            overlap_s,
            wall_clock_ms: if self.tells_time {
                (now * 1000.0) as u64
            } else {
                0
            },
            ..RecoveredState::default()
        };
        for (key, (value, mark)) in &self.records {
            match value {
                StoredRecord::Job(j) => from.jobs.push(((**j).clone(), *mark)),
                StoredRecord::PlacementLog(l) => {
                    let entry = keys::ledger_entry(key).expect("a number");
                    from.ledger.push((entry, l.clone()));
                }
                StoredRecord::Admission(a) => from.admission = Some((**a).clone()),
                StoredRecord::ImageCache(i) => from.images = Some(i.clone()),
                StoredRecord::Progress(p) => {
                    from.progress.push((key[2..].to_string(), p.clone(), *mark));
                }
                _ => {}
            }
        }
        from
    }

    /// A user's submission that some node accepted.
    pub fn accept(&mut self, job: &Submission) -> JobRecord {
        let value = JobRecord::new(job.clone(), self.revision);
        self.put(
            &keys::job(&job.id),
            StoredRecord::Job(Box::new(value.clone())),
        );
        value
    }

    /// A cancellation that some node acknowledged.
    pub fn cancel(&mut self, id: &str) {
        self.revision += 1;
        if self.records.remove(&keys::job(id)).is_some() {
            self.end(id, JobState::Cancelled);
        }
    }

    /// How a job ended, whoever wrote it.
    pub fn end(&mut self, id: &str, ended: JobState) {
        let (tasks, at_ms) = (1, None);
        let value = FinalStateRecord {
            state: ended,
            tasks,
            ended_at_ms: at_ms,
        };
        self.put(&keys::final_state(id), StoredRecord::FinalState(value));
    }

    pub fn ended(&self, id: &str) -> Option<JobState> {
        match self.records.get(&keys::final_state(id)) {
            Some((StoredRecord::FinalState(f), _)) => Some(f.state),
            _ => None,
        }
    }

    /// What a node reads for the leader.
    pub fn answer_need_queries(&self, leader: &mut Leader, now: f64) {
        for id in leader.jobs_to_look_up() {
            leader.job_ended(&id, self.ended(&id), None, now);
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

/// A task on a worker, and how it exited, once it has.
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

/// A stand-in for a worker: obeys the highest token, starts what it is told.
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<WorkerTask>,
}

impl Worker {
    pub fn new(name: &str) -> Worker {
        Worker {
            name: name.into(),
            zone: "a".into(),
            session: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
        }
    }

    pub fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: String::new(),
            machine_type: "m8".into(),
            zone: self.zone.clone(),
            spot: true,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
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

    pub fn obey(&mut self, token: u64, commands: &[Command]) {
        if token < self.token {
            return;
        }
        self.token = token;
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

/// A state service and the leader of the current term, with `settings()` unless said
/// otherwise.
pub struct TestCluster {
    pub store: Store,
    pub leader: Leader,
}

impl TestCluster {
    /// The leader of term 1 is elected at 0 s.
    pub fn new() -> TestCluster {
        TestCluster::over(Store::default())
    }

    /// The same over what the state service holds already.
    pub fn over(mut store: Store) -> TestCluster {
        let leader = store.elect(1, 0.0);
        TestCluster { store, leader }
    }

    /// A machine `vm-1` on which a job `wk-000001` of so many tasks runs since 2 s.
    pub fn with_running_job(tasks: u32) -> (TestCluster, Worker) {
        let mut cluster = TestCluster::new();
        let mut worker = Worker::new("vm-1");
        cluster.submit(&job("wk-000001", tasks), 0.0);
        cluster.heartbeat(&mut worker, "n1", 1.0);
        cluster.heartbeat(&mut worker, "n1", 2.0);
        assert_eq!(worker.running(), tasks as usize);
        (cluster, worker)
    }

    /// Another leader takes over, which reads everything; the former is gone.
    pub fn fail_over(&mut self, term: u64, now: f64) {
        self.leader = self.store.elect(term, now);
    }

    /// A user's submission that some controller accepted, and that the leader sees.
    pub fn submit(&mut self, job: &Submission, now: f64) {
        submit(&mut self.leader, &mut self.store, job, now);
    }

    /// A cancellation that some controller confirmed, and that the leader sees.
    pub fn cancel(&mut self, id: &str) {
        self.store.cancel(id);
        self.leader.remove_job(id);
    }

    /// One heartbeat with everything that follows from it; false if it isn't answered.
    pub fn heartbeat(&mut self, worker: &mut Worker, owner: &str, now: f64) -> bool {
        heartbeat(&mut self.leader, &mut self.store, worker, owner, now)
    }

    /// Every batch that the leader has is written.
    pub fn write_all(&mut self) {
        write_all(&mut self.leader, &mut self.store);
    }

    pub fn write_all_at(&mut self, now: f64) {
        write_all_at(&mut self.leader, &mut self.store, now);
    }

    /// What the leader wants to read again is read.
    pub fn reread(&mut self) {
        reread(&mut self.leader, &self.store);
    }

    /// How much may be on this machine, as far as the leader knows.
    pub fn placements_on(&self, machine: &str) -> usize {
        placements_on(&self.leader, machine)
    }
}

/// How much may be on this machine, as far as this leader knows.
pub fn placements_on(leader: &Leader, machine: &str) -> usize {
    leader
        .placements_held()
        .iter()
        .filter(|p| p.0 == machine)
        .count()
}

/// Every batch that the leader has is written.
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

/// One heartbeat with everything that follows from it; false if it isn't answered.
pub fn heartbeat(
    leader: &mut Leader,
    store: &mut Store,
    w: &mut Worker,
    owner: &str,
    now: f64,
) -> bool {
    let r = w.report();
    let Some(token) = leader.take_heartbeat(owner, &r, &[], now) else {
        return false;
    };
    leader.place_pending(now);
    write_all(leader, store);
    let commands = leader.heartbeat_commands(&r, now);
    w.obey(token, &commands);
    true
}

pub fn submit(leader: &mut Leader, store: &mut Store, job: &Submission, now: f64) {
    let value = store.accept(job);
    leader.add_job(value, store.revision_of(&keys::job(&job.id)), now);
}

/// A job of team `wide`, whose quota never binds.
pub fn wide_job(id: &str, tasks: u32) -> Submission {
    Submission {
        team: "wide".into(),
        ..job(id, tasks)
    }
}
