//! Recovery of placements from the ledger by a new leader.

use super::{LedgerEntry, LedgerRow, LogReplay, LoggedPlacement, PlacementLogRecord};
use crate::leader::*;

impl Leader {
    /// Recovers the placements that the replay of the entries shows as live. `entries` are sorted,
    /// the oldest first. The previous leader may still act for `overlap_s` from now.
    pub(in crate::leader) fn recover_ledger(
        &mut self,
        entries: Vec<(u64, PlacementLogRecord)>,
        replay: &LogReplay,
        overlap_s: f64,
        now: f64,
    ) {
        let first_entry = entries.first().map(|(id, _)| keys::ledger(*id));
        let last_entry = entries.last().map(|(id, _)| keys::ledger(*id));
        for (id, record) in entries {
            let mut entry = LedgerEntry::default();
            for LoggedPlacement(
                name,
                machine_class,
                incarnation,
                job,
                attempt,
                first_task,
                task_count,
            ) in record.placements
            {
                entry.rows.push(LedgerRow {
                    machine: name.clone(),
                    attempt,
                    first_task,
                    task_count,
                });
                // The replay has checked that the entry has both indices.
                let (machine_class, job) =
                    (&record.machine_classes[machine_class], &record.jobs[job]);
                for task in first_task..first_task.saturating_add(task_count) {
                    if !replay.is_live_in(id, attempt, task) {
                        continue;
                    }
                    entry.live += 1;
                    let job_index = self.jobs.index_of(&job.id);
                    let image_id = job_index
                        .and_then(|job_index| self.jobs.get(&job_index))
                        .map_or(0, |j| j.image_id);
                    let p = Placement {
                        task_id: format!("{}/{task}", job.id),
                        job: job_index,
                        task_index: task,
                        attempt,
                        incarnation,
                        stage: PlacementStage::Durable,
                        ledger_entry: id,
                        from_previous_term: true,
                        start_sent_seq: None,
                        start_attempts: 0,
                        acknowledged: false,
                        running: false,
                        running_since: now,
                        image_id,
                        team: job.team.clone(),
                        cpus: job.cpus,
                        gpus: job.gpus,
                        memory_gb: job.memory_gb,
                        best_effort: job_index
                            .and_then(|job_index| self.jobs.get(&job_index))
                            .is_some_and(|j| j.best_effort),
                        eviction: EvictionState::NotRequested,
                    };
                    self.record_placement(&p, &machine_class.zone);
                    if !self.machines.contains_key(&name) {
                        let mut m = Machine::new(
                            &machine_class.machine_type,
                            &machine_class.zone,
                            machine_class.spot,
                            now,
                        );
                        m.known_from_ledger = true;
                        m.cached_images = self.take_image_hints(&name, now);
                        // The previous leader may have extended shard leases until the end of its
                        // overlap with this one.
                        m.grants_expire_at = now + overlap_s + self.timing.shard_lease_bound_s();
                        self.machines.insert(name.clone(), m);
                    }
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.incarnation = m.incarnation.max(incarnation);
                        m.placements.push(p);
                    }
                }
            }
            self.ledger.entries.insert(id, entry);
        }
        info!(
            term = self.term,
            first_entry,
            last_entry,
            entries = self.ledger.entries.len(),
            freed = replay.freed(),
            live = self.ledger.live_placements().map(|(_, n)| n).sum::<u32>(),
            "placement ledger recovered"
        );
    }
}
