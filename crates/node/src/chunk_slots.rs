//! The slots in which the chunks of large values were last seen.

use crate::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The slot in which each value's chunks were last seen, by the value's key. The next set of
/// chunks is written to the other slot, so that the set that may be being read stays whole.
#[derive(Debug, Default)]
pub struct ChunkSlots(Mutex<BTreeMap<String, u64>>);

impl ChunkSlots {
    /// The slot in which this key's chunks were last seen; `None` if they were never seen.
    pub fn last_seen(&self, key: &str) -> Option<u64> {
        lock(&self.0).get(key).copied()
    }

    /// Records that this key's chunks were read or written in `slot`.
    pub fn record(&self, key: &str, slot: u64) {
        lock(&self.0).insert(key.to_string(), slot);
    }
}
