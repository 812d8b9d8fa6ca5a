//! Machines that are up within two seconds of their rental and are given tasks at once, while
//! ledger writes are delayed or lose their responses, and the leader fails. Either the next leader
//! knows the tasks that may run there, or no task runs there, although no list names the machine
//! yet.

mod common;

use cherrywood_control::Leader;
use cherrywood_control::leader::{CloudCall, LedgerBatch, WriteOutcome};
use cherrywood_wire::agent::{Command, DirectCommands};
use cherrywood_wire::cloud::RentalRequest;
use cherrywood_wire::store::Txn;
use common::*;

const NEW: &str = "vm-9";

/// Outcome of the ledger write that names the new machine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteFate {
    Confirmed,
    ResponseLost,
    /// Executed after the first leader failed and before the next one is elected.
    LateBeforeElection,
    LateAfterElection,
    Never,
}

const WRITE_FATES: [WriteFate; 5] = [
    WriteFate::Confirmed,
    WriteFate::ResponseLost,
    WriteFate::LateBeforeElection,
    WriteFate::LateAfterElection,
    WriteFate::Never,
];

fn rent(leader: &mut Leader, now: f64) {
    let rent = RentalRequest {
        request_id: "r-1".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        count: 1,
    };
    leader.rental_answered(&rent, Some(&[NEW.to_string()]), now);
}

/// Executes the commands of the leader at the machine.
fn execute_all_commands(leader: &mut Leader, worker: &mut Worker, now: f64) {
    for (_, direct_commands) in leader.due_direct_commands(now) {
        for due in direct_commands {
            worker.execute_commands(due.commands.fencing_token, &due.commands.commands);
        }
    }
    let heartbeat = worker.next_heartbeat();
    if let Some(token) = leader.take_heartbeat("n", &heartbeat, &[], now) {
        let commands = leader.heartbeat_commands(&heartbeat, now);
        worker.execute_commands(token, &commands);
    }
}

/// Executes the first leader's ledger write or returns it to be executed later, and gives that
/// leader its outcome.
fn write(
    leader: &mut Leader,
    store: &mut Store,
    batch: LedgerBatch,
    fate: WriteFate,
) -> Option<Txn> {
    let txn = batch.txn.clone();
    let (outcome, late) = match fate {
        WriteFate::Confirmed => (store.apply(&txn), None),
        WriteFate::ResponseLost => {
            store.apply(&txn);
            (WriteOutcome::Unknown, None)
        }
        _ => (WriteOutcome::Unknown, Some(txn)),
    };
    leader.ledger_batch_done(batch, &outcome);
    late
}

/// Places tasks that fill the team's quota on a machine that is up for two seconds, and ends the
/// leader. Returns the machine and the next leader, elected at 4 s.
fn new_machine_after_failover(store: &mut Store, fate: WriteFate) -> (Worker, Leader) {
    let mut worker = Worker::new(NEW);
    let mut first = store.elect(1, 0.0);
    submit(&mut first, store, &job("wk-000001", 8), 0.0);
    rent(&mut first, 0.5);
    let heartbeat = worker.next_heartbeat();
    first.take_heartbeat("n", &heartbeat, &[], 2.0);
    first.place_pending(2.0);
    let batch = first.ledger_batch().unwrap();
    let late = write(&mut first, store, batch, fate);
    execute_all_commands(&mut first, &mut worker, 2.5);
    let started = if fate == WriteFate::Confirmed { 4 } else { 0 };
    assert_eq!(worker.running(), started, "{fate:?}");
    let late_at_once = late
        .clone()
        .filter(|_| fate == WriteFate::LateBeforeElection);
    if let Some(txn) = late_at_once {
        assert!(matches!(store.apply(&txn), WriteOutcome::Applied(_)));
    }
    let next = store.elect(2, 4.0);
    if let Some(txn) = late.filter(|_| fate == WriteFate::LateAfterElection) {
        assert!(matches!(store.apply(&txn), WriteOutcome::Conflict(_)));
    }
    (worker, next)
}

fn usage(leader: &Leader) -> f64 {
    leader.team_usage()[0].1
}

#[test]
fn the_next_leader_knows_the_tasks_of_a_new_machine_or_it_has_none() {
    for fate in WRITE_FATES {
        let mut store = Store::default();
        let (worker, next) = new_machine_after_failover(&mut store, fate);
        let held = next.placements_held();
        for t in &worker.tasks {
            let row = (NEW.to_string(), t.task.clone(), t.attempt);
            assert!(held.contains(&row), "{fate:?}: {} is unknown", t.task);
        }
        assert!(usage(&next) >= 2.0 * worker.running() as f64, "{fate:?}");
        next.audit().unwrap();
    }
}

/// Executes the cloud calls, except for the machine that the cloud's list lacks.
fn apply_cloud_calls(leader: &mut Leader, machines: &mut Vec<Worker>, now: f64) {
    for call in leader.autoscale(now) {
        match call {
            CloudCall::Delete(mut names) => {
                names.retain(|n| n != NEW);
                machines.retain(|m| !names.contains(&m.name));
                leader.machines_deleted(&names, now);
            }
            CloudCall::Rent(rent) => {
                let names: Vec<String> = (0..rent.count).map(|n| format!("vm-{now}-{n}")).collect();
                machines.extend(names.iter().map(|n| Worker::new(n)));
                leader.rental_answered(&rent, Some(&names), now);
            }
        }
    }
}

