//! cherrywood: a cluster scheduler that learns how long tasks run.
//!
//! The daemon is `src/main.rs`; this library holds the controller process so
//! that programs may embed it.

pub mod api;
pub mod cli;
pub mod loops;
pub mod node;
pub mod polls;
pub mod settings;

use anyhow::Context as _;
use node::Node;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Runs a controller until the process is killed.
pub async fn run(settings: settings::Settings) -> anyhow::Result<()> {
    let users = TcpListener::bind(settings.platform.serve_on)
        .await
        .with_context(|| format!("serve_on {}", settings.platform.serve_on))?;
    let peers = TcpListener::bind(settings.platform.internal_addr)
        .await
        .with_context(|| format!("internal_addr {}", settings.platform.internal_addr))?;
    let most = (settings.platform.deployment.limits.sockets as f64
        * cherrywood_limits::SOCKET_SHARE) as usize;
    let node = Arc::new(Node::new(settings));
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
    tokio::spawn(cherrywood_net::peer::serve(peers, on_peer));
    loops::start(&node);
    let on_user = Arc::new(move |request| {
        let n = node.clone();
        async move { api::answer(&n, request).await }
    });
    cherrywood_net::server::serve(users, most.max(16), on_user).await;
    Ok(())
}
