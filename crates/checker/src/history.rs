//! What happened, as the outside world saw it: users, machines and the tool
//! that made trouble. One line of JSON an event; the digest is over these lines,
//! so `b3sum history.jsonl` repeats it.

pub use cherrywood_scenario::deployment::{Aim, MachineType, Served, Team};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// ms since the scenario began.
    pub at_ms: u64,
    #[serde(flatten)]
    pub what: What,
}

/// What the checker must know of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    pub cancel_s: f64,
    pub teams: Vec<Team>,
    pub kinds: Vec<MachineType>,
    pub aims: Vec<Aim>,
    /// What every class and team must have of its jobs, if the scenario asks for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub served: Option<Served>,
}

/// What a user submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub team: String,
    /// Runs until it is cancelled.
    pub standing: bool,
    pub tasks: u32,
    pub cpus: f64,
    pub kinds: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    /// Jobs that must be done before it starts.
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

/// What a user was told.
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
    /// Its worker's lease ended.
    Lease,
    /// Its machine is gone.
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
    /// A user's first attempt.
    Submitted {
        job: Job,
    },
    /// What came of a user's request; `status` 0 is no response.
    Told {
        ask: Ask,
        job: String,
        sent_ms: u64,
        status: u16,
        #[serde(skip_serializing_if = "Option::is_none", default)]
        state: Option<State>,
        node: String,
    },
    /// The user wants the job cancelled, and asks from now on.
    Unwanted {
        job: String,
    },
    /// A user is about to submit a job without this field.
    LacksField {
        job: String,
        field: String,
    },
    /// The user has stopped trying to submit it.
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
    /// Its worker starts to report.
    Up {
        machine: String,
    },
    /// No longer charged; `cost` is all that was paid for it.
    Gone {
        machine: String,
        why: String,
        cost: f64,
    },
    /// A machine took a start command and has the image fetched if need be.
    Starts {
        machine: String,
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// The task has its image: it is on the machine from now on.
    On {
        machine: String,
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// A command told it to stop, not because of a notice.
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
        /// s of run time that this stay did for good: completed, or saved.
        kept_s: f64,
    },
    /// A worker's lease ended: all its tasks are killed.
    LeaseEnds {
        machine: String,
    },
    /// A controller was started, killed, stood still or went on.
    Node {
        node: String,
        now: String,
    },
    /// Trouble begins or ends.
    Trouble {
        trouble: String,
        on: bool,
    },
    /// What waits in each level, as the leader sees it.
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
        // Plain data: writing it to memory can't fail.
        let _ = serde_json::to_writer(&mut self.line, &event);
        self.line.push(b'\n');
        self.hasher.update(&self.line);
        self.events.push(event);
        &self.events[self.events.len() - 1]
    }

    /// Of all lines so far, the first 16 hexadecimal digits of blake3.
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

    /// Reads what [`History::write`] wrote; an error names the line.
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

/// `wk-000412` of `wk-000412/3`.
pub(crate) fn job_of(task: &str) -> &str {
    task.split_once('/').map_or(task, |(job, _)| job)
}

/// s with a decimal, for messages.
pub(crate) fn secs(ms: u64) -> String {
    format!("{}.{:03} s", ms / 1000, ms % 1000)
}
