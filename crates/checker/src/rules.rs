//! Checks every rule of the protocol page, event by event.

use crate::cancelled::CancelledStarts;
use crate::failed_day::{self, Failure};
use crate::groups::{self, GroupFigures};
use crate::history::{Event, Facts, Job, Off, What, job_of};
use crate::placement::Place;
use crate::responses::{ReceivedResponses, Response};
use crate::starvation::{LeastServed, Starvation};
use crate::unanswered::Unanswered;
use crate::violation::{Rule, Violation};
use crate::waiting::{Wait, Waiting};
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod responses;
mod starts;

/// Time for which every status query for a job must fail before it counts as forgotten, in ms.
const FORGOTTEN_MS: u64 = 90_000;
/// Tolerance for the rounding errors of sums of decimal amounts, in CPUs.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
struct TrackedJob {
    job: Job,
    responses: ReceivedResponses,
    unwanted_ms: Option<u64>,
    /// Time at which each finished task was done.
    done: BTreeMap<u32, u64>,
    /// The machines that each task is on, with the time of its start there, in ms.
    on_machines: BTreeMap<u32, Vec<(String, u64)>>,
    /// Time of the first status query in the current run of failed ones.
    failing_since_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct QueryCounts {
    /// Successful and failed status queries in each whole second.
    by_second: BTreeMap<u64, (u32, u32)>,
}

impl QueryCounts {
    fn count(&mut self, response: &Response) {
        let second = self.by_second.entry(response.at_ms / 1000).or_default();
        match response.status {
            200 | 404 => second.0 += 1,
            _ => second.1 += 1,
        }
    }

    fn mostly_succeeded(&self, from_ms: u64, to_ms: u64) -> bool {
        let range = self.by_second.range(from_ms / 1000..=to_ms / 1000);
        let (mut succeeded, mut failed) = (0, 0);
        for (_, (a, f)) in range {
            succeeded += a;
            failed += f;
        }
        succeeded > failed
    }
}

/// Takes the events one by one, and records every violation.
#[derive(Debug, Default)]
pub struct Checker {
    facts: Option<Facts>,
    jobs: BTreeMap<String, TrackedJob>,
    machines: HashMap<String, Place>,
    /// CPUs that each team uses on machines, and the time at which a task of it last started.
    used: BTreeMap<String, (f64, u64)>,
    queries: QueryCounts,
    /// Jobs whose users were told of the cancellation, by the deadline for their tasks to end.
    cancel_deadlines: BTreeSet<(u64, String)>,
    starts: u64,
    submitted: u64,
    starvation: Starvation,
    waiting: Waiting,
    cancelled: CancelledStarts,
    unanswered: Unanswered,
    /// The field that the submission of a job lacks, by job.
    missing_fields: BTreeMap<String, String>,
    /// Reasons to count the day as failed by the operators' criteria; set at the end.
    pub failures: Vec<Failure>,
    /// Figures of each class and team; set at the end.
    pub groups: Vec<GroupFigures>,
    /// The least served class or team; set at the end if the scenario asks for a served share.
    pub least: Option<LeastServed>,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn new() -> Checker {
        Checker::default()
    }

    fn violation(&mut self, b: Violation) {
        self.violations.push(b);
    }

    pub fn feed(&mut self, event: &Event) {
        let at = event.at_ms;
        self.check_cancel_deadlines(at);
        self.starvation.feed(event);
        self.waiting.feed(event);
        self.violations.extend(self.cancelled.feed(event));
        self.violations.extend(self.unanswered.feed(event));
        match &event.what {
            What::Begins { facts, .. } => self.facts = Some(facts.clone()),
            What::Submitted { job } => self.submitted(job),
            What::Told {
                ask,
                job,
                sent_ms,
                status,
                state,
                node,
            } => {
                let response = Response {
                    ask: *ask,
                    sent_ms: *sent_ms,
                    at_ms: at,
                    status: *status,
                    state: *state,
                };
                self.response(job, &response, node);
            }
            What::LacksField { job, field } => {
                self.missing_fields.insert(job.clone(), field.clone());
            }
            What::Unwanted { job } => {
                if let Some(k) = self.jobs.get_mut(job) {
                    k.unwanted_ms.get_or_insert(at);
                }
            }
            What::Rented {
                machine,
                kind,
                zone,
                spot,
                ..
            } => {
                let place = Place {
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                };
                self.machines.insert(machine.clone(), place);
            }
            What::On { machine, task, .. } => self.on_machine(machine, task, at),
            What::Off {
                machine, task, why, ..
            } => self.off_machine(machine, task, *why, at),
            What::Ends => self.finish(at),
            _ => {}
        }
    }

