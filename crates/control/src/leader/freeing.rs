//! Freeing of placements: the proofs on which a placement is freed, and the consequences for its
//! task.

use super::*;
use std::fmt;

/// Why a placement is freed: each reason is a proof that its task doesn't run and won't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FreeReason {
    /// A message of its worker lists the attempt as exited.
    Exited,
    /// A heartbeat of its worker shows a newer incarnation.
    NewIncarnation,
    /// A heartbeat that shows the newest token doesn't list it.
    NotListed,
    /// Its worker restarted before the start was sent.
    NeverSent,
    /// Its machine was deleted.
    MachineDeleted,
    /// Every lease under which it could run has expired.
    LeasesExpired,
}

impl fmt::Display for FreeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FreeReason::Exited => "exited",
            FreeReason::NewIncarnation => "new incarnation",
            FreeReason::NotListed => "not listed",
            FreeReason::NeverSent => "never sent",
            FreeReason::MachineDeleted => "machine deleted",
            FreeReason::LeasesExpired => "leases expired",
        })
    }
}

/// Number of placements that a leader has freed for each reason.
#[derive(Debug, Default)]
pub(super) struct FreedCounts(BTreeMap<FreeReason, u64>);

impl FreedCounts {
    /// Counts one placement freed for this reason.
    pub(super) fn add(&mut self, reason: FreeReason) {
        *self.0.entry(reason).or_default() += 1;
    }
}

impl fmt::Display for FreedCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("none");
        }
        let counts = self.0.iter().map(|(reason, n)| format!("{n} {reason}"));
        f.write_str(&counts.collect::<Vec<_>>().join(", "))
    }
}

/// The machine on which placements are freed, and the proof.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreeContext<'a> {
    /// The name of the machine.
    machine: &'a str,
    /// Its zone.
    zone: &'a str,
    /// Why they are freed.
    reason: FreeReason,
    /// The worker's message that proves the reason, if a message does.
    shown_by: Option<&'a Heartbeat>,
}

impl<'a> FreeContext<'a> {
    /// The context in which a message of the machine's worker is the proof.
    pub(super) fn shown_by(message: &'a Heartbeat, zone: &'a str, reason: FreeReason) -> Self {
        FreeContext {
            machine: &message.machine,
            zone,
            reason,
            shown_by: Some(message),
        }
    }

    /// The context in which no message from the machine is the proof, but the cloud or elapsed
    /// time.
    pub(super) fn without_message(machine: &'a str, zone: &'a str, reason: FreeReason) -> Self {
        FreeContext {
            machine,
            zone,
            reason,
            shown_by: None,
        }
    }
}

impl Leader {
    /// Frees placements whose tasks were lost with their machine or incarnation. The caller has
    /// already removed the placements from the machine. Their run times count as censored.
    pub(super) fn free_lost(&mut self, lost: Vec<Placement>, context: &FreeContext, now: f64) {
        for placement in lost {
            info!(
                task = placement.task_id,
                attempt = placement.attempt,
                machine = context.machine,
                incarnation = placement.incarnation,
                ledger_entry = keys::ledger(placement.ledger_entry),
                reason = %context.reason,
                shown_incarnation = context.shown_by.map(|shown| shown.incarnation),
                shown_sequence = context.shown_by.map(|shown| shown.sequence),
                shown_token = context.shown_by.map(|shown| shown.fencing_token),
                "task lost"
            );
            if let Some(job) = placement
                .job
                .and_then(|job_index| self.jobs.get(&job_index))
            {
                let key = job.estimate_key.clone();
                self.predictor.record_censored(&key, now);
            }
            self.free_placement(&placement, context, now, 0.0);
        }
    }

    /// Frees a placement that is certainly off its machine; its task waits again unless it is
    /// finished or its job is over.
    pub(super) fn free_placement(
        &mut self,
        p: &Placement,
        context: &FreeContext,
        now: f64,
        delay_s: f64,
    ) {
        debug!(
            task = p.task_id,
            attempt = p.attempt,
            machine = context.machine,
            ledger_entry = keys::ledger(p.ledger_entry),
            reason = %context.reason,
            "placement freed"
        );
        self.record_release(p, context.zone);
        self.mark_freed(p, context.reason);
        let Some(job_index) = p.job else { return };
        let Some(job) = self.jobs.get(&job_index) else {
            return;
        };
        // Another placement of the task may not be freed yet: until it is, the task must not be
        // started again. A job that awaits dependencies has its tasks queued when it becomes ready.
        if job.awaiting_dependencies
            || job.done.get(p.task_index)
            || job.placements_by_task.contains_key(&p.task_index)
        {
            return;
        }
        if delay_s > 0.0 {
            self.delayed_tasks
                .push((now + delay_s, job_index, p.task_index));
        } else {
            let key = job.estimate_key.clone();
            let level = self.queue_level(&key, now);
            self.pending_queue
                .push_front(level, job_index, p.task_index, now);
        }
    }
}
