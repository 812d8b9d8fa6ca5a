//! Starvation avoidance: the time for which the order of service may pass a job over.
//!
//! Priorities, objectives, levels and their virtual clocks decide which job is served next. If a
//! team's quota is used up, they alone would let newer jobs of the team overtake an older one for
//! as long as newer ones arrive, even while machines have room. So a job that was passed over for
//! too long gets a single task placed before all others.

use cherrywood_limits as limits;

/// A job with waiting tasks, and how the order of service has treated it so far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PassedOverJob {
    /// Seconds since one of its tasks was last placed or, if none was, since it could first run.
    pub waited_s: f64,
    /// Whether any of its tasks was ever done, or is on a machine now.
    pub has_started: bool,
    /// Whether one of its tasks is on a machine.
    pub is_placed: bool,
    /// Whether the team's quota refused a task of the team recently.
    pub quota_limited: bool,
}

impl PassedOverJob {
    /// Returns whether the job must get a task placed before all others.
    ///
    /// In a team at its quota, this holds for every job that was passed over for too long; in any
    /// other team, only for such a job that has never started.
    pub fn is_starving(&self) -> bool {
        if self.quota_limited {
            self.waited_s >= self.max_wait_at_quota_s()
        } else {
            !self.has_started && self.waited_s > limits::admission::FIRST_TASK_WITHIN_S
        }
    }

    fn max_wait_at_quota_s(&self) -> f64 {
        if self.is_placed {
            limits::STARVATION_PLACED_S
        } else {
            limits::STARVATION_UNPLACED_S
        }
    }
}
