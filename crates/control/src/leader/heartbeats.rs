//! Processing of heartbeats: what a worker's heartbeat proves about its machine and placements.
//!
//! Each heartbeat is accepted at most once, in the order of incarnation and sequence number. Its
//! arrival renews the machine's shard lease; its task list starts, ends or frees placements, each
//! by the rule that the function below states. Nothing is freed on silence alone.

use super::*;

/// Returns the term in which a token or an attempt was issued; both share one counter.
pub(super) fn term_of(token: u64) -> u64 {
    token >> limits::TERM_SHIFT_BITS
}

impl Leader {
    /// Processes a worker's heartbeat that the controller `owner` received, with the run times that
    /// it measured. Returns the fencing token of the response; `None` if the heartbeat is stale, or
    /// of a deleted machine, and must not get a response.
    pub fn take_heartbeat(
        &mut self,
        owner: &str,
        heartbeat: &Heartbeat,
        finished: &[(String, f64)],
        now: f64,
    ) -> Option<u64> {
        if self.deleted_machines.contains_key(&heartbeat.machine) {
            return None;
        }
        self.adopt_unknown_machine(heartbeat, now);
        let mut machine = self.machines.remove(&heartbeat.machine)?;
        let token = if machine.is_stale(heartbeat) {
            // A stale heartbeat describes a past state that must not be acted on; a copy of a
            // heartbeat that was already accepted doesn't prove that the worker is alive, and
            // renews nothing.
            self.query_status_if_silent(&mut machine, heartbeat, now);
            None
        } else {
            Some(self.take_newest_heartbeat(&mut machine, owner, heartbeat, finished, now))
        };
        self.machines.insert(heartbeat.machine.clone(), machine);
        token
    }

    /// Processes a heartbeat that is newer than all before; returns the token of the response.
    fn take_newest_heartbeat(
        &mut self,
        machine: &mut Machine,
        owner: &str,
        heartbeat: &Heartbeat,
        finished: &[(String, f64)],
        now: f64,
    ) -> u64 {
        machine.log_first_heartbeat(heartbeat, now);
        machine.machine_type.clone_from(&heartbeat.machine_type);
        machine.zone.clone_from(&heartbeat.zone);
        machine.spot = heartbeat.spot;
        self.free_earlier_incarnations(machine, heartbeat, now);
        machine.record_heartbeat(heartbeat, now);
        self.lease_to_owner(machine, owner, heartbeat, now);
        machine.record_acknowledged_token(heartbeat, &self.settings, now);
        self.record_run_times(finished, now);
        self.reconcile_tasks(machine, heartbeat, now);
        machine.direct_starts.drop_fenced(heartbeat);
        if machine.must_fence_direct_starts(heartbeat) {
            machine.fencing_token = self.next_token();
        }
        if !machine.placements.is_empty() {
            machine.idle_since = now;
        }
        machine.fencing_token
    }

    /// Adds the machine of a worker if neither the ledger nor the cloud's list has named it yet.
    fn adopt_unknown_machine(&mut self, heartbeat: &Heartbeat, now: f64) {
        if self.machines.contains_key(&heartbeat.machine) {
            return;
        }
        info!(
            machine = heartbeat.machine,
            "adopted a machine that neither the ledger nor the cloud list names"
        );
        let mut machine = Machine::new(
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
            now,
        );
        machine.cached_images = self.take_image_hints(&heartbeat.machine, now);
        self.machines.insert(heartbeat.machine.clone(), machine);
    }

    /// Frees the placements of earlier incarnations of the worker: a newer incarnation has killed
    /// and forgotten every task.
    ///
    /// The heartbeat proves that only if its worker had seen a token of the term in which the task
    /// was placed. Otherwise it may be a copy from before the worker restarted, since a restarted
    /// worker counts its incarnations anew. Whether the worker restarted within the term of an
    /// earlier leader is unknown here, so a placement of an earlier term, or from before a restart
    /// (`from_previous_term`), needs a token issued after its attempt. Tokens and attempts share
    /// one counter.
    fn free_earlier_incarnations(
        &mut self,
        machine: &mut Machine,
        heartbeat: &Heartbeat,
        now: f64,
    ) {
        let token = heartbeat.fencing_token;
        let is_current = machine.fencing_token > 0 && token >= machine.fencing_token;
        let is_proven = |p: &Placement| match p.from_previous_term {
            true => is_current || token > p.attempt,
            false => p.never_sent() || term_of(token) >= term_of(p.attempt),
        };
        let is_lost = |p: &Placement| p.incarnation < heartbeat.incarnation && is_proven(p);
        let lost = machine.placements.take_if(is_lost);
        let context = FreeContext::shown_by(heartbeat, &machine.zone, FreeReason::NewIncarnation);
        self.free_lost(lost, &context, now);
    }

