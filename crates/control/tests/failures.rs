//! Failed tasks: whether the job or the machine is at fault.

mod common;

use cherrywood_control::leader::CloudCall;
use cherrywood_wire::agent::ExitCause;
use common::*;

/// Ends the running tasks of the worker, with an error where `fails` returns true.
fn end_tasks(worker: &mut Worker, fails: impl Fn(&str) -> bool) {
    for t in worker.tasks.iter_mut().filter(|t| t.is_running()) {
        t.exit = Some(if fails(&t.task) {
            ExitCause::Error
        } else {
            ExitCause::Done
        });
    }
}

/// Whether the machine is given no task of a job although it has room for some.
fn is_cordoned(cluster: &mut TestCluster, worker: &mut Worker, now: f64) -> bool {
    // The job has more tasks than one machine has room for, so each usable machine gets some.
    cluster.submit(&wide_job("wk-000099", 8), now);
    cluster.heartbeat(worker, "n1", now);
    let idle = worker.running() == 0;
    cluster.cancel("wk-000099");
    cluster.heartbeat(worker, "n1", now + 0.1);
    idle
}

/// Two broken jobs that fail on the same machine before either has failed on three machines must
/// not cordon that machine (8 machines on inc-1b81), and their failures must not make the
/// run-time estimate of a good job of the same team and image untrusted.
#[test]
fn jobs_that_fail_everywhere_cordon_no_machine_and_invalidate_no_estimate() {
    let mut cluster = TestCluster::new();
    let (mut a, mut b) = (Worker::new("vm-1"), Worker::new("vm-2"));
    cluster.submit(&wide_job("wk-000001", 2), 0.0);
    cluster.submit(&wide_job("wk-000002", 2), 0.0);
    let broken = |id: &str| !id.starts_with("wk-000003");
    for step in 0..20 {
        let now = f64::from(step) * 10.0;
        if step == 3 {
            cluster.submit(&wide_job("wk-000003", 30), now);
        }
        for worker in [&mut a, &mut b] {
            cluster.heartbeat(worker, "n1", now);
            end_tasks(worker, broken);
            cluster.heartbeat(worker, "n1", now + 1.0);
        }
    }
    assert!(!is_cordoned(&mut cluster, &mut a, 300.0));
    assert!(!is_cordoned(&mut cluster, &mut b, 301.0));
    let lost: Vec<f64> = cluster
        .leader
        .histograms_snapshot()
        .keys
        .iter()
        .map(|k| k.2)
        .collect();
    assert!(lost.iter().all(|lost| *lost == 0.0), "{lost:?}");
    cluster.leader.audit().unwrap();
}

/// A job that fails wherever it runs is retried one task at a time at growing intervals, and no
/// machines are rented for its waiting tasks.
#[test]
fn a_suspect_job_is_tried_one_task_at_a_time_and_rents_no_second_machine() {
    let mut cluster = TestCluster::new();
    let mut fleet: Vec<Worker> = (0..6).map(|i| Worker::new(&format!("vm-{i}"))).collect();
    cluster.submit(&wide_job("wk-000001", 200), 0.0);
    for (n, worker) in fleet[..2].iter_mut().enumerate() {
        let now = 1.0 + 2.0 * n as f64;
        cluster.heartbeat(worker, "n1", now);
        assert_eq!(worker.running(), 4);
        end_tasks(worker, |_| true);
        cluster.heartbeat(worker, "n1", now + 1.0);
    }
    let mut probes = Vec::new();
    for step in 5..120 {
        let now = f64::from(step);
        for worker in &mut fleet {
            end_tasks(worker, |_| true);
            cluster.heartbeat(worker, "n1", now);
        }
        let running: usize = fleet.iter().map(Worker::running).sum();
        assert!(running <= 1, "at {now}");
        if running > 0 {
            probes.push(step);
        }
        let calls = cluster.leader.autoscale(now);
        // Idle machines are returned in the meantime; a retry may need one again.
        let rents = |c: &CloudCall| matches!(c, CloudCall::Rent(r) if r.count > 1);
        assert!(!calls.iter().any(rents), "at {now}");
    }
    assert!((3..20).contains(&probes.len()), "{probes:?}");
    cluster.cancel("wk-000001");
    for worker in &mut fleet {
        cluster.heartbeat(worker, "n1", 130.0);
        cluster.heartbeat(worker, "n1", 131.0);
    }
    assert!(
        cluster.leader.placements_held().is_empty(),
        "a cancellation frees everything"
    );
}

