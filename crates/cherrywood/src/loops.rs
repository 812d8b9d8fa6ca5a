//! What a controller does by itself: election, renewal, ledger, fleet.

use crate::node::Node;
use cherrywood_control::leader::{CloudCall, Inheritance, Outcome};
use cherrywood_control::{Leader, keys};
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::budget::Class;
use cherrywood_net::state::TxnResult;
use cherrywood_wire::agent::Orders;
use cherrywood_wire::peer::{Reply, Request};
use cherrywood_wire::state::{
    Change, EpochValue, Guard, HistogramsValue, ImagesValue, JobValue, LeaderValue, LogValue,
    ProgressValue, Txn, Value,
};
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

async fn sleep(s: f64) {
    tokio::time::sleep(Duration::from_secs_f64(s)).await;
}

pub fn start(node: &Arc<Node>) {
    tokio::spawn(elect(node.clone()));
    tokio::spawn(renew(node.clone()));
    tokio::spawn(watch(node.clone()));
    tokio::spawn(ledger(node.clone()));
    tokio::spawn(forward(node.clone()));
    tokio::spawn(jobs(node.clone()));
    tokio::spawn(crate::polls::serve(node.clone()));
    tokio::spawn(fleet(node.clone()));
    tokio::spawn(list(node.clone()));
    tokio::spawn(types(node.clone()));
    tokio::spawn(snapshot(node.clone()));
    tokio::spawn(tick(node.clone()));
    for i in 0..node.peers.len() {
        let node = node.clone();
        tokio::spawn(async move {
            loop {
                node.hello(&node.peers[i]).await;
                sleep(limits::HELLO_EVERY_S).await;
            }
        });
    }
}

// --- leadership ---

async fn elect(node: Arc<Node>) {
    loop {
        let mine = node.core().leader.is_some();
        if !mine && let Err(e) = campaign(&node).await {
            tracing::debug!(%e, "election");
        }
        // Spread, so that rivals rarely ask in the same moment.
        sleep(limits::ELECT_EVERY_S * rand::random_range(0.8..1.2)).await;
    }
}

async fn campaign(node: &Arc<Node>) -> Result<(), NetError> {
    let current = node.state.get::<LeaderValue>(keys::LEADER).await?;
    node.state_answered();
    if let Some(item) = current {
        if item.value.leader == node.me() {
            // This process doesn't lead, so an earlier one of the same name
            // did, and it is dead: no need to wait for its lease.
            if let Some(lease) = item.lease {
                node.state.end_lease(lease).await?;
            }
        } else {
            let now = node.now();
            let mut core = node.core();
            core.known = Some(item.value.leader);
            core.leader_seen = now;
        }
        return Ok(());
    }
    let sent = node.now();
    let lease = node.state.lease(node.timing.leader_s).await?;
    let (epoch, mark) = match node.state.get::<EpochValue>(keys::EPOCH).await? {
        Some(item) => (item.value.last_epoch + 1, item.version),
        None => (1, 0),
    };
    let value = LeaderValue {
        leader: node.me().to_string(),
        epoch,
        nonce: rand::random(),
    };
    let txn = Txn {
        guards: vec![
            Guard {
                key: keys::LEADER.into(),
                version: 0,
            },
            Guard {
                key: keys::EPOCH.into(),
                version: mark,
            },
        ],
        changes: vec![
            Change::Put {
                key: keys::LEADER.into(),
                value: Value::Leader(value),
                lease: Some(lease),
            },
            Change::Put {
                key: keys::EPOCH.into(),
                value: Value::Epoch(EpochValue { last_epoch: epoch }),
                lease: None,
            },
        ],
    };
    let TxnResult::Applied(mark) = node.state.txn(&txn, Class::First).await? else {
        let _ = node.state.end_lease(lease).await;
        return Ok(());
    };
    info!(epoch, "elected");
    {
        let mut core = node.core();
        core.lease = lease;
        core.leader_until = sent + node.timing.leader_s * (1.0 - limits::DRIFT);
        core.known = Some(node.me().to_string());
    }
    node.state.set_leading(true);
    if let Err(e) = take_over(node, lease, epoch, mark).await {
        warn!(%e, "could not take over; giving the lease back");
        depose(node, "takeover failed");
        let _ = node.state.end_lease(lease).await;
    }
    Ok(())
}

