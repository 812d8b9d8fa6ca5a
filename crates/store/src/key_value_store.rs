//! The store itself: keys with values, revisions and leases, changed by transactions.

use crate::change_log::{ChangeLog, Compacted};
use crate::leases::Leases;
use crate::validation::{InvalidRequest, SizeLimits, validate_txn};
use cherrywood_limits::store as limits;
use cherrywood_wire::chunks::json_size;
use cherrywood_wire::store::{Change, Guard, KeyValue, WatchEvent};
use rmpv::Value;
use std::collections::BTreeMap;
use std::ops::Bound;

#[derive(Debug, Clone)]
struct Entry {
    value: Value,
    /// Revision of its last change.
    revision: u64,
    lease: Option<u64>,
}

impl Entry {
    fn to_key_value(&self, key: &str) -> KeyValue<Value> {
        KeyValue {
            key: key.to_string(),
            value: self.value.clone(),
            revision: self.revision,
            lease: self.lease,
        }
    }
}

/// The outcome of a well-formed transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// All its changes were applied at this revision.
    Applied(u64),
    /// Nothing was applied: the guards of these keys did not hold.
    Conflict(Vec<String>),
}

/// Size of a store's contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSize {
    /// Number of keys.
    pub keys: usize,
    /// Bytes of their values, counted as JSON.
    pub value_bytes: usize,
}

/// A consistent key-value store. Times are in seconds on a steady clock; leases end only
/// through [`KeyValueStore::expire_leases`] and [`KeyValueStore::revoke_lease`].
#[derive(Debug)]
pub struct KeyValueStore {
    size_limits: SizeLimits,
    entries: BTreeMap<String, Entry>,
    revision: u64,
    change_log: ChangeLog,
    leases: Leases,
}

impl KeyValueStore {
    /// Creates an empty store at revision 0.
    pub fn new(size_limits: SizeLimits) -> KeyValueStore {
        KeyValueStore {
            size_limits,
            entries: BTreeMap::new(),
            revision: 0,
            change_log: ChangeLog::default(),
            leases: Leases::new(),
        }
    }

    /// Changes the size limits of new transactions; stored values are kept whatever their size.
    pub fn set_size_limits(&mut self, size_limits: SizeLimits) {
        self.size_limits = size_limits;
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the size of the contents.
    pub fn size(&self) -> StoreSize {
        StoreSize {
            keys: self.entries.len(),
            value_bytes: self.entries.values().map(|e| json_size(&e.value)).sum(),
        }
    }

    /// Returns the key with its value, if it exists.
    pub fn get(&self, key: &str) -> Option<KeyValue<Value>> {
        self.entries.get(key).map(|e| e.to_key_value(key))
    }

    /// Returns the keys with the prefix after the key `from`, at most `limit` and no more than
    /// fit a response, and whether more follow.
    pub fn list(&self, prefix: &str, from: &str, limit: usize) -> (Vec<KeyValue<Value>>, bool) {
        let start = if from < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(from)
        };
        let limit = limit.min(limits::LIST_ITEMS_MAX);
        let mut bytes = 0;
        let mut items = Vec::new();
        let entries = self.entries.range::<str, _>((start, Bound::Unbounded));
        for (key, entry) in entries.take_while(|(key, _)| key.starts_with(prefix)) {
            bytes += json_size(&entry.value) + key.len() + limits::ITEM_OVERHEAD_BYTES;
            let too_large = bytes > limits::LIST_BYTES_MAX && !items.is_empty();
            if items.len() >= limit || too_large {
                return (items, true);
            }
            items.push(entry.to_key_value(key));
        }
        (items, false)
    }

    /// Checks the form of a transaction. A malformed transaction is never applied, whatever its
    /// guards.
    ///
    /// # Errors
    ///
    /// Any [`InvalidRequest`] that applies to transactions, except
    /// [`InvalidRequest::UnknownLease`].
    pub fn validate(
        &self,
        guards: &[Guard],
        changes: &[Change<Value>],
    ) -> Result<(), InvalidRequest> {
        validate_txn(guards, changes, &self.size_limits)
    }

