//! The fleet's measured throughput: expected work that a CPU does in a second.

use cherrywood_limits::admission as limits;

/// Lower bound of the CPU-seconds as a divisor, against division by zero.
const MIN_CAPACITY_CPU_S: f64 = 1e-9;

/// Expected work done for each CPU-second that was available, over the recent past
/// (`limits::THROUGHPUT_HALF_LIFE_S`).
///
/// It includes the time lost to image fetches, faults and wrong estimates, so that estimates that
/// are all wrong in the same direction cancel out where work is divided by it. An ordinary value
/// is below 1.
#[derive(Debug, Clone)]
pub struct Throughput {
    /// Expected work done.
    work_cpu_s: f64,
    /// CPU-seconds in which it was done.
    capacity_cpu_s: f64,
    /// Expected work done since capacity was last recorded.
    unaccounted_work_cpu_s: f64,
}

impl Throughput {
    /// Starts from the throughput that an earlier leader measured; `measured` is 0 if none did.
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

    /// Expected work, CPU-seconds, that a CPU does in a second.
    pub fn per_cpu(&self) -> f64 {
        let measured = self.work_cpu_s / self.capacity_cpu_s.max(MIN_CAPACITY_CPU_S);
        measured.clamp(limits::THROUGHPUT_MIN, limits::THROUGHPUT_MAX)
    }

    /// A task with this expected work is done.
    pub fn record_work(&mut self, work_cpu_s: f64) {
        self.unaccounted_work_cpu_s += work_cpu_s;
    }

    /// `cpus` CPUs were up for `elapsed_s`. Unless work waited for them all the time
    /// (`saturated`), the work done in it is dropped: it says nothing of what they can do.
    pub fn record_capacity(&mut self, cpus: f64, elapsed_s: f64, saturated: bool) {
        let work_cpu_s = std::mem::take(&mut self.unaccounted_work_cpu_s);
        // Earlier measurements always weigh at least this much.
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
