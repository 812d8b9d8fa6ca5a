//! All pending work, collected from the queue for one pass.

use crate::leader::instance_pools::{PoolSet, PoolSets};
use crate::leader::{Job, JobIndex, Leader, ObjectiveKind};
use crate::resources::{Resources, task_request};
use cherrywood_admission::TenantClassId;
use cherrywood_limits as limits;
use cherrywood_sched::Predictor;
use cherrywood_sched::queue::{Position, TaskRange};
use cherrywood_sched::starvation::PassedOverJob;
use cherrywood_wire::user::{JobKind, Priority};
use rustc_hash::FxHashMap;

/// A job with pending tasks. Whether a job can be served is checked several times a pass for
/// each of thousands of jobs, so the check uses these fields alone.
pub(super) struct PendingJob {
    pub(super) job: JobIndex,
    pub(super) kind: JobKind,
    pub(super) image_id: u64,
    pub(super) priority: Priority,
    pub(super) tenant_class: TenantClassId,
    pub(super) best_effort: bool,
    /// Index in `PendingWork::pool_sets` of the pools whose machines its tasks may use.
    pub(super) pool_set: usize,
    /// Resources that each task requests.
    pub(super) request: Resources,
    /// Resources that each task counts against the team's quota: CPUs and GPUs.
    pub(super) quota_request: Resources,
    /// Expected run time of a task, s.
    pub(super) expected_run_s: f64,
    /// Seconds until the job's tasks must be started for the next objective or deadline that it
    /// can still meet; None if there is none.
    pub(super) slack_s: Option<f64>,
    /// Index of the job's team in the settings.
    pub(super) team: usize,
    /// Index in `PendingWork::positions` of the first of the job's positions in the queue.
    pub(super) first_position: Option<usize>,
    /// No more tasks of the job are placed in this pass: no machine can take one, the job waits
    /// for an image, or a pause or a probe after failures is not over.
    pub(super) blocked: bool,
    /// Whether jobs whose image is cached on a machine with room go before the job.
    pub(super) yields_to_cached: bool,
    /// Since when the job has been passed over, if that is too long (`sched::starvation`).
    pub(super) starving_since: Option<f64>,
    /// The last result of the search for the best machine for the job.
    pub(super) best_machine: Option<CachedMachineChoice>,
}

/// The best machine for a job.
#[derive(Clone, Copy)]
pub(super) struct MachineChoice {
    /// Index among the candidates.
    pub(super) candidate: usize,
    /// Seconds until the job's image can be on the machine.
    pub(super) image_wait_s: f64,
}

/// A choice of machine, valid until the next group of tasks is placed or pools are closed.
#[derive(Clone, Copy)]
pub(super) struct CachedMachineChoice {
    /// `PlacementPass::room_version` when the choice was made.
    pub(super) room_version: u64,
    /// None if no machine can take a task of the job.
    pub(super) choice: Option<MachineChoice>,
}

/// A range of pending tasks of one job.
pub(super) struct PendingRange {
    /// Index of the job in `PendingWork::jobs`.
    pub(super) pending: usize,
    pub(super) position: Position,
    pub(super) waiting_since: f64,
}

/// The pending ranges of one priority, by level.
pub(super) struct PriorityBand {
    pub(super) priority: Priority,
    pub(super) ranges_by_level: [Vec<PendingRange>; limits::LEVELS],
}

/// A position in the queue, as an element of a linked list of all positions of the same job.
pub(super) struct PositionLink {
    pub(super) position: Position,
    /// Index in `PendingWork::positions` of the job's next position.
    pub(super) next: Option<usize>,
}

/// The pending work at the start of a pass.
pub(super) struct PendingWork {
    /// The jobs with pending tasks, in the order in which they first occur in the queue.
    pub(super) jobs: Vec<PendingJob>,
    /// One band for each priority, the highest first.
    pub(super) bands: Vec<PriorityBand>,
    /// The positions of all ranges, linked for each job.
    pub(super) positions: Vec<PositionLink>,
    /// The distinct sets of pools that the jobs may use.
    pub(super) pool_sets: Vec<PoolSet>,
    /// The smallest CPUs, GPUs and memory that any pending task requests: a machine with
    /// less free needs no examination.
    pub(super) smallest_request: Resources,
}

/// The predictor's estimates for a key, looked up once a pass for all jobs of the key.
#[derive(Clone, Copy)]
struct RunTimes {
    median_s: Option<f64>,
    p95_s: Option<f64>,
}

impl RunTimes {
    fn look_up(predictor: &Predictor, key: &str) -> RunTimes {
        RunTimes {
            median_s: predictor.median_s(key),
            p95_s: predictor.p95_s(key),
        }
    }

    /// Returns the seconds until the job's pending tasks must be started for the next objective
    /// or deadline that it can still meet; None if there is none.
    fn slack_s(self, job: &Job, now: f64) -> Option<f64> {
        let mut least_s: Option<f64> = None;
        let mut consider = |slack_s: f64| {
            if slack_s >= 0.0 && least_s.is_none_or(|least_s| slack_s < least_s) {
                least_s = Some(slack_s);
            }
        };
        let age_s = now - job.ready_at;
        let unknown_p95_s = job.spec.estimate_s * limits::SLOWEST_TASK_ESTIMATE_FACTOR;
        for (objective, within_s) in &job.objectives {
            let run_s = match objective {
                ObjectiveKind::Finish => self.p95_s.unwrap_or(unknown_p95_s),
                ObjectiveKind::Start => 0.0,
            };
            consider(within_s - age_s - run_s);
        }
        // A deadline of the job itself or of a job that depends on it. Finishing within a grace
        // period after the deadline still counts.
        if let Some(latest) = job.latest_start {
            let grace_s = if latest.at_s < now {
                latest.grace_s
            } else {
                0.0
            };
            consider(latest.at_s + grace_s - now);
        }
        least_s
    }
}

