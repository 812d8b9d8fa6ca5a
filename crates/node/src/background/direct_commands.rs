//! Requests that the leader sends to workers itself, not through the owners of their shards:
//! stops for tasks that are over on silent machines, and status queries to machines whose
//! heartbeats look outdated.

use crate::node::Node;
use cherrywood_limits as limits;
use cherrywood_wire::agent::DirectCommands;
use std::sync::Arc;

/// Sends the stops and status queries that are due, in an endless loop.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        node.host.sleep(limits::DIRECT_CONTACT_INTERVAL_S).await;
        let now = node.now();
        let due = {
            let mut state = node.lock_state();
            let leader = state.term.leader_if_may_act(now, &node.timing);
            leader.map(|l| (l.term(), l.due_direct_stops(now), l.due_status_queries(now)))
        };
        let Some((term, stops, queries)) = due else {
            continue;
        };
        for stops in stops {
            let stop = send_stops(node.clone(), term, stops.address, stops.commands);
            node.host.spawn(stop);
        }
        for query in queries {
            let query = query_status(node.clone(), term, query.machine, query.address, now);
            node.host.spawn(query);
        }
    }
}

async fn send_stops(node: Arc<Node>, term: u64, addr: String, commands: DirectCommands) {
    let Some(heartbeat) = node.send_commands_to_silent_worker(&addr, &commands).await else {
        return;
    };
    let now = node.now();
    if let Some(leader) = node.lock_state().term.leader_of_term(term) {
        leader.take_direct_status(&heartbeat, now);
    }
    node.placement_commit_due.notify_one();
}

async fn query_status(node: Arc<Node>, term: u64, machine: String, addr: String, sent_at: f64) {
    let status = node.worker_status(&addr).await;
    let now = node.now();
    if let Some(leader) = node.lock_state().term.leader_of_term(term) {
        leader.status_query_done(&machine, sent_at, status.as_ref(), now);
    }
}
