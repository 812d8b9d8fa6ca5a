//! Serving the queue: which waiting task goes to which machine.
//!
//! The tasks of a run are alike, so they are placed in groups: one search of
//! the machines with room serves as many tasks as the best of them takes, and
//! the level's clock is charged for each. Work depends on what waits and on
//! the machines that have room, not on all that runs.

use super::*;
use cherrywood_sched::queue::{Pick, Place};

mod floors;
mod gangs;
mod waiting;

use waiting::{Line, Waiter, Waiting};

/// How tasks of one standing are served, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// Jobs about to miss an aim that they can still meet, least work first.
    Due,
    /// By the level clocks, those whose image is on a machine with room.
    Hot,
    /// By the level clocks.
    Any,
}

/// A machine that takes work now.
struct Site<'a> {
    name: &'a str,
    m: &'a mut Machine,
    kind: &'a MachineType,
    /// Free CPUs, accelerators, memory.
    free: (f64, f64, f64),
    /// When its fetches are over.
    fetched: f64,
}

impl Site<'_> {
    /// Tasks of this shape that still fit.
    fn fits(&self, s: &Submission) -> u32 {
        let fit = |free: f64, each: f64| {
            if each > 0.0 {
                ((free + 1e-6) / each).floor().max(0.0) as u32
            } else {
                u32::MAX
            }
        };
        fit(self.free.0, s.cpus)
            .min(fit(self.free.1, s.gpus))
            .min(fit(self.free.2, s.memory_gb))
    }

    fn image_wait_s(&self, job: &Job, now: f64) -> f64 {
        match self.m.images.iter().find(|i| i.no == job.image) {
            Some(i) => (i.ready_at - now).max(0.0),
            None => {
                (self.fetched - now).max(0.0)
                    + job.spec.image_gb / self.kind.fetch_gb_per_s.max(0.001)
            }
        }
    }
}

/// How far each level of a line was looked at. During one serving nobody becomes
/// eligible who wasn't, so what was passed over once is not looked at again.
type Looked = [usize; limits::LEVELS];

/// One pass over the queue: the leader's parts, borrowed side by side.
struct Plan<'a> {
    now: f64,
    settings: &'a Settings,
    jobs: &'a mut Jobs,
    usage: &'a mut HashMap<String, (f64, f64)>,
    sites: Vec<Site<'a>>,
    waiters: Vec<Waiter>,
    /// Places of waiting runs, each with the next one of the same job.
    chain: Vec<(Place, u32)>,
    used: Vec<(f64, f64)>,
    /// CPUs and accelerators of each team that are kept for one of its jobs.
    kept: Vec<(f64, f64)>,
    /// CPUs of each team that wait for images, and the images that are on
    /// machines; counted when first asked for.
    fetching: &'a (Vec<f64>, HashSet<u64>),
    epoch: u64,
    counter: &'a mut u64,
    planned: &'a mut BTreeSet<String>,
    groups: u64,
    /// Free CPUs that this pass must leave; is it for more than filling?
    keep: f64,
    no_fill: bool,
    /// For a cell that is behind: what it places doesn't give way to others.
    floor: bool,
    /// One task of a job, and no more.
    single: bool,
    looks: &'a mut u64,
}

pub(super) fn allowed(spec: &Submission, kind: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec
            .types
            .as_ref()
            .is_none_or(|t| t.iter().any(|t| t == kind))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
}

/// Tasks that the rules about zones leave for `zone`, given all tasks of the
/// job that may be anywhere.
fn zone_room(job: &Job, zone: &str) -> u32 {
    let here = job.zones.get(zone).copied().unwrap_or(0);
    if job.spec.one_zone && here != job.placed {
        0
    } else if job.spec.spread {
        job.spec.tasks.div_ceil(2).saturating_sub(here)
    } else {
        u32::MAX
    }
}

/// Jobs that wait and don't just fill idle room, and the CPUs that their tasks may use.
pub(super) fn ranked_waiting(
    queue: &Queue<JobNo>,
    jobs: &Jobs,
    mut room: Vec<f64>,
    now: f64,
) -> Vec<(JobNo, f64)> {
    let mut waiting = Vec::new();
    for run in queue.runs() {
        let Some(job) = jobs.get(&run.job) else {
            continue;
        };
        let s = &job.spec;
        let Some(room) = job.team.and_then(|t| room.get_mut(t)) else {
            continue;
        };
        if job.fill || job.suspect() || job.retry_at > now || *room < s.cpus {
            continue;
        }
        let cpus = (s.cpus * f64::from(run.len())).min(*room);
        *room -= cpus;
        waiting.push((run.job, cpus));
    }
    waiting
}

