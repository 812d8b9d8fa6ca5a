//! Copies of direct commands that arrive long after the command was executed and answered.

mod common;

use cherrywood_control::leader::CommandOutcome;
use cherrywood_wire::agent::{DirectCommands, ExitCause};
use cherrywood_wire::user::Submission;
use common::*;

/// Has the worker execute the direct commands that are due, and returns them.
fn execute_direct_commands(
    cluster: &mut TestCluster,
    worker: &mut Worker,
    now: f64,
) -> Vec<DirectCommands> {
    let due = cluster.leader.due_direct_commands(now);
    let due = due.into_values().flatten();
    let due: Vec<_> = due.filter(|due| due.machine == worker.name).collect();
    let mut executed = Vec::new();
    for addressed in due {
        let commands = addressed.commands;
        assert!(commands.fencing_token >= worker.fencing_token);
        worker.execute_commands(commands.fencing_token, &commands.commands);
        let outcome = CommandOutcome::Executed;
        cluster
            .leader
            .direct_commands_done(&worker.name, &commands, outcome);
        executed.push(commands);
    }
    executed
}

/// A copy of the commands arrives; the worker checks token and incarnation.
fn repeat(worker: &mut Worker, commands: &DirectCommands) {
    if commands.incarnation == worker.incarnation {
        worker.execute_commands(commands.fencing_token, &commands.commands);
    }
}

/// A cluster whose worker `vm-1` has executed a direct start of the job's only task.
fn cluster_with_direct_start(job: &Submission) -> (TestCluster, Worker, DirectCommands) {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.heartbeat(&mut worker, "n1", 1.0);
    cluster.submit(job, 1.0);
    cluster.leader.place_pending(1.0);
    cluster.write_all();
    let start = execute_direct_commands(&mut cluster, &mut worker, 1.1);
    assert_eq!((worker.running(), start.len()), (1, 1));
    (cluster, worker, start[0].clone())
}

/// Guards against `ran_twice`: the worker forgets an attempt under the token of its direct start,
/// and a copy of that start runs the attempt again while the task is on another machine.
#[test]
fn a_copy_of_a_direct_start_runs_nothing_after_its_attempt_is_forgotten() {
    for cause in [ExitCause::Stopped, ExitCause::Error] {
        let (mut cluster, mut worker, start) = cluster_with_direct_start(&job("wk-000001", 1));
        let mut other = Worker::new("vm-2");
        cluster.heartbeat(&mut worker, "n1", 2.0);
        worker.tasks[0].exit = Some(cause);
        let mut was_forgotten = false;
        for n in 3..40 {
            let now = f64::from(n);
            cluster.heartbeat(&mut worker, "n1", now);
            was_forgotten |= worker.tasks.iter().all(WorkerTask::is_running);
            repeat(&mut worker, &start);
            cluster.heartbeat(&mut other, "n1", now + 0.5);
            let running = worker.running() + other.running();
            assert!(running <= 1, "{cause:?}: {running} attempts run at {now}");
        }
        assert!(was_forgotten, "{cause:?}");
        assert_eq!(worker.running() + other.running(), 1, "{cause:?}");
        cluster.leader.audit().unwrap();
    }
}

/// Guards against `ran_cancelled`: a copy of a direct start runs a task again whose job was
/// cancelled and whose attempt the worker has forgotten.
#[test]
fn a_copy_of_a_direct_start_does_not_revive_a_cancelled_task() {
    for is_done in [false, true] {
        let (mut cluster, mut worker, start) = cluster_with_direct_start(&job("wk-000001", 1));
        cluster.heartbeat(&mut worker, "n1", 2.0);
        if is_done {
            worker.tasks[0].exit = Some(ExitCause::Done);
        }
        cluster.cancel("wk-000001");
        for n in 3..8 {
            cluster.heartbeat(&mut worker, "n1", f64::from(n));
        }
        assert_eq!(worker.tasks, [], "the attempt is forgotten");
        repeat(&mut worker, &start);
        assert_eq!(worker.tasks, [], "the copy is fenced");
        cluster.leader.audit().unwrap();
    }
}

/// Guards against heartbeats that grow without bound: direct starts of new tasks, which arrive
/// between all heartbeats, must not keep exited attempts from being forgotten.
#[test]
fn steady_direct_starts_do_not_delay_forgetting() {
    let mut cluster = TestCluster::new();
    let mut worker = Worker::new("vm-1");
    cluster.heartbeat(&mut worker, "n1", 1.0);
    let mut copies = Vec::new();
    for n in 0..40 {
        let now = 2.0 + f64::from(n);
        cluster.submit(&job(&format!("wk-{n:06}"), 1), now);
        cluster.leader.place_pending(now);
        cluster.write_all();
        copies.extend(execute_direct_commands(&mut cluster, &mut worker, now));
        for task in &mut worker.tasks {
            task.exit = Some(ExitCause::Done);
        }
        let heartbeat = worker.next_heartbeat();
        let token = cluster
            .leader
            .take_heartbeat("n1", &heartbeat, &[], now + 0.5)
            .unwrap();
        cluster.write_all();
        let commands = cluster.leader.heartbeat_commands(&heartbeat, now + 0.5);
        worker.execute_commands(token, &commands);
        let listed = worker.tasks.len();
        assert!(listed <= 2, "{listed} exited attempts listed at {now}");
    }
    assert!(copies.len() > 30, "{} direct commands", copies.len());
    cluster.leader.audit().unwrap();
}
