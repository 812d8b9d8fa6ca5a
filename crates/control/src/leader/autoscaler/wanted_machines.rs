//! The machines that scale in considers, and the CPUs for which machines are kept: all of them for
//! all work, and those of each set of instance pools for the work that may use no others.

use super::DemandAverages;
use super::demand::PoolDemand;
use crate::leader::instance_pools::PoolSet;
use crate::resources::Resources;
use cherrywood_limits as limits;

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

    /// Returns the CPUs that work which may use no other pools wants of the machines of some pools.
    pub(super) fn in_pools(wanted: &PoolDemand) -> WantedCpus {
        let drain_s = limits::ON_DEMAND_BACKLOG_DRAIN_S;
        WantedCpus {
            spot: wanted.demand.all.wanted_cpus(drain_s),
            on_demand: wanted.demand.prioritized.wanted_cpus(drain_s),
        }
    }

    /// Returns that all machines are wanted which pending gangs may use: a gang needs machines for
    /// all of its tasks at once, and sums of CPUs don't tell which.
    pub(super) fn for_gangs(best_effort: bool) -> WantedCpus {
        WantedCpus {
            spot: f64::INFINITY,
            on_demand: match best_effort {
                true => 0.0,
                false => f64::INFINITY,
            },
        }
    }

    pub(super) fn of(self, machine: &FleetMachine) -> f64 {
        if machine.spot {
            self.spot
        } else {
            self.on_demand
        }
    }
}

/// The properties of a machine that is up which scale in considers.
#[derive(Debug)]
pub(super) struct FleetMachine {
    pub(super) name: String,
    /// Its instance pool; None if the cloud offers its type there no more.
    pub(super) pool: Option<usize>,
    pub(super) cpus: f64,
    pub(super) free: Resources,
    pub(super) spot: bool,
    /// The machine's price per CPU, weighted by the share of the machine that is unused.
    pub(super) waste: f64,
}

impl FleetMachine {
    pub(super) fn is_in(&self, pools: &PoolSet) -> bool {
        self.pool.is_some_and(|pool| pools.contains(pool))
    }
}

/// CPUs of some machines, and the CPUs for which they are kept.
pub(super) struct WantedMachines {
    /// The pools of the machines; None stands for all machines.
    pools: Option<PoolSet>,
    pub(super) active_cpus: f64,
    pub(super) wanted: WantedCpus,
}

impl WantedMachines {
    pub(super) fn new(pools: Option<PoolSet>, wanted: WantedCpus) -> WantedMachines {
        WantedMachines {
            pools,
            active_cpus: 0.0,
            wanted,
        }
    }

    pub(super) fn include(&self, machine: &FleetMachine) -> bool {
        let pools = self.pools.as_ref();
        pools.is_none_or(|pools| machine.is_in(pools))
    }

    /// Whether more machines like this one are wanted.
    pub(super) fn lack(&self, machine: &FleetMachine) -> bool {
        self.include(machine) && self.active_cpus < self.wanted.of(machine)
    }

    /// Whether the others suffice without this machine, with some CPUs to spare.
    pub(super) fn can_spare(&self, machine: &FleetMachine) -> bool {
        let spare_share = if machine.spot {
            limits::DRAIN_SPOT_SPARE_SHARE
        } else {
            limits::DRAIN_ON_DEMAND_SPARE_SHARE
        };
        let others_cpus = self.active_cpus - machine.cpus;
        !self.include(machine) || others_cpus >= self.wanted.of(machine) * (1.0 + spare_share)
    }
}
