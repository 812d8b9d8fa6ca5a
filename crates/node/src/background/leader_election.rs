//! Leader election: the controller that creates the leader's key under its own lease, while the
//! key does not exist, becomes the leader. Each election has a higher term than the one before.

use super::recovery;
use crate::node::Node;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::store_client::TxnOutcome;
use cherrywood_wire::records::{LeaderRecord, StoredRecord, TermRecord};
use cherrywood_wire::store::{Change, Guard, KeyValue, Txn};
use std::sync::Arc;
use tracing::{Instrument as _, debug, info, warn};

/// Reads the leader's key periodically while this controller does not lead, and campaigns if
/// the key does not exist.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let leads = node.lock_state().term.leader.is_some();
        let mut pause_s = limits::ELECTION_INTERVAL_S;
        if !leads {
            match campaign(&node).await {
                Ok(CampaignResult::Settled) => {}
                Ok(CampaignResult::CannotLead) => pause_s = limits::UNREADABLE_STATE_PAUSE_S,
                Err(error) => debug!(%error, "election"),
            }
        }
        // Jitter makes it unlikely that controllers campaign at the same moment.
        pause_s *= node.host.random_between(0.8, 1.2);
        node.host.sleep(pause_s).await;
    }
}

/// Result of a campaign whose requests all got a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CampaignResult {
    /// There is a leader, or one may be elected at once.
    Settled,
    /// This controller was elected but can't read the state in the key-value store.
    CannotLead,
}

async fn campaign(node: &Arc<Node>) -> Result<CampaignResult, NetError> {
    let current = node.store.get::<LeaderRecord>(keys::LEADER).await?;
    node.record_store_response();
    match current {
        Some(item) if item.value.leader == node.label() => {
            revoke_predecessor_lease(node, item).await?;
            Ok(CampaignResult::Settled)
        }
        Some(item) => {
            let now = node.now();
            let mut state = node.lock_state();
            state
                .leader_contact
                .record_stored_leader(item.value.leader, now);
            Ok(CampaignResult::Settled)
        }
        None => run_for_leader(node).await,
    }
}

/// Revokes the leader's lease of an earlier process with this controller's label.
///
/// This process does not lead, so an earlier one with the same label did, and it has ended: its
/// lease is revoked rather than waited for. If that process still runs, it acts as the leader
/// until its lease expires by its own clock, so the shard leases that it grants until then must
/// be waited out.
async fn revoke_predecessor_lease(
    node: &Node,
    item: KeyValue<LeaderRecord>,
) -> Result<(), NetError> {
    if let Some(lease) = item.lease {
        node.store.revoke_lease(lease).await?;
    }
    let until = node.now() + node.timing.leader_lease_s;
    node.lock_state().term.predecessor_may_act_until = until;
    Ok(())
}

async fn run_for_leader(node: &Arc<Node>) -> Result<CampaignResult, NetError> {
    let sent = node.now();
    let lease = node.store.grant_lease(node.timing.leader_lease_s).await?;
    let (term, term_revision) = match node.store.get::<TermRecord>(keys::LAST_TERM).await? {
        Some(item) => (item.value.last_term + 1, item.revision),
        None => (1, 0),
    };
    let leader = LeaderRecord {
        leader: node.label().to_string(),
        term,
        nonce: node.host.random(),
    };
    let txn = election_txn(leader, lease, term_revision);
    let TxnOutcome::Applied(key_revision) = node.store.txn(&txn, RequestPriority::Critical).await?
    else {
        let _ = node.store.revoke_lease(lease).await;
        return Ok(CampaignResult::Settled);
    };
    info!(term, lease, key_revision, "elected leader");
    {
        let mut state = node.lock_state();
        state.term.begin(lease, sent, &node.timing);
        state.leader_contact.known_leader = Some(node.label().to_string());
    }
    node.store.set_leading(true);
    let span = tracing::trace_span!(target: "life", "failover", term);
    let recovery = recovery::recover(node, lease, term, key_revision);
    let Err(error) = recovery.instrument(span).await else {
        return Ok(CampaignResult::Settled);
    };
    warn!(%error, "recovery failed; giving the lease back");
    step_down(node, "recovery failed");
    let _ = node.store.revoke_lease(lease).await;
    match error.is_lasting() {
        true => Ok(CampaignResult::CannotLead),
        false => Ok(CampaignResult::Settled),
    }
}

/// The transaction that writes the leader's key, if it does not exist, and the new term, if the
/// stored term has not changed since it was read.
fn election_txn(leader: LeaderRecord, lease: u64, term_revision: u64) -> Txn {
    let term = TermRecord {
        last_term: leader.term,
    };
    let guard = |key: &str, revision| Guard {
        key: key.into(),
        revision,
    };
    Txn {
        guards: vec![
            guard(keys::LEADER, 0),
            guard(keys::LAST_TERM, term_revision),
        ],
        changes: vec![
            Change::Put {
                key: keys::LEADER.into(),
                value: StoredRecord::Leader(leader),
                lease: Some(lease),
            },
            Change::Put {
                key: keys::LAST_TERM.into(),
                value: StoredRecord::Term(term),
                lease: None,
            },
        ],
    }
}

/// Gives up leadership and logs the reason `why`.
pub(super) fn step_down(node: &Node, why: &str) {
    let mut state = node.lock_state();
    if state.term.end() {
        warn!(why, "no longer leading");
    }
    state.leader_contact.forget(node.label());
    drop(state);
    node.store.set_leading(false);
}
