//! Compound failures drawn from seeds: transactions executed late and after newer ones, leaders
//! that fail between a task's exit and its record, late direct commands and heartbeats, lost
//! responses and expired leases; machines that are partitioned, receive nothing, send nothing,
//! are new or are deleted; teams at their quotas and jobs bound to zones; ten leader changes in
//! two minutes; outages of the key-value store, and all controllers down for longer than a
//! lease. The assertions are the guarantees of the protocol.

mod common;

use cherrywood_control::leader::{CloudCall, LedgerBatch, WriteOutcome};
use cherrywood_control::{Leader, Settings, Team, keys};
use cherrywood_wire::agent::{Command, DirectCommands, ExitCause, Heartbeat};
use cherrywood_wire::cloud::{MachineType, RentalRequest};
use cherrywood_wire::store::Txn;
use cherrywood_wire::user::{JobKind, JobState, Submission};
use common::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const LEASE_S: f64 = 10.0;

/// Number of seeds in every run of the tests.
const SEEDS: u64 = 30;
/// The most machines that the cloud provides.
const MACHINES_MAX: usize = 8;
/// Steps with fault injection.
const FAULT_STEPS: u32 = 240;
/// Steps without faults afterwards, enough for all jobs to end.
const SETTLED_STEPS: u32 = 900;
/// Step without faults at which services, which never end by themselves, are cancelled.
const CANCEL_SERVICES_STEP: u32 = 300;
const STEP_S: f64 = 0.5;
/// Probabilities of a leader failure in a step, of which the seed selects one.
const LEADER_FAILURE_RATES: [f64; 3] = [0.09, 0.02, 0.004];
/// Bound on the time (s) that a job may wait while there is room for it once faults are over;
/// it covers the replacement of machines after the last fault.
const WAIT_MAX_S: f64 = 90.0;

/// Settings with two teams whose quotas are reached, one in CPUs and one in GPUs.
fn quota_limited_settings() -> Settings {
    let team = |name: &str, cpus: f64, gpus: f64| Team {
        name: name.into(),
        cpus: cpus / 2.0,
        cpus_max: cpus,
        gpus: gpus / 2.0,
        gpus_max: gpus,
    };
    Settings {
        teams: vec![team("t", 12.0, 100.0), team("u", 100.0, 3.0)],
        ..settings()
    }
}

fn machine_types_with_gpus() -> Vec<MachineType> {
    machine_types()
        .into_iter()
        .map(|t| MachineType { gpus: 4.0, ..t })
        .collect()
}

/// What happened at the workers and was asked by users; no controller may contradict it.
#[derive(Default)]
struct GroundTruth {
    /// Tasks that ran to completion, by job.
    done: BTreeMap<String, BTreeSet<u32>>,
    cancelled: BTreeSet<String>,
    jobs: BTreeMap<String, Submission>,
}

#[derive(Clone, Copy, PartialEq)]
enum Link {
    Open,
    /// A network partition in both directions; direct commands are delivered when it ends.
    Partitioned,
    /// One-way partition: heartbeats arrive, and no response or direct command reaches the
    /// worker.
    ReceivesNothing,
    /// One-way partition: heartbeats reach no controller, direct commands arrive.
    SendsNothing,
    /// Partitioned together with its shard owner, which keeps responding to its heartbeats.
    PartitionedWithOwner,
}

struct Machine {
    worker: Worker,
    /// When the last heartbeat that got a response was sent.
    leased_at: f64,
    /// End of the shard lease, under which its owner may respond without the leader.
    granted_until: f64,
    link: Link,
    /// When `link` becomes open again.
    until: f64,
    /// When the machine is up; its worker sends no heartbeat before.
    up_at: f64,
}

impl Machine {
    fn new(name: &str, zone: &str, up_at: f64) -> Machine {
        let mut worker = Worker::new(name);
        worker.zone = zone.into();
        Machine {
            worker,
            leased_at: up_at,
            granted_until: 0.0,
            link: Link::Open,
            until: 0.0,
            up_at,
        }
    }
}