fn depose(node: &Node, why: &str) {
    let mut core = node.core();
    if core.leader.take().is_some() || core.lease != 0 {
        warn!(why, "no longer leading");
    }
    core.lease = 0;
    core.leader_until = 0.0;
    if core.known.as_deref() == Some(node.me()) {
        core.known = None;
    }
    drop(core);
    node.state.set_leading(false);
}

/// Repeats a read that the state service refuses or that gets lost.
macro_rules! insist {
    ($node:expr, $call:expr) => {{
        let mut tries = 0;
        loop {
            match $call.await {
                Ok(v) => break v,
                Err(e) => {
                    tries += 1;
                    if tries > limits::TAKEOVER_TRIES || $node.now() > $node.core().leader_until {
                        return Err(e);
                    }
                    sleep(0.1).await;
                }
            }
        }
    }};
}

async fn take_over(node: &Arc<Node>, lease: u64, epoch: u64, mark: u64) -> Result<(), NetError> {
    let mut from = Inheritance::default();
    // Jobs last: a job that ends meanwhile only loses a race at its guard.
    let rows = insist!(node, node.state.list::<LogValue>(keys::LEDGER)).0;
    from.ledger = rows
        .into_iter()
        .filter_map(|i| Some((keys::ledger_entry(&i.key)?, i.value)))
        .collect();
    let rows = insist!(node, node.state.list::<ProgressValue>(keys::PROGRESS)).0;
    from.progress = rows
        .into_iter()
        .map(|i| {
            (
                i.key[keys::PROGRESS.len()..].to_string(),
                i.value,
                i.version,
            )
        })
        .collect();
    let saved = insist!(node, node.state.get::<HistogramsValue>(keys::HISTOGRAMS));
    from.histograms = saved.map(|i| i.value);
    let saved = insist!(node, node.state.get::<ImagesValue>(keys::IMAGES));
    from.images = saved.map(|i| i.value);
    let rows = insist!(node, node.state.list::<JobValue>(keys::JOBS)).0;
    from.jobs = rows.into_iter().map(|i| (i.value, i.version)).collect();
    from.wall_ms = crate::api::wall_ms();
    let types = node.core().types.clone();
    let cluster = node.settings.platform.deployment.cluster.clone();
    let now = node.now();
    let mut leader = Leader::new(epoch, mark, cluster, types, from, now);
    leader.cheap_only = node.settings.operator.cheap_only;
    info!(epoch, "took over: {}", leader.summary());
    let mut core = node.core();
    if core.lease != lease {
        // Deposed meanwhile: the next election is open to this node again.
        return Ok(());
    }
    core.leader = Some(leader);
    drop(core);
    node.ledger_due.notify_one();
    Ok(())
}

async fn renew(node: Arc<Node>) {
    loop {
        sleep(limits::LEADER_RENEW_S.min(node.timing.leader_s / 4.0)).await;
        let (lease, deposed) = {
            let core = node.core();
            (core.lease, core.leader.as_ref().is_some_and(|l| l.deposed))
        };
        if lease == 0 {
            continue;
        }
        if deposed {
            depose(&node, "another leader holds the key");
            continue;
        }
        let sent = node.now();
        match node.state.touch(lease).await {
            Ok(true) => {
                let mut core = node.core();
                core.state_ok = core.state_ok.max(sent);
                if core.lease == lease {
                    core.leader_until = sent + node.timing.leader_s * (1.0 - limits::DRIFT);
                }
            }
            Ok(false) => depose(&node, "the lease is over"),
            // In an outage the lease stands still; grants run on meanwhile.
            Err(e) => tracing::debug!(%e, "renewal"),
        }
    }
}

