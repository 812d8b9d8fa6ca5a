//! A machine as the leader knows it: its entry in the cloud's list, the state that its worker's
//! heartbeats prove, what may be placed on it, and whether it is to be removed.

use super::direct_starts::DirectStarts;
use super::failures::JobFailures;
use super::machine_placements::MachinePlacements;
use super::worker_restarts::ReconciliationQuery;
use crate::Settings;
use crate::resources::Resources;
use cherrywood_limits as limits;
use cherrywood_wire::agent::TaskStatus;
use std::collections::HashMap;

/// An image that a machine holds or is fetching.
#[derive(Debug)]
pub(super) struct CachedImage {
    /// Hash of the image's name.
    pub(super) id: u64,
    /// Its size, GB.
    pub(super) size_gb: f64,
    /// When the image fetch ends or ended, s.
    pub(super) ready_at: f64,
    /// When a task that uses it was last placed, s; the least recently used image is evicted first.
    pub(super) last_used_at: f64,
}

/// An image that an earlier leader knew to be on a machine.
#[derive(Debug)]
pub(super) struct ImageHint {
    /// Hash of the image's name.
    pub(super) id: u64,
    /// Its size, GB.
    pub(super) size_gb: f64,
}

/// One machine, rented or being rented.
#[derive(Debug)]
pub(super) struct Machine {
    /// Name of its type in the cloud's list of types.
    pub(super) machine_type: String,
    /// Its zone.
    pub(super) zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub(super) spot: bool,
    /// Whether its worker has sent this leader a heartbeat.
    pub(super) up: bool,
    /// Incarnation of its worker in the newest heartbeat.
    pub(super) incarnation: u64,
    /// Sequence number of the newest heartbeat, within the incarnation.
    pub(super) heartbeat_seq: u64,
    /// The controller that may respond to its heartbeats.
    pub(super) shard_owner: String,
    /// The newest fencing token issued for it; 0 before the first.
    pub(super) fencing_token: u64,
    /// When every shard lease of it has expired, s; leases of an earlier leader are included if the
    /// ledger places anything on it.
    pub(super) grants_expire_at: f64,
    /// When its newest heartbeat was accepted; before the first, when this leader learned of it, s.
    pub(super) last_heartbeat_at: f64,
    /// When it was rented, as far as known, s.
    pub(super) created_at: f64,
    /// When the cloud's list first named it, s.
    pub(super) first_listed_at: Option<f64>,
    /// Whether the newest list shows it booting; the list lags, so it may be up.
    pub(super) listed_as_booting: bool,
    /// Whether this leader rented it, so that `created_at` is exact.
    pub(super) rented_this_term: bool,
    /// Whether its overdue boot was logged.
    pub(super) overdue_boot_logged: bool,
    /// A spot notice: time until the machine is reclaimed, as of the newest heartbeat, s.
    pub(super) spot_notice_s: Option<f64>,
    /// When the machine is to be reclaimed according to the notice, s.
    pub(super) reclaim_at: Option<f64>,
    /// The address at which its worker accepts direct commands.
    pub(super) address: String,
    /// Direct starts that the worker could still execute.
    pub(super) direct_starts: DirectStarts,
    /// The placements that may run on it.
    pub(super) placements: MachinePlacements,
    /// Whether the ledger that this leader read names it.
    pub(super) known_from_ledger: bool,
    /// Its images, in no particular order.
    pub(super) cached_images: Vec<CachedImage>,
    /// The time since which nothing is placed on it, s.
    pub(super) idle_since: f64,
    /// The time since which its heartbeats have shown no newer fencing token although responses
    /// carry one, s; `None` if responses reach it.
    pub(super) commands_unacknowledged_since: Option<f64>,
    /// The highest token that one of its heartbeats showed.
    pub(super) acknowledged_token: u64,
    /// The first token issued after its worker was found to have restarted; 0 if it never was.
    pub(super) incarnation_first_token: u64,
    /// Whether its worker is to be queried for its status, to find out whether it restarted.
    pub(super) reconciliation_query: ReconciliationQuery,
    /// When stops were last sent to it directly because its heartbeats stay away, s.
    pub(super) last_stop_sent_at: f64,
    /// Whether it was logged that responses don't reach it.
    pub(super) unreachable_logged: bool,
    /// Whether nothing more is placed on it, because of a spot notice or because tasks fail on it.
    pub(super) cordoned: bool,
    /// Whether it is being drained because the other machines have room; undone when they no longer
    /// do.
    pub(super) scaling_in: bool,
    /// Whether it is to be deleted, or is being deleted.
    pub(super) deleting: bool,
    /// Whether its newest heartbeat lists a task that must be stopped at once.
    pub(super) lists_unwanted_task: bool,
    /// Failures of tasks on it since a task last succeeded on it, by job id.
    pub(super) failures_by_job: HashMap<String, JobFailures>,
}

