//! The systems that cherrywood serves, emulated from their protocol: state
//! service, cloud, workers, users and load balancer, and the network between
//! them, in virtual time or on loopback. Everything is drawn from one seed, and
//! what happens is recorded as a history.

pub mod balancer;
pub mod cloud;
pub mod fabric;
pub mod jobs;
pub mod machine;
mod odd;
pub mod proc;
pub mod state;
pub mod troubles;
pub mod users;
pub mod worker;
pub mod world;

pub use cloud::Cloud;
pub use fabric::Fabric;
pub use proc::{Clocks, Medium, Proc};
pub use state::StateHost;
pub use troubles::{Nodes, Troubles};
pub use users::Users;
pub use world::World;
