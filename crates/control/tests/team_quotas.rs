//! Teams at their quotas, in CPUs and in GPUs, while jobs on unreachable machines are cancelled
//! and the leader changes. Tasks that may still run count until they are proven gone, and no
//! longer.

mod common;

use cherrywood_control::leader::CloudCall;
use cherrywood_control::{Leader, Settings, Team, keys};
use cherrywood_wire::agent::ExitCause;
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::user::{Priority, Submission};
use common::*;

/// Time (s) within which every quota must be free again once faults are over.
const FREE_WITHIN_S: f64 = 90.0;

fn quota_settings() -> Settings {
    let team = |name: &str, cpus: f64, gpus: f64| Team {
        name: name.into(),
        cpus,
        cpus_max: cpus,
        gpus,
        gpus_max: gpus,
    };
    Settings {
        teams: vec![
            team("by_cpus", 4.0, f64::INFINITY),
            team("by_gpus", f64::INFINITY, 2.0),
            team("other", 1000.0, 1000.0),
        ],
        ..settings()
    }
}

fn machine_types_with_gpus() -> Vec<MachineType> {
    let types = machine_types().into_iter();
    types.map(|t| MachineType { gpus: 4.0, ..t }).collect()
}

/// A cluster with these settings and machine types whose leader of term 1 is elected at 0 s.
fn new_cluster() -> TestCluster {
    let mut store = Store::default();
    let leader = elect_with_gpus(&mut store, 1, 0.0);
    TestCluster { store, leader }
}

fn elect_with_gpus(store: &mut Store, term: u64, now: f64) -> Leader {
    let mut leader = store.elect_with(quota_settings(), term, now);
    leader.set_machine_types(machine_types_with_gpus());
    leader
}

fn fail_over(cluster: &mut TestCluster, term: u64, now: f64) {
    cluster.leader = elect_with_gpus(&mut cluster.store, term, now);
}

/// A job of two tasks that fill the team's quota.
fn quota_filling_job(id: &str, team: &str) -> Submission {
    Submission {
        team: team.into(),
        cpus: 2.0,
        gpus: if team == "by_gpus" { 1.0 } else { 0.0 },
        ..job(id, 2)
    }
}

/// Sends a heartbeat whose response is lost.
fn heartbeat_without_response(cluster: &mut TestCluster, worker: &mut Worker, now: f64) {
    let heartbeat = worker.next_heartbeat();
    if cluster
        .leader
        .take_heartbeat("n", &heartbeat, &[], now)
        .is_some()
    {
        cluster.leader.place_pending(now);
        cluster.write_all_at(now);
        cluster.leader.heartbeat_commands(&heartbeat, now);
    }
}

/// Runs the team's first job on `lost`, cancels it while that machine is unreachable, and elects
/// two further leaders. Returns the time of the second election.
fn cancelled_out_of_reach(cluster: &mut TestCluster, lost: &mut Worker, team: &str) -> f64 {
    cluster.submit(&quota_filling_job("wk-000001", team), 0.0);
    cluster.heartbeat(lost, "n", 1.0);
    assert_eq!(lost.running(), 2);
    cluster.cancel("wk-000001");
    fail_over(cluster, 2, 3.0);
    cluster.submit(&quota_filling_job("wk-000002", team), 3.0);
    fail_over(cluster, 3, 5.0);
    5.0
}

#[test]
fn a_cancelled_task_on_a_silent_machine_counts_until_its_leases_are_over() {
    for team in ["by_cpus", "by_gpus"] {
        let (mut cluster, mut lost) = (new_cluster(), Worker::new("vm-1"));
        let since = cancelled_out_of_reach(&mut cluster, &mut lost, team);
        let proven = since
            + cluster.leader.timing.shard_lease_bound_s()
            + cluster.leader.timing.tasks_gone_after_s();
        let mut worker = Worker::new("vm-2");
        let mut now = since;
        while worker.running() == 0 {
            now += 0.5;
            // The cloud does not respond, so only lease expiry can prove that the task is gone.
            cluster.leader.autoscale(now);
            cluster.heartbeat(&mut worker, "n", now);
            cluster.leader.audit().unwrap();
            assert!(now < since + FREE_WITHIN_S, "{team}: the limit leaks");
        }
        assert!(now > proven, "{team}: over its limit at {now}");
        assert_eq!(worker.running(), 2);
    }
}

