//! Contact between controllers, workers and the key-value store, and detection of its loss.

/// Seconds between two hello messages to every other controller.
pub const HELLO_INTERVAL_S: f64 = 1.0;

/// Seconds without a response from the key-value store after which a controller reports itself
/// unhealthy, if another controller still has contact.
pub const STORE_CONTACT_LOST_S: f64 = 3.0;

/// Seconds after the key-value store's last response for which a controller tells the others
/// that it has contact.
pub const STORE_CONTACT_ANNOUNCED_S: f64 = 1.0;

/// Seconds by which another controller's contact with the key-value store must be newer than a
/// controller's own last response to mean that only this controller has lost contact: the sum of
/// [`STORE_CONTACT_ANNOUNCED_S`], the longest gap between two requests of a controller without
/// work ([`LEADER_RENEW_INTERVAL_S`](crate::LEADER_RENEW_INTERVAL_S)), and a round trip.
pub const STORE_CONTACT_PEER_LEAD_S: f64 = 2.25;

/// Seconds after its start from which a controller without any response from the key-value store
/// accepts the others' report that the store has an outage: time for a few attempts of its own.
pub const STORE_FIRST_CONTACT_S: f64 = 1.0;

/// Seconds that a shard owner waits for the leader's response; far below the worker's 4 s.
pub const HEARTBEAT_FORWARD_TIMEOUT_S: f64 = 1.2;

/// Seconds that a heartbeat waits for other heartbeats to share its frame to the leader.
pub const HEARTBEAT_BATCH_DELAY_S: f64 = 0.03;

/// Maximum number of heartbeats and tasks in one frame to the leader, some 40 bytes each; the
/// frame is bounded by [`PEER_FRAME_BYTES_MAX`](crate::PEER_FRAME_BYTES_MAX) as well. The rest
/// goes into the next frame, [`HEARTBEAT_BATCH_DELAY_S`] later.
pub const HEARTBEAT_FRAME_ITEMS_MAX: usize = 3000;

/// Timeout in seconds of direct commands to a worker.
pub const DIRECT_COMMAND_TIMEOUT_S: f64 = 1.5;

/// Timeout in seconds for another controller to send direct commands and report their outcome:
/// longer than [`DIRECT_COMMAND_TIMEOUT_S`].
pub const PEER_DIRECT_COMMANDS_TIMEOUT_S: f64 = 2.2;

/// Seconds between two passes over the machines that the leader contacts directly: silent
/// machines with work that is over, and machines whose heartbeats appear outdated.
pub const DIRECT_CONTACT_INTERVAL_S: f64 = 1.0;

/// Maximum number of machines contacted directly at a time; each partitioned machine occupies a
/// socket for [`DIRECT_COMMAND_TIMEOUT_S`].
pub const DIRECT_CONTACT_MACHINES_MAX: usize = 40;

/// Heartbeat intervals that a worker may miss before no further tasks are placed on it.
pub const MISSED_HEARTBEATS_MAX: f64 = 2.5;

/// Heartbeat intervals for which a machine may present an older fencing token than the one in
/// the response to it, before responses to it count as lost (a one-way partition).
pub const UNACKNOWLEDGED_HEARTBEATS_MAX: f64 = 2.5;

/// Seconds added to [`UNACKNOWLEDGED_HEARTBEATS_MAX`] heartbeat intervals.
pub const UNACKNOWLEDGED_EXTRA_S: f64 = 2.0;

/// Seconds for which a shard owner remembers a machine that stopped sending heartbeats to it.
pub const SILENT_MACHINE_MEMORY_S: f64 = 120.0;

/// Seconds for which late heartbeats of a deleted machine are recognized; messages may be
/// minutes late.
pub const DELETED_MACHINE_MEMORY_S: f64 = 600.0;

/// Delay in seconds of a timer from which the log reports that the process was paused.
pub const PAUSE_LOGGED_S: f64 = 1.0;
