//! The worker's protocol: tasks, leases, fencing tokens, incarnations, checkpoints.

use cherrywood_checker::history::Off;
use cherrywood_emulator::machine::{Machine, MachineEvent, TaskSpec, Traits};
use cherrywood_scenario::deployment::MachineType;
use cherrywood_wire::agent::{Command, DirectCommands, ExitCause, HeartbeatResponse, TaskState};

fn machine() -> Machine {
    let kind = MachineType {
        cpus: 8.0,
        ram_gb: 32.0,
        cache_gb: 3.0,
        ..MachineType::default()
    };
    let traits = Traits {
        speed: 1.0,
        fetch_gb_per_s: 0.5,
        fetch_shared: true,
        slowdown: 1.0,
        faulty: false,
    };
    Machine::new("vm-1", "a:1".into(), kind, "x", true, traits, 10.0, 0.0)
}

fn spec(task: &str) -> Option<TaskSpec> {
    let (job, n) = task.split_once('/')?;
    let saves = job == "wk-000002";
    (job != "wk-000009" && n.parse::<u32>().ok()? < 8).then(|| TaskSpec {
        job: job.into(),
        tasks: 8,
        cpus: 2.0,
        gpus: 0.0,
        ram_gb: 4.0,
        image: format!("img-{}", &job[8..]),
        image_gb: 1.0,
        run_s: Some(20.0),
        checkpoint_s: if saves { 5.0 } else { 0.0 },
        save_s: if saves { 3.0 } else { 0.0 },
        mistaken: job == "wk-000007",
        saved_s: 0.0,
        finished: false,
    })
}

fn start(task: &str, attempt: u64) -> Command {
    Command::Start {
        task: task.into(),
        attempt,
    }
}

fn stop(task: &str, attempt: u64, grace_s: f64) -> Command {
    Command::Stop {
        task: task.into(),
        attempt,
        grace_s,
    }
}

/// Responds to a heartbeat sent at `now`.
fn tell(m: &mut Machine, token: u64, commands: Vec<Command>, now: f64) -> bool {
    let response = HeartbeatResponse {
        fencing_token: token,
        commands,
    };
    let incarnation = m.incarnation;
    m.handle_response(&response, incarnation, now, now, &mut spec)
}

fn states(m: &mut Machine, now: f64) -> Vec<(String, TaskState, Option<ExitCause>)> {
    m.advance(now);
    let tasks = m.heartbeat(now).tasks;
    tasks
        .into_iter()
        .map(|t| (t.task, t.state, t.exit_cause))
        .collect()
}

fn state(m: &mut Machine, now: f64) -> (TaskState, Option<ExitCause>) {
    let all = states(m, now);
    (all[0].1, all[0].2)
}

#[test]
fn a_task_fetches_runs_and_is_done_and_a_repeated_start_does_nothing() {
    let mut m = machine();
    assert!(tell(&mut m, 5, vec![start("wk-000001/0", 1)], 0.0));
    assert_eq!(state(&mut m, 1.9).0, TaskState::Fetching);
    assert_eq!(state(&mut m, 2.0).0, TaskState::Running, "1 GB at 0.5 GB/s");
    assert!(tell(&mut m, 5, vec![start("wk-000001/0", 1)], 9.0));
    assert!(tell(&mut m, 5, vec![], 18.0));
    assert_eq!(state(&mut m, 21.9).0, TaskState::Running);
    assert_eq!(
        state(&mut m, 22.0),
        (TaskState::Exited, Some(ExitCause::Done))
    );
    let events = m.take_events();
    let off = events.iter().find_map(|n| match n {
        MachineEvent::Off { why, kept_s, .. } => Some((*why, *kept_s)),
        _ => None,
    });
    assert_eq!(off, Some((Off::Done, 20.0)));
    // A forgotten attempt is unknown and starts again.
    let forget = Command::Forget {
        task: "wk-000001/0".into(),
        attempt: 1,
    };
    tell(&mut m, 5, vec![forget, start("wk-000001/0", 1)], 23.0);
    assert_eq!(
        state(&mut m, 23.0).0,
        TaskState::Running,
        "the image is cached"
    );
}

#[test]
fn starts_are_refused_for_lack_of_room_tasks_in_use_and_unknown_tasks() {
    let mut m = machine();
    let all = (0..5)
        .map(|i| start(&format!("wk-000001/{i}"), 1))
        .collect();
    tell(&mut m, 5, all, 0.0);
    tell(
        &mut m,
        5,
        vec![
            start("wk-000001/0", 2),
            start("wk-000009/0", 1),
            start("wk-000001/8", 1),
        ],
        0.1,
    );
    let why: Vec<Option<ExitCause>> = states(&mut m, 0.1).into_iter().map(|t| t.2).collect();
    let refused = [
        ExitCause::NoRoom,
        ExitCause::InUse,
        ExitCause::Unknown,
        ExitCause::Unknown,
    ]
    .map(Some);
    assert_eq!(why[4..], refused, "four tasks of 2 CPUs fill 8");
}

