//! Admission control: the choice of the jobs to admit when not all can be served.
//!
//! The leader's [`AdmissionController`] counts the jobs of each tenant class that were offered,
//! admitted and done, measures the fleet's throughput, and computes a table from both. For each
//! class whose jobs don't all fit, the table holds a *gate*: a bound on work below which a job is
//! admitted, and the share of the jobs with about that much work that is admitted (a gate
//! without a bound on work admits a share of all jobs). A second gate may admit a share of the
//! class's largest jobs. All controllers have the table and respond to users by [`decide`], a
//! pure function, so that they agree; they send each other the refusals in their
//! [`RecentRefusals`].
//!
//! | module | concern |
//! | --- | --- |
//! | [`controller`] | the leader's state, and the table computed from it |
//! | [`statistics`], [`throughput`] | job counts of each class, and expected work done per CPU |
//! | [`cluster_view`] | the state of the cluster from which the leader computes a table |
//! | [`allocation`] | max-min fair shares of scarce capacities |
//! | [`decision`] | admission or refusal of one job |
//! | [`refusals`] | jobs that were refused and may be retried |
//! | [`under_served`] | admitted classes whose jobs wait too long |
//!
//! A *tenant class* is one class of jobs of one team. Work is measured in CPU-seconds, and times
//! are seconds on the caller's steady clock. The crate does no I/O and reads no clock.
//! docs/admission.md gives the reasons and the bounds.

#![deny(missing_docs)]

pub mod allocation;
pub mod cluster_view;
pub mod controller;
pub mod decision;
mod demand;
mod gates;
mod ids;
pub mod refusals;
pub mod statistics;
pub mod throughput;
pub mod under_served;
mod window;

pub use cherrywood_wire::admission::{
    AdmissionTable, AdmissionValue, ClassCounts, Gate, JobHash, MedianRuntime, RefusedJob,
    Shortage, TableVersion, TenantClassId,
};
pub use cluster_view::{ClusterView, SheddingPolicy, TeamQuota};
pub use controller::{AdmissionController, AdmittedJob};
pub use decision::{AdmissionRequest, Decision, decide};
pub use ids::{job_hash, largest_jobs_gate_id, stable_hash, tenant_class_id};
pub use refusals::{RecentRefusals, RefusalBatch};
pub use statistics::ClassStatistics;
