//! Scenario files for simulations: a deployment, its workload, and a fault schedule with faults at
//! set times or drawn from the seed. Scenarios are read from YAML, validated, and described by a
//! JSON Schema.

pub mod check;
pub mod compound;
pub mod deployment;
pub mod draw;
pub mod fault;
pub mod file;
pub mod workload;

pub use compound::Compound;
pub use deployment::{Aim, Deployment};
pub use draw::{Draw, Fleet};
pub use fault::{Fault, PartitionMode, Who};
pub use file::FileError;
pub use workload::{Class, Spread, Workload};

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A scenario: a deployment, its workload and its faults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario and its report: lower-case letters, digits and dashes.
    #[garde(length(min = 1, max = 60), custom(is_plain_name))]
    pub name: String,
    /// Purpose of the scenario.
    #[serde(default)]
    #[garde(length(max = 2000))]
    pub about: String,
    /// Time (s) during which users submit jobs.
    #[garde(range(min = 10.0, max = 86_400.0))]
    pub play_s: f64,
    /// Maximum time (s) after `play_s` within which all jobs must settle.
    #[serde(default = "default_settle_s")]
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub settle_s: f64,
    #[serde(default)]
    #[garde(dive)]
    pub deployment: Deployment,
    #[serde(default)]
    #[garde(dive)]
    pub workload: Workload,
    /// Faults at set times; they may overlap.
    // Named after its key in the file, because validation errors name the Rust field.
    #[serde(default)]
    #[garde(dive)]
    pub troubles: Vec<Fault>,
    /// Faults drawn from the seed.
    #[serde(default)]
    #[garde(dive)]
    pub drawn: Vec<Draw>,
    /// Properties of the deployment that are drawn from the seed.
    #[serde(default)]
    #[garde(dive)]
    pub drawn_fleet: Option<Fleet>,
    /// Compound failures drawn from the seed, and optionally a deployment for them.
    #[serde(default)]
    #[garde(dive)]
    pub drawn_compound: Option<Compound>,
    /// Seed of the simulation, unless the command line gives one.
    #[serde(default)]
    #[garde(skip)]
    pub seed: Option<u64>,
}

fn is_plain_name(name: &str, _: &()) -> garde::Result {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(garde::Error::new(
            "only a to z, 0 to 9 and dashes are allowed",
        ))
    }
}

fn default_settle_s() -> f64 {
    900.0
}

impl Scenario {
    /// Returns the scenario cut to its first `s` seconds.
    #[must_use]
    pub fn first(mut self, s: f64) -> Scenario {
        self.play_s = self.play_s.min(s);
        self.troubles.retain(|t| t.at_s() < s);
        self.drawn.retain(|d| d.from_s < s);
        for d in &mut self.drawn {
            d.to_s = d.to_s.min(s);
        }
        self.drawn_compound = self.drawn_compound.filter(|c| c.from_s < s);
        if let Some(compound) = &mut self.drawn_compound {
            compound.to_s = compound.to_s.min(s);
        }
        self
    }

    /// Returns the same scenario with its arrival rates multiplied by `traffic`, and the number of
    /// jobs at its beginning by `at_start`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: f64, at_start: f64) -> Scenario {
        for c in &mut self.workload.classes {
            c.per_minute *= traffic;
            c.at_start = (f64::from(c.at_start) * at_start).round() as u32;
        }
        self
    }

    /// Returns the same scenario at another size: machines, team quotas and traffic multiplied by
    /// `by`.
    #[must_use]
    pub fn scaled(mut self, by: f64) -> Scenario {
        let scaled = |n: u32| (f64::from(n) * by).round() as u32;
        for c in &mut self.deployment.capacity {
            (c.count, c.spot, c.up) = (scaled(c.count), scaled(c.spot), scaled(c.up));
        }
        for t in &mut self.deployment.teams {
            t.cpus *= by;
            t.cpus_max *= by;
        }
        for c in &mut self.workload.classes {
            c.per_minute *= by;
            c.at_start = scaled(c.at_start);
        }
        self
    }
}