/// Pending work while it is being collected.
struct Collector<'a> {
    leader: &'a Leader,
    now: f64,
    work: PendingWork,
    sets: PoolSets<'a>,
    index_by_job: FxHashMap<JobIndex, usize>,
    run_times_by_key: FxHashMap<u64, RunTimes>,
    /// For each job, the last of its positions collected so far.
    last_position: Vec<Option<usize>>,
}

impl Collector<'_> {
    /// Returns the index of the job in the pending work; None if the job is no longer known or
    /// its team isn't in the settings.
    fn index_of(&mut self, job: JobIndex) -> Option<usize> {
        if let Some(index) = self.index_by_job.get(&job) {
            return Some(*index);
        }
        let pending = self.pending_job(job)?;
        self.work.jobs.push(pending);
        self.last_position.push(None);
        let index = self.work.jobs.len() - 1;
        self.index_by_job.insert(job, index);
        Some(index)
    }

    fn pending_job(&mut self, index: JobIndex) -> Option<PendingJob> {
        let (leader, now) = (self.leader, self.now);
        let job = leader.jobs.get(&index)?;
        let team = job.team_index?;
        let request = task_request(&job.spec);
        self.work.smallest_request = self.work.smallest_request.component_min(request);
        let run_times = *self
            .run_times_by_key
            .entry(job.estimate_key_hash)
            .or_insert_with(|| RunTimes::look_up(&leader.predictor, &job.estimate_key));
        Some(PendingJob {
            job: index,
            kind: job.spec.kind,
            image_id: job.image_id,
            priority: job.effective_priority,
            tenant_class: job.tenant_class,
            best_effort: job.best_effort,
            pool_set: self.sets.usable_by(job).set,
            request,
            quota_request: Resources {
                memory_gb: 0.0,
                ..request
            },
            expected_run_s: expected_run_s(run_times.median_s, job),
            slack_s: run_times.slack_s(job, now),
            team,
            first_position: None,
            blocked: job.retry_at > now || job.is_suspect() && job.is_placed(),
            yields_to_cached: false,
            starving_since: leader.starving_since(job, team, now),
            best_machine: None,
        })
    }

    fn add(&mut self, pending: usize, position: Position, range: &TaskRange<JobIndex>) {
        let link = self.work.positions.len();
        self.work.positions.push(PositionLink {
            position,
            next: None,
        });
        let job = &mut self.work.jobs[pending];
        match self.last_position[pending].replace(link) {
            Some(last) => self.work.positions[last].next = Some(link),
            None => job.first_position = Some(link),
        }
        let priority = job.priority;
        self.band(priority).ranges_by_level[position.level].push(PendingRange {
            pending,
            position,
            waiting_since: range.waiting_since,
        });
    }

    fn band(&mut self, priority: Priority) -> &mut PriorityBand {
        let bands = &mut self.work.bands;
        let index = bands.iter().position(|band| band.priority == priority);
        let index = index.unwrap_or_else(|| {
            bands.push(PriorityBand {
                priority,
                ranges_by_level: Default::default(),
            });
            bands.len() - 1
        });
        &mut bands[index]
    }
}

impl Leader {
    /// Collects all pending work.
    pub(super) fn pending_work(&self, now: f64) -> PendingWork {
        let mut collector = Collector {
            leader: self,
            now,
            work: PendingWork {
                jobs: Vec::new(),
                bands: Vec::new(),
                positions: Vec::new(),
                pool_sets: Vec::new(),
                smallest_request: Resources::INFINITE,
            },
            sets: PoolSets::new(&self.machine_types),
            index_by_job: FxHashMap::default(),
            run_times_by_key: FxHashMap::default(),
            last_position: Vec::new(),
        };
        for (position, range) in self.pending_queue.positions() {
            if let Some(pending) = collector.index_of(range.job) {
                collector.add(pending, position, range);
            }
        }
        let mut work = collector.work;
        work.pool_sets = collector.sets.into_sets();
        work.bands.sort_unstable_by_key(|band| band.priority);
        work
    }

    /// Returns since when the job has had no task placed, if that is too long.
    fn starving_since(&self, job: &Job, team: usize, now: f64) -> Option<f64> {
        let since = job.unserved_since()?;
        let passed_over = PassedOverJob {
            waited_s: now - since,
            has_started: job.has_succeeded() || job.is_placed(),
            is_placed: job.is_placed(),
            quota_limited: now - self.scheduler.quota_refused_at[team] < limits::TEAM_LIMITED_FOR_S,
        };
        passed_over.is_starving().then_some(since)
    }
}

/// Returns the expected run time of a task of the job, s: the median of its key or, without one,
/// its owner's estimate.
pub(in crate::leader) fn expected_run_s(median_s: Option<f64>, job: &Job) -> f64 {
    median_s.unwrap_or(job.spec.estimate_s).max(1.0)
}