/// A machine that fails every task is detected although broken jobs fail as well, and its good
/// jobs run elsewhere in the meantime.
#[test]
fn a_faulty_machine_is_cordoned_although_broken_jobs_fail_as_well() {
    let mut cluster = TestCluster::new();
    let (mut sick, mut worker) = (Worker::new("vm-1"), Worker::new("vm-2"));
    for n in 1..=4 {
        cluster.submit(&wide_job(&format!("wk-00000{n}"), 2), 0.0);
    }
    let broken = |id: &str| id.starts_with("wk-000004");
    let mut found = None;
    for step in 1..30 {
        let now = f64::from(step);
        cluster.heartbeat(&mut sick, "n1", now);
        end_tasks(&mut sick, |_| true);
        cluster.heartbeat(&mut worker, "n1", now);
        end_tasks(&mut worker, broken);
        if found.is_none() && step > 2 && is_cordoned(&mut cluster, &mut sick, now + 0.5) {
            found = Some(step);
        }
    }
    assert!(found.is_some_and(|n| n < 12), "{found:?}");
    assert!(
        !is_cordoned(&mut cluster, &mut worker, 40.0),
        "the other machine is not cordoned"
    );
    assert_eq!(cluster.leader.live_job_ids(), ["wk-000004"]);
    cluster.leader.audit().unwrap();
}

/// A job that failed on the only machine must not avoid that machine for good after the fault
/// has passed, or it waits forever (found by fault injection, seed 82).
#[test]
fn a_job_is_placed_again_on_a_machine_where_it_failed_a_while_ago() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&wide_job("wk-000001", 1), 0.0);
    cluster.heartbeat(&mut worker, "n1", 1.0);
    assert_eq!(worker.running(), 1);
    end_tasks(&mut worker, |_| true);
    cluster.heartbeat(&mut worker, "n1", 2.0);
    for now in [3.0, 12.0, 21.0] {
        cluster.heartbeat(&mut worker, "n1", now);
        assert_eq!(worker.running(), 0, "others would be tried first, at {now}");
    }
    cluster.heartbeat(&mut worker, "n1", 23.0);
    assert_eq!(worker.running(), 1);
}

/// Returns, for each rental, whether it asks for spot machines, and their count.
fn rentals(cluster: &mut TestCluster, now: f64) -> Vec<(bool, u32)> {
    let calls = cluster
        .leader
        .autoscale(now)
        .into_iter()
        .filter_map(|c| match c {
            CloudCall::Rent(r) => Some((r.spot, r.count)),
            CloudCall::Delete(_) => None,
        });
    calls.collect()
}

/// Where no spot machine is available, a small job must not wait forever because its few CPUs do
/// not justify an on-demand machine.
#[test]
fn a_stranded_job_has_one_machine_rented_at_any_price() {
    let mut cluster = TestCluster::new();
    let mut on_demand_only = machine_types();
    on_demand_only[0].spot_price_per_hour = None;
    cluster.leader.set_machine_types(on_demand_only);
    cluster.submit(&wide_job("wk-000001", 1), 0.0);
    assert_eq!(rentals(&mut cluster, 5.0), []);
    assert_eq!(rentals(&mut cluster, 11.0), [(false, 1)]);
    // While a machine that has room for the job is booting, no other is rented.
    let mut worker = Worker::new("vm-1");
    cluster.submit(&wide_job("wk-000002", 1), 11.0);
    cluster.heartbeat(&mut worker, "n1", 12.0);
    assert_eq!(worker.running(), 2);
    assert_eq!(rentals(&mut cluster, 30.0), []);
}
