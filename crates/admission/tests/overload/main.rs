//! Served shares and admitted work under overload: the admission controller in a small simulated
//! cluster.

mod simulated_cluster;

use cherrywood_admission::{
    AdmissionController, AdmissionRequest, AdmissionTable, AdmittedJob, ClusterView, Decision,
    JobHash, RefusedJob, SheddingPolicy, Shortage, TenantClassId, decide, job_hash,
    tenant_class_id,
};
use cherrywood_limits::admission as limits;
use simulated_cluster::{Counts, FRESH_TABLES, SimulatedCluster, team, workload};
use std::collections::BTreeMap;

/// Returns the maximum backlog for `cpus` at this throughput.
fn full_backlog_cpu_s(cpus: f64, throughput: f64) -> f64 {
    cpus * throughput * limits::DEFAULT_COMPLETION_TARGET_S * limits::BACKLOG_MAX_TARGETS
}

fn record_admission(
    admission: &mut AdmissionController,
    (team, class): (&str, &str),
    job: u64,
    work_cpu_s: f64,
    now_s: f64,
) {
    let admitted = AdmittedJob {
        team,
        class,
        job: JobHash(job),
        work_cpu_s,
    };
    admission.record_admission(&admitted, now_s);
}

#[test]
fn a_flood_of_one_class_leaves_every_class_a_served_share_above_half() {
    let workloads = [
        workload("a", "flood", 8.0, 200.0),
        workload("b", "calm", 0.5, 200.0),
    ];
    let mut cluster = SimulatedCluster::new(1000.0, &workloads, &FRESH_TABLES);
    cluster.run(900);
    let shares = cluster.admitted_shares();
    assert!(shares.iter().all(|s| *s > 0.5), "{shares:?}");
    assert_eq!(cluster.admission.table().shortage, Shortage::Machines);
    // The backlog of admitted jobs stays within the classes' completion targets.
    let backlog = cluster.backlog_cpu_s();
    assert!(backlog < full_backlog_cpu_s(1000.0, 0.7) * 1.2, "{backlog}");
    // No job of the calm team is refused while the team is within its guarantee. This fleet
    // serves jobs in the order of admission, so the calm team's backlog is large, and must fit
    // into the guarantee too.
    let mut cluster = SimulatedCluster::new(1000.0, &workloads, &FRESH_TABLES);
    cluster.teams[1].guaranteed_cpus = 800.0;
    cluster.run(900);
    assert_eq!(cluster.admitted_shares()[1], 1.0);
}

/// No job may be refused that would have been done in time.
#[test]
fn a_burst_of_ten_seconds_is_admitted_entirely() {
    let workloads = [workload("a", "burst", 1.0, 200.0)];
    let mut cluster = SimulatedCluster::new(1000.0, &workloads, &FRESH_TABLES);
    cluster.run(60);
    cluster.workloads[0].jobs_per_s = 90.0;
    cluster.run(10);
    cluster.workloads[0].jobs_per_s = 1.0;
    cluster.run(900);
    assert_eq!(cluster.refused_attempts, 0);
    assert!(cluster.queue.len() < 5, "{} left", cluster.queue.len());
}

#[test]
fn after_a_third_of_the_machines_is_lost_every_class_gets_a_quarter_and_the_backlog_is_bounded() {
    let workloads = [
        workload("a", "x", 4.0, 200.0),
        workload("b", "y", 4.0, 200.0),
    ];
    let mut cluster = SimulatedCluster::new(1000.0, &workloads, &FRESH_TABLES);
    cluster.run(700);
    cluster.cpus = 667.0;
    cluster.run(300);
    let before = cluster.counts.clone();
    cluster.run(100);
    for (before, after) in before.iter().zip(&cluster.counts) {
        let offered = after.offered - before.offered;
        let admitted = after.admitted - before.admitted;
        assert!(
            f64::from(admitted) > 0.25 * f64::from(offered),
            "{admitted} of {offered}"
        );
    }
    let backlog = cluster.backlog_cpu_s();
    assert!(backlog < full_backlog_cpu_s(667.0, 0.7) * 1.3, "{backlog}");
}