struct World {
    rng: StdRng,
    now: f64,
    store: Store,
    leader: Leader,
    term: u64,
    machines: Vec<Machine>,
    machines_made: u32,
    /// Transactions without a response, with the time of their execution.
    late_transactions: Vec<(f64, Txn)>,
    late_commands: Vec<(f64, String, DirectCommands)>,
    late_heartbeats: Vec<(f64, Heartbeat)>,
    /// The leader's ledger transaction whose response is in transit, and when it arrives.
    awaited_batch: Option<(f64, LedgerBatch, WriteOutcome)>,
    /// Until when the key-value store refuses every request.
    outage_until: f64,
    /// Until when all controllers are down.
    controllers_down_until: f64,
    /// Probability of a leader failure in a step: ten in two minutes, a few, or so few that a
    /// term outlasts shard leases and worker leases.
    leader_failure_rate: f64,
    /// Cancelled jobs that the leader has seen in the store.
    seen_cancelled: BTreeSet<String>,
    /// Since when a job has waited while there is room for it.
    waiting_since: BTreeMap<String, f64>,
    ground_truth: GroundTruth,
    /// How often each fault was injected.
    injected: BTreeMap<&'static str, u32>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut store = Store::default();
        let leader = store.elect_with(quota_limited_settings(), 1, 0.0);
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            store,
            leader,
            term: 1,
            machines: Vec::new(),
            machines_made: 0,
            late_transactions: Vec::new(),
            late_commands: Vec::new(),
            late_heartbeats: Vec::new(),
            awaited_batch: None,
            outage_until: 0.0,
            controllers_down_until: 0.0,
            leader_failure_rate: LEADER_FAILURE_RATES[(seed % 3) as usize],
            seen_cancelled: BTreeSet::new(),
            waiting_since: BTreeMap::new(),
            ground_truth: GroundTruth::default(),
            injected: BTreeMap::new(),
        };
        world.leader.set_machine_types(machine_types_with_gpus());
        for zone in ["a", "a", "b", "b"] {
            world.add_machine(zone, 0.0);
        }
        world
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn record(&mut self, what: &'static str) {
        *self.injected.entry(what).or_default() += 1;
    }

    fn add_machine(&mut self, zone: &str, up_at: f64) -> String {
        let name = format!("vm-{:03}", self.machines_made);
        self.machines_made += 1;
        self.machines.push(Machine::new(&name, zone, up_at));
        name
    }

    fn elect(&mut self) {
        self.term += 1;
        self.awaited_batch = None;
        self.leader = self
            .store
            .elect_with(quota_limited_settings(), self.term, self.now);
        self.leader.set_machine_types(machine_types_with_gpus());
        self.seen_cancelled.clone_from(&self.ground_truth.cancelled);
    }

    /// Draws whether a transaction is executed now, late or never; returns the outcome that its
    /// sender learns.
    fn execute_transaction(&mut self, txn: &Txn, with_faults: bool) -> WriteOutcome {
        if self.now < self.outage_until {
            return WriteOutcome::Refused;
        }
        if !with_faults || self.chance(0.7) {
            return self.store.apply(txn);
        }
        match self.rng.random_range(0..4) {
            0 => WriteOutcome::Refused,
            1 => {
                self.store.apply(txn);
                WriteOutcome::Unknown
            }
            _ => {
                let at = self.now + self.rng.random_range(2.0..12.0);
                self.late_transactions.push((at, txn.clone()));
                WriteOutcome::Unknown
            }
        }
    }

    fn reread(&mut self) {
        if self.now >= self.outage_until {
            reread(&mut self.leader, &self.store);
        }
    }

    fn write_batches(&mut self, with_faults: bool) {
        for _ in 0..3 {
            self.write_ledger(with_faults);
            if let Some(batch) = self.leader.job_batch(true, self.now) {
                let outcome = self.execute_transaction(&batch.txn, with_faults);
                self.leader.job_batch_done(batch, &outcome, self.now);
                self.reread();
            }
        }
        for (_, commands) in self.leader.due_direct_commands(self.now) {
            for due in commands {
                self.check_starts(&due.commands.commands);
                let outcome = self.send(&due.machine, &due.commands, with_faults).into();
                self.leader
                    .direct_commands_done(&due.machine, &due.commands, outcome);
            }
        }
    }

    /// Sends one ledger transaction at a time, as the controller does; some responses arrive
    /// seconds later.
    fn write_ledger(&mut self, with_faults: bool) {
        if let Some((_, batch, outcome)) = self.awaited_batch.take_if(|w| w.0 <= self.now) {
            self.leader.ledger_batch_done(batch, &outcome);
            self.reread();
        }
        if self.awaited_batch.is_some() {
            return;
        }
        let Some(batch) = self.leader.ledger_batch() else {
            return;
        };
        let outcome = self.execute_transaction(&batch.txn, with_faults);
        if with_faults && self.chance(0.2) {
            let at = self.now + self.rng.random_range(0.5..4.0);
            self.awaited_batch = Some((at, batch, outcome));
            self.record("late response to a ledger transaction");
            return;
        }
        self.leader.ledger_batch_done(batch, &outcome);
        self.reread();
    }

    /// Sends direct commands; returns whether they were executed, or `None` if the sender does
    /// not learn it.
    fn send(
        &mut self,
        machine: &str,
        commands: &DirectCommands,
        with_faults: bool,
    ) -> Option<bool> {
        let at = self.machines.iter().find(|m| m.worker.name == machine);
        let (link, until) = at.map_or((Link::Open, 0.0), |m| (m.link, m.until));
        match self.rng.random_range(0..10) {
            _ if link == Link::ReceivesNothing => None,
            _ if matches!(link, Link::Partitioned | Link::PartitionedWithOwner) => {
                // Delivered when the partition ends.
                let held = (until, machine.to_string(), commands.clone());
                self.late_commands.push(held);
                None
            }
            0 if with_faults => None,
            1 | 2 if with_faults => {
                let at = self.now + self.rng.random_range(0.1..8.0);
                let late = (at, machine.to_string(), commands.clone());
                self.late_commands.push(late);
                None
            }
            _ => Some(self.execute_commands(machine, commands)),
        }
    }

    /// Executes direct commands at their worker if they have its incarnation and no older
    /// fencing token; returns whether they were executed.
    fn execute_commands(&mut self, machine: &str, commands: &DirectCommands) -> bool {
        let found = self.machines.iter_mut().find(|m| m.worker.name == machine);
        let Some(Machine { worker, .. }) = found else {
            return false;
        };
        let is_valid = commands.incarnation == worker.incarnation
            && commands.fencing_token >= worker.fencing_token;
        if is_valid {
            worker.execute_commands(commands.fencing_token, &commands.commands);
        }
        self.check();
        is_valid
    }

    fn heartbeat(&mut self, at: usize, with_faults: bool) {
        let heartbeat = self.machines[at].worker.next_heartbeat();
        let sent = self.now;
        if with_faults && self.chance(0.1) {
            // The heartbeat arrives late; its response is lost.
            let late = self.now + self.rng.random_range(2.0..30.0);
            self.late_heartbeats.push((late, heartbeat));
            return;
        }
        if with_faults && self.chance(0.2) {
            let late = self.now + self.rng.random_range(2.0..30.0);
            self.late_heartbeats.push((late, heartbeat.clone()));
        }
        let Some(token) = self.leader.take_heartbeat("n", &heartbeat, &[], self.now) else {
            return;
        };
        self.leader.place_pending(self.now);
        self.write_batches(with_faults);
        let commands = self.leader.heartbeat_commands(&heartbeat, self.now);
        self.check_starts(&commands);
        self.check_forgets(&heartbeat, &commands);
        if self.machines[at].link == Link::ReceivesNothing || with_faults && self.chance(0.15) {
            self.record("response lost");
            return;
        }
        let m = &mut self.machines[at];
        if token >= m.worker.fencing_token {
            m.worker.execute_commands(token, &commands);
            m.leased_at = sent;
            m.granted_until = sent + self.leader.timing.shard_lease_s;
        }
        self.check();
    }

    /// Asserts that no command starts a task of a job that the leader knows to be cancelled.
    fn check_starts(&self, commands: &[Command]) {
        for c in commands {
            if let Command::Start { task, .. } = c {
                let id = task.split_once('/').unwrap().0;
                assert!(
                    !self.seen_cancelled.contains(id),
                    "{task} starts after its job was cancelled"
                );
            }
        }
    }

    /// Asserts that the completion of a task is in the key-value store before the worker is told
    /// to forget the task.
    fn check_forgets(&self, heartbeat: &Heartbeat, commands: &[Command]) {
        for c in commands {
            let Command::Forget { task, attempt } = c else {
                continue;
            };
            let status = heartbeat
                .tasks
                .iter()
                .find(|t| t.task == *task && t.attempt == *attempt);
            let (id, n) = task.split_once('/').unwrap();
            if status.is_none_or(|t| t.exit_cause != Some(ExitCause::Done))
                || self.store.final_state(id).is_some()
            {
                continue;
            }
            let mut fresh = Store::default();
            fresh.records.clone_from(&self.store.records);
            fresh.revision = self.store.revision;
            let next = fresh.elect(self.term + 1, self.now);
            let counts = next.task_counts(id, self.now).map_or(0, |c| c.0);
            assert!(
                counts > 0,
                "{id}/{n} is forgotten, and no record counts it as done"
            );
        }
    }

    /// Returns job, task and zone of each running task.
    fn running(&self) -> Vec<(&Submission, &str, &str)> {
        let mut running = Vec::new();
        for Machine { worker: w, .. } in &self.machines {
            for t in w.tasks.iter().filter(|t| t.is_running()) {
                let id = t.task.split_once('/').unwrap().0;
                running.push((
                    &self.ground_truth.jobs[id],
                    t.task.as_str(),
                    w.zone.as_str(),
                ));
            }
        }
        running
    }

    /// Returns the CPUs and GPUs that each team uses.
    fn used(&self) -> BTreeMap<&str, (f64, f64)> {
        let mut used: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (job, ..) in self.running() {
            let u = used.entry(&job.team).or_default();
            *u = (u.0 + job.cpus, u.1 + job.gpus);
        }
        used
    }

    fn check(&self) {
        let running = self.running();
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        for (_, task, _) in &running {
            assert!(seen.insert(task), "{task} ran twice at {}", self.now);
        }
        for team in quota_limited_settings().teams {
            let used = self.used().get(team.name.as_str()).copied();
            let (cpus, gpus) = used.unwrap_or_default();
            assert!(cpus <= team.cpus_max, "{} uses {cpus} CPUs", team.name);
            assert!(gpus <= team.gpus_max, "{} uses {gpus} GPUs", team.name);
        }
        self.check_zones(&running);
        for (id, job) in &self.ground_truth.jobs {
            let done = self.ground_truth.done.get(id).map_or(0, BTreeSet::len) as u32;
            match self.store.final_state(id) {
                Some(JobState::Done) => {
                    assert!(done == job.tasks, "{id} is done after {done} tasks");
                }
                Some(_) => assert!(
                    self.ground_truth.cancelled.contains(id),
                    "{id} was not cancelled"
                ),
                None => assert!(
                    !self.ground_truth.cancelled.contains(id),
                    "{id} was cancelled, and has no final state"
                ),
            }
        }
    }

    fn check_zones(&self, running: &[(&Submission, &str, &str)]) {
        let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for (job, _, zone) in running {
            *zones.entry(&job.id).or_default().entry(zone).or_default() += 1;
        }
        for (id, by_zone) in zones {
            let job = &self.ground_truth.jobs[id];
            let bound = job.zone.as_deref();
            let outside = by_zone.keys().any(|z| bound.is_some_and(|b| b != *z));
            assert!(!outside, "{id} outside its zone: {by_zone:?}");
            assert!(!job.single_zone || by_zone.len() == 1, "{id}: {by_zone:?}");
            let largest = by_zone.values().max().copied().unwrap_or(0);
            let half = job.tasks.div_ceil(2);
            assert!(
                !job.spread_over_zones || largest <= half,
                "{id}: {by_zone:?}"
            );
        }
    }

    fn step(&mut self, with_faults: bool) {
        self.now += STEP_S;
        self.deliver_late_messages();
        self.complete_tasks(with_faults);
        self.expire_leases();
        if with_faults {
            self.inject_faults();
        } else {
            (self.outage_until, self.controllers_down_until) = (0.0, 0.0);
            self.machines.iter_mut().for_each(|m| m.until = 0.0);
        }
        self.restore_links();
        if self.now < self.controllers_down_until {
            self.check();
            return;
        }
        self.send_heartbeats(with_faults);
        self.apply_cloud_calls(with_faults);
        if with_faults {
            self.change_leader();
        }
        self.watch(with_faults);
        self.leader.audit().unwrap();
        self.check();
    }

    /// Delivers late transactions, direct commands and heartbeats that are due.
    fn deliver_late_messages(&mut self) {
        let now = self.now;
        let due = |at: f64| at <= now;
        let writes: Vec<_> = self
            .late_transactions
            .extract_if(.., |w| due(w.0))
            .collect();
        for (_, txn) in writes {
            if now >= self.outage_until
                && matches!(self.store.apply(&txn), WriteOutcome::Applied(_))
            {
                self.record("late transaction applied");
            } else {
                self.record("late transaction rejected");
            }
            self.check();
        }
        let commands: Vec<_> = self.late_commands.extract_if(.., |o| due(o.0)).collect();
        for (_, machine, commands) in commands {
            let executed = self.execute_commands(&machine, &commands);
            self.record(if executed {
                "late command executed"
            } else {
                "late command fenced"
            });
        }
        if now < self.controllers_down_until {
            return;
        }
        let heartbeats: Vec<_> = self.late_heartbeats.extract_if(.., |r| due(r.0)).collect();
        for (_, heartbeat) in heartbeats {
            if self
                .leader
                .take_heartbeat("other", &heartbeat, &[], now)
                .is_some()
            {
                self.record("old heartbeat taken");
                let commands = self.leader.heartbeat_commands(&heartbeat, now);
                self.check_starts(&commands);
            }
        }
    }

    /// Completes some running tasks; tasks of one job end far apart, some at once and some
    /// after minutes.
    fn complete_tasks(&mut self, with_faults: bool) {
        for m in &mut self.machines {
            for t in &mut m.worker.tasks {
                let (id, n) = t.task.split_once('/').unwrap();
                if self.ground_truth.jobs[id].kind == JobKind::Service {
                    continue;
                }
                let n: u32 = n.parse().unwrap();
                let p = if with_faults && n > 0 { 0.004 } else { 0.03 };
                if self.rng.random_bool(p) && t.is_running() {
                    t.exit = Some(ExitCause::Done);
                    let done = self.ground_truth.done.entry(id.to_string()).or_default();
                    done.insert(n);
                }
            }
        }
    }

    fn expire_leases(&mut self) {
        let mut ended = 0;
        for m in self.machines.iter_mut().filter(|m| m.up_at <= self.now) {
            if m.link == Link::PartitionedWithOwner && self.now < m.granted_until {
                m.leased_at = self.now;
            }
            if self.now - m.leased_at > LEASE_S {
                m.worker.incarnation += 1;
                m.worker.tasks.clear();
                m.leased_at = self.now;
                ended += 1;
            }
        }
        for _ in 0..ended {
            self.record("lease expired");
        }
    }

    fn inject_faults(&mut self) {
        for at in 0..self.machines.len() {
            if self.machines[at].link != Link::Open || !self.chance(0.012) {
                continue;
            }
            let links = [
                Link::Partitioned,
                Link::ReceivesNothing,
                Link::SendsNothing,
                Link::PartitionedWithOwner,
            ];
            let link = links[self.rng.random_range(0..links.len())];
            let most = if link == Link::PartitionedWithOwner {
                70.0
            } else {
                30.0
            };
            let until = self.now + self.rng.random_range(3.0..most);
            let m = &mut self.machines[at];
            (m.link, m.until) = (link, until);
            self.record(match link {
                Link::Partitioned => "machine partitioned",
                Link::ReceivesNothing => "machine receives nothing",
                Link::PartitionedWithOwner => "machine partitioned with its controller",
                _ => "machine sends nothing",
            });
        }
        if self.now >= self.outage_until && self.chance(0.006) {
            self.outage_until = self.now + self.rng.random_range(1.0..20.0);
            self.record("outage");
        }
        if self.now >= self.controllers_down_until && self.chance(0.003) {
            self.controllers_down_until =
                self.now + self.rng.random_range(LEASE_S * 0.5..LEASE_S * 2.0);
            self.record("all controllers down");
        }
    }

    fn restore_links(&mut self) {
        for m in self.machines.iter_mut().filter(|m| m.until <= self.now) {
            m.link = Link::Open;
        }
    }

    fn send_heartbeats(&mut self, with_faults: bool) {
        for at in 0..self.machines.len() {
            let m = &self.machines[at];
            let speaks =
                matches!(m.link, Link::Open | Link::ReceivesNothing) && m.up_at <= self.now;
            if speaks && (!with_faults || self.chance(0.85)) {
                self.heartbeat(at, with_faults);
            }
        }
    }

    fn apply_cloud_calls(&mut self, with_faults: bool) {
        for call in self.leader.autoscale(self.now) {
            match call {
                CloudCall::Delete(names) => self.delete(&names, with_faults),
                CloudCall::Rent(rent) => self.rent(&rent, with_faults),
            }
        }
    }

    /// Deletes machines; with fault injection most deletions are refused, and the response to
    /// a deletion may be lost.
    fn delete(&mut self, names: &[String], with_faults: bool) {
        if with_faults && self.chance(0.98) {
            self.record("deletion refused");
            return;
        }
        self.machines.retain(|m| !names.contains(&m.worker.name));
        if !with_faults || self.chance(0.7) {
            self.leader.machines_deleted(names, self.now);
        }
        self.record("machine deleted");
    }

    /// Rents machines, which are up within two seconds; with fault injection the response that
    /// names them may be lost.
    fn rent(&mut self, rent: &RentalRequest, with_faults: bool) {
        let room = MACHINES_MAX.saturating_sub(self.machines.len());
        let count = room.min(rent.count as usize);
        let mut names = Vec::new();
        for _ in 0..count {
            let up_at = self.now + self.rng.random_range(0.0..2.0);
            names.push(self.add_machine(&rent.zone, up_at));
            self.record("machine up at once");
        }
        if !with_faults || self.chance(0.7) {
            let got = (count > 0).then_some(names.as_slice());
            self.leader.rental_answered(rent, got, self.now);
        }
    }

    fn change_leader(&mut self) {
        if self.now < self.outage_until {
            return;
        }
        let returns = self.controllers_down_until > 0.0;
        if returns || self.chance(self.leader_failure_rate) {
            self.controllers_down_until = 0.0;
            self.record("leader failed");
            self.elect();
        }
    }

    /// Shows the leader the records that its watch delivers, with fault injection in some steps
    /// only.
    fn watch(&mut self, with_faults: bool) {
        if self.now < self.outage_until || with_faults && self.chance(0.5) {
            return;
        }
        for id in self.leader.live_job_ids() {
            if self.store.revision_of(&keys::job(&id)) == 0 {
                self.leader.remove_job(&id);
            }
        }
        self.seen_cancelled.clone_from(&self.ground_truth.cancelled);
    }

    fn submit(&mut self, n: u32) {
        if self.now < self.outage_until.max(self.controllers_down_until) {
            return;
        }
        let team = if self.chance(0.5) { "t" } else { "u" };
        let bound = self.rng.random_range(0..4);
        let service = self.chance(0.1);
        let job = Submission {
            kind: if service {
                JobKind::Service
            } else {
                JobKind::Array
            },
            team: team.into(),
            tasks: self.rng.random_range(2..=3),
            cpus: [1.0, 2.0][self.rng.random_range(0..2)],
            gpus: if team == "u" { 1.0 } else { 0.0 },
            single_zone: bound == 0,
            spread_over_zones: bound == 1,
            zone: (bound == 2).then(|| "a".into()),
            ..job(&format!("wk-{n:06}"), 0)
        };
        self.ground_truth.jobs.insert(job.id.clone(), job.clone());
        submit(&mut self.leader, &mut self.store, &job, self.now);
    }

    fn cancel(&mut self) {
        if self.now < self.outage_until.max(self.controllers_down_until) {
            return;
        }
        let live = self.leader.live_job_ids();
        if let Some(id) = live.get(self.rng.random_range(0..live.len().max(1)))
            && self.store.final_state(id).is_none()
        {
            self.store.cancel(id);
            self.ground_truth.cancelled.insert(id.clone());
            let unreachable = self.machines.iter().any(|m| {
                let on = |t: &WorkerTask| t.task.starts_with(&format!("{id}/"));
                m.link != Link::Open && m.worker.tasks.iter().any(on)
            });
            if unreachable {
                self.record("cancelled on an unreachable machine");
            }
        }
    }

    fn cancel_services(&mut self) {
        let jobs = self.ground_truth.jobs.values();
        let services: Vec<String> = jobs
            .filter(|j| j.kind == JobKind::Service && self.store.final_state(&j.id).is_none())
            .map(|j| j.id.clone())
            .collect();
        for id in services {
            self.store.cancel(&id);
            self.ground_truth.cancelled.insert(id);
            self.record("service outlives all faults");
        }
    }

    /// Asserts that once faults are over no job waits for long while a machine has room for it
    /// and its team is under its quota.
    fn check_no_job_waits_beside_room(&mut self) {
        let waiting: Vec<String> = self.leader.live_job_ids();
        for id in waiting {
            let job = &self.ground_truth.jobs[&id];
            let running: Vec<_> = self
                .running()
                .into_iter()
                .filter(|r| r.0.id == id)
                .collect();
            let done = self.ground_truth.done.get(&id).map_or(0, BTreeSet::len);
            let waits = running.len() + done < job.tasks as usize;
            if waits && self.has_room(job, &running) {
                let since = *self.waiting_since.entry(id.clone()).or_insert(self.now);
                let waited = self.now - since;
                assert!(
                    waited < WAIT_MAX_S,
                    "{id} waits although there is room: {job:?}"
                );
            } else {
                self.waiting_since.remove(&id);
            }
        }
    }

    fn has_room(&self, job: &Submission, on: &[(&Submission, &str, &str)]) -> bool {
        let team = quota_limited_settings()
            .teams
            .into_iter()
            .find(|t| t.name == job.team);
        let used = self.used().get(job.team.as_str()).copied();
        let (cpus, gpus) = used.unwrap_or_default();
        let is_under_quota =
            team.is_some_and(|t| cpus + job.cpus <= t.cpus_max && gpus + job.gpus <= t.gpus_max);
        is_under_quota
            && self
                .machines
                .iter()
                .any(|m| self.machine_has_room(m, job, on))
    }

    fn machine_has_room(
        &self,
        m: &Machine,
        job: &Submission,
        on: &[(&Submission, &str, &str)],
    ) -> bool {
        let zone = m.worker.zone.as_str();
        let tasks_in_zone = on.iter().filter(|r| r.2 == zone).count();
        let mut used = (0.0, 0.0);
        for t in m.worker.tasks.iter().filter(|t| t.is_running()) {
            let other = &self.ground_truth.jobs[t.task.split_once('/').unwrap().0];
            used = (used.0 + other.cpus, used.1 + other.gpus);
        }
        m.up_at <= self.now
            && used.0 + job.cpus <= 8.0
            && used.1 + job.gpus <= 4.0
            && job.zone.as_ref().is_none_or(|z| z == zone)
            && (!job.single_zone || tasks_in_zone == on.len())
            && (!job.spread_over_zones || tasks_in_zone < job.tasks.div_ceil(2) as usize)
    }

    fn run(&mut self) {
        for n in 0..FAULT_STEPS {
            if n % 6 == 0 {
                self.submit(n);
            }
            if n % 15 == 14 {
                self.cancel();
            }
            self.step(true);
        }
        // Without further faults every accepted job ends.
        for n in 0..SETTLED_STEPS {
            if n == CANCEL_SERVICES_STEP {
                self.cancel_services();
            }
            self.step(false);
            self.check_no_job_waits_beside_room();
        }
    }
}

