//! Requests of other controllers, and the hellos by which controllers stay in contact.
//!
//! Each controller sends a hello to every peer once a second. The leader's response renews the
//! sender's shard leases. Every response tells whether the responding controller reaches the
//! key-value store, and contains its admission table if that is newer than the sender's.

use crate::frames;
use crate::node::Node;
use crate::task_counts::leader_task_counts;
use cherrywood_limits as limits;
use cherrywood_net::peer::PeerClient;
use cherrywood_wire::admission::TableVersion;
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use std::sync::Arc;

impl Node {
    /// Handles one request of another controller.
    pub async fn handle_peer_request(self: &Arc<Self>, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Hello {
                from,
                store_reachable,
                table_version,
                refused,
            } => {
                let now = self.now();
                self.admission_filter.record_peer_refusals(&refused, now);
                self.handle_hello(&from, store_reachable, table_version, now)
            }
            PeerRequest::Heartbeats { from, heartbeats } => {
                // Heartbeats whose responses do not fit into the frame are ignored: their workers
                // soon send the next ones.
                let mut bytes = 0;
                let responses = heartbeats.iter().map(|(heartbeat, run_times)| {
                    if bytes > limits::PEER_FRAME_RESPONSES_BYTES_MAX {
                        return None;
                    }
                    let response = self.handle_heartbeat(&from, heartbeat, run_times)?;
                    bytes += frames::commands_bytes(&response.commands);
                    Some((response.fencing_token, response.commands))
                });
                PeerReply::Heartbeats {
                    responses: responses.collect(),
                }
            }
            PeerRequest::DirectCommands { commands } => {
                let deliveries = self.deliver_commands_to_all(commands).await;
                PeerReply::DirectCommands {
                    executed: deliveries.into_iter().map(Into::into).collect(),
                }
            }
            PeerRequest::TaskCounts { jobs } => self.handle_task_counts(&jobs),
        }
    }

    /// Handles the hello of controller `from`. `peer_reaches_store` tells whether that controller
    /// reaches the key-value store, `table` is the version of its admission table.
    fn handle_hello(
        &self,
        from: &str,
        peer_reaches_store: bool,
        table: TableVersion,
        now: f64,
    ) -> PeerReply {
        let mut state = self.lock_state();
        let contact = &mut state.store_contact;
        contact.peer_last_heard_at = now;
        if peer_reaches_store {
            contact.record_peer_response(now);
        }
        let store_reachable = contact.is_recent(now);
        let leading_term = state.term.leader_if_may_write(now).map(|l| l.term());
        let leader = state.term.leader_if_may_act(now, &self.timing);
        let shard = leader
            .map(|l| l.extend_shard(from, now))
            .unwrap_or_default();
        PeerReply::Hello {
            from: self.label().to_string(),
            process_id: self.process_id,
            store_reachable,
            leading_term,
            shard,
            table: self.admission_filter.table_newer_than(table).map(Box::new),
        }
    }

    fn handle_task_counts(&self, jobs: &[String]) -> PeerReply {
        let now = self.now();
        match self.lock_state().term.leader_if_may_write(now) {
            Some(leader) => PeerReply::TaskCounts {
                counts: leader_task_counts(leader, jobs, now),
            },
            None => PeerReply::Declined,
        }
    }

    /// Sends a hello to one peer, and applies its response.
    pub(crate) async fn send_hello(&self, peer: &PeerClient) {
        let sent = self.now();
        let store_reachable = self.lock_state().store_contact.is_recent(sent);
        let refusals = self
            .admission_filter
            .unacknowledged_refusals(&peer.label, sent);
        let request = PeerRequest::Hello {
            from: self.label().to_string(),
            store_reachable,
            table_version: self.admission_filter.table_version(),
            refused: refusals.refused,
        };
        let reply = peer
            .send(&request, limits::HEARTBEAT_FORWARD_TIMEOUT_S)
            .await;
        let Ok(PeerReply::Hello {
            from,
            process_id,
            store_reachable,
            leading_term,
            shard,
            table,
        }) = reply
        else {
            return;
        };
        let filter = &self.admission_filter;
        filter.acknowledge_refusals(&peer.label, process_id, refusals.next_sequence);
        let now = self.now();
        if let Some(table) = table {
            filter.adopt_if_newer(&table);
        }
        if leading_term.is_some() {
            filter.confirm_current(now);
        }
        let mut state = self.lock_state();
        state.store_contact.peer_last_heard_at = now;
        if store_reachable {
            state.store_contact.record_peer_response(sent);
        }
        if leading_term.is_some() {
            state.leader_contact.record_leader_response(from, now);
            for (machine, token) in shard {
                let shard_lease_s = self.timing.shard_lease_s;
                state
                    .shard
                    .lease_granted(&machine, token, sent, shard_lease_s);
            }
        }
    }
}
