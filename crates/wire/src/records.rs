//! The records that controllers store in the key-value store, one type for each kind of key.
//!
//! Their stored field names never change: the previous version reads what this one writes, and
//! this version reads what the previous one wrote. A record may only gain optional fields.

use crate::admission::AdmissionValue;
use crate::chunks::{ChunkRecord, ChunkSet};
use crate::user::{JobState, Submission};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A record of any kind, as written to the store.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum StoredRecord {
    /// `L/leader`.
    Leader(LeaderRecord),
    /// `L/epoch`.
    Term(TermRecord),
    /// `j/<id>`.
    Job(Box<JobRecord>),
    /// `w/<number>`.
    PlacementLog(PlacementLogRecord),
    /// `p/<id>` and `p/<id>/<number>`.
    Progress(ProgressRecord),
    /// `f/<id>`.
    FinalState(FinalStateRecord),
    /// `h/all`.
    Histograms(HistogramsRecord),
    /// `h/images`.
    ImageCache(ImageCacheRecord),
    /// `h/admission`.
    Admission(Box<AdmissionValue>),
    /// A chunk of a value that doesn't fit one record.
    Chunk(ChunkRecord),
    /// `v/<label>`.
    Member(MemberRecord),
}

/// `v/<label>`: the stored formats that a controller understands, written when it starts. The
/// previous version neither writes nor reads this record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Version of the stored formats that the controller understands.
    #[serde(rename = "speaks")]
    pub format_version: u32,
}

/// A record that is split into chunks if it doesn't fit one value. The record itself is then
/// empty except for the chunks that it names, and the previous version reads it as empty.
pub trait ChunkedRecord: Serialize + DeserializeOwned + Default + Clone {
    /// Returns the chunks that hold the record, if it is split.
    fn chunk_set(&self) -> Option<ChunkSet>;
    /// Creates the record that names these chunks.
    fn in_chunks(chunks: ChunkSet) -> Self;
    /// Converts the record to the type in which it is written.
    fn into_record(self) -> StoredRecord;
}

/// `L/leader`, attached to the leader's lease: the current leader and its term.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the leading controller.
    pub leader: String,
    /// Its term.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// Random number that distinguishes this write from any other.
    pub nonce: u64,
}

/// `L/epoch`: the last term, which only increases.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The last term in which there was a leader.
    #[serde(rename = "last_epoch")]
    pub last_term: u64,
}

/// `j/<id>`: an accepted job that has not reached a final state (done or cancelled).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission, except for the fields in [`JobRecord::withheld`].
    #[serde(rename = "job")]
    pub submission: Submission,
    /// Time of day at acceptance in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// Fields of the submission that are stored outside it, if any.
    #[serde(rename = "held", default, skip_serializing_if = "Option::is_none")]
    pub withheld: Option<WithheldFields>,
}

/// Fields that a job record stores outside its submission, for a job that has dependencies or
/// that doesn't fit one value: the stored submission then allows no machine type. A controller
/// of the previous version, which doesn't support dependencies, finds no machine for the job
/// and never starts it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WithheldFields {
    /// The machine types that the job actually allows; None: any.
    #[serde(rename = "types", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The chunks that hold the whole submission (`n/<id>/<slot>/<index>`).
    #[serde(rename = "parts", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<ChunkSet>,
}

impl JobRecord {
    /// Creates the record of a job that fits one value.
    pub fn new(mut submission: Submission, accepted_at_ms: u64) -> JobRecord {
        let withheld = (!submission.dependencies.is_empty()).then(|| WithheldFields {
            machine_types: submission.machine_types.replace(Vec::new()),
            chunks: None,
        });
        JobRecord {
            submission,
            accepted_at_ms,
            withheld,
        }
    }

    /// Creates the record of a job whose submission these chunks hold.
    pub fn in_chunks(submission: &Submission, accepted_at_ms: u64, chunks: ChunkSet) -> JobRecord {
        let stub = Submission {
            machine_types: Some(Vec::new()),
            zone: None,
            dependencies: Vec::new(),
            ..submission.clone()
        };
        JobRecord {
            submission: stub,
            accepted_at_ms,
            withheld: Some(WithheldFields {
                machine_types: None,
                chunks: Some(chunks),
            }),
        }
    }

    /// Returns the chunks that hold the submission, if it is split.
    pub fn chunk_set(&self) -> Option<ChunkSet> {
        self.withheld.as_ref().and_then(|w| w.chunks)
    }

    /// Returns the submission as its user sent it, or the stored stub if chunks hold it.
    pub fn into_submission(self) -> Submission {
        let mut submission = self.submission;
        if let Some(withheld) = self.withheld {
            submission.machine_types = withheld.machine_types;
        }
        submission
    }
}

/// `w/<number>`: an entry of the placement log; lower numbers are older.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementLogRecord {
    /// Jobs that the placements refer to by index.
    pub jobs: Vec<LoggedJob>,
    /// Machine classes that the placements refer to by index.
    #[serde(rename = "places")]
    pub machine_classes: Vec<LoggedMachineClass>,
    /// New placements.
    #[serde(rename = "rows")]
    pub placements: Vec<LoggedPlacement>,
    /// Attempt and task index of placements in older entries whose tasks have left their
    /// machines. A placement in this entry itself is not freed by it, even if listed here.
    pub freed: Vec<(u64, u32)>,
}

