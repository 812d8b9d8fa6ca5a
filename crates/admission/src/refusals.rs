//! The jobs that were refused recently, here and at the other controllers: since when they have
//! been retrying, and their expected work.
//!
//! Controllers send each other their refusals, with ages in place of times, since their clocks
//! differ. Each refusal made here has a sequence number, so that a peer is sent each once.

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

    /// Is its user likely to try again?
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
    /// The sequence number to ask from next.
    pub next_sequence: u64,
}

/// Jobs refused recently. Bounded by `limits::REFUSED_JOBS_REMEMBERED_MAX`: beyond it the job
/// whose last attempt is longest ago is forgotten.
#[derive(Debug, Default)]
pub struct RecentRefusals {
    jobs: BTreeMap<JobHash, Attempts>,
    /// Jobs refused here, oldest refusal first, to be sent to the peers.
    local: VecDeque<JobHash>,
    /// Sequence number of the first entry of `local`.
    first_local_sequence: u64,
}

impl RecentRefusals {
    /// Seconds since the job's first attempt, as far as is known here; 0 if nothing is known.
    pub fn waited_s(&self, job: JobHash, now_s: f64) -> f64 {
        let attempts = self.jobs.get(&job);
        attempts.map_or(0.0, |a| (now_s - a.first_at).max(0.0))
    }

    /// A job was refused here, now.
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

    /// A job was refused at another controller.
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
            self.forget_longest_silent();
        }
    }

    fn forget_longest_silent(&mut self) {
        let jobs = self.jobs.iter();
        let oldest = jobs.min_by(|a, b| a.1.last_at.total_cmp(&b.1.last_at));
        if let Some(job) = oldest.map(|(job, _)| *job) {
            self.jobs.remove(&job);
        }
    }

    /// The job was admitted.
    pub fn remove(&mut self, job: JobHash) {
        self.jobs.remove(&job);
    }

    /// Forgets jobs whose last attempt is longer ago than `limits::REFUSED_JOB_MEMORY_S`.
    pub fn expire(&mut self, now_s: f64) {
        self.jobs
            .retain(|_, a| now_s - a.last_at < limits::REFUSED_JOB_MEMORY_S);
    }

    /// Jobs whose users are likely to try again.
    pub fn retrying(&self, now_s: f64) -> Vec<RefusedJob> {
        let retrying = self.jobs.iter().filter(|(_, a)| a.is_retrying(now_s));
        retrying
            .map(|(job, a)| a.to_refused_job(*job, now_s))
            .collect()
    }

    /// The refusals made here from a sequence number on, at most
    /// `limits::REFUSED_JOBS_PER_FRAME_MAX`. Those that are no longer kept are skipped.
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
