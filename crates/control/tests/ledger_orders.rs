//! The placement ledger with transactions that are applied late, repeatedly, never or without a
//! response, in orders drawn from seeds. After every step a recovery from the store must hold
//! each running task, and no task may run twice.
//!
//! `CHERRYWOOD_SEEDS` sets the number of seeds, `CHERRYWOOD_FIRST_SEED` the first of them.

mod common;

use cherrywood_control::leader::{CloudCall, CommandOutcome, LedgerBatch, WriteOutcome};
use cherrywood_control::settings::{NextLimits, Settings};
use cherrywood_control::{Leader, keys};
use cherrywood_wire::agent::{DirectCommands, ExitCause, Heartbeat};
use cherrywood_wire::store::Txn;
use cherrywood_wire::user::{JobKind, Priority, Submission};
use common::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// First seed and number of seeds in every run of the tests.
const FIRST_SEED: u64 = 16;
const SEEDS: u64 = 6;
const STEPS: u32 = 700;
const STEP_S: f64 = 0.25;
const HEARTBEAT_STEPS: u32 = 4;
const MACHINES: usize = 6;
const TERMS_MAX: u64 = 20;
const LEASE_S: f64 = 10.0;
/// Limits of the store, so small that bursts of placements fill transactions.
const VALUE_KB: f64 = 1.0;
const TXN_CHANGES: usize = 16;
/// The most heartbeats that are kept to arrive once more.
const OLD_HEARTBEATS_MAX: usize = 40;

fn small_store_settings() -> Settings {
    let mut settings = settings();
    settings.state.next = Some(NextLimits {
        value_kb: Some(VALUE_KB),
        txn_ops: Some(TXN_CHANGES),
        ..NextLimits::default()
    });
    settings
}

struct Machine {
    worker: Worker,
    /// When the last heartbeat that got a response was sent.
    leased_at: f64,
    /// Until when the machine is partitioned from the controllers.
    silent_until: f64,
    /// When the cloud reclaims the machine, after a spot notice.
    reclaimed_at: Option<f64>,
}

impl Machine {
    fn new(number: usize, now: f64) -> Machine {
        Machine {
            worker: Worker::new(&format!("vm-{number:06}")),
            leased_at: now,
            silent_until: 0.0,
            reclaimed_at: None,
        }
    }

    fn heartbeat(&mut self, now: f64) -> Heartbeat {
        let mut heartbeat = self.worker.next_heartbeat();
        heartbeat.spot_notice_s = self.reclaimed_at.map(|at| at - now);
        heartbeat
    }
}

/// A ledger transaction whose outcome the leader learns later.
struct AwaitedBatch {
    batch: LedgerBatch,
    outcome: WriteOutcome,
    known_at: f64,
}

/// Direct commands whose outcome the leader learns later.
struct AwaitedCommands {
    term: u64,
    machine: String,
    commands: DirectCommands,
    known_at: f64,
}

