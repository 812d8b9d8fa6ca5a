//! Tracks the free capacity of machines and of team limits, with the time since which a task of
//! a given size would have fitted.

use crate::history::{Facts, Job, MachineType};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for the rounding errors of sums of decimal numbers.
const ROUNDING: f64 = 1e-6;

/// The resources that a task takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

impl Size {
    /// Returns the size of each task of the job.
    pub fn of(job: &Job) -> Size {
        Size {
            cpus: job.cpus,
            gpus: job.gpus,
            ram_gb: job.ram_gb,
        }
    }

    fn fits_in(self, capacity: Size) -> bool {
        self.cpus <= capacity.cpus + ROUNDING
            && self.gpus <= capacity.gpus + ROUNDING
            && self.ram_gb <= capacity.ram_gb + ROUNDING
    }

    fn add(&mut self, other: Size, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.ram_gb += other.ram_gb * times;
    }
}

/// Free capacity of a machine or under a team's limit, and since when each size has fitted in.
#[derive(Debug)]
struct Capacity {
    free: Size,
    /// Indexed by the number of the size.
    fits_since_ms: Vec<Option<u64>>,
}

impl Capacity {
    fn new(free: Size, sizes: &[Size], at_ms: u64) -> Capacity {
        let mut capacity = Capacity {
            free,
            fits_since_ms: Vec::new(),
        };
        capacity.update(sizes, at_ms);
        capacity
    }

    fn update(&mut self, sizes: &[Size], at_ms: u64) {
        self.fits_since_ms.resize(sizes.len(), None);
        for (size, since_ms) in sizes.iter().zip(&mut self.fits_since_ms) {
            let fits = size.fits_in(self.free);
            *since_ms = fits.then(|| since_ms.unwrap_or(at_ms));
        }
    }

    fn adjust(&mut self, size: Size, times: f64, sizes: &[Size], at_ms: u64) {
        self.free.add(size, times);
        self.update(sizes, at_ms);
    }
}

/// A machine, from its rental until it is gone.
#[derive(Debug)]
struct Machine {
    kind: String,
    zone: String,
    spot: bool,
    /// `None` before the machine is up.
    capacity: Option<Capacity>,
    /// Whether nothing should be started here: after a spot notice, or after a task failed.
    avoided: bool,
    tasks: BTreeMap<String, Size>,
}

/// Free capacity of all machines and teams.
#[derive(Debug, Default)]
pub struct FreeCapacity {
    kinds: BTreeMap<String, Size>,
    sizes: Vec<Size>,
    machines: BTreeMap<String, Machine>,
    teams: BTreeMap<String, Capacity>,
}

impl FreeCapacity {
    /// Takes over the machine types and team limits of the deployment.
    pub fn configure(&mut self, facts: &Facts) {
        let size = |kind: &MachineType| Size {
            cpus: kind.cpus,
            gpus: kind.gpus,
            ram_gb: kind.ram_gb,
        };
        let kinds = facts
            .kinds
            .iter()
            .map(|kind| (kind.name.clone(), size(kind)));
        self.kinds = kinds.collect();
        let unlimited = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        for team in &facts.teams {
            let limit = Size {
                cpus: unlimited(team.cpus_max),
                gpus: unlimited(team.gpus_max),
                ram_gb: f64::INFINITY,
            };
            let capacity = Capacity::new(limit, &self.sizes, 0);
            self.teams.insert(team.name.clone(), capacity);
        }
    }

    /// Returns the number of this size, registering it if it is new.
    pub fn size_number(&mut self, size: Size, at_ms: u64) -> usize {
        if let Some(number) = self.sizes.iter().position(|s| *s == size) {
            return number;
        }
        self.sizes.push(size);
        let machines = self
            .machines
            .values_mut()
            .filter_map(|m| m.capacity.as_mut());
        for capacity in machines.chain(self.teams.values_mut()) {
            capacity.update(&self.sizes, at_ms);
        }
        self.sizes.len() - 1
    }

    pub fn rented(&mut self, name: &str, kind: &str, zone: &str, spot: bool) {
        let machine = Machine {
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
            capacity: None,
            avoided: false,
            tasks: BTreeMap::new(),
        };
        self.machines.insert(name.to_string(), machine);
    }

    pub fn up(&mut self, name: &str, at_ms: u64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if let Some(all) = self.kinds.get(&machine.kind) {
            machine.capacity = Some(Capacity::new(*all, &self.sizes, at_ms));
        }
    }

    pub fn gone(&mut self, name: &str) {
        self.machines.remove(name);
    }

    pub fn avoid(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.avoided = true;
        }
    }

    /// Allocates the capacity of a task on a machine, from the start command on.
    pub fn allocate(&mut self, name: &str, task: &str, size: Size, at_ms: u64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.tasks.insert(task.to_string(), size).is_none()
            && let Some(capacity) = &mut machine.capacity
        {
            capacity.adjust(size, -1.0, &self.sizes, at_ms);
        }
    }

    /// Releases the capacity of a task. Returns false if it had none.
    pub fn release(&mut self, name: &str, task: &str, at_ms: u64) -> bool {
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        let Some(size) = machine.tasks.remove(task) else {
            return false;
        };
        if let Some(capacity) = &mut machine.capacity {
            capacity.adjust(size, 1.0, &self.sizes, at_ms);
        }
        true
    }

    /// Returns the tasks that have capacity on a machine.
    pub fn tasks(&self, name: &str) -> Vec<String> {
        let machine = self.machines.get(name);
        machine.map_or(Vec::new(), |m| m.tasks.keys().cloned().collect())
    }

    /// Adds the size to the usage of a team (`times` 1), or subtracts it (-1).
    pub fn add_team_usage(&mut self, team: &str, size: Size, times: f64, at_ms: u64) {
        if let Some(capacity) = self.teams.get_mut(team) {
            capacity.adjust(size, -times, &self.sizes, at_ms);
        }
    }

    /// Returns the time since which the team has been under its limit by this size.
    pub fn team_free_since_ms(&self, team: &str, number: usize) -> Option<u64> {
        self.teams.get(team)?.fits_since_ms[number]
    }

    /// Returns the earliest time since which a machine that the job allows, in a zone that the
    /// job may use now, has had capacity for a task, with the name of the machine.
    pub fn machine_free_since_ms(
        &self,
        job: &Job,
        number: usize,
        full_zones: &BTreeSet<&str>,
        only_zone: Option<&str>,
    ) -> Option<(u64, &str)> {
        let allowed = |m: &Machine| {
            let kind = job.kinds.as_ref().is_none_or(|k| k.contains(&m.kind));
            let zone = job.zone.as_ref().is_none_or(|z| *z == m.zone)
                && only_zone.is_none_or(|z| z == m.zone)
                && !full_zones.contains(m.zone.as_str());
            kind && zone && (job.spot || !m.spot) && !m.avoided
        };
        let fitting = self.machines.iter().filter(|(_, m)| allowed(m));
        let since = fitting.filter_map(|(name, m)| {
            let since_ms = m.capacity.as_ref()?.fits_since_ms[number]?;
            Some((since_ms, name.as_str()))
        });
        since.min()
    }

    /// Returns the zone of a machine.
    pub fn zone(&self, name: &str) -> Option<&str> {
        self.machines.get(name).map(|m| m.zone.as_str())
    }
}
