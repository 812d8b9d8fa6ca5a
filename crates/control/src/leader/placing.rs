//! Serving the queue: which waiting task goes to which machine.

use super::*;

impl Leader {
    pub(super) fn team_fits(&self, spec: &Submission, guaranteed: bool) -> bool {
        let Some(t) = self.settings.teams.iter().find(|t| t.name == spec.team) else {
            return false;
        };
        let (c, g) = self.usage.get(&spec.team).copied().unwrap_or_default();
        let (cm, gm) = if guaranteed {
            (t.cpus, t.gpus)
        } else {
            (t.cpus_max, t.gpus_max)
        };
        c + spec.cpus <= cm + 1e-6 && g + spec.gpus <= gm + 1e-6
    }

    pub(super) fn allowed(spec: &Submission, kind: &str, zone: &str, spot: bool) -> bool {
        (spec.spot || !spot)
            && spec
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| t == kind))
            && spec.zone.as_ref().is_none_or(|z| z == zone)
    }

    /// The rules about zones, given all tasks of the job that may be anywhere.
    pub(super) fn zone_ok(job: &Job, zone: &str) -> bool {
        let here = job.zones.get(zone).copied().unwrap_or(0);
        (!job.spec.one_zone || here == job.placed)
            && (!job.spec.spread || here < job.spec.tasks.div_ceil(2))
    }

    pub(super) fn run_estimate(&self, job: &Job) -> f64 {
        self.predictor
            .estimate(&job.key)
            .unwrap_or(job.spec.estimate_s)
            .max(1.0)
    }

    /// Is the job's team near its limit, with enough of it waiting for images
    /// already, and the job's image to be had without another fetch?
    pub(super) fn scarce(&self, spec: &Submission) -> bool {
        let Some(team) = self.settings.teams.iter().find(|t| t.name == spec.team) else {
            return false;
        };
        let used = self.usage.get(&spec.team).map_or(0.0, |u| u.0);
        if used < team.cpus_max * limits::SCARCE {
            return false;
        }
        let mut fetching = 0.0;
        let mut there = false;
        for m in self
            .machines
            .values()
            .filter(|m| m.up && !m.draining && !m.deleting)
        {
            there |= m.images.iter().any(|i| i.name == spec.image);
            for p in m
                .placed
                .iter()
                .filter(|p| p.team == spec.team && !p.running)
            {
                fetching += p.cpus;
            }
        }
        there && fetching > team.cpus_max * limits::SCARCE_FETCHING
    }

    /// CPU-seconds of the job's tasks that are not on a machine.
    pub(super) fn work_left(&self, job: &Job) -> f64 {
        let gone = job.done.count() as usize + job.on.len();
        let left = (job.spec.tasks as usize).saturating_sub(gone);
        left as f64 * job.spec.cpus * self.run_estimate(job)
    }

    /// s until the job's waiting tasks must be started for the next aim on its
    /// class that it can still meet; None if there is none.
    pub(super) fn slack(&self, job: &Job, now: f64) -> Option<f64> {
        let age = now - job.born;
        let mut least: Option<f64> = None;
        for o in &self.settings.objectives {
            if o.class != job.spec.class {
                continue;
            }
            let run = match o.kind.as_str() {
                "finished" => self
                    .predictor
                    .tail(&job.key)
                    .unwrap_or(job.spec.estimate_s * limits::TAIL_GUESS),
                "wait" => 0.0,
                _ => continue,
            };
            let slack = o.within_s - age - run;
            if slack >= 0.0 && least.is_none_or(|l| slack < l) {
                least = Some(slack);
            }
        }
        least
    }

    /// The machine that suits a task of the job best, and the s until its
    /// image could be there.
    pub(super) fn best_machine(
        &self,
        job: &Job,
        zone: Option<&str>,
        now: f64,
    ) -> Option<(String, f64)> {
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let run_s = self.run_estimate(job);
        let mut best: Option<(f64, &String, f64)> = None;
        for (name, m) in &self.machines {
            if !m.up || m.draining || m.retiring || m.deleting || now - m.heard > fresh {
                continue;
            }
            if zone.is_some_and(|z| z != m.zone) {
                continue;
            }
            let Some(t) = self.types.iter().find(|t| t.name == m.kind) else {
                continue;
            };
            let (c, g, mem) = m.used();
            let s = &job.spec;
            if c + s.cpus > t.cpus + 1e-6
                || g + s.gpus > t.gpus + 1e-6
                || mem + s.memory_gb > t.memory_gb + 1e-6
                || !Self::allowed(s, &m.kind, &m.zone, m.spot)
                || !Self::zone_ok(job, &m.zone)
                || job.failed_on.contains(name) && job.failed_on.len() < 3
            {
                continue;
            }
            let image_wait_s = match m.images.iter().find(|i| i.name == s.image) {
                Some(i) => (i.ready_at - now).max(0.0),
                None => {
                    let queue: f64 = m
                        .images
                        .iter()
                        .map(|i| (i.ready_at - now).max(0.0))
                        .fold(0.0, f64::max);
                    queue + s.image_gb / t.fetch_gb_per_s.max(0.001)
                }
            };
            let free_after = (t.cpus - c - s.cpus) / t.cpus.max(0.001);
            let view = View {
                image_wait_s,
                free_after,
                spot: m.spot,
                slowness: 1.0,
            };
            let price = cost(&view, run_s);
            if best.is_none_or(|b| price < b.0) {
                best = Some((price, name, image_wait_s));
            }
        }
        best.map(|(_, n, wait)| (n.clone(), wait))
    }

    /// Where a gang can go as a whole: None if nowhere, Some(None) if the zone
    /// doesn't matter.
    pub(super) fn gang_zone(&self, job: &Job, now: f64) -> Option<Option<String>> {
        let s = &job.spec;
        let missing = s.tasks - job.done.count().min(s.tasks);
        let missing = missing.saturating_sub(job.on.len() as u32);
        let team = self.settings.teams.iter().find(|t| t.name == s.team)?;
        let (c, g) = self.usage.get(&s.team).copied().unwrap_or_default();
        let n = f64::from(missing);
        if c + n * s.cpus > team.cpus_max + 1e-6 || g + n * s.gpus > team.gpus_max + 1e-6 {
            return None;
        }
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let mut room: BTreeMap<&str, u32> = BTreeMap::new();
        for m in self.machines.values() {
            if !m.up || m.draining || m.retiring || m.deleting || now - m.heard > fresh {
                continue;
            }
            if !Self::allowed(s, &m.kind, &m.zone, m.spot) {
                continue;
            }
            let Some(t) = self.types.iter().find(|t| t.name == m.kind) else {
                continue;
            };
            let (c, g, mem) = m.used();
            let fit = |free: f64, each: f64| {
                if each > 0.0 {
                    ((free + 1e-6) / each).floor() as u32
                } else {
                    u32::MAX
                }
            };
            let n = fit(t.cpus - c, s.cpus)
                .min(fit(t.gpus - g, s.gpus))
                .min(fit(t.memory_gb - mem, s.memory_gb));
            let r = room.entry(&m.zone).or_default();
            *r = r.saturating_add(n.min(missing));
        }
        if s.one_zone {
            let zone = room
                .iter()
                .find(|(z, n)| **n >= missing && Self::zone_ok(job, z))
                .map(|(z, _)| (*z).to_string())?;
            return Some(Some(zone));
        }
        let most = if s.spread {
            s.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        let total: u64 = room
            .iter()
            .map(|(z, n)| {
                let here = job.zones.get(*z).copied().unwrap_or(0);
                u64::from((*n).min(most.saturating_sub(here)))
            })
            .sum();
        (total >= u64::from(missing)).then_some(None)
    }

    /// Serves the queue: every task that can go somewhere is planned there.
    pub fn plan(&mut self, now: f64) {
        self.queue.age(now);
        let due: Vec<_> = self
            .delayed
            .iter()
            .filter(|d| d.0 <= now)
            .cloned()
            .collect();
        self.delayed.retain(|d| d.0 > now);
        for (_, no, task) in due {
            if let Some(job) = self.jobs.get(&no) {
                let level = self.predictor.level(&job.key, now);
                self.queue.push_front(level, no, task, now);
            }
        }
        if self.queue.is_empty() {
            return;
        }
        let mut blocked: HashSet<JobNo> = HashSet::new();
        let mut queue = std::mem::take(&mut self.queue);
        let ranks = [
            Priority::Production,
            Priority::High,
            Priority::Normal,
            Priority::Low,
        ];
        // Guaranteed work goes before borrowed work, higher ranks before
        // lower ones; among equals the level clocks decide.
        // Before a machine fetches an image, tasks of the same standing whose
        // image is there already may pass, for a bounded time.
        let mut cold: HashSet<JobNo> = HashSet::new();
        for guaranteed in [true, false] {
            for rank in ranks {
                for order in [Order::Due, Order::Hot, Order::Any] {
                    self.serve(
                        &mut queue,
                        (guaranteed, rank, order),
                        &mut blocked,
                        &mut cold,
                        now,
                    );
                }
            }
        }
        self.queue = queue;
    }

    /// Places what it can of one standing.
    pub(super) fn serve(
        &mut self,
        queue: &mut Queue<JobNo>,
        (guaranteed, rank, order): (bool, Priority, Order),
        blocked: &mut HashSet<JobNo>,
        cold: &mut HashSet<JobNo>,
        now: f64,
    ) {
        loop {
            let ready = |no: &JobNo| {
                !blocked.contains(no)
                    && self.jobs.get(no).is_some_and(|j| {
                        j.spec.priority == rank
                            && j.retry_at <= now
                            && self.team_fits(&j.spec, guaranteed)
                            && self.team_fits(&j.spec, false)
                    })
            };
            let price = |no: &JobNo| self.jobs.get(no).map_or(1.0, |j| self.run_estimate(j));
            let taken = if order == Order::Due {
                let risk = |no: &JobNo| {
                    let job = self.jobs.get(no)?;
                    let due = self.slack(job, now)? < limits::RISK_S;
                    (due && !cold.contains(no) && ready(no)).then(|| self.work_left(job))
                };
                queue.take_least(risk, price)
            } else {
                let passes = |no: &JobNo, since| {
                    order == Order::Any || !cold.contains(no) || now - since >= limits::PASS_OVER_S
                };
                queue.take(|no, since| passes(no, since) && ready(no), price)
            };
            let Some((no, task)) = taken else { return };
            let Some(job) = self.jobs.get(&no) else {
                continue;
            };
            if job.done.get(task) || job.on.contains_key(&task) {
                continue;
            }
            let est = self.run_estimate(job);
            let gang = job.spec.kind == Kind::Gang;
            let zone = if gang {
                self.gang_zone(job, now)
            } else {
                Some(None)
            };
            let best = zone
                .as_ref()
                .and_then(|z| self.best_machine(job, z.as_deref(), now));
            let Some((name, wait)) = best else {
                blocked.insert(no);
                queue.untake(no, task, est);
                continue;
            };
            if wait > limits::HOT_S {
                let young = now - queue.taken_since() < limits::PASS_OVER_S;
                let calm = self.slack(job, now).is_none_or(|s| s > wait);
                let pass = match order {
                    Order::Due => calm,
                    Order::Hot => young,
                    Order::Any => false,
                };
                if pass || self.scarce(&job.spec) {
                    if pass {
                        cold.insert(no);
                    } else {
                        blocked.insert(no);
                    }
                    queue.untake(no, task, est);
                    continue;
                }
            }
            let attempt = self.unique();
            self.place(no, task, attempt, &name, now);
            // There is room for all of a gang: the rest follows at once, before
            // anything else can take it. The tasks of a gang find each other by
            // their common attempt.
            while let Some((_, task)) = queue.take(|n, _| gang && *n == no, |_| est) {
                let Some(job) = self.jobs.get(&no) else { break };
                let zone = zone.as_ref().and_then(Option::as_deref);
                match self.best_machine(job, zone, now) {
                    Some((name, _)) => self.place(no, task, attempt, &name, now),
                    None => {
                        queue.untake(no, task, est);
                        break;
                    }
                }
            }
        }
    }

    pub(super) fn place(&mut self, no: JobNo, task: u32, attempt: u64, name: &str, now: f64) {
        let (Some(job), Some(m)) = (self.jobs.get(&no), self.machines.get_mut(name)) else {
            return;
        };
        let s = &job.spec;
        let p = Placement {
            id: format!("{}/{task}", s.id),
            job: Some(no),
            task,
            attempt,
            session: m.session,
            stage: Stage::Planned,
            inherited: false,
            sent_seq: None,
            sent: 0,
            seen: false,
            running: false,
            run_since: now,
            image: s.image.clone(),
            team: s.team.clone(),
            cpus: s.cpus,
            gpus: s.gpus,
            mem: s.memory_gb,
            stopping: false,
        };
        let t = self.types.iter().find(|t| t.name == m.kind);
        let (rate, cache) = t.map_or((1.0, 0.0), |t| (t.fetch_gb_per_s.max(0.001), t.cache_gb));
        match m.images.iter_mut().find(|i| i.name == s.image) {
            Some(i) => i.used = now,
            None => {
                let queue = m.images.iter().map(|i| i.ready_at).fold(now, f64::max);
                m.images.push(Image {
                    name: s.image.clone(),
                    gb: s.image_gb,
                    ready_at: queue + s.image_gb / rate,
                    used: now,
                });
                // The machine keeps the most recently used images.
                while m.images.len() > 1 && m.images.iter().map(|i| i.gb).sum::<f64>() > cache {
                    let oldest = (0..m.images.len())
                        .min_by(|a, b| m.images[*a].used.total_cmp(&m.images[*b].used));
                    if let Some(i) = oldest {
                        m.images.remove(i);
                    }
                }
            }
        }
        m.placed.push(p.clone());
        m.idle_since = now;
        let zone = m.zone.clone();
        self.count(&p, &zone, 1.0);
    }
}
