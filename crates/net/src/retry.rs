//! How failed requests are repeated: one policy with a budget for every client of the
//! key-value store, the cloud and other controllers. Decisions only; the caller passes in
//! random numbers and the time.
//!
//! Besides its own attempts each request spends from a budget that all requests of a
//! client share and that only answers fill. While most are answered nearly everything may
//! be repeated; while nothing is, repeating stops, so that repetitions add no load to a
//! service that recovers.

use crate::lock;
use cherrywood_limits as limits;
use std::sync::Mutex;

/// Doublings of the delay that are computed; the policy's maximum is reached before.
const DOUBLINGS_MAX: u32 = 16;

/// Smallest share of the nominal delay that is waited; a random number in [0, 1) is added to
/// it.
const JITTER_MIN_SHARE: f64 = 0.5;

/// How often and when a request is repeated, with exponential backoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Attempts in all, the first among them.
    pub max_attempts: u32,
    /// Nominal seconds before the second attempt; doubled for each further one.
    pub first_delay_s: f64,
    /// Longest nominal delay in seconds.
    pub max_delay_s: f64,
    /// Seconds after the first attempt past which no other begins.
    pub give_up_after_s: f64,
}

impl RetryPolicy {
    /// Seconds to wait before repetition `n`, from 1 on; `random` in [0, 1) spreads them
    /// by half to either side.
    pub fn delay_s(&self, n: u32, random: f64) -> f64 {
        let doublings = n.saturating_sub(1).min(DOUBLINGS_MAX) as i32;
        let nominal_s = (self.first_delay_s * 2f64.powi(doublings)).min(self.max_delay_s);
        nominal_s * (JITTER_MIN_SHARE + random)
    }

    /// Begins a request at `now`, in seconds on a steady clock.
    pub fn begin(self, now: f64) -> RetryState {
        RetryState {
            policy: self,
            repetitions: 0,
            began_at: now,
        }
    }
}

/// Repetitions that a client's requests may still make.
#[derive(Debug)]
pub struct RetryBudget(Mutex<f64>);

impl Default for RetryBudget {
    /// A full budget.
    fn default() -> Self {
        RetryBudget(Mutex::new(limits::RETRY_BUDGET_MAX))
    }
}

impl RetryBudget {
    /// Earns for a request that was answered.
    pub fn record_answer(&self) {
        let mut left = lock(&self.0);
        *left = (*left + limits::RETRY_BUDGET_PER_RESPONSE).min(limits::RETRY_BUDGET_MAX);
    }

    /// Pays for a repetition, if there is enough for one.
    pub(crate) fn try_spend(&self) -> bool {
        let mut left = lock(&self.0);
        let enough = *left >= 1.0;
        if enough {
            *left -= 1.0;
        }
        enough
    }
}

/// One request and its repetitions.
#[derive(Debug)]
pub struct RetryState {
    policy: RetryPolicy,
    repetitions: u32,
    began_at: f64,
}

impl RetryState {
    /// After a failed attempt: the seconds to wait before the next one, `retry_after_s` at
    /// least if the other side asked for that; None if the request must be given up.
    pub fn next_delay_s(
        &mut self,
        budget: &RetryBudget,
        retry_after_s: Option<f64>,
        random: f64,
        now: f64,
    ) -> Option<f64> {
        if self.repetitions + 1 >= self.policy.max_attempts {
            return None;
        }
        let delay_s = self.policy.delay_s(self.repetitions + 1, random);
        let delay_s = delay_s.max(retry_after_s.unwrap_or(0.0));
        let too_late = now + delay_s - self.began_at > self.policy.give_up_after_s;
        if too_late || !budget.try_spend() {
            return None;
        }
        self.repetitions += 1;
        Some(delay_s)
    }
}
