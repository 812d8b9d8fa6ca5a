//! Which new submissions this controller refuses under overload.
//!
//! The leader makes the admission table; every controller decides by its newest copy. Jobs
//! refused of late are remembered and sent to the peers, so that the time for which a user
//! has been trying counts wherever the job comes next.

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

/// What one peer has acknowledged of the refusals made here.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    /// The peer's process that did.
    process_id: u64,
    /// The number of the last refusal that it knows.
    up_to: u64,
}

#[derive(Debug, Default)]
struct Inner {
    table: AdmissionTable,
    /// When the leader or the state service last had no newer table, s.
    confirmed_at: f64,
    refusals: RecentRefusals,
    acknowledged: BTreeMap<String, Acknowledged>,
}

/// The admission table as this controller has it, and the jobs refused of late.
#[derive(Debug)]
pub struct AdmissionFilter {
    enabled: bool,
    inner: Mutex<Inner>,
}

impl AdmissionFilter {
    /// A filter that admits all until it has a table; a disabled one admits all for ever.
    pub fn new(enabled: bool) -> AdmissionFilter {
        AdmissionFilter {
            enabled,
            inner: Mutex::default(),
        }
    }

    // --- decisions ---

    /// Is this new submission admitted at `now` (s)?
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

    /// This submission was refused here at `now`.
    pub fn record_refusal(&self, job: &Submission, now: f64) {
        let mut inner = lock(&self.inner);
        let work = expected_work_from_table(&inner.table, job);
        let class = tenant_class_id(&job.team, &job.class);
        let hash = job_hash(&job.id);
        inner.refusals.record_local(hash, class, work, now);
    }

    /// This job was accepted here: it no longer waits.
    pub fn record_admission(&self, job: JobHash) {
        lock(&self.inner).refusals.remove(job);
    }

    // --- the table ---

    /// Takes a table that is newer than its own, whoever has it.
    pub fn adopt_if_newer(&self, table: &AdmissionTable) {
        let mut inner = lock(&self.inner);
        if table.version() > inner.table.version() {
            inner.table = table.clone();
        }
    }

    /// Term and generation of the table.
    pub fn table_version(&self) -> TableVersion {
        lock(&self.inner).table.version()
    }

    /// The table, if it is newer than this version.
    pub fn table_newer_than(&self, version: TableVersion) -> Option<AdmissionTable> {
        let inner = lock(&self.inner);
        (inner.table.version() > version).then(|| inner.table.clone())
    }

    /// At `now` the leader or the state service had no newer table.
    pub fn confirm_current(&self, now: f64) {
        let mut inner = lock(&self.inner);
        inner.confirmed_at = inner.confirmed_at.max(now);
    }

    /// Has the table been unconfirmed for so long that it should be read?
    pub fn is_stale(&self, now: f64) -> bool {
        now - lock(&self.inner).confirmed_at > limits::TABLE_STALE_S
    }

    // --- refusals ---

    /// The refusals that this peer hasn't acknowledged yet.
    pub fn refusals_to_tell(&self, peer: &str, now: f64) -> RefusalBatch {
        let inner = lock(&self.inner);
        let from = inner.acknowledged.get(peer).map_or(0, |a| a.up_to);
        inner.refusals.local_since(from, now)
    }

    /// The peer's process `process_id` knows the refusals up to this number. One that was
    /// started meanwhile knows nothing of what was sent to the earlier process, however
    /// soon it restarted: all is sent again, or users' waiting times would not count there.
    pub fn refusals_acknowledged(&self, peer: &str, process_id: u64, up_to: u64) {
        let mut inner = lock(&self.inner);
        let before = inner.acknowledged.get(peer);
        let same_process = before.is_none_or(|a| a.process_id == process_id);
        let up_to = if same_process { up_to } else { 0 };
        let acknowledged = Acknowledged { process_id, up_to };
        inner.acknowledged.insert(peer.to_string(), acknowledged);
    }

    /// A peer refused these jobs.
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

    /// Drops refusals that are too old to count.
    pub fn forget_old(&self, now: f64) {
        lock(&self.inner).refusals.expire(now);
    }
}
