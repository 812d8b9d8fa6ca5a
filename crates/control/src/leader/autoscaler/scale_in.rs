//! Scale in: drains the machines that cost most for the work that they do, while the others
//! suffice for the demand.

use super::DemandAverages;
use crate::leader::{Leader, Machine};
use cherrywood_limits as limits;
use cherrywood_wire::user::JobKind;
use tracing::info;

/// Lower bound on the CPUs of a machine where they are used as a divisor.
const MIN_MACHINE_CPUS: f64 = 0.001;

/// The share of its price that an empty machine wastes. Slightly above 1, so that of two full
/// machines the more expensive one counts as the more wasteful.
const EMPTY_MACHINE_WASTE: f64 = 1.05;

/// The CPUs for which machines are kept.
#[derive(Debug, Clone, Copy)]
pub(super) struct WantedCpus {
    /// CPUs wanted of all machines when a spot machine is considered: all work may use those.
    spot: f64,
    /// CPUs wanted of all machines when an on-demand machine is considered: those are kept for
    /// work that is not best effort.
    on_demand: f64,
}

impl WantedCpus {
    /// Derives the wanted CPUs from the current demand of all work and of prioritized work, and
    /// from the averages of the latter.
    pub(super) fn new(all: f64, prioritized: f64, averages: DemandAverages) -> WantedCpus {
        let prioritized_kept = prioritized.max(averages.for_return_cpus);
        // If best-effort work can use them, on-demand machines are held through lulls that are
        // too short to pay for returning them and booting others.
        let best_effort = all - prioritized;
        WantedCpus {
            spot: all.max(averages.for_return_cpus),
            on_demand: prioritized_kept
                .max(averages.for_hold_cpus.min(prioritized_kept + best_effort)),
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

/// The properties of a machine that is up which scale in considers.
struct FleetMachine {
    name: String,
    cpus: f64,
    spot: bool,
    /// The machine's price per CPU, weighted by the share of the machine that is unused.
    waste: f64,
}

impl Leader {
    /// Drains the machines that cost most for the work that they do, while the others suffice for
    /// the wanted CPUs; stops draining machines when the others don't suffice.
    pub(super) fn scale_in(&mut self, wanted: WantedCpus, now: f64) {
        let mut active_cpus = 0.0;
        let mut scaling_in = Vec::new();
        let mut removable = Vec::new();
        for (name, machine) in &self.machines {
            // A machine that can't be reached accepts no work, so it doesn't count: counting it
            // had another machine returned although work was pending.
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
            if self.can_be_drained(machine) {
                removable.push(fleet_machine);
            }
        }
        scaling_in.sort_by(|a, b| a.waste.total_cmp(&b.waste));
        active_cpus = self.cancel_scale_in(&scaling_in, wanted, active_cpus);
        removable.sort_by(|a, b| b.waste.total_cmp(&a.waste));
        self.begin_scale_in(&removable, wanted, active_cpus);
    }

    /// Stops draining machines, the least wasteful first, until the active machines suffice for
    /// the wanted CPUs. Returns the resulting active CPUs.
    fn cancel_scale_in(
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

    /// Starts to drain machines, the most wasteful first, while the others suffice for the wanted
    /// CPUs with some to spare.
    fn begin_scale_in(
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

    /// Whether every task placed on the machine may run on another machine instead.
    fn can_be_drained(&self, machine: &Machine) -> bool {
        machine.placements.iter().all(|placement| {
            let job = placement.job.and_then(|index| self.jobs.get(&index));
            job.is_none_or(|job| {
                let may_use_spot = job.spec.allow_spot || machine.spot;
                job.spec.kind == JobKind::Array && may_use_spot && job.spec.zone.is_none()
            })
        })
    }
}
