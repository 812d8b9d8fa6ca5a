//! A key-value store on loopback with fault injection: it can refuse requests, leave them without
//! a response, or execute them and lose the response.

use cherrywood_net::server::{self, Request, Response};
use cherrywood_net::{Listener, Runtime};
use cherrywood_store::HeldWatch;
use cherrywood_store::{ServiceReply, StoreService};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pattern of the requests to the key-value store that meet a fault.
struct RequestPattern {
    path_prefix: String,
    /// Text that the body must contain; empty if any body matches.
    body_contains: String,
}

impl RequestPattern {
    fn matches(&self, request: &Request) -> bool {
        let text = self.body_contains.as_bytes();
        let body = &request.body;
        let contains = text.is_empty() || body.windows(text.len()).any(|part| part == text);
        contains && request.path.starts_with(&self.path_prefix)
    }
}

/// Faults of the key-value store, set by a test while the store serves.
#[derive(Default)]
pub struct StoreFaults {
    refused: Mutex<Vec<RequestPattern>>,
    hanging: Mutex<Vec<RequestPattern>>,
    response_lost: Mutex<Vec<RequestPattern>>,
    /// Number of requests that arrived, whether executed or not.
    pub requests: AtomicUsize,
    /// Paths of all requests.
    paths: Mutex<Vec<String>>,
    /// Percentages of requests that are slow, refused, or executed without a response.
    shares: Mutex<FaultShares>,
}

/// Percentage of requests drawn for each fault.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultShares {
    /// Requests whose response is delayed by up to 0.2 s.
    pub slow: u64,
    /// Requests that get 503.
    pub refused: u64,
    /// Requests that are executed and get no response in time.
    pub lost: u64,
}

impl StoreFaults {
    fn set(list: &Mutex<Vec<RequestPattern>>, paths: &[&str]) {
        let pattern = |path: &&str| RequestPattern {
            path_prefix: (*path).to_string(),
            body_contains: String::new(),
        };
        *list.lock().unwrap() = paths.iter().map(pattern).collect();
    }

    fn any_matches(list: &Mutex<Vec<RequestPattern>>, request: &Request) -> bool {
        list.lock().unwrap().iter().any(|p| p.matches(request))
    }

    /// Refuses requests to these paths with 503.
    pub fn refuse(&self, paths: &[&str]) {
        Self::set(&self.refused, paths);
    }

    /// Leaves requests to these paths without a response until they are removed from the list.
    pub fn hang(&self, paths: &[&str]) {
        Self::set(&self.hanging, paths);
    }

    /// Executes transactions whose body contains this text, and loses their responses.
    pub fn lose_responses_to(&self, text: Option<&str>) {
        let pattern = text.map(|text| RequestPattern {
            path_prefix: "/txn".to_string(),
            body_contains: text.to_string(),
        });
        *self.response_lost.lock().unwrap() = pattern.into_iter().collect();
    }

    /// Injects faults into randomly drawn requests from now on.
    pub fn draw_faults(&self, shares: FaultShares) {
        *self.shares.lock().unwrap() = shares;
    }

    /// Number of requests so far, whether executed or not.
    pub fn count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Number of requests so far whose path begins with `path_prefix`.
    pub fn count_of(&self, path_prefix: &str) -> usize {
        let paths = self.paths.lock().unwrap();
        paths.iter().filter(|p| p.starts_with(path_prefix)).count()
    }
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(10)).await;
}

/// Responds later than any controller waits for the key-value store.
async fn lost_response() -> Response {
    tokio::time::sleep(Duration::from_secs(3)).await;
    Response::busy()
}

/// The key-value store with its injected faults.
struct FaultyStore {
    host: Runtime,
    service: Arc<Mutex<StoreService>>,
    faults: Arc<StoreFaults>,
}

impl FaultyStore {
    async fn respond(&self, request: &Request) -> Response {
        let faults = &self.faults;
        faults.requests.fetch_add(1, Ordering::Relaxed);
        faults.paths.lock().unwrap().push(request.path.clone());
        while StoreFaults::any_matches(&faults.hanging, request) {
            pause().await;
        }
        let shares = *faults.shares.lock().unwrap();
        if self.draw(shares.slow) {
            let late_ms = self.host.random() % 200;
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
        }
        if StoreFaults::any_matches(&faults.refused, request) || self.draw(shares.refused) {
            return Response::busy();
        }
        let now = self.host.now();
        let reply = self.service.lock().unwrap().handle(request, now);
        let response = match reply {
            ServiceReply::Respond(response) => response,
            ServiceReply::HoldWatch(watch) => return self.hold(request, &watch).await,
        };
        let is_lost = StoreFaults::any_matches(&faults.response_lost, request);
        match is_lost || self.draw(shares.lost) {
            true => lost_response().await,
            false => response,
        }
    }

    /// Responds to a watch once a watched record has changed or the hold time is over.
    async fn hold(&self, request: &Request, watch: &HeldWatch) -> Response {
        let until = self.host.now() + watch.hold_ms as f64 / 1000.0;
        loop {
            let is_over = self.host.now() >= until;
            let resumed = self.service.lock().unwrap().resume_watch(watch, is_over);
            match resumed.filter(|_| !StoreFaults::any_matches(&self.faults.hanging, request)) {
                Some(response) => return response,
                None => pause().await,
            }
        }
    }

    /// Draws whether a request meets a fault of this percentage.
    fn draw(&self, percentage: u64) -> bool {
        self.host.random() % 100 < percentage
    }
}

/// Serves the key-value store with these faults.
pub fn serve_store(
    host: &Runtime,
    listener: Listener,
    service: &Arc<Mutex<StoreService>>,
    faults: &Arc<StoreFaults>,
) {
    let store = Arc::new(FaultyStore {
        host: host.clone(),
        service: service.clone(),
        faults: faults.clone(),
    });
    let on_request = move |request: Request, _| {
        let store = store.clone();
        async move { store.respond(&request).await }
    };
    let serve = server::serve(host.clone(), listener, 1000, Arc::new(on_request));
    tokio::spawn(serve);
}
