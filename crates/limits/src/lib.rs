//! Every constant of cherrywood, with its quantity and unit in its name and the reason for
//! its value in its documentation. Values that the platform's settings file states are not
//! repeated here.
//!
//! There is a module for each concern. Most modules are private and their constants are
//! re-exported at the root, as in `limits::LEADER_LEASE_S`. The constants of the admission
//! controller and of the key-value store itself are used under their module's name:
//! `store::TXN_BYTES_MAX` is the store's own limit, `TXN_BYTES_MAX` at the root the lower limit
//! that controllers keep to.

#![deny(missing_docs)]

pub mod admission;
mod autoscaler;
mod connections;
mod dependencies;
mod heartbeats;
mod leases;
mod ledger;
mod machines;
mod retries;
mod scheduling;
pub mod store;
pub mod store_limits;

pub use autoscaler::*;
pub use connections::*;
pub use dependencies::*;
pub use heartbeats::*;
pub use leases::*;
pub use ledger::*;
pub use machines::*;
pub use retries::*;
pub use scheduling::*;
