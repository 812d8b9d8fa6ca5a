//! Pending work other than best-effort work, by the instance pools that it may use. A sum over
//! all machines doesn't tell what such work can use: room in another zone, or on machines that
//! are too small for its tasks, is of no use to it.

use super::instance_pools::{PoolSet, PoolSets};
use super::quota_headroom::PendingDemand;
use super::{JobIndex, JobTable};
use crate::resources::{Resources, task_request};
use std::collections::{BTreeMap, BTreeSet};

/// Pending work that may use the machines of the same pools.
#[derive(Debug)]
pub(super) struct PoolWork {
    /// The pools.
    pub(super) pools: PoolSet,
    /// CPUs that the work may use at once.
    pub(super) cpus: f64,
    /// The jobs.
    pub(super) jobs: BTreeSet<JobIndex>,
    /// The least CPUs, GPUs and memory that any of the tasks requests.
    pub(super) least_request: Resources,
}

impl PoolWork {
    fn none(pools: PoolSet) -> PoolWork {
        PoolWork {
            pools,
            cpus: 0.0,
            jobs: BTreeSet::new(),
            least_request: Resources::INFINITE,
        }
    }
}

/// Groups pending work by the pools that it may use. A set of pools is after all of its subsets.
pub(super) fn group_by_pools<'a>(
    pending: &[PendingDemand],
    jobs: &'a JobTable,
    sets: &mut PoolSets<'a>,
) -> Vec<PoolWork> {
    let mut by_set: BTreeMap<usize, PoolWork> = BTreeMap::new();
    for demand in pending {
        let Some(job) = jobs.get(&demand.job) else {
            continue;
        };
        let set = sets.usable_by(job).set;
        let work = by_set
            .entry(set)
            .or_insert_with(|| PoolWork::none(sets.get(set).clone()));
        work.cpus += demand.cpus;
        work.least_request = work.least_request.component_min(task_request(&job.spec));
        work.jobs.insert(demand.job);
    }
    let mut work: Vec<PoolWork> = by_set.into_values().collect();
    work.sort_by(|a, b| a.pools.cmp_by_size(&b.pools));
    work
}
