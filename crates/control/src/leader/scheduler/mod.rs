//! Placement: assigns pending tasks to machines.
//!
//! A pass iterates over the pending queue and the machines with room. The tasks of a range
//! are identical, so they are placed in groups: one search of the machines places as many
//! tasks as the best machine has room for, and the virtual clock of their level is charged for
//! each task ([`cherrywood_sched::queue`]). The cost of a pass depends on the pending work and
//! on the machines that have room, not on all running work.
//!
//! A pass serves, in this order: starving jobs ([`starvation`]), under-served tenant classes
//! ([`minimum_shares`]), then all work within its team's guarantee and all work within its
//! team's limit, each by priority ([`ordering`]). Best-effort work is served last and leaves
//! some room. Work that still finds no room may then preempt best-effort tasks
//! ([`super::preemption`]).

use super::instance_pools::PoolCatalog;
use super::{Job, Leader};
use crate::resources::Resources;
use cherrywood_admission::TenantClassId;
use cherrywood_limits as limits;
use std::collections::{BTreeSet, HashMap, HashSet};

mod candidates;
mod commit;
mod constraints;
mod gangs;
mod groups;
mod minimum_shares;
mod ordering;
mod pass;
mod pending;
mod reservation;
mod starvation;

pub(super) use constraints::{machine_allowed, pool_allowed, zone_task_limit};
pub(super) use pending::expected_run_s;

use candidates::{CandidateRooms, candidate_machines};
use pass::{PlacementPass, ServingMode};
use reservation::Reservation;

/// State of placement that persists between passes.
#[derive(Debug)]
pub(super) struct SchedulerState {
    /// CPUs that under-served tenant classes may take in the next pass before others.
    under_served_credit_cpus: f64,
    /// For each team, in the order of the settings, when its limit last left no room for a
    /// pending task.
    quota_refused_at: Vec<f64>,
    /// For each team, in the order of the settings, since when passes have reserved the rest of
    /// its quota for one of its jobs; None if the last pass didn't.
    quota_reserved_since: Vec<Option<f64>>,
    /// Machines examined in all passes: a measure of the cost of placement.
    machines_examined: u64,
}

impl SchedulerState {
    /// Returns the state of a new leader whose settings have `team_count` teams.
    pub(super) fn new(team_count: usize) -> SchedulerState {
        SchedulerState {
            under_served_credit_cpus: 0.0,
            quota_refused_at: vec![f64::NEG_INFINITY; team_count],
            quota_reserved_since: vec![None; team_count],
            machines_examined: 0,
        }
    }

    /// Whether the rest of the team's quota may be reserved now. A reservation pauses after a
    /// while: if the team's other tasks never end, it would keep the rest from every job.
    fn may_reserve_quota(&self, team: usize, now: f64) -> bool {
        self.quota_reserved_since[team].is_none_or(|since| {
            let period_s = limits::QUOTA_RESERVED_MAX_S + limits::QUOTA_RESERVATION_PAUSE_S;
            (now - since) % period_s < limits::QUOTA_RESERVED_MAX_S
        })
    }
}

/// Images that any machine has, and the CPUs that wait for image fetches.
pub(super) struct ImageFetches {
    /// For each team, in the order of the settings, the CPUs of placements that don't run yet.
    waiting_cpus_by_team: Vec<f64>,
    /// IDs of the images that are on any machine.
    cached_image_ids: HashSet<u64>,
}

/// The results of a pass that the next pass depends on.
struct PassOutcome {
    /// Teams whose limit left no room for one of their pending tasks.
    limited_teams: BTreeSet<usize>,
    /// Teams of which a job needs more than their limit leaves, so that the rest is reserved for
    /// it, unless reservations pause.
    reserving_teams: BTreeSet<usize>,
    /// CPUs placed for under-served tenant classes.
    minimum_share_cpus: f64,
    /// CPUs placed for all other work, except the single tasks of starving jobs.
    other_cpus: f64,
}

impl Leader {
    /// Runs one pass over the pending queue: plans a placement for every task that fits on some
    /// machine. Planned placements are then written to the ledger and started.
    pub fn place_pending(&mut self, now: f64) {
        self.derive_priorities(now);
        self.pending_queue.age(now);
        self.requeue_delayed_tasks(now);
        if self.pending_queue.is_empty() {
            return;
        }
        let under_served = self.under_served_classes(now);
        let outcome = self.run_placement_pass(&under_served, now);
        for team in &outcome.limited_teams {
            self.scheduler.quota_refused_at[*team] = now;
        }
        for (team, since) in self.scheduler.quota_reserved_since.iter_mut().enumerate() {
            let is_reserving = outcome.reserving_teams.contains(&team);
            *since = is_reserving.then(|| since.unwrap_or(now));
        }
        self.scheduler.under_served_credit_cpus = if under_served.is_empty() {
            0.0
        } else {
            self.next_under_served_credit_cpus(&outcome)
        };
        self.preempt_best_effort(now);
    }

