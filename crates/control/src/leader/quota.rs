//! Each team's usage of its quota, updated with every placement and release.

use super::job_table::JobTable;
use super::placement::Placement;
use crate::resources::Resources;
use std::collections::HashMap;

/// Usage by team. Only [`record_placement`] and [`record_release`] change it.
#[derive(Debug, Default)]
pub(super) struct QuotaUsage {
    by_team: HashMap<String, Resources>,
}

impl QuotaUsage {
    /// Returns the resources that a team uses; zero if none of its placements was ever counted.
    pub(super) fn of(&self, team: &str) -> Resources {
        self.by_team.get(team).copied().unwrap_or_default()
    }

    /// Iterates over the usage of all teams that ever had a placement counted, in no order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &Resources)> {
        self.by_team.iter()
    }

    /// Adds the placement's resources multiplied by `sign`.
    fn add(&mut self, p: &Placement, sign: f64) {
        let usage = match self.by_team.get_mut(&p.team) {
            Some(usage) => usage,
            None => self.by_team.entry(p.team.clone()).or_default(),
        };
        *usage += p.request() * sign;
    }
}

/// Counts a new placement for its team's quota and for its job.
pub(super) fn record_placement(
    usage: &mut QuotaUsage,
    jobs: &mut JobTable,
    p: &Placement,
    zone: &str,
) {
    usage.add(p, 1.0);
    if let Some(job) = p.job.and_then(|job| jobs.get_mut(&job)) {
        job.add_placement(p.task_index, zone);
    }
}

/// Removes a freed placement from the counts of its team's quota and of its job.
pub(super) fn record_release(
    usage: &mut QuotaUsage,
    jobs: &mut JobTable,
    p: &Placement,
    zone: &str,
) {
    usage.add(p, -1.0);
    if let Some(job) = p.job.and_then(|job| jobs.get_mut(&job)) {
        job.remove_placement(p, zone);
    }
}