/// All estimates are half of the actual work, or twice as much.
#[test]
fn estimates_wrong_in_one_direction_change_the_throughput_but_not_the_relative_backlog() {
    for throughput in [0.35, 1.4] {
        let workloads = [workload("a", "x", 12.0, 200.0)];
        let mut cluster = SimulatedCluster::new(1000.0, &workloads, &FRESH_TABLES);
        cluster.throughput = throughput;
        cluster.run(if throughput < 1.0 { 500 } else { 1200 });
        let measured = cluster.admission.throughput();
        assert!((measured / throughput - 1.0).abs() < 0.15, "{measured}");
        let fullness = cluster.backlog_cpu_s() / full_backlog_cpu_s(1000.0, throughput);
        assert!((0.6..1.3).contains(&fullness), "{fullness}");
    }
}

/// The fleet has room, so only jobs of the team at its quota are refused.
#[test]
fn jobs_of_a_team_at_its_quota_are_refused_and_those_of_a_team_without_a_quota_are_not() {
    let workloads = [
        workload("small", "x", 4.0, 200.0),
        workload("free", "x", 4.0, 200.0),
    ];
    let mut cluster = SimulatedCluster::new(5000.0, &workloads, &FRESH_TABLES);
    cluster.teams[0].max_cpus = 100.0;
    cluster.run(600);
    let shares = cluster.admitted_shares();
    assert!(shares[0] < 0.9 && shares[1] == 1.0, "{shares:?}");
}

#[test]
fn no_job_is_refused_while_the_fleet_can_grow() {
    let workloads = [workload("a", "x", 30.0, 200.0)];
    let mut cluster = SimulatedCluster::new(100.0, &workloads, &FRESH_TABLES);
    cluster.at_capacity = false;
    cluster.run(120);
    assert_eq!(cluster.refused_attempts, 0);
}

/// The job's work exceeds that of its class in an hour: it would take the shares of hundreds of
/// jobs.
#[test]
fn a_huge_job_is_refused_during_an_overload_and_admitted_after_it() {
    let workloads = [workload("a", "x", 4.0, 100.0)];
    let mut cluster = SimulatedCluster::new(100.0, &workloads, &FRESH_TABLES);
    cluster.run(300);
    let huge = |cluster: &SimulatedCluster| {
        let request = AdmissionRequest {
            job: JobHash(1),
            class: tenant_class_id("a", "x"),
            work_cpu_s: 100.0 * 0.7 * 3700.0,
            waited_s: 0.0,
        };
        decide(cluster.admission.table(), &request)
    };
    assert!(matches!(huge(&cluster), Decision::Refuse { .. }));
    cluster.workloads[0].jobs_per_s = 0.1;
    cluster.run(900);
    assert_eq!(huge(&cluster), Decision::Admit);
}

#[test]
fn each_of_a_hundred_teams_with_twenty_classes_gets_a_served_share_above_half() {
    let teams: Vec<&'static str> = (0..100).map(|n| &*format!("team-{n}").leak()).collect();
    let classes: Vec<&'static str> = (0..20).map(|n| &*format!("class-{n}").leak()).collect();
    let mut workloads = Vec::new();
    for team in &teams {
        for class in &classes {
            workloads.push(workload(team, class, 0.05, 200.0));
        }
    }
    let mut cluster = SimulatedCluster::new(500.0, &workloads, &[0, 1]);
    cluster.run(90);
    let mut by_team = BTreeMap::<&str, Counts>::new();
    for (workload, counts) in workloads.iter().zip(&cluster.counts) {
        let team = by_team.entry(workload.team).or_default();
        team.offered += counts.offered;
        team.admitted += counts.admitted;
    }
    let shares = by_team.values().map(Counts::admitted_share);
    let least = shares.fold(1.0, f64::min);
    let refused = cluster.refused_attempts;
    assert!(refused > 1000 && least > 0.5, "{least}, {refused} refused");
}

