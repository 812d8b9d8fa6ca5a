//! Bounds of messages and connections, and timeouts of requests.

/// Maximum bytes of a request's body and of a response's body (protocol).
pub const BODY_BYTES_MAX: usize = 64 * 1024;

/// Maximum bytes of a request's head.
pub const HEAD_BYTES_MAX: usize = 8 * 1024;

/// Maximum bytes of a response from the key-value store or the cloud. Responses to watches have
/// no limit there, so this bounds memory: all 10,000 changes that a watch can ask for take some
/// 5 MB.
pub const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Maximum bytes of a frame to another controller: the previous version accepts no larger one.
/// The shard of 4,000 machines takes some 70 KiB of it.
pub const PEER_FRAME_BYTES_MAX: usize = 256 * 1024;

/// Bytes of heartbeat responses in a frame after which no further response is added; one response
/// has at most [`BODY_BYTES_MAX`].
pub const PEER_FRAME_RESPONSES_BYTES_MAX: usize = PEER_FRAME_BYTES_MAX - BODY_BYTES_MAX;

/// Maximum seconds for a whole request to arrive.
pub const REQUEST_TIMEOUT_S: f64 = 10.0;

/// Seconds for which an idle connection stays open.
pub const IDLE_CONNECTION_TIMEOUT_S: f64 = 75.0;

/// Seconds for which binding to an address in use is retried: longer than a killed predecessor
/// takes to exit, and short enough that a mistake in the settings is noticed soon.
pub const BIND_RETRY_FOR_S: f64 = 3.0;

/// Seconds between two attempts to bind to an address in use.
pub const BIND_RETRY_INTERVAL_S: f64 = 0.05;

/// Seconds before another attempt to accept a connection after sockets ran out.
pub const ACCEPT_RETRY_S: f64 = 0.05;

/// Share of the platform's sockets that served connections may use.
pub const SERVED_SOCKETS_SHARE: f64 = 0.8;

/// Minimum number of served connections, however few sockets the platform provides.
pub const SERVED_CONNECTIONS_MIN: usize = 16;

/// Open connections, as a share of those that may be served, up to which a user's connection is
/// kept open after a response. The connections reserved by [`ACTIVE_USER_CONNECTIONS_SHARE`] count
/// as open.
pub const KEEP_USER_CONNECTIONS_SHARE: f64 = 0.65;

/// Open connections, as a share of those that may be served, up to which a worker's connection
/// is kept open after a response: the quarter above [`KEEP_USER_CONNECTIONS_SHARE`] is reserved for
/// workers, and the rest is left for new connections and heartbeats, so that idle connections
/// are seldom evicted.
pub const KEEP_WORKER_CONNECTIONS_SHARE: f64 = 0.9;

/// Share of the served connections on which users' requests may be handled at a time: if all
/// their responses are slow, the rest is left to heartbeats.
pub const ACTIVE_USER_CONNECTIONS_SHARE: f64 = 0.5;

/// Seconds for which an unused client connection is kept open.
pub const KEEP_ALIVE_S: f64 = 15.0;

/// Maximum number of unused connections kept open to one address.
pub const KEEP_ALIVE_CONNECTIONS_MAX: usize = 6;

/// Maximum number of unused connections kept open to another controller: one for each heartbeat
/// frame in flight.
pub const KEEP_ALIVE_PEER_CONNECTIONS_MAX: usize = 16;

/// Timeout in seconds of the command line client's requests, equal to the users' timeout.
pub const CLI_TIMEOUT_S: f64 = 5.0;

/// Timeout in seconds of a request to the key-value store; users wait 2 s for a status query.
pub const STORE_TIMEOUT_S: f64 = 0.9;

/// Timeout in seconds of a request to the cloud.
pub const CLOUD_TIMEOUT_S: f64 = 8.0;

/// Seconds that a status query waits for the leader's task counts, which are only for display,
/// before the key-value store is read: together with that request's own timeout well below the
/// users' 2 s.
pub const TASK_COUNTS_TIMEOUT_S: f64 = 0.4;

/// `Retry-After` in seconds for a user whose request is refused because the controller is busy.
pub const RETRY_AFTER_BUSY_S: u64 = 1;
