//! The orders of events, and the checks.

use crate::fleet::Kind;
use crate::state::{CUT, OPEN, REFUSE};
use crate::{Job, LABELS, Site, World, now_s, sleep, sleep_until};
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::Ordering;

/// `lonestar-parcel-atlas`, as its page and site file state it.
fn lonestar() -> Site {
    Site {
        zones: vec!["austin-rack", "lubbock-colo", "houston-cloud"],
        teams: vec![("mapdesk", 528.0, 1312.0), ("recordsroom", 528.0, 1576.0)],
        objectives: "[[deployment.objectives]]\nkind = \"finished\"\nclass = \"tile-rebuild\"\nwithin_s = 150.0\nshare = 0.975\n\n[[deployment.objectives]]\nkind = \"finished\"\nclass = \"deed-match\"\nwithin_s = 200.0\nshare = 0.94\n",
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
        write_rps: 80.0,
        cloud_rps: 3.0,
        list_lag_s: 10.0,
        core_share: 0.16,
        mem_mb: 56.0,
        sockets: 700,
        kinds: vec![Kind {
            sku: "mesquite-32",
            cpus: 32.0,
            ram_gb: 128.0,
            fetch: 0.5,
            hourly: 2.46,
            spot_price: 0.65,
            startup_s: 30.0,
            zones: vec!["austin-rack", "lubbock-colo", "houston-cloud"],
        }],
    }
}

/// A `tile-rebuild` job of two tasks.
fn tiles(id: &'static str) -> Job {
    Job {
        id,
        herd: "tile-rebuild",
        crew: "mapdesk",
        breed: "array",
        rank: "normal",
        tasks: 2,
        cpus: 2.0,
        ram_gb: 7.2,
        image: "img-01",
        pull_gb: 0.5,
        kinds: None,
        zone: None,
        strays: true,
        waits_on: None,
        guess_s: 60.0,
        run_s: 100.0,
        brand_s: 0.0,
        stow_s: 0.0,
    }
}

/// One job is bound to a zone in which the cloud has no machine left. Another job, which may run
/// in any zone, must run all the same.
fn behind_a_bound_job(folder: PathBuf) -> ! {
    let mut capacity = vec![("mesquite-32", "austin-rack", true, 1)];
    for zone in ["lubbock-colo", "houston-cloud"] {
        capacity.extend([("mesquite-32", zone, true, 8), ("mesquite-32", zone, false, 8)]);
    }
    let w = World::new(&lonestar(), folder, &capacity, 1.5);
    w.wait_ready();
    let bound = Job { zone: Some("austin-rack"), ..tiles("wk-000101") };
    w.submit(&bound);
    if w.wait_started(bound.id, 2, 25.0).is_none() {
        w.give_up("the first job didn't start");
    }
    let machine = w.machine_of(bound.id).unwrap_or_default();
    if w.trouble {
        w.cloud.stop_machine(&machine);
    }
    // The other job comes when the leader has returned the machine, some 12 s later.
    while w.trouble && !w.cloud.is_gone(&machine) {
        if now_s() > 24.0 {
            w.give_up("the stopped machine wasn't returned");
        }
        sleep(0.05);
    }
    sleep(1.5);
    let any = Job { crew: "recordsroom", run_s: 5.0, guess_s: 20.0, image: "img-02", ..tiles("wk-000102") };
    if !w.trouble {
        // The machine that is there has room: the other job must be able to do without a rental.
        w.record.line("the machine of the first job goes on");
    }
    let accepted = w.submit(&any);
    let bound_s = 90.0;
    let started = w.wait_started(any.id, 1, accepted + bound_s);
    w.poll(bound.id);
    let (status, gait) = w.poll(any.id);
    let elsewhere = w.cloud.rentals.lock().unwrap().iter().filter(|r| r.0 > accepted && r.2 != "austin-rack").count();
    let broken = started.is_none().then(|| {
        format!("{} was accepted at {accepted:.1} and no task of it had started {bound_s} s later ({status} {gait}); rentals asked for in the other zones: {elsewhere}", any.id)
    });
    if broken.is_some() {
        // What held it up: without the bound job it runs.
        w.cancel(None, bound.id);
        let after = w.wait_started(any.id, 1, (now_s() + 5.5).min(115.0));
        w.record.line(&format!("after the bound job was cancelled, the other one started: {after:?}"));
    }
    w.verdict("an accepted job must run", broken)
}

