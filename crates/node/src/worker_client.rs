//! Commands and status queries that a controller sends directly to workers, instead of waiting
//! for their next heartbeats.

use crate::node::Node;
use cherrywood_control::leader::CommandOutcome;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::client::HttpClient;
use cherrywood_wire::agent::{DirectCommands, Heartbeat};
use std::sync::Arc;
use tokio::sync::oneshot;

impl Node {
    /// Sends commands of the leader to the worker at `addr`.
    pub(crate) async fn deliver_commands(
        &self,
        addr: &str,
        commands: &DirectCommands,
    ) -> CommandOutcome {
        let Ok(addr) = addr.parse() else {
            return CommandOutcome::NotExecuted;
        };
        let body = cherrywood_wire::encode(commands);
        let sent = HttpClient::new(&self.host, addr)
            .send(
                "POST",
                "/orders",
                Some(&body),
                limits::DIRECT_COMMAND_TIMEOUT_S,
            )
            .await;
        match sent {
            Ok(response) if response.status == 200 => CommandOutcome::Executed,
            Ok(_) | Err(NetError::NotExecuted { .. }) => CommandOutcome::NotExecuted,
            Err(_) => CommandOutcome::Unknown,
        }
    }

    /// Sends commands of the leader to many machines (name, address, commands) concurrently: one
    /// silent worker must not delay the others. Returns one outcome per machine, in order.
    pub(crate) async fn deliver_commands_to_all(
        self: &Arc<Self>,
        commands: Vec<(String, String, DirectCommands)>,
    ) -> Vec<CommandOutcome> {
        let mut pending = Vec::new();
        for (_, addr, commands) in commands {
            let (result, delivered) = oneshot::channel();
            pending.push(delivered);
            let node = self.clone();
            self.host.spawn(async move {
                let _ = result.send(node.deliver_commands(&addr, &commands).await);
            });
        }
        let mut deliveries = Vec::new();
        for delivered in pending {
            deliveries.push(delivered.await.unwrap_or(CommandOutcome::Unknown));
        }
        deliveries
    }

    /// Sends commands to a worker whose heartbeats do not arrive. Returns the heartbeat in its
    /// response, if it responds.
    pub(crate) async fn send_commands_to_silent_worker(
        &self,
        addr: &str,
        commands: &DirectCommands,
    ) -> Option<Heartbeat> {
        let body = cherrywood_wire::encode(commands);
        self.send_to_worker(addr, "POST", "/orders", Some(&body))
            .await
    }

    /// Returns a worker's status, in the form of a heartbeat; `None` if the worker does not
    /// respond.
    pub(crate) async fn worker_status(&self, addr: &str) -> Option<Heartbeat> {
        self.send_to_worker(addr, "GET", "/status", None).await
    }

    /// Sends a request to a worker on a new connection. Returns the heartbeat in its response, or
    /// `None` without one within [`limits::DIRECT_COMMAND_TIMEOUT_S`].
    async fn send_to_worker(
        &self,
        addr: &str,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> Option<Heartbeat> {
        let worker = HttpClient::new(&self.host, addr.parse().ok()?);
        let sent = worker
            .send(method, path, body, limits::DIRECT_COMMAND_TIMEOUT_S)
            .await;
        cherrywood_wire::decode(&sent.ok()?.body).ok()
    }
}
