//! Workers' reports, the commands that answer them, blocks of machines.

use super::*;

/// Told to save, if it can, and to end.
fn stop(p: &Placement, job: &Job) -> Command {
    Command::Stop {
        task: p.id.clone(),
        attempt: p.attempt,
        grace_s: job.spec.save_s + limits::SAVE_EXTRA_S,
    }
}

/// Told to end at once: it may not go on.
fn end(task: &str, attempt: u64) -> Command {
    Command::Stop {
        task: task.to_string(),
        attempt,
        grace_s: 0.0,
    }
}

impl Leader {
    /// Takes a worker's report that `holder` received. Returns the token for
    /// the answer; None if the report is old and must not be answered.
    pub fn report(
        &mut self,
        holder: &str,
        r: &Report,
        finished: &[(String, f64)],
        now: f64,
    ) -> Option<u64> {
        if self.gone.contains_key(&r.machine) {
            return None;
        }
        if !self.machines.contains_key(&r.machine) {
            info!(
                machine = r.machine,
                "adopted: a worker that no ledger row names"
            );
            let mut m = self.machine(&r.kind, &r.zone, r.spot, now);
            m.images = self.recall(&r.machine, now);
            self.machines.insert(r.machine.clone(), m);
        }
        let mut m = self.machines.remove(&r.machine)?;
        let old = (r.session, r.seq) <= (m.session, m.seq);
        if old {
            // A late report describes a past that may not be acted on; a copy of one that
            // was taken already is no sign of life, and renews nothing.
            self.machines.insert(r.machine.clone(), m);
            return None;
        }
        if !m.up {
            info!(
                machine = r.machine,
                zone = r.zone,
                spot = r.spot,
                "machine up"
            );
            m.idle_since = now;
            if m.late {
                info!(
                    machine = r.machine,
                    kind = m.kind,
                    zone = m.zone,
                    after_s = now - m.born,
                    "came up late"
                );
            }
        }
        (m.kind, m.zone, m.spot) = (r.kind.clone(), r.zone.clone(), r.spot);
        // A newer session has killed and forgotten every task. The word of a report counts
        // for that only if its worker had seen a token of the term in which the task was
        // placed: else it may be a copy from before, of a machine that has been back
        // since, whose sessions began anew. What was never sent is nowhere.
        let seen = r.token >> limits::EPOCH_SHIFT;
        let dead = |p: &Placement| {
            let unsent = p.sent == 0 && !p.seen && !p.inherited;
            p.session < r.session && (unsent || seen >= p.attempt >> limits::EPOCH_SHIFT)
        };
        if m.placed.iter().any(dead) {
            let (dead, kept): (Vec<_>, Vec<_>) =
                std::mem::take(&mut *m.placed).into_iter().partition(dead);
            m.placed = kept.into();
            self.lose_all(dead, &m.zone, now);
        }
        (m.session, m.seq, m.up, m.heard) = (r.session, r.seq, true, now);
        m.notice = r.notice_s;
        m.taken_at = r.notice_s.map(|s| now + s);
        m.addr.clone_from(&r.addr);
        if m.notice.is_some() && !m.draining {
            info!(machine = r.machine, notice_s = r.notice_s, "spot notice");
            m.draining = true;
        }
        if m.holder != holder || m.token == 0 || m.token < r.token {
            // A worker may have seen a token of this epoch only from this
            // leader, so a higher one can't come; an older holder is fenced
            // as soon as the worker sees the new token.
            m.holder = holder.to_string();
            m.token = self.unique();
        }
        m.granted_until = m.granted_until.max(now + self.timing.grant_bound_s());
        // Does what it is answered reach it? Its reports come on, but the token that they
        // show doesn't follow.
        if r.token >= m.token || r.token > m.shown {
            // The newest, or a newer one than before: it moves from one controller to
            // another, and hears them.
            if m.deaf(now, &self.settings) {
                info!(machine = r.machine, "answers reach it again");
            }
            m.unseen_since = None;
        } else {
            let since = *m.unseen_since.get_or_insert(now);
            if m.deaf(now, &self.settings) && !m.deaf_told {
                m.deaf_told = true;
                let s = now - since;
                info!(
                    machine = r.machine,
                    s, "it reports, and answers don't reach it: nothing more is placed there"
                );
            }
        }
        m.deaf_told &= m.unseen_since.is_some();
        m.shown = m.shown.max(r.token);
        for (task, secs) in finished {
            if let Some((id, _)) = split_task(task)
                && let Some(job) = self.ids.get(id).and_then(|no| self.jobs.get(no))
            {
                let key = job.key.clone();
                self.predictor.observe(&key, *secs, now);
            }
        }
        self.match_tasks(&mut m, r, now);
        if !m.placed.is_empty() {
            m.idle_since = now;
        }
        let token = m.token;
        self.machines.insert(r.machine.clone(), m);
        Some(token)
    }

