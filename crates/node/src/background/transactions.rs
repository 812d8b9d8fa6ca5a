//! Commits of the leader's writes: retries, and checks of writes whose outcome is in doubt.

use crate::node::Node;
use cherrywood_control::leader::WriteOutcome;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::retry::RetryPolicy;
use cherrywood_net::store_client::TxnOutcome;
use cherrywood_wire::store::Txn;
use serde::de::IgnoredAny;
use tracing::warn;

/// Retry policy for one transaction.
const COMMIT_RETRIES: RetryPolicy = RetryPolicy {
    max_attempts: limits::COMMIT_ATTEMPTS_MAX,
    first_delay_s: limits::COMMIT_DELAY_FIRST_S,
    max_delay_s: limits::COMMIT_DELAY_MAX_S,
    give_up_after_s: f64::INFINITY,
};

/// Pauses between rounds of commits while they fail.
const FAILED_ROUND_PAUSES: RetryPolicy = RetryPolicy {
    max_attempts: u32::MAX,
    first_delay_s: limits::LEDGER_WRITE_INTERVAL_S,
    max_delay_s: limits::WRITE_ROUND_DELAY_MAX_S,
    give_up_after_s: f64::INFINITY,
};

/// Most keys read again in one round.
const REREADS_PER_ROUND: usize = 20;

/// Whether this controller leads in this term and may write.
pub(super) fn leads_in_term(node: &Node, term: u64) -> bool {
    let now = node.now();
    let mut state = node.lock_state();
    let leader = state.term.leader_if_may_write(now);
    leader.is_some_and(|l| l.term() == term)
}

/// Sends a transaction until it is known whether it was applied, until that can't be known, or
/// until this controller no longer leads in this term.
pub(super) async fn commit(
    node: &Node,
    term: u64,
    txn: &Txn,
    priority: RequestPriority,
) -> WriteOutcome {
    let mut maybe_applied = false;
    let mut attempts = COMMIT_RETRIES.begin(node.now());
    while leads_in_term(node, term) {
        let result = node.store.txn(txn, priority).await;
        if matches!(result, Ok(TxnOutcome::Applied(_))) {
            node.record_store_response();
        }
        if let Some(outcome) = settled(result, &mut maybe_applied) {
            return outcome;
        }
        let jitter = node.host.random_between(0.0, 1.0);
        match attempts.next_delay_s(&node.store.retries, None, jitter, node.now()) {
            Some(pause_s) => node.host.sleep(pause_s).await,
            None => break,
        }
    }
    match maybe_applied {
        true => WriteOutcome::Unknown,
        false => WriteOutcome::Refused,
    }
}

/// The outcome of a transaction after one attempt; `None` if it should be sent again.
/// `maybe_applied` tells whether an earlier attempt had an unknown outcome, and is set if this
/// attempt has one.
fn settled(result: Result<TxnOutcome, NetError>, maybe_applied: &mut bool) -> Option<WriteOutcome> {
    match result {
        Ok(TxnOutcome::Applied(revision)) => Some(WriteOutcome::Applied(revision)),
        // The conflict may be with an earlier attempt of this transaction: its records are read
        // again.
        Ok(TxnOutcome::Conflict(_)) if *maybe_applied => Some(WriteOutcome::Unknown),
        Ok(TxnOutcome::Conflict(keys)) => Some(WriteOutcome::Conflict(keys)),
        Err(NetError::NotExecuted { .. }) => None,
        Err(NetError::OutcomeUnknown { .. }) => {
            *maybe_applied = true;
            None
        }
        // Not sent again unchanged: the leader builds a new, smaller transaction.
        Err(NetError::TooLarge { .. }) if !*maybe_applied => Some(WriteOutcome::Refused),
        Err(NetError::TooLarge { .. }) => Some(WriteOutcome::Unknown),
        Err(error @ (NetError::InvalidResponse { .. } | NetError::UnexpectedStatus { .. })) => {
            warn!(%error, "the key-value store refuses a transaction");
            Some(WriteOutcome::Unknown)
        }
    }
}

/// Number of consecutive failed rounds of commits.
#[derive(Debug, Default)]
pub(super) struct FailedRounds(u32);

impl FailedRounds {
    /// Records the outcome of a round. Returns true if the key-value store responded to it,
    /// whether with a conflict or not.
    pub(super) fn record(&mut self, outcome: &WriteOutcome) -> bool {
        let has_response = matches!(
            outcome,
            WriteOutcome::Applied(_) | WriteOutcome::Conflict(_)
        );
        self.0 = if has_response { 0 } else { self.0 + 1 };
        has_response
    }

    /// Waits before the next round, longer after each consecutive failed round.
    pub(super) async fn pause(&self, node: &Node) {
        let jitter = node.host.random_between(0.0, 1.0);
        let pause_s = FAILED_ROUND_PAUSES.delay_s(self.0, jitter);
        node.host.sleep(pause_s).await;
    }
}

/// Reads again the revisions of records that the leader no longer knows for certain, at most
/// `REREADS_PER_ROUND` at a time.
pub(super) async fn reread_revisions(node: &Node) {
    let (term, keys): (u64, Vec<String>) = {
        let state = node.lock_state();
        let Some(leader) = &state.term.leader else {
            return;
        };
        let keys = leader.keys_to_reread.iter().take(REREADS_PER_ROUND);
        (leader.term(), keys.cloned().collect())
    };
    for key in keys {
        // If one read fails, the others are likely to fail as well: they wait for the next round.
        let Ok(record) = node.store.get::<IgnoredAny>(&key).await else {
            return;
        };
        if let Some(leader) = node.lock_state().term.leader_of_term(term) {
            leader.reread_done(&key, record.map_or(0, |r| r.revision));
        }
    }
}
