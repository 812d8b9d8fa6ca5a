//! The graph of dependencies between jobs.

use crate::requirements::{EffectiveRequirements, JobRequirements};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Outcome of a job that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All tasks of the job are done.
    Done,
    /// The job was cancelled.
    Cancelled,
}

/// Whether a live job may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// All dependencies of the job are done.
    Ready,
    /// Not all dependencies of the job are known to be done.
    Waiting,
    /// A direct or indirect dependency of the job is cancelled: the job can never run.
    Unsatisfiable,
}

/// A job whose last dependency is done.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadyJob {
    /// The job's id.
    pub id: String,
    /// Time when the last dependency was done, s; None if it is not known.
    pub since_s: Option<f64>,
}

/// Effects of the end of a job on other jobs.
#[derive(Debug, Default, PartialEq)]
pub struct Effects {
    /// Live jobs that became ready.
    pub ready: Vec<ReadyJob>,
    /// Ids of live jobs that can never run and must be cancelled, nearest dependents first.
    pub unsatisfiable: Vec<String>,
}

/// A job that is live, or that a live job depends on.
#[derive(Debug)]
struct Node<P> {
    /// Requirements of the owner; None if the job is not live: it is only named by other jobs, or
    /// has ended.
    requirements: Option<JobRequirements<P>>,
    end: Option<JobEnd>,
    /// Time when the job ended, s, if it is known.
    ended_at: Option<f64>,
    dependencies: Vec<String>,
    dependents: BTreeSet<String>,
    /// Number of dependencies that are not known to be done.
    open_dependencies: usize,
    unsatisfiable: bool,
}

impl<P> Default for Node<P> {
    fn default() -> Self {
        Node {
            requirements: None,
            end: None,
            ended_at: None,
            dependencies: Vec::new(),
            dependents: BTreeSet::new(),
            open_dependencies: 0,
            unsatisfiable: false,
        }
    }
}

impl<P> Node<P> {
    fn is_live(&self) -> bool {
        self.requirements.is_some()
    }

    fn is_ready(&self) -> bool {
        self.is_live() && self.open_dependencies == 0 && !self.unsatisfiable
    }
}

/// Dependency graph of the live jobs and the jobs that they depend on.
///
/// A job that is neither live nor a dependency of another job is removed, so the graph holds no
/// history.
#[derive(Debug)]
pub struct DependencyGraph<P> {
    nodes: BTreeMap<String, Node<P>>,
    /// Jobs that other jobs depend on and that are neither live nor known to have ended.
    unresolved: BTreeSet<String>,
    /// Live jobs with dependencies, dependents or a deadline. The effective requirements of all
    /// other jobs are those of their owners.
    connected: BTreeSet<String>,
    changed: bool,
}

impl<P> Default for DependencyGraph<P> {
    fn default() -> Self {
        DependencyGraph {
            nodes: BTreeMap::new(),
            unresolved: BTreeSet::new(),
            connected: BTreeSet::new(),
            changed: false,
        }
    }
}

impl<P: Copy + Ord> DependencyGraph<P> {
    /// Adds a live job. Its dependencies may be live, ended, or not known to the graph yet.
    ///
    /// If the job is already known, only its requirements are replaced.
    pub fn insert(
        &mut self,
        id: &str,
        dependencies: &[String],
        requirements: JobRequirements<P>,
    ) -> Readiness {
        let node = self.nodes.entry(id.to_string()).or_default();
        let known = node.is_live() || node.end.is_some();
        node.requirements = Some(requirements);
        let has_dependents = !node.dependents.is_empty();
        self.unresolved.remove(id);
        if known {
            return self.readiness(id);
        }
        if !dependencies.is_empty() || has_dependents || requirements.deadline.is_some() {
            self.connected.insert(id.to_string());
        }
        self.changed = true;
        self.link(id, dependencies);
        self.readiness(id)
    }

