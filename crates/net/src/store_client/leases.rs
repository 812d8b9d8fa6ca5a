//! Leases: keys attached to a lease are removed when it ends.

use super::{StoreClient, decode, unexpected};
use crate::NetError;
use crate::rate_limiter::RequestPriority;
use cherrywood_wire::store::{LeaseRequest, LeaseResponse};

impl StoreClient {
    /// Grants a lease that ends `ttl_s` seconds after its last renewal; returns its id.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::get`].
    pub async fn grant_lease(&self, ttl_s: f64) -> Result<u64, NetError> {
        let path = "/leases";
        let body = cherrywood_wire::encode(&LeaseRequest {
            ttl_ms: (ttl_s * 1000.0) as u64,
        });
        let response = self
            .call(RequestPriority::Critical, "POST", path, Some(&body))
            .await?;
        match response.status {
            200 => decode::<LeaseResponse>(path, &response.body).map(|lease| lease.id),
            status => Err(unexpected(path, status)),
        }
    }

    /// Renews a lease; returns false if it has ended.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::get`].
    pub async fn renew_lease(&self, id: u64) -> Result<bool, NetError> {
        let path = format!("/leases/{id}/touch");
        let response = self
            .call(RequestPriority::Critical, "POST", &path, None)
            .await?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(unexpected(&path, status)),
        }
    }

    /// Ends a lease at once; succeeds even if it no longer exists.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::get`], but every status other than a refusal counts as success.
    pub async fn revoke_lease(&self, id: u64) -> Result<(), NetError> {
        let path = format!("/leases/{id}");
        self.call(RequestPriority::Critical, "DELETE", &path, None)
            .await?;
        Ok(())
    }
}
