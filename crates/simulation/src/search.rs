//! Many seeds of one scenario, to look for what nobody thought of.

use crate::exit::{BAD_INPUT, BROKEN, GOOD};
use crate::log::Log;
use crate::play::{Options, Outcome, Scene, play};
use crate::{shrink, summary};
use cherrywood_scenario::Scenario;
use rayon::prelude::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tracing::Level;

/// Plays a scenario without a word about it; an error if it is interrupted.
pub fn quietly(
    scenario: Scenario,
    options: &Options,
    stop: &AtomicBool,
) -> anyhow::Result<Outcome> {
    let log = Log::new(Level::WARN, None, false);
    let mut watch = |_: &Scene| match stop.load(Ordering::Relaxed) {
        true => Err("interrupted".to_string()),
        false => Ok(()),
    };
    log.around(|| play(scenario, options, &log, &mut watch))
}

/// Plays `seeds` of them, from the options' own on. Prints a line for each that was not
/// good, with the command's seed to play it by, and in the end how many were. Each of
/// those is shrunk to a file in `smallest`, if that is given.
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
    let (played, jobs) = (AtomicU64::new(0), AtomicU64::new(0));
    let one = |seed: u64| -> Option<bool> {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        let options = Options {
            seed,
            ..options.clone()
        };
        match quietly(scenario.clone(), &options, stop) {
            Ok(o) if o.stopped.is_some() => None,
            Ok(o) => {
                played.fetch_add(1, Ordering::Relaxed);
                jobs.fetch_add(o.settled.len() as u64, Ordering::Relaxed);
                if !o.good() {
                    println!("seed {seed}: {}", what(&o));
                    if let Some(dir) = smallest {
                        match shrink::write(dir, scenario, &options, &o, stop) {
                            Ok(path) => println!("seed {seed}: smallest in {}", path.display()),
                            Err(e) => eprintln!("cherrywood: seed {seed}: --shrink: {e:#}"),
                        }
                    }
                }
                Some(o.good())
            }
            Err(e) => {
                println!("seed {seed}: {e:#}");
                Some(false)
            }
        }
    };
    let first = options.seed;
    let found: Vec<bool> = (first..first.saturating_add(seeds))
        .into_par_iter()
        .filter_map(one)
        .collect();
    let bad = found.iter().filter(|good| !**good).count();
    println!(
        "{}: {} of {seeds} scenarios played, {} jobs, {bad} not good",
        scenario.name,
        played.into_inner(),
        jobs.into_inner()
    );
    if bad == 0 && found.len() as u64 == seeds {
        GOOD
    } else {
        BROKEN
    }
}

fn what(o: &Outcome) -> String {
    let ended = o.ended.first().map(|e| format!(", {e}"));
    let first = o.breaches.first().map(|b| format!(", first {b}"));
    format!(
        "{}{}{}",
        summary::verdict(o),
        ended.unwrap_or_default(),
        first.unwrap_or_default()
    )
}
