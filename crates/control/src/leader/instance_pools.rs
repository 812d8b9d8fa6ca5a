//! Instance pools, and the sets of pools whose machines tasks may use.

use super::scheduler::pool_allowed;
use super::{Job, Machine};
use crate::resources::{machine_capacity, task_request};
use cherrywood_sched::provisioning::OccupiedCpus;
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::user::Submission;
use rustc_hash::FxHashMap;
use std::cmp::Ordering;

/// Machines of one type, zone and price model, which are rented alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct InstancePool {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// Number of pools in one word of a [`PoolSet`].
const WORD_BITS: usize = u64::BITS as usize;

/// A set of pools, by their index in a [`PoolCatalog`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct PoolSet {
    words: Vec<u64>,
}

impl PoolSet {
    fn with_capacity(pools: usize) -> PoolSet {
        PoolSet {
            words: vec![0; pools.div_ceil(WORD_BITS)],
        }
    }

    fn insert(&mut self, pool: usize) {
        self.words[pool / WORD_BITS] |= 1 << (pool % WORD_BITS);
    }

    /// Adds all pools of another set of the same catalog.
    pub(super) fn insert_all(&mut self, other: &PoolSet) {
        self.words.resize(other.words.len(), 0);
        for (own, other) in self.words.iter_mut().zip(&other.words) {
            *own |= other;
        }
    }

    /// Whether the set contains the pool.
    pub(super) fn contains(&self, pool: usize) -> bool {
        let word = self.words.get(pool / WORD_BITS);
        word.is_some_and(|word| word & (1 << (pool % WORD_BITS)) != 0)
    }

    /// Whether every pool of this set is in `other`, a set of the same catalog.
    pub(super) fn is_subset_of(&self, other: &PoolSet) -> bool {
        let mut pairs = self.words.iter().zip(&other.words);
        pairs.all(|(own, other)| own & !other == 0)
    }

    /// Compares by the number of pools, so that a set is greater than all of its subsets.
    pub(super) fn cmp_by_size(&self, other: &PoolSet) -> Ordering {
        self.len().cmp(&other.len()).then_with(|| self.cmp(other))
    }

    /// Returns the number of pools in the set.
    fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns the pools in the set, in ascending order.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> {
        (0..self.words.len() * WORD_BITS).filter(|pool| self.contains(*pool))
    }
}

/// What of a job determines the pools that its next task may use.
#[derive(Debug, PartialEq, Eq, Hash)]
struct PoolConstraints<'a> {
    machine_types: Option<&'a [String]>,
    zone: Option<&'a str>,
    allow_spot: bool,
    /// Bits of the CPUs, GPUs and memory that each task requests.
    request: [u64; 3],
}

impl<'a> PoolConstraints<'a> {
    fn of(job: &'a Job) -> PoolConstraints<'a> {
        let spec = &job.spec;
        PoolConstraints {
            machine_types: spec.machine_types.as_deref(),
            zone: job.required_zone(),
            allow_spot: spec.allow_spot,
            request: [spec.cpus, spec.gpus, spec.memory_gb].map(f64::to_bits),
        }
    }
}

/// All pools from which machines can be rented.
#[derive(Debug)]
pub(super) struct PoolCatalog<'a> {
    /// The machine types that the cloud offers.
    pub(super) machine_types: &'a [MachineType],
    pools: Vec<PoolEntry<'a>>,
    by_name: FxHashMap<(&'a str, &'a str, bool), usize>,
}

/// A pool, as it is named in the list of machine types.
#[derive(Debug)]
struct PoolEntry<'a> {
    machine_type: usize,
    zone: &'a str,
    spot: bool,
}

