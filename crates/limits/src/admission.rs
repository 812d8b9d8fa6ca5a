//! The admission controller, which limits accepted work under overload.

/// Length in seconds of the window of recent offers from which a table estimates the next ones.
pub const OFFERED_WINDOW_S: f64 = 30.0;

/// Minimum length in seconds of that window, used by a leader that was just elected.
pub const OFFERED_WINDOW_MIN_S: f64 = 3.0;

/// Seconds within which a job should be done if no objective covers its class.
pub const DEFAULT_COMPLETION_TARGET_S: f64 = 300.0;

/// Maximum backlog, as a multiple of the work that the fleet does in a completion target.
/// At 1, every admitted job could be done in time. But a refused job is certainly late, while
/// most bursts pass and their backlog is done soon after: at 1, 20% of the users of an overload
/// day gave up, and no user was served sooner (docs/admission.md).
pub const BACKLOG_MAX_TARGETS: f64 = 3.0;

/// Seconds over which a smaller or larger backlog is adjusted to [`BACKLOG_MAX_TARGETS`].
pub const BACKLOG_SETTLE_S: f64 = 15.0;

/// Share of the fleet's throughput that is admitted regardless of the backlog: enough for small
/// jobs, so that no class is refused entirely while an old backlog is worked off.
pub const INFLOW_MIN_SHARE: f64 = 0.25;

/// Load (waiting work divided by the work that may wait) below which there is room again.
/// Refused jobs are told to retry when the load is expected to fall to this value, and at or
/// above it the gates of classes without recent offers are kept.
pub const GATES_OPEN_LOAD: f64 = 0.9;

/// Throughput assumed before the first measurement, CPU-seconds of expected work per CPU-second.
pub const THROUGHPUT_INITIAL: f64 = 0.7;

/// Lower bound of the measured throughput, CPU-seconds of expected work per CPU-second.
pub const THROUGHPUT_MIN: f64 = 0.2;

/// Upper bound of the measured throughput, CPU-seconds of expected work per CPU-second.
pub const THROUGHPUT_MAX: f64 = 1.5;

/// Minimum weight of earlier throughput measurements, in seconds of all CPUs that are up:
/// machines that have just booted fetch images, so their output says little about throughput.
pub const THROUGHPUT_PRIOR_S: f64 = 60.0;

/// Half-life in seconds of the weight of measured work.
pub const THROUGHPUT_HALF_LIFE_S: f64 = 60.0;

/// Half-life in seconds of job counts: long compared with a burst, short compared with a day.
pub const JOB_COUNT_HALF_LIFE_S: f64 = 300.0;

/// Seconds for which users keep retrying a refused job (protocol).
pub const USER_GIVE_UP_AFTER_S: f64 = 60.0;

/// Seconds after a job's last attempt for which another attempt is expected: above the longest
/// `Retry-After` ([`RETRY_AFTER_MAX_S`]) plus the second that a user may add.
pub const RETRY_EXPECTED_S: f64 = 33.0;

/// Seconds since a job's first attempt after which only half of its work counts.
pub const HALF_WORK_WAIT_S: f64 = 60.0;

/// Minimum `Retry-After` in seconds.
pub const RETRY_AFTER_MIN_S: f64 = 6.0;

/// Maximum `Retry-After` in seconds: short enough for several attempts before a user gives up.
pub const RETRY_AFTER_MAX_S: f64 = 25.0;

/// Seconds over which the retries of jobs refused at one moment are spread.
pub const RETRY_AFTER_SPREAD_S: f64 = 8.0;

/// Relative difference up to which two jobs count as equal in work.
pub const SAME_WORK_TOLERANCE: f64 = 1e-3;

/// Relative change of a gate up to which the table keeps the gate's present value.
pub const GATE_CHANGE_MIN_SHARE: f64 = 0.15;

/// Maximum number of refused jobs remembered.
pub const REFUSED_JOBS_REMEMBERED_MAX: usize = 10_000;

/// Seconds for which a refused job is remembered.
pub const REFUSED_JOB_MEMORY_S: f64 = 90.0;

