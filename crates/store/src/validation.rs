//! Validation of requests; malformed ones get the status 400.

use cherrywood_limits::store as limits;
use cherrywood_wire::chunks::json_size;
use cherrywood_wire::store::{Change, Guard};
use rmpv::Value;
use std::collections::BTreeSet;

/// Size limits that a deployment sets; the other limits are fixed by the protocol.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizeLimits {
    /// Maximum size of a value in bytes, counted as JSON.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction; it may have four times as many guards.
    pub txn_changes: usize,
}

/// Why a request is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A key is empty, too long or contains a space.
    #[error("a key has 1 to 200 bytes and no spaces")]
    Key,
    /// A value is larger than the deployment allows.
    #[error("a value is larger than allowed")]
    ValueTooLarge,
    /// A transaction has more changes or guards than the deployment allows.
    #[error("too many changes, or too many guards")]
    TooManyOperations,
    /// The total size of a transaction exceeds the protocol's limit.
    #[error("the transaction is larger than 64 KiB")]
    TxnTooLarge,
    /// A transaction changes a key more than once.
    #[error("two changes of one key")]
    DuplicateKey,
    /// A key would be attached to a lease that has ended or was never granted.
    #[error("no such lease")]
    UnknownLease,
    /// A lease's time to live is out of range.
    #[error("ttl_ms must be 100 to 600000")]
    TtlOutOfRange,
}

/// Checks a key.
pub(crate) fn validate_key(key: &str) -> Result<(), InvalidRequest> {
    if (1..=limits::KEY_BYTES_MAX).contains(&key.len()) && !key.contains(' ') {
        Ok(())
    } else {
        Err(InvalidRequest::Key)
    }
}

/// Checks the form of a transaction, but not whether its leases exist.
pub(crate) fn validate_txn(
    guards: &[Guard],
    changes: &[Change<Value>],
    size_limits: &SizeLimits,
) -> Result<(), InvalidRequest> {
    let too_many_guards = guards.len() > size_limits.txn_changes * limits::GUARDS_PER_CHANGE;
    if changes.len() > size_limits.txn_changes || too_many_guards {
        return Err(InvalidRequest::TooManyOperations);
    }
    let mut bytes = 0;
    for guard in guards {
        validate_key(&guard.key)?;
        bytes += json_size(guard);
    }
    let mut keys = BTreeSet::new();
    for change in changes {
        let key = match change {
            Change::Put { key, value, .. } => {
                if json_size(value) > size_limits.value_bytes {
                    return Err(InvalidRequest::ValueTooLarge);
                }
                key
            }
            Change::Delete { key } => key,
        };
        validate_key(key)?;
        if !keys.insert(key) {
            return Err(InvalidRequest::DuplicateKey);
        }
        bytes += json_size(change);
    }
    if bytes > limits::TXN_BYTES_MAX {
        return Err(InvalidRequest::TxnTooLarge);
    }
    Ok(())
}