/// A leader that is cut off from the state service and the other controllers goes on answering a
/// worker under a token that the new leader's has replaced.
fn stale_answers(folder: PathBuf) -> ! {
    let capacity = [("mesquite-32", "austin-rack", true, 1)];
    let w = World::new(&lonestar(), folder, &capacity, 1.5);
    let leader = w.wait_ready();
    let (goes_on, cancelled) = (tiles("wk-000201"), Job { crew: "recordsroom", ..tiles("wk-000202") });
    // The machine is up before, and reports to the leader.
    w.cloud.add("mesquite-32", "austin-rack", true, 0.2, leader);
    sleep(1.0);
    w.submit(&goes_on);
    w.submit(&cancelled);
    if w.wait_started(goes_on.id, 2, 25.0).is_none() || w.wait_started(cancelled.id, 2, 25.0).is_none() {
        w.give_up("the jobs didn't start");
    }
    // The cloud's list must name the machine.
    sleep_until(16.0);
    let cut_at = now_s();
    if w.trouble {
        w.record.line(&format!("DISRUPTION {} loses the state service and the other controllers", LABELS[leader]));
        w.state.modes[leader].store(CUT, Ordering::SeqCst);
        w.peers_cut[leader].store(true, Ordering::SeqCst);
    }
    let other = (leader + 1) % LABELS.len();
    sleep(6.0);
    w.cancel(Some(other), cancelled.id);
    sleep_until(cut_at + 30.0);
    if w.trouble {
        w.record.line(&format!("{} is whole again", LABELS[leader]));
        w.state.modes[leader].store(OPEN, Ordering::SeqCst);
        w.peers_cut[leader].store(false, Ordering::SeqCst);
    }
    sleep(2.0);
    let dropped = w.platform.dropped.lock().unwrap().clone();
    // Only answers to reports that already stated the newer token.
    let knowing: Vec<_> = dropped.iter().filter(|d| d.4 < d.3).collect();
    let events = w.platform.events.lock().unwrap().clone();
    let killed = events.iter().filter(|e| e.job == goes_on.id && e.what == "killed").count();
    let broken = (!knowing.is_empty()).then(|| {
        let (first, last) = (knowing[0], knowing[knowing.len() - 1]);
        format!(
            "{} answered {} reports with 200 under an older token than the report stated, from {:.1} s to {:.1} s; tasks of the job that goes on killed by the worker's lease: {killed}",
            LABELS[first.1], knowing.len(), first.0, last.0
        )
    });
    w.verdict("a node that is not entitled must answer 421 or 503", broken)
}

/// `arena-pass-nl`, as its page and site file state it.
fn arena() -> Site {
    let zones = vec!["ams-west", "rtm-haven", "ehv-campus", "fra-cloud"];
    Site {
        teams: vec![("boxoffice", 72.0, 192.0), ("ledger", 136.0, 384.0), ("venueops", 56.0, 192.0), ("fanguard", 112.0, 232.0)],
        objectives: "[[deployment.objectives]]\nkind = \"finished\"\nclass = \"seatmap-build\"\nwithin_s = 120.0\nshare = 0.96\n\n[[deployment.objectives]]\nkind = \"finished\"\nclass = \"bot-screen\"\nwithin_s = 150.0\nshare = 0.96\n",
        report_s: 3.0,
        lease_s: 22.0,
        cancel_s: 52.0,
        write_rps: 60.0,
        cloud_rps: 6.0,
        list_lag_s: 3.0,
        core_share: 0.2,
        mem_mb: 136.0,
        sockets: 2500,
        kinds: vec![
            Kind { sku: "polder-8", cpus: 8.0, ram_gb: 32.0, fetch: 0.12, hourly: 0.55, spot_price: 0.14, startup_s: 50.0, zones: zones.clone() },
            Kind { sku: "dijk-32", cpus: 32.0, ram_gb: 128.0, fetch: 0.15, hourly: 2.32, spot_price: 0.6, startup_s: 20.0, zones: vec!["ehv-campus", "fra-cloud"] },
        ],
        zones,
    }
}

