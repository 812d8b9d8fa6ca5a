//! Plays a night: the controllers of `cherrywood-node` against the emulated
//! systems, in virtual time on one thread or as real processes on loopback.

pub mod nodes;
pub mod play;
pub mod summary;

pub use play::{Options, Outcome, play};
