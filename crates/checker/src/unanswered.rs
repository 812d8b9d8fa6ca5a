//! Measures how long the requests about an accepted job get no conclusive response.

use crate::breach::{Breach, Rule};
use crate::calm::Calm;
use crate::history::{Ask, Event, What};
use std::collections::BTreeMap;

/// Time without a conclusive response after which an accepted job counts as forgotten, once
/// all faults are over and whether or not requests about other jobs succeed, in ms.
pub const UNANSWERED_MS: u64 = 75_000;

#[derive(Debug, Default)]
struct Asked {
    accepted: bool,
    /// Time at which the first request was sent since the last conclusive response, in ms.
    silent_since_ms: Option<u64>,
    longest_ms: u64,
    /// Whether the violation was reported for this time without a response.
    reported: bool,
}

/// Tracks the requests about each job.
#[derive(Debug, Default)]
pub struct Unanswered {
    jobs: BTreeMap<String, Asked>,
    calm: Calm,
}

impl Unanswered {
    /// Processes an event. Returns a violation if a job has had no conclusive response for too
    /// long.
    pub fn feed(&mut self, event: &Event) -> Option<Breach> {
        self.calm.feed(event);
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
        let asked = self.jobs.entry(job.clone()).or_default();
        if is_answer(*ask, *status) {
            asked.accepted |= matches!(status, 200 | 201);
            asked.silent_since_ms = None;
            asked.reported = false;
            return None;
        }
        if !asked.accepted {
            return None;
        }
        let since_ms = *asked.silent_since_ms.get_or_insert(*sent_ms);
        asked.longest_ms = asked.longest_ms.max(event.at_ms - since_ms);
        let counted_ms = since_ms.max(self.calm.since_ms()?);
        if asked.reported || event.at_ms < counted_ms + UNANSWERED_MS {
            return None;
        }
        asked.reported = true;
        Some(Breach {
            rule: Rule::Forgotten,
            what: job.clone(),
            place: node.clone(),
            since_ms: counted_ms,
            at_ms: event.at_ms,
            why: "accepted, but no request about it succeeded while no fault was active; \
                  counting began"
                .into(),
        })
    }

    /// Returns the longest time in which no request about this accepted job got a conclusive
    /// response, in ms.
    pub fn longest_ms(&self, job: &str) -> u64 {
        self.jobs.get(job).map_or(0, |asked| asked.longest_ms)
    }
}

/// Whether this status is conclusive about the job.
fn is_answer(ask: Ask, status: u16) -> bool {
    match ask {
        Ask::Submit => matches!(status, 200 | 201 | 400 | 422),
        Ask::Poll | Ask::Cancel => matches!(status, 200 | 404),
    }
}
