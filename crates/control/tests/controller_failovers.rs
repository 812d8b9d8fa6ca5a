//! Failovers among several controllers with many machines: leaders and shard owners that fail,
//! restart, are partitioned or no longer see cancellations; machines that send nothing, receive
//! nothing or are partitioned together with a controller; late commands and heartbeats. The
//! assertions are the guarantees of the protocol.

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
const CONTROLLERS: usize = 3;
const MACHINES: usize = 6;
/// The first machines, which are in one zone with controller 0. There are enough of them that
/// a silent zone is taken for a partition and not for failed machines.
const ZONE_MACHINES: usize = 3;
/// Tasks that the team's quota allows at once.
const TEAM_TASKS: usize = 8;

/// One controller, whose state is lost when its process fails.
#[derive(Default)]
struct Controller {
    owner: ShardOwner,
    leadership: Leadership,
    leader: Option<Leader>,
    /// Until when the process does not run.
    down_until: f64,
    /// Until when the key-value store refuses its requests.
    refused_until: f64,
    /// Until when its watches are refused.
    watch_refused_until: f64,
    /// Until when it is partitioned from the other controllers.
    partitioned_until: f64,
}

struct Machine {
    worker: Worker,
    /// When the last heartbeat that got a response was sent.
    leased_at: f64,
    /// The controller that the worker sends heartbeats to.
    controller: usize,
    /// When the next heartbeat is due.
    next_at: f64,
    /// Until when no heartbeat of the machine arrives.
    sends_nothing_until: f64,
    /// Until when nothing arrives at the machine.
    receives_nothing_until: f64,
}

impl Machine {
    fn new(name: &str, now: f64) -> Machine {
        Machine {
            worker: Worker::new(name),
            leased_at: now,
            controller: 0,
            next_at: now,
            sends_nothing_until: 0.0,
            receives_nothing_until: 0.0,
        }
    }
}

/// The leader's key in the key-value store: its controller, its lease and when that expires.
struct Key {
    controller: usize,
    lease: u64,
    until: f64,
}

struct World {
    rng: StdRng,
    now: f64,
    timing: LeaseTiming,
    store: Store,
    key: Option<Key>,
    term: u64,
    outage_until: f64,
    controllers: Vec<Controller>,
    machines: Vec<Machine>,
    /// Number of machines made so far.
    machines_made: usize,
    /// Whether the cloud deletes nothing, so that only exits, heartbeats and expired leases prove
    /// that a task is gone.
    is_deletion_disabled: bool,
    /// Until when the zone is partitioned from everything else.
    zone_partitioned_until: f64,
    late_commands: Vec<(f64, String, DirectCommands)>,
    /// Direct commands without a response: when their leader, of this term, stops waiting, the
    /// term, the machine and the commands.
    awaited_commands: Vec<(f64, u64, String, DirectCommands)>,
    late_heartbeats: Vec<(f64, Heartbeat)>,
    /// Heartbeats that arrive once more at every controller right after the next election.
    heartbeats_for_next_leader: Vec<Heartbeat>,
    /// Cancelled jobs, with the time of the cancellation.
    cancelled: BTreeMap<String, f64>,
    jobs: Vec<Submission>,
    /// Probability that a running task completes in a step.
    completion_rate: f64,
    /// How often each event occurred.
    events: BTreeMap<&'static str, u32>,
}

