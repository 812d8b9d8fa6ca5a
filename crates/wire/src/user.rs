//! Messages between users and controllers.

use crate::WireError;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashSet;

/// Maximum number of tasks of a job, as set by the protocol.
pub const MAX_TASKS: u32 = 100_000;

/// Maximum length in bytes of a class, team or image name.
const NAME_BYTES_MAX: usize = 200;

/// Maximum number of characters of an invalid dependency that its error message quotes.
const QUOTED_CHARS_MAX: usize = 40;

/// How the tasks of a job run in relation to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Tasks that run only all at the same time (gang scheduling).
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, in descending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Production work.
    #[serde(rename = "critical")]
    Production,
    /// High priority.
    #[serde(rename = "urgent")]
    High,
    /// Normal priority.
    #[serde(rename = "normal")]
    Normal,
    /// Low priority.
    #[serde(rename = "low")]
    Low,
}

/// A job as submitted by its user: `POST /submissions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Job id, for example `wk-000412`, chosen by the user; a repeated submission has the same
    /// id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Job class, for which the settings state objectives.
    #[serde(rename = "herd")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks run in relation to each other.
    #[serde(rename = "breed")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "chores")]
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Image that a machine must have fetched before a task starts.
    #[serde(rename = "saddle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Allowed machine types; None: any.
    #[serde(rename = "breeds_of_box", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; None: any.
    #[serde(rename = "pasture", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "together")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread_over_zones: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "strays")]
    pub allow_spot: bool,
    /// The user's estimate of a task's run time in seconds; 0 for services.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// Seconds of progress between a task's checkpoints; 0: it saves none.
    #[serde(rename = "brand_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stow_s")]
    pub checkpoint_save_s: f64,
    /// Seconds after its submission within which the job should be complete.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before a task of this one starts (DAG dependencies).
    #[serde(
        rename = "waits_on",
        default,
        deserialize_with = "dependency_list",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Deserializes a list of ids, or null for an empty one. The decoder's own error doesn't name
/// the field, so this one adds it.
fn dependency_list<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    let list = Option::<Vec<String>>::deserialize(from).map_err(|e| {
        D::Error::custom(format!(
            "waits_on: found {e}; allowed: {ALLOWED_DEPENDENCIES}"
        ))
    })?;
    Ok(list.unwrap_or_default())
}

const ALLOWED_DEPENDENCIES: &str = "a list of job ids like wk-000412";

impl Submission {
    /// Decodes and validates a request's body; repeated dependencies are removed.
    ///
    /// # Errors
    ///
    /// A [`WireError`] that names the field; the response to it is 400.
    pub fn decode(body: &[u8]) -> Result<Self, WireError> {
        let mut job: Submission = crate::decode(body)?;
        job.validate()?;
        let mut seen = HashSet::new();
        job.dependencies.retain(|id| seen.insert(id.clone()));
        Ok(job)
    }

    fn validate(&self) -> Result<(), WireError> {
        if !is_valid_job_id(&self.id) {
            return Err(WireError::Invalid("name_id"));
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(WireError::Invalid("chores"));
        }
        self.validate_names()?;
        self.validate_amounts()?;
        if let Some(invalid) = self.dependencies.iter().find(|id| !is_valid_job_id(id)) {
            let found: String = invalid.chars().take(QUOTED_CHARS_MAX).collect();
            return Err(WireError::Malformed(format!(
                "waits_on: found {found:?}; allowed: {ALLOWED_DEPENDENCIES}"
            )));
        }
        Ok(())
    }

    fn validate_names(&self) -> Result<(), WireError> {
        for (text, field) in [
            (&self.class, "herd"),
            (&self.team, "crew"),
            (&self.image, "saddle"),
        ] {
            if text.is_empty() || text.len() > NAME_BYTES_MAX {
                return Err(WireError::Invalid(field));
            }
        }
        Ok(())
    }

    fn validate_amounts(&self) -> Result<(), WireError> {
        for (amount, field) in [
            (self.cpus, "cpus"),
            (self.gpus, "accelerators"),
            (self.memory_gb, "ram_gb"),
            (self.image_gb, "pull_gb"),
            (self.estimate_s, "guess_s"),
            (self.checkpoint_interval_s, "brand_s"),
            (self.checkpoint_save_s, "stow_s"),
            (self.deadline_s.unwrap_or(0.0), "due_s"),
        ] {
            if !amount.is_finite() || amount < 0.0 {
                return Err(WireError::Invalid(field));
            }
        }
        Ok(())
    }

    /// Returns the run time predictor's key: team and image of the job.
    pub fn predictor_key(&self) -> String {
        format!("{}|{}", self.team, self.image)
    }
}

/// Returns the job id of a submission that may otherwise be malformed; None if it has no valid
/// id.
pub fn submitted_job_id(body: &[u8]) -> Option<String> {
    #[derive(Deserialize)]
    struct IdOnly {
        name_id: String,
    }
    let id = crate::decode::<IdOnly>(body).ok()?.name_id;
    is_valid_job_id(&id).then_some(id)
}

/// Returns whether an id has the form `wk-000412`.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|digits| {
        (6..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Splits `wk-000412/3` into the job's id and the task's index.
pub fn parse_task_id(task: &str) -> Option<(&str, u32)> {
    let (job, index) = task.split_once('/')?;
    Some((job, index.parse().ok()?))
}

/// State of a job as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task runs.
    #[serde(rename = "queued")]
    Queued,
    /// A task runs.
    #[serde(rename = "running")]
    Running,
    /// Every task is done: a final state.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user: a final state.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// The response to a user's request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Job id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its state.
    #[serde(rename = "gait")]
    pub state: JobState,
    /// Tasks that are done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that run, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
