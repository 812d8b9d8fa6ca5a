//! What depends on the number of machines, at more than the operators run: 4,000 machines,
//! 5,000 for images. Counted, not timed.

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
/// Bytes of a value today, and in `state.next` of the operators' change.
const VALUE: usize = 32 * 1024;
const SMALL_VALUE: usize = 2 * 1024;

fn fleet(n: usize) -> Vec<Worker> {
    (0..n).map(|i| Worker::new(&format!("vm-{i:06}"))).collect()
}

fn wide(id: usize, tasks: u32) -> Submission {
    Submission {
        team: "wide".into(),
        ..job(&format!("wk-{id:06}"), tasks)
    }
}

/// All machines report to this holder, and are answered.
fn all_report(l: &mut Leader, workers: &mut [Worker], holder: &str, now: f64) {
    for w in workers {
        let r = w.report();
        let token = l.take_heartbeat(holder, &r, &[], now).unwrap();
        let commands = l.heartbeat_commands(&r, now);
        w.obey(token, &commands);
    }
}

/// A leader of so many machines that have images of 28 names.
fn with_images(s: &mut Store, machines: usize) -> Leader {
    let mut l = s.elect(1, 0.0);
    all_report(&mut l, &mut fleet(machines), "n1", 1.0);
    for image in 0..28 {
        let spec = Submission {
            image: format!("img-{image}"),
            image_gb: 0.1,
            ..wide(image, machines as u32 / 7)
        };
        submit(&mut l, s, &spec, 1.5);
    }
    l.place_pending(2.0);
    l
}

/// Machines that each image is on.
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

/// The value ended at 2,650 machines: the images of the others were fetched again after
/// each takeover. A controller of the version before reads a value in parts as empty, so
/// until none is left it gets what one value holds.
#[test]
fn images_of_5000_machines_reach_the_next_leader_once_all_controllers_read_parts() {
    let mut s = Store::default();
    let mut l = with_images(&mut s, 5_000);
    let value = l.image_snapshot(60.0);
    assert!(json_size(&value) <= VALUE, "{}", json_size(&value));
    let names = value.machine_names();
    assert!(names.len() >= 2_650, "{}", names.len());
    let all = fleet(5_000).into_iter().map(|w| w.name);
    assert!(all.take(names.len()).eq(names));

    let mut kept = settings().state.conservative_limits();
    kept.enable_chunks();
    l.set_store_limits(kept);
    let value = l.image_snapshot(60.0);
    assert_eq!(value.machine_names().len(), 5_000);
    assert_eq!(value.images.len(), 28);
    let placed: usize = spread(&value).iter().map(|(_, n)| n).sum();
    assert!(placed >= 5_000, "four tasks fill a machine: {placed}");
    for most in [VALUE, SMALL_VALUE] {
        let texts = split_into_chunks(&value, most);
        assert!(texts.len() < 64, "{} parts of {most}", texts.len());
        assert_eq!(join_chunks::<ImageCacheRecord>(&texts).as_ref(), Ok(&value));
    }
    s.put(keys::IMAGES, StoredRecord::ImageCache(value.clone()));
    let mut next = s.elect(2, 61.0);
    next.set_store_limits(kept);
    all_report(&mut next, &mut fleet(5_000), "n2", 62.0);
    assert_eq!(spread(&next.image_snapshot(62.0)), spread(&value));
}

/// A third of the machines is silent as the leader changes: what may run there is started
/// nowhere else, and the others go on; the log has no more entries than it may.
#[test]
fn a_takeover_of_4000_machines_keeps_every_placement() {
    for (value, ops, entries) in [(VALUE, 48, 128), (SMALL_VALUE, 16, 2_048)] {
        let mut s = Store {
            limits: Some((value, ops)),
            ..Store::default()
        };
        let mut settings = settings();
        settings.state.value_kb = value as f64 / 1024.0;
        settings.state.txn_ops = ops;
        let mut l = s.elect_with(settings.clone(), 1, 0.0);
        let mut workers = fleet(MACHINES);
        all_report(&mut l, &mut workers, "n1", 1.0);
        // Sixteen small tasks a machine, as on the operators' largest type.
        for id in 0..160 {
            let spec = Submission {
                cpus: 0.5,
                ..wide(id, 400)
            };
            submit(&mut l, &mut s, &spec, 2.0);
        }
        l.place_pending(2.0);
        write_all(&mut l, &mut s);
        all_report(&mut l, &mut workers, "n1", 2.5);
        let running: usize = workers.iter().map(Worker::running).sum();
        assert_eq!(running, 64_000);
        let logged = s.records.keys().filter(|k| k.starts_with(keys::LEDGER));
        let logged = logged.count();
        assert!(logged <= entries, "{logged} entries of {value} bytes");
        let before = l.placements_held();
        let mut l = s.elect_with(settings, 2, 5.0);
        assert_eq!(l.placements_held(), before);
        submit(&mut l, &mut s, &wide(200, 10), 5.0);
        let silent = MACHINES / 3;
        all_report(&mut l, &mut workers[silent..], "n2", 6.0);
        l.place_pending(6.0);
        write_all(&mut l, &mut s);
        assert!(
            l.placements_held().is_superset(&before),
            "nothing is given up"
        );
        assert_eq!(l.audit(), Ok(()));
    }
}

