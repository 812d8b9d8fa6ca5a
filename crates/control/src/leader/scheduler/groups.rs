//! Placement of a range of pending tasks on the best machine for it: how many of the tasks are
//! placed there, or why the job waits.

use super::candidates::CandidateMachine;
use super::ordering::ServingOrder;
use super::pass::{PlacementPass, QuotaBound};
use super::pending::{CachedMachineChoice, MachineChoice, PendingJob};
use super::{machine_allowed, zone_task_limit};
use crate::leader::{Job, JobIndex};
use crate::resources::task_request;
use cherrywood_limits as limits;
use cherrywood_sched::bin_packing::{PlacementCandidate, placement_cost};
use cherrywood_sched::queue::Selection;
use cherrywood_wire::user::JobKind;

/// Lower bound on the CPUs of a machine where they are used as a divisor.
const MIN_MACHINE_CPUS: f64 = 0.001;

/// How to handle a job whose image isn't on the best machine for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ImageDecision {
    /// Place the job; the machine fetches the image.
    Fetch,
    /// Let jobs whose image is cached go first.
    YieldToCached,
    /// Let the job wait for the next pass.
    Wait,
}

impl PlacementPass<'_> {
    /// Places as many tasks of the range as the best machine has room for, or marks the job as
    /// waiting.
    pub(super) fn place_range(
        &mut self,
        pending: usize,
        selection: &Selection<JobIndex>,
        bound: QuotaBound,
        order: ServingOrder,
    ) {
        let Some(available) = self.available_tasks(selection) else {
            return;
        };
        if self.pending[pending].kind == JobKind::Gang {
            self.place_gang(pending);
            self.close_reserved_pools();
            return;
        }
        let Some(choice) = self.choose_machine(pending, selection, order) else {
            return;
        };
        let Some(job) = self.jobs.get(&selection.job) else {
            return;
        };
        let is_suspect = job.is_suspect();
        let tasks = available.min(self.group_size(pending, job, choice, bound));
        if tasks > 0 {
            let attempt = self.next_attempt();
            let expected_run_s = self.pending[pending].expected_run_s;
            self.queue.serve(selection, tasks, expected_run_s);
            let first = selection.first_task;
            self.place(pending, first..first + tasks, attempt, choice.candidate);
            self.close_reserved_pools();
        }
        // A suspect job is tried one task at a time.
        if tasks == 0 || is_suspect {
            self.pending[pending].blocked = true;
        }
    }

    /// Returns how many tasks at the beginning of the range need a placement. If the first ones
    /// don't, because they are done or were found on a machine meanwhile, or because the job is
    /// no longer known, they are removed from the queue and the result is None.
    fn available_tasks(&mut self, selection: &Selection<JobIndex>) -> Option<u32> {
        let Some(job) = self.jobs.get(&selection.job) else {
            self.queue.discard(selection, selection.task_count);
            return None;
        };
        let tasks = selection.first_task..selection.first_task + selection.task_count;
        let not_needed = tasks.clone().take_while(|task| !job.needs_placement(*task));
        let not_needed = not_needed.count() as u32;
        if not_needed > 0 {
            self.queue.discard(selection, not_needed);
            return None;
        }
        let available = tasks.take_while(|task| job.needs_placement(*task));
        Some(available.count() as u32)
    }

    /// Returns the machine on which a task of the job is placed now; None if the job has to
    /// wait, which is then recorded in its `PendingJob`.
    fn choose_machine(
        &mut self,
        pending: usize,
        selection: &Selection<JobIndex>,
        order: ServingOrder,
    ) -> Option<MachineChoice> {
        let choice = self.best_machine(pending, None);
        let decision = choice.map_or(ImageDecision::Wait, |choice| {
            self.image_decision(pending, selection, choice, order)
        });
        match decision {
            ImageDecision::Fetch => return choice,
            ImageDecision::YieldToCached => self.pending[pending].yields_to_cached = true,
            ImageDecision::Wait => self.pending[pending].blocked = true,
        }
        None
    }

    /// Returns how many tasks of the job the machine, the zone constraints and the team's quota
    /// have room for.
    fn group_size(
        &self,
        pending: usize,
        job: &Job,
        choice: MachineChoice,
        bound: QuotaBound,
    ) -> u32 {
        let candidate = &self.candidates[choice.candidate];
        let single = job.is_suspect() || self.mode.single_task;
        candidate
            .free
            .task_count(task_request(&job.spec))
            .min(zone_task_limit(job, &candidate.machine.zone))
            .min(self.quota_task_count(&self.pending[pending], bound))
            .min(if single { 1 } else { u32::MAX })
    }

    /// Decides whether the best machine fetches the job's image or the job waits.
    fn image_decision(
        &self,
        pending: usize,
        selection: &Selection<JobIndex>,
        choice: MachineChoice,
        order: ServingOrder,
    ) -> ImageDecision {
        let image_wait_s = choice.image_wait_s;
        if image_wait_s <= limits::IMAGE_READY_WITHIN_S {
            return ImageDecision::Fetch;
        }
        let pending = &self.pending[pending];
        let waited_s = self.now - selection.waiting_since;
        let is_cached_somewhere = self
            .image_fetches
            .cached_image_ids
            .contains(&pending.image_id);
        match order {
            ServingOrder::ObjectiveAtRisk
                if pending.slack_s.is_none_or(|slack_s| slack_s > image_wait_s) =>
            {
                ImageDecision::YieldToCached
            }
            ServingOrder::CachedImage if self.may_be_passed(pending, selection.waiting_since) => {
                ImageDecision::YieldToCached
            }
            // The single task of a starving job doesn't wait for a machine that has the image.
            _ if self.mode.single_task => ImageDecision::Fetch,
            // Tasks end frequently on machines that have the image: a short wait for room on one
            // of them is better than a fetch, unless no machine has the image yet.
            ServingOrder::Any
                if is_cached_somewhere
                    && waited_s
                        < limits::FETCH_ON_OTHER_MACHINE_AFTER_S.min(image_wait_s / 2.0) =>
            {
                ImageDecision::Wait
            }
            _ if is_cached_somewhere && self.is_quota_held_by_fetches(pending.team) => {
                ImageDecision::Wait
            }
            _ => ImageDecision::Fetch,
        }
    }

    /// Whether the team is near its limit and tasks that wait for images take a large part of
    /// the limit.
    fn is_quota_held_by_fetches(&self, team: usize) -> bool {
        let limit_cpus = self.settings.teams[team].cpus_max;
        let waiting_cpus = self.image_fetches.waiting_cpus_by_team[team];
        self.used_by_team[team].cpus >= limit_cpus * limits::TEAM_LIMIT_SCARCE_SHARE
            && waiting_cpus > limit_cpus * limits::SCARCE_TEAM_FETCHING_SHARE
    }

    /// Returns the best machine for a task of the job, in `zone` if one is given.
    pub(super) fn best_machine(
        &mut self,
        pending: usize,
        zone: Option<&str>,
    ) -> Option<MachineChoice> {
        let pending_job = &self.pending[pending];
        let job = self.jobs.get(&pending_job.job)?;
        if let Some(cached) = pending_job.best_machine
            && cached.room_version == self.room_version
            && zone.is_none()
        {
            return cached.choice;
        }
        let pools = &self.pool_sets[pending_job.pool_set];
        let choice = if self.rooms.may_have(pending_job.request, pools) {
            *self.machines_examined += self.candidates.len() as u64;
            self.cheapest_machine(job, pending_job, zone)
        } else {
            None
        };
        self.pending[pending].best_machine = Some(CachedMachineChoice {
            room_version: self.room_version,
            choice,
        });
        choice
    }

    /// Returns the machine with the lowest placement cost among those that can take a task of
    /// the job; the first one of equal cost.
    fn cheapest_machine(
        &self,
        job: &Job,
        pending: &PendingJob,
        zone: Option<&str>,
    ) -> Option<MachineChoice> {
        let mut cheapest: Option<(f64, MachineChoice)> = None;
        for (index, candidate) in self.candidates.iter().enumerate() {
            if zone.is_some_and(|zone| zone != candidate.machine.zone)
                || !self.can_place_on(candidate, job)
            {
                continue;
            }
            let image_wait_s = candidate.image_wait_s(job, self.now);
            let free_after_cpus = candidate.free.cpus - job.spec.cpus;
            let placement = PlacementCandidate {
                image_wait_s,
                free_cpu_share_after: free_after_cpus
                    / candidate.machine_type.cpus.max(MIN_MACHINE_CPUS),
                spot: candidate.machine.spot,
                slowness: 1.0,
            };
            let cost_s = placement_cost(&placement, pending.expected_run_s);
            if cheapest.is_none_or(|(least_s, _)| cost_s < least_s) {
                let choice = MachineChoice {
                    candidate: index,
                    image_wait_s,
                };
                cheapest = Some((cost_s, choice));
            }
        }
        cheapest.map(|(_, choice)| choice)
    }

    /// Whether tasks of the job may be placed on the machine now, if it has room: that of tasks
    /// which are being evicted is for the work that they make way for.
    pub(super) fn may_use(&self, candidate: &CandidateMachine, job: &Job) -> bool {
        let machine = &*candidate.machine;
        machine_allowed(&job.spec, machine)
            && self.reservation.is_open(candidate.pool)
            && !(job.best_effort && machine.is_evicting())
    }

    /// Whether a task of the job may be placed on the machine and the machine has room for one.
    fn can_place_on(&self, candidate: &CandidateMachine, job: &Job) -> bool {
        let machine = &*candidate.machine;
        let spec = &job.spec;
        let is_recent = |failed_at: f64| self.now - failed_at < limits::FAILED_MACHINE_AVOIDED_S;
        let failed_there = job.failed_on.get(candidate.name);
        let failures_there = machine.failures_by_job.get(&spec.id);
        candidate.free.task_count(task_request(spec)) > 0
            && self.may_use(candidate, job)
            && zone_task_limit(job, &machine.zone) > 0
            && (job.is_suspect() || !failed_there.is_some_and(|at| is_recent(*at)))
            && !(job.has_succeeded() && failures_there.is_some_and(|f| is_recent(f.last_at)))
    }
}
