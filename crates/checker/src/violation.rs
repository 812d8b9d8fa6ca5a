//! The rules, and the report of a violation.

use crate::history::secs;
use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    /// A task started before all jobs that its job needs were done.
    TooEarly,
    /// A job was still reported as queued or running after a job that it needs was cancelled.
    Orphaned,
    /// A group of jobs starved. A rule of the operators, not of the protocol page; checked if
    /// the scenario asks for it.
    Starved,
    /// A job was left waiting although there was capacity, once all faults were over. A rule of
    /// the operators.
    LeftWaiting,
    /// A machine accepted a start command long after the user was told that the job is
    /// cancelled, although nothing delayed commands.
    StartedCancelled,
    /// A job that can never run, or that lacks a field, was accepted.
    AcceptedImpossible,
}

impl Rule {
    pub const ALL: [Rule; 15] = [
        Rule::RanTwice,
        Rule::Quota,
        Rule::WrongPlace,
        Rule::RanCancelled,
        Rule::Forgotten,
        Rule::Invented,
        Rule::NotDone,
        Rule::WentBack,
        Rule::NothingRan,
        Rule::TooEarly,
        Rule::Orphaned,
        Rule::Starved,
        Rule::LeftWaiting,
        Rule::StartedCancelled,
        Rule::AcceptedImpossible,
    ];

    /// Returns the name of the rule on the protocol page and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::RanTwice => "ran_twice",
            Rule::Quota => "quota",
            Rule::WrongPlace => "wrong_place",
            Rule::RanCancelled => "ran_cancelled",
            Rule::Forgotten => "forgotten",
            Rule::Invented => "invented",
            Rule::NotDone => "not_done",
            Rule::WentBack => "went_back",
            Rule::NothingRan => "nothing_ran",
            Rule::TooEarly => "too_early",
            Rule::Orphaned => "orphaned",
            Rule::Starved => "starved",
            Rule::LeftWaiting => "left_waiting",
            Rule::StartedCancelled => "started_cancelled",
            Rule::AcceptedImpossible => "accepted_impossible",
        }
    }
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    /// The job or task.
    pub what: String,
    /// The machine, or the controller that sent the response.
    pub place: String,
    /// Time of the earlier event that this one contradicts, in ms.
    pub since_ms: u64,
    /// Time of the violation, in ms.
    pub at_ms: u64,
    pub why: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} on {} at {}: {} at {}",
            self.rule.name(),
            self.what,
            self.place,
            secs(self.at_ms),
            self.why,
            secs(self.since_ms)
        )
    }
}
