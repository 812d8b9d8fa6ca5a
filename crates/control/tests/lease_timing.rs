//! The chain of leases (leader, shard owner, worker), which ends the tasks of a cancelled job
//! wherever the chain is interrupted.

use cherrywood_control::LeaseTiming;
use cherrywood_limits as limits;

#[test]
fn the_lease_chain_ends_within_cancel_s() {
    for (lease, cancel) in [(10.0, 40.0), (22.0, 52.0), (10.0, 20.0), (15.0, 120.0)] {
        let t = LeaseTiming::new(lease, cancel);
        assert!(t.fits_cancel_bound, "{lease} {cancel} {t:?}");
        let sum = (t.view_max_age_s + t.shard_lease_s + t.worker_lease_s)
            * (1.0 + limits::CLOCK_DRIFT_SHARE);
        assert!(
            sum <= cancel - limits::CANCEL_MARGIN_S + 1e-6,
            "{sum} {cancel}"
        );
        assert!(t.shard_lease_s <= 30.0 && t.leader_lease_s <= t.view_max_age_s);
        // The leader may still act if two successive views are late.
        assert!(2.0 * limits::VIEW_WATCH_HOLD_S + limits::STORE_TIMEOUT_S < t.view_max_age_s);
    }
    let tight = LeaseTiming::new(10.0, 14.0);
    assert!(!tight.fits_cancel_bound && tight.shard_lease_s == limits::SHARD_LEASE_MIN_S);
}

/// The bound by which settings are rejected is the one by which the lease chain is computed.
#[test]
fn least_cancel_s_is_the_smallest_accepted_bound() {
    for lease_s in [0.5, 6.0, 10.0, 15.25, 22.0, 90.0] {
        let least = limits::min_cancel_s(lease_s);
        assert!(
            LeaseTiming::new(lease_s, least + 1e-6).fits_cancel_bound,
            "{lease_s}"
        );
        assert!(
            !LeaseTiming::new(lease_s, least - 0.0101).fits_cancel_bound,
            "{lease_s}"
        );
    }
}
