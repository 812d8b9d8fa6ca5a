//! The decision on one job: a pure function of the table, the job and its waiting time, so that
//! every controller with the same table makes the same decision.

use crate::ids::{largest_jobs_gate_id, unit_interval};
use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::{AdmissionTable, Gate, JobHash, TenantClassId};

/// Lower bound of a gate's work as a divisor, to avoid division by zero.
const MIN_WORK_CPU_S: f64 = 1e-9;
/// Bits by which a job's hash is rotated for the gate of the largest jobs, so that one hash gives
/// an independent pseudo-random number for each decision that needs one.
const LARGEST_JOBS_ROTATION: u32 = 29;
/// The same for the spread of retries.
const RETRY_SPREAD_ROTATION: u32 = 17;

/// A request to admit a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Hash of the job's id.
    pub job: JobHash,
    /// The job's class and team.
    pub class: TenantClassId,
    /// The job's expected work, CPU-seconds.
    pub work_cpu_s: f64,
    /// Seconds since the job's first attempt.
    pub waited_s: f64,
}

/// Decision on an [`AdmissionRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The job is admitted.
    Admit,
    /// The job is refused for now.
    Refuse {
        /// Seconds after which the submission should be retried.
        retry_after_s: u64,
    },
}

/// Returns the work of a job that is compared with its class's gate, CPU-seconds.
///
/// A refused job must not be overtaken by newer jobs of its size, so its work is discounted the
/// more the longer it has waited, down to half after `limits::HALF_WORK_WAIT_S`.
pub fn discounted_work_cpu_s(work_cpu_s: f64, waited_s: f64) -> f64 {
    work_cpu_s / (1.0 + waited_s.clamp(0.0, limits::HALF_WORK_WAIT_S) / limits::HALF_WORK_WAIT_S)
}

/// Admits or refuses a job. All jobs of a class without a gate are admitted.
pub fn decide(table: &AdmissionTable, request: &AdmissionRequest) -> Decision {
    let Some(gate) = find_gate(table, request.class) else {
        return Decision::Admit;
    };
    if passes(gate, request) || passes_as_one_of_the_largest(table, request) {
        return Decision::Admit;
    }
    Decision::Refuse {
        retry_after_s: retry_after_s(table, gate, request),
    }
}

fn find_gate(table: &AdmissionTable, class: TenantClassId) -> Option<&Gate> {
    let at = table.gates.binary_search_by_key(&class, |gate| gate.class);
    Some(&table.gates[at.ok()?])
}

/// Returns whether the job's discounted work is below the gate's bound. Of the jobs at the bound
/// (within `limits::SAME_WORK_TOLERANCE`) the gate's share passes, and of all jobs if the gate has
/// no bound.
fn passes(gate: &Gate, request: &AdmissionRequest) -> bool {
    let bound = gate.max_work_cpu_s;
    let work = discounted_work_cpu_s(request.work_cpu_s, request.waited_s);
    if bound.is_infinite() || (work - bound).abs() <= bound * limits::SAME_WORK_TOLERANCE {
        unit_interval(request.job.0) < f64::from(gate.share)
    } else {
        work < bound
    }
}

/// Returns whether the job is one of its class's largest, and in the share of those that is
/// admitted. The pseudo-random number differs from that used at the class's own gate, so the two
/// gates decide independently.
fn passes_as_one_of_the_largest(table: &AdmissionTable, request: &AdmissionRequest) -> bool {
    let Some(gate) = find_gate(table, largest_jobs_gate_id(request.class)) else {
        return false;
    };
    let smallest = gate.max_work_cpu_s;
    let sizes = smallest..=smallest * limits::LARGEST_JOBS_SIZE_RATIO_MAX;
    let draw = unit_interval(request.job.0.rotate_left(LARGEST_JOBS_ROTATION));
    sizes.contains(&request.work_cpu_s) && draw < f64::from(gate.share)
}

/// Returns the seconds after which a refused job should be retried: when its discounted work will
/// be below its gate, or when room is expected, whichever is sooner. The time is spread by job,
/// so that jobs refused at the same time are not all retried at the same time.
fn retry_after_s(table: &AdmissionTable, gate: &Gate, request: &AdmissionRequest) -> u64 {
    let excess = request.work_cpu_s / gate.max_work_cpu_s.max(MIN_WORK_CPU_S) - 1.0;
    let below_gate_s = limits::HALF_WORK_WAIT_S * excess - request.waited_s;
    let earliest_s = below_gate_s.min(f64::from(table.relief_s)).clamp(
        limits::RETRY_AFTER_MIN_S,
        limits::RETRY_AFTER_MAX_S - limits::RETRY_AFTER_SPREAD_S,
    );
    let draw = unit_interval(request.job.0.rotate_left(RETRY_SPREAD_ROTATION));
    (earliest_s + draw * limits::RETRY_AFTER_SPREAD_S).round() as u64
}