/// A job whose tasks fit the larger machine type alone loses its machine. The smaller machines
/// that are there have free CPUs, but none has room for such a task.
fn large_tasks(folder: PathBuf) -> ! {
    let mut capacity = Vec::new();
    for (zone, polder, dijk) in [("ams-west", 5, 0), ("rtm-haven", 4, 0), ("ehv-campus", 5, 2), ("fra-cloud", 3, 2)] {
        capacity.extend([("polder-8", zone, true, polder), ("dijk-32", zone, true, dijk), ("dijk-32", zone, false, dijk / 2)]);
    }
    let w = World::new(&arena(), folder, &capacity, 1.5);
    w.wait_ready();
    let large = Job {
        herd: "bot-screen",
        crew: "fanguard",
        rank: "urgent",
        cpus: 4.0,
        ram_gb: 48.0,
        pull_gb: 0.1,
        ..tiles("wk-000301")
    };
    w.submit(&large);
    if w.wait_started(large.id, 2, 30.0).is_none() {
        w.give_up("the large tasks didn't start");
    }
    let machine = w.machine_of(large.id).unwrap_or_default();
    let others = Job { herd: "seatmap-build", crew: "boxoffice", tasks: 3, cpus: 5.0, ram_gb: 15.0, kinds: Some("polder-8"), image: "img-02", run_s: 200.0, ..large.clone() };
    let others = Job { id: "wk-000302", ..others };
    w.submit(&others);
    if w.wait_started(others.id, 3, 40.0).is_none() {
        w.give_up("the other tasks didn't start");
    }
    sleep(0.5);
    let taken_at = now_s();
    if w.trouble {
        w.cloud.take_back(&machine);
    }
    let bound_s = 90.0;
    let again = w.wait_started(large.id, 3, taken_at + bound_s);
    let (status, gait) = w.poll(large.id);
    let asked = w.cloud.rentals.lock().unwrap().iter().filter(|r| r.0 > taken_at && r.1 == "dijk-32").count();
    let broken = (w.trouble && again.is_none()).then(|| {
        format!("{} lost its machine at {taken_at:.1} and no task of it had started again {bound_s} s later ({status} {gait}); rentals of dijk-32 asked for: {asked}, of which the cloud has 5 left", large.id)
    });
    if !w.trouble && gait != "running" && gait != "done" {
        w.verdict("an accepted job must run", Some(format!("{} is {gait}", large.id)));
    }
    w.verdict("an accepted job must run", broken)
}

