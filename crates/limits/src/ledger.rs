//! Writes of the leader to the key-value store: the placement log, progress and snapshots.

/// Seconds between two writes of the placement log, so that changes of several workers share one
/// write.
pub const LEDGER_WRITE_INTERVAL_S: f64 = 0.06;

/// Changes in one transaction of final states or progress, as a share of the changes that the
/// key-value store accepts per second.
pub const JOB_BATCH_CHANGES_SHARE: f64 = 0.2;

/// Seconds between two writes of progress. Until the next write, finished tasks stay in their
/// workers' heartbeats, so a new leader loses no progress.
pub const PROGRESS_WRITE_INTERVAL_S: f64 = 2.0;

/// Seconds between two snapshots of the histograms.
pub const SNAPSHOT_INTERVAL_S: f64 = 5.0;

/// Maximum bytes of a transaction that a controller sends, below the protocol's 64 KiB.
pub const TXN_BYTES_MAX: usize = 48 * 1024;

/// Number of entries of the placement log above which the oldest are compacted: a new leader
/// must read all entries.
pub const LOG_ENTRIES_TARGET: usize = 128;

/// Maximum number of entries of the placement log that one write deletes.
pub const LOG_DROPPED_ENTRIES_MAX: usize = 4;

/// Maximum number of entries whose remaining placements one write copies into a new entry.
pub const LOG_REWRITTEN_ENTRIES_MAX: usize = 2;

/// Bytes of an entry if the key-value store accepts large values. If it accepts only small ones,
/// more entries are kept, with the same number of bytes in total.
pub const LOG_ENTRY_BYTES: usize = 32 * 1024;

/// Maximum number of entries kept if the key-value store accepts only small values.
pub const LOG_ENTRIES_MAX: usize = 2048;

/// Bytes of one guard (a key and a revision) in a transaction.
pub const GUARD_BYTES: usize = 60;

/// Number of entries to delete that triggers a write without other changes.
pub const LOG_DROPS_WRITE_THRESHOLD: usize = 4;

/// Number of freed placements that triggers a write without other changes.
pub const LOG_FREED_WRITE_THRESHOLD: usize = 200;

/// Bytes of an entry in addition to its lists, including the growth of a row.
pub const LOG_ENTRY_OVERHEAD_BYTES: usize = 96;

/// Bytes of bitmap in each chunk of a large array's progress: 3,072 tasks in some 512 bytes of
/// text. It must never change: chunks of two sizes would hide tasks.
pub const PROGRESS_CHUNK_BYTES: usize = 384;

/// Maximum bytes of all histograms, and of the image cache hints while some controller may not
/// understand chunks: each must fit into one value of the key-value store's current size limit.
pub const SNAPSHOT_BYTES_MAX: usize = 31 * 1024;

/// Maximum bytes of the image cache hints once every controller understands chunks: 5,000
/// machines with 28 images take some 50 KiB, and 12,000 machines fit.
pub const IMAGE_CACHE_BYTES_MAX: usize = 128 * 1024;

/// Share of the leader's change rate that snapshots in chunks may use.
pub const SNAPSHOT_CHANGES_SHARE: f64 = 0.12;

/// Seconds between two checks of whether all controllers run this version.
pub const MEMBER_CHECK_INTERVAL_S: f64 = 3.0;

/// Format version that a controller writes to `v/<label>`: 2 means that it understands chunked
/// values and jobs with dependencies.
pub const FORMAT_VERSION: u32 = 2;

/// Chunks written in one batch, as a share of the changes that the key-value store accepts per
/// second.
pub const CHUNK_BATCH_CHANGES_SHARE: f64 = 0.08;

/// Maximum number of attempts to write a batch of chunks.
pub const CHUNK_WRITE_ATTEMPTS_MAX: u32 = 12;

/// Maximum number of attempts to read a chunked value: an attempt fails if a newer version of
/// the value is written meanwhile.
pub const CHUNK_READ_ATTEMPTS_MAX: u32 = 3;

/// Share of the key-value store's rates that the leader may use; the other controllers divide
/// the rest.
pub const LEADER_RATE_SHARE: f64 = 0.55;

/// Maximum delay in seconds between two rounds of writes while writes fail.
pub const WRITE_ROUND_DELAY_MAX_S: f64 = 0.3;

/// Maximum number of final states kept in memory; others are read again on request.
pub const FINAL_STATES_CACHED_MAX: usize = 20_000;

/// Seconds between two reads of the key-value store, each for all status queries that arrived
/// meanwhile; users wait 2 s for a response.
pub const STATUS_QUERY_BATCH_INTERVAL_S: f64 = 0.1;
