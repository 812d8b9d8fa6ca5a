//! Compare-and-swap transactions.

use super::{StoreClient, decode, unexpected};
use crate::rate_limiter::RequestPriority;
use crate::{NetError, lock};
use cherrywood_wire::records::StoredRecord;
use cherrywood_wire::store::{Change, Guard, Txn, TxnResponse};

/// The outcome of a transaction to which the store responded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// All its changes were applied at this revision.
    Applied(u64),
    /// Nothing was applied: the guards of these keys did not hold.
    Conflict(Vec<String>),
}

/// Names a transaction in errors, by the first key that it changes, or else compares.
fn describe(txn: &Txn) -> String {
    let changed = txn.changes.first().map(|c| match c {
        Change::Put { key, .. } | Change::Delete { key } => key,
    });
    let key = changed.or(txn.guards.first().map(|g| &g.key));
    match key {
        Some(key) => format!("transaction on {key}"),
        None => "empty transaction".to_string(),
    }
}

impl StoreClient {
    /// Applies a transaction if its guards hold.
    ///
    /// # Errors
    ///
    /// [`NetError::TooLarge`] if the store refuses the transaction for its form, after which
    /// [`StoreClient::limits`] are smaller; otherwise those of [`StoreClient::get`]. After
    /// [`NetError::OutcomeUnknown`] the transaction may have been applied, or be applied later.
    pub async fn txn(&self, txn: &Txn, priority: RequestPriority) -> Result<TxnOutcome, NetError> {
        let request = describe(txn);
        let changes = txn.changes.len() as f64;
        self.acquire(&self.write_rate, priority, changes, &request)
            .await?;
        let body = cherrywood_wire::encode(txn);
        let response = self.call(priority, "POST", "/txn", Some(&body)).await?;
        match response.status {
            200 => {
                let applied: TxnResponse = decode(&request, &response.body)?;
                Ok(TxnOutcome::Applied(applied.revision))
            }
            409 => {
                let conflict: TxnResponse = decode(&request, &response.body)?;
                Ok(TxnOutcome::Conflict(conflict.conflicting_keys))
            }
            // A transaction that attaches a lease may be refused for the lease, not for its size.
            400 if !txn.attaches_lease() => Err(self.shrink_limits(request)),
            status => Err(unexpected(&request, status)),
        }
    }

    /// Returns those of the keys that exist, with one transaction that changes nothing: each
    /// key has the guard "does not exist". A key that is not returned may still have to be read
    /// by itself.
    ///
    /// # Errors
    ///
    /// Those of [`StoreClient::txn`].
    pub async fn existing_keys(
        &self,
        keys: impl Iterator<Item = String>,
        priority: RequestPriority,
    ) -> Result<Vec<String>, NetError> {
        let comparison = Txn::<StoredRecord> {
            guards: keys.map(|key| Guard { key, revision: 0 }).collect(),
            changes: Vec::new(),
        };
        let body = cherrywood_wire::encode(&comparison);
        let response = self.call(priority, "POST", "/txn", Some(&body)).await?;
        let request = describe(&comparison);
        match response.status {
            200 => Ok(Vec::new()),
            409 => {
                let conflict: TxnResponse = decode(&request, &response.body)?;
                Ok(conflict.conflicting_keys)
            }
            400 => Err(self.shrink_limits(request)),
            status => Err(unexpected(&request, status)),
        }
    }

    /// Lowers the limits after the store has refused a transaction for its form, so that none
    /// of this size is sent again.
    fn shrink_limits(&self, request: String) -> NetError {
        let mut limits = lock(&self.limits);
        let lowered = limits.shrink();
        tracing::warn!(
            value_bytes = limits.value_bytes,
            txn_changes = limits.txn_changes,
            lowered,
            "the key-value store refuses a transaction of this size: its limits were lowered"
        );
        NetError::TooLarge { request }
    }
}
