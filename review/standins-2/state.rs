//! Stand-in of the state service, with one port for each controller, so that it can be cut off
//! from one alone.

use crate::wire::{Answer, Req, V, m, s, serve};
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const OPEN: u8 = 0;
/// Every request is answered 503; watches that are open wait.
pub const REFUSE: u8 = 1;
/// Nothing is answered, and nothing is carried out.
pub const CUT: u8 = 2;

struct Row {
    v: V,
    mark: u64,
    tether: Option<u64>,
}

#[derive(Default)]
struct Data {
    rows: BTreeMap<String, Row>,
    rev: u64,
    log: Vec<(u64, String, Option<V>)>,
    leases: HashMap<u64, (f64, Instant)>,
    next_lease: u64,
    tokens: f64,
    write_tokens: f64,
    refilled: Option<Instant>,
    outage: bool,
}

pub struct State {
    data: Mutex<Data>,
    changed: Condvar,
    pub modes: Vec<Arc<AtomicU8>>,
    rps: f64,
    write_rps: f64,
    value_bytes: usize,
    txn_ops: usize,
}

impl Data {
    fn expire(&mut self) {
        if self.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end(id);
        }
    }
    fn end(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self.rows.iter().filter(|(_, r)| r.tether == Some(id)).map(|(k, _)| k.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.rev += 1;
        for k in keys {
            self.rows.remove(&k);
            self.log.push((self.rev, k, None));
        }
    }
    fn allow(&mut self, requests: f64, writes: f64, rps: f64, write_rps: f64) -> bool {
        let now = Instant::now();
        let dt = self.refilled.map_or(10.0, |at| (now - at).as_secs_f64());
        self.refilled = Some(now);
        self.tokens = (self.tokens + dt * rps).min(rps);
        self.write_tokens = (self.write_tokens + dt * write_rps).min(write_rps);
        if self.tokens < requests || self.write_tokens < writes {
            return false;
        }
        self.tokens -= requests;
        self.write_tokens -= writes;
        true
    }
}

impl State {
    /// Starts the service, one listener for each controller.
    pub fn start(listeners: Vec<TcpListener>, rps: f64, write_rps: f64, value_kb: f64, txn_ops: usize) -> Arc<State> {
        let state = Arc::new(State {
            data: Mutex::default(),
            changed: Condvar::new(),
            modes: listeners.iter().map(|_| Arc::new(AtomicU8::new(OPEN))).collect(),
            rps,
            write_rps,
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
        });
        for (i, listener) in listeners.into_iter().enumerate() {
            let (own, mode) = (state.clone(), state.modes[i].clone());
            serve(listener, Arc::new(move |req| own.handle(req, &mode)));
        }
        state
    }

    fn handle(&self, req: Req, mode: &AtomicU8) -> Answer {
        match mode.load(Ordering::SeqCst) {
            CUT => {
                while mode.load(Ordering::SeqCst) == CUT {
                    std::thread::sleep(Duration::from_millis(50));
                }
                return None;
            }
            REFUSE => return Some((503, m(vec![("error", s("trouble"))]))),
            _ => {}
        }
        let mut data = self.data.lock().unwrap();
        data.expire();
        let body = if req.body.is_empty() { V::Nil } else { V::decode(&req.body).unwrap_or(V::Nil) };
        let writes = body.get("apply").list().len() as f64;
        if !data.allow(1.0, writes, self.rps, self.write_rps) {
            return Some((429, V::Nil));
        }
        let query = req.query();
        let route = req.route().to_string();
        let parts: Vec<&str> = route.trim_start_matches('/').split('/').collect();
        match (req.method.as_str(), parts.as_slice()) {
            ("GET", ["keys"]) => {
                let starts = query.get("starts").cloned().unwrap_or_default();
                let from = query.get("from").cloned().unwrap_or_default();
                let limit = query.get("limit").and_then(|l| l.parse().ok()).unwrap_or(1000usize).min(1000);
                let (mut rows, mut bytes, mut truncated) = (Vec::new(), 0, false);
                for (k, r) in data.rows.range(starts.clone()..) {
                    if !k.starts_with(&starts) {
                        break;
                    }
                    if !from.is_empty() && *k <= from {
                        continue;
                    }
                    bytes += r.v.json_len() + k.len() + 48;
                    if rows.len() >= limit || bytes > 512 * 1024 {
                        truncated = true;
                        break;
                    }
                    rows.push(row(k, r));
                }
                Some((200, m(vec![("rows", V::A(rows)), ("truncated", V::Bool(truncated)), ("ledger_rev", V::Int(data.rev))])))
            }
            ("GET", ["keys", ..]) => {
                let key = &route["/keys/".len()..];
                match data.rows.get(key) {
                    Some(r) => Some((200, row(key, r))),
                    None => Some((404, m(vec![("ledger_rev", V::Int(data.rev))]))),
                }
            }
            ("POST", ["txn"]) => Some(self.txn(&mut data, &body)),
            ("POST", ["leases"]) => {
                let ttl = body.get("ttl_ms").f() / 1000.0;
                data.next_lease += 1;
                let id = data.next_lease;
                data.leases.insert(id, (ttl, Instant::now() + Duration::from_secs_f64(ttl)));
                Some((200, m(vec![("tether", V::Int(id))])))
            }
            ("POST", ["leases", id, "touch"]) => {
                let rev = data.rev;
                match id.parse().ok().and_then(|id: u64| data.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.1 = Instant::now() + Duration::from_secs_f64(lease.0);
                        Some((200, m(vec![("ledger_rev", V::Int(rev))])))
                    }
                    None => Some((404, m(vec![("ledger_rev", V::Int(rev))]))),
                }
            }
            ("DELETE", ["leases", id]) => {
                let known = id.parse().is_ok_and(|id: u64| {
                    let known = data.leases.contains_key(&id);
                    data.end(id);
                    known
                });
                self.changed.notify_all();
                Some((if known { 200 } else { 404 }, m(vec![("ledger_rev", V::Int(data.rev))])))
            }
            ("GET", ["watch"]) => {
                let starts = query.get("starts").cloned().unwrap_or_default();
                let from: u64 = query.get("from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let hold = query.get("hold_ms").and_then(|h| h.parse().ok()).unwrap_or(0u64).min(60_000);
                let until = Instant::now() + Duration::from_millis(hold);
                loop {
                    let refused = mode.load(Ordering::SeqCst) != OPEN;
                    if !refused {
                        let events: Vec<V> = data
                            .log
                            .iter()
                            .filter(|(rev, k, _)| *rev > from && k.starts_with(&starts))
                            .map(|(rev, k, v)| match v {
                                Some(v) => m(vec![("write", s(k)), ("v", v.clone()), ("mark", V::Int(*rev))]),
                                None => m(vec![("drop", s(k)), ("mark", V::Int(*rev))]),
                            })
                            .collect();
                        if !events.is_empty() || Instant::now() >= until {
                            return Some((200, m(vec![("ledger_rev", V::Int(data.rev)), ("events", V::A(events))])));
                        }
                    }
                    data = self.changed.wait_timeout(data, Duration::from_millis(20)).unwrap().0;
                    data.expire();
                }
            }
            _ => Some((404, V::Nil)),
        }
    }

