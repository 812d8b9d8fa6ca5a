//! Reads the final states of dependencies: a job waits until each of its dependencies is known
//! to be done.

use crate::job_queries::final_states;
use crate::node::Node;
use cherrywood_limits as limits;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Reads the final states that the leader needs, in an endless loop.
pub(super) async fn run(node: Arc<Node>) {
    // Jobs without a final state at the last read, and the time (s) of their next read.
    let mut read_again_at: HashMap<String, f64> = HashMap::new();
    loop {
        node.host.sleep(limits::DEPENDENCY_CHECK_INTERVAL_S).await;
        let now = node.now();
        let wanted = {
            let mut state = node.lock_state();
            let leader = state.term.leader_if_may_write(now);
            leader.map(|l| (l.term(), l.jobs_to_look_up()))
        };
        let Some((term, wanted)) = wanted.filter(|(_, ids)| !ids.is_empty()) else {
            read_again_at.clear();
            continue;
        };
        read_again_at.retain(|_, at| *at > now);
        let due: BTreeSet<String> = wanted
            .into_iter()
            .filter(|id| !read_again_at.contains_key(id))
            .collect();
        if due.is_empty() {
            continue;
        }
        let Ok(found) = final_states(&node, &due).await else {
            continue;
        };
        let now = node.now();
        let later = now + limits::DEPENDENCY_CHECK_RETRY_S;
        read_again_at.extend(due.into_iter().map(|id| (id, later)));
        if let Some(leader) = node.lock_state().term.leader_of_term(term) {
            for (id, value) in found {
                read_again_at.remove(&id);
                leader.job_ended(&id, Some(value.state), value.ended_at_ms, now);
            }
        }
        node.notify_commits_due();
    }
}