impl Leader {
    pub(super) fn run_estimate(&self, job: &Job) -> f64 {
        run_estimate(&self.predictor, job)
    }

    /// Serves the queue: every task that can go somewhere is planned there.
    pub fn plan(&mut self, now: f64) {
        self.derive(now);
        self.queue.age(now);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|d| d.0 <= now);
        self.delayed = later;
        for (_, no, task) in due {
            if let Some(job) = self.jobs.get(&no).filter(|j| !j.waits) {
                let key = job.key.clone();
                let level = self.level(&key, now);
                self.queue.push_front(level, no, task, now);
            }
        }
        if self.queue.is_empty() {
            return;
        }
        let teams = &self.settings.teams;
        let team_no: HashMap<&str, usize> = teams
            .iter()
            .enumerate()
            .map(|(i, t)| (t.name.as_str(), i))
            .collect();
        let Waiting {
            waiters,
            lines,
            chain,
            least,
        } = self.line_up(now);
        let spare = self.ranked_cpus() * limits::FILL_SPARE;
        let behind = self.behind(now);
        let fetching = self.fetching(&team_no);
        let fresh = limits::MISSED_REPORTS * self.settings.workers.report_s;
        let mut sites = Vec::new();
        for (name, m) in &mut self.machines {
            let deaf = m.deaf(now, &self.settings);
            if !m.up || m.draining || m.retiring || m.deleting || now - m.heard > fresh || deaf {
                continue;
            }
            let Some(kind) = self.types.iter().find(|t| t.name == m.kind) else {
                continue;
            };
            let (c, g, mem) = m.used();
            let free = (kind.cpus - c, kind.gpus - g, kind.memory_gb - mem);
            if free.0 + 1e-6 < least.0 || free.1 + 1e-6 < least.1 || free.2 + 1e-6 < least.2 {
                continue;
            }
            let fetched = m.images.iter().map(|i| i.ready_at).fold(now, f64::max);
            sites.push(Site {
                name,
                m,
                kind,
                free,
                fetched,
            });
        }
        let usage = &mut self.usage;
        let used = teams
            .iter()
            .map(|t| usage.get(&t.name).copied().unwrap_or_default())
            .collect();
        let mut queue = std::mem::take(&mut self.queue);
        let mut plan = Plan {
            now,
            settings: &self.settings,
            jobs: &mut self.jobs,
            usage,
            sites,
            waiters,
            chain,
            used,
            kept: vec![(0.0, 0.0); teams.len()],
            fetching: &fetching,
            epoch: self.epoch,
            counter: &mut self.counter,
            planned: &mut self.planned,
            groups: 0,
            keep: 0.0,
            no_fill: false,
            floor: false,
            single: false,
            looks: &mut self.looks,
        };
        plan.serve_overdue(&mut queue);
        let before = plan.placed();
        plan.serve_behind(&mut queue, &behind, self.floor_due);
        let floored = plan.placed() - before;
        // Guaranteed work goes before borrowed work, higher ranks before
        // lower ones; among equals the level clocks decide. Before a machine
        // fetches an image, tasks of the same standing whose image is there
        // already may pass, for a bounded time.
        for guaranteed in [true, false] {
            for line in &lines {
                // What only fills idle room comes last, and leaves some.
                let last = line.rank == Priority::Low && !guaranteed;
                plan.no_fill = last;
                plan.serve_rank(&mut queue, guaranteed, line);
                if last {
                    plan.no_fill = false;
                    plan.keep = spare + plan.ranked_need(&queue);
                    plan.serve_rank(&mut queue, guaranteed, line);
                }
            }
        }
        let others = plan.placed() - before - floored;
        for team in plan.limited_teams(&queue) {
            self.limited_at[team] = now;
        }
        self.queue = queue;
        let share = limits::admission::FLOOR_CPUS;
        self.floor_due = if behind.is_empty() {
            0.0
        } else {
            let machines = self.machines.values();
            let all: f64 = machines.map(|m| self.cpus_of(&m.kind)).sum();
            let due = self.floor_due - floored + others * share / (1.0 - share);
            due.min(all * limits::admission::FLOOR_SAVED)
        };
        self.give_way(now);
    }

    /// CPUs of each team placed but not running, and all images at hand.
    fn fetching(&self, team_no: &HashMap<&str, usize>) -> (Vec<f64>, HashSet<u64>) {
        let teams = &self.settings.teams;
        let mut cpus = vec![0.0; teams.len()];
        let mut images = HashSet::new();
        for m in self.machines.values() {
            if !m.up || m.draining || m.deleting {
                continue;
            }
            images.extend(m.images.iter().map(|i| i.no));
            if !m.placed.sums().waits {
                continue;
            }
            for p in m.placed.iter().filter(|p| !p.running) {
                if let Some(at) = team_no.get(p.team.as_str()) {
                    cpus[*at] += p.cpus;
                }
            }
        }
        (cpus, images)
    }
}

