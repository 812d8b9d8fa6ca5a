//! The key-value store's HTTP interface.

mod query;

use crate::key_value_store::{KeyValueStore, TxnOutcome};
use crate::token_bucket::TokenBucket;
use crate::validation::{SizeLimits, validate_key};
use cherrywood_limits::store as limits;
use cherrywood_net::server::{Request, Response};
use cherrywood_wire::store::{
    KeyValuePage, LeaseRequest, LeaseResponse, RevisionResponse, Txn, TxnResponse, WatchResponse,
};
use cherrywood_wire::{ErrorResponse, decode, encode};
use query::{NotANumber, Target};
use rmpv::Value;
use serde::{Deserialize, Serialize};

/// Limits that a deployment sets for the store; the field names are those of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of changes per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB, counted as JSON.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
}

impl ServiceLimits {
    fn sizes(&self) -> SizeLimits {
        SizeLimits {
            value_bytes: (self.value_kb * 1024.0) as usize,
            txn_changes: self.txn_ops,
        }
    }
}

/// How to proceed with a request.
#[derive(Debug)]
pub enum ServiceReply {
    /// Send this response now.
    Respond(Response),
    /// Hold the watch, since nothing has changed yet: call [`StoreService::resume_watch`] when
    /// something has, and at the end of the hold.
    HoldWatch(HeldWatch),
}

/// A watch request that is held until there is a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldWatch {
    /// Prefix of the watched keys.
    pub prefix: String,
    /// Revision after which changes are requested.
    pub from: u64,
    /// Maximum hold in milliseconds.
    pub hold_ms: u64,
}

/// A store with its rate limits, which handles requests. Times are in seconds on a steady
/// clock.
#[derive(Debug)]
pub struct StoreService {
    /// The store.
    pub store: KeyValueStore,
    request_rate: TokenBucket,
    write_rate: TokenBucket,
    /// Requests refused with 429, which a well-behaved client never gets.
    pub requests_over_rate: u64,
}

fn bad_request(reason: impl ToString) -> Response {
    let error = reason.to_string();
    Response::new(400, encode(&ErrorResponse { error }))
}

impl StoreService {
    /// Creates a service with an empty store.
    pub fn new(service_limits: ServiceLimits) -> StoreService {
        StoreService {
            store: KeyValueStore::new(service_limits.sizes()),
            request_rate: TokenBucket::new(service_limits.rps, limits::RATE_BURST_S),
            write_rate: TokenBucket::new(service_limits.write_rps, limits::RATE_BURST_S),
            requests_over_rate: 0,
        }
    }

    /// Scales the rate limits to this share of their configured values from now on.
    pub fn set_share(&mut self, share: f64) {
        self.request_rate.set_share(share);
        self.write_rate.set_share(share);
    }

    /// Changes the limits from now on; stored values are kept.
    pub fn set_limits(&mut self, service_limits: ServiceLimits) {
        self.store.set_size_limits(service_limits.sizes());
        self.request_rate = TokenBucket::new(service_limits.rps, limits::RATE_BURST_S);
        self.write_rate = TokenBucket::new(service_limits.write_rps, limits::RATE_BURST_S);
    }

    /// Handles a request that arrives at `now`; expired leases end first.
    pub fn handle(&mut self, request: &Request, now: f64) -> ServiceReply {
        self.store.expire_leases(now);
        if !self.request_rate.try_take(1.0, now) {
            return ServiceReply::Respond(self.over_rate());
        }
        let target = Target::parse(&request.path);
        let method = request.method.as_str();
        if (method, target.path) == ("GET", "/watch") {
            return match watch_request(&target) {
                Ok(watch) => self.watch(watch),
                Err(e) => ServiceReply::Respond(bad_request(e)),
            };
        }
        ServiceReply::Respond(self.route(method, &target, &request.body, now))
    }

    fn route(&mut self, method: &str, target: &Target<'_>, body: &[u8], now: f64) -> Response {
        match (method, target.path, target.path.strip_prefix("/leases/")) {
            ("GET", "/keys", _) => self.list(target),
            ("POST", "/txn", _) => self.txn(body, now),
            ("POST", "/leases", _) => self.grant_lease(body, now),
            ("GET", path, _) if path.starts_with("/keys/") => self.get(&path["/keys/".len()..]),
            ("POST", _, Some(rest)) if rest.ends_with("/touch") => {
                let id = rest.trim_end_matches("/touch").parse();
                let renewed = id.is_ok_and(|id| self.store.renew_lease(id, now));
                self.lease_response(renewed)
            }
            ("DELETE", _, Some(id)) => {
                let revoked = id.parse().is_ok_and(|id| self.store.revoke_lease(id));
                self.lease_response(revoked)
            }
            _ => Response::empty(404),
        }
    }

