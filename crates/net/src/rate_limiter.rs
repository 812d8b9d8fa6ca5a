//! Rate limiter with priorities, for a controller's share of a rate that all controllers
//! divide among themselves.

use crate::lock;
use cherrywood_limits as limits;
use std::sync::{Mutex, MutexGuard};

/// Priority of a request; lower priorities leave more of the token bucket to higher ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Users' requests, final states and leadership.
    Critical,
    /// Status queries of users. Many of them share a read, and they are delayed before
    /// placements are.
    StatusQuery,
    /// Placements.
    Placement,
    /// Progress of jobs.
    Progress,
    /// Snapshots, which only speed up the recovery of a new leader.
    Snapshot,
}

impl RequestPriority {
    /// Share of the bucket that a request of this priority must leave for higher ones.
    fn reserved_share(self) -> f64 {
        match self {
            RequestPriority::Critical => 0.0,
            RequestPriority::StatusQuery => 0.3,
            RequestPriority::Placement => 0.15,
            RequestPriority::Progress => 0.35,
            RequestPriority::Snapshot => 0.6,
        }
    }
}

/// Tolerance in tokens when levels are compared, against rounding errors.
const TOLERANCE: f64 = 1e-9;

/// Minimum wait in seconds that a caller is given.
const WAIT_MIN_S: f64 = 0.002;

/// Lower bound of the rate, in tokens per second, that waits are computed with.
const RATE_MIN: f64 = 0.001;

#[derive(Debug)]
struct TokenBucket {
    /// Tokens per second, and also the capacity of the bucket in tokens.
    rate: f64,
    level: f64,
    refilled_at: f64,
    /// Tokens that a critical request waits for.
    critical_tokens: f64,
    /// When that request last asked for them.
    last_critical_attempt_at: f64,
}

/// A token bucket that holds one second's worth of its rate. Its lock is held only briefly.
#[derive(Debug)]
pub struct RateLimiter(Mutex<TokenBucket>);

impl RateLimiter {
    /// Creates a full bucket with a rate in tokens per second.
    pub fn new(rate: f64) -> Self {
        RateLimiter(Mutex::new(TokenBucket {
            rate,
            level: rate,
            refilled_at: 0.0,
            critical_tokens: 0.0,
            last_critical_attempt_at: 0.0,
        }))
    }

    /// Changes the rate, in tokens per second.
    pub fn set_rate(&self, rate: f64) {
        self.bucket().rate = rate;
    }

    /// Returns the rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.bucket().rate
    }

    fn bucket(&self) -> MutexGuard<'_, TokenBucket> {
        lock(&self.0)
    }

    /// Takes `tokens` and returns None, or returns the seconds to wait before the next attempt.
    /// `now` is in seconds on a steady clock.
    pub fn try_acquire(&self, priority: RequestPriority, tokens: f64, now: f64) -> Option<f64> {
        let mut bucket = self.bucket();
        bucket.refill(now);
        let critical = priority == RequestPriority::Critical;
        // While a critical request waits, the bucket fills for it: otherwise many small
        // requests of lower priority would starve a larger critical one.
        let reserved_for_critical =
            if critical || now - bucket.last_critical_attempt_at > limits::STORE_TIMEOUT_S {
                0.0
            } else {
                bucket.critical_tokens
            };
        let reserved = priority.reserved_share() * bucket.rate;
        // A request for more tokens than the bucket holds may pass when the bucket is full.
        let needed = (tokens + reserved + reserved_for_critical).min(bucket.rate);
        let claimed = reserved_for_critical > 0.0 && bucket.level < reserved_for_critical + tokens;
        if bucket.level + TOLERANCE >= needed && !claimed {
            bucket.level -= tokens;
            if critical {
                bucket.critical_tokens = 0.0;
            }
            return None;
        }
        if critical {
            bucket.critical_tokens = bucket.critical_tokens.max(tokens.min(bucket.rate));
            bucket.last_critical_attempt_at = now;
        }
        Some(((needed - bucket.level) / bucket.rate.max(RATE_MIN)).max(WAIT_MIN_S))
    }
}

impl TokenBucket {
    fn refill(&mut self, now: f64) {
        let added = (now - self.refilled_at).max(0.0) * self.rate;
        self.level = (self.level + added).min(self.rate);
        self.refilled_at = now;
    }
}
