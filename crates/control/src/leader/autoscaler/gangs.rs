//! Machines for gangs, whose tasks run only all at once. Sums of CPUs don't tell whether a gang
//! has room: each machine has some that no whole task can use, and the tasks may have to be in one
//! zone, or spread over zones. So the tasks that fit are counted machine by machine.

use super::scale_out::{PoolOffer, RentalPlan};
use crate::leader::instance_pools::{PoolSet, PoolSets, UsablePools};
use crate::leader::scheduler::zone_task_limit;
use crate::leader::{Job, Leader};
use crate::resources::{Resources, machine_capacity, task_request};
use cherrywood_limits as limits;
use cherrywood_sched::provisioning::{InstanceOffer, plan_provisioning};
use cherrywood_wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// The free resources of each machine that accepts work, up or booting, by pool.
struct MachineRooms(Vec<Vec<Resources>>);

/// How many tasks of a gang find room in each zone.
struct GangRoom<'a> {
    gang: &'a Job,
    /// Number of tasks that need room.
    tasks: u32,
    by_zone: BTreeMap<&'a str, u32>,
}

impl<'a> GangRoom<'a> {
    /// Returns the number of tasks that may be placed in the zone, given its room.
    fn placeable_in(&self, zone: &str) -> u32 {
        let room = self.by_zone.get(zone).copied().unwrap_or(0);
        room.min(zone_task_limit(self.gang, zone))
    }

    /// Returns the number of tasks that find no room.
    fn missing_tasks(&self) -> u32 {
        let placeable = self.by_zone.keys().map(|zone| self.placeable_in(zone));
        let placeable = if self.gang.spec.single_zone {
            placeable.max().unwrap_or(0)
        } else {
            placeable.fold(0, u32::saturating_add)
        };
        self.tasks.saturating_sub(placeable)
    }

    /// Returns the number of tasks that machines of the zone are to be rented for.
    fn wanted_in(&self, zone: &str) -> u32 {
        let placeable = self.placeable_in(zone);
        let allowed = zone_task_limit(self.gang, zone).saturating_sub(placeable);
        self.missing_tasks().min(allowed)
    }

    fn add(&mut self, zone: &'a str, tasks: u32) {
        let room = self.by_zone.entry(zone).or_default();
        *room = room.saturating_add(tasks);
    }
}

impl Leader {
    /// Returns the pending gangs that their teams' limits admit as a whole, and the pools that
    /// they may use. A run may not get to all of them; each run begins with another one.
    pub(super) fn pending_gangs<'a>(
        &'a self,
        sets: &mut PoolSets<'a>,
        now: f64,
    ) -> Vec<(&'a Job, UsablePools)> {
        let headroom = self.quota_headroom_by_team();
        let admits = |job: &Job| {
            let headroom = job.team_index.and_then(|team| headroom.get(team));
            headroom.is_some_and(|headroom| headroom.admits_all(&job.spec, job.remaining_tasks()))
        };
        let mut seen = BTreeSet::new();
        let mut gangs = Vec::new();
        for range in self.pending_queue.ranges() {
            let job = self.jobs.get(&range.job);
            let Some(job) = job.filter(|job| job.spec.kind == JobKind::Gang) else {
                continue;
            };
            let may_run = job.retry_at <= now && !job.is_suspect();
            if may_run && seen.insert(range.job) && admits(job) {
                gangs.push((job, sets.usable_by(job)));
            }
        }
        let first = now as usize % gangs.len().max(1);
        gangs.rotate_left(first);
        gangs
    }

    /// Rents machines for the gangs that find no room for all of their tasks.
    pub(super) fn rent_for_gangs(
        &self,
        plan: &mut RentalPlan,
        sets: &PoolSets,
        gangs: &[(&Job, UsablePools)],
    ) {
        if gangs.is_empty() {
            return;
        }
        let mut rooms = self.machine_rooms(sets);
        let mut examined = 0;
        for (gang, usable) in gangs {
            let pools = sets.get(usable.set);
            examined += pools.iter().map(|pool| rooms.0[pool].len()).sum::<usize>();
            rent_for_gang(plan, sets, &mut rooms, gang, pools);
            if examined > limits::GANG_MACHINES_EXAMINED_MAX {
                return;
            }
        }
    }

    fn machine_rooms(&self, sets: &PoolSets) -> MachineRooms {
        let mut rooms = vec![Vec::new(); sets.catalog.len()];
        let active = self
            .machines
            .values()
            .filter(|m| m.stays() && !m.scaling_in);
        for machine in active {
            if let Some(pool) = sets.catalog.pool_of(machine) {
                let capacity = machine_capacity(sets.catalog.machine_type(pool));
                rooms[pool].push(capacity - machine.used_resources());
            }
        }
        MachineRooms(rooms)
    }
}

