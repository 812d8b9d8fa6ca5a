//! The workload of a scenario: the jobs that users submit, and how users query and cancel them.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Workload {
    #[garde(length(min = 1, max = 100), dive)]
    pub classes: Vec<Class>,
    /// Interval (s) between two status queries for a job.
    #[garde(range(min = 0.5, max = 600.0))]
    pub poll_s: f64,
    /// Status queries per minute for jobs that were never submitted.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub strangers_per_minute: f64,
    /// Share of jobs whose submission is repeated after their end.
    #[garde(range(min = 0.0, max = 1.0))]
    pub repeats: f64,
    /// Share of jobs that can never run.
    #[garde(range(min = 0.0, max = 1.0))]
    pub impossible: f64,
    /// Share of users who ignore `Retry-After` and retry after a second.
    #[garde(range(min = 0.0, max = 1.0))]
    pub impatient: f64,
    /// Chains and trees of jobs that depend on other jobs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 20), dive)]
    pub pipelines: Vec<Pipeline>,
}

/// A pipeline: jobs of several classes, each submitted as soon as the jobs that it depends on are
/// accepted. Jobs of these classes are also submitted on their own, unless the `per_minute` of the
/// class is 0.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub per_minute: f64,
    /// Stages in the order of their submission.
    #[garde(length(min = 1, max = 50), dive)]
    pub stages: Vec<Stage>,
    /// Deadline (`due_s`) of the jobs of the last stage: this factor times the estimated run time
    /// of the longest path, plus `due_plus_s`. None: no deadline.
    #[serde(default)]
    #[garde(inner(range(min = 0.01, max = 100.0)))]
    pub due_factor: Option<f64>,
    #[serde(default)]
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub due_plus_s: f64,
    /// Share of pipelines whose last stage is submitted only after all other stages have ended.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub late: f64,
    /// Share of pipelines of which a job is cancelled.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub cancelled: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    #[garde(length(min = 1, max = 60))]
    pub class: String,
    /// Number of jobs of the stage.
    #[serde(default = "default_jobs")]
    #[garde(range(min = 1, max = 1000))]
    pub jobs: u32,
    /// Earlier stages whose jobs this stage depends on, counted from 0.
    #[serde(default)]
    #[garde(skip)]
    pub needs: Vec<usize>,
}

fn default_jobs() -> u32 {
    1
}

impl Default for Workload {
    fn default() -> Self {
        let tiles = Class {
            name: "tiles".into(),
            team: Some("day".into()),
            per_minute: 4.0,
            at_start: 3,
            tasks: Spread::new(12.0, 40.0, 80.0),
            run_s: Spread::new(15.0, 45.0, 80.0),
            cpus: 2.0,
            ram_gb: 7.0,
            images: Images {
                count: 4,
                gb: Spread::new(1.2, 2.5, 4.0),
                zipf: 1.0,
            },
            cancelled: 0.03,
            ..Class::default()
        };
        let matching = Class {
            name: "matching".into(),
            team: Some("night".into()),
            per_minute: 3.0,
            at_start: 2,
            tasks: Spread::new(8.0, 24.0, 40.0),
            run_s: Spread::new(40.0, 90.0, 150.0),
            cpus: 4.0,
            ram_gb: 13.0,
            images: Images {
                count: 8,
                gb: Spread::new(1.5, 3.0, 4.0),
                zipf: 0.5,
            },
            checkpoint_s: 15.0,
            save_s: 3.0,
            cancelled: 0.03,
            ..Class::default()
        };
        Workload {
            classes: vec![tiles, matching],
            poll_s: 5.0,
            strangers_per_minute: 2.0,
            repeats: 0.03,
            impossible: 0.02,
            impatient: 0.0,
            pipelines: Vec::new(),
        }
    }
}

