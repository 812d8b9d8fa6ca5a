//! Background tasks of a controller: one module per task, each an endless loop. All tasks run
//! concurrently on one thread.
//!
//! Every controller runs all tasks. Tasks of the leader check in each iteration whether this
//! controller leads, and do nothing if it does not.

mod admission_table;
mod autoscaling;
mod dependency_states;
mod direct_commands;
mod heartbeat_forwarding;
mod job_commits;
mod job_watch;
mod leader_election;
mod lease_renewal;
mod maintenance;
mod member_versions;
mod placement_commits;
mod recovery;
mod snapshots;
pub mod status_queries;
mod transactions;

use crate::node::Node;
use cherrywood_limits as limits;
use std::sync::Arc;

/// Starts all background tasks. Their order must not change: a simulation replays identically
/// only if tasks start in the same order.
pub fn start(node: &Arc<Node>) {
    let host = &node.host;
    host.spawn(leader_election::run(node.clone()));
    host.spawn(lease_renewal::run(node.clone()));
    host.spawn(job_watch::run(node.clone()));
    host.spawn(dependency_states::run(node.clone()));
    host.spawn(member_versions::run(node.clone()));
    host.spawn(placement_commits::run(node.clone()));
    host.spawn(heartbeat_forwarding::run(node.clone()));
    host.spawn(job_commits::run(node.clone()));
    host.spawn(status_queries::run(node.clone()));
    host.spawn(direct_commands::run(node.clone()));
    host.spawn(autoscaling::scale(node.clone()));
    host.spawn(autoscaling::refresh_machine_list(node.clone()));
    host.spawn(autoscaling::refresh_machine_types(node.clone()));
    host.spawn(snapshots::run(node.clone()));
    host.spawn(admission_table::publish(node.clone()));
    host.spawn(admission_table::refresh(node.clone()));
    host.spawn(maintenance::run(node.clone()));
    for peer in 0..node.peers.len() {
        host.spawn(send_hellos(node.clone(), peer));
    }
}

/// Sends hellos to the peer with this index, in an endless loop.
async fn send_hellos(node: Arc<Node>, peer: usize) {
    loop {
        node.send_hello(&node.peers[peer]).await;
        node.host.sleep(limits::HELLO_INTERVAL_S).await;
    }
}
