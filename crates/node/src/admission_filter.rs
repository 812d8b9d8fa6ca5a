//! Decides which new submissions this controller refuses under overload.
//!
//! The leader computes the admission table; every controller decides by its newest copy of it.
//! Recently refused jobs are remembered and sent to the peers, so that the time for which a user
//! has been retrying counts at whichever controller the job is submitted next.

use crate::lock;
use cherrywood_admission::{
    AdmissionRequest, AdmissionTable, Decision, JobHash, RecentRefusals, RefusalBatch, RefusedJob,
    TableVersion, decide, job_hash, tenant_class_id,
};
use cherrywood_control::leader::expected_work_from_table;
use cherrywood_limits::admission as limits;
use cherrywood_wire::user::Submission;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The refusals of this controller that one peer has acknowledged.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    /// Id of the peer's process that acknowledged them.
    process_id: u64,
    /// Sequence number of the last refusal that the process knows.
    up_to: u64,
}

#[derive(Debug, Default)]
struct Inner {
    table: AdmissionTable,
    /// Time (s) at which the leader or the key-value store last had no newer table.
    confirmed_at: f64,
    refusals: RecentRefusals,
    acknowledged: BTreeMap<String, Acknowledged>,
}

/// This controller's copy of the admission table, and the recently refused jobs.
#[derive(Debug)]
pub struct AdmissionFilter {
    enabled: bool,
    inner: Mutex<Inner>,
}

impl AdmissionFilter {
    /// A filter that admits every job until it has a table. A disabled filter always admits every
    /// job.
    pub fn new(enabled: bool) -> AdmissionFilter {
        AdmissionFilter {
            enabled,
            inner: Mutex::default(),
        }
    }

    // --- decisions ---

    /// Decides whether this new submission is admitted at `now` (s).
    pub fn decide(&self, job: &Submission, now: f64) -> Decision {
        let inner = lock(&self.inner);
        if !self.enabled || inner.table.gates.is_empty() {
            return Decision::Admit;
        }
        let hash = job_hash(&job.id);
        let request = AdmissionRequest {
            job: hash,
            class: tenant_class_id(&job.team, &job.class),
            work_cpu_s: expected_work_from_table(&inner.table, job),
            waited_s: inner.refusals.waited_s(hash, now),
        };
        decide(&inner.table, &request)
    }

    /// Records that this controller refused the submission at `now`.
    pub fn record_refusal(&self, job: &Submission, now: f64) {
        let mut inner = lock(&self.inner);
        let work = expected_work_from_table(&inner.table, job);
        let class = tenant_class_id(&job.team, &job.class);
        let hash = job_hash(&job.id);
        inner.refusals.record_local(hash, class, work, now);
    }

    /// Records that this controller accepted the job: it no longer waits for admission.
    pub fn record_admission(&self, job: JobHash) {
        lock(&self.inner).refusals.remove(job);
    }

    // --- the table ---

    /// Replaces the table if the given one is newer, from whichever controller it comes.
    pub fn adopt_if_newer(&self, table: &AdmissionTable) {
        let mut inner = lock(&self.inner);
        if table.version() > inner.table.version() {
            inner.table = table.clone();
        }
    }

    /// The term and generation of the table.
    pub fn table_version(&self) -> TableVersion {
        lock(&self.inner).table.version()
    }

    /// The table, if it is newer than `version`.
    pub fn table_newer_than(&self, version: TableVersion) -> Option<AdmissionTable> {
        let inner = lock(&self.inner);
        (inner.table.version() > version).then(|| inner.table.clone())
    }

    /// Records that the leader or the key-value store had no newer table at `now`.
    pub fn confirm_current(&self, now: f64) {
        let mut inner = lock(&self.inner);
        inner.confirmed_at = inner.confirmed_at.max(now);
    }

    /// Whether the table has been unconfirmed for so long that it should be read again.
    pub fn is_stale(&self, now: f64) -> bool {
        now - lock(&self.inner).confirmed_at > limits::TABLE_STALE_S
    }

    // --- refusals ---

    /// The refusals that this peer has not acknowledged yet.
    pub fn unacknowledged_refusals(&self, peer: &str, now: f64) -> RefusalBatch {
        let inner = lock(&self.inner);
        let from = inner.acknowledged.get(peer).map_or(0, |a| a.up_to);
        inner.refusals.local_since(from, now)
    }

    /// Records that the peer's process `process_id` knows the refusals up to this sequence number.
    /// A new process knows nothing of what was sent to the earlier one, however soon it was
    /// restarted: all refusals are sent again, or users' waiting times would not count there.
    pub fn acknowledge_refusals(&self, peer: &str, process_id: u64, up_to: u64) {
        let mut inner = lock(&self.inner);
        let before = inner.acknowledged.get(peer);
        let same_process = before.is_none_or(|a| a.process_id == process_id);
        let up_to = if same_process { up_to } else { 0 };
        let acknowledged = Acknowledged { process_id, up_to };
        inner.acknowledged.insert(peer.to_string(), acknowledged);
    }

    /// Records that a peer refused these jobs.
    pub fn record_peer_refusals(&self, refused: &[RefusedJob], now: f64) {
        let mut inner = lock(&self.inner);
        for r in refused {
            inner.refusals.record_from_peer(r, now);
        }
    }

    /// Refused jobs that are likely to be submitted again.
    pub fn likely_retries(&self, now: f64) -> Vec<RefusedJob> {
        lock(&self.inner).refusals.retrying(now)
    }

    /// Evicts refusals that are too old to count.
    pub fn evict_old_refusals(&self, now: f64) {
        lock(&self.inner).refusals.expire(now);
    }
}
