//! Attribution of failed tasks to their job or to their machine.
//!
//! Comparison with other machines and jobs decides: a faulty job succeeds nowhere, and on a faulty
//! machine no job succeeds. A job that fails on several machines is suspect and tried one task at a
//! time, with ever longer pauses; a machine on which jobs fail that succeed elsewhere is cordoned.

use super::{Job, JobIndex, Leader, Machine, Placement};
use cherrywood_limits as limits;
use tracing::{info, warn};

/// Maximum number of times that the pause before a retry is doubled. It only keeps the power
/// finite: `limits::FAULTY_JOB_RETRY_MAX_S` is reached before.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Failures of one job on one machine since a task last succeeded there.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct JobFailures {
    /// Number of tasks that failed.
    pub(super) count: u32,
    /// When the last task failed, on the leader's clock.
    pub(super) last_at: f64,
}

impl Leader {
    /// Records that a task of the job ran to its end: the machines on which its tasks failed before
    /// are at fault, and those failures count for the estimates of its key.
    pub(super) fn record_success(&mut self, index: JobIndex, now: f64) {
        let Some(job) = self.jobs.get_mut(&index) else {
            return;
        };
        let failures = std::mem::take(&mut job.failure_count);
        let failed_on = std::mem::take(&mut job.failed_on);
        let key = job.estimate_key.clone();
        job.backoff_count = 0;
        for _ in 0..failures {
            self.predictor.record_censored(&key, now);
        }
        for name in failed_on.into_keys() {
            if let Some(mut machine) = self.machines.remove(&name) {
                self.cordon_if_faulty(&mut machine, &name);
                self.machines.insert(name, machine);
            }
        }
    }

    /// Records that a task failed on the machine. Returns the pause, s, before its job is tried
    /// again.
    pub(super) fn record_failure(
        &mut self,
        machine: &mut Machine,
        name: &str,
        placement: &Placement,
        now: f64,
    ) -> f64 {
        let job = placement.job.and_then(|index| self.jobs.get_mut(&index));
        let Some(job) = job else {
            return 0.0;
        };
        let is_first_on_machine = job.failed_on.insert(name.to_string(), now).is_none();
        job.failure_count += 1;
        let failures = machine.failures_by_job.entry(job.spec.id.clone());
        let failures = failures.or_default();
        failures.count += 1;
        failures.last_at = now;
        let pause_s = if job.is_suspect() {
            next_backoff_s(job, now)
        } else {
            0.0
        };
        if job.is_suspect() && is_first_on_machine {
            log_suspect(job);
        }
        job.retry_at = job.retry_at.max(now + pause_s);
        self.cordon_if_faulty(machine, name);
        pause_s
    }

    /// Cordons the machine if it is at fault. Nothing has succeeded on it since these jobs failed
    /// there: each failure of a job that succeeds elsewhere counts against it, those of a job that
    /// fails elsewhere too do not.
    fn cordon_if_faulty(&self, machine: &mut Machine, name: &str) {
        let mut failures_of_working_jobs = 0;
        let mut jobs_failed_only_here = 0;
        for (id, failures) in &machine.failures_by_job {
            let Some(job) = self.jobs.by_id(id) else {
                continue;
            };
            if job.has_succeeded() {
                failures_of_working_jobs += failures.count;
            }
            if !job.is_suspect() {
                jobs_failed_only_here += 1;
            }
        }
        let faulty = failures_of_working_jobs >= limits::FAULTY_MACHINE_TASKS
            || jobs_failed_only_here >= limits::FAULTY_MACHINE_JOBS;
        if faulty && !machine.cordoned {
            info!(
                machine = name,
                jobs = jobs_failed_only_here,
                "machine cordoned: jobs fail on it that succeed elsewhere"
            );
            machine.cordoned = true;
        }
    }
}

/// The pause before a suspect job is tried again, s: it doubles with each failed retry.
fn next_backoff_s(job: &mut Job, now: f64) -> f64 {
    // Tasks that were started before the pause don't make it longer.
    if now >= job.retry_at {
        job.backoff_count += 1;
    }
    let doublings = job
        .backoff_count
        .saturating_sub(1)
        .min(MAX_BACKOFF_DOUBLINGS);
    (limits::FAULTY_JOB_RETRY_FIRST_S * 2f64.powi(doublings as i32))
        .min(limits::FAULTY_JOB_RETRY_MAX_S)
}

/// Logs that a job is suspect, whenever the number of machines on which it failed is a power of
/// two.
fn log_suspect(job: &Job) {
    let machines = job.failed_on.len();
    if machines.is_power_of_two() {
        warn!(
            job = job.spec.id,
            team = job.spec.team,
            failures = job.failure_count,
            machines,
            "job fails wherever it runs: retried one task at a time"
        );
    }
}