/// Maximum number of refused jobs kept to be sent to the other controllers.
pub const REFUSED_JOBS_TO_SEND_MAX: usize = 4000;

/// Maximum number of refused jobs in one frame, some 30 bytes each.
pub const REFUSED_JOBS_PER_FRAME_MAX: usize = 500;

/// Maximum number of tenant classes whose counts are saved for the next leader: some 60 bytes
/// each, in one value.
pub const TENANT_CLASSES_SAVED_MAX: usize = 250;

/// Default served share up to which every tenant class takes precedence over any team's
/// guarantee. It is above one half because a class counts as starved if less than half of it is
/// served.
pub const SERVED_SHARE_FLOOR: f64 = 0.6;

/// Served share of a class's admitted jobs that are due, below which the class is under-served.
pub const UNDER_SERVED_SHARE: f64 = 0.5;

/// Share of freed CPUs that all under-served classes together get before other classes.
pub const UNDER_SERVED_CPU_SHARE: f64 = 0.25;

/// Share of all CPUs up to which the CPUs due to under-served classes are saved up while none of
/// their tasks fits.
pub const UNDER_SERVED_SAVED_CPU_SHARE: f64 = 0.05;

/// Share of a class's horizon (its time for completion) after which a waiting job counts as
/// overdue in the search for under-served classes.
pub const LATE_AFTER_HORIZON_SHARE: f64 = 0.3;

/// Number of task run times added to the horizon if no objective covers the class.
pub const UNCOVERED_CLASS_EXTRA_RUN_TIMES: f64 = 3.0;

/// Run time in seconds assumed for a task of a service when its work is computed.
pub const SERVICE_TASK_WORK_S: f64 = 600.0;

/// Changes in the key-value store per job: its key, final state and progress.
pub const STORE_CHANGES_PER_JOB: f64 = 5.0;

/// Share of the key-value store's change rate that jobs may use.
pub const STORE_CHANGES_FOR_JOBS_SHARE: f64 = 0.7;

/// Maximum share of the largest tenth of a class's jobs that is admitted before smaller jobs.
/// Operators ask for half; this is above it because among only a dozen such jobs chance may
/// refuse more than the intended share.
pub const LARGEST_JOBS_SHARE_MAX: f64 = 0.7;

/// Maximum share of the room that goes to the largest jobs: if there is too little room for
/// half of the jobs of every size, the many smaller jobs still get at least half of the room.
pub const LARGEST_JOBS_ROOM_SHARE_MAX: f64 = 0.5;

/// Multiple of the smallest work among a class's largest jobs above which a job is treated as
/// another kind of job, which waits for the end of the overload.
pub const LARGEST_JOBS_SIZE_RATIO_MAX: f64 = 16.0;

/// Minimum number of a class's offers for its largest tenth to be treated separately.
pub const SIZE_AWARE_MIN_OFFERS: usize = 5;

/// Seconds after which an accepted job without a started task has its first task placed before
/// all others: operators ask for a start within 240 s.
pub const FIRST_TASK_WITHIN_S: f64 = 120.0;

/// Seconds between two refreshes of the admission table.
pub const TABLE_INTERVAL_S: f64 = 1.0;

/// Seconds without confirmation of the leader's table after which a controller reads the table
/// stored in the key-value store.
pub const TABLE_STALE_S: f64 = 3.0;

/// Minimum seconds between two writes of the table.
pub const TABLE_WRITE_INTERVAL_S: f64 = 2.0;

/// Share of the CPUs that are up that must be in use for throughput to be measured.
pub const THROUGHPUT_MEASURED_CPU_SHARE: f64 = 0.8;

/// Seconds after the fleet grew for which the cloud doesn't count as full.
pub const SCALE_OUT_MEMORY_S: f64 = 5.0;

/// Minimum number of machines in one rental for it to count as growth of the fleet: single
/// machines become available at the cloud all the time.
pub const SCALE_OUT_MACHINES_MIN: u32 = 4;

/// Seconds without growth of the fleet, while more machines are wanted, after which the cloud
/// counts as full.
pub const CLOUD_FULL_AFTER_S: f64 = 15.0;