    /// Tasks that went down with their machine or session.
    pub(super) fn lose_all(&mut self, dead: Vec<Placement>, zone: &str, now: f64) {
        for p in dead {
            info!(task = p.id, attempt = p.attempt, "lost");
            if let Some(job) = p.job.and_then(|no| self.jobs.get(&no)) {
                let key = job.key.clone();
                self.predictor.lose(&key, now);
            }
            self.free(&p, zone, now, 0.0);
        }
    }

    pub(super) fn match_tasks(&mut self, m: &mut Machine, r: &Report, now: f64) {
        let mut listed = HashSet::new();
        let mut succeeded: Vec<JobNo> = Vec::new();
        for t in &r.tasks {
            listed.insert((t.task.as_str(), t.attempt));
            let at = m
                .placed
                .iter()
                .position(|p| p.attempt == t.attempt && p.id == t.task);
            if t.state != TaskState::Exited {
                if let Some(at) = at {
                    let p = &mut m.placed[at];
                    p.seen = true;
                    let running = t.state == TaskState::Running;
                    if running != p.running {
                        crate::life!(p.id, machine = r.machine, running, "reported");
                        p.running = running;
                        p.run_since = now;
                        if let Some(job) = p.job.and_then(|no| self.jobs.get_mut(&no)) {
                            if running {
                                job.running += 1;
                            } else {
                                job.running = job.running.saturating_sub(1);
                            }
                        }
                    }
                    if running {
                        let image = p.image;
                        match m.images.iter_mut().find(|i| i.no == image) {
                            Some(i) => i.ready_at = i.ready_at.min(now),
                            // A new leader learns where images are.
                            None => {
                                if let Some(job) = p.job.and_then(|no| self.jobs.get(&no)) {
                                    m.images.push(Image {
                                        no: image,
                                        gb: job.spec.image_gb,
                                        ready_at: now,
                                        used: now,
                                    });
                                }
                            }
                        }
                    }
                }
                continue;
            }
            if t.why == Some(Why::Done)
                && let Some((id, n)) = split_task(&t.task)
                && let Some(no) = self.ids.get(id).copied()
                && let Some(job) = self.jobs.get_mut(&no)
                && job.spec.kind != Kind::Service
                && n < job.spec.tasks
                && !job.done.get(n)
            {
                job.done.set(n);
                self.news.insert(no);
                self.book
                    .worked(job.spec.cpus * placing::run_estimate(&self.predictor, job));
                succeeded.push(no);
            }
            let Some(at) = at else { continue };
            let p = m.placed.remove(at);
            crate::life!(p.id, machine = r.machine, why = ?t.why, "exited");
            let mut delay = 0.0;
            match t.why {
                Some(Why::Done | Why::Stopped) => {}
                Some(Why::Error) => delay = self.failed(m, &r.machine, &p, now),
                why => {
                    info!(task = p.id, machine = r.machine, ?why, "start refused");
                    delay = limits::RETRY_FIRST_S;
                }
            }
            self.free(&p, &m.zone, now, delay);
        }
        for no in succeeded {
            m.failing.clear();
            self.succeeded(no, now);
        }
        // What a report doesn't list is not there, if no command that could
        // still start it can reach the worker: it has seen the current token,
        // and the response that carried the start is over.
        let trusted = r.token >= m.token;
        let (gone, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut *m.placed).into_iter().partition(|p| {
                if listed.contains(&(p.id.as_str(), p.attempt))
                    || !trusted
                    || p.stage != Stage::Durable
                    // A direct start without an answer may still arrive, however
                    // many reports come first: a leader short of processor
                    // time sends it late.
                    || m.open_orders.contains(&p.attempt)
                {
                    return false;
                }
                if p.inherited || p.seen {
                    return true;
                }
                p.sent >= limits::START_TRIES && p.sent_seq.is_some_and(|s| s < r.seq)
            });
        m.placed = kept.into();
        self.lose_all(gone, &m.zone, now);
    }

