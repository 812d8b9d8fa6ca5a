//! Leased blocks of machines, and what their holder measures.

use cherrywood_control::Holder;
use cherrywood_wire::agent::{Report, TaskReport, TaskState, Why};

#[test]
fn a_grant_counts_from_the_sending_of_its_request() {
    let mut h = Holder::default();
    h.granted("vm-1", 5, 100.0, 20.0);
    assert_eq!(h.token("vm-1", 119.9), Some(5));
    assert_eq!(h.token("vm-1", 120.0), None);
    // A late answer under an older token changes nothing.
    h.granted("vm-1", 4, 130.0, 20.0);
    assert_eq!(h.token("vm-1", 131.0), None);
    h.granted("vm-1", 6, 130.0, 20.0);
    assert_eq!(h.token("vm-1", 131.0), Some(6));
}

#[test]
fn run_times_come_from_consecutive_reports_of_a_session() {
    let mut h = Holder::default();
    let report = |session, seq, state, why| Report {
        machine: "vm-1".into(),
        addr: String::new(),
        kind: "k".into(),
        zone: "z".into(),
        spot: false,
        session,
        seq,
        token: 0,
        notice_s: None,
        tasks: vec![TaskReport {
            task: "wk-000001/0".into(),
            attempt: 1,
            state,
            why,
            saved: None,
        }],
    };
    assert!(
        h.observe(&report(1, 1, TaskState::Running, None), 10.0)
            .is_empty()
    );
    let exited = report(1, 3, TaskState::Exited, Some(Why::Done));
    assert_eq!(
        h.observe(&exited, 31.0),
        vec![("wk-000001/0".to_string(), 21.0)]
    );
    assert!(
        h.observe(&exited, 32.0).is_empty(),
        "a repeat teaches nothing"
    );
    assert!(
        h.observe(&report(1, 2, TaskState::Running, None), 33.0)
            .is_empty()
    );
    h.observe(&report(1, 4, TaskState::Running, None), 34.0);
    let other = report(2, 5, TaskState::Exited, Some(Why::Done));
    assert!(h.observe(&other, 40.0).is_empty(), "another session's task");
}
