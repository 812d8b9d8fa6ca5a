//! Emulations of the systems that surround cherrywood, written from their protocols: state
//! service, cloud, workers, users and load balancer, and the network between them. They run
//! in virtual time or on loopback. Every random draw derives from one seed, and events are
//! recorded in a history.

pub mod balancer;
pub mod cloud;
pub mod fault_injection;
mod fault_requests;
pub mod jobs;
pub mod machine;
pub mod network;
pub mod process;
pub mod state_service;
pub mod users;
pub mod worker;
pub mod world;

pub use cloud::Cloud;
pub use fault_injection::{ControllerSupervisor, FaultInjector};
pub use network::Network;
pub use process::{Clocks, Process, Transport};
pub use state_service::StateService;
pub use users::Users;
pub use world::World;