// --- jobs that come and go ---

async fn watch(node: Arc<Node>) {
    let mut seen: Option<(u64, u64)> = None;
    loop {
        sleep(limits::WATCH_GAP_S).await;
        let epoch = node.core().leader.as_ref().map(Leader::epoch);
        let Some(epoch) = epoch else {
            seen = None;
            sleep(limits::WATCH_GAP_S).await;
            continue;
        };
        let from = match seen {
            Some((e, revision)) if e == epoch => revision,
            _ => match reconcile(&node, epoch).await {
                Ok(revision) => {
                    seen = Some((epoch, revision));
                    revision
                }
                Err(_) => {
                    sleep(0.2).await;
                    continue;
                }
            },
        };
        match node.state.watch::<JobValue>(keys::JOBS, from).await {
            Ok(Some(events)) => {
                node.state_answered();
                let now = node.now();
                let mut core = node.core();
                if let Some(leader) = core.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    for e in events.events {
                        match (e.value, e.delete) {
                            (Some(v), _) => leader.add_job(v, e.version, now),
                            (None, Some(key)) => leader.remove_job(&key[keys::JOBS.len()..]),
                            _ => {}
                        }
                    }
                    seen = Some((epoch, events.revision));
                }
                drop(core);
                node.ledger_due.notify_one();
            }
            Ok(None) => seen = None,
            Err(_) => sleep(0.2).await,
        }
    }
}

/// Reads all live jobs again.
async fn reconcile(node: &Node, epoch: u64) -> Result<u64, NetError> {
    let before = node
        .core()
        .leader_of(epoch)
        .map(|l| l.live_jobs())
        .unwrap_or_default();
    let (rows, revision) = node.state.list::<JobValue>(keys::JOBS).await?;
    let now = node.now();
    let mut core = node.core();
    let Some(leader) = core.leader_of(epoch) else {
        return Ok(revision);
    };
    let live: std::collections::HashSet<&str> =
        rows.iter().map(|r| r.value.job.id.as_str()).collect();
    for id in before {
        if !live.contains(id.as_str()) {
            leader.remove_job(&id);
        }
    }
    for row in rows {
        leader.add_job(row.value, row.version, now);
    }
    Ok(revision)
}

// --- writes ---

/// Sends a transaction until it is known whether it was applied.
async fn commit(node: &Node, epoch: u64, txn: &Txn, class: Class) -> Outcome {
    let mut unsure = false;
    for _ in 0..limits::COMMIT_TRIES {
        let now = node.now();
        if node.core().leading(now).is_none_or(|l| l.epoch() != epoch) {
            break;
        }
        match node.state.txn(txn, class).await {
            Ok(TxnResult::Applied(revision)) => {
                node.state_answered();
                return Outcome::Applied(revision);
            }
            // After an attempt without an answer the conflict may be with
            // ourselves: what we wrote is read again.
            Ok(TxnResult::Failed(_)) if unsure => return Outcome::Unknown,
            Ok(TxnResult::Failed(keys)) => return Outcome::Conflict(keys),
            Err(NetError::Refused(_)) => sleep(0.05 * rand::random_range(1.0..2.0)).await,
            Err(NetError::Unknown(_)) => unsure = true,
            Err(NetError::Bad(e)) => {
                warn!(e, "the state service refuses a transaction");
                break;
            }
        }
    }
    Outcome::Unknown
}

async fn reread(node: &Node) {
    let (epoch, keys): (u64, Vec<String>) = {
        let core = node.core();
        let Some(l) = &core.leader else { return };
        (l.epoch(), l.reread.iter().take(20).cloned().collect())
    };
    for key in keys {
        if let Ok(item) = node.state.get::<serde::de::IgnoredAny>(&key).await
            && let Some(leader) = node.core().leader_of(epoch)
        {
            leader.reread_done(&key, item.map_or(0, |i| i.version));
        }
    }
}

