//! A small simulated cluster around the admission controller: several controllers with tables
//! of different ages, users that retry refused jobs, and a fleet with a fixed throughput.

use cherrywood_admission::{
    AdmissionController, AdmissionRequest, AdmissionTable, AdmittedJob, ClusterView, Decision,
    JobHash, RecentRefusals, RefusedJob, SheddingPolicy, TeamQuota, TenantClassId, decide,
    job_hash, tenant_class_id,
};
use cherrywood_limits::admission as limits;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Age of each controller's table, s; the first controller is the leader.
pub const FRESH_TABLES: [usize; 5] = [0, 1, 1, 1, 1];

/// The jobs of one class of a team.
#[derive(Clone)]
pub struct Workload {
    pub team: &'static str,
    pub class: &'static str,
    pub jobs_per_s: f64,
    /// Median work of a job; the work of jobs is spread over one and a half orders of magnitude.
    pub work_cpu_s: f64,
}

pub fn workload(
    team: &'static str,
    class: &'static str,
    jobs_per_s: f64,
    work_cpu_s: f64,
) -> Workload {
    Workload {
        team,
        class,
        jobs_per_s,
        work_cpu_s,
    }
}

/// A team without a guarantee and without a limit.
pub fn team(name: &str) -> TeamQuota {
    TeamQuota {
        name: name.into(),
        guaranteed_cpus: 0.0,
        max_cpus: f64::INFINITY,
        weight: 1.0,
    }
}

pub struct Job {
    hash: JobHash,
    /// Index of the job's workload.
    workload: usize,
    work_cpu_s: f64,
    pub left_cpu_s: f64,
    first_attempt_at: f64,
    next_attempt_at: f64,
}

/// Job counts of a workload.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub offered: u32,
    pub admitted: u32,
}

impl Counts {
    pub fn admitted_share(&self) -> f64 {
        f64::from(self.admitted) / f64::from(self.offered.max(1))
    }
}

/// A fleet, its controllers and its users.
pub struct SimulatedCluster {
    pub cpus: f64,
    /// Work that a CPU actually does in a second.
    pub throughput: f64,
    pub at_capacity: bool,
    pub teams: Vec<TeamQuota>,
    pub workloads: Vec<Workload>,
    pub shedding: SheddingPolicy,
    /// Age of each controller's table, s; the first controller is the leader.
    table_ages_s: Vec<usize>,
    tables: Vec<AdmissionTable>,
    refusals: Vec<RecentRefusals>,
    pub admission: AdmissionController,
    pub rng: Pcg64,
    now: f64,
    retrying: Vec<Job>,
    /// Admitted jobs that are not done.
    pub queue: Vec<Job>,
    /// Job counts by workload.
    pub counts: Vec<Counts>,
    /// Jobs admitted that the newest table would refuse.
    pub admitted_beyond_newest_table: u32,
    /// Attempts, at any controller, that the oldest table in use admits and the newest does not.
    pub attempts_between_tables: u32,
    pub refused_attempts: u32,
    submitted: u32,
}

impl SimulatedCluster {
    pub fn new(cpus: f64, workloads: &[Workload], table_ages_s: &[usize]) -> SimulatedCluster {
        let mut teams: Vec<TeamQuota> = Vec::new();
        for w in workloads {
            if !teams.iter().any(|t| t.name == w.team) {
                teams.push(team(w.team));
            }
        }
        let controllers = table_ages_s.iter();
        SimulatedCluster {
            cpus,
            throughput: 0.7,
            at_capacity: true,
            teams,
            workloads: workloads.to_vec(),
            shedding: SheddingPolicy::default(),
            table_ages_s: table_ages_s.to_vec(),
            tables: vec![AdmissionTable::default()],
            refusals: controllers.map(|_| RecentRefusals::default()).collect(),
            admission: AdmissionController::new(1, Default::default(), 0.0),
            rng: Pcg64::seed_from_u64(7),
            now: 0.0,
            retrying: Vec::new(),
            queue: Vec::new(),
            counts: vec![Counts::default(); workloads.len()],
            admitted_beyond_newest_table: 0,
            attempts_between_tables: 0,
            refused_attempts: 0,
            submitted: 0,
        }
    }

    /// Returns the state of the cluster as seen by the leader.
    pub fn view(&self) -> ClusterView {
        let mut backlog_cpu_s: BTreeMap<TenantClassId, f64> = BTreeMap::new();
        for job in &self.queue {
            let w = &self.workloads[job.workload];
            let class = tenant_class_id(w.team, w.class);
            *backlog_cpu_s.entry(class).or_default() += job.left_cpu_s;
        }
        ClusterView {
            available_cpus: self.cpus,
            at_capacity: self.at_capacity,
            teams: self.teams.clone(),
            backlog_cpu_s,
            best_effort_backlog_cpu_s: BTreeMap::new(),
            completion_targets_s: BTreeMap::new(),
            jobs_per_s: 1e9,
            refused_jobs: self.refusals[0].retrying(self.now),
            median_runtimes: Vec::new(),
            served_share_floor: limits::SERVED_SHARE_FLOOR,
            shedding: self.shedding,
        }
    }

    /// Returns the unfinished work of all admitted jobs.
    pub fn backlog_cpu_s(&self) -> f64 {
        self.queue.iter().map(|job| job.left_cpu_s).sum()
    }

    pub fn admitted_shares(&self) -> Vec<f64> {
        self.counts.iter().map(Counts::admitted_share).collect()
    }

