//! The key-value store's behaviour at its HTTP interface.

use cherrywood_net::server::{Request, Response};
use cherrywood_store::{HeldWatch, ServiceLimits, ServiceReply, StoreService};
use cherrywood_wire::store::{
    Change, Guard, KeyValue, KeyValuePage, LeaseRequest, Txn, TxnResponse, WatchResponse,
};
use cherrywood_wire::{decode, encode};
use rmpv::Value;

fn service() -> StoreService {
    StoreService::new(ServiceLimits {
        rps: 1000.0,
        write_rps: 1000.0,
        value_kb: 1.0,
        txn_ops: 4,
    })
}

fn send(s: &mut StoreService, method: &str, path: &str, body: Vec<u8>, now: f64) -> Response {
    let request = Request {
        method: method.into(),
        path: path.into(),
        body,
    };
    match s.handle(&request, now) {
        ServiceReply::Respond(response) => response,
        ServiceReply::HoldWatch(_) => Response::empty(0),
    }
}

fn put(key: &str, value: &str, lease: Option<u64>) -> Change<Value> {
    let (key, value) = (key.to_string(), Value::from(value));
    Change::Put { key, value, lease }
}

fn txn(s: &mut StoreService, guards: &[(&str, u64)], changes: Vec<Change<Value>>) -> (u16, u64) {
    let guards = guards.iter().map(|(k, m)| Guard {
        key: k.to_string(),
        revision: *m,
    });
    let guards = guards.collect();
    let body = encode(&Txn { guards, changes });
    let r = send(s, "POST", "/txn", body, 1.0);
    let revision = decode::<TxnResponse>(&r.body).map_or(0, |r| r.revision);
    (r.status, revision)
}

#[test]
fn a_transaction_applies_all_its_changes_or_none() {
    let mut s = service();
    assert_eq!(
        txn(
            &mut s,
            &[("a", 0)],
            vec![put("a", "1", None), put("b", "2", None)]
        ),
        (200, 1)
    );
    assert_eq!(
        s.store.get("b").unwrap().revision,
        1,
        "all changes have one revision"
    );
    let both = vec![put("a", "x", None), Change::Delete { key: "b".into() }];
    assert_eq!(txn(&mut s, &[("a", 1), ("b", 0)], both.clone()), (409, 1));
    assert_eq!(s.store.get("a").unwrap().value, Value::from("1"));
    assert_eq!(txn(&mut s, &[("a", 1), ("b", 1)], both), (200, 2));
    assert!(s.store.get("b").is_none());
    // A transaction that only compares doesn't change the revision.
    assert_eq!(txn(&mut s, &[("a", 2)], Vec::new()), (200, 2));
}

#[test]
fn malformed_requests_get_status_400_and_change_nothing() {
    let mut s = service();
    let big = "x".repeat(1023);
    assert_eq!(txn(&mut s, &[], vec![put("k", &big, None)]).0, 400, "1 KiB");
    assert_eq!(txn(&mut s, &[], vec![put("a b", "1", None)]).0, 400);
    let duplicate = vec![put("k", "1", None), put("k", "2", None)];
    assert_eq!(txn(&mut s, &[], duplicate).0, 400);
    let many = (0..5).map(|i| put(&format!("k{i}"), "1", None)).collect();
    assert_eq!(txn(&mut s, &[], many).0, 400, "4 changes at most");
    assert_eq!(
        txn(&mut s, &[("k", 7)], vec![put("k", "1", Some(9))]).0,
        400
    );
    assert_eq!(
        send(&mut s, "GET", "/keys?limit=x", vec![], 1.0).status,
        400
    );
    let body = encode(&LeaseRequest { ttl_ms: 99 });
    assert_eq!(send(&mut s, "POST", "/leases", body, 1.0).status, 400);
    assert_eq!(s.store.revision(), 0);
}