#[test]
fn a_cancelled_task_on_a_silent_machine_counts_until_its_deletion_is_confirmed() {
    for team in ["by_cpus", "by_gpus"] {
        let (mut cluster, mut lost) = (new_cluster(), Worker::new("vm-1"));
        let mut now = cancelled_out_of_reach(&mut cluster, &mut lost, team);
        let mut worker = Worker::new("vm-2");
        let deleted = loop {
            now += 0.5;
            cluster.heartbeat(&mut worker, "n", now);
            assert_eq!(worker.running(), 0, "{team}: over its limit at {now}");
            let calls = cluster.leader.autoscale(now).into_iter();
            let mut deletions = calls.filter_map(|c| match c {
                CloudCall::Delete(names) => Some(names),
                CloudCall::Rent(_) => None,
            });
            if let Some(names) = deletions.next() {
                break names;
            }
            assert!(now < FREE_WITHIN_S, "{team}: never deleted");
        };
        assert_eq!(deleted, ["vm-1"]);
        cluster.leader.machines_deleted(&deleted, now);
        cluster.heartbeat(&mut worker, "n", now + 0.5);
        cluster.heartbeat(&mut worker, "n", now + 1.0);
        assert_eq!(worker.running(), 2, "{team}");
        cluster.leader.audit().unwrap();
    }
}

/// Deletes the unreachable machine if the leader asks for it; asserts that it asks for no other
/// deletion, as work is waiting.
fn delete_unreachable(leader: &mut Leader, now: f64) {
    for call in leader.autoscale(now) {
        if let CloudCall::Delete(names) = call {
            assert_eq!(names, ["vm-1"], "at {now}");
            leader.machines_deleted(&names, now);
        }
    }
}

/// The machine's heartbeats arrive, so it does not count as silent; no response reaches it, so its
/// cancelled task runs on.
#[test]
fn a_cancelled_task_on_a_machine_without_responses_counts_until_its_lease_is_over() {
    for team in ["by_cpus", "by_gpus"] {
        let (mut cluster, mut unreachable) = (new_cluster(), Worker::new("vm-1"));
        let since = cancelled_out_of_reach(&mut cluster, &mut unreachable, team);
        let lease_s = cluster.leader.timing.worker_lease_s;
        let mut worker = Worker::new("vm-2");
        // A job outside the quota keeps the other machine from being returned.
        let other = Submission {
            team: "other".into(),
            ..job("wk-000003", 3)
        };
        cluster.submit(&other, since);
        cluster.heartbeat(&mut worker, "n", since);
        let others = worker.running();
        let mut now = since;
        // The last heartbeat with a response was sent at 1 s.
        while now < 1.0 + lease_s {
            now += 0.5;
            delete_unreachable(&mut cluster.leader, now);
            heartbeat_without_response(&mut cluster, &mut unreachable, now);
            cluster.heartbeat(&mut worker, "n", now);
            assert_eq!(worker.running(), others, "{team}: over its limit at {now}");
        }
        unreachable.tasks.clear();
        unreachable.incarnation += 1;
        while worker.running() == others {
            now += 0.5;
            delete_unreachable(&mut cluster.leader, now);
            heartbeat_without_response(&mut cluster, &mut unreachable, now);
            cluster.heartbeat(&mut worker, "n", now);
            assert!(now < since + FREE_WITHIN_S, "{team}: the limit leaks");
        }
        assert!(worker.running() > others, "{team}");
        cluster.leader.audit().unwrap();
    }
}

/// The machine hangs when its task is cancelled, and continues within its lease under the second
/// of two later leaders. The task is stopped, and counts until a heartbeat shows that.
#[test]
fn a_cancelled_task_on_a_machine_that_hung_counts_until_its_stop_is_reported() {
    for team in ["by_cpus", "by_gpus"] {
        let (mut cluster, mut hung) = (new_cluster(), Worker::new("vm-1"));
        let since = cancelled_out_of_reach(&mut cluster, &mut hung, team);
        let mut worker = Worker::new("vm-2");
        cluster.heartbeat(&mut worker, "n", since + 0.5);
        assert_eq!(worker.running(), 0, "{team}");
        // This response stops the task.
        cluster.heartbeat(&mut hung, "n", since + 2.0);
        assert_eq!(hung.running(), 0, "{team}");
        cluster.heartbeat(&mut worker, "n", since + 2.5);
        assert_eq!(worker.running(), 0, "{team}: the stop may not have arrived");
        cluster.heartbeat(&mut hung, "n", since + 3.0);
        cluster.heartbeat(&mut worker, "n", since + 3.5);
        assert_eq!(worker.running() + hung.running(), 2, "{team}");
        cluster.leader.audit().unwrap();
    }
}