impl World {
    fn new(seed: u64, completion_rate: f64) -> World {
        let world = worker_settings();
        let names = 0..MACHINES;
        World {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            timing: LeaseTiming::new(world.lease_s, world.cancel_s),
            store: Store::default(),
            key: None,
            term: 0,
            outage_until: 0.0,
            controllers: (0..CONTROLLERS).map(|_| Controller::default()).collect(),
            machines: names
                .map(|n| Machine::new(&format!("vm-{n}"), 0.0))
                .collect(),
            machines_made: MACHINES,
            is_deletion_disabled: false,
            zone_partitioned_until: 0.0,
            late_commands: Vec::new(),
            awaited_commands: Vec::new(),
            late_heartbeats: Vec::new(),
            heartbeats_for_next_leader: Vec::new(),
            cancelled: BTreeMap::new(),
            jobs: Vec::new(),
            completion_rate,
            events: BTreeMap::new(),
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn record(&mut self, what: &'static str) {
        *self.events.entry(what).or_default() += 1;
    }

    fn is_up(&self, n: usize) -> bool {
        self.controllers[n].down_until <= self.now
    }

    fn is_zone_partitioned(&self) -> bool {
        self.zone_partitioned_until > self.now
    }

    /// Whether the key-value store serves this controller.
    fn is_served(&self, n: usize) -> bool {
        let is_cut_off = n == 0 && self.is_zone_partitioned();
        self.is_up(n)
            && self.outage_until <= self.now
            && self.controllers[n].refused_until <= self.now
            && !is_cut_off
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        let are_separated = self.is_zone_partitioned() && (a == 0) != (b == 0);
        let is_partitioned = [a, b]
            .iter()
            .any(|n| self.controllers[*n].partitioned_until > self.now);
        a == b || self.is_up(a) && self.is_up(b) && !are_separated && !is_partitioned
    }

    fn can_reach(&self, machine: usize, n: usize) -> bool {
        self.is_up(n) && !(self.is_zone_partitioned() && (machine < ZONE_MACHINES) != (n == 0))
    }

    fn may_act(&self, n: usize) -> bool {
        let controller = &self.controllers[n];
        let may_act = controller.leadership.may_act(self.now, &self.timing);
        self.is_up(n)
            && may_act
            && controller
                .leader
                .as_ref()
                .is_some_and(|leader| !leader.deposed)
    }

    // --- leadership ---

    fn elect(&mut self) {
        let now = self.now;
        if self
            .key
            .as_ref()
            .is_some_and(|k| now > k.until && self.outage_until <= now)
        {
            self.key = None;
        }
        for n in 0..CONTROLLERS {
            if !self.is_served(n) || self.controllers[n].leadership.lease_id() != 0 {
                continue;
            }
            // If an earlier process of this controller held the key, that lease is ended at once.
            let was_held_before = self.key.as_ref().is_some_and(|k| k.controller == n);
            if self.key.is_some() && !was_held_before {
                continue;
            }
            self.term += 1;
            let overlap = if was_held_before {
                self.timing.leader_lease_s
            } else {
                0.0
            };
            let until = now + self.timing.leader_lease_s;
            let lease = self.term;
            self.key = Some(Key {
                controller: n,
                lease,
                until,
            });
            let leader = self
                .store
                .elect_with_overlap(settings(), self.term, overlap, now);
            let controller = &mut self.controllers[n];
            controller
                .leadership
                .leader_key_acquired(lease, now, &self.timing);
            controller.leadership.view_completed(lease, now);
            controller.leader = Some(leader);
            self.record("leader elected");
            for r in std::mem::take(&mut self.heartbeats_for_next_leader) {
                self.deliver_to_all(&r);
            }
        }
    }

    fn renew(&mut self, n: usize) {
        let lease = self.controllers[n].leadership.lease_id();
        if lease == 0 || !self.is_served(n) {
            return;
        }
        let (now, timing) = (self.now, self.timing);
        let own_key = self.key.as_mut().filter(|k| k.lease == lease);
        let controller = &mut self.controllers[n];
        let deposed = controller.leader.as_ref().is_some_and(|l| l.deposed);
        match own_key {
            Some(key) if !deposed => {
                key.until = now + timing.leader_lease_s;
                controller.leadership.lease_renewed(lease, now, &timing);
            }
            _ => {
                controller.leadership.leader_key_lost();
                controller.leader = None;
                return;
            }
        }
        if controller.leadership.renewed_without_view_s(now)
            > cherrywood_limits::RENEW_WITHOUT_VIEW_MAX_S
        {
            controller.leadership.leader_key_lost();
            controller.leader = None;
            self.key = None;
            self.record("leader without a view gives up its lease");
            return;
        }
        if controller.watch_refused_until > now {
            return;
        }
        let Some(leader) = &mut controller.leader else {
            return;
        };
        for id in leader.live_job_ids() {
            if self.store.revision_of(&keys::job(&id)) == 0 {
                leader.remove_job(&id);
            }
        }
        for (value, revision) in self.store.records.values() {
            if let StoredRecord::Job(j) = value
                && !leader.has_live_job(&j.submission.id)
            {
                leader.add_job((**j).clone(), *revision, now);
            }
        }
        controller.leadership.view_completed(lease, now);
    }

    fn execute_transaction(&mut self, n: usize, txn: &Txn) -> WriteOutcome {
        match self.is_served(n) {
            true => self.store.apply(txn),
            false => WriteOutcome::Refused,
        }
    }

    fn lead(&mut self, n: usize) {
        let now = self.now;
        let may_write = self.controllers[n].leadership.may_write(now);
        let Some(mut leader) = self.controllers[n]
            .leader
            .take_if(|l| may_write && !l.deposed)
        else {
            return;
        };
        leader.place_pending(now);
        for _ in 0..3 {
            if let Some(batch) = leader.ledger_batch() {
                let outcome = self.execute_transaction(n, &batch.txn);
                leader.ledger_batch_done(batch, &outcome);
            }
            if let Some(batch) = leader.job_batch(true, now) {
                let outcome = self.execute_transaction(n, &batch.txn);
                leader.job_batch_done(batch, &outcome, now);
            }
            if self.is_served(n) {
                reread(&mut leader, &self.store);
            }
        }
        self.controllers[n].leader = Some(leader);
        if self.may_act(n) {
            self.send_direct_commands(n);
        }
        let calls = match &mut self.controllers[n].leader {
            Some(l) if ((now / STEP_S) as u64).is_multiple_of(4) => l.autoscale(now),
            _ => Vec::new(),
        };
        for call in calls {
            let CloudCall::Delete(names) = call else {
                continue;
            };
            if self.is_deletion_disabled {
                continue;
            }
            self.record("machines deleted");
            self.machines.retain(|m| !names.contains(&m.worker.name));
            if let Some(l) = &mut self.controllers[n].leader {
                l.machines_deleted(&names, now);
            }
            while self.machines.len() < MACHINES {
                self.machines_made += 1;
                let name = format!("vm-{}", self.machines_made);
                self.machines.push(Machine::new(&name, now));
            }
        }
        if let Some(l) = &self.controllers[n].leader {
            l.audit().unwrap();
        }
    }

    // --- direct commands ---

    fn send_direct_commands(&mut self, n: usize) {
        let now = self.now;
        let Some(leader) = &mut self.controllers[n].leader else {
            return;
        };
        let (commands, stops) = (
            leader.due_direct_commands(now),
            leader.due_direct_stops(now),
        );
        let queries = leader.due_status_queries(now);
        for (owner, commands) in commands {
            let by = (0..CONTROLLERS)
                .find(|k| format!("n{k}") == owner)
                .unwrap_or(n);
            for due in commands {
                let (machine, commands) = (due.machine, due.commands);
                let executed = match self.are_linked(n, by) {
                    true => self.deliver(by, &machine, &commands).map(|r| r.is_some()),
                    false => None,
                };
                let Some(leader) = &mut self.controllers[n].leader else {
                    continue;
                };
                match executed {
                    Some(executed) => {
                        leader.direct_commands_done(&machine, &commands, Some(executed).into());
                    }
                    None => {
                        let wait = now + cherrywood_limits::PEER_DIRECT_COMMANDS_TIMEOUT_S;
                        self.awaited_commands
                            .push((wait, leader.term(), machine, commands));
                    }
                }
            }
        }
        for stop in stops {
            if let Some(Some(r)) = self.deliver(n, &stop.machine, &stop.commands) {
                self.record("direct stop executed");
                if let Some(leader) = &mut self.controllers[n].leader {
                    leader.take_direct_status(&r, now);
                }
            }
        }
        for StatusQuery { machine, .. } in queries {
            let at = self.machines.iter().position(|m| m.worker.name == machine);
            let at = at.filter(|at| {
                self.can_reach(*at, n) && self.machines[*at].receives_nothing_until <= now
            });
            let status = at.map(|at| self.machines[at].worker.next_heartbeat());
            if let Some(leader) = &mut self.controllers[n].leader {
                leader.status_query_done(&machine, now, status.as_ref(), now);
            }
        }
    }

    /// Sends direct commands to a machine. Returns `Some(Some(_))` if they were executed,
    /// `Some(None)` if not, and `None` if the sender does not learn it.
    fn deliver(
        &mut self,
        by: usize,
        machine: &str,
        commands: &DirectCommands,
    ) -> Option<Option<Heartbeat>> {
        let at = self.machines.iter().position(|m| m.worker.name == machine);
        let Some(at) = at.filter(|at| self.can_reach(*at, by)) else {
            return Some(None);
        };
        if self.machines[at].receives_nothing_until > self.now {
            return None;
        }
        if self.chance(0.15) {
            let late = self.now + self.rng.random_range(2.0..16.0);
            self.late_commands
                .push((late, machine.to_string(), commands.clone()));
            return None;
        }
        let executed = self
            .execute_commands(at, commands)
            .then(|| self.machines[at].worker.next_heartbeat());
        match self.chance(0.9) {
            true => Some(executed),
            false => None,
        }
    }

    fn execute_commands(&mut self, at: usize, commands: &DirectCommands) -> bool {
        let worker = &mut self.machines[at].worker;
        let is_valid = commands.incarnation == worker.incarnation
            && commands.fencing_token >= worker.fencing_token;
        if is_valid {
            worker.execute_commands(commands.fencing_token, &commands.commands);
        }
        self.check();
        is_valid
    }

    // --- heartbeats ---

    /// Returns the response of controller `n` to a heartbeat.
    fn respond(&mut self, n: usize, heartbeat: &Heartbeat) -> Option<HeartbeatResponse> {
        let now = self.now;
        self.controllers[n].owner.observe_heartbeat(heartbeat, now);
        let leader = (0..CONTROLLERS).find(|k| self.may_act(*k) && self.are_linked(n, *k));
        let led = leader.and_then(|k| {
            let l = self.controllers[k].leader.as_mut()?;
            let fencing_token = l.take_heartbeat(&format!("n{n}"), heartbeat, &[], now)?;
            let commands = l.heartbeat_commands(heartbeat, now);
            Some(HeartbeatResponse {
                fencing_token,
                commands,
            })
        });
        let owner = &mut self.controllers[n].owner;
        let (machine, seen) = (&heartbeat.machine, heartbeat.fencing_token);
        owner.heartbeat_response(machine, seen, led, now, now, self.timing.shard_lease_s)
    }

    /// Delivers an old heartbeat to every controller; the responses are lost.
    fn deliver_to_all(&mut self, heartbeat: &Heartbeat) {
        self.record("old heartbeat at every controller");
        for n in 0..CONTROLLERS {
            if self.is_up(n) {
                self.respond(n, heartbeat);
            }
        }
    }

    fn heartbeat(&mut self, at: usize, with_faults: bool) {
        let now = self.now;
        if self.machines[at].next_at > now || self.machines[at].sends_nothing_until > now {
            return;
        }
        self.machines[at].next_at = now + self.rng.random_range(0.75..1.25);
        let (n, r) = (
            self.machines[at].controller,
            self.machines[at].worker.next_heartbeat(),
        );
        if with_faults && self.chance(0.05) {
            let late = now + self.rng.random_range(2.0..30.0);
            self.late_heartbeats.push((late, r.clone()));
        }
        if with_faults && self.chance(0.01) {
            self.heartbeats_for_next_leader.push(r.clone());
        }
        let response = match self.can_reach(at, n) {
            true => self.respond(n, &r),
            false => None,
        };
        let lost =
            self.machines[at].receives_nothing_until > now || with_faults && self.chance(0.05);
        let m = &mut self.machines[at];
        match response.filter(|a| !lost && a.fencing_token >= m.worker.fencing_token) {
            Some(response) => {
                m.worker
                    .execute_commands(response.fencing_token, &response.commands);
                m.leased_at = now;
            }
            None => {
                m.controller = (n + 1) % CONTROLLERS;
                m.next_at = now + 1.0;
            }
        }
        self.check();
    }

    fn exchange_hellos(&mut self) {
        let now = self.now;
        for n in 0..CONTROLLERS {
            for k in 0..CONTROLLERS {
                if n == k || !self.are_linked(n, k) || !self.may_act(k) {
                    continue;
                }
                let leader = self.controllers[k].leader.as_mut();
                let leases = leader.map(|l| l.extend_shard(&format!("n{n}"), now));
                for (machine, token) in leases.unwrap_or_default() {
                    let owner = &mut self.controllers[n].owner;
                    owner.lease_granted(&machine, token, now, self.timing.shard_lease_s);
                }
            }
        }
    }

    // --- fault injection and invariants ---

    fn inject_fault(&mut self) {
        let now = self.now;
        let n = self.rng.random_range(0..CONTROLLERS);
        let long_until = now + self.rng.random_range(1.0..30.0);
        let short_until = now + self.rng.random_range(0.2..6.0);
        match self.rng.random_range(0..11) {
            0 | 1 => {
                let leads = (0..CONTROLLERS).find(|k| self.controllers[*k].leader.is_some());
                let n = leads.unwrap_or(n);
                self.fail_controller(n, short_until);
            }
            2 => {
                (0..CONTROLLERS)
                    .for_each(|n| self.fail_controller(n, short_until + n as f64 * 0.5));
            }
            3 => self.controllers[n].refused_until = long_until,
            4 => self.controllers[n].watch_refused_until = long_until,
            5 => {
                self.controllers[n].refused_until = long_until;
                self.controllers[n].partitioned_until = long_until;
            }
            6 => {
                // Up to the expiry of every shard lease and worker lease there.
                self.zone_partitioned_until = now + self.rng.random_range(5.0..40.0);
                self.record("zone partitioned");
            }
            7 => self.outage_until = long_until,
            _ => {
                let at = self.rng.random_range(0..MACHINES);
                let m = &mut self.machines[at];
                match self.rng.random_bool(0.5) {
                    true => m.sends_nothing_until = long_until,
                    false => m.receives_nothing_until = long_until,
                }
                self.record("one-way partition of a machine");
                let name = self.machines[at].worker.name.clone();
                self.cancel_on(|m| m.worker.name == name);
            }
        }
        // Users cancel running jobs while the fault lasts.
        if self.chance(0.7) {
            self.cancel();
        }
    }

    fn fail_controller(&mut self, n: usize, until: f64) {
        let controller = &mut self.controllers[n];
        let (refused_until, watch_refused_until, partitioned_until) = (
            controller.refused_until,
            controller.watch_refused_until,
            controller.partitioned_until,
        );
        *controller = Controller {
            down_until: until,
            refused_until,
            watch_refused_until,
            partitioned_until,
            ..Controller::default()
        };
        self.record("controller failed");
    }

    fn cancel(&mut self) {
        self.cancel_on(|_| true);
    }

    fn cancel_on(&mut self, on: impl Fn(&Machine) -> bool) {
        if self.outage_until > self.now {
            return;
        }
        let running: Vec<&str> = self
            .machines
            .iter()
            .filter(|m| on(m))
            .flat_map(|m| m.worker.tasks.iter().filter(|t| t.is_running()))
            .filter_map(|t| Some(t.task.split_once('/')?.0))
            .filter(|id| self.store.final_state(id).is_none())
            .collect();
        if running.is_empty() {
            return;
        }
        let id = running[self.rng.random_range(0..running.len())].to_string();
        self.store.cancel(&id);
        self.cancelled.insert(id, self.now);
        self.record("job cancelled while it runs");
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
                    "{} runs on {} {since} s after its cancellation",
                    t.task,
                    m.worker.name
                );
            }
        }
        let duplicated: Vec<_> = on.iter().filter(|t| *t.1 > 1).collect();
        assert!(
            duplicated.is_empty(),
            "ran twice at {}: {duplicated:?}",
            self.now
        );
        assert!(
            on.len() <= TEAM_TASKS,
            "over the team's quota: {}",
            on.len()
        );
    }

    fn step(&mut self, with_faults: bool) {
        self.now += STEP_S;
        let now = self.now;
        let due: Vec<_> = self.late_commands.extract_if(.., |o| o.0 <= now).collect();
        for (_, name, commands) in due {
            let at = self.machines.iter().position(|m| m.worker.name == name);
            if let Some(at) = at {
                let executed = self.execute_commands(at, &commands);
                self.record(if executed {
                    "late command executed"
                } else {
                    "late command fenced"
                });
            }
        }
        let due: Vec<_> = self
            .awaited_commands
            .extract_if(.., |o| o.0 <= now)
            .collect();
        for (_, term, machine, commands) in due {
            let leaders = self
                .controllers
                .iter_mut()
                .filter_map(|n| n.leader.as_mut());
            for leader in leaders.filter(|leader| leader.term() == term) {
                leader.direct_commands_done(&machine, &commands, CommandOutcome::Unknown);
            }
        }
        let due: Vec<_> = self
            .late_heartbeats
            .extract_if(.., |r| r.0 <= now)
            .collect();
        due.iter().for_each(|(_, r)| self.deliver_to_all(r));
        if with_faults && self.chance(0.03) {
            self.inject_fault();
        }
        self.elect();
        for n in 0..CONTROLLERS {
            if self.is_up(n) {
                self.renew(n);
                self.lead(n);
            }
        }
        for at in 0..self.machines.len() {
            self.advance_machine(at);
            self.heartbeat(at, with_faults);
        }
        if ((now / STEP_S) as u64).is_multiple_of(4) {
            self.exchange_hellos();
        }
    }

    /// Advances one machine: its lease may expire, and running tasks may complete.
    fn advance_machine(&mut self, at: usize) {
        let m = &mut self.machines[at];
        if self.now - m.leased_at > worker_settings().lease_s {
            m.worker.incarnation += 1;
            m.worker.tasks.clear();
            m.leased_at = self.now;
            *self.events.entry("lease expired").or_default() += 1;
        }
        for t in m.worker.tasks.iter_mut().filter(|t| t.is_running()) {
            if self.rng.random_bool(self.completion_rate) {
                t.exit = Some(ExitCause::Done);
            }
        }
    }

    fn submit(&mut self, tasks: u32) {
        let job = job(&format!("wk-{:06}", self.jobs.len()), tasks);
        self.store.accept(&job);
        self.jobs.push(job);
    }

    /// Runs without further faults, then asserts that every job has its expected final state
    /// and no placement remains.
    fn settle(&mut self, seed: u64) {
        for _ in 0..(200.0 / STEP_S) as u32 {
            self.completion_rate = 0.1;
            self.step(false);
        }
        for job in &self.jobs {
            let ended = self.store.final_state(&job.id);
            let expected = match self.cancelled.contains_key(&job.id) {
                true => JobState::Cancelled,
                false => JobState::Done,
            };
            assert_eq!(ended, Some(expected), "seed {seed}: {}", job.id);
        }
        let leads = self.controllers.iter().find_map(|n| n.leader.as_ref());
        assert!(leads.unwrap().placements_held().is_empty(), "seed {seed}");
    }
}

