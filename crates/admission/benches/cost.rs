//! Cost of a decision and of a table with 100 teams of 20 classes each: `cargo bench -p
//! cherrywood-admission`.

use cherrywood_admission::{
    AdmissionController, AdmissionRequest, AdmittedJob, ClusterView, JobHash, RefusedJob,
    TeamQuota, decide, job_hash, tenant_class_id,
};
use criterion::{Criterion, criterion_group, criterion_main};
use std::collections::BTreeMap;
use std::hint::black_box;

const TEAMS: usize = 100;
const CLASSES_PER_TEAM: usize = 20;
/// Jobs admitted in a window of 30 s.
const ADMITTED: u64 = 1200;
/// Refused jobs that are being retried.
const REFUSED: u64 = 3000;

/// Returns an admission controller of that size under overload, and the leader's cluster view.
fn overload() -> (AdmissionController, ClusterView) {
    let name = |n: usize| {
        (
            format!("team-{}", n % TEAMS),
            format!("class-{}", n / TEAMS),
        )
    };
    let work = |n: u64| 50.0 + (n * 37 % 1000) as f64;
    let mut admission = AdmissionController::new(1, Default::default(), 0.0);
    for n in 0..ADMITTED {
        let (team, class) = name(n as usize * 7 % (TEAMS * CLASSES_PER_TEAM));
        let at = 30.0 * n as f64 / ADMITTED as f64;
        let admitted = AdmittedJob {
            team: &team,
            class: &class,
            job: JobHash(n),
            work_cpu_s: work(n),
        };
        admission.record_admission(&admitted, at);
    }
    let refused = |n: u64| {
        let (team, class) = name(n as usize * 11 % (TEAMS * CLASSES_PER_TEAM));
        RefusedJob {
            job: JobHash(ADMITTED + n),
            class: tenant_class_id(&team, &class),
            work_cpu_s: work(n),
            first_attempt_age_s: 20.0,
            last_attempt_age_s: 3.0,
        }
    };
    let teams = (0..TEAMS).map(|n| TeamQuota {
        name: format!("team-{n}"),
        guaranteed_cpus: 10.0,
        max_cpus: 400.0,
        weight: 1.0,
    });
    let backlog = (0..TEAMS * CLASSES_PER_TEAM).map(|n| {
        let (team, class) = name(n);
        (tenant_class_id(&team, &class), 2000.0)
    });
    let view = ClusterView {
        available_cpus: 2000.0,
        at_capacity: true,
        teams: teams.collect(),
        backlog_cpu_s: backlog.collect(),
        best_effort_backlog_cpu_s: BTreeMap::new(),
        completion_targets_s: BTreeMap::new(),
        jobs_per_s: 40.0,
        refused_jobs: (0..REFUSED).map(refused).collect(),
        median_runtimes: Vec::new(),
        served_share_floor: 0.6,
        shedding: Default::default(),
    };
    (admission, view)
}

fn cost(c: &mut Criterion) {
    let (mut admission, view) = overload();
    let mut now = 30.0;
    c.bench_function("table", |b| {
        b.iter(|| {
            now += 1e-6;
            black_box(admission.refresh_table(&view, now))
        });
    });
    let table = admission.table().clone();
    assert!(!table.gates.is_empty(), "an overload causes gates");
    let requests: Vec<AdmissionRequest> = (0..1000u64)
        .map(|n| AdmissionRequest {
            job: job_hash(&format!("wk-{n:06}")),
            class: table.gates[n as usize % table.gates.len()].class,
            work_cpu_s: 50.0 + n as f64,
            waited_s: 0.0,
        })
        .collect();
    let mut n = 0;
    c.bench_function("decision", |b| {
        b.iter(|| {
            n = (n + 1) % requests.len();
            black_box(decide(&table, &requests[n]))
        });
    });
}

criterion_group!(benches, cost);
criterion_main!(benches);
