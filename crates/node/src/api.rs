//! The HTTP API for users, workers and the load balancer: paths, methods, handlers.

use crate::cancellations::cancel;
use crate::node::Node;
use crate::responses::Outcome;
use crate::submissions::{known_state, submit};
use cherrywood_net::connection_pool::ConnectionClass;
use cherrywood_net::server::{Request, Response};
use cherrywood_wire::agent::Heartbeat;
use cherrywood_wire::decode;
use cherrywood_wire::user::is_valid_job_id;

/// Handles one request of a user, a worker or the load balancer.
pub async fn handle_request(node: &Node, request: Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    let is_post = request.method == "POST";
    let is_get = request.method == "GET";
    let job = path.strip_prefix("/submissions/");
    let cancelled_job = job.and_then(|j| j.strip_suffix("/cancel"));
    match path {
        "/healthz" if is_get => readiness(node).into(),
        "/agent/beat" if is_post => heartbeat(node, &request.body).await.into(),
        "/submissions" if is_post => submit(node, &request.body).await,
        "/healthz" | "/agent/beat" | "/submissions" => Outcome::MethodNotAllowed.into(),
        _ => match (job, cancelled_job) {
            (_, Some(id)) if is_post => cancel(node, id).await,
            (_, Some(_)) => Outcome::MethodNotAllowed.into(),
            (Some(id), None) if is_get && !id.contains('/') => status_query(node, id).await.into(),
            (Some(id), None) if !id.contains('/') => Outcome::MethodNotAllowed.into(),
            _ => Outcome::NotFound.into(),
        },
    }
}

/// The class of the connection on which this request arrived.
pub fn connection_class(request: &Request) -> ConnectionClass {
    match request.path.split('?').next() {
        Some("/healthz" | "/agent/beat") => ConnectionClass::Worker,
        _ => ConnectionClass::User,
    }
}

fn readiness(node: &Node) -> Outcome {
    match node.is_ready() {
        true => Outcome::Ready,
        false => Outcome::Unavailable,
    }
}

async fn heartbeat(node: &Node, body: &[u8]) -> Outcome {
    let Ok(heartbeat) = decode::<Heartbeat>(body) else {
        return Outcome::UnreadableHeartbeat;
    };
    if let Some(response) = node.heartbeat(heartbeat).await {
        return Outcome::HeartbeatAccepted(response);
    }
    // Another controller may own the machine's shard: redirect the worker to the leader, which
    // can accept every machine.
    let leader = node.lock_state().leader_contact.known_leader.clone();
    match leader.filter(|label| label != node.label()) {
        Some(label) => Outcome::ReportToLeader(label),
        None => Outcome::Unavailable,
    }
}

async fn status_query(node: &Node, id: &str) -> Outcome {
    if !is_valid_job_id(id) {
        return Outcome::NotFound;
    }
    if let Some(value) = node.lock_state().final_states.get(id) {
        return Outcome::ended(id, value);
    }
    known_state(node, id).await.unwrap_or(Outcome::NotFound)
}
