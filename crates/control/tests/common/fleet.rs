//! A cluster with the autoscaler and a cloud that has several types of machines.

use super::*;
use cherrywood_control::leader::CloudCall;

/// A cluster and its cloud; rented machines are up at once.
pub struct Fleet {
    pub cluster: TestCluster,
    pub machines: Vec<Worker>,
    /// Zones in which the cloud has no more machines.
    pub exhausted: Vec<String>,
    /// Zones of the rentals that were asked for.
    pub asked: Vec<String>,
}

/// The small type of most tests, a larger one, and one with GPUs.
pub fn three_types() -> Vec<MachineType> {
    let small = machine_types().remove(0);
    let large = MachineType {
        name: "m32".into(),
        cpus: 32.0,
        memory_gb: 256.0,
        price_per_hour: 9.0,
        spot_price_per_hour: Some(2.5),
        ..small.clone()
    };
    let gpu = MachineType {
        name: "g8".into(),
        gpus: 8.0,
        price_per_hour: 12.0,
        spot_price_per_hour: Some(5.0),
        ..large.clone()
    };
    vec![small, large, gpu]
}

/// A machine that is up in a zone.
pub fn in_zone(name: &str, zone: &str) -> Worker {
    Worker {
        zone: zone.into(),
        ..Worker::new(name)
    }
}

impl Fleet {
    /// No machines, and a cloud that has three types of them.
    pub fn new() -> Fleet {
        Fleet::with(three_types(), Vec::new())
    }

    /// These machines, and a cloud that has machines of these types.
    pub fn with(machine_types: Vec<MachineType>, machines: Vec<Worker>) -> Fleet {
        let mut cluster = TestCluster::new();
        cluster.leader.set_machine_types(machine_types);
        Fleet {
            cluster,
            machines,
            exhausted: Vec::new(),
            asked: Vec::new(),
        }
    }

    pub fn run(&mut self, from: f64, until: f64) {
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
                    worker.machine_type.clone_from(&rent.machine_type);
                    self.machines.push(worker);
                }
                let names = (!is_exhausted).then_some(names.as_slice());
                self.cluster.leader.rental_answered(&rent, names, now);
            }
        }
    }

    /// Number of tasks of the job that run.
    pub fn running(&self, id: &str) -> usize {
        let tasks = self.machines.iter().flat_map(|m| &m.tasks);
        let running = tasks.filter(|t| t.is_running() && t.task.starts_with(id));
        running.count()
    }

    /// Number of tasks that run in the zone.
    pub fn running_in(&self, zone: &str) -> usize {
        let here = self.machines.iter().filter(|m| m.zone == zone);
        here.map(Worker::running).sum()
    }

    /// Asserts that this many tasks of the job run.
    #[track_caller]
    pub fn assert_running(&self, id: &str, tasks: usize) {
        let summary = self.cluster.leader.summary();
        assert_eq!(self.running(id), tasks, "tasks of {id}; {summary}");
    }
}

/// A job whose tasks may run in one zone alone.
pub fn bound(id: &str, zone: &str, tasks: u32) -> Submission {
    Submission {
        zone: Some(zone.into()),
        ..wide_job(id, tasks)
    }
}

/// The machines of one type.
pub fn of_type<'a>(fleet: &'a Fleet, name: &'a str) -> impl Iterator<Item = &'a Worker> {
    fleet
        .machines
        .iter()
        .filter(move |m| m.machine_type == name)
}
