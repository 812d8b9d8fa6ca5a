//! Measures how long the requests about an accepted job get no conclusive response.

use crate::history::{Ask, Event, What};
use crate::quiet_periods::QuietPeriods;
use crate::violation::{Rule, Violation};
use std::collections::BTreeMap;

/// Time without a conclusive response after which an accepted job counts as forgotten, once
/// all faults are over and whether or not requests about other jobs succeed, in ms.
pub const UNANSWERED_MS: u64 = 75_000;

#[derive(Debug, Default)]
struct JobRequests {
    accepted: bool,
    /// Time at which the first request was sent since the last conclusive response, in ms.
    failing_since_ms: Option<u64>,
    longest_ms: u64,
    /// Whether the violation was reported for this time without a response.
    reported: bool,
}

/// Tracks the requests about each job.
#[derive(Debug, Default)]
pub struct Unanswered {
    jobs: BTreeMap<String, JobRequests>,
    quiet_periods: QuietPeriods,
}

impl Unanswered {
    /// Processes an event. Returns a violation if a job has had no conclusive response for too
    /// long.
    pub fn feed(&mut self, event: &Event) -> Option<Violation> {
        self.quiet_periods.feed(event);
        let What::Told {
            ask,
            job,
            sent_ms,
            status,
            node,
            ..
        } = &event.what
        else {
            return None;
        };
        let requests = self.jobs.entry(job.clone()).or_default();
        if is_conclusive(*ask, *status) {
            requests.accepted |= matches!(status, 200 | 201);
            requests.failing_since_ms = None;
            requests.reported = false;
            return None;
        }
        if !requests.accepted {
            return None;
        }
        let since_ms = *requests.failing_since_ms.get_or_insert(*sent_ms);
        requests.longest_ms = requests.longest_ms.max(event.at_ms - since_ms);
        let counted_from_ms = since_ms.max(self.quiet_periods.quiet_since_ms()?);
        if requests.reported || event.at_ms < counted_from_ms + UNANSWERED_MS {
            return None;
        }
        requests.reported = true;
        Some(Violation {
            rule: Rule::Forgotten,
            what: job.clone(),
            place: node.clone(),
            since_ms: counted_from_ms,
            at_ms: event.at_ms,
            why: "accepted, but no request about it succeeded while no fault was active; \
                  counting began"
                .into(),
        })
    }

    /// Returns the longest time in which no request about this accepted job got a conclusive
    /// response, in ms.
    pub fn longest_ms(&self, job: &str) -> u64 {
        self.jobs.get(job).map_or(0, |requests| requests.longest_ms)
    }
}

/// Whether a response with this status is conclusive: it says something about the job, and not
/// only that the request failed.
fn is_conclusive(ask: Ask, status: u16) -> bool {
    match ask {
        Ask::Submit => matches!(status, 200 | 201 | 400 | 422),
        Ask::Poll | Ask::Cancel => matches!(status, 200 | 404),
    }
}
