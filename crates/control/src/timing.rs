//! How long leadership and grants last, derived from the settings.

use cherrywood_limits as limits;

/// A cancellation may be told by any node while a leader and a holder are cut
/// off, so this chain must run dry within `cancel_s`: the leader's view of the
/// cancellations is too old (it stops granting), a block's lease (its holder stops
/// answering), the worker's lease (it kills its tasks).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// s; lease of the leader key: who leads.
    pub leader_s: f64,
    /// s for which a view of the cancellations may be acted on, from the sending of
    /// the request that showed it: what the leader may still say.
    pub view_s: f64,
    /// s; lease of a block of machines.
    pub grant_s: f64,
    /// s; lease of a worker.
    pub worker_s: f64,
    /// False if the floors don't leave the margin: a controller doesn't start then.
    pub fits: bool,
}

impl Timing {
    pub fn new(worker_s: f64, cancel_s: f64) -> Timing {
        let room = (cancel_s - limits::CANCEL_MARGIN_S) / (1.0 + limits::DRIFT) - worker_s;
        let leader_s = limits::LEADER_LEASE_S
            .min(room * 0.4)
            .max(limits::LEADER_LEASE_MIN_S);
        // A view is renewed about as often as the lease, so neither is the shorter leg.
        let view_s = leader_s;
        let grant_s = limits::GRANT_MAX_S
            .min(room - view_s)
            .max(limits::GRANT_MIN_S);
        Timing {
            leader_s,
            view_s,
            grant_s,
            worker_s,
            fits: view_s + grant_s <= room + 1e-9,
        }
    }

    /// s after the last possible answer to a worker by which its tasks are
    /// gone for certain, on any clock.
    pub fn worker_gone_s(&self) -> f64 {
        self.worker_s * (1.0 + limits::DRIFT) + 0.5
    }

    /// s for which a grant sent now may be used, on the leader's clock.
    pub fn grant_bound_s(&self) -> f64 {
        self.grant_s * (1.0 + limits::DRIFT)
    }
}
