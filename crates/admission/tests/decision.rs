//! The decision on one job according to a table.

use cherrywood_admission::{
    AdmissionRequest, AdmissionTable, Decision, Gate, decide, job_hash, tenant_class_id,
};
use cherrywood_limits::admission as limits;
use std::collections::BTreeMap;

fn table(max_work_cpu_s: f64, share: f32) -> AdmissionTable {
    let gate = Gate {
        class: tenant_class_id("t", "c"),
        max_work_cpu_s,
        share,
    };
    AdmissionTable {
        gates: vec![gate],
        relief_s: 12.0,
        ..AdmissionTable::default()
    }
}

fn request(job: u32, work_cpu_s: f64, waited_s: f64) -> AdmissionRequest {
    AdmissionRequest {
        job: job_hash(&format!("wk-{job:06}")),
        class: tenant_class_id("t", "c"),
        work_cpu_s,
        waited_s,
    }
}

#[test]
fn a_job_below_the_gate_and_any_job_of_a_class_without_a_gate_are_admitted() {
    let table = table(100.0, 0.0);
    assert_eq!(decide(&table, &request(1, 99.0, 0.0)), Decision::Admit);
    assert!(matches!(
        decide(&table, &request(1, 101.0, 0.0)),
        Decision::Refuse { .. }
    ));
    let other_class = AdmissionRequest {
        class: tenant_class_id("t", "without a gate"),
        ..request(1, 1e9, 0.0)
    };
    assert_eq!(decide(&table, &other_class), Decision::Admit);
}

/// A refused job must not be overtaken by newer jobs of its size.
#[test]
fn a_job_that_has_waited_is_admitted_before_new_ones_of_the_same_work() {
    let table = table(100.0, 0.0);
    let is_admitted =
        |work_cpu_s, waited_s| decide(&table, &request(1, work_cpu_s, waited_s)) == Decision::Admit;
    assert!(!is_admitted(150.0, 0.0) && !is_admitted(150.0, 20.0) && is_admitted(150.0, 31.0));
    assert!(
        !is_admitted(250.0, 60.0),
        "work is never discounted to less than half"
    );
    // The retry is asked for when the job will be admitted: not before, and not much later.
    let Decision::Refuse { retry_after_s } = decide(&table, &request(1, 115.0, 0.0)) else {
        panic!("the job was admitted");
    };
    let at = retry_after_s as f64;
    assert!(
        (9.0..=9.0 + limits::RETRY_AFTER_SPREAD_S).contains(&at),
        "{at}"
    );
    assert!(is_admitted(115.0, at));
}

#[test]
fn of_jobs_at_the_gate_a_share_is_admitted_and_retries_of_the_others_are_spread() {
    let table = table(100.0, 0.3);
    let decisions = (0..2000).map(|job| decide(&table, &request(job, 100.0, 0.0)));
    let mut retries = BTreeMap::new();
    let mut admitted = 0;
    for decision in decisions {
        match decision {
            Decision::Admit => admitted += 1,
            Decision::Refuse { retry_after_s } => *retries.entry(retry_after_s).or_insert(0) += 1,
        }
    }
    assert!(
        (500..700).contains(&admitted),
        "{admitted} of 2000, at a share of 0.3"
    );
    assert!(retries.len() >= 7, "{retries:?}");
    assert!(retries.values().all(|n| *n < 300), "{retries:?}");
    assert!(
        retries
            .keys()
            .all(|s| *s as f64 <= limits::RETRY_AFTER_MAX_S),
        "{retries:?}"
    );
}
