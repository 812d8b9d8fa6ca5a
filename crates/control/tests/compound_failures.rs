//! Troubles that meet, drawn from seeds: transactions carried out late and after newer
//! ones, leaders that end between an exit and its record, direct orders and reports that
//! come late, answers that are lost, leases that end. What is asserted is the protocol's.

mod common;

use cherrywood_control::leader::Outcome;
use cherrywood_control::{Leader, keys};
use cherrywood_wire::agent::{Command, Orders, Report, Why};
use cherrywood_wire::state::Txn;
use cherrywood_wire::user::{JobState, Submission};
use common::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const LEASE_S: f64 = 10.0;

/// What happened at a worker that no controller may contradict.
#[derive(Default)]
struct Truth {
    /// Tasks that ran to their end, by job.
    done: BTreeMap<String, BTreeSet<u32>>,
    cancelled: BTreeSet<String>,
    tasks: BTreeMap<String, u32>,
}

struct World {
    rng: StdRng,
    now: f64,
    store: Store,
    leader: Leader,
    epoch: u64,
    workers: Vec<(Worker, f64)>,
    /// Until when each can't be reached, nor reach anybody.
    cut: Vec<f64>,
    /// Transactions without an answer, to be executed some day.
    late_writes: Vec<(f64, Txn)>,
    late_orders: Vec<(f64, String, Orders)>,
    late_reports: Vec<(f64, Report)>,
    truth: Truth,
    /// How often each meeting was brought about.
    met: BTreeMap<&'static str, u32>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut store = Store::default();
        let leader = store.elect(1, 0.0);
        World {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            store,
            leader,
            epoch: 1,
            workers: (0..4)
                .map(|n| (Worker::new(&format!("vm-{n}")), 0.0))
                .collect(),
            cut: vec![0.0; 4],
            late_writes: Vec::new(),
            late_orders: Vec::new(),
            late_reports: Vec::new(),
            truth: Truth::default(),
            met: BTreeMap::new(),
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn meet(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    /// What becomes of a transaction, and what its sender learns.
    fn execute(&mut self, txn: &Txn, troubled: bool) -> Outcome {
        if !troubled || self.chance(0.7) {
            return self.store.apply(txn);
        }
        match self.rng.random_range(0..4) {
            0 => Outcome::Refused,
            1 => {
                self.store.apply(txn);
                Outcome::Unknown
            }
            _ => {
                let at = self.now + self.rng.random_range(2.0..12.0);
                self.late_writes.push((at, txn.clone()));
                Outcome::Unknown
            }
        }
    }

    fn write(&mut self, troubled: bool) {
        for _ in 0..3 {
            if let Some(batch) = self.leader.ledger_batch() {
                let outcome = self.execute(&batch.txn, troubled);
                self.leader.ledger_done(batch, &outcome);
                reread(&mut self.leader, &self.store);
            }
            if let Some(batch) = self.leader.job_batch(true, self.now) {
                let outcome = self.execute(&batch.txn, troubled);
                self.leader.job_done(batch, &outcome, self.now);
                reread(&mut self.leader, &self.store);
            }
        }
        for (_, orders) in self.leader.orders(self.now) {
            for (machine, _, orders) in orders {
                let at = self.workers.iter().position(|w| w.0.name == machine);
                let held = at.map_or(0.0, |at| self.cut[at]);
                let told = match self.rng.random_range(0..10) {
                    _ if held > self.now => {
                        // Held back on the way, and delivered in the end.
                        self.late_orders
                            .push((held, machine.clone(), orders.clone()));
                        None
                    }
                    0 if troubled => None,
                    1 | 2 if troubled => {
                        let at = self.now + self.rng.random_range(0.1..8.0);
                        self.late_orders.push((at, machine.clone(), orders.clone()));
                        None
                    }
                    _ => Some(self.obey(&machine, &orders)),
                };
                self.leader.ordered(&machine, &orders, told);
            }
        }
    }

    /// A direct order at its worker: does it hold for this token and session?
    fn obey(&mut self, machine: &str, orders: &Orders) -> bool {
        let found = self.workers.iter_mut().find(|w| w.0.name == machine);
        let Some((w, _)) = found else { return false };
        let mine = orders.session == w.session && orders.token >= w.token;
        if mine {
            w.obey(orders.token, &orders.commands);
        }
        self.check();
        mine
    }

    fn beat(&mut self, at: usize, troubled: bool) {
        let report = self.workers[at].0.report();
        let sent = self.now;
        if troubled && self.chance(0.1) {
            // It never arrives, or much later.
            let late = self.now + self.rng.random_range(2.0..30.0);
            self.late_reports.push((late, report));
            return;
        }
        if troubled && self.chance(0.2) {
            let late = self.now + self.rng.random_range(2.0..30.0);
            self.late_reports.push((late, report.clone()));
        }
        let Some(token) = self.leader.report("n", &report, &[], self.now) else {
            return;
        };
        self.leader.plan(self.now);
        self.write(troubled);
        let commands = self.leader.commands(&report, self.now);
        self.check_forgets(&report, &commands);
        if troubled && self.chance(0.15) {
            self.meet("answer lost");
            return;
        }
        let (w, leased) = &mut self.workers[at];
        if token >= w.token {
            w.obey(token, &commands);
            *leased = sent;
        }
        self.check();
    }

    /// What is forgotten at the worker must be in the state service by then.
    fn check_forgets(&self, report: &Report, commands: &[Command]) {
        for c in commands {
            let Command::Forget { task, attempt } = c else {
                continue;
            };
            let of = report
                .tasks
                .iter()
                .find(|t| t.task == *task && t.attempt == *attempt);
            let (id, n) = task.split_once('/').unwrap();
            if of.is_none_or(|t| t.why != Some(Why::Done)) || self.store.ended(id).is_some() {
                continue;
            }
            let mut fresh = Store::default();
            fresh.rows.clone_from(&self.store.rows);
            fresh.revision = self.store.revision;
            let next = fresh.elect(self.epoch + 1, self.now);
            let counts = next.counts(id, self.now).map_or(0, |c| c.0);
            assert!(counts > 0, "{id}/{n} is forgotten, and no record has it");
        }
    }

    fn check(&self) {
        let mut running: BTreeMap<&str, u32> = BTreeMap::new();
        for (w, _) in &self.workers {
            for t in w.tasks.iter().filter(|t| t.2.is_none()) {
                *running.entry(&t.0).or_default() += 1;
            }
        }
        let twice: Vec<_> = running.iter().filter(|r| *r.1 > 1).collect();
        assert!(twice.is_empty(), "ran twice at {}: {twice:?}", self.now);
        assert!(
            running.len() <= 8,
            "over the team's limit: {}",
            running.len()
        );
        for (id, tasks) in &self.truth.tasks {
            let done = self.truth.done.get(id).map_or(0, BTreeSet::len) as u32;
            match self.store.ended(id) {
                Some(JobState::Done) => {
                    assert!(done == *tasks, "{id} is called done with {done} of {tasks}");
                }
                Some(_) => assert!(self.truth.cancelled.contains(id), "{id} was not cancelled"),
                None => assert!(!self.truth.cancelled.contains(id), "{id} was, and is not"),
            }
        }
    }

    fn step(&mut self, troubled: bool) {
        self.now += 0.5;
        let now = self.now;
        let due = |at: f64| at <= now;
        for (_, txn) in self
            .late_writes
            .extract_if(.., |w| due(w.0))
            .collect::<Vec<_>>()
        {
            if matches!(self.store.apply(&txn), Outcome::Applied(_)) {
                self.meet("late write applied");
            } else {
                self.meet("late write turned away");
            }
            self.check();
        }
        for (_, m, o) in self
            .late_orders
            .extract_if(.., |o| due(o.0))
            .collect::<Vec<_>>()
        {
            let executed = self.obey(&m, &o);
            self.meet(if executed {
                "late order executed"
            } else {
                "late order fenced"
            });
        }
        for (_, r) in self
            .late_reports
            .extract_if(.., |r| due(r.0))
            .collect::<Vec<_>>()
        {
            if self.leader.report("other", &r, &[], now).is_some() {
                self.meet("old report taken");
                self.leader.commands(&r, now);
            }
        }
        for at in 0..self.workers.len() {
            for n in 0..self.workers[at].0.tasks.len() {
                // Ends far apart: some at once, some after a minute.
                if self.rng.random_bool(0.03) {
                    let t = &mut self.workers[at].0.tasks[n];
                    if t.2.is_none() {
                        t.2 = Some(Why::Done);
                        let (id, n) = t.0.split_once('/').unwrap();
                        let done = self.truth.done.entry(id.to_string()).or_default();
                        done.insert(n.parse().unwrap());
                    }
                }
            }
            let (w, leased) = &mut self.workers[at];
            if now - *leased > LEASE_S {
                w.session += 1;
                w.tasks.clear();
                *leased = now;
                self.meet("lease ended");
            }
            if troubled && self.chance(0.008) {
                self.cut[at] = now + self.rng.random_range(3.0..30.0);
            }
            if self.cut[at] <= now && (!troubled || self.chance(0.85)) {
                self.beat(at, troubled);
            }
        }
        self.leader.fleet(now);
        if troubled && self.chance(0.03) {
            self.meet("leader ended");
            self.epoch += 1;
            self.leader = self.store.elect(self.epoch, now);
        }
        // What a watch shows, sooner or later.
        if !troubled || self.chance(0.5) {
            for id in self.leader.live_jobs() {
                if self.store.mark(&keys::job(&id)) == 0 {
                    self.leader.remove_job(&id);
                }
            }
        }
        self.leader.audit().unwrap();
        self.check();
    }

    fn submit(&mut self, n: u32) {
        let job = Submission {
            tasks: self.rng.random_range(2..=3),
            ..job(&format!("wk-{n:06}"), 0)
        };
        self.truth.tasks.insert(job.id.clone(), job.tasks);
        submit(&mut self.leader, &mut self.store, &job, self.now);
    }

    fn cancel(&mut self) {
        let live = self.leader.live_jobs();
        if let Some(id) = live.get(self.rng.random_range(0..live.len().max(1)))
            && self.store.ended(id).is_none()
        {
            self.store.cancel(id);
            self.truth.cancelled.insert(id.clone());
        }
    }
}

#[test]
fn nothing_is_doubled_lost_or_invented_when_troubles_meet() {
    let mut met: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in 0..30 {
        let mut w = World::new(seed);
        for n in 0..240 {
            if n % 6 == 0 {
                w.submit(n);
            }
            if n % 20 == 19 {
                w.cancel();
            }
            w.step(true);
        }
        // Troubles are over: every job that was accepted ends, and as it should.
        for _ in 0..800 {
            w.step(false);
        }
        for id in w.truth.tasks.keys() {
            let ended = w.store.ended(id);
            assert!(ended.is_some(), "seed {seed}: {id} never ends");
        }
        for (what, n) in w.met {
            *met.entry(what).or_default() += n;
        }
    }
    // Each meeting was brought about, not once by chance.
    for what in [
        "late write applied",
        "late write turned away",
        "late order executed",
        "late order fenced",
        "old report taken",
        "answer lost",
        "lease ended",
        "leader ended",
    ] {
        let n = met.get(what).copied().unwrap_or_default();
        assert!(n >= 10, "{what}: {n} of {met:?}");
    }
}