impl MachineRooms {
    /// Returns how many tasks of the gang find room on machines of the pools in each zone.
    fn of_gang<'a>(&self, gang: &'a Job, sets: &'a PoolSets, pools: &PoolSet) -> GangRoom<'a> {
        let tasks = gang.remaining_tasks();
        let mut room = GangRoom {
            gang,
            tasks,
            by_zone: BTreeMap::new(),
        };
        let request = task_request(&gang.spec);
        for pool in pools.iter() {
            for free in &self.0[pool] {
                let fitting = free.task_count(request).min(tasks);
                room.add(sets.catalog.zone(pool), fitting);
            }
        }
        room
    }
}

/// Rents machines for the tasks of the gang that find no room, if there are any.
fn rent_for_gang(
    plan: &mut RentalPlan,
    sets: &PoolSets,
    rooms: &mut MachineRooms,
    gang: &Job,
    pools: &PoolSet,
) {
    let mut room = rooms.of_gang(gang, sets, pools);
    let mut offers = plan.offers_in(pools);
    // On-demand machines aren't rented for best-effort work.
    offers.retain(|offer| offer.offer.spot || !gang.best_effort);
    if gang.spec.single_zone {
        keep_zone_with_most_room(&mut offers, &room);
    }
    while room.missing_tasks() > 0 {
        offers.retain(|offer| room.wanted_in(&offer.offer.zone) > 0);
        let Some(best) = cheapest(&offers) else {
            return;
        };
        let PoolOffer { pool, offer } = offers.swap_remove(best);
        let capacity = machine_capacity(sets.catalog.machine_type(pool));
        let tasks_per_machine = capacity.task_count(task_request(&gang.spec)).max(1);
        let machines = room.wanted_in(&offer.zone).div_ceil(tasks_per_machine);
        info!(
            job = gang.spec.id,
            zone = offer.zone,
            machines,
            "scale out: the gang has no room for all of its tasks, renting more"
        );
        // What exceeds one rental is rented by the next runs.
        let ordered = plan.order(pool, machines);
        rooms.0[pool].extend((0..ordered).map(|_| capacity));
        room.add(
            sets.catalog.zone(pool),
            machines.saturating_mul(tasks_per_machine),
        );
    }
}

/// Keeps the offers in the zone in which most of the gang's tasks find room already.
fn keep_zone_with_most_room(offers: &mut Vec<PoolOffer>, room: &GangRoom) {
    let zones = offers.iter().map(|offer| &offer.offer.zone);
    let zone = zones.max_by_key(|zone| room.placeable_in(zone)).cloned();
    offers.retain(|offer| Some(&offer.offer.zone) == zone.as_ref());
}

/// Returns the index of the offer to prefer.
fn cheapest(offers: &[PoolOffer]) -> Option<usize> {
    let offers: Vec<InstanceOffer> = offers.iter().map(|offer| offer.offer.clone()).collect();
    let least_cpus = offers.iter().map(|offer| offer.cpus).reduce(f64::min)?;
    let orders = plan_provisioning(least_cpus, &offers);
    orders.first().map(|order| order.offer)
}
