//! Periodic maintenance: evicts old entries, retries postponed commits, and logs changes of
//! readiness, stalls of the process, evicted or refused connections and refused queries.

use super::transactions::reread_revisions;
use crate::node::Node;
use cherrywood_limits as limits;
use cherrywood_net::connection_pool::PoolCounts;
use std::sync::Arc;
use tracing::{debug, info, warn};

/// Maintenance rounds of the leader between two summaries in the log.
const ROUNDS_PER_SUMMARY: u32 = 20;

/// Maintenance rounds between two log lines about the served connections.
const ROUNDS_PER_CONNECTION_COUNTS: u32 = 20;

/// Runs a maintenance round every `AGING_INTERVAL_S`.
pub(super) async fn run(node: Arc<Node>) {
    let mut leader_rounds = 0u32;
    let mut rounds = 0u32;
    let mut connections_logged = PoolCounts::default();
    let mut last_round = node.now();
    let mut was_ready = node.is_ready();
    loop {
        node.host.sleep(limits::AGING_INTERVAL_S).await;
        let now = node.now();
        let gap_s = now - last_round - limits::AGING_INTERVAL_S;
        if gap_s > limits::PAUSE_LOGGED_S {
            warn!(gap_s, "process stalled: it did not run");
        }
        last_round = now;
        if was_ready != node.is_ready() {
            was_ready = !was_ready;
            log_readiness(&node, was_ready, now);
        }
        let refused = node.status_queries.take_refused_count();
        if refused > 0 {
            info!(
                refused,
                "status queries refused: state service or request budget"
            );
        }
        evict_old_entries(&node, now);
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(ROUNDS_PER_CONNECTION_COUNTS) {
            log_connections(&node, &mut connections_logged);
        }
        if !run_leader_round(&node, &mut leader_rounds, now) {
            continue;
        }
        if has_revisions_to_reread(&node) {
            reread_revisions(&node).await;
        }
        node.notify_commits_due();
    }
}

fn log_readiness(node: &Node, is_ready: bool, now: f64) {
    let state = node.lock_state();
    if is_ready {
        info!("ready: users are served again");
        return;
    }
    let without_store_s = now - state.store_contact.last_response_at;
    let why = match state.term.is_settling(now) {
        true => "failover: heartbeats take precedence",
        false => "no response from the key-value store",
    };
    warn!(
        without_store_s,
        why, "not ready: users are sent to other controllers"
    );
}

/// Logs the counts of served connections: at info level if a connection was evicted or refused
/// since `logged`, else at debug level.
fn log_connections(node: &Node, logged: &mut PoolCounts) {
    let counts = node.served_connections.counts();
    let open = node.served_connections.open();
    let rejected = |counts: &PoolCounts| counts.evicted() + counts.refused();
    if rejected(&counts) == rejected(logged) {
        debug!(open, ?counts, "served connections");
    } else {
        info!(
            open,
            ?counts,
            "served connections were evicted or refused for lack of places"
        );
    }
    *logged = counts;
}

fn evict_old_entries(node: &Node, now: f64) {
    let mut state = node.lock_state();
    state
        .shard
        .forget_silent(now, limits::SILENT_MACHINE_MEMORY_S);
    node.admission_filter.evict_old_refusals(now);
}

/// Counts a round of the leader, and logs its summary every `ROUNDS_PER_SUMMARY` rounds.
/// Returns false if this controller does not lead.
fn run_leader_round(node: &Node, rounds: &mut u32, now: f64) -> bool {
    let mut state = node.lock_state();
    let Some(leader) = state.term.leader_if_may_write(now) else {
        return false;
    };
    *rounds += 1;
    if rounds.is_multiple_of(ROUNDS_PER_SUMMARY) {
        info!("{}", leader.summary());
    }
    true
}

fn has_revisions_to_reread(node: &Node) -> bool {
    let state = node.lock_state();
    let leader = state.term.leader.as_ref();
    leader.is_some_and(|l| !l.keys_to_reread.is_empty())
}
