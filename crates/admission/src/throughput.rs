//! The fleet's measured throughput: the expected work that a CPU does in a second.

use cherrywood_limits::admission as limits;

/// Lower bound of the CPU-seconds as a divisor, to avoid division by zero.
const MIN_CAPACITY_CPU_S: f64 = 1e-9;

/// Expected work done per available CPU-second, over the recent past
/// (`limits::THROUGHPUT_HALF_LIFE_S`).
///
/// The throughput reflects the time lost to image fetches, faults and wrong estimates, so errors
/// that all estimates have in the same direction cancel out where work is divided by it. A
/// typical value is below 1.
#[derive(Debug, Clone)]
pub struct Throughput {
    /// Expected work done.
    work_cpu_s: f64,
    /// CPU-seconds in which the work was done.
    capacity_cpu_s: f64,
    /// Expected work done since capacity was last recorded.
    unaccounted_work_cpu_s: f64,
}

impl Throughput {
    /// Starts from the throughput that an earlier leader measured, or from the initial throughput
    /// if `measured` is 0.
    pub fn new(measured: f64) -> Self {
        let per_cpu = if measured > 0.0 {
            measured
        } else {
            limits::THROUGHPUT_INITIAL
        };
        Throughput {
            work_cpu_s: per_cpu,
            capacity_cpu_s: 1.0,
            unaccounted_work_cpu_s: 0.0,
        }
    }

    /// Returns the expected work, CPU-seconds, that a CPU does in a second.
    pub fn per_cpu(&self) -> f64 {
        let measured = self.work_cpu_s / self.capacity_cpu_s.max(MIN_CAPACITY_CPU_S);
        measured.clamp(limits::THROUGHPUT_MIN, limits::THROUGHPUT_MAX)
    }

    /// Records that a task with this expected work is done.
    pub fn record_work(&mut self, work_cpu_s: f64) {
        self.unaccounted_work_cpu_s += work_cpu_s;
    }

    /// Records that `cpus` CPUs were up for `elapsed_s`. Unless work waited for them all the time
    /// (`saturated`), the work done in this time is discarded: it does not show how much the CPUs
    /// can do.
    pub fn record_capacity(&mut self, cpus: f64, elapsed_s: f64, saturated: bool) {
        let work_cpu_s = std::mem::take(&mut self.unaccounted_work_cpu_s);
        // Earlier measurements have at least this weight.
        let min_capacity_cpu_s = cpus * limits::THROUGHPUT_PRIOR_S;
        if self.capacity_cpu_s < min_capacity_cpu_s {
            self.work_cpu_s = self.per_cpu() * min_capacity_cpu_s;
            self.capacity_cpu_s = min_capacity_cpu_s;
        }
        if saturated {
            self.work_cpu_s += work_cpu_s;
            self.capacity_cpu_s += cpus * elapsed_s;
        }
    }

    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        let kept = libm::exp2(-elapsed_s / limits::THROUGHPUT_HALF_LIFE_S);
        self.work_cpu_s *= kept;
        self.capacity_cpu_s *= kept;
    }
}
