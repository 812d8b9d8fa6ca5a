//! Watches for changes of the keys with a prefix.

use super::{StoreClient, decode};
use crate::rate_limiter::RequestPriority;
use crate::{NetError, NotExecutedCause};
use cherrywood_limits as limits;
use cherrywood_wire::store::WatchResponse;
use serde::de::DeserializeOwned;

impl StoreClient {
    /// Returns all changes of keys with a prefix after the revision `from`, up to some moment
    /// after the request was sent; None if the store no longer has changes that old. If nothing
    /// changes, the response comes after [`limits::VIEW_WATCH_HOLD_S`].
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::get`], but every unexpected status is
    /// [`NetError::NotExecuted`].
    pub async fn watch<V: DeserializeOwned>(
        &self,
        prefix: &str,
        from: u64,
    ) -> Result<Option<WatchResponse<V>>, NetError> {
        let hold_ms = (limits::VIEW_WATCH_HOLD_S * 1000.0) as u64;
        let path = format!("/watch?starts={prefix}&from={from}&hold_ms={hold_ms}");
        self.acquire(&self.read_rate, RequestPriority::Critical, 1.0, &path)
            .await?;
        let timeout_s = limits::VIEW_WATCH_HOLD_S + limits::STORE_TIMEOUT_S;
        let response = self.watch_http.send("GET", &path, None, timeout_s).await?;
        match response.status {
            200 => decode(&path, &response.body).map(Some),
            410 => Ok(None),
            status => Err(NetError::not_executed(
                &path,
                NotExecutedCause::Status(status),
            )),
        }
    }
}
