//! The key-value store's API: requests and responses between controllers and the store.
//!
//! Values are of any serde type; the types that controllers store are in
//! [`records`](crate::records).

use crate::records::StoredRecord;
use serde::{Deserialize, Serialize};

/// A key with its value: the response to `GET /keys/{key}`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue<V> {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: V,
    /// Revision of the key's last change.
    #[serde(rename = "mark")]
    pub revision: u64,
    /// Lease that the key is attached to: the key is removed when the lease ends.
    #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of keys: the response to `GET /keys`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValuePage<V> {
    /// Keys in ascending order.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue<V>>,
    /// Whether more keys follow these.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The store's revision.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// The response to a read of a key that doesn't exist, and to the renewal or revocation of a
/// lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionResponse {
    /// The store's revision.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A compare-and-swap guard: the transaction is applied only if the key's last change
/// has this revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision; 0: the key does not exist.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V = StoredRecord> {
    /// Sets the key's value.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: V,
        /// Lease to attach the key to; None detaches it.
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes the key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: all changes at one revision if every guard holds, else none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn<V = StoredRecord> {
    /// Conditions of the compare-and-swap.
    #[serde(rename = "guards", default)]
    pub guards: Vec<Guard>,
    /// The changes; a transaction without any only compares.
    #[serde(rename = "apply", default = "Vec::new")]
    pub changes: Vec<Change<V>>,
}

impl<V> Txn<V> {
    /// Returns whether a change attaches its key to a lease.
    pub fn attaches_lease(&self) -> bool {
        let attaches = |c: &Change<V>| matches!(c, Change::Put { lease: Some(_), .. });
        self.changes.iter().any(attaches)
    }
}

/// The response to a transaction, applied (200) or not (409).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Keys whose guards did not hold.
    #[serde(rename = "failed", default, skip_serializing_if = "Vec::is_empty")]
    pub conflicting_keys: Vec<String>,
    /// The store's revision: that of the changes, if they were applied.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// A request for a lease: `POST /leases`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease's time to live in milliseconds, counted from each renewal.
    pub ttl_ms: u64,
}

/// The response to a request for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the granted lease.
    #[serde(rename = "tether")]
    pub id: u64,
}

/// A change of a watched key: exactly one of `put_key` and `deleted_key` is set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent<V> {
    /// The key that was set.
    #[serde(
        rename = "write",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub put_key: Option<String>,
    /// The key that was removed.
    #[serde(
        rename = "drop",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub deleted_key: Option<String>,
    /// The value that was set.
    #[serde(
        rename = "v",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub value: Option<V>,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// Default of an optional field. With a plain `#[serde(default)]`, serde would require
/// `V: Default`.
fn none<T>() -> Option<T> {
    None
}

/// The response to `GET /watch`: all changes after the requested revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "V: serde::de::DeserializeOwned"))]
pub struct WatchResponse<V> {
    /// The store's revision, from which the next watch continues.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Changes in order.
    pub events: Vec<WatchEvent<V>>,
}
