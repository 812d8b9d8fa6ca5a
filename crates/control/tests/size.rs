//! Operations whose cost depends on the number of machines, with more machines than the operators
//! run: 4,000, and 5,000 for images. The tests count operations and measure no time.

mod common;

use cherrywood_control::leader::CloudCall;
use cherrywood_control::{Leader, keys};
use cherrywood_wire::chunks::{join_chunks, json_size, split_into_chunks};
use cherrywood_wire::cloud::{ListedMachine, ListedMachineState};
use cherrywood_wire::records::{ImageCacheRecord, StoredRecord};
use cherrywood_wire::user::Submission;
use common::*;
use std::collections::BTreeSet;

const MACHINES: usize = 4_000;
/// The most bytes of a value today, and in `state.next` after the operators' change.
const VALUE: usize = 32 * 1024;
const SMALL_VALUE: usize = 2 * 1024;

fn fleet(n: usize) -> Vec<Worker> {
    (0..n).map(|i| Worker::new(&format!("vm-{i:06}"))).collect()
}

fn numbered_job(id: usize, tasks: u32) -> Submission {
    Submission {
        team: "wide".into(),
        ..job(&format!("wk-{id:06}"), tasks)
    }
}

/// Sends a heartbeat of each worker to this shard owner and executes the commands of the response.
fn exchange_all_heartbeats(leader: &mut Leader, workers: &mut [Worker], owner: &str, now: f64) {
    for w in workers {
        let heartbeat = w.next_heartbeat();
        let token = leader.take_heartbeat(owner, &heartbeat, &[], now).unwrap();
        let commands = leader.heartbeat_commands(&heartbeat, now);
        w.execute_commands(token, &commands);
    }
}

/// A leader with this many machines, on which 28 images are cached.
fn with_images(store: &mut Store, machines: usize) -> Leader {
    let mut leader = store.elect(1, 0.0);
    exchange_all_heartbeats(&mut leader, &mut fleet(machines), "n1", 1.0);
    for image in 0..28 {
        let spec = Submission {
            image: format!("img-{image}"),
            image_gb: 0.1,
            ..numbered_job(image, machines as u32 / 7)
        };
        submit(&mut leader, store, &spec, 1.5);
    }
    leader.place_pending(2.0);
    leader
}

/// Returns the number of machines that each image is cached on.
fn spread(value: &ImageCacheRecord) -> Vec<(u64, usize)> {
    let mut counts: Vec<(u64, usize)> = value
        .images
        .iter()
        .map(|(no, _, bits)| {
            let set = bits.bytes().map(|digit| match digit {
                b'A'..=b'Z' => digit - b'A',
                b'a'..=b'z' => digit - b'a' + 26,
                b'0'..=b'9' => digit - b'0' + 52,
                b'+' => 62,
                _ => 63,
            });
            (*no, set.map(|six| six.count_ones() as usize).sum())
        })
        .collect();
    counts.sort_unstable();
    counts
}

/// One value holds the images of 2,650 machines; those of the others would be fetched again after
/// each failover. A controller of the previous version reads a value in parts as empty, so while
/// such controllers are left the leader writes what one value holds.
#[test]
fn images_of_5000_machines_reach_the_next_leader_once_all_controllers_read_parts() {
    let mut store = Store::default();
    let mut leader = with_images(&mut store, 5_000);
    let value = leader.image_snapshot(60.0);
    assert!(json_size(&value) <= VALUE, "{}", json_size(&value));
    let names = value.machine_names();
    assert!(names.len() >= 2_650, "{}", names.len());
    let all = fleet(5_000).into_iter().map(|w| w.name);
    assert!(all.take(names.len()).eq(names));

    let mut kept = settings().state.conservative_limits();
    kept.enable_chunks();
    leader.set_store_limits(kept);
    let value = leader.image_snapshot(60.0);
    assert_eq!(value.machine_names().len(), 5_000);
    assert_eq!(value.images.len(), 28);
    let placed: usize = spread(&value).iter().map(|(_, n)| n).sum();
    assert!(placed >= 5_000, "four tasks fill a machine: {placed}");
    for most in [VALUE, SMALL_VALUE] {
        let texts = split_into_chunks(&value, most);
        assert!(texts.len() < 64, "{} parts of {most}", texts.len());
        assert_eq!(join_chunks::<ImageCacheRecord>(&texts).as_ref(), Ok(&value));
    }
    store.put(keys::IMAGES, StoredRecord::ImageCache(value.clone()));
    let mut next = store.elect(2, 61.0);
    next.set_store_limits(kept);
    exchange_all_heartbeats(&mut next, &mut fleet(5_000), "n2", 62.0);
    assert_eq!(spread(&next.image_snapshot(62.0)), spread(&value));
}

