//! The admission table: computed by the leader, stored in the key-value store, and read from
//! there by controllers that receive no newer table from the leader.

use crate::chunked_values;
use crate::node::Node;
use cherrywood_control::keys;
use cherrywood_limits::admission as limits;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_wire::admission::{AdmissionValue, TableVersion};
use std::sync::Arc;

/// Computes admission tables while this controller leads. A new generation begins when the
/// contents have changed enough; its table is written to the key-value store, at most once every
/// `TABLE_WRITE_INTERVAL_S`.
pub(super) async fn publish(node: Arc<Node>) {
    let mut written_version = TableVersion::default();
    let mut written_at = f64::NEG_INFINITY;
    loop {
        node.host.sleep(limits::TABLE_INTERVAL_S).await;
        let now = node.now();
        let refused = node.admission_filter.likely_retries(now);
        let published = node.lock_state().term.leader_if_may_write(now).map(|l| {
            l.publish_admission_table(refused, now);
            (l.leader_guard(), l.admission_table().clone())
        });
        let Some((guard, table)) = published else {
            continue;
        };
        node.admission_filter.adopt_if_newer(&table);
        node.admission_filter.confirm_current(now);
        let is_written = table.version() == written_version || table.generation == 0;
        if is_written || now - written_at < limits::TABLE_WRITE_INTERVAL_S {
            continue;
        }
        let value = {
            let mut state = node.lock_state();
            let leader = state.term.leader_if_may_write(now);
            leader.map(|l| l.admission_value())
        };
        let Some(value) = value else {
            continue;
        };
        let version = value.table.version();
        let key = keys::ADMISSION;
        let write = chunked_values::write(&node, guard, key, value, RequestPriority::Progress);
        if write.await.is_ok() {
            (written_version, written_at) = (version, now);
        }
    }
}

/// Reads the table from the key-value store while the leader sends none.
pub(super) async fn refresh(node: Arc<Node>) {
    loop {
        let pause = limits::TABLE_WRITE_INTERVAL_S * node.host.random_between(0.8, 1.2);
        node.host.sleep(pause).await;
        let sent = node.now();
        if !node.admission_filter.is_stale(sent) {
            continue;
        }
        let read = chunked_values::read::<AdmissionValue>(&node, keys::ADMISSION);
        if let Ok(found) = read.await {
            node.record_store_response();
            if let Some(value) = found {
                node.admission_filter.adopt_if_newer(&value.table);
            }
            node.admission_filter.confirm_current(sent);
        }
    }
}
