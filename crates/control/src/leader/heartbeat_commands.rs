//! The commands in the response to a heartbeat.
//!
//! A heartbeat lists the tasks on the worker. The response tells it to forget tasks whose exit is
//! recorded, to stop those that may not go on or that should move, and to start those that were
//! placed there and aren't listed yet.

use super::heartbeats::term_of;
use super::job_table::KnownJob;
use super::*;

/// Factor on the length of `limits::MISSED_HEARTBEATS_MAX` heartbeats, within which a graceful stop
/// isn't repeated: the task may not have begun to save when the next heartbeats were sent.
const STOP_REPEAT_FACTOR: f64 = 2.0;

/// Returns a stop that leaves the task time to save a checkpoint, if the task saves any.
pub(super) fn graceful_stop(placement: &Placement, job: &Job) -> Command {
    Command::Stop {
        task: placement.task_id.clone(),
        attempt: placement.attempt,
        grace_s: job.spec.checkpoint_save_s + limits::CHECKPOINT_GRACE_EXTRA_S,
    }
}

/// Returns a stop that takes effect at once, for a task that may not go on.
pub(super) fn immediate_stop(task: &str, attempt: u64) -> Command {
    Command::Stop {
        task: task.to_string(),
        attempt,
        grace_s: 0.0,
    }
}

/// Returns the start command for a placement that is in the ledger.
pub(super) fn start(placement: &Placement) -> Command {
    Command::Start {
        task: placement.task_id.clone(),
        attempt: placement.attempt,
    }
}

impl Leader {
    /// Returns the commands in the response to this heartbeat; none if a newer heartbeat was
    /// accepted meanwhile, whose response carries them.
    pub fn heartbeat_commands(&mut self, heartbeat: &Heartbeat, now: f64) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return commands;
        };
        let newest = (machine.incarnation, machine.heartbeat_seq);
        if newest != (heartbeat.incarnation, heartbeat.sequence) {
            return commands;
        }
        machine.lists_unwanted_task = false;
        for task in &heartbeat.tasks {
            let Some((id, index)) = parse_task_id(&task.task) else {
                continue;
            };
            let job = self.jobs.look_up(id);
            let command = match task.state {
                TaskState::Exited => {
                    machine.forget_command(task, index, job, heartbeat.fencing_token)
                }
                _ => match (machine.index_of(task), job) {
                    (Some(at), KnownJob::Live(job)) if !job.done.get(index) => {
                        machine.request_eviction_if_due(
                            at,
                            task,
                            job,
                            heartbeat,
                            &self.settings,
                            now,
                        );
                        machine.graceful_stop_command(at, task, job, &self.settings, now)
                    }
                    (_, KnownJob::Unreadable) => None,
                    _ => {
                        machine.lists_unwanted_task = true;
                        Some(immediate_stop(&task.task, task.attempt))
                    }
                },
            };
            commands.extend(command);
        }
        machine.start_commands(heartbeat, &self.jobs, &mut commands);
        if !commands.is_empty() {
            debug!(
                machine = heartbeat.machine,
                owner = machine.shard_owner,
                token = machine.fencing_token,
                incarnation = heartbeat.incarnation,
                sequence = heartbeat.sequence,
                commands = commands.len(),
                "commands in a response"
            );
        }
        commands
    }
}

impl Machine {
    /// Returns the command that has the worker forget a task that exited.
    ///
    /// Not given while a start of the attempt could still be executed and run the task again: one
    /// of an earlier leader or from before a restart of the worker until the worker has seen a
    /// token issued since, a direct one as `DirectStarts` tells. And if the task is done, that must
    /// be durable first.
    fn forget_command(
        &self,
        task: &TaskStatus,
        index: u32,
        job: KnownJob<'_>,
        acknowledged_token: u64,
    ) -> Option<Command> {
        let is_current = term_of(acknowledged_token) >= term_of(self.fencing_token)
            && acknowledged_token >= self.incarnation_first_token;
        let starts = &self.direct_starts;
        if !is_current || starts.may_execute(&task.task, task.attempt, acknowledged_token) {
            return None;
        }
        let is_durable = task.exit_cause != Some(ExitCause::Done)
            || match job {
                KnownJob::Live(job) => {
                    job.persisted_done.get(index) || job.spec.kind == JobKind::Service
                }
                KnownJob::Unreadable => false,
                KnownJob::Over => true,
            };
        is_durable.then_some(Command::Forget {
            task: task.task.clone(),
            attempt: task.attempt,
        })
    }

