//! Three levels served by weighted virtual clocks, with pausing aging
//! (paper 3.6 and 3.7). Tasks of a job are alike, so they wait in runs.

use cherrywood_limits as limits;
use std::collections::VecDeque;

/// Tasks `first..end` of a job, waiting in a level since `since`.
#[derive(Debug, Clone, PartialEq)]
pub struct Run<J> {
    pub job: J,
    pub first: u32,
    pub end: u32,
    pub since: f64,
    pub promoted: bool,
}

impl<J> Run<J> {
    pub fn len(&self) -> u32 {
        self.end - self.first
    }
    pub fn is_empty(&self) -> bool {
        self.end == self.first
    }
}

/// How waiting tasks rise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Aging {
    /// The design's: not while the level above is behind.
    #[default]
    Pausing,
    /// Whatever the level above does.
    Plain,
    Off,
}

#[derive(Debug)]
pub struct Queue<J> {
    levels: [VecDeque<Run<J>>; limits::LEVELS],
    clocks: [f64; limits::LEVELS],
    aged: f64,
    aging: Aging,
    /// Runs that were emptied still stand where they stood.
    emptied: bool,
}

/// Where a run stands. Serving moves none: places hold until something is pushed,
/// removed or ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    pub level: usize,
    at: usize,
}

/// A run that could be served, and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick<J> {
    pub job: J,
    pub first: u32,
    pub len: u32,
    pub since: f64,
    place: Place,
}

impl<J> Pick<J> {
    pub fn level(&self) -> usize {
        self.place.level
    }
}

impl<J: Clone + PartialEq> Default for Queue<J> {
    fn default() -> Self {
        Self::new(Aging::default())
    }
}

impl<J: Clone + PartialEq> Queue<J> {
    pub fn new(aging: Aging) -> Self {
        Queue {
            aging,
            levels: Default::default(),
            clocks: [0.0; limits::LEVELS],
            aged: f64::NEG_INFINITY,
            emptied: false,
        }
    }

    /// Takes out runs that were emptied while places had to hold.
    fn sweep(&mut self) {
        if std::mem::take(&mut self.emptied) {
            for level in &mut self.levels {
                level.retain(|r| !r.is_empty());
            }
        }
    }

    /// A level that was empty starts no earlier than those with work: an
    /// empty level saves no credit.
    fn wake(&mut self, level: usize) {
        if self.levels[level].is_empty() {
            let least = (0..limits::LEVELS)
                .filter(|l| !self.levels[*l].is_empty())
                .map(|l| self.clocks[l])
                .fold(f64::INFINITY, f64::min);
            if least.is_finite() {
                self.clocks[level] = self.clocks[level].max(least);
            }
        }
    }

    pub fn push(&mut self, level: usize, job: J, first: u32, end: u32, now: f64) {
        self.sweep();
        self.wake(level);
        self.levels[level].push_back(Run {
            job,
            first,
            end,
            since: now,
            promoted: false,
        });
    }

    /// A task that comes back (lost, stopped, refused) goes first in its level.
    pub fn push_front(&mut self, level: usize, job: J, task: u32, now: f64) {
        self.sweep();
        self.wake(level);
        self.levels[level].push_front(Run {
            job,
            first: task,
            end: task + 1,
            since: now,
            promoted: false,
        });
    }

    pub fn runs(&self) -> impl Iterator<Item = &Run<J>> {
        self.levels.iter().flatten().filter(|r| !r.is_empty())
    }

    /// All runs, level by level in their order, and where each stands.
    pub fn places(&self) -> impl Iterator<Item = (Place, &Run<J>)> {
        let levels = self.levels.iter().enumerate();
        levels.flat_map(|(level, runs)| {
            let runs = runs.iter().enumerate().filter(|(_, r)| !r.is_empty());
            runs.map(move |(at, r)| (Place { level, at }, r))
        })
    }

    pub fn is_empty(&self) -> bool {
        self.runs().next().is_none()
    }

    pub fn retain(&mut self, mut keep: impl FnMut(&J) -> bool) {
        self.sweep();
        for level in &mut self.levels {
            level.retain(|r| keep(&r.job));
        }
    }

    /// The run to serve next, of those found to be the first eligible ones of their
    /// levels: the one of the level with the smallest clock.
    pub fn choose(&mut self, found: [Option<Place>; limits::LEVELS]) -> Option<Pick<J>> {
        let best = (0..limits::LEVELS)
            .filter(|l| found[*l].is_some())
            .min_by(|a, b| self.clocks[*a].total_cmp(&self.clocks[*b]))?;
        // A level with nothing to serve now is like an empty one.
        for (l, found) in found.iter().enumerate() {
            if found.is_none() {
                self.clocks[l] = self.clocks[l].max(self.clocks[best]);
            }
        }
        self.pick(found[best]?)
    }

