//! Outcomes of the leader's transactions.

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// Applied at this revision.
    Applied(u64),
    /// Not applied, because these keys had changed.
    Conflict(Vec<String>),
    /// Certainly not applied, for a reason other than its guards: it may be sent again unchanged.
    Refused,
    /// Unknown: whether it was applied is found by reading what it would have written.
    Unknown,
}