    fn over_rate(&mut self) -> Response {
        self.requests_over_rate += 1;
        Response::empty(429)
    }

    fn revision(&self) -> RevisionResponse {
        RevisionResponse {
            revision: self.store.revision(),
        }
    }

    // --- keys ---

    fn get(&self, key: &str) -> Response {
        if let Err(e) = validate_key(key) {
            return bad_request(e);
        }
        match self.store.get(key) {
            Some(item) => Response::new(200, encode(&item)),
            None => Response::new(404, encode(&self.revision())),
        }
    }

    fn list(&self, target: &Target<'_>) -> Response {
        let Ok(limit) = target.number("limit", limits::LIST_ITEMS_MAX as u64) else {
            return bad_request("limit is not a number");
        };
        let (prefix, from) = (target.text("starts"), target.text("from"));
        let (items, more) = self.store.list(prefix, from, limit as usize);
        let page = KeyValuePage {
            items,
            more,
            revision: self.store.revision(),
        };
        Response::new(200, encode(&page))
    }

    // --- transactions ---

    fn txn(&mut self, body: &[u8], now: f64) -> Response {
        let txn: Txn<Value> = match decode(body) {
            Ok(txn) => txn,
            Err(e) => return bad_request(e),
        };
        if let Err(e) = self.store.validate(&txn.guards, &txn.changes) {
            return bad_request(e);
        }
        // The changes count towards the rate whether or not the guards hold.
        let changes = txn.changes.len() as f64;
        if changes > 0.0 && !self.write_rate.try_take(changes, now) {
            return self.over_rate();
        }
        let (status, conflicting_keys, revision) = match self.store.txn(&txn.guards, txn.changes) {
            Ok(TxnOutcome::Applied(revision)) => (200, Vec::new(), revision),
            Ok(TxnOutcome::Conflict(keys)) => (409, keys, self.store.revision()),
            Err(e) => return bad_request(e),
        };
        let response = TxnResponse {
            conflicting_keys,
            revision,
        };
        Response::new(status, encode(&response))
    }

    // --- leases ---

    fn grant_lease(&mut self, body: &[u8], now: f64) -> Response {
        let request: LeaseRequest = match decode(body) {
            Ok(request) => request,
            Err(e) => return bad_request(e),
        };
        match self.store.grant_lease(request.ttl_ms, now) {
            Ok(id) => Response::new(200, encode(&LeaseResponse { id })),
            Err(e) => bad_request(e),
        }
    }

    fn lease_response(&self, found: bool) -> Response {
        let status = if found { 200 } else { 404 };
        Response::new(status, encode(&self.revision()))
    }

    // --- watches ---

    fn watch(&self, watch: HeldWatch) -> ServiceReply {
        match self.resume_watch(&watch, watch.hold_ms == 0) {
            Some(response) => ServiceReply::Respond(response),
            None => ServiceReply::HoldWatch(watch),
        }
    }

    /// Returns the response to a held watch if something has changed or its hold is over,
    /// otherwise None.
    pub fn resume_watch(&self, watch: &HeldWatch, hold_over: bool) -> Option<Response> {
        if !hold_over && !self.store.has_changed(&watch.prefix, watch.from) {
            return None;
        }
        Some(match self.store.changes(&watch.prefix, watch.from) {
            Ok(events) => {
                let revision = self.store.revision();
                Response::new(200, encode(&WatchResponse { revision, events }))
            }
            Err(_) => Response::empty(410),
        })
    }
}

fn watch_request(target: &Target<'_>) -> Result<HeldWatch, &'static str> {
    let not_a_number = |_: NotANumber| "from or hold_ms is not a number";
    let from = target.number("from", 0).map_err(not_a_number)?;
    let hold_ms = target.number("hold_ms", 0).map_err(not_a_number)?;
    Ok(HeldWatch {
        prefix: target.text("starts").to_string(),
        from,
        hold_ms: hold_ms.min(limits::WATCH_HOLD_MAX_MS),
    })
}
