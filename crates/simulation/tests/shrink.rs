//! Tests of shrinking a scenario that fails.

use cherrywood_scenario::{Fault, Scenario};
use cherrywood_simulation::shrink::{self, Failure, Shrinker};
use cherrywood_simulation::{Options, search};
use std::sync::atomic::AtomicBool;

fn scenario() -> Scenario {
    let text = "name: n\nplay_s: 200\nsettle_s: 0\ntroubles:\n\
                \x20 - node_crash: {at_s: 10}\n\
                \x20 - state_outage: {at_s: 20, for_s: 40}\n\
                \x20 - poll_storm: {at_s: 25, for_s: 10, times: 4}\n\
                \x20 - node_ends: {at_s: 30, every_s: 1, times: 12, who: leader}\n\
                \x20 - machine_die: {at_s: 40, count: 1}\n";
    Scenario::parse("n.yaml", text).unwrap()
}

/// A failure that needs an outage of 9 s or more and exits of a leader.
fn fails(scenario: &Scenario) -> bool {
    let outage = |t: &Fault| matches!(t, Fault::StateOutage(t) if t.for_s >= 9.0);
    let ends = |t: &Fault| matches!(t, Fault::NodeEnds(_));
    scenario.troubles.iter().any(outage) && scenario.troubles.iter().any(ends)
}

#[test]
fn unneeded_faults_are_removed_and_the_others_are_shortened() {
    let mut runs = 0;
    let smallest = Shrinker::smallest(scenario(), |candidate: &Scenario| {
        runs += 1;
        fails(candidate)
    });
    let left: Vec<(&str, Option<f64>)> = smallest
        .troubles
        .iter()
        .map(|t| (t.name(), t.for_s()))
        .collect();
    assert_eq!(
        left,
        [("state_outage", Some(10.0)), ("node_ends", Some(1.0))]
    );
    assert_eq!(smallest.play_s, 51.0, "20 s after the last fault");
    assert!(runs <= 150, "{runs}");
}

#[test]
fn a_failing_scenario_is_written_as_a_file_that_fails_in_the_same_way() {
    let stop = AtomicBool::new(false);
    let options = Options {
        seed: 7,
        ..Options::default()
    };
    let scenario = scenario().first(40.0);
    let outcome = search::run_silently(scenario.clone(), &options, &stop).unwrap();
    let failure = Failure::of(&outcome);
    assert!(failure.is_some(), "the jobs have no time to settle");
    let dir = tempfile::tempdir().unwrap();
    let path = shrink::write(dir.path(), &scenario, &options, &outcome, &stop).unwrap();
    assert!(path.to_str().unwrap().ends_with("-7.yaml"));
    let smallest = Scenario::load(&path).unwrap();
    assert_eq!(smallest.seed, Some(7));
    assert!(smallest.troubles.len() < scenario.troubles.len());
    assert!(smallest.drawn.is_empty() && smallest.drawn_compound.is_none());
    let again = search::run_silently(smallest, &options, &stop).unwrap();
    assert_eq!(Failure::of(&again), failure);
}
