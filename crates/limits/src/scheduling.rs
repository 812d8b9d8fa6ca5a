//! The run time predictor, the multi-level queue and the choice of a machine for a task.

/// Number of levels of the multi-level queue.
pub const LEVELS: usize = 3;

/// Level of tasks whose key is not trusted: the middle one.
pub const DEFAULT_LEVEL: usize = 1;

/// Relative share of worker time that each level gets while all levels have work.
pub const LEVEL_WEIGHTS: [f64; LEVELS] = [8.0, 3.0, 1.0];

/// Factor by which each observation multiplies the weight of a key's earlier ones.
pub const KEY_DECAY: f64 = 0.995;

/// Like [`KEY_DECAY`], for the pooled history, which sets the boundaries between levels.
pub const POOLED_DECAY: f64 = 0.9999;

/// Completed tasks between two computations of the level boundaries.
pub const BOUNDARY_REFRESH_COMPLETIONS: u64 = 256;

/// Completed tasks, of all keys, before the first level boundaries are used.
pub const BOUNDARY_MIN_COMPLETIONS: u64 = 100;

/// Completed tasks before a key is trusted (*n min* in equation 3).
pub const KEY_MIN_COMPLETIONS: u64 = 20;

/// Maximum ratio of the 99th percentile to the median of a trusted key (κ in equation 3).
pub const SPREAD_MAX_MEDIANS: f64 = 16.0;

/// Maximum share of a trusted key's tasks that were lost or failed (γ in equation 3).
pub const CENSORED_SHARE_MAX: f64 = 0.05;

/// Seconds without activity after which a key is not trusted (τ in equation 3).
pub const KEY_STALE_S: f64 = 1800.0;

/// Seconds without activity (a completed task or a trusted prediction) in which a key's history
/// loses half of its weight.
pub const KEY_IDLE_HALF_LIFE_S: f64 = 600.0;

/// Seconds that a task waits in its level before it may move up one level (paper 3.6).
pub const AGING_THRESHOLD_S: f64 = 5.0;

/// Seconds between two passes of aging (paper 3.6).
pub const AGING_INTERVAL_S: f64 = 0.5;

/// Maximum number of keys whose histograms are kept, which bounds memory; the least recently
/// used key is evicted first.
pub const KEYS_MAX: usize = 96;

/// Longest run time in milliseconds that a histogram distinguishes from longer ones: a day.
pub const RUN_TIME_MAX_MS: u64 = 86_400_000;

/// Weight of a new observation at which a histogram's counts are rescaled: far below the maximum
/// of a count.
pub const HISTOGRAM_RESCALE_WEIGHT: f64 = 1.0e6;

/// Histogram counts that represent an observation of weight 1: enough to represent the 0.5% of
/// its weight that an observation loses with each newer one.
pub const HISTOGRAM_UNITS_PER_OBSERVATION: f64 = 1000.0;

/// Cost of placing a task on an empty machine instead of a full one, in equivalent seconds of
/// waiting for an image: machines that are almost empty drain and can be returned.
pub const EMPTY_MACHINE_COST_S: f64 = 6.0;

/// Cost of placing a task on an on-demand machine instead of a spot machine, in equivalent
/// seconds of waiting for an image.
pub const ON_DEMAND_COST_S: f64 = 12.0;

/// Remaining seconds of an image fetch up to which a machine counts as having the image.
pub const IMAGE_READY_WITHIN_S: f64 = 2.5;

/// Maximum seconds for which a task may be passed over by tasks of its level whose image is
/// already on a machine with room.
pub const PASSED_OVER_FOR_IMAGE_MAX_S: f64 = 20.0;

/// Seconds that a task waits for room on a machine with its image before another machine
/// fetches the image; the wait is never longer than half of the duration of the fetch.
pub const FETCH_ON_OTHER_MACHINE_AFTER_S: f64 = 6.0;

/// Used share of a team's CPU limit from which the team's CPUs count as scarce.
pub const TEAM_LIMIT_SCARCE_SHARE: f64 = 0.7;

/// Share of the CPU limit of a team with scarce CPUs that its tasks may occupy while they wait
/// for images: such tasks use up the limit and do no work.
pub const SCARCE_TEAM_FETCHING_SHARE: f64 = 0.12;

/// Seconds for which a job of a team at its limit may have no task on a machine while other jobs
/// of the team are served: half of the 90 s after which operators count the job as starved. A
/// task is on its machine only after a write to the key-value store, a heartbeat and an image
/// fetch, and one placement may be lost meanwhile.
pub const STARVATION_UNPLACED_S: f64 = 45.0;

/// Like [`STARVATION_UNPLACED_S`], for a job that has a task on a machine: longer than most
/// tasks run. Otherwise such jobs would share freed CPUs evenly, and all would be done late.
pub const STARVATION_PLACED_S: f64 = 75.0;

/// Seconds for which the rest of a team's quota is reserved for a task that needs more, before
/// smaller tasks may use it again: they must not wait for 90 s while a machine has room and their
/// team is under its limit.
pub const QUOTA_RESERVED_MAX_S: f64 = 30.0;

/// Seconds for which smaller tasks may then use the rest of the quota.
pub const QUOTA_RESERVATION_PAUSE_S: f64 = 5.0;

/// Seconds for which a team counts as limited after its limit last refused a task: tasks that
/// end at the same time leave room only until the next placement pass.
pub const TEAM_LIMITED_FOR_S: f64 = 10.0;

/// Slack in seconds below which a job that can still meet an objective of its class is served
/// because of its slack, before the virtual clocks of the levels decide; among such jobs the one
/// with the least remaining work is first.
pub const OBJECTIVE_AT_RISK_SLACK_S: f64 = 40.0;

/// Grace after a job's deadline, as a share of the deadline, in which completion still has some
/// value (the second objective on deadlines is at 1.5 times the deadline).
pub const DEADLINE_GRACE_SHARE: f64 = 0.5;

/// Ratio of the assumed run time of a job's slowest task to the job's estimated run time while
/// its key has no history.
pub const SLOWEST_TASK_ESTIMATE_FACTOR: f64 = 2.0;

/// CPUs that best-effort work leaves free for arriving tasks, as a share of the CPUs that other
/// work uses: preemption of best-effort work costs a heartbeat, a checkpoint and a start.
pub const BEST_EFFORT_FREE_CPU_SHARE: f64 = 0.02;
