//! Jobs with many dependencies or dependents, and the propagation of deadlines.

use cherrywood_dependencies::{Deadline, DependencyGraph, JobEnd, JobRequirements, Readiness};

fn requirements(priority: u8) -> JobRequirements<u8> {
    JobRequirements {
        priority,
        deadline: None,
    }
}

fn thousand_jobs() -> Vec<String> {
    (0..1000).map(|n| format!("j{n:04}")).collect()
}

fn deadline(at_s: f64, grace_s: f64) -> Option<Deadline> {
    Some(Deadline { at_s, grace_s })
}

#[test]
fn a_job_with_a_thousand_dependencies_is_ready_when_the_last_is_done() {
    let mut graph = DependencyGraph::default();
    let stages = thousand_jobs();
    for stage in &stages {
        graph.insert(stage, &[], requirements(3));
    }
    assert_eq!(
        graph.insert("last", &stages, requirements(1)),
        Readiness::Waiting
    );
    assert!(graph.effective_requirements(|_| 1.0)[stages[7].as_str()].priority == 1);
    for (n, stage) in stages.iter().enumerate() {
        let ready = graph.record_end(stage, JobEnd::Done, Some(n as f64)).ready;
        assert_eq!(ready.len(), usize::from(n == 999), "after {n}");
    }
    assert_eq!(graph.ready_since("last"), Some(999.0));
    graph.record_end("last", JobEnd::Done, None);
    assert!(graph.is_empty(), "{graph:?}");
}

/// A thousand jobs depend on one job, and another job depends on two of the thousand.
#[test]
fn a_cancelled_job_makes_its_direct_and_indirect_dependents_unsatisfiable() {
    let mut graph = DependencyGraph::default();
    let stages = thousand_jobs();
    graph.insert("shared", &[], requirements(3));
    for stage in &stages {
        graph.insert(stage, &["shared".into()], requirements(2));
    }
    graph.insert("end", &stages[..2], requirements(0));
    assert_eq!(graph.effective_requirements(|_| 1.0)["shared"].priority, 0);
    let unsatisfiable = graph
        .record_end("shared", JobEnd::Cancelled, None)
        .unsatisfiable;
    assert_eq!(unsatisfiable.len(), 1001);
    assert_eq!(
        graph.insert("late", &["end".into()], requirements(2)),
        Readiness::Unsatisfiable
    );
    for id in unsatisfiable.iter().chain([&"late".to_string()]) {
        let effects = graph.record_end(id, JobEnd::Cancelled, None);
        assert!(effects.unsatisfiable.is_empty());
    }
    assert!(graph.is_empty());
}

/// In a diamond, the deadline of the last job reaches the first job by the longer path, even if
/// the last job is submitted late.
#[test]
fn the_latest_start_of_a_job_follows_the_longest_path_to_a_deadline() {
    let mut graph = DependencyGraph::default();
    let run_s = |id: &str| match id {
        "a" => 5.0,
        "short" => 10.0,
        "long" => 40.0,
        _ => 8.0,
    };
    graph.insert("a", &[], requirements(3));
    graph.insert("short", &["a".into()], requirements(3));
    graph.insert("long", &["a".into()], requirements(3));
    assert_eq!(graph.effective_requirements(run_s)["a"].latest_start, None);
    let due = JobRequirements {
        priority: 1,
        deadline: deadline(100.0, 50.0),
    };
    graph.insert("z", &["short".into(), "long".into()], due);
    let effective = graph.effective_requirements(run_s);
    assert_eq!(effective["z"].latest_start, deadline(92.0, 50.0));
    assert_eq!(effective["short"].latest_start, deadline(82.0, 50.0));
    assert_eq!(effective["long"].latest_start, deadline(52.0, 50.0));
    assert_eq!(
        (effective["a"].latest_start, effective["a"].priority),
        (deadline(47.0, 50.0), 1)
    );
}
