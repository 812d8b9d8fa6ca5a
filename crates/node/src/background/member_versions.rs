//! Rolling upgrades: each controller publishes the format version that it understands, and the
//! leader writes a new format once all controllers understand it.

use crate::node::Node;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::store_client::Readable;
use cherrywood_wire::records::{MemberRecord, StoredRecord};
use cherrywood_wire::store::{Change, Txn};
use std::sync::Arc;
use tracing::info;

/// Seconds before a failed write of the version is retried.
const PUBLISH_RETRY_S: f64 = 1.0;

/// Publishes this controller's version once. While it leads, also checks whether all controllers
/// have published theirs. Until then, records that the version in production reads keep their
/// old format.
pub(super) async fn run(node: Arc<Node>) {
    let mut published = false;
    let mut all_upgraded = false;
    loop {
        if !published {
            published = publish(&node).await.is_ok();
        } else if node.lock_state().term.leadership.lease_id() != 0 {
            all_upgraded = are_all_upgraded(&node).await;
            if all_upgraded {
                info!("all controllers are of this version or newer");
                node.store.enable_chunks();
            }
        }
        if published && all_upgraded {
            return;
        }
        let every_s = match published {
            true => limits::MEMBER_CHECK_INTERVAL_S,
            false => PUBLISH_RETRY_S,
        };
        let pause_s = every_s * node.host.random_between(0.8, 1.2);
        node.host.sleep(pause_s).await;
    }
}

async fn are_all_upgraded(node: &Node) -> bool {
    let listing = node.store.list::<MemberRecord>(keys::MEMBERS).await;
    let rows = listing.map(|listing| listing.rows).unwrap_or_default();
    let peers = node.peers.iter().map(|p| p.label.as_str());
    let mut labels = peers.chain([node.label()]);
    labels.all(|label| {
        let key = keys::member(label);
        let row = rows.iter().find(|r| r.key == key);
        row.is_some_and(|r| r.value.format_version >= limits::FORMAT_VERSION)
    })
}

/// Writes the format version that this controller understands, unless it is already stored.
async fn publish(node: &Node) -> Result<(), NetError> {
    let key = keys::member(node.label());
    let format_version = limits::FORMAT_VERSION;
    let found = node.store.get::<Readable<MemberRecord>>(&key).await?;
    let found = found.and_then(|item| item.value.ok(&key));
    if found.is_some_and(|m| m.format_version == format_version) {
        return Ok(());
    }
    let txn = Txn {
        guards: Vec::new(),
        changes: vec![Change::Put {
            key,
            value: StoredRecord::Member(MemberRecord { format_version }),
            lease: None,
        }],
    };
    node.store
        .txn(&txn, RequestPriority::Critical)
        .await
        .map(|_| ())
}
