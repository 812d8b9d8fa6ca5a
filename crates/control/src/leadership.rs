//! Whether this process may write and act as the leader.
//!
//! Two proofs are needed, and neither implies the other:
//!
//! * **The lease of the leader key** proves that no other controller leads. It suffices for
//!   writes ([`Leadership::may_write`]), since each write is guarded by the leader key.
//! * **A recent view of the cancellations** proves which work may no longer run. Any
//!   controller may confirm a cancellation, so a response to a worker is safe only while the
//!   data that it is based on is known to be complete up to a recent moment. Acting on
//!   workers ([`Leadership::may_act`]) needs both proofs.
//!
//! Renewing the lease proves nothing about cancellations: after an outage of the key-value
//! store a lease has its full duration again, and while only the watch of the jobs is
//! refused, lags or hangs, the lease is still renewed.
//!
//! The validity of both proofs is counted from the sending of the request whose response
//! proves them. All times are seconds on this process's monotonic clock.

use crate::LeaseTiming;
use cherrywood_limits as limits;

/// The leader lease of this process and its view of the cancellations.
///
/// The default value is that of a process that does not lead.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Leadership {
    /// The lease of the leader key; 0 if this process doesn't hold the key.
    lease_id: u64,
    lease_expires_at: f64,
    /// All cancellations committed before this time are known to this process.
    view_complete_until: Option<f64>,
    /// Start of the period in which the lease has been renewed although the view was too old
    /// to act on; `None` if the view is recent.
    renewed_without_view_since: Option<f64>,
}

impl Leadership {
    /// Records that this process holds the leader key under `lease_id`, a lease requested at
    /// `sent`. Drops the proofs of an earlier term.
    pub fn leader_key_acquired(&mut self, lease_id: u64, sent: f64, timing: &LeaseTiming) {
        *self = Leadership {
            lease_id,
            lease_expires_at: lease_expiry(sent, timing),
            view_complete_until: None,
            renewed_without_view_since: None,
        };
    }

    /// Records that this process no longer leads.
    pub fn leader_key_lost(&mut self) {
        *self = Leadership::default();
    }

    /// Returns the lease of the leader key; 0 if this process doesn't hold the key.
    pub fn lease_id(&self) -> u64 {
        self.lease_id
    }

    /// Records that the renewal of `lease_id` that was sent at `sent` succeeded. Has no effect
    /// if that lease is not the one of this term.
    pub fn lease_renewed(&mut self, lease_id: u64, sent: f64, timing: &LeaseTiming) {
        if !self.is_current(lease_id) {
            return;
        }
        self.lease_expires_at = lease_expiry(sent, timing);
        let view_too_old = self
            .view_complete_until
            .is_some_and(|complete_until| sent >= complete_until + timing.view_max_age_s);
        self.renewed_without_view_since = match view_too_old {
            true => Some(self.renewed_without_view_since.unwrap_or(sent)),
            false => None,
        };
    }

    /// Records that the leader of `lease_id` has applied every change committed before `sent`.
    /// A response that arrives after a newer one doesn't make the view older. Has no effect if
    /// that lease is not the one of this term.
    pub fn view_completed(&mut self, lease_id: u64, sent: f64) {
        if !self.is_current(lease_id) {
            return;
        }
        let complete_until = self.view_complete_until.map_or(sent, |v| v.max(sent));
        self.view_complete_until = Some(complete_until);
        self.renewed_without_view_since = None;
    }

    /// Whether this process may write as the leader: its lease has not expired on any
    /// clock that drifts within `CLOCK_DRIFT_SHARE`, so no other controller leads.
    pub fn may_write(&self, now: f64) -> bool {
        self.lease_id != 0 && now < self.lease_expires_at
    }

    /// Whether this process may also respond to workers, grant shard leases and send commands.
    pub fn may_act(&self, now: f64, timing: &LeaseTiming) -> bool {
        let max_age_s = timing.view_max_age_s * (1.0 - limits::CLOCK_DRIFT_SHARE);
        self.may_write(now)
            && self
                .view_complete_until
                .is_some_and(|v| now < v + max_age_s)
    }

    /// Returns the seconds for which the lease has been renewed although the view was too old;
    /// 0 if the view is recent. A leader for which this grows gives up the key: another
    /// controller may still be able to watch the jobs.
    pub fn renewed_without_view_s(&self, now: f64) -> f64 {
        self.renewed_without_view_since
            .map_or(0.0, |since| now - since)
    }

    fn is_current(&self, lease_id: u64) -> bool {
        lease_id != 0 && lease_id == self.lease_id
    }
}

/// Returns the earliest time at which a lease requested at `sent` expires on any clock.
fn lease_expiry(sent: f64, timing: &LeaseTiming) -> f64 {
    sent + timing.leader_lease_s * (1.0 - limits::CLOCK_DRIFT_SHARE)
}
