//! Search for failures: runs one scenario with many seeds.

use crate::exit::{BAD_INPUT, BROKEN, GOOD};
use crate::log::Log;
use crate::run::{Options, Outcome, RunView, run};
use crate::{shrink, summary};
use cherrywood_scenario::Scenario;
use rayon::prelude::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tracing::Level;

/// Runs a scenario without output. When `stop` is set, the run ends early and says so in
/// [`Outcome::stopped`].
pub fn run_silently(
    scenario: Scenario,
    options: &Options,
    stop: &AtomicBool,
) -> anyhow::Result<Outcome> {
    let log = Log::new(Level::WARN, None, false);
    let mut observer = |_: &RunView| match stop.load(Ordering::Relaxed) {
        true => Err("interrupted".to_string()),
        false => Ok(()),
    };
    log.capture(|| run(scenario, options, &log, &mut observer))
}

/// Runs `seeds` seeds, from that of the options on. Prints a line for each run that fails, with
/// the seed that replays it, and finally their number. Each failed scenario is shrunk to a file
/// in `smallest`, if that is given.
pub fn search(
    scenario: &Scenario,
    options: &Options,
    seeds: u64,
    smallest: Option<&Path>,
    stop: &AtomicBool,
) -> u8 {
    if !(1..=1_000_000).contains(&seeds) {
        eprintln!("cherrywood: --search: 1 to 1000000 is allowed, found {seeds}");
        return BAD_INPUT;
    }
    let (run_count, jobs) = (AtomicU64::new(0), AtomicU64::new(0));
    let run_seed = |seed: u64| -> Option<bool> {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        let options = Options {
            seed,
            ..options.clone()
        };
        match run_silently(scenario.clone(), &options, stop) {
            Ok(o) if o.stopped.is_some() => None,
            Ok(o) => {
                run_count.fetch_add(1, Ordering::Relaxed);
                jobs.fetch_add(o.settled.len() as u64, Ordering::Relaxed);
                if !o.is_good() {
                    println!("seed {seed}: {}", describe(&o));
                    if let Some(dir) = smallest {
                        match shrink::write(dir, scenario, &options, &o, stop) {
                            Ok(path) => println!("seed {seed}: smallest in {}", path.display()),
                            Err(e) => eprintln!("cherrywood: seed {seed}: --shrink: {e:#}"),
                        }
                    }
                }
                Some(o.is_good())
            }
            Err(e) => {
                println!("seed {seed}: {e:#}");
                Some(false)
            }
        }
    };
    let first = options.seed;
    let results: Vec<bool> = (first..first.saturating_add(seeds))
        .into_par_iter()
        .filter_map(run_seed)
        .collect();
    let bad = results.iter().filter(|good| !**good).count();
    println!(
        "{}: {} of {seeds} scenarios played, {} jobs, {bad} not good",
        scenario.name,
        run_count.into_inner(),
        jobs.into_inner()
    );
    if bad == 0 && results.len() as u64 == seeds {
        GOOD
    } else {
        BROKEN
    }
}

/// Returns the verdict with the first controller that exited and the first violation.
fn describe(o: &Outcome) -> String {
    let exited = o.exited.first().map(|e| format!(", {e}"));
    let first = o.violations.first().map(|v| format!(", first {v}"));
    format!(
        "{}{}{}",
        summary::verdict(o),
        exited.unwrap_or_default(),
        first.unwrap_or_default()
    )
}
