//! Aging: tasks that have waited long in their level move up one level, so that a stream of
//! shorter tasks cannot starve any task (paper 3.6).

use super::{MultiLevelQueue, TaskRange};
use cherrywood_limits as limits;

/// Policy that decides when waiting tasks move up a level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Aging {
    /// Pausing aging (paper 3.7): tasks do not move up while the level above holds promoted tasks
    /// and its oldest range has itself waited for `limits::AGING_THRESHOLD_S`.
    #[default]
    Pausing,
    /// Tasks move up regardless of how long those of the level above have waited (paper 3.6).
    Plain,
    /// Tasks never move up.
    Off,
}

impl<J: Clone + PartialEq> MultiLevelQueue<J> {
    /// Runs a pass of aging if the last one is at least `limits::AGING_INTERVAL_S` ago. From the
    /// level with the longest run times (the highest index) up to level 1, the task of each
    /// level that has waited longest moves to the back of the level above, if it has waited for
    /// `limits::AGING_THRESHOLD_S`.
    pub fn age(&mut self, now_s: f64) {
        let due = now_s - self.last_aging_pass >= limits::AGING_INTERVAL_S;
        if self.aging == Aging::Off || !due {
            return;
        }
        self.last_aging_pass = now_s;
        self.remove_empty_ranges();
        for level in (1..limits::LEVELS).rev() {
            let Some(oldest) = self.oldest(level) else {
                continue;
            };
            if self.has_aged(level, oldest, now_s) && !self.is_paused(level - 1, now_s) {
                self.promote(level, oldest, now_s);
            }
        }
    }

    /// Returns the index of the range that has waited longest in a level.
    fn oldest(&self, level: usize) -> Option<usize> {
        let ranges = self.levels[level].iter().enumerate();
        ranges
            .min_by(|a, b| a.1.waiting_since.total_cmp(&b.1.waiting_since))
            .map(|(index, _)| index)
    }

    fn has_aged(&self, level: usize, index: usize, now_s: f64) -> bool {
        now_s - self.levels[level][index].waiting_since >= limits::AGING_THRESHOLD_S
    }

    /// Returns whether promotion into this level is paused: under pausing aging, while the level
    /// holds promoted tasks and its oldest range has itself waited for
    /// `limits::AGING_THRESHOLD_S`, since the level cannot keep up with the tasks that it has.
    fn is_paused(&self, level: usize, now_s: f64) -> bool {
        self.aging == Aging::Pausing
            && self.levels[level].iter().any(|range| range.promoted)
            && self
                .oldest(level)
                .is_some_and(|index| self.has_aged(level, index, now_s))
    }

    /// Moves the first task of a range to the back of the level above, where its waiting time
    /// restarts.
    fn promote(&mut self, level: usize, index: usize, now_s: f64) {
        let above = level - 1;
        self.catch_up_idle_clock(above);
        let range = &mut self.levels[level][index];
        let (job, task) = (range.job.clone(), range.first);
        range.first += 1;
        if range.is_empty() {
            self.levels[level].remove(index);
        }
        let last = self.levels[above].back_mut();
        let continued = last.filter(|last| {
            last.promoted && last.job == job && last.end == task && last.waiting_since == now_s
        });
        match continued {
            Some(range) => range.end += 1,
            None => self.levels[above].push_back(TaskRange {
                promoted: true,
                ..TaskRange::new(job, task..task + 1, now_s)
            }),
        }
    }
}
