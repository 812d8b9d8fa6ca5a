//! Leadership, the lease chain from the leader to a worker, and failover.

/// Duration in seconds of the leader's lease: after a leader dies, its key stays in the
/// key-value store for at most this long.
pub const LEADER_LEASE_S: f64 = 4.0;

/// Shortest duration in seconds of the leader's lease, to which a short `cancel_s` may reduce it.
pub const LEADER_LEASE_MIN_S: f64 = 1.5;

/// Longest shard lease in seconds.
pub const SHARD_LEASE_MAX_S: f64 = 30.0;

/// Shortest shard lease in seconds.
pub const SHARD_LEASE_MIN_S: f64 = 2.0;

/// Seconds of `cancel_s` that the lease chain leaves free: for the network, timers and the stop
/// of the task itself.
pub const CANCEL_MARGIN_S: f64 = 5.0;

/// Share of elapsed time by which two steady clocks may drift apart: 0.05% each (protocol).
pub const CLOCK_DRIFT_SHARE: f64 = 0.001;

/// Returns the shortest `cancel_s` in seconds that leaves the leader's view and a shard lease
/// their minimum in addition to a worker's lease: with a shorter one, a cancelled task may still
/// run after `cancel_s`.
pub fn min_cancel_s(worker_lease_s: f64) -> f64 {
    let chain_s = LEADER_LEASE_MIN_S + SHARD_LEASE_MIN_S + worker_lease_s;
    // Rounded up to hundredths, so that the value stated in an error message is allowed.
    ((chain_s * (1.0 + CLOCK_DRIFT_SHARE) + CANCEL_MARGIN_S) * 100.0).ceil() / 100.0
}

/// Seconds between two renewals of the leader's lease.
pub const LEADER_RENEW_INTERVAL_S: f64 = 0.8;

/// Seconds between two attempts to become leader.
pub const ELECTION_INTERVAL_S: f64 = 0.4;

/// Seconds for which a controller that cannot read the stored state takes part in no election.
pub const UNREADABLE_STATE_PAUSE_S: f64 = 3.0;

/// Seconds without a response from the leader named in the key-value store after which a
/// controller counts as partitioned from that leader.
pub const LEADER_UNREACHABLE_S: f64 = 3.0;

/// Seconds since the leader's key was last read within which a controller that is partitioned
/// from the leader still sends its workers to it.
pub const LEADER_KEY_FRESH_S: f64 = 1.5;

/// Seconds for which a new leader leaves users to other controllers: after a crash of all
/// controllers the first one to restart would otherwise be flooded by users while leases expire.
pub const NEW_LEADER_SETTLE_S: f64 = 3.0;

/// Share of the machines whose heartbeats must have arrived for [`NEW_LEADER_SETTLE_S`] to end
/// early.
pub const NEW_LEADER_SETTLED_SHARE: f64 = 0.7;

/// Seconds for which the key-value store holds the leader's watch. Each response proves that the
/// view of the cancellations was complete when its request was sent, so the age of a view is
/// between this and twice this: about the age of a lease renewal, 0.4 s on average, for three
/// requests per second.
pub const VIEW_WATCH_HOLD_S: f64 = 0.3;

/// Seconds before a failed watch, or a failed read of the changes that it reported, is retried.
pub const WATCH_RETRY_S: f64 = 0.2;

/// Seconds for which a leader renews its lease while its view is too old: time for several
/// attempts of the watch (an outage of the key-value store ends for both at once) before another
/// controller, which may have a newer view, may become leader.
pub const RENEW_WITHOUT_VIEW_MAX_S: f64 = 4.0;

/// Minimum seconds between two watches, so that bursts of jobs share one response.
pub const WATCH_INTERVAL_MIN_S: f64 = 0.08;

/// Bits by which the leader's term is shifted left in fencing tokens and attempts; the lower
/// bits hold a counter within the term.
pub const TERM_SHIFT_BITS: u32 = 32;
