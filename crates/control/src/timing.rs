//! How long leadership and grants last, derived from the settings.

use cherrywood_limits as limits;

/// A cancellation may be told by any node while a leader and a holder are cut
/// off, so this chain must run dry within `cancel_s`: the leader's lease (it
/// stops granting), a block's lease (its holder stops answering), the
/// worker's lease (it kills its tasks).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// s; lease of the leader key.
    pub leader_s: f64,
    /// s; lease of a block of machines.
    pub grant_s: f64,
    /// s; lease of a worker.
    pub worker_s: f64,
    /// False if the floors don't leave the margin; worth a warning.
    pub fits: bool,
}

impl Timing {
    pub fn new(worker_s: f64, cancel_s: f64) -> Timing {
        let room = (cancel_s - limits::CANCEL_MARGIN_S) / (1.0 + limits::DRIFT) - worker_s;
        let leader_s = limits::LEADER_LEASE_S
            .min(room * 0.4)
            .max(limits::LEADER_LEASE_MIN_S);
        let grant_s = limits::GRANT_MAX_S
            .min(room - leader_s)
            .max(limits::GRANT_MIN_S);
        Timing {
            leader_s,
            grant_s,
            worker_s,
            fits: leader_s + grant_s <= room + 1e-9,
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_chain_runs_dry_within_cancel_s() {
        for (lease, cancel) in [(10.0, 40.0), (22.0, 52.0), (10.0, 20.0), (15.0, 120.0)] {
            let t = Timing::new(lease, cancel);
            assert!(t.fits, "{lease} {cancel} {t:?}");
            let sum = (t.leader_s + t.grant_s + t.worker_s) * (1.0 + limits::DRIFT);
            assert!(
                sum <= cancel - limits::CANCEL_MARGIN_S + 1e-6,
                "{sum} {cancel}"
            );
            assert!(t.grant_s <= 30.0);
        }
        let tight = Timing::new(10.0, 14.0);
        assert!(!tight.fits && tight.grant_s == limits::GRANT_MIN_S);
    }
}
