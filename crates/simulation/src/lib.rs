//! Simulation: runs a scenario with the controllers of `cherrywood-node` against the
//! emulated systems, in virtual time on one thread or as real processes on loopback.

pub mod command;
pub mod exit;
pub mod experiment;
pub mod live;
pub mod log;
pub mod nodes;
pub mod plot;
pub mod processes;
pub mod report;
pub mod run;
pub mod search;
pub mod shrink;
pub mod summary;
pub mod timeline;

pub use run::{Options, Outcome, run};