    /// Applies all changes at one revision if all guards hold, otherwise none.
    ///
    /// # Errors
    ///
    /// Those of [`KeyValueStore::validate`], and [`InvalidRequest::UnknownLease`], whether or
    /// not the guards hold.
    pub fn txn(
        &mut self,
        guards: &[Guard],
        changes: Vec<Change<Value>>,
    ) -> Result<TxnOutcome, InvalidRequest> {
        self.validate(guards, &changes)?;
        if changes.iter().any(|c| self.names_unknown_lease(c)) {
            return Err(InvalidRequest::UnknownLease);
        }
        let conflicts = guards.iter().filter(|g| !self.holds(g));
        let conflicts: Vec<String> = conflicts.map(|g| g.key.clone()).collect();
        if !conflicts.is_empty() {
            return Ok(TxnOutcome::Conflict(conflicts));
        }
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            match change {
                Change::Put { key, value, lease } => self.put(key, value, lease),
                Change::Delete { key } => self.delete(key),
            }
        }
        Ok(TxnOutcome::Applied(self.revision))
    }

    fn names_unknown_lease(&self, change: &Change<Value>) -> bool {
        match change {
            Change::Put { lease, .. } => lease.is_some_and(|id| !self.leases.exists(id)),
            Change::Delete { .. } => false,
        }
    }

    fn holds(&self, guard: &Guard) -> bool {
        let revision = self.entries.get(&guard.key).map_or(0, |e| e.revision);
        revision == guard.revision
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        let old_lease = self.entries.get(&key).and_then(|e| e.lease);
        if let Some(id) = old_lease
            && old_lease != lease
        {
            self.leases.detach(id, &key);
        }
        if let Some(id) = lease {
            self.leases.attach(id, &key);
        }
        let revision = self.revision;
        self.change_log
            .append(revision, key.clone(), Some(value.clone()));
        let entry = Entry {
            value,
            revision,
            lease,
        };
        self.entries.insert(key, entry);
    }

    fn delete(&mut self, key: String) {
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        if let Some(id) = entry.lease {
            self.leases.detach(id, &key);
        }
        self.change_log.append(self.revision, key, None);
    }

    /// Returns the changes after the revision `from` of keys with the prefix, in order.
    ///
    /// # Errors
    ///
    /// [`Compacted`] if `from` is too old.
    pub fn changes(&self, prefix: &str, from: u64) -> Result<Vec<WatchEvent<Value>>, Compacted> {
        self.change_log.events(prefix, from)
    }

    /// Returns whether [`KeyValueStore::changes`] would return anything but an empty list, at
    /// less cost.
    pub fn has_changed(&self, prefix: &str, from: u64) -> bool {
        self.change_log.has_changed(prefix, from)
    }

    /// Grants a lease and returns its id.
    ///
    /// # Errors
    ///
    /// [`InvalidRequest::TtlOutOfRange`].
    pub fn grant_lease(&mut self, ttl_ms: u64, now: f64) -> Result<u64, InvalidRequest> {
        self.leases.grant(ttl_ms, now)
    }

    /// Renews a lease; returns false if it has ended.
    pub fn renew_lease(&mut self, id: u64, now: f64) -> bool {
        self.leases.renew(id, now)
    }

    /// Ends a lease and removes its keys, at one revision; returns false if it has already
    /// ended.
    pub fn revoke_lease(&mut self, id: u64) -> bool {
        let Some(keys) = self.leases.remove(id) else {
            return false;
        };
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.entries.remove(&key);
            self.change_log.append(self.revision, key, None);
        }
        true
    }

    /// Ends the leases that were not renewed in time; returns their number.
    pub fn expire_leases(&mut self, now: f64) -> usize {
        let expired = self.leases.expired(now);
        for id in &expired {
            self.revoke_lease(*id);
        }
        expired.len()
    }

    /// Returns when the next lease expires unless it is renewed; None without leases.
    pub fn next_lease_expiry(&self) -> Option<f64> {
        self.leases.next_expiry()
    }

    /// Renews all leases, as the store does after an outage.
    pub fn renew_all_leases(&mut self, now: f64) {
        self.leases.renew_all(now);
    }
}
