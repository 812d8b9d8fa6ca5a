//! Number and delay of retries of failed requests.

/// Maximum number of attempts of each read of the key-value store while a new leader recovers
/// its state.
pub const RECOVERY_READ_ATTEMPTS_MAX: u32 = 20;

/// Seconds before the second attempt of a recovery read.
pub const RECOVERY_READ_DELAY_FIRST_S: f64 = 0.1;

/// Maximum delay in seconds between two attempts of a recovery read.
pub const RECOVERY_READ_DELAY_MAX_S: f64 = 0.2;

/// Maximum number of attempts of a leader's write before it is left to the next round.
pub const COMMIT_ATTEMPTS_MAX: u32 = 6;

/// Seconds before the second attempt of a leader's write.
pub const COMMIT_DELAY_FIRST_S: f64 = 0.05;

/// Maximum delay in seconds between two attempts of a leader's write.
pub const COMMIT_DELAY_MAX_S: f64 = 0.1;

/// Maximum number of retries in a client's retry budget: if all requests fail, this many are
/// retried.
pub const RETRY_BUDGET_MAX: f64 = 20.0;

/// Number of retries that each response adds to the budget: if a fifth of all requests fail,
/// nearly all failed requests are retried.
pub const RETRY_BUDGET_PER_RESPONSE: f64 = 0.5;

/// Maximum number of attempts to cancel a job whose record changes meanwhile.
pub const CANCEL_ATTEMPTS_MAX: u32 = 3;

/// Maximum number of requests for one comparison that serves a batch of status queries: as many
/// as are sent every [`STATUS_QUERY_REQUEST_INTERVAL_S`] within [`STATUS_QUERY_BATCH_TIMEOUT_S`].
pub const STATUS_QUERY_REQUESTS_MAX: usize = 8;

/// Seconds without a response before the next request for the same comparison; most responses
/// take under 10 ms.
pub const STATUS_QUERY_REQUEST_INTERVAL_S: f64 = 0.2;

/// Timeout in seconds of a batch of status queries, including its task counts for display:
/// together with the preceding
/// [`STATUS_QUERY_BATCH_INTERVAL_S`](crate::STATUS_QUERY_BATCH_INTERVAL_S) and the network delay
/// to the user it stays below the 2 s that users wait.
pub const STATUS_QUERY_BATCH_TIMEOUT_S: f64 = 1.7;