#[test]
fn the_end_of_a_lease_removes_the_keys_still_attached_to_it() {
    let mut s = service();
    let id = s.store.grant_lease(5000, 1.0).unwrap();
    txn(
        &mut s,
        &[],
        vec![put("l", "1", Some(id)), put("m", "1", Some(id))],
    );
    txn(&mut s, &[], vec![put("m", "2", None)]);
    assert!(s.store.renew_lease(id, 4.0));
    assert_eq!(s.store.expire_leases(8.9), 0, "renewed at 4");
    assert_eq!(s.store.expire_leases(9.0), 1);
    assert!(s.store.get("l").is_none() && s.store.get("m").is_some());
    let path = format!("/leases/{id}/touch");
    assert_eq!(send(&mut s, "POST", &path, vec![], 9.0).status, 404);
    // Renewing all leases, as after an outage, restores their full time to live.
    let id = s.store.grant_lease(5000, 10.0).unwrap();
    s.store.renew_all_leases(14.9);
    assert_eq!(s.store.expire_leases(19.0), 0);
    assert!(s.store.revoke_lease(id));
}

#[test]
fn each_page_continues_after_the_last_key_of_the_previous_one() {
    let mut s = service();
    for i in 0..9 {
        txn(&mut s, &[], vec![put(&format!("c/{i}"), "v", None)]);
    }
    txn(&mut s, &[], vec![put("d", "v", None)]);
    let mut keys = Vec::new();
    let mut from = String::new();
    loop {
        let path = format!("/keys?starts=c/&from={from}&limit=4");
        let page: KeyValuePage<Value> =
            decode(&send(&mut s, "GET", &path, vec![], 1.0).body).unwrap();
        keys.extend(page.items.iter().map(|i| i.key.clone()));
        from = keys.last().unwrap().clone();
        if !page.more {
            break;
        }
    }
    assert_eq!(keys, (0..9).map(|i| format!("c/{i}")).collect::<Vec<_>>());
}

#[test]
fn watches_wait_for_their_prefix_and_are_compacted_after_10_000_changes() {
    let mut s = service();
    let watch = |from| HeldWatch {
        prefix: "j/".into(),
        from,
        hold_ms: 100,
    };
    assert!(s.resume_watch(&watch(0), false).is_none());
    txn(&mut s, &[], vec![put("x", "1", None)]);
    assert!(s.resume_watch(&watch(0), false).is_none(), "another prefix");
    txn(&mut s, &[], vec![put("j/1", "1", None)]);
    txn(&mut s, &[], vec![Change::Delete { key: "j/1".into() }]);
    let r = s.resume_watch(&watch(0), false).unwrap();
    let response: WatchResponse<Value> = decode(&r.body).unwrap();
    let revisions: Vec<u64> = response.events.iter().map(|e| e.revision).collect();
    assert_eq!((revisions, response.revision), (vec![2, 3], 3));
    assert!(response.events[1].deleted_key.is_some() && response.events[0].put_key.is_some());
    for _ in 0..10_000 {
        s.store.txn(&[], vec![put("x", "1", None)]).unwrap();
    }
    assert_eq!(s.resume_watch(&watch(2), false).unwrap().status, 410);
    assert_eq!(s.resume_watch(&watch(3), true).unwrap().status, 200);
}

#[test]
fn rates_allow_a_burst_of_one_second_and_count_changes_whose_guards_fail() {
    let mut s = StoreService::new(ServiceLimits {
        rps: 10.0,
        write_rps: 3.0,
        value_kb: 1.0,
        txn_ops: 4,
    });
    let one = |s: &mut StoreService| txn(s, &[("k", 9)], vec![put("k", "1", None)]).0;
    assert_eq!(
        [one(&mut s), one(&mut s), one(&mut s), one(&mut s)],
        [409, 409, 409, 429]
    );
    for _ in 0..6 {
        assert_eq!(send(&mut s, "GET", "/keys/k", vec![], 1.0).status, 404);
    }
    assert_eq!(send(&mut s, "GET", "/keys/k", vec![], 1.0).status, 429);
    assert_eq!(send(&mut s, "GET", "/keys/k", vec![], 1.2).status, 404);
    assert_eq!(s.requests_over_rate, 2);
}

#[test]
fn a_key_is_read_with_its_revision_and_lease() {
    let mut s = service();
    let id = s.store.grant_lease(5000, 1.0).unwrap();
    txn(&mut s, &[], vec![put("a/b", "1", Some(id))]);
    let r = send(&mut s, "GET", "/keys/a/b", vec![], 1.0);
    let item: KeyValue<String> = decode(&r.body).unwrap();
    assert_eq!(
        (item.revision, item.lease, item.value.as_str()),
        (1, Some(id), "1")
    );
}
