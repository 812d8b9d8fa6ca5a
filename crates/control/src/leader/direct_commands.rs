//! Commands sent to workers directly, without waiting for their next heartbeat.
//!
//! Starts and graceful stops go through the shard owner; the leader itself sends immediate stops to
//! machines whose heartbeats stay away. A direct command is bound to a token and an incarnation,
//! and neither the command nor its response renews a lease or counts as a heartbeat.

use super::heartbeat_commands::{graceful_stop, immediate_stop, start};
use super::*;

/// Direct commands for one worker, and its address.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedCommands {
    /// The name of the machine.
    pub machine: String,
    /// The address of its worker.
    pub address: String,
    /// The commands to send.
    pub commands: DirectCommands,
}

/// The outcome of a direct command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The worker executed it.
    Executed,
    /// The worker rejected it, or it was never sent: it has no effect.
    NotExecuted,
    /// There was no response: it may have been executed, or be executed later.
    Unknown,
}

/// The form used in messages between controllers.
impl From<CommandOutcome> for Option<bool> {
    fn from(outcome: CommandOutcome) -> Self {
        match outcome {
            CommandOutcome::Executed => Some(true),
            CommandOutcome::NotExecuted => Some(false),
            CommandOutcome::Unknown => None,
        }
    }
}

impl From<Option<bool>> for CommandOutcome {
    fn from(executed: Option<bool>) -> CommandOutcome {
        match executed {
            Some(true) => CommandOutcome::Executed,
            Some(false) => CommandOutcome::NotExecuted,
            None => CommandOutcome::Unknown,
        }
    }
}

impl Leader {
    /// Returns the starts and graceful stops that are due, by the controller that owns the
    /// machines. Each is returned once; a call of `direct_commands_done` must follow.
    pub fn due_direct_commands(&mut self, now: f64) -> BTreeMap<String, Vec<AddressedCommands>> {
        let fresh_s = limits::MISSED_HEARTBEATS_MAX * self.settings.workers.report_s;
        let mut by_owner: BTreeMap<String, Vec<AddressedCommands>> = BTreeMap::new();
        for (name, machine) in &mut self.machines {
            let is_reporting = machine.up && now - machine.last_heartbeat_at <= fresh_s;
            let is_due = !machine.deleting && machine.placements.sums().has_due_command;
            if !is_reporting || !is_due {
                continue;
            }
            let commands = machine.take_due_commands(name, &self.jobs, now);
            if commands.is_empty() {
                continue;
            }
            let of_owner = by_owner.entry(machine.shard_owner.clone()).or_default();
            of_owner.push(machine.addressed_commands(name, commands));
        }
        by_owner
    }

    /// Handles the outcome of direct commands. A start that may yet be executed is fenced by a new
    /// token, which the worker sees with the next response to a heartbeat.
    pub fn direct_commands_done(
        &mut self,
        machine: &str,
        commands: &DirectCommands,
        outcome: CommandOutcome,
    ) {
        let new_token = self.next_token();
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        let mut has_starts = false;
        for command in &commands.commands {
            let Command::Start { task, attempt } = command else {
                continue;
            };
            has_starts = true;
            if outcome == CommandOutcome::NotExecuted {
                machine.direct_starts.rejected(task, *attempt, commands);
                machine.record_rejected_start(task, *attempt);
            } else {
                machine.direct_starts.settled(task, *attempt, commands);
            }
        }
        // A stop that is executed late ends only its own attempt.
        let must_fence = has_starts && outcome == CommandOutcome::Unknown;
        if must_fence && machine.fencing_token == commands.fencing_token {
            machine.fencing_token = new_token;
        }
    }

