//! The leader's admission controller: counts of the jobs of each class that were offered,
//! admitted and done, the fleet's throughput, and the table computed from them.

use crate::allocation::{Capacity, ClassDemand, allocate_max_min};
use crate::cluster_view::ClusterView;
use crate::demand::{AllocationProblem, ProblemInputs};
use crate::gates::class_gates;
use crate::ids::{largest_jobs_gate_id, tenant_class_id};
use crate::statistics::ClassStatistics;
use crate::throughput::Throughput;
use crate::window::{AdmissionWindow, WindowEntry};
use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::{
    AdmissionTable, AdmissionValue, Gate, JobHash, MedianRuntime, Shortage, TenantClassId,
};
use std::collections::BTreeMap;

/// Multiple of `limits::USER_GIVE_UP_AFTER_S` for which a job is remembered as offered: a later
/// retry counts as another offer.
const OFFER_MEMORY_FACTOR: f64 = 2.0;

/// A job that was admitted at some controller.
#[derive(Debug, Clone, Copy)]
pub struct AdmittedJob<'a> {
    /// Name of the job's team.
    pub team: &'a str,
    /// Name of the job's class.
    pub class: &'a str,
    /// Hash of the job's id.
    pub job: JobHash,
    /// The job's expected work, CPU-seconds.
    pub work_cpu_s: f64,
}

/// The part of admission control that only the leader runs: it computes the [`AdmissionTable`] by
/// which all controllers decide.
#[derive(Debug)]
pub struct AdmissionController {
    statistics: BTreeMap<TenantClassId, ClassStatistics>,
    /// Time at which each job counted as offered was last seen, s on the caller's clock.
    offered_at: BTreeMap<JobHash, f64>,
    window: AdmissionWindow,
    throughput: Throughput,
    last_decay_at: f64,
    at_capacity: bool,
    table: AdmissionTable,
    load: f64,
}

/// A newly computed table, put in force unless it differs too little from the present one.
struct Draft {
    gates: Vec<Gate>,
    shortage: Shortage,
    relief_s: f32,
}

impl AdmissionController {
    /// Returns the controller of a leader elected in `term`, from the state that the last leader
    /// stored.
    pub fn new(term: u64, stored: AdmissionValue, now_s: f64) -> AdmissionController {
        let classes = stored.classes.into_iter();
        let statistics = classes.map(ClassStatistics::restore);
        AdmissionController {
            statistics: statistics
                .map(|s| (tenant_class_id(&s.team, &s.class), s))
                .collect(),
            offered_at: BTreeMap::new(),
            window: AdmissionWindow::new(now_s),
            throughput: Throughput::new(stored.throughput),
            last_decay_at: now_s,
            at_capacity: stored.at_capacity,
            table: AdmissionTable {
                term,
                generation: 0,
                ..stored.table
            },
            load: 0.0,
        }
    }

    /// Returns the table in force.
    pub fn table(&self) -> &AdmissionTable {
        &self.table
    }

    /// Returns the waiting work divided by the work that may wait, when the table was last
    /// computed; 1 is full.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Returns whether the fleet was unable to grow when the table was last computed.
    pub fn at_capacity(&self) -> bool {
        self.at_capacity
    }

    /// Returns the expected work, CPU-seconds, that a CPU does in a second.
    pub fn throughput(&self) -> f64 {
        self.throughput.per_cpu()
    }

    /// Returns the statistics of all known classes.
    pub fn class_statistics(&self) -> impl Iterator<Item = (TenantClassId, &ClassStatistics)> {
        self.statistics.iter().map(|(class, s)| (*class, s))
    }

    /// Maps each known class name, of whichever teams, to a value.
    pub fn map_classes<T>(&self, value: impl Fn(&str) -> T) -> BTreeMap<String, T> {
        let names = self.statistics.values().map(|s| s.class.as_str());
        names.map(|name| (name.to_string(), value(name))).collect()
    }

