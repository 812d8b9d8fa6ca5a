//! A rented machine and its worker's state: tasks, images, lease, token. A state machine
//! without I/O; all times are seconds of its own clock.

use cherrywood_checker::history::Off;
use cherrywood_scenario::deployment::MachineType;
use cherrywood_wire::agent::{
    Command, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use std::collections::BTreeMap;

/// The platform's definition of a task, from the job that its user uploaded.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskSpec {
    pub job: String,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub image: String,
    pub image_gb: f64,
    /// True run time of this task at ordinary speed, s; a task with `None` runs until
    /// stopped.
    pub run_s: Option<f64>,
    pub checkpoint_s: f64,
    pub save_s: f64,
    /// The job was submitted with a mistake: its tasks fail on every machine.
    pub mistaken: bool,
    /// Progress kept outside machines, s, and whether the task is finished.
    pub saved_s: f64,
    pub finished: bool,
}

/// An event on a machine, for the history or the progress kept outside.
#[derive(Debug, Clone, PartialEq)]
pub enum MachineEvent {
    Starts {
        task: String,
        attempt: u64,
    },
    On {
        task: String,
        attempt: u64,
    },
    Stops {
        task: String,
    },
    Off {
        task: String,
        attempt: u64,
        why: Off,
        kept_s: f64,
    },
    /// A task ended while it was fetching its image.
    Dropped {
        task: String,
        attempt: u64,
    },
    /// The cloud gave notice that it will reclaim the machine.
    Notice,
    LeaseEnds,
    /// Progress of the task was saved outside the machine.
    Saved {
        task: String,
        progress_s: f64,
        finished: bool,
    },
}

#[derive(Debug)]
struct Task {
    id: String,
    attempt: u64,
    state: TaskState,
    exit_cause: Option<ExitCause>,
    checkpoint_saved: Option<bool>,
    spec: TaskSpec,
    /// Run time completed, s, and the part that was saved before this attempt.
    progress: f64,
    kept_before: f64,
    /// Time at which the checkpoint being saved is complete.
    save_until: f64,
    /// Time at which the task fails, if it is to fail.
    fails_at: Option<f64>,
}

#[derive(Debug)]
struct Image {
    gb: f64,
    /// GB still to fetch; 0 for a cached image.
    remaining_gb: f64,
    last_used: f64,
}

/// Properties that vary between machines and over time.
#[derive(Debug, Clone, Copy)]
pub struct Traits {
    pub speed: f64,
    pub fetch_gb_per_s: f64,
    pub fetch_shared: bool,
    /// Factor by which the machine runs its tasks slower.
    pub slowdown: f64,
    /// Whether every task that starts here fails.
    pub faulty: bool,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: String,
    pub kind: MachineType,
    pub zone: String,
    pub spot: bool,
    pub traits: Traits,
    lease_s: f64,
    pub incarnation: u64,
    sequence: u64,
    pub token: u64,
    /// Time on this clock at which the cloud reclaims the machine.
    reclaim_at: Option<f64>,
    tasks: Vec<Task>,
    images: BTreeMap<String, Image>,
    /// Time from which the lease counts.
    lease_from: f64,
    advanced_to: f64,
    token_reported_at: f64,
    /// Whether a change should be reported before the next regular heartbeat.
    pub changed: bool,
    events: Vec<MachineEvent>,
}

/// Seconds after which a task that is to fail does so.
const FAILS_AFTER_S: f64 = 2.0;
/// Tolerance for the rounding error of sums of decimal numbers.
const ROUNDING: f64 = 1e-6;

