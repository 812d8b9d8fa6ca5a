//! Service after admission: detection of classes with too few admitted jobs done by the time at
//! which they should be.

use cherrywood_wire::admission::TenantClassId;

/// Admitted jobs of a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassService {
    /// The class.
    pub class: TenantClassId,
    /// Number of jobs done recently; decays.
    pub done: f64,
    /// Number of unfinished jobs that have waited longer than they should.
    pub overdue: f64,
}

impl ClassService {
    /// Returns the share of jobs done among those that should be done by now.
    pub fn served_share(&self) -> f64 {
        let due = self.done + self.overdue;
        if due > 0.0 { self.done / due } else { 1.0 }
    }
}

/// Returns the classes with overdue jobs whose served share is below `threshold`, the smallest
/// share first.
pub fn under_served(mut classes: Vec<ClassService>, threshold: f64) -> Vec<TenantClassId> {
    classes.retain(|c| c.overdue > 0.0 && c.served_share() < threshold);
    classes.sort_by(|a, b| {
        let share = a.served_share().total_cmp(&b.served_share());
        share.then(a.class.cmp(&b.class))
    });
    classes.into_iter().map(|c| c.class).collect()
}
