//! The platform's and the operators' settings: accepted and refused files.

mod common;

use cherrywood_node::settings::Settings;
use common::EXAMPLE;

#[test]
fn invalid_platform_file_gives_one_line_that_names_the_field() {
    assert!(Settings::parse_platform(EXAMPLE).is_ok());
    for (from, to, field) in [
        ("label = \"n0\"\n", "", "label"),
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ("sockets = 700", "sockets = \"many\"", "string"),
        ("txn_ops = 48", "txn_ops = 1", "txn_ops"),
        (
            "txn_ops = 48",
            "txn_ops = 48\nnext = { txn_ops = 2 }",
            "state.next.txn_ops",
        ),
        (
            "txn_ops = 48",
            "txn_ops = 48\nnext = { value_kb = 0.0 }",
            "state.next.value_kb",
        ),
    ] {
        let err = Settings::parse_platform(&EXAMPLE.replacen(from, to, 1))
            .unwrap_err()
            .to_string();
        assert!(err.contains(field) && !err.contains('\n'), "{err}");
    }
}

/// The settings may announce some, all or none of the key-value store's later limits. From the
/// start, the smaller of the present and the later limit is observed.
#[test]
fn next_limits_may_be_partial_or_absent() {
    let kept = |next: &str| {
        let text = EXAMPLE.replacen("txn_ops = 48", &format!("txn_ops = 48\n{next}"), 1);
        let k = Settings::parse_platform(&text)
            .unwrap()
            .deployment
            .cluster
            .state;
        let k = k.conservative_limits();
        (k.rps, k.write_rps, k.value_bytes, k.txn_changes)
    };
    assert_eq!(kept(""), (200.0, 80.0, 32 * 1024, 48));
    assert_eq!(kept("next = {}"), (200.0, 80.0, 32 * 1024, 48));
    let partial = kept("next = { value_kb = 2.0, write_rps = 56.0, later = 1 }");
    assert_eq!(partial, (200.0, 56.0, 2048, 48));
    let larger = kept("next = { rps = 900.0, txn_ops = 16 }");
    assert_eq!(larger, (200.0, 80.0, 32 * 1024, 16));
}

/// A guest team has no guarantee and no limit. If a limit of 0 were taken literally, every job of
/// the guest team would be refused with 422.
#[test]
fn team_limit_of_zero_or_none_is_unlimited() {
    for (given, want) in [
        ("cpus_max = 16.0", 16.0),
        ("cpus_max = 0.0", f64::INFINITY),
        ("", f64::INFINITY),
    ] {
        let p = Settings::parse_platform(&EXAMPLE.replacen("cpus_max = 16.0", given, 1)).unwrap();
        let team = &p.deployment.cluster.teams[0];
        assert_eq!((team.cpus_max, team.gpus_max), (want, f64::INFINITY));
    }
}

#[test]
fn mistakes_in_the_operators_file_are_errors() {
    let read = |text| Settings::parse_operator("op.yaml", text);
    assert!(read("cheap_only: true").unwrap().cheap_only);
    assert!(!read("").unwrap().cheap_only);
    for (text, parts) in [
        ("cheap_onyl: true", ["line 1", "cheap_onyl"]),
        (
            "cheap_only: true\nlog_level: loud",
            ["line 2, log_level", "found loud"],
        ),
    ] {
        let err = read(text).unwrap_err().to_string();
        assert!(parts.iter().all(|p| err.contains(p)), "{err}");
    }
}