/// Controllers with older tables admit, beyond the newest table, only the jobs offered to them
/// with work between the older and the newer gate: with n controllers of which k have stale
/// tables, k / n of the attempts in that band.
#[test]
fn stale_tables_admit_only_their_controllers_share_of_attempts_between_the_gates() {
    for controllers in [1, 3, 7] {
        for table_age_s in [0, 10, 30] {
            let mut ages = vec![table_age_s; controllers];
            ages[0] = 0;
            let workloads = [
                workload("a", "x", 1.0, 200.0),
                workload("b", "y", 1.0, 200.0),
            ];
            let mut cluster = SimulatedCluster::new(1000.0, &workloads, &ages);
            cluster.run(60);
            cluster.workloads[0].jobs_per_s = 30.0;
            cluster.run(240);
            let stale_share = (controllers - 1) as f64 / controllers as f64;
            let formula = f64::from(cluster.attempts_between_tables) * stale_share;
            let beyond = cluster.admitted_beyond_newest_table;
            println!(
                "{controllers} controllers, {table_age_s} s: {beyond} beyond, formula {formula:.0}"
            );
            // The controller is chosen at random: the tolerance is four standard deviations.
            let tolerance = 4.0 * f64::sqrt(formula * (1.0 - stale_share)) + 1e-9;
            assert!(
                (f64::from(beyond) - formula).abs() <= tolerance,
                "{tolerance}"
            );
            if table_age_s == 0 || controllers == 1 {
                assert_eq!(beyond, 0);
            }
        }
    }
}

#[test]
fn a_new_leader_continues_from_the_stored_gates_under_its_own_term() {
    let workloads = [workload("a", "x", 12.0, 200.0)];
    let mut cluster = SimulatedCluster::new(1000.0, &workloads, &FRESH_TABLES);
    cluster.run(400);
    let stored = cluster.admission.stored_value();
    let mut next = AdmissionController::new(2, stored.clone(), 0.0);
    assert_eq!(next.table().gates, stored.table.gates);
    assert!(next.table().version() > stored.table.version());
    let measured = cluster.admission.throughput();
    assert!((next.throughput() - measured).abs() < 1e-9 && next.at_capacity());
    // Its first table is computed from its own knowledge, which is the backlog.
    let view = ClusterView {
        at_capacity: next.at_capacity(),
        ..cluster.view()
    };
    next.refresh_table(&view, 1.0);
    let bound = |table: &AdmissionTable| {
        table
            .gates
            .first()
            .map_or(f64::INFINITY, |g| g.max_work_cpu_s)
    };
    assert!(
        bound(next.table()) < 4.0 * bound(&stored.table),
        "{:?}",
        next.table()
    );
}

/// Best-effort work may wait for hours. When its backlog counted for other classes, 3.7% of the
/// users of a day that had room for them were refused, so it counts only for best-effort work.
#[test]
fn a_backlog_of_best_effort_work_causes_no_gate_for_other_classes() {
    let guests = tenant_class_id("guests", "idle");
    let work = tenant_class_id("a", "work");
    let has_gates = |best_effort: bool| {
        let mut admission = AdmissionController::new(1, Default::default(), 0.0);
        let hour_cpu_s = 1000.0 * 3600.0;
        record_admission(&mut admission, ("guests", "idle"), 1, hour_cpu_s, 1.0);
        for n in 0..40u64 {
            let now_s = 1.0 + n as f64 / 2.0;
            record_admission(&mut admission, ("a", "work"), 2 + n, 500.0, now_s);
        }
        // Another job of the guests was refused and is being retried.
        let refused = RefusedJob {
            job: JobHash(99),
            class: guests,
            work_cpu_s: hour_cpu_s,
            first_attempt_age_s: 1.0,
            last_attempt_age_s: 0.5,
        };
        let guests_backlog = BTreeMap::from([(guests, hour_cpu_s)]);
        let mut backlog_cpu_s = guests_backlog.clone();
        backlog_cpu_s.insert(work, 20_000.0);
        let view = ClusterView {
            available_cpus: 1000.0,
            at_capacity: true,
            backlog_cpu_s,
            best_effort_backlog_cpu_s: match best_effort {
                true => guests_backlog,
                false => BTreeMap::new(),
            },
            refused_jobs: vec![refused],
            teams: ["guests", "a"].map(team).to_vec(),
            ..SimulatedCluster::new(1000.0, &[], &FRESH_TABLES).view()
        };
        admission.refresh_table(&view, 21.0);
        let has_gate = |class: TenantClassId| {
            let mut gates = admission.table().gates.iter();
            gates.any(|gate| gate.class == class)
        };
        (has_gate(work), has_gate(guests))
    };
    assert_eq!(
        has_gates(false),
        (true, true),
        "without the best-effort backlog marked as such"
    );
    assert_eq!(has_gates(true), (false, true));
}

