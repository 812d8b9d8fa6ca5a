//! Client of the key-value store.
//!
//! The client keeps to this controller's share of the store's rate limits and knows the size
//! limits that everything written must fit. Reads, transactions, leases and watches have a
//! module each.
//!
//! Every request waits for its share of the rate, then for the response, each for at most
//! [`limits::STORE_TIMEOUT_S`] (a watch also for its hold). If a call is dropped before it
//! completes, its request may have been sent and may be executed, even minutes later; the
//! response is lost.

mod leases;
mod reads;
#[cfg(test)]
mod tests;
mod transactions;
mod watch;

pub use reads::{Listing, Readable};
pub use transactions::TxnOutcome;

use crate::client::{ClientResponse, HttpClient};
use crate::rate_limiter::{RateLimiter, RequestPriority};
use crate::retry::RetryBudget;
use crate::{NetError, NotExecutedCause, Runtime, lock};
use cherrywood_limits as limits;
use cherrywood_limits::store_limits::StoreLimits;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Mutex;

/// A client of the key-value store.
#[derive(Debug)]
pub struct StoreClient {
    runtime: Runtime,
    http: HttpClient,
    /// Watches are held by the store, so they have connections of their own.
    watch_http: HttpClient,
    read_rate: RateLimiter,
    write_rate: RateLimiter,
    limits: Mutex<StoreLimits>,
    controllers: f64,
    /// Shared by all code that repeats requests to the store.
    pub retries: RetryBudget,
}

impl StoreClient {
    /// Creates a client for a store whose rate limits this number of controllers share. The
    /// client begins with a follower's share: if followers began with equal shares of the reads,
    /// these and the leader's share would add up to 1.35 times the rate, and the store would
    /// refuse the leader's writes, too.
    pub fn new(
        runtime: &Runtime,
        address: SocketAddr,
        limits: StoreLimits,
        controllers: usize,
    ) -> Self {
        let controllers = controllers.max(1) as f64;
        let client = StoreClient {
            runtime: runtime.clone(),
            http: HttpClient::new(runtime, address),
            watch_http: HttpClient::new(runtime, address),
            read_rate: RateLimiter::new(limits.rps / controllers),
            write_rate: RateLimiter::new(limits.write_rps / controllers),
            limits: Mutex::new(limits),
            controllers,
            retries: RetryBudget::default(),
        };
        client.set_leading(false);
        client
    }

    /// Returns the limits that everything written must fit.
    pub fn limits(&self) -> StoreLimits {
        *lock(&self.limits)
    }

    /// Allows values that don't fit one record to be split into chunks; called once every
    /// controller understands them.
    pub fn enable_chunks(&self) {
        lock(&self.limits).enable_chunks();
    }

    /// Sets the rates to a leader's or a follower's share. The leader does most of the writing;
    /// the followers divide the rest of the reads.
    pub fn set_leading(&self, leading: bool) {
        let limits = self.limits();
        let alone = self.controllers <= 1.0;
        let read_share = match (leading, alone) {
            (_, true) => 1.0,
            (true, false) => limits::LEADER_RATE_SHARE,
            (false, false) => (1.0 - limits::LEADER_RATE_SHARE) / (self.controllers - 1.0),
        };
        self.read_rate.set_rate(limits.rps * read_share);
        // Followers write seldom, and then in bursts of submissions that should not wait:
        // they keep an equal share of the writes, most of which goes unused.
        let write_share = if leading {
            read_share
        } else {
            1.0 / self.controllers
        };
        self.write_rate.set_rate(limits.write_rps * write_share);
    }

    /// Waits until the rate allows `tokens`, unless that would take longer than
    /// [`limits::STORE_TIMEOUT_S`].
    async fn acquire(
        &self,
        rate: &RateLimiter,
        priority: RequestPriority,
        tokens: f64,
        request: &str,
    ) -> Result<(), NetError> {
        let deadline = self.runtime.now() + limits::STORE_TIMEOUT_S;
        loop {
            let now = self.runtime.now();
            let Some(wait_s) = rate.try_acquire(priority, tokens, now) else {
                return Ok(());
            };
            if now + wait_s > deadline {
                let cause = NotExecutedCause::OverRateShare;
                return Err(NetError::not_executed(request, cause));
            }
            self.runtime.sleep(wait_s).await;
        }
    }

    /// Sends one request; a refusal by the store (503, 429) is an error.
    async fn call(
        &self,
        priority: RequestPriority,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<ClientResponse, NetError> {
        self.acquire(&self.read_rate, priority, 1.0, path).await?;
        let response = self
            .http
            .send(method, path, body, limits::STORE_TIMEOUT_S)
            .await?;
        match response.status {
            status @ (503 | 429) => {
                let cause = NotExecutedCause::Status(status);
                Err(NetError::not_executed(&format!("{method} {path}"), cause))
            }
            _ => {
                self.retries.record_response();
                Ok(response)
            }
        }
    }
}

/// Decodes the body of a response to `request`.
fn decode<T: DeserializeOwned>(request: &str, body: &[u8]) -> Result<T, NetError> {
    cherrywood_wire::decode(body).map_err(|e| NetError::invalid(request, e))
}

/// Creates the error for a status that the protocol does not give for `request`.
fn unexpected(request: &str, status: u16) -> NetError {
    NetError::UnexpectedStatus {
        request: request.to_string(),
        status,
    }
}
