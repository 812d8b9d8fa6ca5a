//! How long the order may pass a job by.
//!
//! Ranks, aims, levels and clocks decide who is served next. Where a team's limit binds,
//! they alone would let newer jobs overtake an older one for as long as they keep coming,
//! beside machines with room. So a job that was passed by for too long gets a single task
//! before all else.

use cherrywood_limits as limits;

/// How a job with tasks that wait stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unserved {
    /// s since a task of it was last placed, or since it could first run.
    pub waited_s: f64,
    /// Has any of its tasks ever been done, or is one on a machine?
    pub begun: bool,
    /// Is one on a machine?
    pub served: bool,
    /// Was a task of its team refused by the team's limit just now?
    pub limited: bool,
}

impl Unserved {
    /// Must it get a task before all else?
    pub fn overdue(&self) -> bool {
        if self.limited {
            let most_s = match self.served {
                true => limits::PASSED_BY_BEGUN_S,
                false => limits::PASSED_BY_S,
            };
            self.waited_s >= most_s
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
        served: false,
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
        let served = Unserved {
            served: true,
            ..LIMITED
        };
        assert!(!served.overdue());
        let long_ago = Unserved {
            waited_s: limits::PASSED_BY_BEGUN_S,
            ..served
        };
        assert!(long_ago.overdue());
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