/// A burst in the first second must not be refused for lack of key-value store writes if the
/// writes of a whole window suffice for it; of a sustained rate above this some jobs are refused.
#[test]
fn a_first_burst_within_the_store_writes_of_a_window_is_admitted_entirely() {
    let mut admission = AdmissionController::new(1, Default::default(), 0.0);
    let view = ClusterView {
        available_cpus: 1000.0,
        jobs_per_s: 40.0,
        teams: vec![team("a")],
        ..SimulatedCluster::new(1000.0, &[], &FRESH_TABLES).view()
    };
    let admit = |admission: &mut AdmissionController, job: u64, now_s: f64| {
        record_admission(admission, ("a", "work"), job, 100.0 + job as f64, now_s);
    };
    for job in 0..300u64 {
        admit(&mut admission, job, 0.5);
    }
    admission.refresh_table(&view, 1.0);
    assert!(
        admission.table().gates.is_empty(),
        "{:?}",
        admission.table()
    );
    // A sustained rate of 100 jobs per second exceeds the store's writes.
    for job in 300..3300u64 {
        admit(&mut admission, job, 1.0 + (job - 300) as f64 / 100.0);
    }
    admission.refresh_table(&view, 31.0);
    assert_eq!(admission.table().shortage, Shortage::StoreWrites);
    // One gate for the class, and one for its largest tenth.
    assert_eq!(admission.table().gates.len(), 2);
}

/// Returns the share of the jobs admitted, and that of the largest tenth of them, under a
/// sustained flood.
fn shares_by_size(shedding: SheddingPolicy, jobs_per_s: f64) -> (f64, f64) {
    let workloads = [workload("a", "flood", jobs_per_s, 200.0)];
    let mut cluster = SimulatedCluster::new(1000.0, &workloads, &FRESH_TABLES);
    cluster.shedding = shedding;
    cluster.run(1800);
    // By now the class has a gate.
    let mut jobs: Vec<(f64, bool)> = Vec::new();
    for n in 0..3000 {
        let work_cpu_s = cluster.draw_work_cpu_s(200.0);
        let request = AdmissionRequest {
            job: job_hash(&format!("wk-9{n:05}")),
            class: tenant_class_id("a", "flood"),
            work_cpu_s,
            waited_s: 0.0,
        };
        let decision = decide(cluster.admission.table(), &request);
        jobs.push((work_cpu_s, decision == Decision::Admit));
    }
    jobs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let share = |jobs: &[(f64, bool)]| {
        let admitted = jobs.iter().filter(|(_, admitted)| *admitted);
        admitted.count() as f64 / jobs.len() as f64
    };
    (share(&jobs), share(&jobs[2700..]))
}

/// Refusing the largest jobs first would admit no job of the largest tenth.
#[test]
fn size_aware_shedding_admits_more_than_half_of_the_largest_tenth_and_largest_first_none() {
    let (all, largest) = shares_by_size(SheddingPolicy::SizeAware, 3.6);
    assert!(
        all > 0.6 && largest > 0.5,
        "{all} of all, {largest} of the largest"
    );
    let (most, none) = shares_by_size(SheddingPolicy::LargestFirst, 3.6);
    assert!(most - all < 0.05 && none < 0.05, "{most} and {none}");
}