pub(super) fn run_estimate(predictor: &Predictor, job: &Job) -> f64 {
    run_s(predictor.estimate(&job.key), job)
}

/// The same from a median that was looked up before.
fn run_s(median: Option<f64>, job: &Job) -> f64 {
    median.unwrap_or(job.spec.estimate_s).max(1.0)
}

impl Plan<'_> {
    /// Tasks of the waiter's shape for which its team has room.
    fn team_room(&self, w: &Waiter, guaranteed: bool) -> u32 {
        let t = &self.settings.teams[w.team];
        let (used, kept) = (self.used[w.team], self.kept[w.team]);
        let (c, g) = (used.0 + kept.0, used.1 + kept.1);
        let room = |most: f64, used: f64, each: f64| {
            if each > 0.0 {
                ((most - used + 1e-6) / each).floor().max(0.0) as u32
            } else {
                u32::MAX
            }
        };
        let bound = |cpus, gpus| room(cpus, c, w.cpus).min(room(gpus, g, w.gpus));
        let most = bound(t.cpus_max, t.gpus_max);
        if guaranteed {
            most.min(bound(t.cpus, t.gpus))
        } else {
            most
        }
    }

    /// Teams whose limit has no room for a task of theirs that waits.
    fn limited_teams(&self, queue: &Queue<JobNo>) -> BTreeSet<usize> {
        let mut limited = BTreeSet::new();
        for (n, w) in self.waiters.iter().enumerate() {
            let refused = !w.blocked && self.team_room(w, false) == 0;
            if refused && !limited.contains(&w.team) && self.find(queue, n as u32).is_some() {
                limited.insert(w.team);
            }
        }
        limited
    }

    fn serve_rank(&mut self, queue: &mut Queue<JobNo>, guaranteed: bool, line: &Line) {
        self.serve_due(queue, guaranteed, line.rank);
        self.serve(queue, guaranteed, line, Order::Hot);
        self.serve(queue, guaranteed, line, Order::Any);
    }

    /// CPUs for which work waits that doesn't just fill idle room.
    fn ranked_need(&self, queue: &Queue<JobNo>) -> f64 {
        let teams = self.settings.teams.iter().zip(&self.used);
        let room = teams.map(|(t, u)| t.cpus_max - u.0).collect();
        ranked_waiting(queue, self.jobs, room, self.now)
            .iter()
            .map(|(_, cpus)| cpus)
            .sum()
    }

    fn spare(&self) -> bool {
        self.keep <= 0.0 || self.sites.iter().map(|s| s.free.0).sum::<f64>() > self.keep
    }

    fn ready(&self, w: &Waiter, guaranteed: bool) -> bool {
        !(w.blocked || self.no_fill && w.fill) && self.team_room(w, guaranteed) > 0
    }

    /// A waiting run of the job, whatever the clocks say.
    fn find(&self, queue: &Queue<JobNo>, n: u32) -> Option<Pick<JobNo>> {
        let mut link = self.waiters[n as usize].places;
        while let Some((place, next)) = self.chain.get(link as usize) {
            match queue.pick(*place) {
                None => link = *next,
                found => return found,
            }
        }
        None
    }

    /// Is the job's team near its limit, with enough of it waiting for images
    /// already, and the job's image to be had without another fetch?
    fn scarce(&self, team: usize, image: u64) -> bool {
        let t = &self.settings.teams[team];
        let (cpus, images) = self.fetching;
        self.used[team].0 >= t.cpus_max * limits::SCARCE
            && cpus[team] > t.cpus_max * limits::SCARCE_FETCHING
            && images.contains(&image)
    }

    /// Jobs about to miss an aim, least work left first: what is left only
    /// shrinks while a job is served, so the order stands for the whole pass.
    fn serve_due(&mut self, queue: &mut Queue<JobNo>, guaranteed: bool, rank: Priority) {
        if self.sites.is_empty() {
            return;
        }
        let due = self.by_work_left(|w| {
            w.rank == rank
                && w.slack.is_some_and(|s| s < limits::RISK_S)
                && self.ready(w, guaranteed)
        });
        for n in due {
            while !self.sites.is_empty()
                && self.spare()
                && !self.waiters[n as usize].cold
                && self.ready(&self.waiters[n as usize], guaranteed)
                && let Some(pick) = self.find(queue, n)
            {
                self.place_group(queue, n, &pick, guaranteed, Order::Due);
            }
        }
    }

    /// The waiters that are wanted, those with the least work left first.
    fn by_work_left(&self, wanted: impl Fn(&Waiter) -> bool) -> Vec<u32> {
        let mut found: Vec<(f64, JobNo, u32)> = Vec::new();
        for (n, w) in self.waiters.iter().enumerate().filter(|(_, w)| wanted(w)) {
            if let Some(job) = self.jobs.get(&w.no) {
                found.push((f64::from(job.left()) * w.cpus * w.est, w.no, n as u32));
            }
        }
        found.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        found.into_iter().map(|(_, _, n)| n).collect()
    }

    /// Places what it can of one standing, by the level clocks.
    fn serve(&mut self, queue: &mut Queue<JobNo>, guaranteed: bool, line: &Line, order: Order) {
        let mut looked = Looked::default();
        while !self.sites.is_empty() && self.spare() {
            let mut found = [None; limits::LEVELS];
            let mut of = [0; limits::LEVELS];
            for (level, runs) in line.runs.iter().enumerate() {
                while let Some((n, place, since)) = runs.get(looked[level]) {
                    let w = &self.waiters[*n as usize];
                    let passes = order == Order::Any || !w.cold || !self.may_pass(w, *since);
                    if passes && self.ready(w, guaranteed) && queue.pick(*place).is_some() {
                        (found[level], of[level]) = (Some(*place), *n);
                        break;
                    }
                    looked[level] += 1;
                }
            }
            let Some(pick) = queue.choose(found) else {
                return;
            };
            self.place_group(queue, of[pick.level()], &pick, guaranteed, order);
        }
    }

    /// Places as many tasks of the run as the best machine takes, or marks
    /// the job as one that has to wait.
    fn place_group(
        &mut self,
        queue: &mut Queue<JobNo>,
        n: u32,
        pick: &Pick<JobNo>,
        guaranteed: bool,
        order: Order,
    ) {
        let (no, at) = (pick.job, n as usize);
        let Some(job) = self.jobs.get(&no) else {
            queue.drop_first(pick, pick.len);
            return;
        };
        // Finished meanwhile, or found elsewhere.
        let idle = |task: &u32| !job.done.get(*task) && !job.on.contains_key(task);
        let run = pick.first..pick.first + pick.len;
        let skip = run.clone().take_while(|t| !idle(t)).count() as u32;
        if skip > 0 {
            queue.drop_first(pick, skip);
            return;
        }
        let whole = run.take_while(idle).count() as u32;
        if job.spec.kind == Kind::Gang {
            self.place_gang(queue, n);
            return;
        }
        let w = &self.waiters[at];
        let (est, slack, team) = (w.est, w.slack, w.team);
        let Some((site, wait)) = self.best_machine(n, None) else {
            self.waiters[at].blocked = true;
            return;
        };
        let job = &self.jobs[&no];
        if wait > limits::HOT_S {
            let young = self.may_pass(&self.waiters[at], pick.since);
            let calm = slack.is_none_or(|s| s > wait);
            // Machines with the image free room all the time: a short wait for
            // one of them beats a fetch, unless the image is nowhere yet.
            let soon = self.now - pick.since < limits::COLD_AFTER_S.min(wait / 2.0)
                && self.fetching.1.contains(&job.image);
            let pass = match order {
                Order::Due => calm,
                Order::Hot => young,
                Order::Any => soon && !self.single,
            };
            if pass && order == Order::Any {
                self.waiters[at].blocked = true;
                return;
            }
            if pass {
                self.waiters[at].cold = true;
                return;
            }
            // What goes before all else doesn't wait for its team's images.
            if !self.single && self.scarce(team, job.image) {
                self.waiters[at].blocked = true;
                return;
            }
        }
        let m = &self.sites[site];
        let tasks = whole
            .min(m.fits(&job.spec))
            .min(zone_room(job, &m.m.zone))
            .min(self.team_room(&self.waiters[at], guaranteed))
            .min(if job.suspect() || self.single {
                1
            } else {
                u32::MAX
            });
        if tasks == 0 {
            self.waiters[at].blocked = true;
            return;
        }
        *self.counter += 1;
        let attempt = (self.epoch << limits::EPOCH_SHIFT) | *self.counter;
        let probe = job.suspect();
        queue.take(pick, tasks, est);
        self.place(n, pick.first, tasks, attempt, site);
        if probe {
            self.waiters[at].blocked = true;
        }
    }

    /// May others of its standing whose image is at hand go before it?
    fn may_pass(&self, w: &Waiter, since: f64) -> bool {
        self.now - since < limits::PASS_OVER_S || w.slack.is_some_and(|s| s > limits::RISK_S)
    }

    /// The machine that suits a task of the job best, and the s until its
    /// image could be there.
    fn best_machine(&mut self, n: u32, zone: Option<&str>) -> Option<(usize, f64)> {
        let w = self.waiters.get_mut(n as usize)?;
        let job = self.jobs.get(&w.no)?;
        if let Some((groups, best)) = w.best
            && groups == self.groups
            && zone.is_none()
        {
            return best;
        }
        let s = &job.spec;
        let fresh = |failed: &f64| self.now - failed < limits::AVOID_S;
        let mut best: Option<(f64, usize, f64)> = None;
        for (at, site) in self.sites.iter().enumerate() {
            *self.looks += 1;
            let m = &*site.m;
            if zone.is_some_and(|z| z != m.zone)
                || site.fits(s) == 0
                || !allowed(s, &m.kind, &m.zone, m.spot)
                || zone_room(job, &m.zone) == 0
                || !job.suspect() && job.failed_on.get(site.name).is_some_and(fresh)
                || job.proven() && m.failing.get(&s.id).is_some_and(|f| fresh(&f.1))
            {
                continue;
            }
            let image_wait_s = site.image_wait_s(job, self.now);
            let view = View {
                image_wait_s,
                free_after: (site.free.0 - s.cpus) / site.kind.cpus.max(0.001),
                spot: m.spot,
                slowness: 1.0,
            };
            let price = cost(&view, w.est);
            if best.is_none_or(|b| price < b.0) {
                best = Some((price, at, image_wait_s));
            }
        }
        let best = best.map(|(_, at, wait)| (at, wait));
        w.best = Some((self.groups, best));
        best
    }

    fn place(&mut self, waiter: u32, first: u32, n: u32, attempt: u64, at: usize) {
        let Waiter { no, team, .. } = self.waiters[waiter as usize];
        let (Some(job), Some(site)) = (self.jobs.get(&no), self.sites.get_mut(at)) else {
            return;
        };
        let (s, m, now) = (&job.spec, &mut *site.m, self.now);
        match m.images.iter_mut().find(|i| i.no == job.image) {
            Some(i) => i.used = now,
            None => {
                site.fetched += s.image_gb / site.kind.fetch_gb_per_s.max(0.001);
                m.images.push(Image {
                    no: job.image,
                    gb: s.image_gb,
                    ready_at: site.fetched,
                    used: now,
                });
                // The machine keeps the most recently used images.
                let cache = site.kind.cache_gb;
                while m.images.len() > 1 && m.images.iter().map(|i| i.gb).sum::<f64>() > cache {
                    let oldest = (0..m.images.len())
                        .min_by(|a, b| m.images[*a].used.total_cmp(&m.images[*b].used));
                    if let Some(i) = oldest {
                        m.images.remove(i);
                    }
                }
            }
        }
        crate::life!(s.id, first, n, machine = site.name, attempt, "placed");
        m.idle_since = now;
        let placements: Vec<Placement> = (first..first + n)
            .map(|task| Placement {
                id: format!("{}/{task}", s.id),
                job: Some(no),
                task,
                attempt,
                session: m.session,
                stage: Stage::Planned,
                entry: 0,
                inherited: false,
                sent_seq: None,
                sent: 0,
                seen: false,
                running: false,
                run_since: now,
                image: job.image,
                team: s.team.clone(),
                cpus: s.cpus,
                gpus: s.gpus,
                mem: s.memory_gb,
                fill: job.fill && !self.floor,
                stop: Stop::No,
            })
            .collect();
        let total = f64::from(n);
        site.free.0 -= total * s.cpus;
        site.free.1 -= total * s.gpus;
        site.free.2 -= total * s.memory_gb;
        self.used[team].0 += total * s.cpus;
        self.used[team].1 += total * s.gpus;
        if let Some(job) = self.jobs.get_mut(&no) {
            job.served_at = now;
        }
        self.planned.insert(site.name.to_string());
        self.groups += 1;
        for p in placements {
            count(self.usage, self.jobs, &p, &m.zone, 1.0);
            m.placed.push(p);
        }
        // The smallest shape that waits may change; full is full.
        if site.free.0 <= 1e-6 || site.free.2 <= 1e-6 {
            self.sites.swap_remove(at);
        }
    }
}