    /// Returns the stops of tasks that may not go on, on machines whose heartbeats stay away: no
    /// response carries stops there, while direct commands may still arrive. A machine that this
    /// leader has never heard from is known from the ledger and the cloud's list.
    ///
    /// Machines whose last stop was sent the longest ago come first,
    /// `limits::DIRECT_CONTACT_MACHINES_MAX` at a time.
    pub fn due_direct_stops(&mut self, now: f64) -> Vec<AddressedCommands> {
        let silent_s = limits::MISSED_HEARTBEATS_MAX * self.settings.workers.report_s;
        let jobs = &self.jobs;
        let machines = self.machines.iter_mut();
        let mut due: Vec<(&String, &mut Machine)> = machines
            .filter(|(_, machine)| machine.needs_direct_stop(jobs, silent_s, now))
            .collect();
        due.sort_by(|a, b| a.1.last_stop_sent_at.total_cmp(&b.1.last_stop_sent_at));
        let mut stops = Vec::new();
        for (name, machine) in due.into_iter().take(limits::DIRECT_CONTACT_MACHINES_MAX) {
            machine.last_stop_sent_at = now;
            if machine.fencing_token == 0 {
                self.tokens_issued += 1;
                machine.fencing_token = (self.term << limits::TERM_SHIFT_BITS) | self.tokens_issued;
            }
            let of_ended_jobs = machine
                .placements
                .iter()
                .filter(|p| p.may_run_after_job_end(jobs));
            let commands = of_ended_jobs
                .map(|p| immediate_stop(&p.task_id, p.attempt))
                .collect();
            stops.push(machine.addressed_commands(name, commands));
        }
        stops
    }

    /// Processes the status in the response to a direct command: only the exits in it count. It is
    /// no heartbeat otherwise, since it doesn't renew the worker's lease.
    pub fn take_direct_status(&mut self, status: &Heartbeat, now: f64) {
        let Some(mut machine) = self.machines.remove(&status.machine) else {
            return;
        };
        self.take_exits(&mut machine, status, now);
        self.machines.insert(status.machine.clone(), machine);
    }
}

impl Machine {
    /// Returns the starts and graceful stops that were not sent yet, and marks them as sent.
    fn take_due_commands(&mut self, name: &str, jobs: &JobTable, now: f64) -> Vec<Command> {
        let mut commands = Vec::new();
        for placement in self.placements.iter_mut() {
            let Some(job) = placement.job.and_then(|job_index| jobs.get(&job_index)) else {
                continue;
            };
            if placement.incarnation != self.incarnation {
                continue;
            }
            if placement.eviction == EvictionState::Pending {
                placement.eviction = EvictionState::Sent(now);
                commands.push(graceful_stop(placement, job));
            } else if placement.never_sent() && placement.stage == PlacementStage::Durable {
                placement.start_attempts = 1;
                crate::trace_job!(
                    placement.task_id,
                    machine = name,
                    owner = self.shard_owner,
                    "start sent"
                );
                self.direct_starts.sent(
                    &placement.task_id,
                    placement.attempt,
                    self.fencing_token,
                    self.incarnation,
                );
                commands.push(start(placement));
            }
        }
        commands
    }

    /// Returns the commands with the address of the worker, bound to the machine's token and
    /// incarnation.
    fn addressed_commands(&self, name: &str, commands: Vec<Command>) -> AddressedCommands {
        debug!(
            machine = name,
            owner = self.shard_owner,
            token = self.fencing_token,
            incarnation = self.incarnation,
            commands = commands.len(),
            "direct commands due"
        );
        AddressedCommands {
            machine: name.to_string(),
            address: self.address.clone(),
            commands: DirectCommands {
                fencing_token: self.fencing_token,
                incarnation: self.incarnation,
                commands,
            },
        }
    }

    /// Records that a direct start had no effect: it may be sent again, unless a response to a
    /// heartbeat carried it as well.
    fn record_rejected_start(&mut self, task: &str, attempt: u64) {
        let placement = self.placements.iter_mut().find(|p| p.task_id == task);
        if let Some(placement) = placement
            && placement.attempt == attempt
            && placement.start_sent_seq.is_none()
        {
            placement.start_attempts = 0;
        }
    }

    /// Whether work that may not go on may still run here, while no heartbeat arrives and no stop
    /// was sent recently.
    fn needs_direct_stop(&self, jobs: &JobTable, silent_s: f64, now: f64) -> bool {
        let has_address = self.up || !self.address.is_empty();
        let silent_for_s = now - self.last_heartbeat_at;
        let last_stop_s = now - self.last_stop_sent_at;
        has_address
            && silent_for_s.min(last_stop_s) > silent_s
            && self
                .placements
                .iter()
                .any(|p| p.may_run_after_job_end(jobs))
    }
}

impl Placement {
    /// Whether the task may be running although its job is over.
    fn may_run_after_job_end(&self, jobs: &JobTable) -> bool {
        self.stage == PlacementStage::Durable && !self.never_sent() && self.job_is_over(jobs)
    }
}
