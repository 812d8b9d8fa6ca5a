//! Commits the leader's job records: finished tasks and final states.

use super::transactions::{FailedRounds, commit, reread_revisions};
use crate::node::Node;
use cherrywood_control::leader::{JobBatch, WriteOutcome};
use cherrywood_limits as limits;
use cherrywood_net::rate_limiter::RequestPriority;
use std::sync::Arc;

/// A batch of job records to commit, and the leader's term that it belongs to.
struct DueBatch {
    term: u64,
    batch: JobBatch,
    /// Whether the batch contains progress, which is written less often than final states.
    with_progress: bool,
}

/// Commits job records whenever some are due.
pub(super) async fn run(node: Arc<Node>) {
    let mut progress_written_at = 0.0;
    let mut failed_rounds = FailedRounds::default();
    loop {
        node.job_commit_due.notified().await;
        loop {
            let now = node.now();
            let Some(due) = next_batch(&node, now, progress_written_at) else {
                break;
            };
            if due.with_progress {
                progress_written_at = now;
            }
            let outcome = commit_batch(&node, due).await;
            let has_response = failed_rounds.record(&outcome);
            if !matches!(outcome, WriteOutcome::Applied(_)) {
                reread_revisions(&node).await;
            }
            if !has_response {
                failed_rounds.pause(&node).await;
            }
            node.host.sleep(limits::LEDGER_WRITE_INTERVAL_S).await;
        }
    }
}

fn next_batch(node: &Node, now: f64, progress_written_at: f64) -> Option<DueBatch> {
    let with_progress = now - progress_written_at >= limits::PROGRESS_WRITE_INTERVAL_S;
    let mut state = node.lock_state();
    let leader = state.term.leader_if_may_write(now)?;
    leader.set_store_limits(node.store.limits());
    Some(DueBatch {
        term: leader.term(),
        batch: leader.job_batch(with_progress, now)?,
        with_progress,
    })
}

async fn commit_batch(node: &Node, due: DueBatch) -> WriteOutcome {
    let priority = match due.batch.has_final_states() {
        true => RequestPriority::Critical,
        false => RequestPriority::Progress,
    };
    let outcome = commit(node, due.term, &due.batch.txn, priority).await;
    let now = node.now();
    if let Some(leader) = node.lock_state().term.leader_of_term(due.term) {
        leader.job_batch_done(due.batch, &outcome, now);
    }
    // Jobs that depend on the jobs of this batch may now start.
    node.placement_commit_due.notify_one();
    outcome
}
