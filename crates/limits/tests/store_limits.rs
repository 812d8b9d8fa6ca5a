//! Limits of the key-value store in force before and after the store rejects a transaction.

use cherrywood_limits::store_limits::{ConfiguredLimits, StoreLimits};

fn configured(write_rps: f64, value_kb: f64, txn_ops: usize) -> ConfiguredLimits {
    ConfiguredLimits {
        rps: 200.0,
        write_rps,
        value_kb,
        txn_ops,
    }
}

#[test]
fn the_smaller_limits_apply_and_a_rejection_lowers_them_to_the_minimum() {
    let mut l = StoreLimits::new(configured(80.0, 32.0, 48), configured(56.0, 2.0, 16));
    assert_eq!(
        (l.write_rps, l.txn_changes, l.value_bytes),
        (56.0, 16, 2048)
    );
    assert_eq!(
        l.unchunked_value_bytes(),
        32 * 1024,
        "the version in production must read the value whole"
    );
    assert!(l.shrink());
    assert_eq!((l.unchunked_value_bytes(), l.txn_changes), (2048, 16));
    // Further rejections lower the limits each time, down to the minimum.
    let shrinks = (0..20).take_while(|_| l.shrink()).count();
    assert_eq!((shrinks, l.value_bytes, l.txn_changes), (2, 512, 4));
    let mut l = StoreLimits::new(configured(80.0, 32.0, 48), configured(90.0, 64.0, 99));
    assert_eq!(
        (l.write_rps, l.txn_changes, l.value_bytes),
        (80.0, 48, 32 * 1024)
    );
    l.enable_chunks();
    assert_eq!(l.unchunked_value_bytes(), 32 * 1024);
}
