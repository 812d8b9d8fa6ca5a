//! Scenario files: validation errors, and faults and deployments drawn from a seed.

use cherrywood_scenario::{Scenario, draw};
use garde::Validate;

/// Returns the error of a scenario that is rejected, which must be a single line.
fn rejection(text: &str) -> String {
    let err = Scenario::parse("n.yaml", text).unwrap_err().to_string();
    assert!(!err.contains('\n'), "one line: {err}");
    err
}

#[test]
fn an_error_names_file_line_field_value_and_allowed_values() {
    let scenario = "name: n\nplay_s: 60\n";
    assert!(Scenario::parse("n.yaml", scenario).is_ok());
    let error_of = |rest: &str| rejection(&format!("{scenario}{rest}"));
    for (rest, parts) in [
        (
            "deployment:\n  controllers: 0\n",
            [
                "line 4",
                "deployment.controllers",
                "lower than 1",
                "found 0",
            ],
        ),
        (
            "deployment:\n  controllers: many\n",
            ["line 4", "controllers", "invalid", "found many"],
        ),
        (
            "deployment:\n  controlers: 3\n",
            ["line 4", "controlers", "unknown field", "expected one of"],
        ),
        (
            "troubles:\n  - node_crsh: {at_s: 3}\n",
            ["line 4", "node_crsh", "unknown variant", "node_crash"],
        ),
        (
            "troubles:\n  - node_crash:\n      at_s: 3\n      who: lead\n",
            ["line 6", "who", "lead", "leader"],
        ),
        (
            "troubles:\n  - state_outage:\n      at_s: 3\n      for_s: -2\n",
            ["line 6", "troubles[0].for_s", "lower than", "found -2"],
        ),
    ] {
        let err = error_of(rest);
        assert!(err.starts_with("n.yaml, "), "{err}");
        for part in parts {
            assert!(err.contains(part), "{part:?} not in: {err}");
        }
    }
    assert!(rejection("name: N!\nplay_s: 60\n").contains("line 1, name"));
    assert!(rejection("name: [\n").contains("line"));
}

#[test]
fn a_contradictory_scenario_is_rejected_with_the_invalid_field() {
    let scenario = "name: n\nplay_s: 60\n";
    for (rest, parts) in [
        (
            "troubles:\n  - state_outage: {at_s: 60, for_s: 3}\n",
            ["line 4", "after the end of play", "60"],
        ),
        (
            "troubles:\n  - zone_cut: {at_s: 5, for_s: 3, zone: mars}\n",
            ["line 4", "zone", "mars"],
        ),
        (
            "troubles:\n  - job_burst: {at_s: 5, for_s: 3, class: nope, times: 2}\n",
            ["line 4", "class", "nope"],
        ),
        (
            "workload:\n  classes:\n    - name: big\n      team: day\n      cpus: 900\n      run_s: {median: 5}\n      tasks: {median: 2}\n",
            ["line 7", "cpus", "fits no machine type"],
        ),
        (
            "workload:\n  classes:\n    - name: lost\n      team: nobody\n      cpus: 1\n      run_s: {median: 5}\n      tasks: {median: 2}\n",
            ["line 6", "team", "nobody"],
        ),
        ("deployment:\n  zones: []\n", ["line 4", "zones", ""]),
    ] {
        let err = rejection(&format!("{scenario}{rest}"));
        for part in parts {
            assert!(err.contains(part), "{part:?} not in: {err}");
        }
    }
}

#[test]
fn drawn_faults_depend_on_the_seed_alone_and_are_valid() {
    let text = "name: n\nplay_s: 300\ndrawn:\n  - {count: 5, from_s: 60, to_s: 200}\n";
    let scenario = Scenario::parse("n.yaml", text).unwrap();
    let a = scenario.all_faults(7);
    assert_eq!(a.len(), 5);
    assert_eq!(a, scenario.all_faults(7));
    assert_ne!(a, scenario.all_faults(8));
    assert!(a.iter().all(|t| (60.0..200.0).contains(&t.at_s())));
    assert!(a.windows(2).all(|w| w[0].at_s() <= w[1].at_s()));
    // Each kind of fault is drawn by some seed, and is valid.
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        for t in scenario.all_faults(seed) {
            kinds.insert(t.name());
            let with = Scenario {
                troubles: vec![t.clone()],
                ..scenario.clone()
            };
            with.validate().unwrap_or_else(|e| panic!("{t:?}: {e}"));
        }
    }
    assert_eq!(kinds.len(), draw::Kind::ALL.len(), "{kinds:?}");
}

#[test]
fn a_drawn_fleet_depends_on_the_seed_alone_and_is_valid() {
    let text = "name: n\nplay_s: 300\ndrawn_fleet: {controllers: [3, 7], \
                restart_s: [0.1, 2], times: [0.5, 2.5], one_type: 0.4}\n";
    let scenario = Scenario::parse("n.yaml", text).unwrap();
    let (mut controllers, mut types) = (std::collections::BTreeSet::new(), 0);
    for seed in 0..60 {
        let drawn = scenario.clone().with_fleet(seed);
        assert_eq!(drawn, scenario.clone().with_fleet(seed));
        drawn.validate().unwrap_or_else(|e| panic!("{seed}: {e}"));
        let d = &drawn.deployment;
        assert!((0.1..=2.0).contains(&d.node.restart_s) && d.controllers <= 7);
        controllers.insert(d.controllers);
        types += u32::from(d.capacity.iter().any(|c| c.count == 0));
    }
    assert_eq!(controllers.len(), 5, "{controllers:?}");
    assert!((10..40).contains(&types), "{types} of one type");
}

