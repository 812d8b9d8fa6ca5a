//! Scale out and scale in: the number of machines to rent and the choice of those to return.

/// Seconds after which a machine is rented, at any price, for a job that fits no existing
/// machine.
pub const UNPLACEABLE_JOB_RENT_AFTER_S: f64 = 10.0;

/// Like [`UNPLACEABLE_JOB_RENT_AFTER_S`], for best-effort work, for which on-demand machines
/// should not be rented.
pub const UNPLACEABLE_BEST_EFFORT_RENT_AFTER_S: f64 = 120.0;

/// Seconds for which the autoscaler remembers that the cloud had no capacity for a machine type,
/// zone and kind (spot or on demand).
pub const CAPACITY_REFUSAL_MEMORY_S: f64 = 12.0;

/// Seconds for which a rented machine is expected to work: its price is paid for these and for
/// its boot time.
pub const RENTAL_DURATION_S: f64 = 240.0;

/// Seconds without a task after which a spot machine may be returned.
pub const IDLE_SPOT_RETURN_S: f64 = 8.0;

/// Like [`IDLE_SPOT_RETURN_S`], for an on-demand machine.
pub const IDLE_ON_DEMAND_RETURN_S: f64 = 4.0;

/// Seconds in which waiting work should be worked off; determines how many spot machines are
/// rented.
pub const SPOT_BACKLOG_DRAIN_S: f64 = 20.0;

/// Like [`SPOT_BACKLOG_DRAIN_S`], for on-demand machines: determines how many are rented and
/// kept.
pub const ON_DEMAND_BACKLOG_DRAIN_S: f64 = 50.0;

/// Seconds over which the demand for CPUs is averaged before on-demand machines are rented:
/// a burst that passes sooner does not justify a boot.
pub const SCALE_OUT_AVERAGE_S: f64 = 20.0;

/// Seconds after which the average of the demand for some pools' machines is forgotten, if no
/// work has been pending for them meanwhile.
pub const POOL_DEMAND_MEMORY_S: f64 = 5.0 * SCALE_OUT_AVERAGE_S;

/// Seconds over which the demand for CPUs is averaged before machines are returned: a lull
/// that passes sooner does not justify another boot.
pub const SCALE_IN_AVERAGE_S: f64 = 8.0;

/// Seconds over which the demand for CPUs is averaged before an on-demand machine that
/// best-effort work can use meanwhile is returned: longer than the machine's boot, and short
/// enough that its rent is justified.
pub const BEST_EFFORT_HOLD_AVERAGE_S: f64 = 60.0;

/// Number of machines after which a pass of the autoscaler examines no more for gangs: the cost
/// of a pass must not grow with gangs times machines.
pub const GANG_MACHINES_EXAMINED_MAX: usize = 50_000;

/// Seconds between two passes of the autoscaler.
pub const AUTOSCALER_INTERVAL_S: f64 = 1.0;

/// Maximum number of deletion requests in one pass of the autoscaler, of up to
/// [`DELETION_MACHINES_MAX`] machines each: the tasks of a lost machine wait for its deletion,
/// and a wave of reclaimed spot machines takes hundreds of 4,000 machines.
pub const DELETIONS_PER_PASS_MAX: usize = 4;

/// Maximum number of machines in one deletion request (protocol).
pub const DELETION_MACHINES_MAX: usize = 100;

/// Maximum number of machines in one rental request (protocol).
pub const RENTAL_MACHINES_MAX: u32 = 50;

/// Seconds between two reads of the machine types' prices.
pub const PRICE_REFRESH_INTERVAL_S: f64 = 30.0;

/// Seconds that a task must have run before it is moved off a machine that is to be returned,
/// if an objective counts the task's start: an earlier stop would undo that start.
pub const MOVE_COUNTED_START_AFTER_S: f64 = 32.0;

/// Like [`MOVE_COUNTED_START_AFTER_S`], for other tasks: long enough that saving a checkpoint
/// pays off.
pub const MOVE_AFTER_S: f64 = 20.0;

/// Share of the demanded CPUs that must stay free for arriving tasks when an on-demand machine
/// is drained.
pub const DRAIN_ON_DEMAND_SPARE_SHARE: f64 = 0.06;

/// Like [`DRAIN_ON_DEMAND_SPARE_SHARE`], when a spot machine is drained.
pub const DRAIN_SPOT_SPARE_SHARE: f64 = 0.2;
