//! Several controllers and machines while the work of one controller goes to another:
//! leaders and holders that end, come back, are cut off or lose sight of cancellations,
//! machines that are mute, deaf or cut off with a controller, late commands and reports.
//! What is asserted is the protocol's.

mod common;

use cherrywood_control::leader::{CloudCall, CommandOutcome, StatusQuery, WriteOutcome};
use cherrywood_control::{Leader, Leadership, LeaseTiming, ShardOwner, keys};
use cherrywood_wire::agent::{DirectCommands, ExitCause, Heartbeat, HeartbeatResponse};
use cherrywood_wire::records::StoredRecord;
use cherrywood_wire::store::Txn;
use cherrywood_wire::user::{JobState, Submission};
use common::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const STEP_S: f64 = 0.25;
const NODES: usize = 3;
const MACHINES: usize = 6;
/// Of these the first are in one zone with controller 0: so many that a silent zone is
/// taken for a cut and not for dead machines.
const ZONE_MACHINES: usize = 3;
/// Tasks that the team's limit allows at once.
const TEAM_TASKS: usize = 8;

/// One controller; what it knows ends with its process.
#[derive(Default)]
struct Node {
    holder: ShardOwner,
    leadership: Leadership,
    leader: Option<Leader>,
    /// Until when it doesn't run, is refused by the state service (or only in what it
    /// watches), and is cut off from the other controllers.
    down: f64,
    refused: f64,
    blind: f64,
    alone: f64,
}

struct Machine {
    worker: Worker,
    /// When the last answered report was sent.
    leased: f64,
    node: usize,
    next: f64,
    /// Until when no report leaves it, and nothing reaches it.
    mute: f64,
    deaf: f64,
}

impl Machine {
    fn new(name: &str, now: f64) -> Machine {
        Machine {
            worker: Worker::new(name),
            leased: now,
            node: 0,
            next: now,
            mute: 0.0,
            deaf: 0.0,
        }
    }
}

/// The leader's key: who holds it, under which lease, until when.
struct Key {
    node: usize,
    lease: u64,
    until: f64,
}

struct World {
    rng: StdRng,
    now: f64,
    timing: LeaseTiming,
    store: Store,
    key: Option<Key>,
    epoch: u64,
    outage: f64,
    nodes: Vec<Node>,
    machines: Vec<Machine>,
    /// Machines were made so far.
    made: usize,
    /// The cloud deletes nothing: only exits, reports and leases prove that a task is gone.
    no_cloud: bool,
    /// Until when the zone is cut off from everything else.
    zone_cut: f64,
    late_orders: Vec<(f64, String, DirectCommands)>,
    /// DirectCommands without an answer: when their leader of this epoch gives up waiting.
    unanswered: Vec<(f64, u64, String, DirectCommands)>,
    late_reports: Vec<(f64, Heartbeat)>,
    for_next: Vec<Heartbeat>,
    cancelled: BTreeMap<String, f64>,
    jobs: Vec<Submission>,
    /// Share of the steps in which a task that runs ends.
    ends: f64,
    met: BTreeMap<&'static str, u32>,
}