/// A job loses its spot machine when the cloud takes it back, and there are no more spot machines.
/// The machine that stays is full of a service, which never ends.
fn beside_a_service(folder: PathBuf) -> ! {
    let mut capacity = vec![("mesquite-32", "austin-rack", true, 1)];
    for zone in ["austin-rack", "lubbock-colo", "houston-cloud"] {
        capacity.push(("mesquite-32", zone, false, 6));
    }
    let w = World::new(&lonestar(), folder, &capacity, 1.5);
    w.wait_ready();
    let service = Job { herd: "viewer", crew: "recordsroom", breed: "standing", tasks: 7, cpus: 4.0, ram_gb: 8.0, strays: false, guess_s: 0.0, run_s: 1e6, ..tiles("wk-000401") };
    w.submit(&service);
    if w.wait_started(service.id, 7, 30.0).is_none() {
        w.give_up("the service didn't start");
    }
    let job = Job { tasks: 2, cpus: 8.0, ..tiles("wk-000402") };
    w.submit(&job);
    if w.wait_started(job.id, 2, 45.0).is_none() {
        w.give_up("the job didn't start");
    }
    let machine = w.machine_of(job.id).unwrap_or_default();
    sleep(0.5);
    let taken_at = now_s();
    if w.trouble {
        w.cloud.take_back(&machine);
    }
    let bound_s = 90.0;
    let again = w.wait_started(job.id, 3, taken_at + bound_s);
    let (status, gait) = w.poll(job.id);
    let asked = w.cloud.rentals.lock().unwrap().iter().filter(|r| r.0 > taken_at && !r.3).count();
    if !w.trouble && gait != "running" && gait != "done" {
        w.verdict("an accepted job must run", Some(format!("{} is {gait}", job.id)));
    }
    let broken = (w.trouble && again.is_none()).then(|| {
        format!("{} lost its machine at {taken_at:.1} and no task of it had started again {bound_s} s later ({status} {gait}); ordinary machines asked for: {asked}, of which the cloud has 17 left", job.id)
    });
    w.verdict("an accepted job must run", broken)
}

/// A job is cancelled while the state service refuses the leader alone; a second later the state
/// service is out for longer than `cancel_s`. Then the job that waits for the cancelled one must
/// not be called queued any more.
fn orphan(folder: PathBuf) -> ! {
    let site = lonestar();
    let capacity = [("mesquite-32", "austin-rack", true, 2), ("mesquite-32", "lubbock-colo", true, 2)];
    let w = World::new(&site, folder, &capacity, 1.5);
    let leader = w.wait_ready();
    let first = tiles("wk-000501");
    let second = Job { waits_on: Some(first.id), rank: "urgent", ..tiles("wk-000502") };
    w.submit(&first);
    w.submit(&second);
    if w.wait_started(first.id, 2, 25.0).is_none() {
        w.give_up("the first job didn't start");
    }
    // All controllers know that all are of this version.
    sleep_until(12.0);
    if w.trouble {
        w.record.line(&format!("DISRUPTION the state service refuses {} alone", LABELS[leader]));
        w.state.modes[leader].store(REFUSE, Ordering::SeqCst);
        sleep(0.3);
    }
    let cancelled_at = w.cancel(Some((leader + 1) % LABELS.len()), first.id);
    if w.trouble {
        sleep(0.7);
        w.record.line("DISRUPTION the state service is out");
        w.state.outage(true);
    }
    // Users go on asking, all the time, at all controllers.
    let end_at = cancelled_at + site.cancel_s + 2.0;
    let mut late = Vec::new();
    let ask = |late: &mut Vec<(f64, usize, String)>| {
        for node in 0..LABELS.len() {
            let sent = now_s();
            let (status, body) = w.ask(Some(node), "GET", &format!("/submissions/{}", second.id), None, 2.0);
            let gait = body.get("gait").text().to_string();
            if status == 200 && (gait == "queued" || gait == "running") && sent > cancelled_at + site.cancel_s {
                late.push((sent - cancelled_at, node, gait));
            }
        }
    };
    while now_s() < end_at {
        ask(&mut late);
        sleep(5.0f64.min(end_at - now_s()));
    }
    if w.trouble {
        w.record.line("the state service is back");
        w.state.outage(false);
    }
    let until = now_s() + 12.0;
    while now_s() < until {
        ask(&mut late);
        sleep(0.1);
    }
    let broken = late.first().map(|(after, node, gait)| {
        format!("{} was called {gait} by {} {after:.1} s after its user was told that the job before it is cancelled; {} such answers in all, the last after {:.1} s", second.id, LABELS[*node], late.len(), late[late.len() - 1].0)
    });
    w.verdict("orphaned", broken)
}

