//! Whether a job allows a task on a machine, given where its other tasks are.

use crate::answers::Contradiction;
use crate::breach::Rule;
use crate::history::Job;

/// What the rules about places ask of a machine.
#[derive(Debug)]
pub struct Place {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// Another task of the job on a machine: in which zone if that is known, and since when.
#[derive(Debug, Clone, Copy)]
pub struct Placed<'a> {
    pub zone: Option<&'a str>,
    pub since_ms: u64,
}

/// Why a task of the job may not start there at this time.
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

/// What the job says of each of its tasks by itself.
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

/// All tasks must be in one zone, and one is elsewhere since then.
fn in_another_zone(job: &Job, place: &Place, others: &[Placed]) -> Option<(u64, String)> {
    let elsewhere = |other: &&Placed| other.zone != Some(place.zone.as_str());
    let other = others.iter().find(elsewhere).filter(|_| job.one_zone)?;
    let why = format!("its job must be in one zone, and is in {:?}", other.zone);
    Some((other.since_ms, why))
}

/// At most half of the tasks, rounded up, may be in one zone.
fn too_many_in_zone(job: &Job, place: &Place, others: &[Placed]) -> Option<String> {
    let here = |other: &&Placed| other.zone == Some(place.zone.as_str());
    let count = others.iter().filter(here).count();
    let most = job.tasks.div_ceil(2) as usize;
    let over = job.spread && count + 1 > most;
    over.then(|| format!("{count} of at most {most} tasks are in its zone"))
}