#[test]
fn scaling_multiplies_machines_teams_and_traffic() {
    let scenario = Scenario::parse("n.yaml", "name: n\nplay_s: 60\n").unwrap();
    let scaled = scenario.clone().scaled(10.0);
    let machines = |n: &Scenario| -> u32 {
        let all = n.deployment.capacity.iter();
        all.map(|c| c.count + c.spot).sum()
    };
    assert_eq!(machines(&scaled), 10 * machines(&scenario));
    assert!(scaled.validate().is_ok());
}

#[test]
fn faults_of_users_and_late_reports_are_parsed_and_validated() {
    let scenario = "name: n\nplay_s: 60\ntroubles:\n";
    let valid = "  - cancel_now: {at_s: 5, count: 3, hang_s: 8}\n\
                \x20 - cancel_at_end: {at_s: 5, for_s: 3, share: 0.5}\n\
                \x20 - machine_mute: {at_s: 5, for_s: 3, zone: north}\n\
                \x20 - odd_requests: {at_s: 5, for_s: 3}\n\
                \x20 - close_looks: {at_s: 5, for_s: 3}\n\
                \x20 - late_writes: {at_s: 5, for_s: 3, share: 0.5, at_once: true}\n\
                \x20 - late_reports: {at_s: 5, for_s: 3, share: 0.5, for_next: true}\n\
                \x20 - report_copies: {at_s: 5, for_s: 3, share: 0.5, late_s: 9}\n\
                \x20 - late_commands: {at_s: 5, for_s: 3, share: 0.5}\n";
    let read = Scenario::parse("n.yaml", &format!("{scenario}{valid}")).unwrap();
    let names: Vec<&str> = read.troubles.iter().map(|t| t.name()).collect();
    assert_eq!(names[7], "late_reports", "the former name is accepted");
    assert_eq!(read.troubles[0].for_s(), Some(8.0));
    for (rest, parts) in [
        (
            "  - machine_mute: {at_s: 5, for_s: 3, zone: mars}\n",
            ["line 4", "zone", "mars"],
        ),
        (
            "  - cancel_now: {at_s: 5, count: 0}\n",
            ["line 4", "count", "found 0"],
        ),
        (
            "  - cancel_at_end: {at_s: 5, for_s: 3, share: 2}\n",
            ["line 4", "share", "found 2"],
        ),
    ] {
        let err = rejection(&format!("{scenario}{rest}"));
        for part in parts {
            assert!(err.contains(part), "{part:?} not in: {err}");
        }
    }
}

#[test]
fn the_faults_of_a_compound_failure_begin_within_seconds_of_an_election() {
    let text = "name: n\nplay_s: 300\n\
                drawn_compound: {count: 1, from_s: 100, to_s: 101, deployment: true}\n";
    let scenario = Scenario::parse("n.yaml", text).unwrap();
    let mut controllers = std::collections::BTreeSet::new();
    let mut names = std::collections::BTreeSet::new();
    for seed in 0..300 {
        let drawn = scenario.clone().with_draws(seed);
        assert_eq!(drawn, scenario.clone().with_draws(seed));
        assert_eq!(
            drawn,
            drawn.clone().with_draws(seed),
            "nothing remains to be drawn"
        );
        drawn.validate().unwrap_or_else(|e| panic!("{seed}: {e}"));
        let faults = &drawn.troubles;
        assert!(faults.len() >= 3, "{faults:?}");
        let is_near_election = |t: &cherrywood_scenario::Fault| (75.0..=130.0).contains(&t.at_s());
        assert!(faults.iter().all(is_near_election), "{faults:?}");
        names.extend(faults.iter().map(|t| t.name()));
        controllers.insert(drawn.deployment.controllers);
    }
    assert_eq!(controllers, (2..=14).collect());
    for name in ["cancel_now", "machine_mute", "close_looks", "odd_requests"] {
        assert!(names.contains(name), "{name} not in {names:?}");
    }
}

#[test]
fn compound_failures_outside_the_play_time_are_rejected() {
    let text = "name: n\nplay_s: 300\ndrawn_compound: {count: 1, from_s: 100, to_s: 400}\n";
    let err = rejection(text);
    assert!(
        err.contains("drawn_compound") && err.contains("after the end of play"),
        "{err}"
    );
    let text = "name: n\nplay_s: 300\ndrawn_compound: {count: 1, from_s: 100, to_s: 90}\n";
    assert!(rejection(text).contains("not after from_s"));
}

/// Operators run 4,000 machines with five or fourteen controllers.
#[test]
fn a_scenario_with_5000_machines_and_their_workload_is_valid() {
    let text = "name: n\nplay_s: 600\n\
        deployment:\n  controllers: 14\n  zones: [a, b, c, d]\n  node: {sockets: 2948}\n  \
        state: {rps: 700, write_rps: 300}\n  cloud: {rps: 7}\n  \
        machine_types: [{name: c32, cpus: 32, ram_gb: 128, price: 2.4, spot_price: 0.6}]\n  \
        capacity: [{type: c32, zone: a, count: 1000, spot: 4000, up: 1000}]\n  \
        teams: [{name: t, cpus: 50000, cpus_max: 160000}]\n\
        workload:\n  classes:\n    - {name: w, team: t, per_minute: 1500, at_start: 800}\n\
        troubles:\n  - machine_die: {at_s: 100, count: 4000}\n  \
        - machine_hang: {at_s: 200, count: 1300, for_s: 30}\n";
    let scenario = Scenario::parse("n.yaml", text).unwrap();
    let capacity = scenario.deployment.capacity.iter();
    assert_eq!(capacity.map(|c| c.count + c.spot).sum::<u32>(), 5_000);
    let larger = scenario.scaled(4.0);
    assert!(larger.validate().is_ok(), "20,000 machines");
}
