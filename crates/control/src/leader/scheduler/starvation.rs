//! Jobs that the order of service has passed over for too long.

use super::ordering::ServingOrder;
use super::pass::{PlacementPass, QuotaBound, ServingMode};

impl PlacementPass<'_> {
    /// Places a single task of each job that was passed over for too long before all other work,
    /// the longest passed over first. This ensures that every array starts eventually, also the
    /// largest, and that no job of a team at its limit is overtaken forever: by remaining work
    /// and level clocks alone, an array was passed over for as long as other jobs kept arriving.
    /// If the team's limit leaves too little for the job's task, the remainder is reserved for
    /// it, since smaller tasks would otherwise take the remainder one by one.
    pub(super) fn serve_starving(&mut self) {
        self.mode = ServingMode {
            single_task: true,
            // As best-effort work the task would be preempted at once and start again.
            not_preemptible: true,
            ..ServingMode::default()
        };
        for pending in self.starving_jobs() {
            if self.candidates.is_empty() {
                break;
            }
            let Some(selection) = self.select_any(pending) else {
                continue;
            };
            if self.is_eligible(&self.pending[pending], QuotaBound::Limit) {
                self.place_range(pending, &selection, QuotaBound::Limit, ServingOrder::Any);
            } else {
                self.reserve_quota(pending);
            }
        }
        self.mode = ServingMode::default();
    }

    /// Returns the jobs that were passed over for too long, the longest first.
    fn starving_jobs(&self) -> Vec<usize> {
        let pending = self.pending.iter().enumerate();
        let starving = pending.filter_map(|(index, job)| Some((job.starving_since?, index)));
        let mut starving: Vec<(f64, usize)> = starving.collect();
        starving.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        starving.into_iter().map(|(_, index)| index).collect()
    }

    /// Reserves quota for a task for which the team's limit has no room yet, if a machine has
    /// room. Each team reserves for the first of its jobs only, and pauses now and then.
    fn reserve_quota(&mut self, pending: usize) {
        let job = &self.pending[pending];
        let (team, request, blocked) = (job.team, job.quota_request, job.blocked);
        let already_reserved = self.reserving_teams.contains(&team);
        if blocked || already_reserved || self.best_machine(pending, None).is_none() {
            return;
        }
        self.reserving_teams.insert(team);
        if self.may_reserve_by_team[team] {
            self.reserved_by_team[team] = request;
        }
    }
}
