//! The chain that ends what a cancelled job runs, wherever it is cut.

use cherrywood_control::Timing;
use cherrywood_limits as limits;

#[test]
fn the_chain_runs_dry_within_cancel_s() {
    for (lease, cancel) in [(10.0, 40.0), (22.0, 52.0), (10.0, 20.0), (15.0, 120.0)] {
        let t = Timing::new(lease, cancel);
        assert!(t.fits, "{lease} {cancel} {t:?}");
        let sum = (t.view_s + t.grant_s + t.worker_s) * (1.0 + limits::DRIFT);
        assert!(
            sum <= cancel - limits::CANCEL_MARGIN_S + 1e-6,
            "{sum} {cancel}"
        );
        assert!(t.grant_s <= 30.0 && t.leader_s <= t.view_s);
        // Two views in a row may be late, and it goes on speaking.
        assert!(2.0 * limits::VIEW_HOLD_S + limits::STATE_WAIT_S < t.view_s);
    }
    let tight = Timing::new(10.0, 14.0);
    assert!(!tight.fits && tight.grant_s == limits::GRANT_MIN_S);
}

/// Settings are refused by the same bound by which the chain is made.
#[test]
fn the_least_cancel_s_is_the_first_that_fits() {
    for lease_s in [0.5, 6.0, 10.0, 15.25, 22.0, 90.0] {
        let least = limits::least_cancel_s(lease_s);
        assert!(Timing::new(lease_s, least + 1e-6).fits, "{lease_s}");
        assert!(!Timing::new(lease_s, least - 0.0101).fits, "{lease_s}");
    }
}
