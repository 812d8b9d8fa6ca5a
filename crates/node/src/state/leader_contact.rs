//! The leader that this controller knows of, and whether it can be reached.

use cherrywood_limits as limits;

/// Contact with the leader. All times are in seconds on this controller's clock.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LeaderContact {
    /// Label of the controller that leads; this controller's own label while it leads itself.
    pub known_leader: Option<String>,
    /// Time at which the key-value store last named another controller as the leader.
    pub named_by_store_at: f64,
    /// Time of the last response of that leader to this controller.
    pub last_response_at: f64,
}

impl LeaderContact {
    /// Records that the key-value store named another controller as the leader.
    pub fn record_stored_leader(&mut self, leader: String, now: f64) {
        self.known_leader = Some(leader);
        self.named_by_store_at = now;
    }

    /// Records that another controller responded to a hello as the leader.
    pub fn record_leader_response(&mut self, leader: String, now: f64) {
        self.known_leader = Some(leader);
        self.last_response_at = now;
    }

    /// Clears the known leader if it is the controller `label`.
    pub fn forget(&mut self, label: &str) {
        if self.known_leader.as_deref() == Some(label) {
            self.known_leader = None;
        }
    }

    /// Whether the leader has been silent for so long that no request should wait for it.
    pub fn is_silent(&self, now: f64) -> bool {
        now - self.last_response_at > limits::LEADER_UNREACHABLE_S
    }

    /// Whether there is a leader that others reach and this controller does not.
    ///
    /// Workers should then send their heartbeats to the leader itself. Under the shard leases
    /// that this controller still holds, nothing starts, no heartbeat reaches the leader, and the
    /// leader takes the machines for dead (an incident: 190 machines deleted at once).
    pub fn is_partitioned_from_leader(&self, now: f64) -> bool {
        now - self.named_by_store_at < limits::LEADER_KEY_FRESH_S && self.is_silent(now)
    }
}
