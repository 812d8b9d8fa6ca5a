//! The events of a run as observed outside the controllers: by users, machines and the fault
//! injection. Each event is one line of JSON. The digest covers these lines, so that
//! `b3sum history.jsonl` reproduces it.

pub use cherrywood_scenario::deployment::{Aim, MachineType, Served, Team};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time since the start of the scenario, in ms.
    pub at_ms: u64,
    #[serde(flatten)]
    pub what: What,
}

/// The facts about the deployment that the checker needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    pub cancel_s: f64,
    pub teams: Vec<Team>,
    pub kinds: Vec<MachineType>,
    pub aims: Vec<Aim>,
    /// The share of its jobs that each class and team must have done, if the scenario sets it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub served: Option<Served>,
}

/// A submitted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub team: String,
    /// Whether the job runs until it is cancelled.
    pub standing: bool,
    pub tasks: u32,
    /// CPUs of each task; GPUs and memory are likewise per task.
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub ram_gb: f64,
    pub kinds: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    /// Jobs that must be done before this one starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    Submit,
    Poll,
    Cancel,
}

/// The state of a job as reported to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl State {
    pub fn is_final(self) -> bool {
        matches!(self, State::Done | State::Cancelled)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Off {
    Done,
    Stopped,
    Error,
    /// The lease of the worker expired.
    Lease,
    /// The machine is gone.
    Gone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// The first event.
    Begins {
        scenario: String,
        seed: u64,
        facts: Facts,
    },
    /// A user submits a job for the first time.
    Submitted {
        job: Job,
    },
    /// The result of a user's request; `status` is 0 if there was no response.
    Told {
        ask: Ask,
        job: String,
        sent_ms: u64,
        status: u16,
        #[serde(skip_serializing_if = "Option::is_none", default)]
        state: Option<State>,
        node: String,
    },
    /// The user no longer wants the job, and requests its cancellation from now on.
    Unwanted {
        job: String,
    },
    /// A user is about to submit a job that lacks this field.
    LacksField {
        job: String,
        field: String,
    },
    /// The user has stopped trying to submit the job.
    GaveUp {
        job: String,
    },
    Rented {
        machine: String,
        kind: String,
        zone: String,
        spot: bool,
        request: String,
    },
    /// The worker of the machine starts to send heartbeats.
    Up {
        machine: String,
    },
    /// The machine is no longer charged; `cost` is the total that was paid for it.
    Gone {
        machine: String,
        why: String,
        cost: f64,
    },
    /// A machine accepted a start command, and fetches the image unless it has it.
    Starts {
        machine: String,
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// The image is available: the task is on the machine from now on.
    On {
        machine: String,
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// A task whose start command was accepted ended before its image was available.
    Dropped {
        machine: String,
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// A spot notice: the cloud will reclaim the machine, and nothing should be started on it.
    Notice {
        machine: String,
    },
    /// A command stops the task, for another reason than a spot notice.
    Stops {
        machine: String,
        task: String,
    },
    Off {
        machine: String,
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        why: Off,
        /// Run time of this attempt whose result is kept because the task completed or saved
        /// a checkpoint, in s.
        kept_s: f64,
    },
    /// The lease of a worker expired: all its tasks are killed.
    LeaseEnds {
        machine: String,
    },
    /// A controller was started, killed, paused or resumed.
    Node {
        node: String,
        now: String,
    },
    /// A fault begins (`on`) or ends.
    Trouble {
        trouble: String,
        on: bool,
    },
    /// Tasks that wait in each level, as reported by the leader.
    Waiting {
        levels: Vec<u32>,
    },
    Ends,
}

/// The events of a scenario and their digest.
#[derive(Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
    hasher: blake3::Hasher,
    line: Vec<u8>,
}

impl History {
    pub fn record(&mut self, at_ms: u64, what: What) -> &Event {
        let event = Event { at_ms, what };
        self.line.clear();
        // Serializing plain data to memory cannot fail.
        let _ = serde_json::to_writer(&mut self.line, &event);
        self.line.push(b'\n');
        self.hasher.update(&self.line);
        self.events.push(event);
        &self.events[self.events.len() - 1]
    }

    /// Returns the first 16 hexadecimal digits of the BLAKE3 hash of all lines so far.
    pub fn digest(&self) -> String {
        self.hasher.finalize().to_hex()[..16].to_string()
    }

    pub fn write(&self, out: &mut impl std::io::Write) -> std::io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut *out, event)?;
            out.write_all(b"\n")?;
        }
        out.flush()
    }

    /// Reads a history written by [`History::write`]; an error names the line.
    pub fn read(text: &str) -> Result<History, String> {
        let mut history = History::default();
        for (at, line) in text.lines().enumerate() {
            let event: Event =
                serde_json::from_str(line).map_err(|e| format!("line {}: {e}", at + 1))?;
            history.record(event.at_ms, event.what);
        }
        Ok(history)
    }
}

/// Returns the job of a task: `wk-000412` for `wk-000412/3`.
pub(crate) fn job_of(task: &str) -> &str {
    task.split_once('/').map_or(task, |(job, _)| job)
}

/// Formats a time in seconds with three decimals, for messages.
pub(crate) fn secs(ms: u64) -> String {
    format!("{}.{:03} s", ms / 1000, ms % 1000)
}
