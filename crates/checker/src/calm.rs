//! Quiet periods, in which no fault is active: several rules are stricter then.

use crate::history::{Event, What};

/// Counts the active faults.
#[derive(Debug, Default)]
pub struct Calm {
    running: u32,
    last_change_ms: u64,
}

impl Calm {
    /// Processes an event. Returns true if it ended a quiet period.
    pub fn feed(&mut self, event: &Event) -> bool {
        let What::Trouble { on, .. } = &event.what else {
            return false;
        };
        let was_calm = self.running == 0;
        self.last_change_ms = event.at_ms;
        if *on {
            self.running += 1;
        } else {
            self.running = self.running.saturating_sub(1);
        }
        was_calm && *on
    }

    /// Returns the time at which the last fault ended, in ms; `None` while one is active.
    pub fn since_ms(&self) -> Option<u64> {
        (self.running == 0).then_some(self.last_change_ms)
    }
}
