//! The rules, and what is said of one that was broken.

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
    /// A task starts before all jobs that its job needs are done.
    TooEarly,
    /// Still called queued or running after a job before it was cancelled.
    Orphaned,
    /// Not on the protocol page: the operators' own, if the scenario asks for it.
    Starved,
    /// Left waiting beside room once all troubles are over: the operators' own.
    LeftWaiting,
    /// A machine takes a start command long after its user was told cancelled, though
    /// nothing delays commands.
    StartedCancelled,
    /// A job that can never run or lacks a field was accepted.
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

    /// Its name on the protocol page.
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

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    pub rule: Rule,
    /// The job, or the task.
    pub what: String,
    /// The machine, or the controller that said so.
    pub place: String,
    /// What it contradicts happened then.
    pub since_ms: u64,
    pub at_ms: u64,
    pub why: String,
}

impl fmt::Display for Breach {
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