    /// Records run times that the shard owner measured, for the estimates of their keys.
    fn record_run_times(&mut self, finished: &[(String, f64)], now: f64) {
        for (task, run_s) in finished {
            if let Some((id, _)) = parse_task_id(task)
                && let Some(job) = self.jobs.by_id(id)
            {
                let key = job.estimate_key.clone();
                self.predictor.record_completion(&key, *run_s, now);
            }
        }
    }

    // --- reconciliation of the task list with the placements ---

    /// Acknowledges tasks on the worker, then records and frees those that exited, and then frees
    /// those that the worker doesn't list.
    fn reconcile_tasks(&mut self, machine: &mut Machine, heartbeat: &Heartbeat, now: f64) {
        let listed = heartbeat.tasks.iter();
        for task in listed.filter(|t| t.state != TaskState::Exited) {
            self.acknowledge_task(machine, &heartbeat.machine, task, now);
        }
        self.take_exits(machine, heartbeat, now);
        self.free_absent(machine, heartbeat, now);
    }

    /// Marks the placement of a listed task as acknowledged, and as running if the task runs.
    fn acknowledge_task(&mut self, machine: &mut Machine, name: &str, task: &TaskStatus, now: f64) {
        let Some(at) = machine.index_of(task) else {
            return;
        };
        let placement = &mut machine.placements[at];
        placement.acknowledged = true;
        let running = task.state == TaskState::Running;
        if running != placement.running {
            crate::trace_job!(placement.task_id, machine = name, running, "reported");
            placement.running = running;
            placement.running_since = now;
            if let Some(job) = placement
                .job
                .and_then(|job_index| self.jobs.get_mut(&job_index))
            {
                job.running_tasks = match running {
                    true => job.running_tasks + 1,
                    false => job.running_tasks.saturating_sub(1),
                };
            }
        }
        if running {
            let (image, job) = (placement.image_id, placement.job);
            self.note_cached_image(machine, image, job, now);
        }
    }

    /// Records that the image of a running task is on the machine. A new leader also learns in this
    /// way where images are.
    fn note_cached_image(
        &self,
        machine: &mut Machine,
        image: u64,
        job: Option<JobIndex>,
        now: f64,
    ) {
        let job = job.and_then(|job_index| self.jobs.get(&job_index));
        match machine.cached_images.iter_mut().find(|i| i.id == image) {
            Some(cached) => cached.ready_at = cached.ready_at.min(now),
            None => machine.cached_images.extend(job.map(|job| CachedImage {
                id: image,
                size_gb: job.spec.image_gb,
                ready_at: now,
                last_used_at: now,
            })),
        }
    }

    /// Frees placements whose tasks have exited, and counts those that succeeded. An attempt that
    /// exited never runs again, so this holds however old the message is.
    pub(super) fn take_exits(&mut self, machine: &mut Machine, heartbeat: &Heartbeat, now: f64) {
        let mut succeeded: Vec<JobIndex> = Vec::new();
        let listed = heartbeat.tasks.iter();
        for task in listed.filter(|t| t.state == TaskState::Exited) {
            if task.exit_cause == Some(ExitCause::Done) {
                succeeded.extend(self.record_done(&task.task));
            }
            let Some(at) = machine.index_of(task) else {
                continue;
            };
            let placement = machine.placements.remove(at);
            crate::trace_job!(placement.task_id, machine = heartbeat.machine, why = ?task.exit_cause, "exited");
            let retry_delay_s = match task.exit_cause {
                Some(ExitCause::Done | ExitCause::Stopped) => 0.0,
                Some(ExitCause::Error) => {
                    self.record_failure(machine, &heartbeat.machine, &placement, now)
                }
                why => {
                    let (task, machine) = (&placement.task_id, &heartbeat.machine);
                    info!(task, machine, ?why, "start rejected");
                    limits::FAULTY_JOB_RETRY_FIRST_S
                }
            };
            let context = FreeContext::shown_by(heartbeat, &machine.zone, FreeReason::Exited);
            self.free_placement(&placement, &context, now, retry_delay_s);
        }
        for job in succeeded {
            machine.failures_by_job.clear();
            self.record_success(job, now);
        }
    }

    /// Records that a task ran to its end; returns its job if that wasn't known yet.
    fn record_done(&mut self, task: &str) -> Option<JobIndex> {
        let (id, index) = parse_task_id(task)?;
        let job_index = self.jobs.index_of(id)?;
        let job = self.jobs.get_mut(&job_index)?;
        let is_known = index >= job.spec.tasks || job.done.get(index);
        if job.spec.kind == JobKind::Service || is_known {
            return None;
        }
        job.done.set(index);
        let median_s = self.predictor.median_s(&job.estimate_key);
        let run_s = scheduler::expected_run_s(median_s, job);
        self.admission.record_work(job.spec.cpus * run_s);
        self.jobs.mark_dirty(job_index);
        Some(job_index)
    }

