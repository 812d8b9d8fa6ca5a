//! Hard placement constraints of a submission: machine types, spot machines, and the
//! distribution of its tasks over zones.

use crate::leader::{Job, Machine};
use cherrywood_wire::user::Submission;

/// Whether tasks of the submission may run on spot or on-demand machines of this type and zone.
pub(in crate::leader) fn pool_allowed(
    spec: &Submission,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> bool {
    (spec.allow_spot || !spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|allowed| allowed.iter().any(|name| name == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// Whether tasks of the submission may run on this machine, its free resources aside.
pub(in crate::leader) fn machine_allowed(spec: &Submission, machine: &Machine) -> bool {
    pool_allowed(spec, &machine.machine_type, &machine.zone, machine.spot)
}

/// Returns how many more tasks of the job its zone constraints allow in `zone`, given all
/// places where its tasks may be.
pub(in crate::leader) fn zone_task_limit(job: &Job, zone: &str) -> u32 {
    let placed_here = job.placements_by_zone.get(zone).copied().unwrap_or(0);
    if job.spec.single_zone && placed_here != job.placement_count {
        0
    } else if job.spec.spread_over_zones {
        job.spec.tasks.div_ceil(2).saturating_sub(placed_here)
    } else {
        u32::MAX
    }
}
