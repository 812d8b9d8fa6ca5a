//! The leader's requests to the cloud: rent and delete machines, list them, read prices.

use super::transactions::leads_in_term;
use crate::node::Node;
use cherrywood_control::leader::CloudCall;
use cherrywood_limits as limits;
use std::sync::Arc;
use tracing::warn;

/// Seconds between attempts to read the machine types for the first time.
const FIRST_TYPES_RETRY_S: f64 = 0.5;

/// Refreshes machine types and prices: every controller reads them once, the leader
/// periodically.
pub(super) async fn refresh_machine_types(node: Arc<Node>) {
    loop {
        let is_due = {
            let now = node.now();
            let mut state = node.lock_state();
            state.machine_types.is_empty() || state.term.leader_if_may_write(now).is_some()
        };
        if is_due && let Ok(machine_types) = node.cloud.machine_types().await {
            let mut state = node.lock_state();
            state.machine_types.clone_from(&machine_types);
            if let Some(leader) = &mut state.term.leader {
                leader.set_machine_types(machine_types);
            }
        }
        let pause = match node.lock_state().machine_types.is_empty() {
            true => FIRST_TYPES_RETRY_S,
            false => limits::PRICE_REFRESH_INTERVAL_S,
        };
        node.host.sleep(pause).await;
    }
}

/// Rents and deletes machines as the leader's autoscaler decides.
pub(super) async fn scale(node: Arc<Node>) {
    loop {
        node.host.sleep(limits::AUTOSCALER_INTERVAL_S).await;
        let now = node.now();
        let decided = {
            let mut state = node.lock_state();
            let leader = state.term.leader_if_may_write(now);
            leader.map(|l| (l.term(), l.autoscale(now)))
        };
        let (term, calls) = decided.unwrap_or_default();
        for call in calls {
            // Each call may take seconds, and this process may have stalled. It must not delete
            // machines that another leader already uses.
            if !leads_in_term(&node, term) {
                break;
            }
            carry_out(&node, call).await;
        }
    }
}

async fn carry_out(node: &Node, call: CloudCall) {
    match call {
        CloudCall::Delete(names) => {
            if node.cloud.delete_machines(&names).await.is_err() {
                return;
            }
            let now = node.now();
            if let Some(leader) = node.lock_state().term.leader.as_mut() {
                leader.machines_deleted(&names, now);
            }
            node.placement_commit_due.notify_one();
        }
        CloudCall::Rent(rent) => match node.cloud.rent_machines(&rent).await {
            Ok(names) => {
                let now = node.now();
                if let Some(leader) = node.lock_state().term.leader.as_mut() {
                    leader.rental_answered(&rent, Some(&names), now);
                }
            }
            // If the cloud rented machines despite the error, its machine list shows them later.
            Err(e) => warn!(%e, request = rent.request_id, "rental without an answer"),
        },
    }
}

/// Reads the cloud's list of machines periodically and applies it to the leader's state.
pub(super) async fn refresh_machine_list(node: Arc<Node>) {
    let cloud = &node.settings.platform.deployment.cluster.cloud;
    // A third of the time by which the list may lag.
    let pause = (cloud.list_lag_s / 3.0).clamp(1.0, 5.0);
    loop {
        node.host.sleep(pause).await;
        let now = node.now();
        if node.lock_state().term.leader_if_may_write(now).is_none() {
            continue;
        }
        if let Ok(list) = node.cloud.list_machines().await {
            let now = node.now();
            if let Some(leader) = node.lock_state().term.leader_if_may_write(now) {
                leader.apply_machine_list(&list, now);
            }
        }
    }
}
