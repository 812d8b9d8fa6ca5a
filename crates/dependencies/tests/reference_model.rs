//! Comparison of the graph with a naive model that keeps the entire history.

use cherrywood_dependencies::{DependencyGraph, JobEnd, JobRequirements, Readiness};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn id(job: usize) -> String {
    format!("j{job:04}")
}

fn ids(jobs: &[usize]) -> Vec<String> {
    jobs.iter().copied().map(id).collect()
}

fn priority(job: usize) -> u8 {
    (job % 7) as u8
}

fn requirements(job: usize) -> JobRequirements<u8> {
    JobRequirements {
        priority: priority(job),
        deadline: None,
    }
}

struct ModelJob {
    dependencies: Vec<usize>,
    end: Option<JobEnd>,
}

/// All jobs ever submitted, with their dependencies and ends.
#[derive(Default)]
struct Model {
    jobs: BTreeMap<usize, ModelJob>,
}

impl Model {
    fn is_unsatisfiable(&self, job: usize) -> bool {
        let cancelled = |other: &usize| {
            self.jobs[other].end == Some(JobEnd::Cancelled) || self.is_unsatisfiable(*other)
        };
        self.jobs[&job].dependencies.iter().any(cancelled)
    }

    fn readiness(&self, job: usize) -> Readiness {
        if self.is_unsatisfiable(job) {
            return Readiness::Unsatisfiable;
        }
        let done = |other: &usize| self.jobs[other].end == Some(JobEnd::Done);
        match self.jobs[&job].dependencies.iter().all(done) {
            true => Readiness::Ready,
            false => Readiness::Waiting,
        }
    }

    fn live(&self) -> Vec<usize> {
        let live = self.jobs.iter().filter(|(_, job)| job.end.is_none());
        live.map(|(job, _)| *job).collect()
    }

    fn ready(&self) -> Vec<usize> {
        let mut live = self.live();
        live.retain(|job| self.readiness(*job) == Readiness::Ready);
        live
    }

    fn effective_priority(&self, job: usize) -> u8 {
        let mut dependents = self.live();
        dependents.retain(|other| self.jobs[other].dependencies.contains(&job));
        dependents
            .into_iter()
            .map(|dependent| self.effective_priority(dependent))
            .fold(priority(job), u8::min)
    }

    fn submit(&mut self, dependencies: Vec<usize>) -> usize {
        let job = self.jobs.len();
        let end = None;
        self.jobs.insert(job, ModelJob { dependencies, end });
        job
    }

    fn end(&mut self, job: usize, end: JobEnd) {
        self.jobs.get_mut(&job).unwrap().end = Some(end);
    }
}

#[derive(Debug, Clone)]
enum Step {
    /// Submits a job with these dependencies, given by index among all jobs before it.
    Submit(Vec<prop::sample::Index>),
    Done(prop::sample::Index),
    Cancel(prop::sample::Index),
    /// Ends a job that the graph learns of as no longer live before it learns how the job ended.
    NotLive(prop::sample::Index, JobEnd),
    /// A new leader rebuilds the graph from the committed live jobs.
    Failover,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let job = any::<prop::sample::Index>;
    let end = any::<bool>().prop_map(|done| match done {
        true => JobEnd::Done,
        false => JobEnd::Cancelled,
    });
    let step = prop_oneof![
        4 => prop::collection::vec(job(), 0..4).prop_map(Step::Submit),
        3 => job().prop_map(Step::Done),
        1 => job().prop_map(Step::Cancel),
        1 => (job(), end).prop_map(|(job, end)| Step::NotLive(job, end)),
        1 => Just(Step::Failover),
    ];
    prop::collection::vec(step, 1..60)
}

fn apply(step: Step, model: &mut Model, graph: &mut DependencyGraph<u8>) {
    let (live, ready) = (model.live(), model.ready());
    match step {
        Step::Submit(dependencies) => {
            let before = model.jobs.len();
            let mut dependencies: Vec<usize> = match before {
                0 => Vec::new(),
                _ => dependencies.iter().map(|i| i.index(before)).collect(),
            };
            dependencies.sort_unstable();
            dependencies.dedup();
            let job = model.submit(dependencies.clone());
            graph.insert(&id(job), &ids(&dependencies), requirements(job));
        }
        Step::Done(index) if !ready.is_empty() => {
            let job = *index.get(&ready);
            model.end(job, JobEnd::Done);
            graph.record_end(&id(job), JobEnd::Done, None);
        }
        Step::Cancel(index) if !live.is_empty() => {
            let job = *index.get(&live);
            model.end(job, JobEnd::Cancelled);
            graph.record_end(&id(job), JobEnd::Cancelled, None);
        }
        Step::NotLive(index, end) if !ready.is_empty() => {
            let job = *index.get(&ready);
            model.end(job, end);
            graph.mark_not_live(&id(job));
        }
        Step::Failover => {
            *graph = DependencyGraph::default();
            for job in live.into_iter().rev() {
                let dependencies = ids(&model.jobs[&job].dependencies);
                graph.insert(&id(job), &dependencies, requirements(job));
            }
        }
        _ => {}
    }
}

/// Reports the ends of the graph's unresolved jobs from the model.
fn resolve(model: &Model, graph: &mut DependencyGraph<u8>) {
    for id in graph.unresolved().cloned().collect::<Vec<_>>() {
        let job: usize = id[1..].parse().unwrap();
        if let Some(end) = model.jobs[&job].end {
            graph.record_end(&id, end, None);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn readiness_and_priority_agree_with_the_full_history_after_any_steps(steps in steps()) {
        let mut model = Model::default();
        let mut graph = DependencyGraph::default();
        for step in steps {
            apply(step, &mut model, &mut graph);
            resolve(&model, &mut graph);
            let effective = graph.effective_requirements(|_| 0.0);
            for job in model.live() {
                prop_assert_eq!(graph.readiness(&id(job)), model.readiness(job), "job {}", job);
                let derived = effective.get(id(job).as_str());
                let found = derived.map_or(priority(job), |e| e.priority);
                prop_assert_eq!(found, model.effective_priority(job), "priority of job {}", job);
            }
        }
    }
}
