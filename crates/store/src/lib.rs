//! The key-value store's semantics as a library: a small, consistent in-memory store with
//! compare-and-swap transactions, revisions, leases and watches, and the HTTP responses that
//! the protocol prescribes for them.
//!
//! The library has no clock and does no I/O: the time is always an argument, in seconds on a
//! steady clock. The simulator and the controllers' tests use it; a controller must never
//! depend on it.

#![deny(missing_docs)]

mod change_log;
mod key_value_store;
mod leases;
mod service;
mod token_bucket;
mod validation;

pub use change_log::Compacted;
pub use key_value_store::{KeyValueStore, StoreSize, TxnOutcome};
pub use service::{HeldWatch, ServiceLimits, ServiceReply, StoreService};
pub use token_bucket::TokenBucket;
pub use validation::{InvalidRequest, SizeLimits};
