//! Client of the cloud's API.

use crate::client::HttpClient;
use crate::rate_limiter::{RateLimiter, RequestPriority};
use crate::{NetError, NotExecutedCause, Runtime};
use cherrywood_limits as limits;
use cherrywood_wire::cloud::{
    ListedMachine, MachineListPage, MachineNames, MachineType, MachineTypes, RentalRequest,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Share of the cloud's rate limit that the leader uses. Apart from the leader, controllers
/// only read the machine types when they start; the rest is left for that.
const RATE_SHARE: f64 = 0.85;

/// Lower bound of the rate in requests per second, whatever the settings say.
const RATE_MIN_RPS: f64 = 1.0;

/// Machines in a page of the list: the maximum that the protocol allows.
const LIST_PAGE_MACHINES: usize = 500;

/// A client of the cloud's API that keeps to its rate limit.
///
/// Every call first waits until the rate limit allows it, then at most
/// [`limits::CLOUD_TIMEOUT_S`] for the response. If a call is dropped before it completes, its
/// request may have been sent and may be executed, even minutes later.
#[derive(Debug)]
pub struct CloudClient {
    runtime: Runtime,
    http: HttpClient,
    rate_limiter: RateLimiter,
}

impl CloudClient {
    /// Creates a client for a cloud that allows `rps` requests per second.
    pub fn new(runtime: &Runtime, address: SocketAddr, rps: f64) -> Self {
        CloudClient {
            runtime: runtime.clone(),
            http: HttpClient::new(runtime, address),
            rate_limiter: RateLimiter::new((rps * RATE_SHARE).max(RATE_MIN_RPS)),
        }
    }

    /// Returns the machine types with their current prices.
    ///
    /// # Errors
    ///
    /// Those of [`HttpClient::send`], [`NetError::NotExecuted`] if the cloud refuses, and
    /// [`NetError::UnexpectedStatus`].
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, NetError> {
        let body = self.call("GET", "/machine_types", None).await?;
        let response: MachineTypes = decode("GET /machine_types", &body)?;
        Ok(response.types)
    }

    /// Rents machines and returns their names; none if the cloud has no capacity.
    ///
    /// # Errors
    ///
    /// Those of [`CloudClient::machine_types`]. After [`NetError::OutcomeUnknown`] the same
    /// request may be sent again: its id makes it idempotent.
    pub async fn rent_machines(&self, request: &RentalRequest) -> Result<Vec<String>, NetError> {
        let body = cherrywood_wire::encode(request);
        match self.call("POST", "/machines", Some(&body)).await {
            Ok(body) => {
                let names: MachineNames = decode("POST /machines", &body)?;
                Ok(names.machines)
            }
            Err(NetError::NotExecuted {
                cause: NotExecutedCause::NoCapacity,
                ..
            }) => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }

    /// Deletes machines. Ok only if the cloud responded with 200, which means that they are
    /// gone. The body of that response is not decoded.
    ///
    /// # Errors
    ///
    /// Those of [`CloudClient::machine_types`]. Only a known status proves the deletion, so a
    /// response that is not acceptable HTTP is an error as well.
    pub async fn delete_machines(&self, names: &[String]) -> Result<(), NetError> {
        let body = cherrywood_wire::encode(&MachineNames {
            machines: names.to_vec(),
        });
        self.call("POST", "/machines/delete", Some(&body)).await?;
        Ok(())
    }

    /// Reads the cloud's list of machines, page by page. The list may be out of date.
    ///
    /// # Errors
    ///
    /// Those of [`CloudClient::machine_types`].
    pub async fn list_machines(&self) -> Result<Vec<ListedMachine>, NetError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let mut path = format!("/machines?limit={LIST_PAGE_MACHINES}");
            if let Some(last) = all.last() {
                path.push_str(&format!("&from={}", last.name));
            }
            let body = self.call("GET", &path, None).await?;
            let page: MachineListPage = decode("GET /machines", &body)?;
            let more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                return Ok(all);
            }
        }
    }

    /// Sends one request and returns the body of a 200 response.
    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<Vec<u8>, NetError> {
        self.wait_for_rate().await;
        let response = self
            .http
            .send(method, path, body, limits::CLOUD_TIMEOUT_S)
            .await?;
        let request = format!("{method} {path} at the cloud");
        match response.status {
            200 => Ok(response.body),
            503 if has_no_capacity(&response.body) => Err(NetError::NotExecuted {
                request,
                cause: NotExecutedCause::NoCapacity,
            }),
            status @ (503 | 429) => Err(NetError::NotExecuted {
                request,
                cause: NotExecutedCause::Status(status),
            }),
            status => Err(NetError::UnexpectedStatus { request, status }),
        }
    }

    async fn wait_for_rate(&self) {
        while let Some(wait_s) =
            self.rate_limiter
                .try_acquire(RequestPriority::Critical, 1.0, self.runtime.now())
        {
            self.runtime.sleep(wait_s).await;
        }
    }
}

/// Text in the cloud's error response if it has no machines of the requested kind.
const NO_CAPACITY: &[u8] = b"no capacity";

fn has_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY.len()).any(|w| w == NO_CAPACITY)
}

fn decode<T: DeserializeOwned>(request: &str, body: &[u8]) -> Result<T, NetError> {
    cherrywood_wire::decode(body).map_err(|e| NetError::invalid(request, e))
}
