//! Scale out for jobs that may use different machines, while the cloud has no more of some.

mod common;

use cherrywood_control::leader::CloudCall;
use cherrywood_wire::user::Submission;
use common::*;

/// A cluster and its cloud; rented machines are up at once.
struct Fleet {
    cluster: TestCluster,
    machines: Vec<Worker>,
    /// Zones in which the cloud has no more machines.
    exhausted: Vec<String>,
    /// Zones of the rentals that were asked for.
    asked: Vec<String>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            cluster: TestCluster::new(),
            machines: Vec::new(),
            exhausted: Vec::new(),
            asked: Vec::new(),
        }
    }

    fn run(&mut self, from: f64, until: f64) {
        let mut now = from;
        while now < until {
            now += 0.5;
            for worker in &mut self.machines {
                self.cluster.heartbeat(worker, "n", now);
            }
            for call in self.cluster.leader.autoscale(now) {
                self.call(call, now);
            }
            self.cluster.leader.audit().unwrap();
        }
    }

    fn call(&mut self, call: CloudCall, now: f64) {
        match call {
            CloudCall::Delete(names) => {
                self.machines.retain(|m| !names.contains(&m.name));
                self.cluster.leader.machines_deleted(&names, now);
            }
            CloudCall::Rent(rent) => {
                self.asked.push(rent.zone.clone());
                let is_exhausted = self.exhausted.contains(&rent.zone);
                let count = if is_exhausted { 0 } else { rent.count };
                let names = (0..count).map(|n| format!("vm-{now}-{}-{n}", rent.request_id));
                let names: Vec<String> = names.collect();
                for name in &names {
                    let mut worker = Worker::new(name);
                    worker.zone.clone_from(&rent.zone);
                    self.machines.push(worker);
                }
                let names = (!is_exhausted).then_some(names.as_slice());
                self.cluster.leader.rental_answered(&rent, names, now);
            }
        }
    }

    fn running(&self, id: &str) -> usize {
        let tasks = self.machines.iter().flat_map(|m| &m.tasks);
        tasks.filter(|t| t.task.starts_with(id)).count()
    }
}

fn bound(id: &str, zone: &str, tasks: u32) -> Submission {
    Submission {
        zone: Some(zone.into()),
        ..wide_job(id, tasks)
    }
}

/// Guards against an accepted job that never runs: a job that may run anywhere waits behind one
/// that is bound to a zone in which the cloud has no more machines.
#[test]
fn a_job_behind_one_that_cannot_be_served_gets_its_machine() {
    let mut fleet = Fleet::new();
    fleet.exhausted.push("a".into());
    fleet.cluster.submit(&bound("wk-000001", "a", 2), 0.0);
    fleet.run(0.0, 15.0);
    fleet.cluster.submit(&wide_job("wk-000002", 2), 15.0);
    fleet.run(15.0, 20.0);
    assert_eq!(
        (fleet.running("wk-000001"), fleet.running("wk-000002")),
        (0, 2),
        "{}",
        fleet.cluster.leader.summary()
    );
    assert!(fleet.asked.iter().filter(|zone| *zone == "a").count() > 1);
}

/// Guards against a fleet that stops growing: the demand of hundreds of tasks that may run
/// anywhere isn't met while the first job in the queue can't be served.
#[test]
fn the_fleet_grows_for_all_work_behind_a_job_that_cannot_be_served() {
    let mut fleet = Fleet::new();
    fleet.exhausted.push("a".into());
    fleet.cluster.submit(&bound("wk-000001", "a", 2), 0.0);
    fleet.cluster.submit(&wide_job("wk-000002", 4), 0.0);
    fleet.run(0.0, 15.0);
    assert_eq!(fleet.running("wk-000002"), 4);
    for n in 3..13 {
        let more = Submission {
            estimate_s: 60.0,
            ..wide_job(&format!("wk-{n:06}"), 40)
        };
        fleet.cluster.submit(&more, 15.0);
    }
    fleet.run(15.0, 25.0);
    let running: usize = (3..13).map(|n| fleet.running(&format!("wk-{n:06}"))).sum();
    assert_eq!(running, 400, "{}", fleet.cluster.leader.summary());
}

/// Guards against rentals in the wrong place: a bound job that is the first in the queue must not
/// draw the machines for all other work into its zone, nor get none while others have enough.
#[test]
fn each_zone_gets_the_machines_that_its_bound_jobs_need() {
    let mut fleet = Fleet::new();
    fleet.cluster.submit(&bound("wk-000001", "a", 4), 0.0);
    fleet.cluster.submit(&bound("wk-000002", "b", 40), 0.0);
    fleet.run(0.0, 5.0);
    let in_zone = |zone: &str| fleet.machines.iter().filter(|m| m.zone == zone).count();
    assert_eq!((in_zone("a"), in_zone("b")), (1, 10));
    assert_eq!(
        (fleet.running("wk-000001"), fleet.running("wk-000002")),
        (4, 40)
    );
}