async fn ledger(node: Arc<Node>) {
    loop {
        node.ledger_due.notified().await;
        loop {
            let now = node.now();
            // Reports of many workers share one look at the queue.
            let batch = node.core().leading(now).and_then(|l| {
                l.plan(now);
                Some((l.epoch(), l.ledger_batch()?))
            });
            let Some((epoch, batch)) = batch else { break };
            let outcome = commit(&node, epoch, &batch.txn, Class::Place).await;
            let ok = matches!(outcome, Outcome::Applied(_));
            if let Some(leader) = node.core().leader_of(epoch) {
                leader.ledger_done(batch, &outcome);
            }
            let now = node.now();
            let orders = node
                .core()
                .leading(now)
                .filter(|l| l.epoch() == epoch)
                .map(|l| l.orders(now))
                .unwrap_or_default();
            for (holder, orders) in orders {
                tokio::spawn(order(node.clone(), epoch, holder, orders));
            }
            if !ok {
                reread(&node).await;
                sleep(limits::FLUSH_GAP_S).await;
            }
            sleep(limits::FLUSH_GAP_S).await;
        }
        sleep(limits::FLUSH_GAP_S).await;
    }
}

/// Has starts sent straight to workers by the holder of their machines; the
/// workers' next reports tell the rest.
async fn order(node: Arc<Node>, epoch: u64, holder: String, orders: Vec<(String, String, Orders)>) {
    let told = |i: usize, executed| {
        if let Some(leader) = node.core().leader_of(epoch) {
            let (machine, _, orders) = &orders[i];
            leader.ordered(machine, orders, executed);
        }
    };
    let peer = node.peers.iter().find(|p| p.label == holder);
    let executed = match peer {
        Some(peer) => {
            let request = Request::Orders {
                orders: orders.clone(),
            };
            match peer.ask(&request, limits::ORDERS_WAIT_S).await {
                Ok(Reply::Orders { executed }) => executed,
                _ => Vec::new(),
            }
        }
        // Its own machines, all at once: one silent worker must not hold up
        // the starts of the others.
        None => node.order_all(orders.clone()).await,
    };
    for i in 0..orders.len() {
        told(i, executed.get(i).copied().flatten());
    }
}

/// Reports of many workers go to the leader together.
async fn forward(node: Arc<Node>) {
    loop {
        node.outbox_due.notified().await;
        sleep(limits::FORWARD_GAP_S).await;
        let node = node.clone();
        tokio::spawn(async move { node.send_reports().await });
    }
}

async fn jobs(node: Arc<Node>) {
    let mut wrote = 0.0;
    loop {
        node.jobs_due.notified().await;
        loop {
            let now = node.now();
            let progress = now - wrote >= limits::PROGRESS_GAP_S;
            let batch = node
                .core()
                .leading(now)
                .and_then(|l| Some((l.epoch(), l.job_batch(progress)?)));
            let Some((epoch, batch)) = batch else { break };
            if progress {
                wrote = now;
            }
            let class = if batch.urgent() {
                Class::First
            } else {
                Class::Progress
            };
            let outcome = commit(&node, epoch, &batch.txn, class).await;
            let ok = matches!(outcome, Outcome::Applied(_));
            if let Some(leader) = node.core().leader_of(epoch) {
                leader.job_done(batch, &outcome);
            }
            if !ok {
                reread(&node).await;
            }
            sleep(limits::FLUSH_GAP_S).await;
        }
    }
}

