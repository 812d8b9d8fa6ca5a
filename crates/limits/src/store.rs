//! The state service's own bounds, all from the protocol.

/// Bytes of a key.
pub const KEY_MAX: usize = 200;
/// Items and bytes (as JSON) of one answer to a list.
pub const LIST_ITEMS: usize = 1000;
pub const LIST_BYTES: usize = 512 * 1024;
/// Bytes that an item takes beside its key and value: field names and marks.
pub const ROW_BYTES: usize = 48;
/// Bytes (as JSON) of a transaction.
pub const TXN_BYTES: usize = 64 * 1024;
/// Changes that a watch can ask for.
pub const CHANGES_KEPT: usize = 10_000;
/// ms; a lease's time.
pub const TTL_MIN_MS: u64 = 100;
pub const TTL_MAX_MS: u64 = 600_000;
/// ms; the longest hold of a watch.
pub const HOLD_MAX_MS: u64 = 60_000;
/// s worth of a rate that may come at once.
pub const BURST_S: f64 = 1.0;
