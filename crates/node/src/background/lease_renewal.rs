//! Renews the lease of the leader's key. The leader steps down if the lease has expired, if
//! another controller leads, or if its own view of cancellations is too old.

use super::leader_election::step_down;
use crate::node::Node;
use cherrywood_limits as limits;
use std::sync::Arc;
use tracing::debug;

/// Renews the lease while this controller leads.
pub(super) async fn run(node: Arc<Node>) {
    let every_s = limits::LEADER_RENEW_INTERVAL_S.min(node.timing.leader_lease_s / 4.0);
    loop {
        node.host.sleep(every_s).await;
        let (lease, deposed, is_view_outdated) = {
            let state = node.lock_state();
            let term = &state.term;
            let deposed = term.leader.as_ref().is_some_and(|l| l.deposed);
            let is_view_outdated = term.leadership.renewed_without_view_s(node.now())
                > limits::RENEW_WITHOUT_VIEW_MAX_S;
            (term.leadership.lease_id(), deposed, is_view_outdated)
        };
        if lease == 0 {
            continue;
        }
        if deposed {
            step_down(&node, "another leader holds the key");
        } else if is_view_outdated {
            step_down(&node, "the view of cancellations is too old");
            let _ = node.store.revoke_lease(lease).await;
        } else {
            renew(&node, lease).await;
        }
    }
}

async fn renew(node: &Node, lease: u64) {
    let sent = node.now();
    match node.store.renew_lease(lease).await {
        Ok(true) => {
            let mut state = node.lock_state();
            state.store_contact.record_response(sent);
            let leadership = &mut state.term.leadership;
            leadership.lease_renewed(lease, sent, &node.timing);
        }
        Ok(false) => step_down(node, "the lease expired"),
        // Leases of the key-value store do not expire during its outage, but shard leases do.
        Err(error) => debug!(%error, "renewal"),
    }
}