    /// Links a new job to its dependencies.
    fn link(&mut self, id: &str, dependencies: &[String]) {
        let others = dependencies.iter().filter(|other| *other != id);
        let mut dependencies: Vec<String> = others.cloned().collect();
        dependencies.sort_unstable();
        dependencies.dedup();
        let mut open_dependencies = 0;
        let mut unsatisfiable = false;
        for dependency in &dependencies {
            let node = self.nodes.entry(dependency.clone()).or_default();
            node.dependents.insert(id.to_string());
            unsatisfiable |= node.unsatisfiable || node.end == Some(JobEnd::Cancelled);
            open_dependencies += usize::from(node.end != Some(JobEnd::Done));
            if node.is_live() {
                self.connected.insert(dependency.clone());
            } else if node.end.is_none() {
                self.unresolved.insert(dependency.clone());
            }
        }
        if let Some(node) = self.nodes.get_mut(id) {
            node.dependencies = dependencies;
            node.open_dependencies = open_dependencies;
        }
        if unsatisfiable {
            self.mark_unsatisfiable(id);
        }
    }

    /// Returns whether the job may run. A job that is not in the graph has no dependencies.
    pub fn readiness(&self, id: &str) -> Readiness {
        match self.nodes.get(id) {
            Some(node) if node.unsatisfiable => Readiness::Unsatisfiable,
            Some(node) if node.open_dependencies > 0 => Readiness::Waiting,
            _ => Readiness::Ready,
        }
    }

    /// Returns the time when the last dependency of a job was done, s; None if the job has no
    /// dependencies, or if the time at which one of them ended is not known.
    pub fn ready_since(&self, id: &str) -> Option<f64> {
        let dependencies = &self.nodes.get(id)?.dependencies;
        let ends = dependencies.iter().map(|d| self.nodes.get(d)?.ended_at);
        let ends: Vec<f64> = ends.collect::<Option<_>>()?;
        ends.into_iter().reduce(f64::max)
    }

