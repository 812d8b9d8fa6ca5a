//! CPUs, accelerators and memory as one quantity with its arithmetic.
//!
//! The same type represents the request of a task, the capacity of a machine, and used and free
//! resources. Sums of fractional CPUs carry rounding errors, so every check of whether resources
//! fit allows a tolerance of [`ROUNDING`].

use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// Tolerance for rounding errors in sums, in CPUs, accelerators or GB.
pub const ROUNDING: f64 = 1e-6;

/// CPUs, accelerators and memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPUs; tasks may request fractions.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Resources = Resources::uniform(0.0);

    /// Unlimited resources: the initial value of a component-wise minimum.
    pub const INFINITE: Resources = Resources::uniform(f64::INFINITY);

    const fn uniform(amount: f64) -> Resources {
        Resources {
            cpus: amount,
            gpus: amount,
            memory_gb: amount,
        }
    }

    /// Returns the component-wise minimum.
    #[must_use]
    pub fn component_min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// Returns whether these resources fit into `available`, except for rounding errors.
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpus <= available.cpus + ROUNDING
            && self.gpus <= available.gpus + ROUNDING
            && self.memory_gb <= available.memory_gb + ROUNDING
    }

    /// Returns whether no component is larger than that of `capacity`. Both are stated amounts,
    /// not sums, so there is no tolerance for rounding.
    pub fn is_within(self, capacity: Resources) -> bool {
        self.cpus <= capacity.cpus
            && self.gpus <= capacity.gpus
            && self.memory_gb <= capacity.memory_gb
    }

    /// Returns the number of tasks, each requesting `task`, that fit into these resources, except
    /// for rounding errors. A component that the task does not request imposes no limit.
    pub fn task_count(self, task: Resources) -> u32 {
        component_count(self.cpus, task.cpus)
            .min(component_count(self.gpus, task.gpus))
            .min(component_count(self.memory_gb, task.memory_gb))
    }
}

/// Returns how many times `each` fits into `available`; `u32::MAX` if `each` is zero.
fn component_count(available: f64, each: f64) -> u32 {
    if each > 0.0 {
        ((available + ROUNDING) / each).floor().max(0.0) as u32
    } else {
        u32::MAX
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}

/// Multiplication gives the resources of `count` tasks that each take these.
impl Mul<f64> for Resources {
    type Output = Resources;

    fn mul(self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }
}
