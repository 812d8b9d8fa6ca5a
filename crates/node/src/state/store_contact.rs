//! Contact with the key-value store, and the readiness that follows from it.

use cherrywood_limits as limits;

/// Times of the last contact of this controller and its peers with the key-value store. All times
/// are in seconds on this controller's clock; 0 stands for never.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct StoreContact {
    /// Time of the store's last response to this controller.
    pub last_response_at: f64,
    /// Time of the store's last response to any peer, as reported in the peers' hellos.
    pub peers_last_response_at: f64,
    /// Time of the last hello, or response to a hello, from another controller.
    pub peer_last_heard_at: f64,
    /// Whether there is no other controller.
    pub is_sole_controller: bool,
}

impl StoreContact {
    /// Records that the key-value store responded to a request that was sent, or whose response
    /// arrived, at `at`.
    pub fn record_response(&mut self, at: f64) {
        self.last_response_at = self.last_response_at.max(at);
    }

    /// Records that, by a peer's hello, the key-value store responded to the peer at `at` or later.
    pub fn record_peer_response(&mut self, at: f64) {
        self.peers_last_response_at = self.peers_last_response_at.max(at);
    }

    /// Whether the key-value store has responded to this controller recently enough to announce
    /// it in hellos. A process that has just started has had no response yet, whatever its clock
    /// shows.
    pub fn is_recent(&self, now: f64) -> bool {
        self.has_response() && now - self.last_response_at < limits::STORE_CONTACT_ANNOUNCED_S
    }

    /// Whether users can be served here, or at least no better elsewhere.
    ///
    /// In an outage that no peer contradicts a controller stays ready. A controller that was
    /// started during the outage becomes ready once it has heard peers: if it were not ready, the
    /// load balancer would take it out, and it would be missing for the first seconds after the
    /// outage.
    pub fn is_ready(&self, now: f64) -> bool {
        if self.has_response() {
            self.is_ready_after_contact(now)
        } else {
            self.is_ready_without_contact(now)
        }
    }

    fn has_response(&self) -> bool {
        self.last_response_at > 0.0
    }

    fn is_ready_after_contact(&self, now: f64) -> bool {
        if now - self.last_response_at <= limits::STORE_CONTACT_LOST_S {
            return true;
        }
        // A peer's contact shows that there is no outage only if it is clearly newer than the
        // last response here: in an outage all controllers lose contact, and the last hello of
        // each peer arrives a little later.
        let later_s = self.peers_last_response_at - self.last_response_at;
        let is_cut_off_alone =
            self.peers_have_contact(now) && later_s > limits::STORE_CONTACT_PEER_LEAD_S;
        // If the other controllers are silent as well, this controller is the one that is cut
        // off, and users are better served by any other; a sole controller has no other.
        !is_cut_off_alone && (self.peers_are_heard(now) || self.is_sole_controller)
    }

    fn is_ready_without_contact(&self, now: f64) -> bool {
        let is_contradicted = self.peers_have_contact(now) && self.peers_last_response_at > 0.0;
        now > limits::STORE_FIRST_CONTACT_S && self.peers_are_heard(now) && !is_contradicted
    }

    fn peers_have_contact(&self, now: f64) -> bool {
        now - self.peers_last_response_at <= limits::STORE_CONTACT_LOST_S
    }

    fn peers_are_heard(&self, now: f64) -> bool {
        self.peer_last_heard_at > 0.0
            && now - self.peer_last_heard_at <= limits::STORE_CONTACT_LOST_S
    }
}
