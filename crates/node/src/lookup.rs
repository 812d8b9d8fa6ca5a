//! What the state service says of a job.

use crate::node::Node;
use cherrywood_control::keys;
use cherrywood_net::NetError;
use cherrywood_net::budget::Class;
use cherrywood_wire::state::FinalValue;

pub(crate) enum Found {
    Live,
    Ended(FinalValue),
    Nothing,
}

/// The job's state, from reads that nobody can have overtaken: a live key is
/// dropped in the transaction that writes the final one, so the live key is
/// read first.
pub(crate) async fn lookup(node: &Node, id: &str, class: Class) -> Result<Found, NetError> {
    if let Some(v) = node.core().finals.get(id) {
        return Ok(Found::Ended(v.clone()));
    }
    let live = node
        .state
        .get_as::<serde::de::IgnoredAny>(&keys::job(id), class)
        .await?;
    node.state_answered();
    if live.is_some() {
        return Ok(Found::Live);
    }
    let key = keys::ended(id);
    match node.state.get_as::<FinalValue>(&key, class).await? {
        Some(item) => {
            node.core().remember(id, item.value.clone());
            Ok(Found::Ended(item.value))
        }
        None => Ok(Found::Nothing),
    }
}