fn assert_occurred(events: &BTreeMap<&str, u32>, what: &[&str]) {
    for what in what {
        let n = events.get(what).copied().unwrap_or_default();
        assert!(n >= 10, "{what}: {n} of {events:?}");
    }
}

/// Jobs are cancelled in the seconds in which machines move from one controller to another.
#[test]
fn jobs_cancelled_during_failovers_stop_within_cancel_s() {
    let mut events: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in 0..30 {
        let mut world = World::new(seed, 0.004);
        for n in 0..600 {
            if n % 12 == 0 {
                let tasks = world.rng.random_range(1..=3);
                world.submit(tasks);
            }
            world.step(true);
        }
        world.settle(seed);
        for (what, n) in world.events {
            *events.entry(what).or_default() += n;
        }
    }
    assert_occurred(
        &events,
        &[
            "leader elected",
            "controller failed",
            "leader without a view gives up its lease",
            "zone partitioned",
            "one-way partition of a machine",
            "job cancelled while it runs",
            "direct stop executed",
            "late command executed",
            "late command fenced",
            "old heartbeat at every controller",
            "lease expired",
        ],
    );
}

/// Four jobs of one task are submitted per second for two minutes. A quarter of them are
/// cancelled: at once, between the ledger write and the start, or while they run.
#[test]
fn many_single_task_jobs_with_a_quarter_cancelled_leave_nothing_running() {
    for seed in 0..4 {
        let mut world = World::new(1000 + seed, 0.15);
        for n in 0..480usize {
            world.submit(1);
            if n % 4 == 3 {
                let back = world.rng.random_range(0..12).min(n);
                let id = world.jobs[n - back].id.clone();
                if world.store.final_state(&id).is_none() {
                    world.store.cancel(&id);
                    world.cancelled.insert(id, world.now);
                }
            }
            world.step(seed % 2 == 1);
        }
        assert!(world.cancelled.len() > 40, "{}", world.cancelled.len());
        world.settle(seed);
    }
}

