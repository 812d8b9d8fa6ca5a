//! Leases and the keys attached to them.

use crate::validation::InvalidRequest;
use cherrywood_limits::store as limits;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Lease {
    ttl_s: f64,
    expires_at: f64,
    keys: BTreeSet<String>,
}

/// All leases that have not ended. Times are in seconds on the store's steady clock.
#[derive(Debug)]
pub(crate) struct Leases {
    by_id: BTreeMap<u64, Lease>,
    next_id: u64,
}

impl Leases {
    /// Creates an empty set; ids begin at 1.
    pub(crate) fn new() -> Leases {
        Leases {
            by_id: BTreeMap::new(),
            next_id: 1,
        }
    }

    /// Grants a lease and returns its id.
    pub(crate) fn grant(&mut self, ttl_ms: u64, now: f64) -> Result<u64, InvalidRequest> {
        if !(limits::LEASE_TTL_MIN_MS..=limits::LEASE_TTL_MAX_MS).contains(&ttl_ms) {
            return Err(InvalidRequest::TtlOutOfRange);
        }
        let id = self.next_id;
        self.next_id += 1;
        let ttl_s = ttl_ms as f64 / 1000.0;
        let lease = Lease {
            ttl_s,
            expires_at: now + ttl_s,
            keys: BTreeSet::new(),
        };
        self.by_id.insert(id, lease);
        Ok(id)
    }

    /// Renews a lease; returns false if it has ended.
    pub(crate) fn renew(&mut self, id: u64, now: f64) -> bool {
        let Some(lease) = self.by_id.get_mut(&id) else {
            return false;
        };
        lease.expires_at = now + lease.ttl_s;
        true
    }

    /// Renews all leases.
    pub(crate) fn renew_all(&mut self, now: f64) {
        for lease in self.by_id.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }

    /// Ends a lease and returns the keys that were attached to it; None if it has already
    /// ended.
    pub(crate) fn remove(&mut self, id: u64) -> Option<BTreeSet<String>> {
        self.by_id.remove(&id).map(|lease| lease.keys)
    }

    /// Returns whether the lease was granted and has not ended.
    pub(crate) fn exists(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Attaches a key to a lease; no effect if the lease has ended.
    pub(crate) fn attach(&mut self, id: u64, key: &str) {
        if let Some(lease) = self.by_id.get_mut(&id) {
            lease.keys.insert(key.to_string());
        }
    }

    /// Detaches a key from a lease; no effect if the lease has ended or doesn't hold the key.
    pub(crate) fn detach(&mut self, id: u64, key: &str) {
        if let Some(lease) = self.by_id.get_mut(&id) {
            lease.keys.remove(key);
        }
    }

    /// Returns the ids of the leases that were not renewed in time, in ascending order.
    pub(crate) fn expired(&self, now: f64) -> Vec<u64> {
        self.by_id
            .iter()
            .filter(|(_, lease)| now >= lease.expires_at)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns when the next lease expires unless it is renewed; None without leases.
    pub(crate) fn next_expiry(&self) -> Option<f64> {
        let expiries = self.by_id.values().map(|lease| lease.expires_at);
        expiries.reduce(f64::min)
    }
}
