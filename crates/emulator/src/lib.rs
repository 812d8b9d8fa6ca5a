//! The systems that cherrywood serves, emulated from their protocol: state
//! service, cloud, workers, users and load balancer, and the network between
//! them, in virtual time or on loopback. Everything is drawn from one seed, and
//! what happens is recorded as a history.

pub mod fabric;
pub mod proc;

pub use fabric::Fabric;
pub use proc::{Clocks, Medium, Proc};