/// The ledger entry of a task that runs on is among the oldest, so its remaining placements are
/// written again into newer entries, repeatedly. Team and size are written with them although the
/// job's record is long gone.
#[test]
fn team_and_size_of_a_cancelled_job_are_carried_into_newer_ledger_entries() {
    for team in ["by_cpus", "by_gpus"] {
        let mut cluster = new_cluster();
        let mut lost = Worker::new("vm-1");
        cluster.submit(&quota_filling_job("wk-000001", team), 0.0);
        cluster.heartbeat(&mut lost, "n", 1.0);
        let first = cluster
            .store
            .records
            .keys()
            .find(|k| k.starts_with(keys::LEDGER))
            .cloned();
        cluster.cancel("wk-000001");
        // One task runs on, so that no entry is dropped as empty.
        let mut busy = Worker::new("vm-2");
        for n in 0..400 {
            let now = 1.0 + f64::from(n) * 0.01;
            let other = Submission {
                team: "other".into(),
                ..job(&format!("wk-1{n:05}"), 1)
            };
            cluster.submit(&other, now);
            cluster.heartbeat(&mut busy, "n", now);
            for t in busy.tasks.iter_mut().skip(1) {
                t.exit = Some(ExitCause::Done);
            }
        }
        let first = first.unwrap();
        assert!(
            !cluster.store.records.contains_key(&first),
            "{first} was not carried"
        );
        fail_over(&mut cluster, 2, 6.0);
        cluster.submit(&quota_filling_job("wk-000002", team), 6.0);
        let mut worker = Worker::new("vm-3");
        cluster.heartbeat(&mut worker, "n", 7.0);
        assert_eq!(worker.running(), 0, "{team}: over its limit");
        cluster.leader.audit().unwrap();
    }
}

/// A job record is read as missing and then is there again, while one task is on a silent machine
/// and the other on one that is heard.
#[test]
fn a_job_record_that_reappears_after_a_failover_counts_once() {
    for team in ["by_cpus", "by_gpus"] {
        let mut cluster = new_cluster();
        let mut lost = Worker::new("vm-1");
        cluster.submit(&quota_filling_job("wk-000001", team), 0.0);
        cluster.heartbeat(&mut lost, "n", 1.0);
        let record = cluster
            .store
            .records
            .remove(&keys::job("wk-000001"))
            .unwrap();
        fail_over(&mut cluster, 2, 3.0);
        cluster.submit(&quota_filling_job("wk-000002", team), 3.0);
        cluster
            .store
            .records
            .insert(keys::job("wk-000001"), record.clone());
        for _ in 0..2 {
            let value = cluster.store.accept(&quota_filling_job("wk-000001", team));
            cluster.leader.add_job(
                value,
                cluster.store.revision_of(&keys::job("wk-000001")),
                4.0,
            );
            cluster.leader.audit().unwrap();
        }
        let mut worker = Worker::new("vm-2");
        cluster.heartbeat(&mut worker, "n", 5.0);
        assert_eq!(worker.running(), 0, "{team}");
        // When the machine is heard again both tasks run on, and none is started a second time.
        cluster.heartbeat(&mut lost, "n", 6.0);
        cluster.heartbeat(&mut lost, "n", 7.0);
        assert_eq!(lost.running(), 2, "{team}");
        cluster.cancel("wk-000001");
        cluster.heartbeat(&mut lost, "n", 8.0);
        cluster.heartbeat(&mut lost, "n", 9.0);
        cluster.heartbeat(&mut worker, "n", 10.0);
        assert_eq!(lost.running() + worker.running(), 2, "{team}");
        cluster.leader.audit().unwrap();
    }
}

fn rentals(leader: &mut Leader, now: f64) -> Vec<String> {
    let calls = leader.autoscale(now).into_iter();
    let rents = calls.filter_map(|c| match c {
        CloudCall::Rent(rent) => Some(rent.zone),
        CloudCall::Delete(_) => None,
    });
    rents.collect()
}

