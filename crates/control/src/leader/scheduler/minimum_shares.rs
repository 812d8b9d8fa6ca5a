//! Minimum shares: a part of the CPUs that come free goes to tenant classes that are
//! under-served.

use super::PassOutcome;
use super::ordering::ServingOrder;
use super::pass::{PlacementPass, QuotaBound, ServingMode};
use crate::leader::Leader;
use cherrywood_admission::TenantClassId;
use cherrywood_limits::admission as bounds;

impl PlacementPass<'_> {
    /// Gives `credit_cpus`, a part of the CPUs that come free, to the classes that got less than
    /// their promised share, whatever their priority: the least served class first, and within
    /// each class the job with the least remaining work. Without this, jobs of lower priorities
    /// waited for as long as jobs of higher ones kept arriving (1 of 129 done).
    pub(super) fn serve_under_served(&mut self, classes: &[TenantClassId], credit_cpus: f64) {
        let max_placed_cpus = self.placed_cpus() + credit_cpus;
        self.mode = ServingMode {
            not_preemptible: true,
            ..ServingMode::default()
        };
        for class in classes {
            let jobs_of_class =
                self.by_remaining_work(|job| !job.blocked && job.tenant_class == *class);
            for pending in jobs_of_class {
                while self.placed_cpus() < max_placed_cpus
                    && !self.candidates.is_empty()
                    && self.is_eligible(&self.pending[pending], QuotaBound::Limit)
                    && let Some(selection) = self.select_any(pending)
                {
                    self.place_range(pending, &selection, QuotaBound::Limit, ServingOrder::Any);
                }
            }
        }
        self.mode = ServingMode::default();
    }
}

impl Leader {
    /// Returns the CPUs that under-served classes may take in the next pass before others: their
    /// share of the CPUs that others took, less the CPUs that they got themselves. The credit
    /// that is carried over is at most a share of the CPUs of all machines.
    pub(super) fn next_under_served_credit_cpus(&self, outcome: &PassOutcome) -> f64 {
        let share = bounds::UNDER_SERVED_CPU_SHARE;
        let machines = self.machines.values();
        let all_cpus: f64 = machines.map(|m| self.cpus_of(&m.machine_type)).sum();
        let earned_cpus = outcome.other_cpus * share / (1.0 - share);
        let credit_cpus =
            self.scheduler.under_served_credit_cpus - outcome.minimum_share_cpus + earned_cpus;
        credit_cpus.min(all_cpus * bounds::UNDER_SERVED_SAVED_CPU_SHARE)
    }
}
