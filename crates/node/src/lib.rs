//! The controller process as a library: the daemon runs one of it, a rehearsal
//! several. Arrows point one way: settings, polls, gate < node < lookup < api, loops.

pub mod api;
pub mod gate;
pub mod lookup;
pub mod loops;
pub mod node;
pub mod polls;
pub mod settings;

use anyhow::Context as _;
use cherrywood_net::Host;
use node::Node;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a controller until the process is killed.
pub async fn run(host: Host, settings: settings::Settings) -> anyhow::Result<()> {
    start(host, settings).await?.1.await;
    Ok(())
}

/// A controller whose loops run, and what serves its users and workers.
pub async fn start(
    host: Host,
    settings: settings::Settings,
) -> anyhow::Result<(Arc<Node>, impl Future<Output = ()> + Send)> {
    let at = &settings.platform;
    let users = host.bind(at.serve_on).await;
    let users = users.with_context(|| format!("serve_on {}", at.serve_on))?;
    let peers = host.bind(at.internal_addr).await;
    let peers = peers.with_context(|| format!("internal_addr {}", at.internal_addr))?;
    let most = (at.deployment.limits.sockets as f64 * cherrywood_limits::SOCKET_SHARE) as usize;
    let node = Arc::new(Node::new(host.clone(), settings));
    tracing::info!(node = node.me(), "cherrywood {}", env!("CARGO_PKG_VERSION"));
    if !node.timing.fits {
        tracing::warn!(
            leader_s = node.timing.leader_s,
            grant_s = node.timing.grant_s,
            "cancel_s leaves little room: leases are at their floor"
        );
    }
    let n = node.clone();
    let on_peer = Arc::new(move |request| {
        let n = n.clone();
        async move { n.peer(request).await }
    });
    host.spawn(cherrywood_net::peer::serve(host.clone(), peers, on_peer));
    loops::start(&node);
    let n = node.clone();
    let on_user = Arc::new(move |request, _| {
        let n = n.clone();
        async move { api::answer(&n, request).await }
    });
    let serve = cherrywood_net::server::serve(host, users, most.max(16), on_user);
    Ok((node, serve))
}
