//! Scheduling policy: the level in which a task waits, the order in which waiting tasks are
//! served, the machine that suits a task best, and the number of machines wanted.
//!
//! All functions are pure: they do no I/O, read no clock, and know of jobs, machines and
//! controllers only what their arguments state. Times are seconds on the caller's steady clock.
//!
//! "The paper" is *Size-based scheduling for message queues, from per-key duration
//! statistics*; its sections 3.4 to 3.7 describe the predictor and the queue.

#![deny(missing_docs)]

pub mod bin_packing;
pub mod histogram;
pub mod predictor;
pub mod provisioning;
pub mod queue;
pub mod resources;
pub mod starvation;

pub use predictor::Predictor;
pub use queue::{Aging, MultiLevelQueue};
pub use resources::Resources;
