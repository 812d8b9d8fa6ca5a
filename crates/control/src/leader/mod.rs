//! The leading controller: live jobs and their dependencies, the placement ledger, shard leases,
//! the pending queue and its scheduler, admission, and the autoscaler.
//!
//! All state here is a cache of the key-value store plus what heartbeats have shown. All rules rest
//! on one invariant: a task has at most one placement that has not been freed on proof that it no
//! longer runs, and a placement is in the key-value store before its `start` leaves this process.

use crate::keys;
use crate::{LeaseTiming, Settings};
use cherrywood_admission::{AdmissionController, AdmissionValue};
use cherrywood_limits as limits;
use cherrywood_limits::store_limits::StoreLimits;
use cherrywood_sched::{MultiLevelQueue, Predictor};
use cherrywood_wire::agent::{
    Command, DirectCommands, ExitCause, Heartbeat, TaskState, TaskStatus,
};
use cherrywood_wire::cloud::{MachineType, RentalRequest};
use cherrywood_wire::records::{FinalStateRecord, JobRecord, StoredRecord};
use cherrywood_wire::store::{Change, Guard, Txn};
use cherrywood_wire::user::{JobKind, JobState, Priority, Submission, parse_task_id};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use tracing::{debug, info};

mod admitting;
mod audit;
mod autoscaler;
mod dependencies;
mod direct_commands;
mod direct_starts;
mod failures;
mod freeing;
mod heartbeat_commands;
mod heartbeats;
mod instance_pools;
mod job;
mod job_batch;
mod job_table;
mod jobs;
mod largest_rooms;
mod ledger;
mod machine;
mod machine_placements;
mod placement;
mod pool_work;
mod preemption;
mod progress;
mod quota;
mod quota_headroom;
mod recovery;
mod scheduler;
mod shard_leases;
mod snapshots;
mod summary;
mod transactions;
mod worker_restarts;

pub use admitting::expected_work_from_table;
pub use dependencies::COUNTS_WITHHELD;
pub use direct_commands::{AddressedCommands, CommandOutcome};
pub use job_batch::JobBatch;
pub use ledger::{InvalidLedgerEntry, LedgerBatch};
pub use recovery::RecoveredState;
pub use transactions::WriteOutcome;
pub use worker_restarts::StatusQuery;

use autoscaler::Autoscaler;
use dependencies::Dependencies;
use freeing::{FreeContext, FreeReason, FreedCounts};
use job::{Job, JobIndex, ObjectiveKind};
use job_table::JobTable;
use ledger::PlacementLedger;
use machine::{CachedImage, ImageHint, Machine};
use placement::{EvictionState, Placement, PlacementStage};
use quota::QuotaUsage;
use scheduler::SchedulerState;

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Rent machines.
    Rent(RentalRequest),
    /// Delete the machines of these names.
    Delete(Vec<String>),
}

/// The state of the leading controller, with one component for each concern; events and the time go
/// in, and transactions, commands and cloud requests come out.
///
/// Nothing that it does may depend on the order of a hash map: the replay of a simulation or of an
/// incident must be identical to the byte.
#[derive(Debug)]
pub struct Leader {
    /// The term in which it leads.
    term: u64,
    /// Revision of the leader key: the guard of every transaction.
    leader_revision: u64,
    /// Fencing tokens and attempts issued in this term, numbered together.
    tokens_issued: u64,
    settings: Settings,
    /// How long leases last.
    pub timing: LeaseTiming,
    /// When it began to lead, s.
    term_started_at: f64,
    /// Time of day minus this leader's clock, s.
    wall_clock_offset_s: f64,
    machine_types: Vec<MachineType>,
    jobs: JobTable,
    machines: BTreeMap<String, Machine>,
    /// Machines that are certainly deleted, and when, s: heartbeats in their name are stale.
    deleted_machines: HashMap<String, f64>,
    ledger: PlacementLedger,
    quota_usage: QuotaUsage,
    pending_queue: MultiLevelQueue<JobIndex>,
    /// Tasks that failed: when they are queued again, s, their job, and their index within it.
    delayed_tasks: Vec<(f64, JobIndex, u32)>,
    /// Machines with placements that are not yet in the ledger.
    machines_to_record: BTreeSet<String>,
    /// The images that an earlier leader knew to be on machines of which this leader has not
    /// learned yet, by machine name.
    image_cache_hints: HashMap<String, Vec<ImageHint>>,
    scheduler: SchedulerState,
    predictor: Predictor,
    admission: AdmissionController,
    /// When the CPUs that are up were last recorded for admission, s.
    capacity_sampled_at: f64,
    autoscaler: Autoscaler,
    /// Keys whose revisions must be read again before anything that depends on them is written.
    pub keys_to_reread: BTreeSet<String>,
    /// Whether the leader key has changed, so that this leader must not act any more.
    pub deposed: bool,
    /// The limits of the key-value store that transactions keep to.
    store_limits: StoreLimits,
    dependencies: Dependencies,
    /// Obsolete keys in the key-value store; job transactions delete them.
    obsolete_keys: BTreeSet<String>,
}

