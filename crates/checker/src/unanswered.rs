//! How long users ask about an accepted job without an answer.

use crate::breach::{Breach, Rule};
use crate::calm::Calm;
use crate::history::{Ask, Event, What};
use std::collections::BTreeMap;

/// ms without an answer after which an accepted job counts as forgotten, once troubles are
/// over, however others fare.
pub const UNANSWERED_MS: u64 = 75_000;

#[derive(Debug, Default)]
struct Asked {
    accepted: bool,
    /// When the first question was sent that has had no answer since.
    silent_since_ms: Option<u64>,
    longest_ms: u64,
    /// The breach was reported for this silence.
    reported: bool,
}

/// Watches the questions of each job's user.
#[derive(Debug, Default)]
pub struct Unanswered {
    jobs: BTreeMap<String, Asked>,
    calm: Calm,
}

impl Unanswered {
    /// Takes the event in; a breach if a job has had no answer for too long.
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
            why: "accepted, and no question about it was answered while no trouble ran, since"
                .into(),
        })
    }

    /// ms of the longest time in which no question about this accepted job was answered.
    pub fn longest_ms(&self, job: &str) -> u64 {
        self.jobs.get(job).map_or(0, |asked| asked.longest_ms)
    }
}

/// Does this status say something of the job?
fn is_answer(ask: Ask, status: u16) -> bool {
    match ask {
        Ask::Submit => matches!(status, 200 | 201 | 400 | 422),
        Ask::Poll | Ask::Cancel => matches!(status, 200 | 404),
    }
}
