//! Durations of the leader lease, of the leader's view of the cancellations, and of the shard
//! leases.

use cherrywood_limits as limits;

/// Tolerance, in seconds, for rounding when the durations are summed.
const ROUNDING_S: f64 = 1e-9;

/// Seconds from the expiry of a worker's lease until its tasks have ended: the delay of the
/// worker's own timers.
const WORKER_KILL_S: f64 = 0.5;

/// The durations of the lease chain, derived from the platform's settings.
///
/// Any controller may confirm a cancellation while the leader and a shard owner are cut
/// off. So that a cancelled task still ends within `cancel_s`, three expiries follow one
/// another, each counted from the sending of the request that last renewed it:
///
/// 1. the leader's view of the cancellations is too old to act on after `view_max_age_s`,
///    and the leader renews no shard lease;
/// 2. the shard lease expires after `shard_lease_s`, and its owner responds to no worker;
/// 3. the worker's own lease expires after `worker_lease_s`, and the worker kills its tasks.
///
/// The sum of the three, with clock drift and a margin, is at most `cancel_s`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// Duration of the lease of the leader key, s.
    pub leader_lease_s: f64,
    /// Seconds for which a view of the cancellations may be acted on, from the sending of the
    /// request that returned it.
    pub view_max_age_s: f64,
    /// Duration of a shard lease, s. A shard is the machines whose workers one controller
    /// responds to.
    pub shard_lease_s: f64,
    /// Duration of a worker's lease, s; given by the settings.
    pub worker_lease_s: f64,
    /// Whether the chain ends within `cancel_s`. It doesn't if the minimum durations
    /// leave no margin; a controller refuses to start with such settings.
    pub fits_cancel_bound: bool,
}

impl LeaseTiming {
    /// Derives the durations for workers whose lease lasts `worker_lease_s`, given that a
    /// cancelled task must be gone `cancel_s` after the confirmation.
    pub fn new(worker_lease_s: f64, cancel_s: f64) -> LeaseTiming {
        let chain_s = (cancel_s - limits::CANCEL_MARGIN_S) / (1.0 + limits::CLOCK_DRIFT_SHARE);
        let available_s = chain_s - worker_lease_s;
        let leader_lease_s = limits::LEADER_LEASE_S
            .min(available_s * 0.4)
            .max(limits::LEADER_LEASE_MIN_S);
        // A view is renewed about as often as the leader lease, so neither should expire
        // much earlier than the other.
        let view_max_age_s = leader_lease_s;
        let shard_lease_s = limits::SHARD_LEASE_MAX_S
            .min(available_s - view_max_age_s)
            .max(limits::SHARD_LEASE_MIN_S);
        LeaseTiming {
            leader_lease_s,
            view_max_age_s,
            shard_lease_s,
            worker_lease_s,
            fits_cancel_bound: view_max_age_s + shard_lease_s <= available_s + ROUNDING_S,
        }
    }

    /// Returns the seconds after the last possible response to a worker by which its tasks are
    /// certainly gone, on any clock.
    pub fn tasks_gone_after_s(&self) -> f64 {
        self.worker_lease_s * (1.0 + limits::CLOCK_DRIFT_SHARE) + WORKER_KILL_S
    }

    /// Returns the seconds for which a shard lease granted now may be used, on the leader's
    /// clock.
    pub fn shard_lease_bound_s(&self) -> f64 {
        self.shard_lease_s * (1.0 + limits::CLOCK_DRIFT_SHARE)
    }
}
