//! The records that controllers store in the key-value store, one type for each kind of
//! key.
//!
//! Their stored field names never change: the version before reads them, and this version
//! reads what that one wrote. A record may gain optional fields only.

use crate::admission::AdmissionValue;
use crate::chunks::{ChunkRecord, ChunkSet};
use crate::user::{JobState, Submission};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A record of any kind, as it is written.
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

/// `v/<label>`, written by each controller when it starts: what it understands. The
/// version before had no such record and reads none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Version of the stored formats that the controller understands.
    #[serde(rename = "speaks")]
    pub format_version: u32,
}

/// A record that is split into chunks where it doesn't fit one value: the record itself is
/// empty then, but for the chunks it names, and the version before reads it as empty.
pub trait ChunkedRecord: Serialize + DeserializeOwned + Default + Clone {
    /// The chunks that hold the record, if it is split.
    fn chunk_set(&self) -> Option<ChunkSet>;
    /// The record of one that these chunks hold.
    fn in_chunks(chunks: ChunkSet) -> Self;
    /// The record as it is written.
    fn into_record(self) -> StoredRecord;
}

/// `L/leader`, attached to the leader's lease: who leads and in which term.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the controller.
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

/// `j/<id>`: an accepted job that is neither done nor cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission, but for what [`JobRecord::withheld`] holds.
    #[serde(rename = "job")]
    pub submission: Submission,
    /// Time of day at acceptance in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// Fields of the submission that are stored outside it, if any.
    #[serde(rename = "held", default, skip_serializing_if = "Option::is_none")]
    pub withheld: Option<WithheldFields>,
}

/// Fields that a job record stores outside its submission, for a job that has
/// dependencies or that fits no value: the submission then allows no machine type. A
/// controller of the version before, which knows nothing of dependencies, finds no machine
/// for the job and never starts it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WithheldFields {
    /// The machine types that the job does allow.
    #[serde(rename = "types", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The chunks that hold the whole submission (`n/<id>/<slot>/<index>`).
    #[serde(rename = "parts", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<ChunkSet>,
}

impl JobRecord {
    /// The record of a job that fits one value.
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

    /// The record of a job whose submission these chunks hold.
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

    /// The chunks that hold the submission, if it is split.
    pub fn chunk_set(&self) -> Option<ChunkSet> {
        self.withheld.as_ref().and_then(|w| w.chunks)
    }

    /// The submission as its user sent it, unless chunks hold it.
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
    /// Attempt and task index of placements in older entries that are off their machines. An
    /// entry that holds a placement again is not older than itself: it counts.
    pub freed: Vec<(u64, u32)>,
}

/// What each task of a job takes, known also after the job is over.
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

/// Type, zone and price model of machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedMachineClass {
    /// Machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether they are spot machines.
    pub spot: bool,
}

/// Consecutive tasks of a job placed on a machine under one attempt: machine, index of its
/// class, incarnation, index of the job, attempt, first task, number of tasks.
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

/// `p/<id>`: the finished tasks of a live job. `p/<id>/<number>`: a range of them, where the
/// bitmap of a large array doesn't fit one value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Bitmap in base64.
    #[serde(rename = "finished")]
    pub finished_bitmap: String,
    /// The task that the bitmap begins with; None: 0.
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
    /// Time of day at the end in milliseconds: jobs that depend on it are ready since then.
    #[serde(rename = "at_ms", default, skip_serializing_if = "Option::is_none")]
    pub ended_at_ms: Option<u64>,
}

/// `h/all`: what the run time predictor has learned.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HistogramsRecord {
    /// Histogram of all keys together, in base64.
    pub pooled: String,
    /// Key, observations, share of censored ones (lost tasks), histogram in base64.
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

/// `h/images`: which images are in the caches of which machines, a hint for the next
/// leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageCacheRecord {
    /// Machine names in order, front coded; see [`ImageCacheRecord::front_coded`].
    #[serde(rename = "machines")]
    pub front_coded_machines: Vec<String>,
    /// Number of the image, its size in GB, and a bitmap in base64 over the machines.
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

/// Base of the digit that counts shared characters.
const SHARED_RADIX: u32 = 36;

impl ImageCacheRecord {
    /// A name front coded: the number of characters that it shares with the one before it,
    /// in one digit of base 36, and the rest. In full the names of 1,800 machines left no
    /// room in a value.
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

    /// The machines' names in full.
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
        self.parts
    }

    fn in_chunks(chunks: ChunkSet) -> Self {
        AdmissionValue {
            parts: Some(chunks),
            ..AdmissionValue::default()
        }
    }

    fn into_record(self) -> StoredRecord {
        StoredRecord::Admission(Box::new(self))
    }
}
