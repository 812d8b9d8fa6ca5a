//! Scale in: drains the machines that cost most for the work that they do, while the others
//! suffice for the demand: all of them for all work, and those of each set of instance pools for
//! the work that may use no others.

use super::demand::FleetDemand;
use super::room::FleetRoom;
use super::scale_out::has_headroom;
use super::wanted_machines::{FleetMachine, WantedCpus, WantedMachines};
use crate::leader::instance_pools::{PoolSets, UsablePools};
use crate::leader::largest_rooms::LargestRooms;
use crate::leader::scheduler::zone_task_limit;
use crate::leader::{Job, Leader, Machine};
use crate::resources::{Resources, machine_capacity, task_request};
use cherrywood_limits as limits;
use cherrywood_sched::provisioning::OccupiedCpus;
use cherrywood_wire::user::JobKind;
use std::collections::BTreeSet;
use tracing::info;

/// Lower bound on the CPUs of a machine where they are used as a divisor.
const MIN_MACHINE_CPUS: f64 = 0.001;

/// The share of its price that an empty machine wastes. Slightly above 1, so that of two full
/// machines the more expensive one counts as the more wasteful.
const EMPTY_MACHINE_WASTE: f64 = 1.05;

/// The machines that accept work, and those that are being drained, while scale in decides.
struct Fleet<'a> {
    leader: &'a Leader,
    sets: PoolSets<'a>,
    /// All machines, and those of each set of pools that pending work may use.
    wanted: Vec<WantedMachines>,
    /// CPUs of the machines that accept work, by pool.
    active_cpus_by_pool: Vec<f64>,
    draining: Vec<FleetMachine>,
    /// Machines that may be drained.
    removable: Vec<FleetMachine>,
}

/// The machines of which scale in changes whether they are drained.
#[derive(Debug, Default)]
struct ScaleInPlan {
    resumed: Vec<String>,
    drained: Vec<String>,
}

