//! The multi-level queue of waiting tasks: levels share worker time by weights (paper 3.7),
//! and aging promotes waiting tasks to the level above (paper 3.6).
//!
//! The tasks of a job are alike, so they are queued as ranges. A pass over the queue looks up
//! [positions](Position), chooses among them with [`MultiLevelQueue::select`] and takes tasks
//! with [`MultiLevelQueue::serve`]. Positions stay valid during a pass: an emptied range keeps
//! its place until tasks are pushed, removed or aged.

mod aging;

pub use aging::Aging;

use cherrywood_limits as limits;
use std::collections::VecDeque;
use std::ops::Range;

/// Minimum cost charged for a task, s: the virtual clock of a level whose tasks cost nothing
/// would not advance, and that level alone would be served.
const MIN_EXPECTED_COST_S: f64 = 0.001;

/// Tasks `first..end` of a job that wait in a level.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRange<J> {
    /// The job that the tasks belong to.
    pub job: J,
    /// The first waiting task.
    pub first: u32,
    /// One past the last waiting task.
    pub end: u32,
    /// Time since which the tasks wait in this level, s.
    pub waiting_since: f64,
    /// Whether aging moved the tasks to this level.
    pub promoted: bool,
}

impl<J> TaskRange<J> {
    fn new(job: J, tasks: Range<u32>, now_s: f64) -> Self {
        TaskRange {
            job,
            first: tasks.start,
            end: tasks.end,
            waiting_since: now_s,
            promoted: false,
        }
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> u32 {
        self.end - self.first
    }

    /// Returns whether all tasks of the range have been served.
    pub fn is_empty(&self) -> bool {
        self.end == self.first
    }
}

/// Position of a range in the queue; valid during a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The level; level 0 has the shortest expected run times.
    pub level: usize,
    index: usize,
}

/// A range that can be served, and its position.
#[derive(Debug, Clone, PartialEq)]
pub struct Selection<J> {
    /// The job that the tasks belong to.
    pub job: J,
    /// The first task of the range.
    pub first_task: u32,
    /// Number of tasks in the range.
    pub task_count: u32,
    /// Time since which the tasks wait in their level, s.
    pub waiting_since: f64,
    position: Position,
}

impl<J> Selection<J> {
    /// Returns the level in which the range waits.
    pub fn level(&self) -> usize {
        self.position.level
    }
}

/// Waiting tasks in levels, each with a virtual clock.
///
/// A level is charged the expected cost of each task served, divided by the level's weight;
/// the level with the smallest clock is served next (equation 4). So while all levels have work,
/// they get worker time in proportion to their weights.
#[derive(Debug)]
pub struct MultiLevelQueue<J> {
    levels: [VecDeque<TaskRange<J>>; limits::LEVELS],
    /// The paper's *v*, in s of worker time per unit of weight.
    virtual_clocks: [f64; limits::LEVELS],
    aging: Aging,
    last_aging_pass: f64,
    /// Whether the levels may contain emptied ranges, which are kept so that positions stay valid
    /// during a pass.
    has_empty_ranges: bool,
}

impl<J: Clone + PartialEq> Default for MultiLevelQueue<J> {
    fn default() -> Self {
        Self::new(Aging::default())
    }
}

impl<J: Clone + PartialEq> MultiLevelQueue<J> {
    /// Returns an empty queue.
    pub fn new(aging: Aging) -> Self {
        MultiLevelQueue {
            levels: Default::default(),
            virtual_clocks: [0.0; limits::LEVELS],
            aging,
            last_aging_pass: f64::NEG_INFINITY,
            has_empty_ranges: false,
        }
    }

    /// Adds waiting tasks of a job at the back of the level.
    pub fn push_back(&mut self, level: usize, job: J, tasks: Range<u32>, now_s: f64) {
        self.prepare_push(level);
        self.levels[level].push_back(TaskRange::new(job, tasks, now_s));
    }

    /// Adds a task that was served before (and then lost, stopped or refused) at the front of the
    /// level.
    pub fn push_front(&mut self, level: usize, job: J, task: u32, now_s: f64) {
        self.prepare_push(level);
        self.levels[level].push_front(TaskRange::new(job, task..task + 1, now_s));
    }

