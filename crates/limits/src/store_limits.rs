//! Limits of the key-value store that a controller keeps to.
//!
//! The settings state the current limits and the next ones. The store may change from the
//! current to the next limits without notice, so from the start the smaller of the two applies.
//! Only values that the version in production must be able to read whole are still written up to
//! the current size limit, until every controller understands chunks.

/// Limits as stated in the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConfiguredLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Maximum KiB of a value, counted as JSON.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
}

impl ConfiguredLimits {
    fn min(self, other: ConfiguredLimits) -> ConfiguredLimits {
        ConfiguredLimits {
            rps: self.rps.min(other.rps),
            write_rps: self.write_rps.min(other.write_rps),
            value_kb: self.value_kb.min(other.value_kb),
            txn_ops: self.txn_ops.min(other.txn_ops),
        }
    }
}

/// Limits in force, to which everything that writes to the key-value store keeps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Changes per second, of all controllers together.
    pub write_rps: f64,
    /// Maximum number of changes in a transaction.
    pub txn_changes: usize,
    /// Maximum bytes of a value, counted as JSON.
    pub value_bytes: usize,
    /// Maximum bytes of a value under the current limits.
    current_value_bytes: usize,
    /// Whether larger values are written in chunks: every controller understands chunks, or the
    /// store accepts no larger value.
    chunks_enabled: bool,
}

/// Bytes of a value below which [`StoreLimits::shrink`] does not lower the limit.
const VALUE_BYTES_MIN: usize = 512;

/// Changes in a transaction below which [`StoreLimits::shrink`] does not lower the limit.
const TXN_CHANGES_MIN: usize = 4;

impl StoreLimits {
    /// Returns the smaller of the current limits and those that may hold next.
    pub fn new(current: ConfiguredLimits, next: ConfiguredLimits) -> StoreLimits {
        let smaller = current.min(next);
        let bytes = |kb: f64| (kb * 1024.0) as usize;
        StoreLimits {
            rps: smaller.rps,
            write_rps: smaller.write_rps,
            txn_changes: smaller.txn_ops,
            value_bytes: bytes(smaller.value_kb),
            current_value_bytes: bytes(current.value_kb),
            chunks_enabled: false,
        }
    }

    /// Returns the bytes up to which a value that the version in production reads is written whole.
    pub fn unchunked_value_bytes(&self) -> usize {
        if self.chunks_enabled {
            self.value_bytes
        } else {
            self.current_value_bytes
        }
    }

    /// Returns whether a value that is only a hint for the next leader may be larger than one
    /// record. A controller of the previous version reads such a value as empty.
    pub fn chunks_enabled(&self) -> bool {
        self.chunks_enabled
    }

    /// Enables chunks, once every controller understands them.
    pub fn enable_chunks(&mut self) {
        self.chunks_enabled = true;
    }

    /// Lowers the limits after the store rejected a transaction as malformed or too large: the
    /// store's limits have dropped to the next ones or, if those are already kept to, further.
    /// Returns false if no limit can be lowered any more.
    pub fn shrink(&mut self) -> bool {
        if !self.chunks_enabled && self.current_value_bytes > self.value_bytes {
            self.chunks_enabled = true;
            return true;
        }
        let before = (self.value_bytes, self.txn_changes);
        self.chunks_enabled = true;
        self.value_bytes = halved(self.value_bytes, VALUE_BYTES_MIN);
        self.txn_changes = halved(self.txn_changes, TXN_CHANGES_MIN);
        before != (self.value_bytes, self.txn_changes)
    }
}

/// Returns half of a limit, but not less than the minimum unless the limit is already below it.
fn halved(limit: usize, min: usize) -> usize {
    (limit / 2).max(min.min(limit))
}
