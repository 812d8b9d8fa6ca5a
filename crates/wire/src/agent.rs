//! Messages between workers and controllers.
//!
//! A worker sends heartbeats and executes the commands in the responses; a controller may also
//! send commands directly to a worker's address. The same types are exchanged between
//! controllers as `bitcode` frames, which depend on the order and types of fields and variants.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waits until all tasks of its gang are ready.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was commanded to stop and is saving a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// Has ended; [`ExitCause`] gives the reason.
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended or its start was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(from = "String")]
pub enum ExitCause {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// The task failed, usually because the machine is faulty, sometimes because the job is.
    #[serde(rename = "error")]
    Error,
    /// The start was refused: the machine has too few free resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The start was refused: the machine has the task under another attempt.
    #[serde(rename = "in_use")]
    InUse,
    /// The start was refused: the worker does not know the job or task.
    #[serde(rename = "unknown")]
    Unknown,
    /// A cause that this version does not know; the task has ended nevertheless.
    Other,
}

impl From<String> for ExitCause {
    fn from(text: String) -> Self {
        match text.as_str() {
            "done" => ExitCause::Done,
            "stopped" => ExitCause::Stopped,
            "error" => ExitCause::Error,
            "no_room" => ExitCause::NoRoom,
            "in_use" => ExitCause::InUse,
            "unknown" => ExitCause::Unknown,
            _ => ExitCause::Other,
        }
    }
}

/// Status of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct TaskStatus {
    /// Job id and task index, for example `wk-000412/3`.
    #[serde(rename = "chore")]
    pub task: String,
    /// The attempt under which the task was started.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// The task's state.
    #[serde(rename = "gait")]
    pub state: TaskState,
    /// Why the task ended, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    /// Whether a stopped task's progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// A worker's periodic message with the status of its machine: `POST /agent/beat`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "mount")]
    pub machine: String,
    /// Address at which its worker accepts direct commands.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Its machine type.
    #[serde(rename = "box_breed")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "pasture")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "strays")]
    pub spot: bool,
    /// Starts at 1 and increases each time the worker's lease expires.
    #[serde(rename = "ride")]
    pub incarnation: u64,
    /// Increases with every message: the larger (incarnation, sequence) pair is the newer one.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "reins")]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine, if it has given a spot notice.
    #[serde(rename = "warning_s", default)]
    pub spot_notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones until a `Forget` command.
    #[serde(rename = "chores")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "call")]
pub enum Command {
    /// Starts a task; no effect if the worker already has it under this attempt.
    #[serde(rename = "start")]
    Start {
        /// Job id and task index.
        #[serde(rename = "chore")]
        task: String,
        /// The attempt that this start belongs to.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "stop")]
    Stop {
        /// Job id and task index.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt under which it was started.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds allowed for saving a checkpoint.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats.
    #[serde(rename = "forget")]
    Forget {
        /// Job id and task index.
        #[serde(rename = "chore")]
        task: String,
        /// Attempt under which it was started.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response (200) to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token: the worker drops a response with a lower token than it has seen.
    #[serde(rename = "reins")]
    pub fencing_token: u64,
    /// Commands, executed in order.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// The response (421) that sends a worker to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of that controller; None: the worker tries the next controller that it knows.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}

/// Commands sent directly to a worker: `POST /orders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct DirectCommands {
    /// Fencing token: the commands are executed only if the worker has seen no higher one.
    #[serde(rename = "reins")]
    pub fencing_token: u64,
    /// Incarnation of the worker: the commands are executed only in this one.
    #[serde(rename = "ride")]
    pub incarnation: u64,
    /// Commands, executed in order.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}