/// The whole block of one controller, as the leader's answer to a hello names it.
#[test]
fn a_block_of_4000_machines_is_granted_at_once() {
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
    let mut workers = fleet(MACHINES);
    all_report(&mut l, &mut workers, "n2", 1.0);
    all_report(&mut l, &mut workers, "n2", 2.0);
    let block = l.extend_shard("n2", 2.5);
    assert_eq!(block.len(), MACHINES);
}

/// Machines that the cloud has.
#[derive(Default)]
struct Cloud {
    rented: usize,
    machines: BTreeSet<String>,
}

impl Cloud {
    /// Answers what one look at the fleet asks for; returns how many machines came or went.
    fn answer(&mut self, l: &mut Leader, now: f64) -> usize {
        let mut changed = 0;
        for call in l.autoscale(now) {
            match call {
                CloudCall::Rent(rent) => {
                    assert!((1..=50).contains(&rent.count), "{}", rent.count);
                    let room = (rent.count as usize).min(MACHINES - self.machines.len());
                    let number = |n| format!("vm-{:06}", self.rented + n);
                    let names: Vec<String> = (0..room).map(number).collect();
                    self.rented += room;
                    changed += room;
                    self.machines.extend(names.clone());
                    l.rental_answered(&rent, Some(&names), now);
                }
                CloudCall::Delete(names) => {
                    assert!(names.len() <= 100, "{}", names.len());
                    for name in &names {
                        assert!(self.machines.remove(name), "{name} was deleted before");
                    }
                    changed += names.len();
                    l.machines_deleted(&names, now);
                }
            }
        }
        changed
    }
}

/// At 100 machines a second the last of 4,000 went 40 s after the first.
#[test]
fn four_thousand_machines_are_rented_and_returned_in_bulk() {
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
    let mut cloud = Cloud::default();
    let long = Submission {
        estimate_s: 100.0,
        ..wide(1, 4 * MACHINES as u32)
    };
    submit(&mut l, &mut s, &long, 0.0);
    let mut looks = 0;
    while cloud.machines.len() < MACHINES {
        looks += 1;
        assert!(looks <= 60, "{} rented", cloud.machines.len());
        cloud.answer(&mut l, f64::from(looks));
    }
    // The job is cancelled before anything runs: nothing is wanted any more.
    let mut workers = fleet(MACHINES);
    all_report(&mut l, &mut workers, "n1", 61.0);
    s.cancel("wk-000001");
    l.remove_job("wk-000001");
    let (mut now, mut busy) = (61.0, 0);
    while !cloud.machines.is_empty() {
        now += 1.0;
        assert!(now < 200.0, "{} are left", cloud.machines.len());
        let there = |w: &Worker| cloud.machines.contains(&w.name);
        workers.retain(there);
        all_report(&mut l, &mut workers, "n1", now);
        busy += usize::from(cloud.answer(&mut l, now) > 0);
    }
    assert!(busy <= 12, "{busy} looks in which machines were returned");
}

/// A list of the cloud is taken in whole, and what it lacks is given up.
#[test]
fn a_list_of_4000_machines_is_taken_in() {
    let mut s = Store::default();
    let mut l = s.elect(1, 0.0);
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
    l.apply_machine_list(&list, 1.0);
    assert!(
        l.summary().contains(&format!("{MACHINES} machines")),
        "{}",
        l.summary()
    );
}
