//! HTTP status of the response to each request.

mod common;

use cherrywood_net::connection_pool::ConnectionClass;
use cherrywood_net::server::Request;
use cherrywood_node::api::connection_class;
use cherrywood_wire::encode;
use cherrywood_wire::user::{JobKind, Submission};
use common::{TestCluster, example, job, request, run, types};

#[test]
fn malformed_submissions_are_400() {
    run(async {
        let cluster = TestCluster::single().await;
        let post = async |body| cluster.post("/submissions", body).await.status;
        let changed = async |change: &dyn Fn(&mut Submission)| {
            let mut j = job("wk-000001", &[]);
            change(&mut j);
            post(encode(&j)).await
        };
        assert_eq!(changed(&|j| j.id = "000412".into()).await, 400);
        assert_eq!(changed(&|j| j.id = "wk-12x456".into()).await, 400);
        assert_eq!(changed(&|j| j.tasks = 0).await, 400);
        assert_eq!(changed(&|j| j.tasks = 100_001).await, 400);
        assert_eq!(changed(&|j| j.cpus = f64::NAN).await, 400);
        assert_eq!(changed(&|j| j.memory_gb = -1.0).await, 400);
        assert_eq!(changed(&|j| j.deadline_s = Some(f64::INFINITY)).await, 400);
        assert_eq!(changed(&|j| j.image.clear()).await, 400);
        assert_eq!(post(b"{\"name_id\":1}".to_vec()).await, 400, "JSON");
        assert_eq!(post(vec![0x91, 0x01]).await, 400, "not a map");
        assert_eq!(post(vec![0x80]).await, 400, "fields missing");
        assert_eq!(post(vec![]).await, 400);
        let mut wrong_type = encode(&job("wk-000001", &[]));
        let at = wrong_type.windows(6).position(|w| w == b"chores").unwrap() + 6;
        wrong_type[at] = 0xc0;
        assert_eq!(post(wrong_type).await, 400);
        let mut trailing = encode(&job("wk-000001", &[]));
        trailing.push(0);
        assert_eq!(post(trailing).await, 400);
    });
}

#[test]
fn infeasible_jobs_are_422_and_undecidable_ones_503() {
    run(async {
        let cluster = TestCluster::single().await;
        let possible = job("wk-000001", &[]);
        let post = async |j: &Submission| cluster.post("/submissions", encode(j)).await;
        cluster.node.lock_state().machine_types.clear();
        let response = post(&possible).await;
        let refusal = (response.status, response.retry_after_s);
        assert_eq!(refusal, (503, Some(1)), "machine types unknown");
        cluster.node.lock_state().machine_types = types();
        let unknown_team = Submission {
            team: "x".into(),
            ..possible.clone()
        };
        assert_eq!(post(&unknown_team).await.status, 422);
        let too_large = Submission {
            cpus: 9.0,
            ..possible.clone()
        };
        assert_eq!(post(&too_large).await.status, 422);
        let unknown_machine_type = Submission {
            machine_types: Some(vec!["y".into()]),
            ..possible.clone()
        };
        assert_eq!(post(&unknown_machine_type).await.status, 422);
        let service = Submission {
            kind: JobKind::Service,
            tasks: 9,
            ..possible
        };
        assert_eq!(post(&service).await.status, 422, "18 of 16 CPUs");
    });
}

#[test]
fn unknown_paths_are_404_and_wrong_methods_405() {
    let node = example();
    assert_eq!(request(&node, "GET", "/nothing", vec![]).status, 404);
    assert_eq!(request(&node, "GET", "/submissions", vec![]).status, 405);
    assert_eq!(
        request(&node, "DELETE", "/submissions/wk-000001", vec![]).status,
        405
    );
    assert_eq!(
        request(&node, "GET", "/submissions/wk-000001/cancel", vec![]).status,
        405
    );
    assert_eq!(
        request(&node, "GET", "/submissions/what", vec![]).status,
        404
    );
    assert_eq!(
        request(&node, "POST", "/agent/beat", vec![0x80]).status,
        400
    );
    assert_eq!(
        request(&node, "GET", "/healthz", vec![]).status,
        503,
        "no contact with the key-value store yet"
    );
}

#[test]
fn heartbeats_and_health_checks_are_distinguished_from_users_requests() {
    let class = |method: &str, path: &str| {
        connection_class(&Request {
            method: method.into(),
            path: path.into(),
            body: Vec::new(),
        })
    };
    assert_eq!(class("POST", "/agent/beat"), ConnectionClass::Worker);
    assert_eq!(class("GET", "/healthz"), ConnectionClass::Worker);
    assert_eq!(class("GET", "/healthz?from=lb"), ConnectionClass::Worker);
    assert_eq!(class("POST", "/submissions"), ConnectionClass::User);
    assert_eq!(
        class("GET", "/submissions/wk-000001"),
        ConnectionClass::User
    );
    let cancel = class("POST", "/submissions/wk-000001/cancel");
    assert_eq!(cancel, ConnectionClass::User);
    assert_eq!(class("GET", "/"), ConnectionClass::User);
}