// --- one compound failure at a time ---

impl World {
    /// A world without faults in which several jobs run and this controller leads.
    fn led_by(seed: u64, leader: usize) -> World {
        let mut world = World::new(seed, 0.004);
        world.is_deletion_disabled = true;
        for n in (0..CONTROLLERS).filter(|n| *n != leader) {
            world.fail_controller(n, 2.0);
        }
        for _ in 0..6 {
            world.submit(2);
        }
        world.run(12.0);
        assert!(world.may_act(leader));
        world
    }

    /// Runs for `duration_s` without new faults; those already injected last as set.
    fn run(&mut self, duration_s: f64) {
        for _ in 0..(duration_s / STEP_S) as u32 {
            self.step(false);
        }
    }

    /// Runs for `seconds`, submitting a job each second and cancelling one every other second.
    fn run_with_cancels(&mut self, seconds: u32) {
        for n in 0..seconds {
            if n % 2 == 0 {
                self.cancel();
            }
            self.submit(1);
            self.run(1.0);
        }
    }
}

/// The leader is inside the partitioned zone or outside it, depending on the seed.
#[test]
fn a_zone_partitioned_for_longer_than_a_lease_breaks_no_rule() {
    for seed in 0..12 {
        let mut world = World::led_by(seed, seed as usize % 2);
        world.zone_partitioned_until = world.now + 45.0;
        world.run_with_cancels(8);
        world.run(40.0);
        world.settle(seed);
        assert!(world.cancelled.len() > 1);
    }
}

