//! Machines that are silent, boot late or fail tasks.

/// Seconds past a worker's lease after which a silent machine is deleted.
pub const SILENT_DELETE_EXTRA_S: f64 = 2.0;

/// Maximum share of silent machines at which silent machines are still deleted; above it a
/// network fault is the more likely cause, and network partitions heal.
pub const SILENT_DELETE_SHARE_MAX: f64 = 0.34;

/// Multiple of the listed boot time after which a machine that is not up yet is deleted.
pub const BOOT_GIVE_UP_FACTOR: f64 = 3.5;

/// Seconds added to [`BOOT_GIVE_UP_FACTOR`] times the boot time, for machine types that boot
/// fast.
pub const BOOT_GIVE_UP_EXTRA_S: f64 = 20.0;

/// Multiple of the listed boot time from which a boot is overdue (the protocol describes 1.5 as
/// usual).
pub const BOOT_OVERDUE_FACTOR: f64 = 1.5;

/// Multiple of the listed boot time up to which an overdue boot is evidence about the machine's
/// type and zone.
pub const BOOT_EVIDENCE_FACTOR: f64 = 6.0;

/// Maximum seconds until the first heartbeat of a new machine.
pub const FIRST_HEARTBEAT_MAX_S: f64 = 5.0;

/// Minimum number of machines that should be up by now for an overdue majority of them to be
/// evidence about their type and zone.
pub const BOOT_EVIDENCE_MACHINES_MIN: u32 = 3;

/// Number of failed tasks on a machine, of jobs that succeeded elsewhere and without a success
/// on the machine meanwhile, from which the machine counts as faulty.
pub const FAULTY_MACHINE_TASKS: u32 = 2;

/// Number of jobs that fail on a machine and failed nowhere else, without a success on the
/// machine meanwhile, from which the machine counts as faulty.
pub const FAULTY_MACHINE_JOBS: usize = 3;

/// Number of machines on which a job fails, without a success meanwhile, before the job itself
/// counts as faulty.
pub const FAULTY_JOB_MACHINES: usize = 2;

/// Seconds for which a job avoids a machine on which it failed: long enough for other machines
/// to be tried, and bounded because the machine may be the only one.
pub const FAILED_MACHINE_AVOIDED_S: f64 = 20.0;

/// Initial retry delay in seconds of a job that failed on several machines; doubled each time.
pub const FAULTY_JOB_RETRY_FIRST_S: f64 = 1.0;

/// Maximum retry delay in seconds of a job that failed on several machines.
pub const FAULTY_JOB_RETRY_MAX_S: f64 = 60.0;

/// Number of times that an unacknowledged start command is sent before its task is placed again.
pub const START_COMMAND_ATTEMPTS_MAX: u32 = 4;

/// Seconds added to a job's `checkpoint_save_s` when a task is stopped to save a checkpoint.
pub const CHECKPOINT_GRACE_EXTRA_S: f64 = 1.0;
