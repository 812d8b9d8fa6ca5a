//! Checks whether a job allows a task on a machine, given the placement of its other tasks.

use crate::history::Job;
use crate::responses::Contradiction;
use crate::violation::Rule;

/// The properties of a machine that the rules about placement refer to.
#[derive(Debug)]
pub struct Place {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// Another task of the job on a machine: its zone, if known, and since when it is there.
#[derive(Debug, Clone, Copy)]
pub struct Placed<'a> {
    pub zone: Option<&'a str>,
    pub since_ms: u64,
}

/// Returns why a task of the job may not start on the machine at this time, if so.
pub fn wrong_place(
    job: &Job,
    place: &Place,
    others: &[Placed],
    at_ms: u64,
) -> Option<Contradiction> {
    let spread = too_many_in_zone(job, place, others).map(|why| (at_ms, why));
    let one_zone = || in_another_zone(job, place, others);
    let alone = || not_allowed(job, place).map(|why| (at_ms, why));
    let (since_ms, why) = spread.or_else(one_zone).or_else(alone)?;
    Some(Contradiction {
        rule: Rule::WrongPlace,
        since_ms,
        why: why + ", seen",
    })
}

/// Returns why the job does not allow the machine for any of its tasks, if so.
fn not_allowed(job: &Job, place: &Place) -> Option<String> {
    if job.kinds.as_ref().is_some_and(|k| !k.contains(&place.kind)) {
        return Some(format!("its job doesn't allow the type {}", place.kind));
    }
    if job.zone.as_ref().is_some_and(|z| *z != place.zone) {
        return Some(format!("its job doesn't allow the zone {}", place.zone));
    }
    let spot = place.spot && !job.spot;
    spot.then(|| "its job doesn't allow spot machines".to_string())
}

/// Returns since when another task has been in another zone, and why that is wrong, if all tasks
/// must be in one zone.
fn in_another_zone(job: &Job, place: &Place, others: &[Placed]) -> Option<(u64, String)> {
    let elsewhere = |other: &&Placed| other.zone != Some(place.zone.as_str());
    let other = others.iter().find(elsewhere).filter(|_| job.one_zone)?;
    let why = format!(
        "its job must be in one zone, and has a task in {:?}",
        other.zone
    );
    Some((other.since_ms, why))
}

/// Returns why the task would exceed half of the tasks, rounded up, in one zone, if so.
fn too_many_in_zone(job: &Job, place: &Place, others: &[Placed]) -> Option<String> {
    let here = |other: &&Placed| other.zone == Some(place.zone.as_str());
    let count = others.iter().filter(here).count();
    let most = job.tasks.div_ceil(2) as usize;
    let over = job.spread && count + 1 > most;
    over.then(|| format!("{count} of at most {most} tasks are in its zone"))
}
