//! Networking of cherrywood: the runtime environment that a process runs in, an HTTP/1.1
//! server and client, remote calls between controllers, rate limits and retries, and clients
//! of the key-value store and the cloud.
//!
//! This package transports requests; it must never depend on the packages that make decisions.

#![deny(missing_docs)]

pub mod client;
pub mod cloud;
pub mod connection_pool;
mod error;
pub mod hedge;
mod idle_connections;
pub mod peer;
pub mod rate_limiter;
pub mod retry;
pub mod runtime;
pub mod server;
pub mod store_client;

pub use error::{NetError, NotExecutedCause};
pub use runtime::{Listener, Runtime, Stream};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if it is poisoned. The data that the mutexes of this package guard is
/// consistent after every step, so a panic while one was held leaves it usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