impl World {
    fn new(seed: u64, ends: f64) -> World {
        let w = worker_settings();
        let names = 0..MACHINES;
        World {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            timing: LeaseTiming::new(w.lease_s, w.cancel_s),
            store: Store::default(),
            key: None,
            epoch: 0,
            outage: 0.0,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            machines: names
                .map(|n| Machine::new(&format!("vm-{n}"), 0.0))
                .collect(),
            made: MACHINES,
            no_cloud: false,
            zone_cut: 0.0,
            late_orders: Vec::new(),
            unanswered: Vec::new(),
            late_reports: Vec::new(),
            for_next: Vec::new(),
            cancelled: BTreeMap::new(),
            jobs: Vec::new(),
            ends,
            met: BTreeMap::new(),
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn meet(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    fn up(&self, n: usize) -> bool {
        self.nodes[n].down <= self.now
    }

    fn cut(&self) -> bool {
        self.zone_cut > self.now
    }

    /// Does the state service answer this controller?
    fn served(&self, n: usize) -> bool {
        let own = n == 0 && self.cut();
        self.up(n) && self.outage <= self.now && self.nodes[n].refused <= self.now && !own
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        let own = self.cut() && (a == 0) != (b == 0);
        let alone = [a, b].iter().any(|n| self.nodes[*n].alone > self.now);
        a == b || self.up(a) && self.up(b) && !own && !alone
    }

    fn reaches(&self, machine: usize, n: usize) -> bool {
        self.up(n) && !(self.cut() && (machine < ZONE_MACHINES) != (n == 0))
    }

    fn may_act(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        let may_act = node.leadership.may_act(self.now, &self.timing);
        self.up(n) && may_act && node.leader.as_ref().is_some_and(|l| !l.deposed)
    }

    // --- leadership ---

    fn elect(&mut self) {
        let now = self.now;
        if self
            .key
            .as_ref()
            .is_some_and(|k| now > k.until && self.outage <= now)
        {
            self.key = None;
        }
        for n in 0..NODES {
            if !self.served(n) || self.nodes[n].leadership.lease_id() != 0 {
                continue;
            }
            // Its own earlier process held the key: that lease is ended at once.
            let own = self.key.as_ref().is_some_and(|k| k.node == n);
            if self.key.is_some() && !own {
                continue;
            }
            self.epoch += 1;
            let overlap = if own { self.timing.leader_lease_s } else { 0.0 };
            let until = now + self.timing.leader_lease_s;
            let lease = self.epoch;
            self.key = Some(Key {
                node: n,
                lease,
                until,
            });
            let leader = self.store.elect_over(settings(), self.epoch, overlap, now);
            let node = &mut self.nodes[n];
            node.leadership
                .leader_key_acquired(lease, now, &self.timing);
            node.leadership.view_completed(lease, now);
            node.leader = Some(leader);
            self.meet("leader begins");
            for r in std::mem::take(&mut self.for_next) {
                self.copies(&r);
            }
        }
    }

    fn renew(&mut self, n: usize) {
        let lease = self.nodes[n].leadership.lease_id();
        if lease == 0 || !self.served(n) {
            return;
        }
        let (now, timing) = (self.now, self.timing);
        let mine = self.key.as_mut().filter(|k| k.lease == lease);
        let node = &mut self.nodes[n];
        let deposed = node.leader.as_ref().is_some_and(|l| l.deposed);
        match mine {
            Some(key) if !deposed => {
                key.until = now + timing.leader_lease_s;
                node.leadership.lease_renewed(lease, now, &timing);
            }
            _ => {
                node.leadership.leader_key_lost();
                node.leader = None;
                return;
            }
        }
        if node.leadership.renewed_without_view_s(now) > cherrywood_limits::RENEW_WITHOUT_VIEW_MAX_S
        {
            node.leadership.leader_key_lost();
            node.leader = None;
            self.key = None;
            self.meet("blind leader gives up");
            return;
        }
        if node.blind > now {
            return;
        }
        let Some(leader) = &mut node.leader else {
            return;
        };
        for id in leader.live_job_ids() {
            if self.store.revision_of(&keys::job(&id)) == 0 {
                leader.remove_job(&id);
            }
        }
        for (value, mark) in self.store.records.values() {
            if let StoredRecord::Job(j) = value
                && !leader.has_live_job(&j.submission.id)
            {
                leader.add_job((**j).clone(), *mark, now);
            }
        }
        node.leadership.view_completed(lease, now);
    }

    fn execute(&mut self, n: usize, txn: &Txn) -> WriteOutcome {
        match self.served(n) {
            true => self.store.apply(txn),
            false => WriteOutcome::Refused,
        }
    }

    fn lead(&mut self, n: usize) {
        let now = self.now;
        let may_write = self.nodes[n].leadership.may_write(now);
        let Some(mut leader) = self.nodes[n].leader.take_if(|l| may_write && !l.deposed) else {
            return;
        };
        leader.place_pending(now);
        for _ in 0..3 {
            if let Some(batch) = leader.ledger_batch() {
                let outcome = self.execute(n, &batch.txn);
                leader.ledger_batch_done(batch, &outcome);
            }
            if let Some(batch) = leader.job_batch(true, now) {
                let outcome = self.execute(n, &batch.txn);
                leader.job_batch_done(batch, &outcome, now);
            }
            if self.served(n) {
                reread(&mut leader, &self.store);
            }
        }
        self.nodes[n].leader = Some(leader);
        if self.may_act(n) {
            self.order(n);
        }
        let calls = match &mut self.nodes[n].leader {
            Some(l) if ((now / STEP_S) as u64).is_multiple_of(4) => l.autoscale(now),
            _ => Vec::new(),
        };
        for call in calls {
            let CloudCall::Delete(names) = call else {
                continue;
            };
            if self.no_cloud {
                continue;
            }
            self.meet("machines deleted");
            self.machines.retain(|m| !names.contains(&m.worker.name));
            if let Some(l) = &mut self.nodes[n].leader {
                l.machines_deleted(&names, now);
            }
            while self.machines.len() < MACHINES {
                self.made += 1;
                let name = format!("vm-{}", self.made);
                self.machines.push(Machine::new(&name, now));
            }
        }
        if let Some(l) = &self.nodes[n].leader {
            l.audit().unwrap();
        }
    }

    // --- direct commands ---

    fn order(&mut self, n: usize) {
        let now = self.now;
        let Some(l) = &mut self.nodes[n].leader else {
            return;
        };
        let (orders, stops) = (l.due_direct_commands(now), l.due_direct_stops(now));
        let questions = l.due_status_queries(now);
        for (holder, orders) in orders {
            let by = (0..NODES).find(|k| format!("n{k}") == holder).unwrap_or(n);
            for due in orders {
                let (machine, orders) = (due.machine, due.commands);
                let told = match self.linked(n, by) {
                    true => self.deliver(by, &machine, &orders).map(|r| r.is_some()),
                    false => None,
                };
                let Some(l) = &mut self.nodes[n].leader else {
                    continue;
                };
                match told {
                    Some(told) => l.direct_commands_done(&machine, &orders, Some(told).into()),
                    None => {
                        let wait = now + cherrywood_limits::PEER_DIRECT_COMMANDS_TIMEOUT_S;
                        self.unanswered.push((wait, l.term(), machine, orders));
                    }
                }
            }
        }
        for stop in stops {
            if let Some(Some(r)) = self.deliver(n, &stop.machine, &stop.commands) {
                self.meet("stop sent straight to a machine");
                if let Some(l) = &mut self.nodes[n].leader {
                    l.take_direct_status(&r, now);
                }
            }
        }
        for StatusQuery { machine, .. } in questions {
            let at = self.machines.iter().position(|m| m.worker.name == machine);
            let at = at.filter(|at| self.reaches(*at, n) && self.machines[*at].deaf <= now);
            let status = at.map(|at| self.machines[at].worker.report());
            if let Some(l) = &mut self.nodes[n].leader {
                l.status_query_done(&machine, now, status.as_ref(), now);
            }
        }
    }

    /// Some(Some) executed, Some(None) not executed, None unknown.
    fn deliver(
        &mut self,
        by: usize,
        machine: &str,
        orders: &DirectCommands,
    ) -> Option<Option<Heartbeat>> {
        let at = self.machines.iter().position(|m| m.worker.name == machine);
        let Some(at) = at.filter(|at| self.reaches(*at, by)) else {
            return Some(None);
        };
        if self.machines[at].deaf > self.now {
            return None;
        }
        if self.chance(0.15) {
            let late = self.now + self.rng.random_range(2.0..16.0);
            self.late_orders
                .push((late, machine.to_string(), orders.clone()));
            return None;
        }
        let executed = self
            .obey(at, orders)
            .then(|| self.machines[at].worker.report());
        match self.chance(0.9) {
            true => Some(executed),
            false => None,
        }
    }

    fn obey(&mut self, at: usize, orders: &DirectCommands) -> bool {
        let w = &mut self.machines[at].worker;
        let mine = orders.incarnation == w.session && orders.fencing_token >= w.token;
        if mine {
            w.obey(orders.fencing_token, &orders.commands);
        }
        self.check();
        mine
    }

    // --- reports ---

    /// What the controller `n` answers to a report.
    fn answer(&mut self, n: usize, r: &Heartbeat) -> Option<HeartbeatResponse> {
        let now = self.now;
        self.nodes[n].holder.observe_heartbeat(r, now);
        let leader = (0..NODES).find(|k| self.may_act(*k) && self.linked(n, *k));
        let led = leader.and_then(|k| {
            let l = self.nodes[k].leader.as_mut()?;
            let fencing_token = l.take_heartbeat(&format!("n{n}"), r, &[], now)?;
            let commands = l.heartbeat_commands(r, now);
            Some(HeartbeatResponse {
                fencing_token,
                commands,
            })
        });
        let holder = &mut self.nodes[n].holder;
        holder.heartbeat_response(&r.machine, led, now, now, self.timing.shard_lease_s)
    }

    /// An old report arrives at every controller; nobody hears the answers.
    fn copies(&mut self, r: &Heartbeat) {
        self.meet("old report at every controller");
        for n in 0..NODES {
            if self.up(n) {
                self.answer(n, r);
            }
        }
    }

    fn heartbeat(&mut self, at: usize, troubled: bool) {
        let now = self.now;
        if self.machines[at].next > now || self.machines[at].mute > now {
            return;
        }
        self.machines[at].next = now + self.rng.random_range(0.75..1.25);
        let (n, r) = (self.machines[at].node, self.machines[at].worker.report());
        if troubled && self.chance(0.05) {
            let late = now + self.rng.random_range(2.0..30.0);
            self.late_reports.push((late, r.clone()));
        }
        if troubled && self.chance(0.01) {
            self.for_next.push(r.clone());
        }
        let answer = match self.reaches(at, n) {
            true => self.answer(n, &r),
            false => None,
        };
        let lost = self.machines[at].deaf > now || troubled && self.chance(0.05);
        let m = &mut self.machines[at];
        match answer.filter(|a| !lost && a.fencing_token >= m.worker.token) {
            Some(response) => {
                m.worker.obey(response.fencing_token, &response.commands);
                m.leased = now;
            }
            None => {
                m.node = (n + 1) % NODES;
                m.next = now + 1.0;
            }
        }
        self.check();
    }

    fn hellos(&mut self) {
        let now = self.now;
        for n in 0..NODES {
            for k in 0..NODES {
                if n == k || !self.linked(n, k) || !self.may_act(k) {
                    continue;
                }
                let leader = self.nodes[k].leader.as_mut();
                let block = leader.map(|l| l.extend_shard(&format!("n{n}"), now));
                for (machine, token) in block.unwrap_or_default() {
                    let holder = &mut self.nodes[n].holder;
                    holder.lease_granted(&machine, token, now, self.timing.shard_lease_s);
                }
            }
        }
    }

    // --- troubles, and what must hold ---

    fn trouble(&mut self) {
        let now = self.now;
        let n = self.rng.random_range(0..NODES);
        let long = now + self.rng.random_range(1.0..30.0);
        let short = now + self.rng.random_range(0.2..6.0);
        match self.rng.random_range(0..11) {
            0 | 1 => {
                let leads = (0..NODES).find(|k| self.nodes[*k].leader.is_some());
                let n = leads.unwrap_or(n);
                self.end(n, short);
            }
            2 => (0..NODES).for_each(|n| self.end(n, short + n as f64 * 0.5)),
            3 => self.nodes[n].refused = long,
            4 => self.nodes[n].blind = long,
            5 => (self.nodes[n].refused, self.nodes[n].alone) = (long, long),
            6 => {
                // Up to the end of every grant and lease there.
                self.zone_cut = now + self.rng.random_range(5.0..40.0);
                self.meet("zone cut off");
            }
            7 => self.outage = long,
            _ => {
                let at = self.rng.random_range(0..MACHINES);
                let m = &mut self.machines[at];
                match self.rng.random_bool(0.5) {
                    true => m.mute = long,
                    false => m.deaf = long,
                }
                self.meet("mute or deaf machine");
                let name = self.machines[at].worker.name.clone();
                self.cancel_on(|m| m.worker.name == name);
            }
        }
        // Users call off what runs, at that very moment or a second later.
        if self.chance(0.7) {
            self.cancel();
        }
    }

    fn end(&mut self, n: usize, until: f64) {
        let node = &mut self.nodes[n];
        let (refused, blind, alone) = (node.refused, node.blind, node.alone);
        *node = Node {
            down: until,
            refused,
            blind,
            alone,
            ..Node::default()
        };
        self.meet("controller ends");
    }

    fn cancel(&mut self) {
        self.cancel_on(|_| true);
    }

    fn cancel_on(&mut self, on: impl Fn(&Machine) -> bool) {
        if self.outage > self.now {
            return;
        }
        let runs: Vec<&str> = self
            .machines
            .iter()
            .filter(|m| on(m))
            .flat_map(|m| m.worker.tasks.iter().filter(|t| t.is_running()))
            .filter_map(|t| Some(t.task.split_once('/')?.0))
            .filter(|id| self.store.ended(id).is_none())
            .collect();
        if runs.is_empty() {
            return;
        }
        let id = runs[self.rng.random_range(0..runs.len())].to_string();
        self.store.cancel(&id);
        self.cancelled.insert(id, self.now);
        self.meet("cancelled while it runs");
    }

    fn check(&self) {
        let mut on: BTreeMap<&str, u32> = BTreeMap::new();
        for m in &self.machines {
            for t in m.worker.tasks.iter().filter(|t| t.is_running()) {
                *on.entry(&t.task).or_default() += 1;
                let id = t.task.split_once('/').unwrap().0;
                let since = self.cancelled.get(id).map_or(0.0, |at| self.now - at);
                let most = worker_settings().cancel_s;
                assert!(
                    since <= most,
                    "{} on {} {since} s after",
                    t.task,
                    m.worker.name
                );
            }
        }
        let twice: Vec<_> = on.iter().filter(|t| *t.1 > 1).collect();
        assert!(twice.is_empty(), "ran twice at {}: {twice:?}", self.now);
        assert!(on.len() <= TEAM_TASKS, "over the limit: {}", on.len());
    }

    fn step(&mut self, troubled: bool) {
        self.now += STEP_S;
        let now = self.now;
        let due: Vec<_> = self.late_orders.extract_if(.., |o| o.0 <= now).collect();
        for (_, name, orders) in due {
            let at = self.machines.iter().position(|m| m.worker.name == name);
            if let Some(at) = at {
                let executed = self.obey(at, &orders);
                self.meet(if executed {
                    "late order executed"
                } else {
                    "late order fenced"
                });
            }
        }
        let due: Vec<_> = self.unanswered.extract_if(.., |o| o.0 <= now).collect();
        for (_, epoch, machine, orders) in due {
            let leaders = self.nodes.iter_mut().filter_map(|n| n.leader.as_mut());
            for l in leaders.filter(|l| l.term() == epoch) {
                l.direct_commands_done(&machine, &orders, CommandOutcome::Unknown);
            }
        }
        let due: Vec<_> = self.late_reports.extract_if(.., |r| r.0 <= now).collect();
        due.iter().for_each(|(_, r)| self.copies(r));
        if troubled && self.chance(0.03) {
            self.trouble();
        }
        self.elect();
        for n in 0..NODES {
            if self.up(n) {
                self.renew(n);
                self.lead(n);
            }
        }
        for at in 0..self.machines.len() {
            self.live(at);
            self.heartbeat(at, troubled);
        }
        if ((now / STEP_S) as u64).is_multiple_of(4) {
            self.hellos();
        }
    }

    /// A machine's time passes: tasks end, and its lease may.
    fn live(&mut self, at: usize) {
        let m = &mut self.machines[at];
        if self.now - m.leased > worker_settings().lease_s {
            m.worker.session += 1;
            m.worker.tasks.clear();
            m.leased = self.now;
            *self.met.entry("lease ended").or_default() += 1;
        }
        for t in m.worker.tasks.iter_mut().filter(|t| t.is_running()) {
            if self.rng.random_bool(self.ends) {
                t.exit = Some(ExitCause::Done);
            }
        }
    }

    fn submit(&mut self, tasks: u32) {
        let job = job(&format!("wk-{:06}", self.jobs.len()), tasks);
        self.store.accept(&job);
        self.jobs.push(job);
    }

    /// Troubles end; every job ends as it should, and nothing is counted for good.
    fn settle(&mut self, seed: u64) {
        for _ in 0..(200.0 / STEP_S) as u32 {
            self.ends = 0.1;
            self.step(false);
        }
        for job in &self.jobs {
            let ended = self.store.ended(&job.id);
            let expected = match self.cancelled.contains_key(&job.id) {
                true => JobState::Cancelled,
                false => JobState::Done,
            };
            assert_eq!(ended, Some(expected), "seed {seed}: {}", job.id);
        }
        let leads = self.nodes.iter().find_map(|n| n.leader.as_ref());
        assert!(leads.unwrap().placements_held().is_empty(), "seed {seed}");
    }
}

fn brought_about(met: &BTreeMap<&str, u32>, what: &[&str]) {
    for what in what {
        let n = met.get(what).copied().unwrap_or_default();
        assert!(n >= 10, "{what}: {n} of {met:?}");
    }
}

/// Jobs are cancelled in the seconds in which machines go from controller to controller.
#[test]
fn work_cancelled_during_failovers_ends_in_time() {
    let mut met: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in 0..30 {
        let mut w = World::new(seed, 0.004);
        for n in 0..600 {
            if n % 12 == 0 {
                let tasks = w.rng.random_range(1..=3);
                w.submit(tasks);
            }
            w.step(true);
        }
        w.settle(seed);
        for (what, n) in w.met {
            *met.entry(what).or_default() += n;
        }
    }
    brought_about(
        &met,
        &[
            "leader begins",
            "controller ends",
            "blind leader gives up",
            "zone cut off",
            "mute or deaf machine",
            "cancelled while it runs",
            "stop sent straight to a machine",
            "late order executed",
            "late order fenced",
            "old report at every controller",
            "lease ended",
        ],
    );
}

/// Jobs of one task come four a second for two minutes, a quarter of them cancelled: at
/// once, between the ledger and the start, or while they run.
#[test]
fn many_single_task_jobs_with_a_quarter_cancelled_leave_nothing_running() {
    for seed in 0..4 {
        let mut w = World::new(1000 + seed, 0.15);
        for n in 0..480usize {
            w.submit(1);
            if n % 4 == 3 {
                let back = w.rng.random_range(0..12).min(n);
                let id = w.jobs[n - back].id.clone();
                if w.store.ended(&id).is_none() {
                    w.store.cancel(&id);
                    w.cancelled.insert(id, w.now);
                }
            }
            w.step(seed % 2 == 1);
        }
        assert!(w.cancelled.len() > 40, "{}", w.cancelled.len());
        w.settle(seed);
    }
}

// --- one compound failure at a time ---

impl World {
    /// All is well, much runs, and this controller leads.
    fn led_by(seed: u64, leader: usize) -> World {
        let mut w = World::new(seed, 0.004);
        w.no_cloud = true;
        for n in (0..NODES).filter(|n| *n != leader) {
            w.end(n, 2.0);
        }
        for _ in 0..6 {
            w.submit(2);
        }
        w.run(12.0);
        assert!(w.may_act(leader));
        w
    }

    /// No trouble but those that were begun; for so many s.
    fn run(&mut self, s: f64) {
        for _ in 0..(s / STEP_S) as u32 {
            self.step(false);
        }
    }

    /// A job is called off in each of so many s.
    fn run_with_cancels(&mut self, s: u32) {
        for n in 0..s {
            if n % 2 == 0 {
                self.cancel();
            }
            self.submit(1);
            self.run(1.0);
        }
    }
}

/// The leader may be in the zone or outside it.
#[test]
fn a_zone_partitioned_for_longer_than_a_lease_breaks_no_rule() {
    for seed in 0..12 {
        let mut w = World::led_by(seed, seed as usize % 2);
        w.zone_cut = w.now + 45.0;
        w.run_with_cancels(8);
        w.run(40.0);
        w.settle(seed);
        assert!(w.cancelled.len() > 1);
    }
}

#[test]
fn a_leader_partitioned_from_the_others_stops_work_cancelled_by_its_successor_in_time() {
    for seed in 0..12 {
        let mut w = World::led_by(seed, 0);
        let until = w.now + 50.0;
        (w.nodes[0].refused, w.nodes[0].alone) = (until, until);
        w.machines.iter_mut().for_each(|m| m.node = 0);
        w.run_with_cancels(12);
        assert!((1..NODES).any(|n| w.may_act(n)), "another leads");
        w.run(40.0);
        w.settle(seed);
        assert!(w.cancelled.len() > 1);
    }
}

/// Controllers are replaced one after the other, or all end and one returns within a
/// second, while jobs are cancelled.
#[test]
fn repeated_controller_failovers_and_full_outages_break_no_rule() {
    for seed in 0..12u64 {
        let mut w = World::led_by(seed, 0);
        for round in 0..3 {
            for n in 0..NODES {
                w.end(n, w.now + 0.5);
                w.run_with_cancels(2);
            }
            let back = [0.25, 1.0, 12.0][round];
            let later = w.now + back + 8.0;
            (0..NODES).for_each(|n| w.end(n, later));
            w.nodes[seed as usize % NODES].down = w.now + back;
            w.run_with_cancels(6);
        }
        w.settle(seed);
        assert!(w.cancelled.len() > 1);
    }
}