/// Resources of each task of a job, kept in the log beyond the end of the job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedJob {
    /// Job id.
    pub id: String,
    /// Its team.
    pub team: String,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
}

/// Machine class: type, zone and price model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedMachineClass {
    /// Machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether its machines are spot machines.
    pub spot: bool,
}

/// Consecutive tasks of a job placed on a machine under one attempt. The fields are: machine,
/// index of its class, incarnation, index of the job, attempt, first task, number of tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedPlacement(
    pub String,
    pub usize,
    pub u64,
    pub usize,
    pub u64,
    pub u32,
    pub u32,
);

/// `p/<id>`: the finished tasks of a job without a final state. `p/<id>/<number>`: a range of
/// them, if the bitmap of a large array doesn't fit one value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Bitmap of the finished tasks in base64.
    #[serde(rename = "finished")]
    pub finished_bitmap: String,
    /// Index of the task that the bitmap begins with; None: 0.
    #[serde(rename = "first", default, skip_serializing_if = "Option::is_none")]
    pub first_task: Option<u32>,
}

/// `f/<id>`: a job's final state, which is never removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalStateRecord {
    /// The final state.
    #[serde(rename = "ended")]
    pub state: JobState,
    /// Number of the job's tasks.
    pub tasks: u32,
    /// Time of day at the end in milliseconds, from which jobs that depend on this one are
    /// ready.
    #[serde(rename = "at_ms", default, skip_serializing_if = "Option::is_none")]
    pub ended_at_ms: Option<u64>,
}

/// `h/all`: the histograms that the run time predictor has learned.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HistogramsRecord {
    /// Histogram of all keys together, in base64.
    pub pooled: String,
    /// For each key: its name, number of observations, share of censored observations (lost
    /// tasks), histogram in base64.
    pub keys: Vec<(String, u64, f64, String)>,
    /// The chunks that hold the record, if it doesn't fit one value.
    #[serde(rename = "parts", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<ChunkSet>,
}

impl ChunkedRecord for HistogramsRecord {
    fn chunk_set(&self) -> Option<ChunkSet> {
        self.chunks
    }

    fn in_chunks(chunks: ChunkSet) -> Self {
        HistogramsRecord {
            chunks: Some(chunks),
            ..HistogramsRecord::default()
        }
    }

    fn into_record(self) -> StoredRecord {
        StoredRecord::Histograms(self)
    }
}

/// `h/images`: the images in the caches of machines, a hint for the next leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageCacheRecord {
    /// Machine names in order, front coded; see [`ImageCacheRecord::front_coded`].
    #[serde(rename = "machines")]
    pub front_coded_machines: Vec<String>,
    /// For each image: its number, its size in GB, and a bitmap over the machines in base64.
    pub images: Vec<(u64, f64, String)>,
    /// The chunks that hold the record, if it doesn't fit one value.
    #[serde(rename = "parts", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<ChunkSet>,
}

impl ChunkedRecord for ImageCacheRecord {
    fn chunk_set(&self) -> Option<ChunkSet> {
        self.chunks
    }

    fn in_chunks(chunks: ChunkSet) -> Self {
        ImageCacheRecord {
            chunks: Some(chunks),
            ..ImageCacheRecord::default()
        }
    }

    fn into_record(self) -> StoredRecord {
        StoredRecord::ImageCache(self)
    }
}

/// Radix of the digit that gives the number of shared characters.
const SHARED_RADIX: u32 = 36;

impl ImageCacheRecord {
    /// Front codes a name: the number of leading characters that it shares with the previous
    /// name, as one digit of base 36, and the rest. The full names of 1,800 machines would
    /// leave no room in a value.
    pub fn front_coded(name: &str, previous: &str) -> String {
        let pairs = name.chars().zip(previous.chars());
        let shared = pairs.take_while(|(a, b)| a == b).count();
        let shared = shared.min(SHARED_RADIX as usize - 1) as u32;
        let rest = name.chars().skip(shared as usize);
        char::from_digit(shared, SHARED_RADIX)
            .into_iter()
            .chain(rest)
            .collect()
    }

    /// Decodes the machines' names.
    pub fn machine_names(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::with_capacity(self.front_coded_machines.len());
        for front_coded in &self.front_coded_machines {
            let mut rest = front_coded.chars();
            let shared = rest.next().and_then(|c| c.to_digit(SHARED_RADIX));
            let shared = shared.unwrap_or(0) as usize;
            let previous = names.last().map_or("", String::as_str);
            names.push(previous.chars().take(shared).chain(rest).collect());
        }
        names
    }
}

impl ChunkedRecord for AdmissionValue {
    fn chunk_set(&self) -> Option<ChunkSet> {
        self.chunks
    }

    fn in_chunks(chunks: ChunkSet) -> Self {
        AdmissionValue {
            chunks: Some(chunks),
            ..AdmissionValue::default()
        }
    }

    fn into_record(self) -> StoredRecord {
        StoredRecord::Admission(Box::new(self))
    }
}