#[test]
fn responses_with_lower_tokens_are_dropped_and_renew_no_lease() {
    let mut m = machine();
    tell(&mut m, 5, vec![start("wk-000001/0", 1)], 0.0);
    assert!(!tell(&mut m, 4, vec![stop("wk-000001/0", 1, 0.0)], 6.0));
    assert_eq!(state(&mut m, 9.9).0, TaskState::Running);
    assert!(states(&mut m, 10.0).is_empty(), "the lease counts from 0");
    assert_eq!(m.incarnation, 2);
    let events = m.take_events();
    assert!(events.contains(&MachineEvent::LeaseEnds));
    // A response to a heartbeat of the previous incarnation is dropped.
    let late = HeartbeatResponse {
        fencing_token: 9,
        commands: vec![start("wk-000001/1", 3)],
    };
    assert!(!m.handle_response(&late, 1, 9.0, 10.5, &mut spec));
    assert!(states(&mut m, 10.5).is_empty());
}

#[test]
fn direct_commands_need_token_and_incarnation_and_renew_no_lease() {
    let mut m = machine();
    let order = |token, incarnation| DirectCommands {
        fencing_token: token,
        incarnation,
        commands: vec![start("wk-000001/0", 1)],
    };
    assert!(tell(&mut m, 5, vec![], 0.0));
    assert!(
        !m.handle_direct_commands(&order(4, 1), 1.0, &mut spec),
        "an older token"
    );
    assert!(
        !m.handle_direct_commands(&order(5, 2), 1.0, &mut spec),
        "another incarnation"
    );
    assert!(m.handle_direct_commands(&order(6, 1), 1.0, &mut spec));
    assert_eq!(m.token, 6);
    assert_eq!(state(&mut m, 9.0).0, TaskState::Running);
    assert!(states(&mut m, 10.0).is_empty());
}

#[test]
fn a_task_that_saves_keeps_its_progress_and_another_only_its_checkpoints() {
    for (task, grace, kept, ends) in [
        ("wk-000002/0", 3.0, 8.0, 13.0),
        ("wk-000002/0", 2.0, 5.0, 10.0),
        ("wk-000001/0", 30.0, 0.0, 10.0),
    ] {
        let mut m = machine();
        tell(&mut m, 5, vec![start(task, 1)], 0.0);
        tell(&mut m, 5, vec![], 6.0);
        tell(&mut m, 5, vec![stop(task, 1, grace)], 10.0);
        assert_eq!(state(&mut m, ends).0, TaskState::Exited, "{task} {grace}");
        let off = m.take_events().into_iter().find_map(|n| match n {
            MachineEvent::Off { kept_s, .. } => Some(kept_s),
            _ => None,
        });
        assert_eq!(off, Some(kept), "{task} with {grace} s");
    }
    // A second stop without grace period ends a save.
    let mut m = machine();
    tell(&mut m, 5, vec![start("wk-000002/0", 1)], 0.0);
    tell(&mut m, 5, vec![stop("wk-000002/0", 1, 9.0)], 9.0);
    assert_eq!(state(&mut m, 10.0).0, TaskState::Saving);
    tell(&mut m, 5, vec![stop("wk-000002/0", 1, 0.0)], 10.0);
    assert_eq!(state(&mut m, 10.0).0, TaskState::Exited);
}

#[test]
fn image_fetches_share_the_rate_end_with_their_tasks_and_unused_images_are_evicted() {
    let mut m = machine();
    tell(
        &mut m,
        5,
        vec![start("wk-000001/0", 1), start("wk-000003/0", 1)],
        0.0,
    );
    assert_eq!(
        state(&mut m, 3.9).0,
        TaskState::Fetching,
        "each fetch has half the rate"
    );
    assert_eq!(state(&mut m, 4.0).0, TaskState::Running);
    tell(&mut m, 5, vec![start("wk-000004/0", 1)], 5.0);
    tell(&mut m, 5, vec![stop("wk-000004/0", 1, 0.0)], 6.0);
    tell(&mut m, 5, vec![start("wk-000004/1", 1)], 7.0);
    let running = |m: &mut Machine, now| states(m, now).last().unwrap().1 == TaskState::Running;
    assert!(!running(&mut m, 8.9), "the first fetch was cancelled");
    assert!(running(&mut m, 9.0));
    // The cache of 3 GB is full; the least recently used image is evicted.
    tell(
        &mut m,
        5,
        vec![stop("wk-000001/0", 1, 0.0), stop("wk-000003/0", 1, 0.0)],
        10.0,
    );
    tell(&mut m, 5, vec![start("wk-000005/0", 1)], 11.0);
    tell(&mut m, 5, vec![start("wk-000003/1", 1)], 14.0);
    assert!(running(&mut m, 14.0), "img-3 was not evicted");
}

#[test]
fn tasks_of_mistaken_jobs_and_on_faulty_machines_fail() {
    let mut m = machine();
    tell(&mut m, 5, vec![start("wk-000007/0", 1)], 0.0);
    assert_eq!(
        state(&mut m, 4.0),
        (TaskState::Exited, Some(ExitCause::Error))
    );
    let mut m = machine();
    m.traits.faulty = true;
    tell(&mut m, 5, vec![start("wk-000001/0", 1)], 0.0);
    assert_eq!(
        state(&mut m, 4.0),
        (TaskState::Exited, Some(ExitCause::Error))
    );
}

#[test]
fn a_suspended_machine_resumes_its_tasks_where_they_were() {
    let mut m = machine();
    tell(&mut m, 5, vec![start("wk-000001/0", 1)], 0.0);
    m.advance(5.0);
    m.skip_suspension(9.0);
    tell(&mut m, 5, vec![], 9.0);
    tell(&mut m, 5, vec![], 18.0);
    assert_eq!(
        state(&mut m, 25.9).0,
        TaskState::Running,
        "the 4 s of suspension do not count"
    );
    assert_eq!(state(&mut m, 26.0).0, TaskState::Exited);
}
