//! Client of the key-value store.
//!
//! It keeps to this controller's share of the store's rates and knows the size limits that
//! everything written must fit. Reads, transactions, leases and watches have a module each.
//!
//! Every request waits for its share of the rate, then for the response, each for at most
//! [`limits::STORE_TIMEOUT_S`] (a watch also for its hold). If one is dropped meanwhile, it
//! may have been sent and may be executed, even minutes later; its response is lost.

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
    /// Watches are held, so they have connections of their own.
    watch_http: HttpClient,
    read_rate: RateLimiter,
    write_rate: RateLimiter,
    limits: Mutex<StoreLimits>,
    controllers: f64,
    /// Shared by all that repeat requests to the store.
    pub retries: RetryBudget,
}

impl StoreClient {
    /// A client for a store whose rates this number of controllers share. It begins with a
    /// follower's share: when followers began with equal shares of the reads, these and the
    /// leader's share added up to 1.35 times the rate, and the store refused the leader's
    /// writes, too.
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

    /// The limits that everything written must fit.
    pub fn limits(&self) -> StoreLimits {
        *lock(&self.limits)
    }

    /// From now on values that don't fit one record may be split into chunks: every controller
    /// understands them.
    pub fn enable_chunks(&self) {
        lock(&self.limits).enable_chunks();
    }

    /// Takes a leader's or a follower's share of the rates. The leader does most of the
    /// writing; the others divide the rest of the reads.
    pub fn set_leading(&self, leading: bool) {
        let limits = self.limits();
        let alone = self.controllers <= 1.0;
        let read_share = match (leading, alone) {
            (_, true) => 1.0,
            (true, false) => limits::LEADER_RATE_SHARE,
            (false, false) => (1.0 - limits::LEADER_RATE_SHARE) / (self.controllers - 1.0),
        };
        self.read_rate.set_rate(limits.rps * read_share);
        // Followers write seldom, and then a burst of submissions that should not wait:
        // they keep an equal share of the writes, which they hardly use.
        let write_share = if leading {
            read_share
        } else {
            1.0 / self.controllers
        };
        self.write_rate.set_rate(limits.write_rps * write_share);
    }

    /// Waits for a share of a rate, unless that would take too long.
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
                self.retries.record_answer();
                Ok(response)
            }
        }
    }
}

/// Decodes the body of a response to `request`.
fn decode<T: DeserializeOwned>(request: &str, body: &[u8]) -> Result<T, NetError> {
    cherrywood_wire::decode(body).map_err(|e| NetError::invalid(request, e))
}

/// The error for a status that the protocol does not give for `request`.
fn unexpected(request: &str, status: u16) -> NetError {
    NetError::UnexpectedStatus {
        request: request.to_string(),
        status,
    }
}
