//! Errors of requests that have no usable response.

/// The outcome of a request that has no usable response. `request` names it: method, path and
/// address, or what was asked of another controller.
#[derive(Debug, thiserror::Error, Clone, PartialEq, Eq)]
pub enum NetError {
    /// The request was certainly not executed, so it may be repeated unchanged.
    #[error("{request}: not executed: {cause}")]
    NotExecuted {
        /// The request.
        request: String,
        /// Why it was not executed.
        cause: NotExecutedCause,
    },
    /// The request may have been executed, or may still be: the connection failed or the
    /// request timed out.
    #[error("{request}: outcome unknown: {cause}")]
    OutcomeUnknown {
        /// The request.
        request: String,
        /// How it failed.
        cause: String,
    },
    /// The request was not executed because of its size; a smaller one may be.
    #[error("{request}: larger than the key-value store accepts")]
    TooLarge {
        /// The request.
        request: String,
    },
    /// The response has a status that the protocol does not give for this request.
    #[error("{request}: unexpected status {status}")]
    UnexpectedStatus {
        /// The request.
        request: String,
        /// The response's status.
        status: u16,
    },
    /// The response can't be parsed or decoded.
    #[error("{request}: invalid response: {problem}")]
    InvalidResponse {
        /// The request.
        request: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// Why a request was not executed.
#[derive(Debug, thiserror::Error, Clone, PartialEq, Eq)]
pub enum NotExecutedCause {
    /// No connection could be opened.
    #[error("can't connect: {0}")]
    Connect(String),
    /// No connection was opened in time.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The server refused the request with this status.
    #[error("status {0}")]
    Status(u16),
    /// This controller's share of the store's rate limits is used up for longer than the
    /// request may wait.
    #[error("over this controller's share of the rate")]
    OverRateShare,
    /// The cloud has no machines of the requested kind.
    #[error("no capacity")]
    NoCapacity,
    /// Another controller has become the leader.
    #[error("no longer the leader")]
    LeadershipLost,
}

impl NetError {
    /// Creates the error for an invalid response to a request.
    pub fn invalid(request: &str, problem: impl ToString) -> NetError {
        NetError::InvalidResponse {
            request: request.to_string(),
            problem: problem.to_string(),
        }
    }

    /// Creates the error for a request whose outcome is unknown.
    pub(crate) fn unknown(request: &str, cause: impl ToString) -> NetError {
        NetError::OutcomeUnknown {
            request: request.to_string(),
            cause: cause.to_string(),
        }
    }

    /// Creates the error for a request that was not executed.
    pub fn not_executed(request: &str, cause: NotExecutedCause) -> NetError {
        NetError::NotExecuted {
            request: request.to_string(),
            cause,
        }
    }
}