    /// Returns the state from which the next leader starts.
    pub fn stored_value(&self) -> AdmissionValue {
        let classes = self.statistics.values().map(ClassStatistics::counts);
        AdmissionValue {
            table: self.table.clone(),
            throughput: self.throughput(),
            at_capacity: self.at_capacity,
            classes: classes.take(limits::TENANT_CLASSES_SAVED_MAX).collect(),
            chunks: None,
        }
    }

    /// Records that a task with this expected work is done.
    pub fn record_work(&mut self, work_cpu_s: f64) {
        self.throughput.record_work(work_cpu_s);
    }

    /// Records that `cpus` CPUs were up for `elapsed_s`, with work waiting for them all the time
    /// (`saturated`) or not.
    pub fn record_capacity(&mut self, cpus: f64, elapsed_s: f64, saturated: bool) {
        self.throughput.record_capacity(cpus, elapsed_s, saturated);
    }

    fn statistics_mut(&mut self, team: &str, class: &str) -> &mut ClassStatistics {
        let id = tenant_class_id(team, class);
        let statistics = self.statistics.entry(id);
        statistics.or_insert_with(|| ClassStatistics::new(team, class))
    }

    /// Records that a job was admitted now.
    pub fn record_admission(&mut self, admitted: &AdmittedJob<'_>, now_s: f64) {
        let newly_offered = self.offered_at.insert(admitted.job, now_s).is_none();
        let statistics = self.statistics_mut(admitted.team, admitted.class);
        if newly_offered {
            statistics.record_offer();
        }
        statistics.record_admission();
        self.window.push(WindowEntry {
            admitted_at: now_s,
            job: admitted.job,
            class: tenant_class_id(admitted.team, admitted.class),
            work_cpu_s: admitted.work_cpu_s,
        });
    }

    /// Records a job that was admitted under an earlier leader, which counted it.
    pub fn record_recovered_job(&mut self, admitted: &AdmittedJob<'_>, now_s: f64) {
        self.offered_at.insert(admitted.job, now_s);
        self.statistics_mut(admitted.team, admitted.class);
    }

    /// Records that a job of the class is done.
    pub fn record_completion(&mut self, team: &str, class: &str) {
        self.statistics_mut(team, class).record_completion();
    }

    /// Records that a job of the class was cancelled.
    pub fn record_cancellation(&mut self, team: &str, class: &str) {
        self.statistics_mut(team, class).record_cancellation();
    }

    fn decay(&mut self, now_s: f64) {
        let elapsed_s = (now_s - self.last_decay_at).max(0.0);
        self.last_decay_at = now_s;
        for statistics in self.statistics.values_mut() {
            statistics.decay(elapsed_s);
        }
        self.throughput.decay(elapsed_s);
        self.window.advance(now_s);
        self.offered_at
            .retain(|_, at| now_s - *at < limits::USER_GIVE_UP_AFTER_S * OFFER_MEMORY_FACTOR);
    }

    /// Recomputes the table; returns true if it changed by more than the tolerance.
    pub fn refresh_table(&mut self, view: &ClusterView, now_s: f64) -> bool {
        self.decay(now_s);
        self.at_capacity = view.at_capacity;
        self.count_refused_offers(view, now_s);
        let inputs = ProblemInputs {
            statistics: &self.statistics,
            window: &self.window,
            throughput: self.throughput(),
            view,
        };
        let problem = inputs.problem();
        self.load = problem.load;
        let draft = self.draft(problem, view);
        self.adopt(draft, &view.median_runtimes)
    }

    /// Counts jobs refused at any controller as offered when they are first reported.
    fn count_refused_offers(&mut self, view: &ClusterView, now_s: f64) {
        for refused in &view.refused_jobs {
            if self.offered_at.insert(refused.job, now_s).is_none()
                && let Some(statistics) = self.statistics.get_mut(&refused.class)
            {
                statistics.record_offer();
            }
        }
    }

