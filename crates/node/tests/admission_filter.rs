//! The admission filter: the table in use, and the refusals that controllers send each other.

mod common;

use cherrywood_admission::{AdmissionTable, Decision, Gate, TableVersion, tenant_class_id};
use cherrywood_node::admission_filter::AdmissionFilter;
use cherrywood_wire::user::Submission;

fn job(id: &str, tasks: u32) -> Submission {
    Submission {
        tasks,
        cpus: 1.0,
        estimate_s: 10.0,
        ..common::job(id, &[])
    }
}

fn version(term: u64, generation: u64) -> TableVersion {
    TableVersion { term, generation }
}

fn table(term: u64, generation: u64, max_work_cpu_s: f64) -> AdmissionTable {
    let gate = Gate {
        class: tenant_class_id("t", "c"),
        max_work_cpu_s,
        share: 0.0,
    };
    AdmissionTable {
        term,
        generation,
        gates: vec![gate],
        relief_s: 10.0,
        ..AdmissionTable::default()
    }
}

/// A leader that stalled still computes tables of its old term, even after the next leader's first
/// table: no controller returns to them, in whatever order the tables arrive.
#[test]
fn newest_table_wins_in_any_order_of_arrival() {
    let tables = [table(1, 90, 5.0), table(2, 1, 70.0), table(1, 91, 5.0)];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [0, 2, 1]] {
        let filter = AdmissionFilter::new(true);
        order
            .iter()
            .for_each(|i| filter.adopt_if_newer(&tables[*i]));
        assert_eq!(filter.table_version(), version(2, 1));
        assert_eq!(filter.decide(&job("wk-000001", 6), 0.0), Decision::Admit);
        // The filter offers its table to peers with an older one.
        assert_eq!(
            filter.table_newer_than(version(1, 91)).map(|t| t.version()),
            Some(version(2, 1))
        );
        assert_eq!(filter.table_newer_than(version(2, 1)), None);
    }
}

/// The filters of two controllers with the same table.
fn filters() -> (AdmissionFilter, AdmissionFilter) {
    let filters = (AdmissionFilter::new(true), AdmissionFilter::new(true));
    filters.0.adopt_if_newer(&table(1, 1, 100.0));
    filters.1.adopt_if_newer(&table(1, 1, 100.0));
    filters
}

/// A job refused by one controller is known to its peers after a hello, so its waiting time counts
/// at whichever controller it is submitted next. Each peer is told once.
#[test]
fn retry_at_another_controller_gets_the_same_decision() {
    let (here, there) = filters();
    // 120 CPU seconds of work: admitted after 12 s of waiting.
    let refused = job("wk-000001", 12);
    assert!(matches!(
        here.decide(&refused, 50.0),
        Decision::Refuse { .. }
    ));
    here.record_refusal(&refused, 50.0);
    let refusals = here.unacknowledged_refusals("there", 51.0);
    there.record_peer_refusals(&refusals.refused, 1051.0);
    assert_eq!(
        here.unacknowledged_refusals("there", 51.0).refused.len(),
        1,
        "sent again until acknowledged"
    );
    here.acknowledge_refusals("there", 1, refusals.next_sequence);
    assert!(
        here.unacknowledged_refusals("there", 51.0)
            .refused
            .is_empty()
    );
    for waited in [5.0, 11.0, 13.0, 30.0] {
        assert_eq!(
            here.decide(&refused, 50.0 + waited),
            there.decide(&refused, 1050.0 + waited)
        );
    }
    assert_eq!(there.decide(&refused, 1063.0), Decision::Admit);
}

/// A peer restarts before any controller notices. Refusals that were sent to its earlier process,
/// and in the first hello that reached the new process, are sent again.
#[test]
fn restarted_peer_is_told_all_refusals_again() {
    const EARLIER_PROCESS: u64 = 7;
    const NEW_PROCESS: u64 = 8;
    let (here, restarted) = filters();
    here.record_refusal(&job("wk-000001", 12), 50.0);
    let refusals = here.unacknowledged_refusals("there", 50.5);
    here.acknowledge_refusals("there", EARLIER_PROCESS, refusals.next_sequence);
    here.record_refusal(&job("wk-000002", 12), 51.0);
    // The next hello reaches the new process, which responds with its own id.
    let refusals = here.unacknowledged_refusals("there", 51.5);
    assert_eq!(refusals.refused.len(), 1);
    restarted.record_peer_refusals(&refusals.refused, 51.5);
    here.acknowledge_refusals("there", NEW_PROCESS, refusals.next_sequence);
    let refusals = here.unacknowledged_refusals("there", 52.5);
    assert_eq!(
        refusals.refused.len(),
        2,
        "including the refusal that the earlier process knew"
    );
    restarted.record_peer_refusals(&refusals.refused, 52.5);
    here.acknowledge_refusals("there", NEW_PROCESS, refusals.next_sequence);
    assert!(
        here.unacknowledged_refusals("there", 53.5)
            .refused
            .is_empty()
    );
    let refused = job("wk-000001", 12);
    assert_eq!(
        here.decide(&refused, 63.0),
        restarted.decide(&refused, 63.0)
    );
}

#[test]
fn table_without_recent_confirmation_is_stale_and_disabled_filter_admits_all() {
    let filter = AdmissionFilter::new(true);
    filter.confirm_current(100.0);
    assert!(!filter.is_stale(102.9) && filter.is_stale(103.1));
    let disabled = AdmissionFilter::new(false);
    disabled.adopt_if_newer(&table(1, 1, 1.0));
    assert_eq!(disabled.decide(&job("wk-000001", 99), 0.0), Decision::Admit);
}
