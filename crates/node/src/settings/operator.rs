//! The operators' own file (YAML). Unknown fields are errors, since a typing mistake is their
//! likeliest cause in this file. Every field has a default, for which the service is designed.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Smallest weight of a team.
const WEIGHT_MIN: f64 = 0.1;
/// Largest weight of a team.
const WEIGHT_MAX: f64 = 10.0;

/// The operators' own file. Every field has a default; unknown fields are errors, since a typing
/// mistake is their likeliest cause in this file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Overrides the environment variable `LOG_LEVEL`.
    #[garde(skip)]
    pub log_level: Option<LogLevel>,
    /// Rent only spot machines, never machines at the full price.
    #[garde(skip)]
    pub cheap_only: bool,
    /// The order in which waiting tasks are served.
    #[garde(dive)]
    pub scheduler: Scheduler,
    /// Admission of jobs under overload.
    #[garde(dive)]
    pub admission: Admission,
}

/// Admission of jobs when not all can be served (docs/admission.md).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Refuse no job for lack of room.
    #[garde(skip)]
    pub off: bool,
    /// Give under-served classes of teams a share of the capacity that becomes free.
    #[garde(skip)]
    pub floors: bool,
    /// Served share up to which every class of a team is served ahead of guarantees.
    #[garde(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// Weights of teams: a team of weight 2 is served twice the share of a team of weight 1.
    #[garde(custom(check_weights))]
    pub weights: BTreeMap<String, f64>,
    /// The jobs to refuse of a class that can't be served in full.
    #[garde(skip)]
    pub shed: Shed,
}

/// The jobs to refuse of a class that can't be served in full.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Shed {
    /// The larger jobs, but only a limited share of the largest tenth.
    #[default]
    Sizes,
    /// The largest jobs, all of them; for experiments.
    Largest,
    /// Jobs chosen by the hash of their ids; for experiments.
    Random,
    /// All jobs that arrive while there is no room; for experiments.
    Newest,
}

fn check_weights(weights: &BTreeMap<String, f64>, _: &()) -> garde::Result {
    match weights
        .iter()
        .find(|(_, w)| !(WEIGHT_MIN..=WEIGHT_MAX).contains(*w))
    {
        Some((team, w)) => Err(garde::Error::new(format!(
            "{team} weighs {w}; allowed: {WEIGHT_MIN} to {WEIGHT_MAX}"
        ))),
        None => Ok(()),
    }
}

impl Default for Admission {
    fn default() -> Self {
        let policy = cherrywood_control::AdmissionPolicy::default();
        Admission {
            off: !policy.gates,
            floors: policy.floors,
            floor: policy.floor,
            weights: policy.weights,
            shed: Shed::default(),
        }
    }
}

/// Rules for the order of service, which experiments can switch off.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Scheduler {
    /// Use three levels by median estimate; if false, one level served first come, first served.
    #[garde(skip)]
    pub levels: bool,
    /// Rule by which waiting tasks rise to the next level.
    #[garde(skip)]
    pub aging: Aging,
}

impl Default for Scheduler {
    fn default() -> Self {
        Scheduler {
            levels: true,
            aging: Aging::default(),
        }
    }
}

/// Rule by which waiting tasks rise to the next level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Aging {
    /// Tasks do not rise while the level above is behind (the default).
    #[default]
    Pausing,
    /// Tasks rise regardless of the level above.
    Plain,
    /// Tasks stay in their level.
    #[serde(rename = "none")]
    Off,
}

impl Operator {
    /// These settings as the policy type of the control package.
    pub fn policy(&self) -> cherrywood_control::OperatorPolicy {
        use cherrywood_control::settings::{Aging as AgingPolicy, SheddingPolicy};
        cherrywood_control::OperatorPolicy {
            cheap_only: self.cheap_only,
            levels: self.scheduler.levels,
            aging: match self.scheduler.aging {
                Aging::Pausing => AgingPolicy::Pausing,
                Aging::Plain => AgingPolicy::Plain,
                Aging::Off => AgingPolicy::Off,
            },
            admission: cherrywood_control::AdmissionPolicy {
                gates: !self.admission.off,
                floors: self.admission.floors,
                floor: self.admission.floor,
                weights: self.admission.weights.clone(),
                shed: match self.admission.shed {
                    Shed::Sizes => SheddingPolicy::SizeAware,
                    Shed::Largest => SheddingPolicy::LargestFirst,
                    Shed::Random => SheddingPolicy::Random,
                    Shed::Newest => SheddingPolicy::NewestFirst,
                },
            },
        }
    }
}

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also events other than single requests.
    Info,
    /// All events, including single requests.
    Debug,
}

impl LogLevel {
    /// The level's name in the logging library.
    pub fn name(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
        }
    }
}