/// A third of the machines is silent as the leader changes. Tasks that may run there start
/// nowhere else, the other machines continue, and the ledger stays within its number of entries.
#[test]
fn a_failover_with_4000_machines_keeps_every_placement() {
    for (value, ops, entries) in [(VALUE, 48, 128), (SMALL_VALUE, 16, 2_048)] {
        let mut store = Store {
            limits: Some((value, ops)),
            ..Store::default()
        };
        let mut settings = settings();
        settings.state.value_kb = value as f64 / 1024.0;
        settings.state.txn_ops = ops;
        let mut leader = store.elect_with(settings.clone(), 1, 0.0);
        let mut workers = fleet(MACHINES);
        exchange_all_heartbeats(&mut leader, &mut workers, "n1", 1.0);
        // Sixteen small tasks per machine, as on the operators' largest machine type.
        for id in 0..160 {
            let spec = Submission {
                cpus: 0.5,
                ..numbered_job(id, 400)
            };
            submit(&mut leader, &mut store, &spec, 2.0);
        }
        leader.place_pending(2.0);
        write_all(&mut leader, &mut store);
        exchange_all_heartbeats(&mut leader, &mut workers, "n1", 2.5);
        let running: usize = workers.iter().map(Worker::running).sum();
        assert_eq!(running, 64_000);
        let logged = store.records.keys().filter(|k| k.starts_with(keys::LEDGER));
        let logged = logged.count();
        assert!(logged <= entries, "{logged} entries of {value} bytes");
        let before = leader.placements_held();
        let mut leader = store.elect_with(settings, 2, 5.0);
        assert_eq!(leader.placements_held(), before);
        submit(&mut leader, &mut store, &numbered_job(200, 10), 5.0);
        let silent = MACHINES / 3;
        exchange_all_heartbeats(&mut leader, &mut workers[silent..], "n2", 6.0);
        leader.place_pending(6.0);
        write_all(&mut leader, &mut store);
        assert!(
            leader.placements_held().is_superset(&before),
            "no placement is given up"
        );
        assert_eq!(leader.audit(), Ok(()));
    }
}

/// The response to a hello extends the shard leases of all machines of a shard owner.
#[test]
fn the_leases_of_a_shard_of_4000_machines_are_extended_at_once() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut workers = fleet(MACHINES);
    exchange_all_heartbeats(&mut leader, &mut workers, "n2", 1.0);
    exchange_all_heartbeats(&mut leader, &mut workers, "n2", 2.0);
    let extended = leader.extend_shard("n2", 2.5);
    assert_eq!(extended.len(), MACHINES);
}

/// The machines of a scripted cloud.
#[derive(Default)]
struct Cloud {
    rented: usize,
    machines: BTreeSet<String>,
}

