//! Readiness of a controller, as reported to the load balancer.

use cherrywood_node::state::StoreContact;

/// A controller that starts while the key-value store is down for all controllers is as ready as
/// those that were running before. It is not ready if the store refuses only this controller, or
/// if no peer has been heard.
#[test]
fn controller_started_during_an_outage_is_ready_once_peers_are_heard() {
    let new = StoreContact::default();
    assert!(!new.is_ready(0.5) && !new.is_ready(9.0), "no peer heard");
    assert!(!new.is_recent(0.5), "a clock near zero is no response");
    let heard = StoreContact {
        peer_last_heard_at: 2.0,
        ..StoreContact::default()
    };
    assert!(heard.is_ready(2.5) && !heard.is_ready(5.5));
    let contradicted = StoreContact {
        peers_last_response_at: 2.0,
        ..heard
    };
    assert!(!contradicted.is_ready(2.5));
    let reached = StoreContact {
        last_response_at: 2.4,
        ..contradicted
    };
    assert!(reached.is_ready(2.5) && reached.is_ready(5.1));
}

#[test]
fn controller_that_alone_lost_the_store_is_not_ready() {
    let mut contact = StoreContact {
        last_response_at: 10.0,
        peers_last_response_at: 13.0,
        peer_last_heard_at: 13.0,
        is_sole_controller: false,
    };
    assert!(contact.is_ready(12.9) && !contact.is_ready(13.1));
    contact.peers_last_response_at = 9.0;
    assert!(contact.is_ready(13.1), "outage for all controllers");
    // A controller that is cut off from the key-value store and from its peers, but not from users
    // and workers, must not take that for an outage: it would respond to users with 503 for as
    // long as that lasts.
    contact.peer_last_heard_at = 9.0;
    assert!(!contact.is_ready(13.1), "only this controller is cut off");
    contact.is_sole_controller = true;
    assert!(contact.is_ready(13.1), "there is no other controller");
}

/// Exchanges hellos ten times a second from 10 s on, between a controller that reaches the
/// key-value store until `here_until` and one that reaches it until `there_until`. Returns the
/// times (s) at which the first controller is not ready.
fn unready_times(here_until: f64, there_until: f64) -> Vec<f64> {
    let (mut here, mut there) = (StoreContact::default(), StoreContact::default());
    let mut unready = Vec::new();
    for tenth in 100..400 {
        let now = f64::from(tenth) / 10.0;
        // Each controller reads the leader's key every half second.
        if tenth % 5 == 0 && now <= here_until {
            here.last_response_at = now;
        }
        if tenth % 5 == 3 && now <= there_until {
            there.last_response_at = now;
        }
        (here.peer_last_heard_at, there.peer_last_heard_at) = (now, now);
        if there.is_recent(now) {
            here.peers_last_response_at = now;
        }
        if here.is_recent(now) {
            there.peers_last_response_at = now;
        }
        if !here.is_ready(now) {
            unready.push(now);
        }
    }
    unready
}

/// Guards against controllers that, from 3 s to 6 s of an outage, take their peers' last hellos for
/// contact with the key-value store: the load balancer would take out all controllers, for longer
/// each time.
#[test]
fn outage_for_all_leaves_every_controller_ready() {
    for gap_s in [0.0, 0.2, 0.4, 0.6, 0.8] {
        for unready in [
            unready_times(15.0, 15.0 + gap_s),
            unready_times(15.0 + gap_s, 15.0),
        ] {
            assert!(unready.is_empty(), "{gap_s} s apart: {unready:?}");
        }
    }
}

#[test]
fn controller_that_alone_is_refused_becomes_unready_within_seconds() {
    let unready = unready_times(15.0, f64::INFINITY);
    assert!((18.0..18.6).contains(&unready[0]), "{unready:?}");
    let steps_to_end = (39.9 - unready[0]) * 10.0;
    assert_eq!(unready.len(), steps_to_end.round() as usize + 1);
}
