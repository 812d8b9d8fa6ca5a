//! Counts of offered, admitted and completed jobs of each tenant class.

use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::ClassCounts;

/// Job counts of one tenant class. The recent counts decay with time
/// (`limits::JOB_COUNT_HALF_LIFE_S`); the totals count from this leader's election and are for
/// operators.
#[derive(Debug, Clone, Default)]
pub struct ClassStatistics {
    /// The team's name.
    pub team: String,
    /// The class's name.
    pub class: String,
    /// Jobs offered recently, admitted or not; decays.
    pub recent_offered: f64,
    /// Jobs admitted recently; decays.
    pub recent_admitted: f64,
    /// Jobs completed recently; decays.
    pub recent_done: f64,
    /// Jobs offered, admitted or not.
    pub total_offered: u64,
    /// Jobs admitted.
    pub total_admitted: u64,
    /// Jobs completed.
    pub total_done: u64,
}

impl ClassStatistics {
    pub(crate) fn new(team: &str, class: &str) -> Self {
        ClassStatistics {
            team: team.to_string(),
            class: class.to_string(),
            ..ClassStatistics::default()
        }
    }

    /// Restores the recent counts stored by an earlier leader; the totals start at 0.
    pub(crate) fn restore(counts: ClassCounts) -> Self {
        ClassStatistics {
            team: counts.team,
            class: counts.class,
            recent_offered: counts.offered,
            recent_admitted: counts.admitted,
            recent_done: counts.done,
            ..ClassStatistics::default()
        }
    }

    pub(crate) fn counts(&self) -> ClassCounts {
        ClassCounts {
            team: self.team.clone(),
            class: self.class.clone(),
            offered: self.recent_offered,
            admitted: self.recent_admitted,
            done: self.recent_done,
        }
    }

    pub(crate) fn record_offer(&mut self) {
        self.recent_offered += 1.0;
        self.total_offered += 1;
    }

    pub(crate) fn record_admission(&mut self) {
        self.recent_admitted += 1.0;
        self.total_admitted += 1;
    }

    pub(crate) fn record_completion(&mut self) {
        self.recent_done += 1.0;
        self.total_done += 1;
    }

    /// Removes a cancelled job from the recent counts: no user waits for it, so it counts as if it
    /// had never been offered.
    pub(crate) fn record_cancellation(&mut self) {
        self.recent_offered = (self.recent_offered - 1.0).max(0.0);
        self.recent_admitted = (self.recent_admitted - 1.0).max(0.0);
    }

    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        let kept = libm::exp2(-elapsed_s / limits::JOB_COUNT_HALF_LIFE_S);
        self.recent_offered *= kept;
        self.recent_admitted *= kept;
        self.recent_done *= kept;
    }
}
