//! The commands for simulations, through the command line.

use rustix::process::{Pid, Signal, kill_process};
use std::io::Write as _;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

fn cherrywood(args: &[&str]) -> Command {
    let mut c = Command::new(env!("CARGO_BIN_EXE_cherrywood"));
    c.args(args).stdin(Stdio::null());
    c
}

fn run(args: &[&str]) -> (i32, String, String) {
    exit_code_and_output(cherrywood(args).output().unwrap())
}

/// Returns exit code, standard output and standard error.
fn exit_code_and_output(o: Output) -> (i32, String, String) {
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (
        o.status.code().unwrap_or(-1),
        text(o.stdout),
        text(o.stderr),
    )
}

fn write_file(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::File::create(&path)
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    path.display().to_string()
}

/// A scenario of short tasks on machines that boot within a second.
const SHORT: &str = r"
name: short
play_s: 15
settle_s: 60
deployment:
  node: {restart_s: 1}
  workers: {report_s: 0.5, lease_s: 6, cancel_s: 20}
  machine_types:
    - {name: c8, cpus: 8, ram_gb: 32, price: 0.6, spot_price: 0.2, boot_s: 1, boot_late: 0, boot_never: 0}
  capacity:
    - {type: c8, zone: north, count: 2, spot: 4}
    - {type: c8, zone: south, count: 2, spot: 4}
workload:
  poll_s: 1
  classes:
    - {name: tiles, team: day, per_minute: 60, tasks: {median: 4, most: 8}, run_s: {median: 2, most: 4}, images: {count: 2, gb: {median: 0.1}}}
troubles:
  - node_crash: {at_s: 10, who: leader}
";

/// A search plays every seed, and prints each seed that failed with the command that plays it.
#[test]
fn a_search_counts_its_scenarios_and_names_the_seeds_that_failed() {
    let dir = tempfile::tempdir().unwrap();
    let good = write_file(dir.path(), "good.yaml", SHORT);
    let (code, out, err) = run(&["simulate", &good, "--search", "3", "--seed", "5"]);
    assert_eq!(code, 0, "{out}{err}");
    assert!(
        out.contains("3 of 3 scenarios played") && out.contains(" 0 not good"),
        "{out}"
    );
    let early = SHORT.replace("settle_s: 60", "settle_s: 0");
    let bad = write_file(dir.path(), "bad.yaml", &early);
    let (code, out, _) = run(&["simulate", &bad, "--search", "2", "--seed", "5"]);
    assert_eq!(code, 1, "{out}");
    let is_named = |seed: &str| {
        out.lines()
            .any(|l| l.starts_with(&format!("seed {seed}: settled ")))
    };
    assert!(is_named("5") || is_named("6"), "{out}");
    assert!(!out.contains(" 0 not good"), "{out}");
    let (code, _, err) = run(&["simulate", &good, "--search", "0"]);
    assert_eq!((code, err.lines().count()), (2, 1), "{err}");
}

#[test]
fn the_default_scenario_settles_every_job_and_writes_its_reports() {
    let dir = tempfile::tempdir().unwrap();
    let out = dir.path().join("out").display().to_string();
    let (code, stdout, stderr) = run(&["simulate", "--report", &out]);
    let last = stdout.lines().last().unwrap();
    assert_eq!(code, 0, "{stdout}{stderr}");
    assert!(
        last.starts_with("settled ") && last.contains("rules broken 0, digest "),
        "{last}"
    );
    // The digest is the hash of the history file, so that it can be verified.
    let history = std::fs::read(dir.path().join("out/history.jsonl")).unwrap();
    assert!(last.ends_with(&blake3::hash(&history).to_hex()[..16]));
    let page = std::fs::read_to_string(dir.path().join("out/report.html")).unwrap();
    assert!(page.contains("<svg") && page.contains(last) && !page.contains("http://cdn"));
    let report = std::fs::read_to_string(dir.path().join("out/report.json")).unwrap();
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    assert_eq!(report["good"], true);
    assert!(report["timeline"]["points"].as_array().unwrap().len() > 50);
}

#[test]
fn a_trace_shows_each_step_of_a_job_across_controllers() {
    let dir = tempfile::tempdir().unwrap();
    let scenario = write_file(dir.path(), "short.yaml", SHORT);
    let out = dir.path().display().to_string();
    run(&["simulate", &scenario, "--report", &out]);
    let history = std::fs::read_to_string(dir.path().join("history.jsonl")).unwrap();
    let at = history.find("\"id\":\"wk-").unwrap();
    let id = &history[at + 6..at + 15];
    let (code, stdout, _) = run(&["simulate", &scenario, "--trace", id]);
    assert_eq!(code, 0);
    for step in [
        "submits",
        "submission{job=",
        "tasks queued",
        "placed",
        "written to the ledger",
        "start sent",
        "runs wk-",
        "exited",
        "final state write in flight",
        "200 Done",
    ] {
        assert!(stdout.contains(step), "{step:?} not in\n{stdout}");
    }
    let (_, _, stderr) = run(&["simulate", &scenario, "--trace", "wk-0"]);
    assert!(stderr.contains("no job wk-0"), "{stderr}");
}

