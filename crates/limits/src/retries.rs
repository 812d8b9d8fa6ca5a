//! How often and how fast failed requests are repeated.

/// Attempts at each read of the store while a new leader recovers its state.
pub const RECOVERY_READ_ATTEMPTS_MAX: u32 = 20;

/// Seconds before the second of them.
pub const RECOVERY_READ_DELAY_FIRST_S: f64 = 0.1;

/// Longest delay in seconds between two of them.
pub const RECOVERY_READ_DELAY_MAX_S: f64 = 0.2;

/// Attempts of a leader's write before it is left to the next round.
pub const COMMIT_ATTEMPTS_MAX: u32 = 6;

/// Seconds before the second of them.
pub const COMMIT_DELAY_FIRST_S: f64 = 0.05;

/// Longest delay in seconds between two of them.
pub const COMMIT_DELAY_MAX_S: f64 = 0.1;

/// Retries that a client's retry budget holds at most: if all requests fail, this many are
/// retried.
pub const RETRY_BUDGET_MAX: f64 = 20.0;

/// Retries that each answer adds to the budget: with a fifth of all requests failing, nearly
/// all failed ones are retried.
pub const RETRY_BUDGET_PER_ANSWER: f64 = 0.5;

/// Attempts to cancel a job whose record changes meanwhile.
pub const CANCEL_ATTEMPTS_MAX: u32 = 3;

/// Requests in all for one comparison that answers status queries: as many as are sent at
/// [`POLL_REQUEST_INTERVAL_S`] within [`POLL_BATCH_TIMEOUT_S`].
pub const POLL_REQUESTS_MAX: usize = 8;

/// Seconds without a response before the next of them; most responses take under 10 ms.
pub const POLL_REQUEST_INTERVAL_S: f64 = 0.2;

/// Timeout in seconds of a batch of status queries, its counts for display included: with
/// [`POLL_BATCH_INTERVAL_S`](crate::POLL_BATCH_INTERVAL_S) before it and the way to the user it
/// stays below the 2 s that users wait.
pub const POLL_BATCH_TIMEOUT_S: f64 = 1.7;
