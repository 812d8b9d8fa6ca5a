//! Times without trouble: several rules ask for more while nothing is wrong outside.

use crate::history::{Event, What};

/// Counts the troubles that run.
#[derive(Debug, Default)]
pub struct Calm {
    running: u32,
    last_change_ms: u64,
}

impl Calm {
    /// Takes the event in; true if it ended a time without trouble.
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

    /// ms at which the last trouble ended; none while one runs.
    pub fn since_ms(&self) -> Option<u64> {
        (self.running == 0).then_some(self.last_change_ms)
    }
}
