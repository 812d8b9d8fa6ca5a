//! When a controller calls itself healthy.

use cherrywood_node::node::Core;

/// A controller that starts while the state service is down for all is as healthy
/// as those that were there before; where only it is refused, or nobody has told it
/// anything, it is not.
#[test]
fn a_node_started_in_an_outage_is_as_healthy_as_the_others() {
    let new = Core::default();
    assert!(!new.served(0.5) && !new.served(9.0), "nobody was heard");
    assert!(!new.state_here(0.5), "a clock near zero is no answer");
    let mut heard = Core::default();
    (heard.peers_heard, heard.state_ok) = (2.0, 0.0);
    assert!(heard.served(2.5) && !heard.served(5.5));
    let mut contradicted = heard;
    contradicted.peers_state_ok = 2.0;
    assert!(!contradicted.served(2.5));
    let mut answered = contradicted;
    answered.state_ok = 2.4;
    assert!(answered.served(2.5) && answered.served(5.1));
}

#[test]
fn a_node_that_alone_lost_the_state_service_is_not_healthy() {
    let mut core = Core::default();
    (core.state_ok, core.peers_state_ok, core.peers_heard) = (10.0, 13.0, 13.0);
    assert!(core.served(12.9) && !core.served(13.1));
    core.peers_state_ok = 9.0;
    assert!(core.served(13.1), "an outage for all");
    // Cut off from the state service and from the others, but not from users and
    // workers: it called that an outage, and answered users with 503 for as long.
    core.peers_heard = 9.0;
    assert!(!core.served(13.1), "cut off, alone of all");
    core.alone = true;
    assert!(core.served(13.1), "there is no other");
}