#[test]
fn under_compound_failures_no_task_runs_twice_and_every_job_ends() {
    let mut injected: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in 0..seeds() {
        let mut world = World::new(seed);
        world.run();
        for id in world.ground_truth.jobs.keys() {
            let ended = world.store.final_state(id);
            assert!(ended.is_some(), "seed {seed}: {id} never ends");
        }
        // No placement remains, so no quota stays in use.
        assert!(world.leader.placements_held().is_empty(), "seed {seed}");
        for (team, used, _) in world.leader.team_usage() {
            assert!(used.abs() < 1e-6, "seed {seed}: {team} uses {used}");
        }
        if world.leader_failure_rate == LEADER_FAILURE_RATES[0] {
            let changes = world.injected.get("leader failed").copied().unwrap_or(0);
            *injected
                .entry("ten leader changes in two minutes")
                .or_default() += u32::from(changes >= 10);
        }
        for (what, n) in world.injected {
            *injected.entry(what).or_default() += n;
        }
    }
    // Each fault was injected several times.
    for (what, least) in [
        ("late transaction applied", 10),
        ("late transaction rejected", 10),
        ("late response to a ledger transaction", 10),
        ("late command executed", 10),
        ("late command fenced", 10),
        ("old heartbeat taken", 10),
        ("response lost", 10),
        ("lease expired", 10),
        ("leader failed", 10),
        ("machine partitioned", 10),
        ("machine receives nothing", 10),
        ("machine sends nothing", 10),
        ("machine partitioned with its controller", 10),
        ("machine up at once", 10),
        ("machine deleted", 10),
        ("deletion refused", 10),
        ("cancelled on an unreachable machine", 10),
        ("service outlives all faults", 10),
        ("outage", 10),
        ("all controllers down", 10),
        ("ten leader changes in two minutes", 3),
    ] {
        let n = injected.get(what).copied().unwrap_or_default();
        assert!(n >= least, "{what}: {n} of {injected:?}");
    }
}

/// Number of seeds: `CHERRYWOOD_SEEDS` if it is set, otherwise `SEEDS`.
fn seeds() -> u64 {
    let asked = std::env::var("CHERRYWOOD_SEEDS").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}
