//! Figures of each class and each team at the end of a scenario.

use crate::starvation::{Members, Share, Starvation};
use crate::unanswered::Unanswered;
use crate::waiting::Waiting;
use std::collections::BTreeMap;

/// The property that the jobs of a group share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GroupKind {
    Class,
    Team,
}

impl GroupKind {
    pub fn name(self) -> &'static str {
        match self {
            GroupKind::Class => "class",
            GroupKind::Team => "team",
        }
    }
}

/// Figures of one class or team.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupFigures {
    pub kind: GroupKind,
    pub name: String,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Share of the jobs done, of those that were wanted and could run.
    pub served: Share,
    /// Share of the largest tenth of a class that has ten jobs or more.
    pub largest: Option<Share>,
    /// Longest wait of a job although there was capacity, while no fault was active, in s.
    pub longest_wait_s: f64,
    /// Longest time in which no request about an accepted job got a conclusive response, in s.
    pub longest_unanswered_s: f64,
}

/// Returns the figures of all classes, then of all teams.
pub(crate) fn figures(
    jobs: &Starvation,
    waiting: &Waiting,
    unanswered: &Unanswered,
) -> Vec<GroupFigures> {
    let shares = jobs.shares();
    let share = |members| shares.get(&members).copied();
    let mut groups: BTreeMap<(GroupKind, &str), GroupFigures> = BTreeMap::new();
    for job in jobs.jobs() {
        let of_class = (GroupKind::Class, job.class.as_str());
        let of_team = (GroupKind::Team, job.team.as_str());
        for (kind, name) in [of_class, of_team] {
            let group = groups.entry((kind, name)).or_insert_with(|| GroupFigures {
                kind,
                name: name.to_string(),
                jobs: 0,
                served: match kind {
                    GroupKind::Class => share(Members::Class(name)),
                    GroupKind::Team => share(Members::Team(name)),
                }
                .unwrap_or_default(),
                largest: share(Members::LargestOf(name)).filter(|_| kind == GroupKind::Class),
                longest_wait_s: 0.0,
                longest_unanswered_s: 0.0,
            });
            group.jobs += 1;
            let wait_s = seconds(waiting.longest_ms(&job.id));
            group.longest_wait_s = group.longest_wait_s.max(wait_s);
            let unanswered_s = seconds(unanswered.longest_ms(&job.id));
            group.longest_unanswered_s = group.longest_unanswered_s.max(unanswered_s);
        }
    }
    groups.into_values().collect()
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}
