//! Token bucket rate limiter.

/// Tolerance in tokens when levels are compared, against rounding errors.
const TOLERANCE: f64 = 1e-9;

/// A token bucket, from which up to some seconds' worth of its rate may be taken at once.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    nominal_rate: f64,
    nominal_capacity: f64,
    rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// Creates a full bucket with a rate in tokens per second; it holds `burst_s` seconds' worth
    /// of tokens.
    pub fn new(rate: f64, burst_s: f64) -> TokenBucket {
        let capacity = rate * burst_s;
        TokenBucket {
            nominal_rate: rate,
            nominal_capacity: capacity,
            rate,
            capacity,
            level: capacity,
            refilled_at: 0.0,
        }
    }

    /// Scales rate and capacity to this share of their nominal values from now on.
    pub fn set_share(&mut self, share: f64) {
        self.rate = self.nominal_rate * share;
        self.capacity = self.nominal_capacity * share;
    }

    /// Takes `tokens` if the bucket holds them at `now`, in seconds on a steady clock; returns
    /// whether it did.
    pub fn try_take(&mut self, tokens: f64, now: f64) -> bool {
        let earned = (now - self.refilled_at).max(0.0) * self.rate;
        self.level = (self.level + earned).min(self.capacity);
        self.refilled_at = now;
        let enough = self.level + TOLERANCE >= tokens;
        if enough {
            self.level -= tokens;
        }
        enough
    }
}