impl<'a> PoolCatalog<'a> {
    /// Returns the pools of these machine types.
    pub(super) fn new(machine_types: &'a [MachineType]) -> PoolCatalog<'a> {
        let mut catalog = PoolCatalog {
            machine_types,
            pools: Vec::new(),
            by_name: FxHashMap::default(),
        };
        for (index, machine_type) in machine_types.iter().enumerate() {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    catalog.add(index, zone, spot);
                }
            }
        }
        catalog
    }

    fn add(&mut self, machine_type: usize, zone: &'a str, spot: bool) {
        let name = (self.machine_types[machine_type].name.as_str(), zone, spot);
        self.by_name.entry(name).or_insert(self.pools.len());
        self.pools.push(PoolEntry {
            machine_type,
            zone,
            spot,
        });
    }

    /// Returns the number of pools.
    pub(super) fn len(&self) -> usize {
        self.pools.len()
    }

    /// Returns the pool of a machine; None if the cloud doesn't offer its type there.
    pub(super) fn pool_of(&self, machine: &Machine) -> Option<usize> {
        let zone = machine.zone.as_str();
        let name = (machine.machine_type.as_str(), zone, machine.spot);
        self.by_name.get(&name).copied()
    }

    /// Returns the machine type of a pool.
    pub(super) fn machine_type(&self, pool: usize) -> &'a MachineType {
        &self.machine_types[self.pools[pool].machine_type]
    }

    /// Returns the zone of a pool.
    pub(super) fn zone(&self, pool: usize) -> &'a str {
        self.pools[pool].zone
    }

    /// Whether a pool is of spot machines.
    pub(super) fn is_spot(&self, pool: usize) -> bool {
        self.pools[pool].spot
    }

    /// Returns the pool's names.
    pub(super) fn instance_pool(&self, pool: usize) -> InstancePool {
        InstancePool {
            machine_type: self.machine_type(pool).name.clone(),
            zone: self.zone(pool).to_string(),
            spot: self.is_spot(pool),
        }
    }

    /// Returns the pools whose machines the next task of the job may use, and fits on.
    fn usable_pools(&self, job: &Job) -> PoolSet {
        let spec = &job.spec;
        let required_zone = job.required_zone();
        let mut usable = PoolSet::with_capacity(self.len());
        for pool in 0..self.len() {
            let machine_type = self.machine_type(pool);
            let (name, zone) = (&machine_type.name, self.zone(pool));
            if pool_allowed(spec, name, zone, self.is_spot(pool))
                && required_zone.is_none_or(|required| required == zone)
                && task_request(spec).fits_in(machine_capacity(machine_type))
            {
                usable.insert(pool);
            }
        }
        usable
    }

    /// Returns the CPUs of a machine that each task of the submission occupies on the machines of
    /// these pools that suit it best.
    fn occupied_cpus(&self, spec: &Submission, pools: &PoolSet) -> OccupiedCpus {
        let on_pool = |pool| {
            let capacity = machine_capacity(self.machine_type(pool));
            OccupiedCpus::on_machines(task_request(spec), capacity)
        };
        let occupied = pools.iter().map(on_pool).reduce(OccupiedCpus::min);
        occupied.unwrap_or(OccupiedCpus {
            by_cpus: spec.cpus,
            ..OccupiedCpus::default()
        })
    }

    /// Whether no machine of these pools has room for two tasks of the submission.
    fn is_one_per_machine(&self, spec: &Submission, pools: &PoolSet) -> bool {
        let task_count = |pool| {
            let capacity = machine_capacity(self.machine_type(pool));
            capacity.task_count(task_request(spec))
        };
        pools.iter().all(|pool| task_count(pool) <= 1)
    }
}

/// The pools that the next task of a job may use.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsablePools {
    /// Number of the set of pools.
    pub(super) set: usize,
    /// CPUs of a machine that each task occupies there.
    pub(super) occupied: OccupiedCpus,
    /// Whether no two of the tasks fit on one machine.
    pub(super) is_one_per_machine: bool,
}

/// The distinct sets of pools that jobs may use. Each is numbered when it first occurs;
/// the constraints of thousands of jobs lead to few sets.
pub(super) struct PoolSets<'a> {
    pub(super) catalog: PoolCatalog<'a>,
    sets: Vec<PoolSet>,
    by_set: FxHashMap<PoolSet, usize>,
    by_constraints: FxHashMap<PoolConstraints<'a>, UsablePools>,
}

impl<'a> PoolSets<'a> {
    /// Returns no sets yet, of the pools of these machine types.
    pub(super) fn new(machine_types: &'a [MachineType]) -> PoolSets<'a> {
        PoolSets {
            catalog: PoolCatalog::new(machine_types),
            sets: Vec::new(),
            by_set: FxHashMap::default(),
            by_constraints: FxHashMap::default(),
        }
    }

    /// Returns the pools that the next task of the job may use.
    pub(super) fn usable_by(&mut self, job: &'a Job) -> UsablePools {
        let constraints = PoolConstraints::of(job);
        if let Some(usable) = self.by_constraints.get(&constraints) {
            return *usable;
        }
        let set = self.catalog.usable_pools(job);
        let occupied = self.catalog.occupied_cpus(&job.spec, &set);
        let is_one_per_machine = self.catalog.is_one_per_machine(&job.spec, &set);
        let next = self.sets.len();
        let index = *self.by_set.entry(set.clone()).or_insert(next);
        if index == next {
            self.sets.push(set);
        }
        let usable = UsablePools {
            set: index,
            occupied,
            is_one_per_machine,
        };
        self.by_constraints.insert(constraints, usable);
        usable
    }

    /// Returns all sets, by their numbers.
    pub(super) fn into_sets(self) -> Vec<PoolSet> {
        self.sets
    }

    /// Returns the set of this number.
    pub(super) fn get(&self, index: usize) -> &PoolSet {
        &self.sets[index]
    }
}
