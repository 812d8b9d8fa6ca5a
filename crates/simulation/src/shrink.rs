//! Makes a scenario that fails as small as it can be while it still fails in the same way:
//! without the troubles that it doesn't need, and with the others shortened.

use crate::play::{Options, Outcome};
use crate::search::quietly;
use cherrywood_checker::Rule;
use cherrywood_scenario::{Fault, Scenario};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

/// Scenarios that are played at most for one that is shrunk.
const MOST_PLAYED: u32 = 150;
/// s and times below which nothing is shortened any more.
const LEAST: f64 = 1.0;
/// Fields of troubles that are shortened.
const LENGTHS: [&str; 4] = ["for_s", "hang_s", "over_s", "times"];
/// s by which play outlasts the last trouble, when it is shortened.
const AFTER_S: f64 = 20.0;

/// How a scenario fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    Broken(Rule),
    /// A controller ended by itself.
    Ended,
    /// A job has no end.
    Unsettled,
}

impl Failure {
    /// The first way in which it fails.
    pub fn of(outcome: &Outcome) -> Option<Failure> {
        let broken = outcome.breaches.first().map(|b| Failure::Broken(b.rule));
        let ended = (!outcome.ended.is_empty()).then_some(Failure::Ended);
        let unsettled = (outcome.unsettled() > 0).then_some(Failure::Unsettled);
        broken.or(ended).or(unsettled)
    }

    /// Does it fail in this way, whatever else?
    fn is_in(self, outcome: &Outcome) -> bool {
        match self {
            Failure::Broken(rule) => outcome.breaches.iter().any(|b| b.rule == rule),
            Failure::Ended => !outcome.ended.is_empty(),
            Failure::Unsettled => outcome.unsettled() > 0,
        }
    }

    /// A name for files.
    fn name(self) -> String {
        match self {
            Failure::Broken(rule) => rule.name().replace('_', "-"),
            Failure::Ended => "ended".to_string(),
            Failure::Unsettled => "unsettled".to_string(),
        }
    }
}

/// Makes a scenario smaller by steps, each of which `fails` must confirm.
#[derive(Debug)]
pub struct Shrinker<F> {
    smallest: Scenario,
    fails: F,
    left: u32,
}

impl<F: FnMut(&Scenario) -> bool> Shrinker<F> {
    /// The smallest that is found of this scenario, which fails.
    pub fn smallest(scenario: Scenario, fails: F) -> Scenario {
        let mut shrinker = Shrinker {
            smallest: scenario,
            fails,
            left: MOST_PLAYED,
        };
        while shrinker.drop_troubles() | shrinker.shorten_troubles() {}
        shrinker.shorten_play();
        shrinker.smallest
    }

    /// Takes the candidate if it still fails.
    fn try_one(&mut self, candidate: Scenario) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        let fails = (self.fails)(&candidate);
        if fails {
            self.smallest = candidate;
        }
        fails
    }

    fn drop_troubles(&mut self) -> bool {
        let mut any = false;
        for at in (0..self.smallest.troubles.len()).rev() {
            let mut candidate = self.smallest.clone();
            candidate.troubles.remove(at);
            any |= self.try_one(candidate);
        }
        any
    }

    fn shorten_troubles(&mut self) -> bool {
        let mut any = false;
        for at in 0..self.smallest.troubles.len() {
            while let Some(shorter) = shorter(&self.smallest.troubles[at]) {
                let mut candidate = self.smallest.clone();
                candidate.troubles[at] = shorter;
                if !self.try_one(candidate) {
                    break;
                }
                any = true;
            }
        }
        any
    }

    fn shorten_play(&mut self) {
        let ends = self.smallest.troubles.iter();
        let ends = ends.map(|t| t.at_s() + t.for_s().unwrap_or(0.0));
        let last_s = ends.fold(0.0, f64::max) + AFTER_S;
        if last_s < self.smallest.play_s {
            let mut candidate = self.smallest.clone();
            candidate.play_s = last_s;
            self.try_one(candidate);
        }
    }
}

/// The same trouble for half as long, unless it is short already.
fn shorter(trouble: &Fault) -> Option<Fault> {
    let mut value = serde_json::to_value(trouble).ok()?;
    let fields = value.as_object_mut()?.values_mut().next()?;
    let mut any = false;
    for name in LENGTHS {
        let Some(length) = fields.get_mut(name) else {
            continue;
        };
        let Some(half) = length.as_f64().map(|l| l / 2.0).filter(|l| *l >= LEAST) else {
            continue;
        };
        *length = match length.is_u64() {
            true => Value::from(half.floor() as u64),
            false => Value::from((half * 10.0).round() / 10.0),
        };
        any = true;
    }
    any.then(|| serde_json::from_value(value).ok()).flatten()
}

/// Shrinks a scenario that failed, and writes the smallest as a file of plain troubles.
pub fn write(
    dir: &Path,
    scenario: &Scenario,
    options: &Options,
    outcome: &Outcome,
    stop: &AtomicBool,
) -> anyhow::Result<PathBuf> {
    let Some(failure) = Failure::of(outcome) else {
        anyhow::bail!("it didn't fail");
    };
    let fails = |candidate: &Scenario| {
        !stop.load(Ordering::Relaxed)
            && quietly(candidate.clone(), options, stop).is_ok_and(|o| failure.is_in(&o))
    };
    let plain = scenario.clone().with_draws(options.seed);
    let mut smallest = Shrinker::smallest(plain, fails);
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
