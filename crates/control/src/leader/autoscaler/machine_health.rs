//! Selection of the machines to delete: those that are lost, never came up, or are not needed.

use super::overdue_boots::boot_s;
use crate::leader::instance_pools::{PoolCatalog, PoolSet, PoolSets};
use crate::leader::{Leader, Machine};
use cherrywood_limits as limits;
use std::fmt;
use tracing::info;

/// Number of silent machines up to which no network partition is suspected, however few machines
/// there are.
const MIN_SILENT_FOR_PARTITION: f64 = 2.0;

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DeletionReason {
    /// The time given by the machine's spot notice is over, and the machine is silent.
    Reclaimed,
    /// The machine sends heartbeats, but no response has reached it for longer than its lease.
    CommandsUnacknowledged,
    /// The machine has been silent for longer than its lease.
    Silent,
    /// The machine didn't come up within several times the boot time of its type.
    NeverCameUp,
    /// The machine is cordoned or was drained, and no task runs there any more.
    Emptied,
    /// No task has run on the machine for a while, and no pending work may use it.
    Idle,
}

impl fmt::Display for DeletionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeletionReason::Reclaimed => "silent since its spot notice ran out",
            DeletionReason::CommandsUnacknowledged => {
                "commands unacknowledged for longer than its lease"
            }
            DeletionReason::Silent => "silent for longer than its lease",
            DeletionReason::NeverCameUp => "never came up",
            DeletionReason::Emptied => "emptied",
            DeletionReason::Idle => "idle",
        })
    }
}

/// State of the fleet that the decisions on all machines depend on.
#[derive(Debug)]
struct FleetState {
    /// Whether so many machines are silent at once that the network is the likelier cause.
    partition_suspected: bool,
    /// The instance pools that pending work may use.
    wanted_pools: WantedPools,
}

/// Instance pools that pending work may use.
#[derive(Debug, Default)]
struct WantedPools {
    /// Those that any work may use.
    any: PoolSet,
    /// Those that work may use which is not best effort.
    prioritized: PoolSet,
}

impl WantedPools {
    /// Whether pending work may use the idle machine, of this pool, and justifies keeping it: spot
    /// machines are kept for all work, on-demand machines for work that is not best effort.
    fn keep(&self, machine: &Machine, pool: Option<usize>) -> bool {
        let wanted = match machine.spot {
            true => &self.any,
            false => &self.prioritized,
        };
        pool.is_some_and(|pool| wanted.contains(pool))
    }
}

impl Leader {
    /// Marks the machines to delete.
    pub(super) fn mark_machines_to_delete(&mut self, now: f64) {
        let state = FleetState {
            partition_suspected: self.is_partition_suspected(now),
            wanted_pools: self.wanted_pools(),
        };
        self.update_overdue_boots(now);
        let catalog = PoolCatalog::new(&self.machine_types);
        let mut reasons = Vec::new();
        for (name, machine) in &self.machines {
            if machine.deleting {
                continue;
            }
            let is_wanted = || {
                let pool = catalog.pool_of(machine);
                state.wanted_pools.keep(machine, pool)
            };
            let reason = self
                .loss_reason(machine, state.partition_suspected, now)
                .or_else(|| unused_reason(machine, is_wanted, now));
            if let Some(reason) = reason {
                reasons.push((name.clone(), reason));
            }
        }
        for (name, reason) in reasons {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.deleting = true;
                info!(
                    machine = name,
                    machine_type = machine.machine_type,
                    zone = machine.zone,
                    silent_s = now - machine.last_heartbeat_at,
                    idle_s = now - machine.idle_since,
                    %reason,
                    "deleting machine"
                );
            }
        }
    }

    /// Whether so many machines are silent, or out of reach of commands, that the network is the
    /// likelier cause. Silence doesn't count as loss then, since partitions heal.
    fn is_partition_suspected(&self, now: f64) -> bool {
        let silent_s = |machine: &Machine| {
            let unacknowledged_since = machine.commands_unacknowledged_since;
            let unacknowledged_s = unacknowledged_since.map_or(0.0, |since| now - since);
            (now - machine.last_heartbeat_at).max(unacknowledged_s)
        };
        let up = || self.machines.values().filter(|machine| machine.up);
        let min_silent_s = self.settings.workers.lease_s / 2.0;
        let silent = up()
            .filter(|machine| silent_s(machine) > min_silent_s)
            .count();
        let max_silent = up().count() as f64 * limits::SILENT_DELETE_SHARE_MAX;
        silent as f64 > max_silent.max(MIN_SILENT_FOR_PARTITION)
    }

    /// Returns the pools that pending work may use. Suspect jobs don't count: they are tried one
    /// task at a time.
    fn wanted_pools(&self) -> WantedPools {
        let mut sets = PoolSets::new(&self.machine_types);
        let mut wanted = WantedPools::default();
        for range in self.pending_queue.ranges() {
            let job = self.jobs.get(&range.job);
            let Some(job) = job.filter(|job| !job.is_suspect()) else {
                continue;
            };
            let set = sets.usable_by(job).set;
            wanted.any.insert_all(sets.get(set));
            if !job.best_effort {
                wanted.prioritized.insert_all(sets.get(set));
            }
        }
        wanted
    }

    /// Returns why the machine counts as lost, if it does.
    fn loss_reason(
        &self,
        machine: &Machine,
        partition_suspected: bool,
        now: f64,
    ) -> Option<DeletionReason> {
        let workers = &self.settings.workers;
        let max_silent_s = workers.lease_s + limits::SILENT_DELETE_EXTRA_S;
        let silent_s = now - machine.last_heartbeat_at;
        let unacknowledged_since = machine.commands_unacknowledged_since;
        if machine.reclaim_at.is_some_and(|at| now > at)
            && silent_s > limits::MISSED_HEARTBEATS_MAX * workers.report_s
        {
            Some(DeletionReason::Reclaimed)
        } else if unacknowledged_since.is_some_and(|since| now - since > max_silent_s)
            && !partition_suspected
        {
            Some(DeletionReason::CommandsUnacknowledged)
        } else if machine.up || machine.known_from_ledger {
            (silent_s > max_silent_s && !partition_suspected).then_some(DeletionReason::Silent)
        } else {
            self.boot_failed(machine, now)
                .then_some(DeletionReason::NeverCameUp)
        }
    }

    /// Whether the boot of a machine that isn't up is so late that the machine is returned. A new
    /// leader allows each machine the time of one boot to send its first heartbeat.
    fn boot_failed(&self, machine: &Machine, now: f64) -> bool {
        let boot_s = boot_s(&self.machine_types, &machine.machine_type);
        let max_boot_s = boot_s * limits::BOOT_GIVE_UP_FACTOR + limits::BOOT_GIVE_UP_EXTRA_S;
        now - machine.created_at > max_boot_s && now - self.term_started_at > boot_s
    }
}

/// Returns why a machine that is up isn't needed, if it isn't.
fn unused_reason(
    machine: &Machine,
    is_wanted: impl Fn() -> bool,
    now: f64,
) -> Option<DeletionReason> {
    if !machine.up || !machine.placements.is_empty() || machine.spot_notice_s.is_some() {
        return None;
    }
    if machine.cordoned || machine.scaling_in {
        return Some(DeletionReason::Emptied);
    }
    let max_idle_s = match machine.spot {
        true => limits::IDLE_SPOT_RETURN_S,
        false => limits::IDLE_ON_DEMAND_RETURN_S,
    };
    let idle_s = now - machine.idle_since;
    (idle_s > max_idle_s && !is_wanted()).then_some(DeletionReason::Idle)
}