    fn txn(&self, data: &mut Data, body: &V) -> (u16, V) {
        let (guards, apply) = (body.get("guards").list(), body.get("apply").list());
        let too_large = apply.iter().any(|c| c.get("v").json_len() > self.value_bytes)
            || apply.len() > self.txn_ops
            || guards.len() > 4 * self.txn_ops
            || body.json_len() > 64 * 1024;
        if too_large {
            return (400, m(vec![("error", s("too large"))]));
        }
        let dead_lease = |c: &V| c.get("tether").int().is_some_and(|id| !data.leases.contains_key(&id));
        if apply.iter().any(dead_lease) {
            return (400, m(vec![("error", s("no such lease"))]));
        }
        let failed: Vec<V> = guards
            .iter()
            .filter(|g| data.rows.get(g.get("k").text()).map_or(0, |r| r.mark) != g.get("mark").int().unwrap_or(0))
            .map(|g| g.get("k").clone())
            .collect();
        if !failed.is_empty() {
            return (409, m(vec![("failed", V::A(failed)), ("ledger_rev", V::Int(data.rev))]));
        }
        if !apply.is_empty() {
            data.rev += 1;
            let rev = data.rev;
            for c in apply {
                match c {
                    c if !c.get("write").text().is_empty() => {
                        let (k, v) = (c.get("write").text().to_string(), c.get("v").clone());
                        data.rows.insert(k.clone(), Row { v: v.clone(), mark: rev, tether: c.get("tether").int() });
                        data.log.push((rev, k, Some(v)));
                    }
                    c => {
                        let k = c.get("drop").text().to_string();
                        if data.rows.remove(&k).is_some() {
                            data.log.push((rev, k, None));
                        }
                    }
                }
            }
            self.changed.notify_all();
        }
        (200, m(vec![("ledger_rev", V::Int(data.rev))]))
    }

    /// Begins or ends an outage: every controller is refused, and no lease ends. After it every
    /// lease has its full time again.
    pub fn outage(&self, begins: bool) {
        let mut data = self.data.lock().unwrap();
        data.expire();
        data.outage = begins;
        for lease in data.leases.values_mut() {
            lease.1 = Instant::now() + Duration::from_secs_f64(lease.0);
        }
        for mode in &self.modes {
            mode.store(if begins { REFUSE } else { OPEN }, Ordering::SeqCst);
        }
    }

    /// Label of the controller that holds the leader's key, if one does. This looks into what the
    /// controllers store only to choose whom a disruption hits; no check depends on it.
    pub fn leader(&self) -> Option<String> {
        let mut data = self.data.lock().unwrap();
        data.expire();
        data.rows.get("L/leader").map(|r| r.v.get("leader").text().to_string())
    }
}

fn row(k: &str, r: &Row) -> V {
    let mut f = vec![("k", s(k)), ("v", r.v.clone()), ("mark", V::Int(r.mark))];
    if let Some(id) = r.tether {
        f.push(("tether", V::Int(id)));
    }
    m(f)
}
