//! Limits of the key-value store itself, all from the protocol.

/// Maximum bytes of a key.
pub const KEY_BYTES_MAX: usize = 200;

/// Maximum number of items in one page of a list.
pub const LIST_ITEMS_MAX: usize = 1000;

/// Maximum bytes, counted as JSON, of one page of a list.
pub const LIST_BYTES_MAX: usize = 512 * 1024;

/// Bytes of an item in addition to its key and value: field names and numbers.
pub const ITEM_OVERHEAD_BYTES: usize = 48;

/// Maximum bytes, counted as JSON, of a transaction.
pub const TXN_BYTES_MAX: usize = 64 * 1024;

/// Maximum number of guards in a transaction, per change that it may have.
pub const GUARDS_PER_CHANGE: usize = 4;

/// Maximum number of changes kept for watches; older ones are compacted.
pub const CHANGE_LOG_MAX: usize = 10_000;

/// Shortest time to live of a lease in milliseconds.
pub const LEASE_TTL_MIN_MS: u64 = 100;

/// Longest time to live of a lease in milliseconds.
pub const LEASE_TTL_MAX_MS: u64 = 600_000;

/// Longest time in milliseconds for which a watch is held.
pub const WATCH_HOLD_MAX_MS: u64 = 60_000;

/// Burst allowed by a rate limit, in seconds' worth of the rate.
pub const RATE_BURST_S: f64 = 1.0;
