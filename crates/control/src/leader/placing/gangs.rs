//! Jobs whose tasks run only all together.

use super::*;

impl Plan<'_> {
    /// There must be room for all of a gang, then it is placed whole, before
    /// anything else can take the room. The tasks of a gang find each other
    /// by their common attempt.
    pub(super) fn place_gang(&mut self, queue: &mut Queue<JobNo>, no: JobNo) {
        let Some(zone) = self.gang_zone(no) else {
            self.block(no);
            return;
        };
        *self.counter += 1;
        let attempt = (self.epoch << limits::EPOCH_SHIFT) | *self.counter;
        while let Some(pick) = queue.find(&no) {
            let Some((at, _)) = self.best_machine(no, zone.as_deref()) else {
                self.block(no);
                return;
            };
            let w = &self.waiters[&no];
            let job = &self.jobs[&no];
            let n = pick
                .len
                .min(self.sites[at].fits(&job.spec))
                .min(zone_room(job, &self.sites[at].m.zone))
                .max(1);
            queue.take(&pick, n, w.est);
            self.place(no, pick.first, n, attempt, at);
        }
    }

    /// Where a gang can go as a whole: None if nowhere, Some(None) if the zone
    /// doesn't matter.
    fn gang_zone(&self, no: JobNo) -> Option<Option<String>> {
        let job = self.jobs.get(&no)?;
        let s = &job.spec;
        let missing = s.tasks - job.done.count().min(s.tasks);
        let missing = missing.saturating_sub(job.on.len() as u32);
        if self.team_room(self.waiters.get(&no)?.team, s, false) < missing {
            return None;
        }
        let mut room: BTreeMap<&str, u32> = BTreeMap::new();
        for site in &self.sites {
            let m = &*site.m;
            if allowed(s, &m.kind, &m.zone, m.spot) {
                let r = room.entry(&m.zone).or_default();
                *r = r.saturating_add(site.fits(s).min(missing));
            }
        }
        if s.one_zone {
            let zone = room
                .iter()
                .find(|(z, n)| **n >= missing && zone_room(job, z) > 0)
                .map(|(z, _)| (*z).to_string())?;
            return Some(Some(zone));
        }
        let total: u64 = room
            .iter()
            .map(|(z, n)| u64::from((*n).min(zone_room(job, z))))
            .sum();
        (total >= u64::from(missing)).then_some(None)
    }
}
