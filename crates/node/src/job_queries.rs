//! Look-ups of jobs in the key-value store: live, over or unknown.

use crate::node::Node;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_net::store_client::Readable;
use cherrywood_wire::records::FinalStateRecord;
use cherrywood_wire::store::KeyValuePage;
use serde::de::IgnoredAny;
use std::collections::{BTreeSet, HashMap};

/// Result of a look-up of a job in the key-value store.
pub(crate) enum JobLookup {
    /// The job was accepted and is not over.
    Live,
    /// The job is over.
    Ended(FinalStateRecord),
    /// No controller ever accepted the job.
    Unknown,
}

/// Looks up a job. The live key is read before the final one: the transaction that deletes the
/// live key writes the final one, so a job that ends between the two reads is not missed.
pub(crate) async fn look_up(
    node: &Node,
    id: &str,
    priority: RequestPriority,
) -> Result<JobLookup, NetError> {
    if let Some(value) = node.lock_state().final_states.get(id) {
        return Ok(JobLookup::Ended(value.clone()));
    }
    let key = keys::job(id);
    let live = node
        .store
        .get_with_priority::<IgnoredAny>(&key, priority)
        .await?;
    node.record_store_response();
    if live.is_some() {
        return Ok(JobLookup::Live);
    }
    Ok(match read_final_state(node, id, priority).await? {
        Some(value) => JobLookup::Ended(value),
        None => JobLookup::Unknown,
    })
}

/// Reads the job's final state from the key-value store; `None` if the job has none.
pub(crate) async fn read_final_state(
    node: &Node,
    id: &str,
    priority: RequestPriority,
) -> Result<Option<FinalStateRecord>, NetError> {
    let key = keys::final_state(id);
    let found = node
        .store
        .get_with_priority::<FinalStateRecord>(&key, priority)
        .await?;
    if let Some(item) = &found {
        let mut state = node.lock_state();
        state.final_states.insert(id, item.value.clone());
    }
    Ok(found.map(|item| item.value))
}

/// The final states of those of these jobs that are over. Up to
/// `DEPENDENCY_CHECK_SINGLE_READS_MAX` unknown jobs are read one by one; more are read by pages
/// of the final states, each of which contains all final states in its range.
pub(crate) async fn final_states(
    node: &Node,
    ids: &BTreeSet<String>,
) -> Result<Vec<(String, FinalStateRecord)>, NetError> {
    let mut found = Vec::new();
    let mut unread: Vec<&String> = Vec::new();
    for id in ids {
        let known = node.lock_state().final_states.get(id).cloned();
        match known {
            Some(value) => found.push((id.clone(), value)),
            None => unread.push(id),
        }
    }
    if unread.len() > limits::DEPENDENCY_CHECK_SINGLE_READS_MAX {
        read_by_pages(node, unread, &mut found).await?;
        return Ok(found);
    }
    for id in unread {
        if let Some(value) = read_final_state(node, id, RequestPriority::Critical).await? {
            found.push((id.clone(), value));
        }
    }
    Ok(found)
}

/// Adds the final states of the jobs in `unread`, which is sorted, to `found`.
async fn read_by_pages(
    node: &Node,
    unread: Vec<&String>,
    found: &mut Vec<(String, FinalStateRecord)>,
) -> Result<(), NetError> {
    let mut unread = unread.into_iter().peekable();
    while let Some(first) = unread.peek() {
        let mut page = FinalStatePage::read(node, first).await?;
        let mut covered = 0;
        while let Some(id) = unread.next_if(|id| page.covers(id)) {
            covered += 1;
            if let Some(value) = page.take(id) {
                let mut state = node.lock_state();
                state.final_states.insert(id, value.clone());
                found.push((id.clone(), value));
            }
        }
        if covered == 0 {
            // The page ends before the job for which it was requested, so that job is read alone.
            if let Some(id) = unread.next()
                && let Some(value) = read_final_state(node, id, RequestPriority::Critical).await?
            {
                found.push((id.clone(), value));
            }
        }
    }
    Ok(())
}

/// One page of the final states, sorted by key.
struct FinalStatePage {
    by_key: HashMap<String, Readable<FinalStateRecord>>,
    last_key: Option<String>,
    is_last_page: bool,
}

impl FinalStatePage {
    /// Reads the page that contains the final state of job `first`, if the job is over and the
    /// page is long enough.
    async fn read(node: &Node, first: &str) -> Result<FinalStatePage, NetError> {
        // The key without its last character sorts before the key of `first`. The page begins
        // after it, so it may contain other jobs' keys before that of `first`.
        let key = keys::final_state(first);
        let from = &key[..key.len() - 1];
        let prefix = keys::final_state("");
        let page: KeyValuePage<Readable<FinalStateRecord>> = node
            .store
            .list_page(&prefix, Some(from), limits::DEPENDENCY_CHECK_READS_MAX)
            .await?;
        Ok(FinalStatePage {
            last_key: page.items.last().map(|i| i.key.clone()),
            is_last_page: !page.more,
            by_key: page.items.into_iter().map(|i| (i.key, i.value)).collect(),
        })
    }

    /// Whether the page shows if this job is over.
    fn covers(&self, id: &str) -> bool {
        let last_key = self.last_key.as_ref();
        self.is_last_page || last_key.is_some_and(|last| keys::final_state(id) <= *last)
    }

    /// Removes the job's final state from the page and returns it, if the job is over and its
    /// record can be read.
    fn take(&mut self, id: &str) -> Option<FinalStateRecord> {
        self.by_key.remove(&keys::final_state(id))?.ok(id)
    }
}
