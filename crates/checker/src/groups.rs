//! Figures of each class and each team at the end of a scenario.

use crate::starved::{Members, Share, Starved};
use crate::unanswered::Unanswered;
use crate::waiting::Waiting;
use std::collections::BTreeMap;

/// What the jobs of a group have in common.
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

/// One class or team.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupFigures {
    pub kind: GroupKind,
    pub name: String,
    /// All that were submitted.
    pub jobs: usize,
    /// Of those that were wanted and could run.
    pub served: Share,
    /// Of a class with ten jobs or more: its largest tenth.
    pub largest: Option<Share>,
    /// s of the longest wait of a job beside room while no trouble ran.
    pub longest_wait_s: f64,
    /// s of the longest time in which no question about an accepted job was answered.
    pub longest_unanswered_s: f64,
}

/// The figures of all classes, then of all teams.
pub(crate) fn figures(
    jobs: &Starved,
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
            let silent_s = seconds(unanswered.longest_ms(&job.id));
            group.longest_unanswered_s = group.longest_unanswered_s.max(silent_s);
        }
    }
    groups.into_values().collect()
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}