impl Leader {
    /// Creates a leader for a term, whose leader key has the revision `leader_revision`, from the
    /// state that it read in the key-value store.
    ///
    /// # Errors
    ///
    /// [`InvalidLedgerEntry`] if what the ledger places is unknown: no controller may lead then.
    pub fn new(
        term: u64,
        leader_revision: u64,
        settings: Settings,
        machine_types: Vec<MachineType>,
        recovered: RecoveredState,
        now: f64,
    ) -> Result<Leader, InvalidLedgerEntry> {
        let timing = LeaseTiming::new(settings.workers.lease_s, settings.workers.cancel_s);
        let predictor = match &recovered.histograms {
            Some(h) => Predictor::restore(&snapshots::predictor_snapshot(h), now),
            None => Predictor::new(),
        };
        let admission =
            AdmissionController::new(term, recovered.admission.clone().unwrap_or_default(), now);
        let at_capacity = admission.at_capacity();
        let store_limits = settings.state.conservative_limits();
        let team_count = settings.teams.len();
        let mut leader = Leader {
            store_limits,
            dependencies: Dependencies::default(),
            obsolete_keys: BTreeSet::new(),
            term,
            leader_revision,
            tokens_issued: 0,
            pending_queue: MultiLevelQueue::new(settings.policy.aging),
            settings,
            timing,
            term_started_at: now,
            wall_clock_offset_s: recovered.wall_clock_ms as f64 / 1000.0 - now,
            machine_types,
            jobs: JobTable::default(),
            machines: BTreeMap::new(),
            deleted_machines: HashMap::new(),
            ledger: PlacementLedger::default(),
            quota_usage: QuotaUsage::default(),
            delayed_tasks: Vec::new(),
            machines_to_record: BTreeSet::new(),
            image_cache_hints: HashMap::new(),
            scheduler: SchedulerState::new(team_count),
            predictor,
            admission,
            capacity_sampled_at: now,
            autoscaler: Autoscaler::new(at_capacity, now),
            keys_to_reread: BTreeSet::new(),
            deposed: false,
        };
        leader.recover(recovered, now)?;
        Ok(leader)
    }

    /// Whether its term is new and most of the workers that it knows of have not been heard from
    /// yet. Their leases may be about to expire, so their heartbeats are served before users'
    /// requests.
    pub fn is_settling(&self, now: f64) -> bool {
        let (mut known, mut heard) = (0.0, 0.0);
        for m in self
            .machines
            .values()
            .filter(|m| m.known_from_ledger || m.up)
        {
            known += 1.0;
            heard += f64::from(u8::from(m.up));
        }
        now - self.term_started_at < limits::NEW_LEADER_SETTLE_S
            && heard < known * limits::NEW_LEADER_SETTLED_SHARE
    }

    /// Returns the term in which it leads.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns a number for a fencing token or an attempt: the term in its upper bits, then a
    /// counter that both share. So numbers of a later term are always higher.
    fn next_token(&mut self) -> u64 {
        self.tokens_issued += 1;
        (self.term << limits::TERM_SHIFT_BITS) | self.tokens_issued
    }

    /// Returns the machine, task and attempt of each placement that may be on a machine.
    pub fn placements_held(&self) -> BTreeSet<(String, String, u64)> {
        let held_on = |(name, m): (&String, &Machine)| {
            let name = name.clone();
            let row = move |p: &Placement| (name.clone(), p.task_id.clone(), p.attempt);
            m.placements.iter().map(row).collect::<Vec<_>>()
        };
        self.machines.iter().flat_map(held_on).collect()
    }

    /// Returns the ids of all live jobs, sorted.
    pub fn live_job_ids(&self) -> Vec<String> {
        let mut ids: Vec<String> = self.jobs.ids().cloned().collect();
        ids.sort_unstable();
        ids
    }

    /// Whether this leader has a live job of this id.
    pub fn has_live_job(&self, id: &str) -> bool {
        self.jobs.index_of(id).is_some()
    }

    /// Sets the limits that every later transaction keeps to.
    pub fn set_store_limits(&mut self, store_limits: StoreLimits) {
        self.store_limits = store_limits;
    }

    /// Returns the time of day, ms.
    fn wall_clock_ms(&self, now: f64) -> u64 {
        ((now + self.wall_clock_offset_s).max(0.0) * 1000.0) as u64
    }

    /// Counts a new or recovered placement for its team's quota and its job.
    fn record_placement(&mut self, p: &Placement, zone: &str) {
        quota::record_placement(&mut self.quota_usage, &mut self.jobs, p, zone);
    }

    /// Removes a placement that was freed, or dropped before it was written, from the same counts.
    fn record_release(&mut self, p: &Placement, zone: &str) {
        quota::record_release(&mut self.quota_usage, &mut self.jobs, p, zone);
    }

    /// Returns the level in which tasks of this key wait.
    fn queue_level(&mut self, key: &str, now: f64) -> usize {
        if self.settings.policy.levels {
            self.predictor.level(key, now)
        } else {
            limits::DEFAULT_LEVEL
        }
    }
}
