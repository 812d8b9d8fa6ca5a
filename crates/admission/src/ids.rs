//! Hashes that represent names in tables, frames and records.
//!
//! Controllers compare the hashes and the key-value store keeps them, so they must be the same in
//! every build.

use cherrywood_wire::admission::{JobHash, TenantClassId};
use xxhash_rust::xxh3::xxh3_64;

/// Bits of a float's mantissa, the implicit one included.
const MANTISSA_BITS: u32 = 53;

/// Returns the hash of a name, such as that of a key whose run times are learned.
pub fn stable_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the hash of a job's id.
pub fn job_hash(id: &str) -> JobHash {
    JobHash(stable_hash(id))
}

/// Returns the id of a class of a team: a hash of both names. The separator can't occur in names.
pub fn tenant_class_id(team: &str, class: &str) -> TenantClassId {
    TenantClassId(stable_hash(&format!("{team}\u{1f}{class}")))
}

/// Returns the id under which a table holds the second gate of a class, that of its largest jobs.
///
/// The format of the frames that carry tables between controllers must not change, so this gate
/// has no field of its own. A controller of a version without this gate never looks this id up.
pub fn largest_jobs_gate_id(class: TenantClassId) -> TenantClassId {
    TenantClassId(!class.0)
}

/// Maps a hash uniformly to \[0, 1).
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
