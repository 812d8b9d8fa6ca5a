//! Shares of the store's rate limits that controllers take.

use super::*;
use cherrywood_limits::store_limits::ConfiguredLimits;

/// Guards against followers that have never led taking an equal share of the reads beside the
/// leader's larger one, so that all shares together exceed the rate.
#[test]
fn read_shares_add_up_to_the_rate_and_followers_keep_equal_write_shares() {
    for controllers in [1, 3, 5] {
        let address = ([127, 0, 0, 1], 9).into();
        let configured = ConfiguredLimits {
            rps: 200.0,
            write_rps: 80.0,
            value_kb: 32.0,
            txn_ops: 48,
        };
        let limits = StoreLimits::new(configured, configured);
        let client = || StoreClient::new(&Runtime::native(), address, limits, controllers);
        let leader = client();
        leader.set_leading(true);
        let followers: Vec<_> = (1..controllers).map(|_| client()).collect();
        let all = || followers.iter().chain([&leader]);
        let reads: f64 = all().map(|c| c.read_rate.rate()).sum();
        assert!(
            (reads - 200.0).abs() < 1e-6,
            "{controllers} controllers: {reads}"
        );
        for follower in &followers {
            let whole = follower.write_rate.rate() * controllers as f64;
            assert!(
                (whole - 80.0).abs() < 1e-6,
                "{controllers} controllers: {whole}"
            );
        }
    }
}
