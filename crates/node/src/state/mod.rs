//! The mutable state of a controller, shared by its background tasks and request handlers.
//!
//! One lock guards the whole state ([`crate::node::Node::lock_state`]). It is held only briefly
//! and never across an await, so a reader sees leadership, shard and caches of one instant.

mod final_states;
mod leader_contact;
mod leader_term;
mod store_contact;

pub use final_states::FinalStateCache;
pub use leader_contact::LeaderContact;
pub use leader_term::{LeaderTerm, WatchPosition};
pub use store_contact::StoreContact;

use cherrywood_control::ShardOwner;
use cherrywood_wire::cloud::MachineType;

/// The mutable state of one controller, grouped by concern.
#[derive(Debug, Default)]
pub struct ControllerState {
    /// The term in which this controller leads, if it leads.
    pub term: LeaderTerm,
    /// The shard of machines to whose heartbeats this controller may respond.
    pub shard: ShardOwner,
    /// The known leader, and the time of its last response.
    pub leader_contact: LeaderContact,
    /// Times of the last contact of this controller and its peers with the key-value store.
    pub store_contact: StoreContact,
    /// Machine types that the cloud offers; empty until they have been read once.
    pub machine_types: Vec<MachineType>,
    /// Cached final states of jobs.
    pub final_states: FinalStateCache,
}

impl ControllerState {
    /// Whether the load balancer may send users here: not without the key-value store, nor right
    /// after a failover, when heartbeats of the workers take precedence.
    pub fn is_ready(&self, now: f64) -> bool {
        self.store_contact.is_ready(now) && !self.term.is_settling(now)
    }
}
