//! A cluster of controllers against one key-value store.

use super::store_faults::{StoreFaults, serve_store};
use super::{FakeLeader, StatusAndText, allowed, node_with, status_and_text, types};
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::server::{Request, Response};
use cherrywood_net::{Listener, Runtime};
use cherrywood_node::node::Node;
use cherrywood_node::{api, background};
use cherrywood_store::StoreService;
use cherrywood_wire::encode;
use cherrywood_wire::records::StoredRecord;
use cherrywood_wire::store::{Change, Txn};
use cherrywood_wire::user::Submission;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const PLATFORM: &str = r#"
label = "LABEL"
zone = "z0"
serve_on = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
MEMBERS
[services]
cloud = "127.0.0.1:9"
state = "STATE"
[deployment]
nodes = NODES
teams = [{ name = "t", cpus = 8.0, cpus_max = 16.0 }, { name = "u" }]
workers = { report_s = 1.0, lease_s = 10.0, cancel_s = 40.0 }
state = { rps = 9000.0, write_rps = 9000.0, value_kb = 32.0, txn_ops = 48, next = { value_kb = 2.0, txn_ops = 16 } }
cloud = { rps = 3.0, list_lag_s = 10.0 }
limits = { sockets = 700 }
"#;

/// Controllers against one key-value store on loopback.
pub struct TestCluster {
    /// The controller that requests of this cluster are sent to.
    pub node: Arc<Node>,
    /// All controllers.
    pub nodes: Vec<Arc<Node>>,
    /// The key-value store.
    pub service: Arc<Mutex<StoreService>>,
    /// Faults injected into the key-value store.
    pub store_faults: Arc<StoreFaults>,
}

fn members(controllers: &[(String, SocketAddr)]) -> String {
    let member = |(label, at): &(String, SocketAddr)| {
        format!("[[members]]\nlabel = \"{label}\"\nzone = \"z0\"\nendpoint = \"{at}\"\n")
    };
    controllers.iter().map(member).collect()
}

impl TestCluster {
    /// Starts one controller.
    pub async fn single() -> TestCluster {
        TestCluster::start(1, None).await
    }

    /// Starts `count` controllers that know each other.
    pub async fn of(count: usize) -> TestCluster {
        TestCluster::start(count, None).await
    }

    /// Starts `count` controllers that know each other and take `leader` for the leader.
    pub async fn led_by(leader: &FakeLeader, count: usize) -> TestCluster {
        TestCluster::start(count, Some(leader)).await
    }

    async fn start(count: usize, leader: Option<&FakeLeader>) -> TestCluster {
        let host = Runtime::native();
        let service = Arc::new(Mutex::new(StoreService::new(allowed(32.0, 48))));
        let store_faults = Arc::new(StoreFaults::default());
        let loopback = ([127, 0, 0, 1], 0).into();
        let listener = host.bind(loopback).await.unwrap();
        let state = listener.local_addr().unwrap().to_string();
        serve_store(&host, listener, &service, &store_faults);
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(host.bind(loopback).await.unwrap());
        }
        let at = |(n, l): (usize, &Listener)| (format!("n{n}"), l.local_addr().unwrap());
        let all: Vec<(String, SocketAddr)> = listeners.iter().enumerate().map(at).collect();
        let mut nodes = Vec::new();
        for (n, listener) in listeners.into_iter().enumerate() {
            let mut others = all.clone();
            others.remove(n);
            others.extend(leader.map(|l| (FakeLeader::LABEL.to_string(), l.addr)));
            let text = PLATFORM
                .replace("LABEL", &format!("n{n}"))
                .replace("MEMBERS", &members(&others))
                .replace("NODES", &(others.len() + 1).to_string())
                .replace("STATE", &state);
            let node = Arc::new(node_with(&text));
            node.lock_state().machine_types = types();
            let known_leader = leader.map(|_| FakeLeader::LABEL.to_string());
            node.lock_state().leader_contact.known_leader = known_leader;
            let own = node.clone();
            let on_peer = Arc::new(move |request| {
                let own = own.clone();
                async move { own.handle_peer_request(request).await }
            });
            tokio::spawn(cherrywood_net::peer::serve(host.clone(), listener, on_peer));
            tokio::spawn(background::status_queries::run(node.clone()));
            nodes.push(node);
        }
        TestCluster {
            node: nodes[0].clone(),
            nodes,
            service,
            store_faults,
        }
    }

    /// The same cluster, with requests sent to controller `n`.
    pub fn at(&self, n: usize) -> TestCluster {
        TestCluster {
            node: self.nodes[n].clone(),
            nodes: self.nodes.clone(),
            service: self.service.clone(),
            store_faults: self.store_faults.clone(),
        }
    }

    /// Queries the state of a job.
    pub async fn query(&self, id: &str) -> StatusAndText {
        let (method, path) = ("GET".to_string(), format!("/submissions/{id}"));
        let body = Vec::new();
        status_and_text(&api::handle_request(&self.node, Request { method, path, body }).await)
    }

    /// Sends a POST request with this body.
    pub async fn post(&self, path: &str, body: Vec<u8>) -> Response {
        let (method, path) = ("POST".to_string(), path.to_string());
        api::handle_request(&self.node, Request { method, path, body }).await
    }

    /// Submits a job.
    pub async fn submit(&self, job: &Submission) -> StatusAndText {
        status_and_text(&self.post("/submissions", encode(job)).await)
    }

    /// Cancels a job, and returns the response's status.
    pub async fn cancel(&self, id: &str) -> u16 {
        let path = format!("/submissions/{id}/cancel");
        self.post(&path, Vec::new()).await.status
    }

    /// Deletes a record in the key-value store.
    pub async fn delete_record(&self, key: &str) {
        self.apply(Change::Delete { key: key.into() }).await;
    }

    /// Writes a record in the key-value store.
    pub async fn put_record(&self, key: &str, value: StoredRecord) {
        let (key, lease) = (key.to_string(), None);
        self.apply(Change::Put { key, value, lease }).await;
    }

    async fn apply(&self, change: Change) {
        let txn = Txn {
            guards: Vec::new(),
            changes: vec![change],
        };
        self.node
            .store
            .txn(&txn, RequestPriority::Critical)
            .await
            .unwrap();
    }
}
