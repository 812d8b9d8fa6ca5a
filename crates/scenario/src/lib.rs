//! Scenario files: what a simulation plays. A deployment, what its users do, and
//! troubles at set times or drawn from the seed. Read from YAML, checked, and
//! described by a JSON Schema.

pub mod check;
pub mod deployment;
pub mod draw;
pub mod file;
pub mod trouble;
pub mod workload;

pub use deployment::{Aim, Deployment};
pub use draw::{Draw, Fleet};
pub use file::FileError;
pub use trouble::{Cut, Trouble, Who};
pub use workload::{Class, Spread, Workload};

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One scenario: what is deployed, what its users do, and what goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Letters, digits and dashes; names the report.
    #[garde(length(min = 1, max = 60), custom(plain))]
    pub name: String,
    /// What the scenario shows.
    #[serde(default)]
    #[garde(length(max = 2000))]
    pub about: String,
    /// s for which users submit.
    #[garde(range(min = 10.0, max = 86_400.0))]
    pub play_s: f64,
    /// s after that in which everything must settle, at most.
    #[serde(default = "settle_s")]
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub settle_s: f64,
    #[serde(default)]
    #[garde(dive)]
    pub deployment: Deployment,
    #[serde(default)]
    #[garde(dive)]
    pub workload: Workload,
    /// What goes wrong at set times; troubles may overlap.
    #[serde(default)]
    #[garde(dive)]
    pub troubles: Vec<Trouble>,
    /// Troubles drawn from the seed.
    #[serde(default)]
    #[garde(dive)]
    pub drawn: Vec<Draw>,
    /// What the seed changes of the deployment.
    #[serde(default)]
    #[garde(dive)]
    pub drawn_fleet: Option<Fleet>,
}

fn plain(name: &str, _: &()) -> garde::Result {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.chars().all(plain) {
        Ok(())
    } else {
        Err(garde::Error::new(
            "only a to z, 0 to 9 and dashes are allowed",
        ))
    }
}

fn settle_s() -> f64 {
    900.0
}

impl Scenario {
    /// Only its first so many seconds.
    #[must_use]
    pub fn first(mut self, s: f64) -> Scenario {
        self.play_s = self.play_s.min(s);
        self.troubles.retain(|t| t.at_s() < s);
        self.drawn.retain(|d| d.from_s < s);
        for d in &mut self.drawn {
            d.to_s = d.to_s.min(s);
        }
        self
    }

    /// The same scenario with so many times the traffic, and jobs at its beginning.
    #[must_use]
    pub fn with_traffic(mut self, traffic: f64, at_start: f64) -> Scenario {
        for c in &mut self.workload.classes {
            c.per_minute *= traffic;
            c.at_start = (f64::from(c.at_start) * at_start).round() as u32;
        }
        self
    }

    /// The same scenario at another size: machines, teams and traffic times `by`.
    #[must_use]
    pub fn scaled(mut self, by: f64) -> Scenario {
        let whole = |n: u32| (f64::from(n) * by).round() as u32;
        for c in &mut self.deployment.capacity {
            (c.count, c.spot, c.up) = (whole(c.count), whole(c.spot), whole(c.up));
        }
        for t in &mut self.deployment.teams {
            t.cpus *= by;
            t.cpus_max *= by;
        }
        for c in &mut self.workload.classes {
            c.per_minute *= by;
            c.at_start = whole(c.at_start);
        }
        self
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn refused(text: &str) -> String {
        let err = Scenario::parse("n.yaml", text).unwrap_err().to_string();
        assert!(!err.contains('\n'), "one line: {err}");
        err
    }

    #[test]
    fn an_error_names_file_line_field_what_was_found_and_what_is_allowed() {
        let scenario = "name: n\nplay_s: 60\n";
        assert!(Scenario::parse("n.yaml", scenario).is_ok());
        let of = |rest: &str| refused(&format!("{scenario}{rest}"));
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
            let err = of(rest);
            assert!(err.starts_with("n.yaml, "), "{err}");
            for part in parts {
                assert!(err.contains(part), "{part:?} not in: {err}");
            }
        }
        assert!(refused("name: N!\nplay_s: 60\n").contains("line 1, name"));
        assert!(refused("name: [\n").contains("line"));
    }

    #[test]
    fn an_impossible_scenario_is_refused_with_the_field_to_blame() {
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
            let err = refused(&format!("{scenario}{rest}"));
            for part in parts {
                assert!(err.contains(part), "{part:?} not in: {err}");
            }
        }
    }

    #[test]
    fn drawn_troubles_come_from_the_seed_alone() {
        let text = "name: n\nplay_s: 300\ndrawn:\n  - {count: 5, from_s: 60, to_s: 200}\n";
        let scenario = Scenario::parse("n.yaml", text).unwrap();
        let a = scenario.all_troubles(7);
        assert_eq!(a.len(), 5);
        assert_eq!(a, scenario.all_troubles(7));
        assert_ne!(a, scenario.all_troubles(8));
        assert!(a.iter().all(|t| (60.0..200.0).contains(&t.at_s())));
        assert!(a.windows(2).all(|w| w[0].at_s() <= w[1].at_s()));
        // Each that can be drawn is drawn by some seed, and is possible.
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            for t in scenario.all_troubles(seed) {
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
    fn a_drawn_fleet_comes_from_the_seed_and_is_possible() {
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
    fn a_size_changes_machines_teams_and_traffic_alike() {
        let scenario = Scenario::parse("n.yaml", "name: n\nplay_s: 60\n").unwrap();
        let ten = scenario.clone().scaled(10.0);
        let machines = |n: &Scenario| -> u32 {
            let all = n.deployment.capacity.iter();
            all.map(|c| c.count + c.spot).sum()
        };
        assert_eq!(machines(&ten), 10 * machines(&scenario));
        assert!(ten.validate().is_ok());
    }
}
