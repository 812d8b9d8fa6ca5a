//! One pass over the pending queue: the parts of the leader's state that it uses, and its
//! quota checks.

use super::candidates::{CandidateMachine, CandidateRooms};
use super::pending::{PendingJob, PositionLink, PriorityBand};
use super::reservation::Reservation;
use super::{ImageFetches, PassOutcome};
use crate::Settings;
use crate::leader::instance_pools::{PoolCatalog, PoolSet};
use crate::leader::quota_headroom::{
    PendingDemand, QuotaHeadroom, guarantee_of, limit_of, prioritized_pending,
};
use crate::leader::{JobIndex, JobTable, QuotaUsage};
use crate::resources::Resources;
use cherrywood_admission::TenantClassId;
use cherrywood_sched::MultiLevelQueue;
use cherrywood_sched::queue::Selection;
use std::collections::BTreeSet;

/// The bound of its team's quota up to which work is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuotaBound {
    /// The team's guarantee.
    Guarantee,
    /// The team's limit: beyond its guarantee a team borrows what other teams leave unused.
    Limit,
}

/// Restrictions on the placements of one part of a pass.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServingMode {
    /// CPUs that must be left free.
    pub(super) reserved_cpus: f64,
    /// Exclude best-effort work.
    pub(super) prioritized_work_only: bool,
    /// Place a single task of each job. The task doesn't wait for images.
    pub(super) single_task: bool,
    /// The placements are never preempted, best effort or not.
    pub(super) not_preemptible: bool,
}

/// One pass over the pending queue. Borrows the parts of the leader's state that it needs
/// separately.
pub(super) struct PlacementPass<'a> {
    pub(super) now: f64,
    pub(super) settings: &'a Settings,
    pub(super) catalog: PoolCatalog<'a>,
    pub(super) queue: &'a mut MultiLevelQueue<JobIndex>,
    pub(super) jobs: &'a mut JobTable,
    pub(super) quota_usage: &'a mut QuotaUsage,
    /// Machines that still have room.
    pub(super) candidates: Vec<CandidateMachine<'a>>,
    /// Their largest rooms at the start of the pass.
    pub(super) rooms: CandidateRooms,
    /// The distinct sets of pools that pending jobs may use.
    pub(super) pool_sets: Vec<PoolSet>,
    pub(super) pending: Vec<PendingJob>,
    pub(super) positions: Vec<PositionLink>,
    /// For each team, in the order of the settings, the resources that its tasks use, those of
    /// this pass included.
    pub(super) used_by_team: Vec<Resources>,
    /// For each team, the part of its quota that is reserved for one of its jobs.
    pub(super) reserved_by_team: Vec<Resources>,
    /// For each team, whether a part of its quota may be reserved in this pass.
    pub(super) may_reserve_by_team: Vec<bool>,
    /// Teams with a job for which a part of the quota is, or would be, reserved.
    pub(super) reserving_teams: BTreeSet<usize>,
    pub(super) image_fetches: &'a ImageFetches,
    pub(super) term: u64,
    pub(super) tokens_issued: &'a mut u64,
    pub(super) machines_to_record: &'a mut BTreeSet<String>,
    /// Rises with each group of tasks placed, and when pools are closed to best-effort work: a
    /// choice of machine is valid for one version.
    pub(super) room_version: u64,
    pub(super) mode: ServingMode,
    /// Room that best-effort work leaves free; none before it is served.
    pub(super) reservation: Reservation,
    /// Machines examined in all passes: a measure of the cost of placement.
    pub(super) machines_examined: &'a mut u64,
}

impl PlacementPass<'_> {
    /// Serves all pending work. Under-served classes may take `credit_cpus` before others;
    /// best-effort work leaves `best_effort_reserve_cpus` free.
    pub(super) fn run(
        mut self,
        under_served: &[TenantClassId],
        credit_cpus: f64,
        bands: &[PriorityBand],
        best_effort_reserve_cpus: f64,
    ) -> PassOutcome {
        self.serve_starving();
        let placed_before = self.placed_cpus();
        self.serve_under_served(under_served, credit_cpus);
        let minimum_share_cpus = self.placed_cpus() - placed_before;
        self.serve_by_priority(bands, best_effort_reserve_cpus);
        PassOutcome {
            limited_teams: self.limited_teams(),
            reserving_teams: std::mem::take(&mut self.reserving_teams),
            minimum_share_cpus,
            other_cpus: self.placed_cpus() - placed_before - minimum_share_cpus,
        }
    }

    /// Returns the CPUs that all teams use, those of this pass included.
    pub(super) fn placed_cpus(&self) -> f64 {
        self.used_by_team.iter().map(|used| used.cpus).sum()
    }

    /// Returns how many tasks of the job its team's quota leaves room for.
    pub(super) fn quota_task_count(&self, pending: &PendingJob, bound: QuotaBound) -> u32 {
        let team = &self.settings.teams[pending.team];
        let used = self.used_by_team[pending.team] + self.reserved_by_team[pending.team];
        let count_below = |quota: Resources| (quota - used).task_count(pending.quota_request);
        let below_limit = count_below(limit_of(team));
        match bound {
            QuotaBound::Guarantee => below_limit.min(count_below(guarantee_of(team))),
            QuotaBound::Limit => below_limit,
        }
    }

    /// Returns the teams whose limit leaves no room for one of their pending tasks.
    pub(super) fn limited_teams(&self) -> BTreeSet<usize> {
        let mut limited = BTreeSet::new();
        for (index, pending) in self.pending.iter().enumerate() {
            let refused =
                !pending.blocked && self.quota_task_count(pending, QuotaBound::Limit) == 0;
            if refused && !limited.contains(&pending.team) && self.select_any(index).is_some() {
                limited.insert(pending.team);
            }
        }
        limited
    }

    /// Returns the pending work other than best-effort work.
    pub(super) fn prioritized_pending(&self) -> Vec<PendingDemand> {
        let teams = self.settings.teams.iter().zip(&self.used_by_team);
        let headroom = teams
            .map(|(team, used)| QuotaHeadroom::new(team, *used))
            .collect();
        prioritized_pending(self.queue, self.jobs, headroom, self.now)
    }

    /// Whether the machines have more CPUs free than must be left.
    pub(super) fn has_spare_cpus(&self) -> bool {
        let free_cpus = || self.candidates.iter().map(|c| c.free.cpus).sum::<f64>();
        self.mode.reserved_cpus <= 0.0 || free_cpus() > self.mode.reserved_cpus
    }

    /// Whether a task of the job may be placed now, if a machine has room for it.
    pub(super) fn is_eligible(&self, pending: &PendingJob, bound: QuotaBound) -> bool {
        let is_excluded = self.mode.prioritized_work_only && pending.best_effort;
        !pending.blocked && !is_excluded && self.quota_task_count(pending, bound) > 0
    }

    /// Returns a pending range of the job, regardless of the level clocks.
    pub(super) fn select_any(&self, pending: usize) -> Option<Selection<JobIndex>> {
        let mut link = self.pending[pending].first_position;
        while let Some(index) = link {
            let position = &self.positions[index];
            let selection = self.queue.get(position.position);
            if selection.is_some() {
                return selection;
            }
            link = position.next;
        }
        None
    }
}