/// A job bound to a zone loses its machine. Another machine of that zone has room, but is being
/// emptied, since machines of other zones have enough free CPUs.
fn beside_a_drained_machine(folder: PathBuf) -> ! {
    let capacity = [("mesquite-32", "austin-rack", true, 1)];
    let w = World::new(&lonestar(), folder, &capacity, 1.5);
    w.wait_ready();
    // A long task and a short one fill the first machine.
    let long = Job { tasks: 1, cpus: 4.0, run_s: 200.0, guess_s: 200.0, ..tiles("wk-000601") };
    let short = Job { tasks: 1, cpus: 28.0, run_s: 9.0, ..tiles("wk-000602") };
    w.submit(&long);
    w.submit(&short);
    if w.wait_started(long.id, 1, 20.0).is_none() || w.wait_started(short.id, 1, 20.0).is_none() {
        w.give_up("the first jobs didn't start");
    }
    w.cloud.set_capacity("mesquite-32", "austin-rack", true, 2);
    w.cloud.set_capacity("mesquite-32", "lubbock-colo", true, 1);
    let bound = Job { tasks: 1, cpus: 4.0, run_s: 200.0, guess_s: 200.0, zone: Some("austin-rack"), ..tiles("wk-000603") };
    w.submit(&bound);
    if w.wait_started(bound.id, 1, 30.0).is_none() {
        w.give_up("the bound job didn't start");
    }
    let elsewhere = Job { tasks: 1, cpus: 8.0, run_s: 200.0, guess_s: 200.0, zone: Some("lubbock-colo"), ..tiles("wk-000604") };
    w.submit(&elsewhere);
    if w.wait_started(elsewhere.id, 1, 35.0).is_none() || w.machine_of(bound.id) == w.machine_of(long.id) {
        w.give_up("the jobs didn't spread");
    }
    let roomy = w.machine_of(long.id).unwrap_or_default();
    while !w.has_ended(short.id) {
        sleep(0.1);
    }
    sleep(8.0);
    let stopped_at = now_s();
    if w.trouble {
        w.cloud.stop_machine(&w.machine_of(bound.id).unwrap_or_default());
    }
    let bound_s = 90.0;
    let again = w.wait_started(bound.id, 2, stopped_at + bound_s);
    let (status, gait) = w.poll(bound.id);
    let runs = w.cloud.is_up(&roomy);
    let broken = (w.trouble && again.is_none() && runs).then(|| {
        format!("{} lost its machine at {stopped_at:.1} and no task of it had started again {bound_s} s later ({status} {gait}), while {roomy} in its zone was up with 28 CPUs free", bound.id)
    });
    w.verdict("no job is left waiting for 90 s while a machine that fits has room", broken)
}

/// A job of the lowest priority finds a machine with room, but the room is kept for a job that is
/// bound to another zone, in which the cloud has no machine left.
fn kept_free(folder: PathBuf) -> ! {
    let capacity = [("mesquite-32", "austin-rack", true, 1), ("mesquite-32", "lubbock-colo", true, 1)];
    let mut site = lonestar();
    // The guest team of the -ops page, without a guarantee.
    site.teams.push(("floodplain-lab", 0.0, 0.0));
    let w = World::new(&site, folder, &capacity, 1.5);
    w.wait_ready();
    let elsewhere = Job { tasks: 1, cpus: 4.0, run_s: 200.0, guess_s: 200.0, zone: Some("lubbock-colo"), ..tiles("wk-000701") };
    w.submit(&elsewhere);
    let bound = Job { tasks: 16, zone: Some("austin-rack"), ..tiles("wk-000702") };
    w.submit(&bound);
    if w.wait_started(elsewhere.id, 1, 25.0).is_none() || w.wait_started(bound.id, 16, 30.0).is_none() {
        w.give_up("the first jobs didn't start");
    }
    let (machine, roomy) = (w.machine_of(bound.id).unwrap_or_default(), w.machine_of(elsewhere.id).unwrap_or_default());
    if w.trouble {
        w.cloud.stop_machine(&machine);
    }
    while w.trouble && !w.cloud.is_gone(&machine) {
        if now_s() > 24.0 {
            w.give_up("the stopped machine wasn't returned");
        }
        sleep(0.05);
    }
    sleep(1.0);
    let low = Job { herd: "elevation-backfill", crew: "floodplain-lab", rank: "low", tasks: 1, run_s: 5.0, guess_s: 20.0, ..tiles("wk-000703") };
    let accepted = w.submit(&low);
    let bound_s = 90.0;
    let started = w.wait_started(low.id, 1, accepted + bound_s);
    let (status, gait) = w.poll(low.id);
    let broken = (started.is_none() && w.cloud.is_up(&roomy)).then(|| {
        format!("{} was accepted at {accepted:.1} and had not started {bound_s} s later ({status} {gait}), while {roomy} was up with 28 CPUs free", low.id)
    });
    w.verdict("no job is left waiting for 90 s while a machine that fits has room", broken)
}

