//! Insertion of jobs into the leader's state, queueing of their tasks, and removal of jobs.

use super::job::stable_name_hash;
use super::recovery::ProgressPart;
use super::*;
use cherrywood_admission::{AdmittedJob, job_hash};

impl Leader {
    /// Inserts a live job; `revision` is that of its record.
    ///
    /// `progress_records` are the job's progress records; `placed` are its tasks that have a
    /// placement, which are not queued. `is_new` is true for a new submission and false for a
    /// recovered job; admission counts the two differently.
    pub(super) fn insert_job(
        &mut self,
        record: JobRecord,
        revision: u64,
        progress_records: Vec<ProgressPart>,
        placed: Option<&HashSet<u32>>,
        now: f64,
        is_new: bool,
    ) -> JobIndex {
        let accepted_at =
            (record.accepted_at_ms as f64 / 1000.0 - self.wall_clock_offset_s).min(now);
        let submission_chunks = record.chunk_set();
        let spec = record.into_submission();
        let (stored_progress, done) =
            progress::StoredProgress::recover(progress_records, spec.tasks);
        let key = spec.predictor_key();
        let due_at = spec.deadline_s.map(|s| accepted_at + s);
        let ready = self.add_to_dependencies(&spec, due_at);
        let ready_since = self.dependencies.ready_since(&spec.id);
        let class_objectives = self.settings.objectives.iter();
        let class_objectives = class_objectives.filter(|o| o.class == spec.class);
        let objectives = class_objectives.filter_map(|o| {
            let kind = match o.kind.as_str() {
                "finished" => ObjectiveKind::Finish,
                "wait" => ObjectiveKind::Start,
                _ => return None,
            };
            Some((kind, o.within_s))
        });
        // It is unknown when its tasks were placed: the current time is assumed, so that the job
        // doesn't count as starving.
        let on_machines = placed.is_some_and(|tasks| !tasks.is_empty());
        let job_index = self.jobs.insert(Job {
            estimate_key_hash: stable_name_hash(&key),
            estimate_key: key,
            team_index: self.settings.teams.iter().position(|t| t.name == spec.team),
            objectives: objectives.collect(),
            image_id: stable_name_hash(&spec.image),
            best_effort: spec.priority == Priority::Low
                && !self
                    .settings
                    .objectives
                    .iter()
                    .any(|o| o.class == spec.class),
            ready_at: if ready {
                ready_since.map_or(accepted_at, |s| s.max(accepted_at))
            } else {
                accepted_at
            },
            last_placed_at: if on_machines { now } else { f64::NEG_INFINITY },
            awaiting_dependencies: !ready,
            effective_priority: spec.priority,
            latest_start: None,
            revision,
            persisted_done: done.clone(),
            done,
            stored_progress,
            submission_chunks,
            write_in_flight: false,
            tenant_class: cherrywood_admission::tenant_class_id(&spec.team, &spec.class),
            placement_count: 0,
            placements_by_task: HashMap::new(),
            running_tasks: 0,
            placements_by_zone: HashMap::new(),
            failed_on: BTreeMap::new(),
            failure_count: 0,
            backoff_count: 0,
            retry_at: 0.0,
            spec,
        });
        let none = HashSet::new();
        if ready {
            self.enqueue_tasks(job_index, placed.unwrap_or(&none), now);
            self.count_as_admitted(job_index, is_new, now);
        }
        job_index
    }

    /// Queues the job's tasks that are neither finished nor `excluded` (placed or delayed), as
    /// ranges.
    pub(super) fn enqueue_tasks(&mut self, job_index: JobIndex, excluded: &HashSet<u32>, now: f64) {
        let Some(job) = self.jobs.get(&job_index) else {
            return;
        };
        let level = match self.settings.policy.levels {
            true => self.predictor.level(&job.estimate_key, now),
            false => limits::DEFAULT_LEVEL,
        };
        crate::trace_job!(
            job.spec.id,
            level,
            done = job.done.count(),
            on_machines = excluded.len(),
            "tasks queued"
        );
        let mut first = None;
        for n in 0..=job.spec.tasks {
            let is_waiting = n < job.spec.tasks && !job.done.get(n) && !excluded.contains(&n);
            match (is_waiting, first) {
                (true, None) => first = Some(n),
                (false, Some(f)) => {
                    self.pending_queue.push_back(level, job_index, f..n, now);
                    first = None;
                }
                _ => {}
            }
        }
    }

