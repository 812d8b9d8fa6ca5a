//! Reads of single keys and of keys by prefix.

use super::{StoreClient, decode, unexpected};
use crate::NetError;
use crate::rate_limiter::RequestPriority;
use cherrywood_wire::store::{KeyValue, KeyValuePage};
use serde::de::DeserializeOwned;

/// Keys in a page of [`StoreClient::list`].
const LIST_PAGE_KEYS: usize = 500;

/// A record that may be unreadable: one such must not hide the others of its page.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(untagged)]
pub enum Readable<V> {
    /// A record of the expected type.
    Ok(V),
    /// Anything else.
    Bad(serde::de::IgnoredAny),
}

impl<V> Readable<V> {
    /// The record; if it is unreadable, the log names its key, and it is left as it is.
    pub fn ok(self, key: &str) -> Option<V> {
        match self {
            Readable::Ok(v) => Some(v),
            Readable::Bad(_) => {
                tracing::warn!(key, "unreadable record, left as it is");
                None
            }
        }
    }
}

/// What a prefix holds, read page by page: a change between two pages may show or not.
#[derive(Debug)]
pub struct Listing<V> {
    /// The keys whose records can be read, in order.
    pub rows: Vec<KeyValue<V>>,
    /// The other keys.
    pub unreadable_keys: Vec<String>,
    first_revision: Option<u64>,
    /// The store's revision at the last page.
    pub last_revision: u64,
}

impl<V> Listing<V> {
    /// The store's revision at the first page: to watch on from.
    pub fn first_revision(&self) -> u64 {
        self.first_revision.unwrap_or(self.last_revision)
    }

    fn add(&mut self, page: KeyValuePage<Readable<V>>) {
        self.first_revision.get_or_insert(page.revision);
        self.last_revision = page.revision;
        for item in page.items {
            match item.value.ok(&item.key) {
                Some(value) => self.rows.push(KeyValue {
                    value,
                    key: item.key,
                    revision: item.revision,
                    lease: item.lease,
                }),
                None => self.unreadable_keys.push(item.key),
            }
        }
    }
}

impl StoreClient {
    /// The key's value; None if it does not exist.
    ///
    /// # Errors
    ///
    /// [`NetError::NotExecuted`] if the rate's share is used up or the store refuses,
    /// [`NetError::OutcomeUnknown`] without a response, [`NetError::InvalidResponse`] or
    /// [`NetError::UnexpectedStatus`] for one outside the protocol.
    pub async fn get<V: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<KeyValue<V>>, NetError> {
        self.get_with_priority(key, RequestPriority::Critical).await
    }

    /// The key's value, read with a priority of the caller's.
    ///
    /// # Errors
    ///
    /// As of [`StoreClient::get`].
    pub async fn get_with_priority<V: DeserializeOwned>(
        &self,
        key: &str,
        priority: RequestPriority,
    ) -> Result<Option<KeyValue<V>>, NetError> {
        let path = format!("/keys/{key}");
        let response = self.call(priority, "GET", &path, None).await?;
        match response.status {
            200 => decode(&path, &response.body).map(Some),
            404 => Ok(None),
            status => Err(unexpected(&path, status)),
        }
    }

    /// All keys with a prefix.
    ///
    /// # Errors
    ///
    /// As of [`StoreClient::get`], if any page fails.
    pub async fn list<V: DeserializeOwned>(&self, prefix: &str) -> Result<Listing<V>, NetError> {
        let mut listing = Listing {
            rows: Vec::new(),
            unreadable_keys: Vec::new(),
            first_revision: None,
            last_revision: 0,
        };
        let mut last_key = None;
        loop {
            let page: KeyValuePage<Readable<V>> = self
                .list_page(prefix, last_key.as_deref(), LIST_PAGE_KEYS)
                .await?;
            last_key = page.items.last().map(|i| i.key.clone());
            let more = page.more && last_key.is_some();
            listing.add(page);
            if !more {
                return Ok(listing);
            }
        }
    }

    /// At most `limit` keys with a prefix, those after the key `from`.
    ///
    /// # Errors
    ///
    /// As of [`StoreClient::get`].
    pub async fn list_page<V: DeserializeOwned>(
        &self,
        prefix: &str,
        from: Option<&str>,
        limit: usize,
    ) -> Result<KeyValuePage<V>, NetError> {
        let from = from.map_or(String::new(), |from| format!("&from={from}"));
        let path = format!("/keys?starts={prefix}&limit={limit}{from}");
        let response = self
            .call(RequestPriority::Critical, "GET", &path, None)
            .await?;
        match response.status {
            200 => decode(&path, &response.body),
            status => Err(unexpected(&path, status)),
        }
    }
}
