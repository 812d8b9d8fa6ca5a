//! Worker heartbeats.
//!
//! A worker sends heartbeats to any controller. The owner of the worker's shard responds under
//! the shard lease that the leader granted: it forwards each heartbeat to the leader and passes
//! on the leader's response. While the leader does not respond, the shard owner renews the
//! worker's lease by itself, for as long as the shard lease lasts. The leader handles the
//! heartbeats of its own shard directly.

use crate::frames;
use crate::lock;
use crate::node::Node;
use cherrywood_limits as limits;
use cherrywood_wire::agent::{Heartbeat, HeartbeatResponse};
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use std::sync::Mutex;
use tokio::sync::{Notify, oneshot};

/// Tasks that succeeded since the machine's last heartbeat, with the run time of each in seconds.
type RunTimes = Vec<(String, f64)>;

/// A heartbeat that waits for the next frame to the leader.
#[derive(Debug)]
struct QueuedHeartbeat {
    heartbeat: Heartbeat,
    run_times: RunTimes,
    /// Receives the leader's response; dropped unused if the leader does not respond.
    response: oneshot::Sender<Option<HeartbeatResponse>>,
}

/// Queue of heartbeats to forward to the leader; several heartbeats share one frame.
#[derive(Debug, Default)]
pub struct HeartbeatOutbox {
    queue: Mutex<Vec<QueuedHeartbeat>>,
    /// Notified while heartbeats wait.
    pub(crate) due: Notify,
}

impl HeartbeatOutbox {
    fn push(&self, heartbeat: QueuedHeartbeat) {
        lock(&self.queue).push(heartbeat);
        self.due.notify_one();
    }

    /// Takes the oldest heartbeats that fit into one frame: at least one, however large.
    fn take_frame(&self) -> Vec<QueuedHeartbeat> {
        let mut queue = lock(&self.queue);
        let (mut rows, mut bytes) = (0, 0);
        let fitting = queue.iter().take_while(|q| {
            rows += 1 + q.heartbeat.tasks.len();
            bytes += frames::heartbeat_bytes(&q.heartbeat, &q.run_times);
            rows <= limits::HEARTBEAT_FRAME_ITEMS_MAX && bytes <= limits::PEER_FRAME_BYTES_MAX
        });
        let count = fitting.count().max(1).min(queue.len());
        let frame = queue.drain(..count).collect();
        if !queue.is_empty() {
            self.due.notify_one();
        }
        frame
    }
}

impl Node {
    /// Returns the response to a worker's heartbeat; `None` if this controller may not respond to
    /// the machine now.
    ///
    /// The right to respond is checked again when the response is made: the process may have
    /// stalled while the heartbeat waited in a socket.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<HeartbeatResponse> {
        let received = self.now();
        let (run_times, known_leader, leads) = {
            let mut state = self.lock_state();
            let run_times = state.shard.observe_heartbeat(&heartbeat, received);
            let leader = state.term.leader_if_may_act(received, &self.timing);
            let leads = leader.is_some();
            (run_times, state.leader_contact.known_leader.clone(), leads)
        };
        let (machine, seen_token) = (heartbeat.machine.clone(), heartbeat.fencing_token);
        let from_leader = if leads {
            self.handle_heartbeat(self.label(), &heartbeat, &run_times)
        } else {
            self.forward_heartbeat(known_leader, heartbeat, run_times)
                .await
        };
        let now = self.now();
        let mut state = self.lock_state();
        if !leads {
            match &from_leader {
                Some(_) => state.leader_contact.last_response_at = now,
                None if state.leader_contact.is_partitioned_from_leader(now) => return None,
                None => {}
            }
        }
        state.shard.heartbeat_response(
            &machine,
            seen_token,
            from_leader,
            received,
            now,
            self.timing.shard_lease_s,
        )
    }

    /// Returns the leader's response to a heartbeat of a machine in `shard_owner`'s shard; `None`
    /// if this controller may not act as the leader, or must not respond to the machine. Capacity
    /// that the heartbeat frees is used by the next placement commit, whose start commands go
    /// directly to the workers.
    pub(crate) fn handle_heartbeat(
        &self,
        shard_owner: &str,
        heartbeat: &Heartbeat,
        run_times: &[(String, f64)],
    ) -> Option<HeartbeatResponse> {
        let now = self.now();
        let mut state = self.lock_state();
        let leader = state.term.leader_if_may_act(now, &self.timing)?;
        let fencing_token = leader.take_heartbeat(shard_owner, heartbeat, run_times, now)?;
        let commands = leader.heartbeat_commands(heartbeat, now);
        drop(state);
        self.notify_commits_due();
        Some(HeartbeatResponse {
            fencing_token,
            commands,
        })
    }

    /// Returns the leader's response to a heartbeat that is forwarded to it; `None` if there is
    /// none.
    async fn forward_heartbeat(
        &self,
        known_leader: Option<String>,
        heartbeat: Heartbeat,
        run_times: RunTimes,
    ) -> Option<HeartbeatResponse> {
        // A controller that has just stopped leading still names itself as the leader, and it is
        // not its own peer.
        self.peer_with_label(known_leader.as_deref())?;
        let (response, received) = oneshot::channel();
        self.heartbeat_outbox.push(QueuedHeartbeat {
            heartbeat,
            run_times,
            response,
        });
        received.await.ok().flatten()
    }

    /// Sends one frame of queued heartbeats to the leader. If no response arrives in time, the
    /// leader counts as not having responded to them.
    pub(crate) async fn send_queued_heartbeats(&self) {
        let mut frame = self.heartbeat_outbox.take_frame();
        let known_leader = self.lock_state().leader_contact.known_leader.clone();
        let Some(leader) = self.peer_with_label(known_leader.as_deref()) else {
            return;
        };
        let heartbeats = frame
            .iter_mut()
            .map(|q| (q.heartbeat.clone(), std::mem::take(&mut q.run_times)))
            .collect();
        let from = self.label().to_string();
        let request = PeerRequest::Heartbeats { from, heartbeats };
        let reply = leader
            .send(&request, limits::HEARTBEAT_FORWARD_TIMEOUT_S)
            .await;
        let Ok(PeerReply::Heartbeats { responses }) = reply else {
            return;
        };
        for (queued, response) in frame.into_iter().zip(responses) {
            let response = response.map(|(fencing_token, commands)| HeartbeatResponse {
                fencing_token,
                commands,
            });
            // Sending fails if the worker's request has ended.
            let _ = queued.response.send(response);
        }
    }
}
