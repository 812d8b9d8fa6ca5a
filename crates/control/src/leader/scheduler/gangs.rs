//! Gang scheduling: jobs whose tasks run only all at once.

use super::pass::{PlacementPass, QuotaBound};
use super::pending::PendingJob;
use super::zone_task_limit;
use crate::leader::Job;
use crate::resources::task_request;
use std::collections::BTreeMap;

/// Where a gang can be placed as a whole.
enum GangRoom {
    /// On machines of this zone.
    Zone(String),
    /// On machines of any zone.
    AnyZone,
}

impl GangRoom {
    fn zone(&self) -> Option<&str> {
        match self {
            GangRoom::Zone(zone) => Some(zone),
            GangRoom::AnyZone => None,
        }
    }
}

impl PlacementPass<'_> {
    /// Places all of a gang at once, if there is room for it, before other work can take the
    /// room. All of its tasks get the same attempt number, by which they find each other.
    pub(super) fn place_gang(&mut self, pending: usize) {
        let Some(room) = self.gang_room(&self.pending[pending]) else {
            self.pending[pending].blocked = true;
            return;
        };
        let attempt = self.next_attempt();
        while let Some(selection) = self.select_any(pending) {
            let Some(choice) = self.best_machine(pending, room.zone()) else {
                self.pending[pending].blocked = true;
                return;
            };
            let Some(job) = self.jobs.get(&selection.job) else {
                return;
            };
            let candidate = &self.candidates[choice.candidate];
            let tasks = selection
                .task_count
                .min(candidate.free.task_count(task_request(&job.spec)))
                .min(zone_task_limit(job, &candidate.machine.zone))
                .max(1);
            let expected_run_s = self.pending[pending].expected_run_s;
            self.queue.serve(&selection, tasks, expected_run_s);
            let first = selection.first_task;
            self.place(pending, first..first + tasks, attempt, choice.candidate);
        }
    }

    /// Returns where all missing tasks of a gang fit at once; None if there is no such place.
    fn gang_room(&self, pending: &PendingJob) -> Option<GangRoom> {
        let job = self.jobs.get(&pending.job)?;
        let missing = job.remaining_tasks();
        let pools = &self.pool_sets[pending.pool_set];
        if self.quota_task_count(pending, QuotaBound::Limit) < missing
            || !self.rooms.may_have(pending.request, pools)
        {
            return None;
        }
        let room_by_zone = self.room_by_zone(job, missing);
        if job.spec.single_zone {
            let mut zones = room_by_zone.into_iter();
            let (zone, _) =
                zones.find(|(zone, tasks)| *tasks >= missing && zone_task_limit(job, zone) > 0)?;
            return Some(GangRoom::Zone(zone.to_string()));
        }
        let room: u64 = room_by_zone
            .iter()
            .map(|(zone, tasks)| u64::from((*tasks).min(zone_task_limit(job, zone))))
            .sum();
        (room >= u64::from(missing)).then_some(GangRoom::AnyZone)
    }

    /// Returns how many tasks of the job fit on the machines of each zone, counting at most
    /// `max_per_machine` on each machine.
    fn room_by_zone(&self, job: &Job, max_per_machine: u32) -> BTreeMap<&str, u32> {
        let request = task_request(&job.spec);
        let mut room_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for candidate in &self.candidates {
            if self.may_use(candidate, job) {
                let room = room_by_zone.entry(&candidate.machine.zone).or_default();
                let tasks = candidate.free.task_count(request).min(max_per_machine);
                *room = room.saturating_add(tasks);
            }
        }
        room_by_zone
    }
}
