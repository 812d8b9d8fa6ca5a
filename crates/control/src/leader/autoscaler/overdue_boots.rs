//! Detection of overdue boots: pools where machines that should be up are not.

use super::BootPool;
use crate::leader::{Leader, Machine};
use cherrywood_limits as limits;
use cherrywood_wire::cloud::MachineType;
use std::collections::BTreeMap;
use tracing::info;

/// Assumed boot time of a machine whose type isn't known, s.
const UNKNOWN_BOOT_S: f64 = 60.0;

/// Counts of the machines of one pool that should be up by now.
#[derive(Debug, Clone, Copy, Default)]
struct BootCount {
    due: u32,
    /// Due machines that are not up.
    overdue: u32,
    /// Overdue machines that were not counted as overdue before.
    newly_overdue: u32,
}

impl BootCount {
    /// Whether there are enough machines to judge and most of them are not up.
    fn is_mostly_overdue(self) -> bool {
        self.due >= limits::BOOT_EVIDENCE_MACHINES_MIN && self.overdue * 2 > self.due
    }
}

/// Returns the seconds from the rental of a machine until it should be up.
pub(super) fn boot_s(machine_types: &[MachineType], machine_type: &str) -> f64 {
    let known = machine_types.iter().find(|t| t.name == machine_type);
    known.map_or(UNKNOWN_BOOT_S, |t| t.boot_s)
}

/// Whether it is known when the machine's boot began and that the machine had not been up before.
///
/// A machine without a heartbeat to this leader isn't necessarily an overdue boot: an earlier
/// leader may have rented it, and it may have been up for long. Counting such machines reported
/// some 300 overdue boots after each failover under the operators' daily load, and healthy zones
/// were avoided. So the cloud's list must show the machine as booting, or this leader must have
/// rented it itself.
fn is_boot_observed(machine: &Machine) -> bool {
    let booting = machine.listed_as_booting && !machine.known_from_ledger;
    machine.rented_this_term || machine.first_listed_at.is_some() && (machine.up || booting)
}

impl Leader {
    /// Finds the pools where machines should be up by now and most are not. Machines that are not
    /// due yet don't count, so that a pool that has recovered is used again as soon as its overdue
    /// machines are up or were returned.
    pub(super) fn update_overdue_boots(&mut self, now: f64) {
        let mut counts: BTreeMap<BootPool, BootCount> = BTreeMap::new();
        for machine in self.machines.values_mut() {
            let boot_s = boot_s(&self.machine_types, &machine.machine_type);
            let age_s = now - machine.created_at - limits::FIRST_HEARTBEAT_MAX_S;
            let evidence_window =
                boot_s * limits::BOOT_OVERDUE_FACTOR..boot_s * limits::BOOT_EVIDENCE_FACTOR;
            if machine.deleting || !is_boot_observed(machine) || !evidence_window.contains(&age_s) {
                continue;
            }
            let pool = BootPool {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
            };
            let count = counts.entry(pool).or_default();
            count.due += 1;
            if machine.up {
                continue;
            }
            count.overdue += 1;
            if !machine.overdue_boot_logged {
                machine.overdue_boot_logged = true;
                count.newly_overdue += 1;
            }
        }
        for (pool, count) in &counts {
            if count.newly_overdue > 0 {
                info!(
                    machine_type = pool.machine_type,
                    zone = pool.zone,
                    overdue = count.overdue,
                    due = count.due,
                    "boots are overdue"
                );
            }
        }
        counts.retain(|_, count| count.is_mostly_overdue());
        self.autoscaler.overdue_boot_pools = counts.into_keys().collect();
    }
}
