//! Messages between controllers about admission, and its record in the key-value store.
//! Times are ages, never times of day, since clocks differ.
//!
//! Frames depend on the order and the types of fields, records on the `serde` names given here:
//! both are frozen (tests/frozen.rs).

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Identifies one class of jobs of one team.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct TenantClassId(pub u64);

/// Hash of a job's id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct JobHash(pub u64);

/// Version of an admission table, which only increases: of two tables the one with the later
/// term is in force, and within a term the one made later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct TableVersion {
    /// The term of the leader that made the table.
    pub term: u64,
    /// Counts the tables of a term.
    pub generation: u64,
}

/// The admission rules, made by one leader. All jobs of a class without a gate are admitted.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct AdmissionTable {
    /// The term of the leader that made the table.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// Counts the tables of a term.
    pub generation: u64,
    /// The gates, in ascending order of class.
    pub gates: Vec<Gate>,
    /// The learned median run times, in ascending order of hash.
    #[serde(rename = "medians")]
    pub median_runtimes: Vec<MedianRuntime>,
    /// Seconds until there may be capacity for refused work.
    pub relief_s: f32,
    /// The resource that is short.
    #[serde(rename = "short")]
    pub shortage: Shortage,
}

impl AdmissionTable {
    /// Returns the table's version.
    pub fn version(&self) -> TableVersion {
        TableVersion {
            term: self.term,
            generation: self.generation,
        }
    }
}

/// The learned median run time of a key, sent so that every controller computes the same
/// expected work of a job. Stored in records as a pair.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode, Serialize, Deserialize)]
#[serde(from = "(u64, f32)", into = "(u64, f32)")]
pub struct MedianRuntime {
    /// Hash of the key's name.
    pub key_hash: u64,
    /// The median in seconds.
    pub median_s: f32,
}

impl From<(u64, f32)> for MedianRuntime {
    fn from((key_hash, median_s): (u64, f32)) -> Self {
        MedianRuntime { key_hash, median_s }
    }
}

impl From<MedianRuntime> for (u64, f32) {
    fn from(median: MedianRuntime) -> Self {
        (median.key_hash, median.median_s)
    }
}

/// The bound of expected work up to which jobs of a class are admitted; of the jobs at the
/// bound, only a share is.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct Gate {
    /// The class's id; for the gate of its largest jobs, the complement of that id.
    #[serde(rename = "cell")]
    pub class: TenantClassId,
    /// The bound in CPU-seconds; infinite if the gate doesn't depend on work.
    #[serde(rename = "up_to")]
    pub max_work_cpu_s: f64,
    /// Share of the jobs at the bound that is admitted.
    pub share: f32,
}

/// The resource whose shortage limits admission.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub enum Shortage {
    /// No shortage: all jobs are admitted.
    #[default]
    Nothing,
    /// CPUs: more are wanted and the cloud has none.
    Machines,
    /// CPUs that a team may use.
    #[serde(rename = "TeamLimit")]
    TeamQuota,
    /// Writes that the key-value store accepts.
    #[serde(rename = "StateChanges")]
    StoreWrites,
}

/// A refused job, as sent to the other controllers.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct RefusedJob {
    /// The job.
    pub job: JobHash,
    /// Its class and team.
    pub class: TenantClassId,
    /// Its expected work in CPU-seconds.
    pub work_cpu_s: f64,
    /// Seconds from the first attempt to submit the job until this message was sent.
    pub first_attempt_age_s: f32,
    /// Seconds from the last attempt to submit the job until this message was sent.
    pub last_attempt_age_s: f32,
}

/// `h/admission`: the table, and the state from which the next leader continues.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionValue {
    /// The table in force.
    pub table: AdmissionTable,
    /// CPU-seconds of expected work that a CPU completes per second; 0 if never measured.
    #[serde(rename = "pace")]
    pub throughput: f64,
    /// Whether more CPUs are wanted and the cloud has none.
    #[serde(rename = "full")]
    pub at_capacity: bool,
    /// Recent counts of jobs of each class.
    #[serde(rename = "cells")]
    pub classes: Vec<ClassCounts>,
    /// The chunks that hold the value, if it doesn't fit one record; all other fields are then
    /// empty.
    #[serde(rename = "parts", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<crate::chunks::ChunkSet>,
}

/// Recent counts of jobs of a class, with older jobs weighted less. Stored in records as a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "ClassCountsRow", into = "ClassCountsRow")]
pub struct ClassCounts {
    /// The team's name.
    pub team: String,
    /// The class's name.
    pub class: String,
    /// Jobs offered.
    pub offered: f64,
    /// Jobs admitted.
    pub admitted: f64,
    /// Jobs completed.
    pub done: f64,
}

type ClassCountsRow = (String, String, f64, f64, f64);

impl From<ClassCountsRow> for ClassCounts {
    fn from((team, class, offered, admitted, done): ClassCountsRow) -> Self {
        ClassCounts {
            team,
            class,
            offered,
            admitted,
            done,
        }
    }
}

impl From<ClassCounts> for ClassCountsRow {
    fn from(counts: ClassCounts) -> Self {
        let ClassCounts {
            team,
            class,
            offered,
            admitted,
            done,
        } = counts;
        (team, class, offered, admitted, done)
    }
}