/// A task saves and leaves a machine that is to be taken back, and goes on elsewhere. A copy of
/// the direct command that had started it then arrives at the first machine.
fn copied_start(folder: PathBuf) -> ! {
    let capacity = [("mesquite-32", "austin-rack", true, 3), ("mesquite-32", "lubbock-colo", true, 3)];
    let w = World::new(&lonestar(), folder, &capacity, 1.5);
    w.wait_ready();
    let job = Job { herd: "deed-match", crew: "recordsroom", tasks: 1, cpus: 4.0, ram_gb: 13.0, run_s: 60.0, brand_s: 15.0, stow_s: 3.0, ..tiles("wk-000801") };
    w.submit(&job);
    if w.wait_started(job.id, 1, 25.0).is_none() {
        w.give_up("the job didn't start");
    }
    let first = w.machine_of(job.id).unwrap_or_default();
    sleep(2.0);
    w.cloud.announce(&first, 22.0);
    let Some(moved_at) = w.wait_started(job.id, 2, now_s() + 18.0) else {
        w.give_up("the task didn't move");
    };
    let second = w.machine_of(job.id).unwrap_or_default();
    sleep_until(moved_at + 1.2);
    if w.trouble {
        let status = w.cloud.repeat_start(&first, job.id);
        w.record.line(&format!("worker {first} answered the copy: {status:?}"));
    }
    sleep(4.0);
    // On a machine from `start` to any other event.
    let mut on: Vec<(String, f64)> = Vec::new();
    let mut broken = None;
    for e in w.platform.events.lock().unwrap().iter().filter(|e| e.job == job.id) {
        if e.what == "start" {
            if let Some((machine, since)) = on.iter().find(|o| o.0 != e.machine) {
                broken = Some(format!("{}/{} started on {} at {:.2} while it was on {machine}, since {since:.2}", e.job, e.index, e.machine, e.at));
            }
            on.push((e.machine.clone(), e.at));
        } else {
            on.retain(|o| o.0 != e.machine);
        }
    }
    w.record.line(&format!("first machine {first}, second {second}"));
    w.verdict("ran_twice", broken)
}

/// Beside case 4: the copy starts a task of a cancelled job, later than `cancel_s` after its user
/// was told.
fn copied_start_of_a_cancelled_job(folder: PathBuf) -> ! {
    let site = lonestar();
    let w = World::new(&site, folder, &[("mesquite-32", "austin-rack", true, 1)], 1.5);
    w.wait_ready();
    let (stays, job) = (Job { run_s: 200.0, ..tiles("wk-000811") }, Job { tasks: 1, crew: "recordsroom", ..tiles("wk-000812") });
    w.submit(&stays);
    w.submit(&job);
    if w.wait_started(stays.id, 2, 25.0).is_none() || w.wait_started(job.id, 1, 25.0).is_none() {
        w.give_up("the jobs didn't start");
    }
    let machine = w.machine_of(job.id).unwrap_or_default();
    let told_at = w.cancel(None, job.id);
    sleep_until(told_at + site.cancel_s + 1.0);
    if w.trouble {
        w.cloud.repeat_start(&machine, job.id);
    }
    sleep(3.0);
    let events = w.platform.events.lock().unwrap().clone();
    let late = events.iter().find(|e| e.job == job.id && e.what == "start" && e.at > told_at + site.cancel_s);
    let broken = late.map(|e| format!("{}/{} started on {} {:.1} s after its user was told that it is cancelled", e.job, e.index, e.machine, e.at - told_at));
    w.verdict("ran_cancelled", broken)
}

