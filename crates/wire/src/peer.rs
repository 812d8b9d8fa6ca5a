//! Controllers <-> controllers: `bitcode` frames, each behind its length
//! (4 bytes, big-endian) and the number of the request it belongs to.

use crate::agent::{Command, Report};
use bitcode::{Decode, Encode};

#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Request {
    /// Sent every second to every peer; the leader's answer renews the
    /// sender's block of machines.
    Hello { from: String, state_ok: bool },
    /// A worker's report, with the run times its holder measured.
    Report {
        from: String,
        report: Report,
        finished: Vec<(String, f64)>,
    },
    /// How many tasks of a job are done and running, for display.
    Counts { job: String },
}

#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Reply {
    Hello {
        from: String,
        state_ok: bool,
        /// The epoch in which the answering node leads, if it does.
        leads: Option<u64>,
        /// Machine and token, the whole block of the asking node.
        block: Vec<(String, u64)>,
    },
    Report {
        token: u64,
        commands: Vec<Command>,
    },
    Counts {
        done: u32,
        running: u32,
    },
    /// The node does not lead, or has nothing to say.
    No,
}