impl Machine {
    /// Returns a machine that this leader has just learned of, and has not heard from yet.
    pub(super) fn new(machine_type: &str, zone: &str, spot: bool, now: f64) -> Machine {
        Machine {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
            up: false,
            incarnation: 0,
            heartbeat_seq: 0,
            shard_owner: String::new(),
            fencing_token: 0,
            grants_expire_at: 0.0,
            last_heartbeat_at: now,
            created_at: now,
            first_listed_at: None,
            listed_as_booting: false,
            rented_this_term: false,
            overdue_boot_logged: false,
            spot_notice_s: None,
            reclaim_at: None,
            address: String::new(),
            direct_starts: DirectStarts::default(),
            placements: MachinePlacements::default(),
            known_from_ledger: false,
            cached_images: Vec::new(),
            idle_since: now,
            commands_unacknowledged_since: None,
            acknowledged_token: 0,
            incarnation_first_token: 0,
            reconciliation_query: ReconciliationQuery::NotNeeded,
            last_stop_sent_at: f64::NEG_INFINITY,
            unreachable_logged: false,
            lists_unwanted_task: false,
            cordoned: false,
            scaling_in: false,
            deleting: false,
            failures_by_job: HashMap::new(),
        }
    }

    /// Returns the resources that its placements hold.
    pub(super) fn used_resources(&self) -> Resources {
        let sums = self.placements.sums();
        Resources {
            cpus: sums.cpus,
            gpus: sums.gpus,
            memory_gb: sums.memory_gb,
        }
    }

    /// Returns the index among `placements` of the placement of a task that a heartbeat lists.
    pub(super) fn index_of(&self, task: &TaskStatus) -> Option<usize> {
        let mut placements = self.placements.iter();
        placements.position(|p| p.attempt == task.attempt && p.task_id == task.task)
    }

    /// Whether its newest heartbeat is recent and responses reach it. Only such a machine takes
    /// work.
    pub(super) fn is_reachable(&self, now: f64, settings: &Settings) -> bool {
        let fresh_s = limits::MISSED_HEARTBEATS_MAX * settings.workers.report_s;
        now - self.last_heartbeat_at <= fresh_s && !self.is_partitioned_one_way(now, settings)
    }

    /// Whether responses have failed to reach its worker for so long that none is expected to. A
    /// heartbeat shows at best the token of the response to the one before it, and a worker counts
    /// a higher token as new at most once in half a lease (protocol): hence the threshold.
    pub(super) fn is_partitioned_one_way(&self, now: f64, settings: &Settings) -> bool {
        let workers = &settings.workers;
        let threshold_s = limits::UNACKNOWLEDGED_HEARTBEATS_MAX * workers.report_s
            + limits::UNACKNOWLEDGED_EXTRA_S;
        let threshold_s = threshold_s.max(workers.lease_s / 2.0);
        self.commands_unacknowledged_since
            .is_some_and(|since| now - since > threshold_s)
    }
}