/// The slow pulse: aging, delayed tasks, writes that were put off.
async fn tick(node: Arc<Node>) {
    let mut beats = 0u32;
    let mut last = node.now();
    let mut healthy = node.healthy();
    loop {
        sleep(limits::AGING_EVERY_S).await;
        let now = node.now();
        let gap_s = now - last - limits::AGING_EVERY_S;
        if gap_s > limits::STOOD_STILL_S {
            warn!(gap_s, "time stood still: this process did not run");
        }
        last = now;
        if healthy != node.healthy() {
            healthy = !healthy;
            let state_s = now - node.core().state_ok;
            if healthy {
                info!("users are served again");
            } else {
                warn!(
                    state_s,
                    "users are sent to other nodes: no state service here"
                );
            }
        }
        let refused = node.polls.refused();
        if refused > 0 {
            info!(refused, "polls refused: the state service or its budget");
        }
        {
            let mut core = node.core();
            core.holder.forget_old(now, limits::UNHEARD_S);
            if let Some(leader) = core.leading(now) {
                beats += 1;
                if beats.is_multiple_of(20) {
                    info!("{}", leader.summary());
                }
            } else {
                continue;
            }
        }
        if node
            .core()
            .leader
            .as_ref()
            .is_some_and(|l| !l.reread.is_empty())
        {
            reread(&node).await;
        }
        node.ledger_due.notify_one();
        node.jobs_due.notify_one();
    }
}

async fn snapshot(node: Arc<Node>) {
    loop {
        sleep(limits::SNAPSHOT_EVERY_S).await;
        let now = node.now();
        let made = node
            .core()
            .leading(now)
            .map(|l| (l.leader_guard(), l.snapshot(), l.image_snapshot(now)));
        let Some((guard, value, images)) = made else {
            continue;
        };
        let txn = Txn {
            guards: vec![guard],
            changes: vec![
                Change::Put {
                    key: keys::HISTOGRAMS.into(),
                    value: Value::Histograms(value),
                    lease: None,
                },
                Change::Put {
                    key: keys::IMAGES.into(),
                    value: Value::Images(images),
                    lease: None,
                },
            ],
        };
        // Lost snapshots are no harm: the next one is due in seconds.
        let _ = node.state.txn(&txn, Class::Histogram).await;
    }
}

// --- the cloud ---

async fn types(node: Arc<Node>) {
    loop {
        let (known, leads) = {
            let now = node.now();
            let mut core = node.core();
            (!core.types.is_empty(), core.leading(now).is_some())
        };
        if (!known || leads)
            && let Ok(types) = node.cloud.types().await
        {
            let mut core = node.core();
            core.types.clone_from(&types);
            if let Some(leader) = &mut core.leader {
                leader.set_types(types);
            }
        }
        let known = !node.core().types.is_empty();
        sleep(if known { limits::TYPES_EVERY_S } else { 0.5 }).await;
    }
}

async fn fleet(node: Arc<Node>) {
    loop {
        sleep(limits::FLEET_EVERY_S).await;
        let now = node.now();
        let (epoch, calls) = node
            .core()
            .leading(now)
            .map(|l| (l.epoch(), l.fleet(now)))
            .unwrap_or_default();
        for call in calls {
            // Each call may take seconds, and this process may have stood still:
            // machines of another leader are not for this one to delete.
            let now = node.now();
            if node.core().leading(now).is_none_or(|l| l.epoch() != epoch) {
                break;
            }
            match call {
                CloudCall::Delete(names) => {
                    if node.cloud.delete(&names).await.is_ok() {
                        let now = node.now();
                        if let Some(leader) = node.core().leader.as_mut() {
                            leader.deleted(&names, now);
                        }
                        node.ledger_due.notify_one();
                    }
                }
                CloudCall::Rent(rent) => match node.cloud.rent(&rent).await {
                    Ok(names) => {
                        let now = node.now();
                        if let Some(leader) = node.core().leader.as_mut() {
                            leader.rented(&rent, Some(&names), now);
                        }
                    }
                    // What was rented all the same shows in the list.
                    Err(e) => warn!(%e, request = rent.request, "rental without an answer"),
                },
            }
        }
    }
}

async fn list(node: Arc<Node>) {
    let lag = node.settings.platform.deployment.cluster.cloud.list_lag_s;
    loop {
        sleep((lag / 3.0).clamp(1.0, 5.0)).await;
        let now = node.now();
        if node.core().leading(now).is_none() {
            continue;
        }
        if let Ok(list) = node.cloud.list().await {
            let now = node.now();
            if let Some(leader) = node.core().leading(now) {
                leader.listed(&list, now);
            }
        }
    }
}
