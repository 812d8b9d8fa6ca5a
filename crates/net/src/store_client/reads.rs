//! Reads of single keys and of all keys with a prefix.

use super::{StoreClient, decode, unexpected};
use crate::NetError;
use crate::rate_limiter::RequestPriority;
use cherrywood_wire::store::{KeyValue, KeyValuePage};
use serde::de::DeserializeOwned;

/// Keys in a page of [`StoreClient::list`].
const LIST_PAGE_KEYS: usize = 500;

/// A record that may be unreadable. One unreadable record must not hide the others of its
/// page.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(untagged)]
pub enum Readable<V> {
    /// A record of the expected type.
    Ok(V),
    /// Anything else.
    Bad(serde::de::IgnoredAny),
}

impl<V> Readable<V> {
    /// Returns the record. An unreadable one is logged with its key and left unchanged in the
    /// store.
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

/// The keys with a prefix, read page by page: a change between two pages may or may not be
/// included.
#[derive(Debug)]
pub struct Listing<V> {
    /// The keys whose records can be read, in order.
    pub rows: Vec<KeyValue<V>>,
    /// The keys whose records can't be read.
    pub unreadable_keys: Vec<String>,
    first_revision: Option<u64>,
    /// The store's revision at the last page.
    pub last_revision: u64,
}

impl<V> Listing<V> {
    /// Returns the store's revision at the first page, from which a watch can continue.
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
    /// Returns the key with its value; None if it does not exist.
    ///
    /// # Errors
    ///
    /// [`NetError::NotExecuted`] if the share of the rate is used up or the store refuses,
    /// [`NetError::OutcomeUnknown`] if there is no response, [`NetError::InvalidResponse`] or
    /// [`NetError::UnexpectedStatus`] if the response doesn't follow the protocol.
    pub async fn get<V: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<KeyValue<V>>, NetError> {
        self.get_with_priority(key, RequestPriority::Critical).await
    }

    /// Like [`StoreClient::get`], with a priority that the caller chooses.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::get`].
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

    /// Reads all keys with a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::get`], if any page fails.
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

    /// Reads a page of at most `limit` keys with a prefix, starting after the key `from`.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::get`].
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
