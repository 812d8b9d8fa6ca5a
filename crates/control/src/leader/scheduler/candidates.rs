//! The machines that accept work in one pass, and their free resources.

use crate::Settings;
use crate::leader::instance_pools::{PoolCatalog, PoolSet};
use crate::leader::largest_rooms::LargestRooms;
use crate::leader::{CachedImage, Job, Machine};
use crate::resources::{Resources, machine_capacity};
use cherrywood_sched::resources::ROUNDING;
use cherrywood_wire::cloud::MachineType;
use std::collections::BTreeMap;

/// Lower bound on the assumed image fetch rate of a machine, in GB per second: rates are used
/// as divisors.
const MIN_FETCH_GB_PER_S: f64 = 0.001;

/// A machine that accepts work now.
pub(super) struct CandidateMachine<'a> {
    pub(super) name: &'a str,
    pub(super) machine: &'a mut Machine,
    pub(super) machine_type: &'a MachineType,
    /// Its instance pool; None if the cloud offers its type there no more.
    pub(super) pool: Option<usize>,
    /// Resources that the machine's placements leave free, those of this pass included.
    pub(super) free: Resources,
    /// When the machine's image fetches end, those of this pass included.
    pub(super) fetches_done_at: f64,
}

/// Returns all machines that accept work and have room for a task of the smallest pending
/// request, in the order of their names.
pub(super) fn candidate_machines<'a>(
    machines: &'a mut BTreeMap<String, Machine>,
    catalog: &PoolCatalog<'a>,
    machine_types: &'a [MachineType],
    settings: &Settings,
    smallest_request: Resources,
    now: f64,
) -> Vec<CandidateMachine<'a>> {
    let mut candidates = Vec::new();
    for (name, machine) in machines {
        let is_leaving = machine.cordoned || machine.scaling_in || machine.deleting;
        if !machine.up || is_leaving || !machine.is_reachable(now, settings) {
            continue;
        }
        let Some(machine_type) = machine_types
            .iter()
            .find(|t| t.name == machine.machine_type)
        else {
            continue;
        };
        let free = machine_capacity(machine_type) - machine.used_resources();
        if !smallest_request.fits_in(free) {
            continue;
        }
        let pool = catalog.pool_of(machine);
        let images = machine.cached_images.iter();
        let fetches_done_at = images.map(|image| image.ready_at).fold(now, f64::max);
        candidates.push(CandidateMachine {
            name,
            machine,
            machine_type,
            pool,
            free,
            fetches_done_at,
        });
    }
    candidates
}

/// The largest rooms on the candidates at the start of a pass, by pool. Room only shrinks during
/// a pass, so a job that finds none here needs no look at each candidate.
pub(super) struct CandidateRooms {
    by_pool: Vec<LargestRooms>,
    /// The rooms on machines of no pool.
    others: LargestRooms,
}

impl CandidateRooms {
    /// Returns the rooms on these candidates, of a number of pools.
    pub(super) fn of(candidates: &[CandidateMachine], pool_count: usize) -> CandidateRooms {
        let mut rooms = CandidateRooms {
            by_pool: vec![LargestRooms::default(); pool_count],
            others: LargestRooms::default(),
        };
        for candidate in candidates {
            let of_pool = match candidate.pool {
                Some(pool) => &mut rooms.by_pool[pool],
                None => &mut rooms.others,
            };
            of_pool.add(candidate.free);
        }
        rooms
    }

    /// Whether a candidate may have had room for the request, which may use these pools.
    pub(super) fn may_have(&self, request: Resources, pools: &PoolSet) -> bool {
        let mut of_pools = pools.iter().map(|pool| &self.by_pool[pool]);
        of_pools.any(|rooms| rooms.has_room_for(request)) || self.others.has_room_for(request)
    }
}

impl CandidateMachine<'_> {
    /// Returns the seconds until the job's image can be on the machine: 0 if it is cached.
    pub(super) fn image_wait_s(&self, job: &Job, now: f64) -> f64 {
        let mut images = self.machine.cached_images.iter();
        match images.find(|image| image.id == job.image_id) {
            Some(image) => (image.ready_at - now).max(0.0),
            None => (self.fetches_done_at - now).max(0.0) + self.fetch_s(job.spec.image_gb),
        }
    }

    /// Reserves room for tasks of the job that request `request` in total.
    pub(super) fn reserve(&mut self, job: &Job, request: Resources, now: f64) {
        self.use_image(job, now);
        self.machine.idle_since = now;
        self.free -= request;
    }

    /// Whether the machine has no CPU or no memory left.
    pub(super) fn is_full(&self) -> bool {
        self.free.cpus <= ROUNDING || self.free.memory_gb <= ROUNDING
    }

    /// Records that the job's image is used, or that it will be fetched after the images that
    /// are already being fetched.
    fn use_image(&mut self, job: &Job, now: f64) {
        let images = &mut self.machine.cached_images;
        if let Some(image) = images.iter_mut().find(|image| image.id == job.image_id) {
            image.last_used_at = now;
            return;
        }
        self.fetches_done_at += self.fetch_s(job.spec.image_gb);
        self.machine.cached_images.push(CachedImage {
            id: job.image_id,
            size_gb: job.spec.image_gb,
            ready_at: self.fetches_done_at,
            last_used_at: now,
        });
        self.evict_images();
    }

    /// Evicts the least recently used images until the others fit in the machine's cache; one
    /// image always stays.
    fn evict_images(&mut self) {
        let images = &mut self.machine.cached_images;
        let cache_gb = self.machine_type.cache_gb;
        while images.len() > 1 && images.iter().map(|i| i.size_gb).sum::<f64>() > cache_gb {
            let last_used_at = |at: usize| images[at].last_used_at;
            let oldest =
                (0..images.len()).min_by(|a, b| last_used_at(*a).total_cmp(&last_used_at(*b)));
            if let Some(oldest) = oldest {
                images.remove(oldest);
            }
        }
    }

    /// Returns the seconds that the machine takes to fetch `size_gb`.
    fn fetch_s(&self, size_gb: f64) -> f64 {
        size_gb / self.machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
    }
}
