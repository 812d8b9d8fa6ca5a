//! DAG dependencies between jobs: which jobs are ready, which can never run because a job that
//! they depend on was cancelled, and the priority and latest start that a job inherits from the
//! jobs that depend on it.
//!
//! The crate does no I/O and reads no clock. The caller reports live jobs and committed ends to
//! [`DependencyGraph`], in any order and any number of times; the graph never infers an end that
//! was not reported to it. docs/pipelines.md gives the reasons.

#![deny(missing_docs)]

mod graph;
mod requirements;

pub use graph::{DependencyGraph, Effects, JobEnd, Readiness, ReadyJob};
pub use requirements::{Deadline, EffectiveRequirements, JobRequirements};
