//! Snapshots of data that a new leader would otherwise have to learn anew: run-time histograms,
//! and which images are on which machines.

use crate::chunked_values;
use crate::node::Node;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::rate_limiter::RequestPriority;
use std::sync::Arc;

/// Lowest rate, in changes per second, from which a pause is computed.
const MIN_CHANGES_PER_S: f64 = 0.01;

/// Writes snapshots while this controller leads. A lost snapshot does no harm: the next one is
/// due within seconds.
pub(super) async fn run(node: Arc<Node>) {
    let mut pause_s = limits::SNAPSHOT_INTERVAL_S;
    loop {
        node.host.sleep(pause_s).await;
        let now = node.now();
        let snapshots = {
            let mut state = node.lock_state();
            let leader = state.term.leader_if_may_write(now);
            leader.map(|l| {
                (
                    l.leader_guard(),
                    l.histograms_snapshot(),
                    l.image_snapshot(now),
                )
            })
        };
        let Some((guard, histograms, images)) = snapshots else {
            continue;
        };
        let priority = RequestPriority::Snapshot;
        let key = keys::HISTOGRAMS;
        let written = chunked_values::write(&node, guard.clone(), key, histograms, priority).await;
        let histogram_changes = written.unwrap_or(1);
        let written = chunked_values::write(&node, guard, keys::IMAGES, images, priority).await;
        let changes = histogram_changes + written.unwrap_or(1);
        // Chunked snapshots take more changes, so they are written less often.
        let write_rps = node.store.limits().write_rps;
        let changes_per_s = write_rps * limits::LEADER_RATE_SHARE * limits::SNAPSHOT_CHANGES_SHARE;
        let due_s = changes as f64 / changes_per_s.max(MIN_CHANGES_PER_S);
        pause_s = limits::SNAPSHOT_INTERVAL_S.max(due_s);
    }
}
