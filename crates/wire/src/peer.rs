//! Messages between controllers: `bitcode` frames, each preceded by its length (4 bytes,
//! big-endian).
//!
//! A frame depends on the order and types of the fields and variants here, so neither may
//! change while another version runs. A connection carries one request at a time and ends
//! with the process, so no reply can be taken for that of another request or process.

use crate::admission::{AdmissionTable, RefusedJob, TableVersion};
use crate::agent::{Command, DirectCommands, Heartbeat};
use bitcode::{Decode, Encode};

/// A request from one controller to another.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// Sent every second to every other controller; the leader's reply renews the sender's
    /// shard of machines.
    Hello {
        /// Label of the sender.
        from: String,
        /// Whether the sender gets responses from the key-value store.
        store_reachable: bool,
        /// Version of the admission table that the sender has.
        table_version: TableVersion,
        /// Jobs that the sender refused and that the receiver hasn't acknowledged yet.
        refused: Vec<RefusedJob>,
    },
    /// Workers' heartbeats, forwarded to the leader.
    Heartbeats {
        /// Label of the sender, which owns the workers' shard.
        from: String,
        /// Heartbeats, each with the run times in seconds that the shard owner measured, by
        /// task.
        heartbeats: Vec<(Heartbeat, Vec<(String, f64)>)>,
    },
    /// The leader's commands, which the owner of the machines' shard sends to the workers.
    DirectCommands {
        /// Machine, address of its worker, and commands.
        commands: Vec<(String, String, DirectCommands)>,
    },
    /// Requests from the leader how many tasks of each job are done and running, for display.
    TaskCounts {
        /// Job ids.
        jobs: Vec<String>,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// The reply to [`PeerRequest::Hello`].
    Hello {
        /// Label of the replying controller.
        from: String,
        /// Random number that distinguishes this process from others with its label.
        process_id: u64,
        /// Whether the replying controller gets responses from the key-value store.
        store_reachable: bool,
        /// The term in which the replying controller leads, if it does.
        leading_term: Option<u64>,
        /// The whole shard of the requesting controller: machines with their fencing tokens.
        shard: Vec<(String, u64)>,
        /// The admission table, if it is newer than the requesting controller's.
        table: Option<Box<AdmissionTable>>,
    },
    /// The reply to [`PeerRequest::Heartbeats`]: for each heartbeat the fencing token and the
    /// commands of its response; None if the worker must get no response.
    Heartbeats {
        /// The responses, in the order of the heartbeats.
        responses: Vec<Option<(u64, Vec<Command>)>>,
    },
    /// The reply to [`PeerRequest::DirectCommands`]: for each worker whether its commands were
    /// executed; None if that is unknown.
    DirectCommands {
        /// The results, in the order of the commands.
        executed: Vec<Option<bool>>,
    },
    /// The reply to [`PeerRequest::TaskCounts`].
    TaskCounts {
        /// Numbers of tasks done and running, in the order of the jobs.
        counts: Vec<(u32, u32)>,
    },
    /// The controller does not lead, or can't fulfil the request.
    Declined,
}
