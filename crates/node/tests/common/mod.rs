//! Helpers shared by the controller tests: settings, jobs, a cluster of controllers against one
//! key-value store with fault injection, and a stand-in for the leader.
#![allow(dead_code, unused_imports)]

mod cluster;
mod fake_leader;
mod store_faults;

pub use cluster::TestCluster;
pub use fake_leader::FakeLeader;
pub use store_faults::{FaultShares, StoreFaults};

use cherrywood_net::Runtime;
use cherrywood_net::server::{Request, Response};
use cherrywood_node::api;
use cherrywood_node::node::Node;
use cherrywood_node::settings::{Operator, Settings};
use cherrywood_store::ServiceLimits;
use cherrywood_wire::ErrorResponse;
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::decode;
use cherrywood_wire::user::{JobKind, JobStatus, Priority, Submission};
use std::time::Duration;

/// Settings of a controller whose key-value store and peer refuse connections.
pub const EXAMPLE: &str = r#"
label = "n0"
zone = "z0"
serve_on = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
future_field = 1
[[members]]
label = "n1"
zone = "z1"
endpoint = "127.0.0.1:9"
[services]
cloud = "127.0.0.1:9"
state = "127.0.0.1:9"
[deployment]
nodes = 2
zones = ["z0", "z1"]
[[deployment.teams]]
name = "t"
cpus = 8.0
cpus_max = 16.0
[deployment.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[deployment.state]
rps = 200.0
write_rps = 80.0
value_kb = 32.0
txn_ops = 48
[deployment.cloud]
rps = 3.0
list_lag_s = 10.0
[deployment.limits]
core_share = 0.16
mem_mb = 56.0
sockets = 700
"#;

/// Creates a controller with the settings of [`EXAMPLE`].
pub fn example() -> Node {
    node_with(EXAMPLE)
}

/// Creates a controller with these platform settings and the operators' defaults.
pub fn node_with(platform: &str) -> Node {
    let platform = Settings::parse_platform(platform).unwrap();
    let operator = Operator::default();
    Node::new(Runtime::native(), Settings { platform, operator })
}

/// Sends one request to a controller.
pub fn request(node: &Node, method: &str, path: &str, body: Vec<u8>) -> Response {
    let (method, path) = (method.to_string(), path.to_string());
    run(api::handle_request(node, Request { method, path, body }))
}

/// Limits of the key-value store, with high request rates.
pub fn allowed(value_kb: f64, txn_ops: usize) -> ServiceLimits {
    ServiceLimits {
        rps: 9000.0,
        write_rps: 9000.0,
        value_kb,
        txn_ops,
    }
}

/// One machine type, on which four tasks of [`job`] fit.
pub fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: None,
        boot_s: 30.0,
        zones: vec!["a".into()],
    }]
}

/// Status of a response, with the job's state or the reason of a refusal.
pub type StatusAndText = (u16, String);

/// The status of a response, with the job's state or the reason of a refusal.
pub fn status_and_text(response: &Response) -> StatusAndText {
    let state = decode::<JobStatus>(&response.body).map(|s| format!("{:?}", s.state));
    let why = decode::<ErrorResponse>(&response.body).map(|r| r.error);
    (response.status, state.or(why).unwrap_or_default())
}

/// An array of one task of team `t` with these dependencies.
pub fn job(id: &str, dependencies: &[&str]) -> Submission {
    Submission {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_over_zones: false,
        allow_spot: true,
        estimate_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
        dependencies: dependencies.iter().map(|d| (*d).to_string()).collect(),
    }
}

/// Runs a test's future on its own single-threaded runtime, as a controller's process does.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    rt.block_on(test)
}

/// Checks a condition every 20 ms until it holds, for about `timeout_s`. Returns false if it
/// never held.
pub async fn eventually(timeout_s: f64, mut holds: impl FnMut() -> bool) -> bool {
    for _ in 0..(timeout_s * 50.0) as u32 {
        if holds() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    holds()
}
