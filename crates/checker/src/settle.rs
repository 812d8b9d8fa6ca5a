//! Determines the outcome of each submitted job: exactly one, with its evidence.

use crate::history::{Ask, Event, Off, State, What, job_of};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The submission was refused with 400 or 422, and no task ran.
    Refused,
    /// The user gave up without ever being told that the job is accepted.
    NeverAccepted,
    Done,
    Cancelled,
    Unsettled,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settled {
    pub end: End,
    pub at_ms: u64,
    /// What proves the outcome, or what is missing.
    pub evidence: String,
}

#[derive(Debug, Default)]
struct Seen {
    submitted: u64,
    tasks: u32,
    standing: bool,
    attempts: u32,
    refused: Option<(u16, u64)>,
    accepted: Option<u64>,
    gave_up: Option<u64>,
    finals: BTreeMap<State, u64>,
    done: BTreeSet<String>,
    last_done: u64,
    ran: bool,
    here: i64,
}

/// Returns the outcome of every submitted job as of the last event.
pub fn settle(events: &[Event]) -> BTreeMap<String, Settled> {
    let mut jobs: BTreeMap<&str, Seen> = BTreeMap::new();
    for e in events {
        match &e.what {
            What::Submitted { job } => {
                let seen = jobs.entry(&job.id).or_default();
                seen.submitted = e.at_ms;
                (seen.tasks, seen.standing) = (job.tasks, job.standing);
            }
            What::Told {
                ask,
                job,
                status,
                state,
                ..
            } => {
                let Some(seen) = jobs.get_mut(job.as_str()) else {
                    continue;
                };
                seen.attempts += u32::from(*ask == Ask::Submit);
                match (status, state) {
                    (200 | 201, Some(state)) => {
                        seen.accepted.get_or_insert(e.at_ms);
                        if state.is_final() {
                            seen.finals.entry(*state).or_insert(e.at_ms);
                        }
                    }
                    (400 | 422, _) if *ask == Ask::Submit => {
                        seen.refused.get_or_insert((*status, e.at_ms));
                    }
                    _ => {}
                }
            }
            What::GaveUp { job } => {
                if let Some(seen) = jobs.get_mut(job.as_str()) {
                    seen.gave_up = Some(e.at_ms);
                }
            }
            What::On { task, .. } => {
                if let Some(seen) = jobs.get_mut(job_of(task)) {
                    seen.ran = true;
                    seen.here += 1;
                }
            }
            What::Off { task, why, .. } => {
                if let Some(seen) = jobs.get_mut(job_of(task)) {
                    seen.here -= 1;
                    if *why == Off::Done {
                        seen.done.insert(task.clone());
                        seen.last_done = e.at_ms;
                    }
                }
            }
            _ => {}
        }
    }
    let of = |(id, seen): (&str, Seen)| (id.to_string(), end(&seen));
    jobs.into_iter().map(of).collect()
}

fn end(s: &Seen) -> Settled {
    let settled = |end, at_ms, evidence: String| Settled {
        end,
        at_ms,
        evidence,
    };
    let unsettled = |why: String| settled(End::Unsettled, s.submitted, why);
    if s.finals.len() > 1 {
        return unsettled(format!(
            "reported as both done and cancelled: {:?}",
            s.finals
        ));
    }
    if let Some((state, at)) = s.finals.first_key_value() {
        return match state {
            State::Cancelled if s.here > 0 => {
                unsettled(format!("cancelled, but {} tasks still run", s.here))
            }
            State::Cancelled => settled(End::Cancelled, *at, "reported as cancelled".into()),
            _ if s.standing || (s.done.len() as u32) < s.tasks => unsettled(format!(
                "reported as done with {} of {} tasks done",
                s.done.len(),
                s.tasks
            )),
            _ => settled(
                End::Done,
                *at,
                format!("{} tasks done, the last at {} ms", s.tasks, s.last_done),
            ),
        };
    }
    match (s.refused, s.accepted, s.gave_up) {
        (Some((status, _)), Some(_), _) => {
            unsettled(format!("accepted, and refused with {status}"))
        }
        (Some((status, _)), None, _) if s.ran => {
            unsettled(format!("refused with {status}, but it ran"))
        }
        (Some((status, at)), None, _) => settled(End::Refused, at, format!("status {status}")),
        (None, None, Some(at)) => {
            let ran = if s.ran { ", but a task ran" } else { "" };
            let tries = s.attempts;
            settled(End::NeverAccepted, at, format!("{tries} attempts{ran}"))
        }
        (None, Some(_), _) => unsettled(format!(
            "accepted, {} of {} tasks done, {} on machines",
            s.done.len(),
            s.tasks,
            s.here
        )),
        (None, None, None) => unsettled(format!("{} attempts, still trying", s.attempts)),
    }
}

/// Counts the jobs of each outcome.
pub fn tally(settled: &BTreeMap<String, Settled>) -> BTreeMap<End, usize> {
    let mut tally = BTreeMap::new();
    for s in settled.values() {
        *tally.entry(s.end).or_default() += 1;
    }
    tally
}