    /// Requests that a running task that saves checkpoints leaves the machine, either because the
    /// cloud is about to reclaim the machine or because the machine is being drained and the task
    /// has run for long enough that saving is worth it.
    fn request_eviction_if_due(
        &mut self,
        at: usize,
        task: &TaskStatus,
        job: &Job,
        heartbeat: &Heartbeat,
        settings: &Settings,
        now: f64,
    ) {
        let placement = &self.placements[at];
        if task.state == TaskState::Running
            && job.spec.checkpoint_interval_s > 0.0
            && placement.eviction == EvictionState::NotRequested
            && (heartbeat.spot_notice_s.is_some()
                || self.scaling_in
                    && now - placement.running_since >= min_run_before_eviction_s(job, settings))
        {
            self.placements[at].eviction = EvictionState::Pending;
        }
    }

    /// Returns the stop of a task that is to leave the machine, if due. A lost stop is sent again;
    /// a task that is saving is left alone.
    fn graceful_stop_command(
        &mut self,
        at: usize,
        task: &TaskStatus,
        job: &Job,
        settings: &Settings,
        now: f64,
    ) -> Option<Command> {
        let repeat_after_s =
            STOP_REPEAT_FACTOR * limits::MISSED_HEARTBEATS_MAX * settings.workers.report_s;
        let is_due = match self.placements[at].eviction {
            EvictionState::NotRequested => false,
            EvictionState::Pending => true,
            EvictionState::Sent(sent_at) => now - sent_at > repeat_after_s,
        };
        if task.state == TaskState::Saving || !is_due {
            return None;
        }
        self.placements[at].eviction = EvictionState::Sent(now);
        Some(graceful_stop(&self.placements[at], job))
    }

    /// Adds starts of placements that are not known to be on the worker yet, and stops of those
    /// among them that may no longer start.
    fn start_commands(
        &mut self,
        heartbeat: &Heartbeat,
        jobs: &JobTable,
        commands: &mut Vec<Command>,
    ) {
        for placement in self.placements.iter_mut() {
            if placement.stage != PlacementStage::Durable {
                continue;
            }
            let is_over = placement.job_is_over(jobs);
            if !is_over && placement.may_start_by(heartbeat) {
                placement.start_sent_seq = Some(heartbeat.sequence);
                placement.start_attempts += 1;
                commands.push(start(placement));
            } else if is_over && !placement.is_listed_in(heartbeat) {
                // The start may have arrived after this heartbeat was sent, so a stop follows it,
                // whichever incarnation the heartbeat shows: without that stop the shard lease is
                // not extended.
                if !placement.never_sent() {
                    commands.push(immediate_stop(&placement.task_id, placement.attempt));
                }
                placement.give_up_start(heartbeat);
            }
        }
    }
}

impl Placement {
    /// Whether the response to this heartbeat may carry the start of this placement.
    fn may_start_by(&self, heartbeat: &Heartbeat) -> bool {
        !self.from_previous_term
            && !self.acknowledged
            && self.incarnation == heartbeat.incarnation
            && self.start_sent_seq != Some(heartbeat.sequence)
            && self.start_attempts < limits::START_COMMAND_ATTEMPTS_MAX
    }

    /// Gives up the start of a placement whose job ended before a heartbeat ever listed it: no
    /// start is sent any more, and once the next heartbeat doesn't list it either, it is freed as
    /// absent.
    fn give_up_start(&mut self, heartbeat: &Heartbeat) {
        if self.incarnation == heartbeat.incarnation && !self.acknowledged {
            self.start_attempts = limits::START_COMMAND_ATTEMPTS_MAX;
            self.start_sent_seq.get_or_insert(heartbeat.sequence);
        }
    }

    /// Whether the heartbeat lists this attempt.
    pub(super) fn is_listed_in(&self, heartbeat: &Heartbeat) -> bool {
        let mut tasks = heartbeat.tasks.iter();
        tasks.any(|task| task.attempt == self.attempt && task.task == self.task_id)
    }
}

/// Returns the time for which a task must have run before it is moved off a machine that is being
/// drained, s: more if an objective counts the start of its class, which moving it would undo.
fn min_run_before_eviction_s(job: &Job, settings: &Settings) -> f64 {
    let mut objectives = settings.objectives.iter();
    match objectives.any(|o| o.kind == "wait" && o.class == job.spec.class) {
        true => limits::MOVE_COUNTED_START_AFTER_S,
        false => limits::MOVE_AFTER_S,
    }
}
