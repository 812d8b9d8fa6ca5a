//! Quiet periods, in which no fault is active: several rules are stricter then.

use crate::history::{Event, What};

/// Counts the active faults.
#[derive(Debug, Default)]
pub struct QuietPeriods {
    active: u32,
    last_change_ms: u64,
}

impl QuietPeriods {
    /// Processes an event. Returns true if it ended a quiet period.
    pub fn feed(&mut self, event: &Event) -> bool {
        let What::Trouble { on, .. } = &event.what else {
            return false;
        };
        let was_quiet = self.active == 0;
        self.last_change_ms = event.at_ms;
        if *on {
            self.active += 1;
        } else {
            self.active = self.active.saturating_sub(1);
        }
        was_quiet && *on
    }

    /// Returns the time at which the last fault ended, in ms; `None` while one is active.
    pub fn quiet_since_ms(&self) -> Option<u64> {
        (self.active == 0).then_some(self.last_change_ms)
    }
}