    /// A task of the job ran to its end: where it failed before, the machine is
    /// at fault, and those failures count for its key.
    fn succeeded(&mut self, no: JobNo, now: f64) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let (failures, key) = (std::mem::take(&mut job.failures), job.key.clone());
        let machines = std::mem::take(&mut job.failed_on);
        job.pauses = 0;
        for _ in 0..failures {
            self.predictor.lose(&key, now);
        }
        for name in machines.into_keys() {
            let Some(mut m) = self.machines.remove(&name) else {
                continue;
            };
            self.judge(&mut m, &name);
            self.machines.insert(name, m);
        }
    }

    /// A task failed; returns the pause before its job is tried again. Whose
    /// fault it is shows elsewhere: a job with a mistake succeeds nowhere, and
    /// on a faulty machine no job succeeds.
    pub(super) fn failed(&mut self, m: &mut Machine, name: &str, p: &Placement, now: f64) -> f64 {
        let Some(job) = p.job.and_then(|no| self.jobs.get_mut(&no)) else {
            return 0.0;
        };
        let new = job.failed_on.insert(name.to_string(), now).is_none();
        job.failures += 1;
        let failing = m.failing.entry(job.spec.id.clone()).or_default();
        *failing = (failing.0 + 1, now);
        let mut delay = 0.0;
        if job.suspect() {
            let machines = job.failed_on.len();
            // Tasks that were started before the pause don't make it longer.
            if now >= job.retry_at {
                job.pauses += 1;
            }
            let doublings = job.pauses.saturating_sub(1).min(8) as i32;
            delay = (limits::RETRY_FIRST_S * 2f64.powi(doublings)).min(limits::RETRY_MAX_S);
            if new && machines.is_power_of_two() {
                warn!(
                    job = job.spec.id,
                    team = job.spec.team,
                    failures = job.failures,
                    machines,
                    "fails wherever it runs; tried one task at a time"
                );
            }
        }
        job.retry_at = job.retry_at.max(now + delay);
        self.judge(m, name);
        delay
    }

    /// Is the machine at fault? Nothing has succeeded on it since these jobs
    /// failed there: each failure of one that succeeds elsewhere speaks against
    /// it, those of one that fails elsewhere too do not.
    fn judge(&self, m: &mut Machine, name: &str) {
        let jobs = || {
            let failing = m.failing.iter();
            failing.filter_map(|(id, f)| Some((self.jobs.get(self.ids.get(id)?)?, f.0)))
        };
        let proven: u32 = jobs().filter(|j| j.0.proven()).map(|j| j.1).sum();
        let only_here = jobs().filter(|j| !j.0.suspect()).count();
        let sick = proven >= limits::SICK_TASKS || only_here >= limits::SICK_JOBS;
        if sick && !m.draining {
            info!(
                machine = name,
                jobs = only_here,
                "quarantined: jobs fail on it that succeed elsewhere"
            );
            m.draining = true;
        }
    }

    /// The commands that answer the report (`session`, `seq`) of a machine.
    pub fn commands(&mut self, r: &Report, now: f64) -> Vec<Command> {
        let mut out = Vec::new();
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return out;
        };
        if (m.session, m.seq) != (r.session, r.seq) {
            return out;
        }
        m.unwanted = false;
        for t in &r.tasks {
            let Some((id, n)) = split_task(&t.task) else {
                continue;
            };
            let job = self.ids.get(id).and_then(|no| self.jobs.get(no));
            if t.state == TaskState::Exited {
                if r.token < m.token || m.open_orders.contains(&t.attempt) {
                    continue;
                }
                // What it reports must be durable first.
                let durable = t.why != Some(Why::Done)
                    || job.is_none_or(|j| j.durable.get(n) || j.spec.kind == Kind::Service);
                if durable {
                    out.push(Command::Forget {
                        task: t.task.clone(),
                        attempt: t.attempt,
                    });
                }
                continue;
            }
            let at = m
                .placed
                .iter()
                .position(|p| p.attempt == t.attempt && p.id == t.task);
            let wanted = at.is_some() && job.is_some_and(|j| !j.done.get(n));
            if !wanted {
                m.unwanted = true;
                out.push(end(&t.task, t.attempt));
                continue;
            }
            // A machine that is about to be taken: save what can be saved. One
            // that is being emptied: move what has long to run.
            let move_it = |p: &Placement, job: &Job| {
                let counted = self
                    .settings
                    .objectives
                    .iter()
                    .any(|o| o.kind == "wait" && o.class == job.spec.class);
                let after = if counted {
                    limits::MOVE_AFTER_START_S
                } else {
                    limits::MOVE_AFTER_S
                };
                now - p.run_since >= after
            };
            if let (Some(at), Some(job)) = (at, job)
                && t.state == TaskState::Running
                && job.spec.checkpoint_s > 0.0
                && m.placed[at].stop == Stop::No
                && (r.notice_s.is_some() || m.retiring && move_it(&m.placed[at], job))
            {
                m.placed[at].stop = Stop::Due;
            }
            // A stop that got lost is sent again; one that saves is left alone.
            let again = 2.0 * limits::MISSED_REPORTS * self.settings.workers.report_s;
            if let (Some(at), Some(job)) = (at, job)
                && t.state != TaskState::Saving
                && match m.placed[at].stop {
                    Stop::No => false,
                    Stop::Due => true,
                    Stop::Sent(sent) => now - sent > again,
                }
            {
                m.placed[at].stop = Stop::Sent(now);
                out.push(stop(&m.placed[at], job));
            }
        }
        for p in m.placed.iter_mut() {
            let over = p.over(&self.jobs);
            if p.stage == Stage::Durable
                && !p.inherited
                && !p.seen
                && !over
                && p.session == r.session
                && p.sent_seq != Some(r.seq)
                && p.sent < limits::START_TRIES
            {
                p.sent_seq = Some(r.seq);
                p.sent += 1;
                out.push(Command::Start {
                    task: p.id.clone(),
                    attempt: p.attempt,
                });
            } else if over && !p.seen && p.stage == Stage::Durable && p.session == r.session {
                // Cancelled before it was ever listed: once this report's
                // successor doesn't list it either, it is freed as absent. Its start may
                // have come after this report was sent, so its stop follows it.
                if p.inherited || p.sent > 0 {
                    out.push(end(&p.id, p.attempt));
                }
                p.sent = limits::START_TRIES;
                p.sent_seq.get_or_insert(r.seq);
            }
        }
        out
    }

    /// Starts to be sent straight to workers, by the holder that sends them:
    /// machine, address, commands.
    pub fn orders(&mut self, now: f64) -> BTreeMap<String, Vec<(String, String, Orders)>> {
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let mut out: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for (name, m) in &mut self.machines {
            if !m.up || m.deleting || now - m.heard > fresh || !m.placed.sums().calls {
                continue;
            }
            let mut commands = Vec::new();
            for p in m.placed.iter_mut() {
                let job = p.job.and_then(|no| self.jobs.get(&no));
                let live = job.is_some();
                if let Some(job) = job
                    && p.stop == Stop::Due
                    && p.session == m.session
                {
                    p.stop = Stop::Sent(now);
                    commands.push(stop(p, job));
                    continue;
                }
                let first = p.sent == 0 && !p.seen && !p.inherited;
                if live && first && p.stage == Stage::Durable && p.session == m.session {
                    p.sent = 1;
                    crate::life!(p.id, machine = name, holder = m.holder, "start sent");
                    m.open_orders.insert(p.attempt);
                    commands.push(Command::Start {
                        task: p.id.clone(),
                        attempt: p.attempt,
                    });
                }
            }
            if !commands.is_empty() {
                let orders = Orders {
                    token: m.token,
                    session: m.session,
                    commands,
                };
                let of = out.entry(m.holder.clone()).or_default();
                of.push((name.clone(), m.addr.clone(), orders));
            }
        }
        out
    }

    /// What became of direct starts: Some(true) executed, Some(false) not
    /// executed, None unknown. They could still be executed then, so the
    /// machine gets a higher token, which fences them once it is seen.
    pub fn ordered(&mut self, machine: &str, orders: &Orders, executed: Option<bool>) {
        let token = self.unique();
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let mut starts = false;
        for c in &orders.commands {
            let Command::Start { task, attempt } = c else {
                continue;
            };
            starts = true;
            m.open_orders.remove(attempt);
            if executed == Some(false)
                && let Some(p) = m.placed.iter_mut().find(|p| p.id == *task)
                && p.attempt == *attempt
            {
                p.sent = 0;
            }
        }
        // A stop that lands late ends its own attempt and nothing else.
        if starts && executed.is_none() && m.token == orders.token {
            m.token = token;
        }
    }

    /// The block of a controller that says hello, renewed: its machines with
    /// their tokens. A machine not heard from drops out, so that its grants
    /// run dry and its tasks can be freed. So does one with work that is over: a hello
    /// carries no stop, and a holder whose reports the leader doesn't answer, while it
    /// answers its hellos, kept such work alive for as long as that lasted.
    pub fn block(&mut self, holder: &str, now: f64) -> Vec<(String, u64)> {
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let until = now + self.timing.grant_bound_s();
        let mut block = Vec::new();
        for (name, m) in &mut self.machines {
            if m.holder == holder
                && m.token > 0
                && now - m.heard <= fresh
                && !m.unwanted
                && !m.placed.iter().any(|p| p.over(&self.jobs))
            {
                m.granted_until = m.granted_until.max(until);
                block.push((name.clone(), m.token));
            }
        }
        block
    }
}