    fn submitted(&mut self, job: &Job) {
        self.submitted += 1;
        let tracked = TrackedJob {
            job: job.clone(),
            responses: ReceivedResponses::default(),
            unwanted_ms: None,
            done: BTreeMap::new(),
            on_machines: BTreeMap::new(),
            failing_since_ms: None,
        };
        self.jobs.entry(job.id.clone()).or_insert(tracked);
    }

    /// Returns the time after the user was told of a cancellation within which all tasks of the
    /// job must be gone, in ms.
    fn cancel_ms(&self) -> u64 {
        (self.facts.as_ref().map_or(0.0, |f| f.cancel_s) * 1000.0) as u64
    }

    /// Records a violation for each task that is on a machine past the deadline of its
    /// cancelled job.
    fn check_cancel_deadlines(&mut self, now: u64) {
        while let Some((deadline, id)) = self.cancel_deadlines.first().cloned()
            && deadline < now
        {
            self.cancel_deadlines.pop_first();
            let Some(tracked) = self.jobs.get(&id) else {
                continue;
            };
            let reported_ms = tracked.responses.final_state.map_or(0, |e| e.1);
            let late: Vec<Violation> = tracked
                .on_machines
                .iter()
                .flat_map(|(n, on)| on.iter().map(move |(machine, _)| (n, machine)))
                .map(|(n, machine)| Violation {
                    rule: Rule::RanCancelled,
                    what: format!("{id}/{n}"),
                    place: machine.clone(),
                    since_ms: reported_ms,
                    at_ms: deadline,
                    why: "still there after its user was told of the cancellation".into(),
                })
                .collect();
            self.violations.extend(late);
        }
    }

    fn off_machine(&mut self, machine: &str, task: &str, why: Off, at: u64) {
        let number = task.split_once('/').and_then(|(_, n)| n.parse().ok());
        let (Some(tracked), Some(n)) = (self.jobs.get_mut(job_of(task)), number) else {
            return;
        };
        let Some(on) = tracked.on_machines.get_mut(&n) else {
            return;
        };
        let before = on.len();
        if let Some(i) = on.iter().position(|(m, _)| m == machine) {
            on.remove(i);
        }
        let gone = before - on.len();
        if on.is_empty() {
            tracked.on_machines.remove(&n);
        }
        if why == Off::Done {
            tracked.done.entry(n).or_insert(at);
        }
        if let Some(used) = self.used.get_mut(&tracked.job.team) {
            used.0 -= tracked.job.cpus * gone as f64;
        }
    }

    fn finish(&mut self, at: u64) {
        self.check_cancel_deadlines(at + 1);
        let starved = self.starvation.violations(at);
        self.violations.extend(starved);
        self.violations.extend(self.waiting.violations());
        self.failures = failed_day::failures(&self.starvation, at);
        self.groups = groups::figures(&self.starvation, &self.waiting, &self.unanswered);
        self.least = self.starvation.least(at);
        if self.starts == 0 && self.submitted > 0 {
            self.violation(Violation {
                rule: Rule::NothingRan,
                what: format!("{} jobs", self.submitted),
                place: "all machines".into(),
                since_ms: 0,
                at_ms: at,
                why: "no task has been started since".into(),
            });
        }
    }

    /// Returns the number of tasks that came onto machines after their user was told that the
    /// job is cancelled.
    pub fn starts_after_cancel(&self) -> u64 {
        self.cancelled.count
    }

    /// Returns the jobs that were left waiting although there was capacity before the last
    /// fault was over; these are no violations.
    pub fn earlier_waits(&self) -> Vec<Wait> {
        self.waiting.earlier()
    }

    /// Returns the number of violations of each rule.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts: BTreeMap<_, _> = Rule::ALL.iter().map(|r| (r.name(), 0)).collect();
        for b in &self.violations {
            *counts.entry(b.rule.name()).or_default() += 1;
        }
        counts
    }

    pub fn from_events(events: &[Event]) -> Checker {
        let mut checker = Checker::new();
        for e in events {
            checker.feed(e);
        }
        checker
    }
}
