//! Recovery of the leader's state after an election: the placement ledger, jobs, and the data
//! that earlier leaders learned, all read from the key-value store.

use crate::chunked_values;
use crate::job_records;
use crate::node::Node;
use crate::state::WatchPosition;
use cherrywood_control::leader::{InvalidLedgerEntry, RecoveredState};
use cherrywood_control::{Leader, keys};
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::retry::RetryPolicy;
use cherrywood_net::store_client::Listing;
use cherrywood_wire::records::{JobRecord, PlacementLogRecord, ProgressRecord};
use cherrywood_wire::store::KeyValue;
use serde::de::IgnoredAny;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use tracing::info;

/// Reason why a recovery failed. Every placement that the ledger may contain counts as running,
/// so a controller that can't read the whole ledger does not lead.
#[derive(Debug, thiserror::Error)]
pub(super) enum RecoveryError {
    /// A read failed and its retries were used up, or this controller no longer leads.
    #[error(transparent)]
    Read(#[from] NetError),
    /// An entry of the ledger was written by another version, or is damaged.
    #[error("{key}: this version can't read the ledger entry")]
    UnreadableLedgerEntry {
        /// Key of the entry.
        key: String,
    },
    /// An entry of the ledger is readable but inconsistent.
    #[error(transparent)]
    InvalidLedgerEntry(#[from] InvalidLedgerEntry),
}

impl RecoveryError {
    /// Whether another recovery by this controller would fail as well.
    pub(super) fn is_lasting(&self) -> bool {
        !matches!(self, RecoveryError::Read(_))
    }
}

/// Retry policy for reads during a recovery.
const READ_RETRIES: RetryPolicy = RetryPolicy {
    max_attempts: limits::RECOVERY_READ_ATTEMPTS_MAX,
    first_delay_s: limits::RECOVERY_READ_DELAY_FIRST_S,
    max_delay_s: limits::RECOVERY_READ_DELAY_MAX_S,
    give_up_after_s: f64::INFINITY,
};

/// Retries a read that is refused by the key-value store or lost, while this controller leads.
async fn read_with_retries<T, F>(node: &Node, mut read: impl FnMut() -> F) -> Result<T, NetError>
where
    F: Future<Output = Result<T, NetError>>,
{
    let mut attempts = READ_RETRIES.begin(node.now());
    loop {
        let error = match read().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        let jitter = node.host.random_between(0.0, 1.0);
        let pause_s = attempts.next_delay_s(&node.store.retries, None, jitter, node.now());
        let leads = |now| node.lock_state().term.leadership.may_write(now);
        match pause_s.filter(|_| leads(node.now())) {
            Some(pause_s) => node.host.sleep(pause_s).await,
            None => return Err(error),
        }
    }
}

/// Reads the state that a leader starts from, and builds this controller's [`Leader`] from it.
pub(super) async fn recover(
    node: &Arc<Node>,
    lease: u64,
    term: u64,
    key_revision: u64,
) -> Result<(), RecoveryError> {
    let mut recovered = read_leader_records(node).await?;
    let chunk_keys = read_with_retries(node, || list_chunk_keys(node)).await?;
    // Jobs are read last. If a job ends meanwhile, the guards of the leader's writes for it fail.
    let jobs = read_with_retries(node, || job_records::list_live(node)).await?;
    recovered.unreadable_jobs = jobs.unreadable;
    recovered.jobs = read_submissions(node, jobs.rows, &mut recovered.unreadable_jobs).await?;
    let obsolete_keys = chunks_without_job(chunk_keys, &recovered.jobs);
    info!(
        term,
        key_revision,
        ledger_entries = recovered.ledger.len(),
        progress_records = recovered.progress.len(),
        jobs = recovered.jobs.len(),
        unreadable_jobs = recovered.unreadable_jobs.len(),
        jobs_revision = jobs.revision,
        "state read for the failover"
    );
    recovered.wall_clock_ms = node.host.wall_ms();
    let predecessor_until = node.lock_state().term.predecessor_may_act_until;
    recovered.overlap_s = (predecessor_until - node.now()).max(0.0);
    let machine_types = node.lock_state().machine_types.clone();
    let mut cluster = node.settings.platform.deployment.cluster.clone();
    cluster.policy = node.settings.operator.policy();
    let now = node.now();
    let mut leader = Leader::new(term, key_revision, cluster, machine_types, recovered, now)?;
    leader.set_store_limits(node.store.limits());
    leader.add_obsolete_keys(obsolete_keys);
    info!(term, "failover complete: {}", leader.summary());
    let mut state = node.lock_state();
    if state.term.leadership.lease_id() != lease {
        // This controller stepped down during the recovery. It may campaign again in the next
        // election.
        return Ok(());
    }
    state.term.leader = Some(leader);
    state.term.leadership.view_completed(lease, jobs.sent);
    state.term.recovered_up_to = Some(WatchPosition {
        lease,
        revision: jobs.revision,
    });
    drop(state);
    node.placement_commit_due.notify_one();
    Ok(())
}

/// Reads the ledger, progress records, and the data that earlier leaders learned (histograms,
/// images, admission).
async fn read_leader_records(node: &Node) -> Result<RecoveredState, RecoveryError> {
    let ledger =
        read_with_retries(node, || node.store.list::<PlacementLogRecord>(keys::LEDGER)).await?;
    let progress =
        read_with_retries(node, || node.store.list::<ProgressRecord>(keys::PROGRESS)).await?;
    info!(
        ledger_from_revision = ledger.first_revision(),
        ledger_to_revision = ledger.last_revision,
        unreadable_ledger_entries = ledger.unreadable_keys.len(),
        unreadable_progress_records = progress.unreadable_keys.len(),
        "ledger and progress read"
    );
    let progress = progress.rows.into_iter();
    Ok(RecoveredState {
        ledger: ledger_entries(ledger)?,
        progress: progress
            .map(|row| {
                let key = row.key[keys::PROGRESS.len()..].to_string();
                (key, row.value, row.revision)
            })
            .collect(),
        histograms: read_with_retries(node, || chunked_values::read(node, keys::HISTOGRAMS))
            .await?,
        images: read_with_retries(node, || chunked_values::read(node, keys::IMAGES)).await?,
        admission: read_with_retries(node, || chunked_values::read(node, keys::ADMISSION)).await?,
        ..RecoveredState::default()
    })
}

/// The entries of the ledger by number. Fails unless all of them can be read.
fn ledger_entries(
    ledger: Listing<PlacementLogRecord>,
) -> Result<Vec<(u64, PlacementLogRecord)>, RecoveryError> {
    if let Some(key) = ledger.unreadable_keys.into_iter().next() {
        return Err(RecoveryError::UnreadableLedgerEntry { key });
    }
    let entry = |row: KeyValue<PlacementLogRecord>| match keys::ledger_entry(&row.key) {
        Some(number) => Ok((number, row.value)),
        None => Err(RecoveryError::UnreadableLedgerEntry { key: row.key }),
    };
    ledger.rows.into_iter().map(entry).collect()
}

/// Reads the jobs with their whole submissions, and the revisions of their records. A job whose
/// submission can't be read stays in the store and is added to `unreadable`.
async fn read_submissions(
    node: &Node,
    rows: Vec<KeyValue<JobRecord>>,
    unreadable: &mut BTreeSet<String>,
) -> Result<Vec<(JobRecord, u64)>, NetError> {
    let mut jobs = Vec::new();
    for row in rows {
        let record = || job_records::with_submission(node, row.value.clone());
        match read_with_retries(node, record).await? {
            Some(value) => jobs.push((value, row.revision)),
            None => unreadable.extend(keys::job_of(&row.key).map(str::to_string)),
        }
    }
    Ok(jobs)
}

/// Reads the keys of all chunks of submissions.
async fn list_chunk_keys(node: &Node) -> Result<Vec<String>, NetError> {
    let listing = node.store.list::<IgnoredAny>(keys::SUBMISSIONS).await?;
    Ok(listing.rows.into_iter().map(|row| row.key).collect())
}

/// Keys of the chunks of submissions that never became jobs, or whose jobs are over.
fn chunks_without_job(chunk_keys: Vec<String>, jobs: &[(JobRecord, u64)]) -> Vec<String> {
    let live: HashSet<&str> = jobs
        .iter()
        .map(|(job, _)| job.submission.id.as_str())
        .collect();
    let keys = chunk_keys.into_iter();
    keys.filter(|key| keys::submission_of(key).is_none_or(|id| !live.contains(id)))
        .collect()
}
