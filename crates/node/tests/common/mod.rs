//! A controller against the embedded state service on loopback, which can be told to
//! refuse what is asked of it, or to leave it without an answer.
#![allow(dead_code)]

use cherrywood_net::Host;
use cherrywood_net::budget::Class;
use cherrywood_net::server::{self, Request, Response};
use cherrywood_node::api;
use cherrywood_node::node::Node;
use cherrywood_node::settings::{Operator, Settings};
use cherrywood_store::service::Allowed;
use cherrywood_store::{Reply, Service};
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::state::{Change, Txn, Value};
use cherrywood_wire::user::{JobStatus, Kind, Priority, Refusal, Submission};
use cherrywood_wire::{decode, encode};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PLATFORM: &str = r#"
label = "n0"
zone = "z0"
serve_on = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
[services]
cloud = "127.0.0.1:9"
state = "STATE"
[deployment]
nodes = 1
teams = [{ name = "t", cpus = 8.0, cpus_max = 16.0 }, { name = "u" }]
workers = { report_s = 1.0, lease_s = 10.0, cancel_s = 40.0 }
state = { rps = 9000.0, write_rps = 9000.0, value_kb = 32.0, txn_ops = 48, next = { value_kb = 2.0, txn_ops = 16 } }
cloud = { rps = 3.0, list_lag_s = 10.0 }
limits = { sockets = 700 }
"#;

pub struct World {
    pub node: Arc<Node>,
    pub service: Arc<Mutex<Service>>,
    pub script: Arc<Script>,
}

/// What the state service does with requests whose path begins like one of these.
#[derive(Default)]
pub struct Script {
    refuses: Mutex<Vec<String>>,
    hangs: Mutex<Vec<String>>,
}

impl Script {
    fn has(list: &Mutex<Vec<String>>, path: &str) -> bool {
        let list = list.lock().unwrap();
        list.iter().any(|p| path.starts_with(p.as_str()))
    }

    /// They are answered 503.
    pub fn refuse(&self, paths: &[&str]) {
        *self.refuses.lock().unwrap() = paths.iter().map(|p| (*p).to_string()).collect();
    }

    /// They get no answer until they are let go.
    pub fn hang(&self, paths: &[&str]) {
        *self.hangs.lock().unwrap() = paths.iter().map(|p| (*p).to_string()).collect();
    }
}

pub fn allowed(value_kb: f64, txn_ops: usize) -> Allowed {
    Allowed {
        rps: 9000.0,
        write_rps: 9000.0,
        value_kb,
        txn_ops,
    }
}

impl World {
    pub async fn new() -> World {
        let host = Host::machine();
        let service = Arc::new(Mutex::new(Service::new(allowed(32.0, 48))));
        let script = Arc::new(Script::default());
        let listener = host.bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let at = listener.local_addr().unwrap();
        let (own, told, clock) = (service.clone(), script.clone(), host.clone());
        let answer = move |r: Request, _| {
            let (own, told, clock) = (own.clone(), told.clone(), clock.clone());
            async move {
                let pause = || tokio::time::sleep(Duration::from_millis(10));
                while Script::has(&told.hangs, &r.path) {
                    pause().await;
                }
                if Script::has(&told.refuses, &r.path) {
                    return Response::busy();
                }
                let watch = match own.lock().unwrap().answer(&r, clock.now()) {
                    Reply::Now(response) => return response,
                    Reply::Hold(watch) => watch,
                };
                let until = clock.now() + watch.hold_ms as f64 / 1000.0;
                loop {
                    let over = clock.now() >= until;
                    let resumed = own.lock().unwrap().resume(&watch, over);
                    match resumed.filter(|_| !Script::has(&told.hangs, &r.path)) {
                        Some(response) => return response,
                        None => pause().await,
                    }
                }
            }
        };
        let serve = server::serve(host.clone(), listener, 100, Arc::new(answer));
        tokio::spawn(serve);
        let platform = Settings::platform(&PLATFORM.replace("STATE", &at.to_string())).unwrap();
        let operator = Operator::default();
        let node = Arc::new(Node::new(host, Settings { platform, operator }));
        node.core().types = vec![MachineType {
            name: "m8".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 32.0,
            cache_gb: 10.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: None,
            boot_s: 30.0,
            zones: vec!["a".into()],
        }];
        World {
            node,
            service,
            script,
        }
    }

    pub async fn post(&self, path: &str, body: Vec<u8>) -> Response {
        let (method, path) = ("POST".to_string(), path.to_string());
        api::answer(&self.node, Request { method, path, body }).await
    }

    /// Status, and the state told or the reason given.
    pub async fn submit(&self, job: &Submission) -> (u16, String) {
        said(&self.post("/submissions", encode(job)).await)
    }

    pub async fn cancel(&self, id: &str) -> u16 {
        let path = format!("/submissions/{id}/cancel");
        self.post(&path, Vec::new()).await.status
    }

    pub async fn put(&self, key: &str, value: Value) {
        let (key, lease) = (key.to_string(), None);
        let changes = vec![Change::Put { key, value, lease }];
        let guards = Vec::new();
        let txn = Txn { guards, changes };
        self.node.state.txn(&txn, Class::First).await.unwrap();
    }
}

pub fn said(r: &Response) -> (u16, String) {
    let state = decode::<JobStatus>(&r.body).map(|s| format!("{:?}", s.state));
    let why = decode::<Refusal>(&r.body).map(|r| r.error);
    (r.status, state.or(why).unwrap_or_default())
}

pub fn job(id: &str, needs: &[&str]) -> Submission {
    Submission {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        needs: needs.iter().map(|n| (*n).to_string()).collect(),
    }
}

pub fn run<T>(of: impl Future<Output = T>) -> T {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    rt.block_on(of)
}
