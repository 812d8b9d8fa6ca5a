//! The controller process as a library: the daemon runs one controller, a simulation several.
//!
//! [`api`] handles requests of users and workers, [`peer_requests`] those of other controllers;
//! [`background`] contains a controller's background tasks. All of them work on one
//! [`node::Node`], whose mutable part is [`state::ControllerState`]. `cherrywood-control`, which
//! does no I/O, makes the leader's decisions; this crate carries them out.
//!
//! The key-value store is the platform's state service, the name used in settings and in some
//! log lines.
//!
//! Modules use each other in one direction: settings, state, admission filter, status queries,
//! chunk slots, frames < node < heartbeats, peer requests, worker client, task counts < chunked
//! values, job records, job queries < submissions, cancellations < api, background.

#![deny(missing_docs)]

pub mod admission_filter;
pub mod api;
pub mod background;
mod cancellations;
pub mod chunk_slots;
pub mod chunked_values;
mod dependencies;
mod feasibility;
pub mod frames;
pub mod heartbeats;
mod job_queries;
pub mod job_records;
pub mod node;
pub mod peer_requests;
mod responses;
pub mod settings;
pub mod state;
pub mod status_queries;
mod submissions;
pub mod task_counts;
pub mod worker_client;

use cherrywood_net::{Listener, Runtime, server};
use node::Node;
use settings::{Settings, SettingsError};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned. The state behind it stays valid if a thread panics while
/// it holds the lock, since no invariant of that state spans two statements.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reason why a controller did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The process can't listen on an address from the settings.
    #[error("{field} {addr}: {error}")]
    Bind {
        /// The setting that names the address.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        error: io::Error,
    },
}

/// Runs a controller until the process is killed.
pub async fn run(host: Runtime, settings: Settings) -> Result<(), StartError> {
    start(host, settings).await?.1.await;
    Ok(())
}

/// Starts a controller and its background tasks. The returned future serves users and workers.
pub async fn start(
    host: Runtime,
    settings: Settings,
) -> Result<(Arc<Node>, impl Future<Output = ()> + Send), StartError> {
    let at = &settings.platform;
    at.check()?;
    let users = listen(&host, "serve_on", at.serve_on).await?;
    let peers = listen(&host, "internal_addr", at.internal_addr).await?;
    let node = Arc::new(Node::new(host.clone(), settings));
    tracing::info!(
        node = node.label(),
        "cherrywood {}",
        env!("CARGO_PKG_VERSION")
    );
    let n = node.clone();
    let on_peer = Arc::new(move |request| {
        let n = n.clone();
        async move { n.handle_peer_request(request).await }
    });
    host.spawn(cherrywood_net::peer::serve(host.clone(), peers, on_peer));
    background::start(&node);
    let n = node.clone();
    let on_user = Arc::new(move |request, _| {
        let n = n.clone();
        async move { api::handle_request(&n, request).await }
    });
    let pool = node.served_connections.clone();
    let serve = server::serve_pool(host, users, pool, api::connection_class, on_user);
    Ok((node, serve))
}

async fn listen(
    host: &Runtime,
    field: &'static str,
    addr: SocketAddr,
) -> Result<Listener, StartError> {
    let bound = bind_with_retries(host, addr).await;
    bound.map_err(|error| StartError::Bind { field, addr, error })
}

/// Binds an address, retrying for `BIND_RETRY_FOR_S` while it is in use: a process that is
/// restarted at once may find its predecessor still listening.
async fn bind_with_retries(host: &Runtime, addr: SocketAddr) -> io::Result<Listener> {
    let until = host.now() + cherrywood_limits::BIND_RETRY_FOR_S;
    loop {
        match host.bind(addr).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && host.now() < until => {
                host.sleep(cherrywood_limits::BIND_RETRY_INTERVAL_S).await;
            }
            bound => return bound,
        }
    }
}