/// The machine is silent to the next leader, and no list names it. Its tasks start nowhere else
/// and count towards the team's quota until every shard lease and worker lease has expired; then
/// they start elsewhere.
#[test]
fn tasks_of_a_silent_unlisted_machine_start_elsewhere_only_after_its_leases() {
    for fate in WRITE_FATES {
        let mut store = Store::default();
        let (mut lost, mut next) = new_machine_after_failover(&mut store, fate);
        let over = 4.0 + next.timing.shard_lease_bound_s() + next.timing.tasks_gone_after_s();
        let mut others = vec![Worker::new("vm-1")];
        let mut now = 4.0;
        while now < over + 20.0 {
            now += 0.5;
            if now > over {
                lost.tasks.clear();
            }
            next.apply_machine_list(&[], now);
            apply_cloud_calls(&mut next, &mut others, now);
            for worker in &mut others {
                exchange_heartbeat(&mut next, &mut store, worker, "n", now);
            }
            let all = others.iter().chain([&lost]);
            let running: usize = all.clone().map(Worker::running).sum();
            assert!(running <= 8, "{fate:?}: {running} run at {now}");
            let mut tasks: Vec<&str> = all
                .flat_map(|worker| &worker.tasks)
                .map(|t| t.task.as_str())
                .collect();
            tasks.sort_unstable();
            let before = tasks.len();
            tasks.dedup();
            assert_eq!(tasks.len(), before, "{fate:?}: ran twice at {now}");
        }
        let running: usize = others.iter().map(Worker::running).sum();
        assert_eq!(running, 8, "{fate:?}: the limit leaks: {}", next.summary());
        next.audit().unwrap();
    }
}

/// The machine sends a heartbeat to the next leader, which does not know the machine and must
/// then use it.
#[test]
fn a_new_machine_known_only_to_the_previous_leader_is_adopted() {
    for fate in WRITE_FATES {
        let mut store = Store::default();
        let (mut worker, mut next) = new_machine_after_failover(&mut store, fate);
        let mut now = 4.0;
        while now < 12.0 {
            now += 0.5;
            exchange_heartbeat(&mut next, &mut store, &mut worker, "n", now);
            next.apply_machine_list(&[], now);
            next.autoscale(now);
            next.audit().unwrap();
        }
        assert_eq!(worker.running(), 4, "{fate:?}");
        let held = next.placements_held();
        assert!(
            held.iter().all(|(on, ..)| on == NEW) && held.len() == 4,
            "{fate:?}"
        );
    }
}

/// Two successive leaders fail, each after a machine that it rented was up at once.
#[test]
fn tasks_on_new_machines_of_two_successive_leaders_stay_within_the_quota() {
    for (first, second) in WRITE_FATES
        .iter()
        .flat_map(|a| WRITE_FATES.map(|b| (*a, b)))
    {
        let mut store = Store::default();
        let (one, mut next) = new_machine_after_failover(&mut store, first);
        let mut two = Worker::new("vm-8");
        let heartbeat = two.next_heartbeat();
        next.take_heartbeat("n", &heartbeat, &[], 5.0);
        next.place_pending(5.0);
        let late = next
            .ledger_batch()
            .and_then(|batch| write(&mut next, &mut store, batch, second));
        execute_all_commands(&mut next, &mut two, 5.5);
        if let Some(txn) = late
            .clone()
            .filter(|_| second == WriteFate::LateBeforeElection)
        {
            store.apply(&txn);
        }
        let mut last = store.elect(3, 7.0);
        if let Some(txn) = late.filter(|_| second == WriteFate::LateAfterElection) {
            assert!(matches!(store.apply(&txn), WriteOutcome::Conflict(_)));
        }
        let mut three = Worker::new("vm-7");
        for n in 0..10 {
            let now = 7.0 + f64::from(n);
            exchange_heartbeat(&mut last, &mut store, &mut three, "n", now);
            let running = one.running() + two.running() + three.running();
            assert!(
                running <= 8,
                "{first:?}, {second:?}: {running} run at {now}"
            );
        }
        last.audit().unwrap();
    }
}

/// A direct start of the first leader arrives at the new machine under the next leader, which may
/// have placed the task elsewhere; the fencing token decides whether it is executed.
#[test]
fn a_late_start_at_a_new_machine_is_fenced_before_its_task_is_placed_again() {
    let (mut store, mut worker) = (Store::default(), Worker::new(NEW));
    let mut first = store.elect(1, 0.0);
    submit(&mut first, &mut store, &job("wk-000001", 1), 0.0);
    rent(&mut first, 0.5);
    first.take_heartbeat("n", &worker.next_heartbeat(), &[], 2.0);
    first.place_pending(2.0);
    write_all(&mut first, &mut store);
    let direct_commands: Vec<DirectCommands> = first
        .due_direct_commands(2.5)
        .into_values()
        .flatten()
        .map(|due| due.commands)
        .collect();
    let start = |c: &Command| matches!(c, Command::Start { .. });
    assert!(direct_commands.iter().any(|o| o.commands.iter().any(start)));
    let mut next = store.elect(2, 4.0);
    let mut other = Worker::new("vm-1");
    for n in 0..4 {
        let now = 5.0 + f64::from(n);
        exchange_heartbeat(&mut next, &mut store, &mut worker, "n", now);
        exchange_heartbeat(&mut next, &mut store, &mut other, "n", now);
        for o in &direct_commands {
            worker.execute_commands(o.fencing_token, &o.commands);
        }
        assert!(
            worker.running() + other.running() <= 1,
            "ran twice at {now}"
        );
    }
    assert_eq!(worker.running() + other.running(), 1);
}