    fn draft(&self, problem: AllocationProblem, view: &ClusterView) -> Draft {
        let AllocationProblem {
            classes,
            mut capacities,
            mut guarantees_cpu_s,
            ..
        } = problem;
        let floor = view.served_share_floor;
        let admitted = allocate_max_min(&classes, &mut capacities, &mut guarantees_cpu_s, floor);
        let mut gates = Vec::new();
        let mut shortage = Shortage::Nothing;
        for (class, admitted) in classes.iter().zip(admitted) {
            if admitted < class.offers.len() {
                gates.extend(class_gates(class, admitted, view.shedding));
                shortage = first_shortage(class, admitted, &capacities).unwrap_or(shortage);
            }
        }
        if view.at_capacity && self.load >= limits::GATES_OPEN_LOAD {
            gates.extend(self.gates_of_inactive_classes(&classes));
            if shortage == Shortage::Nothing {
                shortage = self.table.shortage;
            }
        }
        gates.sort_by_key(|gate| gate.class);
        let relief_s = if gates.is_empty() {
            0.0
        } else {
            self.relief_s()
        };
        Draft {
            gates,
            shortage,
            relief_s,
        }
    }

    /// Returns the present gates of classes of which no job was offered recently. They are kept
    /// while there is no room: a new leader, which has seen no offers yet, would otherwise open
    /// the gates of all classes.
    fn gates_of_inactive_classes(&self, classes: &[ClassDemand]) -> impl Iterator<Item = Gate> {
        let is_active = move |gate: &Gate| {
            let own = |c: &ClassDemand| {
                c.class == gate.class || largest_jobs_gate_id(c.class) == gate.class
            };
            classes.iter().any(own)
        };
        let gates = self.table.gates.iter().copied();
        gates.filter(move |gate| !is_active(gate))
    }

    /// Returns the seconds until there may be room for refused work.
    fn relief_s(&self) -> f32 {
        let excess = (self.load - limits::GATES_OPEN_LOAD).max(0.0);
        (excess * limits::DEFAULT_COMPLETION_TARGET_S * limits::BACKLOG_MAX_TARGETS) as f32
    }

    /// Puts a draft in force; returns true if the table changed. A gate that changed by no more
    /// than `limits::GATE_CHANGE_MIN_SHARE` keeps its present value, so that small changes are not
    /// sent to every controller.
    fn adopt(&mut self, mut draft: Draft, median_runtimes: &[MedianRuntime]) -> bool {
        for gate in &mut draft.gates {
            let present = &self.table.gates;
            let at = present.binary_search_by_key(&gate.class, |g| g.class);
            if let Some(present) = at.ok().map(|at| present[at])
                && is_about_the_same(&present, gate)
            {
                *gate = present;
            }
        }
        let same = draft.gates == self.table.gates && draft.shortage == self.table.shortage;
        if same && (self.table.generation > 0 || draft.gates.is_empty()) {
            return false;
        }
        let median_runtimes = if draft.gates.is_empty() {
            Vec::new()
        } else {
            median_runtimes.to_vec()
        };
        self.table = AdmissionTable {
            term: self.table.term,
            generation: self.table.generation + 1,
            gates: draft.gates,
            median_runtimes,
            relief_s: draft.relief_s,
            shortage: draft.shortage,
        };
        true
    }
}

/// Returns the shortage of the first of the class's capacities that has no room for the class's
/// next offer, given the remaining capacities.
fn first_shortage(
    class: &ClassDemand,
    admitted: usize,
    capacities: &[Capacity],
) -> Option<Shortage> {
    let work_cpu_s = class.offers[admitted].work_cpu_s;
    let capacities = class.capacities.iter().map(|index| &capacities[*index]);
    let mut exhausted = capacities.filter(|capacity| !capacity.has_room_for(work_cpu_s));
    Some(exhausted.next()?.shortage)
}

fn is_about_the_same(a: &Gate, b: &Gate) -> bool {
    let near = |a: f64, b: f64| (a - b).abs() <= limits::GATE_CHANGE_MIN_SHARE * a.max(b);
    near(a.max_work_cpu_s, b.max_work_cpu_s) && near(a.share.into(), b.share.into())
}
