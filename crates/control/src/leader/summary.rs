//! Summaries of the leader's state for the log, the status endpoint and tests.

use super::*;

impl Leader {
    /// Returns the number of tasks that wait in each level.
    pub fn queue_lengths(&self) -> Vec<u32> {
        (0..limits::LEVELS)
            .map(|l| self.pending_queue.waiting_tasks(l))
            .collect()
    }

    /// Returns each team's name, the CPUs that it uses and its limit.
    pub fn team_usage(&self) -> Vec<(String, f64, f64)> {
        let used = |name: &str| self.quota_usage.of(name).cpus;
        let teams = self.settings.teams.iter();
        teams
            .map(|t| (t.name.clone(), used(&t.name), t.cpus_max))
            .collect()
    }

    /// Returns a summary in one line for the log.
    pub fn summary(&self) -> String {
        let placed: usize = self.machines.values().map(|m| m.placements.len()).sum();
        let up = self.machines.values().filter(|m| m.up).count();
        let waiting = self.queue_lengths();
        let is_active = |m: &&Machine| m.up && !m.deleting;
        let cpus: f64 = self
            .machines
            .values()
            .filter(is_active)
            .map(|m| self.cpus_of(&m.machine_type))
            .sum();
        let on_demand = self.machines.values().filter(|m| !m.spot).count();
        let placements = || self.machines.values().flat_map(|m| m.placements.iter());
        let used: f64 = placements().map(|p| p.cpus).sum();
        let running: f64 = placements().filter(|p| p.running).map(|p| p.cpus).sum();
        // The CPUs that each team uses, its limit, and the used CPUs whose tasks don't run yet.
        let teams: Vec<String> = self
            .settings
            .teams
            .iter()
            .map(|t| {
                let of_team = |p: &&Placement| p.team == t.name;
                let idle: f64 = placements()
                    .filter(of_team)
                    .filter(|p| !p.running)
                    .map(|p| p.cpus)
                    .sum();
                let used = self.quota_usage.of(&t.name).cpus;
                format!("{} {used:.0}/{:.0} ({idle:.0} idle)", t.name, t.cpus_max)
            })
            .collect();
        format!(
            "{} jobs ({} suspect, {} awaiting dependencies), {} machines ({} up, \
             {on_demand} on-demand), {placed} placed, waiting {waiting:?}, delayed {}, cpus {cpus} \
             up, {used} placed, {running} running, {:.0} wanted, {}; {}; {}",
            self.jobs.len(),
            self.jobs.values().filter(|j| j.is_suspect()).count(),
            self.jobs
                .values()
                .filter(|j| j.awaiting_dependencies)
                .count(),
            self.machines.len(),
            up,
            self.delayed_tasks.len(),
            self.fleet_demand()
                .total
                .prioritized
                .wanted_cpus(limits::ON_DEMAND_BACKLOG_DRAIN_S),
            teams.join(", "),
            self.ledger.summary(),
            self.admission_summary(),
        )
    }
}
