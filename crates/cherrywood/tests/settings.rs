//! Settings that the daemon rejects at its start, through the command line.

use std::process::{Command, Output, Stdio};

/// Returns the settings file of the platform with these leases.
fn platform_settings(lease_s: f64, cancel_s: f64) -> String {
    format!(
        r#"
label = "n0"
zone = "z0"
serve_on = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
services = {{ cloud = "127.0.0.1:9", state = "127.0.0.1:9" }}
[deployment]
nodes = 1
teams = [{{ name = "t" }}]
workers = {{ report_s = 1.0, lease_s = {lease_s:?}, cancel_s = {cancel_s:?} }}
state = {{ rps = 200.0, write_rps = 80.0, value_kb = 32.0, txn_ops = 48 }}
cloud = {{ rps = 3.0, list_lag_s = 10.0 }}
limits = {{ sockets = 700 }}
"#
    )
}

/// Runs the daemon with these leases and `extra_args`.
fn run_daemon(lease_s: f64, cancel_s: f64, extra_args: &[&str]) -> Output {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("platform.toml");
    std::fs::write(&path, platform_settings(lease_s, cancel_s)).unwrap();
    Command::new(env!("CARGO_BIN_EXE_cherrywood"))
        .arg("--config")
        .arg(&path)
        .args(extra_args)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

/// A task of a job whose cancellation was confirmed may keep running for the sum of the validity of
/// a leader's view, a shard lease and a worker's lease. The service used to start with only a
/// warning when `cancel_s` was shorter than that.
#[test]
fn a_cancel_s_too_short_for_the_leases_is_rejected_in_one_line() {
    // If the settings are accepted the daemon exits by itself, because its standard input is
    // closed.
    for mode in [&["--check"], &["--until-stdin-ends"]] {
        for (lease_s, cancel_s) in [(10.0, 18.5), (10.0, 14.0), (22.0, 30.5), (15.25, 3.0)] {
            let out = run_daemon(lease_s, cancel_s, mode);
            let stderr = String::from_utf8(out.stderr).unwrap();
            assert_eq!(out.status.code(), Some(2), "{mode:?} {cancel_s}: {stderr}");
            assert_eq!(stderr.lines().count(), 1, "{stderr}");
            for part in [
                "deployment.workers.cancel_s",
                &format!("found {cancel_s}"),
                "allowed: at least",
                &format!("lease_s {lease_s}"),
            ] {
                assert!(stderr.contains(part), "{stderr}");
            }
        }
    }
}

/// Covers the leases of the known deployments of this service, and the minimum of `cancel_s`.
#[test]
fn a_cancel_s_long_enough_for_the_leases_is_accepted() {
    for (lease_s, cancel_s) in [(10.0, 40.0), (15.25, 45.25), (22.0, 52.0), (10.0, 18.52)] {
        let out = run_daemon(lease_s, cancel_s, &["--check"]);
        assert!(out.status.success(), "{lease_s} {cancel_s}: {out:?}");
    }
}