    /// Frees placements that the heartbeat doesn't list and that no command can still start on the
    /// worker: it has seen the current token, which fences every older command, and the message
    /// that carried the start has had its response.
    fn free_absent(&mut self, machine: &mut Machine, heartbeat: &Heartbeat, now: f64) {
        if heartbeat.fencing_token < machine.fencing_token {
            return;
        }
        let listed: HashSet<(&str, u64)> = heartbeat
            .tasks
            .iter()
            .map(|t| (t.task.as_str(), t.attempt))
            .collect();
        let direct_starts = std::mem::take(&mut machine.direct_starts);
        let is_absent = |p: &Placement| {
            // A direct start without a response may still arrive, however many heartbeats come
            // first: a leader short of processor time sends it late.
            let start_may_arrive = p.stage != PlacementStage::Durable
                || direct_starts.may_execute(&p.task_id, p.attempt, heartbeat.fencing_token);
            if start_may_arrive || listed.contains(&(p.task_id.as_str(), p.attempt)) {
                return false;
            }
            let gave_up = p.start_attempts >= limits::START_COMMAND_ATTEMPTS_MAX
                && p.start_sent_seq.is_some_and(|seq| seq < heartbeat.sequence);
            p.from_previous_term || p.acknowledged || gave_up
        };
        let lost = machine.placements.take_if(is_absent);
        machine.direct_starts = direct_starts;
        let context = FreeContext::shown_by(heartbeat, &machine.zone, FreeReason::NotListed);
        self.free_lost(lost, &context, now);
    }
}

impl Machine {
    /// Whether the worker must see a newer token before one of its attempts is forgotten or freed:
    /// the attempt exited, or is gone, and its direct start could be executed once more.
    fn must_fence_direct_starts(&self, heartbeat: &Heartbeat) -> bool {
        let needs_newer_token = |task: &str, attempt: u64| {
            let starts = &self.direct_starts;
            starts.needs_newer_token(task, attempt, self.fencing_token)
        };
        let mut listed = heartbeat.tasks.iter();
        let mut placements = self.placements.iter();
        listed.any(|t| t.state == TaskState::Exited && needs_newer_token(&t.task, t.attempt))
            || placements.any(|p| {
                p.acknowledged
                    && needs_newer_token(&p.task_id, p.attempt)
                    && !p.is_listed_in(heartbeat)
            })
    }

    /// Logs that the machine is up, when this leader first receives a heartbeat of its worker.
    fn log_first_heartbeat(&mut self, heartbeat: &Heartbeat, now: f64) {
        if self.up {
            return;
        }
        info!(
            machine = heartbeat.machine,
            zone = heartbeat.zone,
            spot = heartbeat.spot,
            "machine up"
        );
        self.idle_since = now;
        if self.overdue_boot_logged {
            info!(
                machine = heartbeat.machine,
                kind = self.machine_type,
                zone = self.zone,
                after_s = now - self.created_at,
                "machine up after an overdue boot"
            );
        }
    }

    /// Records what the heartbeat says of the machine itself.
    fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: f64) {
        self.incarnation = heartbeat.incarnation;
        self.heartbeat_seq = heartbeat.sequence;
        self.up = true;
        self.last_heartbeat_at = now;
        self.spot_notice_s = heartbeat.spot_notice_s;
        self.reclaim_at = heartbeat.spot_notice_s.map(|notice_s| now + notice_s);
        self.address.clone_from(&heartbeat.address);
        if self.spot_notice_s.is_some() && !self.cordoned {
            info!(
                machine = heartbeat.machine,
                notice_s = heartbeat.spot_notice_s,
                "spot notice"
            );
            self.cordoned = true;
        }
    }

    /// Records whether responses reach the worker. Its heartbeats keep arriving, so the token that
    /// they show must follow the one in the responses. Any token newer than before counts, since a
    /// worker that moves from one controller to another is always one token behind.
    fn record_acknowledged_token(&mut self, heartbeat: &Heartbeat, settings: &Settings, now: f64) {
        let is_newest = heartbeat.fencing_token >= self.fencing_token;
        if is_newest || heartbeat.fencing_token > self.acknowledged_token {
            if self.is_partitioned_one_way(now, settings) {
                info!(
                    machine = heartbeat.machine,
                    "responses reach the machine again"
                );
            }
            self.commands_unacknowledged_since = None;
        } else {
            let since = *self.commands_unacknowledged_since.get_or_insert(now);
            if self.is_partitioned_one_way(now, settings) && !self.unreachable_logged {
                self.unreachable_logged = true;
                info!(
                    machine = heartbeat.machine,
                    s = now - since,
                    "responses do not reach the machine: nothing more is placed there"
                );
            }
        }
        self.unreachable_logged &= self.commands_unacknowledged_since.is_some();
        self.acknowledged_token = self.acknowledged_token.max(heartbeat.fencing_token);
    }
}
