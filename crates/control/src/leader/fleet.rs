//! Renting, emptying and returning machines.

use super::placing::allowed;
use super::*;

fn boot_s(types: &[MachineType], kind: &str) -> f64 {
    let boot = types.iter().find(|t| t.name == kind).map(|t| t.boot_s);
    boot.unwrap_or(60.0)
}

impl Leader {
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// The cloud's list, complete, as old as the settings say.
    pub fn listed(&mut self, list: &[Listed], now: f64) {
        let lag = self.settings.cloud.list_lag_s;
        let names: HashSet<&str> = list.iter().map(|l| l.id.as_str()).collect();
        for l in list {
            if self.gone.contains_key(&l.id) {
                continue;
            }
            if !self.machines.contains_key(&l.id) {
                let mut m = self.machine(&l.kind, &l.zone, l.spot, now);
                m.images = self.recall(&l.id, now);
                m.born = now - l.age_s;
                m.heard = now;
                self.machines.insert(l.id.clone(), m);
            }
            if let Some(m) = self.machines.get_mut(&l.id) {
                m.listed_at.get_or_insert(now);
                m.born = m.born.min(now - l.age_s);
                m.starting = l.state == ListedState::Booting;
                // Its own word comes with its first report.
                if !m.up
                    && let Some(addr) = &l.addr
                {
                    m.addr.clone_from(addr);
                }
                if l.state == ListedState::Failed && !m.deleting {
                    info!(machine = l.id, "failed by itself; deleting it");
                    m.deleting = true;
                }
            }
        }
        // Once listed, a machine stays listed until it is gone, but a list
        // may be older than the one before it.
        for (name, m) in &mut self.machines {
            let silent = now - m.heard;
            if m.listed_at.is_some_and(|t| now - t > 2.0 * lag + 1.0)
                && !names.contains(name.as_str())
                && (silent > limits::MISSED_REPORTS * self.settings.workers.report_s)
                && !m.deleting
            {
                info!(machine = name, silent, "taken: silent and no longer listed");
                m.deleting = true;
            }
        }
        self.gone
            .retain(|n, t| now - *t < limits::GONE_S || names.contains(n.as_str()));
    }

