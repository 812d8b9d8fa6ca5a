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
    Ok(match final_value(node, id, class).await? {
        Some(v) => Found::Ended(v),
        None => Found::Nothing,
    })
}

/// How the job ended, if it did.
pub(crate) async fn final_value(
    node: &Node,
    id: &str,
    class: Class,
) -> Result<Option<FinalValue>, NetError> {
    let key = keys::ended(id);
    let found = node.state.get_as::<FinalValue>(&key, class).await?;
    if let Some(item) = &found {
        node.core().remember(id, item.value.clone());
    }
    Ok(found.map(|item| item.value))
}