struct World {
    rng: StdRng,
    now: f64,
    steps: u32,
    store: Store,
    leader: Leader,
    machines: Vec<Machine>,
    machines_made: usize,
    jobs_made: u32,
    awaited_batch: Option<AwaitedBatch>,
    awaited_commands: Vec<AwaitedCommands>,
    late_transactions: Vec<(f64, Txn)>,
    late_commands: Vec<(f64, String, DirectCommands)>,
    old_heartbeats: Vec<Heartbeat>,
    events: BTreeMap<&'static str, u32>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut store = Store {
            limits: Some(((VALUE_KB * 1024.0) as usize, TXN_CHANGES)),
            ..Store::default()
        };
        let leader = store.elect_with(small_store_settings(), 1, 0.0);
        World {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            steps: 0,
            store,
            leader,
            machines: (0..MACHINES).map(|n| Machine::new(n, 0.0)).collect(),
            machines_made: MACHINES,
            jobs_made: 0,
            awaited_batch: None,
            awaited_commands: Vec::new(),
            late_transactions: Vec::new(),
            late_commands: Vec::new(),
            old_heartbeats: Vec::new(),
            events: BTreeMap::new(),
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn after(&mut self, least_s: f64, most_s: f64) -> f64 {
        self.now + self.rng.random_range(least_s..most_s)
    }

    fn record(&mut self, event: &'static str) {
        *self.events.entry(event).or_default() += 1;
    }

    fn step(&mut self) {
        self.now += STEP_S;
        self.steps += 1;
        self.deliver_late_messages();
        self.inject_events();
        self.lead();
        for at in 0..self.machines.len() {
            if (self.steps as usize + at).is_multiple_of(HEARTBEAT_STEPS as usize) {
                self.heartbeat(at);
            }
        }
        self.replace_machines();
    }

    // --- late messages ---

    fn deliver_late_messages(&mut self) {
        let now = self.now;
        let late = self.late_transactions.extract_if(.., |(at, _)| *at <= now);
        for (_, txn) in late.collect::<Vec<_>>() {
            let applied = matches!(self.store.apply(&txn), WriteOutcome::Applied(_));
            self.record(if applied {
                "late transaction applied"
            } else {
                "late transaction rejected"
            });
        }
        let late = self.late_commands.extract_if(.., |(at, ..)| *at <= now);
        for (_, machine, commands) in late.collect::<Vec<_>>() {
            if self.execute(&machine, &commands) {
                self.record("late command executed");
            }
        }
        let known = self.awaited_commands.extract_if(.., |a| a.known_at <= now);
        for awaited in known.collect::<Vec<_>>() {
            if awaited.term == self.leader.term() {
                self.leader.direct_commands_done(
                    &awaited.machine,
                    &awaited.commands,
                    CommandOutcome::Unknown,
                );
            }
        }
        if self.chance(0.1) && !self.old_heartbeats.is_empty() {
            let at = self.rng.random_range(0..self.old_heartbeats.len());
            let heartbeat = self.old_heartbeats[at].clone();
            self.leader.take_heartbeat("n1", &heartbeat, &[], now);
            self.record("old heartbeat repeated");
        }
    }

    // --- users, machines, failovers ---

    fn inject_events(&mut self) {
        if self.chance(0.02) && self.leader.term() < TERMS_MAX {
            self.fail_over();
        }
        let burst = if self.chance(0.03) { 12 } else { 1 };
        for _ in 0..burst {
            if self.chance(0.3) {
                self.submit();
            }
        }
        if self.chance(0.05) {
            self.cancel();
        }
        let at = self.rng.random_range(0..self.machines.len());
        if self.chance(0.02) {
            self.machines[at].silent_until = self.after(1.0, 40.0);
            self.record("machine silent");
        }
        if self.chance(0.005) {
            self.machines[at].reclaimed_at = Some(self.after(2.0, 15.0));
            self.record("spot notice");
        }
        self.advance_machines();
    }

    fn fail_over(&mut self) {
        self.record("failover");
        // All controllers may be down for longer than the workers' lease.
        if self.chance(0.3) {
            self.now = self.after(1.0, 15.0);
        }
        self.awaited_batch = None;
        let term = self.leader.term() + 1;
        self.leader = self
            .store
            .elect_with(small_store_settings(), term, self.now);
    }

    fn submit(&mut self) {
        let id = format!("wk-{:06}", self.jobs_made);
        self.jobs_made += 1;
        let kind = match self.rng.random_range(0..10) {
            0 => JobKind::Gang,
            1 => JobKind::Service,
            _ => JobKind::Array,
        };
        let priorities = [Priority::High, Priority::Normal, Priority::Low];
        let live = self.leader.live_job_ids();
        let depends = self.chance(0.1) && !live.is_empty();
        let job = Submission {
            kind,
            team: ["t", "wide", "guest"][self.rng.random_range(0..3)].into(),
            priority: priorities[self.rng.random_range(0..3)],
            cpus: [0.1, 0.25, 0.5, 2.0][self.rng.random_range(0..4)],
            checkpoint_interval_s: [0.0, 5.0][self.rng.random_range(0..2)],
            checkpoint_save_s: 1.0,
            dependencies: match depends && kind == JobKind::Array {
                true => vec![live[self.rng.random_range(0..live.len())].clone()],
                false => Vec::new(),
            },
            ..job(&id, self.rng.random_range(1..=12))
        };
        submit(&mut self.leader, &mut self.store, &job, self.now);
    }

    fn cancel(&mut self) {
        let live = self.leader.live_job_ids();
        if live.is_empty() {
            return;
        }
        let id = &live[self.rng.random_range(0..live.len())];
        if self.store.revision_of(&keys::job(id)) > 0 {
            self.store.cancel(id);
            self.leader.remove_job(id);
            self.record("cancellation");
        }
    }

    /// Ends tasks, expires worker leases and reclaims spot machines.
    fn advance_machines(&mut self) {
        let now = self.now;
        let mut expired = 0;
        for machine in &mut self.machines {
            if now - machine.leased_at > LEASE_S {
                machine.worker.incarnation += 1;
                machine.worker.tasks.clear();
                machine.leased_at = now;
                expired += 1;
            }
            for task in machine.worker.tasks.iter_mut().filter(|t| t.exit.is_none()) {
                if self.rng.random_bool(0.01) {
                    let failed = self.rng.random_bool(0.05);
                    task.exit = Some(if failed {
                        ExitCause::Error
                    } else {
                        ExitCause::Done
                    });
                }
            }
        }
        for _ in 0..expired {
            self.record("worker lease expired");
        }
        self.machines
            .retain(|m| m.reclaimed_at.is_none_or(|at| at > now));
    }

    fn replace_machines(&mut self) {
        if self.steps.is_multiple_of(HEARTBEAT_STEPS) {
            for call in self.leader.autoscale(self.now) {
                if let CloudCall::Delete(names) = call {
                    self.machines.retain(|m| !names.contains(&m.worker.name));
                    self.leader.machines_deleted(&names, self.now);
                    self.record("machines deleted");
                }
            }
        }
        while self.machines.len() < MACHINES {
            self.machines
                .push(Machine::new(self.machines_made, self.now));
            self.machines_made += 1;
        }
    }

    // --- the leader ---

    fn lead(&mut self) {
        self.store.answer_job_lookups(&mut self.leader, self.now);
        self.leader.place_pending(self.now);
        self.learn_outcome();
        if self.awaited_batch.is_none()
            && let Some(batch) = self.leader.ledger_batch()
        {
            self.send(batch);
            self.learn_outcome();
        }
        if self.chance(0.5)
            && let Some(batch) = self.leader.job_batch(true, self.now)
        {
            let outcome = self.store.apply(&batch.txn);
            self.leader.job_batch_done(batch, &outcome, self.now);
        }
        if self.chance(0.7) {
            reread(&mut self.leader, &self.store);
        }
        self.send_direct_commands();
        self.leader.audit().unwrap();
    }

    /// Draws whether a ledger transaction is applied now, late or never, and the outcome that
    /// the leader learns.
    fn send(&mut self, batch: LedgerBatch) {
        let soon = self.after(0.5, 4.0);
        let late = self.after(2.0, 12.0);
        let (outcome, known_at) = match self.rng.random_range(0..20) {
            0..10 => (self.store.apply(&batch.txn), self.now),
            10..12 => {
                let outcome = self.store.apply(&batch.txn);
                self.late_transactions.push((late, batch.txn.clone()));
                (outcome, self.now)
            }
            12..14 => (self.store.apply(&batch.txn), soon),
            14..16 => {
                self.store.apply(&batch.txn);
                (WriteOutcome::Unknown, soon)
            }
            16..18 => {
                self.late_transactions.push((late, batch.txn.clone()));
                (WriteOutcome::Unknown, soon)
            }
            18 => (WriteOutcome::Unknown, soon),
            _ => (WriteOutcome::Refused, self.now),
        };
        match outcome {
            WriteOutcome::Unknown => self.record("ledger transaction without a response"),
            WriteOutcome::Refused => self.record("ledger transaction refused"),
            _ => self.record("ledger transaction with a response"),
        }
        self.awaited_batch = Some(AwaitedBatch {
            batch,
            outcome,
            known_at,
        });
    }

    fn learn_outcome(&mut self) {
        let now = self.now;
        if let Some(awaited) = self.awaited_batch.take_if(|a| a.known_at <= now) {
            self.leader
                .ledger_batch_done(awaited.batch, &awaited.outcome);
        }
    }

    fn send_direct_commands(&mut self) {
        let due = self.leader.due_direct_commands(self.now);
        for due in due.into_values().flatten() {
            let (machine, commands) = (due.machine, due.commands);
            let at = self.machines.iter().position(|m| m.worker.name == machine);
            let silent = at.is_none_or(|at| self.machines[at].silent_until > self.now);
            let known_at = self.after(1.0, 5.0);
            let is_late = self.chance(0.3);
            if is_late {
                let at = self.after(2.0, 16.0);
                self.late_commands
                    .push((at, machine.clone(), commands.clone()));
            } else if !silent {
                let executed = self.execute(&machine, &commands);
                if self.chance(0.8) {
                    let outcome = Some(executed).into();
                    self.leader
                        .direct_commands_done(&machine, &commands, outcome);
                    continue;
                }
            }
            self.awaited_commands.push(AwaitedCommands {
                term: self.leader.term(),
                machine,
                commands,
                known_at,
            });
        }
    }

    // --- workers ---

    fn execute(&mut self, machine: &str, commands: &DirectCommands) -> bool {
        let mut machines = self.machines.iter_mut();
        let Some(machine) = machines.find(|m| m.worker.name == machine) else {
            return false;
        };
        let worker = &mut machine.worker;
        let valid = commands.incarnation == worker.incarnation
            && commands.fencing_token >= worker.fencing_token;
        if valid {
            worker.execute_commands(commands.fencing_token, &commands.commands);
        }
        valid
    }

    fn heartbeat(&mut self, at: usize) {
        let now = self.now;
        if self.machines[at].silent_until > now {
            return;
        }
        let heartbeat = self.machines[at].heartbeat(now);
        if self.chance(0.1) && self.old_heartbeats.len() < OLD_HEARTBEATS_MAX {
            self.old_heartbeats.push(heartbeat.clone());
        }
        let Some(token) = self.leader.take_heartbeat("n1", &heartbeat, &[], now) else {
            return;
        };
        let commands = self.leader.heartbeat_commands(&heartbeat, now);
        if self.chance(0.15) {
            self.record("heartbeat response lost");
            return;
        }
        let machine = &mut self.machines[at];
        if token >= machine.worker.fencing_token {
            machine.worker.execute_commands(token, &commands);
            machine.leased_at = now;
        }
    }

    // --- invariants ---

    fn check(&self, seed: u64) {
        let mut running: BTreeSet<(String, String, u64)> = BTreeSet::new();
        let mut tasks: BTreeSet<&str> = BTreeSet::new();
        for worker in self.machines.iter().map(|m| &m.worker) {
            for task in worker.tasks.iter().filter(|task| task.is_running()) {
                let first = tasks.insert(&task.task);
                assert!(
                    first,
                    "seed {seed}, {} s: {} runs twice",
                    self.now, task.task
                );
                running.insert((worker.name.clone(), task.task.clone(), task.attempt));
            }
        }
        let missing = &running - &self.recovered();
        assert!(
            missing.is_empty(),
            "seed {seed}, {} s: a recovery misses {missing:?}",
            self.now
        );
    }

    /// Returns the placements of a leader that recovers from the store now.
    fn recovered(&self) -> BTreeSet<(String, String, u64)> {
        let state = self.store.recovered_state(0.0, self.now);
        let term = self.leader.term() + 1;
        let (settings, types) = (small_store_settings(), machine_types());
        let recovered = Leader::new(term, 0, settings, types, state, self.now);
        recovered.unwrap().placements_held()
    }
}

fn number_from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn a_recovery_holds_every_running_task_in_any_order_of_ledger_transactions() {
    let first = number_from_environment("CHERRYWOOD_FIRST_SEED", FIRST_SEED);
    let count = number_from_environment("CHERRYWOOD_SEEDS", SEEDS);
    let mut events: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in first..first + count {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
            world.check(seed);
        }
        for (event, n) in world.events {
            *events.entry(event).or_default() += n;
        }
    }
    for event in [
        "late transaction applied",
        "late transaction rejected",
        "late command executed",
        "old heartbeat repeated",
        "failover",
        "machine silent",
        "spot notice",
        "cancellation",
        "worker lease expired",
        "machines deleted",
        "ledger transaction with a response",
        "ledger transaction without a response",
        "ledger transaction refused",
        "heartbeat response lost",
    ] {
        let n = events.get(event).copied().unwrap_or_default();
        assert!(n >= 5, "{event}: {n} of {events:?}");
    }
}
