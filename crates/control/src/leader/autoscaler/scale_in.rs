//! Scale in: emptying the machines that cost most for what they do, while the others
//! carry what is wanted.

use super::DemandAverages;
use crate::leader::{Leader, Machine};
use cherrywood_limits as limits;
use cherrywood_wire::user::JobKind;
use tracing::info;

/// Least CPUs that a machine is taken to have where it is divided by them.
const MIN_MACHINE_CPUS: f64 = 0.001;

/// What an empty machine wastes, as a share of its price. A little more than all of it:
/// so of two full machines the dearer one counts as the more wasteful.
const EMPTY_MACHINE_WASTE: f64 = 1.05;

/// CPUs for which machines are kept.
#[derive(Debug, Clone, Copy)]
pub(super) struct WantedCpus {
    /// Of all machines, while a spot machine is looked at: they serve all work.
    spot: f64,
    /// Of all machines, while an on-demand machine is looked at: those are kept for
    /// work that is not best effort.
    on_demand: f64,
}

impl WantedCpus {
    /// From the CPUs that all work and prioritized work wants now, and the averages of the
    /// latter.
    pub(super) fn new(all: f64, prioritized: f64, averages: DemandAverages) -> WantedCpus {
        let kept = prioritized.max(averages.for_return_cpus);
        // With best-effort work to use them, on-demand machines are held through lulls
        // that are shorter than what returning them and booting others would cost.
        let best_effort = all - prioritized;
        WantedCpus {
            spot: all.max(averages.for_return_cpus),
            on_demand: kept.max(averages.for_hold_cpus.min(kept + best_effort)),
        }
    }

    fn of(self, machine: &FleetMachine) -> f64 {
        if machine.spot {
            self.spot
        } else {
            self.on_demand
        }
    }
}

/// A machine that is up, as scaling in looks at it.
struct FleetMachine {
    name: String,
    cpus: f64,
    spot: bool,
    /// Its price for each CPU, the more the emptier it is.
    waste: f64,
}

impl Leader {
    /// Empties the machines that cost most for what they do, while the others suffice for the CPUs
    /// that are wanted; stops emptying machines when the others don't suffice.
    pub(super) fn scale_in(&mut self, wanted: WantedCpus, now: f64) {
        let mut active_cpus = 0.0;
        let mut scaling_in = Vec::new();
        let mut removable = Vec::new();
        for (name, machine) in &self.machines {
            // A machine that can't be reached takes no work, so it doesn't count: when it did,
            // another machine was returned for it although work was pending.
            let reachable = machine.is_reachable(now, &self.settings);
            if !machine.up || machine.cordoned || machine.deleting || !reachable {
                continue;
            }
            let fleet_machine = self.fleet_machine(name, machine);
            if machine.scaling_in {
                scaling_in.push(fleet_machine);
                continue;
            }
            active_cpus += fleet_machine.cpus;
            if self.can_be_emptied(machine) {
                removable.push(fleet_machine);
            }
        }
        scaling_in.sort_by(|a, b| a.waste.total_cmp(&b.waste));
        active_cpus = self.take_back(&scaling_in, wanted, active_cpus);
        removable.sort_by(|a, b| b.waste.total_cmp(&a.waste));
        self.empty_machines(&removable, wanted, active_cpus);
    }

    /// Takes machines back that are being emptied, the least wasteful first, until the
    /// active ones carry what is wanted. Returns the CPUs that are active then.
    fn take_back(
        &mut self,
        scaling_in: &[FleetMachine],
        wanted: WantedCpus,
        mut active_cpus: f64,
    ) -> f64 {
        for machine in scaling_in {
            if active_cpus >= wanted.of(machine) {
                continue;
            }
            active_cpus += machine.cpus;
            if let Some(machine) = self.machines.get_mut(&machine.name) {
                machine.scaling_in = false;
            }
        }
        active_cpus
    }

    /// Begins to empty machines, the most wasteful first, while the others carry what
    /// is wanted and have some to spare.
    fn empty_machines(
        &mut self,
        removable: &[FleetMachine],
        wanted: WantedCpus,
        mut active_cpus: f64,
    ) {
        for candidate in removable {
            let spare_share = if candidate.spot {
                limits::DRAIN_SPOT_SPARE_SHARE
            } else {
                limits::DRAIN_ON_DEMAND_SPARE_SHARE
            };
            let wanted_cpus = wanted.of(candidate);
            if active_cpus - candidate.cpus < wanted_cpus * (1.0 + spare_share) {
                continue;
            }
            active_cpus -= candidate.cpus;
            if let Some(machine) = self.machines.get_mut(&candidate.name) {
                info!(
                    machine = candidate.name,
                    wanted_cpus, active_cpus, "scale in: the other machines suffice, emptying it"
                );
                machine.scaling_in = true;
            }
        }
    }

    fn fleet_machine(&self, name: &str, machine: &Machine) -> FleetMachine {
        let cpus = self.cpus_of(&machine.machine_type);
        let used_share = machine.used_resources().cpus / cpus.max(MIN_MACHINE_CPUS);
        let machine_type = self.machine_type(&machine.machine_type);
        let price = machine_type.map_or(0.0, |t| match machine.spot {
            true => t.spot_price_per_hour.unwrap_or(t.price_per_hour),
            false => t.price_per_hour,
        });
        FleetMachine {
            name: name.to_string(),
            cpus,
            spot: machine.spot,
            waste: price / cpus.max(MIN_MACHINE_CPUS) * (EMPTY_MACHINE_WASTE - used_share),
        }
    }

    /// May all that runs there go on elsewhere?
    fn can_be_emptied(&self, machine: &Machine) -> bool {
        machine.placements.iter().all(|placement| {
            let job = placement.job.and_then(|index| self.jobs.get(&index));
            job.is_none_or(|job| {
                let may_use_spot = job.spec.allow_spot || machine.spot;
                job.spec.kind == JobKind::Array && may_use_spot && job.spec.zone.is_none()
            })
        })
    }
}
