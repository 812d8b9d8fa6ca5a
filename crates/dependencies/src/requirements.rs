//! Requirements of a job's owner, and those that a job inherits from the jobs that depend on it.

/// A time by which an event should have happened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deadline {
    /// Time of the deadline, s on the caller's clock.
    pub at_s: f64,
    /// Seconds after the deadline for which completion still has some value.
    pub grace_s: f64,
}

impl Deadline {
    /// Returns the deadline of an event that must happen `lead_s` earlier.
    pub(crate) fn earlier_by(self, lead_s: f64) -> Deadline {
        Deadline {
            at_s: self.at_s - lead_s,
            ..self
        }
    }

    /// Returns the earlier of two deadlines, the first one if they are equal.
    pub(crate) fn earliest(a: Option<Deadline>, b: Option<Deadline>) -> Option<Deadline> {
        match (a, b) {
            (Some(a), Some(b)) if b.at_s < a.at_s => Some(b),
            (None, b) => b,
            (a, _) => a,
        }
    }
}

/// Requirements stated by the owner of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobRequirements<P> {
    /// Priority; smaller values are served first.
    pub priority: P,
    /// Deadline for the completion of the job.
    pub deadline: Option<Deadline>,
}

/// Requirements that a job must meet for itself and for all jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveRequirements<P> {
    /// The smallest value among the job's own priority and those of its dependents.
    pub priority: P,
    /// Deadline for the start of the job's tasks.
    pub latest_start: Option<Deadline>,
}

impl<P: Copy + Ord> EffectiveRequirements<P> {
    /// Returns the effective requirements of a job with run time `run_s` and these dependents: the
    /// job must be done by its own deadline, and before the first of its dependents must start.
    pub(crate) fn derive<'a>(
        own: &JobRequirements<P>,
        dependents: impl Iterator<Item = &'a EffectiveRequirements<P>>,
        run_s: f64,
    ) -> Self
    where
        P: 'a,
    {
        let (mut priority, mut due) = (own.priority, own.deadline);
        for dependent in dependents {
            priority = priority.min(dependent.priority);
            due = Deadline::earliest(due, dependent.latest_start);
        }
        EffectiveRequirements {
            priority,
            latest_start: due.map(|deadline| deadline.earlier_by(run_s)),
        }
    }
}