    /// Frees what time alone has proved gone, and picks what to rent and
    /// return.
    pub fn fleet(&mut self, now: f64) -> Vec<CloudCall> {
        self.expire(now);
        let (all, ranked, _) = self.demand();
        let wanted = ranked.wanted(limits::DRAIN_DEAR_S);
        // An empty fleet starts from what is wanted now.
        let (mut slow, mut fast, mut held, at) = match self.wanted {
            Some(w) if w.0 > 0.0 => w,
            _ => (wanted, wanted, wanted, now),
        };
        let step = |over: f64| 1.0 - libm::exp(-(now - at) / over);
        slow += (wanted - slow) * step(limits::RENT_AVERAGE_S);
        fast += (wanted - fast) * step(limits::RETURN_AVERAGE_S);
        held += (wanted - held) * step(limits::FILL_HOLD_S);
        self.wanted = Some((slow, fast, held, now));
        let all = all.wanted(limits::DRAIN_DEAR_S);
        // With work to fill them, dear machines are held through lulls that
        // are shorter than what returning them and booting others would cost.
        let filled = all - wanted;
        let kept = wanted.max(fast);
        self.retire(kept.max(held.min(kept + filled)), all.max(fast));
        let mut calls = Vec::new();
        self.mark_doomed(now);
        let doomed: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| m.deleting)
            .map(|(n, _)| n.clone())
            .take(limits::DELETE_MAX)
            .collect();
        if !doomed.is_empty() {
            calls.push(CloudCall::Delete(doomed));
        }
        calls.extend(self.rentals(now));
        calls
    }

    /// Silent machines whose every grant and lease is over: nothing runs there.
    pub(super) fn expire(&mut self, now: f64) {
        let gone_s = self.timing.worker_gone_s();
        let names: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| !m.placed.is_empty() && now > m.granted_until + gone_s)
            .filter(|(_, m)| now - m.heard > gone_s)
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            let (dead, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut *m.placed)
                .into_iter()
                .partition(|p| p.stage == Stage::Durable);
            m.placed = kept.into();
            let zone = m.zone.clone();
            info!(
                machine = name,
                tasks = dead.len(),
                "every grant and lease is over"
            );
            self.lose_all(dead, &zone, now);
        }
    }

    /// CPUs in use and waited for, in all and without what only fills. The
    /// first waiting job of the highest rank decides what is rented; jobs with
    /// other wishes get their turn when they are first.
    pub(super) fn demand(&self) -> (Demand, Demand, Option<&Submission>) {
        let mut demand = Demand {
            placed: self.machines.values().map(|m| m.placed.sums().cpus).sum(),
            ..Demand::default()
        };
        let teams = &self.settings.teams;
        demand.teams = teams
            .iter()
            .map(|t| {
                let used = self.usage.get(&t.name).map_or(0.0, |u| u.0);
                Waiting {
                    room: (t.cpus_max - used).max(0.0),
                    ..Waiting::default()
                }
            })
            .collect();
        let mut ranked = Demand {
            placed: self.ranked_cpus(),
            teams: demand.teams.clone(),
        };
        let mut first: Option<&Job> = None;
        let mut probes = HashSet::new();
        for run in self.queue.runs() {
            let Some(job) = self.jobs.get(&run.job) else {
                continue;
            };
            let Some(at) = job.team else {
                continue;
            };
            if demand.teams[at].room < job.spec.cpus {
                continue;
            }
            // One task of a job that may carry a mistake, whatever waits of it.
            let count = match job.suspect() {
                true if !probes.insert(run.job) => continue,
                true => 1.0,
                false => f64::from(run.len()),
            };
            let run_s = self.run_estimate(job);
            for d in std::iter::once(&mut demand).chain((!job.fill).then_some(&mut ranked)) {
                if job.spec.kind == Kind::Array {
                    d.teams[at].add(job.spec.cpus, count, run_s);
                } else {
                    // Gangs and services need all of their machines at once.
                    d.placed += job.spec.cpus * count;
                }
            }
            if first.is_none_or(|f| job.rank < f.rank) {
                first = Some(job);
            }
        }
        (demand, ranked, first.map(|j| &j.spec))
    }

    pub(super) fn cpus_of(&self, kind: &str) -> f64 {
        self.types
            .iter()
            .find(|t| t.name == kind)
            .map_or(0.0, |t| t.cpus)
    }

    /// Empties the machines that cost most for what they do, while the others
    /// can carry what is wanted; takes machines back when they can't. Dear ones
    /// are kept for `ranked` work only, cheap ones for all of it.
    pub(super) fn retire(&mut self, ranked: f64, all: f64) {
        let wanted = |spot: bool| if spot { all } else { ranked };
        let mut active = 0.0;
        let mut retiring = Vec::new();
        let mut others = Vec::new();
        for (name, m) in &self.machines {
            if !m.up || m.draining || m.deleting {
                continue;
            }
            let all = self.cpus_of(&m.kind);
            let used = m.used().0 / all.max(0.001);
            let t = self.types.iter().find(|t| t.name == m.kind);
            let price = t.map_or(0.0, |t| {
                if m.spot {
                    t.spot_price.unwrap_or(t.price)
                } else {
                    t.price
                }
            });
            // Dear machines first, the emptiest first.
            let waste = price / all.max(0.001) * (1.05 - used);
            if m.retiring {
                retiring.push((waste, name.clone(), all, m.spot));
                continue;
            }
            active += all;
            let movable = m.placed.iter().all(|p| {
                p.job.and_then(|no| self.jobs.get(&no)).is_none_or(|j| {
                    j.spec.kind == Kind::Array && (j.spec.spot || m.spot) && j.spec.zone.is_none()
                })
            });
            if movable {
                others.push((waste, name.clone(), all, m.spot));
            }
        }
        retiring.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, name, all, spot) in retiring {
            if active >= wanted(spot) {
                continue;
            }
            active += all;
            if let Some(m) = self.machines.get_mut(&name) {
                m.retiring = false;
            }
        }
        others.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, name, all, spot) in others {
            let spare = if spot {
                limits::RETIRE_SPARE
            } else {
                limits::RETIRE_SPARE_DEAR
            };
            let wanted = wanted(spot);
            if active - all < wanted * (1.0 + spare) {
                continue;
            }
            active -= all;
            if let Some(m) = self.machines.get_mut(&name) {
                info!(
                    machine = name,
                    wanted, active, "emptied: the others suffice"
                );
                m.retiring = true;
            }
        }
    }

    /// Where should machines be up by now, and most are not? What is on its way
    /// there counts for nothing, so that a place that has recovered is taken
    /// again as soon as its machines came or were given up.
    ///
    /// That a machine has not reported to this leader is not yet a late boot: an
    /// earlier leader may have rented it, and it has been up for long. On an operators'
    /// kind of day some 300 machines were called late after each takeover, and healthy
    /// zones were avoided. The cloud's list must call it `starting`, or this leader must
    /// have rented it itself.
    fn count_late(&mut self, now: f64) {
        let mut due: BTreeMap<(String, String), (u32, u32, u32)> = BTreeMap::new();
        let seen = |m: &&mut Machine| {
            m.rented || m.listed_at.is_some() && (m.up || m.starting && !m.known)
        };
        for m in self.machines.values_mut().filter(seen) {
            let boot = boot_s(&self.types, &m.kind);
            let age = now - m.born - limits::BOOT_REPORT_S;
            let recent = boot * limits::BOOT_USUAL..boot * limits::BOOT_RECENT;
            if m.deleting || !recent.contains(&age) {
                continue;
            }
            let n = due.entry((m.kind.clone(), m.zone.clone())).or_default();
            *n = (n.0 + 1, n.1 + u32::from(!m.up), n.2);
            if !m.up && !m.late {
                m.late = true;
                n.2 += 1;
            }
        }
        for ((kind, zone), (due, late, new)) in &due {
            if *new > 0 {
                info!(kind, zone, late, due, "machines are late coming up");
            }
        }
        let most = |n: &(u32, u32, u32)| n.0 >= limits::BOOT_DUE_MIN && n.1 * 2 > n.0;
        due.retain(|_, n| most(n));
        self.bad_boots = due.into_keys().collect();
    }

    pub(super) fn mark_doomed(&mut self, now: f64) {
        let lease = self.settings.workers.lease_s;
        let up = self.machines.values().filter(|m| m.up).count();
        let limit = lease + limits::SILENT_DELETE_EXTRA_S;
        // Silent, or reporting without hearing what it is answered.
        let quiet = |m: &Machine| {
            let unseen = m.unseen_since.map_or(0.0, |t| now - t);
            (now - m.heard).max(unseen)
        };
        let silent = self
            .machines
            .values()
            .filter(|m| m.up && quiet(m) > lease / 2.0)
            .count();
        let network = silent as f64 > (up as f64 * limits::SILENT_SHARE_MAX).max(2.0);
        self.count_late(now);
        let waits = |fill: bool| {
            let mut runs = self.queue.runs();
            runs.any(|r| {
                let job = self.jobs.get(&r.job);
                job.is_some_and(|j| (fill || !j.fill) && !j.suspect())
            })
        };
        let (any_waits, ranked_waits) = (waits(true), waits(false));
        for (name, m) in &mut self.machines {
            if m.deleting {
                continue;
            }
            let silent = now - m.heard;
            let over = m.taken_at.is_some_and(|t| now > t);
            if over && silent > limits::MISSED_REPORTS * self.settings.workers.report_s {
                info!(
                    machine = name,
                    silent, "silent since its notice ran out; deleting it"
                );
                m.deleting = true;
            } else if m.unseen_since.is_some_and(|t| now - t > limit) && !network {
                info!(
                    machine = name,
                    "answers have not reached it for longer than its lease; deleting it"
                );
                m.deleting = true;
            } else if m.up || m.known {
                if silent > limit && !network {
                    info!(
                        machine = name,
                        silent, "silent for longer than its lease; deleting it"
                    );
                    m.deleting = true;
                }
            } else {
                let boot = boot_s(&self.types, &m.kind);
                let patience = boot * limits::BOOT_PATIENCE + limits::BOOT_PATIENCE_EXTRA_S;
                if now - m.born > patience && now - self.since > boot {
                    info!(
                        machine = name,
                        kind = m.kind,
                        zone = m.zone,
                        "never came up; deleting it"
                    );
                    m.deleting = true;
                }
            }
            if m.up && m.placed.is_empty() && m.notice.is_none() {
                let idle = now - m.idle_since;
                let most = if m.spot {
                    limits::IDLE_RETURN_S
                } else {
                    limits::IDLE_RETURN_DEAR_S
                };
                let waiting = if m.spot { any_waits } else { ranked_waits };
                if m.draining || m.retiring || idle > most && !waiting {
                    info!(machine = name, idle, "returned");
                    m.deleting = true;
                }
            }
        }
    }

    /// A waiting job that no machine which is there could take. What is wanted is
    /// counted in CPUs, of which there may be enough of the wrong kind, or too few
    /// to be worth a dear machine: it would wait for good.
    fn stranded(&self, now: f64) -> Option<&Submission> {
        let waiting = self.queue.runs().filter_map(|r| self.jobs.get(&r.job));
        let mut stuck = waiting.filter(|j| {
            let patience = if j.fill {
                limits::STRANDED_FILL_S
            } else {
                limits::STRANDED_S
            };
            now - j.born > patience && j.on.is_empty() && j.retry_at <= now && !j.suspect()
        });
        let could = |job: &Job, (name, m): (&String, &Machine)| {
            !m.draining
                && !m.deleting
                && allowed(&job.spec, &m.kind, &m.zone, m.spot)
                && !job.failed_on.contains_key(name)
        };
        let job = stuck.find(|j| !self.machines.iter().any(|m| could(j, m)))?;
        Some(&job.spec)
    }

    pub(super) fn rentals(&mut self, now: f64) -> Vec<CloudCall> {
        let calls = self.rentals_for_demand(now);
        if !calls.is_empty() {
            return calls;
        }
        let Some(spec) = self.stranded(now).cloned() else {
            return calls;
        };
        let mut offers = self.offers(&spec, now);
        let one = shop(spec.cpus, &mut offers);
        if let Some((i, _)) = one.first() {
            info!(
                job = spec.id,
                "no machine there could take it: one is rented"
            );
            return vec![self.order_of(&offers[*i], 1)];
        }
        calls
    }

    fn rentals_for_demand(&mut self, now: f64) -> Vec<CloudCall> {
        let (demand, ranked, first) = self.demand();
        let Some(spec) = first.cloned() else {
            return Vec::new();
        };
        let spec = &spec;
        let have: f64 = self
            .machines
            .values()
            .filter(|m| !m.draining && !m.deleting && allowed(spec, &m.kind, &m.zone, m.spot))
            .map(|m| self.cpus_of(&m.kind))
            .sum();
        let short = demand.wanted(limits::DRAIN_S) - have;
        if short <= 0.0 {
            return Vec::new();
        }
        let offers = self.offers(spec, now);
        // Dear machines only for what cheap ones can't be had for, and only
        // if it would wait for long.
        let dear = |o: &Offer| spec.spot && !o.spot;
        let (mut dear, mut cheap): (Vec<_>, Vec<_>) = offers.into_iter().partition(dear);
        let mut buy = shop(short, &mut cheap);
        let bought: f64 = buy
            .iter()
            .map(|(i, n)| cheap[*i].cpus * f64::from(*n))
            .sum();
        let wanted = ranked.wanted(limits::DRAIN_DEAR_S);
        let lasting = self.wanted.map_or(wanted, |w| w.0.min(wanted));
        let short = lasting - have - bought;
        let least = dear.iter().map(|o| o.cpus).fold(f64::INFINITY, f64::min);
        if short >= least / 2.0 {
            buy.extend(
                shop(short, &mut dear)
                    .into_iter()
                    .map(|(i, n)| (i + cheap.len(), n)),
            );
        }
        cheap.append(&mut dear);
        let offers = cheap;
        let calls = buy
            .into_iter()
            .map(|(i, count)| self.order_of(&offers[i], count));
        calls.collect()
    }

    fn order_of(&mut self, o: &Offer, count: u32) -> CloudCall {
        self.rent_counter += 1;
        CloudCall::Rent(Rent {
            // The epoch never repeats, so neither does the name.
            request: format!("r-{}-{}", self.epoch, self.rent_counter),
            kind: o.kind.clone(),
            zone: o.zone.clone(),
            spot: o.spot,
            count,
        })
    }

    /// Where a machine for this job can be rented, as far as is known.
    fn offers(&mut self, spec: &Submission, now: f64) -> Vec<Offer> {
        self.refused.retain(|_, until| *until > now);
        let mut offers = Vec::new();
        for t in &self.types {
            let s = spec;
            if s.cpus > t.cpus || s.gpus > t.gpus || s.memory_gb > t.memory_gb {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    if self.settings.policy.cheap_only && !spot {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { Some(t.price) };
                    let Some(price) = price else { continue };
                    if !allowed(spec, &t.name, zone, spot)
                        || self
                            .refused
                            .contains_key(&(t.name.clone(), zone.clone(), spot))
                    {
                        continue;
                    }
                    let have = self
                        .machines
                        .values()
                        .filter(|m| m.kind == t.name && m.zone == *zone && m.spot == spot)
                        .count() as u32;
                    offers.push(Offer {
                        kind: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                        cpus: t.cpus,
                        price,
                        boot_s: t.boot_s,
                        have,
                        late: self.bad_boots.contains(&(t.name.clone(), zone.clone())),
                    });
                }
            }
        }
        offers
    }

    /// A rental was answered: the names, or None for "no capacity".
    pub fn rented(&mut self, rent: &Rent, names: Option<&[String]>, now: f64) {
        let got = names.map_or(0, <[String]>::len);
        if got as u32 >= (rent.count / 2).max(limits::admission::GROWS_BY) {
            self.grew = now;
        }
        if got < rent.count as usize {
            let key = (rent.kind.clone(), rent.zone.clone(), rent.spot);
            self.refused.insert(key, now + limits::REFUSAL_S);
        }
        info!(
            kind = rent.kind,
            zone = rent.zone,
            spot = rent.spot,
            want = rent.count,
            got,
            "rented"
        );
        for name in names.unwrap_or_default() {
            if self.gone.contains_key(name) || self.machines.contains_key(name) {
                continue;
            }
            let mut m = self.machine(&rent.kind, &rent.zone, rent.spot, now);
            m.rented = true;
            self.machines.insert(name.clone(), m);
        }
    }

    /// The cloud answered a deletion with 200: machines and tasks are gone.
    pub fn deleted(&mut self, names: &[String], now: f64) {
        for name in names {
            let Some(mut m) = self.machines.remove(name) else {
                continue;
            };
            self.gone.insert(name.clone(), now);
            self.lose_all(std::mem::take(&mut *m.placed), &m.zone, now);
        }
    }

    /// Tasks that wait in each level.
    pub fn waiting(&self) -> Vec<u32> {
        (0..limits::LEVELS)
            .map(|l| self.queue.level_len(l))
            .collect()
    }

    /// Each team's name, CPUs used and most allowed.
    pub fn teams(&self) -> Vec<(String, f64, f64)> {
        let used = |name: &str| self.usage.get(name).map_or(0.0, |u| u.0);
        let teams = self.settings.teams.iter();
        teams
            .map(|t| (t.name.clone(), used(&t.name), t.cpus_max))
            .collect()
    }

    /// One line for the log.
    pub fn summary(&self) -> String {
        let placed: usize = self.machines.values().map(|m| m.placed.len()).sum();
        let up = self.machines.values().filter(|m| m.up).count();
        let waiting = self.waiting();
        let all = |m: &&Machine| m.up && !m.deleting;
        let cpus: f64 = self
            .machines
            .values()
            .filter(all)
            .map(|m| self.cpus_of(&m.kind))
            .sum();
        let dear = self.machines.values().filter(|m| !m.spot).count();
        let rows = || self.machines.values().flat_map(|m| m.placed.iter());
        let used: f64 = rows().map(|p| p.cpus).sum();
        let running: f64 = rows().filter(|p| p.running).map(|p| p.cpus).sum();
        // CPUs that each team uses of its limit, and those not running yet.
        let teams: Vec<String> = self
            .settings
            .teams
            .iter()
            .map(|t| {
                let of = |p: &&Placement| p.team == t.name;
                let idle: f64 = rows()
                    .filter(of)
                    .filter(|p| !p.running)
                    .map(|p| p.cpus)
                    .sum();
                let used = self.usage.get(&t.name).map_or(0.0, |u| u.0);
                format!("{} {used:.0}/{:.0} ({idle:.0} idle)", t.name, t.cpus_max)
            })
            .collect();
        format!(
            "{} jobs ({} suspect, {} for others), {} machines ({} up, {dear} dear), {placed} placed, waiting {waiting:?}, \
             delayed {}, cpus {cpus} up, {used} placed, {running} running, {:.0} wanted, {}; {}",
            self.jobs.len(),
            self.jobs.values().filter(|j| j.suspect()).count(),
            self.jobs.values().filter(|j| j.waits).count(),
            self.machines.len(),
            up,
            self.delayed.len(),
            self.demand().1.wanted(limits::DRAIN_DEAR_S),
            teams.join(", "),
            self.admission_summary(),
        )
    }
}