#[test]
fn a_leader_partitioned_from_the_others_stops_work_cancelled_by_its_successor_in_time() {
    for seed in 0..12 {
        let mut world = World::led_by(seed, 0);
        let until = world.now + 50.0;
        (
            world.controllers[0].refused_until,
            world.controllers[0].partitioned_until,
        ) = (until, until);
        world.machines.iter_mut().for_each(|m| m.controller = 0);
        world.run_with_cancels(12);
        assert!((1..CONTROLLERS).any(|n| world.may_act(n)), "another leads");
        world.run(40.0);
        world.settle(seed);
        assert!(world.cancelled.len() > 1);
    }
}

/// While jobs are cancelled, controllers fail one after the other, or all fail and one is back
/// after 0.25, 1 or 12 s.
#[test]
fn repeated_controller_failovers_and_full_outages_break_no_rule() {
    for seed in 0..12u64 {
        let mut world = World::led_by(seed, 0);
        for round in 0..3 {
            for n in 0..CONTROLLERS {
                world.fail_controller(n, world.now + 0.5);
                world.run_with_cancels(2);
            }
            let back = [0.25, 1.0, 12.0][round];
            let later = world.now + back + 8.0;
            (0..CONTROLLERS).for_each(|n| world.fail_controller(n, later));
            world.controllers[seed as usize % CONTROLLERS].down_until = world.now + back;
            world.run_with_cancels(6);
        }
        world.settle(seed);
        assert!(world.cancelled.len() > 1);
    }
}
