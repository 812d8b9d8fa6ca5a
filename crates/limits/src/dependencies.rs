//! Jobs that depend on other jobs (`waits_on`).

/// Seconds that a stage of a pipeline takes in addition to its tasks' run time: for placement,
/// start and recording.
pub const PIPELINE_STAGE_OVERHEAD_S: f64 = 3.0;

/// Seconds between two computations of the demand of pipelines while the pipelines don't change.
pub const PIPELINE_DEMAND_INTERVAL_S: f64 = 1.0;

/// Share of `cancel_s` after which a job reached by a cascading cancellation is no longer
/// reported as queued: if its end is still to be written after many others, status queries for
/// it get 503, so that its user repeats them.
pub const CASCADING_CANCELLATION_QUEUED_SHARE: f64 = 0.5;

/// Seconds between two checks for the ends of jobs that other jobs depend on.
pub const DEPENDENCY_CHECK_INTERVAL_S: f64 = 0.2;

/// Maximum number of reads in one check for the ends of dependencies.
pub const DEPENDENCY_CHECK_READS_MAX: usize = 64;

/// Maximum number of ended jobs that are read one by one instead of by page.
pub const DEPENDENCY_CHECK_SINGLE_READS_MAX: usize = 4;

/// Seconds before a job of which no record was found is looked up again.
pub const DEPENDENCY_CHECK_RETRY_S: f64 = 1.0;

/// Maximum number of live jobs named in one submission's dependencies whose kind is checked.
pub const DEPENDENCY_KIND_CHECKS_MAX: usize = 16;