impl Cloud {
    /// Executes the calls of one autoscaler run; returns how many machines were rented or deleted.
    fn execute_calls(&mut self, leader: &mut Leader, now: f64) -> usize {
        let mut changed = 0;
        for call in leader.autoscale(now) {
            match call {
                CloudCall::Rent(rent) => {
                    assert!((1..=50).contains(&rent.count), "{}", rent.count);
                    let room = (rent.count as usize).min(MACHINES - self.machines.len());
                    let number = |n| format!("vm-{:06}", self.rented + n);
                    let names: Vec<String> = (0..room).map(number).collect();
                    self.rented += room;
                    changed += room;
                    self.machines.extend(names.clone());
                    leader.rental_answered(&rent, Some(&names), now);
                }
                CloudCall::Delete(names) => {
                    assert!(names.len() <= 100, "{}", names.len());
                    for name in &names {
                        assert!(self.machines.remove(name), "{name} was deleted before");
                    }
                    changed += names.len();
                    leader.machines_deleted(&names, now);
                }
            }
        }
        changed
    }
}

/// With 100 machines deleted per second, the last of 4,000 would go 40 s after the first.
#[test]
fn four_thousand_machines_are_rented_and_returned_in_bulk() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let mut cloud = Cloud::default();
    let long = Submission {
        estimate_s: 100.0,
        ..numbered_job(1, 4 * MACHINES as u32)
    };
    submit(&mut leader, &mut store, &long, 0.0);
    let mut runs = 0;
    while cloud.machines.len() < MACHINES {
        runs += 1;
        assert!(runs <= 60, "{} rented", cloud.machines.len());
        cloud.execute_calls(&mut leader, f64::from(runs));
    }
    // The job is cancelled before any task runs, so no machine is needed any more.
    let mut workers = fleet(MACHINES);
    exchange_all_heartbeats(&mut leader, &mut workers, "n1", 61.0);
    store.cancel("wk-000001");
    leader.remove_job("wk-000001");
    let (mut now, mut busy) = (61.0, 0);
    while !cloud.machines.is_empty() {
        now += 1.0;
        assert!(now < 200.0, "{} are left", cloud.machines.len());
        let exists = |worker: &Worker| cloud.machines.contains(&worker.name);
        workers.retain(exists);
        exchange_all_heartbeats(&mut leader, &mut workers, "n1", now);
        busy += usize::from(cloud.execute_calls(&mut leader, now) > 0);
    }
    assert!(
        busy <= 12,
        "{busy} autoscaler runs in which machines were returned"
    );
}

/// The leader takes over the whole list of the cloud.
#[test]
fn a_list_of_4000_machines_is_applied_whole() {
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    let listed = |i: usize| ListedMachine {
        name: format!("vm-{i:06}"),
        address: Some(format!("10.1.{}.{}:9000", i / 250, i % 250)),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        state: ListedMachineState::Running,
        age_s: 100.0,
    };
    let list: Vec<ListedMachine> = (0..MACHINES).map(listed).collect();
    leader.apply_machine_list(&list, 1.0);
    assert!(
        leader.summary().contains(&format!("{MACHINES} machines")),
        "{}",
        leader.summary()
    );
}

/// Guards against passes that cost jobs times machines: a thousand jobs that no machine may run
/// each had all of 4,000 machines examined.
#[test]
fn jobs_that_no_machine_may_run_cost_no_look_at_every_machine() {
    const JOBS: usize = 1_000;
    let mut store = Store::default();
    let mut leader = store.elect(1, 0.0);
    exchange_all_heartbeats(&mut leader, &mut fleet(MACHINES), "n1", 1.0);
    for id in 0..JOBS {
        let elsewhere = Submission {
            zone: Some("b".into()),
            cpus: 1.0 + id as f64 / 1000.0,
            ..numbered_job(id, 1)
        };
        submit(&mut leader, &mut store, &elsewhere, 1.5);
    }
    leader.place_pending(2.0);
    assert!(leader.placements_held().is_empty());
    let examined = leader.machines_examined();
    assert!(examined <= (JOBS + MACHINES) as u64, "{examined} examined");
}
