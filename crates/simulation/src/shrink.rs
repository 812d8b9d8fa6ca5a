//! Shrinks a failing scenario while it still fails in the same way: removes the faults that are
//! not needed for the failure and shortens the others.

use crate::run::{Options, Outcome};
use crate::search::run_silently;
use cherrywood_checker::Rule;
use cherrywood_scenario::{Fault, Scenario};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

/// Runs at most for one scenario that is shrunk.
const MAX_RUNS: u32 = 150;
/// Smallest value, in s or times, to which a field is shortened.
const MIN_LENGTH: f64 = 1.0;
/// Fields of faults that are shortened.
const LENGTH_FIELDS: [&str; 4] = ["for_s", "hang_s", "over_s", "times"];
/// s that a shortened run lasts beyond the end of its last fault.
const TIME_AFTER_FAULTS_S: f64 = 20.0;

/// How a scenario fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// A rule was broken.
    Broken(Rule),
    /// A controller exited by itself.
    Ended,
    /// A job did not settle.
    Unsettled,
}

impl Failure {
    /// Returns the first failure of a run, if it fails.
    pub fn of(outcome: &Outcome) -> Option<Failure> {
        let broken = outcome.violations.first().map(|v| Failure::Broken(v.rule));
        let exited = (!outcome.exited.is_empty()).then_some(Failure::Ended);
        let unsettled = (outcome.unsettled() > 0).then_some(Failure::Unsettled);
        broken.or(exited).or(unsettled)
    }

    /// Whether a run fails in this way, possibly among others.
    fn occurs_in(self, outcome: &Outcome) -> bool {
        match self {
            Failure::Broken(rule) => outcome.violations.iter().any(|v| v.rule == rule),
            Failure::Ended => !outcome.exited.is_empty(),
            Failure::Unsettled => outcome.unsettled() > 0,
        }
    }

    /// Returns the name of the failure in file names.
    fn name(self) -> String {
        match self {
            Failure::Broken(rule) => rule.name().replace('_', "-"),
            Failure::Ended => "ended".to_string(),
            Failure::Unsettled => "unsettled".to_string(),
        }
    }
}

/// Shrinks a scenario in steps. A step is kept if `fails` confirms that the result still fails.
#[derive(Debug)]
pub struct Shrinker<F> {
    smallest: Scenario,
    fails: F,
    runs_left: u32,
}

impl<F: FnMut(&Scenario) -> bool> Shrinker<F> {
    /// Returns the smallest variant found of a failing scenario.
    pub fn smallest(scenario: Scenario, fails: F) -> Scenario {
        let mut shrinker = Shrinker {
            smallest: scenario,
            fails,
            runs_left: MAX_RUNS,
        };
        while shrinker.remove_faults() | shrinker.shorten_faults() {}
        shrinker.shorten_run();
        shrinker.smallest
    }

    /// Adopts the candidate if it still fails; returns whether it does.
    fn try_candidate(&mut self, candidate: Scenario) -> bool {
        if self.runs_left == 0 {
            return false;
        }
        self.runs_left -= 1;
        let fails = (self.fails)(&candidate);
        if fails {
            self.smallest = candidate;
        }
        fails
    }

    /// Tries to remove each fault; returns whether one was removed.
    fn remove_faults(&mut self) -> bool {
        let mut changed = false;
        for at in (0..self.smallest.troubles.len()).rev() {
            let mut candidate = self.smallest.clone();
            candidate.troubles.remove(at);
            changed |= self.try_candidate(candidate);
        }
        changed
    }

    /// Halves the lengths of each fault while the scenario still fails; returns whether a fault
    /// was shortened.
    fn shorten_faults(&mut self) -> bool {
        let mut changed = false;
        for at in 0..self.smallest.troubles.len() {
            while let Some(shorter) = shorter(&self.smallest.troubles[at]) {
                let mut candidate = self.smallest.clone();
                candidate.troubles[at] = shorter;
                if !self.try_candidate(candidate) {
                    break;
                }
                changed = true;
            }
        }
        changed
    }

    /// Tries to end the run soon after the last fault.
    fn shorten_run(&mut self) {
        let ends = self.smallest.troubles.iter();
        let ends = ends.map(|t| t.at_s() + t.for_s().unwrap_or(0.0));
        let last_s = ends.fold(0.0, f64::max) + TIME_AFTER_FAULTS_S;
        if last_s < self.smallest.play_s {
            let mut candidate = self.smallest.clone();
            candidate.play_s = last_s;
            self.try_candidate(candidate);
        }
    }
}

/// Returns the fault with each length halved whose half is at least `MIN_LENGTH`; `None` if there
/// is no such length.
fn shorter(fault: &Fault) -> Option<Fault> {
    let mut value = serde_json::to_value(fault).ok()?;
    let fields = value.as_object_mut()?.values_mut().next()?;
    let mut changed = false;
    for name in LENGTH_FIELDS {
        let Some(length) = fields.get_mut(name) else {
            continue;
        };
        let Some(half) = length
            .as_f64()
            .map(|l| l / 2.0)
            .filter(|l| *l >= MIN_LENGTH)
        else {
            continue;
        };
        *length = match length.is_u64() {
            true => Value::from(half.floor() as u64),
            false => Value::from((half * 10.0).round() / 10.0),
        };
        changed = true;
    }
    changed
        .then(|| serde_json::from_value(value).ok())
        .flatten()
}

/// Shrinks a scenario that failed, and writes the result to a file that lists every fault,
/// without random draws. Returns the path.
pub fn write(
    dir: &Path,
    scenario: &Scenario,
    options: &Options,
    outcome: &Outcome,
    stop: &AtomicBool,
) -> anyhow::Result<PathBuf> {
    let Some(failure) = Failure::of(outcome) else {
        anyhow::bail!("the run did not fail: nothing to shrink");
    };
    let fails = |candidate: &Scenario| {
        !stop.load(Ordering::Relaxed)
            && run_silently(candidate.clone(), options, stop).is_ok_and(|o| failure.occurs_in(&o))
    };
    let without_draws = scenario.clone().with_draws(options.seed);
    let mut smallest = Shrinker::smallest(without_draws, fails);
    let name = format!("{}-{}", failure.name(), options.seed);
    smallest.about = format!(
        "{failure:?}, found by {} with seed {}.",
        scenario.name, options.seed
    );
    smallest.seed = Some(options.seed);
    smallest.name.clone_from(&name);
    std::fs::create_dir_all(dir)?;
    let path = dir.join(format!("{name}.yaml"));
    std::fs::write(&path, serde_saphyr::to_string(&smallest)?)?;
    Ok(path)
}
