//! How long the order may pass a job by while nothing of it is on a machine.
//!
//! Ranks, aims, levels and clocks decide who is served next. Where a team's limit binds,
//! they alone would let newer jobs overtake an older one for as long as they keep coming,
//! beside machines with room. So a job that was passed by for too long gets a single task
//! before all else.

use cherrywood_limits as limits;

/// How a job without a task on a machine stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unserved {
    /// s since a task of it was last placed, or since it could first run.
    pub waited_s: f64,
    /// Has any of its tasks ever been done?
    pub begun: bool,
    /// Was a task of its team refused by the team's limit just now?
    pub limited: bool,
}

impl Unserved {
    /// Must it get a task before all else?
    pub fn overdue(&self) -> bool {
        if self.limited {
            self.waited_s >= limits::PASSED_BY_S
        } else {
            !self.begun && self.waited_s > limits::admission::BEGIN_S
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITED: Unserved = Unserved {
        waited_s: limits::PASSED_BY_S,
        begun: true,
        limited: true,
    };

    #[test]
    fn a_limited_team_passes_no_job_by_begun_or_not() {
        assert!(LIMITED.overdue());
        let unbegun = Unserved {
            begun: false,
            ..LIMITED
        };
        assert!(unbegun.overdue());
        let recent = Unserved {
            waited_s: limits::PASSED_BY_S - 1.0,
            ..LIMITED
        };
        assert!(!recent.overdue());
    }

    #[test]
    fn elsewhere_only_the_beginning_is_due() {
        let free = Unserved {
            waited_s: limits::admission::BEGIN_S + 1.0,
            limited: false,
            ..LIMITED
        };
        assert!(!free.overdue());
        let unbegun = Unserved {
            begun: false,
            ..free
        };
        assert!(unbegun.overdue());
    }
}