    /// Records that a job is no longer live although it is not known how it ended. If other jobs
    /// depend on it, it is unresolved from now on.
    pub fn mark_not_live(&mut self, id: &str) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if node.end.is_none() {
            node.requirements = None;
            if node.dependents.is_empty() {
                self.remove(id);
            } else {
                self.unresolved.insert(id.to_string());
            }
        }
        self.changed = true;
    }

    /// Records the committed end of a job, at `at_s` if the time is known. An end that was
    /// recorded before has no further effects.
    pub fn record_end(&mut self, id: &str, end: JobEnd, at_s: Option<f64>) -> Effects {
        self.unresolved.remove(id);
        let Some(node) = self.nodes.get_mut(id) else {
            return Effects::default();
        };
        if node.end.is_some() {
            return Effects::default();
        }
        node.requirements = None;
        node.end = Some(end);
        node.ended_at = at_s;
        self.connected.remove(id);
        self.changed = true;
        let effects = self.effects_on_dependents(id, end);
        self.unlink_ended(id);
        effects
    }

    fn effects_on_dependents(&mut self, id: &str, end: JobEnd) -> Effects {
        let mut effects = Effects::default();
        let dependents = self.nodes.get(id).map(|node| node.dependents.clone());
        for dependent in dependents.unwrap_or_default() {
            match end {
                JobEnd::Done => effects.ready.extend(self.close_dependency(dependent)),
                JobEnd::Cancelled => {
                    let unsatisfiable = self.mark_unsatisfiable(&dependent);
                    effects.unsatisfiable.extend(unsatisfiable);
                }
            }
        }
        effects
    }

    /// Records that one more dependency of the job is done; returns the job if it was the last one.
    fn close_dependency(&mut self, id: String) -> Option<ReadyJob> {
        let node = self.nodes.get_mut(&id)?;
        node.open_dependencies -= 1;
        node.is_ready().then(|| ReadyJob {
            since_s: self.ready_since(&id),
            id,
        })
    }

    /// Marks a job that can never run, and all jobs that depend on it; returns the live jobs that
    /// were not marked before, nearest dependents first.
    fn mark_unsatisfiable(&mut self, id: &str) -> Vec<String> {
        let mut newly_unsatisfiable = Vec::new();
        let mut pending = VecDeque::from([id.to_string()]);
        while let Some(id) = pending.pop_front() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            // A job that has ended is not affected by a later cancellation.
            if node.unsatisfiable || node.end.is_some() {
                continue;
            }
            node.unsatisfiable = true;
            pending.extend(node.dependents.iter().cloned());
            if node.is_live() {
                newly_unsatisfiable.push(id);
            }
        }
        newly_unsatisfiable
    }

    /// Removes the links from an ended job to its dependencies; the job itself is kept while other
    /// jobs depend on it.
    fn unlink_ended(&mut self, id: &str) {
        let Some(node) = self.nodes.get(id) else {
            return;
        };
        for dependency in node.dependencies.clone() {
            self.unlink(&dependency, id);
        }
        if self.nodes.get(id).is_some_and(|n| n.dependents.is_empty()) {
            self.remove(id);
        }
    }

    /// Removes `dependent` from the dependents of `dependency`, which is removed from the graph if
    /// it has no dependents left and is not live.
    fn unlink(&mut self, dependency: &str, dependent: &str) {
        let Some(node) = self.nodes.get_mut(dependency) else {
            return;
        };
        node.dependents.remove(dependent);
        if node.dependents.is_empty() && !node.is_live() {
            self.remove(dependency);
        }
    }

    /// Removes a job from the graph, and its links to its dependencies.
    fn remove(&mut self, id: &str) {
        self.unresolved.remove(id);
        self.connected.remove(id);
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        for dependency in node.dependencies {
            self.unlink(&dependency, id);
        }
    }

    /// Returns the ids of jobs that other jobs depend on and that are neither live nor known to
    /// have ended: the caller must find out how they ended.
    pub fn unresolved(&self) -> impl Iterator<Item = &String> {
        self.unresolved.iter()
    }

    /// Returns whether the graph has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the requirements that each live job must meet for itself and for its dependents,
    /// given the expected run time `run_s` of each job: the highest priority, and the earliest of
    /// its own deadline and the dependents' latest starts, less its own run time. Jobs that have
    /// neither dependencies nor dependents nor a deadline are omitted.
    pub fn effective_requirements(
        &self,
        run_s: impl Fn(&str) -> f64,
    ) -> BTreeMap<&str, EffectiveRequirements<P>> {
        let mut effective: BTreeMap<&str, EffectiveRequirements<P>> = BTreeMap::new();
        // In reverse topological order: a job is visited after all of its live dependents.
        let mut open_dependents = self.live_dependents();
        let without_dependents = open_dependents.iter().filter(|(_, open)| **open == 0);
        let mut next: Vec<&str> = without_dependents.map(|(id, _)| *id).collect();
        while let Some(id) = next.pop() {
            let Some((node, own)) = self.live(id) else {
                continue;
            };
            let dependents = node.dependents.iter();
            let dependents = dependents.filter_map(|d| effective.get(d.as_str()));
            let derived = EffectiveRequirements::derive(own, dependents, run_s(id));
            effective.insert(id, derived);
            for dependency in &node.dependencies {
                if let Some(open) = open_dependents.get_mut(dependency.as_str()) {
                    *open -= 1;
                    if *open == 0 {
                        next.push(dependency);
                    }
                }
            }
        }
        effective
    }

    fn live(&self, id: &str) -> Option<(&Node<P>, &JobRequirements<P>)> {
        let node = self.nodes.get(id)?;
        Some((node, node.requirements.as_ref()?))
    }

    /// Returns the number of live dependents of each live connected job.
    fn live_dependents(&self) -> BTreeMap<&str, usize> {
        let connected = self.connected.iter();
        let live = connected.filter_map(|id| Some((id.as_str(), self.live(id)?.0)));
        let count = |node: &Node<P>| {
            let dependents = node.dependents.iter();
            dependents.filter(|d| self.live(d).is_some()).count()
        };
        live.map(|(id, node)| (id, count(node))).collect()
    }

    /// Returns the number of jobs in the graph.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the graph holds no jobs.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
