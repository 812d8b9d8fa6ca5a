//! The order in which pending work is served: by priority, then by objectives that are
//! about to be missed, then by the level clocks.

use super::pass::{PlacementPass, QuotaBound};
use super::pending::{PendingJob, PendingRange, PriorityBand};
use crate::leader::JobIndex;
use cherrywood_limits as limits;
use cherrywood_wire::user::Priority;

/// The successive orders in which work of one priority is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServingOrder {
    /// Jobs about to miss an objective that they can still meet, least remaining work first.
    ObjectiveAtRisk,
    /// Jobs whose image is cached on a machine with room, by the level clocks.
    CachedImage,
    /// All jobs, by the level clocks.
    Any,
}

/// The number of ranges examined in each level of a band. While a band is served in one order,
/// no range becomes eligible that was not, so a range that was skipped isn't examined again.
type RangesExamined = [usize; limits::LEVELS];

impl PlacementPass<'_> {
    /// Serves all pending work: work within its team's guarantee before work that borrows beyond
    /// the guarantee, higher priorities before lower ones; among equals the level clocks decide.
    /// Before a machine fetches an image, tasks of the same bound and priority whose image is
    /// already cached may go first, for a bounded time.
    ///
    /// Work of the lowest priority beyond the guarantee is served last. Best-effort work among
    /// it leaves `best_effort_reserve_cpus` free in addition to the CPUs that other pending work
    /// may use.
    pub(super) fn serve_by_priority(
        &mut self,
        bands: &[PriorityBand],
        best_effort_reserve_cpus: f64,
    ) {
        for bound in [QuotaBound::Guarantee, QuotaBound::Limit] {
            for band in bands {
                let is_last = band.priority == Priority::Low && bound == QuotaBound::Limit;
                self.mode.prioritized_work_only = is_last;
                self.serve_band(bound, band);
                if is_last {
                    self.reserve_for_prioritized_work(best_effort_reserve_cpus);
                    self.serve_band(bound, band);
                }
            }
        }
    }

    /// Serves the work of one priority, up to one bound of the quotas, in each serving order.
    fn serve_band(&mut self, bound: QuotaBound, band: &PriorityBand) {
        self.serve_objectives_at_risk(bound, band.priority);
        self.serve_by_level_clocks(bound, band, ServingOrder::CachedImage);
        self.serve_by_level_clocks(bound, band, ServingOrder::Any);
    }

    /// Serves jobs about to miss an objective, least remaining work first. A job's remaining work
    /// only shrinks while it is served, so the order is valid for the whole pass.
    fn serve_objectives_at_risk(&mut self, bound: QuotaBound, priority: Priority) {
        if self.candidates.is_empty() {
            return;
        }
        let at_risk = self.by_remaining_work(|job| {
            job.priority == priority
                && job
                    .slack_s
                    .is_some_and(|slack_s| slack_s < limits::OBJECTIVE_AT_RISK_SLACK_S)
                && self.is_eligible(job, bound)
        });
        for pending in at_risk {
            while !self.candidates.is_empty()
                && self.has_spare_cpus()
                && !self.pending[pending].yields_to_cached
                && self.is_eligible(&self.pending[pending], bound)
                && let Some(selection) = self.select_any(pending)
            {
                self.place_range(pending, &selection, bound, ServingOrder::ObjectiveAtRisk);
            }
        }
    }

    /// Returns the indices of the jobs that match, the least remaining work first.
    pub(super) fn by_remaining_work(&self, matches: impl Fn(&PendingJob) -> bool) -> Vec<usize> {
        let mut found: Vec<(f64, JobIndex, usize)> = Vec::new();
        for (index, pending) in self.pending.iter().enumerate() {
            if !matches(pending) {
                continue;
            }
            if let Some(job) = self.jobs.get(&pending.job) {
                let remaining_cpu_s = f64::from(job.remaining_tasks())
                    * pending.quota_request.cpus
                    * pending.expected_run_s;
                found.push((remaining_cpu_s, pending.job, index));
            }
        }
        found.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        found.into_iter().map(|(_, _, index)| index).collect()
    }

    /// Places as many tasks of one priority as possible, by the level clocks.
    fn serve_by_level_clocks(
        &mut self,
        bound: QuotaBound,
        band: &PriorityBand,
        order: ServingOrder,
    ) {
        let mut examined = RangesExamined::default();
        while !self.candidates.is_empty() && self.has_spare_cpus() {
            let mut first_eligible = [None; limits::LEVELS];
            for (level, ranges) in band.ranges_by_level.iter().enumerate() {
                let skipped = ranges[examined[level]..]
                    .iter()
                    .take_while(|range| !self.is_servable(range, bound, order));
                examined[level] += skipped.count();
                first_eligible[level] = ranges.get(examined[level]);
            }
            let positions = first_eligible.map(|range| range.map(|range| range.position));
            let Some(selection) = self.queue.select(positions) else {
                return;
            };
            let Some(range) = first_eligible[selection.level()] else {
                return;
            };
            self.place_range(range.pending, &selection, bound, order);
        }
    }

    /// Whether a task of the range may be placed now, in this order.
    fn is_servable(&self, range: &PendingRange, bound: QuotaBound, order: ServingOrder) -> bool {
        let job = &self.pending[range.pending];
        let yields_to_others = order != ServingOrder::Any
            && job.yields_to_cached
            && self.may_be_passed(job, range.waiting_since);
        !yields_to_others
            && self.is_eligible(job, bound)
            && self.queue.get(range.position).is_some()
    }

    /// Whether other jobs whose image is cached may go before the job.
    pub(super) fn may_be_passed(&self, job: &PendingJob, waiting_since: f64) -> bool {
        let waited_s = self.now - waiting_since;
        waited_s < limits::PASSED_OVER_FOR_IMAGE_MAX_S
            || job
                .slack_s
                .is_some_and(|s| s > limits::OBJECTIVE_AT_RISK_SLACK_S)
    }
}