impl<'a> Fleet<'a> {
    fn new(leader: &'a Leader, wanted: WantedCpus, demand: &FleetDemand, now: f64) -> Fleet<'a> {
        let mut sets = PoolSets::new(&leader.machine_types);
        let mut wanted = vec![WantedMachines::new(None, wanted)];
        for work in &demand.by_pools {
            let in_pools = WantedCpus::in_pools(work);
            wanted.push(WantedMachines::new(Some(work.pools.clone()), in_pools));
        }
        let gangs = leader.pending_gangs(&mut sets, now).into_iter();
        let of_gangs: BTreeSet<(usize, bool)> = gangs
            .map(|(gang, usable)| (usable.set, gang.best_effort))
            .collect();
        for (set, best_effort) in of_gangs {
            let pools = sets.get(set).clone();
            let for_gangs = WantedCpus::for_gangs(best_effort);
            wanted.push(WantedMachines::new(Some(pools), for_gangs));
        }
        let mut fleet = Fleet {
            leader,
            wanted,
            active_cpus_by_pool: vec![0.0; sets.catalog.len()],
            sets,
            draining: Vec::new(),
            removable: Vec::new(),
        };
        for (name, machine) in &leader.machines {
            // A machine that can't be reached accepts no work, so it doesn't count: counting it
            // had another machine returned although work was pending.
            if machine.up && machine.stays() && machine.is_reachable(now, &leader.settings) {
                fleet.add(name, machine);
            }
        }
        fleet.draining.sort_by(|a, b| a.waste.total_cmp(&b.waste));
        fleet.removable.sort_by(|a, b| b.waste.total_cmp(&a.waste));
        fleet
    }

    fn add(&mut self, name: &str, machine: &Machine) {
        let pool = self.sets.catalog.pool_of(machine);
        let fleet_machine = self.leader.fleet_machine(name, machine, pool);
        if machine.scaling_in {
            self.draining.push(fleet_machine);
            return;
        }
        self.add_active_cpus(&fleet_machine, fleet_machine.cpus);
        if self.leader.can_be_drained(machine) {
            self.removable.push(fleet_machine);
        }
    }

    /// Adds CPUs to those of the machines like this one that accept work.
    fn add_active_cpus(&mut self, machine: &FleetMachine, cpus: f64) {
        if let Some(pool) = machine.pool {
            self.active_cpus_by_pool[pool] += cpus;
        }
        for wanted in &mut self.wanted {
            if wanted.include(machine) {
                wanted.active_cpus += cpus;
            }
        }
    }

    /// Stops draining machines, the least wasteful first, until the active machines suffice for
    /// the wanted CPUs.
    fn resume_for_demand(&mut self, plan: &mut ScaleInPlan, room: &mut FleetRoom) {
        for machine in std::mem::take(&mut self.draining) {
            if self.wanted.iter().any(|wanted| wanted.lack(&machine)) {
                self.resume(machine, plan, room);
            } else {
                self.draining.push(machine);
            }
        }
    }

    fn resume(&mut self, machine: FleetMachine, plan: &mut ScaleInPlan, room: &mut FleetRoom) {
        self.add_active_cpus(&machine, machine.cpus);
        info!(
            machine = machine.name,
            "scale in: the machine is wanted again, emptying it no more"
        );
        if let Some(pool) = machine.pool {
            room.add_drained(pool, machine.free);
        }
        plan.resumed.push(machine.name);
    }

    /// Stops draining a machine for each job that has waited for a while and finds room there
    /// alone, whatever the sums over machines tell.
    fn resume_for_waiting_jobs(
        &mut self,
        waiting: &[&'a Job],
        plan: &mut ScaleInPlan,
        room: &mut FleetRoom,
    ) {
        let mut drained_rooms = vec![LargestRooms::default(); self.sets.catalog.len()];
        for machine in &self.draining {
            if let Some(pool) = machine.pool {
                drained_rooms[pool].add(machine.free);
            }
        }
        let headroom = self.leader.quota_headroom_by_team();
        for job in waiting {
            if self.draining.is_empty() {
                return;
            }
            let request = task_request(&job.spec);
            let usable = self.usable_pools_now(job);
            let has_room = usable
                .iter()
                .any(|pool| room.of(*pool).free.has_room_for(request));
            let drained = usable.iter().find(|pool| {
                let may_keep = !job.best_effort || self.sets.catalog.is_spot(**pool);
                may_keep && drained_rooms[**pool].has_room_for(request)
            });
            if let Some(pool) = drained.filter(|_| !has_room && has_headroom(job, &headroom)) {
                self.resume_one(*pool, request, plan, room);
            }
        }
    }

    /// Returns the pools on whose machines the job's next task may run.
    fn usable_pools_now(&mut self, job: &'a Job) -> Vec<usize> {
        let UsablePools { set, .. } = self.sets.usable_by(job);
        let catalog = &self.sets.catalog;
        let pools = self.sets.get(set).iter();
        pools
            .filter(|pool| zone_task_limit(job, catalog.zone(*pool)) > 0)
            .collect()
    }

    /// Stops draining the least wasteful machine of the pool that has room for the request.
    fn resume_one(
        &mut self,
        pool: usize,
        request: Resources,
        plan: &mut ScaleInPlan,
        room: &mut FleetRoom,
    ) {
        let has_room =
            |machine: &FleetMachine| machine.pool == Some(pool) && request.fits_in(machine.free);
        if let Some(at) = self.draining.iter().position(has_room) {
            let machine = self.draining.remove(at);
            self.resume(machine, plan, room);
        }
    }

    /// Starts to drain machines, the most wasteful first, while the others suffice for the wanted
    /// CPUs and for the tasks on the machine.
    fn drain(&mut self, plan: &mut ScaleInPlan, room: &FleetRoom) {
        for machine in std::mem::take(&mut self.removable) {
            let can_spare = self.wanted.iter().all(|wanted| wanted.can_spare(&machine));
            if !can_spare || !self.fits_elsewhere(&machine, room) {
                continue;
            }
            self.add_active_cpus(&machine, -machine.cpus);
            info!(
                machine = machine.name,
                wanted_cpus = self.wanted[0].wanted.of(&machine),
                active_cpus = self.wanted[0].active_cpus,
                "scale in: the other machines suffice, emptying it"
            );
            plan.drained.push(machine.name);
        }
    }

    /// Whether the other machines of the pools that the machine's tasks may use have the CPUs,
    /// memory and GPUs for all tasks on machines of these pools.
    fn fits_elsewhere(&mut self, machine: &FleetMachine, room: &FleetRoom) -> bool {
        let mut sets = BTreeSet::new();
        let leader = self.leader;
        let placements = leader.machines[&machine.name].placements.iter();
        for job in placements.filter_map(|placement| leader.jobs.get(&placement.job?)) {
            sets.insert(self.sets.usable_by(job).set);
        }
        sets.into_iter().all(|set| {
            let pools = self.sets.get(set);
            let mut occupied = OccupiedCpus::default();
            let mut active_cpus = 0.0;
            for pool in pools.iter() {
                occupied += room.of(pool).occupied.all;
                active_cpus += self.active_cpus_by_pool[pool];
            }
            let others_cpus = active_cpus
                - if machine.is_in(pools) {
                    machine.cpus
                } else {
                    0.0
                };
            others_cpus >= occupied.most()
        })
    }
}

impl Leader {
    /// Drains the machines that cost most for the work that they do, while the others suffice for
    /// the wanted CPUs; stops draining machines when the others don't suffice.
    pub(super) fn scale_in(&mut self, wanted: WantedCpus, demand: &mut FleetDemand, now: f64) {
        let plan = self.scale_in_plan(wanted, demand, now);
        let resumed = plan.resumed.into_iter().map(|name| (name, false));
        let drained = plan.drained.into_iter().map(|name| (name, true));
        for (name, scaling_in) in resumed.chain(drained) {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.scaling_in = scaling_in;
            }
        }
    }

    fn scale_in_plan(&self, wanted: WantedCpus, demand: &mut FleetDemand, now: f64) -> ScaleInPlan {
        let mut plan = ScaleInPlan::default();
        let mut fleet = Fleet::new(self, wanted, demand, now);
        fleet.resume_for_demand(&mut plan, &mut demand.room);
        if !fleet.draining.is_empty() {
            let after_s = limits::UNPLACEABLE_JOB_RENT_AFTER_S;
            let waiting = self.jobs_waiting_since(|_| now - after_s, now);
            fleet.resume_for_waiting_jobs(&waiting, &mut plan, &mut demand.room);
        }
        fleet.drain(&mut plan, &demand.room);
        plan
    }

    fn fleet_machine(&self, name: &str, machine: &Machine, pool: Option<usize>) -> FleetMachine {
        let cpus = self.cpus_of(&machine.machine_type);
        let used_share = machine.used_resources().cpus / cpus.max(MIN_MACHINE_CPUS);
        let machine_type = self.machine_type(&machine.machine_type);
        let price = machine_type.map_or(0.0, |t| match machine.spot {
            true => t.spot_price_per_hour.unwrap_or(t.price_per_hour),
            false => t.price_per_hour,
        });
        FleetMachine {
            name: name.to_string(),
            pool,
            cpus,
            free: machine_type.map_or(Resources::ZERO, machine_capacity) - machine.used_resources(),
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