/// A log-normal distribution, truncated at `most`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    #[garde(range(min = 0.001, max = 1.0e6))]
    pub median: f64,
    /// 95th percentile; equal to the median if not given.
    #[serde(default)]
    #[garde(inner(range(min = 0.001, max = 1.0e6)))]
    pub p95: Option<f64>,
    #[serde(default)]
    #[garde(inner(range(min = 0.001, max = 1.0e6)))]
    pub most: Option<f64>,
}

impl Spread {
    pub fn new(median: f64, p95: f64, most: f64) -> Spread {
        Spread {
            median,
            p95: Some(p95),
            most: Some(most),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    Array,
    /// A service, which runs until its user cancels it.
    Standing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    Critical,
    Urgent,
    Normal,
    Low,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Images {
    #[garde(range(min = 1, max = 10_000))]
    pub count: u32,
    #[garde(dive)]
    pub gb: Spread,
    /// Exponent of the Zipf distribution that images are drawn from; 0 is uniform.
    #[garde(range(min = 0.0, max = 4.0))]
    pub zipf: f64,
}

impl Default for Images {
    fn default() -> Self {
        Images {
            count: 4,
            gb: Spread::new(1.0, 2.0, 4.0),
            zipf: 1.0,
        }
    }
}

/// A job class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// None: a team drawn by weight.
    #[garde(skip)]
    pub team: Option<String>,
    #[garde(skip)]
    pub kind: JobKind,
    #[garde(skip)]
    pub rank: Rank,
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub per_minute: f64,
    #[garde(range(max = 100_000))]
    pub at_start: u32,
    #[garde(dive)]
    pub tasks: Spread,
    #[garde(dive)]
    pub run_s: Spread,
    /// CPUs of each task.
    #[garde(range(min = 0.01, max = 100_000.0))]
    pub cpus: f64,
    /// GPUs of each task.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub gpus: f64,
    /// Memory (GB) of each task.
    #[garde(range(min = 0.0, max = 1.0e6))]
    pub ram_gb: f64,
    #[garde(dive)]
    pub images: Images,
    /// Allowed machine types; None: any type.
    #[garde(skip)]
    pub types: Option<Vec<String>>,
    #[garde(skip)]
    pub zone: Option<String>,
    #[garde(skip)]
    pub one_zone: bool,
    #[garde(skip)]
    pub spread: bool,
    /// Whether its tasks may run on spot machines.
    #[garde(skip)]
    pub spot: bool,
    /// Interval (s) between two checkpoints; 0 for no checkpoints.
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub checkpoint_s: f64,
    #[garde(range(min = 0.0, max = 600.0))]
    pub save_s: f64,
    /// Standard deviation of the logarithm of the error of the user's estimates.
    #[garde(range(min = 0.0, max = 3.0))]
    pub estimate_error: f64,
    /// Systematic error of the estimates in this scenario, as a factor.
    #[garde(range(min = 0.01, max = 100.0))]
    pub estimate_bias: f64,
    /// Share of jobs that are cancelled by their user.
    #[garde(range(min = 0.0, max = 1.0))]
    pub cancelled: f64,
    /// Share of jobs that are submitted with a mistake and fail on every machine.
    #[garde(range(min = 0.0, max = 1.0))]
    pub mistaken: f64,
    /// Time (s) after which a standing job is cancelled.
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub stands_s: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            name: "work".into(),
            team: None,
            kind: JobKind::Array,
            rank: Rank::Normal,
            per_minute: 2.0,
            at_start: 0,
            tasks: Spread::new(8.0, 20.0, 40.0),
            run_s: Spread::new(20.0, 50.0, 100.0),
            cpus: 2.0,
            gpus: 0.0,
            ram_gb: 4.0,
            images: Images::default(),
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            checkpoint_s: 0.0,
            save_s: 0.0,
            estimate_error: 0.3,
            estimate_bias: 1.0,
            cancelled: 0.0,
            mistaken: 0.0,
            stands_s: 120.0,
        }
    }
}
