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
struct JobEvents {
    submitted: u64,
    tasks: u32,
    standing: bool,
    attempts: u32,
    refused: Option<(u16, u64)>,
    accepted: Option<u64>,
    gave_up: Option<u64>,
    final_states: BTreeMap<State, u64>,
    done: BTreeSet<String>,
    last_done: u64,
    ran: bool,
    tasks_on_machines: i64,
}

/// Returns the outcome of every submitted job as of the last event.
pub fn settle(events: &[Event]) -> BTreeMap<String, Settled> {
    let mut jobs: BTreeMap<&str, JobEvents> = BTreeMap::new();
    for e in events {
        match &e.what {
            What::Submitted { job } => {
                let job_events = jobs.entry(&job.id).or_default();
                job_events.submitted = e.at_ms;
                (job_events.tasks, job_events.standing) = (job.tasks, job.standing);
            }
            What::Told {
                ask,
                job,
                status,
                state,
                ..
            } => {
                let Some(job_events) = jobs.get_mut(job.as_str()) else {
                    continue;
                };
                job_events.attempts += u32::from(*ask == Ask::Submit);
                match (status, state) {
                    (200 | 201, Some(state)) => {
                        job_events.accepted.get_or_insert(e.at_ms);
                        if state.is_final() {
                            job_events.final_states.entry(*state).or_insert(e.at_ms);
                        }
                    }
                    (400 | 422, _) if *ask == Ask::Submit => {
                        job_events.refused.get_or_insert((*status, e.at_ms));
                    }
                    _ => {}
                }
            }
            What::GaveUp { job } => {
                if let Some(job_events) = jobs.get_mut(job.as_str()) {
                    job_events.gave_up = Some(e.at_ms);
                }
            }
            What::On { task, .. } => {
                if let Some(job_events) = jobs.get_mut(job_of(task)) {
                    job_events.ran = true;
                    job_events.tasks_on_machines += 1;
                }
            }
            What::Off { task, why, .. } => {
                if let Some(job_events) = jobs.get_mut(job_of(task)) {
                    job_events.tasks_on_machines -= 1;
                    if *why == Off::Done {
                        job_events.done.insert(task.clone());
                        job_events.last_done = e.at_ms;
                    }
                }
            }
            _ => {}
        }
    }
    let of = |(id, job_events): (&str, JobEvents)| (id.to_string(), outcome(&job_events));
    jobs.into_iter().map(of).collect()
}

fn outcome(s: &JobEvents) -> Settled {
    let settled = |end, at_ms, evidence: String| Settled {
        end,
        at_ms,
        evidence,
    };
    let unsettled = |why: String| settled(End::Unsettled, s.submitted, why);
    if s.final_states.len() > 1 {
        return unsettled(format!(
            "reported as both done and cancelled: {:?}",
            s.final_states
        ));
    }
    if let Some((state, at)) = s.final_states.first_key_value() {
        return match state {
            State::Cancelled if s.tasks_on_machines > 0 => unsettled(format!(
                "cancelled, but {} tasks still run",
                s.tasks_on_machines
            )),
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
            let attempts = s.attempts;
            settled(End::NeverAccepted, at, format!("{attempts} attempts{ran}"))
        }
        (None, Some(_), _) => unsettled(format!(
            "accepted, {} of {} tasks done, {} on machines",
            s.done.len(),
            s.tasks,
            s.tasks_on_machines
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
