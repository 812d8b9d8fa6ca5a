//! Forwards the heartbeats of this controller's shard to the leader, batched into frames.

use crate::node::Node;
use cherrywood_limits as limits;
use std::sync::Arc;

/// Sends a frame `HEARTBEAT_BATCH_DELAY_S` after heartbeats arrived, without waiting for the
/// responses to earlier frames.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        node.heartbeat_outbox.due.notified().await;
        node.host.sleep(limits::HEARTBEAT_BATCH_DELAY_S).await;
        let own = node.clone();
        node.host
            .spawn(async move { own.send_queued_heartbeats().await });
    }
}