impl Machine {
    #[expect(
        clippy::too_many_arguments,
        reason = "each argument is a property of the machine"
    )]
    pub fn new(
        name: &str,
        addr: String,
        kind: MachineType,
        zone: &str,
        spot: bool,
        traits: Traits,
        lease_s: f64,
        now: f64,
    ) -> Machine {
        Machine {
            name: name.to_string(),
            addr,
            kind,
            zone: zone.to_string(),
            spot,
            traits,
            lease_s,
            incarnation: 1,
            sequence: 0,
            token: 0,
            reclaim_at: None,
            tasks: Vec::new(),
            images: BTreeMap::new(),
            lease_from: now,
            advanced_to: now,
            token_reported_at: f64::NEG_INFINITY,
            changed: false,
            events: Vec::new(),
        }
    }

    pub fn take_events(&mut self) -> Vec<MachineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of running or saving tasks, and of tasks that wait for an image.
    pub fn task_counts(&self) -> (usize, usize) {
        let of = |s: &[TaskState]| self.tasks.iter().filter(|t| s.contains(&t.state)).count();
        (
            of(&[TaskState::Running, TaskState::Saving]),
            of(&[TaskState::Fetching]),
        )
    }

    /// Returns the running tasks and the seconds that each needs at least; `None` for those
    /// that run until stopped.
    pub fn running(&self) -> Vec<(String, Option<f64>)> {
        let running = self.tasks.iter().filter(|t| t.state == TaskState::Running);
        let left = |t: &Task| t.spec.run_s.map(|run_s| run_s - t.progress);
        running.map(|t| (t.id.clone(), left(t))).collect()
    }

    /// Returns this worker's next heartbeat.
    pub fn heartbeat(&mut self, now: f64) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: self.addr.clone(),
            machine_type: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.token,
            spot_notice_s: self.reclaim_at.map(|t| (t - now).max(0.0)),
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.id.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    exit_cause: t.exit_cause,
                    checkpoint_saved: t.checkpoint_saved,
                })
                .collect(),
        }
    }

    /// Handles the response to the heartbeat that was sent at `sent` in `incarnation`. Returns
    /// false if the response had to be dropped.
    pub fn handle_response(
        &mut self,
        response: &HeartbeatResponse,
        incarnation: u64,
        sent: f64,
        now: f64,
        spec: &mut dyn FnMut(&str) -> Option<TaskSpec>,
    ) -> bool {
        self.advance(now);
        if incarnation != self.incarnation || response.fencing_token < self.token {
            return false;
        }
        self.lease_from = self.lease_from.max(sent);
        self.observe_token(response.fencing_token, now);
        for c in &response.commands {
            self.execute(c, now, spec);
        }
        self.advance(now);
        true
    }

    /// Handles `POST /orders`; returns false if nothing was executed.
    pub fn handle_direct_commands(
        &mut self,
        direct: &DirectCommands,
        now: f64,
        spec: &mut dyn FnMut(&str) -> Option<TaskSpec>,
    ) -> bool {
        self.advance(now);
        if direct.fencing_token < self.token || direct.incarnation != self.incarnation {
            return false;
        }
        self.observe_token(direct.fencing_token, now);
        for c in &direct.commands {
            self.execute(c, now, spec);
        }
        self.advance(now);
        true
    }

    fn observe_token(&mut self, token: u64, now: f64) {
        if token > self.token {
            self.token = token;
            // Reported early at most once per half lease.
            if now - self.token_reported_at >= self.lease_s / 2.0 {
                self.token_reported_at = now;
                self.changed = true;
            }
        }
    }

    fn execute(&mut self, c: &Command, now: f64, spec: &mut dyn FnMut(&str) -> Option<TaskSpec>) {
        match c {
            Command::Start { task, attempt } => self.start(task, *attempt, now, spec),
            Command::Stop {
                task,
                attempt,
                grace_s,
            } => self.stop(task, *attempt, *grace_s, now),
            Command::Forget { task, attempt } => {
                let over = |t: &Task| {
                    t.id == *task && t.attempt == *attempt && t.state == TaskState::Exited
                };
                let before = self.tasks.len();
                self.tasks.retain(|t| !over(t));
                self.changed |= self.tasks.len() != before;
            }
        }
    }

    fn start(
        &mut self,
        id: &str,
        attempt: u64,
        now: f64,
        spec: &mut dyn FnMut(&str) -> Option<TaskSpec>,
    ) {
        if self
            .tasks
            .iter()
            .any(|t| t.id == id && t.attempt == attempt)
        {
            return;
        }
        self.changed = true;
        let known = spec(id);
        let live = |t: &&Task| t.state != TaskState::Exited;
        let refusal = match &known {
            None => Some(ExitCause::Unknown),
            Some(_) if self.tasks.iter().filter(live).any(|t| t.id == id) => Some(ExitCause::InUse),
            Some(s) => {
                let sum = |of: fn(&TaskSpec) -> f64| -> f64 {
                    self.tasks.iter().filter(live).map(|t| of(&t.spec)).sum()
                };
                let k = &self.kind;
                let full = sum(|s| s.cpus) + s.cpus > k.cpus + ROUNDING
                    || sum(|s| s.gpus) + s.gpus > k.gpus + ROUNDING
                    || sum(|s| s.ram_gb) + s.ram_gb > k.ram_gb + ROUNDING;
                full.then_some(ExitCause::NoRoom)
            }
        };
        let empty = || TaskSpec {
            job: String::new(),
            tasks: 0,
            cpus: 0.0,
            gpus: 0.0,
            ram_gb: 0.0,
            image: String::new(),
            image_gb: 0.0,
            run_s: None,
            checkpoint_s: 0.0,
            save_s: 0.0,
            mistaken: false,
            saved_s: 0.0,
            finished: false,
        };
        let spec = known.unwrap_or_else(empty);
        let state = match refusal {
            Some(_) => TaskState::Exited,
            None => TaskState::Fetching,
        };
        if refusal.is_none() {
            self.events.push(MachineEvent::Starts {
                task: id.to_string(),
                attempt,
            });
            let gb = spec.image_gb;
            let image = self.images.entry(spec.image.clone()).or_insert(Image {
                gb,
                remaining_gb: gb,
                last_used: now,
            });
            image.last_used = now;
        }
        self.tasks.push(Task {
            id: id.to_string(),
            attempt,
            state,
            exit_cause: refusal,
            checkpoint_saved: None,
            progress: spec.saved_s,
            kept_before: spec.saved_s,
            spec,
            save_until: 0.0,
            fails_at: None,
        });
        self.evict();
    }

    /// Evicts the least recently used images until the cache fits; images that tasks need
    /// stay.
    fn evict(&mut self) {
        let needed = |name: &String, tasks: &[Task]| {
            let of = |t: &Task| t.state != TaskState::Exited && t.spec.image == *name;
            tasks.iter().any(of)
        };
        while self.images.values().map(|i| i.gb).sum::<f64>() > self.kind.cache_gb {
            let oldest = self
                .images
                .iter()
                .filter(|(name, _)| !needed(name, &self.tasks))
                .min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used))
                .map(|(name, _)| name.clone());
            match oldest {
                Some(name) => self.images.remove(&name),
                None => return,
            };
        }
    }

    fn stop(&mut self, id: &str, attempt: u64, grace_s: f64, now: f64) {
        let found = |t: &Task| t.id == id && t.attempt == attempt;
        let Some(at) = self.tasks.iter().position(found) else {
            return;
        };
        let noticed = self.reclaim_at.is_some();
        let t = &mut self.tasks[at];
        match t.state {
            TaskState::Exited => return,
            TaskState::Running if !noticed => self.events.push(MachineEvent::Stops {
                task: id.to_string(),
            }),
            _ => {}
        }
        self.changed = true;
        let t = &mut self.tasks[at];
        let saves = t.spec.checkpoint_s > 0.0 && grace_s >= t.spec.save_s;
        match t.state {
            TaskState::Running if saves => {
                t.state = TaskState::Saving;
                t.save_until = now + t.spec.save_s;
            }
            TaskState::Saving if grace_s > 0.0 => {}
            _ => self.exit(at, ExitCause::Stopped, Off::Stopped, false),
        }
    }

    /// Ends a task; keeps all of its progress (`all`), or what its checkpoints hold.
    fn exit(&mut self, at: usize, exit_cause: ExitCause, off: Off, all: bool) {
        let t = &mut self.tasks[at];
        let was_on = matches!(t.state, TaskState::Running | TaskState::Saving);
        let fetched = t.state == TaskState::Fetching;
        t.state = TaskState::Exited;
        t.exit_cause = Some(exit_cause);
        self.changed = true;
        let finished = off == Off::Done;
        let every = t.spec.checkpoint_s;
        let kept = if all || finished || t.spec.run_s.is_none() {
            t.progress
        } else if every > 0.0 {
            ((t.progress / every).floor() * every).max(t.kept_before)
        } else {
            t.kept_before
        };
        if exit_cause == ExitCause::Stopped && every > 0.0 {
            t.checkpoint_saved = Some(all);
        }
        if was_on {
            let kept_s = if t.spec.finished {
                0.0
            } else {
                (kept - t.kept_before).max(0.0)
            };
            self.events.push(MachineEvent::Off {
                task: t.id.clone(),
                attempt: t.attempt,
                why: off,
                kept_s,
            });
        }
        if fetched {
            self.events.push(MachineEvent::Dropped {
                task: t.id.clone(),
                attempt: t.attempt,
            });
        }
        if t.spec.run_s.is_some() && (finished || kept > t.kept_before) {
            self.events.push(MachineEvent::Saved {
                task: t.id.clone(),
                progress_s: kept,
                finished,
            });
        }
        self.cancel_unneeded_fetches();
    }

    fn cancel_unneeded_fetches(&mut self) {
        let waits = |name: &String| {
            let of = |t: &Task| t.state == TaskState::Fetching && t.spec.image == *name;
            self.tasks.iter().any(of)
        };
        let unneeded: Vec<String> = self
            .images
            .iter()
            .filter(|(name, i)| i.remaining_gb > 0.0 && !waits(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in unneeded {
            self.images.remove(&name);
        }
    }

    /// Returns the seconds of progress that a running task makes in a second.
    fn progress_rate(&self) -> f64 {
        self.traits.speed / self.traits.slowdown
    }

    fn fetching(&self) -> usize {
        self.images
            .values()
            .filter(|i| i.remaining_gb > 0.0)
            .count()
    }

    fn fetch_rate(&self) -> f64 {
        let k = if self.traits.fetch_shared {
            self.fetching().max(1)
        } else {
            1
        };
        self.traits.fetch_gb_per_s / k as f64
    }

    /// Returns the time of the next event that needs no message: lease expiry, fetch, or
    /// task.
    pub fn next_due(&self) -> f64 {
        let mut due = self.lease_from + self.lease_s;
        let rate = self.fetch_rate();
        for i in self.images.values().filter(|i| i.remaining_gb > 0.0) {
            due = due.min(self.advanced_to + i.remaining_gb / rate);
        }
        for t in &self.tasks {
            match t.state {
                TaskState::Running => {
                    if let Some(run) = t.spec.run_s {
                        due = due.min(
                            self.advanced_to + (run - t.progress).max(0.0) / self.progress_rate(),
                        );
                    }
                    due = due.min(t.fails_at.unwrap_or(f64::INFINITY));
                }
                TaskState::Saving => due = due.min(t.save_until),
                TaskState::Fetching if self.has_image(t) => due = due.min(self.advanced_to),
                _ => {}
            }
        }
        due
    }

    fn has_image(&self, t: &Task) -> bool {
        let image = self.images.get(&t.spec.image);
        image.is_none_or(|i| i.remaining_gb <= 0.0)
    }

    /// Skips the time since the last advance, during which the machine was suspended: no
    /// task or fetch progressed.
    pub fn skip_suspension(&mut self, now: f64) {
        let gap = now - self.advanced_to;
        self.advanced_to = now;
        for t in &mut self.tasks {
            t.save_until += gap;
            t.fails_at = t.fails_at.map(|at| at + gap);
        }
    }

    /// Advances leases, fetches and tasks to `now`.
    pub fn advance(&mut self, now: f64) {
        // Events change the rates, so they are applied one at a time.
        while self.next_due() <= now {
            let at = self.next_due().max(self.advanced_to);
            self.elapse(at);
            self.apply_due_events(at);
        }
        self.elapse(now);
    }

    fn elapse(&mut self, to: f64) {
        let s = (to - self.advanced_to).max(0.0);
        let (rate, progress_rate) = (self.fetch_rate(), self.progress_rate());
        for i in self.images.values_mut().filter(|i| i.remaining_gb > 0.0) {
            i.remaining_gb = (i.remaining_gb - s * rate).max(0.0);
            if i.remaining_gb < 1e-9 {
                i.remaining_gb = 0.0;
            }
        }
        for t in &mut self.tasks {
            if t.state == TaskState::Running {
                t.progress += s * progress_rate;
                if let Some(run) = t.spec.run_s
                    && run - t.progress < 1e-9
                {
                    t.progress = run;
                }
            }
        }
        self.advanced_to = self.advanced_to.max(to);
    }

    fn apply_due_events(&mut self, now: f64) {
        if now >= self.lease_from + self.lease_s {
            self.expire(now);
            return;
        }
        for at in 0..self.tasks.len() {
            let t = &self.tasks[at];
            match t.state {
                TaskState::Fetching => {
                    let ready = self
                        .images
                        .get(&t.spec.image)
                        .is_none_or(|i| i.remaining_gb <= 0.0);
                    if ready {
                        self.start_running(at, now);
                    }
                }
                TaskState::Running => {
                    if t.fails_at.is_some_and(|f| now >= f) {
                        self.exit(at, ExitCause::Error, Off::Error, false);
                    } else if t.spec.run_s.is_some_and(|run| t.progress >= run) {
                        self.exit(at, ExitCause::Done, Off::Done, true);
                    }
                }
                TaskState::Saving if now >= t.save_until => {
                    self.exit(at, ExitCause::Stopped, Off::Stopped, true);
                }
                _ => {}
            }
        }
    }

    /// Starts to run a task whose image is complete.
    fn start_running(&mut self, at: usize, now: f64) {
        let faulty = self.traits.faulty;
        let t = &mut self.tasks[at];
        t.state = TaskState::Running;
        self.changed = true;
        self.events.push(MachineEvent::On {
            task: t.id.clone(),
            attempt: t.attempt,
        });
        if t.spec.finished {
            self.exit(at, ExitCause::Done, Off::Done, true);
        } else if faulty || t.spec.mistaken {
            t.fails_at = Some(now + FAILS_AFTER_S);
        }
    }

    /// Expires the lease: kills and forgets every task, and begins a new incarnation.
    fn expire(&mut self, now: f64) {
        self.events.push(MachineEvent::LeaseEnds);
        self.end_all_tasks(Off::Lease);
        self.incarnation += 1;
        self.lease_from = now;
        self.changed = true;
    }

    /// Ends all tasks at once because the lease expired or the machine is gone.
    pub fn end_all_tasks(&mut self, off: Off) {
        for at in 0..self.tasks.len() {
            if self.tasks[at].state != TaskState::Exited {
                self.exit(at, ExitCause::Stopped, off, false);
            }
        }
        self.tasks.clear();
        self.cancel_unneeded_fetches();
    }

    pub fn give_spot_notice(&mut self, until: f64) {
        self.reclaim_at = Some(until);
        self.events.push(MachineEvent::Notice);
        self.changed = true;
    }

    /// Returns the time of lease expiry, unless a heartbeat is answered before.
    pub fn lease_until(&self) -> f64 {
        self.lease_from + self.lease_s
    }
}
