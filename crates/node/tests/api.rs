//! Which status a request gets.

mod common;

use cherrywood_wire::encode;
use cherrywood_wire::user::{Kind, Submission};
use common::{ask, example as node, job, types};

#[test]
fn bad_submissions_are_400() {
    let node = node();
    node.core().types = types();
    let bad = |change: &dyn Fn(&mut Submission)| {
        let mut j = job("wk-000001", &[]);
        change(&mut j);
        ask(&node, "POST", "/submissions", encode(&j)).status
    };
    assert_eq!(bad(&|j| j.id = "000412".into()), 400);
    assert_eq!(bad(&|j| j.id = "wk-12x456".into()), 400);
    assert_eq!(bad(&|j| j.tasks = 0), 400);
    assert_eq!(bad(&|j| j.tasks = 100_001), 400);
    assert_eq!(bad(&|j| j.cpus = f64::NAN), 400);
    assert_eq!(bad(&|j| j.memory_gb = -1.0), 400);
    assert_eq!(bad(&|j| j.deadline_s = Some(f64::INFINITY)), 400);
    assert_eq!(bad(&|j| j.image.clear()), 400);
    let raw = |body: Vec<u8>| ask(&node, "POST", "/submissions", body).status;
    assert_eq!(raw(b"{\"name_id\":1}".to_vec()), 400, "not MessagePack");
    assert_eq!(raw(vec![0x91, 0x01]), 400, "not a map");
    assert_eq!(raw(vec![0x80]), 400, "fields missing");
    assert_eq!(raw(vec![]), 400);
    let mut wrong_type = encode(&job("wk-000001", &[]));
    let at = wrong_type.windows(6).position(|w| w == b"chores").unwrap() + 6;
    wrong_type[at] = 0xc0;
    assert_eq!(raw(wrong_type), 400);
    let mut trailing = encode(&job("wk-000001", &[]));
    trailing.push(0);
    assert_eq!(raw(trailing), 400);
}

#[test]
fn impossible_jobs_are_422_and_undecidable_ones_503() {
    let node = node();
    let send = |j: &Submission| ask(&node, "POST", "/submissions", encode(j));
    let answer = send(&job("wk-000001", &[]));
    assert_eq!(
        (answer.status, answer.retry_after_s),
        (503, Some(1)),
        "types unknown"
    );
    node.core().types = types();
    assert_eq!(
        send(&Submission {
            team: "x".into(),
            ..job("wk-000001", &[])
        })
        .status,
        422
    );
    assert_eq!(
        send(&Submission {
            cpus: 9.0,
            ..job("wk-000001", &[])
        })
        .status,
        422
    );
    assert_eq!(
        send(&Submission {
            types: Some(vec!["y".into()]),
            ..job("wk-000001", &[])
        })
        .status,
        422
    );
    let service = Submission {
        kind: Kind::Service,
        tasks: 9,
        ..job("wk-000001", &[])
    };
    assert_eq!(send(&service).status, 422, "18 of 16 CPUs");
}

#[test]
fn unknown_paths_and_methods() {
    let node = node();
    assert_eq!(ask(&node, "GET", "/nothing", vec![]).status, 404);
    assert_eq!(ask(&node, "GET", "/submissions", vec![]).status, 405);
    assert_eq!(
        ask(&node, "DELETE", "/submissions/wk-000001", vec![]).status,
        405
    );
    assert_eq!(
        ask(&node, "GET", "/submissions/wk-000001/cancel", vec![]).status,
        405
    );
    assert_eq!(ask(&node, "GET", "/submissions/what", vec![]).status, 404);
    assert_eq!(ask(&node, "POST", "/agent/beat", vec![0x80]).status, 400);
    assert_eq!(
        ask(&node, "GET", "/healthz", vec![]).status,
        503,
        "no state contact yet"
    );
}
