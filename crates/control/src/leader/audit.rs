//! A check for tests that all sums and indices agree with a scan of all placements.

use super::*;
use crate::resources::Resources;

impl Leader {
    /// Compares every sum and index with a scan of all placements; for tests.
    pub fn audit(&self) -> Result<(), String> {
        let mut usage: HashMap<&str, Resources> = HashMap::new();
        let mut live_by_entry: HashMap<u64, u32> = HashMap::new();
        let mut placed_tasks: HashMap<(JobIndex, u32), u32> = HashMap::new();
        let mut running: HashMap<JobIndex, u32> = HashMap::new();
        let mut placed_zones: HashMap<(JobIndex, &str), u32> = HashMap::new();
        for (name, m) in &self.machines {
            if m.placements.sums() != m.placements.compute_sums() {
                return Err(format!("{name}: {:?}", m.placements.sums()));
            }
            for p in m.placements.iter() {
                *usage.entry(&p.team).or_default() += p.request();
                if p.ledger_entry > 0 {
                    *live_by_entry.entry(p.ledger_entry).or_default() += 1;
                }
                if p.stage == PlacementStage::Planned && !self.machines_to_record.contains(name) {
                    return Err(format!(
                        "{} is planned on {name}, which is not among the machines to record",
                        p.task_id
                    ));
                }
                if (p.stage == PlacementStage::Durable) != (p.ledger_entry > 0) {
                    return Err(format!(
                        "{}: its stage and its ledger entry disagree",
                        p.task_id
                    ));
                }
                if let Some(job_index) = p.job.filter(|job_index| self.jobs.contains_key(job_index))
                {
                    *placed_tasks.entry((job_index, p.task_index)).or_default() += 1;
                    *running.entry(job_index).or_default() += u32::from(p.running);
                    *placed_zones.entry((job_index, &m.zone)).or_default() += 1;
                }
            }
        }
        for (team, recorded) in self.quota_usage.iter() {
            let scan = usage.get(team.as_str()).copied().unwrap_or_default();
            if (recorded.cpus - scan.cpus).abs() > 1e-6 || (recorded.gpus - scan.gpus).abs() > 1e-6
            {
                return Err(format!(
                    "team {team}: placements use {scan:?}, recorded as {recorded:?}"
                ));
            }
        }
        for (id, recorded) in self.ledger.live_placements() {
            let scan = live_by_entry.remove(&id).unwrap_or(0);
            if recorded != scan {
                return Err(format!(
                    "ledger entry {id:x} holds {scan} live placements, recorded as {recorded}"
                ));
            }
        }
        if let Some((id, n)) = live_by_entry.iter().next() {
            return Err(format!("{n} placements in unknown ledger entry {id:x}"));
        }
        for (job_index, job) in self.jobs.iter() {
            let scan: HashMap<u32, u32> = placed_tasks
                .iter()
                .filter(|((n, _), _)| n == job_index)
                .map(|((_, task), n)| (*task, *n))
                .collect();
            let scanned_running = running.get(job_index).copied().unwrap_or(0);
            let placed: u32 = scan.values().sum();
            let by_zone = job.placements_by_zone.iter().all(|(z, n)| {
                placed_zones
                    .get(&(*job_index, z.as_str()))
                    .copied()
                    .unwrap_or(0)
                    == *n
            });
            if scan != job.placements_by_task
                || scanned_running != job.running_tasks
                || placed != job.placement_count
                || !by_zone
            {
                return Err(format!(
                    "{}: counts differ from the scan: {scan:?} by task, {scanned_running} running",
                    job.spec.id
                ));
            }
        }
        Ok(())
    }
}
