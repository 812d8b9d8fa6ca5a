//! What other controllers ask, and the hellos by which controllers know of each other.
//!
//! Each controller says hello to every peer once a second. The leader's answer renews the
//! shard of the one that asked; every answer tells whether the state service is reached from
//! there, and brings a newer admission table if there is one.

use crate::frames;
use crate::node::Node;
use crate::task_counts::counted_by;
use cherrywood_limits as limits;
use cherrywood_net::peer::PeerClient;
use cherrywood_wire::admission::TableVersion;
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use std::sync::Arc;

impl Node {
    /// Answers one request of another controller.
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
                // Heartbeats whose answers the frame can't hold are ignored: their workers send
                // the next ones soon.
                let mut bytes = 0;
                let answers = heartbeats.iter().map(|(heartbeat, run_times)| {
                    if bytes > limits::PEER_FRAME_RESPONSES_BYTES_MAX {
                        return None;
                    }
                    let answer = self.handle_heartbeat(&from, heartbeat, run_times)?;
                    bytes += frames::commands_bytes(&answer.commands);
                    Some((answer.fencing_token, answer.commands))
                });
                PeerReply::Heartbeats {
                    answers: answers.collect(),
                }
            }
            PeerRequest::DirectCommands { commands } => {
                let deliveries = self.deliver_commands_to_all(commands).await;
                PeerReply::DirectCommands {
                    executed: deliveries.into_iter().map(Into::into).collect(),
                }
            }
            PeerRequest::TaskCounts { jobs } => self.handle_counts(&jobs),
        }
    }

    /// Answers the hello of `from`, which reaches the state service or doesn't and has this
    /// version of the admission table.
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
            contact.answered_peer(now);
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

    fn handle_counts(&self, jobs: &[String]) -> PeerReply {
        let now = self.now();
        match self.lock_state().term.leader_if_may_write(now) {
            Some(leader) => PeerReply::TaskCounts {
                counts: counted_by(leader, jobs, now),
            },
            None => PeerReply::Declined,
        }
    }

    /// Says hello to one peer, and takes in what it answers.
    pub(crate) async fn say_hello(&self, peer: &PeerClient) {
        let sent = self.now();
        let store_reachable = self.lock_state().store_contact.is_recent(sent);
        let news = self.admission_filter.refusals_to_tell(&peer.label, sent);
        let request = PeerRequest::Hello {
            from: self.label().to_string(),
            store_reachable,
            table_version: self.admission_filter.table_version(),
            refused: news.refused,
        };
        let reply = peer
            .ask(&request, limits::HEARTBEAT_FORWARD_TIMEOUT_S)
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
        filter.refusals_acknowledged(&peer.label, process_id, news.next_sequence);
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
            state.store_contact.answered_peer(sent);
        }
        if leading_term.is_some() {
            state.leader_contact.answered_as_leader(from, now);
            for (machine, token) in shard {
                let shard_lease_s = self.timing.shard_lease_s;
                state
                    .shard
                    .lease_granted(&machine, token, sent, shard_lease_s);
            }
        }
    }
}
