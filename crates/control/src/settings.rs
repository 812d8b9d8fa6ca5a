//! The platform's settings of the deployment, and the operators' policy.
//!
//! The structs with serde derives have the field names and formats of the platform's
//! settings file.

pub use cherrywood_admission::SheddingPolicy;
use cherrywood_limits::store_limits::{ConfiguredLimits, StoreLimits};
pub use cherrywood_sched::Aging;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;

/// The settings that the controllers of one deployment share.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// The operators' policy; read from a separate file.
    #[serde(skip)]
    pub policy: OperatorPolicy,
    /// The service-level objectives that the deployment is measured by.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Teams with a quota; others are guests, which have none.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Intervals and leases of the workers.
    pub workers: Workers,
    /// Limits of the key-value store on rates and sizes.
    pub state: StateLimits,
    /// Request rate limit and list delay of the cloud.
    pub cloud: CloudLimits,
}

/// The quota of a team. A guest team has none: a limit that is 0 or absent means "no limit" and
/// is read as infinite.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Team {
    /// The team's name in submissions.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit on CPUs.
    #[serde(default = "unlimited", deserialize_with = "limit")]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit on GPUs.
    #[serde(default = "unlimited", deserialize_with = "limit")]
    pub gpus_max: f64,
}

fn unlimited() -> f64 {
    f64::INFINITY
}

fn limit<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let given = f64::deserialize(from)?;
    Ok(if given > 0.0 { given } else { unlimited() })
}

/// Intervals and leases of the workers, in seconds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats.
    pub report_s: f64,
    /// Time from the last heartbeat with a response until the worker kills its tasks.
    pub lease_s: f64,
    /// Time from the confirmation of a cancellation until the cancelled tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Size of a value, KiB.
    pub value_kb: f64,
    /// Changes in one transaction.
    pub txn_ops: usize,
    /// Announced limits that take effect at some later time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextLimits>,
}

/// Announced limits of the key-value store; limits that are absent don't change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct NextLimits {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Changes a second.
    pub write_rps: Option<f64>,
    /// Size of a value, KiB.
    pub value_kb: Option<f64>,
    /// Changes in one transaction.
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the limits to observe so that none is exceeded whenever the announced ones take
    /// effect.
    pub fn conservative_limits(&self) -> StoreLimits {
        let now = ConfiguredLimits {
            rps: self.rps,
            write_rps: self.write_rps,
            value_kb: self.value_kb,
            txn_ops: self.txn_ops,
        };
        let next = self.next.unwrap_or_default();
        let next = ConfiguredLimits {
            rps: next.rps.unwrap_or(now.rps),
            write_rps: next.write_rps.unwrap_or(now.write_rps),
            value_kb: next.value_kb.unwrap_or(now.value_kb),
            txn_ops: next.txn_ops.unwrap_or(now.txn_ops),
        };
        StoreLimits::new(now, next)
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Seconds by which the cloud's list of machines may lag behind.
    pub list_lag_s: f64,
}

/// A service-level objective for the start (`wait`) or the end (`finished`) of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Objective {
    /// `wait` (until the job's tasks have started) or `finished`; other kinds have no effect on
    /// scheduling.
    pub kind: String,
    /// The job class that the objective applies to.
    #[serde(default)]
    pub class: String,
    /// Seconds from the acceptance of a job.
    #[serde(default)]
    pub within_s: f64,
}

/// The operators' policy; the defaults are those that the design assumes.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorPolicy {
    /// Rent spot machines only, never on-demand machines.
    pub cheap_only: bool,
    /// Queue tasks in levels by the median run time of their key; otherwise all in one level,
    /// first come, first served.
    pub levels: bool,
    /// When tasks that have waited for long move up one level.
    pub aging: Aging,
    /// Admission under overload.
    pub admission: AdmissionPolicy,
}

impl Default for OperatorPolicy {
    fn default() -> Self {
        OperatorPolicy {
            cheap_only: false,
            levels: true,
            aging: Aging::default(),
            admission: AdmissionPolicy::default(),
        }
    }
}

/// How much work is admitted under overload, and which of it is served first.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionPolicy {
    /// Jobs for which there is no capacity are refused.
    pub gates: bool,
    /// Under-served tenant classes get a part of the CPUs that come free before others do.
    pub floors: bool,
    /// Served share up to which every tenant class takes precedence over the teams' guarantees.
    pub floor: f64,
    /// Weights of teams whose weight isn't 1.
    pub weights: BTreeMap<String, f64>,
    /// Which jobs of an overloaded class are refused.
    pub shed: SheddingPolicy,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        AdmissionPolicy {
            gates: true,
            floors: true,
            floor: cherrywood_limits::admission::SERVED_SHARE_FLOOR,
            weights: BTreeMap::new(),
            shed: SheddingPolicy::default(),
        }
    }
}
