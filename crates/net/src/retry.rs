//! Retries of failed requests: one policy with a budget for every client of the key-value
//! store, the cloud and other controllers. This module only decides; the caller passes in
//! random numbers and the time.
//!
//! Apart from its own limit of attempts, each request spends from a budget that all requests
//! of a client share and that only responses refill. While most requests get responses, nearly
//! every failed one may be repeated; while none does, repetitions stop, so that they add no
//! load to a service that recovers.

use crate::lock;
use cherrywood_limits as limits;
use std::sync::Mutex;

/// Maximum number of doublings of the delay; the policy's maximum delay is reached before.
const DOUBLINGS_MAX: u32 = 16;

/// Minimum delay as a share of the nominal delay; a random number in [0, 1) is added to this
/// share.
const JITTER_MIN_SHARE: f64 = 0.5;

/// Exponential backoff: how often and when a request is repeated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Nominal delay in seconds before the second attempt; doubled for each further one.
    pub first_delay_s: f64,
    /// Maximum nominal delay in seconds.
    pub max_delay_s: f64,
    /// Seconds after the first attempt after which no further attempt begins.
    pub give_up_after_s: f64,
}

impl RetryPolicy {
    /// Returns the seconds to wait before repetition `n`, counted from 1. `random` in [0, 1)
    /// spreads the nominal delay by half to either side.
    pub fn delay_s(&self, n: u32, random: f64) -> f64 {
        let doublings = n.saturating_sub(1).min(DOUBLINGS_MAX) as i32;
        let nominal_s = (self.first_delay_s * 2f64.powi(doublings)).min(self.max_delay_s);
        nominal_s * (JITTER_MIN_SHARE + random)
    }

    /// Begins a request whose first attempt is made at `now`, in seconds on a steady clock.
    pub fn begin(self, now: f64) -> RetryState {
        RetryState {
            policy: self,
            repetitions: 0,
            began_at: now,
        }
    }
}

/// Number of repetitions that a client's requests may still make.
#[derive(Debug)]
pub struct RetryBudget(Mutex<f64>);

impl Default for RetryBudget {
    /// Creates a full budget.
    fn default() -> Self {
        RetryBudget(Mutex::new(limits::RETRY_BUDGET_MAX))
    }
}

impl RetryBudget {
    /// Refills the budget for a request that got a response.
    pub fn record_response(&self) {
        let mut left = lock(&self.0);
        *left = (*left + limits::RETRY_BUDGET_PER_RESPONSE).min(limits::RETRY_BUDGET_MAX);
    }

    /// Spends one repetition; returns false if the budget is too low for one.
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
    /// Returns the seconds to wait after a failed attempt before the next one, at least
    /// `retry_after_s` if the server asked for that; None if the request must be given up.
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