    /// What stands at a place, if anything of it is left.
    pub fn pick(&self, place: Place) -> Option<Pick<J>> {
        let run = self.levels[place.level].get(place.at)?;
        (!run.is_empty()).then(|| Pick {
            job: run.job.clone(),
            first: run.first,
            len: run.len(),
            since: run.since,
            place,
        })
    }

    /// Takes the first `n` tasks of a run, and charges its level their expected cost
    /// over its weight, each.
    pub fn take(&mut self, pick: &Pick<J>, n: u32, cost: f64) {
        self.drop_first(pick, n);
        let level = pick.place.level;
        self.clocks[level] += f64::from(n) * cost.max(0.001) / limits::LEVEL_WEIGHTS[level];
    }

    /// Takes tasks that need not run: nothing is charged.
    pub fn drop_first(&mut self, pick: &Pick<J>, n: u32) {
        if let Some(run) = self.levels[pick.place.level].get_mut(pick.place.at) {
            run.first = (run.first + n).min(run.end);
            self.emptied |= run.is_empty();
        }
    }

    fn oldest(&self, level: usize) -> Option<(usize, f64)> {
        self.levels[level]
            .iter()
            .enumerate()
            .map(|(i, r)| (i, r.since))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// One pass of aging: from the lowest level up, one task that has waited
    /// long enough moves to the back of the next level, unless that level is
    /// behind (holds promoted tasks, and its oldest has waited as long).
    pub fn age(&mut self, now: f64) {
        if self.aging == Aging::Off || now - self.aged < limits::AGING_EVERY_S {
            return;
        }
        self.aged = now;
        self.sweep();
        for l in (1..limits::LEVELS).rev() {
            let Some((at, since)) = self.oldest(l) else {
                continue;
            };
            if now - since < limits::AGING_S {
                continue;
            }
            let above = l - 1;
            let behind = self.aging == Aging::Pausing
                && self.levels[above].iter().any(|r| r.promoted)
                && self
                    .oldest(above)
                    .is_some_and(|(_, s)| now - s >= limits::AGING_S);
            if behind {
                continue;
            }
            self.wake(above);
            let run = &mut self.levels[l][at];
            let (job, task) = (run.job.clone(), run.first);
            run.first += 1;
            if run.is_empty() {
                self.levels[l].remove(at);
            }
            let joined = self.levels[above]
                .back_mut()
                .filter(|r| r.promoted && r.job == job && r.end == task && r.since == now);
            match joined {
                Some(r) => r.end += 1,
                None => self.levels[above].push_back(Run {
                    job,
                    first: task,
                    end: task + 1,
                    since: now,
                    promoted: true,
                }),
            }
        }
    }

    pub fn level_len(&self, level: usize) -> u32 {
        self.levels[level].iter().map(Run::len).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The run to serve next of those that are eligible.
    fn next<J: Clone + PartialEq>(
        q: &mut Queue<J>,
        mut eligible: impl FnMut(&J, f64) -> bool,
    ) -> Option<Pick<J>> {
        let mut found = [None; limits::LEVELS];
        for (place, run) in q.places() {
            if found[place.level].is_none() && eligible(&run.job, run.since) {
                found[place.level] = Some(place);
            }
        }
        q.choose(found)
    }

    /// Serves one task.
    fn one<J: Clone + PartialEq>(
        q: &mut Queue<J>,
        eligible: impl FnMut(&J, f64) -> bool,
    ) -> Option<(J, u32)> {
        let pick = next(q, eligible)?;
        q.take(&pick, 1, 1.0);
        Some((pick.job, pick.first))
    }

    #[test]
    fn shares_are_8_3_1_while_all_levels_have_work() {
        let mut q = Queue::default();
        for l in 0..3 {
            q.push(l, l, 0, 1000, 0.0);
        }
        let mut served = [0; 3];
        for _ in 0..120 {
            served[one(&mut q, |_, _| true).unwrap().0] += 1;
        }
        // 120 pulls of equal cost: 80, 30 and 10, within one pull each.
        for (n, want) in served.iter().zip([80i32, 30, 10]) {
            assert!((n - want).abs() <= 1, "{served:?}");
        }
    }

    /// A group of tasks costs its level what its tasks would one by one.
    #[test]
    fn a_group_is_charged_for_each_task() {
        let mut q = Queue::default();
        for l in 0..3 {
            q.push(l, l, 0, 1000, 0.0);
        }
        let mut served = [0; 3];
        for _ in 0..60 {
            let pick = next(&mut q, |_, _| true).unwrap();
            q.take(&pick, 4, 1.0);
            served[pick.job] += 4;
        }
        // 240 tasks: 160, 60 and 20, within one group each.
        for (n, want) in served.iter().zip([160i32, 60, 20]) {
            assert!((n - want).abs() <= 4, "{served:?}");
        }
    }

    #[test]
    fn an_emptied_level_saves_no_credit() {
        let mut q = Queue::default();
        q.push(2, 2, 0, 100, 0.0);
        for _ in 0..50 {
            one(&mut q, |_, _| true);
        }
        q.push(0, 0, 0, 100, 0.0);
        let mut low = 0;
        for _ in 0..18 {
            low += i32::from(one(&mut q, |_, _| true).unwrap().0 == 2);
        }
        assert_eq!(low, 2, "one in nine, not a debt of fifty");
    }

    #[test]
    fn aging_lifts_one_task_and_pauses_while_the_level_above_is_behind() {
        let mut q = Queue::default();
        q.push(2, 'x', 0, 10, 0.0);
        q.age(4.9);
        assert_eq!(q.level_len(2), 10);
        q.age(5.5);
        assert_eq!((q.level_len(2), q.level_len(1)), (9, 1));
        q.age(5.7);
        assert_eq!(q.level_len(2), 9, "not before half a second has passed");
        q.age(6.0);
        assert_eq!((q.level_len(2), q.level_len(1)), (8, 2));
        // At 10.5 the first promoted task has waited 5 s in level 1, so that
        // level is behind: it gets nothing, while its own oldest moves on.
        let lens = |q: &Queue<char>| [q.level_len(2), q.level_len(1), q.level_len(0)];
        q.age(10.5);
        assert_eq!(lens(&q), [8, 1, 1]);
        q.age(11.0);
        assert_eq!(lens(&q), [8, 0, 2]);
        // An empty level is not behind: promotion goes on.
        q.age(11.5);
        assert_eq!(lens(&q), [7, 1, 2]);
    }

    #[test]
    fn plain_aging_never_pauses_and_none_never_starts() {
        let risen = |aging| {
            let mut q = Queue::new(aging);
            q.push(2, 'x', 0, 40, 0.0);
            q.push(1, 'y', 0, 40, 0.0);
            for tick in 10..40 {
                q.age(f64::from(tick) * 0.5);
            }
            q.level_len(2)
        };
        let (pausing, plain) = (risen(Aging::Pausing), risen(Aging::Plain));
        assert!(plain < pausing && pausing < 40, "{plain} {pausing}");
        assert_eq!(risen(Aging::Off), 40);
    }

    /// A pass holds places of runs while it serves others: none may shift, and what
    /// is emptied is neither served again nor counted as waiting.
    #[test]
    fn places_hold_while_runs_are_emptied() {
        let mut q = Queue::default();
        for job in ['a', 'b', 'c'] {
            q.push(1, job, 0, 2, 0.0);
        }
        let places: Vec<Place> = q.places().map(|(p, _)| p).collect();
        let first = q.pick(places[0]).unwrap();
        q.take(&first, 2, 1.0);
        assert_eq!(q.pick(places[0]), None);
        assert_eq!(q.pick(places[2]).unwrap().job, 'c');
        assert_eq!(q.runs().count(), 2);
        for place in &places[1..] {
            let pick = q.pick(*place).unwrap();
            q.drop_first(&pick, 9);
        }
        assert!(q.is_empty());
        // An emptied level saves no credit, though its runs still stand there.
        q.push(2, 'd', 0, 50, 0.0);
        for _ in 0..50 {
            one(&mut q, |_, _| true);
        }
        q.push(1, 'e', 0, 9, 0.0);
        q.push(2, 'f', 0, 9, 0.0);
        let served: String = (0..4)
            .map(|_| one(&mut q, |_, _| true).unwrap().0)
            .collect();
        assert_eq!(served.matches('f').count(), 1, "{served}");
    }

    #[test]
    fn a_returning_task_goes_first_and_ineligible_jobs_are_passed_over() {
        let mut q = Queue::default();
        q.push(1, 'a', 0, 2, 0.0);
        q.push(1, 'b', 0, 1, 0.0);
        q.push_front(1, 'b', 7, 0.0);
        assert_eq!(one(&mut q, |j, _| *j == 'a'), Some(('a', 0)));
        assert_eq!(one(&mut q, |_, _| true), Some(('b', 7)));
    }
}
