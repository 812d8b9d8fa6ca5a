//! Jobs that were refused recently, at this controller and at the others: the time since which
//! they are being retried, and their expected work.
//!
//! Controllers send each other their refusals, with ages instead of times because their clocks
//! differ. Each refusal at this controller has a sequence number, so that it is sent to each peer
//! once.

use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::{JobHash, RefusedJob, TenantClassId};
use std::collections::{BTreeMap, VecDeque};

/// The attempts of a refused job.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Attempts {
    class: TenantClassId,
    work_cpu_s: f64,
    first_at: f64,
    last_at: f64,
}

impl Attempts {
    fn to_refused_job(self, job: JobHash, now_s: f64) -> RefusedJob {
        RefusedJob {
            job,
            class: self.class,
            work_cpu_s: self.work_cpu_s,
            first_attempt_age_s: (now_s - self.first_at) as f32,
            last_attempt_age_s: (now_s - self.last_at) as f32,
        }
    }

    /// Returns whether the user is likely to retry the job.
    fn is_retrying(&self, now_s: f64) -> bool {
        now_s - self.last_at <= limits::RETRY_EXPECTED_S
            && now_s - self.first_at <= limits::USER_GIVE_UP_AFTER_S
    }
}

/// Refusals to send to a peer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RefusalBatch {
    /// The jobs that were refused.
    pub refused: Vec<RefusedJob>,
    /// The sequence number from which to request the next batch.
    pub next_sequence: u64,
}

/// Jobs refused recently, at most `limits::REFUSED_JOBS_REMEMBERED_MAX`: beyond this the job with
/// the oldest last attempt is evicted.
#[derive(Debug, Default)]
pub struct RecentRefusals {
    jobs: BTreeMap<JobHash, Attempts>,
    /// Jobs refused at this controller, oldest refusal first, to be sent to the peers.
    local: VecDeque<JobHash>,
    /// Sequence number of the first entry of `local`.
    first_local_sequence: u64,
}

impl RecentRefusals {
    /// Returns the seconds since the job's first known attempt; 0 if the job is not known.
    pub fn waited_s(&self, job: JobHash, now_s: f64) -> f64 {
        let attempts = self.jobs.get(&job);
        attempts.map_or(0.0, |a| (now_s - a.first_at).max(0.0))
    }

    /// Records that a job was refused at this controller, now.
    pub fn record_local(
        &mut self,
        job: JobHash,
        class: TenantClassId,
        work_cpu_s: f64,
        now_s: f64,
    ) {
        let attempt = Attempts {
            class,
            work_cpu_s,
            first_at: now_s,
            last_at: now_s,
        };
        self.record(job, attempt);
        self.local.push_back(job);
        if self.local.len() > limits::REFUSED_JOBS_TO_SEND_MAX {
            self.local.pop_front();
            self.first_local_sequence += 1;
        }
    }

    /// Records that a job was refused at another controller.
    pub fn record_from_peer(&mut self, refused: &RefusedJob, now_s: f64) {
        let attempts = Attempts {
            class: refused.class,
            work_cpu_s: refused.work_cpu_s,
            first_at: now_s - f64::from(refused.first_attempt_age_s),
            last_at: now_s - f64::from(refused.last_attempt_age_s),
        };
        self.record(refused.job, attempts);
    }

    fn record(&mut self, job: JobHash, attempts: Attempts) {
        let known = self.jobs.entry(job).or_insert(attempts);
        known.first_at = known.first_at.min(attempts.first_at);
        if attempts.last_at >= known.last_at {
            known.last_at = attempts.last_at;
            known.work_cpu_s = attempts.work_cpu_s;
        }
        if self.jobs.len() > limits::REFUSED_JOBS_REMEMBERED_MAX {
            self.evict_oldest();
        }
    }

    /// Evicts the job with the oldest last attempt.
    fn evict_oldest(&mut self) {
        let jobs = self.jobs.iter();
        let oldest = jobs.min_by(|a, b| a.1.last_at.total_cmp(&b.1.last_at));
        if let Some(job) = oldest.map(|(job, _)| *job) {
            self.jobs.remove(&job);
        }
    }

    /// Removes a job that was admitted.
    pub fn remove(&mut self, job: JobHash) {
        self.jobs.remove(&job);
    }

    /// Removes jobs whose last attempt is at least `limits::REFUSED_JOB_MEMORY_S` ago.
    pub fn expire(&mut self, now_s: f64) {
        self.jobs
            .retain(|_, a| now_s - a.last_at < limits::REFUSED_JOB_MEMORY_S);
    }

    /// Returns the jobs that their users are likely to retry.
    pub fn retrying(&self, now_s: f64) -> Vec<RefusedJob> {
        let retrying = self.jobs.iter().filter(|(_, a)| a.is_retrying(now_s));
        retrying
            .map(|(job, a)| a.to_refused_job(*job, now_s))
            .collect()
    }

    /// Returns the refusals at this controller from a sequence number on, at most
    /// `limits::REFUSED_JOBS_PER_FRAME_MAX`. Refusals that are no longer kept are skipped.
    pub fn local_since(&self, sequence: u64, now_s: f64) -> RefusalBatch {
        let skipped = sequence.saturating_sub(self.first_local_sequence) as usize;
        let jobs: Vec<JobHash> = self
            .local
            .iter()
            .skip(skipped)
            .take(limits::REFUSED_JOBS_PER_FRAME_MAX)
            .copied()
            .collect();
        let end = self.first_local_sequence + self.local.len() as u64;
        let begin = sequence.max(self.first_local_sequence).min(end);
        let known = jobs
            .iter()
            .filter_map(|job| Some((job, self.jobs.get(job)?)));
        RefusalBatch {
            refused: known
                .map(|(job, a)| a.to_refused_job(*job, now_s))
                .collect(),
            next_sequence: begin + jobs.len() as u64,
        }
    }
}