    fn prepare_push(&mut self, level: usize) {
        self.remove_empty_ranges();
        self.catch_up_idle_clock(level);
    }

    fn remove_empty_ranges(&mut self) {
        if std::mem::take(&mut self.has_empty_ranges) {
            for level in &mut self.levels {
                level.retain(|range| !range.is_empty());
            }
        }
    }

    /// Raises the clock of an empty level to the smallest clock of the levels that have work: an
    /// empty level accumulates no credit (paper 3.7).
    fn catch_up_idle_clock(&mut self, level: usize) {
        if !self.levels[level].is_empty() {
            return;
        }
        let least = (0..limits::LEVELS)
            .filter(|other| !self.levels[*other].is_empty())
            .map(|other| self.virtual_clocks[other])
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            self.virtual_clocks[level] = self.virtual_clocks[level].max(least);
        }
    }

    /// Removes all tasks of jobs for which `keep` is false.
    pub fn retain_jobs(&mut self, mut keep: impl FnMut(&J) -> bool) {
        self.remove_empty_ranges();
        for level in &mut self.levels {
            level.retain(|range| keep(&range.job));
        }
    }

    /// Returns all ranges with waiting tasks, level by level in queue order.
    pub fn ranges(&self) -> impl Iterator<Item = &TaskRange<J>> {
        self.levels.iter().flatten().filter(|r| !r.is_empty())
    }

    /// Returns all ranges with waiting tasks, level by level in queue order, with their positions.
    pub fn positions(&self) -> impl Iterator<Item = (Position, &TaskRange<J>)> {
        let levels = self.levels.iter().enumerate();
        levels.flat_map(|(level, ranges)| {
            let ranges = ranges.iter().enumerate().filter(|(_, r)| !r.is_empty());
            ranges.map(move |(index, range)| (Position { level, index }, range))
        })
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.ranges().next().is_none()
    }

    /// Returns the number of tasks that wait in a level.
    pub fn waiting_tasks(&self, level: usize) -> u32 {
        self.levels[level].iter().map(TaskRange::len).sum()
    }

    /// Returns the range at a position, if any of its tasks are left.
    pub fn get(&self, position: Position) -> Option<Selection<J>> {
        let range = self.levels[position.level].get(position.index)?;
        (!range.is_empty()).then(|| Selection {
            job: range.job.clone(),
            first_task: range.first,
            task_count: range.len(),
            waiting_since: range.waiting_since,
            position,
        })
    }

    /// Returns the range to serve next. `eligible` holds for each level the first range that can
    /// be served now; of these, the one in the level with the smallest virtual clock is selected
    /// (equation 4).
    pub fn select(&mut self, eligible: [Option<Position>; limits::LEVELS]) -> Option<Selection<J>> {
        let selected = (0..limits::LEVELS)
            .filter(|level| eligible[*level].is_some())
            .min_by(|a, b| self.virtual_clocks[*a].total_cmp(&self.virtual_clocks[*b]))?;
        // Like an empty level, a level without an eligible range accumulates no credit.
        for (level, position) in eligible.iter().enumerate() {
            if position.is_none() {
                let least = self.virtual_clocks[selected];
                self.virtual_clocks[level] = self.virtual_clocks[level].max(least);
            }
        }
        self.get(eligible[selected]?)
    }

    /// Takes the first `tasks` of a range and charges its level for each the expected cost, s,
    /// divided by the level's weight (equation 4).
    pub fn serve(&mut self, selection: &Selection<J>, tasks: u32, expected_cost_s: f64) {
        self.discard(selection, tasks);
        let level = selection.level();
        let cost_s = f64::from(tasks) * expected_cost_s.max(MIN_EXPECTED_COST_S);
        self.virtual_clocks[level] += cost_s / limits::LEVEL_WEIGHTS[level];
    }

    /// Removes the first `tasks` of a range, which need not run, without charging the level.
    pub fn discard(&mut self, selection: &Selection<J>, tasks: u32) {
        let Position { level, index } = selection.position;
        if let Some(range) = self.levels[level].get_mut(index) {
            range.first = (range.first + tasks).min(range.end);
            self.has_empty_ranges |= range.is_empty();
        }
    }
}
