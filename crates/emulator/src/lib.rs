//! Emulations of the systems that surround cherrywood, written from their protocols: state
//! service, cloud, workers, users and load balancer, and the network between them. They run
//! in virtual time or on loopback. Every random draw derives from one seed, and events are
//! recorded in a history.

pub mod balancer;
pub mod cloud;
pub mod fabric;
mod fault_requests;
pub mod jobs;
pub mod machine;
pub mod proc;
pub mod state;
pub mod troubles;
pub mod users;
pub mod worker;
pub mod world;

pub use cloud::Cloud;
pub use fabric::Network;
pub use proc::{Clocks, Proc, Transport};
pub use state::StateHost;
pub use troubles::{Nodes, Troubles};
pub use users::Users;
pub use world::World;
