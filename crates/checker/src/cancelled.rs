//! Starts after a confirmed cancellation. The protocol page forbids them, but a start command
//! that was in flight when the user was told may still arrive: such starts are counted, and
//! one that no delay explains is a violation.

use crate::history::{Event, State, What, job_of};
use crate::quiet_periods::QuietPeriods;
use crate::violation::{Rule, Violation};
use std::collections::BTreeMap;

/// Time for which a command may be in flight while no fault is active, in ms: a worker drops
/// responses that take 4 s, and a direct command is as fast as the network.
const MAX_IN_FLIGHT_MS: u64 = 8_000;

/// Tracks the starts of cancelled jobs.
#[derive(Debug, Default)]
pub struct CancelledStarts {
    /// Time at which the user of each job was first told that it is cancelled, in ms.
    reported_ms: BTreeMap<String, u64>,
    quiet_periods: QuietPeriods,
    /// Number of tasks that came onto a machine after their user was told.
    pub count: u64,
}

impl CancelledStarts {
    /// Processes an event. Returns a violation if it is a start that no delay explains.
    pub fn feed(&mut self, event: &Event) -> Option<Violation> {
        self.quiet_periods.feed(event);
        match &event.what {
            What::Told {
                job,
                status: 200 | 201,
                state: Some(State::Cancelled),
                ..
            } => {
                self.reported_ms.entry(job.clone()).or_insert(event.at_ms);
                None
            }
            What::On { task, .. } => {
                self.count += u64::from(self.reported_ms.contains_key(job_of(task)));
                None
            }
            What::Starts { machine, task, .. } => self.start_accepted(machine, task, event.at_ms),
            _ => None,
        }
    }

    /// Checks a start command that a machine accepted.
    fn start_accepted(&self, machine: &str, task: &str, at_ms: u64) -> Option<Violation> {
        let reported_ms = *self.reported_ms.get(job_of(task))?;
        // A command that a fault delayed may arrive long after the user was told.
        let explained_until =
            reported_ms.max(self.quiet_periods.quiet_since_ms()?) + MAX_IN_FLIGHT_MS;
        (at_ms > explained_until).then(|| Violation {
            rule: Rule::StartedCancelled,
            what: task.to_string(),
            place: machine.to_string(),
            since_ms: reported_ms,
            at_ms,
            why: "a start command was accepted after its user was told of the cancellation".into(),
        })
    }
}
