//! Plans placements, commits them to the placement ledger and sends the resulting start
//! commands.

use super::transactions::{FailedRounds, commit, reread_revisions};
use crate::frames::{self, MachineCommands};
use crate::node::Node;
use cherrywood_control::leader::{AddressedCommands, CommandOutcome, LedgerBatch, WriteOutcome};
use cherrywood_limits as limits;
use cherrywood_net::peer::PeerClient;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use std::collections::BTreeMap;
use std::sync::Arc;
use tracing::Instrument as _;

/// Commits placements whenever some are due.
pub(super) async fn run(node: Arc<Node>) {
    let mut failed_rounds = FailedRounds::default();
    loop {
        node.placement_commit_due.notified().await;
        while let Some((term, batch)) = next_batch(&node) {
            let outcome = commit_batch(&node, term, batch).await;
            failed_rounds.record(&outcome);
            if !matches!(outcome, WriteOutcome::Applied(_)) {
                reread_revisions(&node).await;
                failed_rounds.pause(&node).await;
            }
            node.host.sleep(limits::LEDGER_WRITE_INTERVAL_S).await;
        }
        node.host.sleep(limits::LEDGER_WRITE_INTERVAL_S).await;
    }
}

/// The leader's term and the ledger batch that is due now. Heartbeats of many workers share one
/// pass over the queue.
fn next_batch(node: &Node) -> Option<(u64, LedgerBatch)> {
    let now = node.now();
    let mut state = node.lock_state();
    let leader = state.term.leader_if_may_write(now)?;
    leader.set_store_limits(node.store.limits());
    leader.place_pending(now);
    Some((leader.term(), leader.ledger_batch()?))
}

/// Commits placements, and sends start commands to the workers of the committed ones.
async fn commit_batch(node: &Arc<Node>, term: u64, batch: LedgerBatch) -> WriteOutcome {
    let span = tracing::trace_span!(target: "life", "placement", term);
    let write = commit(node, term, &batch.txn, RequestPriority::Placement);
    let outcome = write.instrument(span.clone()).await;
    let due = span.in_scope(|| apply_outcome(node, term, batch, &outcome));
    for (shard_owner, commands) in due {
        let commands = commands.into_iter().map(to_machine_commands).collect();
        for frame in frames::split(commands) {
            let send = send_commands(node.clone(), term, shard_owner.clone(), frame);
            node.host.spawn(send);
        }
    }
    outcome
}

/// Passes the outcome of the batch to the leader. Returns the commands that are due now, by the
/// label of the workers' shard owner.
fn apply_outcome(
    node: &Node,
    term: u64,
    batch: LedgerBatch,
    outcome: &WriteOutcome,
) -> BTreeMap<String, Vec<AddressedCommands>> {
    if let Some(leader) = node.lock_state().term.leader_of_term(term) {
        leader.ledger_batch_done(batch, outcome);
    }
    let now = node.now();
    let mut state = node.lock_state();
    let leader = state.term.leader_if_may_act(now, &node.timing);
    let leader = leader.filter(|l| l.term() == term);
    leader
        .map(|l| l.due_direct_commands(now))
        .unwrap_or_default()
}

/// Converts commands to the form used in frames between controllers.
fn to_machine_commands(commands: AddressedCommands) -> MachineCommands {
    (commands.machine, commands.address, commands.commands)
}

/// Has the owner of the workers' shard send commands directly to them. Commands that do not
/// arrive, or whose outcome stays unknown, are settled by the workers' next heartbeats.
async fn send_commands(
    node: Arc<Node>,
    term: u64,
    shard_owner: String,
    commands: Vec<MachineCommands>,
) {
    let outcomes: Vec<CommandOutcome> = match node.peer_with_label(Some(&shard_owner)) {
        Some(peer) => {
            let executed = send_through_peer(peer, &commands).await;
            executed.into_iter().map(Into::into).collect()
        }
        // The workers are in this controller's own shard.
        None => node.deliver_commands_to_all(commands.clone()).await,
    };
    for (i, (machine, _, sent)) in commands.iter().enumerate() {
        let outcome = outcomes.get(i).copied();
        let outcome = outcome.unwrap_or(CommandOutcome::Unknown);
        if let Some(leader) = node.lock_state().term.leader_of_term(term) {
            leader.direct_commands_done(machine, sent, outcome);
        }
    }
}

async fn send_through_peer(peer: &PeerClient, commands: &[MachineCommands]) -> Vec<Option<bool>> {
    let request = PeerRequest::DirectCommands {
        commands: commands.to_vec(),
    };
    match peer
        .send(&request, limits::PEER_DIRECT_COMMANDS_TIMEOUT_S)
        .await
    {
        Ok(PeerReply::DirectCommands { executed }) => executed,
        _ => Vec::new(),
    }
}
