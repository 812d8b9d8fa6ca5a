//! The controller as a pure state machine: its inputs are events and the time, its outputs
//! commands, transactions and cloud requests. No I/O, no clock, no randomness.
//!
//! * [`Leader`]: the state and the decisions of the leading controller.
//! * [`Leadership`]: whether a controller may write and act as the leader.
//! * [`ShardOwner`]: the state that every controller keeps of the machines to whose heartbeats it
//!   responds.
//! * [`LeaseTiming`]: the durations of the leases, derived so that cancelled work ends in time.
//! * [`Settings`]: the deployment as the platform describes it, and the operators' policy.
//! * [`keys`]: the format of the keys in the key-value store.
//!
//! The package `node` drives this code with connections and timers; the package `simulation`
//! drives the same code with a simulated network and clock.

/// Traces a step of a job or task under the log target `life`, which is off unless a simulation
/// turns it on.
#[macro_export]
macro_rules! trace_job {
    ($job:expr, $($rest:tt)*) => {
        tracing::trace!(target: "life", job = %$job, $($rest)*)
    };
}

pub mod bitmap;
pub mod keys;
pub mod leader;
pub mod leadership;
pub mod lease_timing;
mod resources;
pub mod settings;
pub mod shard_owner;

pub use leader::Leader;
pub use leadership::Leadership;
pub use lease_timing::LeaseTiming;
pub use settings::{AdmissionPolicy, OperatorPolicy, Settings, Team};
pub use shard_owner::ShardOwner;
