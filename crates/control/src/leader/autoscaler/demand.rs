//! Demand for CPUs of placed and pending work.

use crate::leader::quota_headroom::QuotaHeadroom;
use crate::leader::{Job, Leader};
use cherrywood_sched::provisioning::{CpuDemand, TeamDemand};
use cherrywood_wire::user::JobKind;
use std::collections::HashSet;

/// The work that needs machines.
pub(in crate::leader) struct FleetDemand<'a> {
    /// Demand of all work.
    pub(in crate::leader) all: CpuDemand,
    /// Demand of all work except best-effort work.
    pub(in crate::leader) prioritized: CpuDemand,
    /// The first pending job of the highest priority: this job decides which machines are
    /// rented. Jobs that need other machines get them once they are the first.
    pub(in crate::leader) first_pending: Option<&'a Job>,
}

impl<'a> FleetDemand<'a> {
    /// Adds pending tasks of a job, each with an expected run time of `run_s`.
    fn add(&mut self, job: &'a Job, team: usize, tasks: f64, run_s: f64) {
        add_tasks(&mut self.all, job, team, tasks, run_s);
        if !job.best_effort {
            add_tasks(&mut self.prioritized, job, team, tasks, run_s);
        }
        let first = self.first_pending;
        if first.is_none_or(|first| job.effective_priority < first.effective_priority) {
            self.first_pending = Some(job);
        }
    }
}

impl Leader {
    /// Returns the current demand for machines.
    pub(in crate::leader) fn fleet_demand(&self) -> FleetDemand<'_> {
        let headroom = self.quota_headroom_by_team();
        let mut demand = self.placed_demand(&headroom);
        let mut gpu_headroom = headroom.clone();
        let mut probed = HashSet::new();
        for range in self.pending_queue.ranges() {
            let job = self.jobs.get(&range.job);
            let Some((job, team)) = job.and_then(|job| Some((job, job.team_index?))) else {
                continue;
            };
            if !headroom[team].admits(&job.spec) {
                continue;
            }
            // A suspect job is tried one task at a time, however many of its tasks are pending.
            let runnable = match job.is_suspect() {
                true => u32::from(probed.insert(range.job)),
                false => range.len(),
            };
            // Tasks that the limit on accelerators keeps from running need no machine.
            let tasks = gpu_headroom[team].take_gpus(&job.spec, f64::from(runnable));
            if tasks > 0.0 {
                demand.add(job, team, tasks, self.expected_run_s(job));
            }
        }
        demand
    }

    /// Returns the demand of the placed tasks, without pending ones.
    fn placed_demand(&self, headroom: &[QuotaHeadroom]) -> FleetDemand<'_> {
        let teams = headroom.iter().map(|headroom| TeamDemand {
            headroom_cpus: headroom.cpus(),
            ..TeamDemand::default()
        });
        let teams: Vec<TeamDemand> = teams.collect();
        let machines = self.machines.values();
        FleetDemand {
            all: CpuDemand {
                placed_cpus: machines.map(|m| m.placements.sums().cpus).sum(),
                teams: teams.clone(),
            },
            prioritized: CpuDemand {
                placed_cpus: self.prioritized_cpus(),
                teams,
            },
            first_pending: None,
        }
    }

    /// Returns the CPUs of a machine of the type; 0 if the type isn't known.
    pub(in crate::leader) fn cpus_of(&self, machine_type: &str) -> f64 {
        self.machine_type(machine_type).map_or(0.0, |t| t.cpus)
    }
}

fn add_tasks(demand: &mut CpuDemand, job: &Job, team: usize, tasks: f64, run_s: f64) {
    if job.spec.kind == JobKind::Array {
        demand.teams[team].add_tasks(job.spec.cpus, tasks, run_s);
    } else {
        // Gangs and services need all of their machines at once, so their CPUs count in full, as
        // if they were placed.
        demand.placed_cpus += job.spec.cpus * tasks;
    }
}
