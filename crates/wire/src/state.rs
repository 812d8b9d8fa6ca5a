//! Controllers -> state service. Values are any serde type; those that this
//! service keeps are in [`Value`].

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<V> {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: V,
    #[serde(rename = "mark")]
    pub version: u64,
    #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Items<V> {
    #[serde(rename = "rows")]
    pub items: Vec<Item<V>>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// The answer about a key that doesn't exist, and to a touched watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Why a request was not executed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    pub error: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "mark")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V = Value> {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Txn<V = Value> {
    #[serde(rename = "guards", default)]
    pub guards: Vec<Guard>,
    #[serde(rename = "apply", default = "Vec::new")]
    pub changes: Vec<Change<V>>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TxnAnswer {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "tether")]
    pub id: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event<V> {
    #[serde(
        rename = "write",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub put: Option<String>,
    #[serde(
        rename = "drop",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub delete: Option<String>,
    #[serde(
        rename = "v",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub value: Option<V>,
    #[serde(rename = "mark")]
    pub version: u64,
}

fn none<T>() -> Option<T> {
    None
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "V: serde::de::DeserializeOwned"))]
pub struct Events<V> {
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    pub events: Vec<Event<V>>,
}

/// What the service keeps, one shape for each kind of key.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Value {
    Leader(LeaderValue),
    Epoch(EpochValue),
    Job(Box<JobValue>),
    Log(LogValue),
    Progress(ProgressValue),
    Final(FinalValue),
    Histograms(HistogramsValue),
    Images(ImagesValue),
    Admission(Box<crate::admission::AdmissionValue>),
}

/// `L/leader`, tethered: who leads and in which epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    pub leader: String,
    pub epoch: u64,
    pub nonce: u64,
}

/// `L/epoch`, which only rises.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EpochValue {
    pub last_epoch: u64,
}

/// `j/<id>`: an accepted job that is neither done nor cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobValue {
    pub job: crate::user::Submission,
    /// Time of day at acceptance, ms.
    pub at_ms: u64,
}

/// `w/<number>`: an entry of the placement log, older ones first by number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogValue {
    pub jobs: Vec<LogJob>,
    pub places: Vec<LogPlace>,
    pub rows: Vec<LogRow>,
    /// Attempt and task of placements, in this entry or older ones, that are
    /// off their machines.
    pub freed: Vec<(u64, u32)>,
}

/// What each task of a job takes, also after the job is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogJob {
    pub id: String,
    pub team: String,
    pub cpus: f64,
    pub gpus: f64,
    pub mem: f64,
}

/// Where machines are and of what kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogPlace {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// Machine, place (index), session, job (index), attempt, first task, tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRow(
    pub String,
    pub usize,
    pub u64,
    pub usize,
    pub u64,
    pub u32,
    pub u32,
);

/// `p/<id>`: the finished tasks of a live job, a bitmap in base64.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgressValue {
    pub finished: String,
}

/// `f/<id>`: the final state, kept for good.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalValue {
    pub ended: crate::user::JobState,
    pub tasks: u32,
}

/// `h/all`: what the predictor has learned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistogramsValue {
    pub pooled: String,
    pub keys: Vec<(String, u64, f64, String)>,
}

/// `h/images`: which images are on which machines, a hint for the next leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesValue {
    /// Names in order, each as what it shares with the one before and the rest; see
    /// `folded`.
    pub machines: Vec<String>,
    /// Number of the image, its GB, and a bitmap in base64 over `machines`.
    pub images: Vec<(u64, f64, String)>,
}

impl ImagesValue {
    /// A name as its neighbour's first characters, counted in one digit of base 36, and
    /// its own last ones. In full the names of 1,800 machines left no room in a value.
    pub fn folded(name: &str, before: &str) -> String {
        let pairs = name.chars().zip(before.chars());
        let shared = pairs.take_while(|(a, b)| a == b).count().min(35) as u32;
        let rest = name.chars().skip(shared as usize);
        char::from_digit(shared, 36)
            .into_iter()
            .chain(rest)
            .collect()
    }

    /// The machines' names in full.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::with_capacity(self.machines.len());
        for folded in &self.machines {
            let mut rest = folded.chars();
            let shared = rest.next().and_then(|c| c.to_digit(36)).unwrap_or(0) as usize;
            let before = names.last().map_or("", String::as_str);
            names.push(before.chars().take(shared).chain(rest).collect());
        }
        names
    }
}