/// The only machine that the cloud has in a zone fails every task that it starts, for a few seconds.
/// Then it is well again, and the jobs that are bound to the zone must run.
fn well_again(folder: PathBuf) -> ! {
    let mut capacity = vec![("dijk-32", "fra-cloud", false, 1), ("dijk-32", "ehv-campus", true, 2), ("dijk-32", "ehv-campus", false, 1)];
    for (zone, polder) in [("ams-west", 5), ("rtm-haven", 4), ("ehv-campus", 5)] {
        capacity.extend([("polder-8", zone, true, polder), ("polder-8", zone, false, polder)]);
    }
    let w = World::new(&arena(), folder, &capacity, 1.5);
    w.wait_ready();
    let service = Job { herd: "viewer", crew: "venueops", breed: "standing", tasks: 1, cpus: 4.0, strays: false, zone: Some("fra-cloud"), guess_s: 0.0, run_s: 1e6, pull_gb: 0.1, ..tiles("wk-000901") };
    w.submit(&service);
    if w.wait_started(service.id, 1, 30.0).is_none() {
        w.give_up("the service didn't start");
    }
    let machine = w.machine_of(service.id).unwrap_or_default();
    sleep(1.0);
    let for_s = 12.0;
    if w.trouble {
        w.cloud.make_sick(&machine, for_s);
    }
    let over_at = now_s() + for_s;
    let ids = ["wk-000902", "wk-000903", "wk-000904", "wk-000905"];
    for id in ids {
        w.submit(&Job { herd: "seatmap-build", crew: "boxoffice", tasks: 1, cpus: 2.0, ram_gb: 4.9, guess_s: 9.0, run_s: 9.0, image: "img-02", pull_gb: 0.1, zone: Some("fra-cloud"), ..tiles(id) });
    }
    sleep_until(over_at);
    w.record.line("the machine is well again");
    let bound_s = 90.0;
    let done = |w: &World| ids.iter().filter(|id| w.platform.done.lock().unwrap().contains(&(id.to_string(), 0))).count();
    while done(&w) < ids.len() && now_s() < over_at + bound_s {
        sleep(0.1);
    }
    let mut states = Vec::new();
    for id in ids {
        states.push(format!("{id} {}", w.poll(id).1));
    }
    let began = w.platform.events.lock().unwrap().iter().filter(|e| e.what == "start" && ids.contains(&e.job.as_str()) && e.at > over_at).count();
    let broken = (done(&w) < ids.len() && w.cloud.is_up(&machine)).then(|| {
        format!("{} jobs that had failed on {machine} were not done {bound_s} s after it was well again ({}); tasks started there since: {began}; it was up with 28 CPUs free", ids.len() - done(&w), states.join(", "))
    });
    w.verdict("no job is left waiting for 90 s while a machine that fits has room", broken)
}

pub fn play(case: &str, folder: PathBuf) -> ! {
    match case {
        "bound" => behind_a_bound_job(folder),
        "large" => large_tasks(folder),
        "service" => beside_a_service(folder),
        "orphan" => orphan(folder),
        "drained" => beside_a_drained_machine(folder),
        "kept" => kept_free(folder),
        "copy" => copied_start(folder),
        "copy-cancelled" => copied_start_of_a_cancelled_job(folder),
        "well" => well_again(folder),
        "stale" => stale_answers(folder),
        _ => {
            eprintln!("no case {case}");
            exit(2)
        }
    }
}