    /// Counts a job for admission once it can run; a job that awaits dependencies isn't counted.
    pub(super) fn count_as_admitted(&mut self, job_index: JobIndex, is_new: bool, now: f64) {
        let Some(job) = self.jobs.get(&job_index) else {
            return;
        };
        let spec = &job.spec;
        let admitted = AdmittedJob {
            team: &spec.team,
            class: &spec.class,
            job: job_hash(&spec.id),
            work_cpu_s: self.expected_work(spec),
        };
        match is_new {
            true => self.admission.record_admission(&admitted, now),
            false => self.admission.record_recovered_job(&admitted, now),
        }
    }

    /// Adds a live job that the key-value store holds, with the revision of its record. If the job
    /// is known already, only its revision is updated.
    pub fn add_job(&mut self, record: JobRecord, revision: u64, now: f64) {
        if let Some(job) = self.jobs.by_id_mut(&record.submission.id) {
            job.revision = revision;
            return;
        }
        let id = record.submission.id.clone();
        let placed = self.placements_without_job(&id);
        let tasks: HashSet<u32> = placed.iter().map(|(_, task)| *task).collect();
        let index = self.insert_job(record, revision, Vec::new(), Some(&tasks), now, true);
        for (machine, task) in placed {
            self.attach_placements(index, &id, &machine, task);
        }
    }

    /// Machine and task of each placement of this job, which isn't in the job table. The ledger may
    /// place tasks of a job that was believed to have ended: they may be on those machines and must
    /// not be queued. Only placements without a live job are searched; they are few.
    fn placements_without_job(&self, id: &str) -> Vec<(String, u32)> {
        let mut placed: Vec<(String, u32)> = Vec::new();
        for (name, m) in &self.machines {
            let is_orphaned = |p: &&Placement| p.lacks_job(&self.jobs);
            let belongs_to_job =
                |p: &&Placement| parse_task_id(&p.task_id).is_some_and(|(job, _)| job == id);
            let tasks = m
                .placements
                .iter()
                .filter(is_orphaned)
                .filter(belongs_to_job);
            placed.extend(tasks.map(|p| (name.clone(), p.task_index)));
        }
        placed
    }

    /// Attaches the placements of one task on one machine to their job, and counts them there.
    fn attach_placements(&mut self, index: JobIndex, id: &str, machine: &str, task: u32) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&index), self.machines.get_mut(machine))
        else {
            return;
        };
        let belongs_to_task = |p: &&mut Placement| {
            p.task_index == task && parse_task_id(&p.task_id).is_some_and(|(job, _)| job == id)
        };
        let placements = m.placements.iter_mut().filter(belongs_to_task);
        for p in placements.filter(|p| p.job != Some(index)) {
            p.job = Some(index);
            job.running_tasks += u32::from(p.running);
            job.add_placement(p.task_index, &m.zone);
        }
    }

    /// Sets the live jobs whose records can't be read here, in place of those set before. Their
    /// tasks on machines go on until the end of the job is known.
    pub fn set_unreadable_jobs(&mut self, ids: BTreeSet<String>) {
        self.jobs.set_unreadable(ids);
    }

    /// Ids of live jobs whose records can't be read here.
    pub fn unreadable_job_ids(&self) -> impl Iterator<Item = &String> {
        self.jobs.unreadable_ids()
    }

    /// Removes a job that is done or cancelled: none of its tasks is started any more, and those
    /// that still run are stopped with the next responses to their workers.
    pub fn remove_job(&mut self, id: &str) {
        let Some((index, job)) = self.jobs.remove(id) else {
            return;
        };
        crate::trace_job!(id, "removed from the leader's state");
        self.dependencies.remove(id);
        self.record_end_for_admission(&job);
        self.mark_records_obsolete(id, &job);
        self.pending_queue.retain_jobs(|job| *job != index);
        self.delayed_tasks.retain(|(_, job, _)| *job != index);
        self.drop_planned_placements(index);
    }

    /// Tells admission that the job is done or cancelled, if the job was counted there.
    fn record_end_for_admission(&mut self, job: &Job) {
        if job.awaiting_dependencies {
            return;
        }
        let (team, class) = (&job.spec.team, &job.spec.class);
        match job.is_finished() {
            true => self.admission.record_completion(team, class),
            false => self.admission.record_cancellation(team, class),
        }
    }

    /// Drops the job's placements that no ledger transaction contains yet; their starts were never
    /// sent.
    fn drop_planned_placements(&mut self, index: JobIndex) {
        let mut dropped = Vec::new();
        for name in &self.machines_to_record {
            let Some(m) = self.machines.get_mut(name) else {
                continue;
            };
            m.placements.retain(|p| {
                let drop = p.job == Some(index) && p.stage == PlacementStage::Planned;
                if drop {
                    dropped.push((p.clone(), m.zone.clone()));
                }
                !drop
            });
        }
        for (p, zone) in dropped {
            self.record_release(&p, &zone);
        }
    }
}