#[test]
fn invalid_input_exits_with_code_2_and_one_line() {
    let dir = tempfile::tempdir().unwrap();
    let at = |name: &str, text: &str| write_file(dir.path(), name, text);
    let zero = at(
        "zero.yaml",
        "name: n\nplay_s: 60\ndeployment:\n  controllers: 0\n",
    );
    let late = at(
        "late.yaml",
        "name: n\nplay_s: 60\ntroubles:\n  - node_crash: {at_s: 70}\n",
    );
    let big = at(
        "big.yaml",
        "name: n\nplay_s: 60\nworkload:\n  classes:\n    - {name: w, cpus: 99}\n",
    );
    let arms = at(
        "e.yaml",
        "name: e\nseeds: 1\nagainst: x\narms: {a: {}, b: {}}\nscenario: {name: n, play_s: 60}\n",
    );
    let (op, blocked) = (at("op.yaml", "cheap_onyl: true"), at("blocked", ""));
    let below = format!("{blocked}/out");
    let cases: [(&[&str], &[&str]); 10] = [
        (&["simulate", "no-such.yaml"], &["no-such.yaml"]),
        (&["rehearse", "no-such.yaml"], &["no-such.yaml"]),
        (
            &["simulate", &zero],
            &["zero.yaml, line 4", "controllers", "found 0"],
        ),
        (
            &["simulate", &late],
            &["late.yaml, line 4", "after the end of play"],
        ),
        (
            &["simulate", &big],
            &["big.yaml, line 5", "fits no machine type"],
        ),
        (&["simulate", "--report", &below], &["report directory"]),
        (&["simulate", "--scale", "0"], &["--scale", "found 0"]),
        (&["simulate", "--play", "5"], &["--play", "found 5"]),
        (
            &["simulate", "--operator", &op],
            &["op.yaml, line 1", "cheap_onyl"],
        ),
        (&["experiment", &arms], &["against", "found x", "a, b"]),
    ];
    for (args, parts) in cases {
        let (code, _, stderr) = run(args);
        assert_eq!((code, stderr.lines().count()), (2, 1), "{args:?}: {stderr}");
        assert!(
            parts.iter().all(|p| stderr.contains(p)),
            "{args:?}: {stderr}"
        );
    }
}

#[test]
fn each_file_format_has_a_schema() {
    for (which, part) in [
        ("scenario", "state_outage"),
        ("night", "state_outage"),
        ("experiment", "against"),
        ("operator", "cheap_only"),
    ] {
        let (code, stdout, _) = run(&["schema", which]);
        let schema: serde_json::Value = serde_json::from_str(&stdout).unwrap();
        assert_eq!((code, schema["type"].as_str()), (0, Some("object")));
        assert!(stdout.contains(part));
    }
}

/// Ports of a scenario with two more controllers than any test uses.
const PORTS: u16 = 16;

/// Returns the first of `PORTS` consecutive ports that are free at present, searching from `from`.
fn free_ports(from: u16) -> u16 {
    let is_free =
        |base: &u16| (*base..*base + PORTS).all(|p| TcpListener::bind(("127.0.0.1", p)).is_ok());
    (from..from + 2000)
        .step_by(usize::from(PORTS))
        .find(is_free)
        .unwrap()
}

#[test]
fn real_processes_settle_a_scenario_in_which_the_leader_is_killed() {
    let dir = tempfile::tempdir().unwrap();
    let scenario = write_file(dir.path(), "short.yaml", SHORT);
    let port = free_ports(23_000).to_string();
    let (code, stdout, stderr) = run(&["simulate", &scenario, "--processes", "--port", &port]);
    assert_eq!(code, 0, "{stdout}{stderr}");
    assert!(stdout.lines().last().unwrap().contains("rules broken 0"));
    // A port in use is reported at once.
    let _port_in_use = TcpListener::bind(("127.0.0.1", port.parse().unwrap())).unwrap();
    let (code, _, stderr) = run(&["simulate", &scenario, "--processes", "--port", &port]);
    assert_eq!((code, stderr.lines().count()), (2, 1), "{stderr}");
    assert!(stderr.contains(&format!("127.0.0.1:{port}")), "{stderr}");
}

#[test]
fn an_interrupted_scenario_reports_its_results_and_leaves_no_process_behind() {
    let dir = tempfile::tempdir().unwrap();
    let scenario = write_file(dir.path(), "short.yaml", SHORT);
    let port = free_ports(26_000);
    let args = [
        "simulate",
        &scenario,
        "--processes",
        "--port",
        &port.to_string(),
    ];
    let child = cherrywood(&args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    std::thread::sleep(Duration::from_secs(4));
    let pid = Pid::from_raw(child.id().cast_signed()).unwrap();
    kill_process(pid, Signal::INT).unwrap();
    let (code, stdout, _) = exit_code_and_output(child.wait_with_output().unwrap());
    assert_eq!(code, 1, "{stdout}");
    assert!(stdout.contains("stopped   interrupted at"), "{stdout}");
    assert!(stdout.lines().last().unwrap().starts_with("settled "));
    assert_eq!(free_ports(port), port, "a controller is still running");
}
