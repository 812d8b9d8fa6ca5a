//! Values that may not fit into one record of the key-value store: read and written whole or in
//! chunks. `cherrywood_wire::chunks` defines how a value is split and how its chunks are named.

use crate::node::Node;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::store_client::{Readable, TxnOutcome};
use cherrywood_net::{NetError, NotExecutedCause};
use cherrywood_wire::chunks::{ChunkRecord, ChunkSet, join_chunks, json_size, split_into_chunks};
use cherrywood_wire::records::{ChunkedRecord, StoredRecord};
use cherrywood_wire::store::{Change, Guard, Txn};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// The change that writes a record without a lease.
pub(crate) fn put(key: String, value: StoredRecord) -> Change {
    let lease = None;
    Change::Put { key, value, lease }
}

/// Reads the texts of a set of chunks, in order; `None` if some chunks are missing or belong to
/// another set.
pub(crate) async fn read_chunks(
    node: &Node,
    key: &str,
    chunks: ChunkSet,
) -> Result<Option<Vec<String>>, NetError> {
    let prefix = keys::chunk_prefix(key, chunks.slot);
    let rows = node.store.list::<ChunkRecord>(&prefix).await?.rows;
    let mut by_number: BTreeMap<u32, String> = BTreeMap::new();
    for row in rows {
        let number = row.key.strip_prefix(&prefix).and_then(|n| n.parse().ok());
        let in_set = row.value.set_id == chunks.set_id;
        if let Some(number) = number.filter(|n| in_set && *n < chunks.count) {
            by_number.insert(number, row.value.text);
        }
    }
    let is_complete = by_number.len() == chunks.count as usize;
    Ok(is_complete.then(|| by_number.into_values().collect()))
}

/// Parses a value from the texts of its chunks. Returns `None` and logs a warning if it can't be
/// read.
pub(crate) fn parse_chunks<T: DeserializeOwned>(key: &str, texts: &[String]) -> Option<T> {
    join_chunks(texts)
        .inspect_err(|e| tracing::warn!(key, %e, "unreadable record, left as it is"))
        .ok()
}

/// Reads a value that is stored whole or in chunks. Returns `None` if there is no readable value:
/// values stored this way help a new leader, but it can do without them.
pub async fn read<T: ChunkedRecord>(node: &Node, key: &str) -> Result<Option<T>, NetError> {
    for _ in 0..limits::CHUNK_READ_ATTEMPTS_MAX {
        let Some(item) = node.store.get::<Readable<T>>(key).await? else {
            return Ok(None);
        };
        let Some(value) = item.value.ok(key) else {
            return Ok(None);
        };
        let Some(chunks) = value.chunk_set() else {
            return Ok(Some(value));
        };
        node.chunk_slots.record(key, chunks.slot);
        // A newer set may have replaced the chunks while they were read: the record is read again.
        if let Some(texts) = read_chunks(node, key, chunks).await? {
            return Ok(parse_chunks(key, &texts));
        }
    }
    Ok(None)
}

/// Writes a value under the leader's guard: in one record if it fits, else in chunks followed by
/// the record that names them. Returns the number of changes written.
pub async fn write<T: ChunkedRecord>(
    node: &Node,
    guard: Guard,
    key: &str,
    value: T,
    priority: RequestPriority,
) -> Result<usize, NetError> {
    let writer = GuardedWriter {
        node,
        guard,
        priority,
    };
    let store_limits = node.store.limits();
    if json_size(&value) <= store_limits.unchunked_value_bytes() {
        writer
            .commit(vec![put(key.into(), value.into_record())])
            .await?;
        return Ok(1);
    }
    let used_slot = used_slot::<T>(node, key).await?;
    let texts = split_into_chunks(&value, store_limits.value_bytes);
    let chunks = ChunkSet {
        slot: 1 - used_slot.min(1),
        set_id: node.host.random(),
        count: texts.len() as u32,
    };
    let mut changes = chunk_changes(key, chunks, texts);
    changes.push(put(key.into(), T::in_chunks(chunks).into_record()));
    // Transactions are kept small: at a low priority, a transaction with many changes would wait
    // long for its share of the write rate.
    let batch_size = (store_limits.write_rps * limits::CHUNK_BATCH_CHANGES_SHARE) as usize;
    for batch in changes.chunks(batch_size.clamp(1, store_limits.txn_changes)) {
        writer.commit_with_retries(batch).await?;
    }
    node.chunk_slots.record(key, chunks.slot);
    Ok(changes.len())
}

/// The slot of the newest chunks of this key; 1 if there are none.
async fn used_slot<T: ChunkedRecord>(node: &Node, key: &str) -> Result<u64, NetError> {
    if let Some(slot) = node.chunk_slots.last_seen(key) {
        return Ok(slot);
    }
    read::<T>(node, key).await?;
    Ok(node.chunk_slots.last_seen(key).unwrap_or(1))
}

/// The changes that write these chunks.
pub(crate) fn chunk_changes(key: &str, chunks: ChunkSet, texts: Vec<String>) -> Vec<Change> {
    let prefix = keys::chunk_prefix(key, chunks.slot);
    let set_id = chunks.set_id;
    let numbered = texts.into_iter().enumerate();
    numbered
        .map(|(n, text)| {
            put(
                format!("{prefix}{n}"),
                StoredRecord::Chunk(ChunkRecord { set_id, text }),
            )
        })
        .collect()
}

/// Writes records under one guard, the leader's key.
struct GuardedWriter<'a> {
    node: &'a Node,
    guard: Guard,
    priority: RequestPriority,
}

impl GuardedWriter<'_> {
    async fn commit(&self, changes: Vec<Change>) -> Result<(), NetError> {
        let guards = vec![self.guard.clone()];
        let txn = Txn { guards, changes };
        match self.node.store.txn(&txn, self.priority).await? {
            TxnOutcome::Applied(_) => Ok(()),
            TxnOutcome::Conflict(_) => Err(NetError::not_executed(
                "write of a chunked value",
                NotExecutedCause::LeadershipLost,
            )),
        }
    }

    /// Commits the changes, and retries a refused commit while this controller leads, for at most
    /// `CHUNK_WRITE_ATTEMPTS_MAX` attempts in all.
    async fn commit_with_retries(&self, changes: &[Change]) -> Result<(), NetError> {
        let mut attempts = 0;
        while let Err(e) = self.commit(changes.to_vec()).await {
            attempts += 1;
            let may_retry = matches!(e, NetError::NotExecuted { .. })
                && attempts < limits::CHUNK_WRITE_ATTEMPTS_MAX;
            if !may_retry || self.node.lock_state().term.leader.is_none() {
                return Err(e);
            }
        }
        Ok(())
    }
}
