//! The operators' criteria for a failed day, whatever the scenario asks for: under half of a
//! class, of a team or of a class's largest jobs is served, or the largest start too late.

use crate::starvation::{Members, Starvation};
use std::fmt;

/// The share of the jobs of each group that must be done.
const SERVED_SHARE: f64 = 0.5;
/// Time within which each of the largest accepted jobs must start once it is ready, in ms.
const LARGEST_START_MS: u64 = 240_000;

/// A reason to count the day as failed.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// Too small a share of a class, of a team or of the largest jobs of a class was served.
    Underserved {
        group: String,
        served: usize,
        wanted: usize,
    },
    /// One of the largest jobs of its class started too late, or never.
    LateStart { job: String, after_s: f64 },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Underserved {
                group,
                served,
                wanted,
            } => write!(f, "{group}: {served} of {wanted} jobs served, under half"),
            Failure::LateStart { job, after_s } => write!(
                f,
                "{job}: among the largest of its class, not started for {after_s:.0} s"
            ),
        }
    }
}

/// Returns all reasons to count the day as failed, at its end.
pub(crate) fn failures(jobs: &Starvation, at_ms: u64) -> Vec<Failure> {
    let shares = jobs.shares();
    let underserved = shares.iter().filter(|(_, s)| s.value() < SERVED_SHARE);
    let underserved = underserved.map(|(members, share)| Failure::Underserved {
        group: group_name(members),
        served: share.served,
        wanted: share.wanted,
    });
    let longest = jobs.longest_start_of_tenths(at_ms);
    let late = longest.filter(|(wait_ms, _)| *wait_ms > LARGEST_START_MS);
    let late = late.map(|(wait_ms, job)| Failure::LateStart {
        job: job.to_string(),
        after_s: wait_ms as f64 / 1000.0,
    });
    underserved.chain(late).collect()
}

fn group_name(members: &Members) -> String {
    match members {
        Members::Class(name) => format!("class {name}"),
        Members::LargestOf(name) => format!("the largest of {name}"),
        Members::Team(name) => format!("team {name}"),
    }
}