    /// Returns the number of machines examined in all passes of this leader, a measure of the
    /// cost of placement.
    pub fn machines_examined(&self) -> u64 {
        self.scheduler.machines_examined
    }

    /// Makes tasks pending again whose delay after a failure is over.
    fn requeue_delayed_tasks(&mut self, now: f64) {
        let delayed = std::mem::take(&mut self.delayed_tasks);
        let (due, later): (Vec<_>, Vec<_>) = delayed.into_iter().partition(|d| d.0 <= now);
        self.delayed_tasks = later;
        for (_, index, task) in due {
            let job = self.jobs.get(&index);
            if let Some(job) = job.filter(|job| !job.awaiting_dependencies) {
                let key = job.estimate_key.clone();
                let level = self.queue_level(&key, now);
                self.pending_queue.push_front(level, index, task, now);
            }
        }
    }

    fn run_placement_pass(&mut self, under_served: &[TenantClassId], now: f64) -> PassOutcome {
        let work = self.pending_work(now);
        let best_effort_reserve_cpus = self.prioritized_cpus() * limits::BEST_EFFORT_FREE_CPU_SHARE;
        let image_fetches = self.image_fetches();
        let teams = &self.settings.teams;
        let used_by_team = teams
            .iter()
            .map(|team| self.quota_used(&team.name))
            .collect();
        let catalog = PoolCatalog::new(&self.machine_types);
        let candidates = candidate_machines(
            &mut self.machines,
            &catalog,
            &self.machine_types,
            &self.settings,
            work.smallest_request,
            now,
        );
        let pass = PlacementPass {
            now,
            settings: &self.settings,
            queue: &mut self.pending_queue,
            jobs: &mut self.jobs,
            quota_usage: &mut self.quota_usage,
            rooms: CandidateRooms::of(&candidates, catalog.len()),
            catalog,
            candidates,
            pool_sets: work.pool_sets,
            pending: work.jobs,
            positions: work.positions,
            used_by_team,
            reserved_by_team: vec![Resources::ZERO; teams.len()],
            may_reserve_by_team: (0..teams.len())
                .map(|team| self.scheduler.may_reserve_quota(team, now))
                .collect(),
            reserving_teams: BTreeSet::new(),
            image_fetches: &image_fetches,
            term: self.term,
            tokens_issued: &mut self.tokens_issued,
            machines_to_record: &mut self.machines_to_record,
            room_version: 0,
            mode: ServingMode::default(),
            reservation: Reservation::default(),
            machines_examined: &mut self.scheduler.machines_examined,
        };
        let credit_cpus = self.scheduler.under_served_credit_cpus;
        pass.run(
            under_served,
            credit_cpus,
            &work.bands,
            best_effort_reserve_cpus,
        )
    }

    /// Returns the CPUs that each team has placed but not running, and the images on any
    /// machine.
    fn image_fetches(&self) -> ImageFetches {
        let teams = self.settings.teams.iter().enumerate();
        let team_index: HashMap<&str, usize> = teams
            .map(|(index, team)| (team.name.as_str(), index))
            .collect();
        let mut waiting_cpus_by_team = vec![0.0; self.settings.teams.len()];
        let mut cached_image_ids = HashSet::new();
        for machine in self.machines.values() {
            if !machine.up || machine.cordoned || machine.deleting {
                continue;
            }
            cached_image_ids.extend(machine.cached_images.iter().map(|image| image.id));
            if !machine.placements.sums().has_not_running {
                continue;
            }
            for placement in machine.placements.iter().filter(|p| !p.running) {
                if let Some(team) = team_index.get(placement.team.as_str()) {
                    waiting_cpus_by_team[*team] += placement.cpus;
                }
            }
        }
        ImageFetches {
            waiting_cpus_by_team,
            cached_image_ids,
        }
    }

    /// Returns the expected run time of a task of the job, s.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        expected_run_s(self.predictor.median_s(&job.estimate_key), job)
    }
}
