//! Leadership, the lease chain from the leader to a worker, and failover.

/// Seconds of the leader's lease: after a leader dies, its key stays in the store for at most
/// this long.
pub const LEADER_LEASE_S: f64 = 4.0;

/// Shortest leader lease in seconds that a tight `cancel_s` may lead to.
pub const LEADER_LEASE_MIN_S: f64 = 1.5;

/// Longest lease in seconds of a shard of machines.
pub const SHARD_LEASE_MAX_S: f64 = 30.0;

/// Shortest lease in seconds of a shard of machines.
pub const SHARD_LEASE_MIN_S: f64 = 2.0;

/// Seconds kept free when the lease chain is fitted into `cancel_s`: for the network,
/// timers and the stop itself.
pub const CANCEL_MARGIN_S: f64 = 5.0;

/// Share of elapsed time by which two steady clocks may drift apart: 0.05% each (protocol).
pub const CLOCK_DRIFT_SHARE: f64 = 0.001;

/// The shortest `cancel_s` in seconds that leaves the leader's view and a shard's lease
/// their minimum beside a worker's lease: with less, a cancelled task may still run after
/// `cancel_s`.
pub fn min_cancel_s(worker_lease_s: f64) -> f64 {
    let chain_s = LEADER_LEASE_MIN_S + SHARD_LEASE_MIN_S + worker_lease_s;
    // Rounded up to hundredths, so that the value that an error message names is allowed.
    ((chain_s * (1.0 + CLOCK_DRIFT_SHARE) + CANCEL_MARGIN_S) * 100.0).ceil() / 100.0
}

/// Seconds between two renewals of the leader's lease.
pub const LEADER_RENEW_INTERVAL_S: f64 = 0.8;

/// Seconds between two attempts at an election.
pub const ELECTION_INTERVAL_S: f64 = 0.4;

/// Seconds for which a controller that can't read the stored state leaves elections to others.
pub const UNREADABLE_STATE_PAUSE_S: f64 = 3.0;

/// Seconds without an answer from the leader that the key-value store names after which a
/// controller counts as partitioned from it.
pub const LEADER_UNREACHABLE_S: f64 = 3.0;

/// Seconds since the leader's key was last read within which a controller that is partitioned
/// from the leader still sends its workers to it.
pub const LEADER_KEY_FRESH_S: f64 = 1.5;

/// Seconds for which a new leader leaves users to other controllers: after a crash of all
/// controllers the first one back would otherwise be flooded by users while leases expire.
pub const NEW_LEADER_SETTLE_S: f64 = 3.0;

/// Share of the machines from whose heartbeats on [`NEW_LEADER_SETTLE_S`] ends early.
pub const NEW_LEADER_SETTLED_SHARE: f64 = 0.7;

/// Seconds for which the leader's watch is held by the key-value store. Each answer proves
/// that the view of the cancellations was complete when its request was sent, so a view is
/// between this and twice this old: about as old as a renewal of the lease, 0.4 s on
/// average, for three requests a second.
pub const VIEW_WATCH_HOLD_S: f64 = 0.3;

/// Seconds before a watch that failed, or a read of what it showed, is tried again.
pub const WATCH_RETRY_S: f64 = 0.2;

/// Seconds for which a leader renews its lease while its view is too old: some tries of the
/// watch (an outage of the store ends for both at once), before another controller, which may
/// have a newer view, may become leader.
pub const RENEW_WITHOUT_VIEW_MAX_S: f64 = 4.0;

/// Seconds between two watches at least, so that bursts of jobs share one answer.
pub const WATCH_INTERVAL_MIN_S: f64 = 0.08;

/// Bits by which the leader's term is shifted left in fencing tokens and attempts; the bits
/// below hold a counter within the term.
pub const TERM_SHIFT_BITS: u32 = 32;