/// Work that can't run because its team is at its GPU quota needs no machine, and must not come
/// before work that does.
#[test]
fn work_over_its_gpu_quota_rents_no_machine_and_blocks_no_other_work() {
    let mut cluster = new_cluster();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&quota_filling_job("wk-000001", "by_gpus"), 0.0);
    cluster.heartbeat(&mut worker, "n", 1.0);
    assert_eq!(worker.running(), 2);
    let over_quota = Submission {
        zone: Some("a".into()),
        priority: Priority::Production,
        estimate_s: 600.0,
        tasks: 50,
        ..quota_filling_job("wk-000002", "by_gpus")
    };
    cluster.submit(&over_quota, 1.0);
    cluster.heartbeat(&mut worker, "n", 2.0);
    assert_eq!(rentals(&mut cluster.leader, 2.0), [""; 0]);
    let free = Submission {
        team: "other".into(),
        zone: Some("b".into()),
        estimate_s: 600.0,
        ..job("wk-000003", 8)
    };
    cluster.submit(&free, 2.0);
    cluster.heartbeat(&mut worker, "n", 3.0);
    let zones = rentals(&mut cluster.leader, 3.0);
    assert!(
        !zones.is_empty() && zones.iter().all(|z| z == "b"),
        "{zones:?}"
    );
}

/// Work that can't run because its team is at its GPU quota must not preempt best-effort work.
#[test]
fn work_over_its_gpu_quota_preempts_nothing() {
    let mut cluster = new_cluster();
    let mut worker = Worker::new("vm-1");
    cluster.submit(&quota_filling_job("wk-000001", "by_gpus"), 0.0);
    cluster.heartbeat(&mut worker, "n", 1.0);
    // Another team has no guarantee, so that all of its work may be preempted.
    let best_effort = Submission {
        team: "guest".into(),
        priority: Priority::Low,
        checkpoint_interval_s: 5.0,
        ..job("wk-000002", 2)
    };
    let mut guests = quota_settings();
    guests.teams.push(Team {
        name: "guest".into(),
        cpus: 0.0,
        cpus_max: 100.0,
        gpus: 0.0,
        gpus_max: 100.0,
    });
    cluster.leader = cluster.store.elect_with(guests, 2, 2.0);
    cluster.leader.set_machine_types(machine_types_with_gpus());
    cluster.heartbeat(&mut worker, "n", 2.5);
    cluster.submit(&best_effort, 3.0);
    for n in 0..3 {
        cluster.heartbeat(&mut worker, "n", 3.5 + f64::from(n));
    }
    assert_eq!(worker.running(), 4);
    let over_quota = Submission {
        cpus: 4.0,
        ..quota_filling_job("wk-000003", "by_gpus")
    };
    cluster.submit(&over_quota, 7.0);
    for n in 0..5 {
        cluster.heartbeat(&mut worker, "n", 7.0 + f64::from(n));
    }
    assert_eq!(
        worker.running(),
        4,
        "best-effort tasks were preempted for work that may not run"
    );
}

/// Machines that receive no responses take no work, so they are no reason to empty one that does.
/// With more than a third of the machines unreachable none is deleted for it, and work would wait
/// beside a machine that is being emptied for as long as that lasts.
#[test]
fn machines_without_responses_are_no_reason_to_empty_a_reachable_one() {
    let mut cluster = new_cluster();
    let mut reachable = Worker::new("vm-0");
    let mut unreachable: Vec<Worker> = (1..=4).map(|n| Worker::new(&format!("vm-{n}"))).collect();
    for (n, worker) in std::iter::once(&mut reachable)
        .chain(&mut unreachable)
        .enumerate()
    {
        let other = Submission {
            team: "other".into(),
            cpus: 5.0,
            ..job(&format!("wk-00000{n}"), 1)
        };
        cluster.submit(&other, 0.5);
        cluster.heartbeat(worker, "n", 1.0);
        assert_eq!(worker.running(), 1);
    }
    fail_over(&mut cluster, 2, 2.0);
    let mut now = 2.0;
    while now < FREE_WITHIN_S {
        now += 0.5;
        for worker in &mut unreachable {
            if now == 12.0 {
                worker.tasks.clear();
                worker.incarnation += 1;
            }
            heartbeat_without_response(&mut cluster, worker, now);
        }
        if now == 14.0 {
            reachable.tasks[0].exit = Some(ExitCause::Done);
            for n in 5..9 {
                let more = Submission {
                    team: "other".into(),
                    cpus: 5.0,
                    ..job(&format!("wk-00000{n}"), 1)
                };
                cluster.submit(&more, now);
            }
        }
        cluster.heartbeat(&mut reachable, "n", now);
        cluster.leader.autoscale(now);
    }
    // The machine takes the one of four waiting tasks that it has room for.
    assert_eq!(reachable.running(), 1, "{}", cluster.leader.summary());
}