    /// Draws the work of a job, spread around the median.
    pub fn draw_work_cpu_s(&mut self, median_cpu_s: f64) -> f64 {
        median_cpu_s * f64::exp(self.rng.random_range(-1.7..1.7))
    }

    pub fn run(&mut self, seconds: u32) -> &mut Self {
        for _ in 0..seconds {
            self.step();
        }
        self
    }

    /// Simulates one second: new submissions, retries, work, and a new table.
    fn step(&mut self) {
        for workload in 0..self.workloads.len() {
            self.submit_new_jobs(workload);
        }
        self.retry();
        self.work();
        let view = self.view();
        self.admission.refresh_table(&view, self.now);
        self.tables.push(self.admission.table().clone());
        self.now += 1.0;
    }

    fn submit_new_jobs(&mut self, workload: usize) {
        let w = self.workloads[workload].clone();
        let mut jobs = w.jobs_per_s.floor();
        jobs += f64::from(u8::from(self.rng.random::<f64>() < w.jobs_per_s - jobs));
        for _ in 0..jobs as u32 {
            self.submitted += 1;
            let work_cpu_s = self.draw_work_cpu_s(w.work_cpu_s);
            self.counts[workload].offered += 1;
            self.attempt(Job {
                hash: job_hash(&format!("wk-{:06}", self.submitted)),
                workload,
                work_cpu_s,
                left_cpu_s: work_cpu_s,
                first_attempt_at: self.now,
                next_attempt_at: self.now,
            });
        }
    }

    fn retry(&mut self) {
        let (due, rest): (Vec<Job>, Vec<Job>) = std::mem::take(&mut self.retrying)
            .into_iter()
            .partition(|job| job.next_attempt_at <= self.now);
        self.retrying = rest;
        for job in due {
            self.attempt(job);
        }
    }

    /// Submits the job to a random controller.
    fn attempt(&mut self, job: Job) {
        let controller = self.rng.random_range(0..self.table_ages_s.len());
        let w = &self.workloads[job.workload];
        let request = AdmissionRequest {
            job: job.hash,
            class: tenant_class_id(w.team, w.class),
            work_cpu_s: job.work_cpu_s,
            waited_s: self.refusals[controller].waited_s(job.hash, self.now),
        };
        let newest = self.tables.len() - 1;
        let age = self.table_ages_s[controller].min(newest);
        let oldest = self.table_ages_s.iter().max().unwrap_or(&0).min(&newest);
        let admits = |table: usize| decide(&self.tables[table], &request) == Decision::Admit;
        let newest_admits = admits(newest);
        if admits(newest - oldest) && !newest_admits {
            self.attempts_between_tables += 1;
        }
        match decide(&self.tables[newest - age], &request) {
            Decision::Admit => {
                self.admitted_beyond_newest_table += u32::from(!newest_admits);
                self.admit(job);
            }
            Decision::Refuse { retry_after_s } => {
                self.refuse(job, &request, controller, retry_after_s);
            }
        }
    }

    fn admit(&mut self, job: Job) {
        self.counts[job.workload].admitted += 1;
        let w = &self.workloads[job.workload];
        let admitted = AdmittedJob {
            team: w.team,
            class: w.class,
            job: job.hash,
            work_cpu_s: job.work_cpu_s,
        };
        self.admission.record_admission(&admitted, self.now);
        self.queue.push(job);
    }

    /// Refuses a job; all controllers learn of the refusal immediately.
    fn refuse(
        &mut self,
        mut job: Job,
        request: &AdmissionRequest,
        controller: usize,
        retry_after_s: u64,
    ) {
        self.refused_attempts += 1;
        let refused = RefusedJob {
            job: job.hash,
            class: request.class,
            work_cpu_s: job.work_cpu_s,
            first_attempt_age_s: (self.now - job.first_attempt_at) as f32,
            last_attempt_age_s: 0.0,
        };
        for (at, refusals) in self.refusals.iter_mut().enumerate() {
            if at == controller {
                refusals.record_local(job.hash, request.class, job.work_cpu_s, self.now);
            } else {
                refusals.record_from_peer(&refused, self.now);
            }
        }
        job.next_attempt_at = self.now + retry_after_s as f64;
        if job.next_attempt_at - job.first_attempt_at <= limits::USER_GIVE_UP_AFTER_S {
            self.retrying.push(job);
        }
    }

    /// Serves admitted jobs in the order of their admission.
    fn work(&mut self) {
        let mut fleet_left = self.cpus * self.throughput;
        let quotas = self.teams.iter().map(|t| t.max_cpus * self.throughput);
        let mut teams_left: Vec<f64> = quotas.collect();
        for job in &mut self.queue {
            let name = self.workloads[job.workload].team;
            let team = self.teams.iter().position(|t| t.name == name).unwrap();
            let done = job.left_cpu_s.min(fleet_left).min(teams_left[team]);
            teams_left[team] -= done;
            job.left_cpu_s -= done;
            fleet_left -= done;
            self.admission.record_work(done);
        }
        let saturated = fleet_left < self.cpus * 0.1;
        self.admission.record_capacity(self.cpus, 1.0, saturated);
        let queue = &mut self.queue;
        for job in queue.extract_if(.., |job| job.left_cpu_s <= 0.0) {
            let w = &self.workloads[job.workload];
            self.admission.record_completion(w.team, w.class);
        }
    }
}
